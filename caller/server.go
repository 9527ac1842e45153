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

// Router executes the requests of callers and supplies the configuration that the server needs for them.
type Router interface {
	engine.Completer
	service.Caller

	// Contract returns the contract that the API key belongs to.
	Contract(apiKey string) (*customer.Contract, bool)
	// Models returns the configured models that the customer may use.
	Models(c *customer.Contract) []string
	// EstimateTokens returns the estimated number of tokens of a prompt of that many bytes.
	EstimateTokens(model string, bytes int) int
	// Ready reports whether a load balancer should send requests to this VM.
	Ready() bool
}

// Default values of the options.
const (
	// A prompt of a million tokens is 4 to 5 MB of text, and JSON escapes make it longer.
	defaultBodyLimitBytes = 16 << 20
	// Small VMs have 1 to 2 GB of memory, of which request bodies may take only a share.
	defaultBodyMemoryBytes = 256 << 20
	defaultReadTimeout     = time.Minute
	defaultIdleTimeout     = 90 * time.Second
	defaultWriteTimeout    = 10 * time.Second
	defaultMaxTokens       = 256
)

// readBufferBytes limits the total size of the request line and the header of a request.
const readBufferBytes = 16 << 10

// routerGracePeriod is how long the server waits for the router to return after the context of a request has ended.
// The router's verdict is more precise than the one derived from the cause of the context, which the caller gets if the
// router does not return in time.
const routerGracePeriod = time.Second

// Option configures a Server.
type Option func(*Server)

// WithLogger sets the logger.
func WithLogger(l log.Interface) Option { return func(s *Server) { s.log = l } }

// WithRegistry sets the registry for the server's metrics.
func WithRegistry(r metrics.Registry) Option { return func(s *Server) { s.registry = r } }

// WithBodyLimit sets the maximum size of a request body in bytes.
func WithBodyLimit(bytes int) Option { return func(s *Server) { s.bodyLimit = bytes } }

// WithBodyMemory sets the maximum memory, in bytes, for all request bodies together.
func WithBodyMemory(bytes int) Option { return func(s *Server) { s.bodyMemory.limit = int64(bytes) } }

// WithReadTimeout sets the maximum time in which a caller must send its request.
func WithReadTimeout(d time.Duration) Option { return func(s *Server) { s.readTimeout = d } }

// WithIdleTimeout sets how long a connection may stay idle between two requests.
func WithIdleTimeout(d time.Duration) Option { return func(s *Server) { s.idleTimeout = d } }

// WithWriteTimeout sets the maximum time in which a caller must accept an answer, or one chunk of a streamed answer.
func WithWriteTimeout(d time.Duration) Option { return func(s *Server) { s.writeTimeout = d } }

// WithDefaultMaxTokens sets the token limit of answers to requests without max_tokens.
func WithDefaultMaxTokens(n int) Option { return func(s *Server) { s.defaultMaxTokens = n } }

// Server serves the HTTP API for callers.
type Server struct {
	router           Router
	log              log.Interface
	registry         metrics.Registry
	metrics          *serverMetrics
	bodyMemory       bodyMemory
	bodyLimit        int
	readTimeout      time.Duration
	idleTimeout      time.Duration
	writeTimeout     time.Duration
	defaultMaxTokens int

	http        *fasthttp.Server
	baseContext context.Context // parent of all request contexts
	cancelBase  context.CancelCauseFunc
}

// NewServer returns a server that passes requests to r.
func NewServer(r Router, opts ...Option) *Server {
	s := &Server{
		router:           r,
		log:              log.Log,
		registry:         metrics.NewRegistry(),
		bodyMemory:       newBodyMemory(defaultBodyMemoryBytes),
		bodyLimit:        defaultBodyLimitBytes,
		readTimeout:      defaultReadTimeout,
		idleTimeout:      defaultIdleTimeout,
		writeTimeout:     defaultWriteTimeout,
		defaultMaxTokens: defaultMaxTokens,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.metrics = newServerMetrics(s.registry)
	metrics.NewRegisteredFunctionalGauge(metricBodyBytes, s.registry, s.bodyMemory.inUse)
	s.baseContext, s.cancelBase = context.WithCancelCause(context.Background())
	s.http = &fasthttp.Server{
		Handler:      s.handle,
		ErrorHandler: s.handleMalformed,
		Logger:       httpLogger{s.log},

		ReadBufferSize: readBufferBytes,
		ReadTimeout:    s.readTimeout,
		IdleTimeout:    s.idleTimeout,
		WriteTimeout:   s.writeTimeout,

		// The handler reads the bodies, so that it can limit the size of each and the memory of all.
		StreamRequestBody:            true,
		MaxRequestBodySize:           initialBufferBytes,
		DisablePreParseMultipartForm: true,

		// Requests and responses of plain services are passed on byte for byte.
		DisableHeaderNamesNormalizing: true,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		NoDefaultDate:                 true, // newExchange sets Date; the Date of a plain service's response replaces it

		CloseOnShutdown:       true,
		SecureErrorLogMessage: true,
	}
	return s
}

// Serve accepts connections on ln until Shutdown is called. For TLS, ln is a listener of package crypto/tls.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown closes the listener and waits until the running requests have ended. The listener stays open until
// Shutdown is called, so a VM that first turns its readiness off gives the load balancer time to notice. If ctx ends
// before the requests do, Shutdown cancels the remaining ones and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	s.cancelBase(customer.Fail(customer.ReasonNotReady, "the VM is stopping"))
	return err
}

// handle serves one request. It selects the handler by the path and answers with an internal failure if the handler
// panics.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	x := s.newExchange(ctx)
	defer func() {
		if v := recover(); v != nil {
			x.log.WithField("stack", string(debug.Stack())).Errorf("caller: panic in a handler: %v", v)
			x.refuse(customer.Fail(customer.ReasonInternal, "internal failure"))
		}
		x.discardBody()
	}()
	if !s.router.Ready() {
		// Makes callers with open connections reconnect to other VMs before the listener closes.
		ctx.SetConnectionClose()
	}
	path, _ := x.splitURI()
	if name, ok := strings.CutPrefix(path, servicesPrefix); ok {
		x.callService(name)
		return
	}
	switch path {
	case "/v1/completions":
		x.allowMethod(fasthttp.MethodPost, func() { x.generate(false) })
	case "/v1/chat/completions":
		x.allowMethod(fasthttp.MethodPost, func() { x.generate(true) })
	case "/v1/models":
		x.allowMethod(fasthttp.MethodGet, x.listModels)
	case "/healthz":
		x.allowMethod(fasthttp.MethodGet, func() { x.writeText(fasthttp.StatusOK, "ok\n") })
	case "/readyz":
		x.allowMethod(fasthttp.MethodGet, x.answerReadiness)
	default:
		x.refuseWithStatus(fasthttp.StatusNotFound, customer.Refuse(customer.ReasonBadRequest, fmt.Sprintf("unknown path %q", path)))
	}
}

// handleMalformed answers requests that cannot be parsed as HTTP.
func (s *Server) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	x := s.newExchange(ctx)
	status := fasthttp.StatusBadRequest
	reason := customer.ReasonBadRequest
	if _, ok := err.(*fasthttp.ErrSmallBuffer); ok {
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, customer.ReasonTooLarge
	}
	x.refuseWithStatus(status, customer.Refuse(reason, "the request cannot be read as HTTP"))
	ctx.SetConnectionClose()
}

// answerReadiness serves /readyz.
func (x *exchange) answerReadiness() {
	if x.server.router.Ready() {
		x.writeText(fasthttp.StatusOK, "ready\n")
		return
	}
	x.writeText(fasthttp.StatusServiceUnavailable, "not ready\n")
}

var _ fasthttp.Logger = httpLogger{}

// httpLogger logs fasthttp's own messages, which concern connections rather than requests.
type httpLogger struct{ log log.Interface }

func (l httpLogger) Printf(format string, args ...any) {
	l.log.Debugf("caller: connection: "+format, args...)
}
