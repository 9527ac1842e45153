package oplog

import (
	"github.com/pkg/errors"
)

// wireExport is the CBOR form of what peers exchange.
type wireExport struct {
	Documents []Document `cbor:"documents"`
	Drains    []Drain    `cbor:"drains"`
	Places    []PlaceRun `cbor:"places,omitempty"`
}

func exportRegisters(r registers) []byte {
	snap := Snapshot{r: r}
	data, err := encMode.Marshal(wireExport{Documents: snap.Documents(), Drains: snap.Drains(), Places: snap.Places()})
	if err != nil {
		panic(err) // the types have a fixed form
	}
	return data
}

// Export returns documents, drains and places for peers.
func (s *Store) Export() []byte { return exportRegisters(s.Snapshot().r) }

// Import takes what is newer than the own documents, drains and places.
func (s *Store) Import(data []byte) error {
	var w wireExport
	if err := decMode.Unmarshal(data, &w); err != nil {
		return errors.Wrap(err, "decode a peer's configuration")
	}
	r := newRegisters()
	for _, d := range w.Documents {
		if !ValidDocument(d.Name) {
			return errors.Errorf("a peer's configuration holds document %q", d.Name)
		}
		r.setDocument(d)
	}
	for _, d := range w.Drains {
		if !ValidTarget(d.Target) {
			return errors.Errorf("a peer's configuration holds drain target %q", d.Target)
		}
		r.setDrain(d)
	}
	for _, p := range w.Places {
		r.setPlace(p)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r = r.ahead(&s.state.registers)
	if s.peers.merge(r) {
		s.publishSnapshot()
	}
	return nil
}
