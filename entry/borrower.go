package entry

import "time"

// Borrower holds leases on units of resources. It is pure: the time is an argument and never goes back.
//
// Invariant: it uses no lease later than BorrowerLease after it asked for it, and no lease that is new to it earlier than
// NewShareWait after it received it.
type Borrower[K comparable] struct {
	timers   Timers
	sequence uint64
	leases   map[K]*lease
}

type lease struct {
	asked   map[uint64]time.Time // requests without an answer, by sequence number
	floor   uint64               // answers up to this sequence number are ignored
	applied uint64               // newest answer in use
	units   int
	until   time.Time
	since   time.Time // when the lease was new
}

// NewBorrower returns a borrower without leases.
func NewBorrower[K comparable](t Timers) (*Borrower[K], error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	return &Borrower[K]{timers: t, leases: map[K]*lease{}}, nil
}

// Ask returns a request that is sent at now or later. It is called again to renew.
func (b *Borrower[K]) Ask(now time.Time, key K, want int) Ask[K] {
	l := b.leases[key]
	if l == nil {
		l = &lease{asked: map[uint64]time.Time{}}
		b.leases[key] = l
	}
	for s, at := range l.asked {
		if now.Sub(at) >= b.timers.BorrowerLease {
			delete(l.asked, s)
		}
	}
	b.sequence++
	l.asked[b.sequence] = now
	return Ask[K]{Key: key, Sequence: b.sequence, Confirmed: l.applied, Want: want}
}

// Lent applies an answer that arrived at now. Late, duplicate and reordered answers change nothing.
func (b *Borrower[K]) Lent(now time.Time, loan Loan[K]) {
	l := b.leases[loan.Key]
	if l == nil || loan.Sequence <= l.floor {
		return
	}
	asked, ok := l.asked[loan.Sequence]
	if !ok {
		return
	}
	delete(l.asked, loan.Sequence)
	until := asked.Add(b.timers.BorrowerLease)
	if !until.After(now) {
		return
	}
	if !l.until.After(now) || loan.Units > l.units {
		l.since = now
		switch loan.Origin {
		case OriginFirst:
			l.since = now.Add(-b.timers.NewShareWait)
		case OriginSole:
			l.since = now.Add(-b.timers.GrantLifetime)
		}
	}
	l.floor, l.applied = loan.Sequence, loan.Sequence
	l.units, l.until = loan.Units, until
}

// Held returns the units under lease at now, usable or not.
func (b *Borrower[K]) Held(now time.Time, key K) int {
	if l := b.leases[key]; l != nil && l.until.After(now) {
		return l.units
	}
	return 0
}

// Usable returns the units that may be used at now. Observed is when the newest information about earlier borrowers' work was
// asked for: work that was permitted before the lease was new is visible in it only after the wait. Where nothing has to be
// observed, it is now.
func (b *Borrower[K]) Usable(now, observed time.Time, key K) int {
	l := b.leases[key]
	if l == nil || !l.until.After(now) || observed.Before(l.since.Add(b.timers.NewShareWait)) {
		return 0
	}
	return l.units
}

// Expires returns when the lease ends.
func (b *Borrower[K]) Expires(key K) time.Time {
	if l := b.leases[key]; l != nil {
		return l.until
	}
	return time.Time{}
}

// Release stops the use of a lease at once and returns the sequence number for [Lender.Return]. It reports false where the
// borrower never asked for the resource.
func (b *Borrower[K]) Release(key K) (sequence uint64, ok bool) {
	l := b.leases[key]
	if l == nil {
		return 0, false
	}
	// The entry goes, so answers to earlier requests find no request that they belong to. Sequence numbers continue.
	delete(b.leases, key)
	b.sequence++
	return b.sequence, true
}
