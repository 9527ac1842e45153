package oplog

import (
	"maps"
	"slices"
	"strings"
)

// Snapshot is an immutable view of the configuration.
type Snapshot struct {
	r       registers
	offset  uint64
	version uint64
}

// Document returns the newest revision of a document.
func (s *Snapshot) Document(name string) (Document, bool) {
	d, ok := s.r.documents[name]
	return d, ok
}

// Documents returns the newest revisions by name.
func (s *Snapshot) Documents() []Document {
	return slices.SortedFunc(maps.Values(s.r.documents), func(a, b Document) int { return strings.Compare(a.Name, b.Name) })
}

// Drained says whether a target is drained.
func (s *Snapshot) Drained(target string) bool { return s.r.drains[target].Drained }

// Drains returns all drain registers by target, also those that are not drained.
func (s *Snapshot) Drains() []Drain {
	return slices.SortedFunc(maps.Values(s.r.drains), func(a, b Drain) int { return strings.Compare(a.Target, b.Target) })
}

// Place returns the newest registered run at a place.
func (s *Snapshot) Place(name string) (PlaceRun, bool) {
	p, ok := s.r.places[name]
	return p, ok
}

// Places returns the newest registered runs by place.
func (s *Snapshot) Places() []PlaceRun {
	return slices.SortedFunc(maps.Values(s.r.places), func(a, b PlaceRun) int { return strings.Compare(a.Place, b.Place) })
}

// Offset returns the offset of the first log record that is not applied yet. It never goes down, also when the log lost
// records.
func (s *Snapshot) Offset() uint64 { return s.offset }

// Version returns a hash of documents, drains and places. Two VMs with the same configuration have the same version.
func (s *Snapshot) Version() uint64 { return s.version }
