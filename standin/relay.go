package standin

import (
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Relay passes TCP connections on to one address until it is cut. A cut relay still accepts connections but holds all data, as
// a network does that drops packets.
type Relay struct {
	target string
	ln     net.Listener
	wg     sync.WaitGroup

	mu     sync.Mutex
	open   chan struct{} // closed while data may pass
	isCut  bool
	closed bool
	conns  map[net.Conn]struct{}
}

// NewRelay starts a relay on address to target.
func NewRelay(address, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "relay cannot listen")
	}
	r := &Relay{target: target, ln: ln, open: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	close(r.open)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if !r.keep(c) {
				return
			}
			r.wg.Add(1)
			go func() {
				defer r.wg.Done()
				r.pass(c)
			}()
		}
	}()
	return r, nil
}

// Address returns the IP address and port that the relay listens on.
func (r *Relay) Address() string { return r.ln.Addr().String() }

// SetCut holds all data, or lets it pass again.
func (r *Relay) SetCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.isCut == cut {
		return
	}
	if r.isCut = cut; cut {
		r.open = make(chan struct{})
	} else {
		close(r.open)
	}
}

// Close closes all connections.
func (r *Relay) Close() {
	r.SetCut(false)
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.ln.Close()
	r.wg.Wait()
}

// keep registers a connection for Close. It closes the connection of a closed relay.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// await returns when data may pass.
func (r *Relay) await() {
	r.mu.Lock()
	open := r.open
	r.mu.Unlock()
	<-open
}

func (r *Relay) pass(c net.Conn) {
	defer r.drop(c)
	r.await()
	t, err := net.Dial("tcp", r.target)
	if err != nil || !r.keep(t) {
		return
	}
	defer r.drop(t)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.copy(t, c)
	}()
	r.copy(c, t)
}

// copy passes data from one connection to the other and closes both directions at the end.
func (r *Relay) copy(to, from net.Conn) {
	io.Copy(&gate{r, to}, from)
	to.Close()
	from.Close()
}

// gate is a writer that waits while its relay is cut.
type gate struct {
	relay *Relay
	w     io.Writer
}

// Write implements io.Writer.
func (g *gate) Write(p []byte) (int, error) {
	g.relay.await()
	return g.w.Write(p)
}
