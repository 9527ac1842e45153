package endpoint

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the choice among the engines of a cell.
const (
	// arrivalWindow is the time over which arrivals are counted. It is several times the usual age of the loads of peers, so that most
	// of the arrivals are known.
	arrivalWindow = time.Second
	// arrivalHorizon is the time for which the short prompts that arrive next find room in the prefix.
	arrivalHorizon = 300 * time.Millisecond
	// spreadArrivals is the number of prompts that arrive before a selection is known to the other VMs from which the prefix is used. With
	// fewer, first fit leaves more engines to long prompts: with the prefix at 57 short prompts a second, 59 of 78 long ones met their target, and 68 without.
	spreadArrivals = 1.0
	// viewAgeWeight is the weight of the newest sample in the moving average of the age of loads.
	viewAgeWeight = 0.1
	// maxPeersRemembered bounds the peers whose newest request is remembered. VMs that are replaced have new addresses.
	maxPeersRemembered = 4096
	// repeatedWithin is the difference of send times up to which two reports of a peer may be of the same request.
	repeatedWithin = 5 * time.Millisecond
	// spreadShare is the share of the batch slots for short prompts that the streams of the prefix use on average, if spreadLimit allows it.
	// The rest takes the prompts that arrive before the loads of peers do.
	spreadShare = 0.5
	// spreadLimit is the share of the engines beyond which the prefix grows only if its streams need more than its batch slots for short
	// prompts. Without the limit, the prefix took the engines of the long prompts: in a simulation of 45 engines with 150 short
	// prompts a second, 21 of 37 long prompts met their target, and 33 with it.
	spreadLimit = 0.5
)

// WithDataCentreWeighing enables the placement by demand and by the delays between data centres for the services whose configuration
// has these delays.
func WithDataCentreWeighing() FleetOption {
	return func(f *Fleet) { f.weighDataCentres = true }
}

// weighs reports whether the placement by demand and delays is in force for a service.
func (f *Fleet) weighs(s *Service) bool {
	return f.weighDataCentres && s.Engine != nil && len(s.Engine.Delays) > 0
}

// prefixLen returns how many engines of the common order the short streams use, 0 if so few short prompts arrive that VMs rarely choose
// within the propagation time of loads.
func (f *Fleet) prefixLen(candidates []candidate, s *Service) int {
	running, recent := 0, 0
	for i := range candidates {
		running += candidates[i].load.running
		recent += candidates[i].load.recent
	}
	if float64(recent)*max(f.viewAge, loadDelay).Seconds() < spreadArrivals*arrivalWindow.Seconds() {
		return 0
	}
	slots, streams := f.shortSlots(s), float64(running)
	arrivals := float64(recent) * float64(arrivalHorizon) / float64(arrivalWindow)
	n := float64(len(candidates))
	limit := min(spreadLimit*n, max(n-maxHelpers-1, n/3))
	sparse := min((streams+arrivals)/(spreadShare*slots), limit)
	return min(int(max(sparse, streams/slots))+1, len(candidates))
}

// placement is a decision about a short prompt: the engines with their inputs and scores, and the one that was chosen.
type placement struct {
	candidates []candidate // in the common order; accepts, crossing and score are set for those of the prefix
	prefix     int         // how many of them the short streams use
	chosen     int         // index of the chosen one, -1 if none of the prefix accepts the prompt
}

// placeShort chooses among the engines of the prefix that accept a short prompt: the better of two drawn at random from those of this
// VM's data centre and of the data centres that are better than it. A data centre is better if the mean cost of its engines is lower by
// more than the work that may be on its way. The cost of an engine is the predicted wait there, the delay there and back, and
// a penalty for the streams that the prompt would disturb. If no engine of the prefix at home accepts the prompt, any data
// centre is better, because the engines behind the prefix are left to long prompts.
//
// Drawing from all accepting engines balances the load: the more of them the better data centres have, the more prompts leave, and the
// prompts that leave at the same moment spread over them. Two VMs with the same loads never send prompts to each other's data centre,
// because only one of the two can be better, and one without an accepting engine takes none.
func (f *Fleet) placeShort(now time.Time, candidates []candidate, prefill time.Duration, s *Service, accepts func(c *candidate) bool) placement {
	p := placement{candidates: candidates, prefix: f.prefixLen(candidates, s), chosen: -1}
	blind := f.blindLocked(now)
	if blind {
		p.prefix = len(candidates) // without the loads of peers there is no demand to size the prefix by
	}
	if p.prefix == 0 {
		return p
	}
	var costBuffer [8]dataCentreCost
	costs := costBuffer[:0]
	var homeBuffer, awayBuffer [48]int
	drawn, away := homeBuffer[:0], awayBuffer[:0]
	recent := 0
	for i := range p.prefix {
		c := &candidates[i]
		recent += c.load.recent
		dataCentre := c.member.entry.DataCentre
		c.crossing = 2 * s.Engine.Delays[[2]string{f.cells.dataCentre, dataCentre}]
		c.score = c.load.pendingPrefill + 2*c.stepTime + c.crossing
		c.accepts = accepts(c)
		cost := c.score
		if !c.accepts {
			cost += time.Duration(c.load.strictStreams) * gapPenalty
		}
		costs = addCost(costs, cost, c)
		switch {
		case !c.accepts:
		case dataCentre == f.cells.dataCentre:
			drawn = append(drawn, i)
		default:
			away = append(away, i)
		}
	}
	reason := LeaveFaster
	switch home := len(drawn); {
	case home == 0 && !blind:
		drawn, reason = away, LeaveBusy
	case home > 0 && !blind:
		// Work that is on its way to an engine when its load is read.
		margin := arrivingPrefill(prefill, recent, loadDelay) / time.Duration(p.prefix)
		limit := costOf(costs, f.cells.dataCentre, prefill) - margin
		for _, i := range away {
			if costOf(costs, candidates[i].member.entry.DataCentre, prefill) < limit {
				drawn = append(drawn, i)
			}
		}
	}
	if len(drawn) == 0 {
		return p
	}
	p.chosen = f.betterOfTwo(candidates, drawn)
	if c := &candidates[p.chosen]; c.member.entry.DataCentre != f.cells.dataCentre {
		c.leaveReason = reason
	}
	return p
}

// loadDelay is the time from a selection to the arrival of its load at the other VMs.
const loadDelay = 12 * time.Millisecond

// arrivingPrefill returns the total prefill time of the prompts that arrive within the horizon, if recent ones arrived within arrivalWindow.
// Multiplied as durations, it would overflow at some hundred prompts a second.
func arrivingPrefill(prefill time.Duration, recent int, horizon time.Duration) time.Duration {
	return time.Duration(float64(prefill) * float64(recent) * float64(horizon) / float64(arrivalWindow))
}

// observeAgeLocked updates the mean age of loads when they arrive from the requests that a peer had not reported before. Peers that are
// short of processor time report late.
func (f *Fleet) observeAgeLocked(now time.Time, vm string, requests []Work) {
	if len(f.newestSent) > maxPeersRemembered {
		clear(f.newestSent)
	}
	newest := f.newestSent[vm]
	for i := range requests {
		sent := requests[i].SentAt
		if sent.Sub(newest) <= repeatedWithin {
			continue
		}
		if !newest.IsZero() {
			f.viewAge += time.Duration(viewAgeWeight * float64(now.Sub(sent)-f.viewAge))
		}
		newest = sent
	}
	f.newestSent[vm] = newest
}

// blindAfter is how long a VM hears no peer until it uses the engines of its own data centre first, because it no longer knows
// the loads of the others.
const blindAfter = 2 * time.Second

// blindLocked reports whether no peer was heard for so long that no work is sent to other data centres because of their loads.
func (f *Fleet) blindLocked(now time.Time) bool {
	return f.weighDataCentres && f.vms > 1 && !f.lastHeard.IsZero() && now.Sub(f.lastHeard) > blindAfter
}

// dataCentreCost is the cost of the engines of one data centre.
type dataCentreCost struct {
	dataCentre                 string
	sum                        time.Duration // of the costs of the engines
	engines, accepting, recent int
}

// addCost adds the cost of an engine to that of its data centre.
func addCost(costs []dataCentreCost, cost time.Duration, c *candidate) []dataCentreCost {
	i := slices.IndexFunc(costs, func(d dataCentreCost) bool { return d.dataCentre == c.member.entry.DataCentre })
	if i < 0 {
		i = len(costs)
		costs = append(costs, dataCentreCost{dataCentre: c.member.entry.DataCentre})
	}
	d := &costs[i]
	d.sum += cost
	d.engines++
	d.recent += c.load.recent
	if c.accepts {
		d.accepting++
	}
	return costs
}

// costOf returns the mean cost of a data centre that has engines in costs: the mean of its engines, plus the prefills of the prompts
// that arrive there within arrivalHorizon, on the engines that accept prompts.
func costOf(costs []dataCentreCost, dataCentre string, prefill time.Duration) time.Duration {
	for _, d := range costs {
		if d.dataCentre == dataCentre {
			return d.sum/time.Duration(d.engines) + arrivingPrefill(prefill, d.recent, arrivalHorizon)/time.Duration(max(d.accepting, 1))
		}
	}
	return 0
}

// betterOfTwo returns the better of two of the engines with the given indices, drawn at random.
func (f *Fleet) betterOfTwo(candidates []candidate, indices []int) int {
	first := f.draw(len(indices))
	a := indices[first]
	if len(indices) == 1 {
		return a
	}
	second := f.draw(len(indices) - 1)
	if second >= first {
		second++ // a different engine
	}
	b := indices[second]
	la, lb := &candidates[a].load, &candidates[b].load
	if cmp.Or(cmp.Compare(lb.pendingPrefill, la.pendingPrefill), cmp.Compare(lb.running, la.running)) < 0 {
		return b
	}
	return a
}

// draw returns a random number in [0, n).
func (f *Fleet) draw(n int) int { return min(int(f.random()*float64(n)), n-1) }

// sortByDataCentre sorts free engines for a joint prefill on n of them by score, with a preference for those of one data centre: of this
// VM's if it has n of them, or else of the one with the most. A helper in another data centre costs the delay to it. A greater
// preference makes the VMs of a data centre choose the same helpers: in a simulation of 30 engines with a drained data centre, 0.87 of
// the long prompts met their target, and 0.81 with a strict preference.
func (f *Fleet) sortByDataCentre(free []candidate, n int, s *Service) {
	count := map[string]int{}
	for i := range free {
		count[free[i].member.entry.DataCentre]++
	}
	anchor := f.cells.dataCentre
	if count[anchor] < n {
		for dataCentre, k := range count {
			if k > count[anchor] || k == count[anchor] && anchor != f.cells.dataCentre && dataCentre < anchor {
				anchor = dataCentre
			}
		}
	}
	for i := range free {
		c := &free[i]
		c.crossing = s.Engine.Delays[[2]string{anchor, c.member.entry.DataCentre}]
		c.score += c.crossing
	}
	slices.SortFunc(free, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
}
