package endpoint

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"goldcrestpath/customer"
)

// Explanation states what a selection would decide now and from which inputs.
type Explanation struct {
	Service string
	// Cells are the cells in the order in which the selection tried them. A plain service has one element.
	Cells        []ExplainedCell
	First        *Target  // endpoint that would receive the request, nil if the request is refused or has to wait
	Helpers      []Target // engines that would prefill segments of the prompt too
	ExpectedTTFT time.Duration
	LeaveReason  LeaveReason       // why First is in another data centre than this VM
	Refusal      *customer.Refusal // nil if First is set
	Scarce       bool              // the capacity for the service is scarce in this VM's cell
	GivesWay     bool              // the prompt gives way to more urgent ones
	Exceeds      bool              // the customer exceeds its share of scarce capacity
	Joins        []Cell            // cells that the VM would join, where it places no request until it knows their loads
	VMs          int               // VMs of the cell, 0 if unknown
	HeardAge     time.Duration     // time since a peer last reported loads or waiting prompts, negative if none did
}

// ExplainedCell holds what a selection saw in one cell.
type ExplainedCell struct {
	Cell       Cell
	Candidates []Candidate       // in the order in which the selection considers them, followed by those that it may not use
	Waiting    int               // prompts that wait for the engines
	SummaryAge time.Duration     // age of the summary by which a cell other than the home cell was chosen, else 0
	Refusal    *customer.Refusal // nil if the cell serves the request
}

// Candidate is an endpoint with the inputs of a selection.
type Candidate struct {
	ID         string
	DataCentre string
	Unusable   string // reason why no request may be sent there, "" if it is usable

	Running        int
	Slots          int
	FreeTokens     int           // free KV cache tokens, 0 for a plain service
	Backlog        time.Duration // predicted time until all prefills there have ended
	PendingPrefill time.Duration // prefills that are not recorded as done
	StepTime       time.Duration // duration of a step without prefills
	Pace           float64       // factor by which prefills are slower than configured, 1 if as configured
	Slow           bool          // counts as slow
	Cold           bool          // its rate of requests is limited because it is cold
	FailureRate    float64       // moving average of failed outcomes, 0 if all succeeded
	LoadAge        time.Duration // age of the newest load report of a peer, negative if there is none

	Score    time.Duration // score among engines, lower is better, 0 if the order alone decided
	Cost     float64       // cost of an instance of a plain service as a share of its slots, lower is better, +Inf if it is full
	Crossing time.Duration // part of Score that is due to the delay between data centres
	LeftOut  bool          // not considered because of the paces of the candidates
	Chosen   bool          // the first endpoint or a helper
}

// WithExplainRandom sets the source of random numbers in [0, 1) for explanations, which take none from that of WithRandom.
func WithExplainRandom(random func() float64) FleetOption {
	return func(f *Fleet) { f.explainRandom = random }
}

// Explain returns what SelectForGeneration would decide for a prompt now. It runs the same selection on a copy of the fleet and changes
// nothing in the fleet. Where a selection draws random numbers, the copy draws its own, so a selection can choose another one of
// nearly equal engines.
func (f *Fleet) Explain(now time.Time, service string, prompt Prompt) *Explanation {
	c := f.snapshot(service)
	prompt.exceeds = c.exceedsShare(now, service, prompt.Customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	sel, refusal := c.selectForGenerationLocked(now, service, prompt, nil)
	refusal = c.spreadRetryLocked(service, prompt.TimeLimit-prompt.Waited, refusal)
	return c.explanationLocked(now, service, prompt.exceeds, sel, refusal)
}

// ExplainCall returns what SelectForCall would decide for a call now. Explain applies in the same way.
func (f *Fleet) ExplainCall(now time.Time, service string, opts ...CallOption) *Explanation {
	var call callOptions
	for _, opt := range opts {
		opt(&call)
	}
	c := f.snapshot(service)
	exceeds := c.exceedsShare(now, service, call.customer)
	c.mu.Lock()
	defer c.mu.Unlock()
	sel, refusal := c.selectForCallLocked(now, service, nil, call, exceeds)
	for i := range c.trace.cells {
		slices.SortStableFunc(c.trace.cells[i].Candidates, func(a, b Candidate) int {
			if (a.Unusable == "") != (b.Unusable == "") {
				return cmp.Compare(a.Unusable, b.Unusable)
			}
			return cmp.Compare(a.Cost, b.Cost)
		})
	}
	c.trace.addRefusal(refusal)
	return c.explanationLocked(now, service, exceeds, sel, refusal)
}

// explanationLocked returns the explanation of a selection in a snapshot.
func (f *Fleet) explanationLocked(now time.Time, service string, exceeds bool, sel *Selection, refusal *customer.Refusal) *Explanation {
	e := &Explanation{
		Service: service, Cells: f.trace.cells, Refusal: refusal, Exceeds: exceeds, GivesWay: f.trace.givesWay, Joins: f.trace.joins,
		VMs: f.vms, HeardAge: -1,
	}
	if !f.lastHeard.IsZero() {
		e.HeardAge = now.Sub(f.lastHeard)
	}
	if st := f.scarcity[scarcityKey{service, f.cells.home}]; st != nil {
		e.Scarce = st.scarce
	}
	if sel == nil {
		return e
	}
	first := sel.First()
	e.First, e.Helpers, e.ExpectedTTFT, e.LeaveReason = &first, sel.Helpers(), sel.expectedTTFT, sel.leaveReason
	if e.LeaveReason == LeaveNone && sel.first.entry.DataCentre != f.cells.dataCentre && f.weighDataCentres {
		e.LeaveReason = LeaveOrder
	}
	last := &e.Cells[len(e.Cells)-1]
	for i := range last.Candidates {
		c := &last.Candidates[i]
		c.Chosen = c.ID == first.ID || slices.ContainsFunc(e.Helpers, func(t Target) bool { return t.ID == c.ID })
	}
	return e
}

// snapshot returns a copy of the fleet for one selection, with the endpoints of one service. It shares only values that are replaced and
// never modified, so that no selection in it changes the fleet.
func (f *Fleet) snapshot(service string) *Fleet {
	c := NewFleet(WithRandom(f.explainRandom))
	c.trace = &trace{}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.services, c.drained, c.delays = f.services, f.drained, f.delays
	c.rank, c.vms, c.spareSlots, c.weighDataCentres, c.lastHeard, c.viewAge = f.rank, f.vms, f.spareSlots, f.weighDataCentres, f.lastHeard, f.viewAge
	c.coldFactor, c.coldAllowance = f.coldFactor, f.coldAllowance
	c.paces.enabled, c.paces.appearances = f.paces.enabled, map[string]*appearances{}
	maps.Copy(c.enginesIn, f.enginesIn)
	for w := range f.waiters {
		c.waiters[&Waiter{fleet: c, WaitingPrompt: w.WaitingPrompt}] = true
	}
	maps.Copy(c.peerWaitingPrompts, f.peerWaitingPrompts)
	copyValues(c.reachability, f.reachability)
	copyValues(c.scarcity, f.scarcity)
	copyValues(c.sizes.recent, f.sizes.recent)
	cells := f.cells
	cells.joined = map[Cell]*joinedCell{}
	copyValues(cells.joined, f.cells.joined)
	cells.summaries, cells.own = maps.Clone(f.cells.summaries), maps.Clone(f.cells.own)
	c.cells = cells
	for _, m := range f.pools[service] {
		n := m.snapshot()
		c.members[n.entry.ID], c.byKey[n.key] = n, n
		c.pools[service] = append(c.pools[service], n)
		if a := f.paces.appearances[n.entry.ID]; a != nil {
			copied := *a
			c.paces.appearances[n.entry.ID] = &copied
		}
	}
	if f.shares != nil {
		c.shares = f.shares.snapshot(c.Scarce)
	}
	return c
}

// copyValues copies a map and the values that its elements point to.
func copyValues[K comparable, V any](dst, src map[K]*V) {
	for k, v := range src {
		copied := *v
		dst[k] = &copied
	}
}

// snapshot returns a copy of the member. The requests that peers reported are shared, because a later report replaces them.
func (m *member) snapshot() *member {
	n := *m
	n.ownWork = map[uint64]*Work{}
	copyValues(n.ownWork, m.ownWork)
	n.peerLoads = maps.Clone(m.peerLoads)
	n.coldLimiter.sent = slices.Clone(m.coldLimiter.sent)
	if m.pace != nil {
		p := *m.pace
		p.peers, p.ended = maps.Clone(p.peers), slices.Clone(p.ended)
		n.pace = &p
	}
	return &n
}

// snapshot returns a copy of the shares, in which the use of a customer has no effect on the original. scarce is the function of
// WithScarcity for the copy.
func (s *Shares) snapshot(scarce func(now time.Time, service string) bool) *Shares {
	c := NewShares(WithScarcity(scarce))
	s.mu.Lock()
	defer s.mu.Unlock()
	c.vms = s.vms
	maps.Copy(c.weights, s.weights)
	maps.Copy(c.services, s.services)
	maps.Copy(c.reports, s.reports)
	maps.Copy(c.fair, s.fair)
	copyValues(c.entries, s.entries)
	return c
}

// trace records a selection in a snapshot. A nil trace records nothing.
type trace struct {
	cells    []ExplainedCell
	joins    []Cell
	givesWay bool
}

// addCell records the candidates of a cell in the common order, and the engines there that may not be used.
func (t *trace) addCell(f *Fleet, now time.Time, s *Service, cell Cell, candidates []candidate) {
	if t == nil {
		return
	}
	e := ExplainedCell{Cell: cell, Waiting: f.waitingCountLocked(queueKey(s.Name, cell))}
	if r, ok := f.cells.summaries[summaryKey{cell, KeyOf(s.Name)}]; ok && cell != f.cells.home {
		e.SummaryAge = now.Sub(r.receivedAt)
	}
	for i := range candidates {
		c := &candidates[i]
		x := f.describe(now, s, c.member, c.load)
		x.FreeTokens, x.StepTime, x.Pace, x.Slow = c.freeTokens, c.stepTime, c.pace, c.slow
		e.Candidates = append(e.Candidates, x)
	}
	t.cells = append(t.cells, e)
	for _, m := range f.pools[s.Name] {
		if m.cell == cell {
			t.addUnusable(f, now, s, m)
		}
	}
}

// addUnusable records an endpoint if it may not be used.
func (t *trace) addUnusable(f *Fleet, now time.Time, s *Service, m *member) {
	if t == nil {
		return
	}
	reason := f.unusableReason(m, s, now)
	if reason == "" {
		return
	}
	var engine *Engine
	if s != nil {
		engine = s.Engine
	}
	x := f.describe(now, s, m, m.load(now, engine, f.loadTTL()))
	x.Unusable = reason
	t.addCandidate(x)
}

// addInstance records an instance of a plain service with its cost, which is infinite if the instance is full.
func (t *trace) addInstance(f *Fleet, now time.Time, s *Service, m *member, l load, cost float64) {
	if t == nil {
		return
	}
	x := f.describe(now, s, m, l)
	x.Cost = cost
	t.addCandidate(x)
}

// addCandidate adds a candidate to the last cell.
func (t *trace) addCandidate(x Candidate) {
	if len(t.cells) == 0 {
		t.cells = append(t.cells, ExplainedCell{})
	}
	last := &t.cells[len(t.cells)-1]
	last.Candidates = append(last.Candidates, x)
}

// addChoice records the scores of a choice in the last cell. Choices for long prompts score copies of the candidates, of which only the
// chosen ones are known here.
func (t *trace) addChoice(candidates, chosen []candidate, givesWay bool) {
	if t == nil {
		return
	}
	t.givesWay = t.givesWay || givesWay
	last := &t.cells[len(t.cells)-1]
	for i := range last.Candidates {
		x := &last.Candidates[i]
		x.LeftOut = x.Unusable == ""
		for _, list := range [][]candidate{candidates, chosen} {
			for j := range list {
				if c := &list[j]; c.member != nil && c.member.entry.ID == x.ID {
					x.LeftOut, x.Score, x.Crossing = false, c.score, c.crossing
				}
			}
		}
	}
}

// addRefusal records that the last cell refused the request.
func (t *trace) addRefusal(r *customer.Refusal) {
	if t == nil || r == nil || len(t.cells) == 0 {
		return
	}
	t.cells[len(t.cells)-1].Refusal = r
}

// addJoin records that the VM would join a cell.
func (t *trace) addJoin(c Cell) {
	if t != nil {
		t.joins = append(t.joins, c)
	}
}

// describe returns the inputs that all endpoints have.
func (f *Fleet) describe(now time.Time, s *Service, m *member, l load) Candidate {
	x := Candidate{
		ID: m.entry.ID, DataCentre: m.entry.DataCentre, Running: l.running, Slots: max(m.entry.Slots, 1), Backlog: l.backlog,
		PendingPrefill: l.pendingPrefill, Pace: 1, Cold: f.isCold(m, s, now), FailureRate: m.health.failureRate, LoadAge: -1,
	}
	if s != nil && s.Engine != nil {
		x.Slots, x.FreeTokens, x.StepTime = max(s.Engine.Slots, 1), s.Engine.KVTokens-l.context, s.Engine.StepTime(l.running+1, l.context)
	}
	for _, p := range m.peerLoads {
		if age := now.Sub(p.receivedAt); x.LoadAge < 0 || age < x.LoadAge {
			x.LoadAge = age
		}
	}
	return x
}

// Full reports whether a plain service's instance takes no further call.
func (c *Candidate) Full() bool { return math.IsInf(c.Cost, 1) }
