package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"goldcrestpath/endpoint"
)

// placementInterval is the time between reports of the placement.
const placementInterval = time.Second

// reportPlacement updates the counters of requests that left the data centre, and logs when this VM begins and stops sending work away and
// when the views of other data centres become too old or recent again, until ctx ends.
func (g *Gateway) reportPlacement(ctx context.Context) {
	if !g.settings.WeighDataCentres() {
		return
	}
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	var last endpoint.PlacementState
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			state := g.fleet.PlacementState(now)
			g.logPlacement(last, state)
			last = state
		}
		countDepartures(g.registry, g.fleet.Departures())
	}
}

// logPlacement logs what changed between two states.
func (g *Gateway) logPlacement(last, state endpoint.PlacementState) {
	logger := g.logger.WithFields(log.Fields{
		"dataCentre": g.settings.DataCentre(), "homeInUse": state.HomeInUse, "homeSlots": state.HomeSlots, "otherInUse": state.OtherInUse,
		"otherSlots": state.OtherSlots, "noViews": state.NoViews, "reasons": state.Reasons,
	})
	if state.SendsAway != last.SendsAway {
		if state.SendsAway {
			logger.Info("gateway: work leaves the data centre")
		} else {
			logger.Info("gateway: no more work leaves the data centre")
		}
	}
	if state.NoViews != last.NoViews {
		if state.NoViews {
			logger.Warn("gateway: the views of other data centres are too old; work stays")
		} else {
			logger.Info("gateway: the views of other data centres are recent again")
		}
	}
}

// countDepartures sets the counters of requests and bytes that left, by data centre from and to and by reason.
func countDepartures(r metrics.Registry, departures []endpoint.Departures) {
	set := func(name string, total int64) {
		c := metrics.GetOrRegisterCounter(name, r)
		c.Inc(total - c.Count())
	}
	for _, d := range departures {
		suffix := "." + d.From + "." + d.To + "." + string(d.Reason)
		set("endpoint.left.requests"+suffix, d.Requests)
		set("endpoint.left.bytes"+suffix, d.Bytes)
	}
}
