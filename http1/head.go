package http1

import (
	"bytes"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// maxHeadLineBytes limits a line in the head of a response.
const maxHeadLineBytes = 64 << 10

// maxQuotedBytes limits what an error quotes of a line.
const maxQuotedBytes = 80

// headPart is a part of a response.
type headPart uint8

const (
	partStatusLine headPart = iota
	partFields
	partBody // behind the head
)

// headScanner checks the head of a response as its bytes arrive. The HTTP parsers of net/http and fasthttp accept heads that RFC 9112 does
// not allow, and lose what would show it: the code 000 becomes 200, for example.
type headScanner struct {
	part      headPart
	interim   bool   // the status code is 1xx, so another head follows
	notHTTP11 bool   // the version is not HTTP/1.1
	line      []byte // the beginning of the current line, if it arrived earlier
}

// scan checks the next bytes of a response. With an error, it returns how many bytes precede the end of the faulty line. A parser that gets
// no more than these cannot complete the head.
func (s *headScanner) scan(b []byte) (int, error) {
	n := 0
	for n < len(b) && s.part != partBody {
		length := bytes.IndexByte(b[n:], '\n')
		if length < 0 {
			if len(s.line)+len(b)-n > maxHeadLineBytes {
				return n, errors.Errorf("malformed response head: a line has more than %d bytes", maxHeadLineBytes)
			}
			s.line = append(s.line, b[n:]...)
			return len(b), nil
		}
		line := b[n : n+length]
		if len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		if err := s.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return n + length, err
		}
		s.line = s.line[:0]
		n += length + 1
	}
	return len(b), nil
}

// checkLine checks one line without its end.
func (s *headScanner) checkLine(line []byte) error {
	switch {
	case s.part == partStatusLine && len(line) == 0:
		return nil // fasthttp skips empty lines before a head, net/http returns an error
	case s.part == partStatusLine:
		return s.checkStatusLine(line)
	case len(line) > 0:
		return s.checkField(line)
	case s.interim:
		s.part = partStatusLine
	default:
		s.part = partBody
		s.line = nil
	}
	return nil
}

// checkStatusLine checks a status line as in RFC 9112, section 4.
func (s *headScanner) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigits(version[len("HTTP/1."):]) {
		return malformed("the version is not HTTP/1", line)
	}
	code, _, _ := bytes.Cut(rest, []byte(" "))
	switch {
	case len(code) != 3 || !isDigits(code):
		return malformed("the status code is not a number of three digits", line)
	case code[0] < '1' || code[0] > '5':
		return malformed("the status code is not between 100 and 599", line)
	case string(code) == "101":
		return malformed("no request asks for status 101", line)
	}
	s.interim = code[0] == '1'
	s.notHTTP11 = string(version) != "HTTP/1.1"
	s.part = partFields
	return nil
}

// checkField checks a field line as in RFC 9112, section 5. A parser that tolerates a fault in it can miss the field that delimits the body.
func (s *headScanner) checkField(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return malformed("a field is continued on another line", line)
	case !hasColon:
		return malformed("a field has no colon", line)
	case !httpguts.ValidHeaderFieldName(string(name)):
		return malformed("the name of a field is not a token", line)
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return malformed("the value of a field has a control character", line)
	case s.notHTTP11 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return malformed("the version has no Transfer-Encoding", line) // both parsers ignore the field
	}
	return nil
}

// isDigits reports whether b consists of decimal digits.
func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// malformed returns the error for a faulty line.
func malformed(reason string, line []byte) error {
	return errors.Errorf("malformed response head: %s: %q", reason, line[:min(len(line), maxQuotedBytes)])
}
