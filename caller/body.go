package caller

import (
	"fmt"
	"io"
	"sync"
	"time"

	"goldcrestpath/customer"
)

const (
	// initialBufferBytes is the initial size of the buffer for a body. Memory is reserved for the bytes that arrive
	// and not for the declared Content-Length, so that a caller that declares a large body and sends nothing takes
	// little memory.
	initialBufferBytes = 64 << 10
	// memoryRetryAfter is roughly the time in which a running long request completes its prefill.
	memoryRetryAfter = time.Second
)

// bodyMemory limits the memory of all request bodies together.
//
// If a customer already has memory reserved for other requests, a further request gets memory only if the customer's
// total is then at most as large as the memory that remains free. This limits a customer that floods the VM to half of
// the memory, and k such customers together to k/(k+1) of it, and leaves the rest to other customers. A fixed share for each
// customer would leave memory unused that no other customer needs. A customer's only request may use all free memory.
type bodyMemory struct {
	limit int64

	mu         sync.Mutex
	used       int64            // reserved bytes of all requests
	byCustomer map[string]int64 // reserved bytes of each customer's requests
}

func newBodyMemory(limit int64) bodyMemory {
	return bodyMemory{limit: limit, byCustomer: map[string]int64{}}
}

// reservation is the memory reserved for one request.
type reservation struct {
	memory   *bodyMemory
	customer string
	bytes    int64
}

// newReservation returns an empty reservation for a request of the customer.
func (m *bodyMemory) newReservation(customer string) *reservation {
	return &reservation{memory: m, customer: customer}
}

// inUse returns the number of reserved bytes.
func (m *bodyMemory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// withinLimit reports whether n bytes fit when nothing else is reserved.
func (m *bodyMemory) withinLimit(n int) bool { return int64(n) <= m.limit }

// resize changes the reservation to n bytes. It changes nothing and returns false if the memory, or the customer's
// share of it, is used up.
func (r *reservation) resize(n int) bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	delta := int64(n) - r.bytes
	totalUsed, customerUsed := m.used+delta, m.byCustomer[r.customer]+delta
	otherRequests := customerUsed - int64(n) // bytes reserved for the customer's other requests
	if delta > 0 && (totalUsed > m.limit || (otherRequests > 0 && customerUsed > m.limit-totalUsed)) {
		return false
	}
	r.bytes, m.used, m.byCustomer[r.customer] = int64(n), totalUsed, customerUsed
	if customerUsed == 0 {
		delete(m.byCustomer, r.customer)
	}
	return true
}

func (r *reservation) release() { r.resize(0) }

// readBody reads the request body into a buffer of its own, which fasthttp does not reuse, and reserves the buffer's
// memory in mem.
func (x *exchange) readBody(mem *reservation) ([]byte, *customer.Refusal) {
	limit := x.server.bodyLimit
	contentLength := x.ctx.Request.Header.ContentLength()
	if contentLength > limit {
		return nil, x.bodyTooLargeRefusal()
	}
	stream := x.ctx.RequestBodyStream()
	if stream == nil {
		body := x.ctx.PostBody()
		if len(body) > limit {
			return nil, x.bodyTooLargeRefusal()
		}
		if !mem.resize(len(body)) {
			return nil, x.bodyMemoryRefusal(len(body))
		}
		return append([]byte(nil), body...), nil
	}
	// Without a declared length, one byte above the limit shows that the body is too large.
	maxBytes := limit + 1
	if contentLength >= 0 {
		maxBytes = contentLength
	}
	var body []byte
	for {
		if len(body) == cap(body) && len(body) < maxBytes {
			size := min(max(initialBufferBytes, 2*cap(body)), maxBytes)
			// The old and the new buffer exist at the same time while the bytes are copied.
			if !mem.resize(cap(body) + size) {
				return nil, x.bodyMemoryRefusal(cap(body) + size)
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
			mem.resize(size)
		}
		if len(body) == maxBytes && contentLength >= 0 {
			x.bodyConsumed = true
			return body, nil
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, x.bodyTooLargeRefusal()
		case err == io.EOF && (contentLength < 0 || len(body) == contentLength):
			x.bodyConsumed = true
			return body, nil
		case err != nil:
			x.bodyConsumed = true
			x.ctx.SetConnectionClose()
			return nil, customer.Refuse(customer.ReasonBadRequest, fmt.Sprintf("the body ended after %d bytes", len(body)))
		}
	}
}

// bodyTooLargeRefusal returns the refusal of a request whose body exceeds the size limit.
func (x *exchange) bodyTooLargeRefusal() *customer.Refusal {
	return customer.Refuse(customer.ReasonTooLarge, fmt.Sprintf("the body is longer than %d bytes", x.server.bodyLimit))
}

// bodyMemoryRefusal returns the refusal of a request for which that many bytes could not be reserved. It suggests a
// retry only if the bytes would fit without the reservations of other requests.
func (x *exchange) bodyMemoryRefusal(bytes int) *customer.Refusal {
	if !x.server.bodyMemory.withinLimit(bytes) {
		return customer.Refuse(customer.ReasonTooLarge,
			fmt.Sprintf("the body needs more than the %d bytes of memory for request bodies", x.server.bodyMemory.limit))
	}
	return customer.Refuse(customer.ReasonNotReady, "the memory for request bodies, or the customer's share of it, is used up",
		customer.RetryAfter(memoryRetryAfter))
}

// discardBody reads what the handler has left unread of the request body, up to the body limit. A connection that is
// closed with unread bytes is reset, and the caller may lose the response. If the body does not end within the limit,
// the connection is closed after the response.
func (x *exchange) discardBody() {
	stream := x.ctx.RequestBodyStream()
	if stream == nil || x.bodyConsumed {
		return
	}
	if _, err := io.CopyN(io.Discard, stream, int64(x.server.bodyLimit)); err != io.EOF {
		x.ctx.SetConnectionClose()
	}
}
