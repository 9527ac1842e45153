package integration

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"goldcrestpath/oplog"
	"goldcrestpath/standin"
)

// tryPublish makes one attempt to publish a document and returns its new revision.
func (p *vmProcess) tryPublish(name string, base uint64, content string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return p.operatorClient.Publish(ctx, name, base, []byte(content))
}

// fleetVariant returns the fleet document with a comment that makes its content different for each n.
func (s *site) fleetVariant(n int) string { return s.fleetDocument + fmt.Sprintf("# %d\n", n) }

// awaitRevision waits until every VM has applied the given revision of the fleet document.
func (s *site) awaitRevision(revision uint64) {
	s.t.Helper()
	for _, v := range s.vms {
		s.await(fmt.Sprintf("revision %d at %s", revision, v.name), func() bool { return v.revision("fleet") == revision })
	}
}

// TestConcurrentPublications guards against three failures when several VMs publish the same document at once: one publication silently
// overwrites another, a rejected publisher does not learn the current revision, or a publisher that does not receive the log's answer
// publishes twice or not at all.
func TestConcurrentPublications(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 2, vms: 2, engines: 1})
	for round := uint64(1); round <= 5; round++ {
		if round%2 == 0 {
			s.log.DropResponses(1)
		}
		revisions, errs := make([]uint64, len(s.vms)), make([]error, len(s.vms))
		var wg sync.WaitGroup
		for i, v := range s.vms {
			wg.Add(1)
			go func() {
				defer wg.Done()
				revisions[i], errs[i] = v.tryPublish("fleet", round, s.fleetVariant(100*int(round)+i))
			}()
		}
		wg.Wait()
		winner := -1
		for i, err := range errs {
			var conflict *oplog.ConflictError
			switch {
			case err == nil && winner < 0 && revisions[i] == round+1:
				winner = i
			case err == nil:
				t.Errorf("round %d: publisher %d also won, with revision %d", round, i, revisions[i])
			case !errors.As(err, &conflict) || conflict.Current != round+1:
				t.Errorf("round %d: publisher %d: %v; want a conflict with current revision %d", round, i, err, round+1)
			}
		}
		if winner < 0 {
			t.Fatalf("round %d: no publisher won: %v", round, errs)
		}
		s.awaitRevision(round + 1)
		for _, v := range s.vms {
			d, err := v.operatorClient.Document(context.Background(), "fleet")
			if want := s.fleetVariant(100*int(round) + winner); err != nil || string(d.Content) != want {
				t.Errorf("round %d: %s has different content from the winner's (%v)", round, v.name, err)
			}
		}
	}
}

// TestVMStartedDuringLogOutage guards against a new VM that cannot start without the log although a peer can send it the
// configuration, and against VMs that become ready without a configuration when no peer has one.
func TestVMStartedDuringLogOutage(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 3, engines: 1})
	s.log.SetOutage(standin.OutageUnresponsive)
	v := s.vms[2]
	v.kill()
	v.start()
	s.await("readiness of the new VM", v.ready)
	if r := v.revision("fleet"); r != 1 {
		t.Errorf("the new VM is ready with revision %d, want 1", r)
	}
	s.wantAnswered("prompt at the new VM", v.prompt(1_000, 10))
	for _, v := range s.vms {
		v.kill()
	}
	for _, v := range s.vms {
		v.start()
	}
	s.await("the operator API of a new VM", func() bool { return s.vms[0].status().VMName != "" })
	time.Sleep(3 * time.Second)
	for _, v := range s.vms {
		if v.ready() {
			t.Errorf("%s is ready without a configuration", v.name)
		}
	}
	s.log.SetOutage(standin.OutageNone)
	s.awaitCapacity()
	s.wantAnswered("prompt after the restart of all VMs", s.vms[0].prompt(1_000, 10), s.vms[1].prompt(1_000, 10))
	s.checkInvariants()
}

// TestLogLosesRecords guards against VMs that return to an older revision when the log is truncated or recreated, and against
// publications that fail from then on.
func TestLogLosesRecords(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 1})
	revision := uint64(1)
	publish := func() {
		t.Helper()
		s.publish(s.vms[revision%2], "fleet", revision, s.fleetVariant(int(revision)))
		revision++
		s.awaitRevision(revision)
	}
	publish()
	publish()
	for name, loseRecords := range map[string]func(){"truncated": func() { s.log.Truncate(2) }, "recreated": s.log.Recreate} {
		loseRecords()
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, v := range s.vms {
				if st := v.status(); st.VMName != "" && st.Revisions["fleet"] != revision {
					t.Fatalf("log %s: %s returned to revision %d from revision %d", name, v.name, st.Revisions["fleet"], revision)
				}
			}
		}
		publish()
		s.vms[1].kill()
		s.vms[1].start()
		s.await("revision at the replacement VM", func() bool { return s.vms[1].revision("fleet") == revision })
	}
	s.await("readiness", s.vms[1].ready)
	s.wantAnswered("prompt after the loss of records", s.vms[0].prompt(1_000, 10), s.vms[1].prompt(1_000, 10))
}
