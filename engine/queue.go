package engine

import (
	"cmp"
	"slices"
	"time"

	"goldcrestpath/customer"
)

// queuedRequest is a grant request in the ledger's queue.
type queuedRequest struct {
	request       GrantRequest
	startBy       time.Time       // the request must start before this time
	waitUntil     time.Time       // end of the request's MaxWait
	arrival       uint64          // sequence number in order of arrival
	reason        customer.Reason // why the request could not be granted when it was last considered
	overFairShare bool            // whether its customer exceeds its fair share, as of the last refreshFairShares
}

// account is one customer's usage of the endpoint.
type account struct {
	weight int
	tokens int // reserved memory
	grants int
	queued int // queued requests
}

// account returns the account of req's customer, and creates it if there is none. It sets the weight to the one in req.
func (l *Ledger) account(req GrantRequest) *account {
	a := l.accounts[req.Customer]
	if a == nil {
		a = &account{}
		l.accounts[req.Customer] = a
	}
	l.weightSum += max(req.Weight, 1) - a.weight
	a.weight = max(req.Weight, 1)
	return a
}

// removeIdleAccount removes the customer's account if the customer has no grants and no queued requests.
func (l *Ledger) removeIdleAccount(customer string) {
	if a := l.accounts[customer]; a != nil && a.grants == 0 && a.queued == 0 {
		l.weightSum -= a.weight
		delete(l.accounts, customer)
	}
}

// dominantShare returns the larger of the customer's share of the memory and its share of the batch slots. Memory alone would
// understate the usage of a customer whose many short requests occupy nearly all slots.
func (l *Ledger) dominantShare(a *account) float64 {
	return max(float64(a.tokens)/float64(max(l.capacity, 1)), float64(a.grants)/float64(max(l.sequences, 1)))
}

// exceedsFairShare reports whether the customer's dominant share exceeds its fair share. The fair share is the sum of all
// customers' dominant shares, as of the last refreshFairShares, times the customer's weight divided by the sum of weights.
// Customers within their fair share are served first, so a customer that floods the endpoint delays only its own requests.
func (l *Ledger) exceedsFairShare(customer string) bool {
	const rounding = 1 + 1e-9 // keeps rounding errors from putting a customer at exactly its fair share over it
	a := l.accounts[customer]
	if a == nil || len(l.accounts) < 2 {
		return false
	}
	return l.dominantShare(a)*float64(l.weightSum) > l.dominantShareSum*float64(a.weight)*rounding
}

// refreshFairShares recomputes which queued requests belong to customers above their fair share. It must be called after
// reservations have changed.
func (l *Ledger) refreshFairShares() {
	l.dominantShareSum = 0
	for _, a := range l.accounts {
		l.dominantShareSum += l.dominantShare(a)
	}
	for _, queued := range l.queue {
		queued.overFairShare = l.exceedsFairShare(queued.request.Customer)
	}
}

// compareQueued defines the order of the queue. Requests of customers within their fair share come first. Otherwise requests
// are ordered by descending contract priority, by startBy and by arrival.
func compareQueued(a, b *queuedRequest) int {
	if a.overFairShare != b.overFairShare {
		if b.overFairShare {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.request.Priority, a.request.Priority), a.startBy.Compare(b.startBy), cmp.Compare(a.arrival, b.arrival))
}

// enqueue adds queued to the queue and reports whether it did. If the queue is full, it evicts the last request of the customer with
// the most queued requests relative to its weight. queued is not added if that customer is its own, or if its customer would then
// have at least as many queued requests relative to its weight.
func (l *Ledger) enqueue(queued *queuedRequest) bool {
	a := l.account(queued.request)
	if len(l.queue) >= l.maxQueue {
		largestName := ""
		var largestAccount *account
		for name, other := range l.accounts {
			if largestAccount == nil || other.queued*largestAccount.weight > largestAccount.queued*other.weight {
				largestName, largestAccount = name, other
			}
		}
		if largestAccount == a || largestAccount.queued*a.weight <= (a.queued+1)*largestAccount.weight {
			l.removeIdleAccount(queued.request.Customer)
			return false
		}
		l.evictLast(largestName)
	}
	a.queued++
	l.queue = append(l.queue, queued)
	return true
}

// evictLast removes and refuses the customer's last request in the order of the queue.
func (l *Ledger) evictLast(name string) {
	last := -1
	for i, queued := range l.queue {
		if queued.request.Customer == name && (last < 0 || compareQueued(queued, l.queue[last]) > 0) {
			last = i
		}
	}
	queued := l.queue[last]
	l.dequeue(last)
	l.pendingDecisions = append(l.pendingDecisions, refuse(queued.request, customer.ReasonQueueFull, "the queue is full and the customer has the most queued requests relative to its weight"))
}

// dequeue removes the request at index i from the queue.
func (l *Ledger) dequeue(i int) {
	name := l.queue[i].request.Customer
	l.queue = slices.Delete(l.queue, i, i+1)
	l.accounts[name].queued--
	l.removeIdleAccount(name)
}

// queueIndex returns the index of the queued request with the ID, or -1.
func (l *Ledger) queueIndex(id string) int {
	return slices.IndexFunc(l.queue, func(w *queuedRequest) bool { return w.request.ID == id })
}

// ProcessQueue decides on queued requests and returns the decisions that can be made at now. It must be called after each change
// to the ledger, and several times a second even without one, because queued requests expire.
func (l *Ledger) ProcessQueue(now time.Time) []Decision {
	l.now = now
	decisions := l.pendingDecisions
	l.pendingDecisions = nil
	l.expire()
	decisions = l.refuseExpired(decisions)
	var blocked [numLanes]bool
	for {
		l.refreshFairShares()
		best := -1
		for i, queued := range l.queue {
			if !blocked[laneOf(queued.request)] && (best < 0 || compareQueued(queued, l.queue[best]) < 0) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		queued := l.queue[best]
		reason, final, text := l.admissionObstacle(queued.request)
		switch {
		case reason == "":
			l.dequeue(best)
			decisions = append(decisions, l.grant(queued.request))
		case final:
			l.dequeue(best)
			decisions = append(decisions, refuse(queued.request, reason, text))
		default:
			queued.reason = reason
			blocked[laneOf(queued.request)] = true
		}
	}
	return l.refuseLate(decisions)
}

// refuseExpired refuses the queued requests that can no longer start in time or have waited for their MaxWait. It appends the
// decisions to the given ones.
func (l *Ledger) refuseExpired(decisions []Decision) []Decision {
	for i := 0; i < len(l.queue); {
		queued := l.queue[i]
		switch {
		case !l.now.Before(queued.startBy):
			decisions = append(decisions, refuse(queued.request, customer.ReasonDeadline, "the queued request can no longer start in time"))
		case !l.now.Before(queued.waitUntil):
			decisions = append(decisions, refuse(queued.request, queued.reason, "the request reached its maximum wait in the queue"))
		default:
			i++
			continue
		}
		l.dequeue(i)
	}
	return decisions
}

// refuseLate refuses the queued requests that are predicted to start too late. It appends the decisions to the given ones.
func (l *Ledger) refuseLate(decisions []Decision) []Decision {
	if len(l.queue) == 0 {
		return decisions
	}
	slices.SortFunc(l.queue, compareQueued) // ProcessQueue has refreshed the fair shares after the last grant
	f := l.forecast()
	for i := 0; i < len(l.queue); {
		queued := l.queue[i]
		if start := f.allocate(queued.request); start.After(queued.startBy) {
			f.deallocate(queued.request)
			l.dequeue(i)
			decisions = append(decisions, refuse(queued.request, customer.ReasonDeadline, "the queued request is predicted to start too late"))
			continue
		}
		i++
	}
	return decisions
}

// forecast predicts when queued requests start. It assumes that memory and batch slots are released in the order in which the
// granted requests are predicted to end.
type forecast struct {
	l           *Ledger
	releases    []predictedRelease
	laneFreeAt  [numLanes]time.Time
	freeTokens  int
	freeSlots   int
	lastRelease time.Time
	nextRelease int
}

// predictedRelease is the memory that a request is predicted to release when it ends.
type predictedRelease struct {
	at     time.Time
	tokens int
}

// forecast returns a forecast that starts from the current reservations.
func (l *Ledger) forecast() *forecast {
	slots := l.usableSlots()
	if l.allowance.cold {
		slots = min(slots, l.allowance.limit)
	}
	f := &forecast{l: l, freeTokens: l.usableTokens() - l.usedTokens(), freeSlots: slots - l.usedSlots(), lastRelease: l.now}
	for k := range f.laneFreeAt {
		f.laneFreeAt[k] = l.laneFreeAt(lane(k))
	}
	for _, r := range l.reservations {
		f.releases = append(f.releases, predictedRelease{at: later(l.predictEnd(r.prefillEnd, r.request), l.now), tokens: r.tokens})
	}
	slices.SortFunc(f.releases, func(a, b predictedRelease) int { return a.at.Compare(b.at) })
	return f
}

// allocate takes memory and a batch slot for req and returns when req is predicted to start. It must be called for the queued
// requests in the order of the queue.
func (f *forecast) allocate(req GrantRequest) time.Time {
	f.freeTokens -= req.Tokens()
	f.freeSlots--
	for f.nextRelease < len(f.releases) && (f.freeTokens < 0 || f.freeSlots < 0) {
		release := f.releases[f.nextRelease]
		f.nextRelease++
		f.freeTokens += release.tokens
		f.freeSlots++
		f.lastRelease = release.at
	}
	at := f.lastRelease
	if f.freeTokens < 0 || f.freeSlots < 0 {
		// The queued requests up to req need more than the endpoint's whole capacity, so they run in several rounds. Each further
		// round is assumed to take as long as req itself.
		rounds := 1 + max(-f.freeTokens/max(f.l.usableTokens(), 1), -f.freeSlots/max(f.l.usableSlots(), 1))
		at = at.Add(time.Duration(rounds) * f.l.predictEnd(f.l.now, req).Sub(f.l.now))
	}
	return later(at, f.laneFreeAt[laneOf(req)])
}

// deallocate returns the memory and the batch slot of req. It may be called only for the request for which allocate was last
// called.
func (f *forecast) deallocate(req GrantRequest) {
	f.freeTokens += req.Tokens()
	f.freeSlots++
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
