package vm

import (
	"context"
	"math/rand/v2"
	"time"

	"goldcrestpath/entry"
	"goldcrestpath/oplog"
)

const (
	freedInterval = time.Second     // between looks at the freed places in the log, well below entry.FreedSpread
	goneInterval  = 5 * time.Second // between reads of the VM list while a member is dead
	// freeAfter is how long the VM list has to show a dead VM's place empty. A replacement that takes the place sooner finds
	// its shares with nobody else.
	freeAfter = 30 * time.Second
)

// goneRule decides which runs are gone for good: membership has them as dead, and the VM list has shown their places empty for
// freeAfter. A list without this VM itself proves nothing.
type goneRule struct {
	place string
	empty map[string]emptyPlace
}

type emptyPlace struct {
	incarnation uint64
	since       time.Time
}

// observe takes an answer of the VM list that was asked for at asked, and the dead runs, and returns those that are gone.
func (g *goneRule) observe(asked time.Time, list oplog.VMs, dead []oplog.PlaceRun) []oplog.PlaceRun {
	listed := map[string]bool{}
	for _, l := range list.VMs {
		listed[l.Place] = true
	}
	before := g.empty
	g.empty = map[string]emptyPlace{}
	if !listed[g.place] {
		return nil
	}
	var gone []oplog.PlaceRun
	for _, run := range dead {
		if listed[run.Place] {
			continue
		}
		e := before[run.Place]
		if e.incarnation != run.Incarnation {
			e = emptyPlace{run.Incarnation, asked}
		}
		g.empty[run.Place] = e
		if asked.Add(-list.Age-listAgeMargin).Sub(e.since) >= freeAfter {
			gone = append(gone, run)
		}
	}
	return gone
}

// followFreed tells the node which places were freed, and frees the places of VMs that are gone, until the VM closes.
func (v *VM) followFreed() {
	rule := goneRule{place: v.place}
	known := false
	var next time.Time
	for sleep(v.ctx, freedInterval) {
		known = v.applyFreed(known)
		dead, alive := v.deadRuns()
		if now := time.Now(); len(dead) > 0 && v.settings.VMListAddress() != "" && !now.Before(next) {
			next = now.Add(goneInterval)
			// One VM writes the record, mostly; a copy is void.
			for _, run := range v.goneRuns(&rule, dead) {
				if rand.IntN(alive) == 0 {
					v.free(run)
				}
			}
		}
	}
}

// applyFreed passes the freed places on. The time is taken before the snapshot, which then has all records up to it.
func (v *VM) applyFreed(known bool) bool {
	asOf := v.store.ReadAt()
	var freed []string
	for _, run := range v.store.Snapshot().Places() {
		if run.Freed {
			freed = append(freed, run.Place)
		}
	}
	if known || len(freed) > 0 {
		v.node.SetFreed(freed, asOf)
	}
	return len(freed) > 0
}

// deadRuns returns the registered runs that membership has as dead and that were not freed, and the number of live members.
func (v *VM) deadRuns() (dead []oplog.PlaceRun, alive int) {
	s := v.store.Snapshot()
	for _, m := range v.node.Members() {
		if m.State() != entry.StateDead {
			alive++
		} else if run, ok := s.Place(m.Place().Name); ok && !run.Freed {
			dead = append(dead, run)
		}
	}
	return dead, alive
}

func (v *VM) goneRuns(rule *goneRule, dead []oplog.PlaceRun) []oplog.PlaceRun {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(v.ctx, vmListTimeout)
	defer cancel()
	vms, err := v.vmList.Get(ctx)
	if err != nil {
		v.counters.add("vmList.failed")
		return nil
	}
	return rule.observe(asked, vms, dead)
}

// free records that a run is gone, so that other VMs lend its shares.
func (v *VM) free(run oplog.PlaceRun) {
	ctx, cancel := context.WithTimeout(v.ctx, registerTimeout)
	defer cancel()
	run.Ended, run.Freed = true, true
	if _, err := v.store.Register(ctx, run); err != nil {
		v.warn("free the shares of "+run.Place, err)
		return
	}
	v.logger.Warnf("vm: the VM list shows no VM at %s; other VMs lend its shares", run.Place)
}
