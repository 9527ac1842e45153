package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestpath/http1"
	"goldcrestpath/http1/http1test"
)

// do sends a request with Do and reads the body of the response.
func do(t *testing.T, address, body string) (status int, data string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(body)
	a, sent, err := http1.Do(ctx, address, nil, req, resp)
	if !sent {
		t.Errorf("Do states that it sent nothing: %v", err)
	}
	if err != nil {
		return 0, "", err
	}
	b, err := a.ReadBody(resp, 1<<20)
	return resp.StatusCode(), string(b), err
}

// roundTrip sends a request with a Transport and reads the body of the response.
func roundTrip(t *testing.T, transport *http1.Transport, address, body string) (status int, data string, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// TestMalformedHeadInPieces guards against a fault that goes unnoticed because its line arrives in pieces, here of one byte.
func TestMalformedHeadInPieces(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n", "the whole answer"
	send := func(response string) (int, string, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			for i := range len(response) {
				if _, err := io.WriteString(server, response[i:i+1]); err != nil {
					return // the client has closed the connection
				}
			}
		}()
		transport := http1.NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return client, nil }})
		defer transport.CloseIdleConnections()
		return roundTrip(t, transport, "127.0.0.1:1", "")
	}
	if status, got, err := send(head + body); err != nil || status != 200 || got != body {
		t.Errorf("status %d, body %q, error %v, want the response", status, got, err)
	}
	for _, fault := range http1test.HeadFaults() {
		if status, got, err := send(fault.Apply(head) + body); err == nil || !strings.Contains(err.Error(), fault.Message) {
			t.Errorf("%s: status %d, body %q, error %v, want an error with %q", fault.Name, status, got, err, fault.Message)
		}
	}
}

// TestMalformedHead guards against a response with a malformed head that a client returns as a response, and against an error that does not
// name the fault.
func TestMalformedHead(t *testing.T) {
	const body = "the whole answer"
	for framing, response := range map[string]string{
		"length":                "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + body,
		"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + body + "\r\n0\r\n\r\n",
		"end of the connection": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
	} {
		check := func(t *testing.T, response, fault string) {
			t.Helper()
			address := http1test.ServeBytes(t, response)
			transport := http1.NewTransport(&http.Transport{})
			defer transport.CloseIdleConnections()
			for name, send := range map[string]func() (int, string, error){
				"Do":        func() (int, string, error) { return do(t, address, "") },
				"Transport": func() (int, string, error) { return roundTrip(t, transport, address, "") },
			} {
				status, got, err := send()
				switch {
				case fault == "" && (err != nil || status != 200 || got != body):
					t.Errorf("%s: status %d, body %q, error %v, want the response", name, status, got, err)
				case fault != "" && (err == nil || !strings.Contains(err.Error(), fault)):
					t.Errorf("%s: status %d, body %q, error %v, want an error with %q", name, status, got, err, fault)
				}
			}
		}
		t.Run(framing, func(t *testing.T) {
			check(t, response, "")
			check(t, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+response, "")
		})
		if framing != "chunks" {
			check(t, strings.Replace(response, "HTTP/1.1", "HTTP/1.0", 1), "")
		} else {
			check(t, strings.Replace(response, "HTTP/1.1", "HTTP/1.0", 1), "the version has no Transfer-Encoding")
		}
		for _, fault := range http1test.HeadFaults() {
			t.Run(framing+" "+fault.Name, func(t *testing.T) {
				head, rest, _ := strings.Cut(response, "\r\n\r\n")
				check(t, fault.Apply(head+"\r\n\r\n")+rest, fault.Message)
			})
		}
	}
}
