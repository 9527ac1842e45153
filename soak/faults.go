package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"

	"goldcrestpath/platform/platformtest"
)

// fault is one kind of fault. The function run injects it and returns when it has ended. A fault that lasts ends after the
// duration d.
type fault struct {
	name string
	run  func(s *testbed, v *vm, e *proxiedEndpoint, d time.Duration) error
}

// faults lists all kinds of faults, from which inject selects at random.
var faults = []fault{
	{"pause", func(s *testbed, v *vm, _ *proxiedEndpoint, d time.Duration) error {
		s.signal(v, syscall.SIGSTOP)
		time.Sleep(d)
		s.signal(v, syscall.SIGCONT)
		return nil
	}},
	{"kill", func(s *testbed, v *vm, _ *proxiedEndpoint, d time.Duration) error {
		s.signal(v, syscall.SIGKILL)
		time.Sleep(d / 4)
		return s.restart(v)
	}},
	{"stop", func(s *testbed, v *vm, _ *proxiedEndpoint, _ time.Duration) error {
		s.signal(v, syscall.SIGTERM)
		return s.restart(v)
	}},
	{"reload", func(s *testbed, v *vm, _ *proxiedEndpoint, _ time.Duration) error {
		s.signal(v, syscall.SIGHUP)
		return nil
	}},
	{"store slow for a VM", func(s *testbed, v *vm, _ *proxiedEndpoint, d time.Duration) error {
		return applyToxic(v.storeProxy, "downstream", `"latency","attributes":{"latency":900}`, d)
	}},
	{"store silent for a VM", func(s *testbed, v *vm, _ *proxiedEndpoint, d time.Duration) error {
		return applyToxic(v.storeProxy, "downstream", `"silence"`, d)
	}},
	{"store resets a VM", func(s *testbed, v *vm, _ *proxiedEndpoint, d time.Duration) error {
		return applyToxic(v.storeProxy, "downstream", `"timeout","attributes":{"timeout":20}`, d)
	}},
	{"store outage", func(s *testbed, _ *vm, _ *proxiedEndpoint, d time.Duration) error {
		s.store.SetFault(platformtest.Fault(1 + int(d)%3)) // the random duration also selects one of the three store faults
		time.Sleep(d)
		s.store.SetFault(platformtest.Healthy)
		return nil
	}},
	{"endpoint slow", func(s *testbed, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		return applyToxic(e.proxy, "downstream", `"latency","attributes":{"latency":250,"jitter":200}`, d)
	}},
	{"requests to endpoint lost", func(s *testbed, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		return applyToxic(e.proxy, "upstream", `"silence"`, d)
	}},
	{"answers of endpoint lost", func(s *testbed, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		return applyToxic(e.proxy, "downstream", `"silence"`, d)
	}},
	{"endpoint resets", func(s *testbed, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		return applyToxic(e.proxy, "downstream", `"timeout","attributes":{"timeout":30}`, d)
	}},
	{"answers fragmented", func(s *testbed, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		return applyToxic(e.proxy, "downstream", `"slicer","attributes":{"average_size":7,"size_variation":5,"delay":200}`, d)
	}},
	{"endpoint drains", func(s *testbed, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		s.setDraining(e, true)
		time.Sleep(d)
		s.setDraining(e, false)
		return nil
	}},
	{"configuration", func(s *testbed, _ *vm, _ *proxiedEndpoint, _ time.Duration) error { s.addRoute(); return nil }},
	{"key revoked", func(s *testbed, _ *vm, _ *proxiedEndpoint, _ time.Duration) error { s.replaceNewestKey(); return nil }},
	{"endpoints misbehave", func(s *testbed, _ *vm, _ *proxiedEndpoint, d time.Duration) error {
		s.setMisbehaviourShare(0.3)
		time.Sleep(d)
		s.setMisbehaviourShare(baseMisbehaviourShare)
		return nil
	}},
}

// cutFaults are the faults that cut the paths of a VM to all endpoints. They last longer than others, because callers must be served again
// only some time after a cut begins.
var cutFaults = []fault{
	{"paths of a VM hang", func(s *testbed, v *vm, _ *proxiedEndpoint, d time.Duration) error { return s.cutPaths(v, "hang", d) }},
	{"paths of a VM are reset", func(s *testbed, v *vm, _ *proxiedEndpoint, d time.Duration) error { return s.cutPaths(v, "reset", d) }},
	{"new connections of a VM are refused", func(s *testbed, v *vm, _ *proxiedEndpoint, d time.Duration) error { return s.cutPaths(v, "refuse", d) }},
}

// faults returns the kinds of faults that the VMs can have.
func (b *testbed) faults() []fault {
	if !b.cfg.Cuts {
		return faults
	}
	return slices.Concat(faults, cutFaults)
}

// cutPaths cuts the paths of a VM to the endpoints for cutStabilityWindow and the duration d.
func (b *testbed) cutPaths(v *vm, mode string, d time.Duration) error {
	if err := os.WriteFile(v.pathsFile, []byte(mode), 0o644); err != nil {
		return err
	}
	v.setCutSince(time.Now())
	time.Sleep(cutStabilityWindow + d)
	v.setCutSince(time.Time{})
	return os.WriteFile(v.pathsFile, nil, 0o644)
}

// baseMisbehaviourShare is the share of the requests that endpoints refuse, fail or do not answer completely outside the fault
// "endpoints misbehave", which raises it.
const baseMisbehaviourShare = 0.03

func (b *testbed) setMisbehaviourShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misbehaviourShare = share
}

// setDraining publishes that the endpoint is draining, or that it is ready again.
func (b *testbed) setDraining(e *proxiedEndpoint, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.drainingSince = time.Time{}
	if on {
		e.drainingSince = time.Now()
	}
	b.store.PublishEndpoint(e.Endpoint, e.proxy.Listen, on)
	b.timeline.add("%s draining: %v", e.ID, on)
}

// addRoute publishes a configuration with one more route.
func (b *testbed) addRoute() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extraRoutes++
	b.publishConfiguration()
}

// replaceNewestKey revokes the newest API key and adds another one. The first key is never revoked.
func (b *testbed) replaceNewestKey() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revokedAt[b.keys[len(b.keys)-1]] = time.Now()
	b.keys = append(b.keys, "key-"+string(rune('a'+len(b.keys)%26))+b.keys[len(b.keys)-1])
	b.publishConfiguration()
}

// applyToxic adds a toxic, a fault of the proxy library, to all connections of a proxy for the duration d. The parameter toxic is the
// JSON value of the toxic's type, which may be followed by further JSON fields.
func applyToxic(p *toxiproxy.Proxy, direction, toxic string, d time.Duration) error {
	spec := fmt.Sprintf(`{"name":"fault","stream":%q,"type":%s}`, direction, toxic)
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(spec)); err != nil {
		return err
	}
	time.Sleep(d)
	return p.Toxics.RemoveToxic("fault")
}

func init() { toxics.Register("silence", new(silenceToxic)) }

// silenceToxic discards all bytes of one direction without closing the connection.
type silenceToxic struct{}

// Pipe implements toxics.Toxic.
func (*silenceToxic) Pipe(stub *toxics.ToxicStub) {
	for {
		select {
		case <-stub.Interrupt:
			return
		case c := <-stub.Input:
			if c == nil {
				stub.Close()
				return
			}
		}
	}
}
