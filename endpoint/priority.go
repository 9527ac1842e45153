package endpoint

import (
	"cmp"
	"time"
)

// LowestPriority is the largest priority value, which marks the least urgent requests.
const LowestPriority = 9

// Rank is the urgency of a request. Lower values are more urgent: the priority of the customer decides before that of the route.
type Rank struct {
	Team  uint8 // priority of the customer if it has one, else that of the route
	Route uint8 // priority of the route
}

// Compare returns a negative number if r is more urgent than o, a positive one if it is less urgent, and 0 otherwise.
func (r Rank) Compare(o Rank) int {
	if c := cmp.Compare(r.Team, o.Team); c != 0 {
		return c
	}
	return cmp.Compare(r.Route, o.Route)
}

// UnknownRank is the rank of a peer's waiting prompt that was reported without one.
var UnknownRank = Rank{Team: 255, Route: 255}

// promotedAfter is the share of the time from a prompt's arrival to its latest start after which it is treated as most urgent, so that a
// steady load of more urgent prompts does not starve it.
const promotedAfter = 0.5

// Level returns the priority that an engine is told for a request of that rank, from 0, the most urgent one, to LowestPriority. Levels
// keep the order of ranks as far as the range allows. leastUrgent is the largest priority of the routes to the service.
func (r Rank) Level(leastUrgent uint8) int {
	return min(int(r.Team)*(int(leastUrgent)+1)+int(r.Route), LowestPriority)
}

// effectiveRank returns the rank by which a prompt is ordered among those that wait for the engines of the service.
func (w *WaitingPrompt) effectiveRank(now time.Time, s *Service) Rank {
	waited := w.StartWithin - w.StartBy.Sub(now)
	switch {
	case float64(waited) >= promotedAfter*float64(w.StartWithin):
		return Rank{}
	case w.Rank == UnknownRank:
		return Rank{Team: s.LeastUrgent, Route: s.LeastUrgent}
	default:
		return w.Rank
	}
}

// unavoidablePrefillLocked returns the total prefill time of the waiting prompts that precede w both now and once w is treated as most
// urgent. The others delay w only until then.
func (f *Fleet) unavoidablePrefillLocked(w *WaitingPrompt, now time.Time, s *Service) time.Duration {
	if !s.Prioritised {
		return f.precedingPrefillLocked(w, now, s)
	}
	promoted := w.StartBy.Add(-time.Duration((1 - promotedAfter) * float64(w.StartWithin)))
	var sum time.Duration
	f.eachPrecedingLocked(w, now, s, func(o *WaitingPrompt) bool {
		if promoted.Before(now) || o.precedes(w, promoted, s) {
			sum += o.Prefill
		}
		return true
	})
	return sum
}
