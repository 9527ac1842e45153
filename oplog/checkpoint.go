package oplog

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxPartBytes bounds the size of one part of a checkpoint, so that one append stays far below the body limits of HTTP
	// servers. Only a part that consists of a single entry can exceed it.
	maxPartBytes = 512 << 10
	// maxCheckpointOutcomeBytes bounds the total size of the outcomes in one checkpoint. A claim whose outcome is omitted
	// still holds its key, which is safe: its request is reported as mayHaveRun.
	maxCheckpointOutcomeBytes = 4 << 20
	// entryOverheadBytes is the approximate encoded size of the field names of one entry of a checkpoint.
	entryOverheadBytes = 96
)

// checkpoint returns the parts of a checkpoint of the state merged with the registers that peers reported. It omits only the
// claims that have expired for every record not applied yet, and the oldest outcomes beyond maxCheckpointOutcomeBytes.
func (s *State) checkpoint(now time.Time, peers registers) []body {
	merged := s.registers.clone()
	merged.merge(peers)
	b := checkpointBuilder{base: s.next, hasLostClaims: s.recordsLost}
	for _, name := range slices.Sorted(maps.Keys(merged.documents)) {
		d := merged.documents[name]
		b.partFor(len(d.Content) + len(d.Name) + entryOverheadBytes).Documents = append(b.lastPart().Documents, d)
	}
	for _, target := range slices.Sorted(maps.Keys(merged.drains)) {
		b.partFor(len(target) + entryOverheadBytes).Drains = append(b.lastPart().Drains, merged.drains[target])
	}
	for _, resource := range slices.Sorted(maps.Keys(merged.fences)) {
		part := b.partFor(len(resource) + entryOverheadBytes)
		if part.Fences == nil {
			part.Fences = map[string]uint64{}
		}
		part.Fences[resource] = merged.fences[resource]
	}
	for _, name := range slices.Sorted(maps.Keys(merged.runs)) {
		b.partFor(len(name) + entryOverheadBytes).Runs = append(b.lastPart().Runs, merged.runs[name])
	}
	outcomes, horizon := 0, s.expiryHorizon(now)
	for _, h := range s.claimsNewestFirst() {
		if h.expired(horizon) {
			continue
		}
		c, size := *h, len(h.Key)+len(h.Digest)+len(h.Holder)+entryOverheadBytes
		if c.Outcome != nil {
			n := c.Outcome.size()
			if outcomes += n; outcomes > maxCheckpointOutcomeBytes {
				c.Outcome = nil
			} else {
				size += n
			}
		}
		b.partFor(size).Claims = append(b.lastPart().Claims, c)
	}
	return b.bodies()
}

// claimsNewestFirst returns the claims sorted by time, newest first, so that a checkpoint keeps the newest outcomes when not
// all of them fit.
func (s *State) claimsNewestFirst() []*heldClaim {
	return slices.SortedFunc(maps.Values(s.claims), func(a, b *heldClaim) int {
		if c := b.Time.Compare(a.Time); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
}

// size returns the approximate encoded size of the outcome in bytes.
func (o *Outcome) size() int {
	n := len(o.Body) + entryOverheadBytes
	for _, h := range o.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// checkpointBuilder splits the entries of a checkpoint into parts. A part exceeds maxPartBytes only if it has a single entry.
type checkpointBuilder struct {
	base          uint64
	hasLostClaims bool // value of checkpointBody.HasLostClaims
	parts         []*checkpointBody
	lastPartBytes int // approximate encoded size of the last part
}

// partFor returns the part to which an entry of n bytes is to be added. It starts a new part if the entry doesn't fit into the
// last one.
func (b *checkpointBuilder) partFor(n int) *checkpointBody {
	if len(b.parts) == 0 || b.lastPartBytes+n > maxPartBytes && b.lastPartBytes > 0 {
		b.parts = append(b.parts, &checkpointBody{Base: b.base, HasLostClaims: b.hasLostClaims})
		b.lastPartBytes = 0
	}
	b.lastPartBytes += n
	return b.lastPart()
}

func (b *checkpointBuilder) lastPart() *checkpointBody { return b.parts[len(b.parts)-1] }

// bodies returns the parts as record bodies and sets the ID of the checkpoint and the number of each part. There is at least
// one part, even if the checkpoint has no entries.
func (b *checkpointBuilder) bodies() []body {
	b.partFor(0)
	id := newRecordID()
	bodies := make([]body, len(b.parts))
	for i, part := range b.parts {
		part.Checkpoint, part.Part, part.Parts = id, i, len(b.parts)
		bodies[i] = *part
	}
	return bodies
}
