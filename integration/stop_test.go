package integration

import (
	"syscall"
	"testing"
	"time"

	"goldcrestpath/standin"
)

// TestGracefulStop guards against a planned stop that cuts a request or fails, for the VM that is stopped and for its replacement.
func TestGracefulStop(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 2, stopDelay: time.Second})
	s.warm()
	wait := s.run(s.loadConfig(0.25, 12*time.Second, 61), s.vms...)
	long := background(4, func(i int) standin.Outcome { return s.vms[i%2].prompt(1_000, 1_500) })
	s.await("long streams", func() bool { return s.streams() >= 4 })
	v := s.vms[0]
	v.signal(syscall.SIGTERM)
	if code := v.awaitExit(); code != 0 {
		t.Errorf("the stopped VM exited with %d, want 0", code)
	}
	v.start()
	outcomes := append(wait(), long()...)
	s.wantAnswered("requests around a planned stop", outcomes...)
	s.check(outcomes...)
	s.awaitCapacity()
}

// TestSecondSignal guards against a VM that cannot be stopped at once while it waits for its last requests.
func TestSecondSignal(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 1, engines: 1, stopDelay: time.Hour})
	v := s.vms[0]
	v.signal(syscall.SIGTERM)
	s.await("end of readiness", func() bool { return !v.ready() })
	select {
	case <-v.exited:
		t.Fatal("the VM ended before its stop delay")
	default:
	}
	v.signal(syscall.SIGTERM)
	if code := v.awaitExit(); code == 0 {
		t.Error("a stop at once exited with 0")
	}
}
