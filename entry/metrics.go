package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// publishMetrics sets the gauges. Counters are raised where the counted event happens.
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
	for name, o := range n.owned {
		for i := range Shares {
			shares += n.borrower.Held(now, shareKey{endpointResource(name), i})
		}
		usable += n.usable(now, o)
	}
	gauge("endpoints.owned", len(n.owned))
	gauge("shares.held", shares)
	gauge("shares.usable", usable)
	gauge("grants.held", len(n.held))
}
