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

// Granted reserves memory and a sequence for the demand.
type Granted struct {
	Grant      Grant     // without Asked, which only the holder knows
	FirstToken time.Time // predicted end of the prefill
	End        time.Time // predicted end of the answer
}

// Queued means that the demand waits; Ledger.Next decides on it later.
type Queued struct {
	Demand Demand
	Start  time.Time // predicted start of its prefill
}

// Refused means that the demand gets no grant and is not queued.
type Refused struct {
	Demand  Demand
	Refusal *customer.Refusal // verdict notRun
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
