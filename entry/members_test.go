package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// gossip is a model of VMs that probe each other over links that a test cuts in one or both directions.
type gossip struct {
	now    time.Time
	views  []*Members
	places []Place
	cut    map[[2]int]bool // from, to
	down   map[int]bool
	most   int // updates in the largest message
}

func newGossip(n int) *gossip {
	g := &gossip{now: time.Unix(0, 0), cut: map[[2]int]bool{}, down: map[int]bool{}}
	for i := range n {
		g.places = append(g.places, Place{fmt.Sprintf("a/%03d", i), "a", fmt.Sprintf("127.0.0.1:%d", 1000+i)})
	}
	for i := range n {
		g.views = append(g.views, nil)
		g.restart(i, 1)
	}
	return g
}

func (g *gossip) restart(i int, incarnation uint64) {
	g.views[i] = NewMembers(g.places[i], incarnation, g.now, rand.New(rand.NewPCG(uint64(i), incarnation)))
	g.views[i].SetPlaces(g.now, g.places)
}

func (g *gossip) index(place string) int {
	for i, p := range g.places {
		if p.Name == place {
			return i
		}
	}
	return -1
}

// exchange is one probe with its answer.
func (g *gossip) exchange(from, to int) bool {
	if g.cut[[2]int{from, to}] || g.down[to] {
		return false
	}
	g.send(from, to)
	if g.cut[[2]int{to, from}] {
		return false
	}
	g.send(to, from)
	return true
}

func (g *gossip) send(from, to int) {
	updates := g.views[from].Updates(g.places[to].Name)
	g.most = max(g.most, len(updates))
	g.views[to].Apply(g.now, updates)
}

// second lets every VM probe one member, with indirect probes where it does not answer.
func (g *gossip) second() {
	g.now = g.now.Add(ProbeInterval)
	for i, v := range g.views {
		if g.down[i] {
			continue
		}
		v.Tick(g.now)
		m, ok := v.Target()
		if !ok {
			continue
		}
		to := g.index(m.place.Name)
		heard := g.exchange(i, to)
		for _, r := range v.Random(probeRelays, m.place.Name) {
			relay := g.index(r.place.Name)
			heard = heard || g.exchange(i, relay) && g.exchange(relay, to)
		}
		if !heard {
			v.Failed(g.now, m.place.Name)
		}
	}
}

// agree says whether every running VM believes that exactly the running VMs live.
func (g *gossip) agree() bool {
	for i, v := range g.views {
		for j, p := range g.places {
			if !g.down[i] && i != j && v.Live(p.Name) == g.down[j] {
				return false
			}
		}
	}
	return true
}

func (g *gossip) settle(t interface{ Fatalf(string, ...any) }, seconds int) {
	for range seconds {
		if g.agree() {
			return
		}
		g.second()
	}
	t.Fatalf("no agreement after %d s", seconds)
}

// Guards against knowledge that goes back to an older incarnation or state, messages that grow, members that stay dead after
// partitions have healed, and failures that are not noticed.
func TestMembersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 5
		g := newGossip(n)
		g.settle(t, 30)
		member := rapid.IntRange(0, n-1)
		incarnations := [n]uint64{1, 1, 1, 1, 1}
		seen := map[[2]int]Member{}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for i, v := range g.views {
					for j, p := range g.places {
						m, _ := v.Get(p.Name)
						if old := seen[[2]int{i, j}]; i != j && old.supersedes(m) {
							t.Fatalf("VM %d goes back from %+v to %+v", i, old, m)
						}
						seen[[2]int{i, j}] = m
					}
					if v.Superseded() {
						t.Fatalf("VM %d believes that it was replaced", i)
					}
				}
				if g.most > maxPiggyback+2 {
					t.Fatalf("a message with %d updates", g.most)
				}
			},
			"second": func(*rapid.T) { g.second() },
			"cut": func(t *rapid.T) {
				g.cut[[2]int{member.Draw(t, "from"), member.Draw(t, "to")}] = true
			},
			"heal": func(*rapid.T) { clear(g.cut) },
			"stop": func(t *rapid.T) { g.down[member.Draw(t, "member")] = true },
			"replace": func(t *rapid.T) {
				i := member.Draw(t, "member")
				if !g.down[i] {
					t.Skip("runs")
				}
				incarnations[i]++
				g.restart(i, incarnations[i])
				delete(g.down, i)
				for j := range n {
					delete(seen, [2]int{i, j})
				}
			},
			"resume": func(t *rapid.T) { delete(g.down, member.Draw(t, "member")) }, // after a pause
		})
		clear(g.cut)
		g.settle(t, 120)
	})
}

// Guards against a member that is declared dead without time to refute, although only one link is cut.
func TestMembersIndirectProbe(t *testing.T) {
	g := newGossip(4)
	g.settle(t, 30)
	g.cut[[2]int{0, 1}], g.cut[[2]int{1, 0}] = true, true
	for range 60 {
		g.second()
		for i, v := range g.views {
			for _, p := range g.places {
				if !v.Live(p.Name) {
					t.Fatalf("VM %d believes that %s is dead", i, p.Name)
				}
			}
		}
	}
}

// Guards against an old VM that goes on after a replacement took its place, and a leaving member that counts as live.
func TestMembersReplacedAndLeaving(t *testing.T) {
	g := newGossip(3)
	g.settle(t, 30)
	old := g.views[1]
	g.restart(1, 2)
	g.settle(t, 30)
	old.Apply(g.now, g.views[0].Updates(g.places[1].Name))
	for range 20 {
		g.second()
		old.Apply(g.now, g.views[0].Updates(""))
	}
	m, _ := g.views[0].Get(g.places[1].Name)
	old.Apply(g.now, []Member{m})
	if !old.Superseded() {
		t.Error("the earlier VM does not notice its replacement")
	}
	g.views[2].Leave(g.now)
	for range 10 {
		g.second()
	}
	if m, _ := g.views[0].Get(g.places[2].Name); g.views[0].Live(g.places[2].Name) || m.State() != StateLeaving {
		t.Errorf("leaving member: %v", m)
	}
}

// Guards against cost for a VM that rises with the size of the data centre, and news that does not reach everyone.
func TestMembersCostIsBounded(t *testing.T) {
	g := newGossip(60)
	for range 90 {
		g.second()
	}
	if !g.agree() {
		t.Fatal("no agreement")
	}
	g.down[7] = true
	for range 60 {
		g.second()
	}
	if !g.agree() {
		t.Error("the failure is not known everywhere after 60 s")
	}
	if g.most > maxPiggyback+2 {
		t.Errorf("a message with %d updates", g.most)
	}
}
