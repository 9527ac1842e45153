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

// fault is one disturbance. It returns when the disturbance has ended.
type fault struct {
	name string
	run  func(s *site, v *vm, e *instance, d time.Duration) error
}

var faults = []fault{
	{"pause", func(s *site, v *vm, _ *instance, d time.Duration) error {
		s.signal(v, syscall.SIGSTOP)
		time.Sleep(d)
		s.signal(v, syscall.SIGCONT)
		return nil
	}},
	{"kill", func(s *site, v *vm, _ *instance, d time.Duration) error {
		s.signal(v, syscall.SIGKILL)
		time.Sleep(d / 4)
		return s.restart(v)
	}},
	{"stop", func(s *site, v *vm, _ *instance, _ time.Duration) error {
		s.signal(v, syscall.SIGTERM)
		return s.restart(v)
	}},
	{"reload", func(s *site, v *vm, _ *instance, _ time.Duration) error {
		s.signal(v, syscall.SIGHUP)
		return nil
	}},
	{"store slow for a VM", func(s *site, v *vm, _ *instance, d time.Duration) error {
		return disturb(v.store, "downstream", `"latency","attributes":{"latency":900}`, d)
	}},
	{"store silent for a VM", func(s *site, v *vm, _ *instance, d time.Duration) error {
		return disturb(v.store, "downstream", `"silence"`, d)
	}},
	{"store resets a VM", func(s *site, v *vm, _ *instance, d time.Duration) error {
		return disturb(v.store, "downstream", `"timeout","attributes":{"timeout":20}`, d)
	}},
	{"store out", func(s *site, _ *vm, _ *instance, d time.Duration) error {
		s.store.SetFault(platformtest.Fault(1 + int(d)%3))
		time.Sleep(d)
		s.store.SetFault(platformtest.Healthy)
		return nil
	}},
	{"endpoint slow", func(s *site, _ *vm, e *instance, d time.Duration) error {
		return disturb(e.proxy, "downstream", `"latency","attributes":{"latency":250,"jitter":200}`, d)
	}},
	{"endpoint hears nothing", func(s *site, _ *vm, e *instance, d time.Duration) error {
		return disturb(e.proxy, "upstream", `"silence"`, d)
	}},
	{"endpoint is not heard", func(s *site, _ *vm, e *instance, d time.Duration) error {
		return disturb(e.proxy, "downstream", `"silence"`, d)
	}},
	{"endpoint resets", func(s *site, _ *vm, e *instance, d time.Duration) error {
		return disturb(e.proxy, "downstream", `"timeout","attributes":{"timeout":30}`, d)
	}},
	{"answers in pieces", func(s *site, _ *vm, e *instance, d time.Duration) error {
		return disturb(e.proxy, "downstream", `"slicer","attributes":{"average_size":7,"size_variation":5,"delay":200}`, d)
	}},
	{"endpoint drains", func(s *site, _ *vm, e *instance, d time.Duration) error {
		s.drain(e, true)
		time.Sleep(d)
		s.drain(e, false)
		return nil
	}},
	{"configuration", func(s *site, _ *vm, _ *instance, _ time.Duration) error { s.change(); return nil }},
	{"key revoked", func(s *site, _ *vm, _ *instance, _ time.Duration) error { s.revoke(); return nil }},
	{"endpoints fail", func(s *site, _ *vm, _ *instance, d time.Duration) error {
		s.setTroubled(0.3)
		time.Sleep(d)
		s.setTroubled(baseTrouble)
		return nil
	}},
}

// baseTrouble is the part of the requests that endpoints treat badly all the time.
const baseTrouble = 0.03

func (s *site) setTroubled(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubled = share
}

// drain writes that the endpoint leaves, or that it is ready again.
func (s *site) drain(e *instance, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.draining = time.Time{}
	if on {
		e.draining = time.Now()
	}
	s.store.PublishEndpoint(e.Endpoint, e.proxy.Listen, on)
	s.timeline.add("%s drains: %v", e.ID, on)
}

// change adds a route.
func (s *site) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes++
	s.publish()
}

// revoke takes the newest key away and adds another one. The first key stays.
func (s *site) revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked[s.keys[len(s.keys)-1]] = time.Now()
	s.keys = append(s.keys, "key-"+string(rune('a'+len(s.keys)%26))+s.keys[len(s.keys)-1])
	s.publish()
}

// disturb adds a toxic to all connections of a proxy for a while.
func disturb(p *toxiproxy.Proxy, direction, toxic string, d time.Duration) error {
	spec := fmt.Sprintf(`{"name":"fault","stream":%q,"type":%s}`, direction, toxic)
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(spec)); err != nil {
		return err
	}
	time.Sleep(d)
	return p.Toxics.RemoveToxic("fault")
}

func init() { toxics.Register("silence", new(silence)) }

// silence swallows all bytes of one direction without closing the connection.
type silence struct{}

// Pipe implements toxics.Toxic.
func (*silence) Pipe(stub *toxics.ToxicStub) {
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
