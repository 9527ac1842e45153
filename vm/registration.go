package vm

import (
	"context"
	"time"

	"goldcrestpath/entry"
	"goldcrestpath/oplog"
)

const (
	registerRetryInterval = 200 * time.Millisecond // between attempts to register while the log is unavailable
	registerTimeout       = 5 * time.Second        // of one attempt
	runEndTimeout         = 2 * time.Second        // for recording the end of this run
	vmListInterval        = time.Second            // between reads of the VM list while an earlier run may still be active
	vmListTimeout         = time.Second            // of one read
	fleetPollInterval     = 10 * time.Millisecond  // between checks whether the fleet document is applied
	// listAgeMargin covers the rounding of the VM list's age, and the drift between the clocks of this VM and of
	// the list's server over that age.
	listAgeMargin = 500 * time.Millisecond
)

// leaseRule decides whether this VM may lease shares to other VMs. An earlier VM with the same name may be
// partitioned or paused rather than stopped, and may then go on leasing the same shares. This VM therefore leases
// shares only once it is certain that no earlier one does, which either of these shows:
//   - the log shows that no run was registered under the name before, or that the last one has ended; or
//   - the VM list, as of a time after this VM's registration, contains this VM and no other one with the same
//     name.
//
// A VM registers before it leases shares. An earlier VM that has not registered before this one never leases
// shares, because its later registration has no effect. If the settings name no VM list, operators have to make
// sure that the earlier VM is stopped.
type leaseRule struct {
	name         string
	instance     string // this VM's instance in the VM list, or "" if not configured
	noVMList     bool
	earlierEnded bool      // whether no earlier run is active, according to the log
	registered   time.Time // when the registration was confirmed; zero before
	soleInstance bool      // whether this VM is the only one with its name, according to the VM list
}

// observe evaluates a VM list that was requested at the given time. A list whose content may be older than the
// registration is ignored. If no instance is configured for this VM, a single instance with its name counts as
// this VM.
func (r *leaseRule) observe(requested time.Time, list oplog.VMListing) {
	if r.registered.IsZero() || requested.Add(-list.Age-listAgeMargin).Before(r.registered) {
		return
	}
	own, others := 0, 0
	for _, l := range list.VMs {
		switch {
		case l.Name != r.name:
		case own == 0 && (r.instance == "" || l.Instance == r.instance):
			own++
		default:
			others++
		}
	}
	r.soleInstance = r.soleInstance || own == 1 && others == 0
}

// mayLease reports whether it is certain that no earlier VM with the same name leases shares.
func (r *leaseRule) mayLease() bool {
	return !r.registered.IsZero() && (r.earlierEnded || r.soleInstance || r.noVMList)
}

// registerAndLease registers this VM, waits until no earlier VM with the same name can lease shares, and then
// enables leasing.
func (v *VM) registerAndLease() {
	run, ok := v.registerRun()
	if !ok {
		return
	}
	rule := leaseRule{name: v.name, instance: v.settings.Instance(), noVMList: v.settings.VMListAddress() == "", earlierEnded: run.PredecessorsEnded, registered: time.Now()}
	for v.fleetApplied.Load() < run.FleetRevision { // other VMs rely on this one not to lease shares under an older fleet document
		if !sleep(v.ctx, fleetPollInterval) {
			return
		}
	}
	if !rule.mayLease() && !v.awaitSoleInstance(&rule) {
		return
	}
	// If the shares of an earlier run were released, the VMs that lease them out have to stop first.
	if run.PredecessorReleased && !sleep(v.ctx, time.Until(rule.registered.Add(entry.ReplacementWait))) {
		return
	}
	v.run.Store(&run)
	v.leasing.Store(true)
	first := run.First && v.leaseAtFirstStart(run.FleetRevision)
	v.logger.Infof("vm: no earlier VM at %s lends; first start: %t", v.name, first)
}

// registerRun writes this run to the log and retries while the log is unavailable. It returns false if a later
// run is registered under the name or the VM is closing.
func (v *VM) registerRun() (oplog.VMRun, bool) {
	for {
		ctx, cancel := context.WithTimeout(v.ctx, registerTimeout)
		run, err := v.store.RegisterRun(ctx, oplog.VMRun{VMName: v.name, Incarnation: v.incarnation})
		cancel()
		if err == nil {
			return run, run.Incarnation == v.incarnation // for a higher incarnation, checkSuperseded ends leasing
		}
		if !sleep(v.ctx, registerRetryInterval) {
			return run, false
		}
	}
}

// awaitSoleInstance polls the VM list until the rule permits leasing. It returns false if the VM is closing.
func (v *VM) awaitSoleInstance(rule *leaseRule) bool {
	v.logger.Infof("vm: an earlier VM named %s may still be running; this VM leases out no shares until the VM list shows that the earlier one has been removed", v.name)
	for {
		requested := time.Now()
		ctx, cancel := context.WithTimeout(v.ctx, vmListTimeout)
		vms, err := v.vmList.Get(ctx)
		cancel()
		if err == nil {
			rule.observe(requested, vms)
		} else {
			v.counters.add("vmList.failed")
		}
		if rule.mayLease() {
			return true
		}
		if !sleep(v.ctx, vmListInterval) {
			return false
		}
	}
}

// leaseAtFirstStart lets the node lease shares without waiting for earlier leases to expire. The registration
// shows that no VM has leased shares under any other revision of the fleet document, so the shares had no other
// lessors. It reports whether the node started to lease.
func (v *VM) leaseAtFirstStart(revision uint64) bool {
	w := v.view()
	if w.fleetRevision != revision {
		return false
	}
	var names []string
	for _, vm := range w.fleet.VMs() {
		if vm.DataCentre == v.dataCentre {
			names = append(names, vm.Name)
		}
	}
	return v.node.BeginLeasingAtOnce(names)
}

// checkSuperseded stops this VM both as a lessor and as a lessee of shares if the configuration shows a later run
// under this VM's name, or shows that the shares of this run were released.
func (v *VM) checkSuperseded(s *oplog.Snapshot) {
	run, _ := s.Run(v.name)
	switch {
	case v.node.Superseded():
	case run.Incarnation > v.incarnation:
		v.logger.Warnf("vm: another VM has registered as %s; this VM neither holds nor grants leases any more and is not ready", v.name)
		v.node.ObserveIncarnation(run.Incarnation)
	case run.Incarnation == v.incarnation && run.Released:
		v.logger.Errorf("vm: the VM list contained no VM named %s, so other VMs lease out its shares; this VM has to be restarted", v.name)
		v.node.ObserveIncarnation(run.Incarnation + 1)
	}
}

// recordRunEnd stops the node and records that this VM no longer leases shares, so that its replacement need not
// wait for the VM list. It records nothing if this VM was never allowed to lease shares, since an earlier run may
// then not have ended.
func (v *VM) recordRunEnd(ctx context.Context) {
	run := v.run.Load()
	if run == nil {
		return
	}
	v.node.Close()
	ctx, cancel := context.WithTimeout(ctx, runEndTimeout)
	defer cancel()
	ended := *run
	ended.Ended = true
	_, err := v.store.RegisterRun(ctx, ended)
	v.warn("record the end of the run of "+v.name, err)
}
