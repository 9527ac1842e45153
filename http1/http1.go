// Package http1 performs one HTTP request on a connection of its own.
//
// A request is written at most once. Pooled connections are not used, because a server that closes an idle connection
// while a request is written to it leaves open whether it read the request. With a new connection, an error before the
// connection is open proves that the request was not sent.
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

// dialTimeout bounds the opening of a connection. Endpoints are at most a few milliseconds away.
const dialTimeout = 2 * time.Second

// maxHeader bounds the header of a response.
const maxHeader = 64 << 10

// Attempt is one request in progress.
type Attempt struct {
	ctx   context.Context
	ready func() error
	tls   *tls.Config
	mu    sync.Mutex
	conn  net.Conn
	stop  func() bool
	sent  bool
}

// Option sets an optional property of an Attempt.
type Option func(*Attempt)

// WithTLS makes the connection use TLS. The server's certificate has to name the IP address.
func WithTLS(cfg *tls.Config) Option { return func(a *Attempt) { a.tls = cfg } }

// Do sends req once and reads the header of the response. The caller reads resp's body stream and calls Close at the end.
// The end of ctx closes the connection, which ends Do and any read of the body. ready, if not nil, is called immediately
// before the first byte is written; its error prevents the write. sent is false where no byte was written, so that the
// request certainly did not run.
func Do(ctx context.Context, address string, ready func() error, req *fasthttp.Request, resp *fasthttp.Response, opts ...Option) (a *Attempt, sent bool, err error) {
	a = &Attempt{ctx: ctx, ready: ready}
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
		ReadBufferSize:                maxHeader,
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
	}
	return nil, a.sent, errors.WithMessage(err, address)
}

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
	a.conn = conn
	a.stop = context.AfterFunc(a.ctx, func() { conn.Close() })
	return &checkedConn{Conn: conn, a: a}, nil
}

// handshake opens TLS on conn, which it closes if it fails.
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

// ErrTooLong is the error of a body above the limit.
var ErrTooLong = errors.New("body is longer than the limit")

// ReadBody reads the body of a response that Do has begun, up to limit bytes, and closes the connection. The end of Do's
// ctx ends it.
func (a *Attempt) ReadBody(resp *fasthttp.Response, limit int) ([]byte, error) {
	defer resp.CloseBodyStream()
	defer a.Close() // before CloseBodyStream, which otherwise reads the rest of the body
	stream := resp.BodyStream()
	if stream == nil {
		body := append([]byte(nil), resp.Body()...)
		if len(body) > limit {
			return nil, ErrTooLong
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
		return nil, ErrTooLong
	}
	return body, nil
}

// Close closes the connection.
func (a *Attempt) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.stop()
		a.conn.Close()
	}
}

// checkedConn calls the attempt's ready function before the first write.
type checkedConn struct {
	net.Conn
	a *Attempt
}

// Write implements net.Conn.
func (c *checkedConn) Write(b []byte) (int, error) {
	if !c.a.sent {
		if err := c.a.ctx.Err(); err != nil {
			return 0, err
		}
		// After a pause of the process this can run before the timer that ends ctx.
		if d, ok := c.a.ctx.Deadline(); ok && !time.Now().Before(d) {
			return 0, context.DeadlineExceeded
		}
		if c.a.ready != nil {
			if err := c.a.ready(); err != nil {
				return 0, err
			}
		}
		c.a.sent = true
	}
	return c.Conn.Write(b)
}
