package oplog

import (
	"maps"
	"slices"
	"strings"
)

// Snapshot is an immutable view of the registers: documents, drains and runs.
type Snapshot struct {
	registers registers
	offset    uint64
	version   uint64
}

// Document returns the newest revision of a document.
func (s *Snapshot) Document(name string) (Document, bool) {
	d, ok := s.registers.documents[name]
	return d, ok
}

// Documents returns the newest revision of every document, sorted by name.
func (s *Snapshot) Documents() []Document {
	return slices.SortedFunc(maps.Values(s.registers.documents), func(a, b Document) int { return strings.Compare(a.Name, b.Name) })
}

// Drained reports whether a target is drained.
func (s *Snapshot) Drained(target string) bool { return s.registers.drains[target].Drained }

// Drains returns the drain states of all targets sorted by target, including those that are no longer drained.
func (s *Snapshot) Drains() []Drain {
	return slices.SortedFunc(maps.Values(s.registers.drains), func(a, b Drain) int { return strings.Compare(a.Target, b.Target) })
}

// Run returns the newest registered run of a VM name.
func (s *Snapshot) Run(name string) (VMRun, bool) {
	run, ok := s.registers.runs[name]
	return run, ok
}

// Runs returns the newest registered run of every VM name, sorted by VM name.
func (s *Snapshot) Runs() []VMRun {
	return slices.SortedFunc(maps.Values(s.registers.runs), func(a, b VMRun) int { return strings.Compare(a.VMName, b.VMName) })
}

// Offset returns the offset of the first log record that is not applied yet. It never decreases, even when the log loses
// records.
func (s *Snapshot) Offset() uint64 { return s.offset }

// Version returns a hash of documents, drains and runs. Two VMs with the same configuration have the same version.
func (s *Snapshot) Version() uint64 { return s.version }
