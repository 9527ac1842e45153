package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// membershipModel is a model of VMs that probe each other. Tests can block each link in one or both directions.
type membershipModel struct {
	now        time.Time
	views      []*Members
	vms        []VM
	blocked    map[[2]int]bool // from, to
	stopped    map[int]bool
	maxUpdates int // updates in the largest message
}

func newMembershipModel(n int) *membershipModel {
	m := &membershipModel{now: time.Unix(0, 0), blocked: map[[2]int]bool{}, stopped: map[int]bool{}}
	for i := range n {
		m.vms = append(m.vms, VM{fmt.Sprintf("a/%03d", i), "a", fmt.Sprintf("127.0.0.1:%d", 1000+i)})
	}
	for i := range n {
		m.views = append(m.views, nil)
		m.restart(i, 1)
	}
	return m
}

func (m *membershipModel) restart(i int, incarnation uint64) {
	m.views[i] = NewMembers(m.vms[i], incarnation, m.now, rand.New(rand.NewPCG(uint64(i), incarnation)))
	m.views[i].SetVMs(m.now, m.vms)
}

func (m *membershipModel) index(name string) int {
	for i, vm := range m.vms {
		if vm.Name == name {
			return i
		}
	}
	return -1
}

// exchange performs one probe with its answer. It reports whether the answer arrived.
func (m *membershipModel) exchange(from, to int) bool {
	if m.blocked[[2]int{from, to}] || m.stopped[to] {
		return false
	}
	m.send(from, to)
	if m.blocked[[2]int{to, from}] {
		return false
	}
	m.send(to, from)
	return true
}

func (m *membershipModel) send(from, to int) {
	updates := m.views[from].Updates(m.vms[to].Name)
	m.maxUpdates = max(m.maxUpdates, len(updates))
	m.views[to].ApplyUpdates(m.now, updates)
}

// probeRound lets every VM probe one member, with indirect probes if it does not answer.
func (m *membershipModel) probeRound() {
	m.now = m.now.Add(ProbeInterval)
	for i, v := range m.views {
		if m.stopped[i] {
			continue
		}
		v.Tick(m.now)
		target, ok := v.NextProbeTarget()
		if !ok {
			continue
		}
		to := m.index(target.vm.Name)
		answered := m.exchange(i, to)
		for _, r := range v.RandomAlive(probeRelays, target.vm.Name) {
			relay := m.index(r.vm.Name)
			answered = answered || m.exchange(i, relay) && m.exchange(relay, to)
		}
		if !answered {
			v.ProbeFailed(m.now, target.vm.Name)
		}
	}
}

// converged reports whether every running VM believes that exactly the running VMs are live.
func (m *membershipModel) converged() bool {
	for i, v := range m.views {
		for j, vm := range m.vms {
			if !m.stopped[i] && i != j && v.Live(vm.Name) == m.stopped[j] {
				return false
			}
		}
	}
	return true
}

func (m *membershipModel) converge(t interface{ Fatalf(string, ...any) }, seconds int) {
	for range seconds {
		if m.converged() {
			return
		}
		m.probeRound()
	}
	t.Fatalf("the views did not converge within %d s", seconds)
}

// Guards against a view that goes back to an older incarnation or state, messages of unbounded size, members that stay
// dead after a partition has healed, and failures that are not detected.
func TestMembersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 5
		m := newMembershipModel(n)
		m.converge(t, 30)
		member := rapid.IntRange(0, n-1)
		incarnations := [n]uint64{1, 1, 1, 1, 1}
		seen := map[[2]int]Member{}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for i, v := range m.views {
					for j, vm := range m.vms {
						m, _ := v.Get(vm.Name)
						if old := seen[[2]int{i, j}]; i != j && old.supersedes(m) {
							t.Fatalf("VM %d goes back from %+v to %+v", i, old, m)
						}
						seen[[2]int{i, j}] = m
					}
					if v.Superseded() {
						t.Fatalf("VM %d considers itself superseded", i)
					}
				}
				if m.maxUpdates > maxPiggyback+2 {
					t.Fatalf("a message with %d updates", m.maxUpdates)
				}
			},
			"round": func(*rapid.T) { m.probeRound() },
			"block": func(t *rapid.T) {
				m.blocked[[2]int{member.Draw(t, "from"), member.Draw(t, "to")}] = true
			},
			"heal": func(*rapid.T) { clear(m.blocked) },
			"stop": func(t *rapid.T) { m.stopped[member.Draw(t, "member")] = true },
			"replace": func(t *rapid.T) {
				i := member.Draw(t, "member")
				if !m.stopped[i] {
					t.Skip("runs")
				}
				incarnations[i]++
				m.restart(i, incarnations[i])
				delete(m.stopped, i)
				for j := range n {
					delete(seen, [2]int{i, j})
				}
			},
			"resume": func(t *rapid.T) { delete(m.stopped, member.Draw(t, "member")) }, // after a pause
		})
		clear(m.blocked)
		m.converge(t, 120)
	})
}

// Guards against a member that is declared dead although only the link to one other member is blocked.
func TestMembersIndirectProbe(t *testing.T) {
	m := newMembershipModel(4)
	m.converge(t, 30)
	m.blocked[[2]int{0, 1}], m.blocked[[2]int{1, 0}] = true, true
	for range 60 {
		m.probeRound()
		for i, v := range m.views {
			for _, vm := range m.vms {
				if !v.Live(vm.Name) {
					t.Fatalf("VM %d does not consider %s live", i, vm.Name)
				}
			}
		}
	}
}

// Guards against a VM that does not learn of the replacement that uses its name, and against a leaving member that counts
// as live.
func TestMembersReplacedAndLeaving(t *testing.T) {
	m := newMembershipModel(3)
	m.converge(t, 30)
	old := m.views[1]
	m.restart(1, 2)
	m.converge(t, 30)
	old.ApplyUpdates(m.now, m.views[0].Updates(m.vms[1].Name))
	for range 20 {
		m.probeRound()
		old.ApplyUpdates(m.now, m.views[0].Updates(""))
	}
	member, _ := m.views[0].Get(m.vms[1].Name)
	old.ApplyUpdates(m.now, []Member{member})
	if !old.Superseded() {
		t.Error("the earlier VM does not detect its replacement")
	}
	m.views[2].Leave(m.now)
	for range 10 {
		m.probeRound()
	}
	if member, _ := m.views[0].Get(m.vms[2].Name); m.views[0].Live(m.vms[2].Name) || member.State() != StateLeaving {
		t.Errorf("leaving member: %v", member)
	}
}

// Guards against messages that grow with the number of VMs in the data centre, and against updates that do not reach every
// member.
func TestMessageSizeIsBounded(t *testing.T) {
	m := newMembershipModel(60)
	for range 90 {
		m.probeRound()
	}
	if !m.converged() {
		t.Fatal("the views did not converge")
	}
	m.stopped[7] = true
	for range 60 {
		m.probeRound()
	}
	if !m.converged() {
		t.Error("the failure is not known everywhere after 60 s")
	}
	if m.maxUpdates > maxPiggyback+2 {
		t.Errorf("a message with %d updates", m.maxUpdates)
	}
}
