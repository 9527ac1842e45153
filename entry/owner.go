package entry

import (
	"context"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

const (
	// pollInterval is the time between load reports of an owned endpoint.
	pollInterval = 500 * time.Millisecond
	// reportTimeout bounds one load report.
	reportTimeout = time.Second
	// askSlice is how long one request waits in the owner's queue before the holder has to ask again. It is well below the
	// grant lifetime, which runs from the newest request.
	askSlice = time.Second
	// abandonAfter is how long a queued demand stays without a request that waits for it.
	abandonAfter = 1500 * time.Millisecond
	// loadMemory is how long a load that the last owner told is worth knowing for a new owner. It covers a change of owner.
	loadMemory = 20 * time.Second
	// cancelRetry is the time between attempts to cancel a dead holder's streams.
	cancelRetry = time.Second
)

// owned is an endpoint that this VM owns. It belongs to the control goroutine.
type owned struct {
	spec     engine.Spec
	ledger   Ledger
	tenure   time.Time // since when this VM has held a majority of the shares, zero where it does not
	observed time.Time // when the newest report was asked for
	ready    bool      // there was a report
	polling  bool
	reports  uint64 // number of reports made up without a client
	nextPoll time.Time
	records  map[string]*record
	streams  []engine.StreamReport
	cancels  map[BorrowerID]*cancellation
}

// record is a demand that is queued or granted.
type record struct {
	demand      engine.Demand
	incarnation uint64
	round       uint64 // renewals of the holder from this one on name the grant while it is in use
	granted     bool
	issued      time.Time
	shares      int            // usable shares when it was issued
	waiting     chan askAnswer // of the request that waits, or nil
	last        chan askAnswer // of the newest request
	seen        time.Time      // when a request last waited
	until       time.Time      // end of Demand.MaxWait
}

// askAnswer is the answer to one request for a grant. With neither granted nor refusal the demand is still queued.
type askAnswer struct {
	granted bool
	refusal *customer.Refusal
	load    engine.Load
}

func refuse(reason customer.Reason, message string) askAnswer {
	return askAnswer{refusal: customer.Refuse(reason, message)}
}

// tickOwned takes over endpoints that this VM is to own, gives up the others and serves the queues.
func (n *Node) tickOwned(now time.Time) {
	var lost []string
	for name, o := range n.owned {
		if _, ok := n.specs[name]; !ok || !n.mine(endpointResource(name)) {
			n.disown(name, o)
			lost = append(lost, endpointResource(name))
		}
	}
	if lost != nil {
		n.giveBack(now, n.borrower, lost)
	}
	var resources []string
	for name, spec := range n.specs {
		resource := endpointResource(name)
		if !n.mine(resource) {
			continue
		}
		resources = append(resources, resource)
		o := n.owned[name]
		if o == nil {
			o = &owned{spec: spec, ledger: n.opts.newLedger(spec, now), records: map[string]*record{}, cancels: map[BorrowerID]*cancellation{}}
			if l, ok := o.ledger.(interface{ Inherit(engine.Load) }); ok && now.Sub(n.loads[name].at) < loadMemory {
				l.Inherit(n.loads[name].load)
			}
			n.owned[name] = o
			n.log.WithField("endpoint", name).Info("entry: endpoint taken over")
		} else if o.spec != spec {
			n.respec(now, o, spec)
		}
	}
	for _, o := range n.owned {
		// Before the shares are asked for again, so that a lease that lapsed during a pause ends the tenure.
		if !n.majority(now, o) {
			o.tenure = time.Time{}
		} else if o.tenure.IsZero() {
			o.tenure = now
		}
	}
	n.borrow(now, n.borrower, resources)
	for _, o := range n.owned {
		n.poll(now, o)
		n.sweep(now, o)
		n.settle(now, o)
		n.cancelDead(now, o)
	}
}

// respec begins a new ledger for a changed endpoint. Grants that were issued stay counted, because the wait for new shares does
// not cover them. Queued demands are asked again.
func (n *Node) respec(now time.Time, o *owned, spec engine.Spec) {
	o.spec, o.ledger, o.ready, o.nextPoll = spec, n.opts.newLedger(spec, now), false, now
	for id, r := range o.records {
		if r.granted {
			o.ledger.Register(now, engine.Grant{ID: id, Endpoint: spec.Name, Holder: r.demand.Holder, Owner: n.cfg.Place, Demand: r.demand})
			continue
		}
		o.answer(r, refuse(customer.ReasonNoOwner, "the endpoint's configuration changed"))
		delete(o.records, id)
	}
}

// disown drops an endpoint's ledger. Requests that wait are told to find the new owner.
func (n *Node) disown(name string, o *owned) {
	for _, r := range o.records {
		o.answer(r, refuse(customer.ReasonNoOwner, "the endpoint's owner changed"))
	}
	delete(n.owned, name)
	n.log.WithField("endpoint", name).Info("entry: endpoint given up")
}

// poll asks the endpoint for a report when one is due.
func (n *Node) poll(now time.Time, o *owned) {
	if now.Before(o.nextPoll) || o.polling {
		return
	}
	o.nextPoll = now.Add(pollInterval)
	if n.opts.endpoints == nil {
		o.observed, o.ready = now, true
		o.reports++
		o.ledger.Observe(now, engine.Report{Sequence: o.reports, KVTokens: o.spec.KVTokens, Sequences: o.spec.Sequences, Model: o.spec.Model})
		return
	}
	spec := o.spec
	o.polling = n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		asked := time.Now()
		report, err := n.opts.endpoints.Report(ctx, spec)
		n.post(func() {
			o.polling = false
			if o.spec != spec {
				return
			}
			if err != nil {
				n.log.WithError(err).WithField("endpoint", spec.Name).Debug("entry: no load report")
				return
			}
			now := time.Now()
			o.observed, o.ready, o.streams = asked, true, report.Streams
			o.ledger.Observe(now, report)
			if n.owned[o.spec.Name] == o {
				n.settle(now, o)
			}
		})
	})
}

// usable returns how many shares of the endpoint may be used. A share counts once a report shows all that earlier borrowers
// permitted.
func (n *Node) usable(now time.Time, o *owned) int {
	sum := 0
	for i := range Shares {
		sum += n.borrower.Usable(now, o.observed, shareKey{endpointResource(o.spec.Name), i})
	}
	return sum
}

// majority says whether this VM holds a majority of the endpoint's shares. At most one VM does at a time.
func (n *Node) majority(now time.Time, o *owned) bool {
	held := 0
	for i := range Shares {
		held += n.borrower.Held(now, shareKey{endpointResource(o.spec.Name), i})
	}
	return 2*held > Shares
}

// Tenures returns the endpoints of which this VM holds a majority of the shares, and since when it has held one.
func (n *Node) Tenures() map[string]time.Time {
	tenures := map[string]time.Time{}
	n.do(func() {
		now := time.Now()
		for name, o := range n.owned {
			if !o.tenure.IsZero() && n.majority(now, o) {
				tenures[name] = o.tenure
			}
		}
	})
	return tenures
}

// sharesComing says whether the owner can expect more usable shares soon: one is held and waits, or its guardian lives.
func (n *Node) sharesComing(now time.Time, o *owned) bool {
	resource := endpointResource(o.spec.Name)
	for i, guardian := range n.guardians(resource) {
		if n.borrower.Usable(now, o.observed, shareKey{resource, i}) == 0 && n.members.Live(guardian) {
			return true
		}
	}
	return false
}

// settle applies the shares and answers the queued demands that can be decided.
func (n *Node) settle(now time.Time, o *owned) {
	o.ledger.SetShares(now, n.usable(now, o), Shares)
	for _, d := range o.ledger.Next(now) {
		r := o.records[d.ID()]
		switch d := d.(type) {
		case engine.Granted:
			if r == nil {
				o.ledger.Withdraw(now, d.ID())
				continue
			}
			r.granted, r.issued, r.shares = true, now, n.usable(now, o)
			o.answer(r, askAnswer{granted: true}) // or else to the next request
		case engine.Refused:
			if r != nil {
				o.answer(r, askAnswer{refusal: d.Refusal})
				delete(o.records, d.ID())
			}
		}
	}
	n.loads[o.spec.Name] = knownLoad{o.ledger.Load(), now}
}

// answer gives an answer to the request that waits for a record.
func (o *owned) answer(r *record, a askAnswer) {
	if r.waiting != nil {
		a.load = o.ledger.Load()
		r.waiting <- a
		r.waiting = nil
	}
}

// sweep ends queued demands whose time is over or whose holder no longer asks.
func (n *Node) sweep(now time.Time, o *owned) {
	for id, r := range o.records {
		if r.granted {
			continue
		}
		if r.waiting != nil {
			r.seen = now
		}
		if now.Before(r.until) && now.Sub(r.seen) < abandonAfter {
			continue
		}
		o.ledger.Withdraw(now, id)
		delete(o.records, id)
		o.answer(r, refuse(customer.ReasonDeadline, "no capacity became free within the longest wait"))
	}
}

// ask handles one request for a grant. The answer comes on the channel, at once or later.
func (n *Node) ask(now time.Time, endpoint string, d engine.Demand, incarnation, round uint64) chan askAnswer {
	ch := make(chan askAnswer, 1)
	o := n.owned[endpoint]
	switch {
	case o == nil:
		ch <- refuse(customer.ReasonNoOwner, "this VM does not own the endpoint")
		return ch
	case n.deadHolder(BorrowerID{d.Holder, incarnation}):
		// Its streams are being cancelled. It refutes its death first.
		ch <- refuse(customer.ReasonNoOwner, "the owner believes that this VM is dead")
		return ch
	case n.usable(now, o) == 0 || !o.ready:
		ch <- refuse(customer.ReasonNoOwner, "the endpoint's owner has no usable share yet")
		return ch
	}
	r := o.records[d.ID]
	if r != nil && !r.granted {
		o.answer(r, askAnswer{})
		r.waiting, r.last, r.seen, r.round = ch, ch, now, max(r.round, round)
		return ch
	}
	if r != nil {
		// The answer was lost, or nobody waited for it. The holder's time for the send begins again, so the grant needs the
		// shares that it was issued under.
		if n.usable(now, o) < r.shares {
			n.free(now, endpoint, d.ID, d.Holder, nil)
			ch <- refuse(customer.ReasonGrantExpired, "a share of the endpoint was lost since the grant was issued")
			return ch
		}
		r.issued, r.round = now, max(r.round, round)
		r.waiting, r.last = ch, ch
		o.answer(r, askAnswer{granted: true})
		return ch
	}
	r = &record{demand: d, incarnation: incarnation, round: round, seen: now, until: now.Add(d.MaxWait)}
	r.waiting, r.last, r.shares = ch, ch, n.usable(now, o)
	o.ledger.SetShares(now, r.shares, Shares)
	switch dec := o.ledger.Ask(now, d).(type) {
	case engine.Granted:
		r.granted, r.issued = true, now
		o.records[d.ID] = r
		o.answer(r, askAnswer{granted: true})
	case engine.Refused:
		if dec.Refusal.Reason() == customer.ReasonShare && n.sharesComing(now, o) {
			o.answer(r, refuse(customer.ReasonNoOwner, dec.Refusal.Message()))
			break
		}
		o.answer(r, askAnswer{refusal: dec.Refusal})
	default:
		o.records[d.ID] = r
	}
	n.loads[endpoint] = knownLoad{o.ledger.Load(), now}
	return ch
}

// serveAsk waits for the answer to one request for a grant, at most for one slice.
func (n *Node) serveAsk(ctx context.Context, endpoint string, d engine.Demand, incarnation, round uint64) askAnswer {
	var ch chan askAnswer
	if !n.do(func() { ch = n.ask(time.Now(), endpoint, d, incarnation, round) }) {
		return refuse(customer.ReasonNoOwner, "the endpoint's owner is stopping")
	}
	timer := time.NewTimer(min(askSlice, max(d.MaxWait, tickInterval)))
	defer timer.Stop()
	select {
	case a := <-ch:
		return a
	case <-timer.C:
		n.do(func() { n.unwait(endpoint, d.ID, ch) })
		select {
		case a := <-ch:
			return a
		default:
			return askAnswer{}
		}
	case <-ctx.Done():
		n.do(func() { n.cancelAsk(endpoint, d.ID, ch) })
		return refuse(customer.ReasonCallerGone, "the request was cancelled")
	}
}

// cancelAsk ends a demand whose request was cancelled, unless a newer request for it came over another connection.
func (n *Node) cancelAsk(endpoint, id string, ch chan askAnswer) {
	if o := n.owned[endpoint]; o != nil {
		if r := o.records[id]; r != nil && r.last == ch {
			n.free(time.Now(), endpoint, id, r.demand.Holder, nil)
		}
	}
}

// unwait detaches a request from a queued demand, which keeps its position until the next request.
func (n *Node) unwait(endpoint, id string, ch chan askAnswer) {
	if o := n.owned[endpoint]; o != nil {
		if r := o.records[id]; r != nil && r.waiting == ch {
			r.waiting, r.seen = nil, time.Now()
		}
	}
}

// free ends a demand or a grant. Without a result it was never used.
func (n *Node) free(now time.Time, endpoint, id, holder string, result *engine.Result) {
	o := n.owned[endpoint]
	if o == nil || o.records[id] == nil || o.records[id].demand.Holder != holder {
		return
	}
	delete(o.records, id)
	if result != nil {
		o.ledger.Release(now, id, *result)
	} else {
		o.ledger.Withdraw(now, id)
	}
	n.settle(now, o)
}
