package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Properties of the workers.
const (
	engineSlots   = 16
	eventInterval = 58 * time.Millisecond // 51 tokens with a full batch
	prefillRate   = 177000                // tokens per second
	callTime      = 20 * time.Millisecond
	deskSlots     = 16
	deskQueue     = 24
)

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReader(r) }

// arrival is a request that a worker accepted or turned away.
type arrival struct {
	id, target, prefix string
	at                 time.Time
	ran                bool
}

// worker is a stand-in for a worker: a model engine if stream is set, or an instance of a plain service.
type worker struct {
	l                     *lab
	id, service, zone     string
	address               string
	stream                bool
	poison                string        // ID of the part on which the process ends, "" for none
	downTime              time.Duration // how long it is down after it ended
	mu                    sync.Mutex
	server                *http.Server
	born                  time.Time
	coldUntil             time.Time
	leaving, unregistered bool
	reported              chan struct{} // receives after a status report, if somebody waits
	slots                 chan struct{}
	arrivals              []arrival
	ends                  []time.Time
}

// newWorker starts a worker and registers it in the store.
func (l *lab) newWorker(id, service, zone string, stream bool) (*worker, error) {
	w := &worker{l: l, id: id, service: service, zone: zone, stream: stream, slots: make(chan struct{}, deskSlots), downTime: 3 * time.Second, reported: make(chan struct{})}
	if err := w.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	w.register()
	go func() {
		for {
			time.Sleep(heartbeat)
			w.register()
			select {
			case w.reported <- struct{}{}:
			default:
			}
		}
	}()
	return w, nil
}

// listen starts the process of the worker.
func (w *worker) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.born = listener.Addr().String(), time.Now()
	w.server = &http.Server{Handler: w}
	go w.server.Serve(listener) //nolint:errcheck // returns after Close
	return nil
}

// register writes the worker's entry, as each status report does.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unregistered || w.server == nil {
		return
	}
	slots := deskSlots
	if w.stream {
		slots = engineSlots
	}
	w.l.store.Put("keyed.servers", w.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":%d,"sequence":1,"born":%d}`,
		w.service, w.address, w.zone, slots, max(time.Until(w.coldUntil), 0).Milliseconds(), w.born.UnixMilli()))
}

// leave removes the entry without a report of draining. The worker goes on serving and says in its answers that it leaves.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unregistered, w.leaving = true, true
	w.l.store.Put("keyed.servers", w.id, nil)
}

// crash ends the process: connections are reset and new ones are refused until it is back after downTime, under the same ID.
func (w *worker) crash() {
	w.mu.Lock()
	server := w.server
	w.server = nil
	if server != nil {
		w.ends = append(w.ends, time.Now())
	}
	w.mu.Unlock()
	if server == nil {
		return
	}
	server.Close()
	go func() {
		time.Sleep(w.downTime)
		if err := w.listen(w.address); err != nil {
			w.l.note("worker %s cannot start again: %v", w.id, err)
			return
		}
		w.mu.Lock()
		w.coldUntil = time.Now().Add(3 * time.Second)
		w.mu.Unlock()
		w.register()
	}()
}

// crashInHead ends the process when it has begun to write an answer: a part of the head leaves the machine.
func (w *worker) crashInHead(rw http.ResponseWriter) {
	conn, buffer, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		w.l.note("worker %s: %v", w.id, err)
		return
	}
	defer conn.Close()
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")
	_ = buffer.Flush()
	w.crash()
}

// seen returns the arrivals so far.
func (w *worker) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/order" {
		_, _ = io.WriteString(rw, `{"free":0}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	header := rw.Header()
	header.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if want := r.Header.Get("Expected-Instance"); want != "" && want != w.id {
		header.Set("Instance", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{id: r.Header.Get("Attempt-Id"), target: r.RequestURI, prefix: r.Header.Get("Prompt-Prefix"), at: time.Now()}
	w.mu.Lock()
	full := !w.stream && len(w.slots) >= deskSlots+deskQueue
	a.ran = !full
	w.arrivals = append(w.arrivals, a)
	leaving := w.leaving
	w.mu.Unlock()
	if leaving {
		header.Set("Server-Leaving", "1")
	}
	if full {
		header.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	header.Set("Response-Seal", "m."+w.id)
	if w.stream {
		w.serveStream(rw, r)
		return
	}
	w.slots <- struct{}{}
	time.Sleep(callTime)
	<-w.slots
	_, _ = io.WriteString(rw, "done "+w.id)
}

// serveStream prefills the prompt and writes an event for each 51 tokens of the maximum output.
func (w *worker) serveStream(rw http.ResponseWriter, r *http.Request) {
	prompt, output := 0, 0
	if _, err := fmt.Sscanf(r.Header.Get("Token-Counts"), "%d,%d", &prompt, &output); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	helpers := 0
	if list := r.Header.Get("Helpers"); list != "" {
		helpers = strings.Count(list, ",") + 1
	}
	if !sleep(r.Context(), time.Duration(prompt)*time.Second/time.Duration(prefillRate*(helpers+1))+eventInterval) {
		return
	}
	if w.poison != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), w.poison+":") {
		w.crashInHead(rw)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // a stream that is not resumed begins after event 0
	for i := from + 1; i <= (output+50)/51; i++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %d\n\n", i, i); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
		if !sleep(r.Context(), eventInterval) {
			return
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
