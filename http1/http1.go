// Package http1 sends one HTTP/1.1 request on a connection of its own, and has the connections of all HTTP/1.1 clients.
//
// Both Do and Transport return an error in place of a malformed response, and of one that ended before its request was written.
//
// A request is written at most once. Pooled connections are not used: if a server closes an idle connection while a
// request is being written to it, the client cannot tell whether the server read the request. With a new connection,
// an error before the connection is open proves that the request was not sent.
package http1

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// dialTimeout limits the time to open a connection. Endpoints are at most a few milliseconds away.
const dialTimeout = 2 * time.Second

// maxHeaderBytes limits the header of a response.
const maxHeaderBytes = 64 << 10

// Attempt is a request in progress.
type Attempt struct {
	ctx         context.Context
	beforeWrite func() error
	tls         *tls.Config
	mu          sync.Mutex
	conn        *responseConn // nil before the connection is open
	cancelClose func() bool   // cancels the closing of conn at the end of ctx
	sent        bool          // whether the connection may have written a byte of the request
}

// Option sets an optional property of an Attempt.
type Option func(*Attempt)

// WithTLS makes the connection use TLS. Unless cfg has a ServerName, the server's certificate must be valid for the
// IP address of the connection.
func WithTLS(cfg *tls.Config) Option { return func(a *Attempt) { a.tls = cfg } }

// Do sends req once and reads the header of the response. The caller reads the body stream of resp and then calls
// Close. When ctx ends, the connection is closed, which ends Do and any read of the body. If beforeWrite is not nil,
// it is called immediately before the first byte is written, and its error prevents the write. If sent is false, no
// byte was written, so the request certainly did not run.
func Do(ctx context.Context, address string, beforeWrite func() error, req *fasthttp.Request, resp *fasthttp.Response, opts ...Option) (a *Attempt, sent bool, err error) {
	a = &Attempt{ctx: ctx, beforeWrite: beforeWrite}
	for _, opt := range opts {
		opt(a)
	}
	client := &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          a.dial,
		MaxConns:                      1,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:            true,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
		ReadBufferSize:                maxHeaderBytes,
	}
	req.SetConnectionClose()
	resp.StreamBody = true
	err = client.Do(req, resp)
	if err == nil {
		return a, true, nil
	}
	a.Close()
	if ctx.Err() != nil {
		err = ctx.Err()
	} else if fault := a.headFault(); fault != nil {
		err = fault // fasthttp only says that the head is incomplete
	}
	return nil, a.sent, errors.WithMessage(err, address)
}

// dial opens the connection of the attempt, with TLS if configured, and arranges that it is closed when ctx ends.
func (a *Attempt) dial(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(a.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if a.tls != nil {
		if conn, err = handshake(a.ctx, conn, a.tls); err != nil {
			return nil, err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = newResponseConn(conn)
	a.cancelClose = context.AfterFunc(a.ctx, func() { conn.Close() })
	return &checkedConn{Conn: a.conn, attempt: a}, nil
}

// handshake performs the TLS handshake on conn, and closes conn if the handshake fails.
func handshake(ctx context.Context, conn net.Conn, cfg *tls.Config) (net.Conn, error) {
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
		if err != nil {
			conn.Close()
			return nil, err
		}
		cfg = cfg.Clone()
		cfg.ServerName = host
	}
	c := tls.Client(conn, cfg)
	if err := c.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// ErrNoBody is returned for a success whose connection ended right behind its header, if only the end of the connection marks the end of the
// body. The server may have stopped before it wrote the body.
var ErrNoBody = errors.New("the connection ended before the body of the response")

// identityLength is what fasthttp returns as the length of a body that ends with its connection.
const identityLength = -2

// ErrBodyTooLong is returned for a body that exceeds the limit.
var ErrBodyTooLong = errors.New("body is longer than the limit")

// ReadBody reads the body of a response whose header Do has read, up to limit bytes, and closes the connection. It is
// interrupted when the context passed to Do ends.
func (a *Attempt) ReadBody(resp *fasthttp.Response, limit int) ([]byte, error) {
	defer resp.CloseBodyStream()
	defer a.Close() // runs before CloseBodyStream, which would otherwise read the rest of the body
	stream := resp.BodyStream()
	if stream == nil {
		body := append([]byte(nil), resp.Body()...)
		if len(body) > limit {
			return nil, ErrBodyTooLong
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	switch {
	case err != nil && a.ctx.Err() != nil:
		return nil, a.ctx.Err()
	case err != nil:
		return nil, err
	case len(body) > limit:
		return nil, ErrBodyTooLong
	case len(body) == 0 && resp.Header.ContentLength() == identityLength && resp.StatusCode() < 300 && resp.StatusCode() != fasthttp.StatusNoContent:
		return nil, ErrNoBody
	}
	return body, nil
}

// headFault returns the fault of the response's head, if any.
func (a *Attempt) headFault() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return nil
	}
	return a.conn.headFault()
}

// Close closes the connection.
func (a *Attempt) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.cancelClose()
		a.conn.Close()
	}
}

// checkedConn calls the attempt's beforeWrite function before the first write.
type checkedConn struct {
	net.Conn
	attempt *Attempt
}

// Write implements net.Conn.
func (c *checkedConn) Write(b []byte) (int, error) {
	if !c.attempt.sent {
		if err := c.attempt.ctx.Err(); err != nil {
			return 0, err
		}
		// After a pause of the process, this write can run before the timer that ends ctx, so the deadline is checked
		// as well.
		if d, ok := c.attempt.ctx.Deadline(); ok && !time.Now().Before(d) {
			return 0, context.DeadlineExceeded
		}
		if c.attempt.beforeWrite != nil {
			if err := c.attempt.beforeWrite(); err != nil {
				return 0, err
			}
		}
		c.attempt.sent = true
	}
	return c.Conn.Write(b)
}
