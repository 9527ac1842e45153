package engine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"goldcrestpath/engine"
)

// fakePlatform stands in for the weight store, the log and the endpoints. It records all reservations and orders with their
// times.
type fakePlatform struct {
	mu            sync.Mutex
	begin         time.Time
	fence         uint64
	downloadDelay time.Duration
	failures      int // number of orders that fail before one succeeds
	events        []string
}

func (p *fakePlatform) record(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, fmt.Sprintf("%v ", time.Since(p.begin))+fmt.Sprintf(format, args...))
}

func (p *fakePlatform) IssueFencingToken(context.Context, string) (uint64, error) {
	p.fence++
	return p.fence, nil
}

func (p *fakePlatform) Reserve(_ context.Context, model string, _ int64) (time.Duration, error) {
	p.record("reserve %s", model)
	return p.downloadDelay, nil
}

func (p *fakePlatform) Order(_ context.Context, s engine.Spec, order engine.Order) error {
	p.record("%s %s %d", order.Kind, s.Name, order.Fence)
	if p.failures--; p.failures >= 0 {
		return errors.New("no connection")
	}
	return nil
}

// TestOrderDispatcher guards against downloads that begin earlier than the weight store permits or in the wrong order. It also
// guards against orders that are sent while an order of the previous owner can still arrive, and against orders from a VM
// that is no longer the owner.
func TestOrderDispatcher(t *testing.T) {
	pending := func(name string, priority int, checksFence bool) engine.PendingOrder {
		return engine.PendingOrder{Spec: engine.Spec{Name: name, ChecksFence: checksFence}, Order: engine.Order{Kind: engine.OrderLoadModel, Model: "m"}, WeightBytes: 1, Priority: priority, OwnedSince: time.Now()}
	}
	for _, c := range []struct {
		name          string
		downloadDelay time.Duration
		failures      int
		hasMajority   bool
		orders        func() []engine.PendingOrder
		want          []string
	}{
		{name: "highest priority first, at the rate of the weight store", downloadDelay: 3 * time.Second, hasMajority: true,
			orders: func() []engine.PendingOrder {
				return []engine.PendingOrder{pending("e1", 1, true), pending("e2", 2, true)}
			},
			want: []string{"0s reserve m", "3s loadModel e2 1", "3s reserve m", "6s loadModel e1 2"}},
		{name: "endpoint that does not check fencing tokens", hasMajority: true,
			orders: func() []engine.PendingOrder {
				return []engine.PendingOrder{pending("e1", 1, true), pending("e2", 2, false)}
			},
			want: []string{"0s reserve m", "0s loadModel e1 1", "7s reserve m", "7s loadModel e2 2"}},
		{name: "no wait after a long ownership", hasMajority: true,
			orders: func() []engine.PendingOrder {
				order := pending("e2", 2, false)
				order.OwnedSince = order.OwnedSince.Add(-time.Minute)
				return []engine.PendingOrder{order}
			},
			want: []string{"0s reserve m", "0s loadModel e2 1"}},
		{name: "retried after failures with the same token", failures: 2, hasMajority: true,
			orders: func() []engine.PendingOrder {
				order := pending("e1", 1, true)
				order.WeightBytes = 0
				return []engine.PendingOrder{order, order}
			},
			want: []string{"0s loadModel e1 1", "1s loadModel e1 1", "3s loadModel e1 1"}},
		{name: "no majority of the shares", orders: func() []engine.PendingOrder {
			order := pending("e1", 1, true)
			order.WeightBytes = 0
			return []engine.PendingOrder{order}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &fakePlatform{begin: time.Now(), downloadDelay: c.downloadDelay, failures: c.failures}
				o := engine.NewOrderDispatcher(fake, fake, fake, engine.WithMajorityCheck(func(string) bool { return c.hasMajority }))
				o.Put(c.orders()...)
				time.Sleep(20 * time.Second)
				o.Close()
				if diff := cmp.Diff(c.want, fake.events); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestRequiredOrders guards against superfluous and missing orders, and against orders that would be undone by loading another
// model.
func TestRequiredOrders(t *testing.T) {
	s := engine.Spec{Model: "m", Version: "2", Adapters: "a,b", Role: "prefill"}
	for _, c := range []struct {
		name   string
		spec   engine.Spec
		report engine.Report
		want   []engine.Order
	}{
		{"as configured", s, engine.Report{Model: "m", Version: "2", Adapters: []string{"b", "a", "c"}, Role: "prefill"}, nil},
		{"nothing but a model configured", engine.Spec{Model: "m"}, engine.Report{Model: "m", Version: "1", Role: "mixed"}, nil},
		{"another model", s, engine.Report{Model: "n", Version: "1"}, []engine.Order{{Kind: engine.OrderLoadModel, Model: "m", Version: "2"}}},
		{"everything else differs", s, engine.Report{Model: "m", Version: "1", Adapters: []string{"a"}, Role: "mixed"}, []engine.Order{
			{Kind: engine.OrderSetVersion, Model: "m", Version: "2"}, {Kind: engine.OrderLoadAdapter, Model: "m", Adapter: "b"}, {Kind: engine.OrderSetRole, Role: "prefill"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, engine.RequiredOrders(c.spec, c.report)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
