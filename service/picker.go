package service

import (
	"sync"
	"time"

	"goldcrestpath/customer"
)

// Pauses after which a failing instance gets a single call again.
const (
	firstPause   = 250 * time.Millisecond
	longestPause = 16 * time.Second
)

// Picker selects an instance of a plain service for each call: the one with the fewest calls of this VM. An instance that
// fails is skipped for a pause that doubles with each further failure, and then gets one call at a time until one succeeds.
// A Picker is safe for concurrent use and does no I/O.
type Picker struct {
	mu        sync.Mutex
	vms       int
	instances map[string]*instance
	turn      int
}

type instance struct {
	running  int
	failures int // in a row
	skipped  time.Time
}

// Pick is a call that counts against its instance until End.
type Pick struct {
	Spec Spec
	p    *Picker
	once sync.Once
}

// NewPicker returns a picker that counts all instances as live.
func NewPicker() *Picker { return &Picker{vms: 1, instances: make(map[string]*instance)} }

// SetVMs sets how many VMs of the data centre share the instances. Each one uses its part of Spec.Concurrent, and at
// least 1.
func (p *Picker) SetVMs(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = max(n, 1)
}

// Pick selects one of specs and counts the call.
func (p *Picker) Pick(now time.Time, specs []Spec) (*Pick, *customer.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn++
	best, live := -1, 0
	var bestRunning int
	var soonest time.Time
	for k := range specs {
		i := (p.turn + k) % len(specs)
		in := p.instance(specs[i].Name)
		if in.failures > 0 && now.Before(in.skipped) {
			if soonest.IsZero() || in.skipped.Before(soonest) {
				soonest = in.skipped
			}
			continue
		}
		live++
		if in.failures > 0 && in.running > 0 || in.running >= max(specs[i].Concurrent/p.vms, 1) {
			continue
		}
		if best < 0 || in.running < bestRunning {
			best, bestRunning = i, in.running
		}
	}
	switch {
	case best >= 0:
		p.instance(specs[best].Name).running++
		return &Pick{Spec: specs[best], p: p}, nil
	case live > 0:
		return nil, customer.Refuse(customer.ReasonQueueFull, "every instance of the service has as many calls as it may have")
	case !soonest.IsZero():
		return nil, customer.Refuse(customer.ReasonNoEndpoint, "every instance of the service fails", customer.RetryAfter(soonest.Sub(now)))
	default:
		return nil, customer.Refuse(customer.ReasonNoEndpoint, "the service has no instance")
	}
}

// Running returns how many calls of this VM run at an instance.
func (p *Picker) Running(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if in := p.instances[name]; in != nil {
		return in.running
	}
	return 0
}

func (p *Picker) instance(name string) *instance {
	in := p.instances[name]
	if in == nil {
		in = &instance{}
		p.instances[name] = in
	}
	return in
}

// End counts the end of the call. failed means that the instance failed, not that it answered with an error. A second call
// does nothing.
func (k *Pick) End(now time.Time, failed bool) {
	k.once.Do(func() {
		k.p.mu.Lock()
		defer k.p.mu.Unlock()
		in := k.p.instance(k.Spec.Name)
		in.running--
		if !failed {
			in.failures = 0
			return
		}
		in.skipped = now.Add(min(firstPause<<min(in.failures, 6), longestPause))
		in.failures++
	})
}
