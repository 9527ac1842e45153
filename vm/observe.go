package vm

import (
	"context"
	"sync"
	"time"

	"goldcrestpath/engine"
)

const (
	loadInterval  = 100 * time.Millisecond // between looks at the loads that the node knows
	loadRefresh   = 500 * time.Millisecond // an unchanged load is passed on again after this time
	eventInterval = time.Second            // between reads of cache events
	eventTimeout  = 2 * time.Second        // of one read of cache events

	// maxEventReads bounds the endpoints whose cache events a VM reads in one interval, so that the cost does not grow with the fleet.
	maxEventReads = 16
)

// observer feeds the chooser with loads from owners and with cache events of the endpoints that this VM uses.
type observer struct {
	v    *VM
	seen map[string]seenLoad

	mu   sync.Mutex
	used map[string]engine.Spec // endpoints used since the last read of events
}

type seenLoad struct {
	load engine.Load
	at   time.Time
}

// newObserver starts an observer that runs until Close of the VM.
func newObserver(v *VM) *observer {
	o := &observer{v: v, seen: make(map[string]seenLoad), used: make(map[string]engine.Spec)}
	v.wg.Add(1)
	go func() {
		defer v.wg.Done()
		o.run(v.ctx)
	}()
	return o
}

func (o *observer) run(ctx context.Context) {
	loads := time.NewTicker(loadInterval)
	defer loads.Stop()
	events := time.NewTicker(eventInterval)
	defer events.Stop()
	for {
		select {
		case now := <-loads.C:
			o.readLoads(now)
		case <-events.C:
			o.readEvents()
		case <-ctx.Done():
			return
		}
	}
}

// use notes that this VM sends requests to an endpoint.
func (o *observer) use(s engine.Spec) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.used) < maxEventReads {
		o.used[s.Name] = s
	}
}

func (o *observer) readLoads(now time.Time) {
	for _, specs := range o.v.view().engines {
		for _, s := range specs {
			l, ok := o.v.node.Load(s.Name)
			last := o.seen[s.Name]
			if !ok || (l == last.load && now.Sub(last.at) < loadRefresh) {
				continue
			}
			o.seen[s.Name] = seenLoad{l, now}
			o.v.chooser.ObserveLoad(now, s.Name, l)
		}
	}
}

// readEvents reads the cache events of the endpoints used lately, each in the background.
func (o *observer) readEvents() {
	o.mu.Lock()
	used := o.used
	o.used = make(map[string]engine.Spec, len(used))
	o.mu.Unlock()
	for _, s := range used {
		o.v.background(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, eventTimeout)
			defer cancel()
			events, err := o.v.engines.Events(ctx, s, o.v.chooser.NextEvent(s.Name))
			if err != nil {
				o.v.counters.add("cacheEvents.failed")
				return
			}
			o.v.chooser.ObserveEvents(s.Name, events)
		})
	}
}
