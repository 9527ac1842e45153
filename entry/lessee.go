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
func (b *Lessee[K]) Request(now time.Time, key K, want int) LeaseRequest[K] {
	l := b.leases[key]
	if l == nil {
		l = &heldLease{pending: map[uint64]time.Time{}}
		b.leases[key] = l
	}
	for s, requestedAt := range l.pending {
		if now.Sub(requestedAt) >= b.timers.BorrowerLease {
			delete(l.pending, s)
		}
	}
	b.sequence++
	l.pending[b.sequence] = now
	return LeaseRequest[K]{Key: key, Sequence: b.sequence, Confirmed: l.applied, Want: want}
}

// Apply applies an answer that arrived at now. Late, duplicate and reordered answers have no effect.
func (b *Lessee[K]) Apply(now time.Time, lease Lease[K]) {
	l := b.leases[lease.Key]
	if l == nil || lease.Sequence <= l.ignoredUpTo {
		return
	}
	requestedAt, ok := l.pending[lease.Sequence]
	if !ok {
		return
	}
	delete(l.pending, lease.Sequence)
	expires := requestedAt.Add(b.timers.BorrowerLease)
	if !expires.After(now) {
		return
	}
	if !l.expires.After(now) || lease.Units > l.units {
		l.startedAt = now
		switch lease.Origin {
		case OriginFirst:
			l.startedAt = now.Add(-b.timers.NewShareWait)
		case OriginSole:
			l.startedAt = now.Add(-b.timers.GrantLifetime)
		}
	}
	l.ignoredUpTo, l.applied = lease.Sequence, lease.Sequence
	l.units, l.expires = lease.Units, expires
}

// Held returns the units under lease at now, whether they are usable yet or not.
func (b *Lessee[K]) Held(now time.Time, key K) int {
	if l := b.leases[key]; l != nil && l.expires.After(now) {
		return l.units
	}
	return 0
}

// Usable returns the units that may be used at now. The argument observed is the time at which the newest report on the
// work of earlier lessees was requested. Work that they permitted before this lease began is certainly visible only in a
// report that was requested after the wait for new shares. If no report is needed, observed is equal to now.
func (b *Lessee[K]) Usable(now, observed time.Time, key K) int {
	l := b.leases[key]
	if l == nil || !l.expires.After(now) || observed.Before(l.startedAt.Add(b.timers.NewShareWait)) {
		return 0
	}
	return l.units
}

// Expires returns when the lease ends, or the zero time without a lease.
func (b *Lessee[K]) Expires(key K) time.Time {
	if l := b.leases[key]; l != nil {
		return l.expires
	}
	return time.Time{}
}

// Release stops the use of a lease at once and returns the sequence number for [Lessor.Return]. It returns false if the
// lessee never requested the resource.
func (b *Lessee[K]) Release(key K) (sequence uint64, ok bool) {
	l := b.leases[key]
	if l == nil {
		return 0, false
	}
	// Answers to earlier requests then match no pending request and are ignored. Sequence numbers continue.
	delete(b.leases, key)
	b.sequence++
	return b.sequence, true
}
