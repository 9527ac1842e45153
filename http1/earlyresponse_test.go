package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"goldcrestpath/http1"
	"goldcrestpath/http1/http1test"
)

// TestResponseResetDuringUpload guards against a server that responds before it has read the request, and resets the connection within the
// body of its response, which then counts as complete.
func TestResponseResetDuringUpload(t *testing.T) {
	upload := strings.Repeat("x", 8<<20)
	address := http1test.Listen(t, func(conn *net.TCPConn) {
		buf := make([]byte, 64<<10)
		_, _ = conn.Read(buf)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nthe whole"))
		_, _ = conn.Read(buf) // the client has more to write
		_ = conn.SetLinger(0)
	})
	transport := http1.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	for range 50 {
		if status, body, err := do(t, address, upload); err == nil {
			t.Errorf("Do: status %d, body %q, want an error", status, body)
		}
		if status, body, err := roundTrip(t, transport, address, upload); err == nil {
			t.Errorf("Transport: status %d, body %q, want an error", status, body)
		}
	}
}

// TestResponseEndsDuringUploadOnKeptConnection guards against the part of a response that counts as complete because the request before, on
// the same connection, was written completely.
func TestResponseEndsDuringUploadOnKeptConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	var uploads atomic.Int32
	done := make(chan struct{})
	address := http1test.Listen(t, func(conn *net.TCPConn) {
		r := bufio.NewReaderSize(conn, 16) // a small buffer leaves the second body on the connection
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, head+"Content-Length: 5\r\n\r\nfirst")
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		uploads.Add(1)
		_, _ = io.WriteString(conn, head+"\r\nthe whole")
		_ = conn.CloseWrite()
		<-done
	})
	transport := http1.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	defer close(done)
	if _, body, err := roundTrip(t, transport, address, "x"); err != nil || body != "first" {
		t.Fatalf("body %q, error %v", body, err)
	}
	status, body, err := roundTrip(t, transport, address, strings.Repeat("x", 16<<20))
	if err == nil || !strings.Contains(err.Error(), "before the request was written") {
		t.Errorf("status %d, body %q, error %v, want an error", status, body, err)
	}
	if n := uploads.Load(); n != 1 {
		t.Errorf("%d uploads on the kept connection, want 1", n)
	}
}
