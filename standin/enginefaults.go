package standin

import (
	"time"
)

// EnterColdState puts the engine into the cold state without a restart. The load limits of a cold engine apply after
// ColdLimitDelay. Streams that already run do not count towards ColdMaxStreams.
func (e *Engine) EnterColdState() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.turnCold(time.Now().Add(e.cfg.ColdLimitDelay))
}

// turnCold starts the cold state. The load limits apply from limitFrom on. ColdMaxStreams limits only streams that are accepted after
// turnCold.
func (e *Engine) turnCold(limitFrom time.Time) {
	e.cold, e.coldCompleted, e.coldLimitFrom, e.lastWarmArrival = true, 0, limitFrom, e.arrivals
}

// Crash drops all connections, streams, reservations and cached prompts. The engine restarts in the cold state after RestartTime.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// Freeze suspends all steps and answers until Thaw. Connections stay open.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.thawed == nil {
		e.thawed = make(chan struct{})
	}
}

// Thaw resumes the work that Freeze suspended.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.thawed != nil {
		close(e.thawed)
		e.thawed = nil
		e.signalWork()
	}
}

// ResetStreams makes the next n stream connections drop after their first event. The streams themselves continue.
func (e *Engine) ResetStreams(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingResets = n
}

// SetRefusing sets whether the engine refuses all completions as overloaded.
func (e *Engine) SetRefusing(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusing = on
}

// crash does the work of Crash. The caller holds mu.
func (e *Engine) crash() {
	if e.down || e.closed {
		return
	}
	e.down = true
	e.counters.Crashes++
	for _, s := range e.streams {
		if s.state == streamRunning {
			e.counters.LostStreams++
			s.state = streamCancelled
		}
	}
	for _, s := range e.streams {
		s.notify()
	}
	e.streams, e.reservations = map[string]*stream{}, map[string]*reservation{}
	e.prefillQueue, e.decodeBatch, e.usedTokens = nil, nil, 0
	// The sequence numbers of cache events continue with a gap, so that readers detect the loss of the cache.
	nextSequence := e.cache.next + 1
	e.cache = newPrefixCache(e.cfg)
	e.cache.next = nextSequence
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.restart()
	}()
}

// restart makes the engine listen again after RestartTime, in the cold state and with a new instance number.
func (e *Engine) restart() {
	e.stop()
	if !e.sleep(e.cfg.RestartTime) {
		return
	}
	e.mu.Lock()
	e.instance++
	e.down = false
	e.turnCold(time.Now())
	e.updateReport(time.Now())
	e.mu.Unlock()
	for range maxListenAttempts {
		if e.start() == nil {
			break
		}
		if !e.sleep(housekeepingInterval) {
			return
		}
	}
	select {
	case <-e.done:
		e.stop()
	default:
	}
}
