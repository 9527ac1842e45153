package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"goldcrestpath/engine"
)

const (
	// tickInterval is the resolution of the control goroutine's timers.
	tickInterval = 50 * time.Millisecond
	// renewInterval is the time between renewals of leases and of grants in use.
	renewInterval = time.Second
	// acquireInterval is the time between requests for a share that is not held.
	acquireInterval = 300 * time.Millisecond
	// callTimeout bounds a control call to another VM. A longer wait is useless, because a lease is measured from the start
	// of the call.
	callTimeout = time.Second

	backgroundWorkers = 64
	backgroundQueue   = 4096
)

// Node runs the protocols between this VM and the other entry VMs.
type Node struct {
	cfg       Config
	opts      options
	transport *transport
	address   string
	workers   pond.Pool
	log       log.Interface
	registry  metrics.Registry

	ctx       context.Context
	cancel    context.CancelFunc
	tasks     chan func()
	loopDone  chan struct{}
	wg        sync.WaitGroup
	closeOnce sync.Once
	view      atomic.Pointer[view]

	// The fields below are accessed only by the control goroutine.
	members              *Members
	rnd                  *rand.Rand
	fleet                []VM     // of all data centres
	localNames           []string // sorted names of the VMs in this data centre
	drained              func(target string) bool
	specs                map[string]engine.Spec // endpoints of this data centre
	lessor               *Lessor[shareKey]
	lessee               *Lessee[shareKey]        // of endpoints' shares
	nextRequest          map[shareKey]time.Time   // when each share is requested next
	pendingReturns       map[string][]shareReturn // leases to return, by lessor
	vmOrders             map[string][]string      // VM names in rendezvous order, by resource
	releasedLessors      map[string]bool          // names of released lessors, whose shares other VMs lease out
	releasedAsOf         time.Time                // when the copy of the log that names them was requested
	actingShares         map[shareKey]bool        // whether this VM leases the share out for a released lessor
	mayLease             bool                     // result of the WithMayLease function, or true without one
	leaving              bool                     // HandOver was called
	starting             bool                     // startGrace has not passed since the first SetFleet
	graceEnd             time.Time
	ownedEndpoints       map[string]*ownedEndpoint
	loads                map[string]knownLoad
	heldGrants           map[string]*heldGrant
	renewalRound         uint64
	renewals             renewals // owners that are to receive renewals of this VM's grants in use
	dataCentres          *remoteDataCentres
	nextBootstrapAddress int // counts the probes of Config.BootstrapAddresses
	configSync           syncState
	quotas               *quotas

	nextProbe, nextRenew, nextPublish time.Time
}

// view is a snapshot of the state for readers outside the control goroutine.
type view struct {
	members     []Member
	owners      map[string]string
	loads       map[string]knownLoad
	dataCentres []DataCentreState
	contacts    map[string][]Member // live VMs of other data centres
	drained     func(string) bool

	superseded bool
}

// knownLoad is the load of an endpoint and when it was received.
type knownLoad struct {
	load       engine.Load
	receivedAt time.Time
}

// NewNode starts a node. It serves other VMs at once but knows no VM names until SetFleet is called.
func NewNode(cfg Config, opts ...Option) (*Node, error) {
	o := options{registry: metrics.NewRegistry(), newLedger: func(s engine.Spec, now time.Time) Ledger {
		return engine.NewLedger(s, now, engine.WithOwner(cfg.VMName))
	}}
	for _, opt := range opts {
		opt(&o)
	}
	if cfg.VMName == "" || cfg.DataCentre == "" {
		return nil, errors.New("VM name and data centre are required")
	}
	now := time.Now()
	n := &Node{
		cfg: cfg, opts: o, registry: o.registry,
		log:            log.WithField("component", "entry").WithField("place", cfg.VMName),
		workers:        pond.NewPool(backgroundWorkers, pond.WithQueueSize(backgroundQueue), pond.WithNonBlocking(true)),
		tasks:          make(chan func(), 256),
		loopDone:       make(chan struct{}),
		rnd:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		drained:        func(string) bool { return false },
		specs:          map[string]engine.Spec{},
		ownedEndpoints: map[string]*ownedEndpoint{},
		loads:          map[string]knownLoad{},
		heldGrants:     map[string]*heldGrant{},
		renewals:       renewals{},
		nextRequest:    map[shareKey]time.Time{},
		pendingReturns: map[string][]shareReturn{},
		vmOrders:       map[string][]string{},
		actingShares:   map[shareKey]bool{},
		dataCentres:    newRemoteDataCentres(cfg.DataCentre),
		mayLease:       o.mayLease == nil || o.mayLease(),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	var err error
	if n.transport, err = newTransport(cfg.TLS, o.dial, o.registry); err != nil {
		return nil, err
	}
	if err := n.newLeases(now); err != nil {
		return nil, err
	}
	ln := o.listener
	if ln == nil {
		if ln, err = net.Listen("tcp", cfg.Listen); err != nil {
			return nil, errors.Wrap(err, "listener for other VMs")
		}
	}
	n.address = ln.Addr().String()
	n.members = NewMembers(VM{Name: cfg.VMName, DataCentre: cfg.DataCentre, Address: n.address}, cfg.Incarnation, now, n.rnd)
	// The first probe is sent soon; the random delay spreads the probes of VMs that start together.
	n.nextProbe = now.Add(time.Duration(n.rnd.Int64N(int64(ProbeInterval / 4))))
	n.publish(now)
	n.transport.server.RegisterService(&serviceDesc, n)
	n.wg.Add(2)
	go func() {
		defer n.wg.Done()
		if err := n.transport.server.Serve(ln); err != nil {
			n.log.WithError(err).Error("entry: listener for other VMs stopped")
		}
	}()
	go func() {
		defer n.wg.Done()
		n.run()
	}()
	return n, nil
}

// Address returns the address on which the node listens for other VMs.
func (n *Node) Address() string { return n.address }

// Close stops the node at once and waits for its goroutines.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		n.cancel()
		<-n.loopDone // only the control goroutine starts background work
		n.transport.close()
		n.wg.Wait()
	})
}

// run is the body of the control goroutine.
func (n *Node) run() {
	defer close(n.loopDone)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case f := <-n.tasks:
			f()
		case <-ticker.C:
			n.tick(time.Now())
		}
	}
}

// do runs f on the control goroutine and waits for it. It returns false if the node has stopped and f did not run.
func (n *Node) do(f func()) bool {
	done := make(chan struct{})
	if !n.post(func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-n.loopDone:
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
}

// post queues f to run on the control goroutine. It must not be called from that goroutine.
func (n *Node) post(f func()) bool {
	select {
	case n.tasks <- f:
		return true
	case <-n.loopDone:
		return false
	}
}

// background runs f on a worker goroutine. It must be called from the control goroutine. If all workers are busy and the
// queue is full, background drops f and returns false; every caller repeats its work on a timer. Close waits for the work
// but does not stop the worker pool: idle workers end by themselves, and stopping a pool uses pond's global pool, which
// tests in a synctest bubble cannot use.
func (n *Node) background(f func(ctx context.Context)) (started bool) {
	n.wg.Add(1)
	err := n.workers.Go(func() {
		defer n.wg.Done()
		f(n.ctx)
	})
	if err != nil {
		n.wg.Done()
		metrics.GetOrRegisterCounter("entry.background.dropped", n.registry).Inc(1)
	}
	return err == nil
}

// tick runs everything that is due at now.
func (n *Node) tick(now time.Time) {
	n.wakeLessors(now)
	n.members.Tick(now)
	n.starting = n.starting && now.Before(n.graceEnd)
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(ProbeInterval)
		n.sendProbes(now)
	}
	n.checkConfigVersion()
	n.tickOwnedEndpoints(now)
	n.tickQuotas(now)
	for lessor, req := range n.takePendingReturns() {
		n.sendLeaseBatch(lessor, req, nil)
	}
	if !now.Before(n.nextRenew) {
		n.nextRenew = now.Add(renewInterval)
		n.renewGrants(now)
	}
	if !now.Before(n.nextPublish) {
		n.publish(now)
	}
}

// SetFleet applies a configuration: the VMs and endpoints of all data centres, and a function that returns the drain
// state of a target such as vm/jm-a/1.
func (n *Node) SetFleet(vms []VM, specs []engine.Spec, drained func(target string) bool) {
	n.do(func() {
		now := time.Now()
		n.fleet = slices.Clone(vms)
		if drained != nil {
			n.drained = drained
		}
		var localVMs []VM
		previous := n.localNames
		n.localNames = nil
		for _, vm := range vms {
			if vm.DataCentre == n.cfg.DataCentre {
				localVMs = append(localVMs, vm)
				n.localNames = append(n.localNames, vm.Name)
			}
		}
		n.members.SetVMs(now, localVMs)
		if len(previous) == 0 {
			n.starting, n.graceEnd = true, now.Add(startGrace)
			for range min(len(localVMs)-1, fullFanout) {
				n.sendProbes(now)
			}
		}
		n.dataCentres.setVMs(vms)
		n.specs = map[string]engine.Spec{}
		for _, s := range specs {
			if s.DataCentre == n.cfg.DataCentre {
				n.specs[s.Name] = s
			}
		}
		slices.Sort(n.localNames)
		if !slices.Equal(previous, n.localNames) {
			n.vmOrders = map[string][]string{} // computing them again takes 0.1 s with 314 VMs and 1,430 endpoints
		}
		n.setDataCentres()
		for name := range n.loads {
			if _, ok := n.specs[name]; !ok {
				delete(n.loads, name)
			}
		}
		n.updateLeasableShares(now, previous)
		n.closeUnusedConns()
		n.tick(now)
		n.publish(now)
	})
}

// closeUnusedConns closes connections to addresses that no VM uses any more.
func (n *Node) closeUnusedConns() {
	inUse := map[string]bool{}
	for _, vm := range n.fleet {
		inUse[vm.Address] = true
	}
	for _, m := range n.members.All() {
		inUse[m.vm.Address] = true
	}
	for _, a := range n.cfg.BootstrapAddresses {
		inUse[a] = true
	}
	n.transport.retain(func(address string) bool { return inUse[address] })
}

// startGrace is how long a starting VM counts VMs whose state it has not received yet as live. Otherwise all VMs of a
// starting data centre would briefly request the same leases, and the VM that is to own the resource would have to wait
// until those leases expire.
const startGrace = 2 * time.Second

// candidate returns the name of the VM that is to own a resource of this data centre: the first live member in
// rendezvous order. A drained VM is skipped while another one is live.
func (n *Node) candidate(resource string) (string, bool) {
	fallback := ""
	for _, name := range n.vmOrder(resource) {
		if !n.members.Live(name) {
			if n.starting && n.members.NeverSeen(name) && !n.drained("vm/"+name) {
				return name, true
			}
			continue
		}
		if !n.drained("vm/" + name) {
			return name, true
		}
		if fallback == "" {
			fallback = name
		}
	}
	return fallback, fallback != ""
}

// vmOrder returns the VM names of this data centre in rendezvous order for a resource.
func (n *Node) vmOrder(resource string) []string {
	order := n.vmOrders[resource]
	if order == nil {
		order = rendezvousOrder(resource, n.localNames)
		n.vmOrders[resource] = order
	}
	return order
}

// addressOf returns the peer address of a VM in this data centre.
func (n *Node) addressOf(name string) string {
	m, _ := n.members.Get(name)
	return m.vm.Address
}

// viewInterval bounds the age of the view for readers.
const viewInterval = 200 * time.Millisecond

// publish replaces the view for readers outside the control goroutine.
func (n *Node) publish(now time.Time) {
	n.nextPublish = now.Add(viewInterval)
	v := &view{members: n.members.All(), owners: make(map[string]string, len(n.specs)), loads: make(map[string]knownLoad, len(n.loads)), drained: n.drained, superseded: n.members.Superseded()}
	for name := range n.specs {
		if owner, ok := n.candidate(endpointResource(name)); ok {
			v.owners[name] = owner
		}
	}
	for name, l := range n.loads {
		v.loads[name] = l
	}
	v.dataCentres, v.contacts = n.dataCentres.view(now, n.drained)
	n.view.Store(v)
	n.publishMetrics(now, v)
}

// Members returns every known VM of the data centre, this one included.
func (n *Node) Members() []Member { return slices.Clone(n.view.Load().members) }

// Owner returns the name of the VM that owns an endpoint of this data centre in this VM's view.
func (n *Node) Owner(endpoint string) (vmName string, ok bool) {
	vmName, ok = n.view.Load().owners[endpoint]
	return vmName, ok
}

// Load returns the last known load of an endpoint of this data centre.
func (n *Node) Load(endpoint string) (engine.Load, bool) {
	l, ok := n.view.Load().loads[endpoint]
	return l.load, ok
}

// DataCentres returns the last known state of the other data centres.
func (n *Node) DataCentres() []DataCentreState { return slices.Clone(n.view.Load().dataCentres) }
