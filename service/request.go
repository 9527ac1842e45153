package service

import (
	"context"
	"time"
)

// Header is one HTTP header field. Order and repeated fields are kept.
type Header struct {
	Name, Value string
}

// Request is one call of a plain service.
type Request struct {
	ID       string // unique request ID
	Customer string
	Service  string // service name from the configuration
	Method   string
	Path     string // path and query below /services/{name}
	Headers  []Header
	Body     []byte
	Key      string    // Idempotency-Key, or ""
	Strict   bool      // the caller asks not to repeat the call whatever the configuration says
	Deadline time.Time // end of the time that the contract gives the request
}

// Response is a service's answer.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Caller calls a plain service. Any error is a *customer.Refusal.
type Caller interface {
	Call(ctx context.Context, r *Request) (*Response, error)
}
