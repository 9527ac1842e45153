package vm

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// runGauges updates the gauges until Close.
func (v *VM) runGauges() {
	for sleep(v.ctx, gaugeInterval) {
		v.updateGauges()
	}
}

// updateGauges sets the gauges of the ledgers of the engines that this VM owns, summed over these engines, and
// those of the applied configuration.
func (v *VM) updateGauges() {
	w := v.view()
	sums := make(map[string]int)
	for _, specs := range w.engines {
		for _, s := range specs {
			owner, _ := v.node.Owner(s.Name)
			l, ok := v.node.Load(s.Name)
			if owner != v.name || !ok {
				continue
			}
			sums["capacityTokens"] += l.Capacity
			sums["freeTokens"] += l.FreeTokens
			sums["running"] += l.Running
			sums["queue"] += l.QueuedRequests
			sums["queuedTokens"] += l.QueuedTokens
			sums["prefillBacklogTokens"] += l.PrefillBacklog
			if l.Cold {
				sums["coldEngines"]++
			}
		}
	}
	for _, name := range []string{"capacityTokens", "freeTokens", "running", "queue", "queuedTokens", "prefillBacklogTokens", "coldEngines"} {
		v.setGauge("ledger."+name, sums[name])
	}
	v.setGauge("configuration.offset", int(w.snapshot.Offset()))
	for _, d := range w.snapshot.Documents() {
		v.setGauge("configuration.revision."+strings.ReplaceAll(d.Name, "/", "."), int(d.Revision))
	}
}

func (v *VM) setGauge(name string, value int) {
	metrics.GetOrRegisterGauge(name, v.registry).Update(int64(value))
}
