package integration

import (
	"testing"
	"time"

	"goldcrestpath/standin"
)

// TestColdStart guards against overload crashes of cold engines, that is, of engines that have just started. It restarts all engines
// of a data centre at the same time under load.
func TestColdStart(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 2, vms: 2, engines: 3})
	wait := s.startLoad(s.loadConfig(0.3, 14*time.Second, 51), s.vms...)
	s.await("completed requests in both data centres", func() bool { return s.counters("a").Completed > 20 && s.counters("b").Completed > 20 })
	for _, e := range s.engines["a"] {
		e.Crash()
	}
	before := s.counters("a").Completed
	s.await("completed requests on the restarted engines", func() bool { return s.counters("a").Completed > before+20 })
	outcomes := wait()
	if counts := countByStatus(outcomes); counts[standin.Incomplete] > 0 {
		t.Errorf("outcomes %v; want none that ended without an end mark or an error", counts)
	}
	if c := s.counters("a"); c.Crashes != len(s.engines["a"]) {
		t.Errorf("%d crashes, want the %d that the test caused", c.Crashes, len(s.engines["a"]))
	}
	s.checkInvariants(outcomes...)
}
