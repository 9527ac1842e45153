package integration

import (
	"slices"
	"testing"
	"time"

	"goldcrestpath/operator"
	"goldcrestpath/standin"
)

// drainSpread is the time that a drain takes to reach all VMs at the latest: a change is in effect everywhere within 3 s.
const drainSpread = 3 * time.Second

// testDrain drains data centre a under load through one VM, returns it and checks that no request suffers.
func testDrain(t *testing.T, outage standin.Outage) {
	s := newSite(t, siteConfig{dataCentres: 3, vms: 2, engines: 2})
	through := s.in("b")[0]
	wait := s.run(s.loadConfig(0.25, 14*time.Second, 11), s.vms...)
	s.await("work in every data centre", func() bool {
		return s.counters("a").Accepted > 5 && s.counters("b").Accepted > 5 && s.counters("c").Accepted > 5
	})
	long := background(4, func(i int) standin.Outcome { return s.in("a")[i%2].prompt(1_000, 1_500) })
	s.await("long answers on the engines of a", func() bool {
		streams := 0
		for _, e := range s.engines["a"] {
			_, n, _ := e.Held()
			streams += n
		}
		return streams >= 4
	})
	s.log.SetOutage(outage)
	s.drain(through, "dataCentre/a", true)
	time.Sleep(drainSpread)
	before, others := s.counters("a").Accepted, s.counters("b").Accepted+s.counters("c").Accepted
	s.await("work in the other data centres", func() bool { return s.counters("b").Accepted+s.counters("c").Accepted > others+40 })
	if after := s.counters("a").Accepted; after != before {
		t.Errorf("%d requests began in the drained data centre", after-before)
	}
	s.drain(through, "dataCentre/a", false)
	for _, v := range s.vms {
		s.await("return of data centre a at "+v.place, func() bool {
			return slices.ContainsFunc(v.status().Drains, func(d operator.DrainStatus) bool { return d.Generation == 2 && !d.Drained })
		})
	}
	s.await("work in the returned data centre", func() bool { return s.counters("a").Accepted > before+5 })
	s.log.SetOutage(standin.OutageNone)
	outcomes, streams := wait(), long()
	s.wantAnswered("streams that ran at the drain", streams...)
	s.wantAnswered("load", outcomes...)
	s.check(append(outcomes, streams...)...)
}

// TestDrainDataCentre guards against new work for a drained data centre, against streams that a drain cuts and against a data centre
// that stays out after its return.
func TestDrainDataCentre(t *testing.T) { testDrain(t, standin.OutageNone) }

// TestDrainDuringLogOutage guards against a drain that needs the log: with the log out, an order to one VM of another data centre
// has to reach every VM.
func TestDrainDuringLogOutage(t *testing.T) { testDrain(t, standin.OutageSilent) }

// TestDataCentreCutOff guards against a data centre that stops serving its own callers when it loses the other data centre and the
// log, and against one that stays apart after the partition.
func TestDataCentreCutOff(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 2, vms: 1, engines: 2, short: 8 * time.Second})
	inside, outside := s.vms[0], s.vms[1]
	links := []*front{inside.peers, outside.peers, inside.log}
	for _, f := range links {
		f.hold(toNode, fromNode)
	}
	wait := s.run(s.loadConfig(0.2, 10*time.Second, 12), s.vms...)
	s.await("notice of the outage", func() bool { return !inside.status().LogReachable })
	if o := inside.book("cutOff", 1); o.Status != standin.Refused || o.Reason != "logUnavailable" {
		t.Errorf("keyed booking in the cut-off data centre: %v, reason %q, %s; want refused for logUnavailable", o.Status, o.Reason, o.Detail)
	}
	s.wantAnswered("booking without key in the cut-off data centre", inside.book("", 2))
	s.wantAnswered("keyed booking in the other data centre", outside.book("elsewhere", 3))
	outcomes := wait()
	s.wantAnswered("load during the partition", outcomes...)
	for _, f := range links {
		f.heal()
	}
	s.await("the log", func() bool { return inside.status().LogReachable })
	s.wantAnswered("keyed booking after the partition", inside.book("cutOff", 1))
	s.publish(outside, "fleet", 1, s.fleet)
	s.await("new revision", func() bool { return inside.revision("fleet") == 2 })
	if n := s.bookings.Count("cutOff"); n != 1 || s.bookings.Doubles() != 0 {
		t.Errorf("key cutOff was booked %d times, with %d doubles", n, s.bookings.Doubles())
	}
	s.check(outcomes...)
}
