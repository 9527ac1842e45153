package endpoint

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"goldcrestpath/customer"
)

// Bounds of the selection of engines.
const (
	// maxHelpers is how many engines may prefill segments of a prompt in addition to the first one; engines accept no more.
	maxHelpers = 16
	// gapMargin is the part of the accepted token gap that is reserved for the path from the engine to the caller.
	gapMargin = 25 * time.Millisecond
	// defaultGap is used if no route of the service declares a token gap.
	defaultGap = 250 * time.Millisecond
	// slotShare is the share of an engine's batch slots that short prompts fill before the next engine is used. A full batch
	// lengthens each step and leaves no room for requests that another VM sends at the same moment.
	slotShare = 0.75
	// failurePenalty is added to the score of an endpoint that fails every request.
	failurePenalty = 2 * time.Second
	// gapPenalty is added to the score for each stream whose accepted token gap a prefill would exceed.
	gapPenalty = 80 * time.Millisecond
	// jitter separates the choices of VMs that act on the same loads at the same moment.
	jitter = 2 * time.Millisecond
)

// Bounds of the selection for plain services. The score of an endpoint is the fraction of its slots in use.
const (
	// callsPerSlot is how many calls per slot an endpoint may have. Instances queue a few calls beyond their slots.
	callsPerSlot = 2
	// callFailurePenalty is added to the score of an endpoint that fails every call, as if calls took that many times its slots.
	callFailurePenalty = 3
	// callJitter is the upper bound of the random term of the score.
	callJitter = 0.05
)

// Prompt describes a request to a model engine for the selection of engines.
type Prompt struct {
	Tokens     int           // prompt tokens
	MaxOutput  int           // upper bound of the tokens of the answer
	TTFTTarget time.Duration // TTFT target
	Waited     time.Duration // time since the request arrived
	TimeLimit  time.Duration // time from the arrival to the deadline of the request, 0 if there is none
	GapLimit   time.Duration // longest token gap that its caller accepts
	// Retried is set if the caller was refused before and came back.
	Retried bool
	Waiter  *Waiter // entry in the order of waiting prompts, nil before the prompt waits
}

// Target is an endpoint that takes part in a request.
type Target struct {
	ID             string
	Address        string
	RemoteKVTokens int // tokens of the prompt that it stores as remote KV for the first endpoint
}

// Selection is the selection of endpoints for one request. The request counts against them until End.
type Selection struct {
	f              *Fleet
	number         uint64
	first          *member
	helpers        []*member
	remoteKV       []int         // tokens of remote KV that each helper stores
	expectedTTFT   time.Duration // predicted TTFT
	pendingPrefill time.Duration // pending prefill of the first endpoint at the selection
	running        int           // requests that ran at the first endpoint at the selection
}

// First returns the endpoint that gets the request.
func (p *Selection) First() Target {
	return Target{ID: p.first.entry.ID, Address: p.first.entry.Address}
}

// Helpers returns the other engines that prefill segments of the prompt.
func (p *Selection) Helpers() []Target {
	targets := make([]Target, len(p.helpers))
	for i, m := range p.helpers {
		targets[i] = Target{ID: m.entry.ID, Address: m.entry.Address, RemoteKVTokens: p.remoteKV[i]}
	}
	return targets
}

// Number identifies the placement among those of this process.
func (p *Selection) Number() string { return strconv.FormatUint(p.number, 36) }

// ExpectedTTFT returns the predicted TTFT, 0 for a plain service.
func (p *Selection) ExpectedTTFT() time.Duration { return p.expectedTTFT }

// PendingPrefillAtSelection returns the time of the prefills that were pending at the first endpoint when it was selected.
func (p *Selection) PendingPrefillAtSelection() time.Duration { return p.pendingPrefill }

// RunningAtSelection returns the number of requests that ran at the first endpoint when it was selected.
func (p *Selection) RunningAtSelection() int { return p.running }

// SelectForCall selects the endpoint of a plain service with the lowest fraction of its slots in use, with a penalty for failures.
func (f *Fleet) SelectForCall(now time.Time, service string, exclude []string) (*Selection, *customer.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeExpiredLocked(now, service)
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
		slots := max(m.entry.Slots, 1)
		if l.running >= callsPerSlot*slots {
			full++
			continue
		}
		score := float64(l.running)/float64(slots) + callFailurePenalty*m.health.failures + callJitter*f.random()
		if best == nil || score < bestScore {
			best, bestScore, bestLoad = m, score, l
		}
	}
	if best == nil {
		return nil, f.refuseLocked(now, service, full)
	}
	p := f.newSelectionLocked(best, s, now)
	p.running = bestLoad.running
	f.addWorkLocked(p, best, Work{SentAt: now, Decoding: true})
	return p, nil
}

// candidate is an engine that may be selected for a segment of a prompt.
type candidate struct {
	m          *member
	load       load
	stepTime   time.Duration // duration of a step there without prefills
	hasSlot    bool          // a batch slot is free for the request itself
	freeTokens int           // free KV cache tokens
	score      time.Duration // lower is better
}

// nonDisruptive reports whether a prefill of that length keeps the token gaps of the engine's streams within what their callers
// accept.
func (c *candidate) nonDisruptive(prefill time.Duration) bool {
	return c.load.gapLimit == 0 || c.stepTime+c.load.queuedPrefill+prefill <= c.load.gapLimit-gapMargin
}

// expectedTTFT predicts the time to the first event after a prefill of that length at the engine.
func (c *candidate) expectedTTFT(prefill time.Duration) time.Duration {
	return c.load.backlog + prefill + 2*c.stepTime
}

// SelectForGeneration selects the engines that prefill a prompt, and among them the first one, which gets the request.
//
// All VMs order the engines in the same way, by the hash of their IDs. A prompt that fits into one step goes to the first engine
// in that order with room for it. Thus streams that accept only short token gaps gather on the engines at the beginning of the
// order, and those at the end stay free for long prefills. A long prompt is divided into segments for engines whose streams it
// does not disturb. It waits for them as long as it can still start in time, and then uses the engines where it disturbs the
// fewest streams.
func (f *Fleet) SelectForGeneration(now time.Time, service string, prompt Prompt, exclude []string) (*Selection, *customer.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeExpiredLocked(now, service)
	s := f.services[service]
	if s == nil || s.Engine == nil {
		return nil, customer.Refuse(customer.ReasonNoEndpoint, "the service "+service+" has no engine model")
	}
	need := prompt.Tokens + prompt.MaxOutput
	candidates := f.candidatesLocked(now, s, exclude)
	if len(candidates) == 0 {
		return nil, f.refuseLocked(now, service, 0)
	}
	if need > maxHelpers*s.Engine.KVTokens {
		return nil, customer.Refuse(customer.ReasonMemory, "the prompt needs more memory than the engines have")
	}
	if !fits(candidates, need) {
		return nil, f.refuseLocked(now, service, len(candidates))
	}
	prefill := s.Engine.PrefillTime(prompt.Tokens)
	var chosen []candidate
	switch budget := stepBudget(s); {
	case prefill <= budget:
		chosen = f.firstFit(candidates, prefill, need, s)
	case prefill <= preferredSegment:
		// Too long for one step beside streams with short token gaps, too short to wait for its turn.
		if chosen = f.selectFree(candidates, prefill, need, 2); chosen == nil {
			chosen = f.firstFit(candidates, prefill, need, s)
		}
	}
	if chosen == nil && prefill <= preferredSegment && need <= s.Engine.KVTokens {
		return nil, f.refuseLocked(now, service, len(candidates))
	}
	if chosen == nil {
		var refusal *customer.Refusal
		if chosen, refusal = f.selectForLong(now, candidates, need, s, prompt); refusal != nil {
			return nil, refusal
		}
	}
	return f.assignLocked(now, s, prompt, chosen, prefill/time.Duration(len(chosen))), nil
}

// assignLocked counts the request against the chosen engines. Helpers store the KV cache that the first engine has no memory for.
func (f *Fleet) assignLocked(now time.Time, s *Service, prompt Prompt, chosen []candidate, segment time.Duration) *Selection {
	var first *candidate
	for i := range chosen {
		if c := &chosen[i]; c.hasSlot && (first == nil || c.freeTokens > first.freeTokens) {
			first = c
		}
	}
	p := f.newSelectionLocked(first.m, s, now)
	p.pendingPrefill, p.running = first.load.backlog, first.load.running
	need := prompt.Tokens + prompt.MaxOutput
	firstTokens := need
	if need > first.freeTokens {
		firstTokens = usableTokens(first.freeTokens)
	}
	rest := need - firstTokens
	// Helpers that store remote KV come first, because the engines fill them in order.
	slices.SortStableFunc(chosen, func(a, b candidate) int { return cmp.Compare(b.freeTokens, a.freeTokens) })
	for i := range chosen {
		c := &chosen[i]
		p.expectedTTFT = max(p.expectedTTFT, c.expectedTTFT(segment))
		if c.m == p.first {
			continue
		}
		remote := min(rest, usableTokens(c.freeTokens))
		rest -= remote
		p.helpers = append(p.helpers, c.m)
		p.remoteKV = append(p.remoteKV, remote)
		f.addWorkLocked(p, c.m, Work{Prefill: segment, SentAt: now, KVTokens: remote})
		if f.isCold(c.m, s, now) {
			c.m.coldLimiter.record(now)
		}
	}
	f.addWorkLocked(p, p.first, Work{Prefill: segment, SentAt: now, KVTokens: firstTokens, Decoding: true, GapLimit: prompt.GapLimit})
	return p
}

// usableTokens returns the share of an engine's free memory that is relied on. The loads of peers are slightly out of date, and
// streams grow.
func usableTokens(free int) int { return max(free, 0) * 9 / 10 }

// fits reports whether one of the engines, or several together, can hold a request.
func fits(candidates []candidate, need int) bool {
	sum, hasSlot := 0, false
	for i := range candidates {
		c := &candidates[i]
		if c.hasSlot && c.freeTokens >= need {
			return true
		}
		hasSlot = hasSlot || c.hasSlot
		sum += usableTokens(c.freeTokens)
	}
	return hasSlot && sum >= need
}

// candidatesLocked returns the engines that may prefill a segment of a prompt, in the common order.
func (f *Fleet) candidatesLocked(now time.Time, s *Service, exclude []string) []candidate {
	var candidates []candidate
	for _, m := range f.pools[s.Name] {
		if slices.Contains(exclude, m.entry.ID) || !f.usable(m, s, now) {
			continue
		}
		l := m.load(now, s.Engine)
		candidates = append(candidates, candidate{
			m: m, load: l, stepTime: s.Engine.StepTime(l.running+1, l.context),
			hasSlot: l.running < max(s.Engine.Slots, 1), freeTokens: s.Engine.KVTokens - l.context,
		})
	}
	return candidates
}

// serviceGapLimit returns the smallest token gap limit among the routes to the service.
func serviceGapLimit(s *Service) time.Duration {
	if s.GapLimit > 0 {
		return s.GapLimit
	}
	return defaultGap
}

// stepBudget returns the longest prefill that fits into one step without exceeding the service's token gap limit.
func stepBudget(s *Service) time.Duration {
	limit := serviceGapLimit(s)
	return max(limit-gapMargin-s.Engine.StepTime(s.Engine.Slots/2, s.Engine.KVTokens/8), limit/5)
}

// score predicts the time until a prefill of that length ends at the engine, with penalties for the streams that it disturbs and
// for failures of the engine. Lower is better.
func (f *Fleet) score(c *candidate, prefill time.Duration) time.Duration {
	score := c.load.backlog + c.stepTime/2
	if !c.nonDisruptive(prefill) {
		score += time.Duration(c.load.strictStreams) * gapPenalty
	}
	score += time.Duration(c.m.health.failures * float64(failurePenalty))
	return score + time.Duration(f.random()*float64(jitter))
}

// firstFit returns the first engine in the common order that prefills the prompt in its next step without disturbing its streams,
// or else the one with the best score. It returns nil if no single engine has the memory.
func (f *Fleet) firstFit(candidates []candidate, prefill time.Duration, need int, s *Service) []candidate {
	maxRunning := int(slotShare * float64(s.Engine.Slots))
	budget := stepBudget(s)
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if !c.hasSlot || c.freeTokens < need {
			continue
		}
		backlogged := c.load.backlog > 0 && c.load.backlog+prefill > budget*2/3
		limit := c.load.gapLimit
		if limit == 0 {
			limit = serviceGapLimit(s)
		}
		if !backlogged && c.load.running < maxRunning && c.stepTime+c.load.queuedPrefill+prefill <= limit-gapMargin && c.m.health.failures < failureWeight {
			return candidates[i : i+1]
		}
		c.score = f.score(c, prefill)
		if best < 0 || c.score < candidates[best].score {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return candidates[best : best+1]
}

// newSelectionLocked returns a selection with the given first endpoint and updates the endpoint's probe and cold limit.
func (f *Fleet) newSelectionLocked(first *member, s *Service, now time.Time) *Selection {
	f.lastNumber++
	first.health.probing = first.health.consecutiveBroken > 0
	if f.isCold(first, s, now) {
		first.coldLimiter.record(now)
	}
	return &Selection{f: f, number: f.lastNumber, first: first}
}

// isCold reports whether the endpoint is cold and its service limits requests to cold endpoints.
func (f *Fleet) isCold(m *member, s *Service, now time.Time) bool {
	return s != nil && s.ColdRateLimit > 0 && now.Before(m.coldUntil)
}

// addWorkLocked counts the work of a request against an endpoint.
func (f *Fleet) addWorkLocked(p *Selection, m *member, w Work) {
	m.ownWork[p.number] = &w
	f.markChangedLocked(m, true)
}

// PendingPrefill returns the time of the prefills that are pending at the first endpoint now.
func (p *Selection) PendingPrefill(now time.Time) time.Duration {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	return p.first.load(now, nil).pendingPrefill
}

// PrefillDone records the first event: all segments of the prompt are prefilled.
func (p *Selection) PrefillDone() {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	w := p.first.ownWork[p.number]
	if w == nil || w.Prefill == 0 {
		return
	}
	w.Prefill = 0
	p.f.markChangedLocked(p.first, false)
	for i, m := range p.helpers {
		if p.remoteKV[i] > 0 {
			m.ownWork[p.number].Prefill = 0 // its memory is used until the end of the request
		} else {
			delete(m.ownWork, p.number)
		}
		p.f.markChangedLocked(m, false)
	}
	p.f.notifyCapacityLocked()
}

// End removes the request from its endpoints and records the outcome for the first one. Further calls do nothing.
func (p *Selection) End(now time.Time, o Outcome) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	if p.first.ownWork[p.number] == nil {
		return
	}
	for _, m := range p.helpers {
		delete(m.ownWork, p.number)
		p.f.markChangedLocked(m, false)
	}
	delete(p.first.ownWork, p.number)
	p.f.markChangedLocked(p.first, false)
	p.f.recordOutcomeLocked(p.first, now, o)
	p.f.notifyCapacityLocked()
}

// ReportRefusal excludes an engine of the placement for a while after another engine named it as the cause of a refusal: it is
// stopping or helps too many others. Peers learn of it from this VM, because the entries of endpoints show it only later, or not
// at all during an outage of the store.
func (p *Selection) ReportRefusal(now time.Time, address string) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	for _, m := range p.helpers {
		if m.entry.Address == address {
			m.suspectUntil = now.Add(suspectDuration)
			m.selfReported = true
			p.f.signalDirtyLocked()
		}
	}
}

// Retry times given with refusals.
const (
	retryFull       = 250 * time.Millisecond
	retryNoEndpoint = 500 * time.Millisecond
)

// refuseLocked returns the refusal if no endpoint can be selected. full is the number of usable endpoints without room.
func (f *Fleet) refuseLocked(now time.Time, service string, full int) *customer.Refusal {
	if full > 0 {
		return customer.Refuse(customer.ReasonQueueFull, "every endpoint of "+service+" is full", customer.RetryAfter(retryFull))
	}
	wait := retryNoEndpoint
	for _, m := range f.pools[service] {
		if d := m.health.retryAt.Sub(now); d > 0 && !m.entry.Draining && !f.drained[m.entry.DataCentre] {
			wait = min(wait, d)
		}
	}
	return customer.Refuse(customer.ReasonNoEndpoint, "no endpoint of "+service+" can take a request", customer.RetryAfter(wait))
}
