package entry

import (
	"cmp"
	"slices"
	"time"
)

// maxRenewals bounds the owners that hear of grants in use in one second without a reason. A VM among hundreds holds grants of
// nearly all of them: with every owner in every second, 400 grants in use cost 200 KB/s among 314 members.
const maxRenewals = 8

// renewals schedules which owners hear of this VM's grants in use. It is pure.
//
// A renewal tells an owner what it may have missed: a lost release, a registration, or what it forgot when it restarted. So an
// owner for which one of these is known to have happened hears at once, and the others in turn. Until then a missed grant
// stays counted, by the owner or by the endpoint's report.
type renewals map[string]*renewal

type renewal struct {
	due         time.Time
	urgent      bool
	incarnation uint64 // of the owner's VM at the last renewal
}

// add notes that an owner may count grants of this VM.
func (r renewals) add(now time.Time, owner string) *renewal {
	w := r[owner]
	if w == nil {
		w = &renewal{due: now}
		r[owner] = w
	}
	return w
}

// hurry makes an owner hear with the next renewals, if it may count anything.
func (r renewals) hurry(owner string) {
	if w := r[owner]; w != nil {
		w.urgent = true
	}
}

// take returns the owners that hear now: self, the urgent ones, those that restarted, and up to limit others, the one that
// waits longest first.
func (r renewals) take(now time.Time, self string, limit int, incarnation func(owner string) uint64) []string {
	var out, others []string
	for owner, w := range r {
		i := incarnation(owner)
		switch {
		case owner == self || w.urgent || w.incarnation != 0 && w.incarnation != i:
			out = append(out, owner)
		case !w.due.After(now):
			others = append(others, owner)
		}
	}
	slices.SortFunc(others, func(a, b string) int { return cmp.Or(r[a].due.Compare(r[b].due), cmp.Compare(a, b)) })
	out = append(out, others[:min(len(others), limit)]...)
	for _, owner := range out {
		*r[owner] = renewal{due: now.Add(renewInterval / 2), incarnation: incarnation(owner)} // due again with the next renewals
	}
	return out
}
