package engine

import (
	"time"

	"goldcrestpath/customer"
)

// Decision is the ledger's decision on a grant request: Granted, Queued or Refused.
type Decision interface {
	// ID returns the ID of the grant request.
	ID() string
	decision()
}

// Granted means that the ledger has reserved memory and a batch slot for the request.
type Granted struct {
	Grant        Grant     // without RequestedAt, which only the holder can set
	PrefillEnd   time.Time // when the prefill is predicted to end
	PredictedEnd time.Time // when the answer is predicted to end
}

// Queued means that the request waits in the ledger's queue. [Ledger.ProcessQueue] decides on it later.
type Queued struct {
	Request        GrantRequest
	PredictedStart time.Time // when the prefill is predicted to start
}

// Refused means that the request gets no grant and is not queued.
type Refused struct {
	Request GrantRequest
	Refusal *customer.Refusal // its verdict is notRun
}

// ID returns the grant's ID.
func (g Granted) ID() string { return g.Grant.ID }

// ID returns the ID of the grant request.
func (q Queued) ID() string { return q.Request.ID }

// ID returns the ID of the grant request.
func (r Refused) ID() string { return r.Request.ID }

func (Granted) decision() {}
func (Queued) decision()  {}
func (Refused) decision() {}
