package gateway

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	metrics "github.com/rcrowley/go-metrics"

	"goldcrestpath/endpoint"
	"goldcrestpath/oplog"
	"goldcrestpath/platform"
)

// fakePartStore is an in-memory fake of the store's topic of quarantined parts.
type fakePartStore struct {
	mu      sync.Mutex
	records []oplog.TopicRecord
	calls   int
	down    bool
	lost    bool // appends are executed, but not answered

	silentFor time.Duration // appends fail after this time, if it is not 0
}

func (s *fakePartStore) ReadNewest(context.Context, platform.Topic) ([]oplog.TopicRecord, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errDown
	}
	newest := map[string]oplog.TopicRecord{}
	for _, r := range s.records {
		newest[r.Key] = r
	}
	var list []oplog.TopicRecord
	for _, r := range newest {
		if r.Value != nil {
			list = append(list, r)
		}
	}
	return list, int64(len(s.records)), nil
}

func (s *fakePartStore) AppendAt(_ context.Context, _ platform.Topic, at int64, key string, value []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.silentFor > 0 {
		time.Sleep(s.silentFor)
		return 0, errDown
	}
	switch {
	case s.down:
		return 0, errDown
	case at != int64(len(s.records)):
		return 0, platform.ErrConflict
	}
	s.records = append(s.records, oplog.TopicRecord{Key: key, Value: value, Offset: at})
	if s.lost {
		return 0, errDown
	}
	return at + 1, nil
}

// partLogs is the quarantines of a deployment. Reports reach all VMs.
type partLogs struct {
	store  *fakePartStore
	cancel context.CancelFunc
	vms    []*partLog
}

// startPartLogs starts the quarantines of n VMs.
func startPartLogs(store *fakePartStore, n int) *partLogs {
	ctx, cancel := context.WithCancel(context.Background())
	d := &partLogs{store: store, cancel: cancel}
	for i := range n {
		l := newPartLog(ctx, store, &log.Logger{Handler: discard.New()}, metrics.NewRegistry())
		l.rank.Store(int64(i))
		l.start()
		d.vms = append(d.vms, l)
	}
	return d
}

func (d *partLogs) stop() {
	d.cancel()
	for _, l := range d.vms {
		l.wg.Wait()
	}
}

// exchange passes all reports on.
func (d *partLogs) exchange(heartbeat bool) {
	for _, l := range d.vms {
		reports := l.quarantine.TakeReports(heartbeat)
		for _, o := range d.vms {
			if o != l {
				o.quarantine.Merge(reports)
			}
		}
	}
}

// run lets d pass in steps of 100 ms.
func (d *partLogs) run(duration time.Duration) {
	for range duration / (100 * time.Millisecond) {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		d.exchange(true)
	}
}

// quarantine makes every VM decide that the part ends engines, at the same time.
func (d *partLogs) quarantine(part endpoint.PromptPart) {
	for i := range 3 {
		d.vms[0].quarantine.ReportEnd(endpoint.SuspectPrompt{Endpoint: endpoint.Key(i), EndedAt: time.Now().Add(time.Duration(i-5) * time.Second), Began: true, Parts: []endpoint.PromptPart{part}})
	}
	d.exchange(true)
	for _, l := range d.vms {
		l.quarantine.Decide(time.Now())
	}
}

// takeTrials returns how many of the VMs get a trial when all ask for one at once.
func (d *partLogs) takeTrials(part endpoint.PromptPart) int {
	granted := make([]bool, len(d.vms))
	var wg sync.WaitGroup
	for i, l := range d.vms {
		wg.Go(func() { granted[i] = l.TakeTrial(part) })
	}
	wg.Wait()
	n := 0
	for _, g := range granted {
		if g {
			n++
		}
	}
	return n
}

// TestQuarantineOutlastsAllVMs guards against a part whose quarantine is forgotten when all VMs are replaced at once, also if the store was
// down when it was decided or lost its answer, and against a decision that all VMs write to the store.
func TestQuarantineOutlastsAllVMs(t *testing.T) {
	for name, disturb := range map[string]func(s *fakePartStore, on bool){
		"calm":        func(*fakePartStore, bool) {},
		"store down":  func(s *fakePartStore, on bool) { s.down = on },
		"answer lost": func(s *fakePartStore, on bool) { s.lost = on },
	} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakePartStore{}
			set := func(on bool) {
				store.mu.Lock()
				defer store.mu.Unlock()
				disturb(store, on)
			}
			d := startPartLogs(store, 59)
			d.run(time.Second)
			set(true)
			store.mu.Lock()
			before := store.calls
			store.mu.Unlock()
			d.quarantine(7)
			d.run(5 * time.Second)
			set(false)
			d.run(5 * time.Second)
			store.mu.Lock()
			if calls := store.calls - before; name == "calm" && calls > 4 {
				t.Errorf("59 VMs made %d calls for one decision, want at most 4", calls)
			}
			store.mu.Unlock()
			d.stop()
			d = startPartLogs(store, 59)
			defer d.stop()
			time.Sleep(2 * time.Second)
			for i, l := range d.vms {
				if len(l.quarantine.Blocked([]endpoint.PromptPart{7})) == 0 {
					t.Errorf("%s: VM %d does not know the part in quarantine after the restart", name, i)
				}
			}
		})
	}
}

// TestOneTrialInTheDeployment guards against more trials than one at a time and three within a minute, whatever number of VMs asks for them,
// restarts of all VMs included, and against trials that the store has not recorded.
func TestOneTrialInTheDeployment(t *testing.T) {
	for _, n := range []int{1, 9, 62} {
		for _, restart := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				store := &fakePartStore{}
				d := startPartLogs(store, n)
				d.run(time.Second)
				d.quarantine(7)
				var granted []int
				for range 12 {
					d.run(5 * time.Second)
					if c := d.takeTrials(7); c > 0 {
						granted = append(granted, c)
					}
					if restart {
						d.stop()
						d = startPartLogs(store, n)
						d.run(time.Second)
					}
				}
				total := 0
				for _, c := range granted {
					total += c
				}
				if total > 3 || slices.Max(append(granted, 0)) > 1 || !restart && total == 0 {
					t.Errorf("%d VMs, restarts %v: trials %v within a minute, want one at a time and at most three", n, restart, granted)
				}
				store.mu.Lock()
				store.down = true
				store.mu.Unlock()
				time.Sleep(2 * time.Hour)
				if c := d.takeTrials(7); c != 0 {
					t.Errorf("%d trials while the store is down", c)
				}
				d.stop()
			})
		}
	}
}

// TestTrialsDoNotWaitForEachOther guards against requests that queue for a store that does not answer, each for its time limit.
func TestTrialsDoNotWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakePartStore{}
		d := startPartLogs(store, 1)
		defer d.stop()
		d.run(time.Second)
		d.quarantine(7)
		d.run(7 * time.Second)
		store.mu.Lock()
		store.silentFor = 1200 * time.Millisecond
		store.mu.Unlock()
		started := time.Now()
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				arrived := time.Now()
				if d.vms[0].TakeTrial(7) {
					t.Error("a trial that the store has not recorded")
				}
				if waited := time.Since(arrived); i > 0 && waited > 0 {
					t.Errorf("request %d waited for %v", i, waited)
				}
			})
		}
		wg.Wait()
		if took := time.Since(started); took > 1300*time.Millisecond {
			t.Errorf("50 requests took %v", took)
		}
	})
}

// TestReleaseReachesAllVMs guards against a part that stays in quarantine on some VMs, or after a restart, although a trial was answered.
func TestReleaseReachesAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakePartStore{}
		d := startPartLogs(store, 9)
		d.run(time.Second)
		d.quarantine(7)
		d.run(10 * time.Second)
		if c := d.takeTrials(7); c != 1 {
			t.Fatalf("%d trials, want 1", c)
		}
		d.run(time.Second)
		for _, l := range d.vms {
			if p, _ := l.quarantine.State(7); p.Trials == 1 && !p.Released {
				l.Release(7)
				break
			}
		}
		d.run(5 * time.Second)
		for restarts := range 2 {
			for i, l := range d.vms {
				if len(l.quarantine.Blocked([]endpoint.PromptPart{7})) > 0 {
					t.Errorf("VM %d, %d restarts: the part is still in quarantine", i, restarts)
				}
			}
			d.stop()
			d = startPartLogs(store, 9)
			d.run(time.Second)
		}
		d.stop()
	})
}
