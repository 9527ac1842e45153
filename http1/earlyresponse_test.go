package http1_test

import (
	"net"
	"net/http"
	"strings"
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
