package oplog

import (
	"bytes"
	"maps"
	"strings"
	"time"
)

// Prefixes of document names and drain targets.
const (
	FleetDocument    = "fleet"
	ContractPrefix   = "contract/"
	DataCentrePrefix = "dataCentre/"
	VMPrefix         = "vm/"
	EndpointPrefix   = "endpoint/"
)

// Document is one revision of a configuration document.
type Document struct {
	Name     string    `cbor:"name"`
	Revision uint64    `cbor:"revision"` // counts up by one with each accepted record
	Content  []byte    `cbor:"content"`  // not to be changed
	Offset   uint64    `cbor:"offset"`   // log offset of the accepted record
	Time     time.Time `cbor:"time"`     // clock of the VM that published it
}

// newer says whether d replaces o. Revisions of one log never tie with different contents. After the log was recreated
// they can; the order of the contents then makes all VMs choose the same one.
func (d Document) newer(o Document) bool {
	if d.Revision != o.Revision {
		return d.Revision > o.Revision
	}
	return bytes.Compare(d.Content, o.Content) > 0
}

// Drain is the drain register of a data centre, a VM or an endpoint.
type Drain struct {
	Target     string `cbor:"target"`
	Generation uint64 `cbor:"generation"` // a change takes the known generation + 1
	Drained    bool   `cbor:"drained"`
}

// newer says whether d replaces o: the higher generation wins, and on a tie drained wins.
func (d Drain) newer(o Drain) bool {
	if d.Generation != o.Generation {
		return d.Generation > o.Generation
	}
	return d.Drained && !o.Drained
}

// PlaceRun is the newest run of a VM that was registered at a place. A run registers before it lends anything, so that the
// log orders the runs at a place, and a run that is not registered has lent nothing.
type PlaceRun struct {
	Place       string `cbor:"place"`
	Incarnation uint64 `cbor:"incarnation"` // the higher one wins
	Fleet       uint64 `cbor:"fleet"`       // revision of the fleet document that the run had applied, 0 where it had none
	// First says that no run was registered at the place before, and that no run of any place was registered under another
	// revision of the fleet document. Then nobody has lent what the run lends.
	First bool `cbor:"first,omitempty"`
	// Clear says that every earlier run at the place had ended when this one registered.
	Clear bool `cbor:"clear,omitempty"`
	// Ended says that this run and every earlier one at the place have ended.
	Ended bool `cbor:"ended,omitempty"`
	// Freed says that the VM list has shown the place without a VM after this run, so that other VMs lend its shares.
	Freed bool `cbor:"freed,omitempty"`
	// Reclaims says that an earlier run was freed. The VMs that lend its shares stop when they read of this run.
	Reclaims bool `cbor:"reclaims,omitempty"`
}

// newer says whether r replaces o. For one run an end stays, and of two readings of its start the careful one wins, so that
// merging in any order gives the same result.
func (r PlaceRun) newer(o PlaceRun) bool {
	switch {
	case r.Incarnation != o.Incarnation:
		return r.Incarnation > o.Incarnation
	case r.Freed != o.Freed:
		return r.Freed
	case r.Ended != o.Ended:
		return r.Ended
	case r.First != o.First:
		return o.First
	case r.Clear != o.Clear:
		return o.Clear
	case r.Reclaims != o.Reclaims:
		return r.Reclaims
	}
	return r.Fleet > o.Fleet
}

// ValidTarget says whether target names a data centre, a VM or an endpoint for a drain.
func ValidTarget(target string) bool {
	for _, prefix := range []string{DataCentrePrefix, VMPrefix, EndpointPrefix} {
		if rest, ok := strings.CutPrefix(target, prefix); ok {
			return rest != ""
		}
	}
	return false
}

// ValidDocument says whether name names a document.
func ValidDocument(name string) bool {
	rest, ok := strings.CutPrefix(name, ContractPrefix)
	return name == FleetDocument || ok && rest != "" && !strings.Contains(rest, "/")
}

// registers are the parts of the state in which a newer value replaces an older one wherever it comes from: the log, a
// checkpoint or a peer. Values only grow, so merging in any order gives the same result.
type registers struct {
	documents map[string]Document
	drains    map[string]Drain
	fences    map[string]uint64
	places    map[string]PlaceRun
	changes   uint64 // counts changes of documents, drains and places
}

func newRegisters() registers {
	return registers{documents: map[string]Document{}, drains: map[string]Drain{}, fences: map[string]uint64{}, places: map[string]PlaceRun{}}
}

func (r *registers) clone() registers {
	c := *r
	c.documents, c.drains, c.fences = maps.Clone(r.documents), maps.Clone(r.drains), maps.Clone(r.fences)
	c.places = maps.Clone(r.places)
	return c
}

func (r *registers) setDocument(d Document) bool {
	if old, ok := r.documents[d.Name]; ok && !d.newer(old) {
		return false
	}
	r.documents[d.Name] = d
	r.changes++
	return true
}

func (r *registers) setDrain(d Drain) bool {
	if old, ok := r.drains[d.Target]; ok && !d.newer(old) {
		return false
	}
	r.drains[d.Target] = d
	r.changes++
	return true
}

func (r *registers) setFence(resource string, token uint64) bool {
	if token <= r.fences[resource] {
		return false
	}
	r.fences[resource] = token
	return true
}

func (r *registers) setPlace(p PlaceRun) bool {
	if old, ok := r.places[p.Place]; ok && !p.newer(old) {
		return false
	}
	r.places[p.Place] = p
	r.changes++
	return true
}

// merge takes what is newer in o and says whether anything was.
func (r *registers) merge(o registers) bool {
	changed := false
	for _, d := range o.documents {
		changed = r.setDocument(d) || changed
	}
	for _, d := range o.drains {
		changed = r.setDrain(d) || changed
	}
	for resource, token := range o.fences {
		changed = r.setFence(resource, token) || changed
	}
	for _, p := range o.places {
		changed = r.setPlace(p) || changed
	}
	return changed
}

// ahead returns what r has and o has not, or has older.
func (r *registers) ahead(o *registers) registers {
	a := newRegisters()
	for name, d := range r.documents {
		if old, ok := o.documents[name]; !ok || d.newer(old) {
			a.documents[name] = d
		}
	}
	for target, d := range r.drains {
		if old, ok := o.drains[target]; !ok || d.newer(old) {
			a.drains[target] = d
		}
	}
	for resource, token := range r.fences {
		if token > o.fences[resource] {
			a.fences[resource] = token
		}
	}
	for place, p := range r.places {
		if old, ok := o.places[place]; !ok || p.newer(old) {
			a.places[place] = p
		}
	}
	return a
}

func (r *registers) empty() bool {
	return len(r.documents) == 0 && len(r.drains) == 0 && len(r.fences) == 0 && len(r.places) == 0
}
