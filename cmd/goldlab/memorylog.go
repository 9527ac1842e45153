package main

import (
	"context"
	"sync"
	"time"

	"goldcrestpath/oplog"
)

// memoryLog is an in-memory log. Measurements of a store that uses it do not include the cost of HTTP.
type memoryLog struct {
	mu      sync.Mutex
	entries []oplog.Entry
	added   chan struct{} // closed and replaced on every append
}

var _ oplog.Log = (*memoryLog)(nil)

func newMemoryLog() *memoryLog { return &memoryLog{added: make(chan struct{})} }

// Append implements oplog.Log.
func (l *memoryLog) Append(_ context.Context, records [][]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := uint64(len(l.entries))
	for i, r := range records {
		l.entries = append(l.entries, oplog.Entry{Offset: first + uint64(i), Data: r})
	}
	close(l.added)
	l.added = make(chan struct{})
	return first, nil
}

// Read implements oplog.Log.
func (l *memoryLog) Read(ctx context.Context, from uint64, n int) (oplog.Batch, error) {
	wait := time.NewTimer(100 * time.Millisecond)
	defer wait.Stop()
	for {
		l.mu.Lock()
		next, added := uint64(len(l.entries)), l.added
		var entries []oplog.Entry
		if from < next {
			entries = append(entries, l.entries[from:min(next, from+uint64(n))]...)
		}
		l.mu.Unlock()
		b := oplog.Batch{Entries: entries, Next: next, Identity: "memory"}
		if len(entries) > 0 {
			return b, nil
		}
		select {
		case <-added:
		case <-wait.C:
			return b, nil
		case <-ctx.Done():
			return oplog.Batch{}, ctx.Err()
		}
	}
}
