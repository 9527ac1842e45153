package caller

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestpath/customer"
	"goldcrestpath/service"
)

const servicesPrefix = "/services/"

// maxIdempotencyKeyBytes limits Idempotency-Key, because the key is stored in the platform's log.
const maxIdempotencyKeyBytes = 255

// hopByHop lists the header fields that apply to a single connection (RFC 9110, section 7.6.1), in lower case.
// Content-Length is among them because it is derived from the body.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true,
}

// callService serves /services/{name}/..., where rest is the path after /services/.
func (x *exchange) callService(rest string) {
	contract, refusal := x.contract()
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	mem := x.server.bodyMemory.newReservation(contract.Name())
	r, refusal := x.serviceRequest(contract, rest, mem)
	if refusal != nil {
		mem.release()
		x.refuse(refusal)
		return
	}
	ctx, _, stop := x.requestContext(r.Deadline)
	defer stop()
	response, refusal := await(ctx, startCall(ctx, x.log, mem, func() (*service.Response, error) {
		return x.server.router.Call(ctx, r)
	}))
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	x.writeServiceResponse(response)
	x.recordAnswer(r.Deadline)
}

// serviceRequest reads the request and builds the call of the service. On success, mem has been reduced to the memory
// of the body.
func (x *exchange) serviceRequest(contract *customer.Contract, rest string, mem *reservation) (*service.Request, *customer.Refusal) {
	name, path := rest, "/"
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		name, path = rest[:i], rest[i:]
	}
	if !contract.AllowsService(name) {
		return nil, customer.Refuse(customer.ReasonUnknownService,
			fmt.Sprintf("service %q is not allowed; %s", name, contract.DescribeSetting("services")))
	}
	neverRetry, refusal := x.neverRetry()
	if refusal != nil {
		return nil, refusal
	}
	key := x.header(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return nil, customer.Refuse(customer.ReasonBadRequest,
			fmt.Sprintf("header %s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes))
	}
	body, refusal := x.readBody(mem)
	if refusal != nil {
		return nil, refusal
	}
	// A call of a plain service has no prompt and is short, so it gets the deadline of short prompts.
	deadline, refusal := x.deadline(time.Now(), contract.Limits().Deadline(customer.Short))
	if refusal != nil {
		return nil, refusal
	}
	_, query := x.splitURI()
	return &service.Request{
		ID:             x.uniqueID,
		Customer:       contract.Name(),
		Service:        name,
		Method:         string(x.ctx.Method()),
		Path:           path + query,
		Headers:        x.endToEndHeaders(),
		Body:           body,
		IdempotencyKey: key,
		NeverRetry:     neverRetry,
		Deadline:       deadline,
	}, nil
}

// neverRetry reports whether the caller asks that the call never be repeated. A value other than true or false may be a
// mistyped true, so it is refused rather than ignored.
func (x *exchange) neverRetry() (bool, *customer.Refusal) {
	text := x.header(headerStrict)
	if text == "" {
		return false, nil
	}
	neverRetry, err := strconv.ParseBool(strings.ToLower(text))
	if err != nil {
		return false, customer.Refuse(customer.ReasonBadRequest, fmt.Sprintf("header %s = %q has to be true or false", headerStrict, text))
	}
	return neverRetry, nil
}

// endToEndHeaders returns the request's header fields in order, without the hop-by-hop fields and without
// Authorization. Authorization contains the customer's API key, with which a plain service, or anyone who reads its
// log, could send requests as the customer.
func (x *exchange) endToEndHeaders() []service.Header {
	var headers []service.Header
	for k, v := range x.ctx.Request.Header.AllInOrder() {
		if strings.EqualFold(string(k), headerAuthorization) {
			continue
		}
		headers = append(headers, service.Header{Name: string(k), Value: string(v)})
	}
	return withoutHopByHop(headers)
}

// withoutHopByHop returns the fields that are neither hop-by-hop nor named in a Connection field.
func withoutHopByHop(headers []service.Header) []service.Header {
	connectionFields := map[string]bool{}
	for _, h := range headers {
		if !strings.EqualFold(h.Name, "Connection") {
			continue
		}
		for _, name := range strings.Split(h.Value, ",") {
			connectionFields[strings.ToLower(strings.TrimSpace(name))] = true
		}
	}
	kept := make([]service.Header, 0, len(headers))
	for _, h := range headers {
		if name := strings.ToLower(h.Name); !hopByHop[name] && !connectionFields[name] {
			kept = append(kept, h)
		}
	}
	return kept
}

// writeServiceResponse answers with the service's response, without its hop-by-hop fields. X-Request-Id stays the
// VM's own request ID, which log lines contain.
func (x *exchange) writeServiceResponse(r *service.Response) {
	h := &x.ctx.Response.Header
	// setDate removes all other fields, so the date is set first.
	for _, field := range r.Headers {
		if strings.EqualFold(field.Name, fasthttp.HeaderDate) {
			setDate(h, field.Value)
			h.Set(headerRequestID, x.id)
		}
	}
	x.ctx.SetStatusCode(r.Status)
	for _, field := range withoutHopByHop(r.Headers) {
		if !strings.EqualFold(field.Name, headerRequestID) && !strings.EqualFold(field.Name, fasthttp.HeaderDate) {
			h.Add(field.Name, field.Value)
		}
	}
	if string(x.ctx.Method()) != fasthttp.MethodHead {
		x.ctx.Response.SetBodyRaw(r.Body)
		return
	}
	// The Content-Length of a response to HEAD is the length of the body that GET would get.
	x.ctx.Response.SkipBody = true
	for _, field := range r.Headers {
		if n, err := strconv.Atoi(field.Value); err == nil && strings.EqualFold(field.Name, fasthttp.HeaderContentLength) {
			h.SetContentLength(n)
		}
	}
}
