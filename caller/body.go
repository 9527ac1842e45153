package caller

import (
	"fmt"
	"io"
	"sync"
	"time"

	"goldcrestpath/customer"
)

const (
	// bodyStep is the first size of a body's buffer. Memory is held as bytes arrive and not as Content-Length declares, so
	// that a caller that declares much and sends nothing holds little.
	bodyStep = 64 << 10
	// memoryRetryAfter is in the order of the time in which a running long request ends its prefill.
	memoryRetryAfter = time.Second
)

// memory bounds the bytes of all request bodies together.
//
// A customer's further requests take memory only while the customer holds at most as much as is free afterwards. So a customer
// that floods the VM stops at half of the memory, k of them together at k/(k+1), and other customers find the rest. A fixed
// part for each customer would leave memory unused that nobody else wants. A customer's only request may use all that is free.
type memory struct {
	limit int64

	mu         sync.Mutex
	used       int64
	byCustomer map[string]int64
}

func newMemory(limit int64) memory { return memory{limit: limit, byCustomer: map[string]int64{}} }

// hold is the memory that one request takes.
type hold struct {
	memory   *memory
	customer string
	bytes    int64
}

func (m *memory) hold(customer string) *hold { return &hold{memory: m, customer: customer} }

// inUse returns the bytes that are held.
func (m *memory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// possible says whether n bytes fit where nothing else is held.
func (m *memory) possible(n int) bool { return int64(n) <= m.limit }

// resize changes what is held to n bytes, or changes nothing and returns false where the memory or the customer's part of it
// is used up.
func (h *hold) resize(n int) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	delta := int64(n) - h.bytes
	used, own := m.used+delta, m.byCustomer[h.customer]+delta
	others := own - int64(n) // what the customer's other requests hold
	if delta > 0 && (used > m.limit || (others > 0 && own > m.limit-used)) {
		return false
	}
	h.bytes, m.used, m.byCustomer[h.customer] = int64(n), used, own
	if own == 0 {
		delete(m.byCustomer, h.customer)
	}
	return true
}

func (h *hold) release() { h.resize(0) }

// readBody reads the request's body into memory of its own, which fasthttp does not use again.
func (x *exchange) readBody(h *hold) ([]byte, *customer.Refusal) {
	limit := x.server.bodyLimit
	declared := x.ctx.Request.Header.ContentLength()
	if declared > limit {
		return nil, x.tooLarge()
	}
	stream := x.ctx.RequestBodyStream()
	if stream == nil {
		body := x.ctx.PostBody()
		if len(body) > limit {
			return nil, x.tooLarge()
		}
		if !h.resize(len(body)) {
			return nil, x.noMemory(len(body))
		}
		return append([]byte(nil), body...), nil
	}
	// One byte over the limit shows that the body is too large.
	most := limit + 1
	if declared >= 0 {
		most = declared
	}
	var body []byte
	for {
		if len(body) == cap(body) && len(body) < most {
			size := min(max(bodyStep, 2*cap(body)), most)
			// The old and the new buffer exist together while the bytes are copied.
			if !h.resize(cap(body) + size) {
				return nil, x.noMemory(cap(body) + size)
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
			h.resize(size)
		}
		if len(body) == most && declared >= 0 {
			x.bodyEnded = true
			return body, nil
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, x.tooLarge()
		case err == io.EOF && (declared < 0 || len(body) == declared):
			x.bodyEnded = true
			return body, nil
		case err != nil:
			x.bodyEnded = true
			x.ctx.SetConnectionClose()
			return nil, customer.Refuse(customer.ReasonBadRequest, fmt.Sprintf("the body ended after %d bytes", len(body)))
		}
	}
}

func (x *exchange) tooLarge() *customer.Refusal {
	return customer.Refuse(customer.ReasonTooLarge, fmt.Sprintf("the body is longer than %d bytes", x.server.bodyLimit))
}

// noMemory refuses a request that needs so many bytes. Waiting helps only where others hold the memory.
func (x *exchange) noMemory(bytes int) *customer.Refusal {
	if !x.server.memory.possible(bytes) {
		return customer.Refuse(customer.ReasonTooLarge,
			fmt.Sprintf("the body needs more than the %d bytes of memory for request bodies", x.server.memory.limit))
	}
	return customer.Refuse(customer.ReasonNotReady, "the memory for request bodies is used up, or the customer's part of it",
		customer.RetryAfter(memoryRetryAfter))
}

// dropBody reads a bounded rest of a body that the handler has not read to its end, because a connection that is closed with
// unread bytes is reset and the caller may lose the answer. The connection stays open where that was all.
func (x *exchange) dropBody() {
	stream := x.ctx.RequestBodyStream()
	if stream == nil || x.bodyEnded {
		return
	}
	if _, err := io.CopyN(io.Discard, stream, int64(x.server.bodyLimit)); err != io.EOF {
		x.ctx.SetConnectionClose()
	}
}
