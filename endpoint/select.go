package endpoint

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"goldcrestpath/customer"
)

// Parameters of the selection of engines.
const (
	// maxHelpers is how many engines may prefill segments of a prompt in addition to the first one; engines accept no more.
	maxHelpers = 16
	// gapMargin is the share of the accepted token gap that is reserved for the path from the engine to the caller.
	gapMargin = 25 * time.Millisecond
	// defaultGap is the token gap limit of a service if none of its routes declares one.
	defaultGap = 250 * time.Millisecond
	// slotShare is the share of an engine's batch slots that short prompts fill before the next engine is used, unless WithSpareSlots sets how
	// many they leave free. A full batch lengthens each step and leaves no slots for requests that another VM sends at the same moment.
	slotShare = 0.75
	// failurePenalty is added to the score of an endpoint that fails every request.
	failurePenalty = 2 * time.Second
	// gapPenalty is added to the score for each stream whose accepted token gap a prefill would exceed.
	gapPenalty = 80 * time.Millisecond
	// jitter is the upper bound of the random term of the score. It lowers the chance that VMs choose the same engine
	// when they select by the same loads at the same moment.
	jitter = 2 * time.Millisecond
)

// Parameters of the selection for plain services. The score of an endpoint is the fraction of its slots in use, plus the terms
// below. The lowest score wins.
const (
	// callsPerSlot is how many calls per slot an endpoint may have. Instances queue a few calls beyond their slots.
	callsPerSlot = 2
	// callFailurePenalty is added to the score of an endpoint that fails every call, as if it ran that many calls per slot in
	// addition.
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
	Rank       Rank          // urgency
	Customer   string        // team that sent the request, "" if the route is public
	// Retried is set if the caller sends the prompt again after a refusal.
	Retried bool
	// Interrupted is set if an attempt was sent and failed, so that the prompt has been placed before.
	Interrupted bool
	Waiter      *Waiter // registration of the prompt as waiting, nil before it waits
	// givesWay is set while capacity is scarce and the prompt is not of the most urgent rank.
	givesWay bool
	exceeds  bool // the customer exceeds its share of scarce capacity
}

// Target is an endpoint that takes part in a request.
type Target struct {
	ID             string
	Address        string
	RemoteKVTokens int // tokens of the prompt that it stores as remote KV for the first endpoint
}

// Selection holds the endpoints selected for one request. The request counts as load on them until End is called.
type Selection struct {
	fleet              *Fleet
	number             uint64 // unique within this process
	first              *member
	helpers            []*member
	remoteKV           []int         // tokens of remote KV that each of the helpers stores
	expectedTTFT       time.Duration // predicted TTFT
	backlogAtSelection time.Duration // backlog of the first endpoint when it was selected
	leaveReason        LeaveReason   // why it is in another data centre than this VM
	runningAtSelection int           // requests that ran at the first endpoint when it was selected
	slowAtSelection    bool          // the first endpoint counted as slow when it was selected
	lastEventAt        time.Time     // arrival of the last event
	lastStep           time.Duration // predicted duration of a step at that time
}

// First returns the endpoint that receives the request and sends the answer.
func (s *Selection) First() Target {
	return Target{ID: s.first.entry.ID, Address: s.first.entry.Address}
}

// Helpers returns the other engines that prefill segments of the prompt.
func (s *Selection) Helpers() []Target {
	targets := make([]Target, len(s.helpers))
	for i, m := range s.helpers {
		targets[i] = Target{ID: m.entry.ID, Address: m.entry.Address, RemoteKVTokens: s.remoteKV[i]}
	}
	return targets
}

// ID returns a text that identifies the selection among those of this process.
func (s *Selection) ID() string { return strconv.FormatUint(s.number, 36) }

// ExpectedTTFT returns the predicted TTFT, 0 for a plain service.
func (s *Selection) ExpectedTTFT() time.Duration { return s.expectedTTFT }

// BacklogAtSelection returns the predicted time until all prefills at the first endpoint have ended, as of the selection.
func (s *Selection) BacklogAtSelection() time.Duration { return s.backlogAtSelection }

// RunningAtSelection returns the number of requests that ran at the first endpoint when it was selected.
func (s *Selection) RunningAtSelection() int { return s.runningAtSelection }

// SelectForCall selects the endpoint of a plain service with the lowest fraction of its slots in use, with a penalty for failures.
// It does not select the endpoints whose IDs are in exclude. Without CallRank, the call is of the most urgent rank.
func (f *Fleet) SelectForCall(now time.Time, service string, exclude []string, opts ...CallOption) (*Selection, *customer.Refusal) {
	var call callOptions
	for _, opt := range opts {
		opt(&call)
	}
	exceeds := f.exceedsShare(now, service, call.customer)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selectForCallLocked(now, service, exclude, call, exceeds)
}

func (f *Fleet) selectForCallLocked(now time.Time, service string, exclude []string, call callOptions, exceeds bool) (*Selection, *customer.Refusal) {
	f.removeExpiredLocked(now, service)
	s := f.services[service]
	choice := f.newCallChoice(s)
	full := 0
	for _, m := range f.pools[service] {
		if slices.Contains(exclude, m.entry.ID) || !f.usable(m, s, now) {
			f.trace.addUnusable(f, now, s, m)
			continue
		}
		l := m.load(now, nil, f.loadTTL())
		slots := max(m.entry.Slots, 1)
		if l.running >= callsPerSlot*slots || f.leavesLastSlot(s, call.rank) && l.running >= max(slots-1, 1) {
			full++
			choice.homeFull = choice.homeFull || m.entry.DataCentre == f.cells.dataCentre
			f.trace.addInstance(f, now, s, m, l, math.Inf(1))
			continue
		}
		score := float64(l.running)/float64(slots) + callFailurePenalty*m.health.failureRate + callJitter*f.random()
		f.trace.addInstance(f, now, s, m, l, choice.add(m, l, score))
	}
	best, reason := choice.result()
	if exceeds && (best.member == nil && full > 0 || best.member != nil && best.load.running >= max(best.member.entry.Slots, 1)) {
		return nil, f.shareRefusalLocked(now, service, call.customer, call.timeLeft, "all slots of "+service+" are in use")
	}
	if best.member == nil {
		return nil, f.refuseCallLocked(now, service, full, call.timeLeft)
	}
	sel := f.newSelectionLocked(best.member, s, now)
	sel.runningAtSelection, sel.leaveReason = best.load.running, reason
	f.addWorkLocked(sel, best.member, Work{SentAt: now, Decoding: true})
	return sel, nil
}

// candidate is an engine that may be selected for a segment of a prompt.
type candidate struct {
	member     *member
	load       load
	stepTime   time.Duration // duration of a step there without prefills
	hasSlot    bool          // a batch slot is free for the request itself
	freeTokens int           // free KV cache tokens
	score      time.Duration // lower is better
	pace       float64       // factor by which prefills there are slower than configured
	slow       bool          // the engine counts as slow
	probe      bool          // it is slow and due for a probe
	avoided    bool          // it is too slow for the prompt

	accepts     bool          // it prefills a short prompt in its next step without disturbing streams
	crossing    time.Duration // part of score that is due to the delay between data centres
	leaveReason LeaveReason   // why it was chosen although it is in another data centre than this VM
}

// nonDisruptive reports whether a prefill of that length keeps the token gaps of the engine's streams within what their callers
// accept.
func (c *candidate) nonDisruptive(prefill time.Duration) bool {
	return c.load.gapLimit == 0 || c.stepTime+c.load.queuedPrefill+c.paced(prefill) <= c.load.gapLimit-gapMargin
}

// expectedTTFT predicts the time to the first event after a prefill of that length at the engine.
func (c *candidate) expectedTTFT(prefill time.Duration) time.Duration {
	return c.load.backlog + c.paced(prefill) + 2*c.stepTime
}

// SelectForGeneration selects the engines that prefill a prompt, and among them the first one, which receives the request.
//
// All VMs order the engines in the same way, by the hash of their IDs. A prompt that fits into one step goes to the first engine
// in that order that has the capacity for it. Thus streams that accept only short token gaps gather on the engines at the beginning
// of the order, and those at the end stay free for long prefills. A long prompt is divided into segments for engines whose streams
// it does not disturb. It waits for them as long as it can still start in time. Later, it may use the engines where it disturbs the
// fewest streams.
//
// Engines whose IDs are in exclude are not selected.
func (f *Fleet) SelectForGeneration(now time.Time, service string, prompt Prompt, exclude []string) (*Selection, *customer.Refusal) {
	prompt.exceeds = f.exceedsShare(now, service, prompt.Customer)
	f.mu.Lock()
	defer f.mu.Unlock()
	sel, refusal := f.selectForGenerationLocked(now, service, prompt, exclude)
	return sel, f.spreadRetryLocked(service, prompt.TimeLimit-prompt.Waited, refusal)
}

func (f *Fleet) selectForGenerationLocked(now time.Time, service string, prompt Prompt, exclude []string) (*Selection, *customer.Refusal) {
	f.removeExpiredLocked(now, service)
	s := f.services[service]
	if s == nil || s.Engine == nil {
		return nil, customer.Refuse(customer.ReasonNoEndpoint, "the service "+service+" has no engine model")
	}
	sel, refusal := f.selectInCells(now, s, prompt, exclude)
	if refusal != nil && prompt.exceeds {
		refusal = f.refuseShareLocked(now, s, prompt, refusal)
	}
	return sel, refusal
}

// selectInCells selects engines of the home cell or, if that refuses the prompt, of another one.
func (f *Fleet) selectInCells(now time.Time, s *Service, prompt Prompt, exclude []string) (*Selection, *customer.Refusal) {
	sel, refusal := f.selectInCell(now, s, f.cells.home, prompt, exclude, f.cells.divided)
	f.trace.addRefusal(refusal)
	if refusal == nil || !f.cells.divided {
		return sel, refusal
	}
	if sel, other := f.selectInOtherCell(now, s, prompt, exclude, refusal); sel != nil || other != nil {
		return sel, other
	}
	if refusal == errBusy {
		return f.selectInCell(now, s, f.cells.home, prompt, exclude, false)
	}
	return nil, refusal
}

// errBusy is the refusal of a short prompt that would be late in its cell or disturb streams there.
var errBusy = customer.Refuse(customer.ReasonQueueFull, "the engines of the cell are busy", customer.RetryAfter(retryFull))

// selectInCell selects engines of one cell for a prompt. If onlyUndisturbed is set and every engine has a backlog or streams that a
// short prompt would disturb, the refusal is errBusy. A customer that exceeds its share disturbs no streams in any case. A choice that would
// take the room of more urgent prompts is made again among the engines that are left to less urgent ones.
func (f *Fleet) selectInCell(now time.Time, s *Service, c Cell, prompt Prompt, exclude []string, onlyUndisturbed bool) (*Selection, *customer.Refusal) {
	service := s.Name
	neededTokens := prompt.Tokens + prompt.MaxOutput
	candidates := f.candidatesLocked(now, s, c, exclude)
	f.trace.addCell(f, now, s, c, candidates)
	if len(candidates) == 0 {
		return nil, f.refuseLocked(now, service, 0)
	}
	prompt.givesWay = f.givesWayLocked(now, s, c, prompt.Rank, candidates, len(exclude) > 0)
	if neededTokens > maxHelpers*s.Engine.KVTokens {
		return nil, customer.Refuse(customer.ReasonMemory, "the prompt needs more memory than the engines have")
	}
	if !fits(candidates, neededTokens) {
		return nil, f.refuseLocked(now, service, len(candidates))
	}
	prefill := s.Engine.PrefillTime(prompt.Tokens)
	all := candidates
	if s.Prioritised {
		all = slices.Clone(candidates) // the next steps remove and change candidates
	}
	candidates = f.withoutSlowLocked(candidates, prompt, prefill, neededTokens, prefill <= stepBudget(s))
	chosen, refusal := f.chooseLocked(now, s, c, prompt, candidates, prefill, neededTokens, onlyUndisturbed)
	// A probe of a slow engine takes no room, and without the excluded engines the room is not known.
	if refusal == nil && len(exclude) == 0 && !chosen[0].probe && f.takesUrgentRoomLocked(s, c, &prompt, all, chosen, prefill) {
		candidates = f.withoutSlowLocked(all, prompt, prefill, neededTokens, prefill <= stepBudget(s))
		chosen, refusal = f.chooseLocked(now, s, c, prompt, candidates, prefill, neededTokens, onlyUndisturbed)
	}
	f.trace.addChoice(candidates, chosen, prompt.givesWay)
	if refusal != nil {
		return nil, refusal
	}
	return f.assignLocked(now, s, prompt, chosen, prefill/time.Duration(len(chosen))), nil
}

// chooseLocked chooses the engines for a prompt among the candidates.
func (f *Fleet) chooseLocked(now time.Time, s *Service, c Cell, prompt Prompt, candidates []candidate, prefill time.Duration, neededTokens int, onlyUndisturbed bool) ([]candidate, *customer.Refusal) {
	exceeds := prompt.exceeds && neededTokens <= s.Engine.KVTokens
	var chosen []candidate
	switch budget := stepBudget(s); {
	case prompt.givesWay:
		chosen = f.chooseUndisturbed(now, candidates, prefill, neededTokens, s)
	case prefill <= budget:
		var undisturbed bool
		if chosen, undisturbed = f.firstFit(now, candidates, prefill, neededTokens, s); !undisturbed && (onlyUndisturbed || exceeds) {
			return nil, errBusy
		}
	case prefill <= preferredSegment:
		// The prefill is too long for one step beside streams that accept only short token gaps, and too short to wait among the
		// long prompts. It is divided between two engines if two are free.
		if chosen = f.selectFree(candidates, prefill, neededTokens, 2, s); chosen == nil {
			var undisturbed bool
			if chosen, undisturbed = f.firstFit(now, candidates, prefill, neededTokens, s); !undisturbed && exceeds {
				return nil, errBusy
			}
		}
	}
	onOneEngine := prefill <= preferredSegment && neededTokens <= s.Engine.KVTokens
	if chosen == nil && onOneEngine && prompt.givesWay && prefill <= stepBudget(s) {
		// A short prompt waits for an engine where it disturbs no more urgent stream until its latest start.
		if wait := f.newWaitingPromptLocked(now, s.Name, c, prompt); !now.After(wait.StartBy) {
			return nil, errWait
		}
	}
	if chosen == nil && onOneEngine && !prompt.givesWay {
		return nil, f.refuseLocked(now, s.Name, len(candidates))
	}
	if chosen == nil {
		return f.selectForLong(now, c, candidates, neededTokens, s, prompt)
	}
	return chosen, nil
}

// assignLocked adds the request to the loads of the chosen engines. The one with the most free memory among those with a free batch
// slot becomes the first engine. Helpers store the KV cache for which it has no memory.
func (f *Fleet) assignLocked(now time.Time, s *Service, prompt Prompt, chosen []candidate, segment time.Duration) *Selection {
	var first *candidate
	for i := range chosen {
		if c := &chosen[i]; c.hasSlot && (first == nil || c.freeTokens > first.freeTokens) {
			first = c
		}
	}
	sel := f.newSelectionLocked(first.member, s, now)
	sel.leaveReason = first.leaveReason
	sel.backlogAtSelection, sel.runningAtSelection = first.load.backlog, first.load.running
	sel.slowAtSelection = first.slow
	if first.probe {
		f.paces.counts.Probes++
	}
	neededTokens := prompt.Tokens + prompt.MaxOutput
	firstTokens := neededTokens
	if neededTokens > first.freeTokens {
		firstTokens = usableTokens(first.freeTokens)
	}
	rest := neededTokens - firstTokens
	// Helpers that store remote KV come first, because an engine fills the memory of its helpers in order.
	slices.SortStableFunc(chosen, func(a, b candidate) int { return cmp.Compare(b.freeTokens, a.freeTokens) })
	for i := range chosen {
		c := &chosen[i]
		sel.expectedTTFT = max(sel.expectedTTFT, c.expectedTTFT(segment))
		if c.member == sel.first {
			continue
		}
		remote := min(rest, usableTokens(c.freeTokens))
		rest -= remote
		sel.helpers = append(sel.helpers, c.member)
		sel.remoteKV = append(sel.remoteKV, remote)
		f.addWorkLocked(sel, c.member, Work{Prefill: segment, SentAt: now, KVTokens: remote})
		if f.isCold(c.member, s, now) {
			c.member.coldLimiter.record(now)
		}
	}
	f.addWorkLocked(sel, sel.first, Work{Prefill: segment, SentAt: now, KVTokens: firstTokens, Decoding: true, GapLimit: prompt.GapLimit})
	return sel
}

// usableTokens returns the share of an engine's free memory that a selection may use. The rest allows for loads of peers that are
// slightly out of date, and for streams that grow.
func usableTokens(free int) int { return max(free, 0) * 9 / 10 }

// fits reports whether the engines have enough free memory and a batch slot for a request, one of them alone or all together.
func fits(candidates []candidate, neededTokens int) bool {
	sum, hasSlot := 0, false
	for i := range candidates {
		c := &candidates[i]
		if c.hasSlot && c.freeTokens >= neededTokens {
			return true
		}
		hasSlot = hasSlot || c.hasSlot
		sum += usableTokens(c.freeTokens)
	}
	return hasSlot && sum >= neededTokens
}

// candidatesLocked returns the engines of a cell that may prefill a segment of a prompt, in the common order.
func (f *Fleet) candidatesLocked(now time.Time, s *Service, c Cell, exclude []string) []candidate {
	candidates := make([]candidate, 0, len(f.pools[s.Name]))
	var urgentGap time.Duration
	if f.watchesLocked(s) {
		urgentGap = s.urgentGapLimit()
	}
	for _, m := range f.pools[s.Name] {
		if m.cell != c || slices.Contains(exclude, m.entry.ID) || !f.usable(m, s, now) {
			continue
		}
		l := m.urgentLoad(now, s.Engine, f.loadTTL(), urgentGap)
		candidates = append(candidates, candidate{
			member: m, load: l, stepTime: s.Engine.StepTime(l.running+1, l.context),
			hasSlot: l.running < max(s.Engine.Slots, 1), freeTokens: s.Engine.KVTokens - l.context, pace: 1,
		})
		if m.pace != nil {
			f.applyPaceLocked(now, &candidates[len(candidates)-1])
		}
	}
	return candidates
}

// serviceGapLimit returns the smallest token gap limit among the routes to the service, or defaultGap if none declares one.
func serviceGapLimit(s *Service) time.Duration {
	if s.GapLimit > 0 {
		return s.GapLimit
	}
	return defaultGap
}

// stepBudget returns the longest prefill that fits into one step of an engine with a half-full batch without exceeding the service's
// token gap limit. It is at least a fifth of that limit.
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
	score += time.Duration(c.member.health.failureRate * float64(failurePenalty))
	return score + time.Duration(f.random()*float64(jitter))
}

// shortSlots returns how many batch slots of an engine short prompts fill before the next engine is used.
func (f *Fleet) shortSlots(s *Service) float64 {
	slots := float64(max(s.Engine.Slots, 1))
	if f.spareSlots == 0 || s.Prioritised {
		return slotShare * slots
	}
	return max(slots-float64(f.spareSlots), 1)
}

// WithSpareSlots sets how many batch slots of an engine short prompts leave free before they use the next engine, in place of a quarter.
// An engine with streams that accept only short token gaps is of little use to long prompts, so the fewer slots are left free, the more
// engines long prompts find in a burst of short ones. It does not apply to services with priorities, because the room that less urgent
// prompts leave to urgent ones counts the slots up to slotShare.
func WithSpareSlots(n int) FleetOption {
	return func(f *Fleet) { f.spareSlots = n }
}

// firstFit returns the first engine in the common order that prefills the prompt in its next step without disturbing its streams,
// or else the one with the best score. While many short prompts arrive, the engine is drawn from a prefix of the order; see
// placeShort. It returns nil if no single engine has a batch slot and enough free memory. undisturbed
// reports which of these is the case.
func (f *Fleet) firstFit(now time.Time, candidates []candidate, prefill time.Duration, neededTokens int, s *Service) (chosen []candidate, undisturbed bool) {
	maxRunning := int(f.shortSlots(s))
	budget := stepBudget(s)
	accepts := func(c *candidate) bool {
		if !c.hasSlot || c.freeTokens < neededTokens {
			return false
		}
		paced := c.paced(prefill)
		backlogged := c.load.backlog > 0 && c.load.backlog+paced > budget*2/3
		limit := c.load.gapLimit
		if limit == 0 {
			limit = serviceGapLimit(s)
		}
		return !backlogged && c.load.running < maxRunning && c.stepTime+c.load.queuedPrefill+paced <= limit-gapMargin && c.member.health.failureRate < failureWeight
	}
	if f.weighs(s) {
		if p := f.placeShort(now, candidates, prefill, s, accepts); p.chosen >= 0 {
			return candidates[p.chosen : p.chosen+1], true
		}
	}
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if accepts(c) {
			return candidates[i : i+1], true
		}
		if !c.hasSlot || c.freeTokens < neededTokens {
			continue
		}
		c.score = f.score(c, prefill)
		if best < 0 || c.score < candidates[best].score {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	return candidates[best : best+1], false
}

// newSelectionLocked returns a selection with the given first endpoint. The request becomes the endpoint's probe if one is due, and
// counts against its limit while it is cold.
func (f *Fleet) newSelectionLocked(first *member, s *Service, now time.Time) *Selection {
	f.lastSelectionNumber++
	first.health.probing = first.health.consecutiveBroken > 0
	if f.isCold(first, s, now) {
		first.coldLimiter.record(now)
	}
	return &Selection{fleet: f, number: f.lastSelectionNumber, first: first}
}

// isCold reports whether the endpoint is cold and its service limits requests to cold endpoints.
func (f *Fleet) isCold(m *member, s *Service, now time.Time) bool {
	return s != nil && s.ColdRateLimit > 0 && (now.Before(m.coldUntil) || now.Before(m.returnColdUntil))
}

// addWorkLocked adds the work of a request to this VM's load on an endpoint.
func (f *Fleet) addWorkLocked(sel *Selection, m *member, w Work) {
	m.ownWork[sel.number] = &w
	f.markChangedLocked(m, true)
}

// PendingPrefill returns the total time of the prefills at the first endpoint that are not recorded as done.
func (s *Selection) PendingPrefill(now time.Time) time.Duration {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.first.load(now, nil, s.fleet.loadTTL()).pendingPrefill
}

// PrefillDone records that the first event arrived, which means that all segments of the prompt are prefilled. Further calls do
// nothing.
func (s *Selection) PrefillDone() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	w := s.first.ownWork[s.number]
	if w == nil || w.Prefill == 0 {
		return
	}
	w.Prefill = 0
	s.fleet.markChangedLocked(s.first, false)
	for i, m := range s.helpers {
		if s.remoteKV[i] > 0 {
			m.ownWork[s.number].Prefill = 0 // the helper stores remote KV until the end of the request
		} else {
			delete(m.ownWork, s.number)
		}
		s.fleet.markChangedLocked(m, false)
	}
	s.fleet.notifyCapacityLocked()
}

// End removes the request from its endpoints and records the outcome for the first one. Further calls do nothing.
func (s *Selection) End(now time.Time, o Outcome) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.first.ownWork[s.number] == nil {
		return
	}
	s.prefillsEndedLocked(now)
	for _, m := range s.helpers {
		delete(m.ownWork, s.number)
		s.fleet.markChangedLocked(m, true)
	}
	delete(s.first.ownWork, s.number)
	s.fleet.markChangedLocked(s.first, true)
	s.fleet.recordOutcomeLocked(s.first, now, o)
	s.fleet.notifyCapacityLocked()
}

// ReportRefusal excludes a helper of the selection for a while after the first engine named it as the cause of a refusal: the helper
// is stopping or helps too many other engines. Peers learn of the refusal from this VM, because the entries of endpoints show it
// only later, or not at all during an outage of the store.
func (s *Selection) ReportRefusal(now time.Time, address string) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, m := range s.helpers {
		if m.entry.Address == address {
			m.suspectUntil = now.Add(suspectDuration)
			m.selfReported = true
			s.fleet.signalStateChangedLocked()
		}
	}
}

// Retry times given with refusals.
const (
	retryFull       = 250 * time.Millisecond
	retryNoEndpoint = 500 * time.Millisecond
)

// refuseLocked returns the refusal if no endpoint can be selected. full is the number of usable endpoints without free capacity.
func (f *Fleet) refuseLocked(now time.Time, service string, full int) *customer.Refusal {
	if full > 0 {
		return customer.Refuse(customer.ReasonQueueFull, "every endpoint of "+service+" is full", customer.RetryAfter(retryFull))
	}
	if wait, ok := f.pausedLocked(now, service); ok {
		return customer.Refuse(customer.ReasonPaused, "every endpoint of "+service+" has asked for a pause", customer.RetryAfter(wait))
	}
	wait := retryNoEndpoint
	for _, m := range f.pools[service] {
		if d := m.health.retryAt.Sub(now); d > 0 && !m.entry.Draining && !f.drained[m.entry.DataCentre] {
			wait = min(wait, d)
		}
	}
	return customer.Refuse(customer.ReasonNoEndpoint, "no endpoint of "+service+" can take a request", customer.RetryAfter(wait))
}
