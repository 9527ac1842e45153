package caller

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"goldcrestpath/customer"
)

// Metric names. A name that ends in a dot is followed by a reason or a prompt length class.
const (
	metricRefused        = "caller.refused."
	metricAnsweredOnTime = "caller.answered.whole"
	metricAnsweredLate   = "caller.answered.late"
	metricTTFT           = "caller.ttftMillis."
	metricRequests       = "caller.requests"
	metricBodyBytes      = "caller.bodyBytes"
)

// Size and decay factor of the samples behind the TTFT histograms. Each sample mainly represents the last five
// minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// serverMetrics holds the metrics of a Server. All of them are registered at the start, so that a missing counter can
// be told from a counter at 0.
type serverMetrics struct {
	requests metrics.Counter
	refused  map[customer.Reason]metrics.Counter
	onTime   metrics.Counter
	late     metrics.Counter
	ttft     map[customer.Class]metrics.Histogram
}

func newServerMetrics(r metrics.Registry) *serverMetrics {
	m := &serverMetrics{
		requests: metrics.GetOrRegisterCounter(metricRequests, r),
		refused:  map[customer.Reason]metrics.Counter{},
		onTime:   metrics.GetOrRegisterCounter(metricAnsweredOnTime, r),
		late:     metrics.GetOrRegisterCounter(metricAnsweredLate, r),
		ttft:     map[customer.Class]metrics.Histogram{},
	}
	for reason := range refusalPolicies {
		m.refused[reason] = metrics.GetOrRegisterCounter(metricRefused+string(reason), r)
	}
	for _, class := range customer.Classes() {
		sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
		m.ttft[class] = metrics.GetOrRegisterHistogram(metricTTFT+class.String(), r, sample)
	}
	return m
}

// countRefusal counts a refusal. A reason that this package does not know is counted as internal.
func (m *serverMetrics) countRefusal(reason customer.Reason) {
	counter, ok := m.refused[reason]
	if !ok {
		counter = m.refused[customer.ReasonInternal]
	}
	counter.Inc(1)
}

// countAnswer counts an answer that was delivered completely, either as on time or as late.
func (m *serverMetrics) countAnswer(now, deadline time.Time) {
	if now.After(deadline) {
		m.late.Inc(1)
		return
	}
	m.onTime.Inc(1)
}
