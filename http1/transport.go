package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Transport is an http.Transport that returns an error in place of a response whose head is malformed. Reading a body fails, in place of
// io.EOF, if its connection ended before the request was written. A Transport is safe for concurrent use.
type Transport struct{ transport *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport that uses t for connections without TLS. t must not be used or changed afterwards.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newResponseConn(conn), nil
	}
	return &Transport{transport: t}
}

// errTooEarly is the error for a response whose head arrived before the connection was used for the request.
var errTooEarly = errors.New("the response arrived before the request was sent")

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.URL.Scheme != "http" { // an http.Client also follows redirects to https
		if req.Body != nil {
			req.Body.Close()
		}
		return nil, errors.Errorf("scheme %q is not supported", req.URL.Scheme)
	}
	// Of the last attempt. http.Transport can repeat a request, but only after it has ended the writing of the attempt before.
	var conn atomic.Pointer[responseConn]
	var writing atomic.Pointer[requestWriting]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, w := info.Conn.(*responseConn), newRequestWriting()
			c.expectResponse(w)
			conn.Store(c)
			writing.Store(w)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { writing.Load().end(info.Err) },
	}
	resp, err := t.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if c := conn.Load(); c != nil && c.headFault() != nil {
			err = c.headFault() // net/http also parses the line that is cut off, and can name another fault
		}
		return nil, err
	}
	if !conn.Load().hasHead() {
		resp.Body.Close()
		return nil, errTooEarly
	}
	return resp, nil
}

// CloseIdleConnections closes connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }
