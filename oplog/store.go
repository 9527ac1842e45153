package oplog

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// maxReadEntries is how many records one read requests. It requests fewer after a ResponseTooLongError.
	maxReadEntries = 512
	// readTimeout is the time limit of one read, for a Log without limits of its own.
	readTimeout = 10 * time.Second
	// reachableWindow is the time for which the log counts as reachable after it was read to its end. A read may take readWait
	// to return. The remaining time covers a reader that briefly falls behind under many appends.
	reachableWindow = readWait + 2*time.Second
	// resolveTimeout is how long a writer waits for its record to be read back if it is unknown whether the append succeeded.
	resolveTimeout = 3 * time.Second
	// minBackoff and maxBackoff bound the pauses between retries of failed reads and appends.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// idleReadInterval is the pause after a read of a Log that returns without entries and without waiting for one.
	idleReadInterval = 20 * time.Millisecond
	// maxVerifyBytes is the size up to which the last record is read again to check that the log still has it. One such read
	// per readWait costs at most 3 KB/s.
	maxVerifyBytes = 4 << 10
	// defaultClaimRetention is how long a claim holds its key if WithClaimRetention is not used.
	defaultClaimRetention = time.Hour
	// maxOutcomeBytes bounds the size of one recorded outcome. A larger response is not recorded, and its claim still holds the
	// key.
	maxOutcomeBytes = 256 << 10
	// claimRetryAfter is the retry delay in the refusal of a request whose key cannot be claimed.
	claimRetryAfter = 2 * time.Second
)

// Store keeps the state of the log on one VM up to date and appends records to the log.
type Store struct {
	log                Log
	logger             log.Interface
	claimRetention     time.Duration
	checkpointInterval time.Duration
	commitWindow       time.Duration
	resolveTimeout     time.Duration

	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	appendQueue     chan *pendingRecord
	maintenanceWake chan struct{} // capacity 1; wakes maintenanceLoop
	changed         chan struct{} // capacity 1; see Changed

	snapshot atomic.Pointer[Snapshot]
	counters struct{ appends, records, failedAppends, reads, failedReads, checkpoints atomic.Uint64 }

	mu               sync.Mutex
	state            *State
	peers            registers                   // values newer than the state's: from peers, and local drains that are not in the log yet
	waiters          map[recordID]*pendingRecord // submitted records whose writers wait for the decision
	abandoned        map[recordID]abandonedClaim // claims to release if they are read back and have won their keys
	wonClaims        map[string]wonClaim         // by key; claims that this VM won and that have not ended
	caughtUp         bool                        // the log was read to its end since the last failed read or loss of records
	lastReadToEnd    time.Time                   // when the log was last read to its end
	readToEndStarted time.Time                   // when the read of lastReadToEnd started
	// lastBootstrapped is when the state was last known to be bootstrapped, initially when the store was created.
	lastBootstrapped time.Time
	publishedChanges struct{ state, peers uint64 } // change counts that the snapshot includes
}

// StoreOption sets an option of a Store.
type StoreOption func(*Store)

// WithClaimRetention sets how long a claim holds its key. It must be shorter than the log's retention.
func WithClaimRetention(d time.Duration) StoreOption {
	return func(s *Store) { s.claimRetention = d }
}

// WithCheckpointInterval sets the maximum time between checkpoints. It must be well below the log's retention. The default is
// a third of the claim retention.
func WithCheckpointInterval(d time.Duration) StoreOption {
	return func(s *Store) { s.checkpointInterval = d }
}

// WithCommitWindow sets how long the first record of an append waits for others to join it.
func WithCommitWindow(d time.Duration) StoreOption {
	return func(s *Store) { s.commitWindow = d }
}

// WithLogger sets the logger. The default is the apex logger log.Log.
func WithLogger(l log.Interface) StoreOption {
	return func(s *Store) { s.logger = l }
}

// NewStore returns a Store that reads from and appends to l until it is closed.
func NewStore(l Log, opts ...StoreOption) *Store {
	s := &Store{
		log:              l,
		logger:           log.Log,
		claimRetention:   defaultClaimRetention,
		commitWindow:     commitWindow,
		resolveTimeout:   resolveTimeout,
		appendQueue:      make(chan *pendingRecord, maxCommitRecords),
		maintenanceWake:  make(chan struct{}, 1),
		changed:          make(chan struct{}, 1),
		state:            NewState(),
		peers:            newRegisters(),
		waiters:          map[recordID]*pendingRecord{},
		abandoned:        map[recordID]abandonedClaim{},
		wonClaims:        map[string]wonClaim{},
		lastBootstrapped: time.Now(),
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.checkpointInterval == 0 {
		s.checkpointInterval = s.claimRetention / 3
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.snapshot.Store(&Snapshot{registers: newRegisters()})
	s.wg.Go(s.readLoop)
	s.wg.Go(s.commitLoop)
	s.wg.Go(s.maintenanceLoop)
	return s
}

// Close stops reading and appending and waits for the store's goroutines to end. Records that are still queued are not sent.
func (s *Store) Close() {
	s.cancel()
	s.wg.Wait()
}

// Snapshot returns the current view of the registers.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// Changed returns a channel that receives a value after documents, drains or runs have changed. Several changes can share
// one value.
func (s *Store) Changed() <-chan struct{} { return s.changed }

// Version returns the version of the current snapshot.
func (s *Store) Version() uint64 { return s.Snapshot().Version() }

// LogReachable reports whether the log was read to its end recently.
func (s *Store) LogReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachable()
}

// reachable is LogReachable for callers that hold mu.
func (s *Store) reachable() bool { return s.caughtUp && time.Since(s.lastReadToEnd) < reachableWindow }

// readLoop reads and applies the log until the store is closed.
func (s *Store) readLoop() {
	backoff, maxEntries := minBackoff, maxReadEntries
	verifyLast := false
	for s.ctx.Err() == nil {
		s.mu.Lock()
		from := s.state.Next()
		if from > 0 && maxEntries > 1 && (!s.caughtUp || verifyLast && s.state.lastSize <= maxVerifyBytes) {
			// Start with the last record that was read. The log has that record, so it responds at once, and the response shows
			// where the log ends and whether the record is still there. A read of a single entry would return nothing new.
			from--
		}
		s.mu.Unlock()
		started := time.Now()
		ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
		b, err := s.log.Read(ctx, from, maxEntries)
		cancel()
		s.counters.reads.Add(1)
		var tooLong *ResponseTooLongError
		if errors.As(err, &tooLong) && maxEntries > 1 {
			maxEntries /= 2
			continue
		}
		if err != nil {
			s.handleReadError(err)
			s.pause(rand.N(backoff) + backoff/2)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff, maxEntries = minBackoff, min(2*maxEntries, maxReadEntries)
		s.applyBatch(b, started)
		verifyLast = len(b.Entries) == 0
		if len(b.Entries) == 0 && time.Since(started) < idleReadInterval {
			s.pause(idleReadInterval)
		}
	}
}

// pause waits for d or until the store is closed.
func (s *Store) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// handleReadError marks the reader as no longer caught up, and logs the first error of an outage.
func (s *Store) handleReadError(err error) {
	s.counters.failedReads.Add(1)
	s.mu.Lock()
	wasCaughtUp := s.caughtUp
	s.caughtUp = false
	s.mu.Unlock()
	if wasCaughtUp && s.ctx.Err() == nil {
		s.logger.WithError(err).Warn("oplog: the log cannot be read")
	}
}

// applyBatch applies the result of a read that began at started, and delivers the decisions to the waiting writers.
func (s *Store) applyBatch(b Batch, started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	identity, wasBootstrapped, wasCaughtUp := s.state.identity, s.state.bootstrapped, s.caughtUp
	if identity != "" && b.Identity != identity {
		s.logger.Warn("oplog: the log was recreated")
	} else if identity != "" && b.Earliest > s.state.next {
		s.logger.Warnf("oplog: the log was truncated to offset %d, above the applied offset %d", b.Earliest, s.state.next)
	}
	hadLostRecords := s.state.recordsLost
	for _, d := range s.state.apply(b) {
		s.deliverDecision(d)
	}
	if s.state.recordsLost && !hadLostRecords {
		s.logger.Warnf("oplog: the log has lost records; it is read again from offset %d", s.state.next)
	}
	now := time.Now()
	if s.state.recordsLost && !hadLostRecords {
		s.caughtUp = false // until another read has reached the end of the log
	} else if s.state.next >= b.Next {
		s.caughtUp, s.lastReadToEnd, s.readToEndStarted = true, now, started
	}
	if s.state.bootstrapped {
		s.lastBootstrapped = now
	}
	if s.caughtUp && !wasCaughtUp {
		s.logger.Infof("oplog: the log is applied up to offset %d", s.state.next)
	}
	if s.state.bootstrapped != wasBootstrapped && !s.state.bootstrapped {
		s.logger.Warn("oplog: waiting for a checkpoint in the log")
	}
	s.publishSnapshot()
}

// deliverDecision delivers a decision to the writer that waits for it. If the record is an abandoned claim that won its key,
// the claim is released. The caller holds mu.
func (s *Store) deliverDecision(d decision) {
	if p, ok := s.waiters[d.id]; ok {
		p.readBack = true
		if claim, ok := p.record.body.(claimBody); ok && d.accepted {
			s.wonClaims[claim.Key] = wonClaim{id: d.id, time: p.record.time}
		}
		select {
		case p.done <- d:
		default:
		}
		return
	}
	if c, ok := s.abandoned[d.id]; ok {
		delete(s.abandoned, d.id)
		if d.accepted {
			s.submitInBackground(releaseBody{Key: c.key, Claim: d.id})
		}
	}
}

// submitInBackground calls submitWithRetry in a goroutine.
func (s *Store) submitInBackground(b body) {
	s.wg.Go(func() { s.submitWithRetry(s.ctx, b) })
}

// submitWithRetry retries the append of a record until the record is read back, ctx ends or the store is closed. The record
// may be appended more than once, so further copies of it must have no effect.
func (s *Store) submitWithRetry(ctx context.Context, b body) (decision, error) {
	backoff := minBackoff
	for {
		d, err := s.submit(ctx, b)
		if err == nil || ctx.Err() != nil || s.ctx.Err() != nil {
			return d, err
		}
		s.pause(rand.N(backoff) + backoff/2)
		backoff = min(2*backoff, maxBackoff)
	}
}

// publishSnapshot replaces the snapshot if the state or the registers from peers have changed. The caller holds mu.
func (s *Store) publishSnapshot() {
	old := s.snapshot.Load()
	if s.publishedChanges.state == s.state.changes && s.publishedChanges.peers == s.peers.changes {
		if old.offset != s.state.highestNext {
			s.snapshot.Store(&Snapshot{registers: old.registers, offset: s.state.highestNext, version: old.version})
		}
		return
	}
	s.peers = s.peers.newerThan(&s.state.registers)
	s.publishedChanges.state, s.publishedChanges.peers = s.state.changes, s.peers.changes
	r := s.state.registers.clone()
	r.merge(s.peers)
	s.snapshot.Store(&Snapshot{registers: r, offset: s.state.highestNext, version: xxhash.Sum64(exportRegisters(r))})
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// checkUsable returns nil if new records can be appended and decided on, and an *UnavailableError otherwise.
func (s *Store) checkUsable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ctx.Err() != nil:
		return &UnavailableError{reason: "the store is closed"}
	case !s.reachable():
		return &UnavailableError{reason: "it was not read to its end recently"}
	case !s.state.bootstrapped:
		return &UnavailableError{reason: "it has no complete checkpoint"}
	case s.state.recordsLost:
		return &UnavailableError{reason: "it has lost records and has no new checkpoint yet"}
	}
	return nil
}

// CurrentAsOf returns a time as of which the snapshot includes every record that the log held, or the zero time while the log
// cannot be used. It is the start of the last read that reached the end of the log.
func (s *Store) CurrentAsOf() time.Time {
	if s.checkUsable() != nil {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readToEndStarted
}

// Publish publishes a new revision of a document based on revision base and returns its number. The error is a
// *ConflictError if base is not the current revision, and wraps an *UnknownError if the document may have been published.
func (s *Store) Publish(ctx context.Context, document string, base uint64, content []byte) (uint64, error) {
	if !ValidDocumentName(document) {
		return 0, errors.Errorf("document %q: must be %s or %sNAME", document, FleetDocument, ContractPrefix)
	}
	if d, _ := s.Snapshot().Document(document); d.Revision > base {
		return 0, &ConflictError{Document: document, Base: base, Current: d.Revision}
	}
	if err := s.checkUsable(); err != nil {
		return 0, err
	}
	d, err := s.submit(ctx, publishBody{Document: document, Base: base, Content: content})
	switch {
	case err != nil:
		return 0, errors.Wrapf(err, "publish %s", document)
	case !d.accepted:
		return 0, &ConflictError{Document: document, Base: base, Current: d.revision}
	}
	return d.revision, nil
}

// History returns the latest revisions of a document that this VM has read, oldest first.
func (s *Store) History(document string) []Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.state.history[document])
}

// SetDrain sets whether a target is drained. The change takes effect on this VM at once. Peers receive it through Export, and
// it is appended to the log once the log is reachable.
func (s *Store) SetDrain(ctx context.Context, target string, drained bool) (Drain, error) {
	if !ValidDrainTarget(target) {
		return Drain{}, errors.Errorf("target %q: must be %sNAME, %sNAME or %sNAME", target, DataCentrePrefix, VMPrefix, EndpointPrefix)
	}
	if err := ctx.Err(); err != nil {
		return Drain{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.snapshot.Load().registers.drains[target]
	d := Drain{Target: target, Generation: known.Generation + 1, Drained: drained}
	s.peers.setDrain(d)
	s.publishSnapshot()
	s.wakeMaintenance()
	return d, nil
}

// wakeMaintenance makes maintenanceLoop write pending drains without delay.
func (s *Store) wakeMaintenance() {
	select {
	case s.maintenanceWake <- struct{}{}:
	default:
	}
}

// IssueFencingToken issues a fencing token of a resource that is higher than all earlier ones.
func (s *Store) IssueFencingToken(ctx context.Context, resource string) (uint64, error) {
	for {
		if err := s.checkUsable(); err != nil {
			return 0, err
		}
		s.mu.Lock()
		token := max(s.state.fences[resource], s.peers.fences[resource]) + 1
		s.mu.Unlock()
		d, err := s.submit(ctx, fenceBody{Resource: resource, Token: token})
		if err != nil {
			return 0, errors.Wrapf(err, "issue a fencing token of %s", resource)
		}
		if d.accepted {
			return token, nil
		}
	}
}

// RegisterRun registers a run or its end, and returns the newest run of the VM name in the log. That is a different run if one
// with a higher incarnation is registered. RegisterRun fails with an *UnavailableError while the log lacks a fleet document or
// runs that peers have reported. A log that was recreated lacks earlier runs until a VM that has them has written a
// checkpoint, which contains both documents and runs.
func (s *Store) RegisterRun(ctx context.Context, run VMRun) (VMRun, error) {
	if err := s.checkUsable(); err != nil {
		return VMRun{}, err
	}
	s.mu.Lock()
	if run.FleetRevision == 0 {
		run.FleetRevision = s.state.documents[FleetDocument].Revision
	}
	missing := run.FleetRevision == 0 || len(s.peers.runs) > 0
	s.mu.Unlock()
	if missing {
		return VMRun{}, &UnavailableError{reason: "it lacks the fleet document or runs that peers have reported"}
	}
	if _, err := s.submit(ctx, registrationBody{Run: run}); err != nil {
		return VMRun{}, errors.Wrapf(err, "register a run of %s", run.VMName)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.runs[run.VMName], nil
}

// Counters are the counts of events of one Store since its start. Claims is the number of claims that the state holds now.
type Counters struct {
	Appends, Records, FailedAppends, Reads, FailedReads, Checkpoints uint64
	BadRecords, Claims                                               int
}

// Counters returns the current values of the counters.
func (s *Store) Counters() Counters {
	c := Counters{
		Appends: s.counters.appends.Load(), Records: s.counters.records.Load(), FailedAppends: s.counters.failedAppends.Load(),
		Reads: s.counters.reads.Load(), FailedReads: s.counters.failedReads.Load(), Checkpoints: s.counters.checkpoints.Load(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.BadRecords, c.Claims = s.state.badRecords, len(s.state.claims)
	return c
}

// prune deletes expired claims from the state. It also forgets abandoned and won claims that are older than the claim retention
// plus maxClockSkew. The caller holds mu.
func (s *Store) prune(now time.Time) {
	s.state.Prune(now)
	cutoff := now.Add(-s.claimRetention - maxClockSkew)
	maps.DeleteFunc(s.abandoned, func(_ recordID, c abandonedClaim) bool { return c.time.Before(cutoff) })
	maps.DeleteFunc(s.wonClaims, func(_ string, c wonClaim) bool { return c.time.Before(cutoff) })
}
