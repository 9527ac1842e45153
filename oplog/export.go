package oplog

import (
	"github.com/pkg/errors"
)

// wireExport is the CBOR form of the registers that peers exchange.
type wireExport struct {
	Documents []Document `cbor:"documents"`
	Drains    []Drain    `cbor:"drains"`
	Runs      []VMRun    `cbor:"places,omitempty"`
}

// exportRegisters encodes the documents, drains and runs of r in a fixed order, so that equal registers have equal encodings.
func exportRegisters(r registers) []byte {
	snap := Snapshot{registers: r}
	data, err := encMode.Marshal(wireExport{Documents: snap.Documents(), Drains: snap.Drains(), Runs: snap.Runs()})
	if err != nil {
		panic(err) // unreachable: all values of these types can be encoded
	}
	return data
}

// Export returns the encoded documents, drains and runs of the snapshot, for peers to import.
func (s *Store) Export() []byte { return exportRegisters(s.Snapshot().registers) }

// Import merges a peer's export. It stores only the documents, drains and runs that are newer than the local ones.
func (s *Store) Import(data []byte) error {
	var w wireExport
	if err := decMode.Unmarshal(data, &w); err != nil {
		return errors.Wrap(err, "decode a peer's export")
	}
	r := newRegisters()
	for _, d := range w.Documents {
		if !ValidDocumentName(d.Name) {
			return errors.Errorf("a peer's export contains a document with the invalid name %q", d.Name)
		}
		r.setDocument(d)
	}
	for _, d := range w.Drains {
		if !ValidDrainTarget(d.Target) {
			return errors.Errorf("a peer's export contains the invalid drain target %q", d.Target)
		}
		r.setDrain(d)
	}
	for _, run := range w.Runs {
		r.setRun(run)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r = r.newerThan(&s.state.registers)
	if s.peers.merge(r) {
		s.publishSnapshot()
	}
	return nil
}
