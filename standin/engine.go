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

// backlog returns the prompt tokens still to prefill and the number of prompts that they belong to.
func (e *Engine) backlog() (tokens, prompts int) {
	for _, s := range e.prefill {
		tokens += s.left
	}
	return tokens, len(e.prefill)
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

// countLeaks counts each reservation once whose holder has had no stream for LeakAfter.
func (e *Engine) countLeaks(now time.Time) {
	e.mu.Lock()
	n, peers := len(e.reservations), e.peers
	e.mu.Unlock()
	if n == 0 {
		return
	}
	holders := map[string]bool{}
	for _, p := range peers {
		p.mu.Lock()
		for _, s := range p.streams {
			if s.grouped && s.state == streamRunning {
				holders[s.holder] = true
			}
		}
		p.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.reservations {
		if holders[r.holder] {
			r.used = now
		} else if !r.leaked && now.Sub(r.used) > e.cfg.LeakAfter {
			r.leaked = true
			e.counters.Leaks++
		}
	}
}

type engineReport struct {
	Instance       uint64           `json:"instance"`
	Sequence       uint64           `json:"sequence"`
	AgeMillis      int64            `json:"ageMillis"`
	Model          string           `json:"model"`
	Version        string           `json:"version"`
	Adapters       []string         `json:"adapters"`
	Role           string           `json:"role"`
	Cold           bool             `json:"cold"`
	KVTokens       int              `json:"kvTokens"`
	KVUsed         int              `json:"kvUsed"`
	Sequences      int              `json:"sequences"`
	Running        int              `json:"running"`
	Waiting        int              `json:"waiting"`
	PrefillBacklog int              `json:"prefillBacklog"`
	Streams        []reportedStream `json:"streams"`
}

type reportedStream struct {
	ID     string `json:"id"`
	Holder string `json:"holder"`
	Tokens int    `json:"tokens"`

	Reservation bool `json:"reservation,omitempty"`
}

// takeReport records the load that calls see until the next report.
func (e *Engine) takeReport(now time.Time) {
	r := engineReport{
		Instance: e.instance, Sequence: e.report.Sequence + 1, Model: e.model, Version: e.version,
		Adapters: append([]string{}, e.adapters...), Role: e.role, Cold: e.cold, KVTokens: e.cfg.KVTokens, KVUsed: e.used,
		Sequences: e.cfg.Sequences, Streams: []reportedStream{},
	}
	for id, s := range e.streams {
		if s.state != streamRunning {
			continue
		}
		if s.active {
			r.Running++
		} else {
			r.Waiting++
		}
		r.Streams = append(r.Streams, reportedStream{ID: id, Holder: s.holder, Tokens: s.tokens})
	}
	for id, v := range e.reservations {
		r.Streams = append(r.Streams, reportedStream{ID: id, Holder: v.holder, Tokens: v.tokens, Reservation: true})
	}
	r.PrefillBacklog, _ = e.backlog()
	e.report, e.reported = r, now
}
