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

// maxKeyBytes bounds Idempotency-Key, which is kept in the platform's log.
const maxKeyBytes = 255

// hopByHop are the fields of one connection (RFC 9110, section 7.6.1). Content-Length follows from the body.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true,
}

// callService serves /services/{name}/... with rest behind the prefix.
func (x *exchange) callService(rest string) {
	contract, refusal := x.contract()
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	h := x.server.memory.hold(contract.Name())
	r, refusal := x.serviceRequest(contract, rest, h)
	if refusal != nil {
		h.release()
		x.refuse(refusal)
		return
	}
	ctx, _, stop := x.context(r.Deadline)
	defer stop()
	response, refusal := await(ctx, start(ctx, x.log, h, func() (*service.Response, error) {
		return x.server.router.Call(ctx, r)
	}))
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	x.pass(response)
	x.answered(r.Deadline)
}

// serviceRequest reads the call. The hold has the body's memory afterwards.
func (x *exchange) serviceRequest(contract *customer.Contract, rest string, h *hold) (*service.Request, *customer.Refusal) {
	name, path := rest, "/"
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		name, path = rest[:i], rest[i:]
	}
	if !contract.AllowsService(name) {
		return nil, customer.Refuse(customer.ReasonUnknownService,
			fmt.Sprintf("service %q is not allowed; %s", name, contract.Line("services")))
	}
	strict, refusal := x.strict()
	if refusal != nil {
		return nil, refusal
	}
	key := x.header(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, customer.Refuse(customer.ReasonBadRequest,
			fmt.Sprintf("header %s is longer than %d bytes", headerIdempotencyKey, maxKeyBytes))
	}
	body, refusal := x.readBody(h)
	if refusal != nil {
		return nil, refusal
	}
	// A plain service has no prompt; its calls are short.
	deadline, refusal := x.deadline(time.Now(), contract.Limits().Deadline(customer.Short))
	if refusal != nil {
		return nil, refusal
	}
	_, query := x.splitURI()
	return &service.Request{
		ID:       x.uniqueID,
		Customer: contract.Name(),
		Service:  name,
		Method:   string(x.ctx.Method()),
		Path:     path + query,
		Headers:  x.endToEndHeaders(),
		Body:     body,
		Key:      key,
		Strict:   strict,
		Deadline: deadline,
	}, nil
}

// strict reads the caller's wish not to repeat the call. Another value than true or false may be a mistyped true, so it is
// refused and not ignored.
func (x *exchange) strict() (bool, *customer.Refusal) {
	text := x.header(headerStrict)
	if text == "" {
		return false, nil
	}
	strict, err := strconv.ParseBool(strings.ToLower(text))
	if err != nil {
		return false, customer.Refuse(customer.ReasonBadRequest, fmt.Sprintf("header %s = %q has to be true or false", headerStrict, text))
	}
	return strict, nil
}

// endToEndHeaders returns the request's fields in order, without the hop-by-hop ones and without Authorization: it has the
// customer's API key, with which a plain service or its log could send requests as the customer.
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

func withoutHopByHop(headers []service.Header) []service.Header {
	named := map[string]bool{}
	for _, h := range headers {
		if !strings.EqualFold(h.Name, "Connection") {
			continue
		}
		for _, name := range strings.Split(h.Value, ",") {
			named[strings.ToLower(strings.TrimSpace(name))] = true
		}
	}
	kept := make([]service.Header, 0, len(headers))
	for _, h := range headers {
		if name := strings.ToLower(h.Name); !hopByHop[name] && !named[name] {
			kept = append(kept, h)
		}
	}
	return kept
}

// pass answers with the service's response. Only the request ID is the VM's own, since log lines have it.
func (x *exchange) pass(r *service.Response) {
	h := &x.ctx.Response.Header
	// setDate removes the other fields, so it goes first.
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
	// The length of an answer to HEAD is that of a body which is not sent.
	x.ctx.Response.SkipBody = true
	for _, field := range r.Headers {
		if n, err := strconv.Atoi(field.Value); err == nil && strings.EqualFold(field.Name, fasthttp.HeaderContentLength) {
			h.SetContentLength(n)
		}
	}
}
