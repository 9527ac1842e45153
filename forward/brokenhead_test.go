package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"goldcrestpath/endpoint"
	"goldcrestpath/http1/http1test"
)

// framing is how an answer shows where its body ends.
type framing struct {
	name, field string
	body        func(body string) string
}

var framings = []framing{
	{"length", "Content-Length: %d\r\n", func(body string) string { return body }},
	{"chunks", "Transfer-Encoding: chunked\r\n", func(body string) string {
		return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}},
	{"end of the connection", "Connection: close\r\n", func(body string) string { return body }},
}

// answerIn returns the head and the body of a genuine answer.
func (f *framing) answerIn(contentType, body string) (head, rest string) {
	field := f.field
	if strings.Contains(field, "%d") {
		field = fmt.Sprintf(field, len(body))
	}
	head = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: call-1\r\n%s: 1\r\nContent-Type: %s\r\n%s\r\n", headerID, headerAuthentic, contentType, field)
	return head, f.body(body)
}

// ending is how an endpoint ends a connection.
type ending struct {
	name  string
	reset bool
	split bool // the bytes before it are sent in two packets
}

var endings = []ending{{name: "closed"}, {name: "reset", reset: true}, {name: "closed after two packets", split: true}}

// cutEndpoint starts an endpoint that answers each request with the bytes, after which it ends the connection. served is the number of requests
// on each connection that are answered whole before. It returns the address.
func cutEndpoint(t *testing.T, bytes string, e ending, served int, whole string) string {
	return http1test.Serve(t, func(n int, conn net.Conn) bool {
		if n < served {
			_, err := io.WriteString(conn, whole)
			return err == nil
		}
		first := bytes
		if e.split {
			first = bytes[:len(bytes)/2]
		}
		_, _ = io.WriteString(conn, first)
		if e.split {
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(conn, bytes[len(first):])
		}
		if e.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
}

// setEndpoints adds endpoints with the given addresses to the site.
func (s *site) setEndpoints(addresses ...string) {
	for i, address := range addresses {
		s.fleet.SetEntry(time.Now(), endpoint.Entry{ID: fmt.Sprint("cut", i), Service: "desk", Address: address, DataCentre: "dc", Slots: 4}, 0)
	}
}

const (
	cutBody   = "the whole answer"
	cutEvents = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
)

// TestAnswerCutInItsHead guards against an endpoint that stops within the head of its answer, or right behind it, and whose caller gets a
// success with an empty or short body that looks complete. The caller must get the whole answer of another endpoint or a failure.
func TestAnswerCutInItsHead(t *testing.T) {
	for _, path := range []string{"/read/", "/book/", "/stream/", "/once/"} {
		contentType, body := "text/plain", cutBody
		if path == "/stream/" || path == "/once/" {
			contentType, body = "text/event-stream", cutEvents
		}
		for _, f := range framings {
			for _, e := range endings {
				for _, resumed := range []bool{false, true} {
					if resumed && path != "/stream/" {
						continue
					}
					t.Run(fmt.Sprint(path, " ", f.name, " ", e.name, " resumed ", resumed), func(t *testing.T) {
						t.Parallel()
						head, _ := f.answerIn(contentType, body)
						for cut := 0; cut <= len(head); cut++ {
							checkCut(t, path, head[:cut], e, body, resumed)
						}
					})
				}
			}
		}
	}
}

// checkCut sends requests to endpoints that cut their answers, first without and then with another one that answers whole.
func checkCut(t *testing.T, path, cut string, e ending, body string, resumed bool) {
	t.Helper()
	var header []string
	if resumed {
		header = []string{headerLastEvent, "0"}
	}
	s := newSite(t)
	s.setEndpoints(cutEndpoint(t, cut, e, 0, ""), cutEndpoint(t, cut, e, 0, ""))
	if got, err := s.do("POST", path, "", header...); err == nil && got.Status < 500 {
		t.Errorf("cut after %d bytes of the head: the caller got status %d, body %q", len(cut), got.Status, got.Body)
	}
	var sent atomic.Int32
	s = newSite(t, func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerAuthentic, "1")
		_, _ = io.WriteString(w, body)
	})
	s.setEndpoints(cutEndpoint(t, cut, e, 0, ""))
	for range 3 { // until the endpoint that cuts its answers was selected first
		got, err := s.do("POST", path, "", header...)
		if err == nil && got.Status < 500 && got.Body != body {
			t.Errorf("cut after %d bytes of the head: the caller got status %d, body %q, want %q or a failure", len(cut), got.Status, got.Body, body)
		}
	}
	if sent.Load() == 0 {
		t.Errorf("cut after %d bytes of the head: no request reached the other endpoint", len(cut))
	}
}

// TestResumedStreamCutInItsHead guards against a stream that was interrupted and is continued by an endpoint that stops within the head of
// its answer or right behind it. It must not look complete.
func TestResumedStreamCutInItsHead(t *testing.T) {
	for _, f := range framings {
		for _, e := range endings {
			t.Run(f.name+" "+e.name, func(t *testing.T) {
				t.Parallel()
				head, _ := f.answerIn("text/event-stream", cutEvents)
				begin, _ := framings[2].answerIn("text/event-stream", cutEvents)
				for cut := 0; cut <= len(head); cut++ {
					var attempts atomic.Int32
					h := func(w http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						conn, _, err := w.(http.Hijacker).Hijack()
						if err != nil {
							panic(err)
						}
						defer conn.Close()
						if attempts.Add(1) == 1 {
							_, _ = io.WriteString(conn, begin+"id: 1\ndata: x\n\nid: 2\nda") // broken off within an event
							return
						}
						_, _ = io.WriteString(conn, head[:cut])
						if e.reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
					}
					s := newSite(t, h, h)
					if got, err := s.do("POST", "/stream/", ""); err == nil && got.Status < 500 {
						t.Errorf("cut after %d bytes of the head: the stream looks complete, with body %q", cut, got.Body)
					}
					if attempts.Load() != 2 {
						t.Errorf("cut after %d bytes of the head: %d attempts, want 2\n%s", cut, attempts.Load(), strings.Join(s.logs.lines, "\n"))
					}
				}
			})
		}
	}
}

// TestKeptConnectionCutInItsHead guards against an answer that is cut in its head on a connection that has served requests before.
func TestKeptConnectionCutInItsHead(t *testing.T) {
	for _, path := range []string{"/read/", "/stream/"} {
		contentType, body := "text/plain", cutBody
		if path == "/stream/" {
			contentType, body = "text/event-stream", cutEvents
		}
		f := framings[0]
		head, rest := f.answerIn(contentType, body)
		for cut := 0; cut <= len(head); cut++ {
			t.Run(fmt.Sprint(path, " ", cut), func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.setEndpoints(cutEndpoint(t, head[:cut], ending{}, 2, head+rest))
				for n := range 3 {
					got, err := s.do("POST", path, "", headerTimeLimit, "400ms")
					if err == nil && got.Status < 500 && got.Body != body {
						t.Errorf("request %d, cut after %d bytes of the head: status %d, body %q", n, cut, got.Status, got.Body)
					}
				}
			})
		}
	}
}
