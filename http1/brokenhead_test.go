package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestpath/http1"
)

// TestResponseCutInItsHead guards against a response that a server cuts within its head, or right behind it, and that counts as a whole one.
func TestResponseCutInItsHead(t *testing.T) {
	const body = "the whole answer"
	for name, field := range map[string]string{
		"length": "Content-Length: 16\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "end of the connection": "Connection: close\r\n",
	} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + field + "\r\n"
		for cut := 0; cut <= len(head); cut++ {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(conn, head[:cut])
				}
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + l.Addr().String() + "/")
			req.Header.SetMethod("POST")
			a, _, err := http1.Do(ctx, l.Addr().String(), nil, req, resp)
			if err == nil {
				var got []byte
				if got, err = a.ReadBody(resp, 1<<20); err == nil {
					t.Errorf("%s, cut after %d bytes of the head: status %d, body %q, want an error or %q", name, cut, resp.StatusCode(), got, body)
				}
			}
			cancel()
			l.Close()
		}
	}
}
