package standin

import "time"

// EngineConfig holds all constants of the engine model. Rates and step times are those of the modelled engine; TimeScale
// divides the time that prefill and decode steps take. All other times (resumption, report lag, restart) are real ones,
// because the timers of the entry VMs are real too.
type EngineConfig struct {
	Name       string
	Model      string
	KVTokens   int // KV-cache memory in tokens
	Sequences  int // sequences that run together at most
	MaxWaiting int // requests that wait for a sequence at most; more are refused as overloaded

	PrefillRate       float64       // tokens a second, shared by all prompts
	ChunkTokens       int           // prefill tokens in one step at most
	DecodeBase        time.Duration // step time with one decoding sequence
	DecodePerSequence time.Duration // added to the step time by each further sequence
	EventTokens       int           // tokens in one event after the first token

	CacheTokens int           // memory of the prefix cache in tokens
	EventDelay  time.Duration // delay before a cache event can be read
	EventLoss   float64       // share of cache events that are never published; their sequence numbers are skipped
	ReportEvery time.Duration // interval of load reports, at most 1,000 ms

	StartCold     bool          // the engine starts cold
	ColdRate      float64       // share of the rates while cold
	ColdSequences int           // sequences that a cold engine bears
	ColdPrefill   int           // prefill backlog in tokens that a cold engine bears with more than one prompt in prefill
	WarmAfter     int           // completed requests that end the cold state
	ColdGrace     time.Duration // time after turning cold without a restart in which the load limit does not apply yet
	RestartTime   time.Duration // time without a listener after a crash
	LoadTime      time.Duration // time that a loadModel order takes before the model is served

	ChecksFence bool          // orders with a fence below the highest seen are refused
	LeakAfter   time.Duration // a reservation without any stream counts as a leak after this time

	TimeScale float64 // 10 makes steps run ten times as fast
	Seed      uint64  // for lost events
}

// ResumeWindow is how long an engine keeps a stream without a connection.
const ResumeWindow = 2 * time.Second

// DefaultEngineConfig returns a mid-sized engine for one model.
func DefaultEngineConfig(name, model string) EngineConfig {
	return EngineConfig{
		Name:       name,
		Model:      model,
		KVTokens:   400_000,
		Sequences:  32,
		MaxWaiting: 64,

		PrefillRate:       20_000,
		ChunkTokens:       1024,
		DecodeBase:        16 * time.Millisecond,
		DecodePerSequence: 300 * time.Microsecond,
		EventTokens:       4,

		CacheTokens: 400_000,
		EventDelay:  300 * time.Millisecond,
		EventLoss:   0.02,
		ReportEvery: 500 * time.Millisecond,

		ColdRate:      0.25,
		ColdSequences: 2,
		ColdPrefill:   64_000,
		WarmAfter:     8,
		ColdGrace:     2 * time.Second,
		RestartTime:   2 * time.Second,
		LoadTime:      2 * time.Second,

		ChecksFence: true,
		LeakAfter:   10 * time.Second,
		TimeScale:   1,
		Seed:        1,
	}
}

// DecodeRate returns the tokens a second of a single sequence on a warm engine.
func (c EngineConfig) DecodeRate() float64 { return float64(time.Second) / float64(c.DecodeBase) }

// Capacity returns the prompt tokens a second that a warm engine sustains while a quarter of its sequences decode.
func (c EngineConfig) Capacity() float64 {
	step := float64(c.ChunkTokens)/c.PrefillRate + (c.DecodeBase + time.Duration(c.Sequences/4)*c.DecodePerSequence).Seconds()
	return c.TimeScale * float64(c.ChunkTokens) / step
}

// EngineCounters are the events that an engine counted since it was created.
type EngineCounters struct {
	Accepted      int // streams begun
	Completed     int // streams that reached their end mark
	Cancelled     int // streams cancelled by a call
	Expired       int // streams cancelled because nobody resumed them in time
	Lost          int // streams lost by a crash
	Refused       int // requests refused before running
	Overcommits   int // requests and reservations whose reserved tokens did not fit into the free memory; they are refused
	Underestimate int // requests that needed more tokens than they had reserved
	Leaks         int // reservations that outlived every stream of their holder by LeakAfter
	ColdFalls     int // crashes of a cold engine by too much work
	Crashes       int // all crashes
	Duplicates    int // request IDs that ran again in the same instance
	Resumed       int // resumptions of a stream
	StaleOrders   int // orders executed with a fence below the highest seen
	OldFences     int // orders refused for their fence
	Orders        int // orders executed
	CachedTokens  int // prompt tokens supplied by the prefix cache
	PrefillTokens int // prompt tokens computed
	DecodeTokens  int // tokens generated
}

// Add returns the sums of c and d.
func (c EngineCounters) Add(d EngineCounters) EngineCounters {
	c.Accepted += d.Accepted
	c.Completed += d.Completed
	c.Cancelled += d.Cancelled
	c.Expired += d.Expired
	c.Lost += d.Lost
	c.Refused += d.Refused
	c.Overcommits += d.Overcommits
	c.Underestimate += d.Underestimate
	c.Leaks += d.Leaks
	c.ColdFalls += d.ColdFalls
	c.Crashes += d.Crashes
	c.Duplicates += d.Duplicates
	c.Resumed += d.Resumed
	c.StaleOrders += d.StaleOrders
	c.OldFences += d.OldFences
	c.Orders += d.Orders
	c.CachedTokens += d.CachedTokens
	c.PrefillTokens += d.PrefillTokens
	c.DecodeTokens += d.DecodeTokens
	return c
}
