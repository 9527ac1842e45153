package vm

import (
	"testing"
	"time"

	"goldcrestpath/oplog"
)

// TestRemovalRule guards against releasing shares whose lessor may still be running: its VM was listed a short time
// ago, the list is outdated, the list does not contain this VM and is unreliable, or the run is a new one.
func TestRemovalRule(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	type poll struct {
		after, age  time.Duration
		listed      string // VM names of one digit each; this VM is named 1
		incarnation uint64 // of the dead run of VM 2; 0 if it is alive
		want        bool   // whether the run counts as removed
	}
	for name, polls := range map[string][]poll{
		"removed":               {{0, 0, "13", 7, false}, {29 * time.Second, 0, "13", 7, false}, {31 * time.Second, 0, "13", 7, true}},
		"the list lags":         {{0, 0, "13", 7, false}, {31 * time.Second, 5 * time.Second, "13", 7, false}, {36 * time.Second, 5 * time.Second, "13", 7, true}},
		"listed meanwhile":      {{0, 0, "1", 7, false}, {20 * time.Second, 0, "12", 7, false}, {31 * time.Second, 0, "1", 7, false}, {62 * time.Second, 0, "1", 7, true}},
		"this VM is not listed": {{0, 0, "1", 7, false}, {20 * time.Second, 0, "", 7, false}, {31 * time.Second, 0, "1", 7, false}},
		"alive meanwhile":       {{0, 0, "1", 7, false}, {20 * time.Second, 0, "1", 0, false}, {31 * time.Second, 0, "1", 7, false}},
		"a new run":             {{0, 0, "1", 7, false}, {31 * time.Second, 0, "1", 8, false}},
	} {
		t.Run(name, func(t *testing.T) {
			rule := removalRule{name: "1"}
			for i, p := range polls {
				var list oplog.VMListing
				list.Age = p.age
				for _, name := range p.listed {
					list.VMs = append(list.VMs, oplog.ListedVM{Name: string(name)})
				}
				var dead []oplog.VMRun
				if p.incarnation > 0 {
					dead = append(dead, oplog.VMRun{VMName: "2", Incarnation: p.incarnation})
				}
				if got := len(rule.observe(begin.Add(p.after), list, dead)) > 0; got != p.want {
					t.Errorf("list %d: removed: %t, want %t", i, got, p.want)
				}
			}
		})
	}
}

// TestLeaseRule guards against a VM that leases shares while an earlier VM with the same name may lease the
// same shares.
func TestLeaseRule(t *testing.T) {
	registered := time.Unix(1_700_000_000, 0)
	list := func(instances ...string) []oplog.ListedVM {
		vms := []oplog.ListedVM{{Name: "a/2", Instance: "other VM"}}
		for _, i := range instances {
			vms = append(vms, oplog.ListedVM{Name: "a/1", Instance: i, State: oplog.VMLeaving})
		}
		return vms
	}
	own, unnamed := leaseRule{name: "a/1", instance: "new", registered: registered}, leaseRule{name: "a/1", registered: registered}
	tests := []struct {
		name  string
		rule  leaseRule
		after time.Duration // from the registration to the request for the list
		age   time.Duration
		vms   []oplog.ListedVM
		want  bool
	}{
		{"not registered", leaseRule{name: "a/1", instance: "new", earlierEnded: true, noVMList: true}, time.Minute, 0, list("new"), false},
		{"no earlier run in the log", leaseRule{name: "a/1", registered: registered, earlierEnded: true}, 0, 0, list("old"), true},
		{"no VM list in the settings", leaseRule{name: "a/1", registered: registered, noVMList: true}, 0, 0, nil, true},
		{"only this VM is listed", own, time.Minute, 5 * time.Second, list("new"), true},
		{"the earlier VM is leaving", own, time.Minute, 0, list("new", "old"), false},
		{"only the earlier VM is listed", own, time.Minute, 0, list("old"), false},
		{"this VM is not listed yet", own, time.Minute, 0, list(), false},
		{"the list is older than the registration", own, 4 * time.Second, 5 * time.Second, list("new"), false},
		{"the list is as old as the registration", own, 5 * time.Second, 5 * time.Second, list("new"), false},
		{"one VM and no instance in the settings", unnamed, time.Minute, 0, list("any"), true},
		{"two VMs and no instance in the settings", unnamed, time.Minute, 0, list("any", "more"), false},
		{"the same instance twice", own, time.Minute, 0, list("new", "new"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.rule.observe(registered.Add(test.after), oplog.VMListing{VMs: test.vms, Age: test.age})
			if got := test.rule.mayLease(); got != test.want {
				t.Errorf("may lease: %t, want %t", got, test.want)
			}
		})
	}
}
