package oplog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// commitWindow is how long the first record of an append waits for others to join it. The log sustains several hundred
	// appends per second from all VMs together; with 5 ms, one VM sends at most 200 per second.
	commitWindow = 5 * time.Millisecond
	// maxCommitRecords and maxCommitBytes bound one append. The last record may take an append above maxCommitBytes.
	maxCommitRecords = 256
	maxCommitBytes   = 1 << 20
	// appendTimeout is the time limit of one append.
	appendTimeout = 5 * time.Second
)

// States of a pending record.
const (
	pendingQueued int32 = iota
	pendingSent
	pendingCancelled
)

// pendingRecord is a submitted record whose writer waits for the decision on it.
type pendingRecord struct {
	record     record
	data       []byte
	state      atomic.Int32
	readBack   bool          // the record was read back from the log; guarded by Store.mu
	done       chan decision // capacity 1; the decision on the record, sent when it is read back
	unsentErr  chan error    // capacity 1; the append error if the record was certainly not appended
	unknownErr chan error    // capacity 1; the append error if the record may have been appended
}

// errCancelled is the cause of the UnsentError for a record whose writer stopped waiting before the record was sent.
var errCancelled = errors.New("cancelled before the append")

// submit appends one record and waits until it is read back from the log. The error is an *UnsentError if the record was
// certainly not appended, and an *UnknownError otherwise.
func (s *Store) submit(ctx context.Context, b body) (decision, error) {
	r := record{id: newRecordID(), time: time.Now(), body: b}
	data, err := r.encode()
	if err != nil {
		return decision{}, NewUnsentError(err)
	}
	p := &pendingRecord{record: r, data: data, done: make(chan decision, 1), unsentErr: make(chan error, 1), unknownErr: make(chan error, 1)}
	s.mu.Lock()
	s.waiters[r.id] = p
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiters, r.id)
		s.mu.Unlock()
	}()
	select {
	case s.appendQueue <- p:
	case <-ctx.Done():
		return decision{}, NewUnsentError(ctx.Err())
	case <-s.ctx.Done():
		return decision{}, NewUnsentError(errClosed)
	}
	return s.awaitRecord(ctx, p)
}

// awaitRecord waits for the decision on a submitted record. If it is unknown whether the record was appended, it waits at most
// resolveTimeout for the record to be read back.
func (s *Store) awaitRecord(ctx context.Context, p *pendingRecord) (decision, error) {
	cause := errors.New("the record was not read back from the log")
	var resolveTimer <-chan time.Time
	for {
		select {
		case d := <-p.done:
			return d, nil
		case err := <-p.unsentErr:
			return decision{}, NewUnsentError(err)
		case cause = <-p.unknownErr:
			resolveTimer = time.After(s.resolveTimeout)
			continue
		case <-resolveTimer:
		case <-ctx.Done():
		case <-s.ctx.Done():
		}
		if p.state.CompareAndSwap(pendingQueued, pendingCancelled) {
			return decision{}, NewUnsentError(errCancelled)
		}
		return s.abandon(p, cause)
	}
}

// abandon ends the wait for a record that was sent. If the record is a claim and is read back later, the claim is released,
// because its writer never sends the request.
func (s *Store) abandon(p *pendingRecord, cause error) (decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case d := <-p.done:
		return d, nil
	default:
	}
	// Both maps are updated under the same lock, so that deliverDecision finds either the waiter or the abandoned claim.
	delete(s.waiters, p.record.id)
	if b, ok := p.record.body.(claimBody); ok {
		s.abandoned[p.record.id] = abandonedClaim{key: b.Key, time: p.record.time}
	}
	return decision{}, NewUnknownError(cause)
}

// commitLoop appends queued records in batches until the store is closed.
func (s *Store) commitLoop() {
	for {
		select {
		case p := <-s.appendQueue:
			s.appendBatch(s.collectBatch(p))
		case <-s.ctx.Done():
			return
		}
	}
}

// collectBatch returns the records of one append: the given first record and those that are queued within the commit window
// after it, up to the limits of an append.
func (s *Store) collectBatch(first *pendingRecord) []*pendingRecord {
	batch, size := []*pendingRecord{first}, len(first.data)
	window := time.NewTimer(s.commitWindow)
	defer window.Stop()
	for len(batch) < maxCommitRecords && size < maxCommitBytes {
		select {
		case p := <-s.appendQueue:
			batch = append(batch, p)
			size += len(p.data)
		case <-window.C:
			return batch
		case <-s.ctx.Done():
			return batch
		}
	}
	return batch
}

// appendBatch appends the records of a batch that were not cancelled. If the append fails, it sends the error to their
// writers. Otherwise each writer waits until its record is read back.
func (s *Store) appendBatch(batch []*pendingRecord) {
	var sent []*pendingRecord
	var records [][]byte
	for _, p := range batch {
		if p.state.CompareAndSwap(pendingQueued, pendingSent) {
			sent = append(sent, p)
			records = append(records, p.data)
		}
	}
	if len(sent) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, appendTimeout)
	defer cancel()
	offset, err := s.log.Append(ctx, records)
	s.counters.appends.Add(1)
	s.counters.records.Add(uint64(len(records)))
	if err == nil {
		s.checkAppendOffset(sent[0], offset)
		return
	}
	s.counters.failedAppends.Add(1)
	var unsent *UnsentError
	for _, p := range sent {
		if errors.As(err, &unsent) {
			p.unsentErr <- err
		} else {
			p.unknownErr <- err
		}
	}
}

// checkAppendOffset detects that the log has lost its newest records: it has assigned p an offset that the reader has already
// passed, but p was not read back, so another record was applied at that offset. The reader then reads the log again.
func (s *Store) checkAppendOffset(p *pendingRecord, offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.readBack && s.waiters[p.record.id] == p && offset < s.state.next && s.state.bootstrapped {
		s.logger.Warnf("oplog: the log has lost records; offset %d was assigned again", offset)
		s.state.rewind(Batch{Earliest: s.state.earliest})
		s.caughtUp = false
	}
}
