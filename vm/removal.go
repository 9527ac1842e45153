package vm

import (
	"context"
	"math/rand/v2"
	"time"

	"goldcrestpath/entry"
	"goldcrestpath/oplog"
)

const (
	releasedPollInterval = time.Second     // between checks of the log for released shares; well below entry.MaxReleaseAge
	removalCheckInterval = 5 * time.Second // between reads of the VM list while a member is dead
	// removalDelay is how long a dead VM has to be absent from the VM list before its shares are released. A
	// replacement that registers within this time leases the shares again before another VM becomes their lessor.
	removalDelay = 30 * time.Second
)

// removalRule decides which runs have been removed permanently: membership reports them as dead, and their VMs
// have been absent from the VM list for removalDelay. A list that does not contain this VM itself is ignored as
// unreliable.
type removalRule struct {
	name   string
	absent map[string]absentRun // by VM name
}

// absentRun is a run whose VM has been absent from the VM list since a point in time.
type absentRun struct {
	incarnation uint64
	since       time.Time
}

// observe evaluates a VM list that was requested at the given time, together with the dead runs. It returns the
// runs that have been removed.
func (r *removalRule) observe(requested time.Time, list oplog.VMListing, dead []oplog.VMRun) []oplog.VMRun {
	listed := map[string]bool{}
	for _, l := range list.VMs {
		listed[l.Name] = true
	}
	previous := r.absent
	r.absent = map[string]absentRun{}
	if !listed[r.name] {
		return nil
	}
	var removed []oplog.VMRun
	for _, run := range dead {
		if listed[run.VMName] {
			continue
		}
		absence := previous[run.VMName]
		if absence.incarnation != run.Incarnation {
			absence = absentRun{run.Incarnation, requested}
		}
		r.absent[run.VMName] = absence
		if requested.Add(-list.Age-listAgeMargin).Sub(absence.since) >= removalDelay {
			removed = append(removed, run)
		}
	}
	return removed
}

// watchReleased tells the node, until Close, which VMs' shares were released. While a member is dead, it also reads
// the VM list and releases the shares of removed VMs.
func (v *VM) watchReleased() {
	rule := removalRule{name: v.name}
	anyReleased := false
	var nextCheck time.Time
	for sleep(v.ctx, releasedPollInterval) {
		anyReleased = v.applyReleased(anyReleased)
		dead, alive := v.deadRuns()
		if now := time.Now(); len(dead) > 0 && v.settings.VMListAddress() != "" && !now.Before(nextCheck) {
			nextCheck = now.Add(removalCheckInterval)
			// All live VMs see the removal, and on average one of them writes the record. A duplicate has no effect.
			for _, run := range v.removedRuns(&rule, dead) {
				if rand.IntN(alive) == 0 {
					v.releaseShares(run)
				}
			}
		}
	}
}

// applyReleased passes the names of the VMs whose shares were released to the node and reports whether there
// are any. An empty list is passed only if anyReleased reports that the previous one was not empty. asOf is read
// before the snapshot, so the snapshot contains all records up to that time.
func (v *VM) applyReleased(anyReleased bool) bool {
	asOf := v.store.CurrentAsOf()
	var released []string
	for _, run := range v.store.Snapshot().Runs() {
		if run.Released {
			released = append(released, run.VMName)
		}
	}
	if anyReleased || len(released) > 0 {
		v.node.SetReleased(released, asOf)
	}
	return len(released) > 0
}

// deadRuns returns the registered runs that membership reports as dead and whose shares were not released, and
// the number of live members.
func (v *VM) deadRuns() (dead []oplog.VMRun, alive int) {
	s := v.store.Snapshot()
	for _, m := range v.node.Members() {
		if m.State() != entry.StateDead {
			alive++
		} else if run, ok := s.Run(m.VM().Name); ok && !run.Released {
			dead = append(dead, run)
		}
	}
	return dead, alive
}

// removedRuns reads the VM list and returns the dead runs that have been removed.
func (v *VM) removedRuns(rule *removalRule, dead []oplog.VMRun) []oplog.VMRun {
	requested := time.Now()
	ctx, cancel := context.WithTimeout(v.ctx, vmListTimeout)
	defer cancel()
	vms, err := v.vmList.Get(ctx)
	if err != nil {
		v.counters.add("vmList.failed")
		return nil
	}
	return rule.observe(requested, vms, dead)
}

// releaseShares records in the log that a run has been removed, so that other VMs become the lessors of its
// shares.
func (v *VM) releaseShares(run oplog.VMRun) {
	ctx, cancel := context.WithTimeout(v.ctx, registerTimeout)
	defer cancel()
	run.Ended, run.Released = true, true
	if _, err := v.store.RegisterRun(ctx, run); err != nil {
		v.warn("release the shares of "+run.VMName, err)
		return
	}
	v.logger.Warnf("vm: the VM list contains no VM named %s; other VMs now lease out its shares", run.VMName)
}
