package oplog

import (
	"fmt"
	"time"
)

// Claim ties an idempotency key to one request.
type Claim struct {
	Key    string // customer and Idempotency-Key; the caller of the store joins them
	Digest string // digest of the request; a claim with another digest is a mismatch
	Holder string // place of the VM that sends the request
}

// Outcome is the first response to a claimed request.
type Outcome struct {
	Status  int      `cbor:"status"`
	Headers []Header `cbor:"headers,omitempty"`
	Body    []byte   `cbor:"body,omitempty"`
}

// Header is one header field of an outcome. Order and repeated fields are kept.
type Header struct {
	Name  string `cbor:"name"`
	Value string `cbor:"value"`
}

// ClaimResult is the answer to a claim: [ClaimWon], [ClaimHeld], [ClaimDone] or [ClaimMismatch].
type ClaimResult interface {
	claimResult()
	fmt.Stringer
}

// ClaimWon permits the claimant to send the request once.
type ClaimWon struct{}

// ClaimHeld means that an earlier claim has no outcome yet: its request may have run.
type ClaimHeld struct {
	Holder string
	Since  time.Time
}

// ClaimDone carries the outcome of the request that won the key.
type ClaimDone struct{ Outcome Outcome }

// ClaimMismatch means that the key belongs to a request with another digest.
type ClaimMismatch struct{}

func (ClaimWon) claimResult()      {}
func (ClaimHeld) claimResult()     {}
func (ClaimDone) claimResult()     {}
func (ClaimMismatch) claimResult() {}

// String names the result.
func (ClaimWon) String() string { return "won" }

// String names the result.
func (r ClaimHeld) String() string { return "held by " + r.Holder }

// String names the result.
func (r ClaimDone) String() string { return fmt.Sprintf("done with status %d", r.Outcome.Status) }

// String names the result.
func (ClaimMismatch) String() string { return "key used with a different request" }

// heldClaim is the claim that won a key.
type heldClaim struct {
	Key     string        `cbor:"key"`
	ID      recordID      `cbor:"id"` // record of the claim
	Digest  string        `cbor:"digest"`
	Holder  string        `cbor:"holder"`
	Time    time.Time     `cbor:"time"` // clock of the claimant
	Keep    time.Duration `cbor:"keep"` // the key is free for a claim whose time is later by more than this
	Outcome *Outcome      `cbor:"outcome,omitempty"`
}

// expired says whether the claim no longer binds its key at t.
func (h *heldClaim) expired(t time.Time) bool { return t.Sub(h.Time) > h.Keep }

// answer returns what a later claim of the key with the digest is told.
func (h *heldClaim) answer(digest string) ClaimResult {
	switch {
	case h.Digest != digest:
		return ClaimMismatch{}
	case h.Outcome != nil:
		return ClaimDone{Outcome: *h.Outcome}
	default:
		return ClaimHeld{Holder: h.Holder, Since: h.Time}
	}
}
