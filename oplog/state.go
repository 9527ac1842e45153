package oplog

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxHistoryRevisions and maxHistoryBytes bound the history of each document. The newest revision is kept even if it is
// larger.
const (
	maxHistoryRevisions = 32
	maxHistoryBytes     = 8 << 20
)

// maxClockSkew is the largest difference between the clocks of two VMs at which claim retention is still exact. An expired
// claim stays in memory for this long, so that it still applies to a claim record whose time comes from a slow clock.
const maxClockSkew = 10 * time.Minute

// State is the result of applying the log up to an offset. It does no I/O and is not safe for concurrent use.
//
// The decision on a record depends only on that record and the records before it, so that all readers of the same log agree.
// If the log no longer has the records from offset 0 on, the state is bootstrapped from a checkpoint whose base is not below
// the oldest record that was read. Until then, the state buffers the records and decides on none of them. Documents, drains,
// fences and runs never revert to an older value, even when the log is truncated or recreated.
type State struct {
	registers
	history      map[string][]Document
	claims       map[string]*heldClaim
	preGapClaims map[string]*heldClaim // claims from before a gap in the records, while not bootstrapped

	identity           string
	start              uint64 // first offset of the contiguous records read
	next               uint64 // next offset to read
	bootstrapped       bool
	buffer             []Entry                        // records from start on, while not bootstrapped
	partials           map[recordID]partialCheckpoint // incomplete checkpoints by checkpoint ID
	recordsLost        bool                           // the log lost records, and no checkpoint read since covers the loss
	claimsAtLoss       map[string]recordID            // keys and record IDs of the state's claims when the log lost records
	lastHash           uint64                         // hash of the last record read
	lastSize           int                            // its size in bytes; 0 after the read position was reset
	highestNext        uint64                         // highest value that next has had
	latestTime         time.Time                      // latest time of any record read
	checkpointOutdated bool                           // the newest checkpoint lacks values that the state has from before its base
	badRecords         int                            // records that could not be decoded
	earliest           uint64                         // oldest offset that the log retains
	checkpointTime     time.Time                      // time of the newest complete checkpoint, zero if none was read
	checkpointBase     uint64                         // highest base of a complete checkpoint
}

// partialCheckpoint is the merged content of the parts of a checkpoint that have been read so far.
type partialCheckpoint struct {
	registers
	partsRead int
	claims    []heldClaim
}

// registers returns the registers in the part.
func (c *checkpointBody) registers() registers {
	r := newRegisters()
	for _, d := range c.Documents {
		r.setDocument(d)
	}
	for _, d := range c.Drains {
		r.setDrain(d)
	}
	for resource, token := range c.Fences {
		r.setFence(resource, token)
	}
	for _, run := range c.Runs {
		r.setRun(run)
	}
	return r
}

// decision is the result of applying one record: whether it was accepted, and the value that is current after it.
type decision struct {
	id       recordID
	accepted bool
	revision uint64      // the document's revision, drain generation, fencing token or incarnation after the record
	claim    ClaimResult // nil unless the record is a claim
}

// NewState returns the state before any record.
func NewState() *State {
	return &State{registers: newRegisters(), history: map[string][]Document{}, claims: map[string]*heldClaim{}}
}

// Next returns the offset from which to continue reading. It decreases only if the log lost records or was recreated.
func (s *State) Next() uint64 { return s.next }

// Offset returns the highest value that Next has returned.
func (s *State) Offset() uint64 { return s.highestNext }

// Bootstrapped reports whether the state is bootstrapped. Only a bootstrapped state decides on records.
func (s *State) Bootstrapped() bool { return s.bootstrapped }

// Apply applies the result of a read from offset Next or the offset before it.
func (s *State) Apply(b Batch) { s.apply(b) }

// apply applies a batch and returns the decisions on its records. It detects whether the log was recreated, lost its newest
// records or was truncated beyond the next record.
func (s *State) apply(b Batch) []decision {
	if b.Identity != s.identity {
		hadIdentity := s.identity != ""
		s.identity = b.Identity
		s.restorePreGapClaims()
		s.resetPosition(b.Earliest)
		if hadIdentity {
			s.markRecordsLost()
		}
	}
	if b.Next < s.next || s.lastRecordReplaced(b) {
		s.rewind(b)
	}
	if b.Earliest > s.next {
		// Claims may have been released or completed in the gap. The checkpoint that bootstraps the state has their current
		// state.
		if s.bootstrapped {
			s.preGapClaims, s.claims = s.claims, map[string]*heldClaim{}
		}
		s.resetPosition(b.Earliest)
	}
	s.earliest = b.Earliest
	var decisions []decision
	for _, e := range b.Entries {
		if e.Offset < s.next {
			continue
		}
		if e.Offset > s.next {
			break // records are missing; the next read starts with the first missing one
		}
		s.next++
		s.highestNext = max(s.highestNext, s.next)
		s.lastHash, s.lastSize = xxhash.Sum64(e.Data), len(e.Data)
		decisions = append(decisions, s.applyEntry(e)...)
	}
	return decisions
}

// lastRecordReplaced reports whether the batch has a different record at the offset that was read last.
func (s *State) lastRecordReplaced(b Batch) bool {
	for _, e := range b.Entries {
		if e.Offset+1 == s.next {
			return s.lastSize > 0 && xxhash.Sum64(e.Data) != s.lastHash
		}
	}
	return false
}

// rewind resets the read position to the start of the log after the log lost its newest records, for example because it was
// restored from a backup. Records that were applied before have no effect when they are read again; new records at the same
// offsets are decided on.
func (s *State) rewind(b Batch) {
	if !s.bootstrapped {
		s.resetPosition(b.Earliest)
		return
	}
	s.next, s.lastSize = b.Earliest, 0
	s.markRecordsLost()
}

// markRecordsLost sets recordsLost if the log may now lack values that the state has. A checkpoint that has all of them
// clears it; see coversLoss.
func (s *State) markRecordsLost() {
	if s.empty() {
		return
	}
	s.recordsLost, s.claimsAtLoss = true, map[string]recordID{}
	for key, h := range s.claims {
		s.claimsAtLoss[key] = h.ID
	}
}

// coversLoss reports whether a checkpoint written at t has everything that the state had when the log lost records, except
// claims that have expired or were released.
func (s *State) coversLoss(checkpoint partialCheckpoint, t time.Time) bool {
	if missing := s.newerThan(&checkpoint.registers); !missing.empty() {
		return false
	}
	present := map[string]bool{}
	for i := range checkpoint.claims {
		present[checkpoint.claims[i].Key] = true
	}
	for key, id := range s.claimsAtLoss {
		if h := s.claims[key]; h != nil && h.ID == id && !present[key] && !h.expired(t.Add(-maxClockSkew)) {
			return false
		}
	}
	return true
}

// resetPosition restarts reading at the oldest offset of the log. It keeps the registers and claims that were read before.
func (s *State) resetPosition(earliest uint64) {
	s.start, s.next = earliest, earliest
	s.bootstrapped = earliest == 0
	s.buffer, s.partials = nil, map[recordID]partialCheckpoint{}
	s.checkpointTime, s.checkpointBase, s.checkpointOutdated, s.lastSize = time.Time{}, 0, false, 0
}

// empty reports whether the state has neither registers nor claims.
func (s *State) empty() bool {
	return s.registers.empty() && len(s.claims) == 0 && len(s.preGapClaims) == 0
}

// applyEntry applies one log entry. It merges a checkpoint part at once and buffers any other record while the state is not
// bootstrapped.
func (s *State) applyEntry(e Entry) []decision {
	r, err := decodeRecord(e.Data)
	if err != nil {
		s.badRecords++
		return nil
	}
	if r.time.After(s.latestTime) {
		s.latestTime = r.time
	}
	if c, ok := r.body.(checkpointBody); ok {
		return append(s.applyCheckpoint(r.time, c), decision{id: r.id, accepted: true})
	}
	if !s.bootstrapped {
		s.buffer = append(s.buffer, e)
		return nil
	}
	return []decision{s.decide(e.Offset, r)}
}

// applyCheckpoint merges one part of a checkpoint and, if the checkpoint is complete, bootstraps the state from it. A state
// that is already bootstrapped learns something new from it only if the log lost records that the writer had applied.
func (s *State) applyCheckpoint(t time.Time, c checkpointBody) []decision {
	for _, d := range c.Documents {
		if s.setDocument(d) {
			s.addHistory(d)
		}
	}
	s.merge(c.registers())
	checkpoint, complete := s.addCheckpointPart(c)
	if !complete {
		return nil
	}
	s.checkpointTime, s.checkpointBase = t, max(s.checkpointBase, c.Base)
	s.recordsLost = s.recordsLost && !s.coversLoss(checkpoint, t)
	s.checkpointOutdated = s.bootstrapped && s.isOutdated(checkpoint.registers, c.Base)
	switch {
	case !s.bootstrapped && c.Base >= s.start:
		s.addClaims(checkpoint.claims)
		return s.bootstrap(c.Base)
	case s.bootstrapped && c.HasLostClaims:
		s.addClaims(checkpoint.claims)
	}
	// Otherwise the claims are ignored. A bootstrapped state also has the releases and outcomes from after the checkpoint's
	// base. A state that is not bootstrapped lacks the records between the base and its first record.
	return nil
}

// addCheckpointPart adds one part to its partial checkpoint. If it is the last part and all parts were read in order, it
// returns the complete checkpoint and true.
func (s *State) addCheckpointPart(c checkpointBody) (partialCheckpoint, bool) {
	p := s.partials[c.Checkpoint]
	if c.Part != p.partsRead {
		return partialCheckpoint{}, false
	}
	if p.partsRead == 0 {
		p.registers = newRegisters()
	}
	p.partsRead++
	p.claims = append(p.claims, c.Claims...)
	p.merge(c.registers())
	if c.Part < c.Parts-1 {
		s.partials[c.Checkpoint] = p
		return partialCheckpoint{}, false
	}
	delete(s.partials, c.Checkpoint)
	return p, true
}

// isOutdated reports whether the state has a document from below base, or any drain, fence or run, that a checkpoint with the
// registers r lacks. The writer of such a checkpoint had missed records. A reader that bootstraps from it would lack them too,
// so a new checkpoint is needed.
func (s *State) isOutdated(r registers, base uint64) bool {
	missing := s.newerThan(&r)
	for _, d := range missing.documents {
		if d.Offset < base {
			return true
		}
	}
	return len(missing.drains) > 0 || len(missing.fences) > 0 || len(missing.runs) > 0
}

// addClaims adds the claims whose keys are not held by an unexpired claim.
func (s *State) addClaims(claims []heldClaim) {
	for i := range claims {
		h := &claims[i]
		if old, ok := s.claims[h.Key]; !ok || old.expired(h.Time) {
			s.claims[h.Key] = h
		}
	}
}

// bootstrap marks the state as bootstrapped and decides on the buffered records from offset base on. The state already
// includes the records below base.
func (s *State) bootstrap(base uint64) []decision {
	s.bootstrapped = true
	buffer := s.buffer
	s.buffer, s.preGapClaims = nil, nil
	var decisions []decision
	for _, e := range buffer {
		if e.Offset < base {
			continue
		}
		if r, err := decodeRecord(e.Data); err == nil {
			decisions = append(decisions, s.decide(e.Offset, r))
		}
	}
	return decisions
}

// forceBootstrap bootstraps the state from its own content. It is used if the log has lost records and has no checkpoint that
// covers them.
func (s *State) forceBootstrap() []decision {
	s.restorePreGapClaims()
	return s.bootstrap(s.start)
}

// restorePreGapClaims adds the claims from before a gap whose keys no later claim holds.
func (s *State) restorePreGapClaims() {
	for key, h := range s.preGapClaims {
		if s.claims[key] == nil {
			s.claims[key] = h
		}
	}
	s.preGapClaims = nil
}

// decide applies one record that is not a checkpoint. The result depends only on the state and the record.
func (s *State) decide(offset uint64, r record) decision {
	result := decision{id: r.id}
	switch b := r.body.(type) {
	case publishBody:
		result.accepted = b.Base == s.documents[b.Document].Revision && ValidDocumentName(b.Document)
		if result.accepted {
			d := Document{Name: b.Document, Revision: b.Base + 1, Content: b.Content, Offset: offset, Time: r.time}
			s.setDocument(d)
			s.addHistory(d)
		}
		result.revision = s.documents[b.Document].Revision
	case drainBody:
		result.accepted = ValidDrainTarget(b.Drain.Target) && s.setDrain(b.Drain)
		result.revision = s.drains[b.Drain.Target].Generation
	case claimBody:
		result.claim = s.decideClaim(r, b)
		result.accepted = result.claim == ClaimWon{}
	case outcomeBody:
		if h := s.claims[b.Key]; h != nil && h.ID == b.Claim && h.Outcome == nil {
			completed := *h
			completed.Outcome = &b.Outcome
			s.claims[b.Key] = &completed
			result.accepted = true
		}
	case releaseBody:
		if h := s.claims[b.Key]; h != nil && h.ID == b.Claim && h.Outcome == nil {
			delete(s.claims, b.Key)
			result.accepted = true
		}
	case fenceBody:
		result.accepted = s.setFence(b.Resource, b.Token)
		result.revision = s.fences[b.Resource]
	case registrationBody:
		result.accepted = s.setRun(s.deriveRunFlags(b.Run))
		result.revision = s.runs[b.Run.VMName].Incarnation
	}
	return result
}

// deriveRunFlags returns r with First, PredecessorsEnded and PredecessorReleased set according to the registrations before it.
func (s *State) deriveRunFlags(r VMRun) VMRun {
	previous, known := s.runs[r.VMName]
	if known && previous.Incarnation == r.Incarnation {
		r.First, r.PredecessorsEnded, r.PredecessorReleased = previous.First, previous.PredecessorsEnded, previous.PredecessorReleased
		return r
	}
	r.First = !known && r.FleetRevision > 0 && r.FleetRevision == s.documents[FleetDocument].Revision
	for _, other := range s.runs {
		r.First = r.First && other.FleetRevision == r.FleetRevision
	}
	r.PredecessorsEnded = !known || previous.Ended
	r.PredecessorReleased = previous.Released || previous.PredecessorReleased
	return r
}

// decideClaim awards the key to the first claim. Expiry compares the times of two records and never the reader's clock, so
// that all readers agree.
func (s *State) decideClaim(r record, b claimBody) ClaimResult {
	if h := s.claims[b.Key]; h != nil && !h.expired(r.time) {
		if h.ID == r.id {
			return ClaimWon{} // the winning record itself, read again after the log lost records
		}
		return h.resultFor(b.Digest)
	}
	s.claims[b.Key] = &heldClaim{Key: b.Key, ID: r.id, Digest: b.Digest, Holder: b.Holder, Time: r.time, Retention: b.Retention}
	return ClaimWon{}
}

// addHistory adds a revision to the document's history and drops the oldest revisions beyond the limits.
func (s *State) addHistory(d Document) {
	h := append(s.history[d.Name], d)
	size := 0
	for i := len(h) - 1; i >= 0; i-- {
		size += len(h[i].Content)
		if i < len(h)-1 && (size > maxHistoryBytes || len(h)-i > maxHistoryRevisions) {
			h = append([]Document(nil), h[i+1:]...)
			break
		}
	}
	s.history[d.Name] = h
}

// Prune deletes the claims that have expired for every record not applied yet. now is the local time.
func (s *State) Prune(now time.Time) {
	horizon := s.expiryHorizon(now)
	for key, h := range s.claims {
		if h.expired(horizon) {
			delete(s.claims, key)
		}
	}
}

// expiryHorizon returns a lower bound for the times of all records that are not applied yet. It uses the latest record time
// if that is before now, because a reader that lags behind has yet to read old records.
func (s *State) expiryHorizon(now time.Time) time.Time {
	if s.latestTime.Before(now) {
		now = s.latestTime
	}
	return now.Add(-maxClockSkew)
}
