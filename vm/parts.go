package vm

import (
	"context"
	"math"
	"sync"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/entry"
)

const (
	// partsInterval is the time between two looks at the leased parts. A smaller part has to be in force before the VM's second
	// next renewal, at least 300 ms later, because its owner then lends the rest to another VM.
	partsInterval = 50 * time.Millisecond
	// demandMemory is the time constant with which past demand fades.
	demandMemory = 2 * time.Second
	// firstPartWait bounds how long a customer's first request on a VM waits for a part. An owner has parts again after a
	// change within its share lease and wait; where a part is free, it arrives within 200 ms.
	firstPartWait = 5 * time.Second
	// firstPartPoll is the time between attempts of a request that waits for a part.
	firstPartPoll = 20 * time.Millisecond
)

// parts keeps the limiter's parts in step with the leases that the node holds, and tells the node what customers need.
type parts struct {
	limiter *customer.Limiter

	mu    sync.Mutex
	at    time.Time
	needs map[string]*need
	wake  chan struct{} // capacity 1
}

// need is a customer's fading demand.
type need struct {
	tokens float64 // asked for, each token fading with demandMemory
	places float64
	debt   int
}

func newParts(l *customer.Limiter) *parts {
	return &parts{limiter: l, needs: make(map[string]*need), wake: make(chan struct{}, 1)}
}

// observe takes over what customers asked for since the last call. It returns the customers whose requests run or who have a
// debt to repay: they use their part even when they send nothing.
func (p *parts) observe(now time.Time) (using []string) {
	demands := p.limiter.Demands()
	p.mu.Lock()
	defer p.mu.Unlock()
	fade := math.Exp(-now.Sub(p.at).Seconds() / demandMemory.Seconds())
	p.at = now
	for _, d := range demands {
		n := p.needs[d.Customer]
		if n == nil {
			n = &need{}
			p.needs[d.Customer] = n
		}
		n.tokens = n.tokens*fade + float64(d.Tokens)
		n.places = max(n.places*fade, float64(d.Places))
		n.debt = d.Debt
		if d.Running > 0 || d.Debt > 0 {
			using = append(using, d.Customer)
		}
	}
	return using
}

// need implements the function of entry.WithDemand. A debt counts as demand: a VM without a rate could not repay it.
func (p *parts) need(name string) entry.Need {
	running := p.limiter.Running(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.needs[name]
	if n == nil {
		return entry.Need{Running: running, Concurrent: running}
	}
	return entry.Need{
		TokensPerSecond: int(math.Ceil((n.tokens + float64(n.debt)) / demandMemory.Seconds())),
		Concurrent:      max(running, int(math.Round(n.places))),
		Running:         running,
	}
}

// hurry makes followParts look for new parts at once.
func (p *parts) hurry() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// take puts leased parts in force.
func (p *parts) take(now time.Time, leased map[string]entry.Part) {
	for name, part := range leased {
		p.limiter.SetPart(now, name, customer.Part{
			TokensPerSecond: part.TokensPerSecond, Burst: part.Burst, Concurrent: part.Concurrent, Expires: part.Expires})
	}
}

// followParts runs until Close. It is the only goroutine that sets parts, so an older part never replaces a newer one.
func (v *VM) followParts() {
	ticker := time.NewTicker(partsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-v.parts.wake:
		case <-v.ctx.Done():
			return
		}
		now := time.Now()
		v.parts.take(now, v.node.Parts())
		for _, name := range v.parts.observe(now) {
			v.node.Part(name) // keeps the VM asking for it
		}
	}
}

// quotas returns the contracts' limits for the node.
func quotas(contracts map[string]*customer.Contract) map[string]entry.Quota {
	q := make(map[string]entry.Quota, len(contracts))
	for name, c := range contracts {
		l := c.Limits()
		q[name] = entry.Quota{TokensPerSecond: l.TokensPerSecond(), Burst: l.Burst(), Concurrent: l.Concurrent()}
	}
	return q
}

// admit admits a request under its customer's contract. A request on a VM without a part of the contract waits for one, but no
// longer than half the limit for its first token, so that time for the prefill is left.
func (v *VM) admit(ctx context.Context, c *customer.Contract, promptTokens, maxTokens int, firstToken time.Duration) (*customer.Admission,
	*customer.Refusal) {
	v.node.Part(c.Name()) // makes the VM ask for a part
	now := time.Now()
	latest := now.Add(firstPartWait)
	if firstToken > 0 {
		latest = now.Add(min(firstPartWait, firstToken/2))
	}
	a, refusal := v.limiter.Admit(now, c, promptTokens, maxTokens)
	for refusal != nil && leased(refusal) && v.limiter.Starting(now, c.Name()) && now.Before(latest) && sleep(ctx, firstPartPoll) {
		v.parts.hurry()
		now = time.Now()
		a, refusal = v.limiter.AdmitAgain(now, c, promptTokens, maxTokens)
	}
	return a, refusal
}

// leased says whether a refusal depends on the part that the VM has.
func leased(r *customer.Refusal) bool {
	return r.Reason() == customer.ReasonTokenRate || r.Reason() == customer.ReasonConcurrency
}
