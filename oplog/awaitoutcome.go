package oplog

import (
	"context"
	"time"
)

// outcomePollInterval is the interval at which AwaitOutcome checks the applied state for an outcome.
const outcomePollInterval = 25 * time.Millisecond

// AwaitOutcome waits until the claim that holds key has an outcome. It returns false if ctx ends first or if no claim holds
// the key, for example because it was released.
func (s *Store) AwaitOutcome(ctx context.Context, key string) (Outcome, bool) {
	t := time.NewTicker(outcomePollInterval)
	defer t.Stop()
	for {
		if o, held := s.outcome(key); o != nil {
			return *o, true
		} else if !held {
			return Outcome{}, false
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return Outcome{}, false
		}
	}
}

// outcome returns the outcome of the claim that holds key, or nil if it has none, and reports whether a claim holds the key.
func (s *Store) outcome(key string) (o *Outcome, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.state.claims[key]
	if h == nil {
		return nil, false
	}
	return h.Outcome, true
}
