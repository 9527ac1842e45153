package endpoint

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"goldcrestpath/customer"
)

// Bounds of the placement.
const (
	// maxHelpers is how many engines may read parts of a prompt beside the first one; the engines accept no more.
	maxHelpers = 16
	// pauseMargin is kept free below the pause that callers accept, for the way from the engine to the caller.
	pauseMargin = 25 * time.Millisecond
	// defaultPause is taken where no route of the service declares a pause.
	defaultPause = 250 * time.Millisecond
	// slotShare is the part of an engine's places that short prompts fill before the next engine is used. A full batch
	// lengthens each step and leaves no room for requests that another VM sends at the same moment.
	slotShare = 0.75
	// failurePenalty is added to the score of an endpoint that fails every request.
	failurePenalty = 2 * time.Second
	// strictPenalty is added to the score for each stream whose accepted pause a read would exceed.
	strictPenalty = 80 * time.Millisecond
	// jitter separates VMs that decide by the same loads at the same moment.
	jitter = 2 * time.Millisecond
)

// Bounds of calls to plain services. Their score is the part of an endpoint's places that is taken.
const (
	// callQueue is how many times its places an endpoint may have in calls. Instances queue a few beyond their places.
	callQueue = 2
	// callFailures is added to the score of an endpoint that fails every call, as if that many times its places were taken.
	callFailures = 3
	// callJitter is the largest random part of the score.
	callJitter = 0.05
)

// Prompt is what placement needs of a request to a model engine.
type Prompt struct {
	Tokens int           // of the prompt
	Output int           // tokens of the answer at most
	Aim    time.Duration // time to the first event within which the answer is worth most
	Waited time.Duration // since the request arrived
	Limit  time.Duration // time from the arrival at which the request ends, 0 for none
	Pause  time.Duration // longest pause between events that its caller accepts
	// Returned says that the caller was refused before and came back.
	Returned bool
	Waiter   *Waiter // its place in the order of those that wait, nil before it waits
}

// Target is an endpoint of a placement.
type Target struct {
	ID      string
	Address string
	Memory  int // tokens of the prompt that it stores for the first endpoint, 0 for none
}

// Placement is a request that counts against its endpoints until End.
type Placement struct {
	f        *Fleet
	number   uint64
	first    *member
	helpers  []*member
	stored   []int // tokens that each helper stores
	expected time.Duration
	unread   time.Duration
	running  int
}

// First returns the endpoint that gets the request.
func (p *Placement) First() Target {
	return Target{ID: p.first.entry.ID, Address: p.first.entry.Address}
}

// Helpers returns the engines that read parts of the prompt.
func (p *Placement) Helpers() []Target {
	targets := make([]Target, len(p.helpers))
	for i, m := range p.helpers {
		targets[i] = Target{ID: m.entry.ID, Address: m.entry.Address, Memory: p.stored[i]}
	}
	return targets
}

// Number identifies the placement among those of its VM's process.
func (p *Placement) Number() string { return strconv.FormatUint(p.number, 36) }

// Expected returns the predicted time to the first event, 0 for a plain service.
func (p *Placement) Expected() time.Duration { return p.expected }

// Unread returns the time of reads that were pending at the first endpoint, and Running the requests there.
func (p *Placement) Unread() time.Duration { return p.unread }

// Running returns the requests that ran at the first endpoint.
func (p *Placement) Running() int { return p.running }

// PlaceCall selects the endpoint of a plain service with the least running work for its places, and passes over failing ones.
func (f *Fleet) PlaceCall(now time.Time, service string, exclude []string) (*Placement, *customer.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireLocked(now, service)
	var best *member
	var bestScore float64
	var bestLoad load
	s := f.services[service]
	full := 0
	for _, m := range f.pools[service] {
		if slices.Contains(exclude, m.entry.ID) || !f.usable(m, s, now) {
			continue
		}
		l := m.load(now, nil)
		places := max(m.entry.Slots, 1)
		if l.running >= callQueue*places {
			full++
			continue
		}
		score := float64(l.running)/float64(places) + callFailures*m.health.failures + callJitter*f.random()
		if best == nil || score < bestScore {
			best, bestScore, bestLoad = m, score, l
		}
	}
	if best == nil {
		return nil, f.refuseLocked(now, service, full)
	}
	p := f.placeLocked(best, s, now)
	p.running = bestLoad.running
	f.addLocked(p, best, Work{Since: now, Writing: true})
	return p, nil
}

// candidate is an engine that may get a part of a prompt.
type candidate struct {
	m     *member
	load  load
	pass  time.Duration // length of a pass there without reads
	place bool          // it has a place for the request itself
	free  int           // tokens of memory that nothing uses
	score time.Duration
}

// nonDisruptive says whether a read of that length keeps the pause that the callers of the engine's streams accept.
func (c *candidate) nonDisruptive(read time.Duration) bool {
	return c.load.pause == 0 || c.pass+c.load.queued+read <= c.load.pause-pauseMargin
}

// finish is when a read of that length will have ended at the engine.
func (c *candidate) finish(read time.Duration) time.Duration { return c.load.busy + read + 2*c.pass }

// PlaceGeneration selects the engines that read a prompt, and among them the one that gets the request.
//
// All VMs know the engines in the same order, by the hash of their IDs. A prompt that fits into one pass goes to the first
// engine in that order which has room for it, so that streams with short accepted pauses gather at the beginning of the
// order and the engines at the end stay free for long reads. A long prompt is divided among engines whose streams it does
// not disturb. It waits for them while it still begins in time, and takes the engines where it disturbs least after that.
func (f *Fleet) PlaceGeneration(now time.Time, service string, prompt Prompt, exclude []string) (*Placement, *customer.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireLocked(now, service)
	s := f.services[service]
	if s == nil || s.Engine == nil {
		return nil, customer.Refuse(customer.ReasonNoEndpoint, "the service "+service+" has no engine model")
	}
	need := prompt.Tokens + prompt.Output
	candidates := f.candidatesLocked(now, s, exclude)
	if len(candidates) == 0 {
		return nil, f.refuseLocked(now, service, 0)
	}
	if need > maxHelpers*s.Engine.Memory {
		return nil, customer.Refuse(customer.ReasonMemory, "the prompt needs more memory than the engines have")
	}
	if !fits(candidates, need) {
		return nil, f.refuseLocked(now, service, len(candidates))
	}
	read := s.Engine.ReadTime(prompt.Tokens)
	var chosen []candidate
	switch budget := passBudget(s); {
	case read <= budget:
		chosen = f.firstFit(candidates, read, need, s)
	case read <= longPart:
		// Too long for one pass beside short streams, too short to wait for its turn.
		if chosen = f.split(candidates, read, need, 2); chosen == nil {
			chosen = f.firstFit(candidates, read, need, s)
		}
	}
	if chosen == nil && read <= longPart && need <= s.Engine.Memory {
		return nil, f.refuseLocked(now, service, len(candidates))
	}
	if chosen == nil {
		var refusal *customer.Refusal
		if chosen, refusal = f.divide(now, candidates, need, s, prompt); refusal != nil {
			return nil, refusal
		}
	}
	return f.reserveLocked(now, s, prompt, chosen, read/time.Duration(len(chosen))), nil
}

// reserveLocked counts the request against the chosen engines. Memory that the first one lacks is taken from the others.
func (f *Fleet) reserveLocked(now time.Time, s *Service, prompt Prompt, chosen []candidate, part time.Duration) *Placement {
	var first *candidate
	for i := range chosen {
		if c := &chosen[i]; c.place && (first == nil || c.free > first.free) {
			first = c
		}
	}
	p := f.placeLocked(first.m, s, now)
	p.unread, p.running = first.load.busy, first.load.running
	need := prompt.Tokens + prompt.Output
	own := need
	if need > first.free {
		own = usable(first.free)
	}
	rest := need - own
	// Helpers that store parts stand first, because the engines fill them in turn.
	slices.SortStableFunc(chosen, func(a, b candidate) int { return cmp.Compare(b.free, a.free) })
	for i := range chosen {
		c := &chosen[i]
		p.expected = max(p.expected, c.finish(part))
		if c.m == p.first {
			continue
		}
		stored := min(rest, usable(c.free))
		rest -= stored
		p.helpers = append(p.helpers, c.m)
		p.stored = append(p.stored, stored)
		f.addLocked(p, c.m, Work{Read: part, Since: now, Context: stored})
		if f.isCold(c.m, s, now) {
			c.m.allowance.take(now)
		}
	}
	f.addLocked(p, p.first, Work{Read: part, Since: now, Context: own, Writing: true, Pause: prompt.Pause})
	return p
}

// usable is the part of an engine's free memory that is counted on: loads of peers are a moment old, and streams grow.
func usable(free int) int { return max(free, 0) * 9 / 10 }

// fits says whether one of the engines, or several together, can hold a request.
func fits(candidates []candidate, need int) bool {
	sum, place := 0, false
	for i := range candidates {
		c := &candidates[i]
		if c.place && c.free >= need {
			return true
		}
		place = place || c.place
		sum += usable(c.free)
	}
	return place && sum >= need
}

// candidatesLocked returns the engines that may read a part of a prompt, in the common order.
func (f *Fleet) candidatesLocked(now time.Time, s *Service, exclude []string) []candidate {
	var candidates []candidate
	for _, m := range f.pools[s.Name] {
		if slices.Contains(exclude, m.entry.ID) || !f.usable(m, s, now) {
			continue
		}
		l := m.load(now, s.Engine)
		candidates = append(candidates, candidate{
			m: m, load: l, pass: s.Engine.PassTime(l.running+1, l.context),
			place: l.running < max(s.Engine.Slots, 1), free: s.Engine.Memory - l.context,
		})
	}
	return candidates
}

// shortestPause returns the shortest pause that callers of the service accept.
func shortestPause(s *Service) time.Duration {
	if s.Pause > 0 {
		return s.Pause
	}
	return defaultPause
}

// passBudget is the longest read that one pass may hold without exceeding the shortest pause that callers accept.
func passBudget(s *Service) time.Duration {
	pause := shortestPause(s)
	return max(pause-pauseMargin-s.Engine.PassTime(s.Engine.Slots/2, s.Engine.Memory/8), pause/5)
}

// score is the time until a read of that length has ended at the engine, with penalties for the streams that it disturbs and
// for failures of the engine.
func (f *Fleet) score(c *candidate, read time.Duration) time.Duration {
	score := c.load.busy + c.pass/2
	if !c.nonDisruptive(read) {
		score += time.Duration(c.load.strict) * strictPenalty
	}
	score += time.Duration(c.m.health.failures * float64(failurePenalty))
	return score + time.Duration(f.random()*float64(jitter))
}

// firstFit returns the first engine in the common order that reads the prompt in its next pass without disturbing its
// streams, or else the one with the best score. It returns nil where no single engine has the memory.
func (f *Fleet) firstFit(candidates []candidate, read time.Duration, need int, s *Service) []candidate {
	fill := int(slotShare * float64(s.Engine.Slots))
	budget := passBudget(s)
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if !c.place || c.free < need {
			continue
		}
		busy := c.load.busy > 0 && c.load.busy+read > budget*2/3
		pause := c.load.pause
		if pause == 0 {
			pause = shortestPause(s)
		}
		if !busy && c.load.running < fill && c.pass+c.load.queued+read <= pause-pauseMargin && c.m.health.failures < failureWeight {
			return candidates[i : i+1]
		}
		c.score = f.score(c, read)
		if best < 0 || c.score < candidates[best].score {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return candidates[best : best+1]
}

func (f *Fleet) placeLocked(first *member, s *Service, now time.Time) *Placement {
	f.next++
	first.health.trial = first.health.broken > 0
	if f.isCold(first, s, now) {
		first.allowance.take(now)
	}
	return &Placement{f: f, number: f.next, first: first}
}

func (f *Fleet) isCold(m *member, s *Service, now time.Time) bool {
	return s != nil && s.ColdPerSecond > 0 && now.Before(m.coldUntil)
}

func (f *Fleet) addLocked(p *Placement, m *member, w Work) {
	m.own[p.number] = &w
	f.touchLocked(m, true)
}

// Pending returns the time of the reads that are now pending at the first endpoint.
func (p *Placement) Pending(now time.Time) time.Duration {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	return p.first.load(now, nil).pending
}

// Begun records the first event: all parts of the prompt are read.
func (p *Placement) Begun() {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	w := p.first.own[p.number]
	if w == nil || w.Read == 0 {
		return
	}
	w.Read = 0
	p.f.touchLocked(p.first, false)
	for i, m := range p.helpers {
		if p.stored[i] > 0 {
			m.own[p.number].Read = 0 // its memory is used until the end
		} else {
			delete(m.own, p.number)
		}
		p.f.touchLocked(m, false)
	}
	p.f.wakeLocked()
}

// End takes the request off its endpoints and records what it showed of the first one. A second call does nothing.
func (p *Placement) End(now time.Time, o Outcome) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	if p.first.own[p.number] == nil {
		return
	}
	for _, m := range p.helpers {
		delete(m.own, p.number)
		p.f.touchLocked(m, false)
	}
	delete(p.first.own, p.number)
	p.f.touchLocked(p.first, false)
	p.f.noteLocked(p.first, now, o)
	p.f.wakeLocked()
}

// ReportRefusal passes over an engine of the placement that another one named as the cause of its refusal: it leaves or helps too many
// others. Peers learn of it, because the entries of endpoints say so only later, or not at all while the store is out.
func (p *Placement) ReportRefusal(now time.Time, address string) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	for _, m := range p.helpers {
		if m.entry.Address == address {
			m.suspect = now.Add(suspectFor)
			m.reported = true
			p.f.signalLocked()
		}
	}
}

// Retry times of refusals.
const (
	retryFull    = 250 * time.Millisecond
	retryMissing = 500 * time.Millisecond
)

func (f *Fleet) refuseLocked(now time.Time, service string, full int) *customer.Refusal {
	if full > 0 {
		return customer.Refuse(customer.ReasonQueueFull, "every endpoint of "+service+" is full", customer.RetryAfter(retryFull))
	}
	wait := retryMissing
	for _, m := range f.pools[service] {
		if d := m.health.until.Sub(now); d > 0 && !m.entry.Draining && !f.drained[m.entry.DataCentre] {
			wait = min(wait, d)
		}
	}
	return customer.Refuse(customer.ReasonNoEndpoint, "no endpoint of "+service+" can take a request", customer.RetryAfter(wait))
}
