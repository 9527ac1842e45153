package integration

import (
	"syscall"
	"testing"
	"time"

	"goldcrestpath/standin"
)

// TestGracefulStop guards against a graceful stop that interrupts a request or exits with an error. All requests to the stopping VM and
// to its replacement must be answered.
func TestGracefulStop(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 2, stopDelay: time.Second})
	s.warmUp()
	wait := s.startLoad(s.loadConfig(0.25, 12*time.Second, 61), s.vms...)
	longAnswers := startCalls(4, func(i int) standin.Outcome { return s.vms[i%2].prompt(1_000, 1_500) })
	s.await("four running streams", func() bool { return s.runningStreams() >= 4 })
	v := s.vms[0]
	v.signal(syscall.SIGTERM)
	if code := v.awaitExit(); code != 0 {
		t.Errorf("the stopped VM exited with %d, want 0", code)
	}
	v.start()
	outcomes := append(wait(), longAnswers()...)
	s.wantAnswered("requests during a graceful stop and restart", outcomes...)
	s.checkInvariants(outcomes...)
	s.awaitCapacity()
}

// TestSecondSignal guards against a VM that does not exit immediately on a second SIGTERM during its graceful stop.
func TestSecondSignal(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 1, engines: 1, stopDelay: time.Hour})
	v := s.vms[0]
	v.signal(syscall.SIGTERM)
	s.await("end of readiness", func() bool { return !v.ready() })
	select {
	case <-v.exited:
		t.Fatal("the VM exited before the end of its stop delay")
	default:
	}
	v.signal(syscall.SIGTERM)
	if code := v.awaitExit(); code == 0 {
		t.Error("the VM exited with 0 after a second signal, want another code")
	}
}
