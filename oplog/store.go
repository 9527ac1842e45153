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
	// readEntries is how many records one read asks for, unless the answer is too long.
	readEntries = 512
	// readTimeout bounds one read, also of a Log that ignores its own limits.
	readTimeout = 10 * time.Second
	// freshness is how long ago the log may have been read to its end to count as reachable: a read may wait for readWait
	// before it answers. A reader that falls behind for a moment, under many appends, stays below it.
	freshness = readWait + 2*time.Second
	// resolveTimeout is how long a record is looked for after a lost answer.
	resolveTimeout = 3 * time.Second
	// Pauses after failed reads.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// idlePause slows down the reads of a Log that answers at once without entries.
	idlePause = 20 * time.Millisecond
	// verifyBytes is the longest last record that is read again to see whether the log still holds it. With one such read
	// in readWait it costs at most 3 KB/s.
	verifyBytes = 4 << 10
	// defaultClaimRetention is used where the settings give none.
	defaultClaimRetention = time.Hour
	// maxOutcomeSize bounds one recorded outcome. A larger response is not recorded; its claim stays held.
	maxOutcomeSize = 256 << 10
	// claimRetryAfter is what a caller is told when the log is out of reach.
	claimRetryAfter = 2 * time.Second
)

// Store keeps the applied copy of the log on one VM and writes to the log.
type Store struct {
	log             Log
	logger          log.Interface
	claimRetention  time.Duration
	checkpointEvery time.Duration
	commitWindow    time.Duration
	resolveTimeout  time.Duration

	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	appends chan *pending
	kick    chan struct{} // wakes the upkeep
	changed chan struct{}

	snapshot atomic.Pointer[Snapshot]
	counters struct{ appends, records, failedAppends, reads, failedReads, checkpoints atomic.Uint64 }

	mu        sync.Mutex
	state     *State
	peers     registers // newer than the state: from peers, and own drains that are not in the log yet
	waiters   map[recordID]*pending
	abandoned map[recordID]abandonedClaim
	own       map[string]ownClaim // claims that this VM won
	caughtUp  bool                // the log was read to its end since the last failure
	lastEnd   time.Time           // when the log was last read to its end
	readAt    time.Time           // when that read was asked for
	// unanchored is when the state was last anchored, or else when the store was created.
	unanchored time.Time
	applied    struct{ state, peers uint64 } // change counts of the snapshot
}

// StoreOption changes a Store.
type StoreOption func(*Store)

// WithClaimRetention sets how long a claim holds its key. It must be shorter than the log's retention.
func WithClaimRetention(d time.Duration) StoreOption {
	return func(s *Store) { s.claimRetention = d }
}

// WithCheckpointEvery sets the longest time between checkpoints. It must be well under the log's retention. The default
// is a third of the claim retention.
func WithCheckpointEvery(d time.Duration) StoreOption {
	return func(s *Store) { s.checkpointEvery = d }
}

// WithCommitWindow sets how long the first record of an append waits for others.
func WithCommitWindow(d time.Duration) StoreOption {
	return func(s *Store) { s.commitWindow = d }
}

// WithLogger sets the logger.
func WithLogger(l log.Interface) StoreOption {
	return func(s *Store) { s.logger = l }
}

// NewStore starts to read the log.
func NewStore(l Log, opts ...StoreOption) *Store {
	s := &Store{
		log:            l,
		logger:         log.Log,
		claimRetention: defaultClaimRetention,
		commitWindow:   commitWindow,
		resolveTimeout: resolveTimeout,
		appends:        make(chan *pending, commitRecords),
		kick:           make(chan struct{}, 1),
		changed:        make(chan struct{}, 1),
		state:          NewState(),
		peers:          newRegisters(),
		waiters:        map[recordID]*pending{},
		abandoned:      map[recordID]abandonedClaim{},
		own:            map[string]ownClaim{},
		unanchored:     time.Now(),
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.checkpointEvery == 0 {
		s.checkpointEvery = s.claimRetention / 3
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.snapshot.Store(&Snapshot{r: newRegisters()})
	s.wg.Go(s.read)
	s.wg.Go(s.commit)
	s.wg.Go(s.upkeep)
	return s
}

// Close stops reading and writing and waits for the goroutines. Records that are still queued are not sent.
func (s *Store) Close() {
	s.cancel()
	s.wg.Wait()
}

// Snapshot returns the current view.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// Changed delivers one value after any number of changes of documents or drains.
func (s *Store) Changed() <-chan struct{} { return s.changed }

// Version returns the snapshot's version.
func (s *Store) Version() uint64 { return s.Snapshot().Version() }

// LogReachable says whether the log was read to its end a moment ago.
func (s *Store) LogReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachable()
}

func (s *Store) reachable() bool { return s.caughtUp && time.Since(s.lastEnd) < freshness }

// read applies the log until the store is closed.
func (s *Store) read() {
	backoff, entries := firstBackoff, readEntries
	verify := false
	for s.ctx.Err() == nil {
		s.mu.Lock()
		from := s.state.Next()
		if from > 0 && entries > 1 && (!s.caughtUp || verify && s.state.lastSize <= verifyBytes) {
			// The record before is there, so that the answer comes at once. It tells where the log ends, and whether the
			// log still holds the record. A read of a single entry would not get past that record.
			from--
		}
		s.mu.Unlock()
		began := time.Now()
		ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
		b, err := s.log.Read(ctx, from, entries)
		cancel()
		s.counters.reads.Add(1)
		var long *TooLongError
		if errors.As(err, &long) && entries > 1 {
			entries /= 2
			continue
		}
		if err != nil {
			s.readFailed(err)
			s.pause(rand.N(backoff) + backoff/2)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff, entries = firstBackoff, min(2*entries, readEntries)
		s.take(b, began)
		verify = len(b.Entries) == 0
		if len(b.Entries) == 0 && time.Since(began) < idlePause {
			s.pause(idlePause)
		}
	}
}

func (s *Store) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

func (s *Store) readFailed(err error) {
	s.counters.failedReads.Add(1)
	s.mu.Lock()
	was := s.caughtUp
	s.caughtUp = false
	s.mu.Unlock()
	if was && s.ctx.Err() == nil {
		s.logger.WithError(err).Warn("oplog: the log cannot be read")
	}
}

// take applies what was read and hands the decisions to their writers.
func (s *Store) take(b Batch, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	identity, wasAnchored, was := s.state.identity, s.state.anchored, s.caughtUp
	if identity != "" && b.Identity != identity {
		s.logger.Warn("oplog: the log was recreated")
	} else if identity != "" && b.Earliest > s.state.next {
		s.logger.Warnf("oplog: the log was truncated to offset %d, above the applied offset %d", b.Earliest, s.state.next)
	}
	moved := s.state.moved
	for _, a := range s.state.apply(b) {
		s.resolve(a)
	}
	if s.state.moved && !moved {
		s.logger.Warnf("oplog: the log has lost records; it is read again from offset %d", s.state.next)
	}
	now := time.Now()
	if s.state.moved && !moved {
		s.caughtUp = false // the next read tells where the log ends
	} else if s.state.next >= b.Next {
		s.caughtUp, s.lastEnd, s.readAt = true, now, asked
	}
	if s.state.anchored {
		s.unanchored = now
	}
	if s.caughtUp && !was {
		s.logger.Infof("oplog: the log is applied up to offset %d", s.state.next)
	}
	if s.state.anchored != wasAnchored && !s.state.anchored {
		s.logger.Warn("oplog: waiting for a checkpoint in the log")
	}
	s.publishSnapshot()
}

// resolve hands a decision to its writer. A claim that was given up and is found now is released.
func (s *Store) resolve(a applied) {
	if p, ok := s.waiters[a.id]; ok {
		p.found = true
		if won, ok := p.record.body.(claimBody); ok && a.accepted {
			s.own[won.Key] = ownClaim{id: a.id, time: p.record.time}
		}
		select {
		case p.done <- a:
		default:
		}
		return
	}
	if c, ok := s.abandoned[a.id]; ok {
		delete(s.abandoned, a.id)
		if a.accepted {
			s.background(releaseBody{Key: c.key, Claim: a.id})
		}
	}
}

// background appends a record of which a copy does no harm until it is in the log.
func (s *Store) background(b body) {
	s.wg.Go(func() { s.submitAgain(s.ctx, b) })
}

// submitAgain repeats the append until the record was read back. It is only for records of which a copy does no harm.
func (s *Store) submitAgain(ctx context.Context, b body) (applied, error) {
	backoff := firstBackoff
	for {
		a, err := s.submit(ctx, b)
		if err == nil || ctx.Err() != nil || s.ctx.Err() != nil {
			return a, err
		}
		s.pause(rand.N(backoff) + backoff/2)
		backoff = min(2*backoff, maxBackoff)
	}
}

// publishSnapshot makes the state and what peers reported visible. The caller holds mu.
func (s *Store) publishSnapshot() {
	old := s.snapshot.Load()
	if s.applied.state == s.state.changes && s.applied.peers == s.peers.changes {
		if old.offset != s.state.high {
			s.snapshot.Store(&Snapshot{r: old.r, offset: s.state.high, version: old.version})
		}
		return
	}
	s.peers = s.peers.ahead(&s.state.registers)
	s.applied.state, s.applied.peers = s.state.changes, s.peers.changes
	r := s.state.registers.clone()
	r.merge(s.peers)
	s.snapshot.Store(&Snapshot{r: r, offset: s.state.high, version: xxhash.Sum64(exportRegisters(r))})
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// usable returns why the log cannot decide on a record now, or nil.
func (s *Store) usable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ctx.Err() != nil:
		return &UnavailableError{reason: "the store is closed"}
	case !s.reachable():
		return &UnavailableError{reason: "it was not read to its end"}
	case !s.state.anchored:
		return &UnavailableError{reason: "it has no complete checkpoint"}
	case s.state.moved:
		return &UnavailableError{reason: "it has lost records and has no new checkpoint yet"}
	}
	return nil
}

// ReadAt returns a time as of which the snapshot has everything that the log held, or zero while the log cannot be used.
func (s *Store) ReadAt() time.Time {
	if s.usable() != nil {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readAt
}

// Publish proposes a new content of a document and returns its revision. The error is a *ConflictError where base is not
// the current revision, and an *UnknownError where the document may have been published.
func (s *Store) Publish(ctx context.Context, document string, base uint64, content []byte) (uint64, error) {
	if !ValidDocument(document) {
		return 0, errors.Errorf("document %q: allowed are %s and %sNAME", document, FleetDocument, ContractPrefix)
	}
	if d, _ := s.Snapshot().Document(document); d.Revision > base {
		return 0, &ConflictError{Document: document, Base: base, Current: d.Revision}
	}
	if err := s.usable(); err != nil {
		return 0, err
	}
	a, err := s.submit(ctx, publishBody{Document: document, Base: base, Content: content})
	switch {
	case err != nil:
		return 0, errors.Wrapf(err, "publish %s", document)
	case !a.accepted:
		return 0, &ConflictError{Document: document, Base: base, Current: a.revision}
	}
	return a.revision, nil
}

// History returns the revisions of a document that this VM has read, oldest first.
func (s *Store) History(document string) []Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.state.history[document])
}

// SetDrain changes a drain register. The change is in force here at once; peers get it through Export, and it is written
// to the log when that is reachable.
func (s *Store) SetDrain(ctx context.Context, target string, drained bool) (Drain, error) {
	if !ValidTarget(target) {
		return Drain{}, errors.Errorf("target %q: allowed are %sNAME, %sPLACE and %sNAME", target, DataCentrePrefix, VMPrefix, EndpointPrefix)
	}
	if err := ctx.Err(); err != nil {
		return Drain{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.snapshot.Load().r.drains[target]
	d := Drain{Target: target, Generation: known.Generation + 1, Drained: drained}
	s.peers.setDrain(d)
	s.publishSnapshot()
	s.wake()
	return d, nil
}

func (s *Store) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Fence returns a new fencing token of a resource, above all earlier ones.
func (s *Store) Fence(ctx context.Context, resource string) (uint64, error) {
	for {
		if err := s.usable(); err != nil {
			return 0, err
		}
		s.mu.Lock()
		token := max(s.state.fences[resource], s.peers.fences[resource]) + 1
		s.mu.Unlock()
		a, err := s.submit(ctx, fenceBody{Resource: resource, Token: token})
		if err != nil {
			return 0, errors.Wrapf(err, "fence %s", resource)
		}
		if a.accepted {
			return token, nil
		}
	}
}

// Register registers a run at its place, or its end, and returns what the log then has of the place: a run with a higher
// incarnation, where there is one. It needs a fleet document in the log, because a log that was recreated lacks earlier
// runs until a VM that knows them has written a checkpoint, which holds documents and runs together.
func (s *Store) Register(ctx context.Context, run PlaceRun) (PlaceRun, error) {
	if err := s.usable(); err != nil {
		return PlaceRun{}, err
	}
	s.mu.Lock()
	if run.Fleet == 0 {
		run.Fleet = s.state.documents[FleetDocument].Revision
	}
	missing := run.Fleet == 0 || len(s.peers.places) > 0
	s.mu.Unlock()
	if missing {
		return PlaceRun{}, &UnavailableError{reason: "it lacks the fleet document or runs that peers know"}
	}
	if _, err := s.submit(ctx, placeBody{Run: run}); err != nil {
		return PlaceRun{}, errors.Wrapf(err, "register %s", run.Place)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.places[run.Place], nil
}

// Counters are the counts of one Store since its start.
type Counters struct {
	Appends, Records, FailedAppends, Reads, FailedReads, Checkpoints uint64
	BadRecords, Claims                                               int
}

// Counters returns the current counts.
func (s *Store) Counters() Counters {
	c := Counters{
		Appends: s.counters.appends.Load(), Records: s.counters.records.Load(), FailedAppends: s.counters.failedAppends.Load(),
		Reads: s.counters.reads.Load(), FailedReads: s.counters.failedReads.Load(), Checkpoints: s.counters.checkpoints.Load(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.BadRecords, c.Claims = s.state.bad, len(s.state.claims)
	return c
}

// prune drops what can no longer matter. The caller holds mu.
func (s *Store) prune(now time.Time) {
	s.state.Prune(now)
	old := now.Add(-s.claimRetention - clockSkew)
	maps.DeleteFunc(s.abandoned, func(_ recordID, c abandonedClaim) bool { return c.time.Before(old) })
	maps.DeleteFunc(s.own, func(_ string, c ownClaim) bool { return c.time.Before(old) })
}
