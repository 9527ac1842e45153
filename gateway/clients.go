package gateway

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"goldcrestpath/forward"
)

// Memory of clients. The account of memory is a fraction of the process's memory; the rest is for the runtime, garbage, and the state
// of the VM.
const (
	accountRatio = 0.35
	// connectionShare is the share of the account that open connections may use before a request arrives on them.
	connectionShare = 0.4
	// connectionBytes is about the memory of an open connection: two buffers of 4 KiB and the stacks of up to two goroutines.
	connectionBytes = 24 << 10
	// Sizes of the system's buffers for a connection. An answer or stream up to the size of the send buffer is taken over from the
	// endpoint even if its caller doesn't read.
	receiveBufferBytes = 128 << 10
	sendBufferBytes    = 256 << 10
)

// Descriptors of clients.
const (
	reservedDescriptors = 200 // for files, the store and peers
	minConnections      = 8   // limit of a listener at the least
)

// Limits on the progress of clients.
const (
	// unreadTimeout is the time within which a client must read writePiece bytes of an answer. A steady reader with full buffers
	// acknowledges nothing for seconds: one that read 320 KB/s was cut off with 1.5 s and with 3 s.
	unreadTimeout = 5 * time.Second
	writePiece    = 16 << 10
	// maxHeadLines limits the lines of a head while it arrives; the handler checks the fields of a whole head more strictly.
	maxHeadLines = 320
	// lineBytes is about the memory of a line of a head beside its bytes.
	lineBytes = 256
	// internalMinStall replaces forward.MinStall for peers, the load balancer and metrics, which send a request at once. A load balancer
	// that is refused takes the VM out of service.
	internalMinStall = 20 * time.Millisecond
	// lingerTime is how long the connection of a refused client stays open so that it can read the refusal, and maxLingering how many
	// do at once.
	lingerTime   = 200 * time.Millisecond
	maxLingering = 16
)

// Answers to clients that are refused before the handler has their request.
const (
	refusalFull = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.300\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	refusalHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// internalClientBytes is the memory that a connection of the listeners of peers, readiness and metrics may use on average. They have an
// account of their own, because a load balancer that is refused while callers use up theirs would take the VM out of service.
const internalClientBytes = connectionBytes + 16<<10

// clientLimits are the limits on the clients of one listener.
type clientLimits struct {
	gauge       string // name of the gauge of open connections
	connections int
	minStall    time.Duration // after which a client may be cut off for a new one
	account     *forward.Memory
}

// connectionLimits are the limits of open connections of the listeners.
type connectionLimits struct{ callers, ready, metrics, peers, relays int }

// newConnectionLimits derives the limits. Each connection of a caller can need another one to an endpoint. So that few descriptors
// allow a gateway at all, at most half of them are reserved.
func newConnectionLimits(descriptors int, account int64) connectionLimits {
	reserved := min(reservedDescriptors, descriptors/2)
	l := connectionLimits{
		ready: max(descriptors/64, minConnections), metrics: max(descriptors/64, minConnections), peers: max(descriptors/16, minConnections),
	}
	l.relays = max(l.peers/2, 1) // of the connections of peers; each needs another one to an endpoint
	left := (descriptors - reserved - l.ready - l.metrics - l.peers - l.relays) / 2
	l.callers = max(min(left, int(connectionShare*float64(account)/connectionBytes)), minConnections)
	return l
}

// clientListener is a listener that limits the open connections. If too many are open, it cuts off the client that holds the most for
// the longest time without progress, or else refuses the new one.
type clientListener struct {
	net.Listener
	group     *http.Server
	limit     int
	minStall  time.Duration // after which a client may be cut off for a new one
	account   *forward.Memory
	record    func(forward.Cut)
	open      atomic.Int64
	lingering atomic.Int64
}

// register registers the gauge for open connections.
func (l *clientListener) register(r metrics.Registry, purpose string) {
	metrics.NewRegisteredFunctionalGauge("gateway.connections."+purpose, r, l.open.Load)
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &clientConn{Conn: raw, l: l, address: raw.RemoteAddr().String(), inHead: true}
		// The connections of clients that were cut off stay open until their refusals are written, for which an eighth is added.
		full := l.open.Add(1) > int64(l.limit)
		if full && (!l.account.CutWorst(time.Now(), l.group, l.minStall) || l.open.Load() > int64(l.limit+l.limit/8+1)) {
			l.refuse(c)
			continue
		}
		if !l.account.Reserve(connectionBytes) {
			l.refuse(c)
			continue
		}
		c.accounted = true
		c.register(forward.HoldsHead)
		return c, nil
	}
}

// refuse answers a new client that its request was not read, and closes the connection.
func (l *clientListener) refuse(c *clientConn) {
	l.record(forward.Cut{Reason: "connections", Address: c.address})
	if l.lingering.Add(1) > maxLingering {
		l.lingering.Add(-1)
		c.Close()
		return
	}
	go func() {
		defer l.lingering.Add(-1)
		c.refuse(refusalFull)
		c.Close()
	}()
}

// clientConn is a connection of a client, whose heads and reading must make progress.
type clientConn struct {
	net.Conn
	l         *clientListener
	address   string
	accounted bool // connectionBytes are accounted for
	closed    atomic.Bool

	mu        sync.Mutex
	hold      *forward.Holder // registration while no request is in progress, or nil
	inHead    bool            // no request is in progress
	idle      bool            // no byte of a further request has arrived
	lines     int             // lines of the head so far
	lineEmpty bool            // nothing but CR has arrived since the last LF
	headDone  bool            // the empty line after the head has arrived
	writeBy   time.Time       // deadline set by the handler, zero if none
}

// track follows the state of the connection; see http.Server.ConnState.
func (c *clientConn) track(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive, http.StateClosed, http.StateHijacked:
		c.inHead = false
		c.releaseHold()
	case http.StateIdle:
		c.inHead, c.idle, c.lines, c.lineEmpty, c.headDone = true, true, 0, false, false
		c.registerLocked(forward.HoldsIdle)
	}
}

// register registers the connection while no request is in progress.
func (c *clientConn) register(kind forward.HolderKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registerLocked(kind)
}

func (c *clientConn) registerLocked(kind forward.HolderKind) {
	c.releaseHold()
	c.hold = c.l.account.Hold(kind, c.l.group, c.address, connectionBytes, c.abort)
}

// releaseHold ends the registration.
func (c *clientConn) releaseHold() {
	if c.hold != nil {
		c.hold.Release()
		c.hold = nil
	}
}

// abort closes the connection of a client that was cut off.
func (c *clientConn) abort() { c.Close() }

// Read implements net.Conn. While a head arrives, it accounts for its memory and refuses a head with too many lines.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	if !c.inHead {
		c.mu.Unlock()
		return n, err
	}
	if c.idle {
		c.idle = false
		c.registerLocked(forward.HoldsHead)
	}
	lines := c.countLines(p[:n])
	c.lines += lines
	refusal, reason := "", ""
	switch {
	case c.lines > maxHeadLines:
		refusal, reason = refusalHead, "headLines"
	case c.hold != nil && !c.hold.Charge(n+lines*lineBytes):
		refusal, reason = refusalFull, "memory"
	}
	c.mu.Unlock()
	if refusal == "" {
		return n, err
	}
	c.l.record(forward.Cut{Reason: reason, Address: c.address, Bytes: connectionBytes + int64(c.lines)*lineBytes})
	c.refuse(refusal)
	return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
}

// errRefused is the error of a read after the client got its refusal. As a net.OpError it makes net/http close the connection.
var errRefused = errors.New("the client was refused")

// countLines counts the line ends of the head in p. Those after an empty line belong to the body or to another request.
func (c *clientConn) countLines(p []byte) int {
	n := 0
	for _, b := range p {
		switch {
		case c.headDone:
			return n
		case b == '\n' && c.lineEmpty:
			c.headDone = true
		case b == '\n':
			n++
			c.lineEmpty = true
		case b != '\r':
			c.lineEmpty = false
		}
	}
	return n
}

// refuse writes a refusal and reads on for a short time, because closing a connection with unread bytes discards the refusal.
func (c *clientConn) refuse(answer string) {
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime)) // the client may not read the refusal
	if _, err := io.WriteString(c.Conn, answer); err == nil {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, receiveBufferBytes))
	}
}

// SetWriteDeadline implements net.Conn. The deadline holds in addition to the connection's own limit.
func (c *clientConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBy = t
	if t.IsZero() {
		return nil // the next piece sets the connection's own limit
	}
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. It fails if the client doesn't read.
func (c *clientConn) Write(p []byte) (int, error) {
	var hold *forward.Holder
	if len(p) > writePiece {
		hold = c.l.account.Hold(forward.HoldsAnswer, c.l.group, c.address, len(p), c.abort)
		defer hold.Release()
	}
	written := 0
	for {
		now := time.Now()
		if hold != nil {
			hold.Progress(now)
		}
		if err := c.limitWrite(now); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[:min(writePiece, len(p))])
		written, p = written+n, p[n:]
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.l.record(forward.Cut{Reason: "unread", Address: c.address, Bytes: int64(len(p)), Stalled: time.Since(now)})
		}
		if err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// limitWrite sets the deadline of the next piece.
func (c *clientConn) limitWrite(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := now.Add(unreadTimeout)
	if !c.writeBy.IsZero() && c.writeBy.Before(deadline) {
		deadline = c.writeBy
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// CloseWrite closes the sending side. Package net/http uses it to let a client read the last answer.
func (c *clientConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	if c.closed.Swap(true) {
		return err
	}
	c.l.open.Add(-1)
	if c.accounted {
		c.l.account.Release(connectionBytes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	c.releaseHold()
	return err
}
