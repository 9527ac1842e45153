package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// shareKey names one share of a resource. Resources are endpoint/NAME and customer/NAME.
type shareKey struct {
	Resource string `cbor:"1,keyasint"`
	Share    int    `cbor:"2,keyasint"`
}

func endpointResource(name string) string { return "endpoint/" + name }
func customerResource(name string) string { return "customer/" + name }

// configSpread is the time in which a new list of places reaches all VMs that can be reached. A share that gets another
// guardian by such a change is not lent before the former guardian has stopped and its leases have ended.
const configSpread = 8 * time.Second

type lendRequest struct {
	Place       string          `cbor:"place"`
	Incarnation uint64          `cbor:"incarnation"`
	Asks        []Ask[shareKey] `cbor:"asks,omitempty"`
	Returns     []shareReturn   `cbor:"returns,omitempty"`
}

type shareReturn struct {
	Key      shareKey `cbor:"key"`
	Sequence uint64   `cbor:"sequence"`
}

type lendReply struct {
	Loans []Loan[shareKey] `cbor:"loans,omitempty"`
}

func (n *Node) newLeases(now time.Time) error {
	var opts []LenderOption
	if n.opts.firstStart {
		opts = append(opts, FirstStart())
	}
	var err error
	if n.lender, err = NewLender[shareKey](ShareTimers(), now, opts...); err != nil {
		return err
	}
	if n.borrower, err = NewBorrower[shareKey](ShareTimers()); err != nil {
		return err
	}
	n.quotas, err = newQuotas(now, n.cfg.DataCentre)
	return err
}

// wakeLenders tells the lenders that this VM runs, and holds back all lending while it is not certain that the earlier VM at
// this place is gone.
func (n *Node) wakeLenders(now time.Time) {
	n.lender.Wake(now)
	n.quotas.lender.Wake(now)
	if n.opts.mayLend != nil {
		may := n.opts.mayLend()
		if may && !n.mayLend {
			n.lender.Suspend(now)
			n.beginSole(now)
		}
		n.mayLend = may
	}
}

const (
	// FreedSpread is the age of the copy of the log up to which a VM lends a share of a freed guardian. It is above the time
	// that a read of the log without news takes.
	FreedSpread = 5 * time.Second
	// ReclaimWait is how long after its registration a replacement of a freed guardian leaves the shares to the VMs that lend
	// them meanwhile. They have read of it by then, or their copy is too old.
	ReclaimWait = FreedSpread + 200*time.Millisecond // the drift of two clocks over it is below 4%
	// freedWait is how long a VM waits before it lends a share of a freed guardian: until another VM that lent it before has
	// stopped and its leases have ended.
	freedWait = ReclaimWait + 4200*time.Millisecond
)

// SetFreed tells which places were freed, by a copy of the log that has all its records as of asOf. Other guardians lend the
// shares of these places.
func (n *Node) SetFreed(places []string, asOf time.Time) {
	n.do(func() { n.setFreed(time.Now(), places, asOf) })
}

func (n *Node) setFreed(now time.Time, places []string, asOf time.Time) {
	freed := map[string]bool{}
	for _, p := range places {
		freed[p] = true
	}
	n.freedAsOf = asOf
	if !maps.Equal(freed, n.freed) {
		n.freed = freed
		n.guard(now, n.local)
	}
}

// guardians returns the places that lend the shares of a resource at the moment.
func (n *Node) guardians(resource string) []string {
	return actingGuardians(n.order(resource), n.freed)
}

// lend answers one request, unless this VM may not lend the share now.
func (n *Node) lend(now time.Time, who BorrowerID, ask Ask[shareKey]) (Loan[shareKey], bool) {
	if !n.mayLend || n.members.Superseded() || n.acting[ask.Key] && now.Sub(n.freedAsOf) >= FreedSpread {
		return Loan[shareKey]{}, false
	}
	return n.lender.Lend(now, who, ask)
}

// beginSole ends the wait of a data centre's only VM.
func (n *Node) beginSole(now time.Time) {
	if len(n.local) == 1 && n.local[0] == n.cfg.Place {
		n.lender.BeginSole(now)
	}
}

// BeginFirst tells that no process has lent the shares that this place has among places, which are those of the data centre,
// and lets this VM lend them at once. The function of WithMayLend was false until now. It does nothing and returns false
// while other places are applied, because shares can have had other guardians then.
func (n *Node) BeginFirst(places []string) bool {
	begun := false
	n.do(func() {
		if !slices.Equal(slices.Sorted(slices.Values(places)), n.local) {
			return
		}
		begun, n.mayLend = true, true
		n.lender.BeginFirst(time.Now())
	})
	return begun
}

// Supersede tells that a run with a higher incarnation has taken this VM's place. This VM then lends and borrows nothing.
func (n *Node) Supersede(incarnation uint64) {
	n.do(func() {
		n.members.supersede(incarnation)
		n.publish(time.Now())
	})
}

// Superseded says whether a run with a higher incarnation has taken this VM's place.
func (n *Node) Superseded() bool { return n.view.Load().superseded }

// guard sets the shares that this VM lends after a change of places, endpoints or customers. Before holds the former places.
func (n *Node) guard(now time.Time, before []string) {
	var wait time.Duration
	switch {
	case len(before) == 0: // the wait after the start covers earlier guardians
		n.beginSole(now)
	case !slices.Equal(before, n.local):
		wait = configSpread + ShareTimers().LenderLease
	}
	guarded := map[shareKey]bool{}
	clear(n.acting)
	wanted := map[string]bool{}
	add := func(resource string) {
		wanted[resource] = true
		for i, place := range n.guardians(resource) {
			if place == n.cfg.Place {
				key := shareKey{resource, i}
				guarded[key] = true
				if n.acting[key] = guardians(n.order(resource))[i] != place; n.acting[key] {
					n.lender.SetTotal(now, key, 1, max(wait, freedWait))
					continue
				}
				n.lender.SetTotal(now, key, 1, wait)
			}
		}
	}
	for name := range n.specs {
		add(endpointResource(name))
	}
	for name := range n.quotas.contracts {
		add(customerResource(name))
	}
	n.lender.Retain(now, func(k shareKey) bool { return guarded[k] })
	for k := range n.nextAsk {
		if !wanted[k.Resource] {
			delete(n.nextAsk, k)
		}
	}
	for resource := range n.ranks {
		if !wanted[resource] {
			delete(n.ranks, resource)
		}
	}
}

// mine says whether this VM is to own a resource.
func (n *Node) mine(resource string) bool {
	if n.leaving || n.members.Superseded() {
		return false
	}
	place, ok := n.candidate(resource)
	return ok && place == n.cfg.Place
}

// borrow asks the guardians for the shares of resources that are due, in one message to each guardian.
func (n *Node) borrow(now time.Time, b *Borrower[shareKey], resources []string) {
	batches := map[string][]Ask[shareKey]{}
	for _, resource := range resources {
		for i, guardian := range n.guardians(resource) {
			key := shareKey{resource, i}
			if now.Before(n.nextAsk[key]) {
				continue
			}
			interval := renewInterval
			if b.Held(now, key) == 0 && n.members.Live(guardian) {
				interval = acquireInterval
			}
			n.nextAsk[key] = now.Add(interval)
			ask := b.Ask(now, key, 1)
			if guardian != n.cfg.Place {
				batches[guardian] = append(batches[guardian], ask)
			} else if loan, ok := n.lend(now, n.id(), ask); ok {
				b.Lent(now, loan)
			}
		}
	}
	for guardian, asks := range batches {
		req := &lendRequest{Place: n.cfg.Place, Incarnation: n.cfg.Incarnation, Asks: asks}
		n.sendLend(guardian, req, func(rep *lendReply) {
			now := time.Now()
			for _, loan := range rep.Loans {
				b.Lent(now, loan)
			}
		})
	}
}

// giveBack ends the leases on resources' shares. The messages to other guardians go out with takeReturns.
func (n *Node) giveBack(now time.Time, b *Borrower[shareKey], resources []string) {
	for _, resource := range resources {
		for i, guardian := range n.guardians(resource) {
			key := shareKey{resource, i}
			delete(n.nextAsk, key)
			sequence, ok := b.Release(key)
			switch {
			case !ok:
			case guardian == n.cfg.Place:
				n.lender.Return(now, n.id(), key, sequence)
			default:
				n.returns[guardian] = append(n.returns[guardian], shareReturn{key, sequence})
			}
		}
	}
}

// takeReturns returns the messages that give leases back, by guardian. A lost one delays the next borrower by one lease.
func (n *Node) takeReturns() map[string]*lendRequest {
	out := map[string]*lendRequest{}
	for guardian, returns := range n.returns {
		out[guardian] = &lendRequest{Place: n.cfg.Place, Incarnation: n.cfg.Incarnation, Returns: returns}
	}
	clear(n.returns)
	return out
}

// sendLend sends a request to a guardian. A lost request or answer only delays the next one: the lease is measured from
// before the request.
func (n *Node) sendLend(guardian string, req *lendRequest, done func(*lendReply)) {
	address := n.addressOf(guardian)
	if address == "" {
		return
	}
	n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		rep, err := call[lendReply](ctx, n.transport, address, "lend", req)
		if err != nil {
			n.log.WithError(err).WithField("guardian", guardian).Debug("entry: no answer from a guardian")
			return
		}
		if done != nil {
			n.post(func() { done(rep) })
		}
	})
}

func (n *Node) id() BorrowerID { return BorrowerID{n.cfg.Place, n.cfg.Incarnation} }

// handleLend lends to the highest-ranked member that this VM hears and to no other.
func (n *Node) handleLend(_ context.Context, req *lendRequest) (*lendReply, error) {
	rep := &lendReply{}
	ok := n.do(func() {
		now := time.Now()
		who := BorrowerID{req.Place, req.Incarnation}
		for _, r := range req.Returns {
			n.lender.Return(now, who, r.Key, r.Sequence)
		}
		m, known := n.members.Get(req.Place)
		if !known || m.incarnation > req.Incarnation {
			return
		}
		for _, ask := range req.Asks {
			if place, ok := n.candidate(ask.Key.Resource); !ok || place != req.Place {
				continue
			}
			if loan, ok := n.lend(now, who, ask); ok {
				rep.Loans = append(rep.Loans, loan)
			}
		}
	})
	if !ok {
		return nil, errStopped
	}
	return rep, nil
}

// HandOver stops owning anything, tells the other VMs that this one leaves and gives all share leases back. Grants in use
// are registered with the new owners by the renewals that go on until Close.
func (n *Node) HandOver(ctx context.Context) error {
	type message struct {
		address string
		probe   *probeMessage
		lend    *lendRequest
	}
	var messages []message
	ok := n.do(func() {
		now := time.Now()
		n.leaving = true
		n.members.Leave(now)
		n.tickOwned(now)
		n.tickQuotas(now)
		for _, m := range n.members.Random(pushAll, "") {
			messages = append(messages, message{address: m.place.Address, probe: n.message(now, m.place)})
		}
		for guardian, req := range n.takeReturns() {
			messages = append(messages, message{address: n.addressOf(guardian), lend: req})
		}
		n.publish(now)
	})
	if !ok {
		return errors.New("the node is closed")
	}
	// A VM that does not answer learns of the departure from others, and a lease that is not given back runs out.
	for _, m := range messages {
		var err error
		if m.probe != nil {
			_, err = n.sendProbe(ctx, m.address, m.probe)
		} else {
			rpc, cancel := context.WithTimeout(ctx, callTimeout)
			_, err = call[lendReply](rpc, n.transport, m.address, "lend", m.lend)
			cancel()
		}
		if err != nil {
			n.log.WithError(err).WithField("address", m.address).Info("entry: departure not delivered")
		}
	}
	return errors.WithStack(ctx.Err())
}
