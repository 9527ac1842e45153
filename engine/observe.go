package engine

import "time"

// unsentMargin is added to GrantLifetime before an unlisted grant counts as never sent: the request's way to the endpoint.
const unsentMargin = time.Second

// Observe applies an endpoint's report. Reports that are older than the last one are ignored.
func (l *Ledger) Observe(now time.Time, r Report) {
	l.now = now
	sampled := now.Add(-r.Age)
	first, restarted := !l.reported, l.reported && r.Instance != l.instance
	switch {
	case first:
	case restarted && (r.Instance == l.retired || sampled.Before(l.sampled)), !restarted && r.Sequence < l.sequence:
		return
	default:
		sampled = later(sampled, l.sampled)
	}
	previous := l.sampled
	if restarted {
		l.retired = l.instance
	}
	l.reported, l.instance, l.sequence, l.sampled = true, r.Instance, r.Sequence, sampled
	l.otherModel = ""
	if r.Model != "" && r.Model != l.spec.Model {
		l.otherModel = r.Model
	}
	l.capacity, l.sequences = smaller(l.spec.KVTokens, r.KVTokens), smaller(l.spec.Sequences, r.Sequences)
	if restarted {
		l.allow.reset()
	}
	l.allow.observe(r.Cold)
	if first && !r.Cold {
		l.allow.raise(r.Running) // work that the endpoint bears at the moment
		if l.inherited.Instance != 0 && l.inherited.Instance == r.Instance && !l.inherited.Cold {
			l.allow.raise(l.allow.full)
		}
	}
	l.matchStreams(r, sampled, restarted)
	l.correctPrefill(r.PrefillBacklog, sampled, previous)
	l.expire()
}

// Inherit tells a new ledger what the endpoint's last owner knew. An endpoint that was warm and still reports the same instance
// counts as warm. Otherwise each change of owner would cost most of a warm endpoint's capacity, and all of it for an owner
// without a majority of the shares.
func (l *Ledger) Inherit(last Load) { l.inherited = last }

// smaller returns the smaller of a configured and a reported bound. A bound of 0 is not stated.
func smaller(configured, reported int) int {
	if reported > 0 && reported < configured {
		return reported
	}
	return configured
}

// matchStreams ties the reported streams to the grants. Streams without a grant are foreign work.
func (l *Ledger) matchStreams(r Report, sampled time.Time, restarted bool) {
	listed := make(map[string]bool, len(r.Streams))
	clear(l.foreign)
	l.foreignTokens = 0
	for _, st := range r.Streams {
		if listed[st.ID] {
			continue
		}
		listed[st.ID] = true
		if res, ok := l.held[st.ID]; ok {
			if more := st.Tokens - res.tokens; more > 0 {
				res.tokens += more
				l.heldTokens += more
				l.accounts[res.demand.Customer].tokens += more
			}
			continue
		}
		if at, ok := l.ended[st.ID]; ok && !sampled.After(at) {
			continue // the report describes a time before the end
		}
		l.foreign[st.ID] = st
		l.foreignTokens += st.Tokens
	}
	for id, d := range l.draining {
		if sampled.After(d.since) {
			delete(l.draining, id) // the report shows whether the endpoint still holds it
		}
	}
	for id, res := range l.held {
		switch {
		case listed[id]:
			res.listed, res.unproven = true, false
		case restarted && (res.listed || !res.granted.Add(GrantLifetime+unsentMargin).After(sampled)):
			l.free(res) // went with the old instance
		case restarted:
			// It was granted so recently that it may still be sent, to the new instance.
			res.unproven = true
		case res.unproven && !res.granted.Add(GrantLifetime+unsentMargin).After(sampled):
			l.free(res)
		}
	}
}
