package entry

import "time"

// LesseeID identifies one process of a VM that holds leases. A restarted VM is a different lessee and cannot use its
// predecessor's leases.
type LesseeID struct {
	VMName      string
	Incarnation uint64
}

// LeaseRequest is a lessee's request for units of a resource. Want is the total that the lessee wants to hold.
type LeaseRequest[K comparable] struct {
	Key       K      `cbor:"1,keyasint"`
	Sequence  uint64 `cbor:"2,keyasint"` // increases with every request of a lessee
	Confirmed uint64 `cbor:"3,keyasint"` // newest answer that the lessee has applied; it no longer uses older answers
	Want      int    `cbor:"4,keyasint"`
}

// Lease is a lessor's answer to a [LeaseRequest].
type Lease[K comparable] struct {
	Key      K      `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"` // of the request
	Units    int    `cbor:"3,keyasint"`
	Origin   Origin `cbor:"4,keyasint,omitempty"`
}

// Origin describes what is known about earlier leases on the leased units.
type Origin uint8

const (
	// OriginUnknown means that an earlier lessee may have permitted work up to now.
	OriginUnknown Origin = iota
	// OriginSole means that all earlier lessees had the lessor's own VM name and have stopped. They sent all work that
	// they permitted before now, but it may not be visible in reports yet.
	OriginSole
	// OriginFirst means that the units were never leased before.
	OriginFirst
)

// Lessor leases units of resources to lessees for a limited time. It does no I/O and reads no clock: the caller passes
// the time, which must not go back.
//
// Invariant: for each resource, take the largest amount that each lessee may still use under any answer sent to it. The
// sum of these amounts over all lessees is at most the resource's total, except for one lease period after the total
// was lowered.
type Lessor[K comparable] struct {
	timers    Timers
	notBefore time.Time // no lease is granted before this time
	lastRun   time.Time // when the lessor last recorded that it was running
	origin    Origin
	pools     map[K]*pool
}

// pool is the state of one resource.
type pool struct {
	total      int
	notBefore  time.Time
	everLeased bool // may have been leased before
	lessees    map[LesseeID]*lesseeState
}

// lesseeState tracks what one lessee may use of a pool.
type lesseeState struct {
	sequence uint64 // newest request or return received
	issued   []issuedLease
}

// issuedLease is one answer that was sent to a lessee.
type issuedLease struct {
	sequence uint64
	units    int
	expires  time.Time
}

// LessorOption sets an option of a [Lessor].
type LessorOption func(*lessorOptions)

type lessorOptions struct{ firstStart bool }

// FirstStart asserts that no process has leased out the same resources before, so that there are no earlier leases to
// wait for.
func FirstStart() LessorOption { return func(o *lessorOptions) { o.firstStart = true } }

// NewLessor returns a lessor that starts at now. It grants no lease for one lease period, because it does not know
// which leases an earlier process with the same VM name granted.
func NewLessor[K comparable](t Timers, now time.Time, opts ...LessorOption) (*Lessor[K], error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	var o lessorOptions
	for _, opt := range opts {
		opt(&o)
	}
	l := &Lessor[K]{timers: t, notBefore: now.Add(t.LenderLease), lastRun: now, pools: map[K]*pool{}}
	if o.firstStart {
		l.startLeasing(now, OriginFirst)
	}
	return l, nil
}

// BeginAsSoleVM ends the wait after a start. It may be called only if this VM is the only lessor and the only lessee, because
// every earlier lease then ended with the earlier process.
func (l *Lessor[K]) BeginAsSoleVM(now time.Time) {
	if l.origin == OriginUnknown {
		l.startLeasing(now, OriginSole)
	}
}

// BeginWithoutPredecessor ends the wait after a start. It may be called only if no process has leased out the same resources before,
// and before this lessor has granted a lease.
func (l *Lessor[K]) BeginWithoutPredecessor(now time.Time) { l.startLeasing(now, OriginFirst) }

// startLeasing allows leases from now on. Units that were never leased get the given origin.
func (l *Lessor[K]) startLeasing(now time.Time, o Origin) { l.notBefore, l.origin = now, o }

// RecordRunning records that the lessor is running. It must be called at intervals far shorter than the pause limit. After a longer
// pause the lessor's view of which VM is to hold a lease is outdated, so it grants no lease for one lease period.
func (l *Lessor[K]) RecordRunning(now time.Time) {
	if now.Sub(l.lastRun) > l.timers.PauseLimit {
		l.Suspend(now)
	}
	if now.After(l.lastRun) {
		l.lastRun = now
	}
}

// Suspend stops the granting of leases for one lease period.
func (l *Lessor[K]) Suspend(now time.Time) {
	l.notBefore = now.Add(l.timers.LenderLease)
	l.origin = OriginUnknown
}

// SetLeasableUnits sets how many units of a resource the lessor may lease out. A resource whose total was 0 until now is leased
// only after wait, in which the leases of its former lessor expire.
func (l *Lessor[K]) SetLeasableUnits(now time.Time, key K, total int, wait time.Duration) {
	p := l.pools[key]
	if p == nil {
		p = &pool{lessees: map[LesseeID]*lesseeState{}}
		l.pools[key] = p
	}
	if p.total == 0 {
		p.notBefore, p.everLeased = now.Add(wait), p.everLeased || wait > 0
	}
	p.total = total
}

// Retain removes the resources for which keep returns false and that have no lease left. A resource that still has
// leases stays with a total of 0 until they expire.
func (l *Lessor[K]) Retain(now time.Time, keep func(K) bool) {
	for key, p := range l.pools {
		if keep(key) {
			continue
		}
		p.total = 0
		if p.outstanding(now, LesseeID{}) == 0 {
			delete(l.pools, key)
		}
	}
}

// Lease answers a request. It returns false if nothing is leased: the lessor is waiting after a start or a pause, the
// resource is unknown, no unit is available, or the request is late or a duplicate.
func (l *Lessor[K]) Lease(now time.Time, lessee LesseeID, req LeaseRequest[K]) (Lease[K], bool) {
	l.RecordRunning(now)
	p := l.pools[req.Key]
	if p == nil || now.Before(l.notBefore) || now.Before(p.notBefore) || req.Want <= 0 {
		return Lease[K]{}, false
	}
	state := p.lessees[lessee]
	if state == nil {
		state = &lesseeState{}
	}
	if req.Sequence <= state.sequence {
		return Lease[K]{}, false
	}
	units := min(req.Want, p.total-p.outstanding(now, lessee))
	if units <= 0 {
		return Lease[K]{}, false
	}
	p.lessees[lessee] = state
	state.sequence = req.Sequence
	// The lessee may not receive this answer. Older answers that it may still use are counted until they expire, unless
	// it confirmed a newer one.
	state.discard(func(x issuedLease) bool { return !x.expires.After(now) || x.sequence < req.Confirmed })
	state.issued = append(state.issued, issuedLease{req.Sequence, units, now.Add(l.timers.LenderLease)})
	lease := Lease[K]{Key: req.Key, Sequence: req.Sequence, Units: units}
	if !p.everLeased {
		lease.Origin = l.origin
	}
	p.everLeased = true
	return lease, true
}

// Return ends a lease early. Sequence must be higher than that of every earlier request of the lessee.
func (l *Lessor[K]) Return(now time.Time, lessee LesseeID, key K, sequence uint64) {
	l.RecordRunning(now)
	p := l.pools[key]
	if p == nil || p.lessees[lessee] == nil {
		return
	}
	state := p.lessees[lessee]
	state.discard(func(x issuedLease) bool { return x.sequence < sequence })
	state.sequence = max(state.sequence, sequence)
}

// Leased returns how many units of a resource may be in use at now.
func (l *Lessor[K]) Leased(now time.Time, key K) int {
	if p := l.pools[key]; p != nil {
		return p.outstanding(now, LesseeID{})
	}
	return 0
}

// LeasedTo returns how many units of a resource one lessee may use at now.
func (l *Lessor[K]) LeasedTo(now time.Time, key K, lessee LesseeID) int {
	if p := l.pools[key]; p != nil && p.lessees[lessee] != nil {
		return p.lessees[lessee].units(now)
	}
	return 0
}

// outstanding returns the units that lessees other than except may use, and removes lessees whose leases have expired.
// Without the sequence numbers of a removed lessee, a late request of it is answered, but the lessee ignores an answer to
// such an old request.
func (p *pool) outstanding(now time.Time, except LesseeID) int {
	sum := 0
	for lessee, state := range p.lessees {
		if lessee == except {
			continue
		}
		units := state.units(now)
		if units == 0 && len(state.issued) > 0 {
			delete(p.lessees, lessee)
		}
		sum += units
	}
	return sum
}

// units returns the largest amount that the lessee may use under any answer.
func (state *lesseeState) units(now time.Time) int {
	n := 0
	for _, lease := range state.issued {
		if lease.expires.After(now) {
			n = max(n, lease.units)
		}
	}
	return n
}

// discard removes the answers for which when returns true.
func (state *lesseeState) discard(when func(issuedLease) bool) {
	kept := state.issued[:0]
	for _, lease := range state.issued {
		if !when(lease) {
			kept = append(kept, lease)
		}
	}
	state.issued = kept
}
