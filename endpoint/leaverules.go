package endpoint

import (
	"math"
	"strconv"
	"time"
)

// leaveRules state when work leaves the data centre of this VM. The same rules apply between the cells of a divided deployment and between
// instances of a plain service. With weigh, predicted times decide; otherwise the fixed thresholds do.
type leaveRules struct {
	weigh  bool
	delays map[[2]string]time.Duration // one-way, used with weigh
	from   string                      // data centre of this VM
	engine *Engine

	// leaveAfter is the share of the time from a long prompt's arrival to its latest start for which it waits for the engines of its own
	// cell only.
	leaveAfter float64
	// spareSlots is the least share of free batch slots of a cell that takes prompts from other cells, and spareMargin by how much that
	// share has to exceed the one in the prompt's own cell.
	spareSlots, spareMargin float64
	// spareWait is a wait for prefills at which a cell takes prompts from other cells even if they wait no longer in their own.
	spareWait time.Duration
	// callPenalty is added to the score of an instance of a plain service in another data centre, as a share of its slots.
	callPenalty float64
	// callTarget is the target of calls to a plain service, used with weigh.
	callTarget time.Duration
}

// fixedRules are the rules of deployments without WithDataCentreWeighing or without delays in their configuration.
var fixedRules = leaveRules{leaveAfter: 0.25, spareSlots: 0.2, spareMargin: 0.08, spareWait: 100 * time.Millisecond, callPenalty: 0.5}

const (
	// defaultCallTarget is the target of calls to a plain service whose routes declare none.
	defaultCallTarget = 500 * time.Millisecond
	// waitDrift is how much the wait in a cell without free slots can have grown in the age of its summary, as a share of that age.
	waitDrift = 0.2
)

// leaveRulesLocked returns the rules for a service.
func (f *Fleet) leaveRulesLocked(s *Service) leaveRules {
	if !f.weighDataCentres || len(f.delays) == 0 {
		rules := fixedRules
		if !f.cells.divided {
			rules.callPenalty = 0
		}
		return rules
	}
	rules := leaveRules{weigh: true, delays: f.delays, from: f.cells.dataCentre, leaveAfter: fixedRules.leaveAfter, callTarget: defaultCallTarget}
	if s != nil {
		rules.engine = s.Engine
		if s.UrgentTarget > 0 {
			rules.callTarget = s.UrgentTarget
		}
	}
	return rules
}

// callCost returns what is added to the score of an instance in another data centre: in a weighed service one slot, for a call that may
// be on its way, and the delay there and back as a share of the calls' target.
func (r *leaveRules) callCost(to string, slots int) float64 {
	if !r.weigh {
		return r.callPenalty
	}
	return 1/float64(max(slots, 1)) + float64(2*r.delays[[2]string{r.from, to}])/float64(r.callTarget)
}

// surplus returns how many prompts have to leave the home cell, which is in the given state, until its load and that of the other cell are
// balanced. It is 0 or negative if a prompt is not better off there.
func (r *leaveRules) surplus(now time.Time, state homeState, home *Summary, other *receivedSummary, prompt Prompt) float64 {
	if !r.weigh {
		return r.fixedSurplus(state, home, &other.Summary)
	}
	if state == homeUnusable {
		return math.Inf(1)
	}
	slots, prefill := float64(max(r.engine.Slots, 1)), r.engine.PrefillTime(prompt.Tokens)
	free := (other.FreeSlots - home.FreeSlots) * slots * float64(other.Engines) / 2
	if free < 1 {
		return 0 // it sends away as many prompts itself
	}
	if state == homeFull {
		return free
	}
	crossing := 2 * r.delays[[2]string{r.from, other.Cell.dataCentre()}]
	drift := time.Duration(waitDrift * (1 - other.FreeSlots) * float64(now.Sub(other.receivedAt)))
	harm := r.harm(home)
	if prefill <= preferredSegment {
		// Every engine at home has a backlog or streams that a short prompt would disturb.
		harm = time.Duration((1 - home.FreeSlots) * slots * float64(gapPenalty))
	}
	gain := home.Wait + harm - other.Wait - r.harm(&other.Summary) - crossing - drift
	if gain <= 0 {
		return 0
	}
	// A prompt that leaves shortens the wait at home and lengthens the other one, each by its prefill on one of the engines.
	byWait := float64(gain) * float64(other.Engines) / float64(2*max(prefill, time.Millisecond))
	return min(free, max(byWait, 1))
}

// harm returns the penalty for the streams that a prompt would disturb in a cell: an engine with more streams than slotShare of
// its slots takes no short prompt without disturbing them.
func (r *leaveRules) harm(s *Summary) time.Duration {
	beyond := max(1-s.FreeSlots-slotShare, 0) * float64(r.engine.Slots)
	return time.Duration(beyond * float64(gapPenalty))
}

// fixedSurplus returns 1 if the other cell passes the fixed thresholds, else 0. While home is busy, a cell qualifies only if it has capacity
// to spare. While home is full, free batch slots are enough, because the prompt cannot start at home however short the wait is.
func (r *leaveRules) fixedSurplus(state homeState, home, other *Summary) float64 {
	qualifies := true
	switch state {
	case homeBusy:
		qualifies = other.Engines > 0 && other.FreeSlots >= max(r.spareSlots, home.FreeSlots+r.spareMargin) && other.Wait <= max(r.spareWait, home.Wait/2)
	case homeFull:
		qualifies = other.FreeSlots >= r.spareSlots
	}
	if !qualifies {
		return 0
	}
	return 1
}

// leaves draws whether a prompt leaves the home cell, given the number of prompts that balance the load.
func (r *leaveRules) leaves(surplus float64, home *Summary, draw float64) bool {
	return !r.weigh || draw < leaveProbability(surplus, home.recent)
}

// leaveDraw returns a random number in [0, 1) by which a prompt decides whether to leave. A waiting prompt decides many times a second, so
// its number changes only after each arrivalHorizon; otherwise every waiting prompt would leave soon.
func (f *Fleet) leaveDraw(now time.Time, prompt Prompt) float64 {
	if prompt.Waiter == nil {
		return f.random()
	}
	round := uint64(now.UnixNano() / int64(arrivalHorizon))
	return float64(KeyOf(strconv.FormatUint(prompt.Waiter.ID^round, 36))>>11) / (1 << 53)
}

// draw returns the number by which a VM chooses among the cells that it has not joined; the lowest wins. With weigh, a cell is chosen
// in proportion to its free slots.
func (r *leaveRules) draw(vm Key, s *receivedSummary) float64 {
	weight := float64(rendezvous(vm, s.Cell))
	if !r.weigh {
		return weight
	}
	uniform := (weight + 1) / (math.MaxUint64 + 2.0)
	return -math.Log(uniform) / max(s.FreeSlots*float64(s.Engines), 1e-3)
}

// leaveProbability returns the probability with which a request leaves its data centre, if the load is balanced after surplus requests have
// left and recent requests arrived there within arrivalWindow. The requests of arrivalHorizon, the greatest usual age of loads, are
// decided by the same view.
func leaveProbability(surplus float64, recent int) float64 {
	concurrent := float64(recent) * float64(arrivalHorizon) / float64(arrivalWindow)
	if math.IsInf(surplus, 1) || surplus >= concurrent {
		return 1
	}
	return surplus / max(concurrent, 1)
}
