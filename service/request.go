package service

import (
	"context"
	"time"
)

// Header is one HTTP header. Lists of headers keep their order and repeated names.
type Header struct {
	Name, Value string
}

// Request is one call to a plain service.
type Request struct {
	ID             string // unique request ID
	Customer       string
	Service        string // service name from the configuration
	Method         string
	Path           string // path and query below /services/{name}
	Headers        []Header
	Body           []byte
	IdempotencyKey string    // value of Idempotency-Key, or ""
	NeverRetry     bool      // the caller forbids repeating the call, whatever the configuration says
	Deadline       time.Time // when the request must have ended according to the contract
}

// Response is the response of a plain service.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Caller calls plain services. The error of Call is a *customer.Refusal.
type Caller interface {
	Call(ctx context.Context, r *Request) (*Response, error)
}
