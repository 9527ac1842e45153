package engine

import "time"

// First-token times that show a cold endpoint. A warm endpoint misses the prediction when other work reaches it first; a
// cold one is slower by an order of magnitude.
const (
	coldFactor = 4
	coldMargin = time.Second
)

// allowance bounds the work of an endpoint that is cold or may be. It starts at the configured number of sequences, grows
// by one with each completed request, which doubles it in each round, and falls back at once.
type allowance struct {
	start     int // sequences that the endpoint bears when cold
	full      int // sequences that it bears when warm
	limit     int
	cold      bool
	confirmed bool // the last report said cold, so that completed work does not show the contrary
}

func newAllowance(s Spec) allowance {
	start := min(max(s.ColdSequences, 1), max(s.Sequences, 1))
	return allowance{start: start, full: s.Sequences, limit: start, cold: true}
}

// reset turns the endpoint cold.
func (a *allowance) reset() { a.limit, a.cold = a.start, true }

// grow takes the next step after completed work.
func (a *allowance) grow() {
	if a.cold && !a.confirmed {
		a.raise(a.limit + 1)
	}
}

func (a *allowance) raise(n int) {
	a.limit = min(max(a.limit, n), a.full)
	a.cold = a.limit < a.full
}

// observe applies the state that the endpoint reports.
func (a *allowance) observe(cold bool) {
	a.confirmed = cold
	if cold {
		a.reset()
	}
}

// late says whether a first token came so late that the endpoint is cold.
func late(actual, predicted time.Duration) bool {
	return predicted > 0 && actual > coldFactor*predicted+coldMargin
}
