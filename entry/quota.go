package entry

import (
	"context"
	"maps"
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
	Customer string    `cbor:"1,keyasint"`
	Kind     quotaKind `cbor:"2,keyasint"`
}

const (
	// interestTimeout is how long a VM keeps asking for a part of a customer that sends it nothing more.
	interestTimeout = 30 * time.Second
	// partMargin is how long before its end a lease that was not renewed counts as ended. The readers of Part see the smaller
	// part before the larger one expires; an expiry would take everything from them, also what other leases give.
	partMargin = 250 * time.Millisecond
	// demandTimeout is how long an owner counts a VM's demand that is not renewed.
	demandTimeout = 3 * time.Second
)

// partKey names what VMs lease from one data centre's fixed part.
type partKey struct {
	quotaKey
	dataCentre string
}

// quotas leases customers' limits. A customer's owner in the data centre borrows the shares of the customer from guardians,
// as with endpoints, and lends parts to VMs, first to those of its data centre and what they don't need to others. A VM asks
// the owners in other data centres for what its own can't give. Interest and view are for all goroutines, the rest belongs to
// the control goroutine.
type quotas struct {
	full        map[string]Quota // contracts
	contracts   map[string]Quota // this data centre's fixed parts
	dataCentre  string           // this one
	dataCentres []string
	places      int  // VMs' places in this data centre
	placed      bool // this VM's place is one of them
	shares      *Borrower[shareKey]
	lender      *Lender[quotaKey]
	parts       *Borrower[partKey]
	demands     map[quotaKey]demands
	nextAsk     map[string]time.Time
	confirm     map[partKey]uint64   // answers that the readers of Part had one renewal to take over
	hints       map[remoteKey]string // places that own customers in other data centres, as last told
	interest    sync.Map             // customer -> time.Time of the last use
	view        atomic.Pointer[map[string]Part]
}

// remoteKey names a customer in another data centre.
type remoteKey struct{ dataCentre, customer string }

func newQuotas(now time.Time, dataCentre string) (*quotas, error) {
	q := &quotas{
		contracts: map[string]Quota{}, demands: map[quotaKey]demands{}, nextAsk: map[string]time.Time{}, confirm: map[partKey]uint64{},
		dataCentre: dataCentre, dataCentres: []string{dataCentre}, hints: map[remoteKey]string{},
	}
	var err error
	if q.shares, err = NewBorrower[shareKey](QuotaTimers()); err != nil {
		return nil, err
	}
	// Parts lent by an earlier process at this place end while this one waits for its new shares.
	if q.lender, err = NewLender[quotaKey](PartTimers(), now, FirstStart()); err != nil {
		return nil, err
	}
	if q.parts, err = NewBorrower[partKey](PartTimers()); err != nil {
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
	if _, known := n.quotas.interest.Swap(customer, time.Now()); !known {
		n.post(func() { n.tickQuotas(time.Now()) }) // shows the reserve at once
	}
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
	maps.DeleteFunc(n.quotas.hints, func(k remoteKey, _ string) bool { _, ok := n.quotas.full[k.customer]; return !ok })
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

// part returns what this VM holds of a customer's quota, leased from all data centres.
func (q *quotas) part(now time.Time, name string) (Part, bool) {
	contract, full := q.contracts[name], q.full[name]
	p := Part{
		TokensPerSecond: q.own(contract.TokensPerSecond),
		Concurrent:      q.own(contract.Concurrent),
		Expires:         now.Add(PartTimers().BorrowerLease),
	}
	soon := now.Add(partMargin)
	for _, dataCentre := range q.dataCentres {
		rate, concurrent := partKey{quotaKey{name, quotaRate}, dataCentre}, partKey{quotaKey{name, quotaConcurrent}, dataCentre}
		p.TokensPerSecond += q.parts.Held(soon, rate)
		p.Concurrent += q.parts.Held(soon, concurrent)
		for _, k := range []partKey{rate, concurrent} {
			if e := q.parts.Expires(k); e.After(soon) && e.Before(p.Expires) {
				p.Expires = e
			}
		}
	}
	if p.TokensPerSecond == 0 && p.Concurrent == 0 {
		return Part{}, false
	}
	if full.TokensPerSecond > 0 {
		p.Burst = int(int64(full.Burst) * int64(p.TokensPerSecond) / int64(full.TokensPerSecond))
	}
	return p, true
}

type quotaRequest struct {
	Place       string     `cbor:"place"`
	Incarnation uint64     `cbor:"incarnation"`
	DataCentre  string     `cbor:"dataCentre"`
	Asks        []quotaAsk `cbor:"asks"`
}

type quotaAsk struct {
	Key       quotaKey `cbor:"1,keyasint"`
	Sequence  uint64   `cbor:"2,keyasint"`
	Confirmed uint64   `cbor:"3,keyasint"`
	Demand    int      `cbor:"4,keyasint"`
	InUse     int      `cbor:"5,keyasint,omitempty"` // units that the VM can't give back yet
}

type quotaReply struct {
	Loans  []Loan[quotaKey]  `cbor:"loans,omitempty"`
	Owners map[string]string `cbor:"owners,omitempty"` // places to ask instead, by customer
}

// asks returns what this VM asks each data centre's owner of the customer for, in a fixed order of data centres with its own
// first. It asks each for what the ones before it do not cover, so that no two are asked for the same units for long.
func (q *quotas) asks(now time.Time, name string, need Need, remote bool) map[string][]quotaAsk {
	out := map[string][]quotaAsk{}
	for _, kind := range quotaKinds {
		key := quotaKey{name, kind}
		units, inUse := need.units(kind)
		own := q.own(q.contracts[name].units(kind))
		units, inUse = units-own, inUse-own
		ask := func(dataCentre string, inUse int) {
			k := partKey{key, dataCentre}
			a := q.parts.Ask(now, k, 0)
			out[dataCentre] = append(out[dataCentre], quotaAsk{key, a.Sequence, q.confirm[k], max(0, units), max(0, inUse)})
			q.confirm[k] = a.Confirmed
			held := q.parts.Held(now, k)
			units -= held
		}
		held := q.parts.Held(now, partKey{key, q.dataCentre})
		ask(q.dataCentre, inUse)
		inUse -= held
		for _, dataCentre := range rank(name, q.dataCentres) {
			if dataCentre == q.dataCentre {
				continue
			}
			held := q.parts.Held(now, partKey{key, dataCentre})
			if remote && max(units, min(inUse, held)) > 0 {
				ask(dataCentre, min(inUse, held))
				inUse -= held
			}
		}
	}
	return out
}

// held returns the units that the VM has of a customer, leased or not.
func (q *quotas) held(now time.Time, key quotaKey) int {
	units := q.own(q.contracts[key.Customer].units(key.Kind))
	for _, dataCentre := range q.dataCentres {
		units += q.parts.Held(now, partKey{key, dataCentre})
	}
	return units
}

// askParts asks the owners of the customers that send requests to this VM, in one message to each owner.
func (n *Node) askParts(now time.Time) {
	q := n.quotas
	batches := map[Place]*quotaRequest{}
	q.interest.Range(func(k, _ any) bool {
		name := k.(string)
		next, asked := q.nextAsk[name]
		if _, ok := q.contracts[name]; !ok || now.Before(next) {
			return true
		}
		var need Need
		if n.opts.demand != nil {
			need = n.opts.demand(name)
		}
		q.nextAsk[name] = now.Add(renewInterval)
		if q.held(now, quotaKey{name, quotaRate}) == 0 || q.held(now, quotaKey{name, quotaConcurrent}) == 0 {
			q.nextAsk[name] = now.Add(acquireInterval)
		}
		// The first answer shows whether the data centre's own part is enough.
		for dataCentre, asks := range q.asks(now, name, need, asked) {
			owner, ok := n.ownerIn(dataCentre, name)
			if !ok {
				continue
			}
			if batches[owner] == nil {
				batches[owner] = &quotaRequest{Place: n.cfg.Place, Incarnation: n.cfg.Incarnation, DataCentre: n.cfg.DataCentre}
			}
			batches[owner].Asks = append(batches[owner].Asks, asks...)
		}
		return true
	})
	for owner, req := range batches {
		if owner.Name == n.cfg.Place {
			n.applyParts(now, owner.DataCentre, n.lendParts(now, req))
			continue
		}
		n.background(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			rep, err := call[quotaReply](ctx, n.transport, owner.Address, "quota", req)
			if err != nil {
				n.log.WithError(err).WithField("owner", owner.Name).Debug("entry: no answer from a customer's owner")
				n.post(func() { n.quotas.forgetHints(owner.Name) })
				return
			}
			n.post(func() { n.applyParts(time.Now(), owner.DataCentre, rep) })
		})
	}
}

// ownerIn returns the place to ask for a customer's part of a data centre. In another data centre it is the one that was named
// there, or the first by rendezvous hash that is known to live; it names the owner if it is another one.
func (n *Node) ownerIn(dataCentre, name string) (Place, bool) {
	if dataCentre == n.cfg.DataCentre {
		owner, ok := n.candidate(customerResource(name))
		return Place{owner, dataCentre, n.addressOf(owner)}, ok
	}
	d := n.sites.known[dataCentre]
	if d == nil || len(d.places) == 0 {
		return Place{}, false
	}
	byName := make(map[string]Place, len(d.places))
	names := make([]string, 0, len(d.places))
	for _, p := range d.places {
		byName[p.Name] = p
		names = append(names, p.Name)
	}
	if p, ok := byName[n.quotas.hints[remoteKey{dataCentre, name}]]; ok {
		return p, true
	}
	order := rank(customerResource(name), names)
	for _, place := range order {
		if _, live := d.live[place]; live {
			return byName[place], true
		}
	}
	return byName[order[0]], true
}

func (q *quotas) forgetHints(place string) {
	maps.DeleteFunc(q.hints, func(_ remoteKey, hint string) bool { return hint == place })
}

func (n *Node) applyParts(now time.Time, dataCentre string, rep *quotaReply) {
	for _, loan := range rep.Loans {
		n.quotas.lent(now, dataCentre, loan)
	}
	if dataCentre != n.cfg.DataCentre {
		for name, place := range rep.Owners {
			n.quotas.hints[remoteKey{dataCentre, name}] = place
		}
	}
}

// lent applies an answer of a data centre's owner.
func (q *quotas) lent(now time.Time, dataCentre string, l Loan[quotaKey]) {
	q.parts.Lent(now, Loan[partKey]{Key: partKey{l.Key, dataCentre}, Sequence: l.Sequence, Units: l.Units, Origin: l.Origin})
}

// lend lends a part of a customer that this VM owns. It lends no more than the shares of the customer cover; what it lent
// under a share that it lost has ended when the share's next borrower uses it.
func (q *quotas) lend(now time.Time, who BorrowerID, remote bool, a quotaAsk) (Loan[quotaKey], bool) {
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
	d[who] = demandSeen{a.Demand, now, remote}
	// A running request can't be taken back, so its place goes to another VM only when it has ended.
	want := max(d.target(now, total, who), a.InUse)
	return q.lender.Lend(now, who, Ask[quotaKey]{Key: a.Key, Sequence: a.Sequence, Confirmed: a.Confirmed, Want: want})
}

// lendParts answers a VM that asks for parts of customers.
func (n *Node) lendParts(now time.Time, req *quotaRequest) *quotaReply {
	rep := &quotaReply{}
	remote := req.DataCentre != "" && req.DataCentre != n.cfg.DataCentre
	for _, a := range req.Asks {
		resource := customerResource(a.Key.Customer)
		if _, ok := n.quotas.contracts[a.Key.Customer]; !ok {
			continue
		}
		if !n.mine(resource) {
			if owner, ok := n.candidate(resource); ok && remote && owner != n.cfg.Place {
				if rep.Owners == nil {
					rep.Owners = map[string]string{}
				}
				rep.Owners[a.Key.Customer] = owner
			}
			continue
		}
		if loan, ok := n.quotas.lend(now, BorrowerID{req.Place, req.Incarnation}, remote, a); ok {
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
