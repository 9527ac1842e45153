package entry

import (
	"cmp"
	"slices"
	"time"
)

// QuotaDemand describes the demand of this VM's requests for a customer's quota.
type QuotaDemand struct {
	TokensPerSecond int
	Concurrent      int // requests, including running ones
	Running         int // running requests; the VM keeps their units until they end
}

// units returns the demand for one dimension of the quota and how much of it is in use.
func (d QuotaDemand) units(k quotaKind) (units, inUse int) {
	if k == quotaRate {
		return max(0, d.TokensPerSecond), 0
	}
	return max(0, d.Concurrent), max(0, d.Running)
}

// WithQuotaDemand sets the function that returns the demand of this VM's requests for a customer's quota. It is called on
// the control goroutine. Without it, the VMs that a customer sends requests to get equal quota shares.
func WithQuotaDemand(f func(customer string) QuotaDemand) Option {
	return func(o *options) { o.demand = f }
}

// demandByVM holds the demand of each VM for one dimension of a customer's quota.
type demandByVM map[LesseeID]reportedDemand

// reportedDemand is the demand that a VM sent in its last request.
type reportedDemand struct {
	units      int
	reportedAt time.Time
	remote     bool // the VM is in another data centre
}

// demandRotationInterval is how long the order among VMs of equal demand stays the same. With fewer units than VMs, the
// rotation gives each VM its turn.
const demandRotationInterval = 10 * time.Second

// allocation returns how many of total units a VM is to have. A VM of this data centre gets its demand if all demands can
// be met, otherwise a max-min fair share. VMs of other data centres get the units that remain then, up to their demand.
// The rest is divided equally among the VMs of this data centre, so that each can serve a burst without a further request.
func (d demandByVM) allocation(now time.Time, total int, lessee LesseeID) int {
	type claimant struct {
		id LesseeID
		reportedDemand
		rotation int
	}
	var all []claimant
	localCount := 0
	for id, reported := range d {
		if now.Sub(reported.reportedAt) > demandTimeout {
			delete(d, id)
			continue
		}
		all = append(all, claimant{id: id, reportedDemand: reported})
		if !reported.remote {
			localCount++
		}
	}
	slices.SortFunc(all, func(a, b claimant) int {
		return cmp.Or(cmp.Compare(a.id.VMName, b.id.VMName), cmp.Compare(a.id.Incarnation, b.id.Incarnation))
	})
	for i := range all {
		all[i].rotation = (i + int(now.Unix()/int64(demandRotationInterval/time.Second))) % len(all)
	}
	slices.SortFunc(all, func(a, b claimant) int {
		if a.remote != b.remote {
			if b.remote {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.units, b.units), cmp.Compare(a.rotation, b.rotation))
	})
	remaining, allocated, index := total, 0, -1
	for i, c := range all {
		sharers := localCount - i
		if c.remote {
			sharers = len(all) - i
		}
		units := min(c.units, remaining/sharers)
		remaining -= units
		if c.id == lessee {
			allocated, index = units, i
		}
	}
	if index < 0 || index >= localCount {
		return allocated
	}
	allocated += remaining / localCount
	if index >= localCount-remaining%localCount {
		allocated++ // the remainder goes to the VMs with the highest demand
	}
	return allocated
}
