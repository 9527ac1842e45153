package operator

import (
	"cmp"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// prometheusPrefix is prepended to every metric name in the Prometheus text format.
const prometheusPrefix = "goldcrest_"

// prometheusContentType is the Content-Type of the Prometheus text format.
var prometheusContentType = string(expfmt.NewFormat(expfmt.TypeTextPlain))

// quantiles are the exported quantiles of histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.95, 0.99}

// WriteMetrics writes all metrics of a registry in the Prometheus text format, ordered by name.
func WriteMetrics(w io.Writer, r metrics.Registry) error {
	var families []*dto.MetricFamily
	r.Each(func(name string, m any) {
		if f := toFamily(name, m); f != nil {
			families = append(families, f)
		}
	})
	slices.SortFunc(families, func(a, b *dto.MetricFamily) int { return cmp.Compare(a.GetName(), b.GetName()) })
	for i, f := range families {
		if i > 0 && f.GetName() == families[i-1].GetName() {
			continue // the registry names differ only in punctuation, and the format allows each name only once
		}
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return errors.Wrapf(err, "encode metric %s", f.GetName())
		}
	}
	return nil
}

// toFamily converts one metric of the registry. It returns nil for health checks and unknown types, which have no numeric
// value.
func toFamily(name string, m any) *dto.MetricFamily {
	switch m := m.(type) {
	case metrics.Counter:
		return counterFamily(name, float64(m.Count()))
	case metrics.Meter:
		return counterFamily(name, float64(m.Count()))
	case metrics.Gauge:
		return gaugeFamily(name, float64(m.Value()))
	case metrics.GaugeFloat64:
		return gaugeFamily(name, m.Value())
	case metrics.Histogram:
		h := m.Snapshot()
		return summaryFamily(name, h.Count(), h.Mean()*float64(h.Count()), h.Percentiles(quantiles))
	case metrics.Timer:
		t := m.Snapshot()
		return summaryFamily(name, t.Count(), t.Mean()*float64(t.Count()), t.Percentiles(quantiles))
	}
	return nil
}

// newFamily returns a family with one metric. Characters that the Prometheus format does not allow in a name become "_".
func newFamily(name string, kind dto.MetricType, m *dto.Metric) *dto.MetricFamily {
	name = prometheusPrefix + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
	return &dto.MetricFamily{Name: &name, Type: &kind, Metric: []*dto.Metric{m}}
}

func counterFamily(name string, v float64) *dto.MetricFamily {
	return newFamily(name, dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: &v}})
}

func gaugeFamily(name string, v float64) *dto.MetricFamily {
	return newFamily(name, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: &v}})
}

// summaryFamily returns a summary. Callers pass the mean times the count as the sum, because the registry keeps only a sample
// of the values.
func summaryFamily(name string, count int64, sum float64, values []float64) *dto.MetricFamily {
	n := uint64(count)
	s := &dto.Summary{SampleCount: &n, SampleSum: &sum}
	for i := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &values[i]})
	}
	return newFamily(name, dto.MetricType_SUMMARY, &dto.Metric{Summary: s})
}
