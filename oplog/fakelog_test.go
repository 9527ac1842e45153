package oplog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// fakeLog is an in-memory Log with fault injection.
type fakeLog struct {
	mu            sync.Mutex
	identity      string
	earliest      uint64
	entries       []Entry
	added         chan struct{} // closed and replaced on each append
	down          bool          // every call fails and appends nothing
	unsent        bool          // with down: appends fail with an UnsentError
	loseResponses int           // number of appends whose response is lost after the records were added
	// downAfterLoss makes the log go down after a lost response, so that the record cannot be read back.
	downAfterLoss bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{identity: "log-1", added: make(chan struct{})}
}

var errDown = errors.New("fake log is down")

func (l *fakeLog) Append(ctx context.Context, records [][]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		if l.unsent {
			return 0, NewUnsentError(errDown)
		}
		return 0, errDown
	}
	first := l.earliest + uint64(len(l.entries))
	for i, r := range records {
		l.entries = append(l.entries, Entry{Offset: first + uint64(i), Data: r})
	}
	close(l.added)
	l.added = make(chan struct{})
	if l.loseResponses > 0 {
		l.loseResponses--
		l.down = l.down || l.downAfterLoss
		return 0, errors.New("response lost")
	}
	return first, nil
}

func (l *fakeLog) Read(ctx context.Context, from uint64, n int) (Batch, error) {
	wait := time.After(readWait)
	if from == 0 {
		wait = time.After(initialReadWait)
	}
	for {
		l.mu.Lock()
		if l.down {
			l.mu.Unlock()
			return Batch{}, errDown
		}
		b := Batch{Earliest: l.earliest, Next: l.earliest + uint64(len(l.entries)), Identity: l.identity}
		for _, e := range l.entries {
			if e.Offset >= from && len(b.Entries) < n {
				b.Entries = append(b.Entries, e)
			}
		}
		added := l.added
		l.mu.Unlock()
		if len(b.Entries) > 0 {
			return b, nil
		}
		select {
		case <-added:
		case <-wait:
			return b, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// set changes the log under its lock and wakes waiting reads.
func (l *fakeLog) set(f func(l *fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
	close(l.added)
	l.added = make(chan struct{})
}

// truncate drops the entries below offset to.
func (l *fakeLog) truncate(to uint64) {
	l.set(func(l *fakeLog) {
		l.entries = l.entries[to-l.earliest:]
		l.earliest = to
	})
}

// recreate starts an empty log under a new identity.
func (l *fakeLog) recreate() {
	l.set(func(l *fakeLog) { l.identity, l.earliest, l.entries = l.identity+"+", 0, nil })
}

// next returns the offset that the next appended record will get.
func (l *fakeLog) next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.earliest + uint64(len(l.entries))
}
