package entry

import "time"

// BorrowerID names one run of a borrowing VM. A restarted VM is another borrower and cannot use its predecessor's leases.
type BorrowerID struct {
	Place       string
	Incarnation uint64
}

// Ask is a borrower's request for units of a resource. Want is the whole amount that the borrower wants to hold.
type Ask[K comparable] struct {
	Key       K      `cbor:"1,keyasint"`
	Sequence  uint64 `cbor:"2,keyasint"` // rises with every request of a borrower
	Confirmed uint64 `cbor:"3,keyasint"` // newest answer that the borrower has applied; it uses no older one any more
	Want      int    `cbor:"4,keyasint"`
}

// Loan is a lender's answer to an Ask.
type Loan[K comparable] struct {
	Key      K      `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"` // of the Ask
	Units    int    `cbor:"3,keyasint"`
	Origin   Origin `cbor:"4,keyasint,omitempty"`
}

// Origin says what is known about earlier leases on lent units.
type Origin uint8

const (
	// OriginUnknown means that an earlier borrower may have permitted work up to now.
	OriginUnknown Origin = iota
	// OriginSole means that earlier borrowers ran at the lender's own place and are gone. What they permitted was sent before
	// now, but may not be visible yet.
	OriginSole
	// OriginFirst means that nobody has borrowed the units before.
	OriginFirst
)

// Lender lends units of resources to borrowers for a limited time. It is pure: the time is an argument and never goes back.
//
// Invariant: for each resource, the sum over all borrowers of the largest amount that each may still use under any answer
// that it was sent is at most the resource's total, but for a total that was lowered less than one lease ago.
type Lender[K comparable] struct {
	timers    Timers
	notBefore time.Time // lends nothing until then
	lastSeen  time.Time // last time that the lender was known to run
	origin    Origin
	pools     map[K]*pool
}

type pool struct {
	total     int
	notBefore time.Time
	lent      bool // may have been lent at some time
	borrowers map[BorrowerID]*debt
}

// debt is what one borrower may use of a pool.
type debt struct {
	sequence uint64 // newest request or return seen
	answers  []answer
}

type answer struct {
	sequence uint64
	units    int
	until    time.Time
}

// LenderOption sets an option of a Lender.
type LenderOption func(*lenderOptions)

type lenderOptions struct{ firstStart bool }

// FirstStart asserts that no process has lent the same resources before, so that there are no earlier leases to wait out.
func FirstStart() LenderOption { return func(o *lenderOptions) { o.firstStart = true } }

// NewLender returns a lender that starts at now and lends nothing for one lease, because it does not know what an earlier
// process at its place has lent.
func NewLender[K comparable](t Timers, now time.Time, opts ...LenderOption) (*Lender[K], error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	var o lenderOptions
	for _, opt := range opts {
		opt(&o)
	}
	l := &Lender[K]{timers: t, notBefore: now.Add(t.LenderLease), lastSeen: now, pools: map[K]*pool{}}
	if o.firstStart {
		l.begin(now, OriginFirst)
	}
	return l, nil
}

// BeginSole ends the wait after a start. It is called where this place is the only one that lends or borrows, so that
// every earlier lease ended with the earlier process.
func (l *Lender[K]) BeginSole(now time.Time) {
	if l.origin == OriginUnknown {
		l.begin(now, OriginSole)
	}
}

// BeginFirst ends the wait after a start. It is called where it became known that no process has lent the same resources
// before, and before this one has lent any.
func (l *Lender[K]) BeginFirst(now time.Time) { l.begin(now, OriginFirst) }

func (l *Lender[K]) begin(now time.Time, o Origin) { l.notBefore, l.origin = now, o }

// Wake tells the lender that it runs. It is called far more often than the pause limit. After a longer gap the lender's view
// of who is to borrow is old, and it lends nothing for one lease.
func (l *Lender[K]) Wake(now time.Time) {
	if now.Sub(l.lastSeen) > l.timers.PauseLimit {
		l.Suspend(now)
	}
	if now.After(l.lastSeen) {
		l.lastSeen = now
	}
}

// Suspend stops all lending for one lease.
func (l *Lender[K]) Suspend(now time.Time) {
	l.notBefore = now.Add(l.timers.LenderLease)
	l.origin = OriginUnknown
}

// SetTotal sets how many units of a resource the lender may lend. A resource that the lender did not lend until now is lent only after
// wait, in which leases of its former lender run out.
func (l *Lender[K]) SetTotal(now time.Time, key K, total int, wait time.Duration) {
	p := l.pools[key]
	if p == nil {
		p = &pool{borrowers: map[BorrowerID]*debt{}}
		l.pools[key] = p
	}
	if p.total == 0 {
		p.notBefore, p.lent = now.Add(wait), p.lent || wait > 0
	}
	p.total = total
}

// Retain drops the resources that keep refuses and that have no lease left. A dropped resource that still has leases stays
// with a total of 0.
func (l *Lender[K]) Retain(now time.Time, keep func(K) bool) {
	for key, p := range l.pools {
		if keep(key) {
			continue
		}
		p.total = 0
		if p.outstanding(now, BorrowerID{}) == 0 {
			delete(l.pools, key)
		}
	}
}

// Lend answers a request. It reports false where nothing is lent: the lender waits after a start or a pause, the resource is
// unknown, no unit is free, or the request is late or a duplicate.
func (l *Lender[K]) Lend(now time.Time, who BorrowerID, a Ask[K]) (Loan[K], bool) {
	l.Wake(now)
	p := l.pools[a.Key]
	if p == nil || now.Before(l.notBefore) || now.Before(p.notBefore) || a.Want <= 0 {
		return Loan[K]{}, false
	}
	d := p.borrowers[who]
	if d == nil {
		d = &debt{}
	}
	if a.Sequence <= d.sequence {
		return Loan[K]{}, false
	}
	units := min(a.Want, p.total-p.outstanding(now, who))
	if units <= 0 {
		return Loan[K]{}, false
	}
	p.borrowers[who] = d
	d.sequence = a.Sequence
	// The borrower may not receive this answer. Older answers that it may still use count until they expire, unless it
	// confirmed a newer one.
	d.drop(func(x answer) bool { return !x.until.After(now) || x.sequence < a.Confirmed })
	d.answers = append(d.answers, answer{a.Sequence, units, now.Add(l.timers.LenderLease)})
	loan := Loan[K]{Key: a.Key, Sequence: a.Sequence, Units: units}
	if !p.lent {
		loan.Origin = l.origin
	}
	p.lent = true
	return loan, true
}

// Return ends a borrower's lease before its time. Sequence is higher than every request that the borrower made before.
func (l *Lender[K]) Return(now time.Time, who BorrowerID, key K, sequence uint64) {
	l.Wake(now)
	p := l.pools[key]
	if p == nil || p.borrowers[who] == nil {
		return
	}
	d := p.borrowers[who]
	d.drop(func(x answer) bool { return x.sequence < sequence })
	d.sequence = max(d.sequence, sequence)
}

// Lent returns how many units of a resource may be in use at now.
func (l *Lender[K]) Lent(now time.Time, key K) int {
	if p := l.pools[key]; p != nil {
		return p.outstanding(now, BorrowerID{})
	}
	return 0
}

// LentTo returns how many units of a resource one borrower may use at now.
func (l *Lender[K]) LentTo(now time.Time, key K, who BorrowerID) int {
	if p := l.pools[key]; p != nil && p.borrowers[who] != nil {
		return p.borrowers[who].units(now)
	}
	return 0
}

// outstanding returns the units that borrowers other than except may use, and forgets borrowers whose leases have ended. A
// request of a forgotten borrower that arrives late is answered, but the borrower no longer uses so old an answer.
func (p *pool) outstanding(now time.Time, except BorrowerID) int {
	sum := 0
	for who, d := range p.borrowers {
		if who == except {
			continue
		}
		n := d.units(now)
		if n == 0 && len(d.answers) > 0 {
			delete(p.borrowers, who)
		}
		sum += n
	}
	return sum
}

// units returns the largest amount that the borrower may use under any answer.
func (d *debt) units(now time.Time) int {
	n := 0
	for _, a := range d.answers {
		if a.until.After(now) {
			n = max(n, a.units)
		}
	}
	return n
}

func (d *debt) drop(when func(answer) bool) {
	kept := d.answers[:0]
	for _, a := range d.answers {
		if !when(a) {
			kept = append(kept, a)
		}
	}
	d.answers = kept
}
