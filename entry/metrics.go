package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// publishMetrics updates the gauges. Counters are incremented where their events happen.
func (n *Node) publishMetrics(now time.Time, v *view) {
	gauge := func(name string, value int) {
		metrics.GetOrRegisterGauge("entry."+name, n.registry).Update(int64(value))
	}
	var states [len(stateNames)]int
	for _, m := range v.members {
		states[m.state]++
	}
	for s := StateAlive; int(s) < len(states); s++ {
		gauge("members."+s.String(), states[s])
	}
	shares, usable := 0, 0
	for name, o := range n.ownedEndpoints {
		for i := range SharesPerResource {
			shares += n.lessee.Held(now, shareKey{endpointResource(name), i})
		}
		usable += n.usableShares(now, o)
	}
	gauge("endpoints.owned", len(n.ownedEndpoints))
	gauge("shares.held", shares)
	gauge("shares.usable", usable)
	gauge("grants.held", len(n.heldGrants))
}
