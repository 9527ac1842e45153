package oplog

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// recordID is random, so that a writer finds its record in the log after a lost answer.
type recordID [16]byte

func newRecordID() recordID {
	var id recordID
	rand.Read(id[:]) // never fails
	return id
}

func (id recordID) String() string { return hex.EncodeToString(id[:]) }

// record is one entry of the log.
type record struct {
	id   recordID
	time time.Time // clock of the writer
	body body
}

// body is the content of a record: publishBody, drainBody, claimBody, outcomeBody, releaseBody, fenceBody, placeBody
// or checkpointBody.
type body interface{ recordBody() }

// publishBody is void unless base is the document's current revision.
type publishBody struct {
	Document string `cbor:"document"`
	Base     uint64 `cbor:"base"`
	Content  []byte `cbor:"content"`
}

// drainBody merges into the target's register.
type drainBody struct {
	Drain Drain `cbor:"drain"`
}

// claimBody wins its key unless an earlier claim still holds it.
type claimBody struct {
	Key    string        `cbor:"key"`
	Digest string        `cbor:"digest"`
	Holder string        `cbor:"holder"`
	Keep   time.Duration `cbor:"keep"`
}

// outcomeBody is void unless the claim with the ID holds the key and has no outcome.
type outcomeBody struct {
	Key     string   `cbor:"key"`
	Claim   recordID `cbor:"claim"`
	Outcome Outcome  `cbor:"outcome"`
}

// releaseBody frees a key whose request certainly did not run. It is void like outcomeBody.
type releaseBody struct {
	Key   string   `cbor:"key"`
	Claim recordID `cbor:"claim"`
}

// fenceBody is void unless the token is above the resource's current one.
type fenceBody struct {
	Resource string `cbor:"resource"`
	Token    uint64 `cbor:"token"`
}

// placeBody is void unless it is newer than the newest run at the place. The writer leaves First, Clear
// and Reclaims open.
type placeBody struct {
	Run PlaceRun `cbor:"run"`
}

// checkpointBody is one part of the state after all records below offset Base. The last part of a checkpoint lets a reader
// start there.
type checkpointBody struct {
	Checkpoint recordID          `cbor:"checkpoint"` // the same in all parts
	Part       int               `cbor:"part"`       // from 0
	Parts      int               `cbor:"parts"`
	Base       uint64            `cbor:"base"`
	Carried    bool              `cbor:"carried,omitempty"` // holds claims of a log that was recreated since
	Documents  []Document        `cbor:"documents,omitempty"`
	Drains     []Drain           `cbor:"drains,omitempty"`
	Fences     map[string]uint64 `cbor:"fences,omitempty"`
	Places     []PlaceRun        `cbor:"places,omitempty"`
	Claims     []heldClaim       `cbor:"claims,omitempty"`
}

func (publishBody) recordBody()    {}
func (drainBody) recordBody()      {}
func (claimBody) recordBody()      {}
func (outcomeBody) recordBody()    {}
func (releaseBody) recordBody()    {}
func (fenceBody) recordBody()      {}
func (placeBody) recordBody()      {}
func (checkpointBody) recordBody() {}

// wireRecord is the CBOR form of a record. One of the bodies is set. Unknown fields are ignored, so that versions can be
// mixed.
type wireRecord struct {
	ID         recordID        `cbor:"id"`
	Millis     int64           `cbor:"millis"`
	Publish    *publishBody    `cbor:"publish,omitempty"`
	Drain      *drainBody      `cbor:"drain,omitempty"`
	Claim      *claimBody      `cbor:"claim,omitempty"`
	Outcome    *outcomeBody    `cbor:"outcome,omitempty"`
	Release    *releaseBody    `cbor:"release,omitempty"`
	Fence      *fenceBody      `cbor:"fence,omitempty"`
	Place      *placeBody      `cbor:"place,omitempty"`
	Checkpoint *checkpointBody `cbor:"checkpoint,omitempty"`
}

var encMode, decMode = cborModes()

func cborModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{Time: cbor.TimeUnixMicro, Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		panic(err)
	}
	// The largest collection is the claims of a checkpoint part, which maxPartBytes bounds.
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
	case placeBody:
		w.Place = &b
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
	case w.Place != nil:
		r.body = *w.Place
	case w.Checkpoint != nil:
		r.body = *w.Checkpoint
	default:
		return record{}, errors.New("decode record: unknown kind of record")
	}
	return r, nil
}
