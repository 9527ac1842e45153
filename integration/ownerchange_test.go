package integration

import (
	"syscall"
	"testing"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/standin"
)

// expectation says which outcomes the requests of a load may have.
type expectation int

const (
	allAnswered      expectation = iota // every request gets a complete answer
	failuresReported                    // requests may fail, but every failure is reported to the caller
)

// testOwnerChange sends a load of short prompts to the VMs with the indexes in serving. It starts and ends a fault during the load, and
// verifies that no engine is overcommitted and that these VMs keep serving. Prompts wait while endpoints change their owner, so the
// default deadline of short prompts is longer than a lease plus the wait before a new share may be used.
func testOwnerChange(t *testing.T, vms int, seed uint64, startFault, endFault func(s *site), want expectation, serving ...int) {
	t.Helper()
	s := newSite(t, siteConfig{dataCentres: 1, vms: vms, engines: 2, configureEngine: func(_ int, c *standin.EngineConfig) { c.KVTokens = 30_000 }})
	s.warmUp()
	load := s.loadConfig(0.15, 14*time.Second, seed)
	load.ClassShares = map[customer.Class]float64{customer.Short: 1}
	var targets []*vmProcess
	for _, i := range serving {
		targets = append(targets, s.vms[i])
	}
	wait := s.startLoad(load, targets...)
	before := s.counters("").Completed
	s.await("completed requests before the fault", func() bool { return s.counters("").Completed > before+10 })
	startFault(s)
	time.Sleep(6 * time.Second)
	before = s.counters("").Completed
	s.await("completed requests during the fault", func() bool { return s.counters("").Completed > before+10 })
	endFault(s)
	outcomes := wait()
	if want == allAnswered {
		s.wantAnswered("load during a change of owner", outcomes...)
	}
	if counts := countByStatus(outcomes); counts[standin.Incomplete] > 0 {
		t.Errorf("outcomes %v; want none that ended without an end mark or an error", counts)
	}
	s.checkInvariants(outcomes...)
	s.awaitCapacity()
	largePrompt := s.vms[0].prompt(20_000, 10)
	s.wantAnswered("prompt that needs most of an engine's memory after the fault", largePrompt)
	s.checkInvariants(largePrompt)
}

// TestOwnerKilled guards against two owners that use the same capacity, and against endpoints that stay without an owner, after a VM
// was killed.
func TestOwnerKilled(t *testing.T) {
	testOwnerChange(t, 3, 81, func(s *site) { s.vms[0].kill() }, func(s *site) { s.vms[0].start() }, allAnswered, 1, 2)
}

// TestOwnerPaused guards against an owner that keeps using its old grants and leases after its process was paused.
func TestOwnerPaused(t *testing.T) {
	testOwnerChange(t, 3, 82, func(s *site) { s.vms[0].signal(syscall.SIGSTOP) }, func(s *site) { s.vms[0].signal(syscall.SIGCONT) }, allAnswered, 1, 2)
}

// partitionVMs holds back all data between the two VMs of a site.
func partitionVMs(s *site) {
	s.vms[0].peerProxy.partition(toServer, fromServer)
	s.vms[1].peerProxy.partition(toServer, fromServer)
}

// partitionOneWay holds back all data from the second VM of a site to the first.
func partitionOneWay(s *site) {
	s.vms[0].peerProxy.partition(toServer)   // requests
	s.vms[1].peerProxy.partition(fromServer) // answers
}

// healVMs ends all partitions between the two VMs of a site.
func healVMs(s *site) {
	s.vms[0].peerProxy.heal()
	s.vms[1].peerProxy.heal()
}

// TestPartitionOfTwoVMs guards against two VMs that both act as the owner of an endpoint, and both use its capacity, when they cannot
// reach each other.
func TestPartitionOfTwoVMs(t *testing.T) {
	testOwnerChange(t, 2, 83, partitionVMs, healVMs, failuresReported, 0, 1)
}

// TestOneWayPartition guards against two owners of the same endpoint when messages pass in one direction only. The VMs then disagree
// about which of them is alive.
func TestOneWayPartition(t *testing.T) {
	testOwnerChange(t, 2, 84, partitionOneWay, healVMs, failuresReported, 0, 1)
}

// TestStreamsDuringPartition guards against a VM that cancels the running streams of another VM because it cannot reach that VM, which
// is alive and still serves its callers.
func TestStreamsDuringPartition(t *testing.T) {
	skipIfKnownRed(t, "TestStreamsDuringPartition")
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 2})
	s.warmUp()
	answers := startCalls(8, func(i int) standin.Outcome { return s.vms[i%2].prompt(1_000, 3_000) })
	s.await("eight running streams", func() bool { return s.runningStreams() == 8 })
	partitionVMs(s)
	outcomes := answers()
	healVMs(s)
	s.wantAnswered("streams that were running when the partition began", outcomes...)
	s.checkInvariants(outcomes...)
}
