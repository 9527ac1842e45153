package customer

import "time"

// Limits are all limits of a contract. All code reads them from [Contract.Limits], not from the contract's fields.
type Limits struct {
	tokensPerSecond int
	burst           int
	maxConcurrent   int
	maxPromptTokens int
	deadline        [numClasses]time.Duration
	firstToken      [numClasses]time.Duration
}

// Limits returns all limits that apply to the customer.
func (c *Contract) Limits() Limits {
	return Limits{
		tokensPerSecond: c.tokensPerSecond,
		burst:           c.burst,
		maxConcurrent:   c.maxConcurrent,
		maxPromptTokens: c.maxPromptTokens,
		deadline:        c.deadline,
		firstToken:      c.firstToken,
	}
}

// TokensPerSecond returns the sustained rate of prompt and answer tokens together.
func (l Limits) TokensPerSecond() int { return l.tokensPerSecond }

// Burst returns the number of tokens that may be used at once after a pause.
func (l Limits) Burst() int { return l.burst }

// MaxConcurrent returns the maximum number of concurrent requests.
func (l Limits) MaxConcurrent() int { return l.maxConcurrent }

// MaxPromptTokens returns the maximum length of a prompt in tokens.
func (l Limits) MaxPromptTokens() int { return l.maxPromptTokens }

// Deadline returns the time within which a request of the class must end.
func (l Limits) Deadline(class Class) time.Duration { return l.deadline[class] }

// TTFTTarget returns the target of the class for the time to first token (TTFT), or 0 if there is none.
func (l Limits) TTFTTarget(class Class) time.Duration { return l.firstToken[class] }

// Lease returns a lease of the limits for the given number of shares out of total. It rounds down, so that leases whose shares
// add up to total never exceed the limits together.
func (l Limits) Lease(shares, total int, expires time.Time) Lease {
	if total <= 0 || shares <= 0 {
		return Lease{Expires: expires}
	}
	shares = min(shares, total)
	return Lease{
		TokensPerSecond: l.tokensPerSecond * shares / total,
		Burst:           l.burst * shares / total,
		Concurrent:      l.maxConcurrent * shares / total,
		Expires:         expires,
	}
}
