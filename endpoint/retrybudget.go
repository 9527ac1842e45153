package endpoint

import (
	"sync"
	"time"
)

// budgetBuckets is the number of buckets that make up the sliding window of a RetryBudget.
const budgetBuckets = 10

// budgetShare is the share of the deployment's bound that its VMs use. The rest covers VMs that join within a window.
const budgetShare = 0.8

// fixedShare is the share of the fixed number of retries that the VMs use. If all VMs restart, each has forgotten what it used within the
// present window and may use as much again.
const fixedShare = 0.5

// RetryBudget is one VM's share of the deployment's bound on retries to a service. In any window, the VMs together send at most
// ratio times the service's requests plus a fixed number of retries. Each VM applies the ratio to its own requests and takes an
// equal share of the fixed number, so the sum over all VMs stays within the bound without communication. It is safe for
// concurrent use.
type RetryBudget struct {
	mu           sync.Mutex
	ratio        float64 // retries allowed per request
	fixedRetries float64 // fixed number of retries in a window, for the whole deployment
	bucketLength time.Duration
	vms          int // VMs that share fixedRetries, 0 while their number is unknown
	services     map[string]*budgetWindow
}

// budgetWindow counts requests and retries per bucket, newest bucket first.
type budgetWindow struct {
	start    time.Time // of the newest bucket
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

// NewRetryBudget returns a budget for windows of the given length.
func NewRetryBudget(ratio, fixedRetries float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, fixedRetries: fixedRetries, bucketLength: window / budgetBuckets, vms: 1, services: map[string]*budgetWindow{}}
}

// Started records that this VM's process does not know the number of VMs yet. Until SetVMs is called, the VM uses the ratio only.
func (b *RetryBudget) Started() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = 0
}

// SetVMs sets the number of VMs that share the fixed number of retries.
func (b *RetryBudget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(n, 1)
}

// fixedShareLocked returns this VM's share of the fixed number of retries.
func (b *RetryBudget) fixedShareLocked() float64 {
	if b.vms == 0 {
		return 0
	}
	return fixedShare * b.fixedRetries / float64(b.vms)
}

// SetBound sets the ratio and the fixed number of retries.
func (b *RetryBudget) SetBound(ratio, fixedRetries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.fixedRetries = ratio, fixedRetries
}

// CountRequest counts a caller's request to the service.
func (b *RetryBudget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windowLocked(now, service).requests[0]++
}

// TrySpend charges one retry to the budget. It returns false, and charges nothing, if the budget is used up.
func (b *RetryBudget) TrySpend(now time.Time, service string) bool {
	return b.trySpend(now, service, 1)
}

// reservedShare is the share of the budget that is reserved for retries of the most urgent rank.
const reservedShare = 1.0 / 3

// TrySpendUnreserved charges one retry to the part of the budget that is not reserved for the most urgent rank. It returns false, and
// charges nothing, if that part is used up.
func (b *RetryBudget) TrySpendUnreserved(now time.Time, service string) bool {
	return b.trySpend(now, service, 1-reservedShare)
}

// trySpend charges one retry if no more than the given share of the budget is used up then.
func (b *RetryBudget) trySpend(now time.Time, service string, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(now, service)
	requests, retries := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > share*(budgetShare*b.ratio*float64(requests)+b.fixedShareLocked()) {
		return false
	}
	w.retries[0]++
	return true
}

// windowLocked returns the counts of the service after advancing them to the bucket of now.
func (b *RetryBudget) windowLocked(now time.Time, service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{start: now}
		b.services[service] = w
	}
	elapsed := int(now.Sub(w.start) / b.bucketLength)
	if elapsed <= 0 {
		return w
	}
	w.start = w.start.Add(time.Duration(elapsed) * b.bucketLength)
	for range min(elapsed, budgetBuckets) {
		copy(w.requests[1:], w.requests[:budgetBuckets-1])
		copy(w.retries[1:], w.retries[:budgetBuckets-1])
		w.requests[0], w.retries[0] = 0, 0
	}
	return w
}
