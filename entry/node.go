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
	// callTimeout bounds a control call to another VM. Longer waits are of no use, because leases are measured from the start.
	callTimeout = time.Second

	backgroundWorkers = 64
	backgroundQueue   = 4096
)

// Node is this VM's part among the entry VMs.
type Node struct {
	cfg       Config
	opts      options
	transport *transport
	address   string
	pool      pond.Pool
	log       log.Interface
	registry  metrics.Registry

	ctx      context.Context
	cancel   context.CancelFunc
	ops      chan func()
	loopDone chan struct{}
	wg       sync.WaitGroup
	once     sync.Once
	view     atomic.Pointer[view]

	// All fields below belong to the control goroutine.
	members   *Members
	rnd       *rand.Rand
	placeList []Place  // of all data centres
	local     []string // names of the places in this data centre
	drained   func(target string) bool
	specs     map[string]engine.Spec // endpoints of this data centre
	lender    *Lender[shareKey]
	borrower  *Borrower[shareKey] // of shares of endpoints
	nextAsk   map[shareKey]time.Time
	returns   map[string][]shareReturn // leases to give back, by guardian
	ranks     map[string][]string      // places in rendezvous order for each resource
	freed     map[string]bool          // places whose shares other places lend
	freedAsOf time.Time                // as of when freed is known
	acting    map[shareKey]bool        // shares that this VM lends for a freed place
	mayLend   bool
	leaving   bool
	starting  bool // within startGrace
	graceEnd  time.Time
	owned     map[string]*owned
	loads     map[string]knownLoad
	held      map[string]*heldGrant
	round     uint64
	owners    renewals // owner places that have to hear of this VM's grants in use
	sites     *sites
	contacts  int // next of the contacts in the settings
	syncing   syncState
	quotas    *quotas

	nextProbe, nextRenew, nextView time.Time
}

// view is what readers outside the control goroutine see.
type view struct {
	members  []Member
	owners   map[string]string
	loads    map[string]knownLoad
	sites    []Site
	contacts map[string][]Member // live VMs of other data centres
	drained  func(string) bool

	superseded bool
}

type knownLoad struct {
	load engine.Load
	at   time.Time
}

// NewNode starts a node. It serves other VMs at once and knows no places until SetFleet.
func NewNode(cfg Config, opts ...Option) (*Node, error) {
	o := options{registry: metrics.NewRegistry(), newLedger: func(s engine.Spec, now time.Time) Ledger {
		return engine.NewLedger(s, now, engine.WithOwner(cfg.Place))
	}}
	for _, opt := range opts {
		opt(&o)
	}
	if cfg.Place == "" || cfg.DataCentre == "" {
		return nil, errors.New("place and data centre are required")
	}
	now := time.Now()
	n := &Node{
		cfg: cfg, opts: o, registry: o.registry,
		log:      log.WithField("component", "entry").WithField("place", cfg.Place),
		pool:     pond.NewPool(backgroundWorkers, pond.WithQueueSize(backgroundQueue), pond.WithNonBlocking(true)),
		ops:      make(chan func(), 256),
		loopDone: make(chan struct{}),
		rnd:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		drained:  func(string) bool { return false },
		specs:    map[string]engine.Spec{},
		owned:    map[string]*owned{},
		loads:    map[string]knownLoad{},
		held:     map[string]*heldGrant{},
		owners:   renewals{},
		nextAsk:  map[shareKey]time.Time{},
		returns:  map[string][]shareReturn{},
		ranks:    map[string][]string{},
		acting:   map[shareKey]bool{},
		sites:    newSites(cfg.DataCentre),
		mayLend:  o.mayLend == nil || o.mayLend(),
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
	n.members = NewMembers(Place{Name: cfg.Place, DataCentre: cfg.DataCentre, Address: n.address}, cfg.Incarnation, now, n.rnd)
	// The first probe goes out soon; the random part keeps VMs that start together apart.
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

// Address returns the address at which the node listens to other VMs.
func (n *Node) Address() string { return n.address }

// Close stops the node at once and waits for its goroutines.
func (n *Node) Close() {
	n.once.Do(func() {
		n.cancel()
		<-n.loopDone // only the control goroutine starts background work
		n.transport.close()
		n.wg.Wait()
	})
}

// run is the control goroutine.
func (n *Node) run() {
	defer close(n.loopDone)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case f := <-n.ops:
			f()
		case <-ticker.C:
			n.tick(time.Now())
		}
	}
}

// do runs f on the control goroutine and waits for it. It reports false where the node has stopped and f did not run.
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

// post runs f on the control goroutine later. It must not be called from there.
func (n *Node) post(f func()) bool {
	select {
	case n.ops <- f:
		return true
	case <-n.loopDone:
		return false
	}
}

// background runs f off the control goroutine. With all workers busy and the queue full f is dropped; every caller repeats
// its work by a timer. It is called from the control goroutine. Close waits for the work and does not stop the pool: workers
// end when they are idle, and stopping runs on pond's global pool, which tests in a synctest bubble cannot use.
func (n *Node) background(f func(ctx context.Context)) (started bool) {
	n.wg.Add(1)
	err := n.pool.Go(func() {
		defer n.wg.Done()
		f(n.ctx)
	})
	if err != nil {
		n.wg.Done()
		metrics.GetOrRegisterCounter("entry.background.dropped", n.registry).Inc(1)
	}
	return err == nil
}

// tick does what is due at now.
func (n *Node) tick(now time.Time) {
	n.wakeLenders(now)
	n.members.Tick(now)
	n.starting = n.starting && now.Before(n.graceEnd)
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(ProbeInterval)
		n.probe(now)
	}
	n.checkSync()
	n.tickOwned(now)
	n.tickQuotas(now)
	for guardian, req := range n.takeReturns() {
		n.sendLend(guardian, req, nil)
	}
	if !now.Before(n.nextRenew) {
		n.nextRenew = now.Add(renewInterval)
		n.renewGrants(now)
	}
	if !now.Before(n.nextView) {
		n.publish(now)
	}
}

// SetFleet applies a configuration: the places of all data centres, the endpoints of all data centres, and the drain state
// of a target such as vm/jm-a/1.
func (n *Node) SetFleet(places []Place, specs []engine.Spec, drained func(target string) bool) {
	n.do(func() {
		now := time.Now()
		n.placeList = slices.Clone(places)
		if drained != nil {
			n.drained = drained
		}
		var mine []Place
		before := n.local
		n.local = nil
		for _, p := range places {
			if p.DataCentre == n.cfg.DataCentre {
				mine = append(mine, p)
				n.local = append(n.local, p.Name)
			}
		}
		n.members.SetPlaces(now, mine)
		if len(before) == 0 {
			n.starting, n.graceEnd = true, now.Add(startGrace)
			for range min(len(mine)-1, pushAll) {
				n.probe(now)
			}
		}
		n.sites.setPlaces(places)
		n.specs = map[string]engine.Spec{}
		for _, s := range specs {
			if s.DataCentre == n.cfg.DataCentre {
				n.specs[s.Name] = s
			}
		}
		slices.Sort(n.local)
		if !slices.Equal(before, n.local) {
			n.ranks = map[string][]string{} // takes 0.1 s to compute again with 314 places and 1,430 endpoints
		}
		n.setDataCentres()
		for name := range n.loads {
			if _, ok := n.specs[name]; !ok {
				delete(n.loads, name)
			}
		}
		n.guard(now, before)
		n.closeUnused()
		n.tick(now)
		n.publish(now)
	})
}

// closeUnused closes connections to addresses that no place has any more.
func (n *Node) closeUnused() {
	inUse := map[string]bool{}
	for _, p := range n.placeList {
		inUse[p.Address] = true
	}
	for _, m := range n.members.All() {
		inUse[m.place.Address] = true
	}
	for _, a := range n.cfg.Contacts {
		inUse[a] = true
	}
	n.transport.keep(func(address string) bool { return inUse[address] })
}

// startGrace is how long a VM that starts counts places that it has not heard yet as live. Otherwise the VMs of a site that
// starts would all borrow for a moment, and the right owner would wait for those leases.
const startGrace = 2 * time.Second

// candidate returns the place that is to own a resource of this data centre: the first live member by rendezvous hash. A
// drained VM is passed over while another one lives.
func (n *Node) candidate(resource string) (string, bool) {
	fallback := ""
	for _, place := range n.order(resource) {
		if !n.members.Live(place) {
			if n.starting && n.members.Unheard(place) && !n.drained("vm/"+place) {
				return place, true
			}
			continue
		}
		if !n.drained("vm/" + place) {
			return place, true
		}
		if fallback == "" {
			fallback = place
		}
	}
	return fallback, fallback != ""
}

// order returns the places of this data centre in rendezvous order for a resource.
func (n *Node) order(resource string) []string {
	order := n.ranks[resource]
	if order == nil {
		order = rank(resource, n.local)
		n.ranks[resource] = order
	}
	return order
}

// addressOf returns the peer address of a place in this data centre.
func (n *Node) addressOf(place string) string {
	m, _ := n.members.Get(place)
	return m.place.Address
}

// viewInterval bounds how old the readers' view is.
const viewInterval = 200 * time.Millisecond

// publish replaces the view of readers outside the control goroutine.
func (n *Node) publish(now time.Time) {
	n.nextView = now.Add(viewInterval)
	v := &view{members: n.members.All(), owners: make(map[string]string, len(n.specs)), loads: make(map[string]knownLoad, len(n.loads)), drained: n.drained, superseded: n.members.Superseded()}
	for name := range n.specs {
		if place, ok := n.candidate(endpointResource(name)); ok {
			v.owners[name] = place
		}
	}
	for name, l := range n.loads {
		v.loads[name] = l
	}
	v.sites, v.contacts = n.sites.view(now, n.drained)
	n.view.Store(v)
	n.publishMetrics(now, v)
}

// Members returns every known VM of the data centre, this one included.
func (n *Node) Members() []Member { return slices.Clone(n.view.Load().members) }

// Owner returns the place that owns an endpoint of this data centre in this VM's view.
func (n *Node) Owner(endpoint string) (place string, ok bool) {
	place, ok = n.view.Load().owners[endpoint]
	return place, ok
}

// Load returns the last known load of an endpoint of this data centre.
func (n *Node) Load(endpoint string) (engine.Load, bool) {
	l, ok := n.view.Load().loads[endpoint]
	return l.load, ok
}

// Sites returns the other data centres as last heard.
func (n *Node) Sites() []Site { return slices.Clone(n.view.Load().sites) }
