package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"
)

// scarcityInterval is the time between two looks at the scarcity of capacity. A look costs as much as a selection for each service that
// is watched. The end of a shortage without requests is noticed by these looks alone.
const scarcityInterval = 100 * time.Millisecond

// watchScarcity logs and counts when the capacity for a service becomes scarce and when it no longer is.
func (g *Gateway) watchScarcity(ctx context.Context) {
	began := metrics.GetOrRegisterCounter("gateway.scarcityBegan", g.registry)
	scarce := metrics.GetOrRegisterCounter("gateway.scarce", g.registry)
	ticker := time.NewTicker(scarcityInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, c := range g.fleet.TakeScarcityChanges(now) {
				entry := g.logger.WithFields(log.Fields{
					"service": c.Service, "cell": c.Cell, "slots": c.Slots, "freeSlots": c.Free, "urgentFirstMs": c.TTFT.Milliseconds(),
					"urgentPerSecond": c.Arrivals, "waiting": c.Waiting,
				})
				if !c.Scarce {
					scarce.Dec(1)
					entry.Info("gateway: capacity is no longer scarce")
					continue
				}
				began.Inc(1)
				scarce.Inc(1)
				entry.WithField("cause", c.Cause).Warn("gateway: capacity is scarce")
			}
		}
	}
}
