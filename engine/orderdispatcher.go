package engine

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Delays before orders are sent.
const (
	// defaultLongestLease covers a lease of shares, which lasts 4 s, and the drift between two clocks.
	defaultLongestLease = 5 * time.Second
	orderBackoff        = time.Second // delay after a failed order, doubled for each further failure
	maxOrderBackoff     = 32 * time.Second
)

// FencingTokenIssuer issues fencing tokens. Each token for a resource is higher than the ones issued before.
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
	Order       Order     // without Fence, which the dispatcher sets
	WeightBytes int64     // size of the weights that the endpoint will download, or 0
	Priority    int       // orders with a higher priority are sent first
	OwnedSince  time.Time // when the sending VM became the endpoint's owner
}

// OrderQueue is the set of pending orders and decides which one is next. It does no I/O and is not safe for concurrent use.
type OrderQueue struct {
	longestLease time.Duration
	orders       map[orderKey]*queuedOrder
}

// orderKey identifies a pending order. An endpoint has at most one for each kind and adapter.
type orderKey struct {
	endpoint string
	kind     OrderKind
	adapter  string
}

// queuedOrder is a pending order with its retry state.
type queuedOrder struct {
	order     PendingOrder
	notBefore time.Time
	failures  int
}

// NewOrderQueue returns an empty queue. longestLease is the longest time for which a previous owner of an endpoint may still
// consider itself the owner after the ownership has changed.
func NewOrderQueue(longestLease time.Duration) *OrderQueue {
	return &OrderQueue{longestLease: longestLease, orders: make(map[orderKey]*queuedOrder)}
}

// keyOf returns the key under which n is pending.
func keyOf(n PendingOrder) orderKey { return orderKey{n.Spec.Name, n.Order.Kind, n.Order.Adapter} }

// Put adds an order. It replaces a pending one for the same endpoint, kind and adapter. If the order is unchanged, its delay
// after failures remains in effect.
func (q *OrderQueue) Put(order PendingOrder) {
	if q.contains(order) {
		q.orders[keyOf(order)].order = order
		return
	}
	queued := &queuedOrder{order: order}
	if !order.Spec.ChecksFence {
		// The endpoint does not refuse outdated orders. Wait until no order from the previous owner can arrive any more: its
		// lease has then ended, and any call that it made before has timed out.
		queued.notBefore = order.OwnedSince.Add(q.longestLease + callTimeout)
	}
	q.orders[keyOf(order)] = queued
}

// RemoveEndpoint removes all orders for an endpoint.
func (q *OrderQueue) RemoveEndpoint(endpoint string) {
	for k := range q.orders {
		if k.endpoint == endpoint {
			delete(q.orders, k)
		}
	}
}

// Next returns the order with the highest priority among those that may be sent at now. If there is none, ok is false, and
// wait is the time until one may be sent, or negative if none is pending.
func (q *OrderQueue) Next(now time.Time) (order PendingOrder, wait time.Duration, ok bool) {
	var best *queuedOrder
	wait = -1
	for _, queued := range q.orders {
		if left := queued.notBefore.Sub(now); left > 0 {
			if wait < 0 || left < wait {
				wait = left
			}
		} else if best == nil || comparePendingOrders(queued.order, best.order) < 0 {
			best = queued
		}
	}
	if best == nil {
		return PendingOrder{}, wait, false
	}
	return best.order, 0, true
}

// comparePendingOrders sorts by descending priority. Ties are broken by endpoint name, kind and adapter, so that the result is
// deterministic.
func comparePendingOrders(a, b PendingOrder) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Spec.Name, b.Spec.Name), cmp.Compare(a.Order.Kind, b.Order.Kind),
		cmp.Compare(a.Order.Adapter, b.Order.Adapter))
}

// contains reports whether order is still pending and unchanged except for its priority and size.
func (q *OrderQueue) contains(order PendingOrder) bool {
	queued := q.orders[keyOf(order)]
	// A change of the priority does not invalidate an order that is being sent.
	return queued != nil && queued.order.Spec == order.Spec && queued.order.Order == order.Order && queued.order.OwnedSince.Equal(order.OwnedSince)
}

// MarkDone removes an order that succeeded. An order that has replaced it in the meantime stays.
func (q *OrderQueue) MarkDone(order PendingOrder) {
	if q.contains(order) {
		delete(q.orders, keyOf(order))
	}
}

// MarkFailed delays an order after it failed.
func (q *OrderQueue) MarkFailed(now time.Time, order PendingOrder) {
	if q.contains(order) {
		queued := q.orders[keyOf(order)]
		queued.notBefore = now.Add(min(orderBackoff<<min(queued.failures, 5), maxOrderBackoff))
		queued.failures++
	}
}

// OrderDispatcher sends pending orders one at a time, those with the highest priority first. Orders that download model weights
// wait as long as the weight store requires.
type OrderDispatcher struct {
	sender       OrderSender
	tokenIssuer  FencingTokenIssuer
	store        WeightStore
	hasMajority  func(endpoint string) bool
	onResult     func(PendingOrder, error)
	longestLease time.Duration

	mu         sync.Mutex
	queue      *OrderQueue
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

// OrderDispatcherOption sets an optional property of an OrderDispatcher.
type OrderDispatcherOption func(*OrderDispatcher)

// WithLongestLease sets the longest time for which a previous owner may still consider itself the owner.
func WithLongestLease(d time.Duration) OrderDispatcherOption {
	return func(o *OrderDispatcher) { o.longestLease = d }
}

// WithMajorityCheck sets the function that reports whether this VM holds a majority of the endpoint's shares. It is called
// immediately before each order is sent.
func WithMajorityCheck(f func(endpoint string) bool) OrderDispatcherOption {
	return func(o *OrderDispatcher) { o.hasMajority = f }
}

// WithOrderCallback sets a function that receives the result of each order. It is called on the dispatcher's goroutine.
func WithOrderCallback(f func(PendingOrder, error)) OrderDispatcherOption {
	return func(o *OrderDispatcher) { o.onResult = f }
}

// NewOrderDispatcher returns a dispatcher and starts its goroutine.
func NewOrderDispatcher(sender OrderSender, tokenIssuer FencingTokenIssuer, store WeightStore, opts ...OrderDispatcherOption) *OrderDispatcher {
	o := &OrderDispatcher{
		sender: sender, tokenIssuer: tokenIssuer, store: store, longestLease: defaultLongestLease, ownerships: make(map[string]ownership),
		hasMajority: func(string) bool { return true }, onResult: func(PendingOrder, error) {},
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.queue = NewOrderQueue(o.longestLease)
	ctx, stop := context.WithCancel(context.Background())
	o.stop = stop
	go func() {
		defer close(o.done)
		for o.runNext(ctx) {
		}
	}()
	return o
}

// Put adds all orders at once, so that the one with the highest priority is sent first. Each order replaces a pending one for
// the same endpoint, kind and adapter.
func (o *OrderDispatcher) Put(orders ...PendingOrder) {
	o.mu.Lock()
	for _, order := range orders {
		o.queue.Put(order)
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// RemoveEndpoint removes all orders for an endpoint. It is called when this VM no longer owns the endpoint.
func (o *OrderDispatcher) RemoveEndpoint(endpoint string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queue.RemoveEndpoint(endpoint)
	delete(o.ownerships, endpoint)
}

// Close stops the dispatcher and waits for its goroutine.
func (o *OrderDispatcher) Close() {
	o.stop()
	<-o.done
}

// runNext sends one order, or waits until one may be sent or the queue changes. It returns false after ctx has ended.
func (o *OrderDispatcher) runNext(ctx context.Context) bool {
	o.mu.Lock()
	order, wait, ok := o.queue.Next(time.Now())
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
	err := o.dispatch(ctx, order)
	if ctx.Err() != nil {
		return false
	}
	o.mu.Lock()
	if err == nil {
		o.queue.MarkDone(order)
	} else {
		o.queue.MarkFailed(time.Now(), order)
	}
	o.mu.Unlock()
	o.onResult(order, err)
	return true
}

// dispatch gets a fencing token, waits for the weight store if the order downloads weights, and sends the order.
func (o *OrderDispatcher) dispatch(ctx context.Context, order PendingOrder) error {
	// Get the token before the reservation, so that no download is reserved if there is no token.
	fence, err := o.fencingToken(ctx, order)
	if err != nil {
		return errors.WithMessage(err, "fencing token")
	}
	if order.WeightBytes > 0 {
		wait, err := o.store.Reserve(ctx, order.Order.Model, order.WeightBytes)
		if err != nil {
			return errors.WithMessage(err, "weight store")
		}
		if !sleep(ctx, wait) {
			return ctx.Err()
		}
	}
	o.mu.Lock()
	current := o.queue.contains(order)
	o.mu.Unlock()
	if !current || !o.hasMajority(order.Spec.Name) {
		return errors.Errorf("%s: the order was withdrawn or this VM does not hold a majority of the shares", order.Spec.Name)
	}
	order.Order.Fence = fence
	return o.sender.Order(ctx, order.Spec, order.Order)
}

// fencingToken returns the fencing token for the ownership under which order is sent.
func (o *OrderDispatcher) fencingToken(ctx context.Context, order PendingOrder) (uint64, error) {
	o.mu.Lock()
	own, ok := o.ownerships[order.Spec.Name]
	o.mu.Unlock()
	if ok && own.since.Equal(order.OwnedSince) {
		return own.fence, nil
	}
	fence, err := o.tokenIssuer.IssueFencingToken(ctx, "endpoint/"+order.Spec.Name)
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	o.ownerships[order.Spec.Name] = ownership{since: order.OwnedSince, fence: fence}
	o.mu.Unlock()
	return fence, nil
}
