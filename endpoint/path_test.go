package endpoint_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/endpoint"
)

// TestLostPaths guards against paths to all endpoints of a service that count as lost because of one endpoint, that are used again only one by one
// through requests, or that outlast the endpoints, and against a VM that offers relays although it reaches no endpoint.
func TestLostPaths(t *testing.T) {
	f := newFleet(6) // two engines in each of three data centres
	type state struct {
		Lost   int
		CutOff bool
	}
	check := func(step string, want state) {
		t.Helper()
		if diff := cmp.Diff(want, state{f.LostPaths(), f.CutOff()}); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step, diff)
		}
	}
	id := func(i int) string { return engineEntry(i).ID }
	check("at the start", state{})
	f.RecordRelayed(id(0))
	check("one path is lost", state{Lost: 1})
	f.RecordConnected(id(3)) // of the same data centre
	f.RecordRelayed(id(0))
	check("after a connection to the other engine there", state{Lost: 1})
	if _, all := f.RecordRelayed(id(3)); !all {
		t.Error("the paths to a data centre don't count as lost after those to both of its engines")
	}
	for i := range 6 {
		f.RecordRelayed(id(i))
	}
	check("all paths are lost", state{Lost: 6, CutOff: true})
	if _, _, refusal := f.RelayTarget(start, engineEntry(1).Address); refusal != endpoint.RelayPathLost {
		t.Errorf("a VM that is cut off refuses to relay with %q, want %q", refusal, endpoint.RelayPathLost)
	}
	for range 3 { // one probe for each data centre, and then the rest
		for _, target := range f.ProbeTargets() {
			f.MarkReachable(target.ID)
		}
	}
	check("after the probes", state{})
	f.RecordRelayed(id(2))
	f.Remove(id(2), time.Time{})
	f.ProbeTargets()
	check("after the endpoint is gone", state{})
}

// TestVMThatMayBeCutOff guards against failures of a VM that is cut off and does not know it, which count as evidence that endpoints have ended.
func TestVMThatMayBeCutOff(t *testing.T) {
	f := newFleet(4)
	address := func(i int) string { return engineEntry(i).Address }
	for range 2 {
		if f.RecordNotOpened(address(0)) {
			t.Error("one endpoint that is not reached is taken for a cut of the VM")
		}
	}
	f.RecordConnected(engineEntry(1).ID)
	if f.RecordNotOpened(address(2)) {
		t.Error("endpoints before and after a connection are taken for a cut of the VM")
	}
	if !f.RecordNotOpened(address(3)) {
		t.Error("two endpoints without a connection in between are not taken for a cut of the VM")
	}
}
