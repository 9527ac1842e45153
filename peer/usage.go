package peer

import (
	"time"

	"goldcrestpath/endpoint"
)

// usage is the wire form of endpoint.Usage.
type usage struct {
	_        struct{} `cbor:",toarray"`
	Service  uint64
	Customer uint64
	Use      int64 // milliseconds
}

// WithShares sets the fair shares of customers whose use the VMs exchange.
func WithShares(s *endpoint.Shares) Option { return func(x *Exchange) { x.shares = s } }

// usageReports returns the use by the largest customers of this VM, nil while capacity is not scarce.
func (x *Exchange) usageReports(now time.Time) []usage {
	if x.shares == nil {
		return nil
	}
	var out []usage
	for _, u := range x.shares.Reports(now) {
		out = append(out, usage{Service: uint64(u.Service), Customer: uint64(u.Customer), Use: u.Use.Milliseconds()})
	}
	return out
}

// maxUse limits the use of one customer that a peer may report. Larger values are invalid: no VM sends so many requests within 2 s.
const maxUse = time.Hour

// decodeUsage drops rows whose use is out of range.
func decodeUsage(rows []usage) []endpoint.Usage {
	var out []endpoint.Usage
	for _, u := range rows {
		if u.Use > 0 && u.Use <= maxUse.Milliseconds() {
			out = append(out, endpoint.Usage{Service: endpoint.Key(u.Service), Customer: endpoint.Key(u.Customer), Use: time.Duration(u.Use) * time.Millisecond})
		}
	}
	return out
}

// exceeds and lags select a flag of a waiting prompt that is sent as a list of positions.
func exceeds(p *endpoint.WaitingPrompt) *bool { return &p.Exceeds }
func lags(p *endpoint.WaitingPrompt) *bool    { return &p.Lags }

// positionsOf returns the positions of the prompts whose flag is set.
func positionsOf(prompts []endpoint.WaitingPrompt, flag func(*endpoint.WaitingPrompt) *bool) []int {
	var positions []int
	for i := range prompts {
		if *flag(&prompts[i]) {
			positions = append(positions, i)
		}
	}
	return positions
}

// mark sets a flag of the prompts at the given positions. It ignores positions that do not exist.
func mark(prompts []endpoint.WaitingPrompt, positions []int, flag func(*endpoint.WaitingPrompt) *bool) []endpoint.WaitingPrompt {
	for _, i := range positions {
		if i >= 0 && i < len(prompts) {
			*flag(&prompts[i]) = true
		}
	}
	return prompts
}
