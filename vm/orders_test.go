package vm_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/engine"
	"goldcrestpath/oplog"
	"goldcrestpath/standin"
)

// TestFleetChangeLoadsOnce guards against three faults after a change of the fleet document: engines that still
// serve the old model, load orders that are repeated before the engine reports their effect, and loads without a
// reservation at the weight store.
func TestFleetChangeLoadsOnce(t *testing.T) {
	weights, err := standin.NewWeightStore("127.0.0.1:0", 1e9, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(weights.Close)
	s := newSite(t, 2, "weightStore = "+weights.Address())
	s.publish(t, "fleet", 1, strings.ReplaceAll(s.fleet, "model = small", "model = big\nadapters = x\nweightBytes = 1000"))
	client := engine.NewClient()
	reported := func(e *standin.Engine) engine.Report {
		r, _ := client.Report(t.Context(), engine.Spec{Name: "e", Address: e.Address()})
		return r
	}
	for _, e := range s.engines {
		waitFor(t, "engine with the new model and its adapter", func() bool {
			r := reported(e)
			return r.Model == "big" && len(r.Adapters) == 1
		})
	}
	// Reports arrive late, so a repeated order would show only after several reconciliations.
	for range 4 {
		time.Sleep(500 * time.Millisecond)
		for i, e := range s.engines {
			if c := e.Counters(); c.Orders != 2 || c.StaleOrders+c.RefusedOrders != 0 {
				t.Fatalf("engine %d: %+v, want one load and one adapter", i, c)
			}
		}
	}
	if accepted, refused := weights.Reservations(); accepted != 2 || refused != 0 {
		t.Errorf("weight store: %d reservations and %d refused, want one for each engine", accepted, refused)
	}
}

// delayedSender delays the first order until release is closed, like a slow connection or a paused VM. Further orders
// fail. It closes reached when the first order arrives.
type delayedSender struct {
	engine.OrderSender
	calls            atomic.Int32
	reached, release chan struct{}
}

func (s *delayedSender) Order(ctx context.Context, spec engine.Spec, o engine.Order) error {
	if s.calls.Add(1) > 1 {
		return errors.New("not sent")
	}
	close(s.reached)
	<-s.release
	return s.OrderSender.Order(ctx, spec, o)
}

// TestLateOrderOfOldOwner guards against an order of a previous owner that reaches the engine late and overrides an
// order of the current owner.
func TestLateOrderOfOldOwner(t *testing.T) {
	log, err := standin.NewLog("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(log.Close)
	e, err := standin.NewEngine("127.0.0.1:0", standin.DefaultEngineConfig("e", "small"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	client := engine.NewClient()
	spec := engine.Spec{Name: "e", Address: e.Address(), ChecksFence: true}
	issue := func(sender engine.OrderSender, role string) <-chan error {
		store := oplog.NewStore(oplog.NewHTTPLog(log.Address()))
		t.Cleanup(store.Close)
		ended := make(chan error, 10)
		waitFor(t, "readable log", store.LogReachable)
		o := engine.NewOrderDispatcher(sender, store, nil, engine.WithOrderCallback(func(_ engine.PendingOrder, err error) { ended <- err }))
		t.Cleanup(o.Close)
		o.Put(engine.PendingOrder{Spec: spec, Order: engine.Order{Kind: engine.OrderSetRole, Role: role}, OwnedSince: time.Now()})
		return ended
	}
	late := &delayedSender{OrderSender: client, reached: make(chan struct{}), release: make(chan struct{})}
	old := issue(late, "prefill")
	<-late.reached
	if err := <-issue(client, "decode"); err != nil {
		t.Fatalf("order of the new owner: %v", err)
	}
	close(late.release)
	if err := <-old; err == nil {
		t.Error("the engine accepted the late order")
	}
	if c := e.Counters(); c.Orders != 1 || c.RefusedOrders != 1 || c.StaleOrders != 0 {
		t.Errorf("engine: %+v, want one order and one refused for its token", c)
	}
}
