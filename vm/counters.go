package vm

import "github.com/rcrowley/go-metrics"

// counters counts events of the request path by reason.
type counters struct {
	registry metrics.Registry
}

func newCounters(r metrics.Registry) *counters { return &counters{registry: r} }

// refusal counts a refusal or failure that a caller was told.
func (c *counters) refusal(reason string) { c.add("refusal." + reason) }

// retry counts a further attempt.
func (c *counters) retry(reason string) { c.add("retry." + reason) }

// spill counts a request that was forwarded to another data centre.
func (c *counters) spill(reason string) { c.add("spill." + reason) }

func (c *counters) add(name string) {
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}
