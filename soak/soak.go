package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Config is one soak.
type Config struct {
	Program   string        // the goldcrest binary
	Dir       string        // where logs and the timeline go
	Seed      uint64        // decides faults and the behaviour of endpoints
	Duration  time.Duration // of the faults
	VMs       int
	Endpoints int
	Clients   int
}

// Report is what a soak found.
type Report struct {
	Requests int
	Served   int
	Faults   int
	Broken   []string // promises that did not hold
}

// String returns the report in a few lines.
func (r *Report) String() string {
	return fmt.Sprintf("%d requests, %d served, %d faults, %d promises broken\n%s", r.Requests, r.Served, r.Faults, len(r.Broken), strings.Join(r.Broken, "\n"))
}

// Times of a soak.
const (
	startWithin   = 10 * time.Second
	recoverWithin = 12 * time.Second // after the last fault every VM serves again
	settle        = 500 * time.Millisecond
)

// Run runs one soak. The error is that of the soak itself; broken promises are in the report.
func Run(cfg Config) (*Report, error) {
	s, err := newSite(cfg)
	if err != nil {
		return nil, err
	}
	defer s.close()
	c := newChecker(s)
	if !s.awaitReady(startWithin) {
		return nil, fmt.Errorf("the VMs are not ready within %v; their logs are in %s", startWithin, cfg.Dir)
	}
	s.setTroubled(baseTrouble)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range cfg.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.client(i, stop)
		}()
	}
	n, err := s.inject(cfg.Duration)
	s.setTroubled(0)
	s.timeline.add("the last fault has ended")
	recovered := s.awaitReady(recoverWithin)
	time.Sleep(settle)
	close(stop)
	clients.Wait()
	if err != nil {
		return nil, err
	}
	if !recovered {
		c.broken("not every VM is ready %v after the last fault", recoverWithin)
	}
	c.serveAll()
	c.judge()
	c.report.Faults = n
	s.timeline.add("%v", c.report.String())
	return &c.report, nil
}

// inject runs faults, several at a time, and waits for the end of all.
func (s *site) inject(d time.Duration) (int, error) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, 2))
	var running sync.WaitGroup
	var mu sync.Mutex
	var failed error
	busy := map[any]bool{} // a VM or an endpoint has one fault of its own at a time, and the store one
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(50+random.IntN(500)) * time.Millisecond) {
		f := faults[random.IntN(len(faults))]
		v, e := s.vms[random.IntN(len(s.vms))], s.endpoints[random.IntN(len(s.endpoints))]
		length := 300*time.Millisecond + time.Duration(random.Int64N(int64(2500*time.Millisecond)))
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
			s.timeline.add("%s begins: %s, %s, %v", f.name, v.name, e.ID, length)
			err := f.run(s, v, e, length)
			s.timeline.add("%s has ended: %s, %s", f.name, v.name, e.ID)
			for _, w := range s.vms {
				if w == v || strings.HasPrefix(f.name, "store out") {
					w.disturbed()
				}
			}
			mu.Lock()
			defer mu.Unlock()
			busy[v], busy[e], busy[f.name] = false, false, false
			if err != nil && failed == nil {
				failed = fmt.Errorf("%s: %w", f.name, err)
			}
		}()
	}
	running.Wait()
	return n, failed
}

func (s *site) awaitReady(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range s.vms {
			if s.ready(v) {
				ready++
			}
		}
		if ready == len(s.vms) {
			return true
		}
	}
	return false
}
