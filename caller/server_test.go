package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp/fasthttputil"

	"goldcrestpath/caller"
	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/service"
)

const apiKey = "test-key"

// fakeRouter is a caller.Router whose behaviour is set by the test.
type fakeRouter struct {
	contract *customer.Contract
	ready    bool
	complete func(ctx context.Context, c *engine.Completion, sink engine.Sink) error
	call     func(ctx context.Context, r *service.Request) (*service.Response, error)
}

func (f *fakeRouter) Contract(key string) (*customer.Contract, bool) {
	return f.contract, key == apiKey
}
func (f *fakeRouter) Models(*customer.Contract) []string     { return []string{"small"} }
func (f *fakeRouter) EstimateTokens(_ string, bytes int) int { return (bytes + 3) / 4 }
func (f *fakeRouter) Ready() bool                            { return f.ready }

func (f *fakeRouter) Complete(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
	return f.complete(ctx, c, sink)
}

func (f *fakeRouter) Call(ctx context.Context, r *service.Request) (*service.Response, error) {
	return f.call(ctx, r)
}

func newRouter(t testing.TB) *fakeRouter {
	t.Helper()
	return &fakeRouter{contract: newContract(t, "deskTeam"), ready: true, complete: sendChunks(nil, "hello")}
}

func newContract(t testing.TB, name string) *customer.Contract {
	t.Helper()
	hash := sha256.Sum256([]byte(apiKey))
	c, err := customer.ParseContract(name+".ini", []byte(`[contract]
name = `+name+`
weight = 2
priority = 3
tokensPerSecond = 4000
burst = 2000000
concurrent = 8
longestPrompt = 1000000
models = small
services = booking
[keys]
test = `+hex.EncodeToString(hash[:])+`
[firstToken]
short = 500ms
[deadline]
short = 30s
medium = 40s
long = 50s
veryLong = 60s
`))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// sendChunks returns a Complete function that sends the texts and then the end mark, or returns err in place of the
// end mark.
func sendChunks(err error, texts ...string) func(context.Context, *engine.Completion, engine.Sink) error {
	return func(_ context.Context, _ *engine.Completion, sink engine.Sink) error {
		offset := 0
		for _, text := range texts {
			if err := sink.Chunk(engine.Chunk{Attempt: 1, Offset: offset, Text: text}); err != nil {
				return err
			}
			offset += len(text)
		}
		if err != nil {
			return err
		}
		usage := engine.Usage{PromptTokens: 7, CachedTokens: 2, AnswerTokens: len(texts)}
		return sink.Chunk(engine.Chunk{Attempt: 1, Offset: offset, End: true, Usage: usage})
	}
}

// serve starts a server for r and returns a client for it.
func serve(t testing.TB, r caller.Router, opts ...caller.Option) *http.Client {
	t.Helper()
	ln := fasthttputil.NewInmemoryListener()
	serveOn(t, ln, r, opts...)
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return ln.Dial() }}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// serveOn starts a server for r on ln and shuts it down at the end of the test.
func serveOn(t testing.TB, ln net.Listener, r caller.Router, opts ...caller.Option) *caller.Server {
	t.Helper()
	s := caller.NewServer(r, append([]caller.Option{caller.WithLogger(&log.Logger{Handler: discard.New()})}, opts...)...)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		if err := <-ended; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return s
}

// newRequest returns a request with a valid API key. headers are pairs of name and value.
func newRequest(t testing.TB, method, path, body string, headers ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://vm"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// do sends a request and returns the response and its body.
func do(t testing.TB, c *http.Client, r *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := c.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// failure has the fields of an error response that the tests compare.
type failure struct {
	Error struct{ Message, Type, Code, Verdict, Reason, RequestID string }
}

func decodeFailure(t testing.TB, body string) failure {
	t.Helper()
	var f failure
	if err := json.Unmarshal([]byte(body), &f); err != nil {
		t.Fatalf("error body %q: %v", body, err)
	}
	return f
}

// TestRefusedRequests guards against refusals with a wrong status, which make clients retry requests that cannot
// succeed or give up requests that can, and against messages that do not name the invalid field.
func TestRefusedRequests(t *testing.T) {
	const path, chat = "/v1/completions", "/v1/chat/completions"
	refuse := func(err error) func(context.Context, *engine.Completion, engine.Sink) error { return sendChunks(err) }
	for name, tc := range map[string]struct {
		path, body string
		headers    []string
		complete   func(context.Context, *engine.Completion, engine.Sink) error
		status     int
		reason     customer.Reason
		verdict    customer.Verdict
		message    string
		retryAfter string
	}{
		"invalid JSON":      {path: path, body: `{"model":`, message: "byte 9"},
		"not an object":     {path: path, body: `[]`, message: "the body has to be an object, not array"},
		"no model":          {path: path, body: `{"prompt":"x"}`, message: "field model is required"},
		"model type":        {path: path, body: `{"model":1,"prompt":"x"}`, message: "field model has to be a string, not a number"},
		"no prompt":         {path: path, body: `{"model":"small"}`, message: "field prompt is required"},
		"prompt type":       {path: path, body: `{"model":"small","prompt":{}}`, message: "field prompt has to be a string, not an object"},
		"prompt list":       {path: path, body: `{"model":"small","prompt":["a","b"]}`, message: "field prompt has to be one string"},
		"max_tokens type":   {path: path, body: `{"model":"small","prompt":"x","max_tokens":"5"}`, message: "field max_tokens has to be a whole number, not string"},
		"max_tokens zero":   {path: path, body: `{"model":"small","prompt":"x","max_tokens":0}`, message: "field max_tokens has to be from 1"},
		"n":                 {path: path, body: `{"model":"small","prompt":"x","n":2}`, message: "field n has to be 1"},
		"stop":              {path: path, body: `{"model":"small","prompt":"x","stop":["."]}`, message: "field stop is not supported"},
		"invalid UTF-8":     {path: path, body: "{\"model\":\"small\",\"prompt\":\"\xff\"}", message: "not valid UTF-8"},
		"no messages":       {path: chat, body: `{"model":"small"}`, message: "field messages has to be a list"},
		"messages type":     {path: chat, body: `{"model":"small","messages":{}}`, message: "field messages has to be a list of at least one message"},
		"message type":      {path: chat, body: `{"model":"small","messages":[1]}`, message: "field messages[0] has to be an object, not a number"},
		"stream type":       {path: path, body: `{"model":"small","prompt":"x","stream":"yes"}`, message: "field stream has to be true or false, not string"},
		"role":              {path: chat, body: `{"model":"small","messages":[{"role":"x","content":""}]}`, message: "field messages[0].role has to be"},
		"content type":      {path: chat, body: `{"model":"small","messages":[{"role":"user","content":5}]}`, message: "field messages[0].content has to be a string, not a number"},
		"content part type": {path: chat, body: `{"model":"small","messages":[{"role":"user","content":[{"type":"image"}]}]}`, message: "field messages[0].content[0].type has to be text"},
		"deadline":          {path: path, body: `{"model":"small","prompt":"x"}`, headers: []string{"Goldcrest-Deadline", "1s"}, message: "Goldcrest-Deadline"},
		"unknown path":      {path: "/v2", status: 404, message: `unknown path "/v2"`},
		"unknown model": {path: path, body: `{"model":"big","prompt":"x"}`, status: 404, reason: customer.ReasonUnknownModel,
			message: "contract deskTeam: [contract] models = small"},
		"unknown service": {path: "/services/other/x", status: 404, reason: customer.ReasonUnknownService,
			message: "contract deskTeam: [contract] services = booking"},
		"strict":  {path: "/services/booking/x", headers: []string{"Goldcrest-Strict", "yes"}, message: "Goldcrest-Strict"},
		"bad key": {path: path, headers: []string{"Authorization", "Bearer wrong"}, status: 401, reason: customer.ReasonBadKey},
		"no key":  {path: path, headers: []string{"Authorization", ""}, status: 401, reason: customer.ReasonBadKey},
		"Retry-After of the router": {path: path, body: `{"model":"small","prompt":"x"}`, status: 429, reason: customer.ReasonTokenRate, retryAfter: "3",
			complete: refuse(customer.Refuse(customer.ReasonTokenRate, "slow", customer.RetryAfter(2100*time.Millisecond)))},
		"default Retry-After": {path: path, body: `{"model":"small","prompt":"x","stream":true}`, status: 503, reason: customer.ReasonQueueFull, retryAfter: "1",
			complete: refuse(customer.Refuse(customer.ReasonQueueFull, "full"))},
		"may have run": {path: path, body: `{"model":"small","prompt":"x"}`, status: 502, reason: customer.ReasonEndpointFailed,
			verdict: customer.MayHaveRun, complete: refuse(customer.Fail(customer.ReasonEndpointFailed, "broken"))},
		"no end mark": {path: path, body: `{"model":"small","prompt":"x"}`, status: 500, reason: customer.ReasonInternal, verdict: customer.MayHaveRun,
			message: "end mark",
			complete: func(_ context.Context, _ *engine.Completion, s engine.Sink) error {
				return s.Chunk(engine.Chunk{Text: "half"})
			}},
		"deadline passed": {path: path, body: `{"model":"small","prompt":"x"}`, headers: []string{"Goldcrest-Deadline", "1"}, status: 504,
			reason: customer.ReasonDeadline, verdict: customer.MayHaveRun,
			complete: func(ctx context.Context, _ *engine.Completion, _ engine.Sink) error { <-ctx.Done(); return ctx.Err() }},
		"panic": {path: path, body: `{"model":"small","prompt":"x"}`, status: 500, reason: customer.ReasonInternal, verdict: customer.MayHaveRun,
			complete: func(context.Context, *engine.Completion, engine.Sink) error { panic("fault") }},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			if tc.complete != nil {
				r.complete = tc.complete
			}
			if tc.status == 0 {
				tc.status = 400
			}
			if tc.reason == "" {
				tc.reason = customer.ReasonBadRequest
			}
			if tc.verdict == 0 {
				tc.verdict = customer.NotRun
			}
			registry, lines := metrics.NewRegistry(), memory.New()
			c := serve(t, r, caller.WithRegistry(registry), caller.WithLogger(&log.Logger{Handler: lines}))
			resp, body := do(t, c, newRequest(t, "POST", tc.path, tc.body, tc.headers...))
			f := decodeFailure(t, body).Error
			if resp.StatusCode != tc.status || f.Reason != string(tc.reason) || f.Verdict != tc.verdict.String() || !strings.Contains(f.Message, tc.message) {
				t.Errorf("got %d %s, want %d %s %s with %q", resp.StatusCode, body, tc.status, tc.reason, tc.verdict, tc.message)
			}
			if got := resp.Header.Get("Retry-After"); got != tc.retryAfter {
				t.Errorf("Retry-After = %q, want %q", got, tc.retryAfter)
			}
			if id := resp.Header.Get("X-Request-Id"); id == "" || id != f.RequestID {
				t.Errorf("X-Request-Id = %q, in the body %q", id, f.RequestID)
			}
			if len(lines.Entries) == 0 {
				t.Error("the refusal is not logged")
			}
			for _, line := range lines.Entries {
				if line.Fields.Get("requestID") != f.RequestID {
					t.Errorf("log line %q has request ID %v", line.Message, line.Fields.Get("requestID"))
				}
			}
			if n := registry.Get("caller.refused." + string(tc.reason)).(metrics.Counter).Count(); n != 1 {
				t.Errorf("counter of %s = %d, want 1", tc.reason, n)
			}
		})
	}
}

// TestNotReady guards against a VM that has no configuration yet and therefore tells a customer that its valid API
// key is unknown.
func TestNotReady(t *testing.T) {
	r := newRouter(t)
	r.ready = false
	c := serve(t, r)
	resp, body := do(t, c, newRequest(t, "GET", "/v1/models", "", "Authorization", "Bearer other"))
	if f := decodeFailure(t, body).Error; resp.StatusCode != 503 || f.Reason != string(customer.ReasonNotReady) || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %d %s", resp.StatusCode, body)
	}
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 503} {
		line := fmt.Sprintf("%d %s", want, http.StatusText(want)) // the text of another status would be misleading in logs
		if resp, _ := do(t, c, newRequest(t, "GET", path, "")); resp.Status != line {
			t.Errorf("%s: got %s, want %s", path, resp.Status, line)
		}
	}
}

// TestCompletionForRouter guards against completions that reach the router with wrong limits or a wrong prompt.
func TestCompletionForRouter(t *testing.T) {
	for name, tc := range map[string]struct {
		path, body string
		headers    []string
		want       engine.Completion
		limit      time.Duration
	}{
		"completion": {path: "/v1/completions", body: `{"model":"small","prompt":"grüße","max_tokens":5}`,
			headers: []string{"Goldcrest-Deadline", "9999999"},
			want:    engine.Completion{Prompt: []byte("grüße"), PromptTokens: 2, MaxTokens: 5}, limit: 30 * time.Second},
		"shorter deadline": {path: "/v1/completions", body: `{"model":"small","prompt":["x"]}`, headers: []string{"Goldcrest-Deadline", "2000"},
			want: engine.Completion{Prompt: []byte("x"), PromptTokens: 1, MaxTokens: 256}, limit: 2 * time.Second},
		"chat": {path: "/v1/chat/completions",
			body: `{"model":"small","max_completion_tokens":9,"messages":[{"role":"system","content":"Be brief."},{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`,
			want: engine.Completion{Prompt: []byte("system:\nBe brief.\nuser:\nab\nassistant:\n"), PromptTokens: 10, MaxTokens: 9}, limit: 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			var got engine.Completion
			before := time.Now()
			r.complete = func(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
				got = *c
				return sendChunks(nil, "x")(ctx, c, sink)
			}
			resp, body := do(t, serve(t, r), newRequest(t, "POST", tc.path, tc.body, append(tc.headers, "X-Request-Id", "mine")...))
			if resp.StatusCode != 200 || resp.Header.Get("X-Request-Id") != "mine" || !strings.HasPrefix(got.ID, "mine-") {
				t.Errorf("got %d, ID %q, header %q: %s", resp.StatusCode, got.ID, resp.Header.Get("X-Request-Id"), body)
			}
			if got.Deadline.Before(before.Add(tc.limit)) || got.Deadline.After(time.Now().Add(tc.limit)) {
				t.Errorf("deadline %v after the start, want %v", got.Deadline.Sub(before), tc.limit)
			}
			tc.want.ID, tc.want.Deadline, tc.want.Prefix = got.ID, got.Deadline, xxhash.Sum64(tc.want.Prompt)
			tc.want.Customer, tc.want.Model, tc.want.Priority, tc.want.TTFTTarget, tc.want.Idempotent = "deskTeam", "small", 3, 500*time.Millisecond, true
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// parseEvents returns the server-sent events of body, each as "name|data".
func parseEvents(body string) []string {
	var list []string
	name := ""
	for s := bufio.NewScanner(strings.NewReader(body)); s.Scan(); {
		if v, ok := strings.CutPrefix(s.Text(), "event: "); ok {
			name = v
		}
		if v, ok := strings.CutPrefix(s.Text(), "data: "); ok {
			list = append(list, name+"|"+v)
			name = ""
		}
	}
	return list
}

// TestStreams guards against [DONE] after a failure, which makes a client take an incomplete stream for a complete
// answer, and against a character that is split across two events, which clients show as replacement characters.
func TestStreams(t *testing.T) {
	send := func(list ...engine.Chunk) func(context.Context, *engine.Completion, engine.Sink) error {
		return func(_ context.Context, _ *engine.Completion, sink engine.Sink) error {
			for _, c := range list {
				if err := sink.Chunk(c); err != nil {
					return err
				}
			}
			return nil
		}
	}
	failed := customer.Fail(customer.ReasonEndpointFailed, "broken")
	for name, tc := range map[string]struct {
		complete   func(context.Context, *engine.Completion, engine.Sink) error
		texts      []string // texts of the events
		failure    string   // reason in the error event, or "" if the stream succeeds
		unstreamed string   // text of the same answer without streaming, or "" if it fails
	}{
		"whole":                     {complete: sendChunks(nil, "a", "b"), texts: []string{"a", "b"}, unstreamed: "ab"},
		"empty":                     {complete: sendChunks(nil), unstreamed: ""},
		"split character":           {complete: sendChunks(nil, "a\xe2", "\x82", "\xacb"), texts: []string{"a", "€b"}, unstreamed: "a€b"},
		"incomplete last character": {complete: sendChunks(nil, "a\xe2\x82"), texts: []string{"a", "\ufffd\ufffd"}, unstreamed: "a\ufffd\ufffd"},
		"failure":                   {complete: sendChunks(failed, "a"), texts: []string{"a"}, failure: "endpointFailed"},
		"no end mark":               {complete: send(engine.Chunk{Text: "a"}), texts: []string{"a"}, failure: "internal"},
		"missing bytes":             {complete: send(engine.Chunk{Text: "a"}, engine.Chunk{Offset: 2, Text: "c"}), texts: []string{"a"}, failure: "internal"},
		"end mark beyond the text":  {complete: send(engine.Chunk{Text: "a"}, engine.Chunk{Offset: 9, End: true}), texts: []string{"a"}, failure: "internal"},
		"repeated bytes": {complete: send(engine.Chunk{Text: "ab"}, engine.Chunk{Text: "ab"}, engine.Chunk{Offset: 1, Text: "bc"},
			engine.Chunk{Offset: 3, End: true}), texts: []string{"ab", "c"}, unstreamed: "abc"},
		"late attempt": {complete: send(engine.Chunk{Attempt: 2, Text: "a"}, engine.Chunk{Attempt: 1, Offset: 1, Text: "z"},
			engine.Chunk{Attempt: 2, Offset: 1, Text: "b", End: true}), texts: []string{"a", "b"}, unstreamed: "ab"},
		"resumed attempt": {complete: send(engine.Chunk{Text: "a"}, engine.Chunk{Attempt: 1, Offset: 1, Text: "b", End: true}),
			texts: []string{"a", "b"}, unstreamed: "ab"},
		"new attempt": {complete: send(engine.Chunk{Text: "a"}, engine.Chunk{Attempt: 1, Text: "xy", End: true}), texts: []string{"a"},
			failure: "internal", unstreamed: "xy"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			r.complete = tc.complete
			registry := metrics.NewRegistry()
			c := serve(t, r, caller.WithRegistry(registry))
			_, body := do(t, c, newRequest(t, "POST", "/v1/completions", `{"model":"small","prompt":"x","stream":true}`))
			var texts []string
			reason, done := "", false
			for _, e := range parseEvents(body) {
				name, data, _ := strings.Cut(e, "|")
				switch {
				case data == "[DONE]":
					done = true
				case name == "error":
					reason = decodeFailure(t, data).Error.Reason
				default:
					var v struct{ Choices []struct{ Text string } }
					if err := json.Unmarshal([]byte(data), &v); err != nil {
						t.Fatal(err)
					}
					if text := v.Choices[0].Text; text != "" {
						texts = append(texts, text)
					}
				}
			}
			if diff := cmp.Diff(tc.texts, texts); diff != "" || reason != tc.failure || done != (tc.failure == "") {
				t.Errorf("failure %q, [DONE] %v, texts: %s\n%s", reason, done, diff, body)
			}
			answered := registry.Get("caller.answered.whole").(metrics.Counter).Count()
			if (answered == 1) != done {
				t.Errorf("answers counted as on time: %d", answered)
			}
			if tc.failure != "" && tc.unstreamed == "" {
				return
			}
			_, body = do(t, c, newRequest(t, "POST", "/v1/completions", `{"model":"small","prompt":"x"}`))
			var v struct{ Choices []struct{ Text string } }
			if err := json.Unmarshal([]byte(body), &v); err != nil || len(v.Choices) != 1 || v.Choices[0].Text != tc.unstreamed {
				t.Errorf("without stream: %s (%v), want %q", body, err, tc.unstreamed)
			}
		})
	}
}

// TestReset guards against an unstreamed answer that cannot be discarded when its endpoint fails, so that no other
// endpoint can start it again, and against a streamed answer that mixes the texts of two attempts.
func TestReset(t *testing.T) {
	for name, tc := range map[string]struct {
		stream string
		want   []bool // what Reset reports at the start, after text, and after the end mark
		text   string
	}{
		"unstreamed": {"false", []bool{true, true, false}, `"text":"xyz"`},
		"streamed":   {"true", []bool{false, false, false}, `"text":"y"`},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			var got []bool
			r.complete = func(_ context.Context, _ *engine.Completion, sink engine.Sink) error {
				reset := func() bool {
					got = append(got, sink.(interface{ Reset() bool }).Reset())
					return got[len(got)-1]
				}
				reset()
				if err := sink.Chunk(engine.Chunk{Attempt: 1, Text: "y\xe2"}); err != nil {
					return err
				}
				offset := 2
				if reset() {
					sink.Chunk(engine.Chunk{Attempt: 1, Text: "late"})
					offset = 0
				}
				if err := sink.Chunk(engine.Chunk{Attempt: 2, Offset: offset, Text: "xyz"[offset:]}); err != nil {
					return err
				}
				err := sink.Chunk(engine.Chunk{Attempt: 2, Offset: 3, End: true})
				reset()
				return err
			}
			_, body := do(t, serve(t, r), newRequest(t, "POST", "/v1/completions", `{"model":"small","prompt":"x","stream":`+tc.stream+`}`))
			if diff := cmp.Diff(tc.want, got); diff != "" || !strings.Contains(body, tc.text) {
				t.Errorf("Reset: %s\n%s", diff, body)
			}
		})
	}
}

// TestOpenAIShape guards against renamed or missing fields, which break clients of the OpenAI API.
func TestOpenAIShape(t *testing.T) {
	r := newRouter(t)
	c := serve(t, r)
	for path, tc := range map[string]struct{ body, want string }{
		"/v1/completions": {`{"model":"small","prompt":"x"}`,
			`{"choices":[{"finish_reason":"stop","index":0,"logprobs":null,"text":"hello"}],"model":"small","object":"text_completion","usage":{"completion_tokens":1,"prompt_tokens":7,"prompt_tokens_details":{"cached_tokens":2},"total_tokens":8}}`},
		"/v1/chat/completions": {`{"model":"small","messages":[{"role":"user","content":"x"}],"max_tokens":1}`,
			`{"choices":[{"finish_reason":"length","index":0,"logprobs":null,"message":{"content":"hello","role":"assistant"}}],"model":"small","object":"chat.completion","usage":{"completion_tokens":1,"prompt_tokens":7,"prompt_tokens_details":{"cached_tokens":2},"total_tokens":8}}`},
	} {
		_, body := do(t, c, newRequest(t, "POST", path, tc.body))
		if got := withoutIDAndTime(t, body); got != tc.want {
			t.Errorf("%s:\n got %s\nwant %s", path, got, tc.want)
		}
	}
	_, body := do(t, c, newRequest(t, "POST", "/v1/chat/completions",
		`{"model":"small","messages":[{"role":"user","content":"x"}],"stream":true,"stream_options":{"include_usage":true}}`))
	var got []string
	for _, e := range parseEvents(body) {
		if data := strings.TrimPrefix(e, "|"); data != "[DONE]" {
			e = withoutIDAndTime(t, data)
		}
		got = append(got, e)
	}
	const tail = `,"model":"small","object":"chat.completion.chunk"`
	want := []string{
		`{"choices":[{"delta":{"content":"","role":"assistant"},"finish_reason":null,"index":0,"logprobs":null}]` + tail + `}`,
		`{"choices":[{"delta":{"content":"hello"},"finish_reason":null,"index":0,"logprobs":null}]` + tail + `}`,
		`{"choices":[{"delta":{},"finish_reason":"stop","index":0,"logprobs":null}]` + tail + `}`,
		`{"choices":[]` + tail + `,"usage":{"completion_tokens":1,"prompt_tokens":7,"prompt_tokens_details":{"cached_tokens":2},"total_tokens":8}}`,
		`|[DONE]`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	_, body = do(t, c, newRequest(t, "GET", "/v1/models", ""))
	if want := `{"object":"list","data":[{"id":"small","object":"model","created":0,"owned_by":"goldcrestpath"}]}` + "\n"; body != want {
		t.Errorf("models: %s", body)
	}
}

// withoutIDAndTime returns the JSON object with sorted keys and without its ID and creation time.
func withoutIDAndTime(t *testing.T, data string) string {
	t.Helper()
	var v map[string]any
	if err := json.Unmarshal([]byte(data), &v); err != nil {
		t.Fatalf("%s: %v", data, err)
	}
	delete(v, "id")
	delete(v, "created")
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestBodyBounds guards against a body above the size limit, or above the memory for all bodies, that is accepted or
// gets no response, and against memory that stays reserved after a request.
func TestBodyBounds(t *testing.T) {
	prompt := strings.Repeat("x", 300<<10)
	body := `{"model":"small","prompt":"` + prompt + `"}`
	manyValues := `{"model":"small","prompt":[` + strings.Repeat("0,", 150<<10) + `0]}`
	escaped := `{"model":"small","prompt":"` + strings.Repeat(`\",[{\\`, 30<<10) + `"}`
	for name, tc := range map[string]struct {
		body    string
		opts    []caller.Option
		chunked bool
		status  int
		reason  customer.Reason
	}{
		"fits":                       {status: 200},
		"fits chunked":               {status: 200, chunked: true},
		"above the limit":            {opts: []caller.Option{caller.WithBodyLimit(len(body) - 1)}, status: 413, reason: customer.ReasonTooLarge},
		"above the limit, chunked":   {opts: []caller.Option{caller.WithBodyLimit(len(body) - 1)}, chunked: true, status: 413, reason: customer.ReasonTooLarge},
		"at the limit":               {opts: []caller.Option{caller.WithBodyLimit(len(body))}, chunked: true, status: 200},
		"too little memory":          {opts: []caller.Option{caller.WithBodyMemory(len(body))}, status: 413, reason: customer.ReasonTooLarge},
		"too little memory, chunked": {opts: []caller.Option{caller.WithBodyMemory(len(body))}, chunked: true, status: 413, reason: customer.ReasonTooLarge},
		"enough memory":              {opts: []caller.Option{caller.WithBodyMemory(4 * len(body))}, status: 200},
		"many values":                {body: manyValues, opts: []caller.Option{caller.WithBodyMemory(9 << 20)}, status: 413, reason: customer.ReasonTooLarge},
		"punctuation in a string":    {body: escaped, opts: []caller.Option{caller.WithBodyMemory(4 * len(escaped))}, status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			var got int
			r.complete = func(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
				got = len(c.Prompt)
				return sendChunks(nil, "x")(ctx, c, sink)
			}
			c := serve(t, r, tc.opts...)
			if tc.body == "" {
				tc.body = body
			}
			// The second request fails if the first one left memory reserved.
			for range 2 {
				req := newRequest(t, "POST", "/v1/completions", tc.body)
				if tc.chunked {
					req.ContentLength = -1
				}
				resp, answer := do(t, c, req)
				if resp.StatusCode != tc.status || (tc.status == 200 && tc.body == body && got != len(prompt)) {
					t.Fatalf("got %d and a prompt of %d bytes: %.200s", resp.StatusCode, got, answer)
				}
				if tc.status != 200 && decodeFailure(t, answer).Error.Reason != string(tc.reason) {
					t.Errorf("got %s, want %s", answer, tc.reason)
				}
			}
		})
	}
}

// TestBodyMemoryIsShared guards against bodies of running requests that do not count towards the memory limit, so
// that further bodies exceed it.
func TestBodyMemoryIsShared(t *testing.T) {
	body := `{"model":"small","prompt":"` + strings.Repeat("x", 300<<10) + `"}`
	r := newRouter(t)
	started, release := make(chan struct{}, 1), make(chan struct{})
	r.complete = func(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
		started <- struct{}{}
		<-release
		return sendChunks(nil, "x")(ctx, c, sink)
	}
	registry := metrics.NewRegistry()
	c := serve(t, r, caller.WithBodyMemory(4*len(body)-1), caller.WithRegistry(registry))
	ended := make(chan error, 1)
	go func() {
		resp, err := c.Do(newRequest(t, "POST", "/v1/completions", body))
		if err == nil {
			resp.Body.Close()
		}
		ended <- err
	}()
	<-started
	resp, answer := do(t, c, newRequest(t, "POST", "/v1/completions", body))
	if f := decodeFailure(t, answer).Error; resp.StatusCode != 503 || f.Reason != "notReady" || f.Verdict != "notRun" || resp.Header.Get("Retry-After") != "1" {
		t.Errorf("got %d %v %s", resp.StatusCode, resp.Header, answer)
	}
	close(release)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if reserved := registry.Get("caller.bodyBytes").(metrics.Gauge).Value(); reserved != 0 {
		t.Errorf("%d bytes are still reserved after all requests have ended", reserved)
	}
}

// TestFloodLeavesBodyMemory guards against a customer that floods the VM with long requests and takes the memory that
// other customers' requests need.
func TestFloodLeavesBodyMemory(t *testing.T) {
	body := `{"model":"small","prompt":"` + strings.Repeat("x", 100<<10) + `"}`
	for name, memoryLimit := range map[string]int{"many fit": 40 * len(body), "few fit": 9 * len(body)} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			floodingCustomer := r.contract.Name()
			running, release := make(chan bool, 1), make(chan struct{})
			r.complete = func(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
				if c.Customer == floodingCustomer {
					running <- true
					<-release
				}
				return sendChunks(nil, "x")(ctx, c, sink)
			}
			c := serve(t, r, caller.WithBodyMemory(memoryLimit))
			var flooding sync.WaitGroup
			for fits := true; fits; fits = <-running { // one at a time, until the customer gets no memory for another
				req := newRequest(t, "POST", "/v1/completions", body)
				flooding.Go(func() {
					resp, err := c.Do(req)
					if err != nil {
						t.Error(err)
						return
					}
					resp.Body.Close()
					if resp.StatusCode == 503 {
						running <- false
					}
				})
			}
			r.contract = newContract(t, "smallTeam")
			for range 3 {
				if resp, answer := do(t, c, newRequest(t, "POST", "/v1/completions", body)); resp.StatusCode != 200 {
					t.Errorf("other customer: %d %s", resp.StatusCode, answer)
				}
			}
			close(release)
			flooding.Wait()
		})
	}
}

// TestEventsAreFlushed guards against text that stays in a write buffer until the next text arrives, which delays it
// by a token gap.
func TestEventsAreFlushed(t *testing.T) {
	r := newRouter(t)
	received := make(chan struct{})
	r.complete = func(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
		if err := sink.Chunk(engine.Chunk{Attempt: 1, Text: "first"}); err != nil {
			return err
		}
		select {
		case <-received:
			return sendChunks(nil, "first", "second")(ctx, c, sink)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	resp, err := serve(t, r).Do(newRequest(t, "POST", "/v1/completions", `{"model":"small","prompt":"x","stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() || !strings.Contains(lines.Text(), `"text":"first"`) {
		t.Fatalf("first line %q", lines.Text())
	}
	close(received)
	rest, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Errorf("rest %q, %v", rest, err)
	}
}

// TestServiceByteForByte guards against requests and responses of plain services that are passed on with changes,
// which breaks signed and cached calls.
func TestServiceByteForByte(t *testing.T) {
	r := newRouter(t)
	var got *service.Request
	var response *service.Response
	r.call = func(_ context.Context, req *service.Request) (*service.Response, error) {
		got = req
		return response, nil
	}
	ln := fasthttputil.NewInmemoryListener()
	serveOn(t, ln, r)
	conn, err := ln.Dial()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)

	response = &service.Response{Status: 201, Body: []byte("\x00\xffdone"), Headers: []service.Header{
		{Name: "content-type", Value: "application/x-own"}, {Name: "x-lower", Value: "1"}, {Name: "X-Twice", Value: "a"}, {Name: "X-Twice", Value: "b"},
		{Name: "Set-Cookie", Value: "a=1; Path=/"}, {Name: "Set-Cookie", Value: "a=2"}, {Name: "Connection", Value: "X-Hop"}, {Name: "X-Hop", Value: "1"},
		{Name: "Date", Value: "Thu, 01 Jan 2026 00:00:00 GMT"}, {Name: "Server", Value: "own"}}}
	io.WriteString(conn, "PUT /services/booking//a/../b%2Fc?q=1&q=%20 HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer "+apiKey+
		"\r\nx-lower: 1\r\nX-Twice: b\r\nX-Twice: a\r\nConnection: X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nIdempotency-Key: k1\r\n"+
		"goldcrest-strict: true\r\nX-Request-Id: mine\r\nContent-Length: 3\r\n\r\n\x00\xff\n")
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	want := &service.Request{ID: got.ID, Customer: "deskTeam", Service: "booking", Method: "PUT", Path: "//a/../b%2Fc?q=1&q=%20",
		Headers: []service.Header{{Name: "Host", Value: "vm"}, {Name: "x-lower", Value: "1"},
			{Name: "X-Twice", Value: "b"}, {Name: "X-Twice", Value: "a"}, {Name: "Idempotency-Key", Value: "k1"},
			{Name: "goldcrest-strict", Value: "true"}, {Name: "X-Request-Id", Value: "mine"}},
		Body: []byte("\x00\xff\n"), IdempotencyKey: "k1", NeverRetry: true, Deadline: got.Deadline}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	wantHeader := http.Header{"Content-Type": {"application/x-own"}, "X-Lower": {"1"}, "X-Twice": {"a", "b"}, "Set-Cookie": {"a=1; Path=/", "a=2"},
		"Date": {"Thu, 01 Jan 2026 00:00:00 GMT"}, "Server": {"own"}, "X-Request-Id": {"mine"}, "Content-Length": {"6"}}
	if diff := cmp.Diff(wantHeader, resp.Header); diff != "" || resp.StatusCode != 201 || !bytes.Equal(body, response.Body) {
		t.Errorf("got %d %q, headers: %s", resp.StatusCode, body, diff)
	}

	// A response to HEAD has the Content-Length of a body that is not sent.
	response = &service.Response{Status: 200, Headers: []service.Header{{Name: "Content-Length", Value: "77"}}}
	io.WriteString(conn, "HEAD /services/booking HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer "+apiKey+"\r\n\r\n")
	resp, err = http.ReadResponse(reader, &http.Request{Method: "HEAD"})
	if err != nil || resp.ContentLength != 77 || got.Path != "/" || got.Method != "HEAD" {
		t.Errorf("HEAD: %v, %+v, request %+v", err, resp, got)
	}
}
