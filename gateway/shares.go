package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"goldcrestpath/endpoint"
	"goldcrestpath/operator"
	"goldcrestpath/platform"
)

// Publication of the shares of customers.
const (
	shareInterval  = 500 * time.Millisecond // time between two updates of the gauges and the log
	sharesShown    = 5                      // customers with a gauge
	shareGaugeName = "endpoint.share."      // prefix of the gauges' names, followed by the customer's name
)

// newShares returns the fair shares of customers, or nil if the settings and the contracts of the deployment demand none. scarce reports
// whether the capacity of a service is scarce.
func newShares(s *operator.GatewaySettings, scarce func(now time.Time, service string) bool) *endpoint.Shares {
	if !s.FairShares() && !platform.FairShares(s.Contracts()) {
		return nil
	}
	return endpoint.NewShares(endpoint.WithScarcity(scarce))
}

// sharePublisher writes changes of shares to the log and the largest shares to gauges.
type sharePublisher struct {
	shares   *endpoint.Shares
	logger   log.Interface
	registry metrics.Registry
	shown    map[string]metrics.GaugeFloat64 // registered gauges, at most sharesShown
	began    metrics.Counter
}

func newSharePublisher(s *endpoint.Shares, logger log.Interface, r metrics.Registry) *sharePublisher {
	return &sharePublisher{
		shares: s, logger: logger, registry: r, shown: map[string]metrics.GaugeFloat64{}, began: metrics.GetOrRegisterCounter("endpoint.shareExceeded", r),
	}
}

// run publishes until ctx ends.
func (p *sharePublisher) run(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.publish(now)
		}
	}
}

// publish logs the changes since the last call and updates the gauges. The gauges of customers that are no longer among the largest are
// removed, so the registry does not grow with the number of customers.
func (p *sharePublisher) publish(now time.Time) {
	for _, c := range p.shares.Changes(now) {
		entry := p.logger.WithFields(log.Fields{
			"service": c.Service, "customer": c.Customer, "useMs": c.Use.Milliseconds(), "fairMs": c.Fair.Milliseconds(), "customers": c.Customers,
			"reporters": c.Reporters,
		})
		if c.Exceeds {
			p.began.Inc(1)
			entry.Info("gateway: a customer exceeds its share of scarce capacity")
		} else {
			entry.Info("gateway: a customer no longer exceeds its share of scarce capacity")
		}
	}
	largest := map[string]float64{}
	for _, c := range p.shares.Largest(now, sharesShown) {
		largest[shareGaugeName+c.Customer] = c.Share
	}
	for name := range p.shown {
		if _, still := largest[name]; !still {
			p.registry.Unregister(name)
			delete(p.shown, name)
		}
	}
	for name, share := range largest {
		if p.shown[name] == nil {
			p.shown[name] = metrics.GetOrRegisterGaugeFloat64(name, p.registry)
		}
		p.shown[name].Update(share)
	}
}
