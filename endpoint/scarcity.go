package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"

	"goldcrestpath/customer"
)

// Parameters of scarcity.
const (
	// scarceSlots is the share of free batch slots below which capacity is scarce, and ampleSlots the share that ends the scarcity.
	scarceSlots = 0.1
	ampleSlots  = 0.25
	// ampleFor is how long capacity has to be ample without interruption until it is no longer scarce.
	ampleFor = time.Second
	// urgentSlotsDivisor determines the batch slots of an engine that are left to the most urgent rank while capacity is scarce: one
	// in this many, and at least one.
	urgentSlotsDivisor = 6
	// roomAhead is the time for whose arrivals of the most urgent rank a less urgent prompt leaves room. It is the time that one of its
	// segments usually takes. Twice or three times as much room refused a tenth of the medium prompts without a gain for short ones.
	roomAhead = preferredSegment
	// retrySpread is the share by which the retry times of refusals vary while capacity is scarce, so that the refused callers do not
	// return at the same time.
	retrySpread = 0.25
	// refusedFor is how long an endpoint that refused a request as full counts as full.
	refusedFor = time.Second
)

// scarcityKey identifies the scarcity of the endpoints of a service in a cell.
type scarcityKey struct {
	service string
	cell    Cell
}

// scarcity is the state of a service in a cell. Invariant: ampleSince is zero unless scarce is set.
type scarcity struct {
	scarce     bool
	ampleSince time.Time // since when capacity is ample without interruption
	cause      string    // why it last became scarce
	reported   bool      // scarce as last returned by TakeScarcityChanges
	seen       urgentCapacity
}

// urgentCapacity is what the most urgent rank finds at the endpoints of a service in a cell.
type urgentCapacity struct {
	slots, free int           // batch slots, and those that are free
	arrivals    int           // prompts of the rank that arrived within arrivalWindow and still run
	prefill     time.Duration // their mean prefill time, with their answers counted as prompt
	ttft        time.Duration // predicted TTFT of a prompt that arrived now; inTime states whether any engine can take it
	inTime      bool          // such a prompt would meet its target
}

// ScarcityChange is the beginning or the end of scarcity.
type ScarcityChange struct {
	Service  string
	Cell     Cell
	Scarce   bool
	Cause    string        // "slots", "target", "pause" or "longPrompt", see docs/design/priorities.md
	Slots    int           // batch slots of the endpoints in use
	Free     int           // those that are free
	TTFT     time.Duration // predicted TTFT of a prompt of the most urgent rank, 0 for a plain service or if no engine has a batch slot
	Arrivals int           // prompts of that rank in the last second
	Waiting  int           // prompts that wait for the engines
}

// Scarce reports whether the capacity for a service is scarce in this VM's cell. It returns false for services whose scarcity is not
// watched: those whose routes all have the same priority, unless customers have fair shares.
func (f *Fleet) Scarce(now time.Time, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil || !f.watchesLocked(s) {
		return false
	}
	return f.updateScarcityLocked(now, s, f.cells.home)
}

// TakeScarcityChanges updates the scarcity of all watched services and returns the changes since the last call.
func (f *Fleet) TakeScarcityChanges(now time.Time) []ScarcityChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		if f.watchesLocked(s) {
			f.updateScarcityLocked(now, s, f.cells.home)
		}
	}
	var changes []ScarcityChange
	for k, st := range f.scarcity {
		s := f.services[k.service]
		switch {
		case s == nil || !f.watchesLocked(s) || k.cell != f.cells.home && f.cells.joined[k.cell] == nil:
			st.scarce = false
		case k.cell != f.cells.home:
			f.updateScarcityLocked(now, s, k.cell)
		}
		if st.scarce != st.reported {
			st.reported = st.scarce
			changes = append(changes, ScarcityChange{
				Service: k.service, Cell: k.cell, Scarce: st.scarce, Cause: st.cause, Slots: st.seen.slots, Free: st.seen.free, TTFT: st.seen.ttft,
				Arrivals: st.seen.arrivals, Waiting: f.waitingCountLocked(queueKey(k.service, k.cell)),
			})
		}
		if !st.scarce && (s == nil || k.cell != f.cells.home && f.cells.joined[k.cell] == nil) {
			delete(f.scarcity, k)
		}
	}
	slices.SortFunc(changes, func(a, b ScarcityChange) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Cell, b.Cell))
	})
	return changes
}

// watchesLocked reports whether the scarcity of the service is watched. While customers have fair shares, all are, and every prompt of a
// service without priorities counts as urgent.
func (f *Fleet) watchesLocked(s *Service) bool { return s.Prioritised || f.shares != nil }

// updateScarcityLocked updates the scarcity of a service in a cell from the present loads and returns whether capacity is scarce.
func (f *Fleet) updateScarcityLocked(now time.Time, s *Service, c Cell) bool {
	if s.Engine == nil {
		return f.observeCallsLocked(now, s)
	}
	return f.observeLocked(now, s, c, f.candidatesLocked(now, s, c, nil)).scarce
}

// stateLocked returns the scarcity of a service in a cell.
func (f *Fleet) stateLocked(service string, c Cell) *scarcity {
	k := scarcityKey{service, c}
	st := f.scarcity[k]
	if st == nil {
		st = &scarcity{}
		f.scarcity[k] = st
	}
	return st
}

// observeLocked updates the scarcity of a service with engines from the loads of the candidates.
func (f *Fleet) observeLocked(now time.Time, s *Service, c Cell, candidates []candidate) *scarcity {
	st := f.stateLocked(s.Name, c)
	if len(candidates) == 0 {
		st.seen = urgentCapacity{}
		st.observeFree(now) // requests are refused for another reason
		return st
	}
	st.seen = f.urgentCapacityOf(now, s, candidates)
	switch {
	case float64(st.seen.free) < scarceSlots*float64(st.seen.slots):
		st.begin("slots")
	case !st.seen.inTime:
		st.begin("target")
	default:
		st.observeFree(now)
	}
	return st
}

// observeCallsLocked updates the scarcity of a plain service, which begins when every usable endpoint has all its slots in use.
func (f *Fleet) observeCallsLocked(now time.Time, s *Service) bool {
	st := f.stateLocked(s.Name, f.cells.home)
	u := urgentCapacity{}
	for _, m := range f.pools[s.Name] {
		if !f.usable(m, s, now) {
			continue
		}
		slots := max(m.entry.Slots, 1)
		u.slots += slots
		if !m.refusedLately(now) {
			u.free += max(slots-m.load(now, nil, f.loadTTL()).running, 0)
		}
	}
	st.seen = u
	switch {
	case u.free == 0 && u.slots > 0:
		st.begin("slots")
	default:
		st.observeFree(now)
	}
	return st.scarce
}

// begin records that capacity is scarce.
func (st *scarcity) begin(cause string) {
	if !st.scarce {
		st.scarce, st.cause = true, cause
	}
	st.ampleSince = time.Time{}
}

// observeFree ends the scarcity if enough slots have been free for ampleFor.
func (st *scarcity) observeFree(now time.Time) {
	switch {
	case !st.scarce:
	case float64(st.seen.free) < ampleSlots*float64(st.seen.slots):
		st.ampleSince = time.Time{}
	case st.ampleSince.IsZero():
		st.ampleSince = now
	case now.Sub(st.ampleSince) >= ampleFor:
		st.scarce, st.ampleSince = false, time.Time{}
	}
}

// urgentCapacityOf sums up the candidates. An endpoint that refused a request lately counts as full, which takes the place of the loads of
// peers that this VM does not hear.
func (f *Fleet) urgentCapacityOf(now time.Time, s *Service, candidates []candidate) urgentCapacity {
	u := urgentCapacity{}
	tokens := 0
	for i := range candidates {
		c := &candidates[i]
		u.slots += max(s.Engine.Slots, 1)
		if !c.member.refusedLately(now) {
			u.free += max(s.Engine.Slots-c.load.running, 0)
		}
		u.arrivals += c.load.arrivals
		tokens += c.load.arrivedTokens
	}
	if u.arrivals > 0 {
		u.prefill = s.Engine.PrefillTime(tokens / u.arrivals)
	}
	for i := range candidates {
		if c := &candidates[i]; c.hasSlot {
			if ttft := c.expectedTTFT(u.prefill); u.ttft == 0 || ttft < u.ttft {
				u.ttft = ttft
			}
		}
	}
	u.inTime = u.ttft > 0 && (s.UrgentTarget <= 0 || u.ttft <= s.UrgentTarget)
	return u
}

// refusedLately reports whether the endpoint refused a request of this VM within refusedFor.
func (m *member) refusedLately(now time.Time) bool {
	return !m.refusedAt.IsZero() && now.Sub(m.refusedAt) < refusedFor
}

// IsUrgent reports whether a request of that rank belongs to the most urgent ones of the service. The priority of the route decides,
// because targets and pause limits belong to the route.
func (s *Service) IsUrgent(r Rank) bool { return r.Route <= s.MostUrgent }

// urgentGapLimit returns the token gap limit by which streams of the most urgent rank are recognised. The loads that peers report have
// no rank.
func (s *Service) urgentGapLimit() time.Duration {
	if s.UrgentGap > 0 {
		return s.UrgentGap
	}
	return serviceGapLimit(s)
}

// room returns how many prompts of the most urgent rank the engine can take at once: those that fit into one step and into the slots that
// short prompts fill. It returns 0 if they would miss their target there. u is the state of the cell.
func (c *candidate) room(s *Service, u *urgentCapacity) int {
	if !c.hasSlot || s.UrgentTarget > 0 && c.expectedTTFT(u.prefill) > s.UrgentTarget {
		return 0
	}
	room := int(slotShare*float64(s.Engine.Slots)) - c.load.running
	if u.prefill > 0 {
		room = min(room, int((stepBudget(s)-c.load.queuedPrefill)/u.prefill))
	}
	return max(room, 0)
}

// neededRoom returns for how many prompts of the most urgent rank the engines have to be kept free.
func (u *urgentCapacity) neededRoom() int {
	return int(math.Ceil(float64(u.arrivals) * float64(roomAhead) / float64(arrivalWindow)))
}

// leavesRoom reports whether the most urgent rank has enough room on the engines other than those chosen for a prompt.
func (u *urgentCapacity) leavesRoom(s *Service, candidates, chosen []candidate) bool {
	room, needed := 0, u.neededRoom()
	for i := range candidates {
		c := &candidates[i]
		if !slices.ContainsFunc(chosen, func(o candidate) bool { return o.member == c.member }) {
			room += c.room(s, u)
		}
		if room >= needed {
			return true
		}
	}
	return room >= needed
}

// giveWay restricts the candidates for a prompt that is not of the most urgent rank while capacity is scarce. The last batch slots of each
// engine are left to that rank. The engines at the beginning of the common order that have the room for its arrivals count as if its
// streams ran there already. On engines with its streams, a step has room for one of its prompts besides a segment.
func (u *urgentCapacity) giveWay(s *Service, candidates []candidate) {
	// An earlier selection may have sorted the candidates.
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.member.key, b.member.key) })
	slots, gap := max(s.Engine.Slots, 1), s.urgentGapLimit()
	reserved := max(slots/urgentSlotsDivisor, 1)
	room, needed := 0, u.neededRoom()
	for i := range candidates {
		c := &candidates[i]
		if room < needed {
			if r := c.room(s, u); r > 0 {
				room += r
				c.load.gapLimit = gap
				c.load.strictStreams = max(c.load.strictStreams, 1)
			}
		}
		if c.hasUrgentStreams(s) {
			c.load.queuedPrefill += u.prefill
		}
		c.hasSlot = c.load.running < slots-reserved
	}
}

// hasUrgentStreams reports whether streams of the most urgent rank run at the engine, or it is kept free for them.
func (c *candidate) hasUrgentStreams(s *Service) bool {
	return c.load.gapLimit > 0 && c.load.gapLimit <= s.urgentGapLimit()
}

// spreadRetryLocked varies the retry time of a refusal while capacity is scarce. The caller waits for at most retryAfterShare of its remaining
// time, so the variation stays below that.
func (f *Fleet) spreadRetryLocked(service string, left time.Duration, r *customer.Refusal) *customer.Refusal {
	s := f.services[service]
	if r == nil || r.RetryAfter() <= 0 || s == nil || !s.Prioritised || noneUsable(r) {
		return r // the time until an endpoint can be used again is not varied
	}
	if st := f.scarcity[scarcityKey{service, f.cells.home}]; st == nil || !st.scarce {
		return r
	}
	mean := float64(r.RetryAfter())
	if left > 0 {
		mean = min(mean, retryAfterShare*float64(left)/(1+retrySpread))
	}
	return customer.Refuse(r.Reason(), r.Message(), customer.RetryAfter(time.Duration(mean*(1-retrySpread+2*retrySpread*f.random()))))
}

// waitingCountLocked returns the number of prompts that wait in a queue.
func (f *Fleet) waitingCountLocked(queue Key) int {
	n := 0
	for w := range f.waiters {
		if w.Queue == queue {
			n++
		}
	}
	for _, p := range f.peerWaitingPrompts {
		for i := range p.prompts {
			if p.prompts[i].Queue == queue {
				n++
			}
		}
	}
	return n
}

// givesWayLocked updates the scarcity and reports whether a prompt of that rank gives way to more urgent ones. If so, it restricts the
// candidates. partial is set if some engines are excluded from the candidates, which then do not show whether capacity is scarce.
func (f *Fleet) givesWayLocked(now time.Time, s *Service, c Cell, r Rank, candidates []candidate, partial bool) bool {
	if !f.watchesLocked(s) {
		return false
	}
	st := f.stateLocked(s.Name, c)
	if partial {
		st.seen = f.urgentCapacityOf(now, s, candidates)
	} else {
		f.observeLocked(now, s, c, candidates)
	}
	if !st.scarce || !s.Prioritised || s.IsUrgent(r) {
		return false
	}
	st.seen.giveWay(s, candidates)
	return true
}

// takesUrgentRoomLocked reports whether a less urgent prompt, if it were prefilled by the chosen engines, would disturb urgent streams or
// take the room that the most urgent rank needs. Capacity is scarce then, and the prompt gives way: it restricts the candidates for another choice.
func (f *Fleet) takesUrgentRoomLocked(s *Service, c Cell, prompt *Prompt, candidates, chosen []candidate, prefill time.Duration) bool {
	if !s.Prioritised || prompt.givesWay || s.IsUrgent(prompt.Rank) {
		return false
	}
	st := f.stateLocked(s.Name, c)
	switch {
	case disturbsUrgent(s, chosen, prefill):
		st.begin("pause")
	case !st.seen.leavesRoom(s, candidates, chosen):
		st.begin("longPrompt")
	default:
		return false
	}
	prompt.givesWay = true
	st.seen.giveWay(s, candidates)
	return true
}

// disturbsUrgent reports whether a prompt that the chosen engines prefill in equal segments disturbs streams of the most urgent rank.
func disturbsUrgent(s *Service, chosen []candidate, prefill time.Duration) bool {
	segment := prefill / time.Duration(max(len(chosen), 1))
	return slices.ContainsFunc(chosen, func(c candidate) bool { return c.hasUrgentStreams(s) && !c.nonDisruptive(segment) })
}

// chooseUndisturbed returns engines for a prompt that gives way, or nil if it has to wait for them. A prompt that fits into a step is
// prefilled by one engine, a slightly longer one by two.
func (f *Fleet) chooseUndisturbed(now time.Time, candidates []candidate, prefill time.Duration, neededTokens int, s *Service) []candidate {
	switch {
	case prefill <= stepBudget(s):
		if chosen, undisturbed := f.firstFit(now, candidates, prefill, neededTokens, s); undisturbed {
			return chosen
		}
	case prefill <= preferredSegment:
		return f.selectFree(candidates, prefill, neededTokens, 2, s)
	}
	return nil
}

// withoutUrgentStreams returns the engines without streams of the most urgent rank.
func withoutUrgentStreams(s *Service, candidates []candidate) []candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.hasUrgentStreams(s) })
}

// callOptions are the attributes of a call to a plain service.
type callOptions struct {
	rank     Rank
	customer string
	timeLeft time.Duration
}

// CallOption sets an attribute of a call for SelectForCall.
type CallOption func(*callOptions)

// CallRank sets the urgency of a call and the time until its caller gives up, 0 if unknown.
func CallRank(r Rank, left time.Duration) CallOption {
	return func(c *callOptions) { c.rank, c.timeLeft = r, left }
}

// CallCustomer sets the customer by whose fair share a call may be refused. Without it, the call is not refused by share.
func CallCustomer(name string) CallOption {
	return func(c *callOptions) { c.customer = name }
}

// leavesLastSlot reports whether a call of that rank leaves the last free slot of an endpoint to the most urgent rank.
func (f *Fleet) leavesLastSlot(s *Service, r Rank) bool {
	return s != nil && s.Prioritised && !s.IsUrgent(r)
}

// refuseCallLocked returns the refusal of a call to a plain service. full is the number of usable endpoints without a free slot.
func (f *Fleet) refuseCallLocked(now time.Time, service string, full int, left time.Duration) *customer.Refusal {
	if s := f.services[service]; s != nil && f.watchesLocked(s) {
		f.observeCallsLocked(now, s)
	}
	return f.spreadRetryLocked(service, left, f.refuseLocked(now, service, full))
}

// betweenEvents returns engines with urgent streams that prefill a prompt which gives way in segments that fit between the events of these
// streams, or nil. The prompt need not wait there for preceding prompts that are too long for such segments, because it delays none of them.
func (f *Fleet) betweenEvents(now time.Time, w *WaitingPrompt, candidates []candidate, neededTokens int, s *Service) []candidate {
	longest := (maxHelpers + 1) * stepBudget(s)
	delays := false
	f.eachPrecedingLocked(w, now, s, func(o *WaitingPrompt) bool { delays = o.Prefill <= longest; return !delays })
	if delays || w.Prefill > longest {
		return nil
	}
	urgent := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return !c.hasUrgentStreams(s) })
	for n := max(int(w.Prefill/stepBudget(s)), 1); n <= min(maxHelpers+1, len(urgent)); n++ {
		if chosen := f.selectFree(urgent, w.Prefill, neededTokens, n, s); chosen != nil {
			return chosen
		}
	}
	return nil
}
