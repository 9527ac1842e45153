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

// Bounds of the client.
const (
	resumeTries   = 4                       // connections without progress after which a stream is given up
	resumePause   = 50 * time.Millisecond   // before the second try, doubled for each further one; engines keep a stream for 2 s
	cancelTimeout = 500 * time.Millisecond  // for the cancellation of a stream after its context has ended
	callTimeout   = 2 * time.Second         // for calls other than streams, where the context has no earlier deadline
	defaultStall  = 1500 * time.Millisecond // silence after the first text; engines keep a broken stream for 2 s
	maxAnswer     = 8 << 20                 // bytes of any answer but a stream
)

// Client speaks to model engines. Each completion is sent at most once; a lost stream is resumed, never started again.
type Client struct {
	incarnation uint64
	now         func() time.Time
	stall       time.Duration
	priority    func(*Completion) int
	ctx         context.Context // ends with Close
	stop        context.CancelFunc
	freeing     sync.WaitGroup
}

// ClientOption sets an optional property of a Client.
type ClientOption func(*Client)

// WithIncarnation sets the incarnation of the VM, which engines keep with its streams.
func WithIncarnation(n uint64) ClientOption { return func(c *Client) { c.incarnation = n } }

// WithClock replaces the clock that grants are checked against.
func WithClock(now func() time.Time) ClientOption { return func(c *Client) { c.now = now } }

// WithStall sets after how much silence within an answer the connection counts as lost.
func WithStall(d time.Duration) ClientOption { return func(c *Client) { c.stall = d } }

// WithContractPriority sends the contract's priority alone, without the length class. The baseline policies use it, because a load
// balancer does not know prompt lengths.
func WithContractPriority() ClientOption { return func(c *Client) { c.priority = contractPriority } }

// NewClient returns a client.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{now: time.Now, stall: defaultStall, priority: classPriority}
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
// A lost connection is resumed while the engine has the stream. On any other end than the end mark, the stream is
// cancelled on the engine before Stream returns. The error is a *customer.Refusal.
func (c *Client) Stream(ctx context.Context, s Spec, r *Completion, g Grant, attempt int, sink Sink) error {
	return c.stream(ctx, s, r, g, attempt, 0, sink)
}

// stream is Stream with groupTokens held for r by further members of the group of s, besides the grant.
func (c *Client) stream(ctx context.Context, s Spec, r *Completion, g Grant, number, groupTokens int, sink Sink) error {
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	body, err := json.Marshal(wireCompletion{
		Model: r.Model, Prompt: string(r.Prompt), MaxTokens: r.MaxTokens, Stream: true, RequestID: g.ID,
		Priority: c.priority(r), Holder: g.Holder, Incarnation: c.incarnation,
		ReservedTokens: g.Demand.Tokens(), GroupTokens: groupTokens,
	})
	if err != nil {
		return customer.Refuse(customer.ReasonInternal, err.Error())
	}
	asm := &assembler{attempt: number, sink: sink}
	started, err := c.connect(ctx, s, fasthttp.MethodPost, "/v1/completions", body, func() error { return c.valid(g) }, asm)
	for try := 0; err != nil && started && asm.sinkErr == nil && resumable(err) && ctx.Err() == nil && try < resumeTries; {
		if try > 0 && asm.offset == 0 && errors.Is(err, syscall.ECONNREFUSED) {
			break // the engine's process is gone, and another endpoint can answer from the start
		}
		if try > 0 && !sleep(ctx, resumePause<<(try-1)) {
			break
		}
		before := asm.offset
		path := fmt.Sprintf("/v1/streams/%s?offset=%d", url.PathEscape(g.ID), asm.offset)
		_, err = c.connect(ctx, s, fasthttp.MethodGet, path, nil, nil, asm)
		try++
		if asm.offset > before || err == errSilent {
			try = 0 // a slow engine that still has the stream is waited for until the deadline
		}
	}
	if err == nil {
		return nil
	}
	if !started {
		return c.refusal(ctx, err, false)
	}
	if !asm.done {
		_ = c.cancelAfter(ctx, s, g.ID) // the engine itself cancels a stream that nobody reads
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

// priorities is the number of contract priorities, which lie between 0 and 9.
const priorities = 10

func contractPriority(r *Completion) int { return min(max(r.Priority, 0), priorities-1) }

// classPriority orders work on an engine by length class and then by the contract's priority, so that a short prompt is prefilled
// before a long one.
func classPriority(r *Completion) int {
	classes := customer.Classes()
	return (len(classes)-1-int(customer.ClassOf(r.PromptTokens)))*priorities + contractPriority(r)
}

// valid checks the grant immediately before the send.
func (c *Client) valid(g Grant) error {
	if g.Valid(c.now()) {
		return nil
	}
	return customer.Refuse(customer.ReasonGrantExpired, "the grant for "+g.Endpoint+" expired before the send")
}

// connect makes one request and reads its event stream into asm. ran is false where the engine certainly did not begin the
// work.
func (c *Client) connect(ctx context.Context, s Spec, method, path string, body []byte, ready func() error, asm *assembler) (ran bool, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fill(req, s, method, path, body)
	a, sent, err := http1.Do(ctx, s.Address, ready, req, resp)
	if err != nil {
		return sent, err
	}
	defer resp.CloseBodyStream()
	defer a.Close() // before CloseBodyStream, which otherwise reads the rest of the body
	stream := resp.BodyStream()
	if resp.StatusCode() != fasthttp.StatusOK {
		data, _ := readAll(stream) // a damaged body states no verdict
		e := parseError(s, resp.StatusCode(), data)
		return e.Verdict() != customer.NotRun, e
	}
	if stream == nil {
		return true, errTruncated
	}
	var silent atomic.Bool
	watch := &watchedReader{r: stream, asm: asm, stall: c.stall, timer: time.AfterFunc(c.stall, func() {
		silent.Store(true)
		a.Close()
	})}
	watch.timer.Stop()
	if err = asm.read(watch); err != nil && asm.sinkErr == nil && silent.Load() {
		err = errSilent
	}
	return true, err
}

// errSilent means that the connection was closed because the engine sent nothing on it.
var errSilent = errors.New("stream fell silent")

// watchedReader closes the connection of an answer that falls silent, because a partition breaks no connection. Before the
// first text the prefill may take any time.
type watchedReader struct {
	r     io.Reader
	asm   *assembler
	stall time.Duration
	timer *time.Timer
}

// Read implements io.Reader.
func (w *watchedReader) Read(b []byte) (int, error) {
	if w.asm.offset > 0 {
		w.timer.Reset(w.stall)
		defer w.timer.Stop()
	}
	return w.r.Read(b)
}

// readAll reads an answer other than a stream. fasthttp has no body stream for an empty body.
func readAll(stream io.Reader) ([]byte, error) {
	if stream == nil {
		return nil, nil
	}
	return io.ReadAll(io.LimitReader(stream, maxAnswer))
}

func fill(req *fasthttp.Request, s Spec, method, path string, body []byte) {
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(s.Address)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
}

// wireError is the body of an error answer.
type wireError struct {
	Error struct {
		Reason  string `json:"reason"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// parseError turns an error answer into a refusal. Only the engine's own statement makes it notRun.
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

// resumable says whether the stream may continue after err. An engine's answer is final, and so is a restart.
func resumable(err error) bool {
	var refusal *customer.Refusal
	return !errors.As(err, &refusal) && err != errInstance
}

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

// refusal turns an attempt's error into a refusal.
func (c *Client) refusal(ctx context.Context, err error, ran bool) *customer.Refusal {
	reason := customer.ReasonEndpointFailed
	var refusal *customer.Refusal
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		reason = customer.ReasonDeadline
	case ctx.Err() != nil:
		reason = customer.ReasonCallerGone
	case errors.As(err, &refusal):
		if !ran || refusal.Verdict() == customer.MayHaveRun {
			return refusal
		}
	}
	if ran {
		return customer.Fail(reason, err.Error())
	}
	return customer.Refuse(reason, err.Error())
}

// cancelAfter cancels a stream or reservation when the request's own context may have ended.
func (c *Client) cancelAfter(ctx context.Context, s Spec, id string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	return c.Cancel(ctx, s, id)
}

// call makes a request with a JSON answer. The error is a *customer.Refusal.
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
	fill(req, s, method, path, body)
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

// wireReport is the answer of GET /v1/report.
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

type wireStream struct {
	ID     string `json:"id"`
	Holder string `json:"holder"`
	Tokens int    `json:"tokens"`

	Reservation bool `json:"reservation"`
}

// Report fetches the load report.
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
		// The time of the call counts as age, because the engine may have written the answer at its beginning.
		Age: time.Duration(w.AgeMillis)*time.Millisecond + c.now().Sub(begin),
	}
	for _, st := range w.Streams {
		r.Streams = append(r.Streams, StreamReport(st))
	}
	return r, nil
}

// wireEvents is the answer of GET /v1/cacheEvents.
type wireEvents struct {
	Events []struct {
		Sequence uint64 `json:"sequence"`
		Kind     string `json:"kind"`
		Prefix   string `json:"prefix"`
	} `json:"events"`
}

// Events fetches the prefix cache's events from sequence number from on.
func (c *Client) Events(ctx context.Context, s Spec, from uint64) ([]CacheEvent, error) {
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

// Cancel cancels a stream or frees a reservation. An unknown ID is no error.
func (c *Client) Cancel(ctx context.Context, s Spec, id string) error {
	return c.call(ctx, s, fasthttp.MethodDelete, "/v1/streams/"+url.PathEscape(id), nil, nil)
}

// CancelHolder cancels all streams and reservations of a holder up to an incarnation.
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

// Order sends a control command.
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

// Reserve reserves memory on a further member of a group.
func (c *Client) Reserve(ctx context.Context, s Spec, id, holder string, tokens int) error {
	in := wireReservation{ID: id, Holder: holder, Incarnation: c.incarnation, Tokens: tokens}
	return c.call(ctx, s, fasthttp.MethodPost, "/v1/reservations", in, nil)
}
