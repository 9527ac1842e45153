package engine

import "time"

// GrantRequest is a request to an endpoint's owner for a grant to send one completion.
type GrantRequest struct {
	ID           string        // grant ID, unique for each attempt
	Holder       string        // name of the VM that will hold the grant
	Customer     string        // customer whose fair share the request counts against
	PromptTokens int           // length of the prompt in tokens
	CachedTokens int           // tokens of PromptTokens that the endpoint's prefix cache is believed to have
	MaxTokens    int           // maximum length of the answer in tokens
	Priority     int           // contract priority; requests with a higher one are granted first
	Weight       int           // customer's weight for fair sharing under contention
	StartWithin  time.Duration // time within which the request has to start; queued requests of equal priority are ordered by the end of that time
	MaxWait      time.Duration // longest time that the request may wait in the owner's queue
}

// Tokens returns the KV cache memory to reserve, in tokens.
func (r GrantRequest) Tokens() int { return r.PromptTokens + r.MaxTokens }

// GrantLifetime is the longest time from requesting a grant to sending the completion, on the holder's monotonic clock.
const GrantLifetime = 2 * time.Second

// Grant permits its holder to send one completion to one endpoint.
type Grant struct {
	ID          string // ID of the grant request
	Endpoint    string // endpoint name
	Holder      string // name of the VM that holds the grant
	Owner       string // name of the VM that issued the grant
	Request     GrantRequest
	RequestedAt time.Time // time on the holder's clock just before it requested the grant
}

// Valid reports whether the completion may still be sent under the grant at now. It is checked immediately before the send.
func (g Grant) Valid(now time.Time) bool { return now.Sub(g.RequestedAt) < GrantLifetime }
