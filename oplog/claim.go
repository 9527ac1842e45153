package oplog

import (
	"fmt"
	"time"
)

// Claim reserves an idempotency key for one request.
type Claim struct {
	Key    string // customer and Idempotency-Key, joined by the caller of Store.Claim
	Digest string // digest of the request; a later claim of the key with another digest is a mismatch
	Holder string // VM name of the VM that sends the request
}

// Outcome is the first response to a claimed request.
type Outcome struct {
	Status  int      `cbor:"status"`
	Headers []Header `cbor:"headers,omitempty"`
	Body    []byte   `cbor:"body,omitempty"`
}

// Header is one header field of an outcome. An outcome preserves the order of fields and repeated fields.
type Header struct {
	Name  string `cbor:"name"`
	Value string `cbor:"value"`
}

// ClaimResult is the result of a claim: [ClaimWon], [ClaimHeld], [ClaimDone] or [ClaimMismatch].
type ClaimResult interface {
	claimResult()
	fmt.Stringer
}

// ClaimWon permits the claimant to send the request once.
type ClaimWon struct{}

// ClaimHeld means that an earlier claim holds the key and has no outcome yet: its request may have run.
type ClaimHeld struct {
	Holder    string    // VM name of the VM that made the earlier claim
	ClaimedAt time.Time // time of the earlier claim, by the clock of that VM
}

// ClaimDone carries the outcome of the request that won the key.
type ClaimDone struct{ Outcome Outcome }

// ClaimMismatch means that the key was claimed for a request with another digest.
type ClaimMismatch struct{}

func (ClaimWon) claimResult()      {}
func (ClaimHeld) claimResult()     {}
func (ClaimDone) claimResult()     {}
func (ClaimMismatch) claimResult() {}

// String implements fmt.Stringer.
func (ClaimWon) String() string { return "won" }

// String implements fmt.Stringer.
func (r ClaimHeld) String() string { return "held by " + r.Holder }

// String implements fmt.Stringer.
func (r ClaimDone) String() string { return fmt.Sprintf("done with status %d", r.Outcome.Status) }

// String implements fmt.Stringer.
func (ClaimMismatch) String() string { return "key used with a different request" }

// heldClaim is a claim that won its key.
type heldClaim struct {
	Key       string        `cbor:"key"`
	ID        recordID      `cbor:"id"` // ID of the claim's record
	Digest    string        `cbor:"digest"`
	Holder    string        `cbor:"holder"`
	Time      time.Time     `cbor:"time"` // by the claimant's clock
	Retention time.Duration `cbor:"keep"` // a claim whose Time is later by more than Retention wins the key
	Outcome   *Outcome      `cbor:"outcome,omitempty"`
}

// expired reports whether the claim no longer holds its key at t.
func (h *heldClaim) expired(t time.Time) bool { return t.Sub(h.Time) > h.Retention }

// resultFor returns the result of a later claim of the same key with the given digest.
func (h *heldClaim) resultFor(digest string) ClaimResult {
	switch {
	case h.Digest != digest:
		return ClaimMismatch{}
	case h.Outcome != nil:
		return ClaimDone{Outcome: *h.Outcome}
	default:
		return ClaimHeld{Holder: h.Holder, ClaimedAt: h.Time}
	}
}
