package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
	"goldcrestpath/http1"
	"goldcrestpath/operator"
)

// Limits of connections to endpoints.
const (
	// dialTimeout limits the time to open a connection. Endpoints are a few milliseconds away.
	dialTimeout = 150 * time.Millisecond
	// idleTimeout is how long an idle connection is kept. It is below the idle timeouts of common servers, because a request that
	// is sent while the server closes the connection may have run.
	idleTimeout = 1500 * time.Millisecond
	// maxIdlePerEndpoint limits the idle connections to one endpoint.
	maxIdlePerEndpoint = 8
)

// Dial opens a connection to an endpoint.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Limits of answers that have no end of their own.
const (
	// maxAnswerHeadBytes limits the head of an endpoint's answer.
	maxAnswerHeadBytes = 64 << 10
	// maxRequestTime limits a request for which neither the caller nor the route has a time limit.
	maxRequestTime = 10 * time.Minute
)

// Handler forwards requests. It implements http.Handler.
type Handler struct {
	codec        Codec
	fleet        *endpoint.Fleet
	budget       *endpoint.RetryBudget
	reserver     Reserver
	holdTime     time.Duration // how long a reservation lasts unless it is renewed
	table        atomic.Pointer[operator.RoutingTable]
	logger       log.Interface
	pooled       *http1.Transport // reuses connections
	unpooled     *http1.Transport // opens a new connection for each request
	random       func() float64
	running      atomic.Int64
	lastCheck    atomic.Int64 // when CheckPath last asked other VMs, in Unix nanoseconds
	refused      func(reason string) metrics.Counter
	retried      func(reason string) metrics.Counter
	answered     metrics.Timer
	relayedSends metrics.Counter // attempts that were sent through another VM
	firstEvent   metrics.Timer

	quarantine *endpoint.Quarantine // nil if no prompt is quarantined
	trials     Trials
	dial       Dial             // opens connections to endpoints
	relays     Relays           // nil if endpoints are reached directly only
	relayed    *http1.Transport // connections through other VMs
	stop       *stop
	memory     *Memory
	clientsCut func(reason string) metrics.Counter
	notOpened  func(cause string) metrics.Counter
	cutLines   *rate.Limiter    // of log lines
	shares     *endpoint.Shares // nil if customers have no fair shares

	mu         sync.Mutex
	closed     bool
	background sync.WaitGroup // probes of engines that may have ended; none are started once closed is set
}

// Option configures a Handler.
type Option func(*Handler)

// WithRegistry sets the registry for counters and timers.
func WithRegistry(r metrics.Registry) Option {
	return func(h *Handler) { h.register(r) }
}

// WithReserver sets the Reserver for the memory of engines, and how long a reservation lasts unless it is renewed. Without it,
// prompts that need the memory of several engines are refused.
func WithReserver(r Reserver, holdTime time.Duration) Option {
	return func(h *Handler) { h.reserver, h.holdTime = r, holdTime }
}

// WithDial sets how connections to endpoints are opened, in place of TCP connections that are closed soon after their peer becomes
// unreachable. The context ends after the time for opening one.
func WithDial(dial Dial) Option {
	return func(h *Handler) { h.dial = dial }
}

// WithMemory limits the memory for the heads, bodies and answers of all requests to that many bytes.
func WithMemory(bytes int64) Option { return WithAccount(NewMemory(bytes)) }

// WithAccount sets the account of memory, which the handler can share with the listeners. The handler records the clients that the
// account cuts off.
func WithAccount(m *Memory) Option {
	return func(h *Handler) { h.memory = m }
}

// Clients that were cut off are logged at most so often.
const (
	cutLinesPerSecond = 2
	cutLinesBurst     = 10
)

// NewHandler returns a handler that refuses all requests until SetTable is called.
func NewHandler(codec Codec, fleet *endpoint.Fleet, budget *endpoint.RetryBudget, logger log.Interface, opts ...Option) *Handler {
	h := &Handler{codec: codec, fleet: fleet, budget: budget, logger: logger, random: rand.Float64, stop: newStop(),
		memory: NewMemory(defaultMemory), cutLines: rate.NewLimiter(cutLinesPerSecond, cutLinesBurst)}
	h.pooled = http1.NewTransport(&http.Transport{
		DialContext: h.dialWithin, DisableCompression: true, MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout: idleTimeout, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10, MaxResponseHeaderBytes: maxAnswerHeadBytes,
	})
	h.unpooled = http1.NewTransport(&http.Transport{
		DialContext: h.dialWithin, DisableCompression: true, DisableKeepAlives: true,
		ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10, MaxResponseHeaderBytes: maxAnswerHeadBytes,
	})
	h.dial = http1.NewDialer(dialTimeout).DialContext
	h.register(metrics.NewRegistry())
	for _, opt := range opts {
		opt(h)
	}
	h.relayed = h.newRelayed()
	h.memory.ReportTo(h.RecordCut)
	return h
}

// dialWithin opens a connection to an endpoint within dialTimeout.
func (h *Handler) dialWithin(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return h.dial(ctx, network, address)
}

// register gets the handler's counters and timers from the registry.
func (h *Handler) register(r metrics.Registry) {
	h.refused = func(reason string) metrics.Counter { return metrics.GetOrRegisterCounter("forward.refused."+reason, r) }
	h.retried = func(reason string) metrics.Counter { return metrics.GetOrRegisterCounter("forward.retried."+reason, r) }
	h.clientsCut = func(reason string) metrics.Counter {
		return metrics.GetOrRegisterCounter("forward.clientsCut."+reason, r)
	}
	h.notOpened = func(cause string) metrics.Counter { return metrics.GetOrRegisterCounter("forward.notOpened."+cause, r) }
	h.relayedSends = metrics.GetOrRegisterCounter("forward.relayed", r)
	h.answered = metrics.GetOrRegisterTimer("forward.answered", r)
	h.firstEvent = metrics.GetOrRegisterTimer("forward.firstEvent", r)
}

// SetTable installs a version of the routing table. It ignores versions that are not newer than the current one.
func (h *Handler) SetTable(t *operator.RoutingTable) {
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

// Table returns the current routing table, or nil.
func (h *Handler) Table() *operator.RoutingTable { return h.table.Load() }

// Running returns the number of requests in progress.
func (h *Handler) Running() int { return int(h.running.Load()) }

// request is a call in progress.
type request struct {
	h          *Handler
	w          http.ResponseWriter
	call       *Call
	client     string // address of the connection
	table      *operator.RoutingTable
	route      *operator.Route
	customer   *operator.Customer // nil if the route is public
	service    string
	deadline   time.Time // zero if there is none
	tried      []string  // endpoints that the request was sent to
	sends      int       // attempts that may have run
	started    bool      // the head of a stream has been sent to the caller
	rejected   int       // attempts that certainly did not run
	mayHaveRun bool      // an attempt may have run the request

	notReached   bool        // the last attempt could not open a connection
	relayed      bool        // the last attempt was sent through another VM
	retryCharged atomic.Bool // the next retry has been charged to the budget

	headBytes int       // accounted memory of the head
	buffers   []*buffer // for the body and the answers

	trial     bool // the prompt is a trial of trialPart
	trialPart endpoint.PromptPart
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	arrived := time.Now()
	call, err := h.codec.DecodeCall(r)
	if err == nil {
		err = checkTarget(call.RequestTarget)
	}
	if err != nil {
		(&request{h: h, w: w}).discardBody(r)
		h.refuseBad(w, nil, err)
		return
	}
	call.ArrivedAt = arrived
	call.SharedParts = consideredParts(call.SharedParts)
	table := h.table.Load()
	if table == nil {
		(&request{h: h, w: w}).discardBody(r)
		h.refuse(w, call, customer.Refuse(customer.ReasonNotReady, "no configuration yet", customer.RetryAfter(retryNotReady)))
		return
	}
	q := &request{h: h, w: w, call: call, client: r.RemoteAddr}
	defer q.free()
	if err := q.checkHead(r, table.Limits()); err != nil {
		q.refuseUnread(err)
		return
	}
	q.table = table
	rejected := q.findRoute()
	if err := q.readBody(r, table.Limits(), rejected == nil); err != nil {
		q.refuseUnread(err)
		return
	}
	if rejected == nil {
		q.table = h.table.Load() // it may have changed while the body was received
		rejected = q.findRoute()
	}
	if rejected != nil {
		h.refuseBad(w, call, rejected)
		return
	}
	q.service = q.route.SelectService(h.random())
	h.budget.CountRequest(call.ArrivedAt, q.service)
	ctx, cancel := q.context(r.Context())
	defer cancel()
	if q.route.Kind.Streams() {
		q.stream(ctx)
	} else {
		q.exchange(ctx)
	}
}

// findRoute finds the route and the customer. It returns an error if the request has no route or no valid API key.
func (q *request) findRoute() error {
	q.route, q.customer = q.table.FindRoute(q.call.Host, q.call.Path), nil
	if q.route == nil {
		return &BadRequestError{Status: http.StatusNotFound, Message: "no route for the host and path"}
	}
	if !q.route.Public && q.table.RequiresKey() {
		q.customer = q.table.FindCustomer(q.call.APIKey)
		if q.customer == nil {
			return &BadRequestError{Status: http.StatusUnauthorized, Message: "the API key is unknown"}
		}
	}
	return nil
}

// free returns the memory of a request that has ended.
func (q *request) free() {
	q.freeBuffers()
	q.h.memory.resize(q.headBytes, 0)
}

// context returns the context of the request. It ends when the caller disconnects, at the caller's or the route's time limit, or when
// a stopping handler has to answer, whichever comes first.
func (q *request) context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancelDue := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(q.h.stop.due, func() { cancelDue(errStopping) })
	ctx, cancel := q.limited(ctx)
	return ctx, func() {
		unregister()
		cancel()
		cancelDue(nil)
	}
}

// limited returns a context that ends at the request's time limit, and sets the deadline.
func (q *request) limited(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := q.call.TimeLeft
	if t := q.route.Timeout; t > 0 && (limit <= 0 || t < limit) {
		limit = t
	}
	if limit <= 0 {
		return context.WithTimeout(ctx, maxRequestTime)
	}
	q.deadline = q.call.ArrivedAt.Add(limit)
	return context.WithDeadline(ctx, q.deadline)
}

// remaining returns the time to the deadline, or 0 if there is none.
func (q *request) remaining(now time.Time) time.Duration {
	if q.deadline.IsZero() {
		return 0
	}
	return max(q.deadline.Sub(now), time.Millisecond)
}

// customerName returns the name of the customer, or "" if the route is public.
func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

// log returns a logger with the fields that identify the request.
func (q *request) log() *log.Entry {
	return q.h.logger.WithFields(log.Fields{
		"request": q.call.ID, "route": q.route.Name, "service": q.service, "configuration": q.table.Version(),
		"ageMs": time.Since(q.call.ArrivedAt).Milliseconds(), "promptTokens": q.call.PromptTokens,
	})
}

// inBackground runs f in a goroutine that Close waits for. It does nothing after Close.
func (h *Handler) inBackground(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.background.Go(f)
	}
}

// Close closes idle connections to endpoints and waits for probes.
func (h *Handler) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.background.Wait()
	h.pooled.CloseIdleConnections()
	h.relayed.CloseIdleConnections()
	h.unpooled.CloseIdleConnections()
}
