package engine

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the orderer.
const (
	// defaultLongestLease covers a share lease of 4 s and the drift of two clocks.
	defaultLongestLease = 5 * time.Second
	orderBackoff        = time.Second // after a failed order, doubled for each further one
	maxOrderBackoff     = 32 * time.Second
)

// Fencer gives fencing tokens that count up for each resource.
type Fencer interface {
	Fence(ctx context.Context, resource string) (uint64, error)
}

// WeightStore paces the download of model weights.
type WeightStore interface {
	// Reserve returns the time after which a download may begin.
	Reserve(ctx context.Context, model string, bytes int64) (time.Duration, error)
}

// OrderSender sends an order to an endpoint. Client implements it.
type OrderSender interface {
	Order(ctx context.Context, s Spec, o Order) error
}

var _ OrderSender = (*Client)(nil)

// Need is an order that an endpoint should get.
type Need struct {
	Spec  Spec
	Order Order     // the orderer sets Fence
	Bytes int64     // weights that the endpoint will download, or 0
	Rank  int       // the most needed order has the highest
	Owned time.Time // since when the issuing VM has been the endpoint's owner
}

// OrderPlan decides which order is next. It is pure and not safe for concurrent use.
type OrderPlan struct {
	longestLease time.Duration
	needs        map[needKey]*planned
}

type needKey struct {
	endpoint string
	kind     OrderKind
	adapter  string
}

type planned struct {
	need     Need
	notUntil time.Time
	failures int
}

// NewOrderPlan returns an empty plan. longestLease is the longest time for which an earlier owner may consider itself the
// owner after this one became it.
func NewOrderPlan(longestLease time.Duration) *OrderPlan {
	return &OrderPlan{longestLease: longestLease, needs: make(map[needKey]*planned)}
}

func keyOf(n Need) needKey { return needKey{n.Spec.Name, n.Order.Kind, n.Order.Adapter} }

// Put adds a need. It replaces an earlier one for the same endpoint, kind and adapter. The delay after failures stays
// where the order is the same.
func (p *OrderPlan) Put(n Need) {
	if p.has(n) {
		p.needs[keyOf(n)].need = n
		return
	}
	q := &planned{need: n}
	if !n.Spec.ChecksFence {
		// Only time keeps an earlier owner's order from arriving after this one: its lease, and then its call on the way.
		q.notUntil = n.Owned.Add(p.longestLease + callTimeout)
	}
	p.needs[keyOf(n)] = q
}

// Drop removes all needs of an endpoint.
func (p *OrderPlan) Drop(endpoint string) {
	for k := range p.needs {
		if k.endpoint == endpoint {
			delete(p.needs, k)
		}
	}
}

// Next returns the most needed order that may be issued at now. Where none may, wait says when one may, or is negative.
func (p *OrderPlan) Next(now time.Time) (n Need, wait time.Duration, ok bool) {
	var best *planned
	wait = -1
	for _, q := range p.needs {
		if left := q.notUntil.Sub(now); left > 0 {
			if wait < 0 || left < wait {
				wait = left
			}
		} else if best == nil || compareNeeds(q.need, best.need) < 0 {
			best = q
		}
	}
	if best == nil {
		return Need{}, wait, false
	}
	return best.need, 0, true
}

func compareNeeds(a, b Need) int {
	return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.Spec.Name, b.Spec.Name), cmp.Compare(a.Order.Kind, b.Order.Kind),
		cmp.Compare(a.Order.Adapter, b.Order.Adapter))
}

// has says whether n is still needed in this form.
func (p *OrderPlan) has(n Need) bool {
	q := p.needs[keyOf(n)]
	// A change of rank leaves the order that is being issued as it is.
	return q != nil && q.need.Spec == n.Spec && q.need.Order == n.Order && q.need.Owned.Equal(n.Owned)
}

// Done removes a need that was met. A need that replaced it meanwhile stays.
func (p *OrderPlan) Done(n Need) {
	if p.has(n) {
		delete(p.needs, keyOf(n))
	}
}

// Failed delays a need after a failure.
func (p *OrderPlan) Failed(now time.Time, n Need) {
	if p.has(n) {
		q := p.needs[keyOf(n)]
		q.notUntil = now.Add(min(orderBackoff<<min(q.failures, 5), maxOrderBackoff))
		q.failures++
	}
}

// Orderer issues orders, the most needed first, at the pace that the weight store permits.
type Orderer struct {
	sender OrderSender
	fencer Fencer
	store  WeightStore
	holds  func(endpoint string) bool
	report func(Need, error)
	lease  time.Duration

	mu     sync.Mutex
	plan   *OrderPlan
	tokens map[string]tenure
	wake   chan struct{}
	stop   context.CancelFunc
	done   chan struct{}
}

// tenure is the time of one owner and its fencing token. One token serves the whole tenure: a VM that was replaced as the
// owner without noticing keeps its old one, which is lower than that of the new owner.
type tenure struct {
	since time.Time
	fence uint64
}

// OrdererOption sets an optional property of an Orderer.
type OrdererOption func(*Orderer)

// WithLongestLease sets how long an earlier owner may consider itself the owner.
func WithLongestLease(d time.Duration) OrdererOption { return func(o *Orderer) { o.lease = d } }

// WithHolds sets the check, made immediately before the send, that this VM holds a majority of the endpoint's shares.
func WithHolds(f func(endpoint string) bool) OrdererOption { return func(o *Orderer) { o.holds = f } }

// WithOrderReport sets a function that is told how each order ended. It runs on the orderer's goroutine.
func WithOrderReport(f func(Need, error)) OrdererOption { return func(o *Orderer) { o.report = f } }

// NewOrderer returns an orderer and starts its goroutine.
func NewOrderer(sender OrderSender, fencer Fencer, store WeightStore, opts ...OrdererOption) *Orderer {
	o := &Orderer{
		sender: sender, fencer: fencer, store: store, lease: defaultLongestLease, tokens: make(map[string]tenure),
		holds: func(string) bool { return true }, report: func(Need, error) {},
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.plan = NewOrderPlan(o.lease)
	ctx, stop := context.WithCancel(context.Background())
	o.stop = stop
	go func() {
		defer close(o.done)
		for o.step(ctx) {
		}
	}()
	return o
}

// Put adds needs together, so that the first order is the most needed of them. A need replaces an earlier one for the same
// endpoint, kind and adapter.
func (o *Orderer) Put(needs ...Need) {
	o.mu.Lock()
	for _, n := range needs {
		o.plan.Put(n)
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Drop removes all needs of an endpoint that this VM no longer owns.
func (o *Orderer) Drop(endpoint string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.plan.Drop(endpoint)
	delete(o.tokens, endpoint)
}

// Close stops the orderer and waits for its goroutine.
func (o *Orderer) Close() {
	o.stop()
	<-o.done
}

// step issues one order or waits until one may be issued. It returns false at the end.
func (o *Orderer) step(ctx context.Context) bool {
	o.mu.Lock()
	n, wait, ok := o.plan.Next(time.Now())
	o.mu.Unlock()
	if !ok {
		var due <-chan time.Time
		if wait >= 0 {
			t := time.NewTimer(wait)
			defer t.Stop()
			due = t.C
		}
		select {
		case <-ctx.Done():
			return false
		case <-o.wake:
		case <-due:
		}
		return true
	}
	err := o.issue(ctx, n)
	if ctx.Err() != nil {
		return false
	}
	o.mu.Lock()
	if err == nil {
		o.plan.Done(n)
	} else {
		o.plan.Failed(time.Now(), n)
	}
	o.mu.Unlock()
	o.report(n, err)
	return true
}

// issue sends one order.
func (o *Orderer) issue(ctx context.Context, n Need) error {
	// The token comes first, so that an order without one reserves no download.
	fence, err := o.fence(ctx, n)
	if err != nil {
		return errors.WithMessage(err, "fencing token")
	}
	if n.Bytes > 0 {
		wait, err := o.store.Reserve(ctx, n.Order.Model, n.Bytes)
		if err != nil {
			return errors.WithMessage(err, "weight store")
		}
		if !sleep(ctx, wait) {
			return ctx.Err()
		}
	}
	o.mu.Lock()
	current := o.plan.has(n)
	o.mu.Unlock()
	if !current || !o.holds(n.Spec.Name) {
		return errors.Errorf("%s: the order was withdrawn or this VM lacks a majority of the shares", n.Spec.Name)
	}
	n.Order.Fence = fence
	return o.sender.Order(ctx, n.Spec, n.Order)
}

// fence returns the token of n's tenure.
func (o *Orderer) fence(ctx context.Context, n Need) (uint64, error) {
	o.mu.Lock()
	t, ok := o.tokens[n.Spec.Name]
	o.mu.Unlock()
	if ok && t.since.Equal(n.Owned) {
		return t.fence, nil
	}
	fence, err := o.fencer.Fence(ctx, "endpoint/"+n.Spec.Name)
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	o.tokens[n.Spec.Name] = tenure{since: n.Owned, fence: fence}
	o.mu.Unlock()
	return fence, nil
}
