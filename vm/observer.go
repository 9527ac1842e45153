package vm

import (
	"context"
	"sync"
	"time"

	"goldcrestpath/engine"
)

const (
	loadPollInterval    = 100 * time.Millisecond // between checks of the loads known to the node
	loadRefreshInterval = 500 * time.Millisecond // after which an unchanged load is passed to the selector again
	eventPollInterval   = time.Second            // between reads of cache events
	eventTimeout        = 2 * time.Second        // of one read of cache events

	// maxEventReads bounds the number of endpoints whose cache events a VM reads in one interval, so that the
	// cost does not grow with the fleet.
	maxEventReads = 16
)

// observer passes two inputs to the engine selector: the loads that owners report, and the cache events of the
// endpoints that this VM uses.
type observer struct {
	v         *VM
	lastLoads map[string]observedLoad // by endpoint name

	mu           sync.Mutex
	recentlyUsed map[string]engine.Spec // endpoints used since the last read of cache events, by name
}

// observedLoad is the load that was last passed to the engine selector, and when.
type observedLoad struct {
	load engine.Load
	at   time.Time
}

// newObserver starts an observer that runs until the VM is closed.
func newObserver(v *VM) *observer {
	o := &observer{v: v, lastLoads: make(map[string]observedLoad), recentlyUsed: make(map[string]engine.Spec)}
	v.wg.Add(1)
	go func() {
		defer v.wg.Done()
		o.run(v.ctx)
	}()
	return o
}

// run passes loads to the engine selector and reads cache events until ctx ends.
func (o *observer) run(ctx context.Context) {
	loads := time.NewTicker(loadPollInterval)
	defer loads.Stop()
	events := time.NewTicker(eventPollInterval)
	defer events.Stop()
	for {
		select {
		case now := <-loads.C:
			o.observeLoads(now)
		case <-events.C:
			o.readEvents()
		case <-ctx.Done():
			return
		}
	}
}

// markUsed records that this VM has sent a request to an endpoint, up to maxEventReads endpoints per interval.
func (o *observer) markUsed(s engine.Spec) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.recentlyUsed) < maxEventReads {
		o.recentlyUsed[s.Name] = s
	}
}

// observeLoads passes changed loads, and unchanged ones every loadRefreshInterval, to the engine selector.
func (o *observer) observeLoads(now time.Time) {
	for _, specs := range o.v.view().engines {
		for _, s := range specs {
			l, ok := o.v.node.Load(s.Name)
			last := o.lastLoads[s.Name]
			if !ok || (l == last.load && now.Sub(last.at) < loadRefreshInterval) {
				continue
			}
			o.lastLoads[s.Name] = observedLoad{l, now}
			o.v.engineSelector.ObserveLoad(now, s.Name, l)
		}
	}
}

// readEvents reads the cache events of the recently used endpoints, each in a background task.
func (o *observer) readEvents() {
	o.mu.Lock()
	used := o.recentlyUsed
	o.recentlyUsed = make(map[string]engine.Spec, len(used))
	o.mu.Unlock()
	for _, s := range used {
		o.v.background(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, eventTimeout)
			defer cancel()
			events, err := o.v.engines.CacheEvents(ctx, s, o.v.engineSelector.NextCacheEvent(s.Name))
			if err != nil {
				o.v.counters.add("cacheEvents.failed")
				return
			}
			o.v.engineSelector.ObserveCacheEvents(s.Name, events)
		})
	}
}
