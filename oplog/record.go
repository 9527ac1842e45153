package oplog

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// recordID identifies a record. It is random, so that a writer can find its record in the log after a lost response to the
// append.
type recordID [16]byte

func newRecordID() recordID {
	var id recordID
	rand.Read(id[:]) // never returns an error
	return id
}

func (id recordID) String() string { return hex.EncodeToString(id[:]) }

// record is the decoded content of one log entry.
type record struct {
	id   recordID
	time time.Time // by the writer's clock
	body body
}

// body is the body of a record: publishBody, drainBody, claimBody, outcomeBody, releaseBody, fenceBody, registrationBody
// or checkpointBody.
type body interface{ recordBody() }

// publishBody publishes a revision of a document. It is rejected unless Base is the document's current revision.
type publishBody struct {
	Document string `cbor:"document"`
	Base     uint64 `cbor:"base"`
	Content  []byte `cbor:"content"`
}

// drainBody sets the drain state of a target. It is rejected unless it is newer than the current state.
type drainBody struct {
	Drain Drain `cbor:"drain"`
}

// claimBody claims an idempotency key. It wins the key unless an earlier claim still holds it.
type claimBody struct {
	Key       string        `cbor:"key"`
	Digest    string        `cbor:"digest"`
	Holder    string        `cbor:"holder"`
	Retention time.Duration `cbor:"keep"`
}

// outcomeBody records the outcome of a claim. It is rejected unless that claim holds the key and has no outcome.
type outcomeBody struct {
	Key     string   `cbor:"key"`
	Claim   recordID `cbor:"claim"`
	Outcome Outcome  `cbor:"outcome"`
}

// releaseBody releases a key whose request certainly did not run. It is rejected unless the claim holds the key and has no
// outcome.
type releaseBody struct {
	Key   string   `cbor:"key"`
	Claim recordID `cbor:"claim"`
}

// fenceBody issues a fencing token of a resource. It is rejected unless the token is above the resource's current one.
type fenceBody struct {
	Resource string `cbor:"resource"`
	Token    uint64 `cbor:"token"`
}

// registrationBody registers a run or its end. It is rejected unless it is newer than the newest run of the VM name. First,
// PredecessorsEnded and PredecessorReleased are derived from earlier records when it is applied; values set by the writer are ignored.
type registrationBody struct {
	Run VMRun `cbor:"run"`
}

// checkpointBody is one part of a checkpoint, which contains the state after all records below offset Base. A reader that has
// read all parts can apply the records from Base on without the earlier ones.
type checkpointBody struct {
	Checkpoint    recordID          `cbor:"checkpoint"` // the same in all parts
	Part          int               `cbor:"part"`       // from 0
	Parts         int               `cbor:"parts"`
	Base          uint64            `cbor:"base"`
	HasLostClaims bool              `cbor:"carried,omitempty"` // may have claims from records that the log has lost
	Documents     []Document        `cbor:"documents,omitempty"`
	Drains        []Drain           `cbor:"drains,omitempty"`
	Fences        map[string]uint64 `cbor:"fences,omitempty"`
	Runs          []VMRun           `cbor:"places,omitempty"`
	Claims        []heldClaim       `cbor:"claims,omitempty"`
}

func (publishBody) recordBody()      {}
func (drainBody) recordBody()        {}
func (claimBody) recordBody()        {}
func (outcomeBody) recordBody()      {}
func (releaseBody) recordBody()      {}
func (fenceBody) recordBody()        {}
func (registrationBody) recordBody() {}
func (checkpointBody) recordBody()   {}

// wireRecord is the CBOR form of a record. Exactly one of the bodies is set. Decoding ignores unknown fields, so that VMs of
// different versions can share a log.
type wireRecord struct {
	ID           recordID          `cbor:"id"`
	Millis       int64             `cbor:"millis"`
	Publish      *publishBody      `cbor:"publish,omitempty"`
	Drain        *drainBody        `cbor:"drain,omitempty"`
	Claim        *claimBody        `cbor:"claim,omitempty"`
	Outcome      *outcomeBody      `cbor:"outcome,omitempty"`
	Release      *releaseBody      `cbor:"release,omitempty"`
	Fence        *fenceBody        `cbor:"fence,omitempty"`
	Registration *registrationBody `cbor:"place,omitempty"`
	Checkpoint   *checkpointBody   `cbor:"checkpoint,omitempty"`
}

var encMode, decMode = cborModes()

// cborModes returns the CBOR encoding and decoding modes for records and exports.
func cborModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{Time: cbor.TimeUnixMicro, Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		panic(err)
	}
	// The longest list is that of the claims in a checkpoint part, whose size maxPartBytes bounds.
	dec, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

func (r record) encode() ([]byte, error) {
	w := wireRecord{ID: r.id, Millis: r.time.UnixMilli()}
	switch b := r.body.(type) {
	case publishBody:
		w.Publish = &b
	case drainBody:
		w.Drain = &b
	case claimBody:
		w.Claim = &b
	case outcomeBody:
		w.Outcome = &b
	case releaseBody:
		w.Release = &b
	case fenceBody:
		w.Fence = &b
	case registrationBody:
		w.Registration = &b
	case checkpointBody:
		w.Checkpoint = &b
	default:
		return nil, errors.Errorf("record body %T cannot be encoded", b)
	}
	data, err := encMode.Marshal(w)
	return data, errors.Wrap(err, "encode record")
}

func decodeRecord(data []byte) (record, error) {
	var w wireRecord
	if err := decMode.Unmarshal(data, &w); err != nil {
		return record{}, errors.Wrap(err, "decode record")
	}
	r := record{id: w.ID, time: time.UnixMilli(w.Millis)}
	switch {
	case w.Publish != nil:
		r.body = *w.Publish
	case w.Drain != nil:
		r.body = *w.Drain
	case w.Claim != nil:
		r.body = *w.Claim
	case w.Outcome != nil:
		r.body = *w.Outcome
	case w.Release != nil:
		r.body = *w.Release
	case w.Fence != nil:
		r.body = *w.Fence
	case w.Registration != nil:
		r.body = *w.Registration
	case w.Checkpoint != nil:
		r.body = *w.Checkpoint
	default:
		return record{}, errors.New("decode record: unknown kind of record")
	}
	return r, nil
}
