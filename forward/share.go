package forward

import (
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
)

// WithShares sets the fair shares of customers. The handler records what each attempt uses, and sends no retry that needs the retry
// budget for a customer that exceeds its share.
func WithShares(s *endpoint.Shares) Option {
	return func(h *Handler) { h.shares = s }
}

// exceedsShare reports whether the customer exceeds its share of scarce capacity.
func (q *request) exceedsShare(now time.Time) bool {
	return q.h.shares != nil && q.h.shares.Exceeds(now, q.service, q.customerName())
}

// sharer returns the customer by whose share the next selection may be refused. A request that may have run is not refused by share,
// because the retry budget has admitted its retry.
func (q *request) sharer() string {
	if q.mayHaveRun {
		return ""
	}
	return q.customerName()
}

// selectForCall selects an endpoint of a plain service.
func (q *request) selectForCall(now time.Time) (*endpoint.Selection, *customer.Refusal) {
	return q.h.fleet.SelectForCall(now, q.service, q.tried, q.callRank(now), endpoint.CallCustomer(q.sharer()))
}

// attemptUse records what an attempt uses. A nil attemptUse records nothing.
//
// The prefill is recorded when the request is sent, and the rest while it runs, so that a burst counts before its answers end.
type attemptUse struct {
	q       *request
	prefill time.Duration // recorded prefill
	part    float64       // part of the endpoint that the attempt occupies now
	shared  float64       // part of each decode step that the answer will occupy
}

// beginUse records that the request is sent.
func (q *request) beginUse(now time.Time, sel *endpoint.Selection) *attemptUse {
	if q.h.shares == nil || q.customer == nil {
		return nil
	}
	u := &attemptUse{q: q}
	if s := q.table.Services()[q.service]; s != nil && s.Engine != nil {
		u.prefill, u.shared = s.Engine.PrefillTime(q.call.PromptTokens), 1/float64(sel.RunningAtSelection()+1)
		q.h.shares.Record(now, q.service, q.customerName(), u.prefill)
	} else {
		u.occupy(now, 1)
	}
	return u
}

// event records that the endpoint generates the answer.
func (u *attemptUse) event(now time.Time) {
	if u != nil && u.part == 0 {
		u.occupy(now, u.shared)
	}
}

// occupy records the part of the endpoint that the attempt occupies from now on.
func (u *attemptUse) occupy(now time.Time, part float64) {
	u.q.h.shares.Occupy(now, u.q.service, u.q.customerName(), part-u.part)
	u.part = part
}

// end records the end of the attempt. If it did not run, its prefill is taken back.
func (u *attemptUse) end(now time.Time, notRun bool) {
	if u == nil {
		return
	}
	if u.part > 0 {
		u.occupy(now, 0)
	}
	if notRun && u.prefill > 0 {
		u.q.h.shares.Record(now, u.q.service, u.q.customerName(), -u.prefill)
	}
}
