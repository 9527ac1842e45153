package entry

import "time"

// Lessee holds leases on units of resources. It does no I/O and reads no clock: the caller passes the time, which
// must not go back.
//
// Invariant: it uses no lease later than BorrowerLease after it requested the lease, and no new lease earlier than
// NewShareWait after it received the lease.
type Lessee[K comparable] struct {
	timers   Timers
	sequence uint64
	leases   map[K]*heldLease
}

// heldLease is the state of the lease on one resource.
type heldLease struct {
	pending     map[uint64]time.Time // send times of unanswered requests, by sequence number
	ignoredUpTo uint64               // answers up to this sequence number are ignored
	applied     uint64               // sequence number of the newest applied answer
	units       int
	expires     time.Time
	startedAt   time.Time // when the wait for new shares began; before the receipt if the Origin shortens the wait
}

// NewLessee returns a lessee without leases.
func NewLessee[K comparable](t Timers) (*Lessee[K], error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	return &Lessee[K]{timers: t, leases: map[K]*heldLease{}}, nil
}

// Request returns a request for a new lease or a renewal. It must not be sent before now.
func (l *Lessee[K]) Request(now time.Time, key K, want int) LeaseRequest[K] {
	held := l.leases[key]
	if held == nil {
		held = &heldLease{pending: map[uint64]time.Time{}}
		l.leases[key] = held
	}
	for s, requestedAt := range held.pending {
		if now.Sub(requestedAt) >= l.timers.BorrowerLease {
			delete(held.pending, s)
		}
	}
	l.sequence++
	held.pending[l.sequence] = now
	return LeaseRequest[K]{Key: key, Sequence: l.sequence, Confirmed: held.applied, Want: want}
}

// Apply applies an answer that arrived at now. Late, duplicate and reordered answers have no effect.
func (l *Lessee[K]) Apply(now time.Time, lease Lease[K]) {
	held := l.leases[lease.Key]
	if held == nil || lease.Sequence <= held.ignoredUpTo {
		return
	}
	requestedAt, ok := held.pending[lease.Sequence]
	if !ok {
		return
	}
	delete(held.pending, lease.Sequence)
	expires := requestedAt.Add(l.timers.BorrowerLease)
	if !expires.After(now) {
		return
	}
	if !held.expires.After(now) || lease.Units > held.units {
		held.startedAt = now
		switch lease.Origin {
		case OriginFirst:
			held.startedAt = now.Add(-l.timers.NewShareWait)
		case OriginSole:
			held.startedAt = now.Add(-l.timers.GrantLifetime)
		}
	}
	held.ignoredUpTo, held.applied = lease.Sequence, lease.Sequence
	held.units, held.expires = lease.Units, expires
}

// Held returns the units under lease at now, whether they are usable yet or not.
func (l *Lessee[K]) Held(now time.Time, key K) int {
	if held := l.leases[key]; held != nil && held.expires.After(now) {
		return held.units
	}
	return 0
}

// Usable returns the units that may be used at now. The argument observed is the time at which the newest report on the
// work of earlier lessees was requested. Work that they permitted before this lease began is certainly visible only in a
// report that was requested after the wait for new shares. If no report is needed, observed is equal to now.
func (l *Lessee[K]) Usable(now, observed time.Time, key K) int {
	held := l.leases[key]
	if held == nil || !held.expires.After(now) || observed.Before(held.startedAt.Add(l.timers.NewShareWait)) {
		return 0
	}
	return held.units
}

// Expires returns when the lease ends, or the zero time without a lease.
func (l *Lessee[K]) Expires(key K) time.Time {
	if held := l.leases[key]; held != nil {
		return held.expires
	}
	return time.Time{}
}

// Release stops the use of a lease at once and returns the sequence number for [Lessor.Return]. It returns false if the
// lessee never requested the resource.
func (l *Lessee[K]) Release(key K) (sequence uint64, ok bool) {
	held := l.leases[key]
	if held == nil {
		return 0, false
	}
	// Answers to earlier requests then match no pending request and are ignored. Sequence numbers continue.
	delete(l.leases, key)
	l.sequence++
	return l.sequence, true
}
