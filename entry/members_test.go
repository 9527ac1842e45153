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
	g := &membershipModel{now: time.Unix(0, 0), blocked: map[[2]int]bool{}, stopped: map[int]bool{}}
	for i := range n {
		g.vms = append(g.vms, VM{fmt.Sprintf("a/%03d", i), "a", fmt.Sprintf("127.0.0.1:%d", 1000+i)})
	}
	for i := range n {
		g.views = append(g.views, nil)
		g.restart(i, 1)
	}
	return g
}

func (g *membershipModel) restart(i int, incarnation uint64) {
	g.views[i] = NewMembers(g.vms[i], incarnation, g.now, rand.New(rand.NewPCG(uint64(i), incarnation)))
	g.views[i].SetVMs(g.now, g.vms)
}

func (g *membershipModel) index(name string) int {
	for i, vm := range g.vms {
		if vm.Name == name {
			return i
		}
	}
	return -1
}

// exchange performs one probe with its answer. It reports whether the answer arrived.
func (g *membershipModel) exchange(from, to int) bool {
	if g.blocked[[2]int{from, to}] || g.stopped[to] {
		return false
	}
	g.send(from, to)
	if g.blocked[[2]int{to, from}] {
		return false
	}
	g.send(to, from)
	return true
}

func (g *membershipModel) send(from, to int) {
	updates := g.views[from].Updates(g.vms[to].Name)
	g.maxUpdates = max(g.maxUpdates, len(updates))
	g.views[to].ApplyUpdates(g.now, updates)
}

// probeRound lets every VM probe one member, with indirect probes if it does not answer.
func (g *membershipModel) probeRound() {
	g.now = g.now.Add(ProbeInterval)
	for i, v := range g.views {
		if g.stopped[i] {
			continue
		}
		v.Tick(g.now)
		m, ok := v.NextProbeTarget()
		if !ok {
			continue
		}
		to := g.index(m.vm.Name)
		answered := g.exchange(i, to)
		for _, r := range v.RandomAlive(probeRelays, m.vm.Name) {
			relay := g.index(r.vm.Name)
			answered = answered || g.exchange(i, relay) && g.exchange(relay, to)
		}
		if !answered {
			v.ProbeFailed(g.now, m.vm.Name)
		}
	}
}

// converged reports whether every running VM believes that exactly the running VMs are live.
func (g *membershipModel) converged() bool {
	for i, v := range g.views {
		for j, vm := range g.vms {
			if !g.stopped[i] && i != j && v.Live(vm.Name) == g.stopped[j] {
				return false
			}
		}
	}
	return true
}

func (g *membershipModel) converge(t interface{ Fatalf(string, ...any) }, seconds int) {
	for range seconds {
		if g.converged() {
			return
		}
		g.probeRound()
	}
	t.Fatalf("the views did not converge within %d s", seconds)
}

// Guards against a view that goes back to an older incarnation or state, messages of unbounded size, members that stay
// dead after a partition has healed, and failures that are not detected.
func TestMembersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 5
		g := newMembershipModel(n)
		g.converge(t, 30)
		member := rapid.IntRange(0, n-1)
		incarnations := [n]uint64{1, 1, 1, 1, 1}
		seen := map[[2]int]Member{}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for i, v := range g.views {
					for j, vm := range g.vms {
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
				if g.maxUpdates > maxPiggyback+2 {
					t.Fatalf("a message with %d updates", g.maxUpdates)
				}
			},
			"round": func(*rapid.T) { g.probeRound() },
			"block": func(t *rapid.T) {
				g.blocked[[2]int{member.Draw(t, "from"), member.Draw(t, "to")}] = true
			},
			"heal": func(*rapid.T) { clear(g.blocked) },
			"stop": func(t *rapid.T) { g.stopped[member.Draw(t, "member")] = true },
			"replace": func(t *rapid.T) {
				i := member.Draw(t, "member")
				if !g.stopped[i] {
					t.Skip("runs")
				}
				incarnations[i]++
				g.restart(i, incarnations[i])
				delete(g.stopped, i)
				for j := range n {
					delete(seen, [2]int{i, j})
				}
			},
			"resume": func(t *rapid.T) { delete(g.stopped, member.Draw(t, "member")) }, // after a pause
		})
		clear(g.blocked)
		g.converge(t, 120)
	})
}

// Guards against a member that is declared dead although only the link to one other member is blocked.
func TestMembersIndirectProbe(t *testing.T) {
	g := newMembershipModel(4)
	g.converge(t, 30)
	g.blocked[[2]int{0, 1}], g.blocked[[2]int{1, 0}] = true, true
	for range 60 {
		g.probeRound()
		for i, v := range g.views {
			for _, vm := range g.vms {
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
	g := newMembershipModel(3)
	g.converge(t, 30)
	old := g.views[1]
	g.restart(1, 2)
	g.converge(t, 30)
	old.ApplyUpdates(g.now, g.views[0].Updates(g.vms[1].Name))
	for range 20 {
		g.probeRound()
		old.ApplyUpdates(g.now, g.views[0].Updates(""))
	}
	m, _ := g.views[0].Get(g.vms[1].Name)
	old.ApplyUpdates(g.now, []Member{m})
	if !old.Superseded() {
		t.Error("the earlier VM does not detect its replacement")
	}
	g.views[2].Leave(g.now)
	for range 10 {
		g.probeRound()
	}
	if m, _ := g.views[0].Get(g.vms[2].Name); g.views[0].Live(g.vms[2].Name) || m.State() != StateLeaving {
		t.Errorf("leaving member: %v", m)
	}
}

// Guards against messages that grow with the number of VMs in the data centre, and against updates that do not reach every
// member.
func TestMessageSizeIsBounded(t *testing.T) {
	g := newMembershipModel(60)
	for range 90 {
		g.probeRound()
	}
	if !g.converged() {
		t.Fatal("the views did not converge")
	}
	g.stopped[7] = true
	for range 60 {
		g.probeRound()
	}
	if !g.converged() {
		t.Error("the failure is not known everywhere after 60 s")
	}
	if g.maxUpdates > maxPiggyback+2 {
		t.Errorf("a message with %d updates", g.maxUpdates)
	}
}
