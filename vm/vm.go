package vm

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"goldcrestpath/caller"
	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/entry"
	"goldcrestpath/operator"
	"goldcrestpath/oplog"
	"goldcrestpath/service"
)

// backgroundWorkers bounds the number of concurrent background calls: recording outcomes, releasing idempotency
// keys and reading cache events.
const backgroundWorkers = 256

// Bounds of the exponential backoff between attempts.
const (
	backoffBase  = 20 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
)

// VM is one running entry VM. It implements caller.Router.
type VM struct {
	settings    *operator.Settings
	name        string
	dataCentre  string
	incarnation uint64
	version     string
	policy      engine.SelectionPolicy
	logger      log.Interface
	registry    metrics.Registry
	counters    *counters

	store           *oplog.Store
	node            *entry.Node
	engines         *engine.Client
	engineSelector  *engine.Selector
	services        *service.Client
	serviceSelector *service.Selector
	observer        *observer
	limiter         *customer.Limiter
	shares          *quotaShares
	retries         *customer.RetryBudget
	backoff         *customer.Backoff
	estimator       *customer.Estimator

	callers        *caller.Server
	callerListen   net.Listener
	operators      *operator.Server
	operatorListen net.Listener

	vmList       *oplog.VMList
	weights      *oplog.WeightStore
	orders       *orders
	run          atomic.Pointer[oplog.VMRun] // this VM's registered run, set once this VM may lease shares to other VMs
	leasing      atomic.Bool                 // whether this VM may lease shares; see leaseRule
	fleetApplied atomic.Uint64               // latest revision of the fleet document that the node has applied

	current   atomic.Pointer[view] // applied configuration; read with the method view
	started   time.Time
	wasReady  atomic.Bool // whether the VM has been ready at least once
	stopping  atomic.Bool
	running   atomic.Int64 // requests of callers in progress
	forwarded atomic.Int64 // requests forwarded from other data centres that run here

	ctx       context.Context // cancelled by Close
	cancel    context.CancelFunc
	pool      pond.Pool
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// Option configures a VM.
type Option func(*VM)

// WithLogger sets the logger. The default is the global logger of apex/log.
func WithLogger(l log.Interface) Option { return func(v *VM) { v.logger = l } }

// WithRegistry sets the metrics registry. The default is a new one.
func WithRegistry(r metrics.Registry) Option { return func(v *VM) { v.registry = r } }

// WithVersion sets the program version that is reported in the status.
func WithVersion(version string) Option { return func(v *VM) { v.version = version } }

// New starts an entry VM with its listeners and goroutines. It returns before the VM is ready, since readiness
// requires an applied configuration.
func New(s *operator.Settings, opts ...Option) (*VM, error) {
	v := &VM{
		settings:        s,
		name:            s.VMName(),
		dataCentre:      s.DataCentre(),
		incarnation:     uint64(time.Now().UnixNano()), // a replacement VM starts later and so has a higher incarnation
		policy:          s.Policy(),
		logger:          log.Log,
		registry:        metrics.NewRegistry(),
		limiter:         customer.NewLimiter(),
		retries:         customer.NewRetryBudget(),
		backoff:         customer.NewBackoff(backoffBase, backoffLimit, rand.Float64),
		estimator:       customer.NewEstimator(),
		services:        service.NewClient(),
		serviceSelector: service.NewSelector(),
		engineSelector:  engine.NewSelector(s.Policy()),
		pool:            pond.NewPool(backgroundWorkers),
		started:         time.Now(),
	}
	for _, opt := range opts {
		opt(v)
	}
	v.shares = newQuotaShares(v.limiter)
	v.engines = v.newEngineClient()
	v.counters = newCounters(v.registry)
	v.ctx, v.cancel = context.WithCancel(context.Background())
	if err := v.start(); err != nil {
		v.Close()
		return nil, err
	}
	v.logger.Infof("vm: %s started; callers on %s", v.name, v.CallerAddress())
	return v, nil
}

// newEngineClient returns the client for the engines. Under the baseline policies it sends the contract's
// priority alone, without the length class, because a plain load balancer does not know prompt lengths.
func (v *VM) newEngineClient() *engine.Client {
	opts := []engine.ClientOption{engine.WithIncarnation(v.incarnation)}
	if v.policy != engine.PolicyAffinity {
		opts = append(opts, engine.WithContractPriority())
	}
	return engine.NewClient(opts...)
}

// start creates the clients, starts the goroutines and opens the listeners, each after those that it depends on.
func (v *VM) start() error {
	v.store = oplog.NewStore(oplog.NewHTTPLog(v.settings.LogAddress()),
		oplog.WithClaimRetention(v.settings.ClaimRetention()), oplog.WithLogger(v.logger))
	v.weights = oplog.NewWeightStore(v.settings.WeightStoreAddress())
	v.orders = newOrders(v)
	v.vmList = oplog.NewVMList(v.settings.VMListAddress())
	empty, _ := newView(v.dataCentre, v.store.Snapshot(), nil)
	v.current.Store(empty)
	if err := v.startPeer(); err != nil {
		return err
	}
	v.observer = newObserver(v)
	v.wg.Go(v.registerAndLease)
	v.wg.Go(v.runGauges)
	v.wg.Go(v.watchReleased)
	v.wg.Go(func() { v.orders.run(v.ctx) })
	v.wg.Add(2)
	go func() {
		defer v.wg.Done()
		v.watchConfiguration()
	}()
	go func() {
		defer v.wg.Done()
		v.syncShares()
	}()
	if err := v.startOperator(); err != nil {
		return err
	}
	return v.startCaller()
}

// startPeer creates the node, which opens the peer listener.
func (v *VM) startPeer() error {
	cfg, err := v.settings.PeerTLS()
	if err != nil {
		return err
	}
	v.node, err = entry.NewNode(entry.Config{
		VMName:             v.name,
		DataCentre:         v.dataCentre,
		Listen:             v.settings.PeerListen(),
		Incarnation:        v.incarnation,
		BootstrapAddresses: v.settings.PeerContacts(),
		TLS:                cfg,
	}, entry.WithSyncer(v.store), entry.WithEndpoints(v.orders), entry.WithForwardHandler(forwardServer{v}), entry.WithMetrics(v.registry),
		entry.WithQuotaDemand(v.shares.demand), entry.WithMayLease(v.leasing.Load))
	return errors.Wrap(err, "start peer listener")
}

// view returns the applied configuration.
func (v *VM) view() *view { return v.current.Load() }

// background runs f on the worker pool with a context that Close cancels.
func (v *VM) background(f func(ctx context.Context)) {
	v.pool.Submit(func() { f(v.ctx) })
}

// weight returns the customer's weight for sharing the fleet under contention. It is 1 without a contract.
func (v *VM) weight(name string) int {
	if c, ok := v.view().contracts[name]; ok {
		return c.Weight()
	}
	return 1
}

// MayLease reports whether this VM may lease shares to other VMs. It may if no earlier VM with the same name can
// still lease them and no later VM has registered under the name.
func (v *VM) MayLease() bool { return v.leasing.Load() && !v.node.Superseded() }

// warn logs the error of a background task, if there is one, unless the VM is closing.
func (v *VM) warn(task string, err error) {
	if err != nil && v.ctx.Err() == nil {
		v.logger.WithError(err).Warnf("vm: could not %s", task)
	}
}
