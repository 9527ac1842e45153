package forward_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"goldcrestpath/forward"
	"goldcrestpath/http1/http1test"
	"goldcrestpath/operator"
)

// uploadBytes is the size of a request body that does not fit into the buffers of a connection.
const uploadBytes = 16 << 20

// eventTimeout limits the wait for an event that a test brings about.
const eventTimeout = 10 * time.Second

// newUploadSite returns a site that accepts large uploads, with two endpoints. The first request, to either endpoint, goes to serve with its
// body unread. The others are answered whole, after their bodies were read. All requests to endpoints have the trace, which may be nil.
func newUploadSite(t *testing.T, r route, trace *httptrace.ClientTrace, serve func(conn *net.TCPConn, body io.Reader)) *site {
	t.Helper()
	s := newSiteWith(t, []forward.Option{forward.WithMemory(256 << 20)})
	spec := s.routingSpec(2, nil)
	spec.Limits = operator.CallerLimits{}
	s.setSpec(spec)
	var requests atomic.Int32
	endpoint := func(conn *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)) // a small buffer leaves the body on the connection
		if err != nil {
			return
		}
		if requests.Add(1) == 1 {
			serve(conn, req.Body)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		head, rest := framings[0].answerIn(r.contentType, r.body)
		_, _ = io.WriteString(conn, head+rest)
	}
	s.setEndpoints(http1test.Listen(t, endpoint), http1test.Listen(t, endpoint))
	s.server.Close()
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if trace != nil {
			r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
		}
		s.handler.ServeHTTP(w, r)
	}))
	t.Cleanup(s.server.Close)
	return s
}

// upload sends a request with a long body.
func (s *site) upload(r route) (answer, error) {
	return s.do("POST", r.path, string(bytes.Repeat([]byte("x"), uploadBytes)))
}

// checkBroken checks that a request whose first answer was broken got the whole answer of the other endpoint or, if it must not be repeated,
// a failure. A stream whose first event was delivered can only break off.
func (s *site) checkBroken(r route, got answer, err error, fault string) {
	s.t.Helper()
	switch {
	case r.repeatable:
		if err != nil || got.Status != 200 || got.Body != r.body {
			s.t.Errorf("status %d, body %q, error %v, want the whole answer of the other endpoint", got.Status, got.Body, err)
		}
	case r.contentType == "text/event-stream":
		if err == nil || !strings.Contains(s.logs.text(), fault) {
			s.t.Errorf("status %d, body %q, want a stream that breaks off, and a log that says %q\n%s", got.Status, got.Body, fault, s.logs.text())
		}
	default:
		s.checkFailure(got, err, fault)
	}
}

// partOf returns the beginning of an answer that ends with its connection: half of a body, or the first of two events.
func partOf(r route) string {
	head, rest := framings[2].answerIn(r.contentType, r.body)
	return head + rest[:len(rest)/2]
}

// await waits for an event.
func await(t *testing.T, name string, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(eventTimeout):
		t.Errorf("timed out: %s", name)
	}
}

// TestAnswerResetDuringUpload guards against an endpoint that answers before it has read the request, and resets the connection within the
// body of its answer, which is then delivered as complete. On Linux, a socket returns the error of a reset once: if a write gets it, a read
// that follows returns the end of the connection. The test brings about this order. The read of the answer waits for the failed write, and
// http.Transport learns of the failure, and closes the connection, only after the caller has got its answer.
func TestAnswerResetDuringUpload(t *testing.T) {
	for _, r := range routes {
		t.Run(r.path, func(t *testing.T) {
			t.Parallel()
			answerArrived, writeFailed, delivered := make(chan struct{}), make(chan struct{}), make(chan struct{})
			var first, failed sync.Once
			trace := &httptrace.ClientTrace{
				GotFirstResponseByte: func() {
					first.Do(func() {
						close(answerArrived)
						await(t, "the write fails", writeFailed)
					})
				},
				WroteRequest: func(info httptrace.WroteRequestInfo) {
					if info.Err != nil {
						failed.Do(func() {
							close(writeFailed)
							await(t, "the caller gets an answer", delivered)
						})
					}
				},
			}
			s := newUploadSite(t, r, trace, func(conn *net.TCPConn, _ io.Reader) {
				_, _ = io.WriteString(conn, partOf(r))
				await(t, "the answer arrives", answerArrived)
				_ = conn.SetLinger(0)
			})
			got, err := s.upload(r)
			close(delivered)
			s.checkBroken(r, got, err, "before the request was written")
		})
	}
}

// TestAnswerEndsDuringUpload guards against an endpoint that answers before it has read the request, and closes its side of the connection
// within the body of its answer, which is then delivered as complete. The gateway must not wait for the upload.
func TestAnswerEndsDuringUpload(t *testing.T) {
	for _, r := range routes {
		t.Run(r.path, func(t *testing.T) {
			t.Parallel()
			done := make(chan struct{})
			s := newUploadSite(t, r, nil, func(conn *net.TCPConn, _ io.Reader) {
				_, _ = io.WriteString(conn, partOf(r))
				_ = conn.CloseWrite()
				await(t, "the caller gets an answer", done)
			})
			got, err := s.upload(r)
			close(done)
			s.checkBroken(r, got, err, "before the request was written")
		})
	}
}

// TestAnswerBeforeTheUploadEnds guards against a whole answer that is taken for a broken one because the endpoint sent it before it had read
// the request.
func TestAnswerBeforeTheUploadEnds(t *testing.T) {
	for _, r := range routes {
		for _, f := range framings {
			t.Run(r.path+" "+f.name, func(t *testing.T) {
				t.Parallel()
				head, rest := f.answerIn(r.contentType, r.body)
				s := newUploadSite(t, r, nil, func(conn *net.TCPConn, body io.Reader) {
					_, _ = io.WriteString(conn, head+rest)
					_, _ = io.Copy(io.Discard, body)
				})
				got, err := s.upload(r)
				if err != nil || got.Status != 200 || got.Body != r.body {
					t.Errorf("status %d, body %q, error %v, want the answer\n%s", got.Status, got.Body, err, s.logs.text())
				}
			})
		}
	}
}
