package http1

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// responseConn is the connection of a client. Reading fails at the end of a line that makes the head of a response malformed. It also fails,
// in place of io.EOF, at the end of a connection on which a request was not written completely: a socket returns the error of a reset only
// once, and if a write gets it, reads return io.EOF, which marks the end of a body that has no length.
type responseConn struct {
	net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex
	head    headScanner
	fault   error           // of the head
	request *requestWriting // of the current request, nil if each request is written before its response is read

	writeMu  sync.Mutex // held during writes
	writeErr error      // of the last failed write
}

// requestWriting is the writing of a request in another goroutine than the one that reads the response.
type requestWriting struct {
	once sync.Once
	done chan struct{}
	err  error // valid when done is closed
}

// newRequestWriting returns the writing of a request that has not ended.
func newRequestWriting() *requestWriting { return &requestWriting{done: make(chan struct{})} }

// end records that the request was written, or failed with err.
func (w *requestWriting) end(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.done)
	})
}

// newResponseConn returns a connection that checks the first response. expectResponse begins each further one.
func newResponseConn(conn net.Conn) *responseConn {
	return &responseConn{Conn: conn, closed: make(chan struct{})}
}

// expectResponse begins the check of the response to a request that is about to be written. No other request may be in progress.
func (c *responseConn) expectResponse(request *requestWriting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{}
	c.request = request
}

// hasHead reports whether the head of the final response has been read and is well-formed.
func (c *responseConn) hasHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.part == partBody && c.fault == nil
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
	if err == io.EOF {
		if cause := c.endWriting(); cause != nil {
			err = errors.WithMessage(cause, "the connection ended before the request was written")
		}
	}
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

// endWriting ends the writing of the request after the peer has closed its side of the connection. It returns an error if the request was not
// written completely.
func (c *responseConn) endWriting() error {
	// The peer may no longer read, and then a write would not end soon. On a closed connection, the call fails and no write waits.
	_ = c.Conn.SetWriteDeadline(time.Unix(0, 1))
	err := c.writeResult()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errClosedByPeer
	}
	return err
}

// errClosedByPeer is the error for a request whose writing endWriting has ended.
var errClosedByPeer = errors.New("closed by the peer")

// writeResult waits for the end of the writing and returns its error.
func (c *responseConn) writeResult() error {
	c.mu.Lock()
	request := c.request
	c.mu.Unlock()
	if request != nil {
		select {
		case <-request.done:
		case <-c.closed:
			return net.ErrClosed
		}
		if request.err != nil {
			return request.err
		}
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeErr
}

// Write implements net.Conn.
func (c *responseConn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *responseConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
