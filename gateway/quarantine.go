package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"goldcrestpath/endpoint"
	"goldcrestpath/forward"
	"goldcrestpath/oplog"
	"goldcrestpath/platform"
)

// Timers of the stored quarantine.
const (
	// storeStagger is the delay between the attempts of VMs of consecutive ranks to store a decision, which all of them make at the same
	// time. It is bounded by maxStoreRank, so that a decision is stored soon if the first VMs are gone.
	storeStagger = 300 * time.Millisecond
	maxStoreRank = 8
	// storeRetry is the time between attempts after a failure, also between requests for trials.
	storeRetry = time.Second
)

// maxConflicts is how often a write may find that another VM has written first.
const maxConflicts = 3

// partStore has the methods of platform.Store that the stored quarantine uses.
type partStore interface {
	ReadNewest(ctx context.Context, topic platform.Topic) ([]oplog.TopicRecord, int64, error)
	AppendAt(ctx context.Context, topic platform.Topic, at int64, key string, value []byte) (int64, error)
}

var _ partStore = (*platform.Store)(nil)

// storedPart is the record of a quarantined part in the store. Its key is the part in hexadecimal digits.
type storedPart struct {
	Revision int  `json:"revision"`
	Trials   int  `json:"trials"`
	WasSound bool `json:"wasSound"`
}

// partLog keeps the quarantine in the platform's store, where it outlasts the VMs. Every write is conditional on the end of the topic,
// so that of several VMs only one gets a trial. It implements forward.Trials.
type partLog struct {
	store      partStore
	quarantine *endpoint.Quarantine
	logger     log.Interface
	rank       atomic.Int64
	read       atomic.Bool // the first read of the store has ended
	wake       chan struct{}
	ctx        context.Context
	wg         sync.WaitGroup

	storeMu      sync.Mutex // held during calls to the store; guards end and noTrialUntil
	end          int64      // offset after the last known record, -1 if unknown
	noTrialUntil time.Time  // no trial is asked for before, because the last attempt failed

	mu      sync.Mutex
	pending map[endpoint.PromptPart]time.Time // parts whose states this VM still has to store, and when they changed

	quarantined, released, trialsGranted metrics.Counter
}

var _ forward.Trials = (*partLog)(nil)

func newPartLog(ctx context.Context, store partStore, logger log.Interface, r metrics.Registry) *partLog {
	l := &partLog{
		store: store, logger: logger, ctx: ctx, wake: make(chan struct{}, 1), end: -1, pending: map[endpoint.PromptPart]time.Time{},
		quarantined: metrics.GetOrRegisterCounter("quarantine.quarantined", r), released: metrics.GetOrRegisterCounter("quarantine.released", r),
		trialsGranted: metrics.GetOrRegisterCounter("quarantine.trials", r),
	}
	l.quarantine = endpoint.NewQuarantine(endpoint.WithQuarantineFunc(l.changed))
	return l
}

// start starts the goroutine that reads and writes the store.
func (l *partLog) start() {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.run()
	}()
}

// changed logs and counts a change of a part's state, and schedules its storage if this VM decided it.
func (l *partLog) changed(p endpoint.QuarantinedPart, ends int) {
	l.logger.WithFields(log.Fields{
		"part": partKey(p.Part), "released": p.Released, "revision": p.Revision, "trials": p.Trials, "ends": ends, "stored": p.Stored,
	}).Info("quarantine: the state of a part changed")
	switch {
	case p.Released:
		l.released.Inc(1)
	case p.Trials == 0:
		l.quarantined.Inc(1)
	}
	if ends == 0 || p.Stored {
		return
	}
	l.schedule(p.Part)
}

func (l *partLog) schedule(part endpoint.PromptPart) {
	l.mu.Lock()
	l.pending[part] = time.Now()
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // one token is enough
	}
}

// run reads the store once, so that a VM that starts knows the parts in quarantine, and then stores decisions.
func (l *partLog) run() {
	for l.ctx.Err() == nil {
		l.storeMu.Lock()
		err := l.sync()
		l.storeMu.Unlock()
		l.read.Store(true)
		if err == nil {
			break
		}
		l.logger.WithError(err).Warn("quarantine: the parts cannot be read; the read will be retried")
		l.sleep(storeRetry)
	}
	for l.ctx.Err() == nil {
		if l.storePending() {
			l.sleep(storeStagger)
			continue
		}
		select {
		case <-l.ctx.Done():
		case <-l.wake:
		}
	}
}

func (l *partLog) sleep(d time.Duration) {
	select {
	case <-l.ctx.Done():
	case <-time.After(d):
	}
}

// sync reads all parts from the store. The caller holds storeMu.
func (l *partLog) sync() error {
	records, end, err := l.store.ReadNewest(l.ctx, platform.PartTopic)
	if err != nil {
		l.end = -1
		return err
	}
	l.end = end
	for _, rec := range records {
		if rec.Value == nil {
			continue
		}
		part, err := strconv.ParseUint(rec.Key, 16, 64)
		var s storedPart
		if err == nil {
			err = json.Unmarshal(rec.Value, &s)
		}
		if err != nil {
			l.logger.WithError(err).WithField("key", rec.Key).Warn("quarantine: a stored part cannot be decoded and is ignored")
			continue
		}
		l.quarantine.SetState(endpoint.QuarantinedPart{
			Part: endpoint.PromptPart(part), Revision: s.Revision, Trials: s.Trials, WasSound: s.WasSound, ChangedAt: time.Now(), Stored: true,
		})
	}
	return nil
}

// storePending stores the states that are due and reports whether any are left.
func (l *partLog) storePending() bool {
	l.mu.Lock()
	var due []endpoint.PromptPart
	delay := time.Duration(min(l.rank.Load(), maxStoreRank)) * storeStagger
	for part, since := range l.pending {
		if time.Since(since) >= delay {
			due = append(due, part)
		}
	}
	l.mu.Unlock()
	for _, part := range due {
		if p, _ := l.quarantine.State(part); !p.Stored {
			l.storeMu.Lock()
			err := l.writeLocked(p, func() bool {
				now, _ := l.quarantine.State(part)
				return now.Revision == p.Revision && !now.Stored
			})
			l.storeMu.Unlock()
			if errors.Is(err, errStateChanged) {
				continue // the next call looks at the new state
			}
			if err != nil {
				l.logger.WithError(err).WithField("part", partKey(part)).Warn("quarantine: a part cannot be stored; the write will be retried")
				l.sleep(storeRetry)
				continue
			}
			p.Stored = true
			l.quarantine.MarkStored(p)
		}
		l.mu.Lock()
		delete(l.pending, part)
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}

// writeLocked stores a state. The append is conditional on the end of the topic that this VM knows. If another VM has written since, this one
// reads all records and tries again, as long as valid reports that they leave the state as it was.
func (l *partLog) writeLocked(p endpoint.QuarantinedPart, valid func() bool) error {
	if l.end < 0 {
		if err := l.sync(); err != nil {
			return err
		}
	}
	var value []byte // a part that is released needs no record
	if !p.Released {
		var err error
		if value, err = json.Marshal(storedPart{Revision: p.Revision, Trials: p.Trials, WasSound: p.WasSound}); err != nil {
			return err
		}
	}
	for range maxConflicts {
		if !valid() {
			return errStateChanged
		}
		end, err := l.store.AppendAt(l.ctx, platform.PartTopic, l.end, partKey(p.Part), value)
		if err == nil {
			l.end = end
			return nil
		}
		l.end = -1 // another VM has written, or the record may have been appended
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		if err := l.sync(); err != nil {
			return err
		}
	}
	return errors.Wrapf(platform.ErrConflict, "after %d attempts", maxConflicts)
}

// errStateChanged is the error for a write whose state another VM has changed.
var errStateChanged = errors.New("another VM has changed the state of the part")

// TakeTrial implements forward.Trials. The trial is recorded before it begins, so that no restart grants it again. While the store is
// unavailable there are no trials, and only one request at a time waits for it.
func (l *partLog) TakeTrial(part endpoint.PromptPart) bool {
	if !l.storeMu.TryLock() {
		return false
	}
	defer l.storeMu.Unlock()
	now := time.Now()
	wait, p, ok := l.quarantine.UntilTrial(now, part)
	if !ok || wait > 0 || now.Before(l.noTrialUntil) {
		return false
	}
	p.Revision, p.Trials, p.ChangedAt, p.Stored = p.Revision+1, p.Trials+1, now, true
	err := l.writeLocked(p, func() bool {
		now, _ := l.quarantine.State(part)
		return now.Revision == p.Revision-1
	})
	if err != nil {
		l.noTrialUntil = time.Now().Add(storeRetry)
		l.logger.WithError(err).WithField("part", partKey(part)).Info("quarantine: no trial")
		return false
	}
	l.trialsGranted.Inc(1)
	return l.quarantine.SetState(p)
}

// Release implements forward.Trials.
func (l *partLog) Release(part endpoint.PromptPart) {
	p, ok := l.quarantine.State(part)
	if !ok || p.Released {
		return
	}
	p.Revision, p.Released, p.ChangedAt, p.Stored = p.Revision+1, true, time.Now(), false
	if l.quarantine.SetState(p) {
		l.schedule(part)
	}
}

// partKey returns the form of a part in the store and in log lines.
func partKey(part endpoint.PromptPart) string { return strconv.FormatUint(uint64(part), 16) }
