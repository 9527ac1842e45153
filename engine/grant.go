package engine

import "time"

// Demand asks an endpoint's owner for a grant.
type Demand struct {
	ID           string        // grant ID, unique for each attempt
	Holder       string        // place of the VM that asks
	Customer     string        // for fair shares under contention
	PromptTokens int           // tokens to prefill
	CachedTokens int           // part of PromptTokens believed to be in the endpoint's prefix cache
	MaxTokens    int           // limit of the answer in tokens
	Priority     int           // contract priority, higher goes first
	Weight       int           // customer's share of the fleet under contention
	Slack        time.Duration // time left until the request has to start; the queue is ordered by it
	MaxWait      time.Duration // longest time to wait in the owner's queue
}

// Tokens returns the KV-cache memory to reserve, in tokens.
func (d Demand) Tokens() int { return d.PromptTokens + d.MaxTokens }

// GrantLifetime is the longest time between asking for a grant and sending the request, on the holder's monotonic clock.
const GrantLifetime = 2 * time.Second

// Grant permits its holder to send one request to one endpoint.
type Grant struct {
	ID       string // the demand's ID
	Endpoint string // endpoint name
	Holder   string // place of the VM that holds the grant
	Owner    string // place of the VM that gave the grant
	Demand   Demand
	Asked    time.Time // holder's time before it asked
}

// Valid says whether the grant may still be used for a send at now. It is checked immediately before the send.
func (g Grant) Valid(now time.Time) bool { return now.Sub(g.Asked) < GrantLifetime }
