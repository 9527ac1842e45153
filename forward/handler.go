package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
	"goldcrestpath/http1"
	"goldcrestpath/operator"
)

// Connections to endpoints.
const (
	// dialTimeout bounds the opening of a connection. Endpoints are a few milliseconds away.
	dialTimeout = 150 * time.Millisecond
	// idleFor is how long a connection is kept without use. It is below the idle timeouts of usual servers, because a
	// request that crosses the server's close may have run.
	idleFor = 1500 * time.Millisecond
	// idlePerEndpoint bounds the kept connections to one endpoint.
	idlePerEndpoint = 8
)

// bodyTimeout bounds how long a caller may take to send a request's body.
const bodyTimeout = 20 * time.Second

// Handler forwards requests. It implements http.Handler.
type Handler struct {
	codec    Codec
	fleet    *endpoint.Fleet
	budget   *endpoint.RetryBudget
	reserver Reserver
	hold     time.Duration // of reservations
	table    atomic.Pointer[operator.Table]
	logger   log.Interface
	kept     *http.Transport // connections that are used again
	fresh    *http.Transport // a new connection for each request
	random   func() float64
	running  atomic.Int64
	refused  func(reason string) metrics.Counter
	retried  func(reason string) metrics.Counter
	answered metrics.Timer
	first    metrics.Timer
}

// Option changes a Handler.
type Option func(*Handler)

// WithRegistry sets where counters and timers are kept.
func WithRegistry(r metrics.Registry) Option {
	return func(h *Handler) { h.register(r) }
}

// WithReserver sets who orders engines to set memory aside, and for how long at a time. Without it, prompts that need the
// memory of several engines are refused.
func WithReserver(r Reserver, hold time.Duration) Option {
	return func(h *Handler) { h.reserver, h.hold = r, hold }
}

// NewHandler returns a handler that refuses everything until SetTable is called.
func NewHandler(codec Codec, fleet *endpoint.Fleet, budget *endpoint.RetryBudget, logger log.Interface, opts ...Option) *Handler {
	h := &Handler{codec: codec, fleet: fleet, budget: budget, logger: logger, random: rand.Float64}
	h.kept = &http.Transport{
		DialContext: http1.Dialer(dialTimeout).DialContext, DisableCompression: true, MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout: idleFor, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}
	h.fresh = &http.Transport{
		DialContext: http1.Dialer(dialTimeout).DialContext, DisableCompression: true, DisableKeepAlives: true,
		ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}
	h.register(metrics.NewRegistry())
	for _, opt := range opts {
		opt(h)
	}
	return h
}

func (h *Handler) register(r metrics.Registry) {
	h.refused = func(reason string) metrics.Counter { return metrics.GetOrRegisterCounter("forward.refused."+reason, r) }
	h.retried = func(reason string) metrics.Counter { return metrics.GetOrRegisterCounter("forward.retried."+reason, r) }
	h.answered = metrics.GetOrRegisterTimer("forward.answered", r)
	h.first = metrics.GetOrRegisterTimer("forward.firstEvent", r)
}

// SetTable puts a version of the routing table in force. Older versions than the present one are ignored.
func (h *Handler) SetTable(t *operator.Table) {
	for {
		old := h.table.Load()
		if old != nil && old.Version() >= t.Version() {
			return
		}
		if h.table.CompareAndSwap(old, t) {
			return
		}
	}
}

// Table returns the routing table in force, or nil.
func (h *Handler) Table() *operator.Table { return h.table.Load() }

// Running returns the number of requests in progress.
func (h *Handler) Running() int { return int(h.running.Load()) }

// request is one call on its way.
type request struct {
	h        *Handler
	w        http.ResponseWriter
	call     *Call
	table    *operator.Table
	route    *operator.Route
	customer *operator.Customer // nil where the route is public
	service  string
	deadline time.Time // zero where there is none
	tried    []string  // endpoints that got the request
	sends    int       // sends that may have run
	rejected int       // sends that certainly did not run
	mayRun   bool

	unreached bool        // the last send reached no endpoint
	prepaid   atomic.Bool // the budget has been charged for the next send
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	arrived := time.Now()
	call, err := h.codec.DecodeCall(r)
	if err != nil {
		h.bad(w, nil, err)
		return
	}
	call.Arrived = arrived
	table := h.table.Load()
	if table == nil {
		h.refuse(w, call, customer.Refuse(customer.ReasonNotReady, "no configuration yet", customer.RetryAfter(retryNotReady)))
		return
	}
	if err := h.readBody(w, r, call, table.Limits()); err != nil {
		h.bad(w, call, err)
		return
	}
	q := &request{h: h, w: w, call: call, table: table}
	// The table can have changed while the body was on its way.
	q.table = h.table.Load()
	if !q.admit() {
		return
	}
	ctx, cancel := q.context(r.Context())
	defer cancel()
	if q.route.Kind.Streams() {
		q.stream(ctx)
	} else {
		q.exchange(ctx)
	}
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, call *Call, limits operator.CallerLimits) error {
	if limits.HeaderBytes > 0 && headerSize(r) > limits.HeaderBytes {
		return &BadCall{Status: http.StatusRequestHeaderFieldsTooLarge, Message: "the header is above the configured limit"}
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	body := r.Body
	if limits.BodyBytes > 0 {
		body = http.MaxBytesReader(w, body, int64(limits.BodyBytes))
	}
	if err := http.NewResponseController(w).SetReadDeadline(call.Arrived.Add(bodyTimeout)); err != nil {
		h.logger.WithError(err).Debug("forward: no read deadline can be set")
	}
	data, err := io.ReadAll(body)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &BadCall{Status: http.StatusRequestEntityTooLarge, Message: "the body is above the configured limit"}
	case err != nil:
		return &BadCall{Status: http.StatusBadRequest, Message: "the body cannot be read: " + err.Error()}
	}
	call.Body = data
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		h.logger.WithError(err).Debug("forward: the read deadline cannot be removed")
	}
	return nil
}

func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// admit finds the route and the customer, or answers the caller and returns false.
func (q *request) admit() bool {
	q.route = q.table.Route(q.call.Host, q.call.Path)
	if q.route == nil {
		q.h.bad(q.w, q.call, &BadCall{Status: http.StatusNotFound, Message: "no route for the host and path"})
		return false
	}
	if !q.route.Public && q.table.NeedsKey() {
		q.customer = q.table.Customer(q.call.Key)
		if q.customer == nil {
			q.h.bad(q.w, q.call, &BadCall{Status: http.StatusUnauthorized, Message: "the API key is unknown"})
			return false
		}
	}
	q.service = q.route.Pick(q.h.random())
	q.h.budget.Request(q.call.Arrived, q.service)
	return true
}

// context returns the context of the request, which ends when the caller leaves and at the first of the caller's and the
// route's time limits.
func (q *request) context(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := q.call.Patience
	if t := q.route.Timeout; t > 0 && (limit <= 0 || t < limit) {
		limit = t
	}
	if limit <= 0 {
		return context.WithCancel(ctx)
	}
	q.deadline = q.call.Arrived.Add(limit)
	return context.WithDeadline(ctx, q.deadline)
}

// remaining returns the time to the deadline, or 0 where there is none.
func (q *request) remaining(now time.Time) time.Duration {
	if q.deadline.IsZero() {
		return 0
	}
	return max(q.deadline.Sub(now), time.Millisecond)
}

func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

func (q *request) log() *log.Entry {
	return q.h.logger.WithFields(log.Fields{
		"request": q.call.ID, "route": q.route.Name, "service": q.service, "configuration": q.table.Version(),
		"ageMs": time.Since(q.call.Arrived).Milliseconds(), "promptTokens": q.call.PromptTokens,
	})
}

// Close ends idle connections to endpoints.
func (h *Handler) Close() {
	h.kept.CloseIdleConnections()
	h.fresh.CloseIdleConnections()
}
