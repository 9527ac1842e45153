package vm

import (
	"context"
	"slices"
	"sync"
	"time"

	"goldcrestpath/engine"
)

const (
	reconcileInterval = 500 * time.Millisecond // between comparisons of reports with the configuration
	reportMaxAge      = 3 * time.Second        // an older report does not show what an engine serves now
	// orderEffectTimeout bounds how long an accepted order may take until the engine's report shows its effect.
	// After that, or once the engine has restarted, the order is sent again.
	orderEffectTimeout = 10 * time.Minute
)

// orders issues orders to the engines that this VM owns, so that they serve what the fleet document specifies.
// It implements entry.Endpoints by wrapping the engine client, so that it also sees the reports that the node
// requests from owned engines.
type orders struct {
	*engine.Client
	v          *VM
	dispatcher *engine.OrderDispatcher
	planned    map[string]plannedOrders // by endpoint name

	mu       sync.Mutex
	reports  map[string]timedReport // by endpoint name
	accepted map[orderKey]acceptedOrder
}

// plannedOrders is the list of orders that were passed to the dispatcher for one engine, with the engine's spec and
// the start of this VM's ownership at that time.
type plannedOrders struct {
	spec       engine.Spec
	ownedSince time.Time
	orders     []engine.Order
}

// timedReport is the last report of an engine and when it was requested.
type timedReport struct {
	report      engine.Report
	requestedAt time.Time
}

type orderKey struct {
	endpoint string
	order    engine.Order
}

// acceptedOrder records when an order was accepted and by which instance of the engine. An engine has a new
// instance after each restart.
type acceptedOrder struct {
	instance uint64
	at       time.Time
}

func newOrders(v *VM) *orders {
	return &orders{Client: v.engines, v: v, planned: map[string]plannedOrders{}, reports: map[string]timedReport{}, accepted: map[orderKey]acceptedOrder{}}
}

// Report implements entry.Endpoints.
func (o *orders) Report(ctx context.Context, s engine.Spec) (engine.Report, error) {
	requestedAt := time.Now()
	r, err := o.Client.Report(ctx, s)
	if err == nil {
		o.mu.Lock()
		o.reports[s.Name] = timedReport{r, requestedAt}
		o.mu.Unlock()
	}
	return r, err
}

// run issues orders until the VM is closed.
func (o *orders) run(ctx context.Context) {
	o.dispatcher = engine.NewOrderDispatcher(o.v.engines, o.v.store, o.v.weights, engine.WithMajorityCheck(o.isOwner), engine.WithOrderCallback(o.recordResult))
	defer o.dispatcher.Close()
	for sleep(ctx, reconcileInterval) {
		o.reconcile(time.Now())
	}
}

// isOwner reports whether this VM still owns the endpoint, that is, holds the majority of its shares. The
// dispatcher calls it immediately before it sends an order.
func (o *orders) isOwner(endpoint string) bool {
	_, ok := o.v.node.MajoritySince()[endpoint]
	return ok
}

// recordResult counts the result of sending an order and records it if the engine accepted it.
func (o *orders) recordResult(pending engine.PendingOrder, err error) {
	if err != nil {
		o.v.counters.add("orders.failed")
		o.v.logger.WithError(err).Warnf("vm: order %s to %s not accepted yet", pending.Order.Kind, pending.Spec.Name)
		return
	}
	o.v.counters.add("orders.accepted")
	o.v.logger.Infof("vm: %s accepted order %s", pending.Spec.Name, pending.Order.Kind)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted[orderKey{pending.Spec.Name, pending.Order}] = acceptedOrder{o.reports[pending.Spec.Name].report.Instance, time.Now()}
}

// reconcile compares the latest reports of the owned engines with the configuration and plans the orders that
// they need.
func (o *orders) reconcile(now time.Time) {
	majoritySince := o.v.node.MajoritySince()
	var pending []engine.PendingOrder
	ownedEngines := make(map[string]bool)
	for _, specs := range o.v.view().engines {
		for _, s := range specs {
			ownedSince, ok := majoritySince[s.Name]
			if !ok {
				continue
			}
			ownedEngines[s.Name] = true
			plan := plannedOrders{spec: s, ownedSince: ownedSince, orders: o.missingOrders(now, s)}
			old := o.planned[s.Name]
			if old.spec == plan.spec && old.ownedSince.Equal(ownedSince) && slices.Equal(old.orders, plan.orders) {
				continue
			}
			o.dropPlan(s.Name)
			if len(plan.orders) == 0 {
				continue
			}
			o.planned[s.Name] = plan
			for _, order := range plan.orders {
				pending = append(pending, o.newPendingOrder(plan, order))
			}
		}
	}
	for name := range o.planned {
		if !ownedEngines[name] {
			o.dropPlan(name)
		}
	}
	if len(pending) > 0 {
		o.dispatcher.Put(pending...)
	}
}

// dropPlan withdraws the orders for an endpoint from the dispatcher.
func (o *orders) dropPlan(endpoint string) {
	if _, ok := o.planned[endpoint]; ok {
		delete(o.planned, endpoint)
		o.dispatcher.RemoveEndpoint(endpoint)
	}
}

// newPendingOrder returns an order for the dispatcher. Orders for the model with the least free capacity in this
// data centre have the highest priority.
func (o *orders) newPendingOrder(plan plannedOrders, order engine.Order) engine.PendingOrder {
	pending := engine.PendingOrder{Spec: plan.spec, Order: order, OwnedSince: plan.ownedSince}
	if order.Downloads() && o.v.settings.WeightStoreAddress() != "" {
		pending.WeightBytes = int64(plan.spec.WeightBytes)
	}
	for _, s := range o.v.view().engines[plan.spec.Model] {
		if l, ok := o.v.node.Load(s.Name); ok {
			pending.Priority -= l.FreeTokens
		}
	}
	return pending
}

// missingOrders returns the orders that an engine needs and has not accepted yet. Reports arrive late and a
// load takes long, so an accepted order is not repeated until orderEffectTimeout has passed or the engine has
// restarted.
func (o *orders) missingOrders(now time.Time, s engine.Spec) []engine.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	latest, ok := o.reports[s.Name]
	if !ok || now.Sub(latest.requestedAt) > reportMaxAge {
		if p := o.planned[s.Name]; p.spec == s {
			return p.orders
		}
		return nil
	}
	required := engine.RequiredOrders(s, latest.report)
	for k := range o.accepted {
		if k.endpoint == s.Name && !slices.Contains(required, k.order) {
			delete(o.accepted, k) // in effect, or no longer needed
		}
	}
	return slices.DeleteFunc(required, func(order engine.Order) bool {
		a, ok := o.accepted[orderKey{s.Name, order}]
		return ok && a.instance == latest.report.Instance && now.Sub(a.at) < orderEffectTimeout
	})
}
