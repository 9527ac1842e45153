package http1_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"goldcrestpath/http1"
	"goldcrestpath/http1/http1test"
)

// TestResponseBeforeItsRequest guards against late bytes on a kept connection that are returned as the response to the next request. The test
// sends the next request after the connection is kept and before http.Transport looks for unexpected bytes on it.
func TestResponseBeforeItsRequest(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	address := http1test.Serve(t, func(n int, conn net.Conn) bool {
		if n == 0 {
			_, _ = io.WriteString(conn, response+"first"+response+"first") // a second copy follows at once
		}
		return n == 0
	})
	transport := http1.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	type result struct {
		body string
		err  error
	}
	second := make(chan result, 1)
	get := func(trace *httptrace.ClientTrace) result {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+address+"/", http.NoBody)
		if err != nil {
			return result{err: err}
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return result{err: err}
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return result{string(body), err}
	}
	first := get(&httptrace.ClientTrace{PutIdleConn: func(error) {
		written := make(chan struct{})
		go func() {
			second <- get(&httptrace.ClientTrace{
				GotConn: func(info httptrace.GotConnInfo) {
					if !info.Reused {
						t.Error("the second request uses a new connection")
					}
				},
				WroteRequest: func(httptrace.WroteRequestInfo) { close(written) },
			})
		}()
		<-written
	}})
	if first.err != nil || first.body != "first" {
		t.Errorf("first request: body %q, error %v", first.body, first.err)
	}
	if got := <-second; got.err == nil || !strings.Contains(got.err.Error(), "before the request was sent") {
		t.Errorf("second request: body %q, error %v, want an error", got.body, got.err)
	}
}

// TestRedirectToOtherScheme guards against a panic of a client that follows a redirect to a scheme with another kind of connection.
func TestRedirectToOtherScheme(t *testing.T) {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	address := http1test.ServeBytes(t, "HTTP/1.1 302 Found\r\nLocation: "+server.URL+"/\r\nContent-Length: 0\r\n\r\n")
	client := http.Client{Transport: http1.NewTransport(&http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}})}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + address + "/")
	if err == nil {
		resp.Body.Close()
	}
	if err == nil || !strings.Contains(err.Error(), `scheme "https" is not supported`) {
		t.Errorf("error %v, want one that names the scheme", err)
	}
}
