package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// housekeepingEvery is the interval at which streams expire and reports are due.
	housekeepingEvery = 50 * time.Millisecond
	// longestLag is how far the steps may fall behind their schedule before it starts anew, so that a busy machine does not
	// make an engine work in bursts.
	longestLag = 100 * time.Millisecond
	// rememberedIDs bounds the request IDs that are kept to count duplicates.
	rememberedIDs = 200_000
	// listenTries bounds the attempts to listen again on the same port after a restart.
	listenTries = 100
)

// Engine is a stand-in for a model engine: the protocol of docs/PROTOCOLS.md over a model of continuous batching. In each
// step every decoding sequence gets one token and one chunk of prompt tokens is prefilled, so that a long prefill lengthens
// the steps of all sequences.
type Engine struct {
	*server
	cfg  EngineConfig
	wake chan struct{} // capacity 1
	done chan struct{}
	wg   sync.WaitGroup

	mu           sync.Mutex
	instance     uint64
	down         bool // between a crash and the restart
	closed       bool
	thawed       chan struct{} // not nil while frozen
	refuse       bool
	resets       int // streams still to be reset in mid answer
	cold         bool
	coldFrom     time.Time // load limit applies from here on
	coldDone     int       // requests completed while cold
	coldArrival  uint64    // arrivals up to here came before the engine turned cold
	model        string
	version      string
	role         string
	adapters     []string
	loading      bool
	fence        uint64
	arrivals     uint64
	streams      map[string]*stream
	reservations map[string]*reservation
	peers        []*Engine
	used         int       // reserved tokens
	prefill      []*stream // not yet prefilled, highest priority first, then by arrival
	decode       []*stream
	cache        *prefixCache
	report       engineReport
	reported     time.Time
	ran          map[string]uint64 // instance in which each request ID ran last
	callers      map[string]struct{}
	counters     EngineCounters
}

type streamState uint8

const (
	streamRunning streamState = iota
	streamEnded
	streamCancelled
)

type stream struct {
	id, holder  string
	incarnation uint64
	priority    int
	arrival     uint64
	tokens      int // reserved on this engine
	grouped     bool
	prompt      int
	cached      int
	prefix      string
	blocks      []uint64
	text        string
	left        int  // prompt tokens still to prefill
	active      bool // has a sequence
	generated   int  // tokens
	published   int  // bytes of text that connections may send
	state       streamState
	conn        *connection // nil without a connection
	gone        time.Time   // since when without a connection, or the end
}

// connection is the one that the stream's events go to; a resumption replaces it.
type connection struct{ notify chan struct{} }

type reservation struct {
	holder      string
	incarnation uint64
	tokens      int
	used        time.Time // when a stream of the holder was last seen
	leaked      bool
}

// NewEngine starts an engine on address.
func NewEngine(address string, cfg EngineConfig) (*Engine, error) {
	if cfg.ChunkTokens <= 0 || cfg.PrefillRate <= 0 || cfg.TimeScale <= 0 || cfg.ColdRate <= 0 || cfg.KVTokens <= 0 {
		return nil, errors.Errorf("engine %s: memory, chunk, rates and time scale must be positive", cfg.Name)
	}
	now := time.Now()
	e := &Engine{
		cfg:          cfg,
		wake:         make(chan struct{}, 1),
		done:         make(chan struct{}),
		instance:     uint64(now.UnixMilli()),
		cold:         cfg.StartCold,
		model:        cfg.Model,
		version:      "1",
		role:         "mixed",
		streams:      map[string]*stream{},
		reservations: map[string]*reservation{},
		cache:        newPrefixCache(cfg),
		ran:          map[string]uint64{},
		callers:      map[string]struct{}{},
	}
	e.takeReport(now)
	s, err := newServer(address, e.handler())
	if err != nil {
		return nil, err
	}
	e.server = s
	e.wg.Add(2)
	go func() {
		defer e.wg.Done()
		e.work()
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

// Config returns the constants that the engine runs with.
func (e *Engine) Config() EngineConfig { return e.cfg }

// Counters returns the events counted so far.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Held returns the reserved tokens and the numbers of running streams and of reservations for streams on other engines.
func (e *Engine) Held() (tokens, streams, reservations int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		if s.state == streamRunning {
			streams++
		}
	}
	return e.used, streams, len(e.reservations)
}

// Cold says whether the engine is in cold start.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold
}

// Ran says whether the engine accepted any attempt of a request, in its present start or an earlier one.
func (e *Engine) Ran(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.callers[CallerID(requestID)]
	return ok
}

// Instance returns the number of the present start.
func (e *Engine) Instance() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

// SetPeers names the engines whose streams can hold reservations on this one. Without it, every reservation that is held
// for LeakAfter counts as a leak.
func (e *Engine) SetPeers(peers ...*Engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = append([]*Engine{}, peers...)
}

// sleep returns false when the engine was closed meanwhile.
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

// poke wakes the worker when it has no step to do.
func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step is the work of one pass over the batch.
type step struct {
	instance uint64
	duration time.Duration
	chunks   []chunk
	decode   []*stream
}

// chunk is the part of a step that prefills one prompt.
type chunk struct {
	stream *stream
	tokens int
}

func (e *Engine) work() {
	next := time.Now()
	for {
		e.mu.Lock()
		st := e.plan()
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
		case wait < -longestLag:
			next = time.Now()
		}
		e.mu.Lock()
		e.finish(st)
		e.mu.Unlock()
	}
}

// plan chooses the work of the next step; its duration is 0 when there is none.
func (e *Engine) plan() step {
	if e.down || e.thawed != nil {
		return step{}
	}
	st := step{instance: e.instance, decode: slices.Clone(e.decode)}
	active := len(e.decode)
	for _, s := range e.prefill {
		if s.active {
			active++
		}
	}
	budget := e.cfg.ChunkTokens
	for _, s := range e.prefill {
		if !s.active {
			if active >= e.cfg.Sequences {
				continue
			}
			s.active = true
			active++
		}
		if n := min(budget, s.left); n > 0 {
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
		st.duration = time.Duration(float64(st.duration) / e.cfg.ColdRate)
	}
	st.duration = time.Duration(float64(st.duration) / e.cfg.TimeScale)
	return st
}

// finish applies a step. A step that a crash or a freeze interrupted is lost.
func (e *Engine) finish(st step) {
	if e.down || e.thawed != nil || st.instance != e.instance {
		return
	}
	now := time.Now()
	for _, s := range st.decode {
		if s.state == streamRunning {
			e.generate(now, s)
		}
	}
	for _, c := range st.chunks {
		s := c.stream
		if s.state != streamRunning {
			continue
		}
		s.left -= c.tokens
		e.counters.PrefillTokens += c.tokens
		if s.left == 0 {
			e.prefill = remove(e.prefill, s)
			e.decode = append(e.decode, s)
			e.cache.store(now, s.prefix, s.blocks)
			e.generate(now, s)
		}
	}
}

// generate adds one token to a stream. Memory and sequence are free before the end can be read.
func (e *Engine) generate(now time.Time, s *stream) {
	s.generated++
	e.counters.DecodeTokens++
	if bytes := s.generated * TokenBytes; bytes >= len(s.text) {
		e.counters.Completed++
		e.release(now, s, streamEnded)
		if e.cold {
			if e.coldDone++; e.coldDone >= e.cfg.WarmAfter {
				e.cold = false
			}
		}
	} else if s.generated > 1 && bytes-s.published < e.cfg.EventTokens*TokenBytes {
		return
	}
	s.published = min(len(s.text), s.generated*TokenBytes)
	s.notify()
}

// release takes a running stream out of the batch and frees its memory.
func (e *Engine) release(now time.Time, s *stream, state streamState) {
	s.state, s.gone = state, now
	e.used -= s.tokens
	e.prefill, e.decode = remove(e.prefill, s), remove(e.decode, s)
}

// cancel ends a running stream at once.
func (e *Engine) cancel(s *stream) {
	if s.state == streamRunning {
		e.release(time.Now(), s, streamCancelled)
	}
	delete(e.streams, s.id)
	s.notify()
}

func (s *stream) notify() {
	if s.conn != nil {
		select {
		case s.conn.notify <- struct{}{}:
		default:
		}
	}
}

func remove(list []*stream, s *stream) []*stream {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// tooColdFor says whether a cold engine has more work than it bears.
func (e *Engine) tooColdFor(now time.Time) bool {
	if !e.cold || now.Before(e.coldFrom) {
		return false
	}
	sequences := 0
	for _, s := range e.streams {
		if s.state == streamRunning && s.arrival > e.coldArrival {
			sequences++
		}
	}
	tokens, prompts := e.backlog()
	return sequences > e.cfg.ColdSequences || prompts > 1 && tokens > e.cfg.ColdPrefill
}

func (e *Engine) housekeeping() {
	ticker := time.NewTicker(housekeepingEvery)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case now := <-ticker.C:
			e.expire(now)
			e.countLeaks(now)
		}
	}
}

// expire cancels streams that nobody resumed and takes the next report when it is due.
func (e *Engine) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.thawed != nil {
		return
	}
	for _, s := range e.streams {
		if s.conn == nil && now.Sub(s.gone) > ResumeWindow {
			if s.state == streamRunning {
				e.counters.Expired++
			}
			e.cancel(s)
		}
	}
	if now.Sub(e.reported) >= e.cfg.ReportEvery {
		e.takeReport(now)
	}
}
