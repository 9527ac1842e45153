package oplog

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// upkeepEvery is how often the need for a checkpoint is looked at.
	upkeepEvery = 250 * time.Millisecond
	// spread is the range of random delays before a VM writes what any VM could write, so that mostly one does.
	spread = 2 * time.Second
	// forceWait is how long a VM that has lost records waits for the checkpoint of a VM that has them, before it writes one
	// from its own copy. It is longer than spread, so that the better copy comes first.
	forceWait = 5 * spread
	// emptyWait is the same for a VM without any configuration.
	emptyWait = 3 * forceWait
	// pruneEvery is how often expired claims are dropped.
	pruneEvery = time.Minute
)

// upkeep writes drains that are not in the log yet and checkpoints until the store is closed.
func (s *Store) upkeep() {
	ticker := time.NewTicker(upkeepEvery)
	defer ticker.Stop()
	var (
		due    time.Time // when to write a checkpoint out of turn, zero where none is needed
		share  = 0.5 + rand.Float64()/2
		mark   time.Time // newest checkpoint that share was drawn for
		pruned = time.Now()
		began  = time.Now()
	)
	for {
		urgent := false
		select {
		case <-ticker.C:
		case <-s.kick:
			urgent = true
		case <-s.ctx.Done():
			return
		}
		now := time.Now()
		s.mu.Lock()
		if now.Sub(pruned) > pruneEvery {
			s.prune(now)
			pruned = now
		}
		if !s.state.markTime.Equal(mark) {
			mark, share = s.state.markTime, 0.5+rand.Float64()/2
		}
		reachable := s.reachable()
		if s.state.empty() {
			began = now
		}
		need := reachable && s.needsCheckpoint()
		regular := reachable && s.checkpointAge(now, began) > time.Duration(share*float64(s.checkpointEvery))
		drains := s.unwrittenDrains(reachable)
		s.mu.Unlock()

		switch {
		case !need:
			due = time.Time{}
		case due.IsZero():
			due = now.Add(rand.N(spread))
		}
		if regular || need && !now.Before(due) {
			s.writeCheckpoint()
			due = time.Time{}
		}
		// An operator's drain is written at once. What a peer reported is left to that peer for a while.
		if len(drains) > 0 && (urgent || rand.N(spread) < upkeepEvery) {
			for _, d := range drains {
				s.submitSoon(drainBody{Drain: d})
			}
		}
	}
}

// needsCheckpoint says whether the log lacks what this VM knows, or its newest checkpoint is about to age out. The caller
// holds mu.
func (s *Store) needsCheckpoint() bool {
	st := s.state
	switch {
	case !st.anchored && st.empty() && s.peers.empty():
		return time.Since(s.unanchored) > emptyWait
	case !st.anchored:
		return time.Since(s.unanchored) > forceWait
	case st.moved, st.repair, len(s.peers.documents) > 0:
		return true
	case st.earliest == 0 || st.empty():
		return false
	}
	// The log has begun to drop records: the newest checkpoint must not be in its oldest quarter.
	return st.markBase < st.earliest+(st.next-st.earliest)/4
}

// checkpointAge returns the age of the newest checkpoint, or 0 where there is nothing to keep. Without a checkpoint it is
// the age of the state. The caller holds mu.
func (s *Store) checkpointAge(now, began time.Time) time.Duration {
	if !s.state.anchored || s.state.empty() {
		return 0
	}
	if s.state.markTime.IsZero() {
		return now.Sub(began)
	}
	return now.Sub(s.state.markTime)
}

// unwrittenDrains returns the drains that the log does not hold yet. The caller holds mu.
func (s *Store) unwrittenDrains(reachable bool) []Drain {
	if !reachable || !s.state.anchored {
		return nil
	}
	var drains []Drain
	for _, d := range s.peers.drains {
		drains = append(drains, d)
	}
	return drains
}

// submitSoon appends a record without waiting for it. A record that is lost is written again by a later round.
func (s *Store) submitSoon(b body) {
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, appendTimeout)
		defer cancel()
		s.submit(ctx, b)
	})
}

// writeCheckpoint appends a checkpoint. A state that is not anchored becomes anchored here: the log has lost records that
// no checkpoint replaces, and this VM's copy is the best that there is.
func (s *Store) writeCheckpoint() {
	s.mu.Lock()
	if !s.state.anchored {
		s.logger.Warn("oplog: the log holds no complete checkpoint; writing one from the own copy")
		for _, a := range s.state.force() {
			s.resolve(a)
		}
		s.publishSnapshot()
	}
	parts := s.state.checkpoint(time.Now(), s.peers)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, appendTimeout)
	defer cancel()
	for _, b := range parts {
		if _, err := s.submit(ctx, b); err != nil {
			s.logger.WithError(err).Warn("oplog: checkpoint not written")
			return
		}
	}
	s.counters.checkpoints.Add(1)
}
