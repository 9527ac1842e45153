package endpoint

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Fleet is one VM's view of the endpoints. It is safe for concurrent use.
type Fleet struct {
	mu                        sync.Mutex
	services                  map[string]*Service
	members                   map[string]*member
	byKey                     map[Key]*member
	pools                     map[string][]*member          // members of each service in order of their keys; copied on change
	drained                   map[string]bool               // data centres drained by operators
	reachability              map[string]*reachability      // by data centre
	changedLoads              map[Key]bool                  // endpoints whose load from this VM changed since TakeLoads
	waiters                   map[*Waiter]bool              // long prompts of this VM that wait for engines
	peerWaitingPrompts        map[string]peerWaitingPrompts // waiting prompts of peers, by VM name
	waitingPromptsChanged     bool                          // waiters changed since TakeWaitingPrompts
	rank, vms                 int                           // position of this VM among the VMs of its cell, and their number; 0 if unknown
	cells                     cells                         // division of a large deployment
	spareSlots                int                           // see WithSpareSlots, 0 if not set
	weighDataCentres          bool                          // see WithDataCentreWeighing
	delays                    map[[2]string]time.Duration   // one-way delays between data centres, of all services
	departures                map[departureKey]*Departures  // requests of this VM that left its data centre
	leaveReasons              []LeaveReason                 // why work left since the VM last began to send it away
	sendingUntil              time.Time                     // until when it counts as sending work away
	oldSummaries              bool                          // the last prompt that looked for another cell found only summaries that are too old
	viewAge                   time.Duration                 // mean time from a selection at a peer to the arrival of its load
	newestSent                map[string]time.Time          // send time of the newest request of each peer
	lastHeard                 time.Time                     // when a peer last reported its loads or waiting prompts
	enginesIn                 map[string]int                // endpoints of services with engines, by data centre
	coldFactor, coldAllowance float64                       // rate limit of a cold endpoint: its rate times the factor plus the allowance
	stateChanged              chan struct{}                 // holds a token after a change that peers should learn of
	left                      map[run]time.Time             // runs of endpoints that are leaving, and when they said so to this VM
	lastSelectionNumber       uint64                        // number of the newest selection
	capacityChanged           chan struct{}                 // closed and replaced when an endpoint may have become available
	random                    func() float64                // returns numbers in [0, 1)
	paces                     paces                         // paces of engines and flapping endpoints
	scarcity                  map[scarcityKey]*scarcity     // of watched services, in this VM's cell and others that it uses
	shares                    *Shares                       // nil if customers have no fair shares
	explainRandom             func() float64                // random numbers of explanations, so that they take none from random
	trace                     *trace                        // set only in the copy of a fleet that explains a selection
	sizes                     sizes                         // placements of long prompts by size
	paths                     lostPaths                     // paths that this VM has lost
}

// member is one endpoint of a fleet. Invariant: it is in members, byKey and the pool of its service, or in none of them.
type member struct {
	entry       Entry
	key         Key
	cell        Cell
	ownWork     map[uint64]*Work    // this VM's requests there, by selection number
	peerLoads   map[string]peerLoad // by VM name of the peer
	health      health
	coldLimiter coldLimiter
	coldUntil   time.Time // end of the cold phase
	// returnColdUntil is until when it counts as cold because its data centre has returned to service.
	returnColdUntil time.Time
	suspectUntil    time.Time   // end of the time for which it is not selected because it refused to help
	selfReported    bool        // the refusal was received by this VM, not reported by a peer
	removeAt        time.Time   // until when it is used without an entry, zero if it has one
	pausedUntil     time.Time   // end of the time for which it asked this VM to send nothing
	leaving         bool        // its run is stopping, as it said in an answer to this VM or a peer
	leavingSince    time.Time   // when it told this VM, zero if a peer reported it
	pace            *enginePace // nil before the first sample or report
	refusedAt       time.Time   // when it last refused a request of this VM as full
}

// FleetOption configures a Fleet.
type FleetOption func(*Fleet)

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) FleetOption {
	return func(f *Fleet) { f.random = random }
}

// WithColdBound sets the initial limit of requests per second to a cold endpoint, as SetColdBound does.
func WithColdBound(factor, allowance float64) FleetOption {
	return func(f *Fleet) { f.coldFactor, f.coldAllowance = factor, allowance }
}

// NewFleet returns a fleet without endpoints.
func NewFleet(opts ...FleetOption) *Fleet {
	f := &Fleet{
		services:           map[string]*Service{},
		members:            map[string]*member{},
		byKey:              map[Key]*member{},
		pools:              map[string][]*member{},
		drained:            map[string]bool{},
		reachability:       map[string]*reachability{},
		changedLoads:       map[Key]bool{},
		waiters:            map[*Waiter]bool{},
		peerWaitingPrompts: map[string]peerWaitingPrompts{},
		enginesIn:          map[string]int{},
		scarcity:           map[scarcityKey]*scarcity{},
		newestSent:         map[string]time.Time{},
		left:               map[run]time.Time{},
		departures:         map[departureKey]*Departures{},
		sizes:              newSizes(),
		paths:              newLostPaths(),
		cells: cells{
			joined: map[Cell]*joinedCell{}, summaries: map[summaryKey]receivedSummary{}, own: map[string]receivedSummary{},
		},
		vms:             1,
		coldFactor:      1,
		capacityChanged: make(chan struct{}),
		stateChanged:    make(chan struct{}, 1),
		random:          rand.Float64,
		explainRandom:   rand.Float64,
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
	f.delays = map[[2]string]time.Duration{}
	for _, s := range services {
		if s.Engine != nil {
			maps.Copy(f.delays, s.Engine.Delays)
		}
	}
	f.countEnginesLocked()
	f.notifyCapacityLocked()
}

// SetDrained replaces the set of data centres whose endpoints get no new requests. An endpoint can have become cold while it got none, and
// says so only in its next record, so the endpoints of a data centre that returns count as cold for returnCold.
func (f *Fleet) SetDrained(now time.Time, dataCentres map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if f.drained[m.entry.DataCentre] && !dataCentres[m.entry.DataCentre] {
			m.returnColdUntil = now.Add(returnCold)
		}
	}
	f.drained = dataCentres
	f.notifyCapacityLocked()
}

// SetColdBound sets the limit of requests per second to a cold endpoint to its configured rate times factor, plus allowance.
func (f *Fleet) SetColdBound(factor, allowance float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldFactor, f.coldAllowance = factor, allowance
}

// SetVMs sets this VM's position, rank, among the n VMs of its cell, which share the limits of its cold endpoints. n is 0
// while their number is unknown.
func (f *Fleet) SetVMs(rank, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rank, f.vms = rank, n
}

// SetEntry adds or updates the entry of an endpoint. age is how long ago the entry was written. A new run of an endpoint starts
// without recorded outcomes or load. Requests that were sent to the earlier run do not count against the new one.
func (f *Fleet) SetEntry(now time.Time, e Entry, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[e.ID]
	if m != nil && (!m.entry.sameRun(&e) || m.entry.DataCentre != e.DataCentre) {
		f.removeLocked(m)
		m = nil
	}
	if m == nil {
		m = &member{key: KeyOf(e.ID), ownWork: map[uint64]*Work{}, peerLoads: map[string]peerLoad{}}
		f.members[e.ID] = m
		f.byKey[m.key] = m
		pool := f.pools[e.Service]
		i, _ := slices.BinarySearchFunc(pool, m.key, func(m *member, key Key) int { return cmp.Compare(m.key, key) })
		f.pools[e.Service] = slices.Insert(slices.Clone(pool), i, m)
		m.entry = e
		f.appearedLocked(now, e.ID)
		if f.isEngineLocked(m) {
			f.addEnginesLocked(e.DataCentre, 1)
		}
		f.assignCellLocked(m)
	}
	m.entry = e
	if !m.removeAt.IsZero() {
		f.appearedLocked(now, e.ID)
	}
	if since, ok := f.left[runOf(&e)]; ok {
		m.leaving, m.leavingSince = true, since
	}
	m.removeAt = time.Time{}
	m.coldUntil = time.Time{}
	if left := e.ColdRemaining - age; left > 0 {
		m.coldUntil = now.Add(left)
	}
	f.notifyCapacityLocked()
}

// Remove removes an endpoint whose entry was deleted. If keepUntil is set, the entry may have expired only because the store was
// unavailable, and the endpoint stays in use until then unless it is draining.
func (f *Fleet) Remove(id string, keepUntil time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	switch {
	case m == nil:
	case keepUntil.IsZero() || m.entry.Draining:
		f.removeLocked(m)
	case keepUntil.After(m.removeAt):
		m.removeAt = keepUntil
	}
}

// DropLapsed removes the endpoints that are kept in use without an entry.
func (f *Fleet) DropLapsed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if !m.removeAt.IsZero() {
			f.removeLocked(m)
		}
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

// IDs returns the IDs of the known endpoints.
func (f *Fleet) IDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]string, 0, len(f.members))
	for id := range f.members {
		ids = append(ids, id)
	}
	return ids
}

// Len returns the number of known endpoints.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members)
}

// CapacityChanged returns a channel that is closed at the next change after which an endpoint may accept a request.
func (f *Fleet) CapacityChanged() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.capacityChanged
}

// notifyCapacityLocked closes the channel returned by CapacityChanged and replaces it.
func (f *Fleet) notifyCapacityLocked() {
	close(f.capacityChanged)
	f.capacityChanged = make(chan struct{})
}

// removeLocked removes an endpoint from all indexes.
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
	if f.isEngineLocked(m) {
		f.addEnginesLocked(m.entry.DataCentre, -1)
	}
	f.notifyCapacityLocked()
}

// removeExpiredLocked removes the endpoints of a service whose entries lapsed and did not return in time.
func (f *Fleet) removeExpiredLocked(now time.Time, service string) {
	for _, m := range f.pools[service] {
		if !m.removeAt.IsZero() && !now.Before(m.removeAt) {
			f.removeLocked(m)
		}
	}
}

// usable reports whether a request may be sent to the endpoint, regardless of its free capacity.
func (f *Fleet) usable(m *member, s *Service, now time.Time) bool {
	return f.unusableReason(m, s, now) == ""
}

// unusableReason returns why no request may be sent to the endpoint, or "" if it is usable.
func (f *Fleet) unusableReason(m *member, s *Service, now time.Time) string {
	switch {
	case m.entry.Draining:
		return "draining"
	case m.leaving:
		return "leaving"
	case f.drained[m.entry.DataCentre]:
		return "dataCentreDrained"
	case now.Before(m.health.retryAt):
		return "backoff"
	case !m.health.usable(now):
		return "probing"
	case now.Before(m.suspectUntil):
		return "suspect"
	case now.Before(m.pausedUntil):
		return "paused"
	}
	if r := f.reachability[m.entry.DataCentre]; r != nil && !r.usable() {
		return "dataCentreUnreachable"
	}
	if f.onProbation(now, m) && m.hasRequests(now, f.loadTTL()) {
		return "probation"
	}
	if !f.isCold(m, s, now) {
		return ""
	}
	// The VMs of its own cell share the whole limit.
	if m.cell != f.cells.home || !m.coldLimiter.allows(now, coldQuota(s.ColdRateLimit*f.coldFactor+f.coldAllowance, f.rank, f.vms, m.key)) {
		return "coldLimit"
	}
	return ""
}

// loadTTL returns how long a peer's report counts.
func (f *Fleet) loadTTL() time.Duration { return peerLoadTTL * time.Duration(ReportRounds(f.vms)) }

// maxEagerVMs is the number of VMs up to which the end of a prefill is sent to peers at once. With more VMs, peers predict it and learn
// of it from the next heartbeat, which saves a third of the messages.
const maxEagerVMs = 16

// markChangedLocked records that this VM's load on the endpoint changed. urgent is set unless peers can predict the change.
func (f *Fleet) markChangedLocked(m *member, urgent bool) {
	f.changedLoads[m.key] = true
	if urgent || f.vms <= maxEagerVMs {
		f.signalStateChangedLocked()
	}
}

// signalStateChangedLocked wakes the exchange with peers through the channel returned by StateChanged.
func (f *Fleet) signalStateChangedLocked() {
	select {
	case f.stateChanged <- struct{}{}:
	default: // one token is enough
	}
}

// StateChanged returns a channel that receives after this VM's load, waiting prompts or suspects changed. TakeLoads, TakeWaitingPrompts
// and Suspects return the new values.
func (f *Fleet) StateChanged() <-chan struct{} { return f.stateChanged }

// recordOutcomeLocked records the outcome of an attempt for the endpoint and for the network path to its data centre.
func (f *Fleet) recordOutcomeLocked(m *member, now time.Time, o Outcome) {
	f.judgeLocked(now, m, o)
	m.health.record(now, o)
	if o == Refused {
		m.refusedAt = now
	}
	r := f.reachability[m.entry.DataCentre]
	if r == nil {
		r = &reachability{}
		f.reachability[m.entry.DataCentre] = r
	}
	r.record(o)
}

// ProbeTargets returns the endpoints to which connections should be tried: one in each data centre that counts as unreachable, chosen at random,
// and some to which paths are lost.
func (f *Fleet) ProbeTargets() []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := f.lostPathTargetsLocked()
	for dataCentre, r := range f.reachability {
		if r.usable() {
			continue
		}
		var inDataCentre []*member
		for _, m := range f.members {
			if m.entry.DataCentre == dataCentre {
				inDataCentre = append(inDataCentre, m)
			}
		}
		if len(inDataCentre) == 0 {
			r.failedConnections = 0
			continue
		}
		m := inDataCentre[int(f.random()*float64(len(inDataCentre)))]
		targets = append(targets, Target{ID: m.entry.ID, Address: m.entry.Address})
	}
	return targets
}

// MarkReachable records that an endpoint accepted a connection of this VM, so its data centre is reachable.
func (f *Fleet) MarkReachable(id string) {
	f.RecordConnected(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		delete(f.reachability, m.entry.DataCentre)
		f.notifyCapacityLocked()
	}
}

// Isolated reports whether no endpoint in use is in a reachable data centre. It returns false if there are no endpoints in use.
func (f *Fleet) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	unreachable := false
	for _, m := range f.members {
		if m.entry.Draining || f.drained[m.entry.DataCentre] {
			continue
		}
		r := f.reachability[m.entry.DataCentre]
		if r == nil || r.usable() {
			return false
		}
		unreachable = true
	}
	return unreachable
}
