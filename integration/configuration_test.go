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

// tryPublish publishes a document once.
func (p *process) tryPublish(name string, base uint64, content string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return p.client.Publish(ctx, name, base, []byte(content))
}

// variant returns the fleet document with a comment that makes its content different.
func (s *site) variant(n int) string { return s.fleet + fmt.Sprintf("# %d\n", n) }

// awaitRevision waits until every VM has a revision of the fleet document.
func (s *site) awaitRevision(revision uint64) {
	s.t.Helper()
	for _, v := range s.vms {
		s.await(fmt.Sprintf("revision %d at %s", revision, v.place), func() bool { return v.revision("fleet") == revision })
	}
}

// TestRacingPublishers guards against operators' changes that overwrite each other silently, against a loser that does not learn the
// current revision, and against a lost answer of the log that makes a publisher repeat or miss its change.
func TestRacingPublishers(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 2, vms: 2, engines: 1})
	for round := uint64(1); round <= 5; round++ {
		if round%2 == 0 {
			s.log.LoseAnswers(1)
		}
		revisions, errs := make([]uint64, len(s.vms)), make([]error, len(s.vms))
		var wg sync.WaitGroup
		for i, v := range s.vms {
			wg.Add(1)
			go func() {
				defer wg.Done()
				revisions[i], errs[i] = v.tryPublish("fleet", round, s.variant(100*int(round)+i))
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
			d, err := v.client.Document(context.Background(), "fleet")
			if want := s.variant(100*int(round) + winner); err != nil || string(d.Content) != want {
				t.Errorf("round %d: %s has another content than the winner's (%v)", round, v.place, err)
			}
		}
	}
}

// TestVMStartedDuringLogOutage guards against a new VM that needs the log for its configuration although a peer has it, and against
// one that turns ready without any configuration.
func TestVMStartedDuringLogOutage(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 3, engines: 1})
	s.log.SetOutage(standin.OutageSilent)
	v := s.vms[2]
	v.kill()
	v.start()
	s.await("readiness of the new VM", v.ready)
	if r := v.revision("fleet"); r != 1 {
		t.Errorf("the new VM is ready with revision %d", r)
	}
	s.wantAnswered("prompt at the new VM", v.prompt(1_000, 10))
	for _, v := range s.vms {
		v.kill()
	}
	for _, v := range s.vms {
		v.start()
	}
	s.await("the new VMs' API", func() bool { return s.vms[0].status().Place != "" })
	time.Sleep(3 * time.Second)
	for _, v := range s.vms {
		if v.ready() {
			t.Errorf("%s is ready without a configuration", v.place)
		}
	}
	s.log.SetOutage(standin.OutageNone)
	s.awaitCapacity()
	s.wantAnswered("prompt at the replaced fleet", s.vms[0].prompt(1_000, 10), s.vms[1].prompt(1_000, 10))
	s.check()
}

// TestLogLosesRecords guards against an accepted revision that reverts when the log is truncated or recreated, and against a log after
// which nothing can be published any more.
func TestLogLosesRecords(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 1})
	revision := uint64(1)
	publish := func() {
		t.Helper()
		s.publish(s.vms[revision%2], "fleet", revision, s.variant(int(revision)))
		revision++
		s.awaitRevision(revision)
	}
	publish()
	publish()
	for name, lose := range map[string]func(){"truncated": func() { s.log.Truncate(2) }, "recreated": s.log.Recreate} {
		lose()
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, v := range s.vms {
				if st := v.status(); st.Place != "" && st.Revisions["fleet"] != revision {
					t.Fatalf("log %s: %s has revision %d after revision %d", name, v.place, st.Revisions["fleet"], revision)
				}
			}
		}
		publish()
		s.vms[1].kill()
		s.vms[1].start()
		s.await("revision at the replaced VM", func() bool { return s.vms[1].revision("fleet") == revision })
	}
	s.await("readiness", s.vms[1].ready)
	s.wantAnswered("prompt at the end", s.vms[0].prompt(1_000, 10), s.vms[1].prompt(1_000, 10))
}
