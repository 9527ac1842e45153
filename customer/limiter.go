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
// Each VM has a token bucket that may go into debt. A request is admitted when the bucket holds the smallest of its tokens, one
// second of the VM's rate and the VM's burst. It is charged in full, and later requests wait until the debt is repaid, so a
// prompt passes that is longer than the VM's part of the burst. A request without tokens does not use the bucket.
//
// Invariant: a VM uses only what is leased to it. The bucket of a new part is empty and a part that grows adds no tokens; a
// part that shrinks or expires loses what the bucket held above it, and keeps a debt. So if the parts of all VMs add up to at
// most the contract, the deployment admits in any time T at most
//
//	rate x T + burst + one largest request (prompt and answer limit) for each VM.
//
// Proof: refills add at most rate x T to the sum of all levels, which is at most the burst, and no level is below minus one
// request, because a request is admitted only at a level of zero or above. Tokens in a new bucket would break this, because
// they would be added again with each move of a part. An unused part is full again after burst / rate seconds, the same on
// each VM as for the whole contract, and admits any request after one second.
//
// Admitted requests run on after an expiry; their VM reports them as running, and the lender leaves it their places.
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
	since   time.Time // when the part was new or its rate doubled
	demand  Demand
}

// Demand is what a customer asked of this VM since the last call of [Limiter.Demands], so that a lender can lease by demand.
type Demand struct {
	Customer      string
	Tokens        int // asked for in all, admitted or not
	Largest       int // largest single request
	RefusedTokens int // refused by the token rate
	Refused       int // requests refused by rate or concurrency
	Places        int // most places that were needed at a time: running requests and those that found no place
	Running       int // requests running now, even those of an expired part
	Debt          int // tokens that the bucket has to repay
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
	if p.TokensPerSecond >= 2*s.part.TokensPerSecond {
		s.since = now // what a request needs has grown faster than the bucket
	}
	s.part = p
	s.bucket.rate = float64(max(0, p.TokensPerSecond))
	s.bucket.burst = float64(max(0, p.Burst))
	s.bucket.add(float64(max(0, p.Tokens)))
}

// Admit charges the request's estimated tokens, or refuses the request with the contract line that limits it. Nothing is
// charged for a refused request. The caller has to call End on the admission.
func (l *Limiter) Admit(now time.Time, c *Contract, promptTokens, maxTokens int) (*Admission, *Refusal) {
	return l.admit(now, c, promptTokens, maxTokens, true)
}

// AdmitAgain is like Admit for a request that Admit has refused and that waited. It is not counted as demand again.
func (l *Limiter) AdmitAgain(now time.Time, c *Contract, promptTokens, maxTokens int) (*Admission, *Refusal) {
	return l.admit(now, c, promptTokens, maxTokens, false)
}

// Starting says whether the customer's requests are refused at now because this VM has no part yet, or has had it or twice its
// former rate for less than a second, in which its bucket begins to fill.
func (l *Limiter) Starting(now time.Time, customer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(customer)
	if l.whole {
		return false
	}
	s.expire(now)
	return s.part.TokensPerSecond == 0 || s.part.Concurrent == 0 || now.Before(s.since.Add(partRetryAfter))
}

// Running returns the number of the customer's requests that run on this VM.
func (l *Limiter) Running(customer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state(customer).running
}

func (l *Limiter) admit(now time.Time, c *Contract, promptTokens, maxTokens int, first bool) (*Admission, *Refusal) {
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
	r := s.check(c, tokens)
	if first {
		s.ask(tokens, r)
	}
	if r != nil {
		return nil, r
	}
	s.bucket.level -= float64(tokens)
	s.running++
	return &Admission{limiter: l, state: s, charged: tokens}, nil
}

// ask counts a request and its refusal, if any, as demand.
func (s *limitState) ask(tokens int, r *Refusal) {
	d := &s.demand
	d.Tokens += tokens
	d.Largest = max(d.Largest, tokens)
	places := s.running + 1
	if r != nil {
		d.Refused++
		if r.Reason() == ReasonTokenRate {
			d.RefusedTokens += tokens
		} else {
			places = max(d.Places, s.running) + 1
		}
	}
	d.Places = max(d.Places, places)
}

// Demands returns what customers asked of this VM since the last call, in the order of their names, and
// starts the counts again.
func (l *Limiter) Demands() []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := make([]Demand, 0, len(l.states))
	for name, s := range l.states {
		d := s.demand
		d.Customer, d.Running, d.Debt = name, s.running, max(0, -int(s.bucket.level))
		d.Places = max(d.Places, s.running)
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
	s.part, s.since = Part{}, time.Time{}
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
	if tokens == 0 {
		return nil
	}
	if s.part.TokensPerSecond == 0 {
		return Refuse(ReasonTokenRate, "no tokens are leased to this VM at present; "+c.Line("tokensPerSecond"), RetryAfter(partRetryAfter))
	}
	if wait := s.bucket.wait(float64(min(tokens, s.part.TokensPerSecond, s.part.Burst))); wait > 0 {
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
