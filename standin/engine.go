package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// housekeepingInterval is the interval of the checks for expired streams, leaked reservations and due load reports. It is also
	// the wait between attempts to listen after a restart.
	housekeepingInterval = 50 * time.Millisecond
	// maxStepLag bounds how far the steps may fall behind their schedule. At a longer lag the schedule restarts from the current
	// time; otherwise a delay on a busy machine would be followed by a burst of steps.
	maxStepLag = 100 * time.Millisecond
	// maxTrackedIDs bounds the number of request IDs that are stored to detect duplicates. When it is reached, all are dropped.
	maxTrackedIDs = 200_000
	// maxListenAttempts bounds the attempts to listen on the same port again after a restart.
	maxListenAttempts = 100
)

// Engine is a stand-in for a model engine. It speaks the engine protocol of docs/PROTOCOLS.md and models continuous batching: each
// step generates one token for every decoding sequence and prefills one chunk of prompt tokens. The prefill of a long prompt
// therefore lengthens the steps of all sequences.
type Engine struct {
	*server
	cfg  EngineConfig
	wake chan struct{} // signals runSteps that there may be work for a step; capacity 1
	done chan struct{} // closed by Close
	wg   sync.WaitGroup

	mu                sync.Mutex
	instance          uint64
	down              bool // between a crash and the restart
	closed            bool
	thawed            chan struct{} // closed by Thaw; nil while not frozen
	refusing          bool
	pendingResets     int // number of stream connections still to be dropped
	cold              bool
	coldLimitFrom     time.Time // when the load limits of the cold state begin to apply
	coldCompleted     int       // requests completed since the engine turned cold
	lastWarmArrival   uint64    // arrival number of the last request before the engine turned cold
	model             string
	version           string
	role              string
	adapters          []string
	loading           bool   // a model is being loaded
	fence             uint64 // highest fencing token seen
	arrivals          uint64 // number of accepted requests
	streams           map[string]*stream
	reservations      map[string]*reservation
	peers             []*Engine
	usedTokens        int       // KV memory reserved by streams and reservations
	prefillQueue      []*stream // streams with pending prefill, highest priority first, then by arrival
	decodeBatch       []*stream // streams whose prefill is complete
	cache             *prefixCache
	report            engineReport
	reportedAt        time.Time
	lastInstance      map[string]uint64   // last instance that accepted each request ID
	acceptedCallerIDs map[string]struct{} // CallerID of each accepted request
	counters          EngineCounters
}

type streamState uint8

const (
	streamRunning   streamState = iota
	streamEnded                 // the answer was generated completely
	streamCancelled             // cancelled, expired or lost in a crash
)

// stream is one accepted request and the state of its answer.
type stream struct {
	id, holder     string
	incarnation    uint64
	priority       int
	arrival        uint64 // value of Engine.arrivals when it was accepted
	reservedTokens int    // KV memory reserved on this engine
	grouped        bool   // uses remote KV on other engines
	promptTokens   int
	cachedTokens   int
	prefix         string   // PrefixID of the prompt
	blocks         []uint64 // blockHashes of the prompt
	answer         string
	pendingPrefill int // tokens
	hasSlot        bool
	generated      int // tokens
	publishedBytes int // bytes of answer that connections may send
	state          streamState
	conn           *connection // nil while no client is connected
	idleSince      time.Time   // time of the disconnection, or of the end of the stream
}

// connection is the client connection that receives a stream's events. A resumption replaces it.
type connection struct{ notify chan struct{} }

// reservation is KV memory that is reserved for a stream on another engine.
type reservation struct {
	holder      string
	incarnation uint64
	tokens      int
	lastUsed    time.Time // when it was made, or when a check last found a running grouped stream of the holder
	leaked      bool
}

// NewEngine starts an engine on address.
func NewEngine(address string, cfg EngineConfig) (*Engine, error) {
	if cfg.ChunkTokens <= 0 || cfg.PrefillRate <= 0 || cfg.TimeScale <= 0 || cfg.ColdRateFactor <= 0 || cfg.KVTokens <= 0 {
		return nil, errors.Errorf("engine %s: memory, chunk, rates and time scale must be positive", cfg.Name)
	}
	now := time.Now()
	e := &Engine{
		cfg:               cfg,
		wake:              make(chan struct{}, 1),
		done:              make(chan struct{}),
		instance:          uint64(now.UnixMilli()),
		cold:              cfg.StartCold,
		model:             cfg.Model,
		version:           "1",
		role:              "mixed",
		streams:           map[string]*stream{},
		reservations:      map[string]*reservation{},
		cache:             newPrefixCache(cfg),
		lastInstance:      map[string]uint64{},
		acceptedCallerIDs: map[string]struct{}{},
	}
	e.updateReport(now)
	s, err := newServer(address, e.handler())
	if err != nil {
		return nil, err
	}
	e.server = s
	e.wg.Add(2)
	go func() {
		defer e.wg.Done()
		e.runSteps()
	}()
	go func() {
		defer e.wg.Done()
		e.housekeeping()
	}()
	return e, nil
}

// Close stops the engine.
func (e *Engine) Close() {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	close(e.done)
	e.mu.Unlock()
	e.stop()
	e.wg.Wait()
}

// Config returns the engine's configuration.
func (e *Engine) Config() EngineConfig { return e.cfg }

// Counters returns a snapshot of the engine's counters.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// InUse returns the KV memory in use in tokens, the number of running streams and the number of reservations for streams on other
// engines.
func (e *Engine) InUse() (tokens, streams, reservations int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		if s.state == streamRunning {
			streams++
		}
	}
	return e.usedTokens, streams, len(e.reservations)
}

// Cold reports whether the engine is in the cold state.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold
}

// HasAccepted reports whether the engine accepted any attempt of a request, before or after its last restart.
func (e *Engine) HasAccepted(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.acceptedCallerIDs[CallerID(requestID)]
	return ok
}

// Instance returns the instance number, which increases with each restart.
func (e *Engine) Instance() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

// SetPeers sets the engines whose streams can use reservations on this one. Without peers, every reservation that lasts longer than
// LeakAfter counts as a leak.
func (e *Engine) SetPeers(peers ...*Engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = append([]*Engine{}, peers...)
}

// sleep waits for d. It returns false if the engine is closed first.
func (e *Engine) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.done:
		return false
	}
}

// signalWork makes runSteps plan a step if it is waiting for work.
func (e *Engine) signalWork() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step is the work of one engine step.
type step struct {
	instance uint64
	duration time.Duration
	chunks   []chunk
	decode   []*stream
}

// chunk is the number of prompt tokens of one stream that a step prefills.
type chunk struct {
	stream *stream
	tokens int
}

// runSteps executes one step after the other until the engine is closed. It waits for a wake signal while there is no work.
func (e *Engine) runSteps() {
	next := time.Now()
	for {
		e.mu.Lock()
		st := e.planStep()
		e.mu.Unlock()
		if st.duration == 0 {
			select {
			case <-e.wake:
			case <-e.done:
				return
			}
			next = time.Now()
			continue
		}
		next = next.Add(st.duration)
		switch wait := time.Until(next); {
		case wait > 0:
			if !e.sleep(wait) {
				return
			}
		case wait < -maxStepLag:
			next = time.Now()
		}
		e.mu.Lock()
		e.applyStep(st)
		e.mu.Unlock()
	}
}

// planStep selects the work of the next step and assigns free batch slots to waiting streams. The duration is 0 if there is no
// work.
func (e *Engine) planStep() step {
	if e.down || e.thawed != nil {
		return step{}
	}
	st := step{instance: e.instance, decode: slices.Clone(e.decodeBatch)}
	usedSlots := len(e.decodeBatch)
	for _, s := range e.prefillQueue {
		if s.hasSlot {
			usedSlots++
		}
	}
	budget := e.cfg.ChunkTokens
	for _, s := range e.prefillQueue {
		if !s.hasSlot {
			if usedSlots >= e.cfg.BatchSlots {
				continue
			}
			s.hasSlot = true
			usedSlots++
		}
		if n := min(budget, s.pendingPrefill); n > 0 {
			st.chunks = append(st.chunks, chunk{stream: s, tokens: n})
			budget -= n
		}
	}
	seconds := float64(e.cfg.ChunkTokens-budget) / e.cfg.PrefillRate
	st.duration = time.Duration(seconds * float64(time.Second))
	if n := len(st.decode); n > 0 {
		st.duration += e.cfg.DecodeBase + time.Duration(n-1)*e.cfg.DecodePerSequence
	}
	if e.cold {
		st.duration = time.Duration(float64(st.duration) / e.cfg.ColdRateFactor)
	}
	st.duration = time.Duration(float64(st.duration) / e.cfg.TimeScale)
	return st
}

// applyStep applies the results of a step. A step that was interrupted by a crash or a freeze has no effect.
func (e *Engine) applyStep(st step) {
	if e.down || e.thawed != nil || st.instance != e.instance {
		return
	}
	now := time.Now()
	for _, s := range st.decode {
		if s.state == streamRunning {
			e.generateToken(now, s)
		}
	}
	for _, c := range st.chunks {
		s := c.stream
		if s.state != streamRunning {
			continue
		}
		s.pendingPrefill -= c.tokens
		e.counters.PrefillTokens += c.tokens
		if s.pendingPrefill == 0 {
			e.prefillQueue = removeStream(e.prefillQueue, s)
			e.decodeBatch = append(e.decodeBatch, s)
			e.cache.store(now, s.prefix, s.blocks)
			e.generateToken(now, s)
		}
	}
}

// generateToken adds one token to a stream. It publishes an event for the first token, then for every EventTokens tokens and at the
// end of the answer. Memory and batch slot are released before a client can receive the end mark.
func (e *Engine) generateToken(now time.Time, s *stream) {
	s.generated++
	e.counters.DecodeTokens++
	if generatedBytes := s.generated * TokenBytes; generatedBytes >= len(s.answer) {
		e.counters.Completed++
		e.release(now, s, streamEnded)
		if e.cold {
			if e.coldCompleted++; e.coldCompleted >= e.cfg.WarmAfterRequests {
				e.cold = false
			}
		}
	} else if s.generated > 1 && generatedBytes-s.publishedBytes < e.cfg.EventTokens*TokenBytes {
		return
	}
	s.publishedBytes = min(len(s.answer), s.generated*TokenBytes)
	s.notify()
}

// release ends a running stream with the given state, removes it from the batch and releases its memory.
func (e *Engine) release(now time.Time, s *stream, state streamState) {
	s.state, s.idleSince = state, now
	e.usedTokens -= s.reservedTokens
	e.prefillQueue, e.decodeBatch = removeStream(e.prefillQueue, s), removeStream(e.decodeBatch, s)
}

// cancel removes a stream and ends it if it is still running.
func (e *Engine) cancel(s *stream) {
	if s.state == streamRunning {
		e.release(time.Now(), s, streamCancelled)
	}
	delete(e.streams, s.id)
	s.notify()
}

// notify wakes the stream's connection, if there is one.
func (s *stream) notify() {
	if s.conn != nil {
		select {
		case s.conn.notify <- struct{}{}:
		default:
		}
	}
}

func removeStream(list []*stream, s *stream) []*stream {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// coldOverloaded reports whether the load exceeds the limits of a cold engine.
func (e *Engine) coldOverloaded(now time.Time) bool {
	if !e.cold || now.Before(e.coldLimitFrom) {
		return false
	}
	running := 0
	for _, s := range e.streams {
		if s.state == streamRunning && s.arrival > e.lastWarmArrival {
			running++
		}
	}
	tokens, prompts := e.backlog()
	return running > e.cfg.ColdMaxStreams || prompts > 1 && tokens > e.cfg.ColdMaxPrefillBacklog
}

// housekeeping checks periodically for expired streams, leaked reservations and due load reports until the engine is closed.
func (e *Engine) housekeeping() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case now := <-ticker.C:
			e.expireStreams(now)
			e.countLeaks(now)
		}
	}
}

// expireStreams removes the streams that had no client for longer than ResumeWindow. It also updates the load report when it is due.
func (e *Engine) expireStreams(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.thawed != nil {
		return
	}
	for _, s := range e.streams {
		if s.conn == nil && now.Sub(s.idleSince) > ResumeWindow {
			if s.state == streamRunning {
				e.counters.Expired++
			}
			e.cancel(s)
		}
	}
	if now.Sub(e.reportedAt) >= e.cfg.ReportInterval {
		e.updateReport(now)
	}
}
