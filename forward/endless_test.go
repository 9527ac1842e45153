package forward_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"goldcrestpath/forward"
)

// endless answers with a head that begins with start, and then writes block until the gateway closes the connection. closed is closed then.
func endless(start, block string, pause time.Duration, closed chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, err = io.WriteString(conn, start)
		for err == nil {
			_, err = io.WriteString(conn, block)
			time.Sleep(pause)
		}
		select {
		case closed <- struct{}{}:
		default: // an earlier attempt was closed already
		}
	}
}

// TestEndlessAnswers guards against an endpoint whose answer has no end and that holds a request, a connection or memory without limit, and
// against the beginning of such an answer that is delivered as a complete one.
func TestEndlessAnswers(t *testing.T) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: call-1\r\n%s: 1\r\n", headerID, headerAuthentic)
	failed := strings.Replace(head, "200 OK", "500 Failed", 1)
	block := strings.Repeat("x", 32<<10)
	for name, c := range map[string]struct {
		path, start, block string
		pause              time.Duration
	}{
		"head of a call":                {path: "/read/", start: head, block: "X-More: " + block + "\r\n"},
		"head that comes slowly":        {path: "/read/", start: head, block: "X-More: 1\r\n", pause: 5 * time.Millisecond},
		"head of a stream":              {path: "/stream/", start: head, block: "X-More: " + block + "\r\n"},
		"body of a call":                {path: "/read/", start: head + "\r\n", block: block},
		"body of a call once":           {path: "/book/", start: head + "\r\n", block: block},
		"body that comes slowly":        {path: "/book/", start: head + "\r\n", block: "x", pause: 5 * time.Millisecond},
		"event of a stream":             {path: "/stream/", start: head + "\r\n", block: block},
		"event that comes slowly":       {path: "/stream/", start: head + "\r\n", block: "x", pause: 5 * time.Millisecond},
		"failure on the path of stream": {path: "/once/", start: failed + "\r\n", block: block},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 1)
			h := endless(c.start, c.block, c.pause, closed)
			s := newSite(t, h, h)
			got, err := s.do("POST", c.path, "", headerTimeLimit, "1s")
			if err == nil && (got.Status < 500 || strings.Contains(got.Body, "xxx")) {
				t.Errorf("the caller got status %d with %d bytes", got.Status, len(got.Body))
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("the gateway does not close the connection")
			}
		})
	}
}

// TestUnfinishedAnswersShareMemory guards against endpoints that send bytes without an end to many requests at once, which together
// exhaust the memory of the process although each answer is limited. Other requests must still be served.
func TestUnfinishedAnswersShareMemory(t *testing.T) {
	const requests, limit = 160, 16 << 20
	const slack = requests * (256 << 10) // connections, and buffers that do not count
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: call-1\r\n%s: 1\r\n\r\n", headerID, headerAuthentic)
	text := bytes.Repeat([]byte("x"), 64<<10)
	for name, c := range map[string]struct {
		path string
		sent int // bytes after which the endpoint falls silent
	}{"body of a call": {"/book/bad", 7 << 20}, "event of a stream": {"/once/bad", 960 << 10}} {
		t.Run(name, func(t *testing.T) {
			h := func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasSuffix(r.URL.Path, "/bad") {
					echo(w, r)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				defer conn.Close()
				_, err = io.WriteString(conn, head)
				for n := 0; n < c.sent && err == nil; n += len(text) {
					_, err = conn.Write(text)
				}
				if err == nil {
					_, _ = conn.Read(make([]byte, 1)) // until the gateway closes the connection
				}
			}
			handlers := make([]http.HandlerFunc, 24)
			for i := range handlers {
				handlers[i] = h
			}
			s := newSiteWith(t, []forward.Option{forward.WithMemory(limit)}, handlers...)
			live := func() uint64 {
				runtime.GC() // MemStats.HeapAlloc would include what was allocated and dropped since
				s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
				metrics.Read(s)
				return s[0].Value.Uint64()
			}
			before := live()
			var wg sync.WaitGroup
			for range requests {
				wg.Go(func() {
					if got, err := s.do("POST", c.path, "", headerTimeLimit, "2s"); err == nil && got.Status < 500 {
						t.Errorf("the caller got status %d with %d bytes", got.Status, len(got.Body))
					}
				})
			}
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			most := uint64(0)
			for running := true; running; {
				most = max(most, live())
				select {
				case <-done:
					running = false
				case <-time.After(20 * time.Millisecond):
				}
			}
			if most > before+limit+slack {
				t.Errorf("%d MiB in use for %d unfinished answers, want at most %d", (most-before)>>20, requests, (limit+slack)>>20)
			}
			if got, err := s.do("POST", "/read/1", "x"); err != nil || got.Status != http.StatusOK && got.Status != http.StatusServiceUnavailable {
				t.Errorf("afterwards: %+v, %v", got, err)
			}
		})
	}
}
