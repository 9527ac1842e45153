package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// Pauses before a holder looks for the owner again. They grow, because a change of owner takes seconds.
const (
	minOwnerRetry = 50 * time.Millisecond
	maxOwnerRetry = 500 * time.Millisecond
)

// heldGrant is a grant that this VM asks for or uses. Each owner that was asked or got a registration may count it, so each
// one hears of it in every renewal: an owner frees what a renewal does not name.
type heldGrant struct {
	grant  engine.Grant
	asking bool            // not granted yet
	told   map[string]bool // places of owners that may count it
}

type grantRequest struct {
	Endpoint    string     `cbor:"endpoint"`
	Demand      demandWire `cbor:"demand"`
	Incarnation uint64     `cbor:"incarnation"`
	Round       uint64     `cbor:"round"` // number of the holder's next renewal
}

// grantReply without a grant or a refusal means that the demand is still queued.
type grantReply struct {
	Granted bool         `cbor:"granted,omitempty"`
	Refusal *refusalWire `cbor:"refusal,omitempty"`
	Load    loadBody     `cbor:"load"`
}

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

// refusal returns what another VM answered. Only an explicit notRun counts as one.
func (w *refusalWire) refusal() *customer.Refusal {
	if w == nil {
		return nil
	}
	if w.Verdict == customer.NotRun {
		return customer.Refuse(w.Reason, w.Message, customer.RetryAfter(w.RetryAfter))
	}
	return customer.Fail(w.Reason, w.Message, customer.RetryAfter(w.RetryAfter))
}

// Grant asks the owner of an endpoint of this data centre for a grant and waits in its queue for at most d.MaxWait. While no
// owner has usable shares, it waits for one within the same time. The error is a *customer.Refusal with verdict notRun.
func (n *Node) Grant(ctx context.Context, endpoint string, d engine.Demand) (engine.Grant, error) {
	g, err := n.grant(ctx, endpoint, d)
	outcome := "granted"
	if err != nil {
		outcome = string(customer.AsRefusal(err).Reason())
	}
	metrics.GetOrRegisterCounter("entry.grants."+outcome, n.registry).Inc(1)
	return g, err
}

func (n *Node) grant(ctx context.Context, endpoint string, d engine.Demand) (engine.Grant, error) {
	if d.ID == "" {
		return engine.Grant{}, customer.Refuse(customer.ReasonInternal, "demand without an ID")
	}
	d.Holder = n.cfg.Place
	end := time.Now().Add(d.MaxWait)
	for pause := minOwnerRetry; ; {
		asked := time.Now()
		g := engine.Grant{ID: d.ID, Endpoint: endpoint, Holder: d.Holder, Demand: d, Asked: asked}
		g.Demand.MaxWait = max(0, end.Sub(asked))
		a := n.askOwner(ctx, &g)
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
			return engine.Grant{}, customer.Refuse(customer.ReasonDeadline, "the deadline passed before a grant")
		case ctx.Err() != nil:
			return engine.Grant{}, customer.Refuse(customer.ReasonCallerGone, "the request was cancelled before a grant")
		case a.refusal != nil:
			return engine.Grant{}, a.refusal
		case a.granted:
			return engine.Grant{}, customer.Refuse(customer.ReasonGrantExpired, "the grant arrived too late")
		}
		return engine.Grant{}, customer.Refuse(customer.ReasonDeadline, "no capacity became free within the longest wait")
	}
}

// askOwner sends one request for a grant to the present owner and sets g.Owner.
func (n *Node) askOwner(ctx context.Context, g *engine.Grant) askAnswer {
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
		address, round = n.addressOf(g.Owner), n.round+1
		h := n.held[g.ID]
		if h == nil {
			h = &heldGrant{told: map[string]bool{}}
			n.held[g.ID] = h
		}
		h.grant, h.asking, h.told[g.Owner] = *g, true, true
		n.owners.add(g.Asked, g.Owner)
	})
	switch {
	case !running:
		return refuse(customer.ReasonNotReady, "the VM is stopping")
	case !known:
		return refuse(customer.ReasonNoEndpoint, "the endpoint is not in the configuration")
	case !ok:
		return refuse(customer.ReasonNoOwner, "no VM of the data centre is known to live")
	}
	var a askAnswer
	if g.Owner == n.cfg.Place {
		a = n.serveAsk(ctx, g.Endpoint, g.Demand, n.cfg.Incarnation, round)
	} else {
		a = n.askRemote(ctx, address, g, round)
	}
	if a.granted {
		n.do(func() {
			if h := n.held[g.ID]; h != nil {
				h.grant, h.asking = *g, false
			}
		})
	}
	return a
}

func (n *Node) askRemote(ctx context.Context, address string, g *engine.Grant, round uint64) askAnswer {
	rpc, cancel := context.WithTimeout(ctx, askSlice+callTimeout)
	defer cancel()
	req := &grantRequest{Endpoint: g.Endpoint, Demand: demandWire(g.Demand), Incarnation: n.cfg.Incarnation, Round: round}
	rep, err := call[grantReply](rpc, n.transport, address, "grant", req)
	if err != nil {
		return refuse(customer.ReasonNoOwner, "the endpoint's owner does not answer: "+err.Error())
	}
	if rep.Granted || rep.Refusal == nil {
		n.post(func() { n.observeLoad(time.Now(), g.Endpoint, engine.Load(rep.Load)) })
	}
	a := askAnswer{granted: rep.Granted, refusal: rep.Refusal.refusal(), load: engine.Load(rep.Load)}
	if a.refusal != nil && a.refusal.Verdict() != customer.NotRun {
		a.refusal = customer.Refuse(a.refusal.Reason(), a.refusal.Message()) // nothing runs before a grant
	}
	return a
}

func (n *Node) handleGrant(ctx context.Context, req *grantRequest) (*grantReply, error) {
	a := n.serveAsk(ctx, req.Endpoint, engine.Demand(req.Demand), req.Incarnation, req.Round)
	return &grantReply{Granted: a.granted, Refusal: refusalToWire(a.refusal), Load: loadBody(a.load)}, nil
}

type releaseRequest struct {
	Endpoint string      `cbor:"endpoint"`
	ID       string      `cbor:"id"`
	Holder   string      `cbor:"holder"`
	Result   *resultBody `cbor:"result,omitempty"` // absent where the grant was not used
}

// Release ends a grant. It does not wait for the owner; where the message is lost, the next renewal frees the grant.
func (n *Node) Release(g engine.Grant, r engine.Result) { n.release(g, &r) }

// abandon ends a demand or an unused grant.
func (n *Node) abandon(g engine.Grant) { n.release(g, nil) }

func (n *Node) release(g engine.Grant, result *engine.Result) {
	n.do(func() {
		h := n.held[g.ID]
		if h == nil {
			return
		}
		delete(n.held, g.ID)
		for owner := range h.told {
			if owner == n.cfg.Place {
				n.free(time.Now(), g.Endpoint, g.ID, g.Holder, result)
				continue
			}
			address := n.addressOf(owner)
			started := n.background(func(ctx context.Context) {
				ctx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				req := &releaseRequest{Endpoint: g.Endpoint, ID: g.ID, Holder: g.Holder, Result: resultToWire(result)}
				if _, err := call[struct{}](ctx, n.transport, address, "release", req); err != nil {
					n.log.WithError(err).WithField("owner", owner).Debug("entry: release not delivered")
					n.post(func() { n.owners.hurry(owner) })
				}
			})
			if !started {
				n.owners.hurry(owner)
			}
		}
	})
}

func (n *Node) handleRelease(_ context.Context, req *releaseRequest) (*struct{}, error) {
	if !n.do(func() { n.free(time.Now(), req.Endpoint, req.ID, req.Holder, req.Result.result()) }) {
		return nil, errStopped
	}
	return &struct{}{}, nil
}

// renewRequest names every grant that the holder asks for or uses and that the receiver may count. The receiver frees the
// holder's other grants, but for those that it was asked for after the message was made.
type renewRequest struct {
	Place       string      `cbor:"place"`
	Incarnation uint64      `cbor:"incarnation"`
	Round       uint64      `cbor:"round"`
	Partial     bool        `cbor:"partial,omitempty"` // names only some grants, so nothing is to be freed
	Grants      []renewItem `cbor:"grants,omitempty"`
}

type renewItem struct {
	Endpoint string      `cbor:"endpoint"`
	ID       string      `cbor:"id"`
	Asking   bool        `cbor:"asking,omitempty"`
	Demand   *demandWire `cbor:"demand,omitempty"` // only for grants that the owner did not know
}

type renewReply struct {
	Unknown []string   `cbor:"unknown,omitempty"` // grants that the owner needs the demand of
	Loads   []loadWire `cbor:"loads,omitempty"`
}

// renewGrants tells owners which grants are in use. An owner that has freed everything hears of it once more, because
// the release may have been lost.
func (n *Node) renewGrants(now time.Time) {
	n.round++
	for _, h := range n.held {
		if owner, ok := n.candidate(endpointResource(h.grant.Endpoint)); ok && !h.asking && !h.told[owner] {
			h.told[owner] = true
			n.owners.add(now, owner).urgent = true
		}
		for owner := range h.told {
			n.owners.add(now, owner)
		}
	}
	batches := map[string][]renewItem{}
	for _, owner := range n.owners.take(now, n.cfg.Place, maxRenewals, n.incarnationOf) {
		batches[owner] = nil
	}
	for id, h := range n.held {
		for owner := range h.told {
			if items, ok := batches[owner]; ok {
				batches[owner] = append(items, renewItem{Endpoint: h.grant.Endpoint, ID: id, Asking: h.asking})
			}
		}
	}
	for owner, items := range batches {
		n.sendRenew(owner, &renewRequest{Place: n.cfg.Place, Incarnation: n.cfg.Incarnation, Round: n.round, Grants: items})
	}
}

func (n *Node) incarnationOf(place string) uint64 {
	m, _ := n.members.Get(place)
	return m.incarnation
}

func (n *Node) sendRenew(owner string, req *renewRequest) {
	if owner == n.cfg.Place {
		if rep := n.renew(time.Now(), req); len(rep.Unknown) > 0 {
			n.renew(time.Now(), n.withDemands(req, rep.Unknown))
		}
		return
	}
	address := n.addressOf(owner)
	if address == "" {
		delete(n.owners, owner)
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
					n.owners.hurry(owner)
				case len(req.Grants) == 0:
					delete(n.owners, owner)
				}
				return
			}
			now := time.Now()
			for _, l := range rep.Loads {
				n.observeLoad(now, l.Endpoint, engine.Load(l.Load))
			}
			if len(req.Grants) == 0 && req.Round == n.round {
				delete(n.owners, owner)
			}
			if len(rep.Unknown) > 0 {
				again := n.withDemands(req, rep.Unknown)
				if len(again.Grants) > 0 {
					n.register(owner, address, again)
				}
			}
		})
	})
	if !started {
		n.owners.hurry(owner)
	}
}

// register sends the demands of grants that a new owner does not know.
func (n *Node) register(owner, address string, req *renewRequest) {
	started := n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if _, err := call[renewReply](ctx, n.transport, address, "renew", req); err != nil {
			n.log.WithError(err).WithField("owner", owner).Debug("entry: registration not delivered")
			n.post(func() { n.owners.hurry(owner) })
		}
	})
	if !started {
		n.owners.hurry(owner)
	}
}

// withDemands returns a message that registers the named grants as far as they are still in use.
func (n *Node) withDemands(req *renewRequest, ids []string) *renewRequest {
	again := &renewRequest{Place: req.Place, Incarnation: req.Incarnation, Round: n.round + 1, Partial: true}
	for _, id := range ids {
		if h := n.held[id]; h != nil && !h.asking {
			d := demandWire(h.grant.Demand)
			again.Grants = append(again.Grants, renewItem{Endpoint: h.grant.Endpoint, ID: id, Demand: &d})
		}
	}
	return again
}

// renew applies a holder's renewal.
func (n *Node) renew(now time.Time, req *renewRequest) *renewReply {
	rep := &renewReply{}
	named := map[string]bool{}
	touched := map[string]*owned{}
	for _, g := range req.Grants {
		o := n.owned[g.Endpoint]
		if o == nil {
			continue
		}
		named[g.ID] = true
		touched[g.Endpoint] = o
		switch {
		case o.records[g.ID] != nil || g.Asking:
		case g.Demand == nil:
			rep.Unknown = append(rep.Unknown, g.ID)
		default:
			d := engine.Demand(*g.Demand)
			d.Holder = req.Place
			o.records[g.ID] = &record{demand: d, incarnation: req.Incarnation, round: req.Round, granted: true, issued: now}
			o.ledger.Register(now, engine.Grant{ID: g.ID, Endpoint: g.Endpoint, Holder: req.Place, Owner: n.cfg.Place, Demand: d})
		}
	}
	if !req.Partial {
		for name, o := range n.owned {
			for id, r := range o.records {
				if r.demand.Holder == req.Place && r.incarnation == req.Incarnation && r.round <= req.Round && !named[id] {
					n.free(now, name, id, req.Place, nil)
				}
			}
		}
	}
	for name, o := range touched {
		rep.Loads = append(rep.Loads, loadWire{name, loadBody(o.ledger.Load())})
	}
	return rep
}

func (n *Node) handleRenew(_ context.Context, req *renewRequest) (*renewReply, error) {
	var rep *renewReply
	if !n.do(func() { rep = n.renew(time.Now(), req) }) {
		return nil, errStopped
	}
	return rep, nil
}
