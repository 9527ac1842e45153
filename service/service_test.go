package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/customer"
	"goldcrestpath/http1/http1test"
	"goldcrestpath/service"
)

// TestMayRetry guards against running a charge or a reservation twice because a rule matches more calls than intended.
func TestMayRetry(t *testing.T) {
	s := service.Spec{IdempotentRules: []string{"PUT /seats", "POST /search/", "DELETE"}, HonoursIdempotencyKey: true}
	for _, c := range []struct {
		name string
		r    service.Request
		want bool
	}{
		{"GET", service.Request{Method: "GET", Path: "/any"}, true},
		{"lower case is another method", service.Request{Method: "get", Path: "/any"}, false},
		{"strict GET", service.Request{Method: "GET", Path: "/any", NeverRetry: true}, false},
		{"GET that overrides its method", service.Request{Method: "GET", Path: "/any", Headers: []service.Header{{Name: "X-HTTP-Method-Override", Value: "POST"}}}, false},
		{"rule", service.Request{Method: "PUT", Path: "/seats"}, true},
		{"below the rule", service.Request{Method: "PUT", Path: "/seats/4?x=/.."}, true},
		{"other method", service.Request{Method: "POST", Path: "/seats"}, false},
		{"same beginning", service.Request{Method: "PUT", Path: "/seatsale"}, false},
		{"rule with a slash", service.Request{Method: "POST", Path: "/search/by"}, true},
		{"rule without a path", service.Request{Method: "DELETE", Path: "/seats"}, false},
		{"dot segment", service.Request{Method: "PUT", Path: "/seats/../charge"}, false},
		{"escaped dot segment", service.Request{Method: "PUT", Path: "/seats/%2e%2e/charge"}, false},
		{"empty segment", service.Request{Method: "PUT", Path: "/seats//charge"}, false},
		{"key that the service honours", service.Request{Method: "POST", Path: "/charge", IdempotencyKey: "k"}, false},
	} {
		if got := service.MayRetry(s, &c.r); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func describeError(err error) string {
	if err == nil {
		return "ok"
	}
	r := customer.AsRefusal(err)
	return r.Verdict().String() + " " + string(r.Reason())
}

// TestDoByteForByte guards against requests and responses whose path, headers or body the client modifies.
func TestDoByteForByte(t *testing.T) {
	type call struct {
		Method, URI, Body string
		Headers           http.Header
	}
	var got call
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = call{r.Method, r.RequestURI, string(body), r.Header}
		w.Header()["X-Seat"] = []string{"a", "b"}
		w.WriteHeader(http.StatusTeapot)
		w.Write(body)
	}))
	defer server.Close()
	s := service.Spec{Name: "b1", Address: server.Listener.Addr().String()}
	r := &service.Request{
		Method: "PUT", Path: "/a/../b//c%2F?x=%20", Body: []byte{0, 255, 10},
		Headers: []service.Header{{"X-A", "1"}, {"X-A", "2"}, {"Connection", "upgrade"}, {"Content-Type", "x/y"}},
	}
	resp, err := service.NewClient().Do(t.Context(), s, r)
	if err != nil {
		t.Fatal(err)
	}
	want := call{"PUT", r.Path, string(r.Body), http.Header{"X-A": {"1", "2"}, "Content-Type": {"x/y"}, "Connection": {"close"}, "Content-Length": {"3"}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("request:", diff)
	}
	var seats []string
	for _, h := range resp.Headers {
		if h.Name == "X-Seat" {
			seats = append(seats, h.Value)
		}
	}
	if diff := cmp.Diff([]any{http.StatusTeapot, r.Body, []string{"a", "b"}}, []any{resp.Status, resp.Body, seats}); diff != "" {
		t.Error("response:", diff)
	}
}

// TestDoVerdicts guards against the verdict notRun without proof, and against truncated or oversized responses that count as
// complete.
func TestDoVerdicts(t *testing.T) {
	for _, c := range []struct{ name, answer, want string }{
		{"refused", "HTTP/1.1 503 X\r\nGoldcrest-Verdict: notRun\r\nContent-Length: 0\r\n\r\n", "notRun endpointRefused"},
		{"503 without the header", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", "ok"},
		{"header with another status", "HTTP/1.1 500 X\r\nGoldcrest-Verdict: notRun\r\nContent-Length: 0\r\n\r\n", "ok"},
		{"truncated", "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nab", "mayHaveRun endpointFailed"},
		{"truncated chunk", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab", "mayHaveRun endpointFailed"},
		{"too long", "HTTP/1.1 200 X\r\nContent-Length: 20\r\n\r\n01234567890123456789", "mayHaveRun endpointFailed"},
		{"no answer", "", "mayHaveRun endpointFailed"},
	} {
		for _, method := range []string{"POST", "GET", "PUT"} {
			address, count := newRawServer(t, c.answer)
			resp, err := service.NewClient(service.WithMaxResponse(10)).Do(t.Context(), service.Spec{Name: "b1", Address: address}, &service.Request{Method: method, Path: "/x", Body: []byte("b")})
			if got := describeError(err); got != c.want {
				t.Errorf("%s, %s: %s, want %s", c.name, method, got, c.want)
			}
			if resp != nil && len(resp.Headers) > 0 && c.name == "503 without the header" {
				t.Errorf("%s, %s: headers that were not sent: %v", c.name, method, resp.Headers)
			}
			if n := count(); n != 1 {
				t.Errorf("%s, %s: sent %d times", c.name, method, n)
			}
		}
	}
}

// newRawServer starts a server that sends answer, byte for byte, to one request on each connection and then closes the
// connection. count returns the number of requests so far.
func newRawServer(t *testing.T, answer string) (address string, count func() int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	n := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.Copy(io.Discard, r.Body)
				mu.Lock()
				n++
				mu.Unlock()
				io.WriteString(conn, answer)
			}
			conn.Close()
		}
	}()
	t.Cleanup(func() { ln.Close(); <-done })
	return ln.Addr().String(), func() int { mu.Lock(); defer mu.Unlock(); return n }
}

// TestDoNotSent guards against the verdict mayHaveRun for a call that was certainly not sent.
func TestDoNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := service.Spec{Name: "b1", Address: ln.Addr().String()}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := service.NewClient().Do(ctx, s, &service.Request{Method: "POST", Path: "/x"}); describeError(err) != "notRun callerGone" {
		t.Error(err)
	}
	ln.Close()
	if _, err := service.NewClient().Do(t.Context(), s, &service.Request{Method: "POST", Path: "/x"}); describeError(err) != "notRun endpointFailed" {
		t.Error(err)
	}
}

// TestSelector guards against more concurrent calls than an instance permits, and against calls to an instance that keeps failing.
func TestSelector(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	specs := []service.Spec{{Name: "b1", MaxConcurrent: 2}, {Name: "b2", MaxConcurrent: 2}}
	selector := service.NewSelector()
	selector.SetVMCount(2)
	selectService := func() (*service.Selection, string) {
		sel, refusal := selector.Select(now, specs)
		if refusal != nil {
			return nil, string(refusal.Reason())
		}
		return sel, sel.Spec.Name
	}
	first, a := selectService()
	second, b := selectService()
	if a == b {
		t.Errorf("both calls went to %s", a)
	}
	if _, got := selectService(); got != "queueFull" {
		t.Errorf("a call above the limit: %s", got)
	}
	first.End(now, true)
	first.End(now, false)
	if _, got := selectService(); got != "queueFull" {
		t.Errorf("a call while %s is skipped: %s", a, got)
	}
	second.End(now, true)
	if _, got := selectService(); got != "noEndpoint" {
		t.Errorf("a call while all instances are skipped: %s", got)
	}
	now = now.Add(250 * time.Millisecond)
	retry, a := selectService()
	retry.End(now, true)
	second, b = selectService()
	if a == b {
		t.Errorf("%s failed again and got the next call", a)
	}
	second.End(now, false)
	now = now.Add(499 * time.Millisecond)
	for range 4 {
		sel, got := selectService()
		if got != b {
			t.Errorf("a call to %s before its doubled backoff has passed", got)
		}
		sel.End(now, false)
	}
}

// TestDoMalformedHead guards against a response with a malformed head that counts as one of the instance, and against the verdict notRun for
// the call.
func TestDoMalformedHead(t *testing.T) {
	http1test.CheckClient(t, "ok", func(t *testing.T, address string) map[string]error {
		_, err := service.NewClient().Do(t.Context(), service.Spec{Name: "b1", Address: address}, &service.Request{Method: "POST", Path: "/x"})
		if err != nil && describeError(err) != "mayHaveRun endpointFailed" {
			t.Errorf("%v, want mayHaveRun", err)
		}
		return map[string]error{"Do": err}
	})
}
