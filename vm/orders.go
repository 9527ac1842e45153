package vm

import (
	"context"
	"slices"
	"sync"
	"time"

	"goldcrestpath/engine"
)

const (
	orderInterval = 500 * time.Millisecond // between comparisons of reports with the configuration
	reportMemory  = 3 * time.Second        // an older report says nothing about what an engine serves
	// orderPatience is how long an order that an engine accepted may take until its report shows the effect. The order is
	// repeated after it, or once the engine has restarted.
	orderPatience = 10 * time.Minute
)

// orders makes engines of which this VM is the owner serve what the fleet document says. It takes the reports that the node
// asks owned engines for.
type orders struct {
	*engine.Client
	v       *VM
	orderer *engine.Orderer
	planned map[string]plannedOrders // by endpoint

	mu       sync.Mutex
	reports  map[string]seenReport
	accepted map[orderKey]acceptedOrder
}

type plannedOrders struct {
	spec   engine.Spec
	owned  time.Time
	orders []engine.Order
}

type seenReport struct {
	report engine.Report
	asked  time.Time
}

type orderKey struct {
	endpoint string
	order    engine.Order
}

type acceptedOrder struct {
	instance uint64
	at       time.Time
}

func newOrders(v *VM) *orders {
	return &orders{Client: v.engines, v: v, planned: map[string]plannedOrders{}, reports: map[string]seenReport{}, accepted: map[orderKey]acceptedOrder{}}
}

// Report implements entry.Endpoints.
func (o *orders) Report(ctx context.Context, s engine.Spec) (engine.Report, error) {
	asked := time.Now()
	r, err := o.Client.Report(ctx, s)
	if err == nil {
		o.mu.Lock()
		o.reports[s.Name] = seenReport{r, asked}
		o.mu.Unlock()
	}
	return r, err
}

// run issues orders until the VM closes.
func (o *orders) run(ctx context.Context) {
	o.orderer = engine.NewOrderer(o.v.engines, o.v.store, o.v.weights, engine.WithHolds(o.holds), engine.WithOrderReport(o.ended))
	defer o.orderer.Close()
	for sleep(ctx, orderInterval) {
		o.compare(time.Now())
	}
}

// holds says whether this VM still is the owner. It is asked immediately before an order is sent.
func (o *orders) holds(endpoint string) bool {
	_, ok := o.v.node.Tenures()[endpoint]
	return ok
}

// ended notes an order that an engine accepted.
func (o *orders) ended(n engine.Need, err error) {
	if err != nil {
		o.v.counters.add("orders.failed")
		o.v.logger.WithError(err).Warnf("vm: order %s to %s not accepted yet", n.Order.Kind, n.Spec.Name)
		return
	}
	o.v.counters.add("orders.accepted")
	o.v.logger.Infof("vm: %s accepted order %s", n.Spec.Name, n.Order.Kind)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted[orderKey{n.Spec.Name, n.Order}] = acceptedOrder{o.reports[n.Spec.Name].report.Instance, time.Now()}
}

// compare plans the orders that owned engines need by their newest reports.
func (o *orders) compare(now time.Time) {
	tenures := o.v.node.Tenures()
	var needs []engine.Need
	current := make(map[string]bool)
	for _, specs := range o.v.view().engines {
		for _, s := range specs {
			owned, ok := tenures[s.Name]
			if !ok {
				continue
			}
			current[s.Name] = true
			plan := plannedOrders{spec: s, owned: owned, orders: o.missing(now, s)}
			old := o.planned[s.Name]
			if old.spec == plan.spec && old.owned.Equal(owned) && slices.Equal(old.orders, plan.orders) {
				continue
			}
			o.drop(s.Name)
			if len(plan.orders) == 0 {
				continue
			}
			o.planned[s.Name] = plan
			for _, order := range plan.orders {
				needs = append(needs, o.need(plan, order))
			}
		}
	}
	for name := range o.planned {
		if !current[name] {
			o.drop(name)
		}
	}
	if len(needs) > 0 {
		o.orderer.Put(needs...)
	}
}

func (o *orders) drop(endpoint string) {
	if _, ok := o.planned[endpoint]; ok {
		delete(o.planned, endpoint)
		o.orderer.Drop(endpoint)
	}
}

// need ranks an order by the free capacity of its model in this data centre: the least first.
func (o *orders) need(p plannedOrders, order engine.Order) engine.Need {
	n := engine.Need{Spec: p.spec, Order: order, Owned: p.owned}
	if order.Downloads() && o.v.settings.WeightStoreAddress() != "" {
		n.Bytes = int64(p.spec.WeightBytes)
	}
	for _, s := range o.v.view().engines[p.spec.Model] {
		if l, ok := o.v.node.Load(s.Name); ok {
			n.Rank -= l.FreeTokens
		}
	}
	return n
}

// missing returns the orders that an engine needs and has not accepted yet. Reports lag and a load takes long, so an accepted
// order is not repeated while its effect is to come.
func (o *orders) missing(now time.Time, s engine.Spec) []engine.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen, ok := o.reports[s.Name]
	if !ok || now.Sub(seen.asked) > reportMemory {
		if p := o.planned[s.Name]; p.spec == s {
			return p.orders
		}
		return nil
	}
	needs := engine.Needs(s, seen.report)
	for k := range o.accepted {
		if k.endpoint == s.Name && !slices.Contains(needs, k.order) {
			delete(o.accepted, k) // in effect, or no longer asked for
		}
	}
	return slices.DeleteFunc(needs, func(order engine.Order) bool {
		a, ok := o.accepted[orderKey{s.Name, order}]
		return ok && a.instance == seen.report.Instance && now.Sub(a.at) < orderPatience
	})
}
