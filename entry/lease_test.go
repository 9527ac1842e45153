package entry

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// leaseModel is a model of three lessors, three owners and one endpoint. Messages are delivered in any order, late,
// twice or never. Each lessor grants leases to every owner that requests one, which covers all views of the membership.
// Processes pause and restart, clocks drift, and the endpoint's reports lag.
type leaseModel struct {
	t        *rapid.T
	timers   Timers
	start    time.Time
	elapsed  time.Duration // true time
	lessors  []*modelLessor
	owners   []*modelOwner
	messages []func()
	grants   []*modelGrant
	granted  map[int]int // number of grants by owner
}

type modelLessor struct {
	lessor *Lessor[int]
	drift  float64
	paused bool
	queued []func() // messages that arrived during a pause
}

type modelOwner struct {
	id         LesseeID
	lessee     *Lessee[int]
	drift      float64
	observedAt time.Time
	own        map[*modelGrant]bool
	reported   map[*modelGrant]bool
}

type modelGrant struct {
	requestedAt     time.Duration // when the holder requested it, true time
	lifetime        time.Duration // by the holder's clock
	sentAt, endedAt time.Duration // true time, or never
}

const (
	modelPerShare = 2
	modelCapacity = SharesPerResource * modelPerShare
	never         = time.Duration(1 << 62)
)

func newLeaseModel(t *rapid.T, timers Timers) *leaseModel {
	m := &leaseModel{t: t, timers: timers, start: time.Unix(0, 0), granted: map[int]int{}}
	drift := rapid.IntRange(-5, 5) // thousandths
	for i := range SharesPerResource {
		lessor := &modelLessor{drift: float64(drift.Draw(t, "drift")) / 1000}
		m.lessors = append(m.lessors, lessor)
		m.restartLessor(i)
		m.owners = append(m.owners, &modelOwner{drift: float64(drift.Draw(t, "drift")) / 1000})
		m.restartOwner(i)
	}
	return m
}

func (m *leaseModel) clock(drift float64) time.Time {
	return m.start.Add(m.elapsed + time.Duration(float64(m.elapsed)*drift))
}

func (m *leaseModel) restartLessor(i int) {
	lessor := m.lessors[i]
	now := m.clock(lessor.drift)
	var err error
	if lessor.lessor, err = NewLessor[int](m.timers, now); err != nil {
		m.t.Fatal(err)
	}
	lessor.lessor.SetLeasableUnits(now, i, 1, 0)
	lessor.paused, lessor.queued = false, nil
}

func (m *leaseModel) restartOwner(i int) {
	o := m.owners[i]
	var err error
	if o.lessee, err = NewLessee[int](m.timers); err != nil {
		m.t.Fatal(err)
	}
	o.id = LesseeID{string(rune('a' + i)), o.id.Incarnation + 1}
	o.observedAt = time.Time{}
	o.own, o.reported = map[*modelGrant]bool{}, map[*modelGrant]bool{}
}

// requestShares sends requests for all shares, as the control goroutine does on each renewal.
func (m *leaseModel) requestShares(i int) {
	o := m.owners[i]
	for share, lessor := range m.lessors {
		req := o.lessee.Request(m.clock(o.drift), share, 1)
		id, lessee := o.id, o.lessee
		m.messages = append(m.messages, func() {
			if lease, ok := lessor.lessor.Lease(m.clock(lessor.drift), id, req); ok {
				m.messages = append(m.messages, func() { lessee.Apply(m.clock(o.drift), lease) })
			}
		})
	}
}

func (m *leaseModel) release(i int) {
	o := m.owners[i]
	for share, lessor := range m.lessors {
		if sequence, ok := o.lessee.Release(share); ok {
			id := o.id
			m.messages = append(m.messages, func() { lessor.lessor.Return(m.clock(lessor.drift), id, share, sequence) })
		}
	}
}

// observe gives an owner a report whose state of the endpoint is no older than the report lag.
func (m *leaseModel) observe(i int) {
	o := m.owners[i]
	o.observedAt = m.clock(o.drift)
	reportedAt := m.elapsed - time.Duration(rapid.Int64Range(0, int64(m.timers.ReportLag)).Draw(m.t, "lag"))
	o.reported = map[*modelGrant]bool{}
	for _, g := range m.grants {
		if g.sentAt <= reportedAt && reportedAt < g.endedAt {
			o.reported[g] = true
		}
	}
}

// grant issues as many grants as the owner may issue: the sum of its own grants and all other work in the report stays
// within its shares.
func (m *leaseModel) grant(i int) {
	o := m.owners[i]
	now := m.clock(o.drift)
	usable := 0
	for share := range SharesPerResource {
		usable += o.lessee.Usable(now, o.observedAt, share)
	}
	used := len(o.own)
	for g := range o.reported {
		if !o.own[g] {
			used++
		}
	}
	for ; used < usable*modelPerShare; used++ {
		g := &modelGrant{requestedAt: m.elapsed, lifetime: m.timers.GrantLifetime, sentAt: never, endedAt: never}
		o.own[g] = true
		m.grants = append(m.grants, g)
		m.granted[i]++
	}
}

// registerGrants registers the grants in use with an owner.
func (m *leaseModel) registerGrants(i int) {
	for _, g := range m.grants {
		if g.sentAt < never && g.endedAt == never {
			m.owners[i].own[g] = true
		}
	}
}

func (m *leaseModel) advance(d time.Duration) {
	const step = 250 * time.Millisecond
	for end := m.elapsed + d; m.elapsed < end; {
		m.elapsed = min(m.elapsed+step, end)
		for _, lessor := range m.lessors {
			if !lessor.paused {
				lessor.lessor.RecordRunning(m.clock(lessor.drift))
			}
		}
	}
}

// deliver delivers one message and removes it. With lose it is not delivered; with keep it can be delivered again.
func (m *leaseModel) deliver(i int, lose, keep bool) {
	f := m.messages[i]
	if !keep {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	if !lose {
		f()
	}
}

func (m *leaseModel) check() {
	running := 0
	for _, g := range m.grants {
		if g.sentAt <= m.elapsed && m.elapsed < g.endedAt {
			running++
		}
	}
	if running > modelCapacity {
		m.t.Fatalf("%d grants run on a capacity of %d", running, modelCapacity)
	}
	for share := range SharesPerResource {
		holders := 0
		for _, o := range m.owners {
			holders += o.lessee.Held(m.clock(o.drift), share)
		}
		if holders > 1 {
			m.t.Fatalf("%d owners hold share %d", holders, share)
		}
	}
}

// Guards against two owners that hold the same share, or that together exceed an endpoint's capacity, because of delayed,
// repeated or lost messages, drifting clocks, or pauses and restarts of processes.
func TestSharesNeverExceedCapacity(t *testing.T) {
	granted, twoOwners := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t, ShareTimers())
		owner := rapid.IntRange(0, len(m.owners)-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.check() },
			"advance": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"renew": func(t *rapid.T) { // a renewal that usually succeeds, so that runs get beyond the first lease
				i := owner.Draw(t, "owner")
				from := len(m.messages)
				m.requestShares(i)
				for len(m.messages) > from {
					m.deliver(from, rapid.IntRange(0, 5).Draw(t, "fate") == 0, false)
				}
				m.observe(i)
				m.grant(i)
			},
			"handOver": func(t *rapid.T) { // an owner returns shares that it may have used just before, and another one leases them
				from := len(m.messages)
				m.grant(owner.Draw(t, "from"))
				m.release(owner.Draw(t, "from"))
				i := owner.Draw(t, "to")
				m.requestShares(i)
				for len(m.messages) > from {
					m.deliver(from, false, false)
				}
				m.observe(i)
				m.grant(i)
			},
			"settle": func(t *rapid.T) { // an owner renews alone until its shares are usable
				i := owner.Draw(t, "owner")
				for range 9 {
					from := len(m.messages)
					m.requestShares(i)
					for len(m.messages) > from {
						m.deliver(from, false, false)
					}
					m.observe(i)
					m.grant(i)
					m.check()
					m.advance(time.Second)
				}
			},
			"ask for shares": func(t *rapid.T) { m.requestShares(owner.Draw(t, "owner")) },
			"release":        func(t *rapid.T) { m.release(owner.Draw(t, "owner")) },
			"deliver": func(t *rapid.T) {
				if len(m.messages) == 0 {
					t.Skip("no message")
				}
				fate := rapid.IntRange(0, 9).Draw(t, "fate")
				m.deliver(rapid.IntRange(0, len(m.messages)-1).Draw(t, "message"), fate == 0, fate == 1)
			},
			"observe":  func(t *rapid.T) { m.observe(owner.Draw(t, "owner")) },
			"grant":    func(t *rapid.T) { m.grant(owner.Draw(t, "owner")) },
			"register": func(t *rapid.T) { m.registerGrants(owner.Draw(t, "owner")) },
			"send": func(t *rapid.T) {
				for _, g := range m.grants {
					if g.sentAt == never && m.elapsed-g.requestedAt < g.lifetime && rapid.Bool().Draw(t, "send") {
						g.sentAt = m.elapsed
					}
				}
			},
			"end": func(t *rapid.T) {
				for _, g := range m.grants {
					over := g.sentAt < never || m.elapsed-g.requestedAt >= g.lifetime
					if g.endedAt < never || !over || rapid.IntRange(0, 3).Draw(t, "end") == 0 {
						continue
					}
					g.endedAt = m.elapsed
					lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
					for _, o := range m.owners {
						if own := o.own; lost {
							m.messages = append(m.messages, func() { delete(own, g) })
						} else {
							delete(own, g)
						}
					}
				}
			},
			"restartOwner":  func(t *rapid.T) { m.restartOwner(owner.Draw(t, "owner")) },
			"restartLessor": func(t *rapid.T) { m.restartLessor(owner.Draw(t, "lessor")) },
			"pause":         func(t *rapid.T) { lessor := m.lessors[owner.Draw(t, "lessor")]; lessor.paused = !lessor.paused },
		})
		for _, grants := range m.granted {
			granted += grants
		}
		if len(m.granted) > 1 {
			twoOwners++
		}
	})
	if granted == 0 || twoOwners == 0 {
		t.Errorf("%d grants, %d runs with two owners: the model does not reach the states that it has to check", granted, twoOwners)
	}
	t.Logf("%d grants, %d runs in which more than one owner granted", granted, twoOwners)
}

// Guards against timers with which two owners could use the same share.
func TestTimersCheck(t *testing.T) {
	for _, timers := range []Timers{ShareTimers(), QuotaShareTimers(), CustomerLeaseTimers()} {
		if err := timers.Check(); err != nil {
			t.Error(err)
		}
	}
	for name, change := range map[string]func(*Timers){
		"lessor's lease too short":      func(t *Timers) { t.LenderLease -= time.Millisecond },
		"wait for new shares too short": func(t *Timers) { t.NewShareWait -= time.Millisecond },
		"no lease":                      func(t *Timers) { *t = Timers{} },
	} {
		timers := ShareTimers()
		change(&timers)
		if _, err := NewLessor[string](timers, time.Unix(0, 0)); err == nil {
			t.Errorf("%s: lessor accepted the timers", name)
		}
		if _, err := NewLessee[string](timers); err == nil {
			t.Errorf("%s: lessee accepted the timers", name)
		}
	}
}

// Guards against lessors that are not the first VMs in rendezvous order, and against shares without a lessor in small
// data centres.
func TestLessors(t *testing.T) {
	names := []string{"a/1", "a/2", "a/3", "a/4", "a/5"}
	for n := range len(names) + 1 {
		order := rendezvousOrder("e1", names[:n])
		got := Lessors("e1", names[:n])
		if n == 0 {
			if got != nil {
				t.Errorf("lessors without VMs: %v", got)
			}
			continue
		}
		for i, lessor := range got {
			if lessor != order[i%n] {
				t.Errorf("%d VMs: share %d has lessor %s, want %s", n, i, lessor, order[i%n])
			}
		}
	}
}

// Guards against a lessee that uses an answer after it confirmed a newer one or returned the lease. The lessor no longer
// counts such an answer.
func TestLesseeIgnoresLateAnswers(t *testing.T) {
	now := time.Unix(0, 0)
	l, err := NewLessor[string](QuotaShareTimers(), now, FirstStart())
	if err != nil {
		t.Fatal(err)
	}
	l.SetLeasableUnits(now, "r", 100, 0)
	lessee, err := NewLessee[string](QuotaShareTimers())
	if err != nil {
		t.Fatal(err)
	}
	id, other := LesseeID{"a", 1}, LesseeID{"b", 1}
	lease := func(want int) Lease[string] {
		granted, ok := l.Lease(now, id, lessee.Request(now, "r", want))
		if !ok {
			t.Fatalf("no lease of %d units", want)
		}
		return granted
	}
	late := lease(100)
	lessee.Apply(now, lease(40))
	if got := l.LeasedTo(now, "r", id); got != 100 {
		t.Errorf("the lessor counts %d units before the smaller answer is confirmed, want 100", got)
	}
	lessee.Apply(now, lease(40))
	if granted, ok := l.Lease(now, other, LeaseRequest[string]{Key: "r", Sequence: 1, Want: 100}); !ok || granted.Units != 60 {
		t.Errorf("the other lessee gets %d units after the confirmation, want 60", granted.Units)
	}
	lessee.Apply(now, late)
	if got := lessee.Held(now, "r"); got != 40 {
		t.Errorf("%d units after a late answer, want 40", got)
	}
	late = lease(40)
	sequence, _ := lessee.Release("r")
	l.Return(now, id, "r", sequence)
	lessee.Apply(now, late)
	if got := lessee.Held(now, "r"); got != 0 || l.LeasedTo(now, "r", id) != 0 {
		t.Errorf("%d units after a return and a late answer", got)
	}
}
