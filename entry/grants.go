package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// Limits of the pause before a holder sends its request to the owner again. The pause doubles each time, because a change
// of owner takes seconds.
const (
	minOwnerRetry = 50 * time.Millisecond
	maxOwnerRetry = 500 * time.Millisecond
)

// heldGrant is a grant that this VM requests or uses. Every owner to which a request or a registration for it was sent may
// count it. Renewals to each of these owners name the grant, because an owner releases a grant that a renewal does not name.
type heldGrant struct {
	grant    engine.Grant
	pending  bool            // not granted yet
	notified map[string]bool // names of owners that may count it
}

// grantRequest requests a grant from an endpoint's owner.
type grantRequest struct {
	Endpoint    string           `cbor:"endpoint"`
	Request     grantRequestWire `cbor:"demand"`
	Incarnation uint64           `cbor:"incarnation"`
	Round       uint64           `cbor:"round"` // number of the holder's next renewal
}

// grantReply without a grant and without a refusal means that the grant request is still queued.
type grantReply struct {
	Granted bool         `cbor:"granted,omitempty"`
	Refusal *refusalWire `cbor:"refusal,omitempty"`
	Load    loadBody     `cbor:"load"`
}

// refusalWire is the encoding of a customer.Refusal.
type refusalWire struct {
	Verdict    customer.Verdict `cbor:"verdict"`
	Reason     customer.Reason  `cbor:"reason"`
	Message    string           `cbor:"message"`
	RetryAfter time.Duration    `cbor:"retryAfter,omitempty"`
}

func refusalToWire(r *customer.Refusal) *refusalWire {
	if r == nil {
		return nil
	}
	return &refusalWire{r.Verdict(), r.Reason(), r.Message(), r.RetryAfter()}
}

// refusal returns the refusal that another VM sent. Any verdict other than an explicit notRun means that the request may
// have been executed.
func (w *refusalWire) refusal() *customer.Refusal {
	if w == nil {
		return nil
	}
	if w.Verdict == customer.NotRun {
		return customer.Refuse(w.Reason, w.Message, customer.RetryAfter(w.RetryAfter))
	}
	return customer.Fail(w.Reason, w.Message, customer.RetryAfter(w.RetryAfter))
}

// Grant requests a grant from the owner of an endpoint of this data centre and waits for at most req.MaxWait, either in the
// owner's queue or until an owner has usable shares. The error is a *customer.Refusal with verdict notRun.
func (n *Node) Grant(ctx context.Context, endpoint string, req engine.GrantRequest) (engine.Grant, error) {
	g, err := n.grant(ctx, endpoint, req)
	outcome := "granted"
	if err != nil {
		outcome = string(customer.AsRefusal(err).Reason())
	}
	metrics.GetOrRegisterCounter("entry.grants."+outcome, n.registry).Inc(1)
	return g, err
}

// grant is Grant without the outcome metrics.
func (n *Node) grant(ctx context.Context, endpoint string, req engine.GrantRequest) (engine.Grant, error) {
	if req.ID == "" {
		return engine.Grant{}, customer.Refuse(customer.ReasonInternal, "the grant request has no ID")
	}
	req.Holder = n.cfg.VMName
	end := time.Now().Add(req.MaxWait)
	for pause := minOwnerRetry; ; {
		requestedAt := time.Now()
		g := engine.Grant{ID: req.ID, Endpoint: endpoint, Holder: req.Holder, Request: req, RequestedAt: requestedAt}
		g.Request.MaxWait = max(0, end.Sub(requestedAt))
		a := n.requestFromOwner(ctx, &g)
		if a.granted && g.Valid(time.Now()) {
			return g, nil
		}
		if ctx.Err() == nil && !a.granted && a.refusal == nil && time.Now().Before(end) {
			continue // still queued
		}
		retry := a.refusal != nil && (a.refusal.Reason() == customer.ReasonNoOwner) || a.granted
		if ctx.Err() == nil && retry && time.Now().Add(pause).Before(end) {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
			pause = min(2*pause, maxOwnerRetry)
			continue
		}
		n.abandon(g)
		switch {
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			return engine.Grant{}, customer.Refuse(customer.ReasonDeadline, "the deadline passed before a grant was issued")
		case ctx.Err() != nil:
			return engine.Grant{}, customer.Refuse(customer.ReasonCallerGone, "the request was cancelled before a grant was issued")
		case a.refusal != nil:
			return engine.Grant{}, a.refusal
		case a.granted:
			return engine.Grant{}, customer.Refuse(customer.ReasonGrantExpired, "the grant expired before it arrived")
		}
		return engine.Grant{}, customer.Refuse(customer.ReasonDeadline, "no capacity became available within the maximum wait")
	}
}

// requestFromOwner sends one request for a grant to the current owner and sets g.Owner.
func (n *Node) requestFromOwner(ctx context.Context, g *engine.Grant) grantAnswer {
	var known, ok bool
	var address string
	var round uint64
	running := n.do(func() {
		if _, known = n.specs[g.Endpoint]; !known {
			return
		}
		if g.Owner, ok = n.candidate(endpointResource(g.Endpoint)); !ok {
			return
		}
		address, round = n.addressOf(g.Owner), n.renewalRound+1
		h := n.heldGrants[g.ID]
		if h == nil {
			h = &heldGrant{notified: map[string]bool{}}
			n.heldGrants[g.ID] = h
		}
		h.grant, h.pending, h.notified[g.Owner] = *g, true, true
		n.renewals.add(g.RequestedAt, g.Owner)
	})
	switch {
	case !running:
		return refuse(customer.ReasonNotReady, "the VM is stopping")
	case !known:
		return refuse(customer.ReasonNoEndpoint, "the endpoint is not in the configuration")
	case !ok:
		return refuse(customer.ReasonNoOwner, "no live VM is known in the data centre")
	}
	var a grantAnswer
	if g.Owner == n.cfg.VMName {
		a = n.serveGrantRequest(ctx, g.Endpoint, g.Request, n.cfg.Incarnation, round)
	} else {
		a = n.requestRemote(ctx, address, g, round)
	}
	if a.granted {
		n.do(func() {
			if h := n.heldGrants[g.ID]; h != nil {
				h.grant, h.pending = *g, false
			}
		})
	}
	return a
}

// requestRemote sends one request for a grant to an owner on another VM.
func (n *Node) requestRemote(ctx context.Context, address string, g *engine.Grant, round uint64) grantAnswer {
	rpcCtx, cancel := context.WithTimeout(ctx, maxRequestWait+callTimeout)
	defer cancel()
	req := &grantRequest{Endpoint: g.Endpoint, Request: grantRequestWire(g.Request), Incarnation: n.cfg.Incarnation, Round: round}
	rep, err := call[grantReply](rpcCtx, n.transport, address, "grant", req)
	if err != nil {
		return refuse(customer.ReasonNoOwner, "the endpoint's owner did not answer: "+err.Error())
	}
	if rep.Granted || rep.Refusal == nil {
		n.post(func() { n.observeLoad(time.Now(), g.Endpoint, engine.Load(rep.Load)) })
	}
	a := grantAnswer{granted: rep.Granted, refusal: rep.Refusal.refusal(), load: engine.Load(rep.Load)}
	if a.refusal != nil && a.refusal.Verdict() != customer.NotRun {
		a.refusal = customer.Refuse(a.refusal.Reason(), a.refusal.Message()) // nothing is executed before a grant
	}
	return a
}

func (n *Node) handleGrant(ctx context.Context, req *grantRequest) (*grantReply, error) {
	a := n.serveGrantRequest(ctx, req.Endpoint, engine.GrantRequest(req.Request), req.Incarnation, req.Round)
	return &grantReply{Granted: a.granted, Refusal: refusalToWire(a.refusal), Load: loadBody(a.load)}, nil
}

// releaseRequest ends a grant at its owner.
type releaseRequest struct {
	Endpoint string      `cbor:"endpoint"`
	ID       string      `cbor:"id"`
	Holder   string      `cbor:"holder"`
	Result   *resultBody `cbor:"result,omitempty"` // absent if the grant was not used
}

// Release ends a grant. It does not wait for the owner; if the message is lost, the next renewal releases the grant.
func (n *Node) Release(g engine.Grant, r engine.Result) { n.release(g, &r) }

// abandon ends a grant request, or a grant that was not used.
func (n *Node) abandon(g engine.Grant) { n.release(g, nil) }

// release removes a held grant and tells every owner that may count it. A nil result means that the grant was not used.
func (n *Node) release(g engine.Grant, result *engine.Result) {
	n.do(func() {
		h := n.heldGrants[g.ID]
		if h == nil {
			return
		}
		delete(n.heldGrants, g.ID)
		for owner := range h.notified {
			if owner == n.cfg.VMName {
				n.endRecord(time.Now(), g.Endpoint, g.ID, g.Holder, result)
				continue
			}
			address := n.addressOf(owner)
			started := n.background(func(ctx context.Context) {
				ctx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				req := &releaseRequest{Endpoint: g.Endpoint, ID: g.ID, Holder: g.Holder, Result: resultToWire(result)}
				if _, err := call[struct{}](ctx, n.transport, address, "release", req); err != nil {
					n.log.WithError(err).WithField("owner", owner).Debug("entry: release not delivered")
					n.post(func() { n.renewals.markUrgent(owner) })
				}
			})
			if !started {
				n.renewals.markUrgent(owner)
			}
		}
	})
}

func (n *Node) handleRelease(_ context.Context, req *releaseRequest) (*struct{}, error) {
	if !n.do(func() { n.endRecord(time.Now(), req.Endpoint, req.ID, req.Holder, req.Result.result()) }) {
		return nil, errStopped
	}
	return &struct{}{}, nil
}

// renewRequest names every grant that the holder requests or uses and that the receiver may count. The receiver releases
// the holder's other grants, except those that the holder requested after it created the message.
type renewRequest struct {
	VMName      string      `cbor:"place"`
	Incarnation uint64      `cbor:"incarnation"`
	Round       uint64      `cbor:"round"`
	Partial     bool        `cbor:"partial,omitempty"` // names only some of the grants, so no others are released
	Grants      []renewItem `cbor:"grants,omitempty"`
}

// renewItem is one grant in a renewal.
type renewItem struct {
	Endpoint string            `cbor:"endpoint"`
	ID       string            `cbor:"id"`
	Pending  bool              `cbor:"asking,omitempty"`
	Request  *grantRequestWire `cbor:"demand,omitempty"` // only for grants that the owner did not know
}

type renewReply struct {
	Unknown []string   `cbor:"unknown,omitempty"` // grants whose request the owner needs
	Loads   []loadWire `cbor:"loads,omitempty"`
}

// renewGrants sends renewals to the owners that are due. An owner whose grants have all been released receives one more
// renewal, because a release message may have been lost.
func (n *Node) renewGrants(now time.Time) {
	n.renewalRound++
	for _, h := range n.heldGrants {
		if owner, ok := n.candidate(endpointResource(h.grant.Endpoint)); ok && !h.pending && !h.notified[owner] {
			h.notified[owner] = true
			n.renewals.add(now, owner).urgent = true
		}
		for owner := range h.notified {
			n.renewals.add(now, owner)
		}
	}
	batches := map[string][]renewItem{}
	for _, owner := range n.renewals.takeDue(now, n.cfg.VMName, maxRoutineRenewals, n.incarnationOf) {
		batches[owner] = nil
	}
	for id, h := range n.heldGrants {
		for owner := range h.notified {
			if items, ok := batches[owner]; ok {
				batches[owner] = append(items, renewItem{Endpoint: h.grant.Endpoint, ID: id, Pending: h.pending})
			}
		}
	}
	for owner, items := range batches {
		n.sendRenewal(owner, &renewRequest{VMName: n.cfg.VMName, Incarnation: n.cfg.Incarnation, Round: n.renewalRound, Grants: items})
	}
}

// incarnationOf returns the last known incarnation of a VM, or 0.
func (n *Node) incarnationOf(name string) uint64 {
	m, _ := n.members.Get(name)
	return m.incarnation
}

// sendRenewal sends a renewal to an owner and registers the grants that the owner reports as unknown.
func (n *Node) sendRenewal(owner string, req *renewRequest) {
	if owner == n.cfg.VMName {
		if rep := n.applyRenewal(time.Now(), req); len(rep.Unknown) > 0 {
			n.applyRenewal(time.Now(), n.registrationRequest(req, rep.Unknown))
		}
		return
	}
	address := n.addressOf(owner)
	if address == "" {
		delete(n.renewals, owner)
		return
	}
	started := n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		rep, err := call[renewReply](ctx, n.transport, address, "renew", req)
		n.post(func() {
			if err != nil {
				n.log.WithError(err).WithField("owner", owner).Debug("entry: renewal not delivered")
				switch {
				case n.members.Live(owner):
					n.renewals.markUrgent(owner)
				case len(req.Grants) == 0:
					delete(n.renewals, owner)
				}
				return
			}
			now := time.Now()
			for _, l := range rep.Loads {
				n.observeLoad(now, l.Endpoint, engine.Load(l.Load))
			}
			if len(req.Grants) == 0 && req.Round == n.renewalRound {
				delete(n.renewals, owner)
			}
			if len(rep.Unknown) > 0 {
				registration := n.registrationRequest(req, rep.Unknown)
				if len(registration.Grants) > 0 {
					n.sendRegistration(owner, address, registration)
				}
			}
		})
	})
	if !started {
		n.renewals.markUrgent(owner)
	}
}

// sendRegistration sends a new owner the requests of grants that it does not know.
func (n *Node) sendRegistration(owner, address string, req *renewRequest) {
	started := n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if _, err := call[renewReply](ctx, n.transport, address, "renew", req); err != nil {
			n.log.WithError(err).WithField("owner", owner).Debug("entry: registration not delivered")
			n.post(func() { n.renewals.markUrgent(owner) })
		}
	})
	if !started {
		n.renewals.markUrgent(owner)
	}
}

// registrationRequest returns a message that registers those grants with the given IDs that are still in use.
func (n *Node) registrationRequest(req *renewRequest, ids []string) *renewRequest {
	registration := &renewRequest{VMName: req.VMName, Incarnation: req.Incarnation, Round: n.renewalRound + 1, Partial: true}
	for _, id := range ids {
		if h := n.heldGrants[id]; h != nil && !h.pending {
			req := grantRequestWire(h.grant.Request)
			registration.Grants = append(registration.Grants, renewItem{Endpoint: h.grant.Endpoint, ID: id, Request: &req})
		}
	}
	return registration
}

// applyRenewal applies a holder's renewal or registration: it adds registered grants to the ledgers and, unless the message
// is partial, releases the holder's grants that the message does not name. The reply lists grants that this owner does not
// know and the loads of the endpoints concerned.
func (n *Node) applyRenewal(now time.Time, req *renewRequest) *renewReply {
	rep := &renewReply{}
	named := map[string]bool{}
	renewed := map[string]*ownedEndpoint{}
	for _, g := range req.Grants {
		o := n.ownedEndpoints[g.Endpoint]
		if o == nil {
			continue
		}
		named[g.ID] = true
		renewed[g.Endpoint] = o
		switch {
		case o.records[g.ID] != nil || g.Pending:
		case g.Request == nil:
			rep.Unknown = append(rep.Unknown, g.ID)
		default:
			registered := engine.GrantRequest(*g.Request)
			registered.Holder = req.VMName
			o.records[g.ID] = &grantRecord{request: registered, incarnation: req.Incarnation, round: req.Round, granted: true, issuedAt: now}
			o.ledger.AdoptGrant(now, engine.Grant{ID: g.ID, Endpoint: g.Endpoint, Holder: req.VMName, Owner: n.cfg.VMName, Request: registered})
		}
	}
	if !req.Partial {
		for name, o := range n.ownedEndpoints {
			for id, r := range o.records {
				if r.request.Holder == req.VMName && r.incarnation == req.Incarnation && r.round <= req.Round && !named[id] {
					n.endRecord(now, name, id, req.VMName, nil)
				}
			}
		}
	}
	for name, o := range renewed {
		rep.Loads = append(rep.Loads, loadWire{name, loadBody(o.ledger.Load())})
	}
	return rep
}

func (n *Node) handleRenew(_ context.Context, req *renewRequest) (*renewReply, error) {
	var rep *renewReply
	if !n.do(func() { rep = n.applyRenewal(time.Now(), req) }) {
		return nil, errStopped
	}
	return rep, nil
}
