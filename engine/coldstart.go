package engine

import "time"

// An endpoint is treated as cold when its time to first token (TTFT) exceeds coldFactor times the prediction plus coldMargin.
// The bound is well above the prediction because a warm endpoint also misses it when other requests reach it first. A cold
// endpoint is slower by an order of magnitude.
const (
	coldFactor = 4
	coldMargin = time.Second
)

// allowance limits the number of concurrent sequences on an endpoint that is, or may be, cold. It starts at the configured
// number of sequences and grows by one with each completed request, so it doubles each time that a full set of requests
// completes. It returns to its initial value at the first failure, late first token, restart or report of a cold state.
type allowance struct {
	coldLimit    int // concurrent sequences that the endpoint can take when cold
	warmLimit    int // concurrent sequences that the endpoint can take when warm
	limit        int
	cold         bool
	reportedCold bool // the last report stated that the endpoint is cold; completed requests do not override it
}

// newAllowance returns the allowance of an endpoint that is treated as cold.
func newAllowance(s Spec) allowance {
	start := min(max(s.MaxColdSequences, 1), max(s.MaxSequences, 1))
	return allowance{coldLimit: start, warmLimit: s.MaxSequences, limit: start, cold: true}
}

// reset marks the endpoint as cold.
func (a *allowance) reset() { a.limit, a.cold = a.coldLimit, true }

// grow raises the limit by one after a completed request, unless the endpoint reports itself as cold.
func (a *allowance) grow() {
	if a.cold && !a.reportedCold {
		a.raise(a.limit + 1)
	}
}

// raise raises the limit to n, up to the warm limit. At the warm limit the endpoint is treated as warm.
func (a *allowance) raise(n int) {
	a.limit = min(max(a.limit, n), a.warmLimit)
	a.cold = a.limit < a.warmLimit
}

// observe applies the cold state from an endpoint's report.
func (a *allowance) observe(cold bool) {
	a.reportedCold = cold
	if cold {
		a.reset()
	}
}

// indicatesCold reports whether the first token came so late that the endpoint must be cold.
func indicatesCold(actual, predicted time.Duration) bool {
	return predicted > 0 && actual > coldFactor*predicted+coldMargin
}
