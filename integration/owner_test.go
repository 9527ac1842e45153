package integration

import (
	"syscall"
	"testing"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/standin"
)

// answers is what a load has to get.
type answers int

const (
	whole    answers = iota // every answer whole
	reported                // every failure reported as such
)

// testOwnerChange runs a load of short prompts, applies a fault and its end, and checks that no engine is overcommitted and that the
// VMs that serve go on. Prompts wait while endpoints change owner, so their deadline is above a lease and the wait for a new share.
func testOwnerChange(t *testing.T, vms int, seed uint64, fault, end func(s *site), want answers, serving ...int) {
	t.Helper()
	s := newSite(t, siteConfig{dataCentres: 1, vms: vms, engines: 2, change: func(_ int, c *standin.EngineConfig) { c.KVTokens = 30_000 }})
	s.warm()
	load := s.loadConfig(0.15, 14*time.Second, seed)
	load.ClassShares = map[customer.Class]float64{customer.Short: 1}
	var targets []*process
	for _, i := range serving {
		targets = append(targets, s.vms[i])
	}
	wait := s.run(load, targets...)
	before := s.counters("").Completed
	s.await("work before the fault", func() bool { return s.counters("").Completed > before+10 })
	fault(s)
	time.Sleep(6 * time.Second)
	before = s.counters("").Completed
	s.await("work during the fault", func() bool { return s.counters("").Completed > before+10 })
	end(s)
	outcomes := wait()
	if want == whole {
		s.wantAnswered("load around a change of owners", outcomes...)
	}
	if counts := byStatus(outcomes); counts[standin.Broken] > 0 {
		t.Errorf("outcomes %v; want none that ended without an end mark or an error", counts)
	}
	s.check(outcomes...)
	s.awaitCapacity()
	again := s.vms[0].prompt(20_000, 10)
	s.wantAnswered("prompt of nearly a whole engine after the fault", again)
	s.check(again)
}

// TestOwnerKilled guards against capacity that two owners use, and against endpoints without an owner, after the death of a VM.
func TestOwnerKilled(t *testing.T) {
	testOwnerChange(t, 3, 81, func(s *site) { s.vms[0].kill() }, func(s *site) { s.vms[0].start() }, whole, 1, 2)
}

// TestOwnerPaused guards against an owner that goes on with its old grants and leases after a pause.
func TestOwnerPaused(t *testing.T) {
	testOwnerChange(t, 3, 82, func(s *site) { s.vms[0].signal(syscall.SIGSTOP) }, func(s *site) { s.vms[0].signal(syscall.SIGCONT) }, whole, 1, 2)
}

// partitionTwo holds everything between the two VMs of a site.
func partitionTwo(s *site) {
	s.vms[0].peers.hold(toNode, fromNode)
	s.vms[1].peers.hold(toNode, fromNode)
}

// partitionOneWay holds everything from the second VM of a site to the first.
func partitionOneWay(s *site) {
	s.vms[0].peers.hold(toNode)   // requests
	s.vms[1].peers.hold(fromNode) // answers
}

func healTwo(s *site) {
	s.vms[0].peers.heal()
	s.vms[1].peers.heal()
}

// TestPartitionOfTwoVMs guards against two owners that both use the capacity of the one who is out of reach.
func TestPartitionOfTwoVMs(t *testing.T) {
	testOwnerChange(t, 2, 83, partitionTwo, healTwo, reported, 0, 1)
}

// TestOneWayPartition guards against owners that differ about who is alive because messages pass in one direction only.
func TestOneWayPartition(t *testing.T) {
	testOwnerChange(t, 2, 84, partitionOneWay, healTwo, reported, 0, 1)
}

// TestStreamsDuringPartition guards against a VM that cuts the running answers of another one which it cannot reach, but which is
// alive and serves its callers.
func TestStreamsDuringPartition(t *testing.T) {
	knownRed(t, "TestStreamsDuringPartition")
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 2})
	s.warm()
	answers := background(8, func(i int) standin.Outcome { return s.vms[i%2].prompt(1_000, 3_000) })
	s.await("eight streams", func() bool { return s.streams() == 8 })
	partitionTwo(s)
	outcomes := answers()
	healTwo(s)
	s.wantAnswered("answers that ran at the partition", outcomes...)
	s.check(outcomes...)
}
