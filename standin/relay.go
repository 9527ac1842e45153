package standin

import (
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Relay forwards TCP connections to one address. While it is blocked, it accepts connections but forwards no data. Both sides then
// observe the same as on a network that drops packets.
type Relay struct {
	target string
	ln     net.Listener
	wg     sync.WaitGroup

	mu        sync.Mutex
	unblocked chan struct{} // closed while the relay is not blocked
	blocked   bool
	closed    bool
	conns     map[net.Conn]struct{}
}

// NewRelay starts a relay that listens on address and forwards to target.
func NewRelay(address, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "relay cannot listen")
	}
	r := &Relay{target: target, ln: ln, unblocked: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	close(r.unblocked)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if !r.track(c) {
				return
			}
			r.wg.Add(1)
			go func() {
				defer r.wg.Done()
				r.forward(c)
			}()
		}
	}()
	return r, nil
}

// Address returns the IP address and port that the relay listens on.
func (r *Relay) Address() string { return r.ln.Addr().String() }

// SetBlocked blocks or unblocks the relay. Data that arrives while it is blocked is forwarded after unblocking.
func (r *Relay) SetBlocked(blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.blocked == blocked {
		return
	}
	if r.blocked = blocked; blocked {
		r.unblocked = make(chan struct{})
	} else {
		close(r.unblocked)
	}
}

// Close stops the relay and closes all connections.
func (r *Relay) Close() {
	r.SetBlocked(false)
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.ln.Close()
	r.wg.Wait()
}

// track registers a connection, so that Close closes it. If the relay is already closed, track closes the connection and returns
// false.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) closeConn(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// awaitUnblocked waits until the relay is not blocked.
func (r *Relay) awaitUnblocked() {
	r.mu.Lock()
	unblocked := r.unblocked
	r.mu.Unlock()
	<-unblocked
}

// forward connects to the target and copies the data of both directions until the connection ends.
func (r *Relay) forward(c net.Conn) {
	defer r.closeConn(c)
	r.awaitUnblocked()
	t, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(t) {
		return
	}
	defer r.closeConn(t)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.copyData(t, c)
	}()
	r.copyData(c, t)
}

// copyData copies data from one connection to the other until either fails or ends, and then closes both.
func (r *Relay) copyData(to, from net.Conn) {
	io.Copy(&blockingWriter{r, to}, from)
	to.Close()
	from.Close()
}

// blockingWriter is a writer that waits while its relay is blocked.
type blockingWriter struct {
	relay *Relay
	w     io.Writer
}

// Write implements io.Writer.
func (b *blockingWriter) Write(p []byte) (int, error) {
	b.relay.awaitUnblocked()
	return b.w.Write(p)
}
