package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/http1/http1test"
)

// TestCallersNeverGetMalformedHeads guards against a whole gateway, with its listener, its codec and its store, that passes on an answer with
// a malformed head or closes its caller's connection. A sound answer follows on each route, so the endpoint stays in use.
func TestCallersNeverGetMalformedHeads(t *testing.T) {
	const body = "id: 1\ndata: x\n\n"
	for _, fault := range http1test.HeadFaults() {
		t.Run(fault.Name, func(t *testing.T) {
			t.Parallel()
			var sound atomic.Bool
			s := newStopSite(t, func(w http.ResponseWriter, _ *http.Request) {
				var head bytes.Buffer
				head.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 15\r\n")
				_ = w.Header().Write(&head)
				head.WriteString("\r\n")
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				defer conn.Close()
				answer := head.String()
				if !sound.Load() {
					answer = fault.Apply(answer)
				}
				_, _ = io.WriteString(conn, answer+body)
			})
			for _, path := range []string{"/read/1", "/book/1", "/stream/1"} {
				sound.Store(false)
				got := s.send(s.dial(), path, "broken"+path, 30*time.Second)
				if diff := cmp.Diff(outcome{Status: 502, Complete: true, Ran: true}, got); diff != "" {
					t.Errorf("%s, malformed head (-want +got):\n%s", path, diff)
				}
				sound.Store(true)
				got = s.send(s.dial(), path, "sound"+path, 30*time.Second)
				if diff := cmp.Diff(outcome{Status: 200, Complete: true, Ran: true}, got); diff != "" {
					t.Errorf("%s, sound head (-want +got):\n%s", path, diff)
				}
			}
		})
	}
}
