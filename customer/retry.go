package customer

import (
	"sync"
	"time"
)

// Defaults of the retry budgets.
const (
	// One retry for ten successes keeps the extra load of retries at 10% when an endpoint fails for long.
	defaultRetryRatio = 0.1
	// The floor lets a customer with little traffic retry at all.
	defaultFloorPerSecond = 0.5
	defaultFloorBurst     = 3
	// The whole VM's floor is shared by all customers, so that many small customers together stay bounded.
	defaultVMFloorPerSecond = 5
	defaultVMFloorBurst     = 10
	// Bounds the retries that were saved up in a long quiet time.
	defaultMaxSaved = 100
)

// RetryBudget bounds the retries of each customer and of the whole VM. Over any time, retries are at most the saved balance
// plus the ratio times the successes plus the floor's rate times the time. It is safe for concurrent use.
type RetryBudget struct {
	mu        sync.Mutex
	ratio     float64
	maxSaved  float64
	floor     retryFloor
	vmFloor   retryFloor
	vm        retryBalance
	customers map[string]*retryBalance
}

// retryFloor refills a balance up to burst independently of successes.
type retryFloor struct{ perSecond, burst float64 }

type retryBalance struct {
	level float64
	at    time.Time
}

// BudgetOption changes a parameter of a RetryBudget.
type BudgetOption func(*RetryBudget)

// WithRetryRatio sets how many retries one success earns.
func WithRetryRatio(ratio float64) BudgetOption {
	return func(b *RetryBudget) { b.ratio = max(0, ratio) }
}

// WithRetryFloor sets the retries that each customer has without any success: perSecond, and up to burst at once.
func WithRetryFloor(perSecond, burst float64) BudgetOption {
	return func(b *RetryBudget) { b.floor = retryFloor{perSecond: max(0, perSecond), burst: max(0, burst)} }
}

// WithVMRetryFloor sets the retries that the VM as a whole has without any success.
func WithVMRetryFloor(perSecond, burst float64) BudgetOption {
	return func(b *RetryBudget) { b.vmFloor = retryFloor{perSecond: max(0, perSecond), burst: max(0, burst)} }
}

// WithMaxSavedRetries sets the largest balance that successes can earn.
func WithMaxSavedRetries(n float64) BudgetOption {
	return func(b *RetryBudget) { b.maxSaved = max(0, n) }
}

// NewRetryBudget returns a budget in which the floors are full.
func NewRetryBudget(opts ...BudgetOption) *RetryBudget {
	b := &RetryBudget{
		ratio:     defaultRetryRatio,
		maxSaved:  defaultMaxSaved,
		floor:     retryFloor{perSecond: defaultFloorPerSecond, burst: defaultFloorBurst},
		vmFloor:   retryFloor{perSecond: defaultVMFloorPerSecond, burst: defaultVMFloorBurst},
		customers: map[string]*retryBalance{},
	}
	for _, opt := range opts {
		opt(b)
	}
	b.vm.level = b.vmFloor.burst
	return b
}

// Spend takes one retry from the customer's and the VM's balance, or from neither where one of them is used up.
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

// Earn counts one request that succeeded.
func (b *RetryBudget) Earn(now time.Time, customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.customer(now, customer)
	b.vm.refill(now, b.vmFloor)
	c.level = max(c.level, min(c.level+b.ratio, b.maxSaved))
	b.vm.level = max(b.vm.level, min(b.vm.level+b.ratio, b.maxSaved))
}

func (b *RetryBudget) customer(now time.Time, name string) *retryBalance {
	c, ok := b.customers[name]
	if !ok {
		c = &retryBalance{level: b.floor.burst, at: now}
		b.customers[name] = c
	}
	c.refill(now, b.floor)
	return c
}

func (r *retryBalance) refill(now time.Time, f retryFloor) {
	if r.at.IsZero() {
		r.at = now
	}
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	r.at = now
	r.level = max(r.level, min(r.level+f.perSecond*elapsed.Seconds(), f.burst))
}

// Backoff computes the wait before a retry: full jitter, a random part of an exponentially growing limit.
type Backoff struct {
	base, limit time.Duration
	random      func() float64
}

// NewBackoff returns a backoff whose first limit is base and whose largest is limit. random returns values in [0, 1).
func NewBackoff(base, limit time.Duration, random func() float64) *Backoff {
	return &Backoff{base: base, limit: limit, random: random}
}

// Delay returns the wait before retry number attempt, counted from 0.
func (b *Backoff) Delay(attempt int) time.Duration {
	d := b.base
	for ; attempt > 0 && d < b.limit; attempt-- {
		d *= 2
	}
	return time.Duration(b.random() * float64(min(d, b.limit)))
}
