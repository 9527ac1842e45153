package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/endpoint"
	"goldcrestpath/http1"
)

// A VM that has lost its paths to endpoints reaches them through another VM, which opens a connection to the endpoint and copies bytes. The VM
// that has the request keeps all decisions; the other one knows nothing of it. A relay only uses a connection of its own to the endpoint, so
// there is no second hop.
//
// The VM asks with GET /relay?address=IP:PORT and an Upgrade header. After the answer 101, it sends the bytes for the endpoint as they are, and
// receives those of the endpoint in frames: two bytes of length and the bytes. A frame of length 0 states that the endpoint closed the
// connection. Without it, the end of the connection is an interruption, because a VM that is killed closes its connections too.

const (
	relayPath     = "/relay"
	relayProtocol = "goldcrest-relay"
	headerFault   = "Relay-Fault" // why the endpoint was not reached, one of the faults below; none if the VM relays nothing
	faultRefused  = "refused"     // its machine refused the connection
	faultTimeout  = "unreachable" // it did not answer
	faultEndpoint = "notUsed"     // the VM sends no request to it

	// relayTimeout limits the time until a VM has opened a relayed connection or refused it. It contains the time for the connection to the
	// endpoint. dialTimeout limits the time for all VMs that are asked.
	relayTimeout = 250 * time.Millisecond
	dialTimeout  = 350 * time.Millisecond
	// relayTries is how many VMs are asked for one connection.
	relayTries = 3
	// relayBufferBytes is the size of the buffer for each direction of a relayed connection.
	relayBufferBytes = 8 << 10
	// relayLinger is how long the other VM may take to read the rest after the endpoint has ended.
	relayLinger = time.Second
	// relayRefusedFor is how long a VM that did not relay is not asked again.
	relayRefusedFor = 300 * time.Millisecond
	// otherCellTimeout replaces aliveTimeout for VMs of other cells, which are heard of at random intervals.
	otherCellTimeout = 4 * time.Second
	// maxRelayReason limits the bytes of the reason that a VM gives for not relaying.
	maxRelayReason = 200
	// maxRelayHeadBytes limits the head of an answer of a relay.
	maxRelayHeadBytes = 4 << 10
)

// ErrNoRelay is returned if no other VM relays a connection to the endpoint.
var ErrNoRelay = errors.New("no other VM relays connections to the endpoint")

// Relays opens connections to endpoints through other VMs.
type Relays struct {
	exchange *Exchange
	dial     func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	refused map[string]time.Time // when a VM last did not relay
}

// NewRelays returns Relays that use the VMs that the exchange knows.
func NewRelays(x *Exchange) *Relays {
	return &Relays{exchange: x, dial: http1.NewDialer(relayTimeout).DialContext, refused: map[string]time.Time{}}
}

// Dial opens a connection to the endpoint at an address in a data centre. If VMs found that the endpoint refuses connections, the error is
// syscall.ECONNREFUSED; if no VM relays, it is ErrNoRelay.
func (r *Relays) Dial(ctx context.Context, address, dataCentre string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	now := time.Now()
	err := ErrNoRelay
	var failed []string // VMs that did not reach the endpoint
	for _, vm := range r.candidates(now, dataCentre) {
		conn, dialErr := r.dialThrough(limited, vm, address)
		if dialErr == nil {
			r.avoid(now, failed...) // they are cut off
			return conn, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		// A VM that failed may be cut off itself and not know it yet, so another one is asked before its evidence counts.
		switch {
		case errors.Is(dialErr, syscall.ECONNREFUSED):
			err = dialErr
			failed = append(failed, vm)
		case errors.Is(dialErr, errNoPath):
			failed = append(failed, vm)
			if !errors.Is(err, syscall.ECONNREFUSED) {
				err = dialErr
			}
		default:
			if !errors.Is(dialErr, errNotUsed) {
				r.avoid(now, vm)
			}
			if err == ErrNoRelay {
				err = errors.WithMessage(ErrNoRelay, dialErr.Error())
			}
		}
	}
	return nil, err
}

// avoid excludes VMs that relay nothing for relayRefusedFor.
func (r *Relays) avoid(now time.Time, vms ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range vms {
		r.refused[vm] = now
	}
}

// errNotUsed is the error for an endpoint to which the relaying VM sends no request itself.
var errNotUsed = errors.New("another VM sends no request to the endpoint")

// errNoPath is the error for an endpoint that the relaying VM does not reach either.
var errNoPath = errors.New("another VM does not reach the endpoint either")

// candidates returns up to relayTries VMs to ask: those in the endpoint's data centre first, then those in this VM's own, each in random order.
func (r *Relays) candidates(now time.Time, dataCentre string) []string {
	vms := r.exchange.relayCandidates(dataCentre)
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm, at := range r.refused {
		if now.Sub(at) > relayRefusedFor {
			delete(r.refused, vm)
		}
	}
	vms = slices.DeleteFunc(vms, func(vm string) bool { _, refused := r.refused[vm]; return refused })
	return vms[:min(len(vms), relayTries)]
}

// relayCandidates returns the VMs that may relay connections to endpoints of a data centre, in the order in which they should be asked.
func (x *Exchange) relayCandidates(dataCentre string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	var inEndpoints, inOwn, others []string
	for address, p := range x.peers {
		heard := x.isAliveLocked(p, now) || p.home != x.home && !p.lastReceived.IsZero() && now.Sub(p.lastReceived) <= otherCellTimeout
		switch {
		case !heard || p.cutOff || p.dataCentre == "":
		case p.dataCentre == dataCentre:
			inEndpoints = append(inEndpoints, address)
		case p.dataCentre == x.dataCentre:
			inOwn = append(inOwn, address)
		default:
			others = append(others, address)
		}
	}
	for _, list := range [][]string{inEndpoints, inOwn, others} {
		rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	}
	return slices.Concat(inEndpoints, inOwn, others)
}

// dialThrough asks one VM for a connection.
func (r *Relays) dialThrough(ctx context.Context, vm, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	conn, err := r.dial(ctx, "tcp", vm)
	if err != nil {
		// The endpoint may be sound: this VM was refused by the other VM, not by the endpoint.
		return nil, errors.Errorf("VM %s is not reached: %v", vm, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	relayed, err := upgrade(conn, vm, address)
	if !stop() || err != nil {
		conn.Close()
		if err == nil {
			err = ctx.Err()
		}
		return nil, err
	}
	return relayed, nil
}

// upgrade sends the request for a relayed connection and reads the answer.
func upgrade(conn net.Conn, vm, address string) (net.Conn, error) {
	head := "GET " + relayPath + "?address=" + url.QueryEscape(address) + " HTTP/1.1\r\nHost: " + vm +
		"\r\nConnection: Upgrade\r\nUpgrade: " + relayProtocol + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return nil, errors.Wrapf(err, "ask VM %s", vm)
	}
	limited := &io.LimitedReader{R: conn, N: maxRelayHeadBytes}
	reader := bufio.NewReaderSize(limited, relayBufferBytes)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "answer of VM %s", vm)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		limited.N = 1<<63 - 1
		return &relayedConn{Conn: conn, reader: reader}, nil
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRelayReason)) // only for the log
	reason := strings.TrimSpace(string(body))
	switch resp.Header.Get(headerFault) {
	case faultRefused:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case faultTimeout:
		return nil, errors.WithMessage(errNoPath, vm+" says: "+reason)
	case faultEndpoint:
		return nil, errors.WithMessage(errNotUsed, vm+" says: "+reason)
	}
	return nil, errors.Errorf("VM %s answered with status %d: %s", vm, resp.StatusCode, reason)
}

// relayedConn is a connection to an endpoint through another VM.
type relayedConn struct {
	net.Conn
	reader *bufio.Reader
	left   int  // bytes left of the present frame
	ended  bool // the endpoint closed the connection
}

// Read implements net.Conn. It returns io.EOF only if the endpoint closed the connection.
func (c *relayedConn) Read(b []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		var length [2]byte
		if _, err := io.ReadFull(c.reader, length[:]); err != nil {
			return 0, interrupted(err)
		}
		if c.left = int(binary.BigEndian.Uint16(length[:])); c.left == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err := c.reader.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, interrupted(err)
}

// interrupted returns the error of a read from the relaying VM, whose end of the connection is no end of the endpoint's.
func interrupted(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// RelayRefusal is why a VM relays no connection to an endpoint. The zero value stands for none.
type RelayRefusal struct {
	Reason       string
	EndpointOnly bool // it holds for this endpoint, others may be relayed
}

// Connect opens a connection to the endpoint at an address for another VM, or returns why this VM relays none there.
type Connect func(ctx context.Context, address string) (net.Conn, RelayRefusal, error)

// RelayServer opens connections to endpoints on behalf of other VMs.
type RelayServer struct {
	connect Connect
	limit   int

	mu      sync.Mutex
	open    map[net.Conn]bool // relayed connections, by that to the other VM
	closed  bool
	changed chan struct{} // holds a token after a connection ended
}

// NewRelayServer returns a server that relays up to limit connections at once.
func NewRelayServer(limit int, connect Connect) *RelayServer {
	return &RelayServer{connect: connect, limit: limit, open: map[net.Conn]bool{}, changed: make(chan struct{}, 1)}
}

// Handle registers the server's path.
func (s *RelayServer) Handle(mux *http.ServeMux) { mux.Handle("GET "+relayPath, s) }

// Open returns the number of relayed connections.
func (s *RelayServer) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// ServeHTTP implements http.Handler.
func (s *RelayServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != relayProtocol {
		http.Error(w, "the Upgrade header must be "+relayProtocol, http.StatusUpgradeRequired)
		return
	}
	if s.Open() >= s.limit {
		http.Error(w, "too many relayed connections", http.StatusServiceUnavailable)
		return
	}
	upstream, refusal, err := s.connect(r.Context(), r.URL.Query().Get("address"))
	switch {
	case refusal.Reason != "":
		if refusal.EndpointOnly {
			w.Header().Set(headerFault, faultEndpoint)
		}
		http.Error(w, refusal.Reason, http.StatusServiceUnavailable)
		return
	case errors.Is(err, syscall.ECONNREFUSED):
		w.Header().Set(headerFault, faultRefused)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	case err != nil:
		w.Header().Set(headerFault, faultTimeout)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		upstream.Close()
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = conn.SetDeadline(time.Time{}) // a connection that fails ends the copies
	if !s.add(conn) {
		conn.Close()
		upstream.Close()
		return
	}
	defer s.remove(conn)
	relay(conn, buffered.Reader, upstream)
}

// add registers a relayed connection, unless the server is closed.
func (s *RelayServer) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.open) >= s.limit {
		return false
	}
	s.open[conn] = true
	return true
}

func (s *RelayServer) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
	select {
	case s.changed <- struct{}{}:
	default: // one token is enough
	}
}

// Wait waits until no connection is relayed or ctx ends.
func (s *RelayServer) Wait(ctx context.Context) {
	for s.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
	}
}

// Close closes all relayed connections and refuses new ones.
func (s *RelayServer) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		conn.Close()
	}
}

// relay copies between the connection of another VM and that to an endpoint until one of them ends, and closes both.
func relay(conn net.Conn, reader io.Reader, upstream net.Conn) {
	defer conn.Close()
	defer upstream.Close()
	if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+relayProtocol+"\r\n\r\n"); err != nil {
		return
	}
	request := &relayedRequest{upstream: upstream}
	var copied sync.WaitGroup
	copied.Go(func() { request.copy(reader) })
	copyFrames(conn, upstream, request.wasCut)
	// The other VM reads the rest and closes its connection. Closing it first could discard what it has not read.
	if w, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(relayLinger))
	copied.Wait()
}

// relayedRequest is the direction of a relayed connection to the endpoint.
type relayedRequest struct {
	upstream net.Conn
	mu       sync.Mutex // held during a write, because a reset shows in the write or in a read, but not in both
	cut      bool       // the endpoint takes no more
}

// copy copies what the other VM sends, and closes the connection to the endpoint when the other VM closes its own, because its caller has left
// or has its answer. What the endpoint does not take is discarded: it may have answered already.
func (r *relayedRequest) copy(from io.Reader) {
	defer r.upstream.Close()
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			r.write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}

func (r *relayedRequest) write(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.cut {
		_, err := r.upstream.Write(b)
		r.cut = err != nil
	}
}

// wasCut reports, after the endpoint ended its side, whether it left a part of the request. It ends a write that the endpoint does not take.
func (r *relayedRequest) wasCut() bool {
	_ = r.upstream.SetWriteDeadline(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// copyFrames copies what the endpoint sends in frames. It marks the end only if the endpoint closed the connection and took the whole request.
func copyFrames(conn io.Writer, upstream io.Reader, requestCut func() bool) {
	frame := make([]byte, 2+relayBufferBytes)
	for {
		n, err := upstream.Read(frame[2:])
		if n > 0 {
			binary.BigEndian.PutUint16(frame, uint16(n))
			if _, writeErr := conn.Write(frame[:2+n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF && !requestCut() {
			_, _ = conn.Write([]byte{0, 0}) // without it, the other VM takes the answer for interrupted
		}
		if err != nil {
			return
		}
	}
}

// ReportPause tells the VM that relayed a connection that the endpoint asked for a pause, which binds that VM too: the endpoint sees its address.
func (r *Relays) ReportPause(conn net.Addr, endpointID string, d time.Duration) {
	now := time.Now()
	pause := endpoint.Suspect{Endpoint: endpoint.KeyOf(endpointID), Until: now.Add(d)}
	x := r.exchange
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[conn.String()]; p != nil {
		x.sendLocked(message{Pauses: encodeSuspects([]endpoint.Suspect{pause}, now)}, []*peerState{p})
	}
}
