package endpoint

import (
	"sync"
	"time"
)

// budgetParts is into how many steps the window of a RetryBudget is divided.
const budgetParts = 10

// budgetMargin is the part of the deployment's bound that its VMs use. The rest covers VMs that join within a window.
const budgetMargin = 0.8

// RetryBudget is one VM's part of the deployment's bound on repeated sends to a service: in any window at most ratio times
// the service's requests plus a fixed number. Each VM uses the ratio of its own requests and an even part of the fixed
// number, so the sum over all VMs keeps the bound without any message. It is safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	ratio    float64
	extra    float64
	step     time.Duration
	vms      int
	services map[string]*budgetWindow
}

type budgetWindow struct {
	start    time.Time // of the newest step
	requests [budgetParts]int
	retries  [budgetParts]int
}

// NewRetryBudget returns a budget for windows of the given length.
func NewRetryBudget(ratio, extra float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, extra: extra, step: window / budgetParts, vms: 1, services: map[string]*budgetWindow{}}
}

// SetVMs sets how many VMs divide the fixed number.
func (b *RetryBudget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(n, 1)
}

// SetBound changes the ratio and the fixed number.
func (b *RetryBudget) SetBound(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.extra = ratio, extra
}

// Request counts a caller's request to the service.
func (b *RetryBudget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, service).requests[0]++
}

// Spend takes one repeated send, or reports that the budget is used up.
func (b *RetryBudget) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, retries := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > budgetMargin*(b.ratio*float64(requests)+b.extra/float64(b.vms)) {
		return false
	}
	w.retries[0]++
	return true
}

func (b *RetryBudget) window(now time.Time, service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{start: now}
		b.services[service] = w
	}
	steps := int(now.Sub(w.start) / b.step)
	if steps <= 0 {
		return w
	}
	w.start = w.start.Add(time.Duration(steps) * b.step)
	for range min(steps, budgetParts) {
		copy(w.requests[1:], w.requests[:budgetParts-1])
		copy(w.retries[1:], w.retries[:budgetParts-1])
		w.requests[0], w.retries[0] = 0, 0
	}
	return w
}
