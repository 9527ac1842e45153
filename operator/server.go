package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"goldcrestpath/customer"
	"goldcrestpath/platform"
)

const (
	// documentLimit bounds a document. A fleet of 10,000 endpoints has about 3 MB.
	documentLimit = 16 << 20
	// callTimeout bounds the work on one call, above the time in which the store resolves a lost answer.
	callTimeout = 10 * time.Second
	// headerTimeout bounds the time in which a client sends its headers.
	headerTimeout = 5 * time.Second
)

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
	http     *http.Server
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
	mux := http.NewServeMux()
	mux.HandleFunc("GET /documents", s.documents)
	mux.HandleFunc("GET /documents/{name...}", s.document)
	mux.HandleFunc("PUT /documents/{name...}", s.publish)
	mux.HandleFunc("GET /history/{name...}", s.history)
	mux.HandleFunc("PUT /drains/{target...}", s.drain)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /metrics", s.metrics)
	s.http = &http.Server{Handler: s.authorized(mux), ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Minute}
	return s
}

// Serve answers calls on the listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "operators' API")
	}
	return nil
}

// Shutdown ends running calls first.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// authorized compares hashes, so that the time does not depend on the token.
func (s *Server) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := sha256.Sum256([]byte(token))
		if !ok || !s.hasToken || subtle.ConstantTimeCompare(hash[:], s.token[:]) != 1 {
			s.answer(w, http.StatusUnauthorized, wireError{Code: codeUnauthorized, Message: "the token is missing or wrong"})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
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

func (s *Server) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.logger.WithError(err).Debug("operator: answer not sent")
	}
}

// fail answers with an error.
func (s *Server) fail(w http.ResponseWriter, err error) {
	var (
		problems    customer.Problems
		conflict    *platform.ConflictError
		unavailable *platform.UnavailableError
		unsent      *platform.UnsentError
		unknown     *platform.UnknownError
	)
	body, status := wireError{Code: codeBadRequest, Message: err.Error()}, http.StatusBadRequest
	switch {
	case errors.As(err, &problems):
		body.Code, body.Problems = codeProblems, problems
	case errors.As(err, &conflict):
		body.Code, body.Current, status = codeConflict, conflict.Current, http.StatusConflict
	case errors.As(err, &unknown):
		body.Code, status = codeUnknown, http.StatusGatewayTimeout
	case errors.As(err, &unavailable), errors.As(err, &unsent):
		body.Code, status = codeUnavailable, http.StatusServiceUnavailable
	}
	s.answer(w, status, body)
}

func newWireDocument(d platform.Document, content bool) wireDocument {
	w := wireDocument{Name: d.Name, Revision: d.Revision, Offset: d.Offset, Time: d.Time}
	if content {
		w.Content = d.Content
	}
	return w
}

func (s *Server) documents(w http.ResponseWriter, _ *http.Request) {
	s.answer(w, http.StatusOK, wireDocuments(s.admin.Documents(), false))
}

func wireDocuments(documents []platform.Document, content bool) []wireDocument {
	list := make([]wireDocument, len(documents))
	for i, d := range documents {
		list[i] = newWireDocument(d, content)
	}
	return list
}

func (s *Server) document(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	d, ok := s.admin.Document(name)
	if !ok {
		s.answer(w, http.StatusNotFound, wireError{Code: codeNotFound, Message: "document " + name + " is not published"})
		return
	}
	s.answer(w, http.StatusOK, newWireDocument(d, true))
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	s.answer(w, http.StatusOK, wireDocuments(s.admin.History(r.PathValue("name")), true))
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		s.fail(w, errors.New("base: allowed is the revision that the content was made from, 0 for a new document"))
		return
	}
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, documentLimit))
	if err != nil {
		s.fail(w, errors.Wrap(err, "read document"))
		return
	}
	if err := CheckDocument(name, content); err != nil {
		s.fail(w, err)
		return
	}
	revision, err := s.admin.Publish(r.Context(), name, base, content)
	if err != nil {
		s.fail(w, err)
		return
	}
	s.logger.Infof("operator: %s has revision %d", name, revision)
	s.answer(w, http.StatusOK, wireRevision{Revision: revision})
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	var in wireDrain
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, documentLimit)).Decode(&in); err != nil {
		s.fail(w, errors.Wrap(err, "decode drain"))
		return
	}
	d, err := s.admin.SetDrain(r.Context(), r.PathValue("target"), in.Drained)
	if err != nil {
		s.fail(w, err)
		return
	}
	s.logger.Infof("operator: drained is %v for %s, generation %d", d.Drained, d.Target, d.Generation)
	s.answer(w, http.StatusOK, NewDrainStatus(d))
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	status, err := s.admin.Status(r.Context())
	if err != nil {
		s.fail(w, err)
		return
	}
	s.answer(w, http.StatusOK, status)
}

// metrics answers in the Prometheus text format, or in JSON where the client asks for it.
func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("format") == "json" || strings.Contains(r.Header.Get("Accept"), "application/json") {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(s.registry, w)
		return
	}
	w.Header().Set("Content-Type", prometheusType)
	if err := writePrometheus(w, s.registry); err != nil {
		s.logger.WithError(err).Debug("operator: metrics not sent")
	}
}
