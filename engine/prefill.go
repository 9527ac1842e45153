package engine

import (
	"time"

	"goldcrestpath/customer"
)

// lane separates the prefill of short prompts from that of long ones. Engines prefill the short lane first.
type lane uint8

const (
	shortLane lane = iota // classes Short and Medium
	longLane              // classes Long and VeryLong
	numLanes
)

func laneOf(d Demand) lane {
	if customer.ClassOf(d.PromptTokens) < customer.Long {
		return shortLane
	}
	return longLane
}

// prefillTokens returns the part of the prompt that the endpoint has to compute.
func prefillTokens(d Demand) int { return max(d.PromptTokens-d.CachedTokens, 0) }

// prefillTime returns the time of n tokens at the endpoint's rate. Without a configured rate nothing is predicted.
func (l *Ledger) prefillTime(n int) time.Duration {
	if l.spec.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / l.spec.PrefillRate * float64(time.Second))
}

// laneEnd predicts when the endpoint begins to prefill a further prompt of the lane.
func (l *Ledger) laneEnd(k lane) time.Time {
	end := later(l.now, l.otherPrefillEnd)
	for _, r := range l.held {
		if r.lane <= k {
			end = later(end, r.prefillEnd)
		}
	}
	return end
}

// end predicts the end of a request whose prefill ends at prefilled. The part of MaxTokens that is used comes from earlier
// answers.
func (l *Ledger) end(prefilled time.Time, d Demand) time.Time {
	if l.spec.DecodeRate <= 0 {
		return prefilled
	}
	seconds := l.answerPart * float64(d.MaxTokens) / l.spec.DecodeRate
	return prefilled.Add(time.Duration(seconds * float64(time.Second)))
}

// schedulePrefill sets when r's prefill is predicted to end and delays the long prompts behind a short one.
func (l *Ledger) schedulePrefill(r *reservation) {
	took := l.prefillTime(prefillTokens(r.demand))
	r.prefillEnd = l.laneEnd(r.lane).Add(took)
	r.firstToken = r.prefillEnd.Sub(l.now)
	if r.lane == longLane {
		return
	}
	for _, other := range l.held {
		if other.lane == longLane && other.prefillEnd.After(l.now) {
			other.prefillEnd = other.prefillEnd.Add(took)
		}
	}
}

// remaining returns the tokens of r that are predicted to be not yet prefilled at t.
func (l *Ledger) remaining(r *reservation, t time.Time) int {
	left := r.prefillEnd.Sub(t)
	if left <= 0 {
		return 0
	}
	return min(prefillTokens(r.demand), int(left.Seconds()*l.spec.PrefillRate))
}

// correctPrefill fits the prediction to the backlog that a report states for the time sampled. previous is the time of the
// report before it.
func (l *Ledger) correctPrefill(backlog int, sampled, previous time.Time) {
	end := sampled.Add(l.prefillTime(backlog))
	known := 0
	var last *reservation
	for _, r := range l.held {
		if !r.listed || !r.prefillEnd.After(previous) {
			continue
		}
		if r.prefillEnd.After(end) {
			r.prefillEnd = end
		}
		known += l.remaining(r, sampled)
		if last == nil || r.prefillEnd.After(last.prefillEnd) {
			last = r
		}
	}
	rest := max(backlog-known, 0)
	if last != nil && last.lane == longLane {
		// The endpoint is behind the prediction. A prompt that was not through at the last report is not through now.
		if more := prefillTokens(last.demand) - l.remaining(last, sampled); more > 0 {
			more = min(more, rest)
			last.prefillEnd = later(last.prefillEnd, sampled).Add(l.prefillTime(more))
			rest -= more
		}
	}
	l.otherPrefillEnd = sampled.Add(l.prefillTime(rest))
}

// longPrefill returns the tokens of class Long and the number of prompts of class VeryLong that are being prefilled.
func (l *Ledger) longPrefill() (tokens, veryLong int) {
	for _, r := range l.held {
		if r.lane != longLane || !r.prefillEnd.After(l.now) {
			continue
		}
		if customer.ClassOf(r.demand.PromptTokens) == customer.VeryLong {
			veryLong++
		} else {
			tokens += l.remaining(r, l.now)
		}
	}
	return tokens, veryLong
}
