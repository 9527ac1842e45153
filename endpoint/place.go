package endpoint

import (
	"cmp"
	"slices"
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
	Pause  time.Duration // longest pause between events that its caller accepts
}

// Target is an endpoint of a placement.
type Target struct {
	ID      string
	Address string
}

// Placement is a request that counts against its endpoints until End.
type Placement struct {
	f        *Fleet
	number   uint64
	service  string
	first    *member
	helpers  []*member
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
		targets[i] = Target{ID: m.entry.ID, Address: m.entry.Address}
	}
	return targets
}

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
	room  bool          // it has a place and memory for the request itself
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
	engine := s.Engine
	if prompt.Tokens+prompt.Output > engine.Memory {
		return nil, customer.Refuse(customer.ReasonMemory, "the prompt needs more memory than an engine has")
	}
	candidates, room := f.candidatesLocked(now, s, prompt, exclude)
	if room == 0 {
		return nil, f.refuseLocked(now, service, len(candidates))
	}
	read := engine.ReadTime(prompt.Tokens)
	var chosen []candidate
	if read <= f.passBudget(engine) {
		chosen = []candidate{f.firstFit(candidates, read, engine)}
	} else if chosen = f.divide(candidates, read, prompt); chosen == nil {
		return nil, customer.Refuse(customer.ReasonQueueFull, "the engines are reading other prompts", customer.RetryAfter(retryFull))
	}
	return f.reserveLocked(now, s, prompt, chosen, read/time.Duration(len(chosen))), nil
}

// reserveLocked counts the request against the chosen engines.
func (f *Fleet) reserveLocked(now time.Time, s *Service, prompt Prompt, chosen []candidate, part time.Duration) *Placement {
	var first *candidate
	for i := range chosen {
		if c := &chosen[i]; c.room && (first == nil || c.load.context < first.load.context) {
			first = c
		}
	}
	p := f.placeLocked(s.Name, first.m, s, now)
	p.unread, p.running = first.load.busy, first.load.running
	for i := range chosen {
		c := &chosen[i]
		p.expected = max(p.expected, c.finish(part))
		if c == first {
			continue
		}
		p.helpers = append(p.helpers, c.m)
		f.addLocked(p, c.m, Work{Read: part, Since: now})
		if f.isCold(c.m, s, now) {
			c.m.allowance.take(now)
		}
	}
	f.addLocked(p, first.m, Work{Read: part, Since: now, Context: prompt.Tokens + prompt.Output, Writing: true, Pause: prompt.Pause})
	return p
}

// candidatesLocked returns the engines that may read a part of the prompt, in the common order, and how many of them have
// room for the request itself.
func (f *Fleet) candidatesLocked(now time.Time, s *Service, prompt Prompt, exclude []string) (candidates []candidate, room int) {
	for _, m := range f.pools[s.Name] {
		if slices.Contains(exclude, m.entry.ID) || !f.usable(m, s, now) {
			continue
		}
		l := m.load(now)
		c := candidate{m: m, load: l, pass: s.Engine.PassTime(l.running+1, l.context)}
		c.room = l.running < max(s.Engine.Slots, 1) && l.context+prompt.Tokens+prompt.Output <= s.Engine.Memory
		if c.room {
			room++
		}
		candidates = append(candidates, c)
	}
	return candidates, room
}

// passBudget is the longest read that one pass may hold without exceeding the shortest pause that callers accept.
func (f *Fleet) passBudget(e *Engine) time.Duration {
	return max(defaultPause-pauseMargin-e.PassTime(e.Slots/2, e.Memory/8), defaultPause/5)
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
// streams, or else the one with the best score.
func (f *Fleet) firstFit(candidates []candidate, read time.Duration, e *Engine) candidate {
	fill := int(slotShare * float64(e.Slots))
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if !c.room {
			continue
		}
		busy := c.load.busy > 0 && c.load.busy+read > f.passBudget(e)*2/3
		pause := c.load.pause
		if pause == 0 {
			pause = defaultPause
		}
		if !busy && c.load.running < fill && c.pass+c.load.queued+read <= pause-pauseMargin && c.m.health.failures < failureWeight {
			return *c
		}
		c.score = f.score(c, read)
		if best < 0 || c.score < candidates[best].score {
			best = i
		}
	}
	return candidates[best]
}

// Lengths of the parts of long prompts.
const (
	longPart    = 350 * time.Millisecond // part that one engine reads, where enough engines are free
	longestPart = 900 * time.Millisecond // a longer part would exceed the pause that callers of long prompts accept
	// aimShare is the part of the aim within which a long prompt has to begin by the prediction. The rest covers what the
	// prediction leaves out.
	aimShare = 0.75
)

// divide returns the engines that read a long prompt, each an even part, or nothing where the prompt should wait.
func (f *Fleet) divide(candidates []candidate, read time.Duration, prompt Prompt) []candidate {
	most := min(maxHelpers+1, len(candidates))
	var best []candidate
	var bestFinish time.Duration
	for n := 1; n <= most; n++ {
		part := read / time.Duration(n)
		if part > longestPart && n < most {
			continue
		}
		free := f.harmless(candidates, part)
		if len(free) < n || !hasRoom(free[:n]) {
			continue
		}
		finish := free[n-1].finish(part)
		if best == nil || finish < bestFinish {
			best, bestFinish = free[:n], finish
		}
		if part <= longPart {
			break
		}
	}
	if best != nil && prompt.Waited+bestFinish <= prompt.Aim {
		return best
	}
	// Free engines would read the prompt in parts of the usual length.
	if prompt.Waited+2*longPart < time.Duration(aimShare*float64(prompt.Aim)) {
		return nil
	}
	if best != nil {
		return best
	}
	return f.leastHarm(candidates, read, most)
}

// harmless returns the engines that a read of that length does not disturb, those that end it first at the beginning.
func (f *Fleet) harmless(candidates []candidate, part time.Duration) []candidate {
	var free []candidate
	for _, c := range candidates {
		if c.m.health.failures < failureWeight && c.harmless(part) {
			c.score = c.load.busy + time.Duration(f.random()*float64(jitter))
			free = append(free, c)
		}
	}
	slices.SortFunc(free, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return free
}

func hasRoom(candidates []candidate) bool {
	return slices.ContainsFunc(candidates, func(c candidate) bool { return c.room })
}

// leastHarm returns engines for a prompt that cannot wait any longer.
func (f *Fleet) leastHarm(candidates []candidate, read time.Duration, most int) []candidate {
	n := min(int((read+longPart-1)/longPart), most)
	part := read / time.Duration(n)
	for i := range candidates {
		candidates[i].score = f.score(&candidates[i], part)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	// The first engines may lack room for the request itself; one that has it takes the last part.
	if chosen := candidates[:n]; !hasRoom(chosen) {
		i := slices.IndexFunc(candidates, func(c candidate) bool { return c.room })
		chosen[n-1] = candidates[i]
	}
	return candidates[:n]
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
	f.touchLocked(m)
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
	for _, m := range p.helpers {
		delete(m.own, p.number)
		p.f.touchLocked(m)
	}
	if w := p.first.own[p.number]; w != nil && w.Read > 0 {
		w.Read = 0
		p.f.touchLocked(p.first)
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
		p.f.touchLocked(m)
	}
	delete(p.first.own, p.number)
	p.f.touchLocked(p.first)
	p.first.health.note(now, o)
	p.f.wakeLocked()
}

// Blame records that an endpoint of the placement other than the first one was at fault.
func (p *Placement) Blame(now time.Time, id string, o Outcome) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	if m := p.f.members[id]; m != nil {
		m.health.note(now, o)
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
