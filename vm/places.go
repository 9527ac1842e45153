package vm

import (
	"context"
	"time"

	"goldcrestpath/entry"
	"goldcrestpath/oplog"
)

const (
	registerRetry   = 200 * time.Millisecond // between attempts to register the place while the log cannot be used
	registerTimeout = 5 * time.Second        // of one attempt
	endTimeout      = 2 * time.Second        // of the record that this run has ended
	vmListInterval  = time.Second            // between reads of the VM list while an earlier run may live
	vmListTimeout   = time.Second            // of one read
	fleetPoll       = 10 * time.Millisecond  // between looks whether the fleet document is applied
	// listAgeMargin covers the rounding of the list's age and the drift of the two clocks over it.
	listAgeMargin = 500 * time.Millisecond
)

// placeRule decides whether this VM may lend. An earlier VM at the place may be only partitioned or paused and go on lending
// the same shares, so a VM lends only with a proof that no earlier one does:
//   - the log shows that none was registered before, or that the last one has ended, or
//   - the VM list, as it was after this VM's registration, shows this VM and no other one at the place.
//
// A VM registers before it lends. An earlier VM that is not registered when this one registers never lends, because its
// registration is void. Where the settings name no VM list, the operators ensure that the earlier VM is gone.
type placeRule struct {
	place      string
	instance   string // this VM's name in the VM list, or "" where the settings have none
	noList     bool
	clear      bool      // by the log
	registered time.Time // when the registration was read back, zero before
	alone      bool      // by the VM list
}

// observe takes an answer of the VM list that was asked for at asked. Without a name for this VM, a single instance at the
// place counts as this VM.
func (p *placeRule) observe(asked time.Time, list oplog.VMs) {
	if p.registered.IsZero() || asked.Add(-list.Age-listAgeMargin).Before(p.registered) {
		return
	}
	own, others := 0, 0
	for _, l := range list.VMs {
		switch {
		case l.Place != p.place:
		case own == 0 && (p.instance == "" || l.Instance == p.instance):
			own++
		default:
			others++
		}
	}
	p.alone = p.alone || own == 1 && others == 0
}

// mayLend says whether no earlier VM at the place lends.
func (p *placeRule) mayLend() bool {
	return !p.registered.IsZero() && (p.clear || p.alone || p.noList)
}

// followPlace registers this VM at its place and lets it lend once no earlier VM does.
func (v *VM) followPlace() {
	run, ok := v.registerPlace()
	if !ok {
		return
	}
	rule := placeRule{place: v.place, instance: v.settings.Instance(), noList: v.settings.VMListAddress() == "", clear: run.Clear, registered: time.Now()}
	for v.fleetApplied.Load() < run.Fleet { // other VMs count on it that this one lends under no older fleet document
		if !sleep(v.ctx, fleetPoll) {
			return
		}
	}
	if !rule.mayLend() && !v.awaitAlone(&rule) {
		return
	}
	if run.Reclaims && !sleep(v.ctx, time.Until(rule.registered.Add(entry.ReclaimWait))) {
		return
	}
	v.run.Store(&run)
	v.lending.Store(true)
	first := run.First && v.beginFirst(run.Fleet)
	v.logger.Infof("vm: no earlier VM at %s lends; first start: %t", v.place, first)
}

// registerPlace writes this run to the log, and repeats that while the log is out.
func (v *VM) registerPlace() (oplog.PlaceRun, bool) {
	for {
		ctx, cancel := context.WithTimeout(v.ctx, registerTimeout)
		run, err := v.store.Register(ctx, oplog.PlaceRun{Place: v.place, Incarnation: v.incarnation})
		cancel()
		if err == nil {
			return run, run.Incarnation == v.incarnation // the configuration's changes tell of a higher one
		}
		if !sleep(v.ctx, registerRetry) {
			return run, false
		}
	}
}

// awaitAlone reads the VM list until the rule holds.
func (v *VM) awaitAlone(rule *placeRule) bool {
	v.logger.Infof("vm: an earlier VM at %s may live; nothing is lent until the VM list shows that it is gone", v.place)
	for {
		asked := time.Now()
		ctx, cancel := context.WithTimeout(v.ctx, vmListTimeout)
		vms, err := v.vmList.Get(ctx)
		cancel()
		if err == nil {
			rule.observe(asked, vms)
		} else {
			v.counters.add("vmList.failed")
		}
		if rule.mayLend() {
			return true
		}
		if !sleep(v.ctx, vmListInterval) {
			return false
		}
	}
}

// beginFirst lets the node lend at once. The registration tells that no VM has lent under another revision of the fleet
// document than this one, so the shares had no other guardians.
func (v *VM) beginFirst(revision uint64) bool {
	w := v.view()
	if w.revision != revision {
		return false
	}
	var places []string
	for _, p := range w.fleet.Places() {
		if p.DataCentre == v.dataCentre {
			places = append(places, p.Name)
		}
	}
	return v.node.BeginFirst(places)
}

// checkPlace stops lending and borrowing where the configuration shows a later run at this VM's place.
func (v *VM) checkPlace(s *oplog.Snapshot) {
	run, _ := s.Place(v.place)
	switch {
	case v.node.Superseded():
	case run.Incarnation > v.incarnation:
		v.logger.Warnf("vm: another VM has taken place %s; this one lends and borrows nothing and is not ready", v.place)
		v.node.Supersede(run.Incarnation)
	case run.Incarnation == v.incarnation && run.Freed:
		v.logger.Errorf("vm: the VM list showed place %s empty and other VMs lend its shares; this VM has to be restarted", v.place)
		v.node.Supersede(run.Incarnation + 1)
	}
}

// endPlace records that this VM has stopped lending, so that the next one at the place need not wait for the VM list. An
// earlier run's end has to be proved before.
func (v *VM) endPlace(ctx context.Context) {
	run := v.run.Load()
	if run == nil {
		return
	}
	v.node.Close()
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	ended := *run
	ended.Ended = true
	_, err := v.store.Register(ctx, ended)
	v.warn("record the end at "+v.place, err)
}
