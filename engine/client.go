package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"goldcrestpath/customer"
	"goldcrestpath/http1"
)

// Limits of the client.
const (
	maxResumeAttempts   = 4                       // consecutive resumptions without progress before a stream is given up
	resumeBackoff       = 50 * time.Millisecond   // delay before the second resumption, doubled for each further one; engines keep a broken stream for 2 s
	cancelTimeout       = 500 * time.Millisecond  // limit for cancelling a stream after its context has ended
	callTimeout         = 2 * time.Second         // limit for calls other than streams, unless the context has an earlier deadline
	defaultStallTimeout = 1500 * time.Millisecond // time without data after the first text; below the 2 s for which engines keep a broken stream
	maxResponseBytes    = 8 << 20                 // limit for responses other than streams
)

// Client is an HTTP client for model engines. It sends each completion at most once; a lost stream is resumed, never
// restarted.
type Client struct {
	incarnation  uint64
	now          func() time.Time
	stallTimeout time.Duration
	priority     func(*Completion) int
	ctx          context.Context // cancelled by Close
	stop         context.CancelFunc
	releases     sync.WaitGroup // background goroutines that release reservations
}

// ClientOption sets an optional property of a Client.
type ClientOption func(*Client)

// WithIncarnation sets the incarnation of the VM, which engines record with each of its streams.
func WithIncarnation(n uint64) ClientOption { return func(c *Client) { c.incarnation = n } }

// WithClock replaces the clock that is used to check whether grants have expired.
func WithClock(now func() time.Time) ClientOption { return func(c *Client) { c.now = now } }

// WithStallTimeout sets how long a stream may deliver no data after its first text before its connection counts as lost.
func WithStallTimeout(d time.Duration) ClientOption { return func(c *Client) { c.stallTimeout = d } }

// WithContractPriority makes the client send only the contract's priority to engines, without the length class. The baseline
// policies use it, because an ordinary load balancer does not know prompt lengths.
func WithContractPriority() ClientOption { return func(c *Client) { c.priority = contractPriority } }

// NewClient returns a client.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{now: time.Now, stallTimeout: defaultStallTimeout, priority: classPriority}
	c.ctx, c.stop = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// wireCompletion is the body of POST /v1/completions.
type wireCompletion struct {
	Model          string `json:"model"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"max_tokens"`
	Stream         bool   `json:"stream"`
	RequestID      string `json:"request_id"`
	Priority       int    `json:"priority"`
	Holder         string `json:"holder"`
	Incarnation    uint64 `json:"incarnation"`
	ReservedTokens int    `json:"reserved_tokens"`
	GroupTokens    int    `json:"group_tokens"`
}

// Stream sends r to s under the grant g and delivers the answer to sink. The grant's ID is the stream's ID on the engine.
// After a lost connection the stream is resumed, as long as the engine still has it. If the answer does not end with the end
// mark, the stream is cancelled on the engine before Stream returns. The error is a *customer.Refusal.
func (c *Client) Stream(ctx context.Context, s Spec, r *Completion, g Grant, attempt int, sink Sink) error {
	return c.stream(ctx, s, r, g, attempt, 0, sink)
}

// stream implements Stream. groupTokens is the memory that other members of the group of s have reserved for r, in addition
// to the grant.
func (c *Client) stream(ctx context.Context, s Spec, r *Completion, g Grant, attempt, groupTokens int, sink Sink) error {
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	body, err := json.Marshal(wireCompletion{
		Model: r.Model, Prompt: string(r.Prompt), MaxTokens: r.MaxTokens, Stream: true, RequestID: g.ID,
		Priority: c.priority(r), Holder: g.Holder, Incarnation: c.incarnation,
		ReservedTokens: g.Request.Tokens(), GroupTokens: groupTokens,
	})
	if err != nil {
		return customer.Refuse(customer.ReasonInternal, err.Error())
	}
	asm := &assembler{attempt: attempt, sink: sink}
	mayHaveRun, err := c.connect(ctx, s, fasthttp.MethodPost, "/v1/completions", body, func() error { return c.checkGrant(g) }, asm)
	for resumes := 0; err != nil && mayHaveRun && asm.sinkErr == nil && resumable(err) && ctx.Err() == nil && resumes < maxResumeAttempts; {
		if resumes > 0 && asm.offset == 0 && errors.Is(err, syscall.ECONNREFUSED) {
			break // the engine's process has stopped, and another endpoint can answer from the start
		}
		if resumes > 0 && !sleep(ctx, resumeBackoff<<(resumes-1)) {
			break
		}
		offsetBefore := asm.offset
		path := fmt.Sprintf("/v1/streams/%s?offset=%d", url.PathEscape(g.ID), asm.offset)
		_, err = c.connect(ctx, s, fasthttp.MethodGet, path, nil, nil, asm)
		resumes++
		if asm.offset > offsetBefore || err == errStalled {
			resumes = 0 // keep resuming until the deadline, because the engine still has the stream
		}
	}
	if err == nil {
		return nil
	}
	if !mayHaveRun {
		return c.refusal(ctx, err, false)
	}
	if !asm.done {
		_ = c.cancelDetached(ctx, s, g.ID) // an error is ignored, because the engine itself cancels streams that nothing reads
	}
	if asm.sinkErr != nil {
		var refusal *customer.Refusal
		if errors.As(asm.sinkErr, &refusal) {
			return refusal
		}
		return customer.Fail(customer.ReasonCallerGone, asm.sinkErr.Error())
	}
	return c.refusal(ctx, err, true)
}

// priorityLevels is the number of contract priorities, which range from 0 to 9.
const priorityLevels = 10

// contractPriority returns the contract's priority, limited to the valid range.
func contractPriority(r *Completion) int { return min(max(r.Priority, 0), priorityLevels-1) }

// classPriority returns a priority that orders work on an engine by length class first and contract priority second, so that
// short prompts are prefilled before long ones.
func classPriority(r *Completion) int {
	classes := customer.Classes()
	return (len(classes)-1-int(customer.ClassOf(r.PromptTokens)))*priorityLevels + contractPriority(r)
}

// checkGrant returns a refusal if the grant has expired. It is called immediately before the request is sent.
func (c *Client) checkGrant(g Grant) error {
	if g.Valid(c.now()) {
		return nil
	}
	return customer.Refuse(customer.ReasonGrantExpired, "the grant for "+g.Endpoint+" expired before the send")
}

// connect sends one request and reads its event stream into asm. beforeSend, if not nil, is called immediately before the request
// is sent; an error from it prevents the send. mayHaveRun is false only if the engine certainly did not begin the work.
func (c *Client) connect(ctx context.Context, s Spec, method, path string, body []byte, beforeSend func() error, asm *assembler) (mayHaveRun bool, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	prepareRequest(req, s, method, path, body)
	a, sent, err := http1.Do(ctx, s.Address, beforeSend, req, resp)
	if err != nil {
		return sent, err
	}
	defer resp.CloseBodyStream()
	defer a.Close() // before CloseBodyStream, which otherwise reads the rest of the body
	stream := resp.BodyStream()
	if resp.StatusCode() != fasthttp.StatusOK {
		data, _ := readAll(stream) // parseError treats an incomplete body as one without a verdict
		e := parseError(s, resp.StatusCode(), data)
		return e.Verdict() != customer.NotRun, e
	}
	if stream == nil {
		return true, errTruncated
	}
	var stalled atomic.Bool
	reader := &stallReader{r: stream, asm: asm, timeout: c.stallTimeout, timer: time.AfterFunc(c.stallTimeout, func() {
		stalled.Store(true)
		a.Close()
	})}
	reader.timer.Stop()
	if err = asm.read(reader); err != nil && asm.sinkErr == nil && stalled.Load() {
		err = errStalled
	}
	return true, err
}

// errStalled means that the client closed the connection because no data arrived on it within the stall timeout.
var errStalled = errors.New("stream stalled: no data within the stall timeout")

// stallReader reads a response and closes its connection when no data arrives within the timeout. Without it, a network
// partition would not be noticed, because a partition closes no connection. The timeout does not apply before the first text,
// because the prefill may take arbitrarily long.
type stallReader struct {
	r       io.Reader
	asm     *assembler
	timeout time.Duration
	timer   *time.Timer
}

// Read implements io.Reader.
func (r *stallReader) Read(b []byte) (int, error) {
	if r.asm.offset > 0 {
		r.timer.Reset(r.timeout)
		defer r.timer.Stop()
	}
	return r.r.Read(b)
}

// readAll reads the body of a response that is not an event stream, up to maxResponseBytes. stream may be nil, because fasthttp
// has no body stream for an empty body.
func readAll(stream io.Reader) ([]byte, error) {
	if stream == nil {
		return nil, nil
	}
	return io.ReadAll(io.LimitReader(stream, maxResponseBytes))
}

// prepareRequest fills in req. A body is sent as JSON.
func prepareRequest(req *fasthttp.Request, s Spec, method, path string, body []byte) {
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(s.Address)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
}

// wireError is the body of an error response.
type wireError struct {
	Error struct {
		Reason  string `json:"reason"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// parseError converts an error response into a refusal. The verdict is notRun only if the engine says so explicitly.
func parseError(s Spec, status int, data []byte) *customer.Refusal {
	var e wireError
	err := json.Unmarshal(data, &e)
	text := fmt.Sprintf("%s answered %d %s: %s", s.Name, status, e.Error.Reason, e.Error.Message)
	if err != nil || e.Error.Verdict != customer.NotRun.String() {
		return customer.Fail(customer.ReasonEndpointFailed, text)
	}
	switch e.Error.Reason {
	case "cold":
		return customer.Refuse(customer.ReasonCold, text)
	case "badRequest":
		return customer.Refuse(customer.ReasonBadRequest, text)
	}
	return customer.Refuse(customer.ReasonEndpointRefused, text)
}

// resumable reports whether the stream can be resumed after err. It cannot be resumed after an error response or a restart of
// the engine.
func resumable(err error) bool {
	var refusal *customer.Refusal
	return !errors.As(err, &refusal) && err != errInstance
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// refusal converts the error of an attempt into a refusal. If ctx has ended, the refusal states that as the reason.
func (c *Client) refusal(ctx context.Context, err error, mayHaveRun bool) *customer.Refusal {
	reason := customer.ReasonEndpointFailed
	var refusal *customer.Refusal
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		reason = customer.ReasonDeadline
	case ctx.Err() != nil:
		reason = customer.ReasonCallerGone
	case errors.As(err, &refusal):
		if !mayHaveRun || refusal.Verdict() == customer.MayHaveRun {
			return refusal
		}
	}
	if mayHaveRun {
		return customer.Fail(reason, err.Error())
	}
	return customer.Refuse(reason, err.Error())
}

// cancelDetached cancels a stream or reservation independently of whether ctx has ended.
func (c *Client) cancelDetached(ctx context.Context, s Spec, id string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	return c.Cancel(ctx, s, id)
}

// call sends a request with in as its JSON body and decodes the JSON response into out. Either may be nil. The error is a
// *customer.Refusal.
func (c *Client) call(ctx context.Context, s Spec, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return customer.Refuse(customer.ReasonInternal, err.Error())
		}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	prepareRequest(req, s, method, path, body)
	a, sent, err := http1.Do(ctx, s.Address, nil, req, resp)
	if err != nil {
		return c.refusal(ctx, err, sent)
	}
	defer resp.CloseBodyStream()
	defer a.Close() // before CloseBodyStream, which otherwise reads the rest of the body
	data, err := readAll(resp.BodyStream())
	if err != nil {
		return c.refusal(ctx, err, true)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return parseError(s, resp.StatusCode(), data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return customer.Fail(customer.ReasonEndpointFailed, fmt.Sprintf("%s sent a malformed answer to %s: %v", s.Name, path, err))
	}
	return nil
}

// wireReport is the response body of GET /v1/report.
type wireReport struct {
	Instance       uint64       `json:"instance"`
	Sequence       uint64       `json:"sequence"`
	AgeMillis      int64        `json:"ageMillis"`
	Model          string       `json:"model"`
	Version        string       `json:"version"`
	Adapters       []string     `json:"adapters"`
	Role           string       `json:"role"`
	Cold           bool         `json:"cold"`
	KVTokens       int          `json:"kvTokens"`
	KVUsed         int          `json:"kvUsed"`
	Sequences      int          `json:"sequences"`
	Running        int          `json:"running"`
	Waiting        int          `json:"waiting"`
	PrefillBacklog int          `json:"prefillBacklog"`
	Streams        []wireStream `json:"streams"`
}

// wireStream is one stream or reservation in a wireReport.
type wireStream struct {
	ID     string `json:"id"`
	Holder string `json:"holder"`
	Tokens int    `json:"tokens"`

	Reservation bool `json:"reservation"`
}

// Report fetches the endpoint's load report.
func (c *Client) Report(ctx context.Context, s Spec) (Report, error) {
	var w wireReport
	begin := c.now()
	if err := c.call(ctx, s, fasthttp.MethodGet, "/v1/report", nil, &w); err != nil {
		return Report{}, err
	}
	r := Report{
		Instance: w.Instance, Sequence: w.Sequence, Model: w.Model, Version: w.Version, Adapters: w.Adapters, Role: w.Role,
		Cold: w.Cold, KVTokens: w.KVTokens, KVUsed: w.KVUsed, Sequences: w.Sequences, Running: w.Running, Waiting: w.Waiting,
		PrefillBacklog: w.PrefillBacklog, Streams: make([]StreamReport, 0, len(w.Streams)),
		// The duration of the call is added to the age, because the engine may have created the report at the start of the call.
		Age: time.Duration(w.AgeMillis)*time.Millisecond + c.now().Sub(begin),
	}
	for _, st := range w.Streams {
		r.Streams = append(r.Streams, StreamReport(st))
	}
	return r, nil
}

// wireEvents is the response body of GET /v1/cacheEvents.
type wireEvents struct {
	Events []struct {
		Sequence uint64 `json:"sequence"`
		Kind     string `json:"kind"`
		Prefix   string `json:"prefix"`
	} `json:"events"`
}

// CacheEvents fetches the prefix cache events whose sequence number is from or higher.
func (c *Client) CacheEvents(ctx context.Context, s Spec, from uint64) ([]CacheEvent, error) {
	var w wireEvents
	if err := c.call(ctx, s, fasthttp.MethodGet, "/v1/cacheEvents?from="+strconv.FormatUint(from, 10), nil, &w); err != nil {
		return nil, err
	}
	events := make([]CacheEvent, 0, len(w.Events))
	for _, e := range w.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			return nil, customer.Fail(customer.ReasonEndpointFailed, fmt.Sprintf("%s sent a malformed prefix hash %q", s.Name, e.Prefix))
		}
		events = append(events, CacheEvent{Sequence: e.Sequence, Stored: e.Kind == "stored", Prefix: prefix})
	}
	return events, nil
}

// Cancel cancels a stream or releases a reservation. It returns no error for an unknown ID.
func (c *Client) Cancel(ctx context.Context, s Spec, id string) error {
	return c.call(ctx, s, fasthttp.MethodDelete, "/v1/streams/"+url.PathEscape(id), nil, nil)
}

// CancelHolder cancels all streams and reservations of a holder that belong to the given incarnation or an earlier one.
func (c *Client) CancelHolder(ctx context.Context, s Spec, holder string, incarnation uint64) error {
	query := url.Values{"holder": {holder}, "incarnation": {strconv.FormatUint(incarnation, 10)}}
	return c.call(ctx, s, fasthttp.MethodDelete, "/v1/streams?"+query.Encode(), nil, nil)
}

// wireOrder is the body of POST /v1/orders.
type wireOrder struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fence   uint64    `json:"fence"`
}

// Order sends an order to the endpoint.
func (c *Client) Order(ctx context.Context, s Spec, o Order) error {
	return c.call(ctx, s, fasthttp.MethodPost, "/v1/orders", wireOrder(o), nil)
}

// wireReservation is the body of POST /v1/reservations.
type wireReservation struct {
	ID          string `json:"id"`
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Tokens      int    `json:"tokens"`
}

// Reserve reserves memory on an endpoint for a stream that runs on the first member of its group.
func (c *Client) Reserve(ctx context.Context, s Spec, id, holder string, tokens int) error {
	in := wireReservation{ID: id, Holder: holder, Incarnation: c.incarnation, Tokens: tokens}
	return c.call(ctx, s, fasthttp.MethodPost, "/v1/reservations", in, nil)
}
