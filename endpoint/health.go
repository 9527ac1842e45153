package endpoint

import "time"

// Bounds of the exponential backoff after which a failed endpoint gets a single request again.
const (
	firstBackoff = 300 * time.Millisecond
	maxBackoff   = 4 * time.Second
)

// failureWeight is the weight of the newest outcome in the moving average of failures. At 0.15, an endpoint that fails two of
// five requests stands out after about ten of them.
const failureWeight = 0.15

// Outcome is what the result of an attempt shows about its endpoint.
type Outcome uint8

// Outcomes of attempts.
const (
	Succeeded         Outcome = iota + 1 // a complete answer
	Errored                              // the endpoint answered with an error of its own
	Refused                              // the endpoint refused before running the request, because it is full or stopping
	Unreachable                          // no connection could be opened
	ConnectionRefused                    // the endpoint's machine refused the connection
	Broken                               // an incomplete answer, an answer to another request, or silence
	Cancelled                            // ended by the caller or this VM, which shows nothing about the endpoint
)

// health tracks the outcomes of the attempts at one endpoint.
type health struct {
	failureRate       float64   // moving average of failed outcomes, 0 if all succeeded
	consecutiveBroken int       // Broken, Unreachable and ConnectionRefused outcomes in a row
	retryAt           time.Time // no request is sent before this time
	probing           bool      // a single request is probing the endpoint after the backoff
}

// record adds the outcome of an attempt.
func (h *health) record(now time.Time, o Outcome) {
	h.probing = false
	switch o {
	case Succeeded:
		h.failureRate -= failureWeight * h.failureRate
		h.consecutiveBroken = 0
		h.retryAt = time.Time{}
	case Errored:
		h.failureRate += failureWeight * (1 - h.failureRate)
		h.consecutiveBroken = 0
	case Refused:
		// A full endpoint is not faulty. A short backoff lets its queue drain.
		h.retryAt = now.Add(refusedBackoff)
	case Broken, Unreachable, ConnectionRefused:
		h.failureRate += failureWeight * (1 - h.failureRate)
		h.retryAt = now.Add(min(firstBackoff<<min(h.consecutiveBroken, 6), maxBackoff))
		h.consecutiveBroken++
	}
}

// refusedBackoff is how long an endpoint is not selected after it refused a request.
const refusedBackoff = 100 * time.Millisecond

// usable reports whether a request may be sent now. After a backoff, a single request at a time probes the endpoint.
func (h *health) usable(now time.Time) bool {
	if now.Before(h.retryAt) {
		return false
	}
	return h.consecutiveBroken == 0 || !h.probing
}

// reachability tracks whether connections to one data centre can be opened. Once the data centre counts as unreachable, only a
// successful probe changes that, so that no caller's request serves as the probe.
type reachability struct {
	failedConnections int // failed connection attempts since the last response from the data centre
}

// unreachableAfter is the number of failed connection attempts in a row after which a data centre counts as unreachable. Fewer
// failures can be due to crashed endpoints.
const unreachableAfter = 3

// record adds the outcome of an attempt.
func (r *reachability) record(o Outcome) {
	switch o {
	case Unreachable:
		r.failedConnections++
	case Succeeded, Errored, Refused, ConnectionRefused:
		r.failedConnections = 0
	}
}

// usable reports whether the data centre counts as reachable.
func (r *reachability) usable() bool { return r.failedConnections < unreachableAfter }
