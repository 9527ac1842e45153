package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
	"goldcrestpath/forward"
	"goldcrestpath/http1"
)

const (
	explainPath = "/explain"
	// MaxExplainedTokens bounds the sizes of a prompt and its answer in a question, far above the longest prompts.
	MaxExplainedTokens = 100_000_000
	// explainTimeout limits the time to ask a VM, and explainAnswerBytes the size of its answer.
	explainTimeout     = 5 * time.Second
	explainAnswerBytes = 16 << 20
)

// explainAnswer is the body of GET /explain.
type explainAnswer struct {
	VM         string           `json:"vm"`
	DataCentre string           `json:"dataCentre"`
	Version    int64            `json:"configuration"`
	Decisions  []explainService `json:"decisions"` // one for each service of the route
}

// explainService is the decision for one service.
type explainService struct {
	Route          string          `json:"route"`
	Team           string          `json:"team,omitempty"`
	Service        string          `json:"service"`
	Share          float64         `json:"share"` // of the route's requests
	Kind           string          `json:"kind"`  // "prompt" or "call"
	Tokens         int             `json:"tokens,omitempty"`
	Output         int             `json:"output,omitempty"`
	TeamPriority   int             `json:"teamPriority"`
	RoutePriority  int             `json:"routePriority"`
	Outcome        string          `json:"outcome"` // "send", "wait" or "refuse"
	Endpoint       string          `json:"endpoint,omitempty"`
	Helpers        []explainHelper `json:"helpers,omitempty"`
	ExpectedMs     float64         `json:"expectedFirstEventMs,omitempty"`
	LeavesBecause  string          `json:"leavesBecause,omitempty"`
	Refusal        *explainRefusal `json:"refusal,omitempty"`
	WaitLimitMs    float64         `json:"waitLimitMs"`
	Scarce         bool            `json:"scarce"`
	GivesWay       bool            `json:"givesWay"`
	ExceedsShare   bool            `json:"exceedsShare"`
	VMsInCell      int             `json:"vmsInCell"`
	PeerHeardAgeMs *float64        `json:"peerHeardAgeMs,omitempty"`
	Joins          []endpoint.Cell `json:"joins,omitempty"`
	Cells          []explainCell   `json:"cells"`
}

type explainHelper struct {
	Endpoint       string `json:"endpoint"`
	RemoteKVTokens int    `json:"remoteKVTokens,omitempty"`
}

type explainRefusal struct {
	Reason       string  `json:"reason"`
	Message      string  `json:"message"`
	RetryAfterMs float64 `json:"retryAfterMs"`
}

type explainCell struct {
	Cell         string             `json:"cell"`
	Waiting      int                `json:"waiting"`
	SummaryAgeMs float64            `json:"summaryAgeMs,omitempty"`
	Refusal      *explainRefusal    `json:"refusal,omitempty"`
	Candidates   []explainCandidate `json:"candidates"`
}

type explainCandidate struct {
	Endpoint    string   `json:"endpoint"`
	DataCentre  string   `json:"dataCentre"`
	State       string   `json:"state"` // "first", "helper", "candidate", "full", "leftOut" or the reason why it is unusable
	Running     int      `json:"running"`
	Slots       int      `json:"slots"`
	FreeTokens  int      `json:"freeTokens,omitempty"`
	BacklogMs   float64  `json:"backlogMs"`
	PendingMs   float64  `json:"pendingPrefillMs"`
	StepMs      float64  `json:"stepMs,omitempty"`
	Pace        float64  `json:"pace"`
	Slow        bool     `json:"slow"`
	Cold        bool     `json:"cold"`
	FailureRate float64  `json:"failureRate"`
	LoadAgeMs   *float64 `json:"loadAgeMs,omitempty"` // absent if no peer has reported load there
	ScoreMs     float64  `json:"scoreMs,omitempty"`
	CrossingMs  float64  `json:"crossingMs,omitempty"`
	Cost        float64  `json:"cost,omitempty"`
}

// serveExplain answers where a request would go now and why. It sends nothing and changes no state.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	x, err := parseQuestion(r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answers, err := g.handler.Explain(time.Now(), x)
	var bad *forward.BadRequestError
	switch {
	case errors.As(err, &bad):
		http.Error(w, bad.Message, bad.Status)
		return
	case err != nil:
		http.Error(w, customer.AsRefusal(err).Message(), http.StatusServiceUnavailable)
		return
	}
	body := explainAnswer{VM: g.settings.Name(), DataCentre: g.settings.DataCentre()}
	if t := g.handler.Table(); t != nil {
		body.Version = t.Version()
	}
	for i := range answers {
		body.Decisions = append(body.Decisions, newExplainService(&answers[i]))
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		g.logger.WithError(err).Debug("gateway: could not write an explanation")
	}
}

// parseQuestion decodes the query of a request for an explanation.
func parseQuestion(rawQuery string) (forward.Question, error) {
	values, err := url.ParseQuery(rawQuery)
	if err != nil {
		return forward.Question{}, errors.New("the query is malformed")
	}
	for name, v := range values {
		switch name {
		case "host", "path", "team", "tokens", "output":
		default:
			return forward.Question{}, errors.Errorf("parameter %q is unknown: allowed are host, path, team, tokens and output", name)
		}
		if len(v) > 1 {
			return forward.Question{}, errors.Errorf("parameter %q is given more than once", name)
		}
	}
	x := forward.Question{Host: values.Get("host"), Path: values.Get("path"), Team: values.Get("team")}
	if x.Host == "" || !strings.HasPrefix(x.Path, "/") {
		return x, errors.New("host and a path that begins with a slash are required")
	}
	for name, n := range map[string]*int{"tokens": &x.PromptTokens, "output": &x.OutputTokens} {
		if !values.Has(name) {
			continue
		}
		if *n, err = strconv.Atoi(values.Get(name)); err != nil || *n < 1 || *n > MaxExplainedTokens {
			return x, errors.Errorf("%s = %q: allowed are whole numbers from 1 to %d", name, values.Get(name), MaxExplainedTokens)
		}
	}
	return x, nil
}

// newExplainService returns the wire form of an answer.
func newExplainService(a *forward.Answer) explainService {
	s := explainService{
		Route: a.Route, Team: a.Customer, Service: a.Service, Share: a.Share, Kind: "call", Tokens: a.PromptTokens, Output: a.OutputTokens,
		TeamPriority: int(a.Rank.Team), RoutePriority: int(a.Rank.Route), ExpectedMs: millis(a.ExpectedTTFT), LeavesBecause: string(a.LeaveReason),
		Refusal: newExplainRefusal(a.Refusal), WaitLimitMs: millis(a.WaitLimit), Scarce: a.Scarce, GivesWay: a.GivesWay, ExceedsShare: a.Exceeds,
		VMsInCell: a.VMs, PeerHeardAgeMs: age(a.HeardAge), Joins: a.Joins, Outcome: "send", Cells: []explainCell{},
	}
	if a.Generation {
		s.Kind = "prompt"
	}
	switch {
	case a.First != nil:
		s.Endpoint = a.First.ID
	case a.Waits:
		s.Outcome = "wait"
	default:
		s.Outcome = "refuse"
	}
	for _, h := range a.Helpers {
		s.Helpers = append(s.Helpers, explainHelper{h.ID, h.RemoteKVTokens})
	}
	for i := range a.Cells {
		c := &a.Cells[i]
		cell := explainCell{Cell: string(c.Cell), Waiting: c.Waiting, SummaryAgeMs: millis(c.SummaryAge), Refusal: newExplainRefusal(c.Refusal), Candidates: []explainCandidate{}}
		for j := range c.Candidates {
			cell.Candidates = append(cell.Candidates, newExplainCandidate(&c.Candidates[j], s.Endpoint))
		}
		s.Cells = append(s.Cells, cell)
	}
	return s
}

func newExplainRefusal(r *customer.Refusal) *explainRefusal {
	if r == nil {
		return nil
	}
	return &explainRefusal{Reason: string(r.Reason()), Message: r.Message(), RetryAfterMs: millis(r.RetryAfter())}
}

func newExplainCandidate(c *endpoint.Candidate, first string) explainCandidate {
	x := explainCandidate{
		Endpoint: c.ID, DataCentre: c.DataCentre, State: "candidate", Running: c.Running, Slots: c.Slots, FreeTokens: c.FreeTokens,
		BacklogMs: millis(c.Backlog), PendingMs: millis(c.PendingPrefill), StepMs: millis(c.StepTime), Pace: c.Pace, Slow: c.Slow, Cold: c.Cold,
		FailureRate: c.FailureRate, LoadAgeMs: age(c.LoadAge), ScoreMs: millis(c.Score), CrossingMs: millis(c.Crossing),
	}
	switch {
	case c.Unusable != "":
		x.State = c.Unusable
	case c.Chosen && c.ID == first:
		x.State = "first"
	case c.Chosen:
		x.State = "helper"
	case c.LeftOut:
		x.State = "leftOut"
	case c.Full():
		x.State = "full"
	}
	if !c.Full() { // JSON has no infinity
		x.Cost = c.Cost
	}
	return x
}

// millis returns d in milliseconds, rounded to microseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// age returns an age in milliseconds, or nil if it is negative, which stands for unknown.
func age(d time.Duration) *float64 {
	if d < 0 {
		return nil
	}
	ms := millis(d)
	return &ms
}

// FetchExplanation asks the VM at an operators' address where a request would go now. It returns the JSON body of the answer. The error
// names the cause if the VM does not answer or refuses the question.
func FetchExplanation(ctx context.Context, address string, x forward.Question) ([]byte, error) {
	values := url.Values{"host": {x.Host}, "path": {x.Path}}
	if x.Team != "" {
		values.Set("team", x.Team)
	}
	if x.PromptTokens != 0 {
		values.Set("tokens", strconv.Itoa(x.PromptTokens))
	}
	if x.OutputTokens != 0 {
		values.Set("output", strconv.Itoa(x.OutputTokens))
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: explainPath, RawQuery: values.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "ask "+address)
	}
	client := &http.Client{Transport: http1.NewTransport(&http.Transport{DisableKeepAlives: true})}
	resp, err := client.Do(r)
	if err != nil {
		return nil, errors.Wrapf(err, "%s does not answer", address)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, explainAnswerBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "%s does not answer completely", address)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s refuses with status %d: %s", address, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// PrintExplanation writes the answer that FetchExplanation returned as text.
func PrintExplanation(w io.Writer, answer []byte) error {
	var a explainAnswer
	if err := json.Unmarshal(answer, &a); err != nil {
		return errors.Wrap(err, "the answer is not an explanation")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "VM %s in %s, configuration %d\n", a.VM, a.DataCentre, a.Version)
	for i := range a.Decisions {
		printDecision(t, &a.Decisions[i])
	}
	return t.Flush()
}

// printDecision prints the decision for one service.
func printDecision(w io.Writer, s *explainService) {
	fmt.Fprintf(w, "\nroute %s, service %s (%.0f%% of the requests), priority %d (route %d)", s.Route, s.Service, 100*s.Share, s.TeamPriority, s.RoutePriority)
	if s.Kind == "prompt" {
		fmt.Fprintf(w, ", prompt of %d tokens, answer of up to %d", s.Tokens, s.Output)
	}
	fmt.Fprintf(w, "\n%s", s.Outcome)
	if s.Endpoint != "" {
		fmt.Fprintf(w, " to %s", s.Endpoint)
		if len(s.Helpers) > 0 {
			fmt.Fprintf(w, " with %d helpers", len(s.Helpers))
		}
		if s.ExpectedMs > 0 {
			fmt.Fprintf(w, ", first event expected after %.0f ms", s.ExpectedMs)
		}
		if s.LeavesBecause != "" {
			fmt.Fprintf(w, ", leaves the data centre: %s", s.LeavesBecause)
		}
	}
	if s.Outcome == "wait" {
		fmt.Fprintf(w, " for up to %.0f ms", s.WaitLimitMs)
	}
	printRefusal(w, s.Refusal)
	for _, flag := range []struct {
		set  bool
		text string
	}{{s.Scarce, "capacity is scarce"}, {s.GivesWay, "gives way to more urgent prompts"}, {s.ExceedsShare, "the team exceeds its share"}} {
		if flag.set {
			fmt.Fprintf(w, "; %s", flag.text)
		}
	}
	fmt.Fprintf(w, "\n%d VMs in the cell, peers last heard %s\n", s.VMsInCell, ageText(s.PeerHeardAgeMs))
	for _, c := range s.Joins {
		fmt.Fprintf(w, "joins cell %s first, whose loads it does not know yet\n", c)
	}
	for i := range s.Cells {
		c := &s.Cells[i]
		if c.Cell != "" {
			fmt.Fprintf(w, "cell %s", c.Cell)
			if c.SummaryAgeMs > 0 {
				fmt.Fprintf(w, ", chosen by a summary of %.0f ms ago", c.SummaryAgeMs)
			}
			printRefusal(w, c.Refusal)
			fmt.Fprintln(w)
		}
		if c.Waiting > 0 {
			fmt.Fprintf(w, "%d prompts wait\n", c.Waiting)
		}
		fmt.Fprintln(w, "ORDER\tENDPOINT\tDATA CENTRE\tSTATE\tRUNNING\tSLOTS\tFREE TOKENS\tBACKLOG\tPENDING\tPACE\tCOLD\tFAILURES\tLOAD HEARD\tSCORE\tCROSSING")
		for j := range c.Candidates {
			x := &c.Candidates[j]
			score := fmt.Sprintf("%.3f", x.Cost)
			if s.Kind == "prompt" {
				score = fmt.Sprintf("%.1f ms", x.ScoreMs)
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%d\t%d\t%.1f ms\t%.1f ms\t%.2f\t%t\t%.2f\t%s\t%s\t%.1f ms\n", j+1, x.Endpoint, x.DataCentre, x.State,
				x.Running, x.Slots, x.FreeTokens, x.BacklogMs, x.PendingMs, x.Pace, x.Cold, x.FailureRate, ageText(x.LoadAgeMs), score, x.CrossingMs)
		}
	}
}

// printRefusal prints a refusal after other text.
func printRefusal(w io.Writer, r *explainRefusal) {
	if r != nil {
		fmt.Fprintf(w, ": %s, %s, Retry-After %.3f s", r.Reason, r.Message, r.RetryAfterMs/1000)
	}
}

// ageText returns an age as text.
func ageText(ms *float64) string {
	if ms == nil {
		return "never"
	}
	return fmt.Sprintf("%.0f ms ago", *ms)
}
