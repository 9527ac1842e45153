package caller

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"goldcrestpath/customer"
)

// Names of the metrics. A reason or a length class follows the ones that end in a dot.
const (
	metricRefused   = "caller.refused."
	metricWhole     = "caller.answered.whole"
	metricLate      = "caller.answered.late"
	metricTTFT      = "caller.ttftMillis."
	metricRequests  = "caller.requests"
	metricBodyBytes = "caller.bodyBytes"
)

// Sample size and decay of the TTFT histograms: the sample stands mainly for the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// counts are the server's metrics. All of them exist from the start, so that a counter that is missing differs from one at 0.
type counts struct {
	requests metrics.Counter
	refused  map[customer.Reason]metrics.Counter
	whole    metrics.Counter
	late     metrics.Counter
	ttft     map[customer.Class]metrics.Histogram
}

func newCounts(r metrics.Registry) *counts {
	c := &counts{
		requests: metrics.GetOrRegisterCounter(metricRequests, r),
		refused:  map[customer.Reason]metrics.Counter{},
		whole:    metrics.GetOrRegisterCounter(metricWhole, r),
		late:     metrics.GetOrRegisterCounter(metricLate, r),
		ttft:     map[customer.Class]metrics.Histogram{},
	}
	for reason := range treatments {
		c.refused[reason] = metrics.GetOrRegisterCounter(metricRefused+string(reason), r)
	}
	for _, class := range customer.Classes() {
		sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
		c.ttft[class] = metrics.GetOrRegisterHistogram(metricTTFT+class.String(), r, sample)
	}
	return c
}

// refusal counts a refusal. A reason that this package does not know is counted as internal.
func (c *counts) refusal(reason customer.Reason) {
	counter, ok := c.refused[reason]
	if !ok {
		counter = c.refused[customer.ReasonInternal]
	}
	counter.Inc(1)
}

// answer counts an answer that was delivered to its end.
func (c *counts) answer(now, deadline time.Time) {
	if now.After(deadline) {
		c.late.Inc(1)
		return
	}
	c.whole.Inc(1)
}
