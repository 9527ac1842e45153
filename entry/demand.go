package entry

import (
	"cmp"
	"slices"
	"time"
)

// Need is what this VM's requests of a customer need.
type Need struct {
	TokensPerSecond int
	Concurrent      int // requests, running ones included
	Running         int // requests that run now; the VM keeps their places until they end
}

func (d Need) units(k quotaKind) (units, inUse int) {
	if k == quotaRate {
		return max(0, d.TokensPerSecond), 0
	}
	return max(0, d.Concurrent), max(0, d.Running)
}

// WithDemand sets the function that tells what this VM's requests of a customer need. It is called on the control goroutine.
// Without it the VMs that a customer sends requests to get equal parts.
func WithDemand(f func(customer string) Need) Option { return func(o *options) { o.demand = f } }

// demands are what VMs need of one dimension of a customer's quota.
type demands map[BorrowerID]demandSeen

type demandSeen struct {
	units  int
	seen   time.Time
	remote bool // of a VM in another data centre
}

// demandTurn is how long a VM comes first among VMs of equal demand. With fewer units than VMs the units go round.
const demandTurn = 10 * time.Second

// target returns what a VM should have of total units: its demand where all demands fit, otherwise a max-min fair part. VMs of
// other data centres get what is left then, up to their demand. The rest is divided equally in the data centre, so that each VM
// can take a burst without asking.
func (d demands) target(now time.Time, total int, who BorrowerID) int {
	type wish struct {
		id BorrowerID
		demandSeen
		turn int
	}
	var all []wish
	local := 0
	for id, s := range d {
		if now.Sub(s.seen) > demandTimeout {
			delete(d, id)
			continue
		}
		all = append(all, wish{id: id, demandSeen: s})
		if !s.remote {
			local++
		}
	}
	slices.SortFunc(all, func(a, b wish) int {
		return cmp.Or(cmp.Compare(a.id.Place, b.id.Place), cmp.Compare(a.id.Incarnation, b.id.Incarnation))
	})
	for i := range all {
		all[i].turn = (i + int(now.Unix()/int64(demandTurn/time.Second))) % len(all)
	}
	slices.SortFunc(all, func(a, b wish) int {
		if a.remote != b.remote {
			if b.remote {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.units, b.units), cmp.Compare(a.turn, b.turn))
	})
	left, own, index := total, 0, -1
	for i, w := range all {
		peers := local - i
		if w.remote {
			peers = len(all) - i
		}
		units := min(w.units, left/peers)
		left -= units
		if w.id == who {
			own, index = units, i
		}
	}
	if index < 0 || index >= local {
		return own
	}
	own += left / local
	if index >= local-left%local {
		own++ // the remainder goes to those who need most
	}
	return own
}
