package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Config configures one soak run.
type Config struct {
	Program   string        // the goldcrest binary, or goldlab if Cuts is set
	Cuts      bool          // VMs run as goldlab soak-vm, so that their paths to endpoints can be cut
	Dir       string        // directory for logs and the timeline
	Seed      uint64        // determines the faults and the behaviour of endpoints
	Duration  time.Duration // how long faults are injected
	VMs       int
	Endpoints int
	Clients   int
}

// Report is the result of one soak run.
type Report struct {
	Requests   int
	Served     int
	Faults     int
	Violations []string // violations of the guarantees to callers and endpoints
}

// String returns a line of totals, followed by one line for each violation.
func (r *Report) String() string {
	return fmt.Sprintf("%d requests, %d served, %d faults, %d violations\n%s", r.Requests, r.Served, r.Faults, len(r.Violations), strings.Join(r.Violations, "\n"))
}

// Times of a soak run.
const (
	startWithin   = 10 * time.Second       // limit for all VMs to become ready at the start
	recoverWithin = 12 * time.Second       // limit for all VMs to become ready again after the last fault
	settleTime    = 500 * time.Millisecond // wait after the recovery, and between the attempts of checkAllServe
)

// Run executes one soak run. The error is a failure of the run itself; violations of guarantees are in the report.
func Run(cfg Config) (*Report, error) {
	b, err := newTestbed(cfg)
	if err != nil {
		return nil, err
	}
	defer b.close()
	c := newChecker(b)
	if !b.awaitReady(startWithin) {
		return nil, fmt.Errorf("the VMs are not ready within %v; their logs are in %s", startWithin, cfg.Dir)
	}
	b.setMisbehaviourShare(baseMisbehaviourShare)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range cfg.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.runClient(i, stop)
		}()
	}
	faultCount, err := b.inject(cfg.Duration)
	b.setMisbehaviourShare(0)
	b.timeline.add("the last fault has ended")
	recovered := b.awaitReady(recoverWithin)
	time.Sleep(settleTime)
	close(stop)
	clients.Wait()
	if err != nil {
		return nil, err
	}
	if !recovered {
		c.reportViolation("not every VM is ready %v after the last fault", recoverWithin)
	}
	c.checkAllServe()
	c.checkRuns()
	c.checkCuts()
	c.report.Faults = faultCount
	b.timeline.add("%v", c.report.String())
	return &c.report, nil
}

// inject starts faults, several at a time, for the duration d and waits until all have ended. It returns the number of faults.
func (b *testbed) inject(d time.Duration) (int, error) {
	random := rand.New(rand.NewPCG(b.cfg.Seed, 2))
	var running sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	busy := map[any]bool{} // VMs, endpoints and names of faults in use; each is used by at most one fault at a time
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(50+random.IntN(500)) * time.Millisecond) {
		f := b.faults()[random.IntN(len(b.faults()))]
		v, e := b.vms[random.IntN(len(b.vms))], b.endpoints[random.IntN(len(b.endpoints))]
		duration := 300*time.Millisecond + time.Duration(random.Int64N(int64(2500*time.Millisecond)))
		mu.Lock()
		if busy[v] || busy[e] || busy[f.name] {
			mu.Unlock()
			continue
		}
		busy[v], busy[e], busy[f.name] = true, true, true
		mu.Unlock()
		n++
		running.Add(1)
		go func() {
			defer running.Done()
			b.timeline.add("%s begins: %s, %s, %v", f.name, v.name, e.ID, duration)
			err := f.run(b, v, e, duration)
			b.timeline.add("%s has ended: %s, %s", f.name, v.name, e.ID)
			for _, w := range b.vms {
				if w == v || strings.HasPrefix(f.name, "store outage") { // a store outage affects all VMs
					w.markFaultEnd()
				}
			}
			mu.Lock()
			defer mu.Unlock()
			busy[v], busy[e], busy[f.name] = false, false, false
			if err != nil && firstErr == nil {
				firstErr = fmt.Errorf("%s: %w", f.name, err)
			}
		}()
	}
	running.Wait()
	return n, firstErr
}

// awaitReady waits until all VMs are ready. It returns false if they are not within the given time.
func (b *testbed) awaitReady(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range b.vms {
			if b.ready(v) {
				ready++
			}
		}
		if ready == len(b.vms) {
			return true
		}
	}
	return false
}
