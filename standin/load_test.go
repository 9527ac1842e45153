package standin_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"goldcrestpath/customer"
	"goldcrestpath/standin"
)

func testLoadConfig(length time.Duration) standin.LoadConfig {
	return standin.LoadConfig{
		Rate: 200, Duration: length, Seed: 7, Model: "small", MaxTokens: 8, SharedPrefixShare: 0.5, BookingRate: 50, DuplicateShare: 0.5,
		Customers:   []standin.LoadCustomer{{Name: "large", APIKey: "k1", Weight: 3}, {Name: "little", APIKey: "k2", Weight: 1}},
		ClassShares: standin.DefaultClassShares(),
	}
}

// TestArrivals guards against a mix of classes and customers that differs from the configuration. It also guards against a load with
// MaxPromptTokens, the baseline without long prompts, in which the other prompts change.
func TestArrivals(t *testing.T) {
	cfg := testLoadConfig(50 * time.Second)
	all := cfg.Arrivals()
	counts, large, prompts := map[customer.Class]float64{}, 0.0, 0.0
	for _, req := range all {
		if req.Booking {
			continue
		}
		prompts++
		counts[req.Class()]++
		if req.Customer.Name == "large" {
			large++
		}
	}
	// The tolerances are six standard deviations of the counts for this number of arrivals.
	near := cmpopts.EquateApprox(0, 0.03)
	got := map[customer.Class]float64{}
	for c, n := range counts {
		got[c] = n / prompts
	}
	if diff := cmp.Diff(standin.DefaultClassShares(), got, near); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]float64{10_000, 0.75}, []float64{prompts, large / prompts}, cmpopts.EquateApprox(0.06, 0.03)); diff != "" {
		t.Error(diff)
	}
	cfg.MaxPromptTokens = 100_000
	fewer := cfg.Arrivals()
	kept := slices.DeleteFunc(all, func(a standin.LoadRequest) bool { return a.Tokens > 100_000 })
	ignore := cmpopts.IgnoreFields(standin.LoadRequest{}, "Number")
	if diff := cmp.Diff(kept, fewer, ignore, cmpopts.IgnoreUnexported(standin.LoadRequest{})); diff != "" {
		t.Error(diff)
	}
	for _, req := range fewer[:20] {
		if n := len(req.Prompt()); !req.Booking && n != req.Tokens*standin.TokenBytes {
			t.Errorf("prompt of %d tokens has %d bytes", req.Tokens, n)
		}
	}
}

// fakeVM starts a server that answers completions by calling answer. The text argument is the correct answer to the request.
func fakeVM(t *testing.T, answer func(w http.ResponseWriter, text string)) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Model     string
			MaxTokens int `json:"max_tokens"`
		}
		json.NewDecoder(r.Body).Decode(&q)
		id := r.Header.Get("X-Request-Id")
		answer(w, standin.AnswerText(id, q.Model, q.MaxTokens))
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func writeEvent(w io.Writer, text string) {
	data, _ := json.Marshal(map[string]any{"choices": []map[string]any{{"text": text}}})
	fmt.Fprintf(w, "data: %s\n\n", data)
}

// TestLoadVerifies guards against a load generator that counts an incomplete answer, an answer to another request or a refusal as
// answered.
func TestLoadVerifies(t *testing.T) {
	for _, c := range []struct {
		name      string
		answer    func(w http.ResponseWriter, text string)
		status    standin.Status
		reason    string
		violation bool
	}{
		{"whole", func(w http.ResponseWriter, text string) {
			writeEvent(w, text[:4])
			writeEvent(w, text[4:])
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, standin.Answered, "", false},
		{"without end mark", func(w http.ResponseWriter, text string) { writeEvent(w, text) }, standin.Incomplete, "connection", false},
		{"another request's", func(w http.ResponseWriter, text string) {
			writeEvent(w, "X"+text[1:]) // answers have lower-case letters only
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, standin.WrongAnswer, "", true},
		{"refused", func(w http.ResponseWriter, _ string) {
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprint(w, `{"error":{"reason":"tokenRate","verdict":"notRun"}}`)
		}, standin.Refused, "tokenRate", false},
		{"failed in mid answer", func(w http.ResponseWriter, text string) {
			writeEvent(w, text[:4])
			fmt.Fprint(w, `data: {"error":{"reason":"endpointFailed","verdict":"mayHaveRun"}}`+"\n\n")
		}, standin.Failed, "endpointFailed", false},
	} {
		cfg := testLoadConfig(100 * time.Millisecond)
		cfg.BookingRate, cfg.ClassShares = 0, map[customer.Class]float64{customer.Short: 1}
		generator, err := standin.NewLoadGenerator(cfg, standin.DefaultDeadlines(), nil, fakeVM(t, c.answer))
		if err != nil {
			t.Fatal(err)
		}
		outcomes := generator.Run(t.Context())
		if len(outcomes) != len(cfg.Arrivals()) {
			t.Errorf("%s: %d outcomes for %d arrivals", c.name, len(outcomes), len(cfg.Arrivals()))
		}
		for _, o := range outcomes {
			if o.Status != c.status || o.Reason != c.reason {
				t.Errorf("%s: %v %q (%s), want %v %q", c.name, o.Status, o.Reason, o.Detail, c.status, c.reason)
				break
			}
		}
		s := standin.Summarize(c.name, outcomes, nil)
		if got := len(s.Violations) > 0; got != c.violation {
			t.Errorf("%s: violations %v", c.name, s.Violations)
		}
	}
}

// TestSummarizeBookings guards against a summary that misses a violation: a booking that was executed twice, executed although it was
// refused, or answered without execution.
func TestSummarizeBookings(t *testing.T) {
	key := standin.LoadRequest{Booking: true, Key: "k"}
	answered := standin.Outcome{Request: key, Status: standin.Answered}
	refused := standin.Outcome{Request: key, Status: standin.Refused, Verdict: "notRun"}
	failed := standin.Outcome{Request: key, Status: standin.Failed, Verdict: "mayHaveRun"}
	for _, c := range []struct {
		name     string
		outcomes []standin.Outcome
		ran      int
		want     string // start of the violation
	}{
		{"once", []standin.Outcome{answered, refused}, 1, ""},
		{"unknown", []standin.Outcome{failed}, 1, ""},
		{"twice", []standin.Outcome{answered, answered}, 2, "invariant 7"},
		{"refused but ran", []standin.Outcome{refused, refused}, 1, "invariant 6"},
		{"answered but not run", []standin.Outcome{answered}, 0, "invariant 5"},
	} {
		records := []standin.BookingRecord{}
		for range c.ran {
			records = append(records, standin.BookingRecord{Key: "k"})
		}
		s := standin.Summarize(c.name, c.outcomes, records)
		if got := strings.Join(s.Violations, " "); !strings.HasPrefix(got, c.want) || (c.want == "") != (got == "") {
			t.Errorf("%s: violations %q, want %q", c.name, got, c.want)
		}
	}
}

// TestPlot guards against plots that are not well-formed XML or contain NaN.
func TestPlot(t *testing.T) {
	for _, p := range []standin.Plot{
		{Title: "empty <&>"},
		{Title: "log", LogY: true, Series: []standin.Series{{Name: "a<b", X: []float64{0, 1}, Y: []float64{0, 10}}}},
	} {
		var b bytes.Buffer
		if err := p.Write(&b); err != nil {
			t.Fatal(err)
		}
		var v struct{}
		if err := xml.Unmarshal(b.Bytes(), &v); err != nil {
			t.Errorf("%s: %v", p.Title, err)
		}
		if strings.Contains(b.String(), "NaN") {
			t.Errorf("%s: NaN in the plot", p.Title)
		}
	}
}
