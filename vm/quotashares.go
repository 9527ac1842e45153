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
	// shareSyncInterval is the time between two updates of the limiter from the leased quota shares. A reduced
	// share has to be in force before the second next renewal of this VM, which is at least 300 ms away,
	// because the owner of the quota then leases the difference to another VM.
	shareSyncInterval = 50 * time.Millisecond
	// demandTimeConstant is the time constant of the exponential decay of past demand.
	demandTimeConstant = 2 * time.Second
	// firstShareTimeout bounds how long the first request of a customer on a VM waits for a share. After a
	// change of the quota's owner, the new owner can lease shares again within the duration of a share lease
	// and its initial wait. An available share arrives within 200 ms.
	firstShareTimeout = 5 * time.Second
	// firstSharePollInterval is the time between admission attempts of a request that waits for a share.
	firstSharePollInterval = 20 * time.Millisecond
)

// quotaShares keeps the limiter's quota shares in line with the leases that the node holds, and reports the
// customers' demand to the node. A quota share is the part of a customer's contract that is leased to this VM.
type quotaShares struct {
	limiter *customer.Limiter

	mu         sync.Mutex
	observedAt time.Time
	demands    map[string]*decayingDemand
	wake       chan struct{} // capacity 1
}

// decayingDemand is the demand of one customer, which decays exponentially.
type decayingDemand struct {
	tokens     float64 // requested tokens, which decay with demandTimeConstant
	concurrent float64
	debt       int
}

func newQuotaShares(l *customer.Limiter) *quotaShares {
	return &quotaShares{limiter: l, demands: make(map[string]*decayingDemand), wake: make(chan struct{}, 1)}
}

// observe adds the demand since the last call to the decayed past demand. It returns the customers that have
// running requests or a debt to repay, since these use their share even if they send no further requests.
func (q *quotaShares) observe(now time.Time) (using []string) {
	demands := q.limiter.Demands()
	q.mu.Lock()
	defer q.mu.Unlock()
	decay := math.Exp(-now.Sub(q.observedAt).Seconds() / demandTimeConstant.Seconds())
	q.observedAt = now
	for _, d := range demands {
		past := q.demands[d.Customer]
		if past == nil {
			past = &decayingDemand{}
			q.demands[d.Customer] = past
		}
		past.tokens = past.tokens*decay + float64(d.Tokens)
		past.concurrent = max(past.concurrent*decay, float64(d.PeakConcurrency))
		past.debt = d.Debt
		if d.Running > 0 || d.Debt > 0 {
			using = append(using, d.Customer)
		}
	}
	return using
}

// demand returns what this VM's requests of a customer need, for entry.WithQuotaDemand. A debt counts as demand,
// because a VM without a token rate could not repay it.
func (q *quotaShares) demand(name string) entry.QuotaDemand {
	running := q.limiter.Running(name)
	q.mu.Lock()
	defer q.mu.Unlock()
	past := q.demands[name]
	if past == nil {
		return entry.QuotaDemand{Running: running, Concurrent: running}
	}
	return entry.QuotaDemand{
		TokensPerSecond: int(math.Ceil((past.tokens + float64(past.debt)) / demandTimeConstant.Seconds())),
		Concurrent:      max(running, int(math.Round(past.concurrent))),
		Running:         running,
	}
}

// requestSync makes syncShares update the shares immediately.
func (q *quotaShares) requestSync() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// apply sets the leased shares in the limiter.
func (q *quotaShares) apply(now time.Time, shares map[string]entry.QuotaShare) {
	for name, share := range shares {
		q.limiter.SetLease(now, name, customer.Lease{
			TokensPerSecond: share.TokensPerSecond, Burst: share.Burst, Concurrent: share.Concurrent, Expires: share.Expires})
	}
}

// syncShares updates the limiter from the leased shares until Close. It is the only goroutine that sets shares,
// so an older share never replaces a newer one.
func (v *VM) syncShares() {
	ticker := time.NewTicker(shareSyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-v.shares.wake:
		case <-v.ctx.Done():
			return
		}
		now := time.Now()
		v.shares.apply(now, v.node.QuotaShares())
		for _, name := range v.shares.observe(now) {
			v.node.QuotaShare(name) // keeps requesting the share
		}
	}
}

// quotas returns the limits of the contracts for the node.
func quotas(contracts map[string]*customer.Contract) map[string]entry.Quota {
	q := make(map[string]entry.Quota, len(contracts))
	for name, c := range contracts {
		l := c.Limits()
		q[name] = entry.Quota{TokensPerSecond: l.TokensPerSecond(), Burst: l.Burst(), Concurrent: l.Concurrent()}
	}
	return q
}

// admit admits a request under its customer's contract. If this VM has no share of the contract yet, the
// request waits for one, but at most for half its TTFT target, to leave time for the prefill.
func (v *VM) admit(ctx context.Context, c *customer.Contract, promptTokens, maxTokens int, firstToken time.Duration) (*customer.Admission,
	*customer.Refusal) {
	v.node.QuotaShare(c.Name()) // starts requesting a share
	now := time.Now()
	latest := now.Add(firstShareTimeout)
	if firstToken > 0 {
		latest = now.Add(min(firstShareTimeout, firstToken/2))
	}
	a, refusal := v.limiter.Admit(now, c, promptTokens, maxTokens)
	for refusal != nil && limitedByShare(refusal) && v.limiter.RampingUp(now, c.Name()) && now.Before(latest) && sleep(ctx, firstSharePollInterval) {
		v.shares.requestSync()
		now = time.Now()
		a, refusal = v.limiter.RetryAdmit(now, c, promptTokens, maxTokens)
	}
	return a, refusal
}

// limitedByShare reports whether the refusal depends on the size of this VM's share.
func limitedByShare(r *customer.Refusal) bool {
	return r.Reason() == customer.ReasonTokenRate || r.Reason() == customer.ReasonConcurrency
}
