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
	// meshDataCentre is the data centre of all measured entry VMs.
	meshDataCentre = "dc-1"
	// settleTime is the wait before a measurement starts. It covers the first leases and connections, which cost more than the
	// steady state.
	settleTime = time.Second
	// quotaReadInterval is the interval at which a VM reads its share of the quota of each active customer.
	quotaReadInterval = 500 * time.Millisecond
)

// meshConfig configures one measurement.
type meshConfig struct {
	members          int // entry VMs that run in this process
	simulatedMembers int // further members, which a simulation stands in for
	endpoints        int
	customers        int     // customers that are active on every VM
	grantRate        float64 // grants per second of each VM
	configChangeRate int     // configuration changes per second of the whole data centre
	heldGrants       int     // grants in use on each VM
	remoteVMs        int     // VMs in other data centres
	duration         time.Duration
	seed             uint64
}

// cost is the control-plane overhead of one VM.
type cost struct {
	cpuPercent     float64 // processor time in per cent of a core
	bytesPerSecond float64 // received and sent
	heapKB         float64 // growth of the heap
}

// byteCounter counts the bytes that connections transfer, including HTTP/2 headers.
type byteCounter struct{ total atomic.Int64 }

// countingConn is a connection that counts the bytes it transfers.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.total.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.total.Add(int64(n))
	return n, err
}

// countingListener is a listener that accepts connections of type countingConn.
type countingListener struct {
	net.Listener
	counter *byteCounter
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.counter}, nil
}

// idleEndpoints answers for endpoints without load in this process. Measurements therefore do not include the cost of HTTP requests
// to engines and of their load reports.
type idleEndpoints struct{ sequence atomic.Uint64 }

// Report implements entry.Endpoints.
func (e *idleEndpoints) Report(_ context.Context, s engine.Spec) (engine.Report, error) {
	return engine.Report{Instance: 1, Sequence: e.sequence.Add(1), Model: s.Model, KVTokens: s.KVTokens, Sequences: s.MaxSequences}, nil
}

// Cancel implements entry.Endpoints.
func (e *idleEndpoints) Cancel(context.Context, engine.Spec, string) error { return nil }

// CancelHolder implements entry.Endpoints.
func (e *idleEndpoints) CancelHolder(context.Context, engine.Spec, string, uint64) error { return nil }

// processorTime returns the user and system time that this process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "getrusage")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// heapInUseKB returns the size of the live heap in KB, after a garbage collection.
func heapInUseKB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1024
}

// meshSpecs returns n engines of the data centre, with four models in turn.
func meshSpecs(n int) []engine.Spec {
	specs := make([]engine.Spec, n)
	for i := range specs {
		specs[i] = engine.Spec{Name: fmt.Sprintf("engine-%04d", i), DataCentre: meshDataCentre, Address: "127.0.0.1:9", Model: "model-" + strconv.Itoa(i%4),
			KVTokens: 4_000_000, MaxSequences: 4_096, PrefillRate: 100_000, DecodeRate: 25, MaxColdSequences: 4_096}
	}
	return specs
}

// measureMesh starts the VMs of one measurement and returns the average cost of one VM. If there are simulated members, the processor
// time includes that of the simulation.
func measureMesh(ctx context.Context, cfg meshConfig) (cost, error) {
	heapBefore := heapInUseKB()
	traffic := &byteCounter{}
	vms := make([]entry.VM, cfg.members)
	listeners := make([]net.Listener, cfg.members)
	for i := range vms {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return cost{}, err
		}
		defer ln.Close()
		listeners[i] = countingListener{ln, traffic}
		vms[i] = entry.VM{Name: fmt.Sprintf("%s/%d", meshDataCentre, i+1), DataCentre: meshDataCentre, Address: ln.Addr().String()}
	}
	specs := meshSpecs(cfg.endpoints)
	var sim *simulation
	if cfg.simulatedMembers > 0 {
		var err error
		if sim, err = newSimulation(cfg, vms[0], specs); err != nil {
			return cost{}, err
		}
		defer sim.close()
		vms = sim.vms
	}
	quotas := map[string]entry.Quota{}
	for i := range cfg.customers {
		quotas[fmt.Sprintf("customer-%03d", i)] = entry.Quota{TokensPerSecond: 1 << 20, Burst: 1 << 22, Concurrent: 1 << 12}
	}
	dialer := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", sim.dialAddress(address))
		if err != nil {
			return nil, err
		}
		return countingConn{c, traffic}, nil
	}
	nodes := make([]*entry.Node, cfg.members)
	var stores []*oplog.Store
	log := newMemoryLog()
	for i := range nodes {
		opts := []entry.Option{entry.WithListener(listeners[i]), entry.WithDialer(dialer), entry.WithFirstStart(), entry.WithEndpoints(&idleEndpoints{})}
		if cfg.configChangeRate > 0 {
			store := oplog.NewStore(log)
			defer store.Close()
			stores = append(stores, store)
			opts = append(opts, entry.WithSyncer(store))
		}
		n, err := entry.NewNode(entry.Config{VMName: vms[i].Name, DataCentre: meshDataCentre, Incarnation: 1}, opts...)
		if err != nil {
			return cost{}, err
		}
		defer n.Close()
		nodes[i] = n
	}
	for _, n := range nodes {
		n.SetFleet(vms, specs, nil)
		n.SetQuotas(quotas)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i, n := range nodes {
		wg.Go(func() { driveNode(ctx, cfg, n, specs, rand.New(rand.NewPCG(cfg.seed, uint64(i)))) })
	}
	if sim != nil {
		wg.Go(func() { sim.run(ctx) })
	}
	for i, store := range stores {
		wg.Go(func() { applyChanges(ctx, store, func() { nodes[i].SetFleet(vms, specs, nil) }) })
	}
	if len(stores) > 0 {
		wg.Go(func() { publishChanges(ctx, stores[0], cfg.configChangeRate) })
	}
	settle := settleTime
	if cfg.simulatedMembers > 0 {
		settle *= 3 // connecting to several hundred members takes longer
	}
	if !sleep(ctx, settle) {
		return cost{}, ctx.Err()
	}
	cpuBefore, err := processorTime()
	if err != nil {
		return cost{}, err
	}
	start, bytesBefore := time.Now(), traffic.total.Load()
	if !sleep(ctx, cfg.duration) {
		return cost{}, ctx.Err()
	}
	cpuAfter, err := processorTime()
	if err != nil {
		return cost{}, err
	}
	elapsed, n := time.Since(start).Seconds(), float64(cfg.members)
	return cost{
		cpuPercent:     100 * (cpuAfter - cpuBefore).Seconds() / elapsed / n,
		bytesPerSecond: float64(traffic.total.Load()-bytesBefore) / elapsed / n,
		heapKB:         (heapInUseKB() - heapBefore) / n,
	}, nil
}

// applyChanges calls apply after each change of the store's configuration, until ctx ends.
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

// publishChanges publishes new revisions of one contract at the given rate per second, until ctx ends.
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
		content := fmt.Appendf(nil, "%-494d", revision) // as many bytes as a contract document
		if r, err := store.Publish(ctx, oplog.ContractPrefix+"customer-000", revision, content); err == nil {
			revision = r
		}
	}
}

// driveNode puts the configured load on one VM until ctx ends: it obtains grants at the configured rate, keeps the configured
// number in use and reads the VM's shares of the customers' quotas.
func driveNode(ctx context.Context, cfg meshConfig, n *entry.Node, specs []engine.Spec, rnd *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	requestGrant := func(keep bool) {
		request := engine.GrantRequest{ID: fmt.Sprintf("request-%016x.1", rnd.Uint64()), Customer: "customer-000", PromptTokens: 1000, MaxTokens: 400, Weight: 1,
			StartWithin: time.Second, MaxWait: time.Second}
		endpoint := specs[rnd.IntN(len(specs))].Name
		wg.Go(func() {
			if g, err := n.Grant(ctx, endpoint, request); err == nil && !keep {
				n.Release(g, engine.Result{})
			}
		})
	}
	if len(specs) > 0 {
		for range cfg.heldGrants {
			requestGrant(true)
			if !sleep(ctx, time.Millisecond) {
				return
			}
		}
	}
	quotaReads := time.NewTicker(quotaReadInterval)
	defer quotaReads.Stop()
	period := time.Hour // longer than any measurement, so that there are no grants
	if cfg.grantRate > 0 && len(specs) > 0 {
		period = time.Duration(float64(time.Second) / cfg.grantRate)
	}
	arrivals := time.NewTicker(period)
	defer arrivals.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-arrivals.C:
			requestGrant(false)
		case <-quotaReads.C:
			for i := range cfg.customers {
				n.QuotaShare(fmt.Sprintf("customer-%03d", i))
			}
		}
	}
}
