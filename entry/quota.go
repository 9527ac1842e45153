package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Quota is what a customer may use in the whole deployment.
type Quota struct {
	TokensPerSecond int
	Burst           int // tokens
	Concurrent      int // requests
}

// Part is what this VM may use of a customer's quota until it expires.
type Part struct {
	TokensPerSecond int
	Burst           int
	Concurrent      int
	Expires         time.Time
}

// quotaKind names one dimension of a quota. Each is leased by itself, because demand for them differs.
type quotaKind uint8

const (
	quotaRate quotaKind = iota + 1
	quotaConcurrent
)

var quotaKinds = []quotaKind{quotaRate, quotaConcurrent}

func (q Quota) units(k quotaKind) int {
	if k == quotaRate {
		return q.TokensPerSecond
	}
	return q.Concurrent
}

type quotaKey struct {
	Customer string    `cbor:"customer"`
	Kind     quotaKind `cbor:"kind"`
}

const (
	// interestTimeout is how long a VM keeps asking for a part of a customer that sends it nothing more.
	interestTimeout = 30 * time.Second
	// demandTimeout is how long an owner counts a VM's demand that is not renewed.
	demandTimeout = 3 * time.Second
)

// Need is what this VM's requests of a customer need.
type Need struct {
	TokensPerSecond int
	Concurrent      int // requests, running ones included
	Running         int // requests that run now; the VM keeps their places until they end
}

func (d Need) units(k quotaKind) (units, inUse int) {
	if k == quotaRate {
		return max(0, d.TokensPerSecond), 0
	}
	return max(0, d.Concurrent), max(0, d.Running)
}

// WithDemand sets the function that tells what this VM's requests of a customer need. It is called on the control goroutine.
// Without it the VMs that a customer sends requests to get equal parts.
func WithDemand(f func(customer string) Need) Option { return func(o *options) { o.demand = f } }

// quotas leases customers' limits. A customer's owner in the data centre borrows the shares of the customer from guardians,
// as with endpoints, and lends parts to VMs. Interest and view are for all goroutines, the rest belongs to the control
// goroutine.
type quotas struct {
	full        map[string]Quota // contracts
	contracts   map[string]Quota // this data centre's fixed parts
	dataCentres []string
	places      int  // VMs' places in this data centre
	placed      bool // this VM's place is one of them
	shares      *Borrower[shareKey]
	lender      *Lender[quotaKey]
	parts       *Borrower[quotaKey]
	demands     map[quotaKey]demands
	nextAsk     map[string]time.Time
	confirm     map[quotaKey]uint64 // answers that the readers of Part had one renewal to take over
	interest    sync.Map            // customer -> time.Time of the last use
	view        atomic.Pointer[map[string]Part]
}

func newQuotas(now time.Time) (*quotas, error) {
	q := &quotas{contracts: map[string]Quota{}, demands: map[quotaKey]demands{}, nextAsk: map[string]time.Time{}, confirm: map[quotaKey]uint64{}}
	var err error
	if q.shares, err = NewBorrower[shareKey](QuotaTimers()); err != nil {
		return nil, err
	}
	// Parts lent by an earlier process at this place end while this one waits for its new shares.
	if q.lender, err = NewLender[quotaKey](PartTimers(), now, FirstStart()); err != nil {
		return nil, err
	}
	if q.parts, err = NewBorrower[quotaKey](PartTimers()); err != nil {
		return nil, err
	}
	q.view.Store(&map[string]Part{})
	return q, nil
}

// SetQuotas sets the customers' quotas. Each data centre has a fixed equal part of each.
func (n *Node) SetQuotas(q map[string]Quota) {
	n.do(func() {
		n.quotas.full = q
		n.divideQuotas()
		n.guard(time.Now(), n.local)
	})
}

// Part returns what this VM may use of a customer's quota: a reserve that each place has and a leased part. The first call for
// a customer makes the VM ask for a leased part; it reports false until the next tick. A part can shrink before it expires; the
// caller takes a smaller one over within 300 ms, before its owner lends the rest to another VM.
func (n *Node) Part(customer string) (Part, bool) {
	n.quotas.interest.Store(customer, time.Now())
	p, ok := (*n.quotas.view.Load())[customer]
	return p, ok && time.Now().Before(p.Expires)
}

// Parts returns this VM's parts of all customers. It does not count as use.
func (n *Node) Parts() map[string]Part { return *n.quotas.view.Load() }

// setDataCentres takes the data centres from the list of places.
func (n *Node) setDataCentres() {
	n.quotas.dataCentres = nil
	for _, p := range n.placeList {
		n.quotas.dataCentres = append(n.quotas.dataCentres, p.DataCentre)
	}
	slices.Sort(n.quotas.dataCentres)
	n.quotas.dataCentres = slices.Compact(n.quotas.dataCentres)
	n.divideQuotas()
}

func (n *Node) divideQuotas() {
	n.quotas.places, n.quotas.placed = len(n.local), slices.Contains(n.local, n.cfg.Place)
	n.quotas.contracts = map[string]Quota{}
	for name, q := range n.quotas.full {
		n.quotas.contracts[name] = fixedPart(name, q, n.cfg.DataCentre, n.quotas.dataCentres)
	}
}

// fixedPart returns a data centre's part of a quota. What division leaves goes to the first data centres by rendezvous hash
// of the customer, so that the parts add up to the quota.
func fixedPart(customer string, q Quota, dataCentre string, dataCentres []string) Quota {
	i := slices.Index(rank(customer, dataCentres), dataCentre)
	if i < 0 {
		return Quota{}
	}
	divide := func(units int) int {
		part := units / len(dataCentres)
		if i < units%len(dataCentres) {
			part++
		}
		return part
	}
	return Quota{divide(q.TokensPerSecond), divide(q.Burst), divide(q.Concurrent)}
}

func (q *quotas) has(k quotaKey) bool {
	_, ok := q.contracts[k.Customer]
	return ok
}

// reserved returns the units that each place has without a lease, a quarter of the data centre's part in sum. They keep a
// customer served while the owner of its quota changes, which takes longer than a part lasts.
func (q *quotas) reserved(units int) int {
	if q.places == 0 {
		return 0
	}
	if units >= 2*q.places && units < 4*q.places {
		return 1
	}
	return units / (4 * q.places)
}

// leasable returns the units that are leased by demand.
func (q *quotas) leasable(units int) int { return units - q.places*q.reserved(units) }

// own returns the units that this VM has without a lease.
func (q *quotas) own(units int) int {
	if !q.placed {
		return 0
	}
	return q.reserved(units)
}

// demands are what VMs need of one dimension of a customer's quota.
type demands map[BorrowerID]demandSeen

type demandSeen struct {
	units int
	seen  time.Time
}

// demandTurn is how long a VM comes first among VMs of equal demand. With fewer units than VMs the units go round.
const demandTurn = 10 * time.Second

// target returns what a VM should have of total units: its demand where all demands fit, otherwise a max-min fair part. What
// is left is divided equally, so that each VM can take a burst without asking.
func (d demands) target(now time.Time, total int, who BorrowerID) int {
	type wish struct {
		id    BorrowerID
		units int
		turn  int
	}
	var all []wish
	for id, s := range d {
		if now.Sub(s.seen) > demandTimeout {
			delete(d, id)
			continue
		}
		all = append(all, wish{id: id, units: s.units})
	}
	if len(all) == 0 {
		return 0
	}
	slices.SortFunc(all, func(a, b wish) int {
		return cmp.Or(cmp.Compare(a.id.Place, b.id.Place), cmp.Compare(a.id.Incarnation, b.id.Incarnation))
	})
	for i := range all {
		all[i].turn = (i + int(now.Unix()/int64(demandTurn/time.Second))) % len(all)
	}
	slices.SortFunc(all, func(a, b wish) int {
		return cmp.Or(cmp.Compare(a.units, b.units), cmp.Compare(a.turn, b.turn))
	})
	left, own, index := total, 0, -1
	for i, w := range all {
		units := min(w.units, left/(len(all)-i))
		left -= units
		if w.id == who {
			own, index = units, i
		}
	}
	if index < 0 {
		return 0
	}
	own += left / len(all)
	if index >= len(all)-left%len(all) {
		own++ // the remainder goes to those who need most
	}
	return own
}

// tickQuotas borrows the shares of owned customers and asks for this VM's parts.
func (n *Node) tickQuotas(now time.Time) {
	q := n.quotas
	var own, lost []string
	for name := range q.contracts {
		resource := customerResource(name)
		if n.mine(resource) {
			own = append(own, resource)
		} else {
			lost = append(lost, resource)
		}
	}
	q.lender.Retain(now, q.has)
	for key := range q.demands {
		if !q.has(key) {
			delete(q.demands, key)
		}
	}
	n.borrow(now, q.shares, own)
	n.giveBack(now, q.shares, lost)
	n.askParts(now)

	view := map[string]Part{}
	q.interest.Range(func(k, v any) bool {
		name := k.(string)
		if now.Sub(v.(time.Time)) > interestTimeout {
			q.interest.Delete(k)
			delete(q.nextAsk, name)
			return true
		}
		if p, ok := q.part(now, name); ok {
			view[name] = p
		}
		return true
	})
	q.view.Store(&view)
}

// part returns what this VM holds of a customer's quota.
func (q *quotas) part(now time.Time, name string) (Part, bool) {
	contract := q.contracts[name]
	rate, concurrent := quotaKey{name, quotaRate}, quotaKey{name, quotaConcurrent}
	p := Part{
		TokensPerSecond: q.own(contract.TokensPerSecond) + q.parts.Held(now, rate),
		Concurrent:      q.own(contract.Concurrent) + q.parts.Held(now, concurrent),
	}
	if p.TokensPerSecond == 0 && p.Concurrent == 0 {
		return Part{}, false
	}
	if contract.TokensPerSecond > 0 {
		p.Burst = int(int64(contract.Burst) * int64(p.TokensPerSecond) / int64(contract.TokensPerSecond))
	}
	p.Expires = now.Add(PartTimers().BorrowerLease)
	for _, k := range []quotaKey{rate, concurrent} {
		if e := q.parts.Expires(k); e.After(now) && e.Before(p.Expires) {
			p.Expires = e
		}
	}
	return p, true
}

type quotaRequest struct {
	Place       string     `cbor:"place"`
	Incarnation uint64     `cbor:"incarnation"`
	Asks        []quotaAsk `cbor:"asks"`
}

type quotaAsk struct {
	Key       quotaKey `cbor:"key"`
	Sequence  uint64   `cbor:"sequence"`
	Confirmed uint64   `cbor:"confirmed"`
	Demand    int      `cbor:"demand"`
	InUse     int      `cbor:"inUse,omitempty"` // units that the VM can't give back yet
}

type quotaReply struct {
	Loans []Loan[quotaKey] `cbor:"loans,omitempty"`
}

// askParts asks the owners of the customers that send requests to this VM, in one message to each owner.
func (n *Node) askParts(now time.Time) {
	q := n.quotas
	batches := map[string][]quotaAsk{}
	q.interest.Range(func(k, _ any) bool {
		name := k.(string)
		if _, ok := q.contracts[name]; !ok || now.Before(q.nextAsk[name]) {
			return true
		}
		owner, ok := n.candidate(customerResource(name))
		if !ok {
			return true
		}
		var need Need
		if n.opts.demand != nil {
			need = n.opts.demand(name)
		}
		q.nextAsk[name] = now.Add(renewInterval)
		for _, kind := range quotaKinds {
			key := quotaKey{name, kind}
			if q.parts.Held(now, key) == 0 {
				q.nextAsk[name] = now.Add(acquireInterval)
			}
			a := q.parts.Ask(now, key, 0)
			units, inUse := need.units(kind)
			own := q.own(q.contracts[name].units(kind))
			batches[owner] = append(batches[owner], quotaAsk{key, a.Sequence, q.confirm[key], max(0, units-own), max(0, inUse-own)})
			q.confirm[key] = a.Confirmed
		}
		return true
	})
	for owner, asks := range batches {
		req := &quotaRequest{Place: n.cfg.Place, Incarnation: n.cfg.Incarnation, Asks: asks}
		if owner == n.cfg.Place {
			n.applyParts(now, n.lendParts(now, req))
			continue
		}
		address := n.addressOf(owner)
		n.background(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			rep, err := call[quotaReply](ctx, n.transport, address, "quota", req)
			if err != nil {
				n.log.WithError(err).WithField("owner", owner).Debug("entry: no answer from a customer's owner")
				return
			}
			n.post(func() { n.applyParts(time.Now(), rep) })
		})
	}
}

func (n *Node) applyParts(now time.Time, rep *quotaReply) {
	for _, loan := range rep.Loans {
		n.quotas.parts.Lent(now, loan)
	}
}

// lend lends a part of a customer that this VM owns. It lends no more than the shares of the customer cover; what it lent
// under a share that it lost has ended when the share's next borrower uses it.
func (q *quotas) lend(now time.Time, who BorrowerID, a quotaAsk) (Loan[quotaKey], bool) {
	resource := customerResource(a.Key.Customer)
	usable := 0
	for i := range Shares {
		usable += q.shares.Usable(now, now, shareKey{resource, i})
	}
	total := q.leasable(q.contracts[a.Key.Customer].units(a.Key.Kind)) * usable / Shares
	q.lender.SetTotal(now, a.Key, total, 0)
	d := q.demands[a.Key]
	if d == nil {
		d = demands{}
		q.demands[a.Key] = d
	}
	d[who] = demandSeen{a.Demand, now}
	// A running request can't be taken back, so its place goes to another VM only when it has ended.
	want := max(d.target(now, total, who), a.InUse)
	return q.lender.Lend(now, who, Ask[quotaKey]{Key: a.Key, Sequence: a.Sequence, Confirmed: a.Confirmed, Want: want})
}

// lendParts answers a VM that asks for parts of customers.
func (n *Node) lendParts(now time.Time, req *quotaRequest) *quotaReply {
	rep := &quotaReply{}
	for _, a := range req.Asks {
		if _, ok := n.quotas.contracts[a.Key.Customer]; !ok || !n.mine(customerResource(a.Key.Customer)) {
			continue
		}
		if loan, ok := n.quotas.lend(now, BorrowerID{req.Place, req.Incarnation}, a); ok {
			rep.Loans = append(rep.Loans, loan)
		}
	}
	return rep
}

func (n *Node) handleQuota(_ context.Context, req *quotaRequest) (*quotaReply, error) {
	var rep *quotaReply
	if !n.do(func() { rep = n.lendParts(time.Now(), req) }) {
		return nil, errStopped
	}
	return rep, nil
}
