package oplog

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxPartBytes bounds one part of a checkpoint, so that one append stays far below the body limits of HTTP servers.
	// A single document can be larger.
	maxPartBytes = 512 << 10
	// maxOutcomeBytes bounds the outcomes in one checkpoint. A claim whose outcome is left out stays held, which is the
	// safe side: its request is reported as mayHaveRun.
	maxOutcomeBytes = 4 << 20
	// entryOverhead is about the size of the field names of one entry.
	entryOverhead = 96
)

// checkpoint returns the parts of a checkpoint of the state merged with what peers reported. Claims that have expired for
// every record to come are left out; all others are in it.
func (s *State) checkpoint(now time.Time, peers registers) []body {
	all := s.registers.clone()
	all.merge(peers)
	p := packer{base: s.next, carried: s.moved}
	for _, name := range slices.Sorted(maps.Keys(all.documents)) {
		d := all.documents[name]
		p.room(len(d.Content) + len(d.Name) + entryOverhead).Documents = append(p.last().Documents, d)
	}
	for _, target := range slices.Sorted(maps.Keys(all.drains)) {
		p.room(len(target) + entryOverhead).Drains = append(p.last().Drains, all.drains[target])
	}
	for _, resource := range slices.Sorted(maps.Keys(all.fences)) {
		part := p.room(len(resource) + entryOverhead)
		if part.Fences == nil {
			part.Fences = map[string]uint64{}
		}
		part.Fences[resource] = all.fences[resource]
	}
	for _, place := range slices.Sorted(maps.Keys(all.places)) {
		p.room(len(place) + entryOverhead).Places = append(p.last().Places, all.places[place])
	}
	outcomes, horizon := 0, s.horizon(now)
	for _, h := range s.claimsByTime() {
		if h.expired(horizon) {
			continue
		}
		c, size := *h, len(h.Key)+len(h.Digest)+len(h.Holder)+entryOverhead
		if c.Outcome != nil {
			n := c.Outcome.size()
			if outcomes += n; outcomes > maxOutcomeBytes {
				c.Outcome = nil
			} else {
				size += n
			}
		}
		p.room(size).Claims = append(p.last().Claims, c)
	}
	return p.bodies()
}

// claimsByTime returns the claims, newest first, so that the newest outcomes are kept when not all fit.
func (s *State) claimsByTime() []*heldClaim {
	return slices.SortedFunc(maps.Values(s.claims), func(a, b *heldClaim) int {
		if c := b.Time.Compare(a.Time); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
}

func (o *Outcome) size() int {
	n := len(o.Body) + entryOverhead
	for _, h := range o.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// packer spreads the entries of a checkpoint over parts.
type packer struct {
	base    uint64
	carried bool
	parts   []*checkpointBody
	size    int
}

// room returns the part that takes an entry of n bytes.
func (p *packer) room(n int) *checkpointBody {
	if len(p.parts) == 0 || p.size+n > maxPartBytes && p.size > 0 {
		p.parts = append(p.parts, &checkpointBody{Base: p.base, Carried: p.carried})
		p.size = 0
	}
	p.size += n
	return p.last()
}

func (p *packer) last() *checkpointBody { return p.parts[len(p.parts)-1] }

func (p *packer) bodies() []body {
	p.room(0)
	id := newRecordID()
	bodies := make([]body, len(p.parts))
	for i, part := range p.parts {
		part.Checkpoint, part.Part, part.Parts = id, i, len(p.parts)
		bodies[i] = *part
	}
	return bodies
}
