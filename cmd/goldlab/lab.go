package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/standin"
)

const (
	// labModel is the model that all engines of a lab serve.
	labModel = "small"
	// vmsPerDataCentre is the number of entry VMs in each data centre of a lab.
	vmsPerDataCentre = 2
	// idleTimeout is the time within which the engines must release all memory after the last request has ended. It includes the
	// time for which an engine keeps a stream for resumption and the interval of the VMs' periodic work.
	idleTimeout = 10 * time.Second
	// readyTimeout is the time within which all VMs must be ready after their start.
	readyTimeout = 30 * time.Second
	// maxDrainDelay is the time after a drain command within which the engines of the data centre must stop receiving requests.
	maxDrainDelay = 3 * time.Second
)

// labConfig configures the stand-ins, VMs and customers of a lab.
type labConfig struct {
	policy                string
	region                string
	dataCentres           []string
	enginesPerDataCentre  int
	bookingsPerDataCentre int
	timeScale             float64
	deadlines             standin.Deadlines
	customers             []labCustomer
}

// labCustomer is a customer with its share of the load and the limits of its contract.
type labCustomer struct {
	load                   standin.LoadCustomer
	weight, priority       int
	tokensPerSecond, burst int
	concurrent             int
}

// newLabConfig returns a small fleet: three data centres in one region, and customers that send unequal shares of the load.
func newLabConfig(policy string) labConfig {
	cfg := labConfig{
		policy: policy, region: "jm-east", dataCentres: []string{"jm-a", "jm-b", "jm-c"}, enginesPerDataCentre: 4, bookingsPerDataCentre: 1,
		timeScale: 4, deadlines: standin.DefaultDeadlines(),
	}
	for i, weight := range []float64{8, 4, 2, 1, 1} {
		name := fmt.Sprintf("team-%d", i+1)
		cfg.customers = append(cfg.customers, labCustomer{
			load:   standin.LoadCustomer{Name: name, APIKey: "key-of-" + name, Weight: weight},
			weight: int(weight), priority: 1, tokensPerSecond: 2_000_000, burst: 20_000_000, concurrent: 1_000,
		})
	}
	return cfg
}

// lab is a fleet of stand-ins and entry VMs in this process.
type lab struct {
	cfg          labConfig
	log          *standin.Log
	vmList       *standin.VMList
	weightStore  *standin.WeightStore
	engines      map[string][]*standin.Engine // by data centre, like bookings and relays
	bookings     map[string][]*standin.BookingService
	bookingStore *standin.BookingStore
	vms          []vmConfig
	controller   VMController
	relays       map[string][]*standin.Relay // between the VMs of a data centre and the log, VM list and weight store
	cleanup      closers
}

// startLab starts the stand-ins and all VMs, publishes the configuration and waits until all VMs are ready.
func startLab(ctx context.Context, cfg labConfig) (*lab, error) {
	l := &lab{
		cfg: cfg, engines: map[string][]*standin.Engine{}, bookings: map[string][]*standin.BookingService{},
		bookingStore: standin.NewBookingStore(), relays: map[string][]*standin.Relay{},
	}
	if err := l.start(ctx); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func (l *lab) close() { l.cleanup.close() }

// start does the work of startLab. If it fails, close stops what has been started.
func (l *lab) start(ctx context.Context) error {
	var err error
	if l.log, err = standin.NewLog(loopback, standin.WithAppendRate(300)); err != nil {
		return err
	}
	l.cleanup.add(l.log.Close)
	if l.vmList, err = standin.NewVMList(loopback, 5*time.Second); err != nil {
		return err
	}
	l.cleanup.add(l.vmList.Close)
	if l.weightStore, err = standin.NewWeightStore(loopback, 1e9, time.Minute); err != nil {
		return err
	}
	l.cleanup.add(l.weightStore.Close)
	for _, dc := range l.cfg.dataCentres {
		for _, target := range []string{l.log.Address(), l.vmList.Address(), l.weightStore.Address()} {
			r, err := standin.NewRelay(loopback, target)
			if err != nil {
				return err
			}
			l.cleanup.add(r.Close)
			l.relays[dc] = append(l.relays[dc], r)
		}
		for i := range l.cfg.enginesPerDataCentre {
			c := standin.DefaultEngineConfig(fmt.Sprintf("engine-%s-%d", dc, i+1), labModel)
			c.TimeScale, c.Seed = l.cfg.timeScale, uint64(i)
			e, err := standin.NewEngine(loopback, c)
			if err != nil {
				return err
			}
			l.cleanup.add(e.Close)
			l.engines[dc] = append(l.engines[dc], e)
		}
		for range l.cfg.bookingsPerDataCentre {
			b, err := standin.NewBookingService(loopback, l.bookingStore)
			if err != nil {
				return err
			}
			l.cleanup.add(b.Close)
			l.bookings[dc] = append(l.bookings[dc], b)
		}
	}
	engines := l.allEngines()
	for _, e := range engines {
		e.SetPeers(engines...)
	}
	if err := l.assignAddresses(); err != nil {
		return err
	}
	if l.controller, err = newVMController(ctx, l); err != nil {
		return err
	}
	l.cleanup.add(l.controller.Close)
	var listed []standin.ListedVM
	for _, v := range l.vms {
		if err := l.controller.Start(v.name); err != nil {
			return errors.Wrapf(err, "start VM %s", v.name)
		}
		listed = append(listed, standin.ListedVM{Name: v.name, Instance: "i-" + v.name, Address: v.peer, State: "live"})
	}
	l.vmList.Set(listed...)
	if err := l.controller.Publish(ctx, "fleet", l.fleet()); err != nil {
		return err
	}
	for _, c := range l.cfg.customers {
		if err := l.controller.Publish(ctx, "contract/"+c.load.Name, l.contract(c)); err != nil {
			return err
		}
	}
	return l.awaitReady(ctx)
}

// assignAddresses sets the names and addresses of the VMs.
func (l *lab) assignAddresses() error {
	addresses, err := freeAddresses(3 * vmsPerDataCentre * len(l.cfg.dataCentres))
	if err != nil {
		return err
	}
	for _, dc := range l.cfg.dataCentres {
		for i := range vmsPerDataCentre {
			v := vmConfig{name: fmt.Sprintf("%s/%d", dc, i+1), dataCentre: dc, caller: addresses[0], peer: addresses[1], operator: addresses[2]}
			l.vms, addresses = append(l.vms, v), addresses[3:]
		}
	}
	return nil
}

// awaitReady waits until every VM has answered a small prompt. The answer shows that the VM has a configuration and that endpoints
// have owners.
func (l *lab) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, v := range l.vms {
		cfg := l.loadConfig(0, 0, 0)
		prompt := standin.LoadRequest{Number: i, Customer: cfg.Customers[0], Model: labModel, Tokens: 1_000, MaxTokens: 1, Prefix: -1}
		generator, err := standin.NewLoadGenerator(cfg, l.cfg.deadlines, nil, v.caller)
		if err != nil {
			return err
		}
		for {
			o := generator.Send(ctx, prompt, time.Now())
			if o.Status == standin.Answered {
				break
			}
			if !sleep(ctx, 100*time.Millisecond) {
				return errors.Errorf("VM %s did not answer a prompt within %v: %v %s %s", v.name, readyTimeout, o.Status, o.Reason, o.Detail)
			}
		}
	}
	return nil
}

func (l *lab) allEngines() []*standin.Engine {
	var all []*standin.Engine
	for _, dc := range l.cfg.dataCentres {
		all = append(all, l.engines[dc]...)
	}
	return all
}

// counters returns the sum of the counters of a data centre's engines, or of all engines if dataCentre is empty.
func (l *lab) counters(dataCentre string) standin.EngineCounters {
	var sum standin.EngineCounters
	for dc, engines := range l.engines {
		if dataCentre == "" || dataCentre == dc {
			for _, e := range engines {
				sum = sum.Add(e.Counters())
			}
		}
	}
	return sum
}

// loadConfig returns a load of the lab's customers. The prefill of its prompts needs the share capacityShare of the capacity of all
// engines.
func (l *lab) loadConfig(capacityShare float64, duration time.Duration, seed uint64) standin.LoadConfig {
	cfg := standin.LoadConfig{
		Duration: duration, Seed: seed, Model: labModel, ClassShares: standin.DefaultClassShares(), MaxTokens: 32,
		SharedPrefixShare: sharedPrefixShare, BookingRate: 2, DuplicateShare: 0.2,
	}
	for _, c := range l.cfg.customers {
		cfg.Customers = append(cfg.Customers, c.load)
	}
	capacity := 0.0
	for _, e := range l.allEngines() {
		capacity += e.Config().Capacity()
	}
	cfg.Rate = capacityShare * capacity / cfg.MeanTokens()
	return cfg
}

// event is an action to run during a load, at a time after its start.
type event struct {
	at time.Duration
	do func(ctx context.Context) error
}

// result is the outcome of one load, with the sum of the engines' counters at its end.
type result struct {
	summary        standin.Summary
	outcomes       []standin.Outcome
	engineCounters standin.EngineCounters
}

// run sends a load, runs the events meanwhile, waits until the engines are idle and checks the invariants. It adds violations to the
// summary of the result.
func (l *lab) run(ctx context.Context, name string, cfg standin.LoadConfig, progress io.Writer, events ...event) (*result, error) {
	generator, err := standin.NewLoadGenerator(cfg, l.cfg.deadlines, progress, l.controller.CallerAddresses("")...)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	eventsDone := make(chan error, 1)
	go func() { eventsDone <- runEvents(ctx, events) }()
	outcomes := generator.Run(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := <-eventsDone; err != nil {
		return nil, err
	}
	busyEngines := l.awaitIdle(ctx)
	s := standin.Summarize(name, outcomes, l.bookingStore.All())
	r := &result{summary: s, outcomes: outcomes, engineCounters: l.counters("")}
	r.checkAtMost(busyEngines, 0, "invariant 2: %d engines still hold KV cache memory after the last request")
	r.checkAtMost(r.engineCounters.Overcommits, 0, "invariant 2: %d overcommits")
	r.checkAtMost(r.engineCounters.Leaks, 0, "invariant 2: %d leaked reservations")
	r.checkAtMost(r.engineCounters.ColdCrashes, 0, "invariant 3: %d crashes of cold engines from overload")
	for _, o := range outcomes {
		if o.Status == standin.Refused && !o.Request.Booking && l.ranOnEngine(o.RequestID) {
			r.summary.Violations = append(r.summary.Violations, fmt.Sprintf("invariant 6: request %s was refused as notRun (%s), but an engine ran it",
				o.RequestID, o.Reason))
		}
	}
	return r, nil
}

// checkAtMost records a violation if n is above limit. The format string has one verb, for n.
func (r *result) checkAtMost(n, limit int, format string) {
	if n > limit {
		r.summary.Violations = append(r.summary.Violations, fmt.Sprintf(format, n))
	}
}

// ranOnEngine reports whether any engine ran the request.
func (l *lab) ranOnEngine(requestID string) bool {
	return slices.ContainsFunc(l.allEngines(), func(e *standin.Engine) bool { return e.HasAccepted(requestID) })
}

// runEvents runs each event at its time. The events are in order of time.
func runEvents(ctx context.Context, events []event) error {
	start := time.Now()
	for _, e := range events {
		select {
		case <-time.After(time.Until(start.Add(e.at))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := e.do(ctx); err != nil {
			return errors.Wrapf(err, "event at %v", e.at)
		}
	}
	return nil
}

// awaitIdle waits until no KV memory is in use on any engine, but at most for idleTimeout. It returns the number of engines on which
// memory is still in use.
func (l *lab) awaitIdle(ctx context.Context) int {
	for deadline := time.Now().Add(idleTimeout); ; {
		busy := 0
		for _, e := range l.allEngines() {
			if tokens, _, _ := e.InUse(); tokens > 0 {
				busy++
			}
		}
		if busy == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return busy
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// drainAction returns an action for an event that drains a data centre or returns it to service.
func (l *lab) drainAction(dataCentre string, drained bool) func(context.Context) error {
	return func(ctx context.Context) error {
		return l.controller.SetDrained(ctx, "dataCentre/"+dataCentre, drained)
	}
}

// partitioner is a VMController that can disconnect the VMs of a data centre from those of other data centres.
type partitioner interface {
	SetDisconnected(dataCentre string, disconnected bool)
}

// partitionAction returns an action for an event that disconnects a data centre from the platform, or reconnects it. If the lab's
// controller is a partitioner, the action does the same for the connections to other data centres.
func (l *lab) partitionAction(dataCentre string, disconnected bool) func(context.Context) error {
	return func(context.Context) error {
		for _, r := range l.relays[dataCentre] {
			r.SetBlocked(disconnected)
		}
		if p, ok := l.controller.(partitioner); ok {
			p.SetDisconnected(dataCentre, disconnected)
		}
		return nil
	}
}

// drainCheck counts the requests that a data centre's engines accept between two times of a load.
type drainCheck struct {
	atStart, atEnd standin.EngineCounters
}

// sampleEvents returns the events that read the engines' counters at the two times.
func (d *drainCheck) sampleEvents(l *lab, dataCentre string, from, to time.Duration) (first, last event) {
	return event{from, func(context.Context) error { d.atStart = l.counters(dataCentre); return nil }},
		event{to, func(context.Context) error { d.atEnd = l.counters(dataCentre); return nil }}
}

func (d *drainCheck) acceptedRequests() int { return d.atEnd.Accepted - d.atStart.Accepted }

// countPrompts counts the prompts whose intended send time is in [from, to). If include is not nil, it selects the prompts to count.
func (r *result) countPrompts(from, to time.Duration, include func(standin.Outcome) bool) standin.GroupCounts {
	var counts standin.GroupCounts
	for _, o := range r.outcomes {
		if o.Request.Booking || o.Request.At < from || o.Request.At >= to || include != nil && !include(o) {
			continue
		}
		counts.Add(o)
	}
	return counts
}
