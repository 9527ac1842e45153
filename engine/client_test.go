package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/http1/http1test"
)

// recordingSink records the answer that is delivered to it. Its method returns err.
type recordingSink struct {
	text string
	end  bool
	err  error
}

func (s *recordingSink) Chunk(c engine.Chunk) error {
	s.text += c.Text
	s.end = s.end || c.End
	return s.err
}

// fakeEngine is an HTTP server that stands in for an engine and records the calls that it receives.
type fakeEngine struct {
	*httptest.Server
	mu    sync.Mutex
	calls []string
}

func newFakeEngine(t *testing.T, handle http.HandlerFunc) *fakeEngine {
	e := &fakeEngine{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.calls = append(e.calls, r.Method+" "+r.RequestURI)
		e.mu.Unlock()
		handle(w, r)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEngine) recordedCalls() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.calls...)
}

func (e *fakeEngine) spec() engine.Spec {
	return engine.Spec{Name: "e1", Model: "small", Address: e.Listener.Addr().String(), KVTokens: 1000}
}

func completion() *engine.Completion {
	return &engine.Completion{ID: "r1", Model: "small", Prompt: []byte("hello"), PromptTokens: 5, MaxTokens: 10}
}

func grant(id string) engine.Grant {
	return engine.Grant{ID: id, Holder: "a/1", Endpoint: "e1", Request: engine.GrantRequest{ID: id, PromptTokens: 5, MaxTokens: 10}, RequestedAt: time.Now()}
}

func newClient(t *testing.T, opts ...engine.ClientOption) *engine.Client {
	c := engine.NewClient(opts...)
	t.Cleanup(c.Close)
	return c
}

// describeError returns the verdict and the reason of an error, or "ok" for nil.
func describeError(err error) string {
	var r *customer.Refusal
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &r):
		return r.Verdict().String() + " " + string(r.Reason())
	}
	return "not a refusal: " + err.Error()
}

func event(offset int, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"offset\":%d,\"text\":%q,\"instance\":5}\n\n", offset, offset, text)
}

func endMark(offset int) string {
	return fmt.Sprintf("data: {\"offset\":%d,\"text\":\"\",\"end\":true,\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":3}}\n\n", offset)
}

// TestStream guards against incomplete, repeated or reordered text, and against restarting a stream that can be resumed.
func TestStream(t *testing.T) {
	const lostStream, silent = "", ": no more\n"
	for _, c := range []struct {
		name  string
		conns []string // what each connection sends before it breaks; lostStream means that the engine no longer has the stream
		text  string
		want  string
		calls []string
	}{
		{"complete", []string{event(0, "ab") + event(2, "cd") + endMark(4)}, "abcd", "ok", []string{"POST /v1/completions"}},
		{"duplicates", []string{event(0, "ab") + event(0, "ab") + event(1, "bc") + endMark(3)}, "abc", "ok", []string{"POST /v1/completions"}},
		{"reordered", []string{event(2, "cd") + event(0, "ab") + endMark(4)}, "abcd", "ok", []string{"POST /v1/completions"}},
		{"end mark early", []string{event(0, "ab") + endMark(4) + event(2, "cd")}, "abcd", "ok", []string{"POST /v1/completions"}},
		{"resumed after a cut event", []string{event(0, "ab") + event(2, "cd")[:20], event(2, "cd") + endMark(4)}, "abcd", "ok",
			[]string{"POST /v1/completions", "GET /v1/streams/g1?offset=2"}},
		{"resumed after a missing chunk", []string{event(0, "ab") + endMark(4), event(2, "cd") + endMark(4)}, "abcd", "ok",
			[]string{"POST /v1/completions", "GET /v1/streams/g1?offset=2"}},
		{"resumed after a stall", []string{event(0, "ab") + silent, event(2, "cd") + endMark(4)}, "abcd", "ok",
			[]string{"POST /v1/completions", "GET /v1/streams/g1?offset=2"}},
		{"slow engine", []string{event(0, "a") + silent, silent, silent, silent, silent, silent, event(1, "b") + endMark(2)}, "ab", "ok",
			append([]string{"POST /v1/completions"}, slices.Repeat([]string{"GET /v1/streams/g1?offset=1"}, 6)...)},
		{"stream lost by the engine", []string{event(0, "ab"), lostStream}, "ab", "mayHaveRun endpointFailed",
			[]string{"POST /v1/completions", "GET /v1/streams/g1?offset=2", "DELETE /v1/streams/g1"}},
		{"restarted engine", []string{event(0, "ab"), "data: {\"offset\":2,\"text\":\"cd\",\"instance\":6}\n\n" + endMark(4)}, "ab", "mayHaveRun endpointFailed",
			[]string{"POST /v1/completions", "GET /v1/streams/g1?offset=2", "DELETE /v1/streams/g1"}},
		{"less text than sent", []string{event(0, "abcd") + endMark(2), lostStream}, "abcd", "mayHaveRun endpointFailed",
			[]string{"POST /v1/completions", "GET /v1/streams/g1?offset=4", "DELETE /v1/streams/g1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := 0
			e := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodDelete {
					io.WriteString(w, `{"known":true}`)
					return
				}
				io.Copy(io.Discard, r.Body) // the server detects a closed connection only once the body is read
				response := c.conns[conn]
				conn++
				if response == lostStream {
					w.WriteHeader(http.StatusNotFound)
					io.WriteString(w, `{"error":{"reason":"unknownStream","verdict":"notRun"}}`)
					return
				}
				io.WriteString(w, response)
				w.(http.Flusher).Flush()
				if strings.HasSuffix(response, silent) {
					<-r.Context().Done()
				}
				panic(http.ErrAbortHandler)
			})
			var sink recordingSink
			err := newClient(t, engine.WithStallTimeout(50*time.Millisecond)).Stream(t.Context(), e.spec(), completion(), grant("g1"), 1, &sink)
			if diff := cmp.Diff([]string{c.want, c.text, fmt.Sprint(c.want == "ok")}, []string{describeError(err), sink.text, fmt.Sprint(sink.end)}); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(c.calls, e.recordedCalls()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestStreamRefusals guards against the verdict notRun without proof, and against a reason that differs from the engine's.
func TestStreamRefusals(t *testing.T) {
	for _, c := range []struct {
		status     int
		body, want string
	}{
		{503, `{"error":{"reason":"overloaded","verdict":"notRun"}}`, "notRun endpointRefused"},
		{503, `{"error":{"reason":"cold","verdict":"notRun"}}`, "notRun cold"},
		{400, `{"error":{"reason":"badRequest","verdict":"notRun"}}`, "notRun badRequest"},
		{503, `{"error":{"reason":"overloaded","verdict":"mayHaveRun"}}`, "mayHaveRun endpointFailed"},
		{503, `{"error":{"reason":"overloaded"}}`, "mayHaveRun endpointFailed"},
		{500, `not JSON`, "mayHaveRun endpointFailed"},
		{200, ``, "mayHaveRun endpointFailed"},
	} {
		e := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			w.WriteHeader(c.status)
			io.WriteString(w, c.body)
		})
		if got := describeError(newClient(t).Stream(t.Context(), e.spec(), completion(), grant("g1"), 1, &recordingSink{})); got != c.want {
			t.Errorf("%d %s: %s, want %s", c.status, c.body, got, c.want)
		}
	}
}

// TestStreamExpiredGrant guards against sending a request under an expired grant. A grant can expire while the request is
// prepared or the connection is opened.
func TestStreamExpiredGrant(t *testing.T) {
	e := newFakeEngine(t, func(http.ResponseWriter, *http.Request) {})
	g := grant("g1")
	c := newClient(t, engine.WithClock(func() time.Time { return g.RequestedAt.Add(engine.GrantLifetime) }))
	if got := describeError(c.Stream(t.Context(), e.spec(), completion(), g, 1, &recordingSink{})); got != "notRun grantExpired" {
		t.Error(got)
	}
	if calls := e.recordedCalls(); len(calls) > 0 {
		t.Errorf("the engine received %v", calls)
	}
}

// TestStreamCancelled guards against work that continues on the engine after the request has ended.
func TestStreamCancelled(t *testing.T) {
	for name, c := range map[string]struct {
		sinkErr error
		want    string
	}{
		"context cancelled":           {nil, "mayHaveRun callerGone"},
		"sink fails":                  {errors.New("connection closed"), "mayHaveRun callerGone"},
		"sink returns its own reason": {customer.Fail(customer.ReasonDeadline, "too late"), "mayHaveRun deadline"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			closed := make(chan struct{})
			e := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodDelete {
					io.WriteString(w, `{"known":true}`)
					return
				}
				io.Copy(io.Discard, r.Body)
				io.WriteString(w, event(0, "ab"))
				w.(http.Flusher).Flush()
				if c.sinkErr == nil {
					cancel()
				}
				<-r.Context().Done()
				close(closed)
			})
			err := newClient(t).Stream(ctx, e.spec(), completion(), grant("g1"), 1, &recordingSink{err: c.sinkErr})
			<-closed
			if got := describeError(err); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
			if diff := cmp.Diff([]string{"POST /v1/completions", "DELETE /v1/streams/g1"}, e.recordedCalls()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// newCountingListener starts a server that reads one request from each connection and closes the connection without a response.
// count returns the number of requests with the given method so far.
func newCountingListener(t *testing.T) (address string, count func(method string) int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	seen := map[string]int{}
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
				seen[r.Method]++
				mu.Unlock()
			}
			conn.Close()
		}
	}()
	t.Cleanup(func() { ln.Close(); <-done })
	return ln.Addr().String(), func(method string) int {
		mu.Lock()
		defer mu.Unlock()
		return seen[method]
	}
}

// TestSentOnce guards against an HTTP library that resends a request by itself after a broken connection.
func TestSentOnce(t *testing.T) {
	for method, call := range map[string]func(c *engine.Client, s engine.Spec) error{
		"POST": func(c *engine.Client, s engine.Spec) error {
			return c.Stream(t.Context(), s, completion(), grant("g1"), 1, &recordingSink{})
		},
		"GET":    func(c *engine.Client, s engine.Spec) error { _, err := c.Report(t.Context(), s); return err },
		"DELETE": func(c *engine.Client, s engine.Spec) error { return c.Cancel(t.Context(), s, "g1") },
	} {
		address, count := newCountingListener(t)
		if got := describeError(call(newClient(t), engine.Spec{Name: "e1", Address: address})); got != "mayHaveRun endpointFailed" {
			t.Errorf("%s: %s", method, got)
		}
		if n := count(method); n != 1 {
			t.Errorf("%s was sent %d times", method, n)
		}
	}
}

// TestNotConnected guards against the verdict mayHaveRun for a request that was certainly not sent.
func TestNotConnected(t *testing.T) {
	e := newFakeEngine(t, func(http.ResponseWriter, *http.Request) {})
	s := e.spec()
	e.Close()
	if got := describeError(newClient(t).Stream(t.Context(), s, completion(), grant("g1"), 1, &recordingSink{})); got != "notRun endpointFailed" {
		t.Error(got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got := describeError(newClient(t).Stream(ctx, s, completion(), grant("g1"), 1, &recordingSink{})); got != "notRun callerGone" {
		t.Error(got)
	}
}

// TestStreamGroup guards against memory that stays reserved on group members, and against sending a completion before the
// memory is reserved on all members.
func TestStreamGroup(t *testing.T) {
	for name, c := range map[string]struct {
		refuse string // the member whose reservation fails
		want   string
		calls  map[string][]string
	}{
		"all reserved": {"", "ok", map[string][]string{
			"e1": {"POST /v1/completions 6+9"},
			"e2": {"POST /v1/reservations 6", "DELETE /v1/streams/g1"},
			"e3": {"POST /v1/reservations 3", "DELETE /v1/streams/g1"},
		}},
		"last member full": {"e3", "notRun endpointRefused", map[string][]string{
			"e2": {"POST /v1/reservations 6", "DELETE /v1/streams/g1"},
			"e3": {"POST /v1/reservations 3"},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			calls := map[string][]string{}
			var specs []engine.Spec
			for i, member := range []string{"e1", "e2", "e3"} {
				e := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request) {
					var body struct {
						Tokens         int
						ReservedTokens int `json:"reserved_tokens"`
						GroupTokens    int `json:"group_tokens"`
					}
					json.NewDecoder(r.Body).Decode(&body)
					call := r.Method + " " + r.URL.Path
					switch {
					case body.ReservedTokens > 0:
						call += fmt.Sprintf(" %d+%d", body.ReservedTokens, body.GroupTokens)
						io.WriteString(w, endMark(0))
					case body.Tokens > 0 && member == c.refuse:
						call += fmt.Sprint(" ", body.Tokens)
						w.WriteHeader(http.StatusConflict)
						io.WriteString(w, `{"error":{"reason":"memory","verdict":"notRun"}}`)
					case body.Tokens > 0:
						call += fmt.Sprint(" ", body.Tokens)
						io.WriteString(w, `{}`)
					}
					mu.Lock()
					defer mu.Unlock()
					calls[member] = append(calls[member], call)
				})
				s := e.spec()
				s.Name, s.Group, s.KVTokens = member, "g", []int{8, 8, 4}[i]
				specs = append([]engine.Spec{s}, specs...) // the order of the list differs from that of the group
			}
			r := completion()
			members, ok := engine.PlanGroup(r, specs[2], specs)
			if !ok {
				t.Fatal("no plan")
			}
			var grants []engine.Grant
			for _, m := range members {
				g := grant("g1")
				g.Request = m.GrantRequest(g.Request)
				grants = append(grants, g)
			}
			if got := describeError(newClient(t).StreamGroup(t.Context(), members, r, grants, 1, &recordingSink{})); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
			mu.Lock()
			defer mu.Unlock()
			if diff := cmp.Diff(c.calls, calls); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestClientCalls guards against fields of the engine's JSON that are not decoded.
func TestClientCalls(t *testing.T) {
	e := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/report":
			io.WriteString(w, `{"instance":5,"sequence":17,"ageMillis":200,"model":"small","version":"1","adapters":["x"],"role":"mixed","cold":true,
				"kvTokens":400000,"kvUsed":12000,"sequences":64,"running":3,"waiting":1,"prefillBacklog":1000,
				"streams":[{"id":"g1","holder":"a/1","tokens":1064}]}`)
		case "/v1/cacheEvents":
			io.WriteString(w, `{"events":[{"sequence":7,"kind":"stored","prefix":"ff"},{"sequence":8,"kind":"evicted","prefix":"0a"}],"next":9}`)
		case "/v1/orders":
			w.WriteHeader(http.StatusConflict)
			io.WriteString(w, `{"error":{"reason":"oldFence","verdict":"notRun"}}`)
		default:
			io.WriteString(w, `{"cancelled":1}`)
		}
	})
	c := newClient(t, engine.WithClock(func() time.Time { return start }))
	report, err := c.Report(t.Context(), e.spec())
	want := engine.Report{
		Instance: 5, Sequence: 17, Age: 200 * time.Millisecond, Model: "small", Version: "1", Adapters: []string{"x"}, Role: "mixed", Cold: true,
		KVTokens: 400_000, KVUsed: 12_000, Sequences: 64, Running: 3, Waiting: 1, PrefillBacklog: 1000,
		Streams: []engine.StreamReport{{ID: "g1", Holder: "a/1", Tokens: 1064}},
	}
	if diff := cmp.Diff(want, report); diff != "" || err != nil {
		t.Error(diff, err)
	}
	events, err := c.CacheEvents(t.Context(), e.spec(), 7)
	if diff := cmp.Diff([]engine.CacheEvent{{Sequence: 7, Stored: true, Prefix: 255}, {Sequence: 8, Prefix: 10}}, events); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if err := c.CancelHolder(t.Context(), e.spec(), "a/1", 12); err != nil {
		t.Error(err)
	}
	if got := describeError(c.Order(t.Context(), e.spec(), engine.Order{Kind: engine.OrderSetRole, Role: "mixed", Fence: 7})); got != "notRun endpointRefused" {
		t.Error(got)
	}
	if diff := cmp.Diff([]string{"GET /v1/report", "GET /v1/cacheEvents?from=7", "DELETE /v1/streams?holder=a%2F1&incarnation=12", "POST /v1/orders"}, e.recordedCalls()); diff != "" {
		t.Error(diff)
	}
}

// TestMalformedHead guards against a response with a malformed head that counts as one of the engine, and against the verdict notRun for the
// request.
func TestMalformedHead(t *testing.T) {
	http1test.CheckClient(t, "{}", func(t *testing.T, address string) map[string]error {
		c, s := newClient(t), engine.Spec{Name: "e1", Address: address}
		_, reportErr := c.Report(t.Context(), s)
		errs := map[string]error{"Report": reportErr, "Cancel": c.Cancel(t.Context(), s, "g1")}
		if reportErr != nil { // otherwise the response is well-formed, but no stream
			errs["Stream"] = c.Stream(t.Context(), s, completion(), grant("g1"), 1, &recordingSink{})
		}
		for name, err := range errs {
			if err != nil && describeError(err) != "mayHaveRun endpointFailed" {
				t.Errorf("%s: %v, want mayHaveRun", name, err)
			}
		}
		return errs
	})
}
