package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/engine"
	"goldcrestpath/entry"
	"goldcrestpath/oplog"
)

const (
	// meshDataCentre holds the entry VMs of a measurement.
	meshDataCentre = "dc-1"
	// settleFor covers the first leases and connections, which cost more than the steady state.
	settleFor = time.Second
	// customerInterest is how often a VM reads the part of each customer that sends to it.
	customerInterest = 500 * time.Millisecond
)

// meshConfig is the size of one measurement.
type meshConfig struct {
	members   int // real entry VMs in this process
	simulated int // further members that only answer
	endpoints int
	customers int     // active on every VM
	rate      float64 // grants a second of each real VM
	changes   int     // configuration changes a second in all
	held      int     // grants in use on each real VM
	remote    int     // places in other data centres
	length    time.Duration
	seed      uint64
}

// cost is what control of one VM takes.
type cost struct {
	cpu   float64 // per cent of a core
	bytes float64 // in and out, a second
	heap  float64 // KB
}

// wire counts the bytes on connections, HTTP/2 headers included.
type wire struct{ n atomic.Int64 }

type countedConn struct {
	net.Conn
	w *wire
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.w.n.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.w.n.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	w *wire
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.w}, nil
}

// idleEndpoints answers for endpoints without load. What HTTP and the engines' reports cost is not part of it.
type idleEndpoints struct{ sequence atomic.Uint64 }

// Report implements entry.Endpoints.
func (e *idleEndpoints) Report(_ context.Context, s engine.Spec) (engine.Report, error) {
	return engine.Report{Instance: 1, Sequence: e.sequence.Add(1), Model: s.Model, KVTokens: s.KVTokens, Sequences: s.Sequences}, nil
}

// Cancel implements entry.Endpoints.
func (e *idleEndpoints) Cancel(context.Context, engine.Spec, string) error { return nil }

// CancelHolder implements entry.Endpoints.
func (e *idleEndpoints) CancelHolder(context.Context, engine.Spec, string, uint64) error { return nil }

// processorTime returns the user and system time of this process.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "getrusage")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1024
}

// meshSpecs returns the endpoints of the data centre, spread over four models.
func meshSpecs(n int) []engine.Spec {
	specs := make([]engine.Spec, n)
	for i := range specs {
		specs[i] = engine.Spec{Name: fmt.Sprintf("engine-%04d", i), DataCentre: meshDataCentre, Address: "127.0.0.1:9", Model: "model-" + strconv.Itoa(i%4),
			KVTokens: 4_000_000, Sequences: 4_096, PrefillRate: 100_000, DecodeRate: 25, ColdSequences: 4_096}
	}
	return specs
}

// measureMesh starts the VMs of one measurement and returns the cost of control for one of them. With simulated members the
// processor time includes that of their answers.
func measureMesh(ctx context.Context, cfg meshConfig) (cost, error) {
	before := heapInUse()
	traffic := &wire{}
	places := make([]entry.Place, cfg.members)
	listeners := make([]net.Listener, cfg.members)
	for i := range places {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return cost{}, err
		}
		defer ln.Close()
		listeners[i] = countedListener{ln, traffic}
		places[i] = entry.Place{Name: fmt.Sprintf("%s/%d", meshDataCentre, i+1), DataCentre: meshDataCentre, Address: ln.Addr().String()}
	}
	specs := meshSpecs(cfg.endpoints)
	var sim *simulation
	if cfg.simulated > 0 {
		var err error
		if sim, err = newSimulation(cfg, places[0], specs); err != nil {
			return cost{}, err
		}
		defer sim.close()
		places = sim.places
	}
	quotas := map[string]entry.Quota{}
	for i := range cfg.customers {
		quotas[fmt.Sprintf("customer-%03d", i)] = entry.Quota{TokensPerSecond: 1 << 20, Burst: 1 << 22, Concurrent: 1 << 12}
	}
	dialer := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", sim.route(address))
		if err != nil {
			return nil, err
		}
		return countedConn{c, traffic}, nil
	}
	nodes := make([]*entry.Node, cfg.members)
	var stores []*oplog.Store
	log := newMemoryLog()
	for i := range nodes {
		opts := []entry.Option{entry.WithListener(listeners[i]), entry.WithDialer(dialer), entry.WithFirstStart(), entry.WithEndpoints(&idleEndpoints{})}
		if cfg.changes > 0 {
			store := oplog.NewStore(log)
			defer store.Close()
			stores = append(stores, store)
			opts = append(opts, entry.WithSyncer(store))
		}
		n, err := entry.NewNode(entry.Config{Place: places[i].Name, DataCentre: meshDataCentre, Incarnation: 1}, opts...)
		if err != nil {
			return cost{}, err
		}
		defer n.Close()
		nodes[i] = n
	}
	for _, n := range nodes {
		n.SetFleet(places, specs, nil)
		n.SetQuotas(quotas)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i, n := range nodes {
		wg.Go(func() { useNode(ctx, cfg, n, specs, rand.New(rand.NewPCG(cfg.seed, uint64(i)))) })
	}
	if sim != nil {
		wg.Go(func() { sim.run(ctx) })
	}
	for i, store := range stores {
		wg.Go(func() { applyChanges(ctx, store, func() { nodes[i].SetFleet(places, specs, nil) }) })
	}
	if len(stores) > 0 {
		wg.Go(func() { publishChanges(ctx, stores[0], cfg.changes) })
	}
	settle := settleFor
	if cfg.simulated > 0 {
		settle *= 3 // the connections to several hundred members
	}
	if !sleep(ctx, settle) {
		return cost{}, ctx.Err()
	}
	cpu, err := processorTime()
	if err != nil {
		return cost{}, err
	}
	began, bytes := time.Now(), traffic.n.Load()
	if !sleep(ctx, cfg.length) {
		return cost{}, ctx.Err()
	}
	end, err := processorTime()
	if err != nil {
		return cost{}, err
	}
	elapsed, n := time.Since(began).Seconds(), float64(cfg.members)
	return cost{
		cpu:   100 * (end - cpu).Seconds() / elapsed / n,
		bytes: float64(traffic.n.Load()-bytes) / elapsed / n,
		heap:  (heapInUse() - before) / n,
	}, nil
}

// applyChanges calls apply after each change of the configuration.
func applyChanges(ctx context.Context, store *oplog.Store, apply func()) {
	for {
		select {
		case <-store.Changed():
			apply()
		case <-ctx.Done():
			return
		}
	}
}

// publishChanges publishes new revisions of one contract at the given rate a second.
func publishChanges(ctx context.Context, store *oplog.Store, rate int) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var revision uint64
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		content := fmt.Appendf(nil, "%-494d", revision) // as long as a contract
		if r, err := store.Publish(ctx, oplog.ContractPrefix+"customer-000", revision, content); err == nil {
			revision = r
		}
	}
}

// useNode takes grants at the given rate, keeps the given number in use and reads the customers' parts.
func useNode(ctx context.Context, cfg meshConfig, n *entry.Node, specs []engine.Spec, rnd *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	take := func(keep bool) {
		d := engine.Demand{ID: fmt.Sprintf("request-%016x.1", rnd.Uint64()), Customer: "customer-000", PromptTokens: 1000, MaxTokens: 400, Weight: 1,
			Slack: time.Second, MaxWait: time.Second}
		endpoint := specs[rnd.IntN(len(specs))].Name
		wg.Go(func() {
			if g, err := n.Grant(ctx, endpoint, d); err == nil && !keep {
				n.Release(g, engine.Result{})
			}
		})
	}
	if len(specs) > 0 {
		for range cfg.held {
			take(true)
			if !sleep(ctx, time.Millisecond) {
				return
			}
		}
	}
	interest := time.NewTicker(customerInterest)
	defer interest.Stop()
	period := time.Hour
	if cfg.rate > 0 && len(specs) > 0 {
		period = time.Duration(float64(time.Second) / cfg.rate)
	}
	arrivals := time.NewTicker(period)
	defer arrivals.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-arrivals.C:
			take(false)
		case <-interest.C:
			for i := range cfg.customers {
				n.Part(fmt.Sprintf("customer-%03d", i))
			}
		}
	}
}
