package caller

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/service"
)

// Router serves what the callers ask for.
type Router interface {
	engine.Completer
	service.Caller

	// Contract returns the contract to which the API key belongs.
	Contract(apiKey string) (*customer.Contract, bool)
	// Models returns the models that the customer may use and that the configuration has.
	Models(c *customer.Contract) []string
	// Estimate returns the probable number of tokens of a prompt.
	Estimate(model string, bytes int) int
	// Ready says whether a load balancer should send requests to this VM.
	Ready() bool
}

// Defaults of the options.
const (
	// A prompt of a million tokens has 4 to 5 MB of text, and JSON escapes make it longer.
	defaultBodyLimit = 16 << 20
	// Small VMs have 1 to 2 GB of memory; request bodies may take a part of it.
	defaultBodyMemory   = 256 << 20
	defaultReadTimeout  = time.Minute
	defaultIdleTimeout  = 90 * time.Second
	defaultWriteTimeout = 10 * time.Second
	defaultMaxTokens    = 256
)

// readBufferSize bounds the request line and the headers of a request.
const readBufferSize = 16 << 10

// routerGrace is how long a router may take to return after a request's context has ended. Its verdict is more exact than the
// one that the context allows; after the grace the caller gets the latter.
const routerGrace = time.Second

// Option changes a parameter of a Server.
type Option func(*Server)

// WithLogger sets the destination of log lines.
func WithLogger(l log.Interface) Option { return func(s *Server) { s.log = l } }

// WithRegistry sets the registry of the server's metrics.
func WithRegistry(r metrics.Registry) Option { return func(s *Server) { s.registry = r } }

// WithBodyLimit sets the longest request body in bytes.
func WithBodyLimit(bytes int) Option { return func(s *Server) { s.bodyLimit = bytes } }

// WithBodyMemory sets the memory that all request bodies may take together, in bytes.
func WithBodyMemory(bytes int) Option { return func(s *Server) { s.memory.limit = int64(bytes) } }

// WithReadTimeout sets the longest time in which a caller has to send its request.
func WithReadTimeout(d time.Duration) Option { return func(s *Server) { s.readTimeout = d } }

// WithIdleTimeout sets how long a connection may wait for its next request.
func WithIdleTimeout(d time.Duration) Option { return func(s *Server) { s.idleTimeout = d } }

// WithWriteTimeout sets the longest time in which a caller has to take an answer, or one chunk of a streamed one.
func WithWriteTimeout(d time.Duration) Option { return func(s *Server) { s.writeTimeout = d } }

// WithDefaultMaxTokens sets the answer limit of requests without max_tokens.
func WithDefaultMaxTokens(n int) Option { return func(s *Server) { s.maxTokens = n } }

// Server serves the callers' HTTP API.
type Server struct {
	router       Router
	log          log.Interface
	registry     metrics.Registry
	counts       *counts
	memory       memory
	bodyLimit    int
	readTimeout  time.Duration
	idleTimeout  time.Duration
	writeTimeout time.Duration
	maxTokens    int

	http   *fasthttp.Server
	base   context.Context // parent of all requests' contexts
	cancel context.CancelCauseFunc
}

// NewServer returns a server that passes requests to r.
func NewServer(r Router, opts ...Option) *Server {
	s := &Server{
		router:       r,
		log:          log.Log,
		registry:     metrics.NewRegistry(),
		memory:       newMemory(defaultBodyMemory),
		bodyLimit:    defaultBodyLimit,
		readTimeout:  defaultReadTimeout,
		idleTimeout:  defaultIdleTimeout,
		writeTimeout: defaultWriteTimeout,
		maxTokens:    defaultMaxTokens,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.counts = newCounts(s.registry)
	metrics.NewRegisteredFunctionalGauge(metricBodyBytes, s.registry, s.memory.inUse)
	s.base, s.cancel = context.WithCancelCause(context.Background())
	s.http = &fasthttp.Server{
		Handler:      s.handle,
		ErrorHandler: s.handleMalformed,
		Logger:       httpLogger{s.log},

		ReadBufferSize: readBufferSize,
		ReadTimeout:    s.readTimeout,
		IdleTimeout:    s.idleTimeout,
		WriteTimeout:   s.writeTimeout,

		// Bodies are read by the handler, which bounds each one and the memory of all of them.
		StreamRequestBody:            true,
		MaxRequestBodySize:           bodyStep,
		DisablePreParseMultipartForm: true,

		// Calls of plain services pass byte for byte.
		DisableHeaderNamesNormalizing: true,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		NoDefaultDate:                 true, // a service's own date passes; newExchange sets the VM's

		CloseOnShutdown:       true,
		SecureErrorLogMessage: true,
	}
	return s
}

// Serve answers requests from ln until Shutdown. TLS callers are served by a listener of package crypto/tls.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown closes the listener and waits until the running requests have ended. Until it is called the listener stays open,
// so a VM that turns its readiness off first gives the load balancer time to notice. Where ctx ends before the requests do,
// the remaining ones are cancelled and the error is ctx's.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	s.cancel(customer.Fail(customer.ReasonNotReady, "the VM stops"))
	return err
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	x := s.newExchange(ctx)
	defer func() {
		if v := recover(); v != nil {
			x.log.WithField("stack", string(debug.Stack())).Errorf("caller: panic in a handler: %v", v)
			x.refuse(customer.Fail(customer.ReasonInternal, "internal failure"))
		}
		x.dropBody()
	}()
	if !s.router.Ready() {
		// Moves callers with open connections to other VMs before the listener closes.
		ctx.SetConnectionClose()
	}
	path, _ := x.splitURI()
	if name, ok := strings.CutPrefix(path, servicesPrefix); ok {
		x.callService(name)
		return
	}
	switch path {
	case "/v1/completions":
		x.allow(fasthttp.MethodPost, func() { x.generate(false) })
	case "/v1/chat/completions":
		x.allow(fasthttp.MethodPost, func() { x.generate(true) })
	case "/v1/models":
		x.allow(fasthttp.MethodGet, x.listModels)
	case "/healthz":
		x.allow(fasthttp.MethodGet, func() { x.text(fasthttp.StatusOK, "ok\n") })
	case "/readyz":
		x.allow(fasthttp.MethodGet, x.answerReady)
	default:
		x.refuseAs(fasthttp.StatusNotFound, customer.Refuse(customer.ReasonBadRequest, fmt.Sprintf("unknown path %q", path)))
	}
}

// handleMalformed answers requests that are not HTTP.
func (s *Server) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	x := s.newExchange(ctx)
	status := fasthttp.StatusBadRequest
	reason := customer.ReasonBadRequest
	if _, ok := err.(*fasthttp.ErrSmallBuffer); ok {
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, customer.ReasonTooLarge
	}
	x.refuseAs(status, customer.Refuse(reason, "the request cannot be read as HTTP"))
	ctx.SetConnectionClose()
}

func (x *exchange) answerReady() {
	if x.server.router.Ready() {
		x.text(fasthttp.StatusOK, "ready\n")
		return
	}
	x.text(fasthttp.StatusServiceUnavailable, "not ready\n")
}

var _ fasthttp.Logger = httpLogger{}

// httpLogger passes fasthttp's own messages, which belong to connections and not to requests.
type httpLogger struct{ log log.Interface }

func (l httpLogger) Printf(format string, args ...any) {
	l.log.Debugf("caller: connection: "+format, args...)
}
