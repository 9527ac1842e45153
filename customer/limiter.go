package customer

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"time"
)

// Waits that are told to a refused caller.
const (
	// A concurrent request ends at an unknown time; a second is in the order of a short request.
	concurrencyRetryAfter = time.Second
	// Parts are renewed every second, so a larger one can be there after that time.
	partRetryAfter = time.Second
	// Longest wait that is told. A wait beyond it comes from a debt that later corrections may reduce.
	maxRetryAfter = 5 * time.Minute
)

// Part is the part of a contract that is leased to one VM.
type Part struct {
	TokensPerSecond int
	Burst           int
	Concurrent      int
	Tokens          int       // added to the VM's bucket once, when the part is set; the lender has taken them from its own
	Expires         time.Time // after that time the VM admits nothing
}

// Limiter enforces contracts on one VM. It is safe for concurrent use.
//
// Invariant: a VM uses only what is leased to it. A part that grows adds an empty bucket, a part that shrinks or expires
// loses what the bucket held above it, and an expired part leaves zero. So if the parts of all VMs add up to at most the
// contract, the admissions of all VMs do as well: in any time at most rate x time + burst. A floor above zero after the
// expiry would break this, because the lender may already have leased the same part to another VM. Admitted requests run on
// after an expiry; the lender counts them by Demand.Running before it lends their places again.
type Limiter struct {
	whole bool

	mu     sync.Mutex
	states map[string]*limitState
}

// limitState is one customer's use on this VM.
type limitState struct {
	part    Part
	bucket  bucket
	running int
	demand  Demand
}

// Demand is what a customer asked of this VM since the last call of [Limiter.Demands], so that a lender can lease by demand.
type Demand struct {
	Customer      string
	Tokens        int // asked for in all, admitted or not
	Largest       int // largest single request
	RefusedTokens int // refused by the token rate
	Refused       int // requests refused by rate or concurrency
	Running       int // requests running now, even those of an expired part
}

// LimiterOption changes a Limiter.
type LimiterOption func(*Limiter)

// WithWholeContracts makes each contract apply to this VM alone, without leased parts. It is for deployments of one VM.
func WithWholeContracts() LimiterOption {
	return func(l *Limiter) { l.whole = true }
}

// NewLimiter returns a limiter that admits nothing until SetPart is called, unless it has the whole contracts.
func NewLimiter(opts ...LimiterOption) *Limiter {
	l := &Limiter{states: map[string]*limitState{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetPart sets the part of the customer's contract that is leased to this VM. It has no effect with whole contracts.
func (l *Limiter) SetPart(now time.Time, customer string, p Part) {
	if l.whole {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(customer)
	s.expire(now)
	s.bucket.advance(now)
	s.part = p
	s.bucket.rate = float64(max(0, p.TokensPerSecond))
	s.bucket.burst = float64(max(0, p.Burst))
	s.bucket.add(float64(max(0, p.Tokens)))
}

// Admit charges the request's estimated tokens, or refuses the request with the contract line that limits it. Nothing is
// charged for a refused request. The caller has to call End on the admission.
func (l *Limiter) Admit(now time.Time, c *Contract, promptTokens, maxTokens int) (*Admission, *Refusal) {
	limits := c.Limits()
	tokens := max(0, promptTokens) + max(0, maxTokens)
	if promptTokens > limits.LongestPrompt() {
		return nil, Refuse(ReasonPromptTooLong, fmt.Sprintf("the prompt has about %d tokens; %s", promptTokens, c.Line("longestPrompt")))
	}
	if tokens > limits.Burst() {
		return nil, Refuse(ReasonPromptTooLong, fmt.Sprintf("prompt and answer limit have about %d tokens together; %s", tokens, c.Line("burst")))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(c.Name())
	if l.whole {
		s.useWhole(now, limits)
	} else {
		s.expire(now)
	}
	s.bucket.advance(now)
	s.demand.Tokens += tokens
	s.demand.Largest = max(s.demand.Largest, tokens)
	if r := s.check(c, tokens); r != nil {
		s.demand.Refused++
		if r.Reason() == ReasonTokenRate {
			s.demand.RefusedTokens += tokens
		}
		return nil, r
	}
	s.bucket.level -= float64(tokens)
	s.running++
	return &Admission{limiter: l, state: s, charged: tokens}, nil
}

// Demands returns what customers asked of this VM since the last call, in the order of their names, and
// starts the counts again.
func (l *Limiter) Demands() []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := make([]Demand, 0, len(l.states))
	for name, s := range l.states {
		d := s.demand
		d.Customer, d.Running = name, s.running
		demands = append(demands, d)
		s.demand = Demand{}
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Customer < demands[j].Customer })
	return demands
}

func (l *Limiter) state(customer string) *limitState {
	s, ok := l.states[customer]
	if !ok {
		s = &limitState{}
		l.states[customer] = s
	}
	return s
}

// expire takes everything from a state whose part has expired.
func (s *limitState) expire(now time.Time) {
	if now.Before(s.part.Expires) {
		return
	}
	s.part = Part{}
	s.bucket = bucket{level: min(s.bucket.level, 0), at: s.bucket.at}
}

// useWhole makes the whole limits the state's part. A new state's bucket is full.
func (s *limitState) useWhole(now time.Time, l Limits) {
	if s.bucket.at.IsZero() {
		s.bucket.level = float64(l.Burst())
	}
	s.part = Part{TokensPerSecond: l.TokensPerSecond(), Burst: l.Burst(), Concurrent: l.Concurrent(), Expires: now}
	s.bucket.advance(now)
	s.bucket.rate, s.bucket.burst = float64(l.TokensPerSecond()), float64(l.Burst())
	s.bucket.add(0)
}

func (s *limitState) check(c *Contract, tokens int) *Refusal {
	if s.part.Concurrent == 0 && s.part.TokensPerSecond == 0 && s.part.Burst == 0 {
		return Refuse(ReasonTokenRate, "no part is leased to this VM at present; "+c.Line("tokensPerSecond"), RetryAfter(partRetryAfter))
	}
	if s.running >= s.part.Concurrent {
		return Refuse(ReasonConcurrency, fmt.Sprintf("%d requests are running, %d may run on this VM; %s",
			s.running, s.part.Concurrent, c.Line("concurrent")), RetryAfter(concurrencyRetryAfter))
	}
	if tokens > s.part.Burst {
		return Refuse(ReasonTokenRate, fmt.Sprintf("the request has about %d tokens, %d may be used at once on this VM; %s",
			tokens, s.part.Burst, c.Line("burst")), RetryAfter(partRetryAfter))
	}
	if wait := s.bucket.wait(float64(tokens)); wait > 0 {
		return Refuse(ReasonTokenRate, fmt.Sprintf("the request has about %d tokens, %d are available on this VM; %s",
			tokens, max(0, int(s.bucket.level)), c.Line("tokensPerSecond")), RetryAfter(wait))
	}
	return nil
}

// Admission is one admitted request.
type Admission struct {
	limiter *Limiter
	state   *limitState
	charged int
	ended   bool
}

// Charged returns the tokens that were charged at admission.
func (a *Admission) Charged() int { return a.charged }

// maxCorrection bounds a reported use, as a multiple of the charge. It is the widest error that the token estimate can have.
const maxCorrection = maxBytesPerToken / minBytesPerToken

// End corrects the charge by the tokens that were used. What was used beyond the charge is a debt that the bucket repays
// before it admits anything else. A second call does nothing.
func (a *Admission) End(now time.Time, usedTokens int) {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	s := a.state
	s.running--
	if !a.limiter.whole {
		s.expire(now)
	}
	s.bucket.advance(now)
	used := min(float64(max(0, usedTokens)), float64(a.charged)*maxCorrection)
	s.bucket.add(float64(a.charged) - used)
}

// bucket is a token bucket over explicit time. Its level is below zero while a debt is repaid.
type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
}

// advance refills the bucket up to now. A now before the last one changes nothing, since concurrent callers read their clock
// before they get the lock.
func (b *bucket) advance(now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.at = now
		b.add(b.rate * elapsed.Seconds())
	}
}

// add changes the level and keeps it at or below the burst.
func (b *bucket) add(n float64) { b.level = min(b.level+n, b.burst) }

// wait returns how long the bucket needs until it has n tokens.
func (b *bucket) wait(n float64) time.Duration {
	missing := n - b.level
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return partRetryAfter
	}
	return min(time.Duration(math.Ceil(missing/b.rate*float64(time.Second))), maxRetryAfter)
}
