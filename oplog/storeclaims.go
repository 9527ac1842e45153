package oplog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/customer"
)

// abandonedClaim is a claim whose writer gave up before it knew the result.
type abandonedClaim struct {
	key  string
	time time.Time
}

// ownClaim is a claim that this VM won and that has no outcome yet.
type ownClaim struct {
	id   recordID
	time time.Time
}

// Claim ties a key to a request. The request may be sent only after ClaimWon. The error is a *customer.Refusal with the
// verdict notRun, because without ClaimWon the request is not sent.
func (s *Store) Claim(ctx context.Context, c Claim) (ClaimResult, error) {
	if r, ok := s.known(c); ok {
		return r, nil
	}
	if err := s.usable(); err != nil {
		return nil, refuseClaim(err)
	}
	a, err := s.submit(ctx, claimBody{Key: c.Key, Digest: c.Digest, Holder: c.Holder, Keep: s.claimRetention})
	if err != nil {
		return nil, refuseClaim(err)
	}
	return a.claim, nil
}

// known answers from the applied copy where nothing in the log can change the answer.
func (s *Store) known(c Claim) (ClaimResult, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.state.claims[c.Key]; h != nil && h.Outcome != nil && !h.expired(time.Now()) {
		return h.answer(c.Digest), true
	}
	return nil, false
}

func refuseClaim(err error) error {
	return customer.Refuse(customer.ReasonLogUnavailable, "idempotency key cannot be claimed: "+err.Error(), customer.RetryAfter(claimRetryAfter))
}

// Complete records the outcome of a request whose claim this VM won. It repeats the append until ctx ends.
func (s *Store) Complete(ctx context.Context, key string, o Outcome) error {
	if n := o.size(); n > maxOutcomeSize {
		return errors.Errorf("outcome of %d bytes is above the limit of %d bytes", n, maxOutcomeSize)
	}
	return s.finish(ctx, key, func(id recordID) body { return outcomeBody{Key: key, Claim: id, Outcome: o} })
}

// Release frees the key of a claim that this VM won and whose request certainly did not run.
func (s *Store) Release(ctx context.Context, key string) error {
	return s.finish(ctx, key, func(id recordID) body { return releaseBody{Key: key, Claim: id} })
}

func (s *Store) finish(ctx context.Context, key string, b func(recordID) body) error {
	s.mu.Lock()
	c, ok := s.own[key]
	delete(s.own, key)
	s.mu.Unlock()
	if !ok {
		return errors.Errorf("key %q is not claimed by this VM", key)
	}
	_, err := s.submitAgain(ctx, b(c.id))
	return errors.Wrapf(err, "finish claim of key %q", key)
}
