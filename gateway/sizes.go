package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"goldcrestpath/endpoint"
)

// sizeInterval is the time between two looks at the shares of prompts by size.
const sizeInterval = time.Second

// watchSizes logs when the prompts of a size begin and cease to be placed too rarely, and sets the gauges of the sizes that lag and of the
// lowest share of a size in permille of the share of all prompts with its service and target, until ctx ends.
func (g *Gateway) watchSizes(ctx context.Context) {
	lagging := metrics.GetOrRegisterGauge("gateway.laggingSizes", g.registry)
	lowest := metrics.GetOrRegisterGauge("gateway.lowestSizeShare", g.registry)
	lowest.Update(1000)
	ticker := time.NewTicker(sizeInterval)
	defer ticker.Stop()
	lags := map[endpoint.SizeClass]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			shares := g.fleet.SizeShares(now)
			low := 1.0
			last := lags
			lags = map[endpoint.SizeClass]bool{}
			for i := range shares {
				s := &shares[i]
				if s.ShareAll > 0 {
					low = min(low, s.Share/s.ShareAll)
				}
				if s.Lags() {
					lags[s.Class] = true
				}
				if s.Lags() != last[s.Class] {
					g.logSize(s)
				}
			}
			lagging.Update(int64(len(lags)))
			lowest.Update(int64(1000 * low))
		}
	}
}

// logSize logs the share of a size that begins or ceases to lag.
func (g *Gateway) logSize(s *endpoint.SizeShare) {
	entry := g.logger.WithFields(log.Fields{
		"service": g.fleet.ServiceName(s.Class.Service), "targetMs": s.Class.Target.Milliseconds(), "minPrefillMs": s.Class.MinPrefill().Milliseconds(),
		"share": s.Share, "prompts": s.Prompts, "shareAll": s.ShareAll,
	})
	if s.Lags() {
		entry.Warn("gateway: prompts of a size are placed too rarely")
		return
	}
	entry.Info("gateway: prompts of a size are placed as often as others again")
}
