package oplog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/customer"
)

// abandonedClaim is a claim whose writer stopped waiting before it knew the result.
type abandonedClaim struct {
	key  string
	time time.Time
}

// wonClaim is a claim that this VM won and that has no outcome yet.
type wonClaim struct {
	id   recordID
	time time.Time
}

// Claim claims an idempotency key for a request. The caller may send the request only if the result is ClaimWon. The error
// is a *customer.Refusal with the verdict notRun, because without ClaimWon the request is not sent.
func (s *Store) Claim(ctx context.Context, c Claim) (ClaimResult, error) {
	if r, ok := s.knownResult(c); ok {
		return r, nil
	}
	if err := s.checkUsable(); err != nil {
		return nil, refuseClaim(err)
	}
	d, err := s.submit(ctx, claimBody{Key: c.Key, Digest: c.Digest, Holder: c.Holder, Retention: s.claimRetention})
	if err != nil {
		return nil, refuseClaim(err)
	}
	return d.claim, nil
}

// knownResult returns the result of a claim from the applied state if no later record can change it: the claim that holds the
// key has an outcome and has not expired.
func (s *Store) knownResult(c Claim) (ClaimResult, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.state.claims[c.Key]; h != nil && h.Outcome != nil && !h.expired(time.Now()) {
		return h.resultFor(c.Digest), true
	}
	return nil, false
}

// refuseClaim returns the refusal of a request whose key cannot be claimed because of err.
func refuseClaim(err error) error {
	return customer.Refuse(customer.ReasonLogUnavailable, "idempotency key cannot be claimed: "+err.Error(), customer.RetryAfter(claimRetryAfter))
}

// Complete records the outcome of a request whose claim this VM won. It retries the append until ctx ends.
func (s *Store) Complete(ctx context.Context, key string, o Outcome) error {
	if n := o.size(); n > maxOutcomeBytes {
		return errors.Errorf("outcome of %d bytes is above the limit of %d bytes", n, maxOutcomeBytes)
	}
	return s.finishClaim(ctx, key, func(id recordID) body { return outcomeBody{Key: key, Claim: id, Outcome: o} })
}

// Release releases the key of a claim that this VM won and whose request certainly did not run. Like Complete, it retries the
// append until ctx ends.
func (s *Store) Release(ctx context.Context, key string) error {
	return s.finishClaim(ctx, key, func(id recordID) body { return releaseBody{Key: key, Claim: id} })
}

// finishClaim appends the record that ends a claim of this VM. newBody returns its body for the ID of the claim's record.
func (s *Store) finishClaim(ctx context.Context, key string, newBody func(recordID) body) error {
	s.mu.Lock()
	c, ok := s.wonClaims[key]
	delete(s.wonClaims, key)
	s.mu.Unlock()
	if !ok {
		return errors.Errorf("key %q is not claimed by this VM", key)
	}
	_, err := s.submitWithRetry(ctx, newBody(c.id))
	return errors.Wrapf(err, "finish claim of key %q", key)
}
