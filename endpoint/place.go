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
	service  string
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
		l := m.load(now)
		if l.running >= 2*max(m.entry.Slots, 1) {
			full++ // its places and a queue of the same length are taken
			continue
		}
		score := float64(l.running)/float64(max(m.entry.Slots, 1)) + 3*m.health.failures + 0.05*f.random()
		if best == nil || score < bestScore {
			best, bestScore, bestLoad = m, score, l
		}
	}
	if best == nil {
		return nil, f.refuseLocked(now, service, full)
	}
	p := f.placeLocked(service, best, s, now)
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

// harmless says whether a read of that length keeps the pause that the callers of the engine's streams accept.
func (c *candidate) harmless(read time.Duration) bool {
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
	if chosen == nil && read <= longPart {
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
	p := f.placeLocked(s.Name, first.m, s, now)
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
		l := m.load(now)
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
	if !c.harmless(read) {
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

// Bounds of the division of long prompts.
const (
	longPart = 300 * time.Millisecond // part that one engine reads, where enough engines are free
	// longestPart bounds a part where few engines are free. Short prompts that find no other engine wait for it to end.
	longestPart = 600 * time.Millisecond
	// idleBusy is how long an engine may still be reading to count as free. Engines read parts that they help with ahead of
	// their own prompts, so a prompt that is sent to a busy engine can wait for long.
	idleBusy = 40 * time.Millisecond
	// hurryShare is the part of the time to its latest start that a prompt waits for engines without short streams. After
	// it, small parts are read between the events of such streams.
	hurryShare = 0.4
	// forceShare is the part of its time limit after which a late prompt may disturb streams, up to mostDisturbed.
	forceShare    = 0.35
	mostDisturbed = 16
	// forcedPart is read by one engine then: fewer engines disturb fewer streams.
	forcedPart = 1500 * time.Millisecond
	// idleQueue is the predicted wait up to which the engines count as idle. Only then are they read on for longer parts, and
	// prompts taken that are late in any case because their callers come back after a refusal.
	idleQueue = 200 * time.Millisecond
	// arrivalShare is the part of its aim (one in so many) in which a prompt counts as arriving and can still be refused at
	// once.
	arrivalShare = 8
	// lastShare is the part of its time limit that a late prompt waits.
	lastShare = 0.5
	// calmCapacity and strictCapacity are the parts of an engine's time that long prompts can use where no stream accepts
	// only short pauses, and where some do.
	calmCapacity   = 0.8
	strictCapacity = 0.25
	// contendedShare is the part of the time to its latest start that a prompt's predicted wait may take where others go
	// before it. Shorter prompts that arrive meanwhile go before it too.
	contendedShare = 0.5
	// returnShare is the part of the remaining time after which a refused prompt should come back. Callers wait no longer
	// than a third of it.
	returnShare = 0.33
)

// divide returns the engines that read a long prompt, each an even part, or nothing where the prompt should wait: for its
// turn, for free engines, or for engines whose streams it does not disturb.
func (f *Fleet) divide(now time.Time, candidates []candidate, need int, s *Service, prompt Prompt) ([]candidate, *customer.Refusal) {
	read := s.Engine.ReadTime(prompt.Tokens)
	most := min(maxHelpers+1, len(candidates))
	wait := f.waitLocked(now, s.Name, prompt)
	if prompt.Waiter != nil {
		wait = prompt.Waiter.Wait
	}
	arriving := prompt.Waiter == nil && prompt.Waited <= prompt.Aim/arrivalShare
	if arriving && f.hopeless(now, &wait, candidates, need, s, prompt) {
		return nil, refuseLate(prompt)
	}
	if now.After(wait.StartBy) {
		return f.late(now, &wait, candidates, read, need, most, prompt)
	}
	if f.precededLocked(&wait, now) {
		return nil, errWait
	}
	least := min(int((read+longPart-1)/longPart), most)
	longest := longestPart
	if len(f.waiters) == 0 && len(f.peerWaits) == 0 {
		longest = forcedPart
	}
	for n := least; n >= 1; n-- {
		part := read / time.Duration(n)
		if part > longest && n < most {
			break
		}
		free := f.free(candidates, part)
		if len(free) < n || !fits(free[:n], need) {
			continue
		}
		// Fewer engines read longer parts, and a prompt that they would make late does better to wait for more.
		if prompt.Waited+free[n-1].finish(part) > prompt.Aim {
			break
		}
		return free[:n], nil
	}
	slack := wait.StartBy.Sub(now) + prompt.Waited
	if prompt.Waited < time.Duration(hurryShare*float64(slack)) {
		return nil, errWait
	}
	for n := least + 1; n <= most; n++ {
		if chosen := f.split(candidates, read, need, n); chosen != nil {
			return chosen, nil
		}
	}
	return nil, errWait
}

// split returns n free engines that read a prompt in even parts without disturbing a stream, or nil.
func (f *Fleet) split(candidates []candidate, read time.Duration, need, n int) []candidate {
	free := f.free(candidates, read/time.Duration(n))
	if len(free) < n || !fits(free[:n], need) {
		return nil
	}
	return free[:n]
}

// errWait is the refusal of a prompt that may find engines later.
var errWait = customer.Refuse(customer.ReasonQueueFull, "the engines are reading other prompts", customer.RetryAfter(retryFull))

// late returns engines for a prompt that cannot be in time any more. It lets those go first that can, takes engines whose
// streams it does not disturb, and after a while some where it disturbs a few.
func (f *Fleet) late(now time.Time, wait *Wait, candidates []candidate, read time.Duration, need, most int, prompt Prompt) ([]candidate, *customer.Refusal) {
	forced := prompt.Waited >= time.Duration(forceShare*float64(prompt.Limit))
	if !forced && !prompt.Returned && f.aheadLocked(wait, now) > 0 {
		return nil, refuseLate(prompt) // the engines do more for those that can still be in time
	}
	if forced || !f.precededLocked(wait, now) {
		if chosen := f.calm(candidates, read, need, most); chosen != nil {
			return chosen, nil
		}
	}
	if !forced {
		return nil, errWait
	}
	chosen := f.leastHarm(candidates, read, need, most)
	if disturbed(chosen, read) <= mostDisturbed || prompt.Waited >= time.Duration(lastShare*float64(prompt.Limit)) {
		return chosen, nil
	}
	return nil, errWait
}

func refuseLate(prompt Prompt) *customer.Refusal {
	left := prompt.Limit - prompt.Waited
	return customer.Refuse(customer.ReasonDeadline, "the engines cannot read the prompt in time",
		customer.RetryAfter(time.Duration(returnShare*float64(left))))
}

// hopeless says whether a prompt that has just arrived cannot start in time, or soon enough where its caller came back: what
// goes before it and what is being read takes too long on the engines that long prompts may use. Such a prompt is refused at
// once. All others are served, if late.
func (f *Fleet) hopeless(now time.Time, wait *Wait, candidates []candidate, need int, s *Service, prompt Prompt) bool {
	small := passBudget(s)
	if prompt.Returned {
		small = 0 // late in any case, so it takes only engines where it disturbs nobody
	}
	work, capacity := time.Duration(0), 0.0
	calm, strict := 0, 0
	for i := range candidates {
		c := &candidates[i]
		work += c.load.busy
		if c.harmless(longPart) {
			capacity += calmCapacity
			calm++
		} else {
			capacity += strictCapacity
			strict++
		}
	}
	ahead := f.aheadLocked(wait, now)
	work += ahead
	if ahead == 0 {
		for n := min(int((wait.Read+longPart-1)/longPart), maxHelpers+1); n >= 1 && wait.Read/time.Duration(n) <= forcedPart; n-- {
			if f.split(candidates, wait.Read, need, n) != nil {
				return false
			}
		}
	}
	queue := time.Duration(float64(work) / capacity)
	calmPart := longestPart
	if queue <= idleQueue {
		calmPart = forcedPart
	}
	if wait.Read > time.Duration(calm)*calmPart+time.Duration(strict)*small {
		return true
	}
	if prompt.Returned {
		return queue > idleQueue
	}
	slack := wait.StartBy.Sub(now)
	if ahead > 0 {
		slack = time.Duration(contendedShare * float64(slack))
	}
	return queue > slack
}

// disturbed counts the streams that pause for too long where the engines read a prompt.
func disturbed(chosen []candidate, read time.Duration) int {
	n := 0
	for i := range chosen {
		if c := &chosen[i]; !c.harmless(read / time.Duration(len(chosen))) {
			n += c.load.strict
		}
	}
	return n
}

// free returns the engines that read nothing and that a read of that length does not disturb, the idlest ones first.
func (f *Fleet) free(candidates []candidate, part time.Duration) []candidate {
	var free []candidate
	for _, c := range candidates {
		if c.load.busy <= idleBusy && c.m.health.failures < failureWeight && c.harmless(part) {
			c.score = c.load.busy + time.Duration(c.load.running)*time.Millisecond + time.Duration(f.random()*float64(jitter))
			free = append(free, c)
		}
	}
	slices.SortFunc(free, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return free
}

// calm returns engines that a late prompt does not disturb, whatever they read, as few as it needs.
func (f *Fleet) calm(candidates []candidate, read time.Duration, need, most int) []candidate {
	for n := min(int((read+longestPart-1)/longestPart), most); n >= 1; n-- {
		part := read / time.Duration(n)
		var calm []candidate
		for _, c := range candidates {
			if c.harmless(part) {
				c.score = c.load.busy + time.Duration(c.m.health.failures*float64(failurePenalty))
				calm = append(calm, c)
			}
		}
		if len(calm) < n {
			continue
		}
		slices.SortFunc(calm, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
		if fits(calm[:n], need) {
			return calm[:n]
		}
	}
	return nil
}

// leastHarm returns engines for a prompt that cannot wait any longer.
func (f *Fleet) leastHarm(candidates []candidate, read time.Duration, need, most int) []candidate {
	n := min(int((read+forcedPart-1)/forcedPart), most)
	part := read / time.Duration(n)
	for i := range candidates {
		candidates[i].score = f.score(&candidates[i], part)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	for ; n <= most; n++ {
		if fits(candidates[:n], need) {
			return candidates[:n]
		}
	}
	// The best engines lack room, but all together have it: the ones with the most memory are taken.
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.free, a.free) })
	if fits(candidates[:most], need) {
		return candidates[:most]
	}
	return nil
}

func (f *Fleet) placeLocked(service string, first *member, s *Service, now time.Time) *Placement {
	f.next++
	first.health.trial = first.health.broken > 0
	if f.isCold(first, s, now) {
		first.allowance.take(now)
	}
	return &Placement{f: f, number: f.next, service: service, first: first}
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
	return p.first.load(now).pending
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

// Blame passes over an engine of the placement that another one named as the cause of its refusal: it leaves or helps too many
// others. Peers learn of it, because the entries of endpoints say so only later, or not at all while the store is out.
func (p *Placement) Blame(now time.Time, address string) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	for _, m := range p.helpers {
		if m.entry.Address == address {
			m.suspect = now.Add(suspectFor)
			m.accused = true
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
