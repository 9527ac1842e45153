package endpoint

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// lapseGrace is how long an endpoint whose entry lapsed while the platform's store was away stays in use after the store is
// back. The platform says that the entries of living endpoints return within about two seconds.
const lapseGrace = 2200 * time.Millisecond

// Fleet is one VM's view of the endpoints. It is safe for concurrent use.
type Fleet struct {
	mu                    sync.Mutex
	services              map[string]*Service
	members               map[string]*member
	byKey                 map[Key]*member
	pools                 map[string][]*member // members of each service in the order of their keys, never changed in place
	drained               map[string]bool      // data centres that operators took out
	reaches               map[string]*reach    // by data centre
	changed               map[Key]bool         // endpoints where this VM's load changed since TakeLoads
	waiters               map[*Waiter]bool     // long prompts of this VM that wait
	peerWaits             map[string]peerWaits // those of peers
	waitsChanged          bool                 // since TakeWaits
	rank, n               int                  // this VM's rank among n VMs
	coldFactor, coldExtra float64              // bound of a cold endpoint: its rate times the factor plus the extra
	dirty                 chan struct{}        // holds a token while changed is not empty
	next                  uint64               // number of the next placement
	wake                  chan struct{}        // closed when work ends or news of peers arrives
	random                func() float64
}

// member is one endpoint. Invariant: it is in members, byKey and its service's pool, or in none of them.
type member struct {
	entry     Entry
	key       Key
	own       map[uint64]*Work
	others    map[string]peerLoad // by peer
	health    health
	allowance allowance
	coldUntil time.Time
	suspect   time.Time // until when it is passed over because it refused to help
	reported  bool      // this VM found so
	goneAt    time.Time // when a lapsed entry counts as gone, zero while the entry stands
}

// FleetOption changes a Fleet.
type FleetOption func(*Fleet)

// WithRandom replaces the source of random numbers in [0, 1).
func WithRandom(random func() float64) FleetOption {
	return func(f *Fleet) { f.random = random }
}

// WithColdBound sets by how much the rate of a cold endpoint may be exceeded in a second.
func WithColdBound(factor, extra float64) FleetOption {
	return func(f *Fleet) { f.coldFactor, f.coldExtra = factor, extra }
}

// NewFleet returns a fleet without endpoints.
func NewFleet(opts ...FleetOption) *Fleet {
	f := &Fleet{
		services:   map[string]*Service{},
		members:    map[string]*member{},
		byKey:      map[Key]*member{},
		pools:      map[string][]*member{},
		drained:    map[string]bool{},
		reaches:    map[string]*reach{},
		changed:    map[Key]bool{},
		waiters:    map[*Waiter]bool{},
		peerWaits:  map[string]peerWaits{},
		n:          1,
		coldFactor: 1,
		wake:       make(chan struct{}),
		dirty:      make(chan struct{}, 1),
		random:     rand.Float64,
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// SetServices replaces the services of the configuration.
func (f *Fleet) SetServices(services map[string]*Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services = services
	f.wakeLocked()
}

// SetDrained replaces the data centres whose endpoints get nothing new.
func (f *Fleet) SetDrained(dataCentres map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = dataCentres
	f.wakeLocked()
}

// SetColdBound changes by how much the rate of a cold endpoint may be exceeded in a second.
func (f *Fleet) SetColdBound(factor, extra float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldFactor, f.coldExtra = factor, extra
}

// SetVMs sets this VM's rank among the n VMs of the deployment, which divide the bounds of cold endpoints.
func (f *Fleet) SetVMs(rank, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rank, f.n = rank, max(n, 1)
}

// Put takes over the entry of an endpoint. age is how long ago it was written. A new run of an endpoint starts without
// evidence; what was sent to the earlier run stays with it.
func (f *Fleet) Put(now time.Time, e Entry, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[e.ID]
	if m != nil && !m.entry.sameRun(&e) {
		f.removeLocked(m)
		m = nil
	}
	if m == nil {
		m = &member{key: KeyOf(e.ID), own: map[uint64]*Work{}, others: map[string]peerLoad{}}
		f.members[e.ID] = m
		f.byKey[m.key] = m
		pool := f.pools[e.Service]
		at, _ := slices.BinarySearchFunc(pool, m.key, func(m *member, key Key) int { return cmp.Compare(m.key, key) })
		f.pools[e.Service] = slices.Insert(slices.Clone(pool), at, m)
	}
	m.entry = e
	m.goneAt = time.Time{}
	m.coldUntil = time.Time{}
	if left := e.ColdRemaining - age; left > 0 {
		m.coldUntil = now.Add(left)
	}
	f.wakeLocked()
}

// Remove takes out an endpoint whose entry is gone. Where the store was away, the entry may only have lapsed, and the
// endpoint stays in use until the grace ends.
func (f *Fleet) Remove(now time.Time, id string, lapsed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	switch {
	case m == nil:
	case lapsed && !m.entry.Draining:
		if m.goneAt.IsZero() {
			m.goneAt = now.Add(lapseGrace)
		}
	default:
		f.removeLocked(m)
	}
}

// SetCold records an endpoint's own report that it stays cold for d.
func (f *Fleet) SetCold(now time.Time, id string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		m.coldUntil = now.Add(d)
	}
}

// IDs returns the endpoints that the fleet knows.
func (f *Fleet) IDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]string, 0, len(f.members))
	for id := range f.members {
		ids = append(ids, id)
	}
	return ids
}

// Len returns the number of endpoints.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members)
}

// Changed returns a channel that is closed at the next change that may make room.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wake
}

func (f *Fleet) wakeLocked() {
	close(f.wake)
	f.wake = make(chan struct{})
}

func (f *Fleet) removeLocked(m *member) {
	delete(f.members, m.entry.ID)
	delete(f.byKey, m.key)
	pool := f.pools[m.entry.Service]
	for i := range pool {
		if pool[i] == m {
			f.pools[m.entry.Service] = slices.Delete(slices.Clone(pool), i, i+1)
			break
		}
	}
	f.wakeLocked()
}

// expireLocked removes the endpoints whose grace after a lapsed entry has ended.
func (f *Fleet) expireLocked(now time.Time, service string) {
	for _, m := range f.pools[service] {
		if !m.goneAt.IsZero() && !now.Before(m.goneAt) {
			f.removeLocked(m)
		}
	}
}

// usable says whether a request may be sent to the endpoint, apart from room.
func (f *Fleet) usable(m *member, s *Service, now time.Time) bool {
	if m.entry.Draining || f.drained[m.entry.DataCentre] || !m.health.usable(now) || now.Before(m.suspect) {
		return false
	}
	if r := f.reaches[m.entry.DataCentre]; r != nil && !r.usable() {
		return false
	}
	if s == nil || s.ColdPerSecond <= 0 || !now.Before(m.coldUntil) {
		return true
	}
	return m.allowance.room(now, coldPart(s.ColdPerSecond*f.coldFactor+f.coldExtra, f.rank, f.n, m.key))
}

// manyVMs is the number of VMs above which they tell each other at once only of new work. The end of a read is predicted, and
// the end of a stream is told with the next heartbeat, which saves two thirds of the messages.
const manyVMs = 16

// touchLocked records that this VM's load on the endpoint changed. urgent is set for new work.
func (f *Fleet) touchLocked(m *member, urgent bool) {
	f.changed[m.key] = true
	if urgent || f.n <= manyVMs {
		f.signalLocked()
	}
}

// signalLocked makes the exchange with peers look for changes.
func (f *Fleet) signalLocked() {
	select {
	case f.dirty <- struct{}{}:
	default: // one token is enough
	}
}

// Dirty returns a channel that receives after this VM's load or its waiting prompts changed. TakeLoads and TakeWaits return
// the change.
func (f *Fleet) Dirty() <-chan struct{} { return f.dirty }

// noteLocked records what an attempt showed of an endpoint and of the way to it.
func (f *Fleet) noteLocked(m *member, now time.Time, o Outcome) {
	m.health.note(now, o)
	r := f.reaches[m.entry.DataCentre]
	if r == nil {
		r = &reach{}
		f.reaches[m.entry.DataCentre] = r
	}
	r.note(o)
}

// Unreachable returns an endpoint of each data centre that cannot be reached, to be probed.
func (f *Fleet) Unreachable() []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []Target
	for dataCentre, r := range f.reaches {
		if r.usable() {
			continue
		}
		var there []*member
		for _, m := range f.members {
			if m.entry.DataCentre == dataCentre {
				there = append(there, m)
			}
		}
		if len(there) == 0 {
			r.failed = 0
			continue
		}
		m := there[int(f.random()*float64(len(there)))]
		targets = append(targets, Target{ID: m.entry.ID, Address: m.entry.Address})
	}
	return targets
}

// Reached records that an endpoint accepted a connection, so that its data centre can be reached.
func (f *Fleet) Reached(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		delete(f.reaches, m.entry.DataCentre)
		f.wakeLocked()
	}
}

// Isolated says whether no endpoint that may be used can be reached.
func (f *Fleet) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := false
	for _, m := range f.members {
		if m.entry.Draining || f.drained[m.entry.DataCentre] {
			continue
		}
		r := f.reaches[m.entry.DataCentre]
		if r == nil || r.usable() {
			return false
		}
		cut = true
	}
	return cut
}
