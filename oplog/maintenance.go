package oplog

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// maintenanceInterval is how often the store checks whether it has to write a checkpoint or a drain.
	maintenanceInterval = 250 * time.Millisecond
	// maxWriteDelay is the maximum of the random delay before a VM writes a record that any VM could write, so that usually
	// only one VM does.
	maxWriteDelay = 2 * time.Second
	// forcedCheckpointWait is how long a VM that has missed records waits for a checkpoint from a VM that has read them,
	// before it writes one from its own state. It is longer than maxWriteDelay, so that a VM with a more complete state
	// writes first.
	forcedCheckpointWait = 5 * maxWriteDelay
	// emptyCheckpointWait replaces forcedCheckpointWait on a VM that has an empty state and has received nothing from peers.
	// It is longer, so that a VM with any content writes first.
	emptyCheckpointWait = 3 * forcedCheckpointWait
	// pruneInterval is how often expired claims are deleted.
	pruneInterval = time.Minute
)

// maintenanceLoop appends checkpoints, and drains that are not in the log yet, until the store is closed. It also deletes
// expired claims.
func (s *Store) maintenanceLoop() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	var (
		checkpointDue    time.Time                // when to write a checkpoint ahead of the next periodic one, zero if none is needed
		jitter           = 0.5 + rand.Float64()/2 // random fraction of checkpointInterval after which this VM writes a periodic checkpoint
		jitterCheckpoint time.Time                // time of the newest checkpoint when jitter was drawn
		lastPrune        = time.Now()
		lastEmpty        = time.Now() // when the state was last empty, initially the start
	)
	for {
		woken := false
		select {
		case <-ticker.C:
		case <-s.maintenanceWake:
			woken = true
		case <-s.ctx.Done():
			return
		}
		now := time.Now()
		s.mu.Lock()
		if now.Sub(lastPrune) > pruneInterval {
			s.prune(now)
			lastPrune = now
		}
		if !s.state.checkpointTime.Equal(jitterCheckpoint) {
			jitterCheckpoint, jitter = s.state.checkpointTime, 0.5+rand.Float64()/2
		}
		reachable := s.reachable()
		if s.state.empty() {
			lastEmpty = now
		}
		checkpointNeeded := reachable && s.needsCheckpoint()
		periodicDue := reachable && s.checkpointAge(now, lastEmpty) > time.Duration(jitter*float64(s.checkpointInterval))
		drains := s.unwrittenDrains(reachable)
		s.mu.Unlock()

		switch {
		case !checkpointNeeded:
			checkpointDue = time.Time{}
		case checkpointDue.IsZero():
			checkpointDue = now.Add(rand.N(maxWriteDelay))
		}
		if periodicDue || checkpointNeeded && !now.Before(checkpointDue) {
			s.writeCheckpoint()
			checkpointDue = time.Time{}
		}
		// A drain set by an operator on this VM is written at once. A drain reported by a peer is written after a random
		// delay, because that peer usually writes it first.
		if len(drains) > 0 && (woken || rand.N(maxWriteDelay) < maintenanceInterval) {
			for _, d := range drains {
				s.submitAsync(drainBody{Drain: d})
			}
		}
	}
}

// needsCheckpoint reports whether the log lacks values that this VM has, will soon drop its newest checkpoint, or has had no
// usable checkpoint for so long that this VM has to write one. The caller holds mu.
func (s *Store) needsCheckpoint() bool {
	st := s.state
	switch {
	case !st.bootstrapped && st.empty() && s.peers.empty():
		return time.Since(s.lastBootstrapped) > emptyCheckpointWait
	case !st.bootstrapped:
		return time.Since(s.lastBootstrapped) > forcedCheckpointWait
	case st.recordsLost, st.checkpointOutdated, len(s.peers.documents) > 0:
		return true
	case st.earliest == 0 || st.empty():
		return false
	}
	// The log has dropped records. A new checkpoint is needed once the base of the newest one is in the oldest quarter of the
	// records that the log retains.
	return st.checkpointBase < st.earliest+(st.next-st.earliest)/4
}

// checkpointAge returns the age of the newest checkpoint, or the time since lastEmpty if there is no checkpoint. It returns 0
// if the state is empty or not bootstrapped, because there is nothing to write. The caller holds mu.
func (s *Store) checkpointAge(now, lastEmpty time.Time) time.Duration {
	if !s.state.bootstrapped || s.state.empty() {
		return 0
	}
	if s.state.checkpointTime.IsZero() {
		return now.Sub(lastEmpty)
	}
	return now.Sub(s.state.checkpointTime)
}

// unwrittenDrains returns the drains that the log does not hold yet, or nil if the log cannot be used. The caller holds mu.
func (s *Store) unwrittenDrains(reachable bool) []Drain {
	if !reachable || !s.state.bootstrapped {
		return nil
	}
	var drains []Drain
	for _, d := range s.peers.drains {
		drains = append(drains, d)
	}
	return drains
}

// submitAsync appends a record in a goroutine and ignores the result. It is used for drains, which maintenanceLoop submits
// again until they are in the log.
func (s *Store) submitAsync(b body) {
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, appendTimeout)
		defer cancel()
		s.submit(ctx, b)
	})
}

// writeCheckpoint appends a checkpoint. If the state is not bootstrapped, the log has lost records that no checkpoint covers,
// and no VM with a more complete state has written one. The state is then bootstrapped from its own content first.
func (s *Store) writeCheckpoint() {
	s.mu.Lock()
	if !s.state.bootstrapped {
		s.logger.Warn("oplog: the log holds no complete checkpoint; writing one from the local state")
		for _, d := range s.state.forceBootstrap() {
			s.deliverDecision(d)
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
