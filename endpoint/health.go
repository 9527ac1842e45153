package endpoint

import "time"

// Bounds of the pause after which an endpoint that failed gets a single request again.
const (
	firstPause   = 300 * time.Millisecond
	longestPause = 4 * time.Second
)

// failureWeight is the part of the newest outcome in the moving average of failures. At 0.15 an endpoint that fails two in
// five requests stands out after about ten of them.
const failureWeight = 0.15

// Outcome is what an attempt showed of its endpoint.
type Outcome uint8

// Outcomes of attempts.
const (
	Good        Outcome = iota + 1 // a whole answer
	Errored                        // the endpoint answered that it failed
	Refused                        // the endpoint refused before running, because it is full or leaving
	Unreachable                    // no connection could be opened
	Absent                         // the endpoint's machine refused the connection
	Broken                         // a cut or foreign answer, or silence
	Withdraw                       // ended by the caller or this VM, which shows nothing
)

// health is the evidence of one endpoint.
type health struct {
	failures float64 // moving average of outcomes, 0 is good
	broken   int     // broken outcomes in a row
	until    time.Time
	trial    bool // a single request probes the endpoint after the pause
}

func (h *health) note(now time.Time, o Outcome) {
	h.trial = false
	switch o {
	case Good:
		h.failures -= failureWeight * h.failures
		h.broken = 0
		h.until = time.Time{}
	case Errored:
		h.failures += failureWeight * (1 - h.failures)
		h.broken = 0
	case Refused:
		// A full endpoint is not a faulty one. A short pause lets its queue drain.
		h.until = now.Add(refusedPause)
	case Broken, Unreachable, Absent:
		h.failures += failureWeight * (1 - h.failures)
		h.until = now.Add(min(firstPause<<min(h.broken, 6), longestPause))
		h.broken++
	}
}

// refusedPause is how long an endpoint that refused for lack of room is passed over.
const refusedPause = 100 * time.Millisecond

// usable says whether a request may be sent now.
func (h *health) usable(now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	return h.broken == 0 || !h.trial
}

// reach is the evidence of the way to one data centre. Once it counts as cut off, only a probe brings it back: callers'
// requests must not find out.
type reach struct {
	failed int // connections that could not be opened since the last answer from there
}

// unreachableAfter is how many failed connections in a row make a data centre count as cut off. A few can be due to
// endpoints that crashed.
const unreachableAfter = 3

func (r *reach) note(o Outcome) {
	switch o {
	case Unreachable:
		r.failed++
	case Good, Errored, Refused, Absent:
		r.failed = 0
	}
}

func (r *reach) usable() bool { return r.failed < unreachableAfter }
