package engine

import (
	"time"

	"goldcrestpath/customer"
)

// Decision is the ledger's answer to a demand: Granted, Queued or Refused.
type Decision interface {
	// ID returns the demand's ID.
	ID() string
	decision()
}

// Granted means that the ledger has reserved memory and a batch slot for the demand.
type Granted struct {
	Grant      Grant     // without Asked, which only the holder can set
	PrefillEnd time.Time // when the prefill is predicted to end
	End        time.Time // when the answer is predicted to end
}

// Queued means that the demand waits in the ledger's queue; Ledger.Next decides on it later.
type Queued struct {
	Demand         GrantRequest
	PredictedStart time.Time // when its prefill is predicted to start
}

// Refused means that the demand gets no grant and is not queued.
type Refused struct {
	Demand  GrantRequest
	Refusal *customer.Refusal // its verdict is notRun
}

// ID returns the grant's ID.
func (g Granted) ID() string { return g.Grant.ID }

// ID returns the demand's ID.
func (q Queued) ID() string { return q.Demand.ID }

// ID returns the demand's ID.
func (r Refused) ID() string { return r.Demand.ID }

func (Granted) decision() {}
func (Queued) decision()  {}
func (Refused) decision() {}
