package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	metrics "github.com/rcrowley/go-metrics"

	"goldcrestpath/endpoint"
	"goldcrestpath/forward"
	"goldcrestpath/http1/http1test"
	"goldcrestpath/operator"
	"goldcrestpath/platform"
)

// explainSite returns a gateway that serves no callers, with the model "chat" on two engines and the plain service "desk" on one
// instance. If configured is not set, it has no configuration.
func explainSite(t *testing.T, configured bool) (*Gateway, http.Handler) {
	t.Helper()
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	g := &Gateway{settings: &operator.GatewaySettings{}, logger: logger, registry: metrics.NewRegistry(), fleet: endpoint.NewFleet(endpoint.WithLocation("a", "vm"))}
	g.handler = forward.NewHandler(platform.Codec{}, g.fleet, endpoint.NewRetryBudget(0.1, 10, time.Second), logger, forward.WithRegistry(g.registry))
	t.Cleanup(g.handler.Close)
	if !configured {
		return g, g.metricsHandler()
	}
	table, err := operator.NewRoutingTable(operator.RoutingSpec{
		Version: 7, RequiresKey: true, Customers: []operator.Customer{{Name: "red", APIKeys: []string{"k"}, Priority: 1, HasPriority: true}},
		Routes: []operator.Route{
			{Name: "chat", Host: "x.test", Prefix: "/chat/", Kind: operator.ResumableStream, Timeout: 10 * time.Second, TTFTTarget: 300 * time.Millisecond,
				GapLimit: 250 * time.Millisecond, MaxAttempts: 2, Services: []operator.WeightedService{{Service: "chat", Weight: 1}}},
			{Name: "desk", Host: "x.test", Prefix: "/desk/", Kind: operator.Idempotent, TTFTTarget: 500 * time.Millisecond, MaxAttempts: 2,
				Services: []operator.WeightedService{{Service: "desk", Weight: 1}, {Service: "empty", Weight: 3}}},
		},
		Services: []endpoint.Service{{Name: "desk"}, {Name: "empty"}, {Name: "chat", Engine: &endpoint.Engine{
			Slots: 16, KVTokens: 300_000, IterationTime: time.Millisecond, PrefillRate: 100_000, IterationsPerStep: 20, UsualPrompt: 4_000, UsualOutput: 500,
		}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	g.fleet.SetServices(table.Services())
	g.handler.SetTable(table)
	for i, service := range []string{"chat", "chat", "desk"} {
		g.fleet.SetEntry(time.Now(), endpoint.Entry{ID: fmt.Sprintf("e%d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: "a", Slots: 4}, 0)
	}
	return g, g.metricsHandler()
}

func get(h http.Handler, target string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
	return w.Code, w.Body.String()
}

// TestExplainRefusesBadQuestions guards against questions that are answered for another request than the one meant.
func TestExplainRefusesBadQuestions(t *testing.T) {
	_, h := explainSite(t, true)
	_, unconfigured := explainSite(t, false)
	for _, c := range []struct {
		handler http.Handler
		query   string
		status  int
		body    string
	}{
		{h, "host=x.test&path=/none/1", http.StatusNotFound, "no route"},
		{h, "host=other.test&path=/chat/1", http.StatusNotFound, "no route"},
		{h, "host=x.test&path=/chat/1&team=blue", http.StatusNotFound, "no such team"},
		{h, "path=/chat/1", http.StatusBadRequest, "host"},
		{h, "host=x.test&path=chat", http.StatusBadRequest, "slash"},
		{h, "host=x.test&path=/chat/1&tokens=many", http.StatusBadRequest, `tokens = "many"`},
		{h, "host=x.test&path=/chat/1&tokens=0", http.StatusBadRequest, `tokens = "0"`},
		{h, "host=x.test&path=/chat/1&output=-5", http.StatusBadRequest, `output = "-5"`},
		{h, "host=x.test&path=/chat/1&output=99999999999999999999", http.StatusBadRequest, "output"},
		{h, "host=x.test&path=/chat/1&token=5", http.StatusBadRequest, `"token" is unknown`},
		{h, "host=x.test&host=y.test&path=/chat/1", http.StatusBadRequest, "more than once"},
		{h, "host=x.test&path=%zz", http.StatusBadRequest, "malformed"},
		{unconfigured, "host=x.test&path=/chat/1", http.StatusServiceUnavailable, "no configuration"},
	} {
		if status, body := get(c.handler, "/explain?"+c.query); status != c.status || !strings.Contains(body, c.body) {
			t.Errorf("%s: status %d, %q, want %d with %q", c.query, status, body, c.status, c.body)
		}
	}
}

// TestExplainAnswers guards against explanations without the decision, the usual sizes or one of the services of a route, and against
// questions that are counted as requests.
func TestExplainAnswers(t *testing.T) {
	g, h := explainSite(t, true)
	before := g.registry.GetAll()
	type decision struct {
		Service, Kind, Outcome, Team, Refusal string
		Share                                 float64
		Tokens, Output, Priority, Candidates  int
		Retry                                 bool
	}
	for query, want := range map[string][]decision{
		"host=X.test&path=/chat/1&team=red": {{Service: "chat", Kind: "prompt", Outcome: "send", Team: "red", Share: 1, Tokens: 4_000, Output: 500, Priority: 1, Candidates: 2}},
		"host=x.test&path=/chat/1&tokens=20000000&output=5": {{
			Service: "chat", Kind: "prompt", Outcome: "refuse", Refusal: "memory", Share: 1, Tokens: 20_000_000, Output: 5, Candidates: 2,
		}},
		"host=x.test&path=/desk/1": {
			{Service: "desk", Kind: "call", Outcome: "send", Share: 0.25, Candidates: 1},
			{Service: "empty", Kind: "call", Outcome: "wait", Share: 0.75, Refusal: "noEndpoint", Retry: true},
		},
	} {
		status, body := get(h, "/explain?"+query)
		var a explainAnswer
		if err := json.Unmarshal([]byte(body), &a); err != nil || status != http.StatusOK || a.Version != 7 {
			t.Fatalf("%s: status %d, %s, %v", query, status, body, err)
		}
		var got []decision
		for _, s := range a.Decisions {
			d := decision{Service: s.Service, Kind: s.Kind, Outcome: s.Outcome, Team: s.Team, Share: s.Share, Tokens: s.Tokens, Output: s.Output, Priority: s.TeamPriority}
			for _, c := range s.Cells {
				d.Candidates += len(c.Candidates)
			}
			if s.Refusal != nil {
				d.Refusal, d.Retry = s.Refusal.Reason, s.Refusal.RetryAfterMs > 0
			}
			got = append(got, d)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", query, diff)
		}
		if err := PrintExplanation(io.Discard, []byte(body)); err != nil {
			t.Errorf("%s: %v", query, err)
		}
	}
	vm := httptest.NewServer(h)
	defer vm.Close()
	body, err := FetchExplanation(t.Context(), vm.Listener.Addr().String(), forward.Question{Host: "x.test", Path: "/chat/1", Team: "red", PromptTokens: 70, OutputTokens: 30})
	if err != nil || !strings.Contains(string(body), `"tokens":70,"output":30`) {
		t.Errorf("FetchExplanation: %s, %v", body, err)
	}
	if diff := cmp.Diff(before, g.registry.GetAll()); diff != "" || len(g.fleet.Loads()) > 0 {
		t.Errorf("questions changed counters or loads (-before +after):\n%s", diff)
	}
}

// TestFetchExplanationMalformedHead guards against an explanation that is taken from a response with a malformed head.
func TestFetchExplanationMalformedHead(t *testing.T) {
	http1test.CheckClient(t, "{}", func(t *testing.T, address string) map[string]error {
		_, err := FetchExplanation(t.Context(), address, forward.Question{Host: "x.test", Path: "/"})
		return map[string]error{"FetchExplanation": err}
	})
}
