package service

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"goldcrestpath/customer"
	"goldcrestpath/http1"
)

// verdictHeader is the response header with which an instance states that it refused a call before running it.
const verdictHeader = "Goldcrest-Verdict"

// defaultMaxResponse is the default limit for the length of a response in bytes. Responses are buffered in memory.
const defaultMaxResponse = 64 << 20

// Client calls plain services. It sends each call at most once.
type Client struct {
	maxResponse int
}

// ClientOption sets an optional property of a Client.
type ClientOption func(*Client)

// WithMaxResponse sets the maximum length of a response in bytes.
func WithMaxResponse(n int) ClientOption { return func(c *Client) { c.maxResponse = n } }

// NewClient returns a client.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{maxResponse: defaultMaxResponse}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Do makes one attempt at a call. The error is a *customer.Refusal.
func (c *Client) Do(ctx context.Context, s Spec, r *Request) (*Response, error) {
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	prepareRequest(req, s, r)
	a, sent, err := http1.Do(ctx, s.Address, nil, req, resp)
	if err != nil {
		return nil, attemptRefusal(ctx, sent, err)
	}
	defer a.Close()
	resp.Header.SetNoDefaultContentType(true) // without this, fasthttp adds a header that the instance did not send
	out := &Response{Status: resp.StatusCode()}
	refused := false
	for name, value := range resp.Header.All() {
		h := Header{Name: string(name), Value: string(value)}
		if strings.EqualFold(h.Name, verdictHeader) && h.Value == customer.NotRun.String() {
			refused = true
		}
		if !isHopByHop(h.Name) {
			out.Headers = append(out.Headers, h)
		}
	}
	if out.Status == fasthttp.StatusServiceUnavailable && refused {
		return nil, customer.Refuse(customer.ReasonEndpointRefused, s.Name+" refused the call before running it")
	}
	out.Body, err = a.ReadBody(resp, c.maxResponse)
	if errors.Is(err, http1.ErrBodyTooLong) {
		return nil, customer.Fail(customer.ReasonEndpointFailed, s.Name+" sent a response above "+strconv.Itoa(c.maxResponse)+" bytes")
	}
	if err != nil {
		return nil, attemptRefusal(ctx, true, err)
	}
	return out, nil
}

// prepareRequest copies r into req, except for hop-by-hop headers.
func prepareRequest(req *fasthttp.Request, s Spec, r *Request) {
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(r.Method)
	path := r.Path
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	req.SetRequestURI(path)
	req.Header.SetHost(s.Address)
	for _, h := range r.Headers {
		if !isHopByHop(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.SetBody(r.Body)
}

// isHopByHop reports whether a header must not be passed on, because it applies to a single connection or is set anew for each
// message.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding",
		"upgrade", "host", "content-length", "expect":
		return true
	}
	return false
}

// attemptRefusal converts the error of an attempt into a refusal.
func attemptRefusal(ctx context.Context, sent bool, err error) *customer.Refusal {
	reason := customer.ReasonEndpointFailed
	switch ctx.Err() {
	case context.DeadlineExceeded:
		reason = customer.ReasonDeadline
	case context.Canceled:
		reason = customer.ReasonCallerGone
	}
	if !sent {
		return customer.Refuse(reason, err.Error())
	}
	return customer.Fail(reason, err.Error())
}
