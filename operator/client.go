package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"goldcrestpath/http1"
	"goldcrestpath/oplog"
)

// clientTimeout bounds one call of a client. It exceeds the server's limit, so that the server's error arrives first.
const clientTimeout = callTimeout + 5*time.Second

// maxResponseBytes bounds a response body in memory. A history contains several documents in base64.
const maxResponseBytes = 256 << 20

// APIError is an error response of the operators' API for which there is no more specific error type.
type APIError struct {
	Status  int
	Code    string
	Message string
	current uint64 // current revision of the document if the error is a conflict, otherwise 0
}

// Error implements error.
func (e *APIError) Error() string {
	return fmt.Sprintf("%s (status %d): %s", e.Code, e.Status, e.Message)
}

// Client calls the operators' API of one VM. It does not retry calls.
type Client struct {
	address string
	token   string
	opts    []http1.Option
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithTLS makes the client use TLS.
func WithTLS(cfg *tls.Config) ClientOption {
	return func(c *Client) { c.opts = append(c.opts, http1.WithTLS(cfg)) }
}

// NewClient returns a client of the API at the given IP address and port.
func NewClient(address, token string, opts ...ClientOption) *Client {
	c := &Client{address: address, token: token}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close releases the client. It does nothing, because each call opens and closes its own connection.
func (c *Client) Close() {}

// call sends one request and decodes the JSON response into out.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	data, err := c.roundTrip(ctx, method, path, body)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode response")
}

// roundTrip sends one request and returns the body of a successful response. An error response becomes an *APIError or
// customer.Problems.
func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(c.address)
	req.Header.Set(fasthttp.HeaderAuthorization, bearerPrefix+c.token)
	req.SetBodyRaw(body)
	exchange, _, err := http1.Do(ctx, c.address, nil, req, resp, c.opts...)
	if err != nil {
		return nil, err
	}
	data, err := exchange.ReadBody(resp, maxResponseBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	status := resp.StatusCode()
	if status == fasthttp.StatusOK {
		return data, nil
	}
	var e wireError
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, &APIError{Status: status, Code: codeBadRequest, Message: strings.TrimSpace(string(data))}
	}
	if e.Code == codeProblems {
		return nil, e.Problems
	}
	return nil, &APIError{Status: status, Code: e.Code, Message: e.Message, current: e.Current}
}

// Publish publishes a document and returns its new revision. The error is a *oplog.ConflictError if base is not the current
// revision, and of type customer.Problems if the content is invalid.
func (c *Client) Publish(ctx context.Context, document string, base uint64, content []byte) (uint64, error) {
	var out wireRevision
	err := c.call(ctx, fasthttp.MethodPut, fmt.Sprintf("/documents/%s?base=%d", escapePath(document), base), content, &out)
	var e *APIError
	if errors.As(err, &e) && e.Code == codeConflict {
		return 0, &oplog.ConflictError{Document: document, Base: base, Current: e.current}
	}
	return out.Revision, err
}

// Document returns the newest revision of a document.
func (c *Client) Document(ctx context.Context, document string) (oplog.Document, error) {
	var out wireDocument
	err := c.call(ctx, fasthttp.MethodGet, "/documents/"+escapePath(document), nil, &out)
	return out.document(), err
}

// escapePath escapes a name for use in a URL path. Slashes are not escaped.
func escapePath(name string) string { return (&url.URL{Path: name}).EscapedPath() }

func (w wireDocument) document() oplog.Document {
	return oplog.Document{Name: w.Name, Revision: w.Revision, Offset: w.Offset, Time: w.Time, Content: w.Content}
}

// Documents returns the newest revision of every document, without content.
func (c *Client) Documents(ctx context.Context) ([]oplog.Document, error) {
	return c.list(ctx, "/documents")
}

// History returns the revisions of a document that the VM has read, oldest first.
func (c *Client) History(ctx context.Context, document string) ([]oplog.Document, error) {
	return c.list(ctx, "/history/"+escapePath(document))
}

// list requests a list of documents.
func (c *Client) list(ctx context.Context, path string) ([]oplog.Document, error) {
	var out []wireDocument
	if err := c.call(ctx, fasthttp.MethodGet, path, nil, &out); err != nil {
		return nil, err
	}
	list := make([]oplog.Document, len(out))
	for i, w := range out {
		list[i] = w.document()
	}
	return list, nil
}

// SetDrain sets or clears the drain of a data centre, a VM or an endpoint.
func (c *Client) SetDrain(ctx context.Context, target string, drained bool) (DrainStatus, error) {
	body, err := json.Marshal(wireDrain{Drained: drained})
	if err != nil {
		return DrainStatus{}, err
	}
	var out DrainStatus
	err = c.call(ctx, fasthttp.MethodPut, "/drains/"+escapePath(target), body, &out)
	return out, err
}

// Status returns the state of the VM and its view of other VMs, endpoints and data centres.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, fasthttp.MethodGet, "/status", nil, &out)
	return out, err
}

// Metrics returns the VM's metrics in the Prometheus text format.
func (c *Client) Metrics(ctx context.Context) ([]byte, error) {
	return c.roundTrip(ctx, fasthttp.MethodGet, "/metrics", nil)
}
