package standin

import (
	"time"
)

// TurnCold puts the engine into cold start without a restart. Streams that run already do not count towards its load limit.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.turnCold(time.Now().Add(e.cfg.ColdGrace))
}

func (e *Engine) turnCold(limitFrom time.Time) {
	e.cold, e.coldDone, e.coldFrom, e.coldArrival = true, 0, limitFrom, e.arrivals
}

// Crash drops every connection and all memory, and restarts the engine cold after RestartTime.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// Freeze stops all work and all answers until Thaw; connections stay open.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.thawed == nil {
		e.thawed = make(chan struct{})
	}
}

// Thaw ends Freeze.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.thawed != nil {
		close(e.thawed)
		e.thawed = nil
		e.poke()
	}
}

// ResetStreams makes the next n streams lose their connection after their first event. The streams go on.
func (e *Engine) ResetStreams(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resets = n
}

// SetRefuse makes the engine refuse every completion as overloaded.
func (e *Engine) SetRefuse(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuse = on
}

func (e *Engine) crash() {
	if e.down || e.closed {
		return
	}
	e.down = true
	e.counters.Crashes++
	for _, s := range e.streams {
		if s.state == streamRunning {
			e.counters.Lost++
			s.state = streamCancelled
		}
	}
	for _, s := range e.streams {
		s.notify()
	}
	e.streams, e.reservations = map[string]*stream{}, map[string]*reservation{}
	e.prefill, e.decode, e.used = nil, nil, 0
	// The sequence numbers go on with a gap, so that readers of cache events notice that the cache is empty.
	next := e.cache.next + 1
	e.cache = newPrefixCache(e.cfg)
	e.cache.next = next
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.restart()
	}()
}

// restart listens again after the restart time, cold and with a new instance number.
func (e *Engine) restart() {
	e.stop()
	if !e.sleep(e.cfg.RestartTime) {
		return
	}
	e.mu.Lock()
	e.instance++
	e.down = false
	e.turnCold(time.Now())
	e.takeReport(time.Now())
	e.mu.Unlock()
	for range listenTries {
		if e.start() == nil {
			break
		}
		if !e.sleep(housekeepingEvery) {
			return
		}
	}
	select {
	case <-e.done:
		e.stop()
	default:
	}
}
