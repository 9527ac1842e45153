package oplog

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"goldcrestpath/http1"
)

const (
	// readWait is how long the log may hold a read that finds no entry.
	readWait = 2 * time.Second
	// emptyReadWait is the same for a read from offset 0. It is short, because a reader cannot know that it has read an empty
	// log to its end before the answer is there.
	emptyReadWait = 100 * time.Millisecond
	// callTimeout bounds a call besides the time that the server may wait.
	callTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer in memory. It has room for one document of the largest size that the operators' API
	// accepts, 16 MiB in base64.
	maxAnswerBytes = 32 << 20
	// errorTextBytes is how much of an error answer goes into the error.
	errorTextBytes = 200
)

// UnsentError is the error of a call of which no byte was sent.
type UnsentError struct{ err error }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.err }

// Unsent returns err as the error of a call of which no byte was sent. Implementations of Log use it, so that claims can
// be refused as certainly not made.
func Unsent(err error) error { return &UnsentError{err: err} }

// StatusError is the error of a call that was answered with an unexpected HTTP status.
type StatusError struct {
	Status     int
	RetryAfter string
	Text       string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// TooLongError is the error of an answer above the limit. A read of fewer entries may stay below it.
type TooLongError struct{ Limit int }

// Error implements error.
func (e *TooLongError) Error() string { return fmt.Sprintf("answer is longer than %d bytes", e.Limit) }

// HTTPOption changes a client of the platform.
type HTTPOption func(*httpClient)

// WithHTTPTimeout sets the limit of one call besides the time that the server may wait.
func WithHTTPTimeout(d time.Duration) HTTPOption {
	return func(c *httpClient) { c.timeout = d }
}

// WithAnswerLimit sets the longest answer in bytes.
func WithAnswerLimit(n int) HTTPOption {
	return func(c *httpClient) { c.limit = n }
}

// httpClient calls one server with JSON bodies, each call on a connection of its own. It never repeats a call.
type httpClient struct {
	address string
	timeout time.Duration
	limit   int
}

func newHTTPClient(address string, opts []HTTPOption) *httpClient {
	c := &httpClient{address: address, timeout: callTimeout, limit: maxAnswerBytes}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// call sends one request and decodes the answer. The error is an *UnsentError where no byte was sent.
func (c *httpClient) call(ctx context.Context, method, path string, wait time.Duration, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(c.address)
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return Unsent(errors.Wrap(err, "encode request"))
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}
	a, sent, err := http1.Do(ctx, c.address, nil, req, resp)
	if err != nil {
		if !sent {
			return Unsent(err)
		}
		return err
	}
	data, err := a.ReadBody(resp, c.limit)
	if errors.Is(err, http1.ErrTooLong) {
		return &TooLongError{Limit: c.limit}
	}
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		retryAfter := string(resp.Header.Peek(fasthttp.HeaderRetryAfter))
		return &StatusError{Status: status, RetryAfter: retryAfter, Text: string(data[:min(len(data), errorTextBytes)])}
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode answer")
}

// HTTPLog is the client of the platform's log.
type HTTPLog struct{ http *httpClient }

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns a client of the log at an IP address and port.
func NewHTTPLog(address string, opts ...HTTPOption) *HTTPLog {
	return &HTTPLog{http: newHTTPClient(address, opts)}
}

type wireAppend struct {
	Records [][]byte `json:"records"`
}

type wireAppended struct {
	Offset   uint64 `json:"offset"`
	Identity string `json:"identity"`
}

type wireEntry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type wireBatch struct {
	Entries  []wireEntry `json:"entries"`
	Earliest uint64      `json:"earliest"`
	Next     uint64      `json:"next"`
	Identity string      `json:"identity"`
}

// Append implements Log. After an error that is not an *UnsentError the records may have been appended.
func (l *HTTPLog) Append(ctx context.Context, records [][]byte) (uint64, error) {
	var out wireAppended
	if err := l.http.call(ctx, fasthttp.MethodPost, "/log/append", 0, wireAppend{Records: records}, &out); err != nil {
		return 0, errors.Wrap(err, "append to log")
	}
	return out.Offset, nil
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, from uint64, n int) (Batch, error) {
	wait := readWait
	if from == 0 {
		wait = emptyReadWait
	}
	path := fmt.Sprintf("/log/read?from=%d&max=%d&waitMillis=%d", from, n, wait.Milliseconds())
	var out wireBatch
	if err := l.http.call(ctx, fasthttp.MethodGet, path, wait, nil, &out); err != nil {
		return Batch{}, errors.Wrap(err, "read log")
	}
	b := Batch{Earliest: out.Earliest, Next: out.Next, Identity: out.Identity, Entries: make([]Entry, len(out.Entries))}
	for i, e := range out.Entries {
		b.Entries[i] = Entry(e)
	}
	return b, nil
}
