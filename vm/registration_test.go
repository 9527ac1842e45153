package vm_test

import (
	"testing"
	"time"

	"goldcrestpath/standin"
	"goldcrestpath/vm"
)

// TestTwoVMsWithOneName guards against two VMs that have the same name and lease the same shares. In the first case
// the earlier VM is cut off from the log when its replacement starts. In the second case both can reach the log.
func TestTwoVMsWithOneName(t *testing.T) {
	s := newSite(t, 0) // without peers, from which a VM would learn of its successor
	list, err := standin.NewVMList("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	relay, err := standin.NewRelay("127.0.0.1:0", s.log.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { relay.Close() })
	setListed := func(instances ...string) {
		var vms []standin.ListedVM
		for _, i := range instances {
			vms = append(vms, standin.ListedVM{Name: "a/2", Instance: i, State: "live"})
		}
		list.Set(vms...)
	}
	start := func(instance, log string) *vm.VM {
		peer := freeAddress(t)
		return startVM(t, "a/2\ninstance = "+instance, peer, log+"\nvmList = "+list.Address(), []string{peer})
	}
	setListed("i-1")
	first := start("i-1", relay.Address())
	waitFor(t, "leasing by the first VM with the name", first.MayLease)
	relay.SetBlocked(true)
	second := start("i-2", s.log.Address())
	for _, state := range [][]string{{"i-1"}, {}, {"i-1", "i-2"}} {
		setListed(state...)
		for range 100 {
			if first.MayLease() && second.MayLease() {
				t.Fatalf("both VMs lease shares while %q are listed", state)
			}
			time.Sleep(15 * time.Millisecond)
		}
	}
	if !first.MayLease() {
		t.Error("the first VM stopped leasing without knowing a successor")
	}
	first.Close()
	setListed("i-2")
	waitFor(t, "leasing by the replacement", second.MayLease)

	setListed("i-2", "i-3")
	third := start("i-3", s.log.Address())
	for range 3000 {
		if second.MayLease() && third.MayLease() {
			t.Fatal("both VMs lease shares after a third VM has registered under the name")
		}
		if !second.MayLease() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if second.MayLease() || second.Ready() || third.MayLease() {
		t.Errorf("after a third VM has registered under the name: leasing %t, ready %t; its successor, while both are listed: leasing %t", second.MayLease(), second.Ready(), third.MayLease())
	}

	setListed("i-3")
	waitFor(t, "leasing by the third VM with the name", third.MayLease)
	setListed("i-3", "i-4")
	if err := third.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	fourth := start("i-4", s.log.Address())
	waitFor(t, "leasing after a graceful stop that the VM list does not show yet", fourth.MayLease)
}
