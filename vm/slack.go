package vm

import (
	"time"

	"goldcrestpath/engine"
)

// startSlack returns how long a completion can wait before it has to start at an endpoint to meet both its limit for the first token
// and its deadline. elapsed is the time since the request arrived. A negative result means that it cannot be met any more.
func startSlack(c *engine.Completion, s engine.Spec, cached int, elapsed time.Duration, now time.Time) time.Duration {
	prefill := seconds(float64(c.PromptTokens-cached), s.PrefillRate)
	slack := c.Deadline.Sub(now) - prefill - seconds(float64(c.MaxTokens), s.DecodeRate)
	if c.FirstToken > 0 {
		slack = min(slack, c.FirstToken-elapsed-prefill)
	}
	return slack
}

// seconds returns the time that n units take at a rate in units a second. A rate of 0 means unknown and costs no time.
func seconds(n, rate float64) time.Duration {
	if rate <= 0 || n <= 0 {
		return 0
	}
	return time.Duration(n / rate * float64(time.Second))
}
