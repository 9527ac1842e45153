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
	// maxRequestWait is how long one call waits in the owner's queue before the holder has to send another one. It
	// is well below the grant lifetime, which is measured from the holder's newest request.
	maxRequestWait = time.Second
	// abandonTimeout is how long a queued grant request is kept while no call waits for it.
	abandonTimeout = 1500 * time.Millisecond
	// maxPreviousLoadAge is the age up to which a new owner starts from the load that the previous owner reported. It is
	// longer than a change of owner takes.
	maxPreviousLoadAge = 20 * time.Second
	// cancelRetryInterval is the time between attempts to cancel a failed holder's streams.
	cancelRetryInterval = time.Second
)

// ownedEndpoint is the state of an endpoint that this VM owns. It is accessed only by the control goroutine.
type ownedEndpoint struct {
	spec             engine.Spec
	ledger           Ledger
	majoritySince    time.Time // since when this VM has held a majority of the shares; zero without a majority
	observedAt       time.Time // when the newest report was requested
	hasReport        bool      // a report has been received
	pollInProgress   bool
	syntheticReports uint64 // number of reports generated without an endpoint client
	nextPoll         time.Time
	records          map[string]*grantRecord
	streams          []engine.StreamReport
	cancellations    map[LesseeID]*cancellation
}

// grantRecord is an engine.GrantRequest that is queued or granted. While it is queued, its holder sends one call after
// another for it, each of which waits for at most maxRequestWait.
type grantRecord struct {
	request      engine.GrantRequest
	incarnation  uint64
	round        uint64 // the holder's renewals from this number on name the grant while it is in use
	granted      bool
	issuedAt     time.Time
	issuedShares int              // usable shares when it was issued
	waitingCh    chan grantAnswer // of the waiting call, or nil
	newestCh     chan grantAnswer // of the newest call
	lastWaited   time.Time        // when a call last waited
	deadline     time.Time        // end of the request's MaxWait
}

// grantAnswer is the answer to one call for a grant. Without a grant and a refusal, the grant request is still queued.
type grantAnswer struct {
	granted bool
	refusal *customer.Refusal
	load    engine.Load
}

func refuse(reason customer.Reason, message string) grantAnswer {
	return grantAnswer{refusal: customer.Refuse(reason, message)}
}

// tickOwnedEndpoints creates ledgers for endpoints that this VM is to own from now on, drops those that it is no longer to
// own, requests shares and load reports, and processes the queues.
func (n *Node) tickOwnedEndpoints(now time.Time) {
	var dropped []string
	for name, o := range n.ownedEndpoints {
		if _, ok := n.specs[name]; !ok || !n.shouldOwn(endpointResource(name)) {
			n.dropEndpoint(name, o)
			dropped = append(dropped, endpointResource(name))
		}
	}
	if dropped != nil {
		n.returnShares(now, n.lessee, dropped)
	}
	var resources []string
	for name, spec := range n.specs {
		resource := endpointResource(name)
		if !n.shouldOwn(resource) {
			continue
		}
		resources = append(resources, resource)
		o := n.ownedEndpoints[name]
		if o == nil {
			o = &ownedEndpoint{spec: spec, ledger: n.opts.newLedger(spec, now), records: map[string]*grantRecord{}, cancellations: map[LesseeID]*cancellation{}}
			if l, ok := o.ledger.(interface{ Inherit(engine.Load) }); ok && now.Sub(n.loads[name].receivedAt) < maxPreviousLoadAge {
				l.Inherit(n.loads[name].load)
			}
			n.ownedEndpoints[name] = o
			n.log.WithField("endpoint", name).Info("entry: endpoint taken over")
		} else if o.spec != spec {
			n.reconfigureEndpoint(now, o, spec)
		}
	}
	for _, o := range n.ownedEndpoints {
		// Checked before the shares are requested again, so that a lease that expired during a pause resets
		// majoritySince.
		if !n.holdsMajority(now, o) {
			o.majoritySince = time.Time{}
		} else if o.majoritySince.IsZero() {
			o.majoritySince = now
		}
	}
	n.requestShares(now, n.lessee, resources)
	for _, o := range n.ownedEndpoints {
		n.pollReport(now, o)
		n.expireGrantRequests(now, o)
		n.processQueue(now, o)
		n.cancelFailedHolders(now, o)
	}
}

// reconfigureEndpoint starts a new ledger for an endpoint whose configuration changed. It keeps counting issued grants,
// because this owner keeps its shares and so does not wait until older grants are visible in reports. Holders have to send
// queued grant requests again.
func (n *Node) reconfigureEndpoint(now time.Time, o *ownedEndpoint, spec engine.Spec) {
	o.spec, o.ledger, o.hasReport, o.nextPoll = spec, n.opts.newLedger(spec, now), false, now
	for id, r := range o.records {
		if r.granted {
			o.ledger.AdoptGrant(now, engine.Grant{ID: id, Endpoint: spec.Name, Holder: r.request.Holder, Owner: n.cfg.VMName, Request: r.request})
			continue
		}
		o.answer(r, refuse(customer.ReasonNoOwner, "the endpoint's configuration changed"))
		delete(o.records, id)
	}
}

// dropEndpoint removes an endpoint's ledger. It answers waiting requests, so that their holders look up the new owner.
func (n *Node) dropEndpoint(name string, o *ownedEndpoint) {
	for _, r := range o.records {
		o.answer(r, refuse(customer.ReasonNoOwner, "the endpoint's owner changed"))
	}
	delete(n.ownedEndpoints, name)
	n.log.WithField("endpoint", name).Info("entry: endpoint given up")
}

// pollReport requests a load report from the endpoint if one is due. Without an endpoint client, it generates a report of
// an idle endpoint.
func (n *Node) pollReport(now time.Time, o *ownedEndpoint) {
	if now.Before(o.nextPoll) || o.pollInProgress {
		return
	}
	o.nextPoll = now.Add(pollInterval)
	if n.opts.endpoints == nil {
		o.observedAt, o.hasReport = now, true
		o.syntheticReports++
		o.ledger.ObserveReport(now, engine.Report{Sequence: o.syntheticReports, KVTokens: o.spec.KVTokens, Sequences: o.spec.MaxSequences, Model: o.spec.Model})
		return
	}
	spec := o.spec
	o.pollInProgress = n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		requestedAt := time.Now()
		report, err := n.opts.endpoints.Report(ctx, spec)
		n.post(func() {
			o.pollInProgress = false
			if o.spec != spec {
				return
			}
			if err != nil {
				n.log.WithError(err).WithField("endpoint", spec.Name).Debug("entry: load report failed")
				return
			}
			now := time.Now()
			o.observedAt, o.hasReport, o.streams = requestedAt, true, report.Streams
			o.ledger.ObserveReport(now, report)
			if n.ownedEndpoints[o.spec.Name] == o {
				n.processQueue(now, o)
			}
		})
	})
}

// usableShares returns how many shares of the endpoint may be used. A share is usable once a report shows all work that
// earlier lessees permitted.
func (n *Node) usableShares(now time.Time, o *ownedEndpoint) int {
	sum := 0
	for i := range SharesPerResource {
		sum += n.lessee.Usable(now, o.observedAt, shareKey{endpointResource(o.spec.Name), i})
	}
	return sum
}

// holdsMajority reports whether this VM holds a majority of the endpoint's shares. At most one VM does at any time.
func (n *Node) holdsMajority(now time.Time, o *ownedEndpoint) bool {
	held := 0
	for i := range SharesPerResource {
		held += n.lessee.Held(now, shareKey{endpointResource(o.spec.Name), i})
	}
	return 2*held > SharesPerResource
}

// MajoritySince returns the endpoints for which this VM holds a majority of the shares, and since when it has held a
// majority.
func (n *Node) MajoritySince() map[string]time.Time {
	majoritySince := map[string]time.Time{}
	n.do(func() {
		now := time.Now()
		for name, o := range n.ownedEndpoints {
			if !o.majoritySince.IsZero() && n.holdsMajority(now, o) {
				majoritySince[name] = o.majoritySince
			}
		}
	})
	return majoritySince
}

// expectsMoreShares reports whether the owner can expect more usable shares soon: at least one share is not usable yet and
// has a live lessor.
func (n *Node) expectsMoreShares(now time.Time, o *ownedEndpoint) bool {
	resource := endpointResource(o.spec.Name)
	for i, lessor := range n.currentLessors(resource) {
		if n.lessee.Usable(now, o.observedAt, shareKey{resource, i}) == 0 && n.members.Live(lessor) {
			return true
		}
	}
	return false
}

// processQueue applies the usable shares and answers the queued grant requests that can be decided.
func (n *Node) processQueue(now time.Time, o *ownedEndpoint) {
	o.ledger.SetShares(now, n.usableShares(now, o), SharesPerResource)
	for _, d := range o.ledger.ProcessQueue(now) {
		r := o.records[d.ID()]
		switch d := d.(type) {
		case engine.Granted:
			if r == nil {
				o.ledger.Withdraw(now, d.ID())
				continue
			}
			r.granted, r.issuedAt, r.issuedShares = true, now, n.usableShares(now, o)
			o.answer(r, grantAnswer{granted: true}) // if no call is waiting, submitGrantRequest answers the next one
		case engine.Refused:
			if r != nil {
				o.answer(r, grantAnswer{refusal: d.Refusal})
				delete(o.records, d.ID())
			}
		}
	}
	n.loads[o.spec.Name] = knownLoad{o.ledger.Load(), now}
}

// answer answers the call that waits for a record, if there is one.
func (o *ownedEndpoint) answer(r *grantRecord, a grantAnswer) {
	if r.waitingCh != nil {
		a.load = o.ledger.Load()
		r.waitingCh <- a
		r.waitingCh = nil
	}
}

// expireGrantRequests ends queued grant requests whose maximum wait has passed or whose holder no longer sends calls.
func (n *Node) expireGrantRequests(now time.Time, o *ownedEndpoint) {
	for id, r := range o.records {
		if r.granted {
			continue
		}
		if r.waitingCh != nil {
			r.lastWaited = now
		}
		if now.Before(r.deadline) && now.Sub(r.lastWaited) < abandonTimeout {
			continue
		}
		o.ledger.Withdraw(now, id)
		delete(o.records, id)
		o.answer(r, refuse(customer.ReasonDeadline, "no capacity became available within the maximum wait"))
	}
}

// submitGrantRequest handles one call for a grant: it queues a new grant request, or continues the one with the same ID. The
// answer is sent on the returned channel, at once or later.
func (n *Node) submitGrantRequest(now time.Time, endpoint string, req engine.GrantRequest, incarnation, round uint64) chan grantAnswer {
	ch := make(chan grantAnswer, 1)
	o := n.ownedEndpoints[endpoint]
	switch {
	case o == nil:
		ch <- refuse(customer.ReasonNoOwner, "this VM does not own the endpoint")
		return ch
	case n.holderFailed(LesseeID{req.Holder, incarnation}):
		// The grants of a failed holder are being released. The holder has to refute its failure first.
		ch <- refuse(customer.ReasonNoOwner, "the owner considers this VM to have failed")
		return ch
	case n.usableShares(now, o) == 0 || !o.hasReport:
		ch <- refuse(customer.ReasonNoOwner, "the endpoint's owner has no usable share yet")
		return ch
	}
	r := o.records[req.ID]
	if r != nil && !r.granted {
		o.answer(r, grantAnswer{})
		r.waitingCh, r.newestCh, r.lastWaited, r.round = ch, ch, now, max(r.round, round)
		return ch
	}
	if r != nil {
		// The answer was lost, or no call was waiting for it. The lifetime of the grant begins again, so the owner must
		// still hold the shares under which the grant was issued.
		if n.usableShares(now, o) < r.issuedShares {
			n.endRecord(now, endpoint, req.ID, req.Holder, nil)
			ch <- refuse(customer.ReasonGrantExpired, "a share of the endpoint was lost since the grant was issued")
			return ch
		}
		r.issuedAt, r.round = now, max(r.round, round)
		r.waitingCh, r.newestCh = ch, ch
		o.answer(r, grantAnswer{granted: true})
		return ch
	}
	r = &grantRecord{request: req, incarnation: incarnation, round: round, lastWaited: now, deadline: now.Add(req.MaxWait)}
	r.waitingCh, r.newestCh, r.issuedShares = ch, ch, n.usableShares(now, o)
	o.ledger.SetShares(now, r.issuedShares, SharesPerResource)
	switch dec := o.ledger.RequestGrant(now, req).(type) {
	case engine.Granted:
		r.granted, r.issuedAt = true, now
		o.records[req.ID] = r
		o.answer(r, grantAnswer{granted: true})
	case engine.Refused:
		if dec.Refusal.Reason() == customer.ReasonShare && n.expectsMoreShares(now, o) {
			o.answer(r, refuse(customer.ReasonNoOwner, dec.Refusal.Message()))
			break
		}
		o.answer(r, grantAnswer{refusal: dec.Refusal})
	default:
		o.records[req.ID] = r
	}
	n.loads[endpoint] = knownLoad{o.ledger.Load(), now}
	return ch
}

// serveGrantRequest submits one call for a grant and waits for the answer, for at most maxRequestWait.
func (n *Node) serveGrantRequest(ctx context.Context, endpoint string, req engine.GrantRequest, incarnation, round uint64) grantAnswer {
	var ch chan grantAnswer
	if !n.do(func() { ch = n.submitGrantRequest(time.Now(), endpoint, req, incarnation, round) }) {
		return refuse(customer.ReasonNoOwner, "the endpoint's owner is stopping")
	}
	timer := time.NewTimer(min(maxRequestWait, max(req.MaxWait, tickInterval)))
	defer timer.Stop()
	select {
	case a := <-ch:
		return a
	case <-timer.C:
		n.do(func() { n.detachRequest(endpoint, req.ID, ch) })
		select {
		case a := <-ch:
			return a
		default:
			return grantAnswer{}
		}
	case <-ctx.Done():
		n.do(func() { n.cancelRequest(endpoint, req.ID, ch) })
		return refuse(customer.ReasonCallerGone, "the request was cancelled")
	}
}

// cancelRequest ends a grant request whose call was cancelled, unless a newer call for the same grant request has arrived
// on another connection.
func (n *Node) cancelRequest(endpoint, id string, ch chan grantAnswer) {
	if o := n.ownedEndpoints[endpoint]; o != nil {
		if r := o.records[id]; r != nil && r.newestCh == ch {
			n.endRecord(time.Now(), endpoint, id, r.request.Holder, nil)
		}
	}
}

// detachRequest detaches a call from a queued grant request, which keeps its position in the queue until the next call.
func (n *Node) detachRequest(endpoint, id string, ch chan grantAnswer) {
	if o := n.ownedEndpoints[endpoint]; o != nil {
		if r := o.records[id]; r != nil && r.waitingCh == ch {
			r.waitingCh, r.lastWaited = nil, time.Now()
		}
	}
}

// endRecord removes a grant request or a grant and updates the ledger. A nil result means that the grant was never used.
func (n *Node) endRecord(now time.Time, endpoint, id, holder string, result *engine.Result) {
	o := n.ownedEndpoints[endpoint]
	if o == nil || o.records[id] == nil || o.records[id].request.Holder != holder {
		return
	}
	delete(o.records, id)
	if result != nil {
		o.ledger.Release(now, id, *result)
	} else {
		o.ledger.Withdraw(now, id)
	}
	n.processQueue(now, o)
}
