package vm

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/customer"
	"goldcrestpath/entry"
)

const shareContract = `[contract]
name = team
weight = 1
priority = 1
tokensPerSecond = 1000
burst = 100000
concurrent = 2
longestPrompt = 100000
models = small
[keys]
k = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
[deadline]
short = 30s
medium = 30s
long = 30s
veryLong = 30s
`

// TestQuotaDemand guards against a VM that reports no demand for requests that it received, continues to report demand
// after the requests have stopped, gives up the concurrency of a running request, or can never repay a debt because
// it reports no demand for it.
func TestQuotaDemand(t *testing.T) {
	contract, err := customer.ParseContract("contract.ini", []byte(shareContract))
	if err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name     string
		requests []int // tokens per request
		end      bool
		after    time.Duration
		want     entry.QuotaDemand
		inUse    bool // whether observe lists the customer
	}{
		{name: "nothing"},
		{name: "running", requests: []int{1000}, want: entry.QuotaDemand{TokensPerSecond: 500, Concurrent: 1, Running: 1}, inUse: true},
		{name: "refused by the concurrency limit", requests: []int{200, 200, 200, 200}, want: entry.QuotaDemand{TokensPerSecond: 400, Concurrent: 4, Running: 2}, inUse: true},
		{name: "long running", requests: []int{1000}, after: time.Minute, want: entry.QuotaDemand{TokensPerSecond: 1, Concurrent: 1, Running: 1}, inUse: true},
		{name: "ended", requests: []int{1000}, end: true, after: time.Minute, want: entry.QuotaDemand{TokensPerSecond: 1}},
		{name: "debt", requests: []int{80_000}, end: true, after: 10 * time.Second, want: entry.QuotaDemand{TokensPerSecond: 34_770}, inUse: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := customer.NewLimiter()
			shares := newQuotaShares(l)
			shares.apply(start, map[string]entry.QuotaShare{"team": {TokensPerSecond: 1000, Burst: 100_000, Concurrent: 2, Expires: start.Add(time.Hour)}})
			shares.observe(start)
			now := start.Add(time.Second) // the bucket holds 1,000 tokens
			for _, tokens := range test.requests {
				if a, r := l.Admit(now, contract, tokens, 0); r == nil && test.end {
					a.End(now, tokens)
				}
			}
			shares.observe(now)
			now = now.Add(test.after)
			shares.apply(now, map[string]entry.QuotaShare{"team": {TokensPerSecond: 1000, Burst: 100_000, Concurrent: 2, Expires: start.Add(time.Hour)}})
			inUse := len(shares.observe(now)) > 0
			if diff := cmp.Diff(test.want, shares.demand("team")); diff != "" || inUse != test.inUse {
				t.Errorf("in use %v, need (-want +got):\n%s", inUse, diff)
			}
		})
	}
}
