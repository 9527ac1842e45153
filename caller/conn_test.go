package caller_test

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"goldcrestpath/caller"
	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/service"
)

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func dial(t testing.TB, ln net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// rawPost returns a POST request in its HTTP/1.1 wire format.
func rawPost(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, apiKey, len(body), body)
}

// serverTLS returns a server configuration with a self-signed certificate.
func serverTLS(t testing.TB) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

// TestCallerDisconnect guards against requests that keep running after their callers have closed their connections,
// which a waiting handler does not notice because it does not read from the connection. Each case first completes one
// request, since the watch for a disconnect must leave the connection usable.
func TestCallerDisconnect(t *testing.T) {
	const body, streamed = `{"model":"small","prompt":"x"}`, `{"model":"small","prompt":"x","stream":true}`
	for name, tc := range map[string]struct {
		path, body string
		tls        bool
		pipelined  bool // whether a further request, sent before the close, hides the close
	}{
		"completion": {path: "/v1/completions", body: body},
		"stream":     {path: "/v1/completions", body: streamed},
		"service":    {path: "/services/booking/x"},
		"TLS":        {path: "/v1/completions", body: body, tls: true},
		"TLS stream": {path: "/v1/completions", body: streamed, tls: true},
		"pipelined":  {path: "/v1/completions", body: body, pipelined: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			started, ended := make(chan struct{}), make(chan error, 1)
			answeredFirst := false
			answer := func(ctx context.Context) error {
				if !answeredFirst {
					answeredFirst = true
					return nil
				}
				close(started)
				<-ctx.Done()
				ended <- context.Cause(ctx)
				return ctx.Err()
			}
			r.complete = func(ctx context.Context, _ *engine.Completion, sink engine.Sink) error {
				if err := sink.Chunk(engine.Chunk{Text: "x"}); err != nil {
					return err
				}
				if err := answer(ctx); err != nil {
					return err
				}
				return sink.Chunk(engine.Chunk{Offset: 1, End: true})
			}
			r.call = func(ctx context.Context, _ *service.Request) (*service.Response, error) {
				return &service.Response{Status: 200}, answer(ctx)
			}
			ln := listen(t)
			if tc.tls {
				serveOn(t, tls.NewListener(ln, serverTLS(t)), r)
			} else {
				// Without server timeouts, only the watch for a disconnect sets a read deadline.
				serveOn(t, ln, r, caller.WithReadTimeout(0), caller.WithIdleTimeout(0))
			}
			conn := dial(t, ln)
			if tc.tls {
				conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
			}
			reader := bufio.NewReader(conn)
			io.WriteString(conn, rawPost(tc.path, tc.body))
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != 200 {
				t.Fatalf("first answer: %d, %v", resp.StatusCode, err)
			}
			io.WriteString(conn, rawPost(tc.path, tc.body))
			<-started
			if tc.pipelined {
				io.WriteString(conn, rawPost(tc.path, tc.body))
			}
			conn.Close()
			var refusal *customer.Refusal
			if err := <-ended; !errors.As(err, &refusal) || refusal.Reason() != customer.ReasonCallerGone {
				t.Errorf("cause %v, want %s", err, customer.ReasonCallerGone)
			}
		})
	}
}

// TestWaitBeyondTimeouts guards against a request that is cancelled as if its caller had disconnected because it
// waits longer than the read timeout, and against a stream that is cut off because it lasts longer than the write
// timeout.
func TestWaitBeyondTimeouts(t *testing.T) {
	const timeout = 30 * time.Millisecond
	r := newRouter(t)
	r.complete = func(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
		if err := sink.Chunk(engine.Chunk{Attempt: 1, Text: "x"}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(3 * timeout):
			return sendChunks(nil, "xy")(ctx, c, sink)
		}
	}
	ln := listen(t)
	serveOn(t, ln, r, caller.WithReadTimeout(timeout), caller.WithWriteTimeout(timeout), caller.WithIdleTimeout(time.Minute))
	conn := dial(t, ln)
	reader := bufio.NewReader(conn)
	for _, stream := range []bool{false, true} {
		io.WriteString(conn, rawPost("/v1/completions", fmt.Sprintf(`{"model":"small","prompt":"x","stream":%v}`, stream)))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%+v, %v", resp, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || strings.Contains(string(body), "[DONE]") != stream {
			t.Errorf("stream %v: %q, %v", stream, body, err)
		}
	}
}

// TestRefusedWithBody guards against a refused request whose body is left unread. Its connection is then reset, and
// the next request on it gets no response.
func TestRefusedWithBody(t *testing.T) {
	largeBody := strings.Repeat("x", 1<<20)
	for _, path := range []string{"/v2", "/v1/models", "/services/other/x", "/v1/completions"} {
		for name, text := range map[string]string{
			"length": rawPost(path, largeBody),
			"chunked": strings.Replace(rawPost(path, ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) +
				fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(largeBody), largeBody),
		} {
			ln := listen(t)
			serveOn(t, ln, newRouter(t))
			conn := dial(t, ln)
			reader := bufio.NewReader(conn)
			go io.WriteString(conn, text+text)
			for i := range 2 {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Errorf("%s %s: answer %d: %v", path, name, i, err)
					break
				}
				if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode < 400 || resp.StatusCode >= 500 {
					t.Errorf("%s %s: answer %d: %d %s %v", path, name, i, resp.StatusCode, body, err)
				}
			}
		}
	}
}

// TestSlowReader guards against a caller that keeps its connection open without reading, and so occupies memory of
// the engine until the contract's deadline.
func TestSlowReader(t *testing.T) {
	r := newRouter(t)
	ended := make(chan error, 1)
	r.complete = func(_ context.Context, _ *engine.Completion, sink engine.Sink) error {
		text := strings.Repeat("x", 256<<10)
		for offset := 0; ; offset += len(text) {
			if err := sink.Chunk(engine.Chunk{Offset: offset, Text: text}); err != nil {
				ended <- err
				return err
			}
		}
	}
	ln := listen(t)
	serveOn(t, ln, r, caller.WithWriteTimeout(50*time.Millisecond))
	io.WriteString(dial(t, ln), rawPost("/v1/completions", `{"model":"small","prompt":"x","stream":true}`))
	if err := <-ended; customer.AsRefusal(err).Reason() != customer.ReasonCallerGone {
		t.Errorf("got %v, want %s", err, customer.ReasonCallerGone)
	}
}

// TestShutdown guards against a planned shutdown that interrupts requests, and against requests that still run after
// the context of the shutdown has ended.
func TestShutdown(t *testing.T) {
	for name, completes := range map[string]bool{"running requests end": true, "context is cancelled": false} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			started, release := make(chan struct{}), make(chan struct{})
			r.complete = func(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
				if err := sink.Chunk(engine.Chunk{Attempt: 1, Text: "x"}); err != nil {
					return err
				}
				close(started)
				select {
				case <-release:
					return sendChunks(nil, "xy")(ctx, c, sink)
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			ln := listen(t)
			s := serveOn(t, ln, r)
			conn := dial(t, ln)
			io.WriteString(conn, rawPost("/v1/completions", `{"model":"small","prompt":"x","stream":true}`))
			<-started
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(ctx) }()
			// Shutdown closes the listener first; the request continues only after that.
			for c, err := net.Dial("tcp", ln.Addr().String()); err == nil; c, err = net.Dial("tcp", ln.Addr().String()) {
				c.Close()
				time.Sleep(time.Millisecond)
			}
			if completes {
				close(release)
			} else {
				cancel()
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			sseEvents := parseEvents(string(body))
			if got := sseEvents[len(sseEvents)-1]; err != nil || (got == "|[DONE]") != completes || strings.Contains(got, `"reason":"notReady"`) == completes {
				t.Errorf("last event %q, %v", got, err)
			}
			if err := <-stopped; (err == nil) != completes {
				t.Errorf("shutdown: %v", err)
			}
		})
	}
}

// FuzzGenerationBody guards against bodies that crash or hang the server, or reach the router without a prompt.
func FuzzGenerationBody(f *testing.F) {
	for _, body := range []string{
		``, `null`, `[]`, `{"model":"small","prompt":"x"}`, `{"model":"small","prompt":["x"],"n":null}`,
		`{"model":"small","messages":[{"role":"user","content":[{"type":"text","text":"\ud800"}]}],"stream":true}`,
		`{"model":"small","messages":[null,1,{"role":null}]}`, `{"prompt":1e999,"max_tokens":1e3}`, "{\"model\":\"\xff\"}",
	} {
		f.Add([]byte(body), true)
		f.Add([]byte(body), false)
	}
	r := newRouter(f)
	r.complete = func(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
		if len(c.Prompt) == 0 || c.PromptTokens < 1 || c.MaxTokens < 1 || c.Model != "small" {
			f.Errorf("completion %+v", c)
		}
		return sendChunks(nil, "x")(ctx, c, sink)
	}
	client := serve(f, r)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		path := map[bool]string{false: "/v1/completions", true: "/v1/chat/completions"}[chat]
		resp, answer := do(t, client, newRequest(t, "POST", path, string(body)))
		if resp.StatusCode == 200 {
			return
		}
		if e := decodeFailure(t, answer).Error; e.Message == "" || e.Verdict != "notRun" || (resp.StatusCode != 400 && resp.StatusCode != 404) {
			t.Errorf("%d %s", resp.StatusCode, answer)
		}
	})
}

// FuzzRequestHead guards against request lines and headers that crash the server or get a response without a request
// ID.
func FuzzRequestHead(f *testing.F) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\n", "GET http://vm/services/booking?x HTTP/1.1\r\nGoldcrest-Strict: TRUE\r\n", "X", "GET  \r\n",
		"POST /services/booking/%zz HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n", "POST /services/booking HTTP/1.1\r\nContent-Length: -1\r\n",
		"GET /services HTTP/1.0\r\nGoldcrest-Deadline: 99999999999999999999\r\n", "GET /services/booking HTTP/1.1\r\nConnection: ,,\r\n",
	} {
		f.Add(head)
	}
	r := newRouter(f)
	r.call = func(_ context.Context, req *service.Request) (*service.Response, error) {
		if !strings.HasPrefix(req.Path, "/") {
			f.Errorf("path %q", req.Path)
		}
		return &service.Response{Status: 200}, nil
	}
	ln := listen(f)
	serveOn(f, ln, r, caller.WithReadTimeout(100*time.Millisecond))
	f.Fuzz(func(t *testing.T, head string) {
		conn := dial(t, ln)
		io.WriteString(conn, head+"Authorization: Bearer "+apiKey+"\r\n\r\n")
		conn.(*net.TCPConn).CloseWrite()
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && resp.StatusCode != 100 && resp.Header.Get("X-Request-Id") == "" {
			t.Errorf("%q: no request ID in %+v", head, resp)
		}
	})
}
