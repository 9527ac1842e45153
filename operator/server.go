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
	// maxDocumentBytes bounds the size of a document. A fleet document with 10,000 endpoints has about 3 MB.
	maxDocumentBytes = 16 << 20
	// callTimeout bounds the processing of one call. It exceeds the time in which the store finds out whether a record was
	// appended although the log's response was lost.
	callTimeout = 10 * time.Second
	// readTimeout bounds the time in which a client has to send its request.
	readTimeout = 30 * time.Second
	// idleTimeout is the maximum time between two requests on a connection.
	idleTimeout = time.Minute
)

// bearerPrefix precedes the token in the Authorization header.
const bearerPrefix = "Bearer "

// Error codes of the API.
const (
	codeBadRequest   = "badRequest"
	codeUnauthorized = "unauthorized"
	codeNotFound     = "notFound"
	codeProblems     = "problems"
	codeConflict     = "conflict"
	codeUnavailable  = "unavailable"
	codeUnknown      = "unknown" // it is not known whether the change is in the log
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

// Option configures a Server.
type Option func(*Server)

// WithToken sets the token that clients have to present with each call. A server without a token refuses all calls.
func WithToken(token string) Option {
	return func(s *Server) { s.token, s.hasToken = sha256.Sum256([]byte(token)), token != "" }
}

// WithLogger sets the logger.
func WithLogger(l log.Interface) Option {
	return func(s *Server) { s.logger = l }
}

// NewServer returns a server that does not listen yet. To use TLS, pass a TLS listener to Serve.
func NewServer(a Admin, r metrics.Registry, opts ...Option) *Server {
	s := &Server{admin: a, registry: r, logger: log.Log}
	for _, opt := range opts {
		opt(s)
	}
	s.http = &fasthttp.Server{
		Handler:      s.handle,
		ErrorHandler: s.handleMalformed,
		Logger:       fasthttpLogger{s.logger},
		ReadTimeout:  readTimeout,
		IdleTimeout:  idleTimeout,
		// The handler reads the body after it has checked the token.
		StreamRequestBody:            true,
		MaxRequestBodySize:           bodyBufferBytes,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
	}
	return s
}

// bodyBufferBytes is the maximum number of body bytes that the server reads before it calls the handler.
const bodyBufferBytes = 64 << 10

// fasthttpLogger writes the messages of the HTTP server at debug level, because each concerns a single connection.
type fasthttpLogger struct{ log.Interface }

// Printf implements fasthttp.Logger.
func (l fasthttpLogger) Printf(format string, args ...any) { l.Debugf("operator: "+format, args...) }

// Serve accepts connections on the listener and handles calls until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return errors.Wrap(s.http.Serve(ln), "serve operators' API")
}

// Shutdown stops the server. It waits for the calls in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// handle checks the token and dispatches the call by method and path. It compares hashes in constant time, so that the
// response time reveals nothing about the token.
func (s *Server) handle(r *fasthttp.RequestCtx) {
	token, ok := strings.CutPrefix(string(r.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearerPrefix)
	hash := sha256.Sum256([]byte(token))
	if !ok || !s.hasToken || subtle.ConstantTimeCompare(hash[:], s.token[:]) != 1 {
		r.SetConnectionClose()
		s.respond(r, fasthttp.StatusUnauthorized, wireError{Code: codeUnauthorized, Message: "the token is missing or wrong"})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	method, path := string(r.Method()), string(r.Path())
	var allowed []string
	for _, call := range apiCalls {
		name, ok := strings.CutPrefix(path, call.path)
		if !ok || (name != "") != call.hasName {
			continue
		}
		if method == call.method {
			call.serve(s, ctx, r, name)
			return
		}
		allowed = append(allowed, call.method)
	}
	r.SetConnectionClose() // the request body may not have been read
	if len(allowed) > 0 {
		r.Response.Header.Set(fasthttp.HeaderAllow, strings.Join(allowed, ", "))
		s.respond(r, fasthttp.StatusMethodNotAllowed, wireError{Code: codeBadRequest, Message: "allowed is " + strings.Join(allowed, ", ")})
		return
	}
	s.respond(r, fasthttp.StatusNotFound, wireError{Code: codeNotFound, Message: "path " + path + " is unknown"})
}

// apiCall is one call of the API. If hasName is set, the path is followed by the name of a document or drain target.
type apiCall struct {
	method, path string
	hasName      bool
	serve        func(s *Server, ctx context.Context, r *fasthttp.RequestCtx, name string)
}

// apiCalls are the calls that the server supports.
var apiCalls = []apiCall{
	{fasthttp.MethodGet, "/documents", false, (*Server).getDocuments},
	{fasthttp.MethodGet, "/documents/", true, (*Server).getDocument},
	{fasthttp.MethodPut, "/documents/", true, (*Server).putDocument},
	{fasthttp.MethodGet, "/history/", true, (*Server).getHistory},
	{fasthttp.MethodPut, "/drains/", true, (*Server).putDrain},
	{fasthttp.MethodGet, "/status", false, (*Server).getStatus},
	{fasthttp.MethodGet, "/metrics", false, (*Server).getMetrics},
}

// handleMalformed responds to a request that is not valid HTTP.
func (s *Server) handleMalformed(r *fasthttp.RequestCtx, err error) {
	r.SetConnectionClose()
	s.respond(r, fasthttp.StatusBadRequest, wireError{Code: codeBadRequest, Message: err.Error()})
}

// readBody reads the body of a call. A body longer than maxDocumentBytes is an error.
func readBody(r *fasthttp.RequestCtx) ([]byte, error) {
	stream := r.RequestBodyStream()
	if stream == nil {
		return r.PostBody(), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxDocumentBytes+1))
	if err == nil && len(body) > maxDocumentBytes {
		r.SetConnectionClose()
		err = errors.Errorf("body is longer than %d bytes", maxDocumentBytes)
	}
	return body, err
}

// wireDocument is a document revision in a response.
type wireDocument struct {
	Name     string    `json:"name"`
	Revision uint64    `json:"revision"`
	Offset   uint64    `json:"offset"`
	Time     time.Time `json:"time"`
	Content  []byte    `json:"content,omitempty"`
}

// wireRevision is the response to the publication of a document.
type wireRevision struct {
	Revision uint64 `json:"revision"`
}

// wireDrain is the body of a drain change.
type wireDrain struct {
	Drained bool `json:"drained"`
}

// wireError is the body of an error response.
type wireError struct {
	Code     string            `json:"code"`
	Message  string            `json:"message"`
	Current  uint64            `json:"current,omitempty"`  // current revision after a conflict
	Problems customer.Problems `json:"problems,omitempty"` // problems found in the document
}

// respond sends a JSON response.
func (s *Server) respond(r *fasthttp.RequestCtx, status int, body any) {
	r.SetStatusCode(status)
	r.SetContentType("application/json")
	if err := json.NewEncoder(r).Encode(body); err != nil {
		s.logger.WithError(err).Error("operator: could not encode response")
	}
}

// respondError sends the error response for err, with a status and code that depend on its type.
func (s *Server) respondError(r *fasthttp.RequestCtx, err error) {
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
	s.respond(r, status, body)
}

// newWireDocument converts a document, with its content only if withContent is set.
func newWireDocument(d oplog.Document, withContent bool) wireDocument {
	w := wireDocument{Name: d.Name, Revision: d.Revision, Offset: d.Offset, Time: d.Time}
	if withContent {
		w.Content = d.Content
	}
	return w
}

func (s *Server) getDocuments(_ context.Context, r *fasthttp.RequestCtx, _ string) {
	s.respond(r, fasthttp.StatusOK, wireDocuments(s.admin.Documents(), false))
}

func wireDocuments(documents []oplog.Document, withContent bool) []wireDocument {
	list := make([]wireDocument, len(documents))
	for i, d := range documents {
		list[i] = newWireDocument(d, withContent)
	}
	return list
}

func (s *Server) getDocument(_ context.Context, r *fasthttp.RequestCtx, name string) {
	d, ok := s.admin.Document(name)
	if !ok {
		s.respond(r, fasthttp.StatusNotFound, wireError{Code: codeNotFound, Message: "document " + name + " is not published"})
		return
	}
	s.respond(r, fasthttp.StatusOK, newWireDocument(d, true))
}

func (s *Server) getHistory(_ context.Context, r *fasthttp.RequestCtx, name string) {
	s.respond(r, fasthttp.StatusOK, wireDocuments(s.admin.History(name), true))
}

func (s *Server) putDocument(ctx context.Context, r *fasthttp.RequestCtx, name string) {
	base, err := strconv.ParseUint(string(r.QueryArgs().Peek("base")), 10, 64)
	if err != nil {
		s.respondError(r, errors.New("base: allowed is the revision that the content was made from, 0 for a new document"))
		return
	}
	content, err := readBody(r)
	if err != nil {
		s.respondError(r, errors.Wrap(err, "read document"))
		return
	}
	if err := CheckDocument(name, content); err != nil {
		s.respondError(r, err)
		return
	}
	revision, err := s.admin.Publish(ctx, name, base, content)
	if err != nil {
		s.respondError(r, err)
		return
	}
	s.logger.Infof("operator: published %s at revision %d", name, revision)
	s.respond(r, fasthttp.StatusOK, wireRevision{Revision: revision})
}

func (s *Server) putDrain(ctx context.Context, r *fasthttp.RequestCtx, target string) {
	var in wireDrain
	body, err := readBody(r)
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		s.respondError(r, errors.Wrap(err, "decode drain"))
		return
	}
	d, err := s.admin.SetDrain(ctx, target, in.Drained)
	if err != nil {
		s.respondError(r, err)
		return
	}
	s.logger.Infof("operator: set drained to %v for %s at generation %d", d.Drained, d.Target, d.Generation)
	s.respond(r, fasthttp.StatusOK, NewDrainStatus(d))
}

func (s *Server) getStatus(ctx context.Context, r *fasthttp.RequestCtx, _ string) {
	status, err := s.admin.Status(ctx)
	if err != nil {
		s.respondError(r, err)
		return
	}
	s.respond(r, fasthttp.StatusOK, status)
}

// getMetrics sends the metrics in the Prometheus text format, or in JSON if the client requests it.
func (s *Server) getMetrics(_ context.Context, r *fasthttp.RequestCtx, _ string) {
	if string(r.QueryArgs().Peek("format")) == "json" || strings.Contains(string(r.Request.Header.Peek(fasthttp.HeaderAccept)), "application/json") {
		r.SetContentType("application/json")
		metrics.WriteJSONOnce(s.registry, r)
		return
	}
	r.SetContentType(prometheusContentType)
	if err := WriteMetrics(r, s.registry); err != nil {
		s.logger.WithError(err).Debug("operator: could not encode metrics")
	}
}
