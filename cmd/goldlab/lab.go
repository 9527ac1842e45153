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
	// quietWithin is the time in which engines must be empty after the last request ended: the longest resumption window and
	// the VMs' periodic work.
	quietWithin = 10 * time.Second
	// readyWithin is the time in which all VMs must be ready after the start.
	readyWithin = 30 * time.Second
	// drainWithin is the time after which a drained data centre must get no new work.
	drainWithin = 3 * time.Second
)

// labConfig describes the stand-ins and VMs of one run.
type labConfig struct {
	policy          string
	region          string
	dataCentres     []string
	enginesPerSite  int
	bookingsPerSite int
	timeScale       float64
	deadlines       standin.Deadlines
	customers       []labCustomer
}

// labCustomer is a customer with its contract.
type labCustomer struct {
	load                   standin.LoadCustomer
	weight, priority       int
	tokensPerSecond, burst int
	concurrent             int
}

// newLabConfig returns the co-operative's fleet in small: three data centres in one region, and customers of unequal size.
func newLabConfig(policy string) labConfig {
	cfg := labConfig{
		policy: policy, region: "jm-east", dataCentres: []string{"jm-a", "jm-b", "jm-c"}, enginesPerSite: 4, bookingsPerSite: 1,
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

// lab runs the stand-ins and entry VMs of one run in this process.
type lab struct {
	cfg      labConfig
	log      *standin.Log
	list     *standin.VMList
	store    *standin.WeightStore
	engines  map[string][]*standin.Engine // by data centre
	bookings map[string][]*standin.Booking
	records  *standin.Bookings
	places   []place
	site     Site
	relays   map[string][]*standin.Relay // between a data centre and the platform
	open     closers
}

// startLab starts the stand-ins, publishes the configuration and starts all VMs.
func startLab(ctx context.Context, cfg labConfig) (*lab, error) {
	l := &lab{
		cfg: cfg, engines: map[string][]*standin.Engine{}, bookings: map[string][]*standin.Booking{},
		records: standin.NewBookings(), relays: map[string][]*standin.Relay{},
	}
	if err := l.start(ctx); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func (l *lab) close() { l.open.close() }

func (l *lab) start(ctx context.Context) error {
	var err error
	if l.log, err = standin.NewLog(loopback, standin.AppendRate(300)); err != nil {
		return err
	}
	l.open.add(l.log.Close)
	if l.list, err = standin.NewVMList(loopback, 5*time.Second); err != nil {
		return err
	}
	l.open.add(l.list.Close)
	if l.store, err = standin.NewWeightStore(loopback, 1e9, time.Minute); err != nil {
		return err
	}
	l.open.add(l.store.Close)
	for _, dc := range l.cfg.dataCentres {
		for _, target := range []string{l.log.Address(), l.list.Address(), l.store.Address()} {
			r, err := standin.NewRelay(loopback, target)
			if err != nil {
				return err
			}
			l.open.add(r.Close)
			l.relays[dc] = append(l.relays[dc], r)
		}
		for i := range l.cfg.enginesPerSite {
			c := standin.DefaultEngineConfig(fmt.Sprintf("engine-%s-%d", dc, i+1), labModel)
			c.TimeScale, c.Seed = l.cfg.timeScale, uint64(i)
			e, err := standin.NewEngine(loopback, c)
			if err != nil {
				return err
			}
			l.open.add(e.Close)
			l.engines[dc] = append(l.engines[dc], e)
		}
		for range l.cfg.bookingsPerSite {
			b, err := standin.NewBooking(loopback, l.records)
			if err != nil {
				return err
			}
			l.open.add(b.Close)
			l.bookings[dc] = append(l.bookings[dc], b)
		}
	}
	all := l.allEngines()
	for _, e := range all {
		e.SetPeers(all...)
	}
	if err := l.choosePlaces(); err != nil {
		return err
	}
	if l.site, err = newSite(ctx, l); err != nil {
		return err
	}
	l.open.add(l.site.Close)
	var vms []standin.ListedVM
	for _, p := range l.places {
		if err := l.site.Start(p.name); err != nil {
			return errors.Wrapf(err, "start of VM %s", p.name)
		}
		vms = append(vms, standin.ListedVM{Place: p.name, Instance: "i-" + p.name, Address: p.peer, State: "live"})
	}
	l.list.Set(vms...)
	if err := l.site.Publish(ctx, "fleet", l.fleet()); err != nil {
		return err
	}
	for _, c := range l.cfg.customers {
		if err := l.site.Publish(ctx, "contract/"+c.load.Name, l.contract(c)); err != nil {
			return err
		}
	}
	return l.awaitReady(ctx)
}

func (l *lab) choosePlaces() error {
	addresses, err := freeAddresses(3 * vmsPerDataCentre * len(l.cfg.dataCentres))
	if err != nil {
		return err
	}
	for _, dc := range l.cfg.dataCentres {
		for i := range vmsPerDataCentre {
			p := place{name: fmt.Sprintf("%s/%d", dc, i+1), dataCentre: dc, caller: addresses[0], peer: addresses[1], operator: addresses[2]}
			l.places, addresses = append(l.places, p), addresses[3:]
		}
	}
	return nil
}

// awaitReady waits until every VM has served a small prompt, which shows that it has a configuration and that endpoints have
// owners.
func (l *lab) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for i, p := range l.places {
		cfg := l.load(0, 0, 0)
		small := standin.Arrival{Number: i, Customer: cfg.Customers[0], Model: labModel, Tokens: 1_000, MaxTokens: 1, Prefix: -1}
		load, err := standin.NewLoad(cfg, l.cfg.deadlines, nil, p.caller)
		if err != nil {
			return err
		}
		for {
			o := load.Send(ctx, small, time.Now())
			if o.Status == standin.Answered {
				break
			}
			if !sleep(ctx, 100*time.Millisecond) {
				return errors.Errorf("VM %s serves nothing after %v: %v %s %s", p.name, readyWithin, o.Status, o.Reason, o.Detail)
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

// counters returns the sums over the engines of a data centre, or over all engines for "".
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

// load returns the arrivals for a part of the fleet's capacity.
func (l *lab) load(part float64, length time.Duration, seed uint64) standin.LoadConfig {
	cfg := standin.LoadConfig{
		Length: length, Seed: seed, Model: labModel, ClassShares: standin.DefaultClassShares(), MaxTokens: 32,
		SharedPrefix: sharedPrefixShare, BookingRate: 2, DoubledShare: 0.2,
	}
	for _, c := range l.cfg.customers {
		cfg.Customers = append(cfg.Customers, c.load)
	}
	capacity := 0.0
	for _, e := range l.allEngines() {
		capacity += e.Config().Capacity()
	}
	cfg.Rate = part * capacity / cfg.MeanTokens()
	return cfg
}

// event is an action at a time of a load.
type event struct {
	at time.Duration
	do func(ctx context.Context) error
}

// result is what one run gave.
type result struct {
	summary  standin.Summary
	outcomes []standin.Outcome
	engines  standin.EngineCounters
}

// run sends a load with events, waits until the engines are empty and checks the invariants.
func (l *lab) run(ctx context.Context, name string, cfg standin.LoadConfig, progress io.Writer, events ...event) (*result, error) {
	load, err := standin.NewLoad(cfg, l.cfg.deadlines, progress, l.site.Callers("")...)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- runEvents(ctx, events) }()
	outcomes := load.Run(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := <-failed; err != nil {
		return nil, err
	}
	held := l.awaitQuiet(ctx)
	s := standin.Summarize(name, outcomes, l.records.All())
	r := &result{summary: s, outcomes: outcomes, engines: l.counters("")}
	r.violate(held, 0, "invariant 2: %d engines hold memory after the last request")
	r.violate(r.engines.Overcommits, 0, "invariant 2: %d overcommits")
	r.violate(r.engines.Leaks, 0, "invariant 2: %d leaked reservations")
	r.violate(r.engines.ColdFalls, 0, "invariant 3: %d engines in cold start fell over")
	for _, o := range outcomes {
		if o.Status == standin.Refused && !o.Arrival.Booking && l.ran(o.RequestID) {
			r.summary.Violations = append(r.summary.Violations, fmt.Sprintf("invariant 6: request %s was refused as notRun (%s), but ran",
				o.RequestID, o.Reason))
		}
	}
	return r, nil
}

// violate records a violation where a count is above its bound.
func (r *result) violate(n, bound int, format string) {
	if n > bound {
		r.summary.Violations = append(r.summary.Violations, fmt.Sprintf(format, n))
	}
}

func (l *lab) ran(requestID string) bool {
	return slices.ContainsFunc(l.allEngines(), func(e *standin.Engine) bool { return e.Ran(requestID) })
}

func runEvents(ctx context.Context, events []event) error {
	start := time.Now()
	for _, e := range events {
		select {
		case <-time.After(time.Until(start.Add(e.at))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := e.do(ctx); err != nil {
			return errors.Wrapf(err, "event after %v", e.at)
		}
	}
	return nil
}

// awaitQuiet waits until no engine holds memory and returns the number of engines that still do.
func (l *lab) awaitQuiet(ctx context.Context) int {
	for end := time.Now().Add(quietWithin); ; {
		held := 0
		for _, e := range l.allEngines() {
			if tokens, _, _ := e.Held(); tokens > 0 {
				held++
			}
		}
		if held == 0 || time.Now().After(end) || ctx.Err() != nil {
			return held
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// setDrained returns an event's action that takes a data centre out or back.
func (l *lab) setDrained(dataCentre string, drained bool) func(context.Context) error {
	return func(ctx context.Context) error { return l.site.SetDrained(ctx, "dataCentre/"+dataCentre, drained) }
}

// partitioner is a Site that can cut the connections between the VMs of different data centres.
type partitioner interface {
	SetPartitioned(dataCentre string, cut bool)
}

// setPartitioned returns an event's action that cuts a data centre off the platform and, where the site can do it, off the
// other data centres, or connects it again.
func (l *lab) setPartitioned(dataCentre string, cut bool) func(context.Context) error {
	return func(context.Context) error {
		for _, r := range l.relays[dataCentre] {
			r.SetCut(cut)
		}
		if p, ok := l.site.(partitioner); ok {
			p.SetPartitioned(dataCentre, cut)
		}
		return nil
	}
}

// drainCheck counts the work that a data centre's engines begin between two times of a load.
type drainCheck struct {
	before, after standin.EngineCounters
}

// events returns the events that take both counts.
func (d *drainCheck) events(l *lab, dataCentre string, from, to time.Duration) (first, last event) {
	return event{from, func(context.Context) error { d.before = l.counters(dataCentre); return nil }},
		event{to, func(context.Context) error { d.after = l.counters(dataCentre); return nil }}
}

func (d *drainCheck) begun() int { return d.after.Accepted - d.before.Accepted }

// share returns the service for prompts that were intended in a part of a load and that keep selects.
func (r *result) share(from, to time.Duration, keep func(standin.Outcome) bool) standin.ServiceShare {
	var s standin.ServiceShare
	for _, o := range r.outcomes {
		if o.Arrival.Booking || o.Arrival.At < from || o.Arrival.At >= to || keep != nil && !keep(o) {
			continue
		}
		s.Add(o)
	}
	return s
}
