package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"

	"goldcrestpath/endpoint"
	"goldcrestpath/forward"
	"goldcrestpath/operator"
)

// Headers of the test codec.
const (
	headerID        = "X-Id"
	headerNotRun    = "X-Not-Run"
	headerAuthentic = "X-Genuine"
	headerLastEvent = "X-Last"
	headerCustomer  = "X-Customer"
	headerPriority  = "X-Priority"
	headerTimeLimit = "X-Left"
	headerPart      = "X-Part"
	headerLeaving   = "X-Leaving"
	headerPause     = "X-Pause"
)

// codec is a minimal forward.Codec.
type codec struct{}

func (codec) DecodeCall(r *http.Request) (*forward.Call, error) {
	c := &forward.Call{ID: r.Header.Get(headerID), LastEventID: r.Header.Get(headerLastEvent), Host: r.Host, Path: r.URL.Path, RequestTarget: r.RequestURI, Method: r.Method, Header: http.Header{}, APIKey: r.Header.Get("X-Key")}
	if v := r.Header.Get(headerTimeLimit); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return nil, &forward.BadRequestError{Status: http.StatusBadRequest, Message: err.Error()}
		}
		c.TimeLeft = d
	}
	c.PromptTokens, c.OutputTokens = 1000, 10
	if ids := r.Header.Get(headerPart); ids != "" {
		for id := range strings.SplitSeq(ids, ",") {
			c.SharedParts = append(c.SharedParts, endpoint.PromptPartOf(id))
		}
	}
	return c, nil
}

func (codec) EncodeAttempt(h http.Header, c *forward.Call, a *forward.Attempt) {
	h.Set(headerID, c.ID)
	h.Set(headerLastEvent, a.LastEventID)
	h.Set(headerCustomer, a.Customer)
	h.Set(headerPriority, strconv.Itoa(a.Priority))
}

func (codec) DecodeHead(c *forward.Call, resp *http.Response) forward.AnswerHead {
	pause, _ := time.ParseDuration(resp.Header.Get(headerPause)) // 0 without the header
	return forward.AnswerHead{
		Status: resp.StatusCode, Header: resp.Header, NotRun: resp.Header.Get(headerNotRun) != "",
		Anonymous: resp.Header.Get(headerID) == "", Notice: endpoint.Notice{Leaving: resp.Header.Get(headerLeaving) != "", Pause: pause},
		MatchesAttempt: resp.Header.Get(headerID) == c.ID, Authentic: resp.Header.Get(headerAuthentic) != "",
	}
}

func (codec) EncodeRefusal(http.Header, *forward.Call) {}

// site is a handler with a set of endpoints.
type site struct {
	t       *testing.T
	handler *forward.Handler
	server  *httptest.Server
	fleet   *endpoint.Fleet
	logs    *logBuffer
}

// logBuffer collects log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *logBuffer) HandleLog(e *log.Entry) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, err := json.Marshal(e.Fields)
	b.lines = append(b.lines, e.Message+" "+string(data))
	return err
}

// text returns all lines.
func (b *logBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.lines, "\n")
}

// newSite returns a site with one endpoint for each of the given HTTP handlers.
func newSite(t *testing.T, endpoints ...http.HandlerFunc) *site {
	t.Helper()
	return newSiteWith(t, nil, endpoints...)
}

// newSiteWith is like newSite, with options of the handler.
func newSiteWith(t *testing.T, opts []forward.Option, endpoints ...http.HandlerFunc) *site {
	t.Helper()
	return newSiteOn(t, endpoint.NewFleet(), opts, endpoints...)
}

// newSiteOn is like newSiteWith for the given fleet.
func newSiteOn(t *testing.T, fleet *endpoint.Fleet, opts []forward.Option, endpoints ...http.HandlerFunc) *site {
	t.Helper()
	s := &site{t: t, fleet: fleet, logs: &logBuffer{}}
	budget := endpoint.NewRetryBudget(0.2, 100, 10*time.Second)
	s.handler = forward.NewHandler(codec{}, s.fleet, budget, &log.Logger{Handler: s.logs, Level: log.InfoLevel}, opts...)
	for i, h := range endpoints {
		e := httptest.NewServer(h)
		t.Cleanup(e.Close)
		s.fleet.SetEntry(time.Now(), endpoint.Entry{
			ID: fmt.Sprint("e", i), Service: "desk", Address: e.Listener.Addr().String(), DataCentre: "dc", Slots: 4,
		}, 0)
	}
	s.setTable(1)
	s.server = httptest.NewServer(s.handler)
	t.Cleanup(s.server.Close)
	t.Cleanup(s.handler.Close)
	return s
}

// setTable installs a table with a route for each kind of request.
func (s *site) setTable(version int64, keys ...string) { s.setTableWith(version, nil, keys...) }

// setTableWith is like setTable for a service with an engine model.
func (s *site) setTableWith(version int64, engine *endpoint.Engine, keys ...string) {
	s.setSpec(s.routingSpec(version, engine, keys...))
}

// setSpec installs a table.
func (s *site) setSpec(spec operator.RoutingSpec) {
	s.t.Helper()
	table, err := operator.NewRoutingTable(spec)
	if err != nil {
		s.t.Fatal(err)
	}
	s.handler.SetTable(table)
}

// routingSpec returns a table with a route for each kind of request.
func (s *site) routingSpec(version int64, engine *endpoint.Engine, keys ...string) operator.RoutingSpec {
	route := func(name string, kind operator.RouteKind, attempts int) operator.Route {
		return operator.Route{
			Name: name, Host: "site.test", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, TTFTTarget: 200 * time.Millisecond,
			GapLimit: 200 * time.Millisecond, MaxAttempts: attempts, Public: len(keys) == 0, Services: []operator.WeightedService{{Service: "desk", Weight: 1}},
		}
	}
	return operator.RoutingSpec{
		Version: version,
		Routes: []operator.Route{
			route("read", operator.Idempotent, 2), route("book", operator.AtMostOnce, 2), route("stream", operator.ResumableStream, 2),
			route("once", operator.Stream, 2),
		},
		Services:  []endpoint.Service{{Name: "desk", Engine: engine}},
		Customers: []operator.Customer{{Name: "team", APIKeys: keys}}, RequiresKey: len(keys) > 0,
		Limits: operator.CallerLimits{HeaderBytes: 2000, BodyBytes: 5000},
	}
}

// answer is what a caller receives.
type answer struct {
	Status int
	Body   string
	Retry  bool // the answer has a Retry-After header
}

// do sends a request and reads the answer. The error is set if the answer is incomplete.
func (s *site) do(method, path, body string, header ...string) (answer, error) {
	s.t.Helper()
	req, err := http.NewRequest(method, s.server.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "site.test"
	req.Header.Set(headerID, "call-1")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{Status: resp.StatusCode, Body: string(data), Retry: resp.Header.Get("Retry-After") != ""}, err
}

// echo answers with the method, the request target and the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerAuthentic, "1")
	fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

// hang sends no answer until the gateway closes the connection.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server detects the close only after it has read the body
	<-r.Context().Done()
}

// rejectNotRun states that the request did not run.
func rejectNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerNotRun, "1")
	w.Header().Set(headerID, "call-1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// raw answers with the given bytes and closes the connection.
func raw(bytes string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = buf.WriteString(bytes)
		_ = buf.Flush()
		conn.Close()
	}
}

// head is the beginning of a valid answer.
const head = "HTTP/1.1 200 OK\r\nX-Id: call-1\r\nX-Genuine: 1\r\n"

// TestForwardsAsReceived guards against a method, request target or body that reaches the endpoint altered.
func TestForwardsAsReceived(t *testing.T) {
	s := newSite(t, echo)
	for _, c := range []struct{ method, path, body string }{
		{"GET", "/read/a", ""},
		{"GET", "/read/a%2Fb//c?x=1&y=%20", ""},
		{"POST", "/book/1?", "charge"},
		{"DELETE", "/read/x?a=b?c", ""},
	} {
		got, err := s.do(c.method, c.path, c.body)
		if err != nil {
			t.Fatal(err)
		}
		want := answer{Status: 200, Body: fmt.Sprintf("%s %s %s", c.method, c.path, c.body)}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s %s: %s", c.method, c.path, diff)
		}
	}
}

// TestAtMostOnce guards against sending a request again that must not be repeated and may have run, and against a refusal that
// then states that it did not run.
func TestAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		endpoint http.HandlerFunc
		want     int // status
		sends    int32
	}{
		{"connection closed", raw(""), 502, 1},
		{"cut within the header", raw("HTTP/1.1 200 OK\r\nX-I"), 502, 1},
		{"cut within the body", raw(head + "Content-Length: 10\r\n\r\nabc"), 502, 1},
		{"cut within a chunk", raw(head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab"), 502, 1},
		{"another request's answer", raw("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Genuine: 1\r\nContent-Length: 2\r\n\r\nok"), 502, 1},
		{"not an answer", raw("nonsense\r\n\r\n"), 502, 1},
		{"not genuine", raw("HTTP/1.1 200 OK\r\nX-Id: call-1\r\nContent-Length: 2\r\n\r\nok"), 502, 1},
		{"not run", rejectNotRun, 503, 2},
	} {
		var sends atomic.Int32
		counted := func(w http.ResponseWriter, r *http.Request) { sends.Add(1); c.endpoint(w, r) }
		s := newSite(t, counted, counted)
		got, err := s.do("POST", "/book/1", "charge")
		if err != nil {
			t.Fatal(err)
		}
		if got.Status != c.want || sends.Load() != c.sends {
			t.Errorf("%s: status %d after %d sends, want %d after %d", c.name, got.Status, sends.Load(), c.want, c.sends)
		}
	}
}

// TestIdempotentRequestIsRetried guards against a failure that reaches the caller although the request can be repeated.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{
		"closed": raw(""), "cut": raw(head + "Content-Length: 10\r\n\r\nabc"), "refused": rejectNotRun,
		"failed": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerID, "call-1")
			w.WriteHeader(http.StatusInternalServerError)
		},
		"silent": hang,
	} {
		var first atomic.Bool
		once := func(w http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(false, true) {
				bad(w, r)
				return
			}
			echo(w, r)
		}
		s := newSite(t, once, once)
		got, err := s.do("GET", "/read/1", "")
		if err != nil || got.Status != 200 {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}

// TestEndpointErrorIsDelivered guards against replacing the error response of an endpoint by one of the gateway.
func TestEndpointErrorIsDelivered(t *testing.T) {
	fails := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerID, "call-1")
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, "broken")
	}
	s := newSite(t, fails)
	got, err := s.do("POST", "/book/1", "charge")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(answer{Status: 500, Body: "broken"}, got); diff != "" {
		t.Error(diff)
	}
}

// events writes n events, beginning after the one that the request names. If complete is false, it breaks off within the last
// event.
func events(w http.ResponseWriter, r *http.Request, n int, complete bool) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerAuthentic, "1")
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if v := r.Header.Get(headerLastEvent); v != "" {
		fmt.Sscan(v, &from)
	}
	for i := from + 1; i <= n; i++ {
		if i == n && !complete {
			fmt.Fprintf(w, "id: %d\ndata: ha", i)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		w.(http.Flusher).Flush()
	}
}

// wantEvents returns the body of a complete stream of n events.
func wantEvents(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// TestStreamResumesElsewhere guards against a stream with a missing, duplicate or truncated event after an endpoint broke off.
func TestStreamResumesElsewhere(t *testing.T) {
	var sends atomic.Int32
	h := func(w http.ResponseWriter, r *http.Request) { events(w, r, 5, sends.Add(1) > 1) }
	s := newSite(t, h, h)
	got, err := s.do("POST", "/stream/1", "prompt")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(answer{Status: 200, Body: wantEvents(5)}, got); diff != "" {
		t.Error(diff)
	}
}

// TestBrokenStreamIsNotComplete guards against a broken stream that looks complete, and against sending a stream again that must
// not be resumed.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	for _, path := range []string{"/once/1", "/stream/1"} {
		var sends atomic.Int32
		h := func(w http.ResponseWriter, r *http.Request) { sends.Add(1); events(w, r, 5, false) }
		s := newSite(t, h, h, h)
		got, err := s.do("POST", path, "prompt")
		if err == nil {
			t.Errorf("%s: %q looks complete", path, got.Body)
		}
		if want := int32(2); path == "/once/1" && sends.Load() != 1 || sends.Load() > want {
			t.Errorf("%s: sent %d times", path, sends.Load())
		}
	}
}

// TestCallerDisconnects guards against an endpoint that continues to work after its caller disconnected.
func TestCallerDisconnects(t *testing.T) {
	started, stopped := make(chan struct{}), make(chan struct{})
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		hang(w, r)
		close(stopped)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", s.server.URL+"/book/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "site.test"
	go func() {
		if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
			resp.Body.Close()
		}
	}()
	<-started
	cancel()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("the endpoint still works on the request 10 s after the caller disconnected")
	}
}

// TestTimeLimit guards against answers after the time limit of the caller or the route, and against stating that a request did
// not run although it did.
func TestTimeLimit(t *testing.T) {
	s := newSite(t, hang)
	got, err := s.do("POST", "/book/1", "x", headerTimeLimit, "300ms")
	if err != nil || got.Status != http.StatusGatewayTimeout {
		t.Errorf("%+v, %v, want 504", got, err)
	}
	empty := newSite(t)
	got, err = empty.do("POST", "/book/1", "x", headerTimeLimit, "300ms")
	if err != nil || got.Status != http.StatusServiceUnavailable || !got.Retry {
		t.Errorf("without endpoints: %+v, %v, want 503 with Retry-After", got, err)
	}
}

// TestAdmission guards against requests that are accepted or refused against the rules of the current configuration.
func TestAdmission(t *testing.T) {
	s := newSite(t, echo)
	s.setTable(2, "secret")
	s.setTable(1) // an older version that arrives late must not replace the newer one
	for _, c := range []struct {
		name, path string
		header     []string
		body       string
		want       int
	}{
		{"key", "/read/1", []string{"X-Key", "secret"}, "", 200},
		{"no key", "/read/1", nil, "", 401},
		{"wrong key", "/read/1", []string{"X-Key", "secre"}, "", 401},
		{"no route", "/none/1", []string{"X-Key", "secret"}, "", 404},
		{"prefix without its slash", "/read", []string{"X-Key", "secret"}, "", 404},
		{"long body", "/book/1", []string{"X-Key", "secret"}, strings.Repeat("x", 6000), 413},
		{"long header", "/read/1", []string{"X-Key", "secret", "X-Pad", strings.Repeat("x", 3000)}, "", 431},
		{"bad time limit", "/read/1", []string{"X-Key", "secret", headerTimeLimit, "soon"}, "", 400},
	} {
		got, err := s.do("POST", c.path, c.body, c.header...)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if got.Status != c.want {
			t.Errorf("%s: status %d, want %d", c.name, got.Status, c.want)
		}
	}
	bare := forward.NewHandler(codec{}, endpoint.NewFleet(), endpoint.NewRetryBudget(0, 0, time.Second), &log.Logger{Handler: discard.New()})
	w := httptest.NewRecorder()
	bare.ServeHTTP(w, httptest.NewRequest("GET", "/read/1", nil))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: status %d, want 503", w.Code)
	}
}

// TestSmuggledRequests guards against request smuggling: the bytes after a body of ambiguous length must not reach an endpoint as
// a request.
func TestSmuggledRequests(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen = append(seen, r.RequestURI)
		mu.Unlock()
		echo(w, r)
	})
	smuggled := "GET /read/evil HTTP/1.1\r\nHost: site.test\r\nX-Id: call-1\r\n\r\n"
	for _, headers := range []string{
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length: 0\r\nContent-Length: " + fmt.Sprint(len(smuggled)) + "\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
		"Transfer-Encoding : chunked\r\n",
		"Content-Length: +5\r\n",
	} {
		conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: site.test\r\nX-Id: call-1\r\n%s\r\n0\r\n\r\n", headers)
		if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		conn.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	for _, uri := range seen {
		if uri != "/book/1" {
			t.Errorf("an endpoint received %q, which no caller sent", uri)
		}
	}
}

// TestNoReserver guards against a crash if a prompt needs the memory of several engines and the handler has no Reserver.
func TestNoReserver(t *testing.T) {
	s := newSite(t)
	engine := &endpoint.Engine{Slots: 4, KVTokens: 600, PrefillRate: 1e6, IterationsPerStep: 1}
	s.fleet.SetServices(map[string]*endpoint.Service{"desk": {Name: "desk", Engine: engine}})
	s.setTableWith(3, engine)
	for i := range 4 {
		s.fleet.SetEntry(time.Now(), endpoint.Entry{ID: fmt.Sprint("m", i), Service: "desk", Address: "127.0.0.1:1", DataCentre: "dc", Slots: 4}, 0)
	}
	got, err := s.do("POST", "/stream/1", "prompt")
	if err != nil || got.Status != http.StatusServiceUnavailable {
		t.Errorf("%+v, %v, want 503", got, err)
	}
}

// TestFailureCanBeTraced guards against a failed request whose cause cannot be found in the log by the request's ID. The log lines
// with this ID must name the endpoint, the failure and the verdict.
func TestFailureCanBeTraced(t *testing.T) {
	s := newSite(t, raw(""))
	if _, err := s.do("POST", "/book/1", "x"); err != nil {
		t.Fatal(err)
	}
	s.logs.mu.Lock()
	defer s.logs.mu.Unlock()
	var mine bytes.Buffer
	for _, line := range s.logs.lines {
		if strings.Contains(line, `"request":"call-1"`) {
			mine.WriteString(line + "\n")
		}
	}
	for _, want := range []string{"forward: sent", `"endpoint":"e0"`, "no complete answer", `"verdict":"mayHaveRun"`, "forward: refused", `"status":502`} {
		if !strings.Contains(mine.String(), want) {
			t.Errorf("the log lines of the request lack %q:\n%s", want, mine.String())
		}
	}
}

// TestRequestTargetIsUnchanged guards against a path that reaches the endpoint with other bytes than the caller sent, as one with two
// leading slashes and an escaped space did. A target that cannot be passed on unchanged is refused.
func TestRequestTargetIsUnchanged(t *testing.T) {
	for _, test := range []struct{ target, want string }{
		{"/files/a%20b?q=%2F", "/files/a%20b?q=%2F"},
		{"//files/a%20b", "//files/a%20b"},
		{"//files/a%2Fb?x=1&y", "//files/a%2Fb?x=1&y"},
		{"///x?", "///x?"},
		{"/a|b", "/a|b"},
		{"//a|b", ""}, // refused: the transport would escape the bar
	} {
		var got atomic.Value
		got.Store("")
		s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
			got.Store(r.RequestURI)
			w.Header().Set(headerID, r.Header.Get(headerID))
			w.Header().Set(headerAuthentic, "yes")
		})
		table, err := operator.NewRoutingTable(operator.RoutingSpec{
			Version: 2, Services: []endpoint.Service{{Name: "desk"}},
			Routes: []operator.Route{{
				Name: "all", Host: "any.test", Prefix: "/", Kind: operator.Idempotent, Timeout: 3 * time.Second, TTFTTarget: 200 * time.Millisecond,
				MaxAttempts: 1, Services: []operator.WeightedService{{Service: "desk", Weight: 1}},
			}},
		})
		if err != nil {
			t.Fatal(err)
		}
		s.handler.SetTable(table)
		conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: any.test\r\n%s: a1\r\nConnection: close\r\n\r\n", test.target, headerID)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		conn.Close()
		if diff := cmp.Diff(test.want, got.Load()); diff != "" {
			t.Errorf("target %q, status %d (-want +got):\n%s", test.target, resp.StatusCode, diff)
		}
	}
}
