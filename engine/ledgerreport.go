package engine

import "time"

// maxSendDelay is the time that a sent request may take to reach the endpoint. A grant that no report lists counts as unused
// once GrantLifetime and maxSendDelay have passed.
const maxSendDelay = time.Second

// ObserveReport applies an endpoint's report. Reports that are older than the last one applied are ignored.
func (l *Ledger) ObserveReport(now time.Time, r Report) {
	l.now = now
	sampledAt := now.Add(-r.Age)
	first, restarted := !l.hasReport, l.hasReport && r.Instance != l.instance
	switch {
	case first:
	case restarted && (r.Instance == l.previousInstance || sampledAt.Before(l.sampledAt)), !restarted && r.Sequence < l.sequence:
		return
	default:
		sampledAt = later(sampledAt, l.sampledAt)
	}
	previousSample := l.sampledAt
	if restarted {
		l.previousInstance = l.instance
	}
	l.hasReport, l.instance, l.sequence, l.sampledAt = true, r.Instance, r.Sequence, sampledAt
	l.otherModel = ""
	if r.Model != "" && r.Model != l.spec.Model {
		l.otherModel = r.Model
	}
	l.capacity, l.sequences = effectiveLimit(l.spec.KVTokens, r.KVTokens), effectiveLimit(l.spec.MaxSequences, r.Sequences)
	if restarted {
		l.allowance.reset()
	}
	l.allowance.observe(r.Cold)
	if first && !r.Cold {
		l.allowance.raise(r.Running) // the endpoint already runs this many sequences
		if l.previousLoad.Instance != 0 && l.previousLoad.Instance == r.Instance && !l.previousLoad.Cold {
			l.allowance.raise(l.allowance.warmLimit)
		}
	}
	l.matchStreams(r, sampledAt, restarted)
	l.correctPrefill(r.PrefillBacklog, sampledAt, previousSample)
	l.expire()
}

// SetPreviousLoad passes the endpoint's load, as the previous owner knew it, to a new ledger. If the endpoint was warm and still reports
// the same instance, it is treated as warm. Without this, a warm endpoint would lose most of its capacity at each change of
// owner, or all of it if the new owner does not hold a majority of the shares.
func (l *Ledger) SetPreviousLoad(previous Load) { l.previousLoad = previous }

// effectiveLimit returns the smaller of a configured and a reported limit. A reported limit of 0 means that the report states
// none.
func effectiveLimit(configured, reported int) int {
	if reported > 0 && reported < configured {
		return reported
	}
	return configured
}

// matchStreams matches the reported streams with the ledger's reservations. Streams without a reservation are foreign: they
// run under grants of another owner, or their connection has failed and the endpoint still keeps them.
func (l *Ledger) matchStreams(r Report, sampledAt time.Time, restarted bool) {
	listed := make(map[string]bool, len(r.Streams))
	clear(l.foreignStreams)
	l.foreignTokens = 0
	for _, st := range r.Streams {
		if listed[st.ID] {
			continue
		}
		listed[st.ID] = true
		if res, ok := l.reservations[st.ID]; ok {
			if more := st.Tokens - res.tokens; more > 0 {
				res.tokens += more
				l.reservedTokens += more
				l.accounts[res.request.Customer].tokens += more
			}
			continue
		}
		if at, ok := l.endedAt[st.ID]; ok && !sampledAt.After(at) {
			continue // the report describes a time before the stream ended
		}
		l.foreignStreams[st.ID] = st
		l.foreignTokens += st.Tokens
	}
	for id, failed := range l.failedStreams {
		if sampledAt.After(failed.failedAt) {
			delete(l.failedStreams, id) // if the endpoint still has the stream, the report lists it and it counts as foreign
		}
	}
	for id, res := range l.reservations {
		switch {
		case listed[id]:
			res.listed, res.instanceUncertain = true, false
		case restarted && (res.listed || !res.granted.Add(GrantLifetime+maxSendDelay).After(sampledAt)):
			l.removeReservation(res) // the restart ended the stream, or the request was never sent
		case restarted:
			// The grant is so recent that the request may still be sent, to the new instance.
			res.instanceUncertain = true
		case res.instanceUncertain && !res.granted.Add(GrantLifetime+maxSendDelay).After(sampledAt):
			l.removeReservation(res)
		}
	}
}
