package http1test

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// CutMode is the way in which a path is cut.
type CutMode uint8

// Ways of a cut.
const (
	Open   CutMode = iota // not cut
	Hang                  // connections hang, and new ones are not opened
	Reset                 // connections are reset, and new ones are refused
	Refuse                // connections live on, and new ones are refused
)

// Cut opens connections on a path that can be cut. It is safe for concurrent use.
type Cut struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	mode  CutMode
	conns map[*cutConn]bool
}

// NewCut returns a path that is not cut and opens connections with dial.
func NewCut(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Cut {
	return &Cut{dial: dial, conns: map[*cutConn]bool{}}
}

// Set changes the way of the cut.
func (c *Cut) Set(mode CutMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mode == c.mode {
		return
	}
	c.mode = mode
	switch mode {
	case Hang:
		for conn := range c.conns {
			conn.hang()
		}
	case Reset:
		for conn := range c.conns {
			conn.reset()
		}
	}
}

// DialContext opens a connection. With Hang, it returns only when ctx ends.
func (c *Cut) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c.mu.Lock()
	mode := c.mode
	c.mu.Unlock()
	switch mode {
	case Hang:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	case Reset, Refuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	cut := &cutConn{Conn: conn, c: c, silent: make(chan struct{}), closed: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[cut] = true
	switch c.mode { // it may have changed meanwhile
	case Hang:
		cut.hang()
	case Reset:
		cut.reset()
	}
	return cut, nil
}

// cutConn is a connection on the path. Once it hangs, it hangs for good.
type cutConn struct {
	net.Conn
	c                *Cut
	hangOnce, closes sync.Once
	silent           chan struct{} // closed when the connection begins to hang
	closed           chan struct{}
}

func (c *cutConn) hang() { c.hangOnce.Do(func() { close(c.silent) }) }

func (c *cutConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection is closed next
	}
	c.Conn.Close()
}

// Read implements net.Conn.
func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write implements net.Conn. A connection that hangs takes everything.
func (c *cutConn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.closes.Do(func() { close(c.closed) })
	c.c.mu.Lock()
	delete(c.c.conns, c)
	c.c.mu.Unlock()
	return c.Conn.Close()
}
