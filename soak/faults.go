package soak

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"

	"goldcrestpath/platform/platformtest"
)

// fault is one kind of fault. run injects it, ends it after the duration d and then returns.
type fault struct {
	name string
	run  func(s *site, v *vm, e *proxiedEndpoint, d time.Duration) error
}

var faults = []fault{
	{"pause", func(s *site, v *vm, _ *proxiedEndpoint, d time.Duration) error {
		s.signal(v, syscall.SIGSTOP)
		time.Sleep(d)
		s.signal(v, syscall.SIGCONT)
		return nil
	}},
	{"kill", func(s *site, v *vm, _ *proxiedEndpoint, d time.Duration) error {
		s.signal(v, syscall.SIGKILL)
		time.Sleep(d / 4)
		return s.restart(v)
	}},
	{"stop", func(s *site, v *vm, _ *proxiedEndpoint, _ time.Duration) error {
		s.signal(v, syscall.SIGTERM)
		return s.restart(v)
	}},
	{"reload", func(s *site, v *vm, _ *proxiedEndpoint, _ time.Duration) error {
		s.signal(v, syscall.SIGHUP)
		return nil
	}},
	{"store slow for a VM", func(s *site, v *vm, _ *proxiedEndpoint, d time.Duration) error {
		return applyToxic(v.store, "downstream", `"latency","attributes":{"latency":900}`, d)
	}},
	{"store silent for a VM", func(s *site, v *vm, _ *proxiedEndpoint, d time.Duration) error {
		return applyToxic(v.store, "downstream", `"silence"`, d)
	}},
	{"store resets a VM", func(s *site, v *vm, _ *proxiedEndpoint, d time.Duration) error {
		return applyToxic(v.store, "downstream", `"timeout","attributes":{"timeout":20}`, d)
	}},
	{"store outage", func(s *site, _ *vm, _ *proxiedEndpoint, d time.Duration) error {
		s.store.SetFault(platformtest.Fault(1 + int(d)%3))
		time.Sleep(d)
		s.store.SetFault(platformtest.Healthy)
		return nil
	}},
	{"endpoint slow", func(s *site, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		return applyToxic(e.proxy, "downstream", `"latency","attributes":{"latency":250,"jitter":200}`, d)
	}},
	{"requests to endpoint lost", func(s *site, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		return applyToxic(e.proxy, "upstream", `"silence"`, d)
	}},
	{"answers of endpoint lost", func(s *site, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		return applyToxic(e.proxy, "downstream", `"silence"`, d)
	}},
	{"endpoint resets", func(s *site, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		return applyToxic(e.proxy, "downstream", `"timeout","attributes":{"timeout":30}`, d)
	}},
	{"answers fragmented", func(s *site, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		return applyToxic(e.proxy, "downstream", `"slicer","attributes":{"average_size":7,"size_variation":5,"delay":200}`, d)
	}},
	{"endpoint drains", func(s *site, _ *vm, e *proxiedEndpoint, d time.Duration) error {
		s.setDraining(e, true)
		time.Sleep(d)
		s.setDraining(e, false)
		return nil
	}},
	{"configuration", func(s *site, _ *vm, _ *proxiedEndpoint, _ time.Duration) error { s.addRoute(); return nil }},
	{"key revoked", func(s *site, _ *vm, _ *proxiedEndpoint, _ time.Duration) error { s.replaceNewestKey(); return nil }},
	{"endpoints misbehave", func(s *site, _ *vm, _ *proxiedEndpoint, d time.Duration) error {
		s.setMisbehaviourShare(0.3)
		time.Sleep(d)
		s.setMisbehaviourShare(baseMisbehaviourShare)
		return nil
	}},
}

// baseMisbehaviourShare is the share of the requests that endpoints refuse, fail or do not answer completely while no injected
// fault raises it.
const baseMisbehaviourShare = 0.03

func (s *site) setMisbehaviourShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misbehaviourShare = share
}

// setDraining publishes that the endpoint drains, or that it is ready again.
func (s *site) setDraining(e *proxiedEndpoint, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.drainingSince = time.Time{}
	if on {
		e.drainingSince = time.Now()
	}
	s.store.PublishEndpoint(e.Endpoint, e.proxy.Listen, on)
	s.timeline.add("%s draining: %v", e.ID, on)
}

// addRoute publishes a configuration with one more route.
func (s *site) addRoute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraRoutes++
	s.publishConfiguration()
}

// replaceNewestKey revokes the newest API key and adds another one. The first key is never revoked.
func (s *site) replaceNewestKey() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revokedAt[s.keys[len(s.keys)-1]] = time.Now()
	s.keys = append(s.keys, "key-"+string(rune('a'+len(s.keys)%26))+s.keys[len(s.keys)-1])
	s.publishConfiguration()
}

// applyToxic adds a toxic, a fault that the proxy library injects, to all connections of a proxy for the duration d.
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
