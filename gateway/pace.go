package gateway

import (
	"context"
	"math"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"goldcrestpath/endpoint"
)

// paceInterval is the time between checks for engines that begin or cease to count as slow.
const paceInterval = 100 * time.Millisecond

// watchPaces logs and counts engines that begin and cease to count as slow, until ctx ends. The fleet itself does no I/O.
func (g *Gateway) watchPaces(ctx context.Context) {
	if !g.fleet.LearnsPaces() {
		return
	}
	w := newPaceLog(g.logger, g.registry)
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			slow, counts := g.fleet.SlowEngines(now)
			w.update(now, slow, counts)
			w.flapping.Update(int64(g.fleet.FlappingEndpoints(now)))
		}
	}
}

// paceLog reports the slow engines to operators.
type paceLog struct {
	logger                        log.Interface
	known                         map[string]endpoint.SlowEngine // by ID
	counts                        endpoint.PaceCounts
	slow, flapping                metrics.Gauge
	began, ended, avoided, probes metrics.Counter
}

func newPaceLog(logger log.Interface, r metrics.Registry) *paceLog {
	return &paceLog{
		logger: logger, known: map[string]endpoint.SlowEngine{},
		slow: metrics.GetOrRegisterGauge("gateway.slowEngines", r), flapping: metrics.GetOrRegisterGauge("gateway.flappingEndpoints", r),
		began: metrics.GetOrRegisterCounter("gateway.slowEngines.began", r), ended: metrics.GetOrRegisterCounter("gateway.slowEngines.ended", r),
		avoided: metrics.GetOrRegisterCounter("gateway.slowEngines.avoided", r), probes: metrics.GetOrRegisterCounter("gateway.slowEngines.probes", r),
	}
}

// update reports the differences from the last call.
func (w *paceLog) update(now time.Time, slow []endpoint.SlowEngine, counts endpoint.PaceCounts) {
	current := map[string]endpoint.SlowEngine{}
	for _, e := range slow {
		current[e.ID] = e
		if old, ok := w.known[e.ID]; ok && old.Since.Equal(e.Since) {
			continue
		}
		w.began.Inc(1)
		w.logger.WithFields(log.Fields{
			"endpoint": e.ID, "pace": math.Round(100*e.Pace) / 100, "source": paceSource(e), "vms": e.Sources, "sampleAgeMs": now.Sub(e.Sampled).Milliseconds(),
		}).Warn("gateway: an engine counts as slow")
	}
	for id, e := range w.known {
		if latest, ok := current[id]; ok && latest.Since.Equal(e.Since) {
			continue
		}
		w.ended.Inc(1)
		w.logger.WithFields(log.Fields{
			"endpoint": id, "pace": math.Round(100*e.Pace) / 100, "source": paceSource(e), "slowMs": now.Sub(e.Since).Milliseconds(),
		}).Info("gateway: an engine no longer counts as slow")
	}
	w.known = current
	w.slow.Update(int64(len(slow)))
	w.avoided.Inc(int64(counts.Avoided - w.counts.Avoided))
	w.probes.Inc(int64(counts.Probes - w.counts.Probes))
	w.counts = counts
}

// paceSource tells whether this VM measured the pace itself.
func paceSource(e endpoint.SlowEngine) string {
	if e.Own {
		return "own"
	}
	return "peers"
}
