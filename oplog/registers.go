package oplog

import (
	"bytes"
	"maps"
	"strings"
	"time"
)

// FleetDocument is the name of the fleet document. The other constants are prefixes of document names (ContractPrefix) and
// of drain targets.
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
	Revision uint64    `cbor:"revision"` // incremented by one with each accepted record
	Content  []byte    `cbor:"content"`  // must not be modified
	Offset   uint64    `cbor:"offset"`   // log offset of the accepted record
	Time     time.Time `cbor:"time"`     // by the clock of the VM that published it
}

// newer reports whether d replaces o. Within one log, a revision has only one content. After the log was recreated, two
// documents can have the same revision and different contents; comparing the contents makes all VMs choose the same one.
func (d Document) newer(o Document) bool {
	if d.Revision != o.Revision {
		return d.Revision > o.Revision
	}
	return bytes.Compare(d.Content, o.Content) > 0
}

// Drain is the drain state of a data centre, a VM or an endpoint.
type Drain struct {
	Target     string `cbor:"target"`
	Generation uint64 `cbor:"generation"` // a change sets the last known generation + 1
	Drained    bool   `cbor:"drained"`
}

// newer reports whether d replaces o: the higher generation wins, and on a tie drained wins.
func (d Drain) newer(o Drain) bool {
	if d.Generation != o.Generation {
		return d.Generation > o.Generation
	}
	return d.Drained && !o.Drained
}

// VMRun is the newest registered run of a VM name. A run is one process that uses the name, identified by its incarnation.
// A run registers before it leases any share to another VM, so that the log orders the runs of a VM name, and a run that is
// not registered has leased nothing.
type VMRun struct {
	VMName        string `cbor:"place"`
	Incarnation   uint64 `cbor:"incarnation"` // the run with the higher incarnation replaces the other
	FleetRevision uint64 `cbor:"fleet"`       // revision of the fleet document that the run had applied, 0 if none
	// First reports that no run of the VM name was registered before, and that no run of any VM name was registered under
	// another revision of the fleet document. Then no other run has leased the shares for which this run is the lessor.
	First bool `cbor:"first,omitempty"`
	// PredecessorsEnded reports that every earlier run of the VM name had ended when this one registered.
	PredecessorsEnded bool `cbor:"clear,omitempty"`
	// Ended reports that this run and every earlier one of the VM name have ended.
	Ended bool `cbor:"ended,omitempty"`
	// Released reports that the run was released: the VM list has shown no VM of the name after this run, so that other VMs
	// lease out its shares.
	Released bool `cbor:"freed,omitempty"`
	// PredecessorReleased reports that an earlier run was released. The VMs that lease out its shares stop when they read this
	// registration.
	PredecessorReleased bool `cbor:"reclaims,omitempty"`
}

// newer reports whether r replaces o. The run with the higher incarnation wins. Between two values of the same run, the one
// that is released or ended wins, then the one whose First, PredecessorsEnded and PredecessorReleased permit less, then the one with the
// higher fleet revision. Merging in any order therefore gives the same result.
func (r VMRun) newer(o VMRun) bool {
	switch {
	case r.Incarnation != o.Incarnation:
		return r.Incarnation > o.Incarnation
	case r.Released != o.Released:
		return r.Released
	case r.Ended != o.Ended:
		return r.Ended
	case r.First != o.First:
		return o.First
	case r.PredecessorsEnded != o.PredecessorsEnded:
		return o.PredecessorsEnded
	case r.PredecessorReleased != o.PredecessorReleased:
		return r.PredecessorReleased
	}
	return r.FleetRevision > o.FleetRevision
}

// ValidDrainTarget reports whether target names a data centre, a VM or an endpoint that can be drained.
func ValidDrainTarget(target string) bool {
	for _, prefix := range []string{DataCentrePrefix, VMPrefix, EndpointPrefix} {
		if rest, ok := strings.CutPrefix(target, prefix); ok {
			return rest != ""
		}
	}
	return false
}

// ValidDocumentName reports whether name is a valid name of a document.
func ValidDocumentName(name string) bool {
	rest, ok := strings.CutPrefix(name, ContractPrefix)
	return name == FleetDocument || ok && rest != "" && !strings.Contains(rest, "/")
}

// registers are the parts of the state in which a newer value replaces an older one, whether it comes from the log, a
// checkpoint or a peer. A value is never replaced by an older one, so merging in any order gives the same result.
type registers struct {
	documents map[string]Document
	drains    map[string]Drain
	fences    map[string]uint64
	runs      map[string]VMRun
	changes   uint64 // number of changes of documents, drains and runs
}

func newRegisters() registers {
	return registers{documents: map[string]Document{}, drains: map[string]Drain{}, fences: map[string]uint64{}, runs: map[string]VMRun{}}
}

// clone returns a copy that shares no maps with r.
func (r *registers) clone() registers {
	c := *r
	c.documents, c.drains, c.fences = maps.Clone(r.documents), maps.Clone(r.drains), maps.Clone(r.fences)
	c.runs = maps.Clone(r.runs)
	return c
}

// setDocument stores d unless the current value is as new or newer, and reports whether it did. The other setters do the same
// for their kinds of values.
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

func (r *registers) setRun(run VMRun) bool {
	if old, ok := r.runs[run.VMName]; ok && !run.newer(old) {
		return false
	}
	r.runs[run.VMName] = run
	r.changes++
	return true
}

// merge stores the values of o that are newer than those of r and reports whether there were any.
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
	for _, run := range o.runs {
		changed = r.setRun(run) || changed
	}
	return changed
}

// newerThan returns the values of r that o lacks or has in an older version.
func (r *registers) newerThan(o *registers) registers {
	newer := newRegisters()
	for name, d := range r.documents {
		if old, ok := o.documents[name]; !ok || d.newer(old) {
			newer.documents[name] = d
		}
	}
	for target, d := range r.drains {
		if old, ok := o.drains[target]; !ok || d.newer(old) {
			newer.drains[target] = d
		}
	}
	for resource, token := range r.fences {
		if token > o.fences[resource] {
			newer.fences[resource] = token
		}
	}
	for name, run := range r.runs {
		if old, ok := o.runs[name]; !ok || run.newer(old) {
			newer.runs[name] = run
		}
	}
	return newer
}

func (r *registers) empty() bool {
	return len(r.documents) == 0 && len(r.drains) == 0 && len(r.fences) == 0 && len(r.runs) == 0
}
