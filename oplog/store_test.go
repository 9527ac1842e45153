package oplog

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"goldcrestpath/customer"
)

// discardLogger returns an option that discards all log output.
func discardLogger() StoreOption {
	return WithLogger(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
}

// openStore returns a store that has had the time to read the log to its end. It is closed at the end of the test.
func openStore(t *testing.T, l Log, opts ...StoreOption) *Store {
	t.Helper()
	s := NewStore(l, append([]StoreOption{discardLogger()}, opts...)...)
	t.Cleanup(s.Close)
	time.Sleep(2 * initialReadWait)
	return s
}

// Guards against two concurrent publications on the same base that both report success.
func TestPublishConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, b := openStore(t, l), openStore(t, l)
		results := make(chan error, 2)
		for _, s := range []*Store{a, b} {
			go func() {
				_, err := s.Publish(t.Context(), FleetDocument, 0, []byte("x"))
				results <- err
			}()
		}
		var conflicts int
		for range 2 {
			var conflict *ConflictError
			if err := <-results; errors.As(err, &conflict) {
				conflicts++
				if conflict.Current != 1 {
					t.Errorf("conflict reports current revision %d, want 1", conflict.Current)
				}
			} else if err != nil {
				t.Errorf("publish: %v", err)
			}
		}
		if conflicts != 1 {
			t.Errorf("%d of 2 racing publishers had a conflict, want 1", conflicts)
		}
		synctest.Wait()
		if diff := cmp.Diff(a.Snapshot().Documents(), b.Snapshot().Documents()); diff != "" {
			t.Errorf("readers differ:\n%s", diff)
		}
	})
}

// Guards against an append with a lost response that is reported as failed, and against a claim that loses to its own record.
func TestLostAnswerIsResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		s := openStore(t, l)
		l.set(func(l *fakeLog) { l.loseResponses = 2 })
		if rev, err := s.Publish(t.Context(), FleetDocument, 0, []byte("x")); err != nil || rev != 1 {
			t.Errorf("publish with a lost response: revision %d, %v", rev, err)
		}
		r, err := s.Claim(t.Context(), Claim{Key: "k", Digest: "d", Holder: "jm-a/1"})
		if err != nil || r != (ClaimResult)(ClaimWon{}) {
			t.Errorf("claim with a lost response: %v, %v", r, err)
		}
	})
}

// Guards against a claim that blocks until the end of a log outage, or is refused with the wrong verdict.
func TestClaimWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		s := openStore(t, l)
		l.set(func(l *fakeLog) { l.down, l.unsent = true, true })
		for range 2 { // before and after the store has detected the outage
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := s.Claim(ctx, Claim{Key: "k", Digest: "d", Holder: "jm-a/1"})
			cancel()
			if r := customer.AsRefusal(err); r.Verdict() != customer.NotRun || r.Reason() != customer.ReasonLogUnavailable {
				t.Errorf("claim in an outage: %v", err)
			}
			time.Sleep(10 * time.Second)
		}
	})
}

func mustPublish(t *testing.T, s *Store, base uint64) {
	t.Helper()
	if _, err := s.Publish(t.Context(), FleetDocument, base, []byte{byte(base)}); err != nil {
		t.Fatalf("publish on base %d: %v", base, err)
	}
}

func wantRevision(t *testing.T, s *Store, want uint64) {
	t.Helper()
	if d, _ := s.Snapshot().Document(FleetDocument); d.Revision != want {
		t.Errorf("fleet has revision %d, want %d", d.Revision, want)
	}
}

// expire truncates entries that are older than retention until ctx ends.
func (l *fakeLog) expire(ctx context.Context, retention time.Duration) {
	const interval = 5 * time.Minute
	var ends []uint64 // end of the log after each interval
	for {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
		ends = append(ends, l.next())
		if age := int(retention / interval); len(ends) > age {
			l.truncate(ends[len(ends)-1-age])
		}
	}
}

// Guards against the loss of documents, and of claims within their retention, when the log drops their records.
func TestCheckpointsBeforeRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		go l.expire(t.Context(), 90*time.Minute)
		a, b := openStore(t, l), openStore(t, l)
		mustPublish(t, a, 0)
		for i := range 8 {
			claim := Claim{Key: fmt.Sprint("k", i), Digest: "d", Holder: "jm-a/1"}
			if r, err := a.Claim(t.Context(), claim); err != nil || r != (ClaimResult)(ClaimWon{}) {
				t.Fatalf("claim: %v, %v", r, err)
			}
			time.Sleep(50 * time.Minute) // the claim retention is an hour
			fresh := openStore(t, l)
			wantRevision(t, fresh, 1)
			if r, err := fresh.Claim(t.Context(), claim); err != nil || r.String() != "held by jm-a/1" {
				t.Errorf("claim %d within its retention: %v, %v", i, r, err)
			}
			fresh.Close()
		}
		if l.next() < 16 || a.Counters().Checkpoints+b.Counters().Checkpoints < 8*50/90 {
			t.Errorf("%d records, counters %+v and %+v", l.next(), a.Counters(), b.Counters())
		}
	})
}

// Guards against a reader that reverts or stops when the log has dropped records that it has not read.
func TestTruncatedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		behind := openStore(t, l)
		mustPublish(t, behind, 0)
		behind.Close()
		ahead := openStore(t, l)
		mustPublish(t, ahead, 1)
		mustPublish(t, ahead, 2)
		l.truncate(l.next())
		fresh := openStore(t, l)
		if err := fresh.checkUsable(); err == nil {
			t.Error("a VM decides on records without a checkpoint")
		}
		if err := fresh.Import(behind.Export()); err != nil {
			t.Fatal(err)
		}
		wantRevision(t, fresh, 1)
		time.Sleep(2 * maxWriteDelay) // until the store that has read everything has written a checkpoint
		wantRevision(t, fresh, 3)
		mustPublish(t, fresh, 3)
		if err := fresh.Import(behind.Export()); err != nil { // a stale peer
			t.Fatal(err)
		}
		synctest.Wait()
		wantRevision(t, fresh, 4)
		wantRevision(t, ahead, 4)
	})
}

// Guards against documents that revert, claims that are lost and fencing tokens that start again when the log is recreated.
func TestRecreatedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		s := openStore(t, l)
		for base := range uint64(3) {
			mustPublish(t, s, base)
		}
		claim := Claim{Key: "k", Digest: "d", Holder: "jm-a/1"}
		if _, err := s.Claim(t.Context(), claim); err != nil {
			t.Fatal(err)
		}
		if _, err := s.IssueFencingToken(t.Context(), "small-a1"); err != nil {
			t.Fatal(err)
		}
		l.recreate()
		time.Sleep(2 * readWait)
		wantRevision(t, s, 3)
		time.Sleep(2 * maxWriteDelay)
		fresh := openStore(t, l)
		wantRevision(t, fresh, 3)
		if r, err := fresh.Claim(t.Context(), claim); err != nil || r.String() != "held by jm-a/1" {
			t.Errorf("claim made in the earlier log: %v, %v", r, err)
		}
		if token, err := fresh.IssueFencingToken(t.Context(), "small-a1"); err != nil || token != 2 {
			t.Errorf("fencing token is %d, %v; want 2", token, err)
		}
		mustPublish(t, fresh, 3)
	})
}

// Guards against a drain that doesn't take effect during a log outage, or that is never appended to the log.
func TestDrainDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const target = "dataCentre/jm-a"
		l := newFakeLog()
		a, b := openStore(t, l), openStore(t, l)
		l.set(func(l *fakeLog) { l.down = true })
		if d, err := a.SetDrain(t.Context(), target, true); err != nil || d.Generation != 1 {
			t.Errorf("drain: %+v, %v", d, err)
		}
		if !a.Snapshot().Drained(target) || b.Snapshot().Drained(target) {
			t.Error("the drain did not take effect at once, or reached the other store during the outage")
		}
		<-a.Changed()
		if err := b.Import(a.Export()); err != nil || !b.Snapshot().Drained(target) || a.Version() != b.Version() {
			t.Errorf("the peer did not import the drain: %v", err)
		}
		if _, err := b.SetDrain(t.Context(), target, false); err != nil {
			t.Error(err)
		}
		l.set(func(l *fakeLog) { l.down = false })
		time.Sleep(10 * maxWriteDelay)
		late := openStore(t, l)
		for i, s := range []*Store{a, b, late} {
			if diff := cmp.Diff([]Drain{{Target: target, Generation: 2}}, s.Snapshot().Drains()); diff != "" {
				t.Errorf("store %d:\n%s", i, diff)
			}
		}
	})
}

// Guards against one append per claim, which would exceed the append rate that the log sustains.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		s := openStore(t, l)
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i%100) * time.Millisecond)
				if _, err := s.Claim(t.Context(), Claim{Key: fmt.Sprint(i), Digest: "d"}); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		// 1,000 claims in 100 ms with a window of 5 ms.
		if n := s.Counters().Appends; n > 21 {
			t.Errorf("%d appends, want at most 21", n)
		}
	})
}

// Guards against VMs that miss records at offsets that the log assigns a second time after it lost its newest records, and
// against the loss of accepted documents and claims with those records.
func TestLostTail(t *testing.T) {
	for _, republish := range []bool{false, true} {
		t.Run(fmt.Sprintf("offset reused %v", republish), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeLog()
				a, b := openStore(t, l), openStore(t, l)
				mustPublish(t, a, 0)
				mustPublish(t, a, 1)
				claim := Claim{Key: "k", Digest: "d", Holder: "jm-a/1"}
				if _, err := a.Claim(t.Context(), claim); err != nil {
					t.Fatal(err)
				}
				offset := a.Snapshot().Offset()
				l.mu.Lock()
				l.entries = l.entries[:len(l.entries)-2] // without waking the readers
				l.mu.Unlock()
				if republish {
					for i := range 3 {
						if _, err := a.Claim(t.Context(), Claim{Key: fmt.Sprint("new", i), Digest: "d", Holder: "jm-a/1"}); err != nil {
							t.Logf("claim while the log is read again: %v", err)
						}
					}
				}
				time.Sleep(3*readWait + 2*maxWriteDelay)
				fresh := openStore(t, l)
				for _, s := range []*Store{a, b, fresh} {
					wantRevision(t, s, 2)
					if r, err := s.Claim(t.Context(), claim); err != nil || r.String() != "held by jm-a/1" {
						t.Errorf("claim whose record was lost: %v, %v", r, err)
					}
				}
				mustPublish(t, b, 2)
				synctest.Wait()
				wantRevision(t, a, 3)
				wantRevision(t, fresh, 3)
				if got := a.Snapshot().Offset(); got < offset {
					t.Errorf("applied offset went from %d to %d", offset, got)
				}
			})
		})
	}
}

// Guards against VMs that wait forever for a checkpoint that no VM can write, and against a publication during an outage that
// neither succeeds nor fails with an UnavailableError.
func TestNoCheckpointAnywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		removed := openStore(t, l)
		mustPublish(t, removed, 0)
		exported := removed.Export()
		removed.Close()
		l.truncate(l.next())

		first := openStore(t, l)
		if err := first.Import(exported); err != nil {
			t.Fatal(err)
		}
		var unavailable *UnavailableError
		if _, err := first.Publish(t.Context(), FleetDocument, 1, nil); !errors.As(err, &unavailable) {
			t.Errorf("publish without a checkpoint: %v", err)
		}
		time.Sleep(forcedCheckpointWait + 2*maxWriteDelay)
		second := openStore(t, l)
		wantRevision(t, second, 1)
		mustPublish(t, second, 1)

		l.set(func(l *fakeLog) { l.down = true })
		synctest.Wait()
		if _, err := first.Publish(t.Context(), FleetDocument, 2, nil); !errors.As(err, &unavailable) {
			t.Errorf("publish in an outage: %v", err)
		}
		l.set(func(l *fakeLog) { l.down = false })
		time.Sleep(2 * maxBackoff)
		mustPublish(t, first, 2)
		first.Close()
		second.Close()

		l.truncate(l.next())
		empty := openStore(t, l)
		time.Sleep(emptyCheckpointWait + 2*maxWriteDelay)
		mustPublish(t, empty, 0)
	})
}

// Guards against an append response that arrives after the record was read back and is mistaken for a sign that the offset was
// assigned again. The reader then read the whole log again, and claims were refused until it had caught up.
func TestLateAppendAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := openStore(t, newFakeLog())
		mustPublish(t, s, 0)
		p := &pendingRecord{record: record{id: newRecordID()}, done: make(chan decision, 1)}
		s.mu.Lock()
		s.waiters[p.record.id] = p
		s.deliverDecision(decision{id: p.record.id})
		s.mu.Unlock()
		<-p.done // the writer has its result, but is still in waiters
		s.checkAppendOffset(p, 0)
		if err := s.checkUsable(); err != nil || s.state.Next() != 1 {
			t.Errorf("the reader went back to offset %d: %v", s.state.Next(), err)
		}
	})
}

// Guards against a run that is registered as the first of its VM name, or as one whose predecessors have ended, while an
// earlier run may still lease out the same shares.
func TestRegisterRun(t *testing.T) {
	type step struct {
		run  VMRun
		want VMRun // expected result of RegisterRun
	}
	for _, c := range []struct {
		name    string
		publish map[int]bool // steps before which the fleet document is published again
		steps   []step
	}{
		{"new site", nil, []step{
			{VMRun{VMName: "a/1", Incarnation: 5}, VMRun{VMName: "a/1", Incarnation: 5, FleetRevision: 1, First: true, PredecessorsEnded: true}},
			{VMRun{VMName: "a/2", Incarnation: 6}, VMRun{VMName: "a/2", Incarnation: 6, FleetRevision: 1, First: true, PredecessorsEnded: true}},
			{VMRun{VMName: "a/1", Incarnation: 5}, VMRun{VMName: "a/1", Incarnation: 5, FleetRevision: 1, First: true, PredecessorsEnded: true}},
		}},
		{"replacement", nil, []step{
			{VMRun{VMName: "a/1", Incarnation: 5}, VMRun{VMName: "a/1", Incarnation: 5, FleetRevision: 1, First: true, PredecessorsEnded: true}},
			{VMRun{VMName: "a/1", Incarnation: 7}, VMRun{VMName: "a/1", Incarnation: 7, FleetRevision: 1}},
			{VMRun{VMName: "a/1", Incarnation: 6}, VMRun{VMName: "a/1", Incarnation: 7, FleetRevision: 1}},
			{VMRun{VMName: "a/1", Incarnation: 7, Ended: true}, VMRun{VMName: "a/1", Incarnation: 7, FleetRevision: 1, Ended: true}},
			{VMRun{VMName: "a/1", Incarnation: 8}, VMRun{VMName: "a/1", Incarnation: 8, FleetRevision: 1, PredecessorsEnded: true}},
		}},
		{"replacement of a released run", nil, []step{
			{VMRun{VMName: "a/1", Incarnation: 5}, VMRun{VMName: "a/1", Incarnation: 5, FleetRevision: 1, First: true, PredecessorsEnded: true}},
			{VMRun{VMName: "a/1", Incarnation: 5, Ended: true, Released: true}, VMRun{VMName: "a/1", Incarnation: 5, FleetRevision: 1, First: true, PredecessorsEnded: true, Ended: true, Released: true}},
			{VMRun{VMName: "a/1", Incarnation: 6}, VMRun{VMName: "a/1", Incarnation: 6, FleetRevision: 1, PredecessorsEnded: true, PredecessorReleased: true}},
			{VMRun{VMName: "a/1", Incarnation: 5, Ended: true, Released: true}, VMRun{VMName: "a/1", Incarnation: 6, FleetRevision: 1, PredecessorsEnded: true, PredecessorReleased: true}},
			{VMRun{VMName: "a/1", Incarnation: 7}, VMRun{VMName: "a/1", Incarnation: 7, FleetRevision: 1, PredecessorReleased: true}},
		}},
		{"new VM name in a changed fleet", map[int]bool{1: true}, []step{
			{VMRun{VMName: "a/1", Incarnation: 5}, VMRun{VMName: "a/1", Incarnation: 5, FleetRevision: 1, First: true, PredecessorsEnded: true}},
			{VMRun{VMName: "a/2", Incarnation: 6}, VMRun{VMName: "a/2", Incarnation: 6, FleetRevision: 2, PredecessorsEnded: true}},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeLog()
				s, peer := openStore(t, l), openStore(t, newFakeLog())
				if _, err := s.RegisterRun(t.Context(), c.steps[0].run); err == nil {
					t.Error("registered a run in a log without a fleet document")
				}
				revision := uint64(0)
				for i, step := range c.steps {
					if i == 0 || c.publish[i] {
						var err error
						if revision, err = s.Publish(t.Context(), FleetDocument, revision, nil); err != nil {
							t.Fatal(err)
						}
					}
					got, err := s.RegisterRun(t.Context(), step.run)
					if diff := cmp.Diff(step.want, got); err != nil || diff != "" {
						t.Errorf("step %d: %v\n%s", i, err, diff)
					}
				}
				if err := peer.Import(s.Export()); err != nil {
					t.Error(err)
				}
				if diff := cmp.Diff(s.Snapshot().Runs(), peer.Snapshot().Runs()); diff != "" {
					t.Errorf("runs of a peer differ:\n%s", diff)
				}
				if _, err := peer.RegisterRun(t.Context(), VMRun{VMName: "a/9", Incarnation: 1}); err == nil {
					t.Error("registered a run in a log that lacks runs known from a peer")
				}
			})
		})
	}
}
