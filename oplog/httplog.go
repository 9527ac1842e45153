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
	// readWait is how long the log may delay the response to a read that finds no entry.
	readWait = 2 * time.Second
	// initialReadWait replaces readWait in a read from offset 0. It is short, because a reader of an empty log learns only from
	// the response that it has read the log to its end.
	initialReadWait = 100 * time.Millisecond
	// callTimeout is the time limit of a call, not counting the time for which the server may delay the response.
	callTimeout = 5 * time.Second
	// maxResponseBytes bounds a response body in memory. It exceeds the size in base64 of the largest document that the
	// operators' API accepts, 16 MiB.
	maxResponseBytes = 32 << 20
	// maxErrorTextBytes is how much of the body of an error response goes into a StatusError.
	maxErrorTextBytes = 200
)

// UnsentError is the error of a call that failed before any byte was sent.
type UnsentError struct{ err error }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.err }

// NewUnsentError wraps err in an UnsentError. Implementations of Log use it for records that were certainly not appended, so
// that a claim can be refused as certainly not made.
func NewUnsentError(err error) error { return &UnsentError{err: err} }

// StatusError is the error of a call whose response has an HTTP status other than 200.
type StatusError struct {
	Status     int
	RetryAfter string
	Body       string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// ResponseTooLongError is the error of a call whose response body exceeds the limit. A read of fewer entries may succeed.
type ResponseTooLongError struct{ Limit int }

// Error implements error.
func (e *ResponseTooLongError) Error() string {
	return fmt.Sprintf("response is longer than %d bytes", e.Limit)
}

// HTTPOption sets an option of a client of a platform service.
type HTTPOption func(*httpClient)

// WithHTTPTimeout sets the time limit of one call, not counting the time for which the server may delay the response. The
// default is 5 s.
func WithHTTPTimeout(d time.Duration) HTTPOption {
	return func(c *httpClient) { c.timeout = d }
}

// WithResponseLimit sets the maximum size of a response body in bytes. The default is 32 MiB.
func WithResponseLimit(n int) HTTPOption {
	return func(c *httpClient) { c.responseLimit = n }
}

// httpClient sends requests with JSON bodies to one server. It opens a new connection for each call and never retries.
type httpClient struct {
	address       string
	timeout       time.Duration
	responseLimit int
}

func newHTTPClient(address string, opts []HTTPOption) *httpClient {
	c := &httpClient{address: address, timeout: callTimeout, responseLimit: maxResponseBytes}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// call sends one request with the JSON encoding of in, if any, and decodes the response body into out. wait is how long the
// server may delay the response. The error is an *UnsentError if no byte was sent.
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
			return NewUnsentError(errors.Wrap(err, "encode request"))
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}
	exchange, sent, err := http1.Do(ctx, c.address, nil, req, resp)
	if err != nil {
		if !sent {
			return NewUnsentError(err)
		}
		return err
	}
	data, err := exchange.ReadBody(resp, c.responseLimit)
	if errors.Is(err, http1.ErrBodyTooLong) {
		return &ResponseTooLongError{Limit: c.responseLimit}
	}
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		retryAfter := string(resp.Header.Peek(fasthttp.HeaderRetryAfter))
		return &StatusError{Status: status, RetryAfter: retryAfter, Body: string(data[:min(len(data), maxErrorTextBytes)])}
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode response")
}

// HTTPLog is the client of the platform's log.
type HTTPLog struct{ http *httpClient }

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns a client of the log at an IP address and port.
func NewHTTPLog(address string, opts ...HTTPOption) *HTTPLog {
	return &HTTPLog{http: newHTTPClient(address, opts)}
}

type wireAppendRequest struct {
	Records [][]byte `json:"records"`
}

type wireAppendResponse struct {
	Offset   uint64 `json:"offset"`
	Identity string `json:"identity"`
}

type wireEntry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type wireReadResponse struct {
	Entries  []wireEntry `json:"entries"`
	Earliest uint64      `json:"earliest"`
	Next     uint64      `json:"next"`
	Identity string      `json:"identity"`
}

// Append implements Log. After an error that is not an *UnsentError the records may have been appended.
func (l *HTTPLog) Append(ctx context.Context, records [][]byte) (uint64, error) {
	var out wireAppendResponse
	if err := l.http.call(ctx, fasthttp.MethodPost, "/log/append", 0, wireAppendRequest{Records: records}, &out); err != nil {
		return 0, errors.Wrap(err, "append to log")
	}
	return out.Offset, nil
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, from uint64, n int) (Batch, error) {
	wait := readWait
	if from == 0 {
		wait = initialReadWait
	}
	path := fmt.Sprintf("/log/read?from=%d&max=%d&waitMillis=%d", from, n, wait.Milliseconds())
	var out wireReadResponse
	if err := l.http.call(ctx, fasthttp.MethodGet, path, wait, nil, &out); err != nil {
		return Batch{}, errors.Wrap(err, "read log")
	}
	b := Batch{Earliest: out.Earliest, Next: out.Next, Identity: out.Identity, Entries: make([]Entry, len(out.Entries))}
	for i, e := range out.Entries {
		b.Entries[i] = Entry(e)
	}
	return b, nil
}
