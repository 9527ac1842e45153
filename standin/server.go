package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// server serves an HTTP handler on a loopback address. It can be stopped and started again on the same port.
type server struct {
	handler http.Handler

	mu         sync.Mutex
	address    string
	httpServer *http.Server // nil while stopped
}

// newServer listens on address; port 0 selects a free port.
func newServer(address string, handler http.Handler) (*server, error) {
	s := &server{handler: handler, address: address}
	if err := s.start(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the IP address and port of the stand-in.
func (s *server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Running reports whether the stand-in listens.
func (s *server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.httpServer != nil
}

// start listens on the address, which from then on contains the selected port, and serves the handler. It does nothing while the
// server is running.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer != nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "stand-in cannot listen")
	}
	s.address = ln.Addr().String()
	srv := &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute}
	s.httpServer = srv
	go srv.Serve(ln)
	return nil
}

// stop closes the listener and all connections, including those with a request in progress.
func (s *server) stop() {
	s.mu.Lock()
	srv := s.httpServer
	s.httpServer = nil
	s.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

// dropConnection aborts the calling HTTP handler and closes its connection without completing the response.
func dropConnection() { panic(http.ErrAbortHandler) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// Outage is a failure mode of the stand-in for a platform service.
type Outage uint8

const (
	// OutageNone means that calls are served normally.
	OutageNone Outage = iota
	// OutageRefuse means that every call is answered with status 503.
	OutageRefuse
	// OutageUnresponsive means that no call is answered.
	OutageUnresponsive
)

// outageSwitch refuses the calls to a stand-in, or leaves them unanswered, during an outage.
type outageSwitch struct {
	mu      sync.Mutex
	mode    Outage
	changed chan struct{} // closed and replaced by SetOutage
}

// SetOutage sets the outage for new calls. It drops the connections of unanswered calls of an earlier OutageUnresponsive and of
// reads that wait for log entries.
func (o *outageSwitch) SetOutage(mode Outage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mode = mode
	if o.changed != nil {
		close(o.changed)
	}
	o.changed = make(chan struct{})
}

// state returns the present outage and a channel that is closed when SetOutage is called.
func (o *outageSwitch) state() (Outage, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.mode, o.changed
}

// wrap returns a handler that calls next unless there is an outage. With OutageUnresponsive it waits until the client disconnects
// or SetOutage is called, and then drops the connection.
func (o *outageSwitch) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mode, changed := o.state()
		switch mode {
		case OutageRefuse:
			w.WriteHeader(http.StatusServiceUnavailable)
		case OutageUnresponsive:
			select {
			case <-changed:
			case <-r.Context().Done():
			}
			dropConnection()
		default:
			next.ServeHTTP(w, r)
		}
	})
}
