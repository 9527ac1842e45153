package caller

import (
	"context"
	"net"

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

// Option changes a parameter of a Server.
type Option func(*Server)

// Server serves the callers' HTTP API.
type Server struct {
	router Router
	http   *fasthttp.Server
}

// NewServer returns a server that passes requests to r.
func NewServer(r Router, opts ...Option) *Server {
	s := &Server{router: r}
	for _, opt := range opts {
		opt(s)
	}
	s.http = &fasthttp.Server{Handler: s.handle}
	return s
}

// Serve answers requests from ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown closes the listener and waits until the running requests have ended.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if !s.router.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	default:
		ctx.SetStatusCode(fasthttp.StatusNotImplemented)
	}
}
