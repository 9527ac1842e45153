package integration

import (
	"slices"
	"testing"
	"time"

	"goldcrestpath/operator"
	"goldcrestpath/standin"
)

// drainPropagationLimit is the time within which a drain must take effect on all VMs. The limit of 3 s applies to every change that an
// operator makes.
const drainPropagationLimit = 3 * time.Second

// testDrain drains data centre a under load through a VM of data centre b and ends the drain later. It verifies that no request starts
// in the drained data centre and that every request gets a complete answer. The log has the given outage during the drain.
func testDrain(t *testing.T, outage standin.Outage) {
	s := newSite(t, siteConfig{dataCentres: 3, vms: 2, engines: 2})
	drainVM := s.vmsIn("b")[0]
	wait := s.startLoad(s.loadConfig(0.25, 14*time.Second, 11), s.vms...)
	s.await("accepted requests in every data centre", func() bool {
		return s.counters("a").Accepted > 5 && s.counters("b").Accepted > 5 && s.counters("c").Accepted > 5
	})
	longAnswers := startCalls(4, func(i int) standin.Outcome { return s.vmsIn("a")[i%2].prompt(1_000, 1_500) })
	s.await("four streams on the engines of data centre a", func() bool {
		streams := 0
		for _, e := range s.engines["a"] {
			_, n, _ := e.InUse()
			streams += n
		}
		return streams >= 4
	})
	s.log.SetOutage(outage)
	s.setDrain(drainVM, "dataCentre/a", true)
	time.Sleep(drainPropagationLimit)
	acceptedBefore, acceptedElsewhereBefore := s.counters("a").Accepted, s.counters("b").Accepted+s.counters("c").Accepted
	s.await("accepted requests in the other data centres",
		func() bool { return s.counters("b").Accepted+s.counters("c").Accepted > acceptedElsewhereBefore+40 })
	if after := s.counters("a").Accepted; after != acceptedBefore {
		t.Errorf("%d requests started in the drained data centre", after-acceptedBefore)
	}
	s.setDrain(drainVM, "dataCentre/a", false)
	for _, v := range s.vms {
		s.await("end of the drain of data centre a at "+v.name, func() bool {
			return slices.ContainsFunc(v.status().Drains, func(d operator.DrainStatus) bool { return d.Generation == 2 && !d.Drained })
		})
	}
	s.await("accepted requests after the end of the drain", func() bool { return s.counters("a").Accepted > acceptedBefore+5 })
	s.log.SetOutage(standin.OutageNone)
	outcomes, longOutcomes := wait(), longAnswers()
	s.wantAnswered("streams that were running when the drain began", longOutcomes...)
	s.wantAnswered("load", outcomes...)
	s.checkInvariants(append(outcomes, longOutcomes...)...)
}

// TestDrainDataCentre guards against new requests in a drained data centre, against streams that a drain interrupts, and against a
// data centre that gets no requests after the end of its drain.
func TestDrainDataCentre(t *testing.T) { testDrain(t, standin.OutageNone) }

// TestDrainDuringLogOutage guards against a drain that depends on the log. A drain that is set through one VM of another data centre
// must reach every VM even during an outage of the log.
func TestDrainDuringLogOutage(t *testing.T) { testDrain(t, standin.OutageUnresponsive) }

// TestIsolatedDataCentre guards against a data centre that stops serving its own callers when it can reach neither the other data
// centre nor the log, and against one that does not recover after the partition.
func TestIsolatedDataCentre(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 2, vms: 1, engines: 2, shortDeadline: 8 * time.Second})
	isolated, connected := s.vms[0], s.vms[1]
	proxies := []*faultProxy{isolated.peerProxy, connected.peerProxy, isolated.logProxy}
	for _, f := range proxies {
		f.partition(toServer, fromServer)
	}
	wait := s.startLoad(s.loadConfig(0.2, 10*time.Second, 12), s.vms...)
	s.await("detection of the unreachable log", func() bool { return !isolated.status().LogReachable })
	if o := isolated.book("cutOff", 1); o.Status != standin.Refused || o.Reason != "logUnavailable" {
		t.Errorf("keyed booking in the isolated data centre: %v, reason %q, %s; want refused with logUnavailable", o.Status, o.Reason, o.Detail)
	}
	s.wantAnswered("booking without a key in the isolated data centre", isolated.book("", 2))
	s.wantAnswered("keyed booking in the other data centre", connected.book("elsewhere", 3))
	outcomes := wait()
	s.wantAnswered("load during the partition", outcomes...)
	for _, f := range proxies {
		f.heal()
	}
	s.await("connection to the log", func() bool { return isolated.status().LogReachable })
	s.wantAnswered("keyed booking after the partition", isolated.book("cutOff", 1))
	s.publish(connected, "fleet", 1, s.fleetDocument)
	s.await("the new revision of the fleet document", func() bool { return isolated.revision("fleet") == 2 })
	if n := s.bookingStore.Count("cutOff"); n != 1 || s.bookingStore.Duplicates() != 0 {
		t.Errorf("key cutOff was booked %d times, with %d duplicate bookings in total", n, s.bookingStore.Duplicates())
	}
	s.checkInvariants(outcomes...)
}
