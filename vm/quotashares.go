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
	// share has to take effect before this VM renews its lease for the second time after the reduction, which is
	// at least 300 ms later, because the owner of the quota then leases the difference to another VM.
	shareSyncInterval = 50 * time.Millisecond
	// demandTimeConstant is the time constant of the exponential decay of past demand.
	demandTimeConstant = 2 * time.Second
	// firstShareTimeout bounds how long the first request of a customer on a VM waits for a share. An available
	// share arrives within 200 ms. After a change of the quota's owner, it takes up to the duration of a share
	// lease plus the new owner's initial wait until shares are leased again.
	firstShareTimeout = 5 * time.Second
	// firstSharePollInterval is the time between admission attempts of a request that waits for a share.
	firstSharePollInterval = 20 * time.Millisecond
)

// quotaShares keeps the limiter's quota shares in line with the leases that the node holds, and reports the
// customers' demand to the node. A quota share is the share of a contract's token rate, burst and concurrency that
// is leased to this VM.
type quotaShares struct {
	limiter *customer.Limiter

	mu           sync.Mutex
	observedAt   time.Time
	demands      map[string]*decayingDemand // by customer
	syncRequests chan struct{}              // capacity 1
}

// decayingDemand is the recent demand of one customer. Past requests count exponentially less.
type decayingDemand struct {
	tokens     float64 // requested tokens, which decay with demandTimeConstant
	concurrent float64 // peak concurrency, which decays likewise
	debt       int     // tokens by which the customer's bucket is below zero
}

func newQuotaShares(l *customer.Limiter) *quotaShares {
	return &quotaShares{limiter: l, demands: make(map[string]*decayingDemand), syncRequests: make(chan struct{}, 1)}
}

// observe adds the demand since the last call to the decayed past demand. It returns the customers that have
// running requests or a debt to repay. These need their share even if they send no further requests.
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
		if d.RunningRequests > 0 || d.Debt > 0 {
			using = append(using, d.Customer)
		}
	}
	return using
}

// demand returns the share of a customer's quota that this VM needs, for entry.WithQuotaDemand. A debt counts as
// demand, because a VM without a token rate could not repay it.
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
	case q.syncRequests <- struct{}{}:
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

// syncShares updates the limiter from the leased shares until Close. Only its goroutine sets shares, so an older
// share never replaces a newer one.
func (v *VM) syncShares() {
	ticker := time.NewTicker(shareSyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-v.shares.syncRequests:
		case <-v.ctx.Done():
			return
		}
		now := time.Now()
		v.shares.apply(now, v.node.QuotaShares())
		for _, name := range v.shares.observe(now) {
			v.node.QuotaShare(name) // keeps the node requesting the share
		}
	}
}

// quotas converts the limits of the contracts to the quotas that the node leases out in shares.
func quotas(contracts map[string]*customer.Contract) map[string]entry.Quota {
	q := make(map[string]entry.Quota, len(contracts))
	for name, c := range contracts {
		l := c.Limits()
		q[name] = entry.Quota{TokensPerSecond: l.TokensPerSecond(), Burst: l.Burst(), Concurrent: l.MaxConcurrent()}
	}
	return q
}

// admit admits a request under its customer's contract. If this VM has no share of the contract yet, the request
// waits for one, but at most for half of timeLimit, to leave time for the prefill. timeLimit is the TTFT target of
// a completion or the time until the deadline of a service call; 0 means no limit.
func (v *VM) admit(ctx context.Context, c *customer.Contract, promptTokens, maxTokens int, timeLimit time.Duration) (*customer.Admission,
	*customer.Refusal) {
	v.node.QuotaShare(c.Name()) // makes the node request a share
	now := time.Now()
	latest := now.Add(firstShareTimeout)
	if timeLimit > 0 {
		latest = now.Add(min(firstShareTimeout, timeLimit/2))
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
