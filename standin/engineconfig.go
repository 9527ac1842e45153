package standin

import "time"

// EngineConfig holds the parameters of the engine model. Rates and step times are those of the modelled engine; TimeScale
// divides the duration of prefill and decode steps. All other times (such as the resume window, the report interval and the
// restart time) are not scaled, because the timers of the entry VMs are not scaled either.
type EngineConfig struct {
	Name       string
	Model      string
	KVTokens   int // KV memory in tokens
	BatchSlots int // maximum number of sequences in the batch
	MaxWaiting int // maximum number of requests that wait for a batch slot; further requests are refused as overloaded

	PrefillRate       float64       // tokens a second, shared by all prompts in prefill
	ChunkTokens       int           // maximum number of prefill tokens per step
	DecodeBase        time.Duration // step time with one decoding sequence
	DecodePerSequence time.Duration // addition to the step time per further decoding sequence
	EventTokens       int           // tokens per stream event; the first event has one token

	CacheTokens     int           // capacity of the prefix cache in tokens
	CacheEventDelay time.Duration // time before a cache event becomes readable
	CacheEventLoss  float64       // probability that a cache event is not published; its sequence number is then skipped
	ReportInterval  time.Duration // interval of load reports, at most 1,000 ms

	StartCold             bool          // start in the cold state, in which steps are slower and overload causes a crash
	ColdRateFactor        float64       // factor on all rates while cold
	ColdMaxStreams        int           // running streams above which a cold engine crashes
	ColdMaxPrefillBacklog int           // prefill backlog in tokens above which a cold engine with several prompts in prefill crashes
	WarmAfterRequests     int           // number of completed requests that ends the cold state
	ColdLimitDelay        time.Duration // time after EnterColdState before the limits of a cold engine apply
	RestartTime           time.Duration // time between a crash and the restart
	ModelLoadTime         time.Duration // time between a loadModel order and the availability of the model

	ChecksFence bool          // refuse orders whose fencing token is below the highest seen
	LeakAfter   time.Duration // time without a running stream of the holder after which a reservation counts as a leak

	TimeScale float64 // speed-up of the steps: 10 makes them ten times as fast
	Seed      uint64  // seed of the random loss of cache events
}

// ResumeWindow is how long an engine keeps a stream whose client is disconnected.
const ResumeWindow = 2 * time.Second

// DefaultEngineConfig returns the configuration of a mid-sized engine that serves model.
func DefaultEngineConfig(name, model string) EngineConfig {
	return EngineConfig{
		Name:       name,
		Model:      model,
		KVTokens:   400_000,
		BatchSlots: 32,
		MaxWaiting: 64,

		PrefillRate:       20_000,
		ChunkTokens:       1024,
		DecodeBase:        16 * time.Millisecond,
		DecodePerSequence: 300 * time.Microsecond,
		EventTokens:       4,

		CacheTokens:     400_000,
		CacheEventDelay: 300 * time.Millisecond,
		CacheEventLoss:  0.02,
		ReportInterval:  500 * time.Millisecond,

		ColdRateFactor:        0.25,
		ColdMaxStreams:        2,
		ColdMaxPrefillBacklog: 64_000,
		WarmAfterRequests:     8,
		ColdLimitDelay:        2 * time.Second,
		RestartTime:           2 * time.Second,
		ModelLoadTime:         2 * time.Second,

		ChecksFence: true,
		LeakAfter:   10 * time.Second,
		TimeScale:   1,
		Seed:        1,
	}
}

// DecodeRate returns the tokens a second that a warm engine generates for a single sequence, without time scaling.
func (c EngineConfig) DecodeRate() float64 { return float64(time.Second) / float64(c.DecodeBase) }

// Capacity returns the prefill rate, in tokens a second and with time scaling, that a warm engine sustains while a quarter of its
// batch slots decode.
func (c EngineConfig) Capacity() float64 {
	step := float64(c.ChunkTokens)/c.PrefillRate + (c.DecodeBase + time.Duration(c.BatchSlots/4)*c.DecodePerSequence).Seconds()
	return c.TimeScale * float64(c.ChunkTokens) / step
}

// EngineCounters holds the numbers of events since the creation of an engine, restarts included.
type EngineCounters struct {
	Accepted       int // streams started
	Completed      int // streams whose answer was generated completely
	Cancelled      int // running streams cancelled by a client
	Expired        int // running streams that no client resumed within ResumeWindow
	LostStreams    int // running streams lost in a crash
	Refused        int // completion requests refused without execution
	Overcommits    int // requests and reservations refused because their reserved tokens exceed the free KV memory
	Underestimates int // requests that need more tokens than they reserved
	Leaks          int // reservations whose holder had no running stream for LeakAfter
	ColdCrashes    int // crashes of a cold engine under excess load
	Crashes        int // all crashes
	Duplicates     int // requests whose ID the same instance had accepted before
	Resumed        int // resumptions of streams
	StaleOrders    int // orders executed although their fencing token is below the highest seen
	RefusedOrders  int // orders refused because of their fencing token
	Orders         int // orders executed
	CachedTokens   int // prompt tokens taken from the prefix cache
	PrefillTokens  int // prompt tokens prefilled
	DecodeTokens   int // tokens generated
}

// Add returns the sum of c and d.
func (c EngineCounters) Add(d EngineCounters) EngineCounters {
	c.Accepted += d.Accepted
	c.Completed += d.Completed
	c.Cancelled += d.Cancelled
	c.Expired += d.Expired
	c.LostStreams += d.LostStreams
	c.Refused += d.Refused
	c.Overcommits += d.Overcommits
	c.Underestimates += d.Underestimates
	c.Leaks += d.Leaks
	c.ColdCrashes += d.ColdCrashes
	c.Crashes += d.Crashes
	c.Duplicates += d.Duplicates
	c.Resumed += d.Resumed
	c.StaleOrders += d.StaleOrders
	c.RefusedOrders += d.RefusedOrders
	c.Orders += d.Orders
	c.CachedTokens += d.CachedTokens
	c.PrefillTokens += d.PrefillTokens
	c.DecodeTokens += d.DecodeTokens
	return c
}
