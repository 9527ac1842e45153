package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// shareKey identifies one share of a resource. Resource names are endpoint/NAME and customer/NAME.
type shareKey struct {
	Resource string `cbor:"1,keyasint"`
	Share    int    `cbor:"2,keyasint"`
}

func endpointResource(name string) string { return "endpoint/" + name }
func customerResource(name string) string { return "customer/" + name }

// configPropagationTime is the time within which a new list of VMs reaches all reachable VMs. If a new list assigns a share
// to another lessor, that lessor waits until the former one has received the list and its leases have expired.
const configPropagationTime = 8 * time.Second

// leaseBatchRequest requests leases on shares from one lessor, and returns leases to it.
type leaseBatchRequest struct {
	VMName      string                   `cbor:"place"`
	Incarnation uint64                   `cbor:"incarnation"`
	Requests    []LeaseRequest[shareKey] `cbor:"asks,omitempty"`
	Returns     []shareReturn            `cbor:"returns,omitempty"`
}

// shareReturn ends the lease on one share.
type shareReturn struct {
	Key      shareKey `cbor:"key"`
	Sequence uint64   `cbor:"sequence"`
}

type leaseBatchReply struct {
	Leases []Lease[shareKey] `cbor:"loans,omitempty"`
}

// newLeases creates this VM's lessors and lessees, which have no leases yet.
func (n *Node) newLeases(now time.Time) error {
	var opts []LessorOption
	if n.opts.firstStart {
		opts = append(opts, FirstStart())
	}
	var err error
	if n.lessor, err = NewLessor[shareKey](ShareTimers(), now, opts...); err != nil {
		return err
	}
	if n.lessee, err = NewLessee[shareKey](ShareTimers()); err != nil {
		return err
	}
	n.quotas, err = newQuotas(now, n.cfg.DataCentre)
	return err
}

// wakeLessors records in the lessors that this VM is running. It allows leases on shares only once it is certain that the
// earlier VM of the same name has stopped, and then after a wait of one lease period.
func (n *Node) wakeLessors(now time.Time) {
	n.lessor.RecordRunning(now)
	n.quotas.lessor.RecordRunning(now)
	if n.opts.mayLease != nil {
		may := n.opts.mayLease()
		if may && !n.mayLease {
			n.lessor.Suspend(now)
			n.beginIfSole(now)
		}
		n.mayLease = may
	}
}

const (
	// MaxReleaseAge is the maximum age of the copy of the log with which a VM leases out shares of a released lessor. It
	// exceeds the time that a log read without new records takes.
	MaxReleaseAge = 5 * time.Second
	// ReplacementWait is how long after its registration a replacement of a released lessor leaves the shares to the VMs
	// that lease them out for it. By then these VMs have read the registration, or their copy of the log is too old to
	// grant leases.
	ReplacementWait = MaxReleaseAge + 200*time.Millisecond // the drift of two clocks over MaxReleaseAge is below 4%
	// actingLessorWait is how long a VM waits before it leases out a share of a released lessor. Within this time any VM
	// that did so before has stopped (ReplacementWait), and its leases have expired (4 s and 200 ms for clock drift).
	actingLessorWait = ReplacementWait + 4200*time.Millisecond
)

// SetReleased sets the names of the released lessors. A record in the log releases a failed lessor, so that other VMs lease
// out its shares. The names come from a copy of the log that contains all records written before asOf.
func (n *Node) SetReleased(names []string, asOf time.Time) {
	n.do(func() { n.setReleased(time.Now(), names, asOf) })
}

// setReleased is SetReleased on the control goroutine.
func (n *Node) setReleased(now time.Time, names []string, asOf time.Time) {
	released := map[string]bool{}
	for _, name := range names {
		released[name] = true
	}
	n.releasedAsOf = asOf
	if !maps.Equal(released, n.releasedLessors) {
		n.releasedLessors = released
		n.updateLeasableShares(now, n.localNames)
	}
}

// currentLessors returns the VM that leases out each share of a resource, with regard to released lessors.
func (n *Node) currentLessors(resource string) []string {
	return actingLessors(n.vmOrder(resource), n.releasedLessors)
}

// lease answers one request for a share. It returns false if this VM may not lease the share out now, or if the lessor
// grants no lease.
func (n *Node) lease(now time.Time, lessee LesseeID, req LeaseRequest[shareKey]) (Lease[shareKey], bool) {
	if !n.mayLease || n.members.Superseded() || n.actingShares[req.Key] && now.Sub(n.releasedAsOf) >= MaxReleaseAge {
		return Lease[shareKey]{}, false
	}
	return n.lessor.Lease(now, lessee, req)
}

// beginIfSole ends the wait after the start if this VM is the only one of its data centre.
func (n *Node) beginIfSole(now time.Time) {
	if len(n.localNames) == 1 && n.localNames[0] == n.cfg.VMName {
		n.lessor.BeginAsSoleVM(now)
	}
}

// BeginLeasingAtOnce lets this VM grant leases at once. The caller asserts that the data centre has the VMs with the given names,
// and that no process has leased out the shares that are assigned to this VM among them. The function of [WithMayLease]
// must have returned false until now. BeginLeasingAtOnce does nothing and returns false if a different set of VMs is configured,
// because the shares may have had other lessors then.
func (n *Node) BeginLeasingAtOnce(names []string) bool {
	begun := false
	n.do(func() {
		if !slices.Equal(slices.Sorted(slices.Values(names)), n.localNames) {
			return
		}
		begun, n.mayLease = true, true
		n.lessor.BeginWithoutPredecessor(time.Now())
	})
	return begun
}

// ObserveIncarnation records that a process with the given incarnation uses this VM's name. If the incarnation is higher than this
// VM's own, this VM no longer grants or requests leases.
func (n *Node) ObserveIncarnation(incarnation uint64) {
	n.do(func() {
		n.members.supersede(incarnation)
		n.publish(time.Now())
	})
}

// Superseded reports whether a process with a higher incarnation uses this VM's name.
func (n *Node) Superseded() bool { return n.view.Load().superseded }

// updateLeasableShares sets which shares this VM may lease out, after a change of VMs, endpoints, customers or released
// lessors. The argument previous holds the VM names before the change.
func (n *Node) updateLeasableShares(now time.Time, previous []string) {
	var wait time.Duration
	switch {
	case len(previous) == 0: // the lessor's wait after the start covers the leases of earlier lessors
		n.beginIfSole(now)
	case !slices.Equal(previous, n.localNames):
		wait = configPropagationTime + ShareTimers().LenderLease
	}
	leasable := map[shareKey]bool{}
	clear(n.actingShares)
	resources := map[string]bool{}
	add := func(resource string) {
		resources[resource] = true
		for i, name := range n.currentLessors(resource) {
			if name == n.cfg.VMName {
				key := shareKey{resource, i}
				leasable[key] = true
				if n.actingShares[key] = assignedLessors(n.vmOrder(resource))[i] != name; n.actingShares[key] {
					n.lessor.SetLeasableUnits(now, key, 1, max(wait, actingLessorWait))
					continue
				}
				n.lessor.SetLeasableUnits(now, key, 1, wait)
			}
		}
	}
	for name := range n.specs {
		add(endpointResource(name))
	}
	for name := range n.quotas.localQuotas {
		add(customerResource(name))
	}
	n.lessor.Retain(now, func(k shareKey) bool { return leasable[k] })
	for k := range n.nextRequest {
		if !resources[k.Resource] {
			delete(n.nextRequest, k)
		}
	}
	for resource := range n.vmOrders {
		if !resources[resource] {
			delete(n.vmOrders, resource)
		}
	}
}

// shouldOwn reports whether this VM is to own a resource.
func (n *Node) shouldOwn(resource string) bool {
	if n.leaving || n.members.Superseded() {
		return false
	}
	name, ok := n.candidate(resource)
	return ok && name == n.cfg.VMName
}

// requestShares requests those shares of resources whose next request is due, in one message to each lessor.
func (n *Node) requestShares(now time.Time, lessee *Lessee[shareKey], resources []string) {
	batches := map[string][]LeaseRequest[shareKey]{}
	for _, resource := range resources {
		for i, lessor := range n.currentLessors(resource) {
			key := shareKey{resource, i}
			if now.Before(n.nextRequest[key]) {
				continue
			}
			interval := renewInterval
			if lessee.Held(now, key) == 0 && n.members.Live(lessor) {
				interval = acquireInterval
			}
			n.nextRequest[key] = now.Add(interval)
			req := lessee.Request(now, key, 1)
			if lessor != n.cfg.VMName {
				batches[lessor] = append(batches[lessor], req)
			} else if lease, ok := n.lease(now, n.lesseeID(), req); ok {
				lessee.Apply(now, lease)
			}
		}
	}
	for lessor, reqs := range batches {
		req := &leaseBatchRequest{VMName: n.cfg.VMName, Incarnation: n.cfg.Incarnation, Requests: reqs}
		n.sendLeaseBatch(lessor, req, func(rep *leaseBatchReply) {
			now := time.Now()
			for _, lease := range rep.Leases {
				lessee.Apply(now, lease)
			}
		})
	}
}

// returnShares ends the leases on the shares of resources. The messages to other lessors are queued for takePendingReturns.
func (n *Node) returnShares(now time.Time, lessee *Lessee[shareKey], resources []string) {
	for _, resource := range resources {
		for i, lessor := range n.currentLessors(resource) {
			key := shareKey{resource, i}
			delete(n.nextRequest, key)
			sequence, ok := lessee.Release(key)
			switch {
			case !ok:
			case lessor == n.cfg.VMName:
				n.lessor.Return(now, n.lesseeID(), key, sequence)
			default:
				n.pendingReturns[lessor] = append(n.pendingReturns[lessor], shareReturn{key, sequence})
			}
		}
	}
}

// takePendingReturns empties the queue of lease returns and returns one message for each lessor. A lost message delays the
// next lessee by at most one lease period.
func (n *Node) takePendingReturns() map[string]*leaseBatchRequest {
	out := map[string]*leaseBatchRequest{}
	for lessor, returns := range n.pendingReturns {
		out[lessor] = &leaseBatchRequest{VMName: n.cfg.VMName, Incarnation: n.cfg.Incarnation, Returns: returns}
	}
	clear(n.pendingReturns)
	return out
}

// sendLeaseBatch sends a message to a lessor and passes the reply to done, if done is not nil. A lost request or reply only
// delays the lease until the next request, because a lessee measures its lease from before the request.
func (n *Node) sendLeaseBatch(lessor string, req *leaseBatchRequest, done func(*leaseBatchReply)) {
	address := n.addressOf(lessor)
	if address == "" {
		return
	}
	n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		rep, err := call[leaseBatchReply](ctx, n.transport, address, "lend", req)
		if err != nil {
			n.log.WithError(err).WithField("guardian", lessor).Debug("entry: lessor did not answer")
			return
		}
		if done != nil {
			n.post(func() { done(rep) })
		}
	})
}

// lesseeID returns the ID of this process as a lessee.
func (n *Node) lesseeID() LesseeID { return LesseeID{n.cfg.VMName, n.cfg.Incarnation} }

// handleLease takes back returned leases and grants requested ones. It leases shares only to the VM that is to own the
// resource in this VM's view.
func (n *Node) handleLease(_ context.Context, req *leaseBatchRequest) (*leaseBatchReply, error) {
	rep := &leaseBatchReply{}
	ok := n.do(func() {
		now := time.Now()
		lessee := LesseeID{req.VMName, req.Incarnation}
		for _, r := range req.Returns {
			n.lessor.Return(now, lessee, r.Key, r.Sequence)
		}
		m, known := n.members.Get(req.VMName)
		if !known || m.incarnation > req.Incarnation {
			return
		}
		for _, leaseReq := range req.Requests {
			if name, ok := n.candidate(leaseReq.Key.Resource); !ok || name != req.VMName {
				continue
			}
			if lease, ok := n.lease(now, lessee, leaseReq); ok {
				rep.Leases = append(rep.Leases, lease)
			}
		}
	})
	if !ok {
		return nil, errStopped
	}
	return rep, nil
}

// HandOver drops all owned endpoints and customers, tells other VMs that this VM is leaving and returns all share leases.
// Renewals continue until Close and register the grants in use with the new owners.
func (n *Node) HandOver(ctx context.Context) error {
	type message struct {
		address string
		probe   *probeMessage
		batch   *leaseBatchRequest
	}
	var messages []message
	ok := n.do(func() {
		now := time.Now()
		n.leaving = true
		n.members.Leave(now)
		n.tickOwnedEndpoints(now)
		n.tickQuotas(now)
		for _, m := range n.members.RandomAlive(fullFanout, "") {
			messages = append(messages, message{address: m.vm.Address, probe: n.newProbeMessage(now, m.vm)})
		}
		for lessor, req := range n.takePendingReturns() {
			messages = append(messages, message{address: n.addressOf(lessor), batch: req})
		}
		n.publish(now)
	})
	if !ok {
		return errors.New("the node is closed")
	}
	// A VM that does not answer learns of the departure from others, and a lease that is not returned expires.
	for _, m := range messages {
		var err error
		if m.probe != nil {
			_, err = n.sendProbe(ctx, m.address, m.probe)
		} else {
			rpcCtx, cancel := context.WithTimeout(ctx, callTimeout)
			_, err = call[leaseBatchReply](rpcCtx, n.transport, m.address, "lend", m.batch)
			cancel()
		}
		if err != nil {
			n.log.WithError(err).WithField("address", m.address).Info("entry: departure notice not delivered")
		}
	}
	return errors.WithStack(ctx.Err())
}
