// Package http1test has servers whose responses are given as bytes, and faults of responses, for tests of clients.
package http1test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// Listen starts a server that calls serve for each connection, and closes the connection afterwards. It returns the address.
func Listen(t testing.TB, serve func(conn *net.TCPConn)) string {
	t.Helper()
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// Serve starts a server that calls respond for each request, after it has read the request. n is the number of requests on the connection
// before. The connection is closed once respond returns false. Serve returns the address.
func Serve(t testing.TB, respond func(n int, conn net.Conn) bool) string {
	t.Helper()
	return Listen(t, func(conn *net.TCPConn) {
		r := bufio.NewReader(conn)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if !respond(n, conn) {
				return
			}
		}
	})
}

// ServeBytes starts a server that sends the bytes in response to each request and then closes the connection. It returns the address.
func ServeBytes(t testing.TB, bytes string) string {
	t.Helper()
	return Serve(t, func(_ int, conn net.Conn) bool {
		_, _ = io.WriteString(conn, bytes)
		return false
	})
}

// HeadFault makes the head of a response malformed.
type HeadFault struct {
	Name    string
	Message string                   // part of the client's error
	Apply   func(head string) string // head begins with "HTTP/1.1 200 OK" and ends with a blank line
}

// HeadFaults returns faults that a client must not tolerate.
func HeadFaults() []HeadFault {
	return []HeadFault{
		status("000", outOfRange),
		status("001", outOfRange),
		status("099", outOfRange),
		status("600", outOfRange),
		status("999", outOfRange),
		status("+20", "the status code is not a number of three digits"),
		status("101", "no request asks for status 101"),
		{"status 000 behind an interim response", outOfRange, func(head string) string {
			return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + strings.Replace(head, " 200 ", " 000 ", 1)
		}},
		{"version 2.0", "the version is not HTTP/1", func(head string) string { return strings.Replace(head, "HTTP/1.1", "HTTP/2.0", 1) }},
		field("X Fault: 1", notToken),
		field("X-Fault : 1", notToken),
		field("X-Fault\t: 1", notToken),
		field("X-Fa\x01ult: 1", notToken),
		field("X-Fault\x00: 1", notToken),
		field("X-Fa\x7fult: 1", notToken),
		field("X-Fa\rult: 1", notToken),
		field("X-Fa\u00fclt: 1", notToken),
		field(": 1", notToken),
		field("X-Fault", "a field has no colon"),
		field("X-Fault: 1\r\n more", continued),
		field("X-Fault: 1\r\n\tmore: 1", continued),
		field("X-Fault: \x01", "the value of a field has a control character"),
		field("X-Fault: a\rb", "the value of a field has a control character"),
		{"blank behind the names of fields that delimit the body", notToken, func(head string) string {
			return delimiters.ReplaceAllString(head, "$1 :")
		}},
		{"blank before the names of fields that delimit the body", continued, func(head string) string {
			return delimiters.ReplaceAllString(head, "X-Fault: 1\r\n $1:")
		}},
		{"blank in a field of an interim response", notToken, func(head string) string {
			return "HTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\n" + head
		}},
	}
}

// Parts of errors.
const (
	outOfRange = "the status code is not between 100 and 599"
	notToken   = "the name of a field is not a token"
	continued  = "a field is continued on another line"
)

// delimiters matches the names of fields that tell where the body and the connection end.
var delimiters = regexp.MustCompile(`(Content-Length|Transfer-Encoding|Connection):`)

// field returns a fault that adds a line to the fields.
func field(line, message string) HeadFault {
	return HeadFault{fmt.Sprintf("field %q", line), message, func(head string) string { return strings.TrimSuffix(head, "\r\n") + line + "\r\n\r\n" }}
}

// status returns a fault that replaces the status code.
func status(code, message string) HeadFault {
	return HeadFault{"status " + code, message, func(head string) string { return strings.Replace(head, " 200 ", " "+code+" ", 1) }}
}

// CheckClient checks that a client accepts a response with status 200 and the given body, and that it returns an error with the fault's
// message if the head has a fault. call makes each kind of call to the address and returns the errors by the name of the call.
func CheckClient(t *testing.T, body string, call func(t *testing.T, address string) map[string]error) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	t.Run("well-formed", func(t *testing.T) {
		// The server closes its connection after the response, so it says so; a client could use the connection again before it sees the end.
		closing := strings.Replace(head, "\r\n", "\r\nConnection: close\r\n", 1)
		for name, err := range call(t, ServeBytes(t, closing+body)) {
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	})
	for _, fault := range HeadFaults() {
		t.Run(fault.Name, func(t *testing.T) {
			for name, err := range call(t, ServeBytes(t, fault.Apply(head)+body)) {
				if err == nil || !strings.Contains(err.Error(), fault.Message) {
					t.Errorf("%s: error %v, want one with %q", name, err, fault.Message)
				}
			}
		})
	}
}
