package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// worker is a sound worker of the platform. Its state is guarded by the bed's mutex.
type worker struct {
	b             *bed
	id, service   string
	zone, address string
	slots         int
	handle        func(w http.ResponseWriter, r *http.Request)

	server    *http.Server
	born      time.Time
	coldUntil time.Time
	nextBeat  time.Time
	lastBeat  time.Time // zero if the store has no entry
	cut       bool      // no path to the store
	down      bool
}

// addWorker starts a worker that is not cold. It registers at once.
func (b *bed) addWorker(id, service, zone string, slots int, handle func(wk *worker, w http.ResponseWriter, r *http.Request)) (*worker, error) {
	return b.addColdWorker(id, service, zone, slots, 0, handle)
}

// addColdWorker starts a worker that is cold for a time. It registers at once.
func (b *bed) addColdWorker(id, service, zone string, slots int, cold time.Duration, handle func(wk *worker, w http.ResponseWriter, r *http.Request)) (*worker, error) {
	wk := &worker{b: b, id: id, service: service, zone: zone, address: "127.0.0.1:0", slots: slots}
	wk.handle = func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Expected-Instance"); want != "" && want != wk.id {
			w.Header().Set("Instance", wk.id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		handle(wk, w, r)
	}
	if err := wk.boot(cold); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.workers = append(b.workers, wk)
	return wk, nil
}

// boot starts the worker's process, which is cold for a time.
func (wk *worker) boot(cold time.Duration) error {
	l, err := net.Listen("tcp4", wk.address)
	if err != nil {
		return err
	}
	now := time.Now()
	wk.b.mu.Lock()
	defer wk.b.mu.Unlock()
	wk.address = l.Addr().String()
	wk.born, wk.coldUntil, wk.nextBeat, wk.down = now, now.Add(cold), now, false
	wk.server = &http.Server{Handler: http.HandlerFunc(wk.handle)}
	server := wk.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// run returns the start of the process that runs now.
func (wk *worker) run() time.Time {
	wk.b.mu.Lock()
	defer wk.b.mu.Unlock()
	return wk.born
}

// crash ends the worker's process: connections break, and new ones are refused. It returns false if the process that started at the given
// time has ended already.
func (wk *worker) crash(run time.Time) bool {
	wk.b.mu.Lock()
	if wk.down || wk.born != run {
		wk.b.mu.Unlock()
		return false
	}
	wk.down = true
	server := wk.server
	wk.b.mu.Unlock()
	server.Close()
	return true
}

// setCut cuts the worker off from the store, or ends that.
func (wk *worker) setCut(cut bool) {
	wk.b.mu.Lock()
	defer wk.b.mu.Unlock()
	wk.cut = cut
}

// beat writes the entries of the workers, and removes those of silent ones as the platform does.
func (b *bed) beat() {
	for sequence := 1; ; sequence++ {
		select {
		case <-b.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		b.mu.Lock()
		now := time.Now()
		for _, wk := range b.workers {
			if !wk.down && !now.Before(wk.nextBeat) {
				wk.nextBeat = wk.nextBeat.Add(beatInterval)
				if !wk.cut {
					wk.lastBeat = now
					b.store.Put("keyed.servers", wk.id, wk.entry(now, sequence))
				}
			}
			if !wk.lastBeat.IsZero() && now.Sub(wk.lastBeat) >= expiry {
				wk.lastBeat = time.Time{}
				b.store.Put("keyed.servers", wk.id, nil)
				fmt.Fprintf(b.record, "%8.3f the store removes the entry of %s\n", time.Since(b.start).Seconds(), wk.id)
			}
		}
		b.mu.Unlock()
	}
}

// entry returns the worker's entry.
func (wk *worker) entry(now time.Time, sequence int) []byte {
	cold := max(wk.coldUntil.Sub(now), 0).Milliseconds()
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":%d,"sequence":%d,"born":%d}`,
		wk.service, wk.address, wk.zone, wk.slots, cold, sequence, wk.born.UnixMilli())
}
