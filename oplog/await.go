package oplog

import (
	"context"
	"time"
)

// outcomePoll is the interval at which AwaitOutcome looks at the applied copy of the log.
const outcomePoll = 25 * time.Millisecond

// AwaitOutcome waits until the claim that holds key has an outcome. It returns false where ctx ends first or the key was released.
func (s *Store) AwaitOutcome(ctx context.Context, key string) (Outcome, bool) {
	t := time.NewTicker(outcomePoll)
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

// outcome returns the outcome of the claim on key, if it has one, and whether the key is held at all.
func (s *Store) outcome(key string) (o *Outcome, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.state.claims[key]
	if h == nil {
		return nil, false
	}
	return h.Outcome, true
}
