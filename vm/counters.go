package vm

import "github.com/rcrowley/go-metrics"

// counters counts events on the request path, mostly by reason.
type counters struct {
	registry metrics.Registry
}

func newCounters(r metrics.Registry) *counters { return &counters{registry: r} }

// refusal counts a refusal or failure that was returned to a caller. It also counts a retry that the retry budget
// prevented.
func (c *counters) refusal(reason string) { c.add("refusal." + reason) }

// retry counts a retry by the reason of the failure before it.
func (c *counters) retry(reason string) { c.add("retry." + reason) }

// spillover counts a request that was forwarded to another data centre, by the reason of the local refusal.
func (c *counters) spillover(reason string) { c.add("spill." + reason) }

func (c *counters) add(name string) {
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}
