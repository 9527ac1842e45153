package entry

import (
	"cmp"
	"slices"
	"time"
)

// maxRoutineRenewals bounds the renewals that are sent in one second without a specific reason. In a data centre with
// hundreds of VMs, a VM holds grants of nearly all owners: with a renewal to every owner in every second, 400 grants in
// use took 200 KB/s among 314 members.
const maxRoutineRenewals = 8

// renewals schedules which owners receive a renewal of this VM's grants in use. It does no I/O and reads no clock.
//
// A renewal repairs what an owner may have missed: a lost release, a lost registration, or grants that the owner lost
// when it restarted. An owner for which one of these is known to have happened receives a renewal at once, and the other
// owners in turn. Until then the affected grant stays counted, either by the owner or in the endpoint's report.
type renewals map[string]*renewal

// renewal is the schedule of the renewals to one owner.
type renewal struct {
	due         time.Time
	urgent      bool
	incarnation uint64 // of the owner at the last renewal
}

// add records that an owner may count grants of this VM.
func (r renewals) add(now time.Time, owner string) *renewal {
	entry := r[owner]
	if entry == nil {
		entry = &renewal{due: now}
		r[owner] = entry
	}
	return entry
}

// markUrgent includes an owner in the next renewals, if it may count any grants of this VM.
func (r renewals) markUrgent(owner string) {
	if entry := r[owner]; entry != nil {
		entry.urgent = true
	}
}

// takeDue returns the owners that receive a renewal now, and schedules their next one. These are self (this VM), the
// urgent owners, those that restarted, and up to limit others, starting with the one that has waited longest.
func (r renewals) takeDue(now time.Time, self string, limit int, incarnation func(owner string) uint64) []string {
	var out, others []string
	for owner, entry := range r {
		i := incarnation(owner)
		switch {
		case owner == self || entry.urgent || entry.incarnation != 0 && entry.incarnation != i:
			out = append(out, owner)
		case !entry.due.After(now):
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
