package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/customer"
)

const (
	// deadlineSlack is how long after its deadline a request may end without a violation. It covers the delays of the load generator
	// itself.
	deadlineSlack = time.Second
	// cancelAfterDeadline is how long after its deadline a request is cancelled.
	cancelAfterDeadline = 5 * time.Second
	// readinessInterval is the interval of the readiness probes to the VMs.
	readinessInterval = 250 * time.Millisecond
	// maxEventBytes bounds a line of a streamed answer and the body of an error response.
	maxEventBytes = 1 << 20
)

// Deadlines maps the length classes of a contract to the maximum duration of a request.
type Deadlines map[customer.Class]time.Duration

// DefaultDeadlines returns the deadlines of the contracts in the demo.
func DefaultDeadlines() Deadlines {
	return Deadlines{
		customer.Short: 8 * time.Second, customer.Medium: 12 * time.Second, customer.Long: 20 * time.Second,
		customer.VeryLong: 40 * time.Second,
	}
}

// Status is the result of one request as seen by its client.
type Status uint8

const (
	// Answered means a complete answer that belongs to the request.
	Answered Status = iota
	// Refused means a failure with the verdict notRun.
	Refused
	// Failed means a failure that the VM reported with another verdict.
	Failed
	// Incomplete means a connection or an answer that ended without an end mark or a reported failure.
	Incomplete
	// WrongAnswer means an answer that was reported as complete but does not belong to the request.
	WrongAnswer
)

var statusNames = [...]string{"answered", "refused", "failed", "broken", "foreign"}

// String returns the name of the status in reports.
func (s Status) String() string { return statusNames[s] }

// Outcome is the result of one request that was sent.
type Outcome struct {
	Request    LoadRequest
	RequestID  string // sent as X-Request-Id
	Target     string
	Status     Status
	StatusCode int           // HTTP status code; 0 if no response arrived
	Reason     string        // reason of a failure
	Verdict    string        // verdict of a failure: whether the request may have been executed
	Detail     string        // message of a failure
	SendDelay  time.Duration // delay of the send after its intended time
	TTFT       time.Duration // time from the intended send to the first token
	Total      time.Duration // time from the intended send to the end
	Deadline   time.Duration // limit for Total
}

// InTime reports whether the request was answered completely and within its deadline.
func (o Outcome) InTime() bool { return o.Status == Answered && o.Total <= o.Deadline }

// LoadGenerator generates an open-loop load: it sends the requests of a LoadConfig at their intended times, regardless of the progress of
// earlier ones, and verifies the answers.
type LoadGenerator struct {
	cfg       LoadConfig
	deadlines Deadlines
	targets   []*loadTarget
	client    *http.Client
	progress  io.Writer
	idPrefix  string // prefix of all request IDs, different for each load

	nextTarget atomic.Uint64
	sent       atomic.Int64
	ended      atomic.Int64
	answered   atomic.Int64
	mu         sync.Mutex
	outcomes   []Outcome
	startedAt  time.Time
}

type loadTarget struct {
	address string
	ready   atomic.Bool
}

// NewLoadGenerator returns a load generator for the entry VMs whose listeners for callers are at addresses. Progress lines are
// written to progress unless it is nil.
func NewLoadGenerator(cfg LoadConfig, deadlines Deadlines, progress io.Writer, addresses ...string) (*LoadGenerator, error) {
	if len(addresses) == 0 || len(cfg.Customers) == 0 {
		return nil, errors.New("a load needs at least one target and one customer")
	}
	id := strconv.FormatUint(rand.Uint64(), 36)
	l := &LoadGenerator{cfg: cfg, deadlines: deadlines, progress: progress, idPrefix: id, client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 512,
		DisableCompression:  true,
	}}}
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(a); err != nil || !net.ParseIP(host).IsLoopback() {
			return nil, errors.Errorf("target %q is not a loopback address with a port", a)
		}
		l.targets = append(l.targets, &loadTarget{address: a})
	}
	return l, nil
}

// Run sends the load and returns the outcome of each request. It returns when all requests have ended.
func (l *LoadGenerator) Run(ctx context.Context) []Outcome {
	defer l.client.CloseIdleConnections()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	l.probeReadiness(ctx)
	var background, requests sync.WaitGroup
	background.Add(1)
	go func() {
		defer background.Done()
		l.monitorTargets(ctx)
	}()
	l.startedAt = time.Now()
	for _, req := range l.cfg.Arrivals() {
		if !sleepUntil(ctx, l.startedAt.Add(req.At)) {
			break
		}
		for _, at := range req.sendTimes() {
			requests.Add(1)
			go func() {
				defer requests.Done()
				if sleepUntil(ctx, l.startedAt.Add(at)) {
					l.record(l.Send(ctx, req, l.startedAt.Add(at)))
				}
			}()
		}
	}
	requests.Wait()
	stop()
	background.Wait()
	return l.outcomes
}

// sendTimes returns the intended send times of a request: two for a booking that is sent twice, otherwise one.
func (r LoadRequest) sendTimes() []time.Duration {
	if r.DuplicateDelay > 0 {
		return []time.Duration{r.At, r.At + r.DuplicateDelay}
	}
	return []time.Duration{r.At}
}

// sleepUntil waits until the given time. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// monitorTargets probes the readiness of the targets and writes progress lines until ctx ends.
func (l *LoadGenerator) monitorTargets(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.probeReadiness(ctx)
		if l.progress != nil && n%12 == 0 { // every 3 s
			fmt.Fprintf(l.progress, "%.0f s of %.0f s: %d sent, %d ended, %d answered\n", time.Since(l.startedAt).Seconds(),
				l.cfg.Duration.Seconds(), l.sent.Load(), l.ended.Load(), l.answered.Load())
		}
	}
}

// probeReadiness requests /readyz from all targets and records which of them are ready.
func (l *LoadGenerator) probeReadiness(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for _, t := range l.targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+"/readyz", nil)
			resp, err := l.client.Do(r)
			if err == nil {
				resp.Body.Close()
			}
			t.ready.Store(err == nil && resp.StatusCode == http.StatusOK)
		}()
	}
	wg.Wait()
}

// selectTarget returns the address of the next ready target in round-robin order, or of the next target if none is ready.
func (l *LoadGenerator) selectTarget() string {
	n := l.nextTarget.Add(1)
	for i := range l.targets {
		if t := l.targets[(n+uint64(i))%uint64(len(l.targets))]; t.ready.Load() {
			return t.address
		}
	}
	return l.targets[n%uint64(len(l.targets))].address
}

// Send sends one request whose intended send time is intended, and verifies its answer.
func (l *LoadGenerator) Send(ctx context.Context, req LoadRequest, intended time.Time) Outcome {
	id := fmt.Sprintf("%sn%d", l.idPrefix, l.sent.Add(1))
	o := Outcome{Request: req, RequestID: id, Target: l.selectTarget(), SendDelay: time.Since(intended), Deadline: l.deadlines[req.Class()]}
	ctx, cancel := context.WithDeadline(ctx, intended.Add(o.Deadline+cancelAfterDeadline))
	defer cancel()
	var err error
	if req.Booking {
		err = l.book(ctx, &o)
	} else {
		err = l.complete(ctx, intended, &o)
	}
	o.Total = time.Since(intended)
	if err != nil {
		o.Detail = err.Error()
	}
	return o
}

func (l *LoadGenerator) record(o Outcome) {
	if o.Status == Answered {
		l.answered.Add(1)
	}
	l.ended.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// post sends a body to the target in o. If no connection can be established, it selects the next target, as a load balancer does,
// and makes at most as many attempts as there are targets.
func (l *LoadGenerator) post(ctx context.Context, o *Outcome, path string, body []byte, header http.Header) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Target+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		r.Header = header.Clone()
		if o.Request.Booking {
			// net/http itself retries requests that have an Idempotency-Key. Without GetBody it cannot, so that each booking is sent
			// exactly as often as the load intends.
			r.GetBody = nil
		}
		r.Header.Set("Authorization", "Bearer "+o.Request.Customer.APIKey)
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("X-Request-Id", o.RequestID)
		resp, err := l.client.Do(r)
		var op *net.OpError
		if err != nil && errors.As(err, &op) && op.Op == "dial" && attempt < len(l.targets) {
			o.Target = l.selectTarget()
			continue
		}
		if err != nil {
			o.Status, o.Reason = Incomplete, "connection"
			return nil, err
		}
		o.StatusCode = resp.StatusCode
		return resp, nil
	}
}

// errorResponse is the body of an error response to a caller. Stream events report a failure in the same form.
type errorResponse struct {
	Error *struct {
		Reason  string `json:"reason"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// recordFailure records a failure that the VM reported.
func (o *Outcome) recordFailure(e errorResponse, header http.Header) {
	o.Status = Failed
	if e.Error != nil {
		o.Reason, o.Verdict, o.Detail = e.Error.Reason, e.Error.Verdict, e.Error.Message
	}
	if o.Verdict == "" {
		o.Verdict = header.Get("Goldcrest-Verdict")
	}
	if o.Reason == "" {
		o.Reason = fmt.Sprintf("status %d", o.StatusCode)
	}
	if o.Verdict == customer.NotRun.String() {
		o.Status = Refused
	}
}

// book sends a booking and verifies that the response contains the key and the body that were sent.
func (l *LoadGenerator) book(ctx context.Context, o *Outcome) error {
	body := fmt.Appendf(nil, `{"room":%d,"customer":%q}`, o.Request.Number, o.Request.Customer.Name)
	resp, err := l.post(ctx, o, "/services/booking/bookings", body, http.Header{"Idempotency-Key": {o.Request.Key}})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		o.Status, o.Reason = Incomplete, "connection"
		return err
	}
	if resp.StatusCode/100 != 2 {
		var e errorResponse
		json.Unmarshal(data, &e)
		o.recordFailure(e, resp.Header)
		return nil
	}
	var record BookingRecord
	if err := json.Unmarshal(data, &record); err != nil || record.Key != o.Request.Key || record.Body != string(body) {
		o.Status, o.Detail = WrongAnswer, fmt.Sprintf("unexpected response to booking: %.200q", data)
	}
	return nil
}

// completionEvent is one event of a streamed completion.
type completionEvent struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *streamUsage `json:"usage"`
	errorResponse
}

// complete sends a prompt, reads the streamed answer and verifies it.
func (l *LoadGenerator) complete(ctx context.Context, intended time.Time, o *Outcome) error {
	req := o.Request
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
		Options   any    `json:"stream_options"`
	}{req.Model, req.Prompt(), req.MaxTokens, true, map[string]bool{"include_usage": true}})
	if err != nil {
		return err
	}
	resp, err := l.post(ctx, o, "/v1/completions", body, http.Header{"Accept": {"text/event-stream"}})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
		var e errorResponse
		json.Unmarshal(data, &e)
		o.recordFailure(e, resp.Header)
		return nil
	}
	var text strings.Builder
	var usage *streamUsage
	done := false
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			done = true
			continue
		}
		var ev completionEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			return o.recordIncomplete(errors.Wrap(err, "event"))
		}
		if ev.Error != nil {
			o.recordFailure(ev.errorResponse, resp.Header)
			return nil
		}
		for _, c := range ev.Choices {
			if c.Text != "" && o.TTFT == 0 {
				o.TTFT = time.Since(intended)
			}
			text.WriteString(c.Text)
		}
		if ev.Usage != nil {
			usage = ev.Usage
		}
	}
	if err := lines.Err(); err != nil {
		return o.recordIncomplete(err)
	}
	if !done {
		return o.recordIncomplete(errors.New("the answer ended without an end mark"))
	}
	switch want := AnswerText(o.RequestID, req.Model, req.MaxTokens); {
	case text.String() != want:
		o.Status = WrongAnswer
		return errors.Errorf("answer of %d bytes differs from the expected answer of %d bytes", text.Len(), len(want))
	case usage != nil && usage.PromptTokens != req.Tokens:
		o.Status = WrongAnswer
		return errors.Errorf("the answer's usage reports %d prompt tokens, %d were sent", usage.PromptTokens, req.Tokens)
	}
	return nil
}

// recordIncomplete records that the answer ended too early because of err, and returns err.
func (o *Outcome) recordIncomplete(err error) error {
	o.Status, o.Reason = Incomplete, "connection"
	return err
}
