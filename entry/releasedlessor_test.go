package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"goldcrestpath/engine"
)

// releaseModel is a model of lessors that fail, are released by a record in the log and are replaced. Reads of the log
// and messages can be delayed by any time, and clocks drift.
type releaseModel struct {
	t               interface{ Fatalf(string, ...any) }
	drift           func() float64
	elapsed         time.Duration // true time
	names           []string
	records         []releaseRecord
	vms             map[string]*modelVM
	owners          []*modelShareOwner
	messages        []func()
	lastIncarnation uint64
}

type releaseRecord struct {
	name        string
	incarnation uint64
	released    bool
}

type modelShareOwner struct {
	id     LesseeID
	lessee *Lessee[shareKey]
	drift  float64
}

type modelVM struct {
	node    *Node
	drift   float64
	stopped bool
}

func (m *releaseModel) clock(drift float64) time.Time {
	return time.Unix(0, 0).Add(m.elapsed + time.Duration(float64(m.elapsed)*drift))
}

func newReleaseModel(t interface{ Fatalf(string, ...any) }, count int, drift func() float64) *releaseModel {
	m := &releaseModel{t: t, drift: drift, vms: map[string]*modelVM{}}
	for i := range count {
		m.names = append(m.names, fmt.Sprint("a/", i))
	}
	for _, name := range m.names {
		m.start(name)
	}
	for i := range 3 {
		lessee, err := NewLessee[shareKey](ShareTimers())
		if err != nil {
			t.Fatalf("%v", err)
		}
		m.owners = append(m.owners, &modelShareOwner{id: LesseeID{fmt.Sprint("o", i), 1}, lessee: lessee, drift: m.drift()})
	}
	return m
}

// tick advances the time by a short step in which all running VMs run.
func (m *releaseModel) tick() {
	m.elapsed += 250 * time.Millisecond
	for _, v := range m.vms {
		if !v.stopped {
			v.node.wakeLessors(m.clock(v.drift))
		}
	}
	m.check()
}

// deliver delivers all messages.
func (m *releaseModel) deliver() {
	for len(m.messages) > 0 {
		f := m.messages[0]
		m.messages = m.messages[1:]
		f()
	}
}

// start starts a VM that is registered at once. Its predecessor with the same name has stopped.
func (m *releaseModel) start(name string) {
	m.lastIncarnation++
	replaces := slices.ContainsFunc(m.records, func(r releaseRecord) bool { return r.name == name && r.released })
	m.records = append(m.records, releaseRecord{name: name, incarnation: m.lastIncarnation})
	v := &modelVM{drift: m.drift()}
	startedAt := m.clock(v.drift)
	mayLease := func() bool { return !replaces || m.clock(v.drift).Sub(startedAt) >= ReplacementWait }
	v.node = &Node{
		cfg: Config{VMName: name, Incarnation: m.lastIncarnation}, opts: options{mayLease: mayLease}, mayLease: mayLease(), localNames: m.names,
		specs: map[string]engine.Spec{"e": {}}, vmOrders: map[string][]string{}, actingShares: map[shareKey]bool{}, nextRequest: map[shareKey]time.Time{},
		members: NewMembers(VM{Name: name}, m.lastIncarnation, startedAt, rand.New(rand.NewPCG(1, 1))),
	}
	if err := v.node.newLeases(startedAt); err != nil {
		m.t.Fatalf("%v", err)
	}
	v.node.updateLeasableShares(startedAt, nil)
	m.vms[name] = v
}

// readLog makes a VM read the log. The answer is queued as a message.
func (m *releaseModel) readLog(v *modelVM) {
	requestedAt, records := m.clock(v.drift), slices.Clone(m.records)
	m.messages = append(m.messages, func() {
		if v.stopped || requestedAt.Before(v.node.releasedAsOf) {
			return
		}
		last := map[string]releaseRecord{}
		for _, r := range records {
			if old := last[r.name]; r.incarnation > old.incarnation || r.incarnation == old.incarnation && r.released {
				last[r.name] = r
			}
		}
		var released []string
		for name, r := range last {
			if r.released {
				released = append(released, name)
			}
		}
		v.node.setReleased(m.clock(v.drift), released, requestedAt)
	})
}

func (m *releaseModel) requestShare(o *modelShareOwner, lessor *modelVM, share int) {
	req := o.lessee.Request(m.clock(o.drift), shareKey{endpointResource("e"), share}, 1)
	m.messages = append(m.messages, func() {
		if lessor.stopped {
			return
		}
		if lease, ok := lessor.node.lease(m.clock(lessor.drift), o.id, req); ok {
			m.messages = append(m.messages, func() { o.lessee.Apply(m.clock(o.drift), lease) })
		}
	})
}

// check fails if two owners hold the same share.
func (m *releaseModel) check() {
	for share := range SharesPerResource {
		var holders []string
		for _, o := range m.owners {
			if o.lessee.Held(m.clock(o.drift), shareKey{endpointResource("e"), share}) > 0 {
				holders = append(holders, o.id.VMName)
			}
		}
		if len(holders) > 1 {
			m.t.Fatalf("after %v: share %d is leased to %v", m.elapsed, share, holders)
		}
	}
}

// Guards against two VMs that lease out the same share of a released lessor at the same time. These can be two VMs that
// both act for the lessor, because their copies of the log differ, or one of them and the lessor's replacement.
func TestReleasedLessorShares(t *testing.T) {
	leased := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newReleaseModel(t, rapid.IntRange(2, 5).Draw(t, "vms"), func() float64 { return float64(rapid.IntRange(-5, 5).Draw(t, "drift")) / 1000 })
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			name := rapid.SampledFrom(m.names).Draw(t, "name")
			v := m.vms[name]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				v.stopped = true
			case 1:
				if r := (releaseRecord{name, v.node.cfg.Incarnation, true}); v.stopped && !slices.Contains(m.records, r) {
					m.records = append(m.records, r)
				}
			case 2:
				if v.stopped {
					m.start(name)
				}
			case 3, 4, 5:
				for _, name := range m.names {
					if rapid.Bool().Draw(t, "reads") {
						m.readLog(m.vms[name])
					}
				}
			default:
				share := rapid.IntRange(0, SharesPerResource-1).Draw(t, "share")
				// Select among the VMs that lease out the share according to their own copies of the log; often there
				// is more than one.
				lessors := slices.DeleteFunc(slices.Clone(m.names), func(other string) bool {
					return m.vms[other].node.currentLessors(endpointResource("e"))[share] != other
				})
				if len(lessors) > 0 {
					m.requestShare(rapid.SampledFrom(m.owners).Draw(t, "owner"), m.vms[rapid.SampledFrom(lessors).Draw(t, "lessor")], share)
				}
			}
			for range rapid.IntRange(0, 4).Draw(t, "deliveries") {
				if len(m.messages) > 0 {
					i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
					f := m.messages[i]
					m.messages = slices.Delete(m.messages, i, i+1)
					f()
				}
			}
			for range rapid.IntRange(0, 6).Draw(t, "ticks") {
				m.tick()
			}
			for _, v := range m.vms {
				for key := range v.node.actingShares {
					if v.node.actingShares[key] && v.node.lessor.Leased(m.clock(v.drift), key) > 0 {
						leased++
					}
				}
			}
		}
	})
	if leased == 0 {
		t.Error("no share of a released lessor was ever leased")
	}
}

// Guards against a VM that leases out a released lessor's share while another VM, with an older copy of the log, still
// leases it out.
func TestActingLessorChanges(t *testing.T) {
	m := newReleaseModel(t, 5, func() float64 { return 0 })
	order := rendezvousOrder(endpointResource("e"), m.names)
	for _, name := range order[:2] {
		m.vms[name].stopped = true
		m.records = append(m.records, releaseRecord{name, m.vms[name].node.cfg.Incarnation, true})
	}
	firstSpare, secondSpare := m.vms[order[3]], m.vms[order[4]]
	const share = 1 // leased out by the second spare VM until order[0] has a replacement, then by the first spare VM
	run := func(d time.Duration, secondReads bool) {
		for end := m.elapsed + d; m.elapsed < end; m.tick() {
			m.readLog(firstSpare)
			if secondReads {
				m.readLog(secondSpare)
			}
			m.requestShare(m.owners[0], secondSpare, share)
			m.requestShare(m.owners[1], firstSpare, share)
			m.deliver()
		}
	}
	held := func(o int) int { return m.owners[o].lessee.Held(m.clock(0), shareKey{endpointResource("e"), share}) }
	run(15*time.Second, true)
	if held(0) != 1 {
		t.Fatal("the first acting lessor does not lease the share")
	}
	m.start(order[0])
	run(30*time.Second, false)
	if held(1) != 1 {
		t.Error("the second acting lessor does not lease the share")
	}
}

// Guards against a share without a lessor, or with a released one, while another VM is not released.
func TestActingLessors(t *testing.T) {
	for _, c := range []struct {
		name           string
		order          []string
		released, want []string
	}{
		{"none released", []string{"a", "b", "c", "d"}, nil, []string{"a", "b", "c"}},
		{"spare VMs", []string{"a", "b", "c", "d", "e"}, []string{"a", "c"}, []string{"d", "b", "e"}},
		{"too few spare VMs", []string{"a", "b", "c", "d"}, []string{"a", "d"}, []string{"b", "b", "c"}},
		{"two VMs", []string{"a", "b"}, []string{"a"}, []string{"b", "b", "b"}},
		{"all released", []string{"a", "b"}, []string{"a", "b"}, []string{"a", "b", "a"}},
	} {
		released := map[string]bool{}
		for _, name := range c.released {
			released[name] = true
		}
		if diff := cmp.Diff(c.want, actingLessors(c.order, released)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
