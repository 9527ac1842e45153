package customer

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"time"
)

// Retry-After values for refused callers.
const (
	// It is unknown when a running request will end, so this is about the duration of a short request.
	concurrencyRetryAfter = time.Second
	// Leases are renewed every second, so a larger one may be available by then.
	leaseRetryAfter = time.Second
	// Upper limit for Retry-After. A longer wait would be due to a debt, which later corrections of charges may reduce.
	maxRetryAfter = 5 * time.Minute
)

// Lease is the share of a contract's limits that one VM may use until the lease expires.
type Lease struct {
	TokensPerSecond int
	Burst           int
	Concurrent      int
	Tokens          int       // added once to the VM's bucket when the lease is set; the lessor has taken them from its own bucket
	Expires         time.Time // end of the lease; the VM admits nothing from then on
}

// Limiter enforces contracts on one VM. It is safe for concurrent use.
//
// Each VM has a token bucket per customer, whose level may become negative (a debt). A request is admitted if the level is at
// least the smallest of three values: the request's tokens, one second's worth of the VM's rate, and the VM's burst. The
// request is charged in full, and later requests wait until the debt is repaid. A prompt that is longer than the VM's share
// of the burst can therefore still be admitted. A request without tokens does not use the bucket.
//
// Invariant: a VM uses only what is leased to it. The bucket of a new lease is empty, and a lease that grows adds no tokens. A
// lease that shrinks or expires loses the tokens above its new burst, but keeps a debt. So if the leases of all VMs add up to
// at most the contract, the deployment admits within any time T at most
//
//	rate x T + burst + one largest request (prompt and maximum answer) for each VM.
//
// Proof: refills add at most rate x T to the sum of all levels, which is at most the burst. No level is below minus one
// request, because a request is admitted only at a level of zero or above. If new buckets contained tokens, the bound would
// not hold, because each transfer of a lease between VMs would add them again. An unused lease has a full bucket after
// burst / rate seconds, which is the same on each VM as for the whole contract, and admits any request after one second.
//
// Admitted requests continue after their lease has expired. Their VM still reports them as running, and the lessor does not
// lease the concurrency that they use to other VMs.
type Limiter struct {
	wholeContracts bool

	mu     sync.Mutex
	states map[string]*limitState
}

// limitState is one customer's lease and usage on this VM.
type limitState struct {
	lease        Lease
	bucket       bucket
	running      int
	fillingSince time.Time // when the lease began or its rate last at least doubled
	demand       Demand
}

// Demand summarises a customer's requests to this VM since the last call of [Limiter.Demands]. Lessors divide a contract among
// the VMs according to it.
type Demand struct {
	Customer        string
	Tokens          int // tokens of all requests, admitted or not
	LargestRequest  int // tokens of the largest request
	RefusedTokens   int // tokens of requests refused because of the token rate
	RefusedRequests int // requests refused because of the token rate or the concurrency
	PeakConcurrency int // peak of the running requests plus those refused because of the concurrency
	RunningRequests int // requests running now, including those of an expired lease
	Debt            int // amount by which the bucket is below zero, in tokens
}

// LimiterOption sets an optional property of a Limiter.
type LimiterOption func(*Limiter)

// WithoutLeases makes the limiter apply each contract in full on this VM, without leases. It is for deployments with a single
// VM.
func WithoutLeases() LimiterOption {
	return func(l *Limiter) { l.wholeContracts = true }
}

// NewLimiter returns a limiter. Unless WithoutLeases is given, it admits nothing until SetLease is called.
func NewLimiter(opts ...LimiterOption) *Limiter {
	l := &Limiter{states: map[string]*limitState{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetLease replaces this VM's lease of the customer's contract. It has no effect with WithoutLeases.
func (l *Limiter) SetLease(now time.Time, customer string, lease Lease) {
	if l.wholeContracts {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(customer)
	s.expire(now)
	s.bucket.advance(now)
	if lease.TokensPerSecond >= 2*s.lease.TokensPerSecond {
		s.fillingSince = now // requests now require a higher level, which the bucket has yet to reach
	}
	s.lease = lease
	s.bucket.rate = float64(max(0, lease.TokensPerSecond))
	s.bucket.burst = float64(max(0, lease.Burst))
	s.bucket.add(float64(max(0, lease.Tokens)))
}

// Admit charges the request's estimated tokens, or refuses the request and names the contract line that limits it. Nothing is
// charged for a refused request. The caller must call End on the admission.
func (l *Limiter) Admit(now time.Time, c *Contract, promptTokens, maxTokens int) (*Admission, *Refusal) {
	return l.admit(now, c, promptTokens, maxTokens, true)
}

// RetryAdmit is like Admit, for a request that Admit has refused and that has waited since. It does not count the request as
// demand again.
func (l *Limiter) RetryAdmit(now time.Time, c *Contract, promptTokens, maxTokens int) (*Admission, *Refusal) {
	return l.admit(now, c, promptTokens, maxTokens, false)
}

// RampingUp reports whether a refusal at now may be temporary because the customer's lease is missing or recent. This is so if
// the lease covers no token rate or no concurrency. It is also so if less than a second ago the VM got its first lease or one
// with at least twice the previous rate, because the bucket is then still filling.
func (l *Limiter) RampingUp(now time.Time, customer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(customer)
	if l.wholeContracts {
		return false
	}
	s.expire(now)
	return s.lease.TokensPerSecond == 0 || s.lease.Concurrent == 0 || now.Before(s.fillingSince.Add(leaseRetryAfter))
}

// Running returns the number of the customer's requests that are running on this VM.
func (l *Limiter) Running(customer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state(customer).running
}

// admit implements Admit and RetryAdmit. It records the request as demand if countDemand is set.
func (l *Limiter) admit(now time.Time, c *Contract, promptTokens, maxTokens int, countDemand bool) (*Admission, *Refusal) {
	limits := c.Limits()
	tokens := max(0, promptTokens) + max(0, maxTokens)
	if promptTokens > limits.MaxPromptTokens() {
		return nil, Refuse(ReasonPromptTooLong, fmt.Sprintf("the prompt has about %d tokens; %s", promptTokens, c.DescribeSetting("longestPrompt")))
	}
	if tokens > limits.Burst() {
		return nil, Refuse(ReasonPromptTooLong, fmt.Sprintf("prompt and answer limit have about %d tokens together; %s", tokens, c.DescribeSetting("burst")))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(c.Name())
	if l.wholeContracts {
		s.useWholeContract(now, limits)
	} else {
		s.expire(now)
	}
	s.bucket.advance(now)
	r := s.check(c, tokens)
	if countDemand {
		s.recordDemand(tokens, r)
	}
	if r != nil {
		return nil, r
	}
	s.bucket.level -= float64(tokens)
	s.running++
	return &Admission{limiter: l, state: s, charged: tokens}, nil
}

// recordDemand counts a request and its refusal, if any, as demand.
func (s *limitState) recordDemand(tokens int, r *Refusal) {
	d := &s.demand
	d.Tokens += tokens
	d.LargestRequest = max(d.LargestRequest, tokens)
	needed := s.running + 1
	if r != nil {
		d.RefusedRequests++
		if r.Reason() == ReasonTokenRate {
			d.RefusedTokens += tokens
		} else {
			needed = max(d.PeakConcurrency, s.running) + 1
		}
	}
	d.PeakConcurrency = max(d.PeakConcurrency, needed)
}

// Demands returns each customer's demand since the last call, sorted by customer name, and resets the counts.
func (l *Limiter) Demands() []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := make([]Demand, 0, len(l.states))
	for name, s := range l.states {
		d := s.demand
		d.Customer, d.RunningRequests, d.Debt = name, s.running, max(0, -int(s.bucket.level))
		d.PeakConcurrency = max(d.PeakConcurrency, s.running)
		demands = append(demands, d)
		s.demand = Demand{}
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Customer < demands[j].Customer })
	return demands
}

// state returns the customer's state, and creates it if there is none.
func (l *Limiter) state(customer string) *limitState {
	s, ok := l.states[customer]
	if !ok {
		s = &limitState{}
		l.states[customer] = s
	}
	return s
}

// expire removes the lease and the tokens of a state whose lease has expired. A debt stays.
func (s *limitState) expire(now time.Time) {
	if now.Before(s.lease.Expires) {
		return
	}
	s.lease, s.fillingSince = Lease{}, time.Time{}
	s.bucket = bucket{level: min(s.bucket.level, 0), updatedAt: s.bucket.updatedAt}
}

// useWholeContract sets the state's lease to the whole contract. The bucket of a new state is full.
func (s *limitState) useWholeContract(now time.Time, l Limits) {
	if s.bucket.updatedAt.IsZero() {
		s.bucket.level = float64(l.Burst())
	}
	s.lease = Lease{TokensPerSecond: l.TokensPerSecond(), Burst: l.Burst(), Concurrent: l.MaxConcurrent(), Expires: now}
	s.bucket.advance(now)
	s.bucket.rate, s.bucket.burst = float64(l.TokensPerSecond()), float64(l.Burst())
	s.bucket.add(0)
}

// check returns a refusal if the lease does not admit a request with the given number of tokens.
func (s *limitState) check(c *Contract, tokens int) *Refusal {
	if s.lease.Concurrent == 0 && s.lease.TokensPerSecond == 0 && s.lease.Burst == 0 {
		return Refuse(ReasonTokenRate, "no share of the contract is leased to this VM at present; "+c.DescribeSetting("tokensPerSecond"), RetryAfter(leaseRetryAfter))
	}
	if s.running >= s.lease.Concurrent {
		return Refuse(ReasonConcurrency, fmt.Sprintf("%d requests are running, %d may run on this VM; %s",
			s.running, s.lease.Concurrent, c.DescribeSetting("concurrent")), RetryAfter(concurrencyRetryAfter))
	}
	if tokens == 0 {
		return nil
	}
	if s.lease.TokensPerSecond == 0 {
		return Refuse(ReasonTokenRate, "no tokens are leased to this VM at present; "+c.DescribeSetting("tokensPerSecond"), RetryAfter(leaseRetryAfter))
	}
	if wait := s.bucket.wait(float64(min(tokens, s.lease.TokensPerSecond, s.lease.Burst))); wait > 0 {
		return Refuse(ReasonTokenRate, fmt.Sprintf("the request has about %d tokens, %d are available on this VM; %s",
			tokens, max(0, int(s.bucket.level)), c.DescribeSetting("tokensPerSecond")), RetryAfter(wait))
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

// maxCorrection is the maximum ratio of used to charged tokens that End accepts. It is the largest possible error of the token
// estimate.
const maxCorrection = maxBytesPerToken / minBytesPerToken

// End ends the request and corrects its charge to the tokens that were actually used. Usage beyond the charge is taken from
// the bucket and can leave a debt. A second call does nothing.
func (a *Admission) End(now time.Time, usedTokens int) {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	s := a.state
	s.running--
	if !a.limiter.wholeContracts {
		s.expire(now)
	}
	s.bucket.advance(now)
	used := min(float64(max(0, usedTokens)), float64(a.charged)*maxCorrection)
	s.bucket.add(float64(a.charged) - used)
}

// bucket is a token bucket. Its methods take the current time from the caller. A negative level is a debt.
type bucket struct {
	rate, burst float64
	level       float64
	updatedAt   time.Time
}

// advance refills the bucket up to now. A time before the last one has no effect. Such times occur because concurrent callers
// read the clock before they acquire the lock.
func (b *bucket) advance(now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.updatedAt = now
		b.add(b.rate * elapsed.Seconds())
	}
}

// add adds n to the level, up to the burst.
func (b *bucket) add(n float64) { b.level = min(b.level+n, b.burst) }

// wait returns how long it takes until the level reaches n, limited to maxRetryAfter.
func (b *bucket) wait(n float64) time.Duration {
	missing := n - b.level
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return leaseRetryAfter
	}
	return min(time.Duration(math.Ceil(missing/b.rate*float64(time.Second))), maxRetryAfter)
}
