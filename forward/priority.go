package forward

import (
	"fmt"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
)

// prioritised returns the service of the request if routes of different priorities lead to it, or nil.
func (q *request) prioritised() *endpoint.Service {
	if s := q.table.Services()[q.service]; s != nil && s.Prioritised {
		return s
	}
	return nil
}

// rank returns the urgency of the request.
func (q *request) rank() endpoint.Rank { return q.table.Rank(q.route, q.customer) }

// callRank returns the urgency of a call to a plain service as an option of its selection.
func (q *request) callRank(now time.Time) endpoint.CallOption {
	return endpoint.CallRank(q.rank(), q.remaining(now))
}

// engineLevel returns the priority that the engine is told, or -1 if the service is not prioritised. The engine admits more urgent
// requests first when its batch is full.
func (q *request) engineLevel() int {
	if s := q.prioritised(); s != nil {
		return q.rank().Level(s.LeastUrgent)
	}
	return -1
}

// trySpend charges a retry to the budget. The last part of the budget of a prioritised service is reserved for its most urgent routes.
func (q *request) trySpend() bool {
	if s := q.prioritised(); s != nil && !s.IsUrgent(q.rank()) {
		return q.h.budget.TrySpendUnreserved(time.Now(), q.service)
	}
	return q.h.budget.TrySpend(time.Now(), q.service)
}

// countRefusal counts a refusal of a request to a prioritised service by the rank of the request.
func (q *request) countRefusal(r *customer.Refusal) {
	if r.Verdict() == customer.NotRun && q.prioritised() != nil {
		rank := q.rank()
		q.h.refused(fmt.Sprintf("rank.%d.%d", rank.Team, rank.Route)).Inc(1)
	}
}
