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

// backgroundWorkers bounds the background calls that run at a time: outcomes, released keys and cache events.
const backgroundWorkers = 256

// Bounds of the backoff between attempts.
const (
	backoffBase  = 20 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
)

// VM is one entry VM.
type VM struct {
	settings    *operator.Settings
	place       string
	dataCentre  string
	incarnation uint64
	version     string
	policy      engine.Policy
	logger      log.Interface
	registry    metrics.Registry
	counters    *counters

	store     *oplog.Store
	node      *entry.Node
	engines   *engine.Client
	chooser   *engine.Chooser
	services  *service.Client
	picker    *service.Picker
	observer  *observer
	limiter   *customer.Limiter
	parts     *parts
	retries   *customer.RetryBudget
	backoff   *customer.Backoff
	estimator *customer.Estimator

	callers        *caller.Server
	callerListen   net.Listener
	operators      *operator.Server
	operatorListen net.Listener

	vmList       *oplog.VMList
	weights      *oplog.WeightStore
	orders       *orders
	run          atomic.Pointer[oplog.PlaceRun] // this run, once it may lend
	lending      atomic.Bool                    // no earlier VM at the place lends
	fleetApplied atomic.Uint64                  // newest revision of the fleet document that the node has applied

	current   atomic.Pointer[view]
	started   time.Time
	served    atomic.Bool // has been ready
	stopping  atomic.Bool
	running   atomic.Int64 // requests of callers in progress
	forwarded atomic.Int64 // requests of other data centres that run here

	ctx       context.Context // ends at Close
	cancel    context.CancelFunc
	pool      pond.Pool
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// Option sets an optional part of a VM.
type Option func(*VM)

// WithLogger sets the logger; the default is apex/log's.
func WithLogger(l log.Interface) Option { return func(v *VM) { v.logger = l } }

// WithRegistry sets the metrics registry; the default is a new one.
func WithRegistry(r metrics.Registry) Option { return func(v *VM) { v.registry = r } }

// WithVersion sets the program version that the status shows.
func WithVersion(version string) Option { return func(v *VM) { v.version = version } }

// New starts an entry VM with its listeners and goroutines. It returns before the VM is ready: readiness follows the first applied
// configuration.
func New(s *operator.Settings, opts ...Option) (*VM, error) {
	v := &VM{
		settings:    s,
		place:       s.Place(),
		dataCentre:  s.DataCentre(),
		incarnation: uint64(time.Now().UnixNano()), // the clock of a replacement VM is later than that of the VM before it
		policy:      s.Policy(),
		logger:      log.Log,
		registry:    metrics.NewRegistry(),
		limiter:     customer.NewLimiter(),
		retries:     customer.NewRetryBudget(),
		backoff:     customer.NewBackoff(backoffBase, backoffLimit, rand.Float64),
		estimator:   customer.NewEstimator(),
		services:    service.NewClient(),
		picker:      service.NewPicker(),
		chooser:     engine.NewChooser(s.Policy()),
		pool:        pond.NewPool(backgroundWorkers),
		started:     time.Now(),
	}
	for _, opt := range opts {
		opt(v)
	}
	v.parts = newParts(v.limiter)
	v.engines = v.newEngineClient()
	v.counters = newCounters(v.registry)
	v.ctx, v.cancel = context.WithCancel(context.Background())
	if err := v.start(); err != nil {
		v.Close()
		return nil, err
	}
	v.logger.Infof("vm: %s started; callers on %s", v.place, v.CallerAddress())
	return v, nil
}

func (v *VM) newEngineClient() *engine.Client {
	opts := []engine.ClientOption{engine.WithIncarnation(v.incarnation)}
	if v.policy != engine.PolicyAffinity {
		opts = append(opts, engine.WithContractPriority())
	}
	return engine.NewClient(opts...)
}

// start opens clients and listeners in the order in which they depend on each other.
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
	v.wg.Go(v.followPlace)
	v.wg.Go(v.followGauges)
	v.wg.Go(v.followFreed)
	v.wg.Go(func() { v.orders.run(v.ctx) })
	v.wg.Add(2)
	go func() {
		defer v.wg.Done()
		v.followConfiguration()
	}()
	go func() {
		defer v.wg.Done()
		v.followParts()
	}()
	if err := v.startOperator(); err != nil {
		return err
	}
	return v.startCaller()
}

func (v *VM) startPeer() error {
	cfg, err := v.settings.PeerTLS()
	if err != nil {
		return err
	}
	v.node, err = entry.NewNode(entry.Config{
		Place:       v.place,
		DataCentre:  v.dataCentre,
		Listen:      v.settings.PeerListen(),
		Incarnation: v.incarnation,
		Contacts:    v.settings.PeerContacts(),
		TLS:         cfg,
	}, entry.WithSyncer(v.store), entry.WithEndpoints(v.orders), entry.WithLocal(local{v}), entry.WithMetrics(v.registry),
		entry.WithDemand(v.parts.need), entry.WithMayLend(v.lending.Load))
	return errors.Wrap(err, "start peer listener")
}

func (v *VM) view() *view { return v.current.Load() }

// background runs f on the pool with a context that ends at Close.
func (v *VM) background(f func(ctx context.Context)) {
	v.pool.Submit(func() { f(v.ctx) })
}

// weight returns a customer's share of the fleet under contention.
func (v *VM) weight(name string) int {
	if c, ok := v.view().contracts[name]; ok {
		return c.Weight()
	}
	return 1
}

// Lending says whether this VM may lend shares: no earlier VM at its place does, and no later one has taken the place.
func (v *VM) Lending() bool { return v.lending.Load() && !v.node.Superseded() }

// warn logs the failure of a background task.
func (v *VM) warn(task string, err error) {
	if err != nil && v.ctx.Err() == nil {
		v.logger.WithError(err).Warnf("vm: could not %s", task)
	}
}
