package oplog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// commitWindow is how long the first record of an append waits for others. The log sustains several hundred appends a
	// second in all; with 5 ms one VM sends at most 200.
	commitWindow = 5 * time.Millisecond
	// commitRecords and commitBytes bound one append.
	commitRecords = 256
	commitBytes   = 1 << 20
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
)

// States of a pending record.
const (
	pendingQueued int32 = iota
	pendingSent
	pendingCancelled
)

// pending is a record on its way to the log.
type pending struct {
	record record
	data   []byte
	state  atomic.Int32
	found  bool         // the record was read back; guarded by the store's mu
	done   chan applied // capacity 1; the decision, when the record was read back
	failed chan error   // capacity 1; why the record was certainly not appended
	lost   chan error   // capacity 1; why it is unknown whether the record was appended
}

// errCancelled is the cause of an UnsentError of a record that its writer gave up before it was sent.
var errCancelled = errors.New("given up before the append")

// submit appends one record and waits until it is read back. The error is an *UnsentError where the record was certainly
// not appended, and an *UnknownError otherwise.
func (s *Store) submit(ctx context.Context, b body) (applied, error) {
	r := record{id: newRecordID(), time: time.Now(), body: b}
	data, err := r.encode()
	if err != nil {
		return applied{}, Unsent(err)
	}
	p := &pending{record: r, data: data, done: make(chan applied, 1), failed: make(chan error, 1), lost: make(chan error, 1)}
	s.mu.Lock()
	s.waiters[r.id] = p
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiters, r.id)
		s.mu.Unlock()
	}()
	select {
	case s.appends <- p:
	case <-ctx.Done():
		return applied{}, Unsent(ctx.Err())
	case <-s.ctx.Done():
		return applied{}, Unsent(errClosed)
	}
	return s.await(ctx, p)
}

// await resolves a lost answer by waiting for the record in the log.
func (s *Store) await(ctx context.Context, p *pending) (applied, error) {
	lost := errors.New("the record was not read back")
	var resolve <-chan time.Time
	for {
		select {
		case a := <-p.done:
			return a, nil
		case err := <-p.failed:
			return applied{}, Unsent(err)
		case lost = <-p.lost:
			resolve = time.After(s.resolveTimeout)
			continue
		case <-resolve:
		case <-ctx.Done():
		case <-s.ctx.Done():
		}
		if p.state.CompareAndSwap(pendingQueued, pendingCancelled) {
			return applied{}, Unsent(errCancelled)
		}
		return s.giveUp(p, lost)
	}
}

// giveUp ends the wait for a record that was sent. A claim that is found later is released, because its writer never
// sends the request.
func (s *Store) giveUp(p *pending, lost error) (applied, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case a := <-p.done:
		return a, nil
	default:
	}
	delete(s.waiters, p.record.id) // under the same lock, so that the record finds either its writer or the abandoned claim
	if b, ok := p.record.body.(claimBody); ok {
		s.abandoned[p.record.id] = abandonedClaim{key: b.Key, time: p.record.time}
	}
	return applied{}, Unknown(lost)
}

// commit gathers records and appends them together until the store is closed.
func (s *Store) commit() {
	for {
		select {
		case p := <-s.appends:
			s.appendAll(s.gather(p))
		case <-s.ctx.Done():
			return
		}
	}
}

// gather collects the records of one append.
func (s *Store) gather(first *pending) []*pending {
	batch, size := []*pending{first}, len(first.data)
	window := time.NewTimer(s.commitWindow)
	defer window.Stop()
	for len(batch) < commitRecords && size < commitBytes {
		select {
		case p := <-s.appends:
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

func (s *Store) appendAll(batch []*pending) {
	var sent []*pending
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
		s.checkAppended(sent[0], offset)
		return
	}
	s.counters.failedAppends.Add(1)
	var unsent *UnsentError
	for _, p := range sent {
		if errors.As(err, &unsent) {
			p.failed <- err
		} else {
			p.lost <- err
		}
	}
}

// checkAppended makes the reader read the log again when a record stands at an offset that was applied before with another
// record: the log has lost its newest records since.
func (s *Store) checkAppended(p *pending, offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.found && s.waiters[p.record.id] == p && offset < s.state.next && s.state.anchored {
		s.logger.Warnf("oplog: the log has lost records; offset %d was given again", offset)
		s.state.rewind(Batch{Earliest: s.state.earliest})
		s.caughtUp = false
	}
}
