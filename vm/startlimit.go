package vm

import (
	"time"

	"goldcrestpath/engine"
)

// startLimit returns how long a completion can still wait before it has to start at an endpoint in order to
// meet both its TTFT target and its deadline. cached is the number of prompt tokens that are expected in the
// endpoint's prefix cache and need no prefill, and elapsed is the time since the request arrived. A negative result
// means that the target or the deadline can no longer be met.
func startLimit(c *engine.Completion, s engine.Spec, cached int, elapsed time.Duration, now time.Time) time.Duration {
	prefill := timeAtRate(float64(c.PromptTokens-cached), s.PrefillRate)
	limit := c.Deadline.Sub(now) - prefill - timeAtRate(float64(c.MaxTokens), s.DecodeRate)
	if c.TTFTTarget > 0 {
		limit = min(limit, c.TTFTTarget-elapsed-prefill)
	}
	return limit
}

// timeAtRate returns the time that n units take at a rate in units per second. A rate of 0 means unknown and
// gives a time of 0.
func timeAtRate(n, rate float64) time.Duration {
	if rate <= 0 || n <= 0 {
		return 0
	}
	return time.Duration(n / rate * float64(time.Second))
}
