package customer

import (
	"sync"
	"time"
)

// Defaults of the retry budgets.
const (
	// One retry per ten successes limits the extra load of retries to 10% while an endpoint keeps failing.
	defaultRetryRatio = 0.1
	// Without the floor, a customer with little traffic could hardly ever retry.
	defaultFloorPerSecond = 0.5
	defaultFloorBurst     = 3
	// All customers share the floor of the VM, so that many small customers together cannot cause many retries.
	defaultVMFloorPerSecond = 5
	defaultVMFloorBurst     = 10
	// Limits the retries that can accumulate during a long period without failures.
	defaultMaxBalance = 100
)

// RetryBudget limits the retries of each customer and of the whole VM. Within any period, the number of retries is at most the
// balance at its start, plus the ratio times the successes, plus the floor's rate times the length of the period. It is safe
// for concurrent use.
type RetryBudget struct {
	mu         sync.Mutex
	ratio      float64
	maxBalance float64
	floor      retryFloor
	vmFloor    retryFloor
	vm         retryBalance
	customers  map[string]*retryBalance
}

// retryFloor refills a balance at a fixed rate up to burst, independently of successes.
type retryFloor struct{ perSecond, burst float64 }

// retryBalance is the number of retries that may be spent now.
type retryBalance struct {
	level     float64
	updatedAt time.Time
}

// RetryBudgetOption sets an optional property of a RetryBudget.
type RetryBudgetOption func(*RetryBudget)

// WithRetryRatio sets how many retries one success earns.
func WithRetryRatio(ratio float64) RetryBudgetOption {
	return func(b *RetryBudget) { b.ratio = max(0, ratio) }
}

// WithRetryFloor sets the retries that each customer gets without any successes: perSecond on average and up to burst at once.
func WithRetryFloor(perSecond, burst float64) RetryBudgetOption {
	return func(b *RetryBudget) { b.floor = retryFloor{perSecond: max(0, perSecond), burst: max(0, burst)} }
}

// WithVMRetryFloor sets the retries that the VM as a whole gets without any successes.
func WithVMRetryFloor(perSecond, burst float64) RetryBudgetOption {
	return func(b *RetryBudget) { b.vmFloor = retryFloor{perSecond: max(0, perSecond), burst: max(0, burst)} }
}

// WithMaxRetryBalance sets the maximum balance that can be earned by successes.
func WithMaxRetryBalance(n float64) RetryBudgetOption {
	return func(b *RetryBudget) { b.maxBalance = max(0, n) }
}

// NewRetryBudget returns a budget whose balances start at the burst of their floor.
func NewRetryBudget(opts ...RetryBudgetOption) *RetryBudget {
	b := &RetryBudget{
		ratio:      defaultRetryRatio,
		maxBalance: defaultMaxBalance,
		floor:      retryFloor{perSecond: defaultFloorPerSecond, burst: defaultFloorBurst},
		vmFloor:    retryFloor{perSecond: defaultVMFloorPerSecond, burst: defaultVMFloorBurst},
		customers:  map[string]*retryBalance{},
	}
	for _, opt := range opts {
		opt(b)
	}
	b.vm.level = b.vmFloor.burst
	return b
}

// Spend takes one retry from both the customer's and the VM's balance. It returns false and takes nothing if either is used up.
func (b *RetryBudget) Spend(now time.Time, customer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.customer(now, customer)
	b.vm.refill(now, b.vmFloor)
	if c.level < 1 || b.vm.level < 1 {
		return false
	}
	c.level--
	b.vm.level--
	return true
}

// Earn credits both balances for one successful request.
func (b *RetryBudget) Earn(now time.Time, customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.customer(now, customer)
	b.vm.refill(now, b.vmFloor)
	c.level = max(c.level, min(c.level+b.ratio, b.maxBalance))
	b.vm.level = max(b.vm.level, min(b.vm.level+b.ratio, b.maxBalance))
}

// customer returns the customer's balance, refilled up to now.
func (b *RetryBudget) customer(now time.Time, name string) *retryBalance {
	c, ok := b.customers[name]
	if !ok {
		c = &retryBalance{level: b.floor.burst, updatedAt: now}
		b.customers[name] = c
	}
	c.refill(now, b.floor)
	return c
}

// refill adds the floor's retries since the last refill, up to the floor's burst. It does not lower a balance above the burst.
func (r *retryBalance) refill(now time.Time, f retryFloor) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	elapsed := now.Sub(r.updatedAt)
	if elapsed <= 0 {
		return
	}
	r.updatedAt = now
	r.level = max(r.level, min(r.level+f.perSecond*elapsed.Seconds(), f.burst))
}

// Backoff computes the delay before a retry, with exponential backoff and full jitter: the delay is a random fraction of an
// exponentially growing limit.
type Backoff struct {
	base, limit time.Duration
	random      func() float64
}

// NewBackoff returns a backoff whose limit starts at base and grows up to limit. random returns values in [0, 1).
func NewBackoff(base, limit time.Duration, random func() float64) *Backoff {
	return &Backoff{base: base, limit: limit, random: random}
}

// Delay returns the delay before a retry. The first retry has attempt 0.
func (b *Backoff) Delay(attempt int) time.Duration {
	d := b.base
	for ; attempt > 0 && d < b.limit; attempt-- {
		d *= 2
	}
	return time.Duration(b.random() * float64(min(d, b.limit)))
}
