package standin_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"goldcrestpath/standin"
)

// testEngine starts an engine with small memory and short steps. change, if not nil, modifies the configuration.
func testEngine(t *testing.T, change func(*standin.EngineConfig)) *standin.Engine {
	t.Helper()
	cfg := standin.DefaultEngineConfig("e1", "small")
	cfg.KVTokens, cfg.TimeScale, cfg.RestartTime, cfg.CacheEventLoss, cfg.CacheEventDelay = 10_000, 100, 0, 0, 0
	if change != nil {
		change(&cfg)
	}
	e, err := standin.NewEngine(anyPort, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// completion returns a completion request that reserves exactly the tokens that it needs.
func completion(id string, promptTokens, maxTokens int) map[string]any {
	return map[string]any{
		"model": "small", "prompt": strings.Repeat("abc ", promptTokens), "max_tokens": maxTokens, "stream": true,
		"request_id": id, "holder": "jm-a/1", "incarnation": 1, "reserved_tokens": promptTokens + maxTokens,
	}
}

// readStream reads the events of a response. It returns the text and whether the end mark arrived.
func readStream(t *testing.T, resp *http.Response) (text string, complete bool) {
	t.Helper()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var ev struct {
			Text string
			End  bool
		}
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			t.Fatal(err)
		}
		text += ev.Text
		complete = complete || ev.End
	}
	return text, complete
}

func sendRequest(t *testing.T, ctx context.Context, e *standin.Engine, method, path string, body any) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address()+path, strings.NewReader(string(data)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// TestEngineStream guards against incomplete answers, and against memory that stays reserved after the end mark.
func TestEngineStream(t *testing.T) {
	e := testEngine(t, nil)
	text, complete := readStream(t, sendRequest(t, t.Context(), e, "POST", "/v1/completions", completion("r1", 1000, 9)))
	if want := standin.AnswerText("r1", "small", 9); text != want || !complete {
		t.Errorf("got %q, complete %v; want %q", text, complete, want)
	}
	if tokens, streams, _ := e.InUse(); tokens != 0 || streams != 0 {
		t.Errorf("%d tokens and %d streams are held after the end", tokens, streams)
	}
	if got := e.Counters().Completed; got != 1 {
		t.Errorf("%d completed, want 1", got)
	}
}

// TestEngineResume guards against a resumption that repeats or loses bytes. The connection is dropped in the middle of an answer.
func TestEngineResume(t *testing.T) {
	e := testEngine(t, nil)
	e.ResetStreams(1)
	first, complete := readStream(t, sendRequest(t, t.Context(), e, "POST", "/v1/completions", completion("r1", 10, 40)))
	if complete || first == "" {
		t.Fatalf("got %q, complete %v; want an incomplete answer", first, complete)
	}
	rest, complete := readStream(t, sendRequest(t, t.Context(), e, "GET", "/v1/streams/r1?offset="+itoa(len(first)), nil))
	if want := standin.AnswerText("r1", "small", 40); first+rest != want || !complete {
		t.Errorf("got %q and %q, want %q", first, rest, want)
	}
}

func itoa(n int) string {
	data, _ := json.Marshal(n)
	return string(data)
}

// TestEngineRefusals guards against refused requests that are executed, and against an overcommit that is not counted.
func TestEngineRefusals(t *testing.T) {
	e := testEngine(t, nil)
	for _, c := range []struct {
		name   string
		change func(map[string]any)
		status int
		reason string
	}{
		{"unknown model", func(q map[string]any) { q["model"] = "large" }, 404, "unknownModel"},
		{"memory", func(q map[string]any) { q["reserved_tokens"] = 10_001 }, 409, "memory"},
		{"not a stream", func(q map[string]any) { q["stream"] = false }, 400, "badRequest"},
		{"refusing", func(map[string]any) { e.SetRefusing(true) }, 503, "overloaded"},
	} {
		q := completion("r1", 10, 1)
		c.change(q)
		var answer struct {
			Error struct{ Reason, Verdict string }
		}
		status := call(t, "POST", e.Address(), "/v1/completions", q, &answer)
		if status != c.status || answer.Error.Reason != c.reason || answer.Error.Verdict != "notRun" {
			t.Errorf("%s: %d %+v, want %d %s", c.name, status, answer.Error, c.status, c.reason)
		}
	}
	if got := e.Counters(); got.Accepted != 0 || got.Overcommits != 1 {
		t.Errorf("accepted %d, overcommits %d; want 0 and 1", got.Accepted, got.Overcommits)
	}
}

// TestEngineCancel guards against cancelled streams and reservations whose memory is not released.
func TestEngineCancel(t *testing.T) {
	for _, c := range []struct{ name, path string }{
		{"by ID", "/v1/streams/r1"},
		{"by holder", "/v1/streams?holder=jm-a/1&incarnation=1"},
	} {
		e := testEngine(t, nil)
		resp := sendRequest(t, t.Context(), e, "POST", "/v1/completions", completion("r1", 10, 9000))
		call(t, "POST", e.Address(), "/v1/reservations", map[string]any{"id": "r1", "holder": "jm-a/1", "incarnation": 1, "tokens": 5}, nil)
		call(t, "DELETE", e.Address(), c.path, nil, nil)
		if _, complete := readStream(t, resp); complete {
			t.Errorf("%s: the cancelled stream ended with an end mark", c.name)
		}
		if tokens, streams, reservations := e.InUse(); tokens != 0 || streams != 0 || reservations != 0 {
			t.Errorf("%s: %d tokens, %d streams, %d reservations are held", c.name, tokens, streams, reservations)
		}
	}
}

// TestEngineColdCrash guards against a cold engine that accepts more than its limit without a crash, and against memory that stays
// reserved after a crash.
func TestEngineColdCrash(t *testing.T) {
	e := testEngine(t, func(cfg *standin.EngineConfig) {
		cfg.StartCold, cfg.ColdMaxStreams, cfg.RestartTime = true, 1, time.Millisecond
	})
	firstInstance := e.Instance()
	resp := sendRequest(t, t.Context(), e, "POST", "/v1/completions", completion("r1", 10, 9000))
	if status := call(t, "POST", e.Address(), "/v1/completions", completion("r2", 10, 1), nil); status != 0 {
		t.Errorf("the overloaded cold engine answered %d, want a dropped connection", status)
	}
	if _, complete := readStream(t, resp); complete {
		t.Error("a stream survived the crash")
	}
	if tokens, _, _ := e.InUse(); tokens != 0 || e.Counters().ColdCrashes != 1 || e.Counters().LostStreams != 2 {
		t.Errorf("%d tokens held, counters %+v", tokens, e.Counters())
	}
	for e.Instance() == firstInstance {
		time.Sleep(time.Millisecond)
	}
	if !e.Cold() {
		t.Error("the engine restarted warm")
	}
}

// TestEngineWarmsUp guards against an engine that stays cold after WarmAfterRequests completed requests.
func TestEngineWarmsUp(t *testing.T) {
	e := testEngine(t, func(cfg *standin.EngineConfig) { cfg.StartCold, cfg.WarmAfterRequests = true, 2 })
	for _, id := range []string{"r1", "r2"} {
		if !e.Cold() {
			t.Fatalf("warm before %s", id)
		}
		readStream(t, sendRequest(t, t.Context(), e, "POST", "/v1/completions", completion(id, 10, 1)))
	}
	if e.Cold() {
		t.Error("still cold")
	}
}

// TestEngineCache guards against cache hits for tokens that were never stored, and against missing cache events or events with a
// wrong prefix.
func TestEngineCache(t *testing.T) {
	e := testEngine(t, func(cfg *standin.EngineConfig) { cfg.CacheTokens = 1024 })
	for _, id := range []string{"r1", "r2"} {
		readStream(t, sendRequest(t, t.Context(), e, "POST", "/v1/completions", completion(id, 600, 1)))
	}
	if got := e.Counters().CachedTokens; got != 512 {
		t.Errorf("%d cached tokens, want the 512 of two complete blocks", got)
	}
	other := completion("r3", 1000, 1)
	other["prompt"] = strings.Repeat("xyz ", 1000)
	readStream(t, sendRequest(t, t.Context(), e, "POST", "/v1/completions", other))
	var got struct{ Events []standin.CacheEvent }
	call(t, "GET", e.Address(), "/v1/cacheEvents?from=1", nil, &got)
	var kinds []string
	for _, ev := range got.Events {
		kinds = append(kinds, ev.Kind)
	}
	if strings.Join(kinds, " ") != "stored evicted stored" || got.Events[0].Prefix != standin.PrefixID(strings.Repeat("abc ", 600)) {
		t.Errorf("events %+v", got.Events)
	}
}

// TestEngineFence guards against an engine that executes orders with a stale fencing token although it checks tokens, and against
// one that does not check tokens and does not count such orders.
func TestEngineFence(t *testing.T) {
	for _, c := range []struct {
		checks        bool
		status, stale int
	}{{true, 409, 0}, {false, 200, 1}} {
		e := testEngine(t, func(cfg *standin.EngineConfig) { cfg.ChecksFence = c.checks })
		call(t, "POST", e.Address(), "/v1/orders", map[string]any{"kind": "setRole", "role": "decode", "fence": 7}, nil)
		status := call(t, "POST", e.Address(), "/v1/orders", map[string]any{"kind": "setRole", "role": "mixed", "fence": 6}, nil)
		if got := e.Counters().StaleOrders; status != c.status || got != c.stale {
			t.Errorf("checks %v: status %d, %d stale; want %d, %d", c.checks, status, got, c.status, c.stale)
		}
	}
}

// TestEngineLeaks guards against leaked reservations that are not counted, and against counting those of a holder whose stream
// still runs on another engine.
func TestEngineLeaks(t *testing.T) {
	other := testEngine(t, func(cfg *standin.EngineConfig) { cfg.TimeScale = 1e-3 })
	e := testEngine(t, func(cfg *standin.EngineConfig) { cfg.LeakAfter = 0 })
	e.SetPeers(e, other)
	running := completion("r1", 10, 10)
	running["group_tokens"] = 5
	sendRequest(t, t.Context(), other, "POST", "/v1/completions", running)
	for _, holder := range []string{"jm-a/1", "jm-a/2"} {
		body := map[string]any{"id": holder, "holder": holder, "incarnation": 1, "tokens": 5}
		call(t, "POST", e.Address(), "/v1/reservations", body, nil)
	}
	for e.Counters().Leaks == 0 {
		time.Sleep(time.Millisecond)
	}
	// Each check covers all reservations, so a leak that is wrongly counted for jm-a/1 is counted together with that of jm-a/2.
	if n := e.Counters().Leaks; n != 1 {
		t.Errorf("%d leaks, want the one of jm-a/2", n)
	}
}

// TestEngineFreeze guards against a frozen engine that answers, and against one that does not resume after the thaw.
func TestEngineFreeze(t *testing.T) {
	e := testEngine(t, nil)
	e.Freeze()
	status := make(chan int)
	go func() { status <- call(t, "GET", e.Address(), "/v1/report", nil, nil) }()
	select {
	case s := <-status:
		t.Errorf("a frozen engine answered %d", s)
	default:
	}
	e.Thaw()
	if s := <-status; s != 200 {
		t.Errorf("after the thaw: status %d", s)
	}
	if _, complete := readStream(t, sendRequest(t, t.Context(), e, "POST", "/v1/completions", completion("r1", 10, 2))); !complete {
		t.Error("no complete answer after the thaw")
	}
}
