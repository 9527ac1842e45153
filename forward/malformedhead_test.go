package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"goldcrestpath/http1/http1test"
)

// route is a path of the site, and an answer to requests on it.
type route struct {
	path, contentType, body string
	repeatable              bool
}

var routes = []route{
	{"/read/", "text/plain", cutBody, true},
	{"/book/", "text/plain", cutBody, false},
	{"/stream/", "text/event-stream", cutEvents, true},
	{"/once/", "text/event-stream", cutEvents, false},
}

// setSequence adds two endpoints to the site. answers returns the bytes of each answer; n is the number of answers before, from both. The
// connection is closed after it. The result counts the answers.
func (s *site) setSequence(answers func(n int) string) *atomic.Int32 {
	var count atomic.Int32
	next := func(_ int, conn net.Conn) bool {
		_, _ = io.WriteString(conn, answers(int(count.Add(1))-1))
		return false
	}
	s.setEndpoints(http1test.Serve(s.t, next), http1test.Serve(s.t, next))
	return &count
}

// checkFailure checks that a request failed at once, with a log line that names the fault.
func (s *site) checkFailure(got answer, err error, fault string) {
	s.t.Helper()
	logs := s.logs.text()
	switch {
	case err != nil || got.Status != 502 || !strings.Contains(got.Body, `"verdict":"mayHaveRun"`):
		s.t.Errorf("the caller got status %d, body %q, error %v, want status 502 and mayHaveRun\n%s", got.Status, got.Body, err, logs)
	case !strings.Contains(logs, fault):
		s.t.Errorf("the log does not say %q:\n%s", fault, logs)
	}
}

// TestMalformedHead guards against a caller who gets an answer with a malformed head, or no answer at all, in place of the whole answer of
// another endpoint or a failure.
func TestMalformedHead(t *testing.T) {
	for _, r := range routes {
		for _, framing := range framings {
			for _, fault := range http1test.HeadFaults() {
				t.Run(fmt.Sprint(r.path, " ", framing.name, " ", fault.Name), func(t *testing.T) {
					t.Parallel()
					head, rest := framing.answerIn(r.contentType, r.body)
					broken, whole := fault.Apply(head)+rest, head+rest
					s := newSite(t)
					attempts := s.setSequence(func(int) string { return broken })
					got, err := s.do("POST", r.path, "")
					s.checkFailure(got, err, fault.Message)
					want := int32(1)
					if r.repeatable {
						want = 2
					}
					if n := attempts.Load(); n != want {
						t.Errorf("%d attempts at endpoints with malformed heads, want %d", n, want)
					}

					s = newSite(t)
					s.setSequence(func(n int) string {
						if n == 0 {
							return broken
						}
						return whole
					})
					got, err = s.do("POST", r.path, "")
					if !r.repeatable {
						s.checkFailure(got, err, fault.Message)
					} else if err != nil || got.Status != 200 || got.Body != r.body {
						t.Errorf("status %d, body %q, error %v, want the whole answer of the other endpoint", got.Status, got.Body, err)
					}
				})
			}
		}
	}
}

// TestMalformedHeadOnKeptConnection guards against a malformed head that is delivered because earlier answers on the connection were
// well-formed.
func TestMalformedHeadOnKeptConnection(t *testing.T) {
	f := framings[0]
	for _, r := range routes {
		if !r.repeatable {
			continue // each request has a connection of its own
		}
		for _, fault := range http1test.HeadFaults() {
			t.Run(r.path+" "+fault.Name, func(t *testing.T) {
				t.Parallel()
				head, rest := f.answerIn(r.contentType, r.body)
				s := newSite(t)
				s.setEndpoints(cutEndpoint(t, fault.Apply(head)+rest, ending{}, 2, head+rest))
				for n := range 2 {
					if got, err := s.do("POST", r.path, ""); err != nil || got.Status != 200 || got.Body != r.body {
						t.Fatalf("request %d: status %d, body %q, error %v", n, got.Status, got.Body, err)
					}
				}
				got, err := s.do("POST", r.path, "", headerTimeLimit, "1s")
				s.checkFailure(got, err, fault.Message)
			})
		}
	}
}

// TestMalformedHeadOfResumedStream guards against a stream that broke off, is continued by an endpoint whose answer has a malformed head, and
// looks complete.
func TestMalformedHeadOfResumedStream(t *testing.T) {
	for _, framing := range framings {
		for _, fault := range http1test.HeadFaults() {
			t.Run(framing.name+" "+fault.Name, func(t *testing.T) {
				t.Parallel()
				begin, _ := framings[2].answerIn("text/event-stream", cutEvents)
				head, rest := framing.answerIn("text/event-stream", "id: 2\ndata: x\n\n")
				s := newSite(t)
				attempts := s.setSequence(func(n int) string {
					if n == 0 {
						return begin + "id: 1\ndata: x\n\nid: 2\nda"
					}
					return fault.Apply(head) + rest
				})
				got, err := s.do("POST", "/stream/", "")
				if err == nil || got.Body != "id: 1\ndata: x\n\n" {
					t.Errorf("the stream looks complete, with body %q", got.Body)
				}
				if attempts.Load() != 2 || !strings.Contains(s.logs.text(), fault.Message) {
					t.Errorf("%d attempts, want 2, and a log that says %q:\n%s", attempts.Load(), fault.Message, s.logs.text())
				}
			})
		}
	}
}

// TestInterimResponses guards against an answer that is taken for malformed because interim responses precede it.
func TestInterimResponses(t *testing.T) {
	for _, r := range routes {
		head, rest := framings[0].answerIn(r.contentType, r.body)
		s := newSite(t)
		s.setSequence(func(int) string {
			return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + rest
		})
		if got, err := s.do("POST", r.path, ""); err != nil || got.Status != 200 || got.Body != r.body {
			t.Errorf("%s: status %d, body %q, error %v, want the answer", r.path, got.Status, got.Body, err)
		}
	}
}

// TestMalformedTrailer guards against trailer fields that reach a caller. The last chunk ends the body, so the answer is whole even if its
// trailer section is malformed.
func TestMalformedTrailer(t *testing.T) {
	for _, trailer := range []string{"X-Trailer: 1", "X Trailer: 1", "X-Trailer : 1", "X-Tra\x01iler: 1", "X-Trailer"} {
		for _, r := range routes {
			head, rest := framings[1].answerIn(r.contentType, r.body)
			s := newSite(t)
			s.setSequence(func(int) string { return head + strings.TrimSuffix(rest, "\r\n") + trailer + "\r\n\r\n" })
			req, err := http.NewRequest("POST", s.server.URL+r.path, http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "site.test"
			req.Header.Set(headerID, "call-1")
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Errorf("%s, trailer %q: %v", r.path, trailer, err)
				continue
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 && err == nil && string(body) != r.body || resp.StatusCode != 200 && resp.StatusCode != 502 {
				t.Errorf("%s, trailer %q: status %d, body %q, error %v, want the whole answer or a failure", r.path, trailer, resp.StatusCode, body, err)
			}
			if len(resp.Trailer) > 0 {
				t.Errorf("%s: the caller got the trailer %v", r.path, resp.Trailer)
			}
		}
	}
}
