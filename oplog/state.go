package oplog

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the history that is kept of each document.
const (
	historyRevisions = 32
	historyBytes     = 8 << 20
)

// clockSkew is the largest difference between the clocks of two VMs for which claims are kept exactly. An expired claim
// stays in memory for this long, so that a claim record from a slow clock still finds it.
const clockSkew = 10 * time.Minute

// State is the result of applying the log up to an offset. It does no I/O and is not safe for concurrent use.
//
// Every decision on a record depends only on the records before it and on the record itself, so that all readers of the
// same log agree. A reader that cannot start at offset 0 is not anchored until it finds a checkpoint whose base is not
// below the oldest record that it read; until then it keeps the records and decides on none of them. What the state has
// once taken stays: documents, drains and fences only grow, also when the log was truncated or recreated.
type State struct {
	registers
	history map[string][]Document
	claims  map[string]*heldClaim
	kept    map[string]*heldClaim // claims from before a gap, while not anchored

	identity string
	start    uint64 // first offset of the contiguous records read
	next     uint64 // next offset to read
	anchored bool
	buffer   []Entry              // records from start on, while not anchored
	parts    map[recordID]partial // incomplete checkpoints
	moved    bool                 // the log lost records, and no checkpoint in it holds all that the state had
	carry    map[string]recordID  // claims that the state had when the log lost records
	last     uint64               // hash of the last record read
	lastSize int                  // its length
	high     uint64               // highest next so far
	latest   time.Time            // newest time of a record
	repair   bool                 // the newest checkpoint lacks what the state has
	bad      int                  // records that could not be decoded
	earliest uint64               // oldest offset that the log keeps
	markTime time.Time            // time of the newest complete checkpoint, zero where none was read
	markBase uint64               // base of the newest complete checkpoint
}

// partial holds the parts read of an incomplete checkpoint.
type partial struct {
	registers
	seen   int
	claims []heldClaim
}

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
	for _, p := range c.Places {
		r.setPlace(p)
	}
	return r
}

// applied is the decision on one record.
type applied struct {
	id       recordID
	accepted bool
	revision uint64      // of the document after the record, or the fence token
	claim    ClaimResult // only for claims
}

// NewState returns the state before any record.
func NewState() *State {
	return &State{registers: newRegisters(), history: map[string][]Document{}, claims: map[string]*heldClaim{}}
}

// Next returns the offset from which to read on. It goes down only when the log lost records or was recreated.
func (s *State) Next() uint64 { return s.next }

// Offset returns the highest value that Next had.
func (s *State) Offset() uint64 { return s.high }

// Anchored says whether the state follows from the log alone. Only then are claims, publications and fences decided.
func (s *State) Anchored() bool { return s.anchored }

// Apply applies what a read from offset Next returned.
func (s *State) Apply(b Batch) { s.apply(b) }

func (s *State) apply(b Batch) []applied {
	if b.Identity != s.identity {
		known := s.identity != ""
		s.identity = b.Identity
		s.keepClaims()
		s.restart(b.Earliest)
		if known {
			s.lose()
		}
	}
	if b.Next < s.next || s.replaced(b) {
		s.rewind(b)
	}
	if b.Earliest > s.next {
		// Claims may have been released or completed in the gap; the checkpoint that anchors the state tells.
		if s.anchored {
			s.kept, s.claims = s.claims, map[string]*heldClaim{}
		}
		s.restart(b.Earliest)
	}
	s.earliest = b.Earliest
	var results []applied
	for _, e := range b.Entries {
		if e.Offset < s.next {
			continue
		}
		if e.Offset > s.next {
			break // a gap; the next read starts at it
		}
		s.next++
		s.high = max(s.high, s.next)
		s.last, s.lastSize = xxhash.Sum64(e.Data), len(e.Data)
		results = append(results, s.entry(e)...)
	}
	return results
}

// replaced says whether the batch holds another record at the offset that was read last.
func (s *State) replaced(b Batch) bool {
	for _, e := range b.Entries {
		if e.Offset+1 == s.next {
			return s.lastSize > 0 && xxhash.Sum64(e.Data) != s.last
		}
	}
	return false
}

// rewind reads the log again after it lost its newest records, as a restore from an older copy does. Records that were
// applied before change nothing; new ones at the same offsets are decided on.
func (s *State) rewind(b Batch) {
	if !s.anchored {
		s.restart(b.Earliest)
		return
	}
	s.next, s.lastSize = b.Earliest, 0
	s.lose()
}

// lose notes that the log may lack what the state has. A checkpoint that holds it ends that.
func (s *State) lose() {
	if s.empty() {
		return
	}
	s.moved, s.carry = true, map[string]recordID{}
	for key, h := range s.claims {
		s.carry[key] = h.ID
	}
}

// holds says whether a checkpoint made at t has all that the state had when the log lost records.
func (s *State) holds(p partial, t time.Time) bool {
	if ahead := s.ahead(&p.registers); !ahead.empty() {
		return false
	}
	there := map[string]bool{}
	for i := range p.claims {
		there[p.claims[i].Key] = true
	}
	for key, id := range s.carry {
		if h := s.claims[key]; h != nil && h.ID == id && !there[key] && !h.expired(t.Add(-clockSkew)) {
			return false
		}
	}
	return true
}

// restart drops the place in the log, but nothing that was taken from it.
func (s *State) restart(earliest uint64) {
	s.start, s.next = earliest, earliest
	s.anchored = earliest == 0
	s.buffer, s.parts = nil, map[recordID]partial{}
	s.markTime, s.markBase, s.repair, s.lastSize = time.Time{}, 0, false, 0
}

// empty says whether nothing was taken yet.
func (s *State) empty() bool { return s.registers.empty() && len(s.claims) == 0 && len(s.kept) == 0 }

func (s *State) entry(e Entry) []applied {
	r, err := decodeRecord(e.Data)
	if err != nil {
		s.bad++
		return nil
	}
	if r.time.After(s.latest) {
		s.latest = r.time
	}
	if c, ok := r.body.(checkpointBody); ok {
		return append(s.takeCheckpoint(r.time, c), applied{id: r.id, accepted: true})
	}
	if !s.anchored {
		s.buffer = append(s.buffer, e)
		return nil
	}
	return []applied{s.decide(e.Offset, r)}
}

// takeCheckpoint merges one part of a checkpoint and anchors the state at a complete one. For a reader that was anchored
// before, nothing in it is new, unless the log lost records that the writer of the checkpoint had applied.
func (s *State) takeCheckpoint(t time.Time, c checkpointBody) []applied {
	for _, d := range c.Documents {
		if s.setDocument(d) {
			s.remember(d)
		}
	}
	s.merge(c.registers())
	whole, complete := s.takePart(c)
	if !complete {
		return nil
	}
	s.markTime, s.markBase = t, max(s.markBase, c.Base)
	s.moved = s.moved && !s.holds(whole, t)
	s.repair = s.anchored && s.lacks(whole.registers, c.Base)
	switch {
	case !s.anchored && c.Base >= s.start:
		s.takeClaims(whole.claims)
		return s.anchor(c.Base)
	case s.anchored && c.Carried:
		s.takeClaims(whole.claims)
	}
	// An anchored state knows what became of these claims after the checkpoint's base; the checkpoint does not.
	return nil
}

// takePart keeps one part. With the last part, and all others seen in order, it returns the whole checkpoint.
func (s *State) takePart(c checkpointBody) (partial, bool) {
	p := s.parts[c.Checkpoint]
	if c.Part != p.seen {
		return partial{}, false
	}
	if p.seen == 0 {
		p.registers = newRegisters()
	}
	p.seen++
	p.claims = append(p.claims, c.Claims...)
	p.merge(c.registers())
	if c.Part < c.Parts-1 {
		s.parts[c.Checkpoint] = p
		return partial{}, false
	}
	delete(s.parts, c.Checkpoint)
	return p, true
}

// lacks says whether a checkpoint with this base misses what the log held before the base. Its writer had lost records; a
// reader that starts at its checkpoint needs a better one.
func (s *State) lacks(r registers, base uint64) bool {
	ahead := s.ahead(&r)
	for _, d := range ahead.documents {
		if d.Offset < base {
			return true
		}
	}
	return len(ahead.drains) > 0 || len(ahead.fences) > 0 || len(ahead.places) > 0
}

// takeClaims takes the claims of keys that are free here.
func (s *State) takeClaims(claims []heldClaim) {
	for i := range claims {
		h := &claims[i]
		if old, ok := s.claims[h.Key]; !ok || old.expired(h.Time) {
			s.claims[h.Key] = h
		}
	}
}

// anchor decides on the buffered records that are not part of the state at base.
func (s *State) anchor(base uint64) []applied {
	s.anchored = true
	buffer := s.buffer
	s.buffer, s.kept = nil, nil
	var results []applied
	for _, e := range buffer {
		if e.Offset < base {
			continue
		}
		if r, err := decodeRecord(e.Data); err == nil {
			results = append(results, s.decide(e.Offset, r))
		}
	}
	return results
}

// force anchors the state at what it has. It is for a log that has lost records which no checkpoint replaces.
func (s *State) force() []applied {
	s.keepClaims()
	return s.anchor(s.start)
}

// keepClaims takes back the claims from before a gap.
func (s *State) keepClaims() {
	for key, h := range s.kept {
		if s.claims[key] == nil {
			s.claims[key] = h
		}
	}
	s.kept = nil
}

// decide applies one record. It depends on nothing but the state and the record.
func (s *State) decide(offset uint64, r record) applied {
	a := applied{id: r.id}
	switch b := r.body.(type) {
	case publishBody:
		a.accepted = b.Base == s.documents[b.Document].Revision && ValidDocument(b.Document)
		if a.accepted {
			d := Document{Name: b.Document, Revision: b.Base + 1, Content: b.Content, Offset: offset, Time: r.time}
			s.setDocument(d)
			s.remember(d)
		}
		a.revision = s.documents[b.Document].Revision
	case drainBody:
		a.accepted = ValidTarget(b.Drain.Target) && s.setDrain(b.Drain)
		a.revision = s.drains[b.Drain.Target].Generation
	case claimBody:
		a.claim = s.decideClaim(r, b)
		a.accepted = a.claim == ClaimWon{}
	case outcomeBody:
		if h := s.claims[b.Key]; h != nil && h.ID == b.Claim && h.Outcome == nil {
			done := *h
			done.Outcome = &b.Outcome
			s.claims[b.Key] = &done
			a.accepted = true
		}
	case releaseBody:
		if h := s.claims[b.Key]; h != nil && h.ID == b.Claim && h.Outcome == nil {
			delete(s.claims, b.Key)
			a.accepted = true
		}
	case fenceBody:
		a.accepted = s.setFence(b.Resource, b.Token)
		a.revision = s.fences[b.Resource]
	case placeBody:
		a.accepted = s.setPlace(s.judge(b.Run))
		a.revision = s.places[b.Run.Place].Incarnation
	}
	return a
}

// judge fills in what the registrations before it tell about a run.
func (s *State) judge(r PlaceRun) PlaceRun {
	before, known := s.places[r.Place]
	if known && before.Incarnation == r.Incarnation {
		r.First, r.Clear, r.Reclaims = before.First, before.Clear, before.Reclaims
		return r
	}
	r.First = !known && r.Fleet > 0 && r.Fleet == s.documents[FleetDocument].Revision
	for _, o := range s.places {
		r.First = r.First && o.Fleet == r.Fleet
	}
	r.Clear = !known || before.Ended
	r.Reclaims = before.Freed || before.Reclaims
	return r
}

// decideClaim gives the key to the first claim. Expiry compares the times of two records, never the reader's clock, so
// that all readers agree.
func (s *State) decideClaim(r record, b claimBody) ClaimResult {
	if h := s.claims[b.Key]; h != nil && !h.expired(r.time) {
		if h.ID == r.id {
			return ClaimWon{} // read again after the log lost records
		}
		return h.answer(b.Digest)
	}
	s.claims[b.Key] = &heldClaim{Key: b.Key, ID: r.id, Digest: b.Digest, Holder: b.Holder, Time: r.time, Keep: b.Keep}
	return ClaimWon{}
}

func (s *State) remember(d Document) {
	h := append(s.history[d.Name], d)
	size := 0
	for i := len(h) - 1; i >= 0; i-- {
		size += len(h[i].Content)
		if i < len(h)-1 && (size > historyBytes || len(h)-i > historyRevisions) {
			h = append([]Document(nil), h[i+1:]...)
			break
		}
	}
	s.history[d.Name] = h
}

// Prune drops claims that no claim record can find any more. now is the local clock.
func (s *State) Prune(now time.Time) {
	horizon := s.horizon(now)
	for key, h := range s.claims {
		if h.expired(horizon) {
			delete(s.claims, key)
		}
	}
}

// horizon returns a time that no record after the applied ones is older than. A reader that lags behind still has old
// records before it, so that its clock alone does not tell.
func (s *State) horizon(now time.Time) time.Time {
	if s.latest.Before(now) {
		now = s.latest
	}
	return now.Add(-clockSkew)
}
