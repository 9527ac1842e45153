package engine

import (
	"time"

	"goldcrestpath/customer"
)

// Ledger keeps what one endpoint has promised.
type Ledger struct {
	spec          Spec
	usable, total int
	held          map[string]Demand
	tokens        int
	reported      bool
}

// LedgerOption sets an optional property of a Ledger.
type LedgerOption func(*Ledger)

// NewLedger returns the ledger of an endpoint of which no share is usable yet.
func NewLedger(spec Spec, now time.Time, opts ...LedgerOption) *Ledger {
	l := &Ledger{spec: spec, held: make(map[string]Demand)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetShares sets how many of the endpoint's shares are lent to the owner.
func (l *Ledger) SetShares(now time.Time, usable, total int) { l.usable, l.total = usable, total }

// Observe applies an endpoint's report. Before the first one, every demand is refused.
func (l *Ledger) Observe(now time.Time, r Report) { l.reported = true }

// Ask decides on a demand.
func (l *Ledger) Ask(now time.Time, d Demand) Decision {
	if !l.reported || l.total == 0 || l.tokens+d.Tokens() > l.spec.KVTokens*l.usable/l.total || len(l.held) >= l.spec.Sequences {
		return Refused{Demand: d, Refusal: customer.Refuse(customer.ReasonShare, "the shares lent to the owner leave no room")}
	}
	l.held[d.ID] = d
	l.tokens += d.Tokens()
	return Granted{Grant: Grant{ID: d.ID, Endpoint: l.spec.Name, Holder: d.Holder, Demand: d}}
}

// Next returns decisions on queued demands that can be made at now.
func (l *Ledger) Next(now time.Time) []Decision { return nil }

// Withdraw removes a queued demand or an unused grant.
func (l *Ledger) Withdraw(now time.Time, id string) { l.Release(now, id, Result{}) }

// Register counts a grant in use after a change of owner.
func (l *Ledger) Register(now time.Time, g Grant) {
	if _, ok := l.held[g.ID]; !ok {
		l.held[g.ID] = g.Demand
		l.tokens += g.Demand.Tokens()
	}
}

// Release frees what a grant holds. A second call does nothing.
func (l *Ledger) Release(now time.Time, id string, r Result) {
	if d, ok := l.held[id]; ok {
		delete(l.held, id)
		l.tokens -= d.Tokens()
	}
}

// ReleaseHolder frees all grants of a holder after its streams were cancelled.
func (l *Ledger) ReleaseHolder(now time.Time, holder string) {
	for id, d := range l.held {
		if d.Holder == holder {
			l.Release(now, id, Result{})
		}
	}
}

// Load returns a summary for endpoint selection.
func (l *Ledger) Load() Load {
	return Load{FreeTokens: l.spec.KVTokens - l.tokens, FreeSequences: l.spec.Sequences - len(l.held), Running: len(l.held)}
}
