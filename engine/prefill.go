package engine

import (
	"time"

	"goldcrestpath/customer"
)

// lane is one of two priority lanes for prefill. Engines prefill the short lane first.
type lane uint8

const (
	shortLane lane = iota // classes Short and Medium
	longLane              // classes Long and VeryLong
	numLanes
)

// laneOf returns the lane of a request.
func laneOf(req GrantRequest) lane {
	if customer.ClassOf(req.PromptTokens) < customer.Long {
		return shortLane
	}
	return longLane
}

// prefillTokens returns the number of prompt tokens that the endpoint has to prefill because they are not cached.
func prefillTokens(d GrantRequest) int { return max(d.PromptTokens-d.CachedTokens, 0) }

// prefillTime returns the time to prefill n tokens at the endpoint's rate, or 0 if no rate is configured.
func (l *Ledger) prefillTime(n int) time.Duration {
	if l.spec.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / l.spec.PrefillRate * float64(time.Second))
}

// laneFreeAt predicts when the endpoint can begin to prefill another prompt of lane k.
func (l *Ledger) laneFreeAt(k lane) time.Time {
	end := later(l.now, l.unattributedPrefillEnd)
	for _, r := range l.reservations {
		if r.lane <= k {
			end = later(end, r.prefillEnd)
		}
	}
	return end
}

// predictEnd predicts the end of a request whose prefill ends at prefillEnd. It assumes that the answer uses the same fraction
// of MaxTokens as earlier answers on average.
func (l *Ledger) predictEnd(prefillEnd time.Time, req GrantRequest) time.Time {
	if l.spec.DecodeRate <= 0 {
		return prefillEnd
	}
	seconds := l.answerRatio * float64(req.MaxTokens) / l.spec.DecodeRate
	return prefillEnd.Add(time.Duration(seconds * float64(time.Second)))
}

// schedulePrefill predicts when r's prefill ends. If r is short, it delays the predicted end of all long prompts whose prefill
// is pending.
func (l *Ledger) schedulePrefill(r *reservation) {
	duration := l.prefillTime(prefillTokens(r.request))
	r.prefillEnd = l.laneFreeAt(r.lane).Add(duration)
	r.firstToken = r.prefillEnd.Sub(l.now)
	if r.lane == longLane {
		return
	}
	for _, other := range l.reservations {
		if other.lane == longLane && other.prefillEnd.After(l.now) {
			other.prefillEnd = other.prefillEnd.Add(duration)
		}
	}
}

// remainingPrefill returns the predicted pending prefill of r at t, in tokens.
func (l *Ledger) remainingPrefill(r *reservation, t time.Time) int {
	left := r.prefillEnd.Sub(t)
	if left <= 0 {
		return 0
	}
	return min(prefillTokens(r.request), int(left.Seconds()*l.spec.PrefillRate))
}

// correctPrefill adjusts the predictions to the prefill backlog that a report states for sampledAt. previousSample is the
// sample time of the previous report.
func (l *Ledger) correctPrefill(backlog int, sampledAt, previousSample time.Time) {
	end := sampledAt.Add(l.prefillTime(backlog))
	attributed := 0
	var last *reservation
	for _, r := range l.reservations {
		if !r.listed || !r.prefillEnd.After(previousSample) {
			continue
		}
		if r.prefillEnd.After(end) {
			r.prefillEnd = end
		}
		attributed += l.remainingPrefill(r, sampledAt)
		if last == nil || r.prefillEnd.After(last.prefillEnd) {
			last = r
		}
	}
	unattributed := max(backlog-attributed, 0)
	if last != nil && last.lane == longLane {
		// The endpoint may be slower than predicted. Attribute as much of the rest as possible to the long prompt whose prefill
		// was predicted to end last. It was pending at the previous report and is assumed to be pending still.
		if more := prefillTokens(last.request) - l.remainingPrefill(last, sampledAt); more > 0 {
			more = min(more, unattributed)
			last.prefillEnd = later(last.prefillEnd, sampledAt).Add(l.prefillTime(more))
			unattributed -= more
		}
	}
	l.unattributedPrefillEnd = sampledAt.Add(l.prefillTime(unattributed))
}

// longPrefillBacklog returns the pending prefill of prompts of class Long, in tokens, and the number of prompts of class
// VeryLong whose prefill is pending.
func (l *Ledger) longPrefillBacklog() (tokens, veryLong int) {
	for _, r := range l.reservations {
		if r.lane != longLane || !r.prefillEnd.After(l.now) {
			continue
		}
		if customer.ClassOf(r.request.PromptTokens) == customer.VeryLong {
			veryLong++
		} else {
			tokens += l.remainingPrefill(r, l.now)
		}
	}
	return tokens, veryLong
}
