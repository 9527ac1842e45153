package service

import (
	"sync"
	"time"

	"goldcrestpath/customer"
)

// Limits of the exponential backoff for which an instance is skipped after a failure.
const (
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 16 * time.Second
)

// Selector selects the instance of a plain service for each call: the one with the fewest running calls of this VM. An instance
// that fails is skipped for a time that doubles with each further failure. It then gets one call at a time until a call
// succeeds. A Selector is safe for concurrent use and does no I/O.
type Selector struct {
	mu        sync.Mutex
	vmCount   int
	instances map[string]*instance
	rotation  int
}

// instance is the state of one instance of a service.
type instance struct {
	running      int // calls in progress
	failures     int // consecutive failures
	skippedUntil time.Time
}

// Selection is a call that was assigned to the instance Spec. It counts as running until End is called.
type Selection struct {
	Spec     Spec
	selector *Selector
	once     sync.Once
}

// NewSelector returns a selector that treats all instances as available.
func NewSelector() *Selector { return &Selector{vmCount: 1, instances: make(map[string]*instance)} }

// SetVMCount sets how many VMs of the data centre share the instances. Each VM uses an equal share of Spec.MaxConcurrent, but at
// least 1.
func (s *Selector) SetVMCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmCount = max(n, 1)
}

// Select selects one of specs and counts the call as running on it.
func (s *Selector) Select(now time.Time, specs []Spec) (*Selection, *customer.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotation++
	best, available := -1, 0
	var bestRunning int
	var earliestRetry time.Time
	for k := range specs {
		i := (s.rotation + k) % len(specs)
		in := s.instance(specs[i].Name)
		if in.failures > 0 && now.Before(in.skippedUntil) {
			if earliestRetry.IsZero() || in.skippedUntil.Before(earliestRetry) {
				earliestRetry = in.skippedUntil
			}
			continue
		}
		available++
		if in.failures > 0 && in.running > 0 || in.running >= max(specs[i].MaxConcurrent/s.vmCount, 1) {
			continue
		}
		if best < 0 || in.running < bestRunning {
			best, bestRunning = i, in.running
		}
	}
	switch {
	case best >= 0:
		s.instance(specs[best].Name).running++
		return &Selection{Spec: specs[best], selector: s}, nil
	case available > 0:
		return nil, customer.Refuse(customer.ReasonQueueFull, "every instance of the service is at its limit of concurrent calls")
	case !earliestRetry.IsZero():
		return nil, customer.Refuse(customer.ReasonNoEndpoint, "every instance of the service is failing", customer.RetryAfter(earliestRetry.Sub(now)))
	default:
		return nil, customer.Refuse(customer.ReasonNoEndpoint, "the service has no instance")
	}
}

// Running returns the number of this VM's calls that are running on the instance.
func (s *Selector) Running(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in := s.instances[name]; in != nil {
		return in.running
	}
	return 0
}

// instance returns the state of the instance, and creates it if there is none.
func (s *Selector) instance(name string) *instance {
	in := s.instances[name]
	if in == nil {
		in = &instance{}
		s.instances[name] = in
	}
	return in
}

// End ends the call. failed means that the instance itself failed; an error response does not count as a failure. A second
// call does nothing.
func (s *Selection) End(now time.Time, failed bool) {
	s.once.Do(func() {
		s.selector.mu.Lock()
		defer s.selector.mu.Unlock()
		in := s.selector.instance(s.Spec.Name)
		in.running--
		if !failed {
			in.failures = 0
			return
		}
		in.skippedUntil = now.Add(min(initialBackoff<<min(in.failures, 6), maxBackoff))
		in.failures++
	})
}
