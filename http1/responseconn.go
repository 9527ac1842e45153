package http1

import (
	"net"
	"sync"
)

// responseConn is the connection of a client. Reading fails at the end of a line that makes the head of a response malformed.
type responseConn struct {
	net.Conn

	mu    sync.Mutex
	head  headScanner
	fault error // of the head
}

// newResponseConn returns a connection that checks the first response. expectResponse begins each further one.
func newResponseConn(conn net.Conn) *responseConn { return &responseConn{Conn: conn} }

// expectResponse begins the check of the next response. No request may be in progress.
func (c *responseConn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{}
}

// hasHead reports whether the head of the final response has been read and is well-formed.
func (c *responseConn) hasHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.part == body && c.fault == nil
}

// headFault returns the fault of the head, if any.
func (c *responseConn) headFault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

// Read implements net.Conn.
func (c *responseConn) Read(b []byte) (int, error) {
	if err := c.headFault(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	sound, fault := c.head.scan(b[:n])
	if fault == nil {
		return n, err
	}
	c.fault = fault
	if sound > 0 {
		return sound, nil // the next call returns the fault
	}
	return 0, fault
}
