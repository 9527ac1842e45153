package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Quota is a customer's limits in the whole deployment, or a data centre's fixed share of them.
type Quota struct {
	TokensPerSecond int
	Burst           int // tokens
	Concurrent      int // requests
}

// QuotaShare is the share of a customer's quota that this VM may use until it expires.
type QuotaShare struct {
	TokensPerSecond int
	Burst           int
	Concurrent      int
	Expires         time.Time
}

// quotaKind identifies one dimension of a quota. The dimensions are leased separately, because the demands for them
// differ.
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

// quotaKey identifies one dimension of a customer's quota.
type quotaKey struct {
	Customer string    `cbor:"1,keyasint"`
	Kind     quotaKind `cbor:"2,keyasint"`
}

const (
	// idleCustomerTimeout is how long a VM keeps requesting a quota share for a customer after the customer's last
	// request.
	idleCustomerTimeout = 30 * time.Second
	// shareExpiryMargin is how long before its end a lease that was not renewed is treated as expired. Callers of
	// Node.QuotaShare thus get the smaller quota share before the larger one expires. If the larger one expired first,
	// they could use nothing at all for a short time, not even the units of their other leases.
	shareExpiryMargin = 250 * time.Millisecond
	// demandTimeout is how long an owner counts a VM's demand that is not renewed.
	demandTimeout = 3 * time.Second
)

// quotaShareKey identifies one dimension of one data centre's fixed share of a quota, from which VMs lease units.
type quotaShareKey struct {
	quotaKey
	dataCentre string
}

// quotas leases customers' limits. A customer's owner in each data centre leases the customer's shares from their lessors,
// as with endpoints, and in turn leases quota shares to VMs. VMs of its own data centre come first; units that they do not
// need are leased to VMs of other data centres. A VM requests what its own data centre cannot provide from the owners in
// the others. The fields lastUsed and view may be used by all goroutines; the others are accessed only by the control
// goroutine.
type quotas struct {
	deploymentQuotas map[string]Quota // quotas of the whole deployment, by customer
	localQuotas      map[string]Quota // this data centre's fixed shares, by customer
	dataCentre       string           // of this VM
	dataCentres      []string
	vmCount          int                       // number of VMs in this data centre
	inFleet          bool                      // this VM is one of them
	customerShares   *Lessee[shareKey]         // of the shares of customers that this VM owns
	lessor           *Lessor[quotaKey]         // of the quota shares of customers that this VM owns
	quotaShares      *Lessee[quotaShareKey]    // of this VM's own quota shares
	demands          map[quotaKey]demandByVM   // for the customers that this VM owns
	nextRequest      map[string]time.Time      // when quota shares are requested next, by customer
	confirmed        map[quotaShareKey]uint64  // newest answers that callers of Node.QuotaShare have had one renewal interval to apply
	ownerHints       map[remoteCustomer]string // VMs that own customers in other data centres, as last reported
	lastUsed         sync.Map                  // customer -> time.Time of the last use
	view             atomic.Pointer[map[string]QuotaShare]
}

// remoteCustomer identifies a customer in another data centre.
type remoteCustomer struct{ dataCentre, customer string }

// newQuotas returns the state of a VM that has no quotas and no leases yet.
func newQuotas(now time.Time, dataCentre string) (*quotas, error) {
	q := &quotas{
		localQuotas: map[string]Quota{}, demands: map[quotaKey]demandByVM{}, nextRequest: map[string]time.Time{}, confirmed: map[quotaShareKey]uint64{},
		dataCentre: dataCentre, dataCentres: []string{dataCentre}, ownerHints: map[remoteCustomer]string{},
	}
	var err error
	if q.customerShares, err = NewLessee[shareKey](CustomerLeaseTimers()); err != nil {
		return nil, err
	}
	// Quota shares that an earlier process with this VM name leased out expire while this one waits for its new shares.
	if q.lessor, err = NewLessor[quotaKey](QuotaShareTimers(), now, FirstStart()); err != nil {
		return nil, err
	}
	if q.quotaShares, err = NewLessee[quotaShareKey](QuotaShareTimers()); err != nil {
		return nil, err
	}
	q.view.Store(&map[string]QuotaShare{})
	return q, nil
}

// SetQuotas sets the customers' quotas. Each data centre has an equal fixed share of each quota.
func (n *Node) SetQuotas(q map[string]Quota) {
	n.do(func() {
		n.quotas.deploymentQuotas = q
		n.updateLocalQuotas()
		n.updateLeasableShares(time.Now(), n.localNames)
	})
}

// QuotaShare returns what this VM may use of a customer's quota: a reserve that each VM has and a leased share. The first
// call for a customer makes the VM request a lease; it returns false until the next tick. The share can shrink before
// it expires; callers must apply a smaller value within 300 ms, before the owner leases the difference to another VM.
func (n *Node) QuotaShare(customer string) (QuotaShare, bool) {
	if _, known := n.quotas.lastUsed.Swap(customer, time.Now()); !known {
		n.post(func() { n.tickQuotas(time.Now()) }) // makes the reserve available at once
	}
	share, ok := (*n.quotas.view.Load())[customer]
	return share, ok && time.Now().Before(share.Expires)
}

// QuotaShares returns this VM's quota shares of all customers. It does not count as use.
func (n *Node) QuotaShares() map[string]QuotaShare { return *n.quotas.view.Load() }

// setDataCentres derives the data centres from the list of VMs.
func (n *Node) setDataCentres() {
	n.quotas.dataCentres = nil
	for _, vm := range n.fleet {
		n.quotas.dataCentres = append(n.quotas.dataCentres, vm.DataCentre)
	}
	slices.Sort(n.quotas.dataCentres)
	n.quotas.dataCentres = slices.Compact(n.quotas.dataCentres)
	n.updateLocalQuotas()
}

// updateLocalQuotas recomputes this data centre's fixed shares after a change of the quotas, VMs or data centres.
func (n *Node) updateLocalQuotas() {
	n.quotas.vmCount, n.quotas.inFleet = len(n.localNames), slices.Contains(n.localNames, n.cfg.VMName)
	n.quotas.localQuotas = map[string]Quota{}
	maps.DeleteFunc(n.quotas.ownerHints, func(k remoteCustomer, _ string) bool { _, ok := n.quotas.deploymentQuotas[k.customer]; return !ok })
	for name, q := range n.quotas.deploymentQuotas {
		n.quotas.localQuotas[name] = dataCentreQuota(name, q, n.cfg.DataCentre, n.quotas.dataCentres)
	}
}

// dataCentreQuota returns a data centre's fixed share of a quota. The remainder of the division goes to the first data
// centres in rendezvous order for the customer, so that the shares add up to the quota.
func dataCentreQuota(customer string, q Quota, dataCentre string, dataCentres []string) Quota {
	i := slices.Index(rendezvousOrder(customer, dataCentres), dataCentre)
	if i < 0 {
		return Quota{}
	}
	divide := func(units int) int {
		share := units / len(dataCentres)
		if i < units%len(dataCentres) {
			share++
		}
		return share
	}
	return Quota{divide(q.TokensPerSecond), divide(q.Burst), divide(q.Concurrent)}
}

// hasCustomer reports whether the customer of a key is configured.
func (q *quotas) hasCustomer(k quotaKey) bool {
	_, ok := q.localQuotas[k.Customer]
	return ok
}

// reservePerVM returns the units that each VM has without a lease. In total these are at most a quarter of the data
// centre's share, or up to half of it if a quarter is less than one unit for each VM. The reserve keeps a customer served
// while the owner of its quota changes, which takes longer than a leased quota share lasts.
func (q *quotas) reservePerVM(units int) int {
	if q.vmCount == 0 {
		return 0
	}
	if units >= 2*q.vmCount && units < 4*q.vmCount {
		return 1
	}
	return units / (4 * q.vmCount)
}

// leasable returns the units that are leased according to demand.
func (q *quotas) leasable(units int) int { return units - q.vmCount*q.reservePerVM(units) }

// ownReserve returns the units that this VM has without a lease.
func (q *quotas) ownReserve(units int) int {
	if !q.inFleet {
		return 0
	}
	return q.reservePerVM(units)
}

// tickQuotas requests the shares of owned customers and this VM's quota shares, returns the shares of customers that this
// VM is not to own, and updates the view.
func (n *Node) tickQuotas(now time.Time) {
	q := n.quotas
	var owned, notOwned []string
	for name := range q.localQuotas {
		resource := customerResource(name)
		if n.shouldOwn(resource) {
			owned = append(owned, resource)
		} else {
			notOwned = append(notOwned, resource)
		}
	}
	q.lessor.Retain(now, q.hasCustomer)
	for key := range q.demands {
		if !q.hasCustomer(key) {
			delete(q.demands, key)
		}
	}
	n.requestShares(now, q.customerShares, owned)
	n.returnShares(now, q.customerShares, notOwned)
	n.requestQuotaShares(now)

	view := map[string]QuotaShare{}
	q.lastUsed.Range(func(k, v any) bool {
		name := k.(string)
		if now.Sub(v.(time.Time)) > idleCustomerTimeout {
			q.lastUsed.Delete(k)
			delete(q.nextRequest, name)
			return true
		}
		if share, ok := q.quotaShare(now, name); ok {
			view[name] = share
		}
		return true
	})
	q.view.Store(&view)
}

// quotaShare returns what this VM may use of a customer's quota: its reserve and the leases from all data centres.
func (q *quotas) quotaShare(now time.Time, name string) (QuotaShare, bool) {
	local, deployment := q.localQuotas[name], q.deploymentQuotas[name]
	share := QuotaShare{
		TokensPerSecond: q.ownReserve(local.TokensPerSecond),
		Concurrent:      q.ownReserve(local.Concurrent),
		Expires:         now.Add(QuotaShareTimers().BorrowerLease),
	}
	soon := now.Add(shareExpiryMargin)
	for _, dataCentre := range q.dataCentres {
		rate, concurrent := quotaShareKey{quotaKey{name, quotaRate}, dataCentre}, quotaShareKey{quotaKey{name, quotaConcurrent}, dataCentre}
		share.TokensPerSecond += q.quotaShares.Held(soon, rate)
		share.Concurrent += q.quotaShares.Held(soon, concurrent)
		for _, k := range []quotaShareKey{rate, concurrent} {
			if e := q.quotaShares.Expires(k); e.After(soon) && e.Before(share.Expires) {
				share.Expires = e
			}
		}
	}
	if share.TokensPerSecond == 0 && share.Concurrent == 0 {
		return QuotaShare{}, false
	}
	if deployment.TokensPerSecond > 0 {
		share.Burst = int(int64(deployment.Burst) * int64(share.TokensPerSecond) / int64(deployment.TokensPerSecond))
	}
	return share, true
}

// quotaRequest requests quota shares of customers from the VM that owns them.
type quotaRequest struct {
	VMName      string              `cbor:"place"`
	Incarnation uint64              `cbor:"incarnation"`
	DataCentre  string              `cbor:"dataCentre"`
	Requests    []quotaLeaseRequest `cbor:"asks"`
}

// quotaLeaseRequest is the request for one quota share. The owner derives the units from the demands of all VMs.
type quotaLeaseRequest struct {
	Key       quotaKey `cbor:"1,keyasint"`
	Sequence  uint64   `cbor:"2,keyasint"`
	Confirmed uint64   `cbor:"3,keyasint"`
	Demand    int      `cbor:"4,keyasint"`
	InUse     int      `cbor:"5,keyasint,omitempty"` // units that the VM cannot give up yet
}

type quotaReply struct {
	Leases []Lease[quotaKey] `cbor:"loans,omitempty"`
	Owners map[string]string `cbor:"owners,omitempty"` // VMs to send the requests to instead, by customer
}

// leaseRequests returns the requests to the customer's owner in each data centre. They are computed for this VM's data
// centre first and, if remote is set, for the others in rendezvous order. Each request covers only the units that the
// previous data centres do not provide, so that the same units are not requested from two of them for long.
func (q *quotas) leaseRequests(now time.Time, name string, demand QuotaDemand, remote bool) map[string][]quotaLeaseRequest {
	out := map[string][]quotaLeaseRequest{}
	for _, kind := range quotaKinds {
		key := quotaKey{name, kind}
		units, inUse := demand.units(kind)
		reserve := q.ownReserve(q.localQuotas[name].units(kind))
		units, inUse = units-reserve, inUse-reserve
		request := func(dataCentre string, inUse int) {
			k := quotaShareKey{key, dataCentre}
			req := q.quotaShares.Request(now, k, 0)
			out[dataCentre] = append(out[dataCentre], quotaLeaseRequest{key, req.Sequence, q.confirmed[k], max(0, units), max(0, inUse)})
			q.confirmed[k] = req.Confirmed
			held := q.quotaShares.Held(now, k)
			units -= held
		}
		held := q.quotaShares.Held(now, quotaShareKey{key, q.dataCentre})
		request(q.dataCentre, inUse)
		inUse -= held
		for _, dataCentre := range rendezvousOrder(name, q.dataCentres) {
			if dataCentre == q.dataCentre {
				continue
			}
			held := q.quotaShares.Held(now, quotaShareKey{key, dataCentre})
			if remote && max(units, min(inUse, held)) > 0 {
				request(dataCentre, min(inUse, held))
				inUse -= held
			}
		}
	}
	return out
}

// heldUnits returns the units that this VM has in one dimension of a customer's quota: its reserve and its leases.
func (q *quotas) heldUnits(now time.Time, key quotaKey) int {
	units := q.ownReserve(q.localQuotas[key.Customer].units(key.Kind))
	for _, dataCentre := range q.dataCentres {
		units += q.quotaShares.Held(now, quotaShareKey{key, dataCentre})
	}
	return units
}

// requestQuotaShares requests quota shares for the customers that use this VM from their owners, in one message to each
// owner.
func (n *Node) requestQuotaShares(now time.Time) {
	q := n.quotas
	batches := map[VM]*quotaRequest{}
	q.lastUsed.Range(func(k, _ any) bool {
		name := k.(string)
		next, requestedBefore := q.nextRequest[name]
		if _, ok := q.localQuotas[name]; !ok || now.Before(next) {
			return true
		}
		var demand QuotaDemand
		if n.opts.demand != nil {
			demand = n.opts.demand(name)
		}
		q.nextRequest[name] = now.Add(renewInterval)
		if q.heldUnits(now, quotaKey{name, quotaRate}) == 0 || q.heldUnits(now, quotaKey{name, quotaConcurrent}) == 0 {
			q.nextRequest[name] = now.Add(acquireInterval)
		}
		// The first requests go only to the owner in this data centre, because its answer shows whether this data centre's
		// own share is sufficient.
		for dataCentre, reqs := range q.leaseRequests(now, name, demand, requestedBefore) {
			owner, ok := n.ownerIn(dataCentre, name)
			if !ok {
				continue
			}
			if batches[owner] == nil {
				batches[owner] = &quotaRequest{VMName: n.cfg.VMName, Incarnation: n.cfg.Incarnation, DataCentre: n.cfg.DataCentre}
			}
			batches[owner].Requests = append(batches[owner].Requests, reqs...)
		}
		return true
	})
	for owner, req := range batches {
		if owner.Name == n.cfg.VMName {
			n.applyQuotaLeases(now, owner.DataCentre, n.leaseQuotaShares(now, req))
			continue
		}
		n.background(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			rep, err := call[quotaReply](ctx, n.transport, owner.Address, "quota", req)
			if err != nil {
				n.log.WithError(err).WithField("owner", owner.Name).Debug("entry: customer's owner did not answer")
				n.post(func() { n.quotas.dropHints(owner.Name) })
				return
			}
			n.post(func() { n.applyQuotaLeases(time.Now(), owner.DataCentre, rep) })
		})
	}
}

// ownerIn returns the VM of a data centre from which to request quota shares of a customer. In another data centre it is
// the VM that was last reported as the owner, or else the first live VM in rendezvous order. If that VM is not the owner,
// its answer names the owner.
func (n *Node) ownerIn(dataCentre, name string) (VM, bool) {
	if dataCentre == n.cfg.DataCentre {
		owner, ok := n.candidate(customerResource(name))
		return VM{owner, dataCentre, n.addressOf(owner)}, ok
	}
	d := n.dataCentres.known[dataCentre]
	if d == nil || len(d.vms) == 0 {
		return VM{}, false
	}
	byName := make(map[string]VM, len(d.vms))
	names := make([]string, 0, len(d.vms))
	for _, vm := range d.vms {
		byName[vm.Name] = vm
		names = append(names, vm.Name)
	}
	if owner, ok := byName[n.quotas.ownerHints[remoteCustomer{dataCentre, name}]]; ok {
		return owner, true
	}
	ranked := rendezvousOrder(customerResource(name), names)
	for _, vmName := range ranked {
		if _, live := d.liveVMs[vmName]; live {
			return byName[vmName], true
		}
	}
	return byName[ranked[0]], true
}

// dropHints removes the hints that name a VM as an owner.
func (q *quotas) dropHints(vmName string) {
	maps.DeleteFunc(q.ownerHints, func(_ remoteCustomer, hint string) bool { return hint == vmName })
}

// applyQuotaLeases applies an answer to requests for quota shares: its leases and, from another data centre, the owners to
// send the requests to instead.
func (n *Node) applyQuotaLeases(now time.Time, dataCentre string, rep *quotaReply) {
	for _, lease := range rep.Leases {
		n.quotas.applyLease(now, dataCentre, lease)
	}
	if dataCentre != n.cfg.DataCentre {
		for name, vmName := range rep.Owners {
			n.quotas.ownerHints[remoteCustomer{dataCentre, name}] = vmName
		}
	}
}

// applyLease applies a lease that a customer's owner in the given data centre granted.
func (q *quotas) applyLease(now time.Time, dataCentre string, l Lease[quotaKey]) {
	q.quotaShares.Apply(now, Lease[quotaShareKey]{Key: quotaShareKey{l.Key, dataCentre}, Sequence: l.Sequence, Units: l.Units, Origin: l.Origin})
}

// lease leases a quota share of a customer that this VM owns. It leases no more than the customer's usable shares
// cover. Quota shares that were leased under a share that this VM has lost expire before the share's next lessee uses it.
func (q *quotas) lease(now time.Time, lessee LesseeID, remote bool, req quotaLeaseRequest) (Lease[quotaKey], bool) {
	resource := customerResource(req.Key.Customer)
	usable := 0
	for i := range SharesPerResource {
		usable += q.customerShares.Usable(now, now, shareKey{resource, i})
	}
	total := q.leasable(q.localQuotas[req.Key.Customer].units(req.Key.Kind)) * usable / SharesPerResource
	q.lessor.SetLeasableUnits(now, req.Key, total, 0)
	d := q.demands[req.Key]
	if d == nil {
		d = demandByVM{}
		q.demands[req.Key] = d
	}
	d[lessee] = reportedDemand{req.Demand, now, remote}
	// A running request cannot be revoked, so its unit becomes available to other VMs only when it has ended.
	want := max(d.allocation(now, total, lessee), req.InUse)
	return q.lessor.Lease(now, lessee, LeaseRequest[quotaKey]{Key: req.Key, Sequence: req.Sequence, Confirmed: req.Confirmed, Want: want})
}

// leaseQuotaShares answers a VM's requests for quota shares. It tells a VM of another data centre which VM owns those
// customers that this VM does not own.
func (n *Node) leaseQuotaShares(now time.Time, req *quotaRequest) *quotaReply {
	rep := &quotaReply{}
	remote := req.DataCentre != "" && req.DataCentre != n.cfg.DataCentre
	for _, leaseReq := range req.Requests {
		resource := customerResource(leaseReq.Key.Customer)
		if _, ok := n.quotas.localQuotas[leaseReq.Key.Customer]; !ok {
			continue
		}
		if !n.shouldOwn(resource) {
			if owner, ok := n.candidate(resource); ok && remote && owner != n.cfg.VMName {
				if rep.Owners == nil {
					rep.Owners = map[string]string{}
				}
				rep.Owners[leaseReq.Key.Customer] = owner
			}
			continue
		}
		if lease, ok := n.quotas.lease(now, LesseeID{req.VMName, req.Incarnation}, remote, leaseReq); ok {
			rep.Leases = append(rep.Leases, lease)
		}
	}
	return rep
}

func (n *Node) handleQuota(_ context.Context, req *quotaRequest) (*quotaReply, error) {
	var rep *quotaReply
	if !n.do(func() { rep = n.leaseQuotaShares(time.Now(), req) }) {
		return nil, errStopped
	}
	return rep, nil
}
