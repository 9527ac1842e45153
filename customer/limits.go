package customer

import "time"

// Limits is everything that a contract limits. [Contract.Limits] derives it; nothing else reads a contract's numbers.
type Limits struct {
	tokensPerSecond int
	burst           int
	concurrent      int
	longestPrompt   int
	deadline        [numClasses]time.Duration
	firstToken      [numClasses]time.Duration
}

// Limits derives every limit that the customer meets.
func (c *Contract) Limits() Limits {
	return Limits{
		tokensPerSecond: c.tokensPerSecond,
		burst:           c.burst,
		concurrent:      c.concurrent,
		longestPrompt:   c.longestPrompt,
		deadline:        c.deadline,
		firstToken:      c.firstToken,
	}
}

// TokensPerSecond returns the sustained rate of prompt and answer tokens.
func (l Limits) TokensPerSecond() int { return l.tokensPerSecond }

// Burst returns the tokens that may be used at once after a pause.
func (l Limits) Burst() int { return l.burst }

// Concurrent returns the number of requests that may run at a time.
func (l Limits) Concurrent() int { return l.concurrent }

// LongestPrompt returns the longest prompt in tokens.
func (l Limits) LongestPrompt() int { return l.longestPrompt }

// Deadline returns the time within which a request of the class has to end.
func (l Limits) Deadline(class Class) time.Duration { return l.deadline[class] }

// FirstToken returns the limit for the time to the first token, or 0 where there is none.
func (l Limits) FirstToken(class Class) time.Duration { return l.firstToken[class] }

// Part returns shares of total equal parts of the limits. It rounds down, so that parts whose shares add up to total never
// add up to more than the limits.
func (l Limits) Part(shares, total int, expires time.Time) Part {
	if total <= 0 || shares <= 0 {
		return Part{Expires: expires}
	}
	shares = min(shares, total)
	return Part{
		TokensPerSecond: l.tokensPerSecond * shares / total,
		Burst:           l.burst * shares / total,
		Concurrent:      l.concurrent * shares / total,
		Expires:         expires,
	}
}
