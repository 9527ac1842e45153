package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"goldcrestpath/customer"
	"goldcrestpath/oplog"
)

const (
	// documentLimit bounds a document. A fleet of 10,000 endpoints has about 3 MB.
	documentLimit = 16 << 20
	// callTimeout bounds the work on one call, above the time in which the store resolves a lost answer.
	callTimeout = 10 * time.Second
	// readTimeout bounds the time in which a client sends its request.
	readTimeout = 30 * time.Second
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = time.Minute
)

// bearer is the prefix of the token in the header Authorization.
const bearer = "Bearer "

// Error codes of the API.
const (
	codeBadRequest   = "badRequest"
	codeUnauthorized = "unauthorized"
	codeNotFound     = "notFound"
	codeProblems     = "problems"
	codeConflict     = "conflict"
	codeUnavailable  = "unavailable"
	codeUnknown      = "unknown" // the change may or may not be in the log
)

// Server is the operators' HTTP API of one VM.
type Server struct {
	admin    Admin
	registry metrics.Registry
	token    [sha256.Size]byte
	hasToken bool
	logger   log.Interface
	http     *fasthttp.Server
}

// Option changes a Server.
type Option func(*Server)

// WithToken sets the token that every call has to carry. Without it every call is refused.
func WithToken(token string) Option {
	return func(s *Server) { s.token, s.hasToken = sha256.Sum256([]byte(token)), token != "" }
}

// WithLogger sets the logger.
func WithLogger(l log.Interface) Option {
	return func(s *Server) { s.logger = l }
}

// NewServer returns a server that is not listening yet. For TLS, the listener given to Serve is a TLS listener.
func NewServer(a Admin, r metrics.Registry, opts ...Option) *Server {
	s := &Server{admin: a, registry: r, logger: log.Log}
	for _, opt := range opts {
		opt(s)
	}
	s.http = &fasthttp.Server{
		Handler:      s.handle,
		ErrorHandler: s.malformed,
		Logger:       httpLogger{s.logger},
		ReadTimeout:  readTimeout,
		IdleTimeout:  idleTimeout,
		// A body is read after the token was checked.
		StreamRequestBody:            true,
		MaxRequestBodySize:           bodyStep,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
	}
	return s
}

// bodyStep is how much of a body the server reads before the handler runs.
const bodyStep = 64 << 10

// httpLogger takes the server's own messages, which are about single connections.
type httpLogger struct{ log.Interface }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) { l.Debugf("operator: "+format, args...) }

// Serve answers calls on the listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return errors.Wrap(s.http.Serve(ln), "operators' API")
}

// Shutdown ends running calls first.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// handle checks the token and calls the handler of the path. It compares hashes, so that the time does not depend on the
// token.
func (s *Server) handle(r *fasthttp.RequestCtx) {
	token, ok := strings.CutPrefix(string(r.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearer)
	hash := sha256.Sum256([]byte(token))
	if !ok || !s.hasToken || subtle.ConstantTimeCompare(hash[:], s.token[:]) != 1 {
		r.SetConnectionClose()
		s.answer(r, fasthttp.StatusUnauthorized, wireError{Code: codeUnauthorized, Message: "the token is missing or wrong"})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	method, path := string(r.Method()), string(r.Path())
	var allowed []string
	for _, route := range routes {
		name, ok := strings.CutPrefix(path, route.path)
		if !ok || (name != "") != route.named {
			continue
		}
		if method == route.method {
			route.serve(s, ctx, r, name)
			return
		}
		allowed = append(allowed, route.method)
	}
	r.SetConnectionClose() // a body may be unread
	if len(allowed) > 0 {
		r.Response.Header.Set(fasthttp.HeaderAllow, strings.Join(allowed, ", "))
		s.answer(r, fasthttp.StatusMethodNotAllowed, wireError{Code: codeBadRequest, Message: "allowed is " + strings.Join(allowed, ", ")})
		return
	}
	s.answer(r, fasthttp.StatusNotFound, wireError{Code: codeNotFound, Message: "path " + path + " is unknown"})
}

// route is one call of the API. The path of a named one goes on with a name.
type route struct {
	method, path string
	named        bool
	serve        func(s *Server, ctx context.Context, r *fasthttp.RequestCtx, name string)
}

var routes = []route{
	{fasthttp.MethodGet, "/documents", false, (*Server).documents},
	{fasthttp.MethodGet, "/documents/", true, (*Server).document},
	{fasthttp.MethodPut, "/documents/", true, (*Server).publish},
	{fasthttp.MethodGet, "/history/", true, (*Server).history},
	{fasthttp.MethodPut, "/drains/", true, (*Server).drain},
	{fasthttp.MethodGet, "/status", false, (*Server).status},
	{fasthttp.MethodGet, "/metrics", false, (*Server).metrics},
}

// malformed answers a request that is not HTTP.
func (s *Server) malformed(r *fasthttp.RequestCtx, err error) {
	r.SetConnectionClose()
	s.answer(r, fasthttp.StatusBadRequest, wireError{Code: codeBadRequest, Message: err.Error()})
}

// readBody reads the body of a call up to documentLimit.
func readBody(r *fasthttp.RequestCtx) ([]byte, error) {
	stream := r.RequestBodyStream()
	if stream == nil {
		return r.PostBody(), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, documentLimit+1))
	if err == nil && len(body) > documentLimit {
		r.SetConnectionClose()
		err = errors.Errorf("body is longer than %d bytes", documentLimit)
	}
	return body, err
}

type wireDocument struct {
	Name     string    `json:"name"`
	Revision uint64    `json:"revision"`
	Offset   uint64    `json:"offset"`
	Time     time.Time `json:"time"`
	Content  []byte    `json:"content,omitempty"`
}

type wireRevision struct {
	Revision uint64 `json:"revision"`
}

type wireDrain struct {
	Drained bool `json:"drained"`
}

// wireError is the answer to a call that failed.
type wireError struct {
	Code     string            `json:"code"`
	Message  string            `json:"message"`
	Current  uint64            `json:"current,omitempty"`  // current revision after a conflict
	Problems customer.Problems `json:"problems,omitempty"` // findings of the check
}

func (s *Server) answer(r *fasthttp.RequestCtx, status int, body any) {
	r.SetStatusCode(status)
	r.SetContentType("application/json")
	if err := json.NewEncoder(r).Encode(body); err != nil {
		s.logger.WithError(err).Error("operator: answer not encoded")
	}
}

// fail answers with an error.
func (s *Server) fail(r *fasthttp.RequestCtx, err error) {
	var (
		problems    customer.Problems
		conflict    *oplog.ConflictError
		unavailable *oplog.UnavailableError
		unsent      *oplog.UnsentError
		unknown     *oplog.UnknownError
	)
	body, status := wireError{Code: codeBadRequest, Message: err.Error()}, fasthttp.StatusBadRequest
	switch {
	case errors.As(err, &problems):
		body.Code, body.Problems = codeProblems, problems
	case errors.As(err, &conflict):
		body.Code, body.Current, status = codeConflict, conflict.Current, fasthttp.StatusConflict
	case errors.As(err, &unknown):
		body.Code, status = codeUnknown, fasthttp.StatusGatewayTimeout
	case errors.As(err, &unavailable), errors.As(err, &unsent):
		body.Code, status = codeUnavailable, fasthttp.StatusServiceUnavailable
	}
	s.answer(r, status, body)
}

func newWireDocument(d oplog.Document, content bool) wireDocument {
	w := wireDocument{Name: d.Name, Revision: d.Revision, Offset: d.Offset, Time: d.Time}
	if content {
		w.Content = d.Content
	}
	return w
}

func (s *Server) documents(_ context.Context, r *fasthttp.RequestCtx, _ string) {
	s.answer(r, fasthttp.StatusOK, wireDocuments(s.admin.Documents(), false))
}

func wireDocuments(documents []oplog.Document, content bool) []wireDocument {
	list := make([]wireDocument, len(documents))
	for i, d := range documents {
		list[i] = newWireDocument(d, content)
	}
	return list
}

func (s *Server) document(_ context.Context, r *fasthttp.RequestCtx, name string) {
	d, ok := s.admin.Document(name)
	if !ok {
		s.answer(r, fasthttp.StatusNotFound, wireError{Code: codeNotFound, Message: "document " + name + " is not published"})
		return
	}
	s.answer(r, fasthttp.StatusOK, newWireDocument(d, true))
}

func (s *Server) history(_ context.Context, r *fasthttp.RequestCtx, name string) {
	s.answer(r, fasthttp.StatusOK, wireDocuments(s.admin.History(name), true))
}

func (s *Server) publish(ctx context.Context, r *fasthttp.RequestCtx, name string) {
	base, err := strconv.ParseUint(string(r.QueryArgs().Peek("base")), 10, 64)
	if err != nil {
		s.fail(r, errors.New("base: allowed is the revision that the content was made from, 0 for a new document"))
		return
	}
	content, err := readBody(r)
	if err != nil {
		s.fail(r, errors.Wrap(err, "read document"))
		return
	}
	if err := CheckDocument(name, content); err != nil {
		s.fail(r, err)
		return
	}
	revision, err := s.admin.Publish(ctx, name, base, content)
	if err != nil {
		s.fail(r, err)
		return
	}
	s.logger.Infof("operator: %s has revision %d", name, revision)
	s.answer(r, fasthttp.StatusOK, wireRevision{Revision: revision})
}

func (s *Server) drain(ctx context.Context, r *fasthttp.RequestCtx, target string) {
	var in wireDrain
	body, err := readBody(r)
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		s.fail(r, errors.Wrap(err, "decode drain"))
		return
	}
	d, err := s.admin.SetDrain(ctx, target, in.Drained)
	if err != nil {
		s.fail(r, err)
		return
	}
	s.logger.Infof("operator: drained is %v for %s, generation %d", d.Drained, d.Target, d.Generation)
	s.answer(r, fasthttp.StatusOK, NewDrainStatus(d))
}

func (s *Server) status(ctx context.Context, r *fasthttp.RequestCtx, _ string) {
	status, err := s.admin.Status(ctx)
	if err != nil {
		s.fail(r, err)
		return
	}
	s.answer(r, fasthttp.StatusOK, status)
}

// metrics answers in the Prometheus text format, or in JSON where the client asks for it.
func (s *Server) metrics(_ context.Context, r *fasthttp.RequestCtx, _ string) {
	if string(r.QueryArgs().Peek("format")) == "json" || strings.Contains(string(r.Request.Header.Peek(fasthttp.HeaderAccept)), "application/json") {
		r.SetContentType("application/json")
		metrics.WriteJSONOnce(s.registry, r)
		return
	}
	r.SetContentType(prometheusType)
	if err := WriteMetrics(r, s.registry); err != nil {
		s.logger.WithError(err).Debug("operator: metrics not encoded")
	}
}
