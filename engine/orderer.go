package engine

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits of the orderer.
const (
	// defaultLongestLease covers a share lease of 4 s and the drift between two clocks.
	defaultLongestLease = 5 * time.Second
	orderBackoff        = time.Second // delay after a failed order, doubled for each further failure
	maxOrderBackoff     = 32 * time.Second
)

// FencingTokenIssuer issues fencing tokens that increase for each resource.
type FencingTokenIssuer interface {
	IssueFencingToken(ctx context.Context, resource string) (uint64, error)
}

// WeightStore limits the rate at which model weights are downloaded.
type WeightStore interface {
	// Reserve reserves a download and returns how long to wait before it may begin.
	Reserve(ctx context.Context, model string, bytes int64) (time.Duration, error)
}

// OrderSender sends orders to endpoints. Client implements it.
type OrderSender interface {
	Order(ctx context.Context, s Spec, o Order) error
}

var _ OrderSender = (*Client)(nil)

// PendingOrder is an order that has to be sent to an endpoint.
type PendingOrder struct {
	Spec        Spec
	Order       Order     // without Fence, which the orderer sets
	WeightBytes int64     // size of the weights that the endpoint will download, or 0
	Priority    int       // priority; orders with a higher one are sent first
	OwnedSince  time.Time // when the sending VM became the endpoint's owner
}

// OrderQueue is the set of pending orders and decides which one is next. It does no I/O and is not safe for concurrent use.
type OrderQueue struct {
	longestLease time.Duration
	pending      map[pendingKey]*pendingOrder
}

// pendingKey identifies a pending order. An endpoint has at most one for each kind and adapter.
type pendingKey struct {
	endpoint string
	kind     OrderKind
	adapter  string
}

// pendingOrder is an order that has not succeeded yet.
type pendingOrder struct {
	pending   PendingOrder
	notBefore time.Time
	failures  int
}

// NewOrderQueue returns an empty plan. longestLease is the longest time for which a previous owner of an endpoint may still
// consider itself the owner after a new one took over.
func NewOrderQueue(longestLease time.Duration) *OrderQueue {
	return &OrderQueue{longestLease: longestLease, pending: make(map[pendingKey]*pendingOrder)}
}

// keyOf returns the key under which n is pending.
func keyOf(n PendingOrder) pendingKey { return pendingKey{n.Spec.Name, n.Order.Kind, n.Order.Adapter} }

// Put adds a need. It replaces a pending one for the same endpoint, kind and adapter. If the order is unchanged, its delay
// after failures remains in effect.
func (p *OrderQueue) Put(n PendingOrder) {
	if p.contains(n) {
		p.pending[keyOf(n)].pending = n
		return
	}
	q := &pendingOrder{pending: n}
	if !n.Spec.ChecksFence {
		// The endpoint does not reject outdated orders, so wait until none from the previous owner can still arrive: until its
		// lease has ended and a call that it made before then has timed out.
		q.notBefore = n.OwnedSince.Add(p.longestLease + callTimeout)
	}
	p.pending[keyOf(n)] = q
}

// Drop removes all needs of an endpoint.
func (p *OrderQueue) Drop(endpoint string) {
	for k := range p.pending {
		if k.endpoint == endpoint {
			delete(p.pending, k)
		}
	}
}

// Next returns the need with the highest rank whose order may be sent at now. If there is none, ok is false, and wait is the
// time until one may be sent, or negative if none is pending.
func (p *OrderQueue) Next(now time.Time) (n PendingOrder, wait time.Duration, ok bool) {
	var best *pendingOrder
	wait = -1
	for _, q := range p.pending {
		if left := q.notBefore.Sub(now); left > 0 {
			if wait < 0 || left < wait {
				wait = left
			}
		} else if best == nil || comparePendingOrders(q.pending, best.pending) < 0 {
			best = q
		}
	}
	if best == nil {
		return PendingOrder{}, wait, false
	}
	return best.pending, 0, true
}

// comparePendingOrders orders needs by descending rank. Ties are broken by name, kind and adapter, so that the order is deterministic.
func comparePendingOrders(a, b PendingOrder) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Spec.Name, b.Spec.Name), cmp.Compare(a.Order.Kind, b.Order.Kind),
		cmp.Compare(a.Order.Adapter, b.Order.Adapter))
}

// contains reports whether n is still pending and unchanged except for its rank and size.
func (p *OrderQueue) contains(n PendingOrder) bool {
	q := p.pending[keyOf(n)]
	// A change of rank does not invalidate an order that is being sent.
	return q != nil && q.pending.Spec == n.Spec && q.pending.Order == n.Order && q.pending.OwnedSince.Equal(n.OwnedSince)
}

// MarkDone removes a need whose order succeeded. A need that has replaced it in the meantime stays.
func (p *OrderQueue) MarkDone(n PendingOrder) {
	if p.contains(n) {
		delete(p.pending, keyOf(n))
	}
}

// MarkFailed delays a need after its order failed.
func (p *OrderQueue) MarkFailed(now time.Time, n PendingOrder) {
	if p.contains(n) {
		q := p.pending[keyOf(n)]
		q.notBefore = now.Add(min(orderBackoff<<min(q.failures, 5), maxOrderBackoff))
		q.failures++
	}
}

// OrderDispatcher sends pending orders one at a time, those with the highest rank first, at the rate that the weight store permits.
type OrderDispatcher struct {
	sender       OrderSender
	tokenIssuer  FencingTokenIssuer
	store        WeightStore
	hasMajority  func(endpoint string) bool
	report       func(PendingOrder, error)
	longestLease time.Duration

	mu         sync.Mutex
	plan       *OrderQueue
	ownerships map[string]ownership
	wake       chan struct{}
	stop       context.CancelFunc
	done       chan struct{}
}

// ownership is the start of an uninterrupted ownership of an endpoint and its fencing token. One token is used for the whole
// ownership. A VM that has lost the ownership without noticing therefore keeps using its old token, which is lower than the
// new owner's.
type ownership struct {
	since time.Time
	fence uint64
}

// OrderDispatcherOption sets an optional property of an Orderer.
type OrderDispatcherOption func(*OrderDispatcher)

// WithLongestLease sets the longest time for which a previous owner may still consider itself the owner.
func WithLongestLease(d time.Duration) OrderDispatcherOption {
	return func(o *OrderDispatcher) { o.longestLease = d }
}

// WithMajorityCheck sets the function that reports whether this VM holds a majority of the endpoint's shares. It is called immediately
// before each order is sent.
func WithMajorityCheck(f func(endpoint string) bool) OrderDispatcherOption {
	return func(o *OrderDispatcher) { o.hasMajority = f }
}

// WithOrderCallback sets a function that receives the result of each order. It is called on the orderer's goroutine.
func WithOrderCallback(f func(PendingOrder, error)) OrderDispatcherOption {
	return func(o *OrderDispatcher) { o.report = f }
}

// NewOrderDispatcher returns an orderer and starts its goroutine.
func NewOrderDispatcher(sender OrderSender, tokenIssuer FencingTokenIssuer, store WeightStore, opts ...OrderDispatcherOption) *OrderDispatcher {
	o := &OrderDispatcher{
		sender: sender, tokenIssuer: tokenIssuer, store: store, longestLease: defaultLongestLease, ownerships: make(map[string]ownership),
		hasMajority: func(string) bool { return true }, report: func(PendingOrder, error) {},
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.plan = NewOrderQueue(o.longestLease)
	ctx, stop := context.WithCancel(context.Background())
	o.stop = stop
	go func() {
		defer close(o.done)
		for o.runNext(ctx) {
		}
	}()
	return o
}

// Put adds all needs at once, so that the one with the highest rank is sent first. Each need replaces a pending one for the
// same endpoint, kind and adapter.
func (o *OrderDispatcher) Put(orders ...PendingOrder) {
	o.mu.Lock()
	for _, n := range orders {
		o.plan.Put(n)
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Drop removes all needs of an endpoint. It is called when this VM no longer owns the endpoint.
func (o *OrderDispatcher) Drop(endpoint string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.plan.Drop(endpoint)
	delete(o.ownerships, endpoint)
}

// Close stops the orderer and waits for its goroutine.
func (o *OrderDispatcher) Close() {
	o.stop()
	<-o.done
}

// runNext sends one order, or waits until one may be sent or the plan changes. It returns false after ctx has ended.
func (o *OrderDispatcher) runNext(ctx context.Context) bool {
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
		o.plan.MarkDone(n)
	} else {
		o.plan.MarkFailed(time.Now(), n)
	}
	o.mu.Unlock()
	o.report(n, err)
	return true
}

// issue gets a fencing token, waits for the weight store if the order downloads weights, and sends the order.
func (o *OrderDispatcher) issue(ctx context.Context, n PendingOrder) error {
	// Get the token first, so that no download is reserved if that fails.
	fence, err := o.fence(ctx, n)
	if err != nil {
		return errors.WithMessage(err, "fencing token")
	}
	if n.WeightBytes > 0 {
		wait, err := o.store.Reserve(ctx, n.Order.Model, n.WeightBytes)
		if err != nil {
			return errors.WithMessage(err, "weight store")
		}
		if !sleep(ctx, wait) {
			return ctx.Err()
		}
	}
	o.mu.Lock()
	current := o.plan.contains(n)
	o.mu.Unlock()
	if !current || !o.hasMajority(n.Spec.Name) {
		return errors.Errorf("%s: the order was withdrawn or this VM does not hold a majority of the shares", n.Spec.Name)
	}
	n.Order.Fence = fence
	return o.sender.Order(ctx, n.Spec, n.Order)
}

// fence returns the fencing token for the ownership under which n is sent.
func (o *OrderDispatcher) fence(ctx context.Context, n PendingOrder) (uint64, error) {
	o.mu.Lock()
	t, ok := o.ownerships[n.Spec.Name]
	o.mu.Unlock()
	if ok && t.since.Equal(n.OwnedSince) {
		return t.fence, nil
	}
	fence, err := o.tokenIssuer.IssueFencingToken(ctx, "endpoint/"+n.Spec.Name)
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	o.ownerships[n.Spec.Name] = ownership{since: n.OwnedSince, fence: fence}
	o.mu.Unlock()
	return fence, nil
}
