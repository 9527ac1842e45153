package engine

import (
	"cmp"
	"slices"
	"time"

	"goldcrestpath/customer"
)

// waiting is a queued demand.
type waiting struct {
	demand  Demand
	startBy time.Time // has to start until then
	leaveBy time.Time // is not worth waiting for longer
	number  uint64    // order of arrival
	reason  customer.Reason
	over    bool // the customer is over its share, as of the last refresh
}

// account is what one customer has at the endpoint.
type account struct {
	weight int
	tokens int // reserved memory
	held   int // grants
	queued int
}

// account returns the customer's account with the weight that d states.
func (l *Ledger) account(d Demand) *account {
	a := l.accounts[d.Customer]
	if a == nil {
		a = &account{}
		l.accounts[d.Customer] = a
	}
	l.weights += max(d.Weight, 1) - a.weight
	a.weight = max(d.Weight, 1)
	return a
}

func (l *Ledger) tidy(customer string) {
	if a := l.accounts[customer]; a != nil && a.held == 0 && a.queued == 0 {
		l.weights -= a.weight
		delete(l.accounts, customer)
	}
}

// dominant returns the larger of the customer's parts of memory and of sequences. Memory alone would count a flood of short
// requests that holds nearly all sequences as small.
func (l *Ledger) dominant(a *account) float64 {
	return max(float64(a.tokens)/float64(max(l.capacity, 1)), float64(a.held)/float64(max(l.sequences, 1)))
}

// overShare says whether what the customer holds exceeds its weight's part of what all customers hold, as of the last refresh.
// Customers below their part go first, so that one that floods the endpoint displaces only itself.
func (l *Ledger) overShare(customer string) bool {
	const rounding = 1 + 1e-9 // equal parts are not over
	a := l.accounts[customer]
	if a == nil || len(l.accounts) < 2 {
		return false
	}
	return l.dominant(a)*float64(l.weights) > l.dominants*float64(a.weight)*rounding
}

// refresh brings the queue's order up to date after reservations have changed.
func (l *Ledger) refresh() {
	l.dominants = 0
	for _, a := range l.accounts {
		l.dominants += l.dominant(a)
	}
	for _, w := range l.queue {
		w.over = l.overShare(w.demand.Customer)
	}
}

// order compares two demands by their place in the queue: customers below their share first, then the higher contract
// priority, then the smaller slack.
func order(a, b *waiting) int {
	if a.over != b.over {
		if b.over {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.demand.Priority, a.demand.Priority), a.startBy.Compare(b.startBy), cmp.Compare(a.number, b.number))
}

// enqueue adds w. A full queue gives up the last demand of the customer that has queued most for its weight, unless that
// is w's own customer.
func (l *Ledger) enqueue(w *waiting) bool {
	a := l.account(w.demand)
	if len(l.queue) >= l.maxQueue {
		largest := ""
		var most *account
		for name, other := range l.accounts {
			if most == nil || other.queued*most.weight > most.queued*other.weight {
				largest, most = name, other
			}
		}
		if most == a || most.queued*a.weight <= (a.queued+1)*most.weight {
			l.tidy(w.demand.Customer)
			return false
		}
		l.displace(largest)
	}
	a.queued++
	l.queue = append(l.queue, w)
	return true
}

// displace refuses the last demand of a customer.
func (l *Ledger) displace(name string) {
	last := -1
	for i, w := range l.queue {
		if w.demand.Customer == name && (last < 0 || order(w, l.queue[last]) > 0) {
			last = i
		}
	}
	w := l.queue[last]
	l.dequeue(last)
	l.pending = append(l.pending, refuse(w.demand, customer.ReasonQueueFull, "the queue is full and the customer has most demands in it"))
}

func (l *Ledger) dequeue(i int) {
	name := l.queue[i].demand.Customer
	l.queue = slices.Delete(l.queue, i, i+1)
	l.accounts[name].queued--
	l.tidy(name)
}

func (l *Ledger) queuedAt(id string) int {
	return slices.IndexFunc(l.queue, func(w *waiting) bool { return w.demand.ID == id })
}

// Next returns decisions on queued demands that can be made at now. It is called after each change of the ledger and at
// least several times a second, because queued demands leave by time.
func (l *Ledger) Next(now time.Time) []Decision {
	l.now = now
	out := l.pending
	l.pending = nil
	l.expire()
	out = l.leave(out)
	var blocked [numLanes]bool
	for {
		l.refresh()
		best := -1
		for i, w := range l.queue {
			if !blocked[laneOf(w.demand)] && (best < 0 || order(w, l.queue[best]) < 0) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		w := l.queue[best]
		reason, final, text := l.obstacle(w.demand)
		switch {
		case reason == "":
			l.dequeue(best)
			out = append(out, l.grant(w.demand))
		case final:
			l.dequeue(best)
			out = append(out, refuse(w.demand, reason, text))
		default:
			w.reason = reason
			blocked[laneOf(w.demand)] = true
		}
	}
	return l.refuseHopeless(out)
}

// leave refuses the demands whose time is over.
func (l *Ledger) leave(out []Decision) []Decision {
	for i := 0; i < len(l.queue); {
		w := l.queue[i]
		switch {
		case !l.now.Before(w.startBy):
			out = append(out, refuse(w.demand, customer.ReasonDeadline, "the queued request can no longer start in time"))
		case !l.now.Before(w.leaveBy):
			out = append(out, refuse(w.demand, w.reason, "the request waited as long as it may"))
		default:
			i++
			continue
		}
		l.dequeue(i)
	}
	return out
}

// refuseHopeless refuses the queued demands that are predicted to start too late.
func (l *Ledger) refuseHopeless(out []Decision) []Decision {
	if len(l.queue) == 0 {
		return out
	}
	slices.SortFunc(l.queue, order) // refreshed by Next after the last grant
	f := l.forecast()
	for i := 0; i < len(l.queue); {
		w := l.queue[i]
		if start := f.start(w.demand); start.After(w.startBy) {
			f.undo(w.demand)
			l.dequeue(i)
			out = append(out, refuse(w.demand, customer.ReasonDeadline, "the queued request is predicted to start too late"))
			continue
		}
		i++
	}
	return out
}

// forecast predicts when queued demands start. Memory and sequences become free in the order in which granted work is
// predicted to end.
type forecast struct {
	l          *Ledger
	ends       []ending
	lanes      [numLanes]time.Time
	freeTokens int
	freeSlots  int
	last       time.Time
	next       int
}

type ending struct {
	at     time.Time
	tokens int
}

func (l *Ledger) forecast() *forecast {
	slots := l.slots()
	if l.allow.cold {
		slots = min(slots, l.allow.limit)
	}
	f := &forecast{l: l, freeTokens: l.usableTokens() - l.usedTokens(), freeSlots: slots - l.usedSlots(), last: l.now}
	for k := range f.lanes {
		f.lanes[k] = l.laneEnd(lane(k))
	}
	for _, r := range l.held {
		f.ends = append(f.ends, ending{at: later(l.end(r.prefillEnd, r.demand), l.now), tokens: r.tokens})
	}
	slices.SortFunc(f.ends, func(a, b ending) int { return a.at.Compare(b.at) })
	return f
}

// start takes room for d, which comes after all demands that start was called for before.
func (f *forecast) start(d Demand) time.Time {
	f.freeTokens -= d.Tokens()
	f.freeSlots--
	for f.next < len(f.ends) && (f.freeTokens < 0 || f.freeSlots < 0) {
		e := f.ends[f.next]
		f.next++
		f.freeTokens += e.tokens
		f.freeSlots++
		f.last = e.at
	}
	at := f.last
	if f.freeTokens < 0 || f.freeSlots < 0 {
		// The queue ahead fills the endpoint more than once. Further rounds are assumed to last as long as d itself.
		rounds := 1 + max(-f.freeTokens/max(f.l.usableTokens(), 1), -f.freeSlots/max(f.l.slots(), 1))
		at = at.Add(time.Duration(rounds) * f.l.end(f.l.now, d).Sub(f.l.now))
	}
	return later(at, f.lanes[laneOf(d)])
}

// undo gives back the room of the last demand that start was called for.
func (f *forecast) undo(d Demand) {
	f.freeTokens += d.Tokens()
	f.freeSlots++
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
