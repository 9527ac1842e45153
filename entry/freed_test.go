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

// freedWorld is a model of guardians that die, are freed by a record in the log and replaced, while every VM reads the log late
// and every message can take any time. Clocks drift.
type freedWorld struct {
	t       *rapid.T
	elapsed time.Duration // true time
	places  []string
	log     []freedRecord
	vms     map[string]*freedVM
	owners  []*freedOwner
	mail    []func()
	runs    uint64
}

type freedRecord struct {
	place       string
	incarnation uint64
	freed       bool
}

type freedOwner struct {
	id     BorrowerID
	shares *Borrower[shareKey]
	drift  float64
}

type freedVM struct {
	node  *Node
	drift float64
	dead  bool
}

func (w *freedWorld) clock(drift float64) time.Time {
	return time.Unix(0, 0).Add(w.elapsed + time.Duration(float64(w.elapsed)*drift))
}

func (w *freedWorld) drift() float64 { return float64(rapid.IntRange(-5, 5).Draw(w.t, "drift")) / 1000 }

// start starts a VM that is registered at once. The one before it at the place is dead.
func (w *freedWorld) start(place string) {
	w.runs++
	reclaims := slices.ContainsFunc(w.log, func(r freedRecord) bool { return r.place == place && r.freed })
	w.log = append(w.log, freedRecord{place: place, incarnation: w.runs})
	v := &freedVM{drift: w.drift()}
	now := w.clock(v.drift)
	mayLend := func() bool { return !reclaims || w.clock(v.drift).Sub(now) >= ReclaimWait }
	v.node = &Node{
		cfg: Config{Place: place, Incarnation: w.runs}, opts: options{mayLend: mayLend}, mayLend: mayLend(), local: w.places,
		specs: map[string]engine.Spec{"e": {}}, ranks: map[string][]string{}, acting: map[shareKey]bool{}, nextAsk: map[shareKey]time.Time{},
		members: NewMembers(Place{Name: place}, w.runs, now, rand.New(rand.NewPCG(1, 1))),
	}
	if err := v.node.newLeases(now); err != nil {
		w.t.Fatal(err)
	}
	v.node.guard(now, nil)
	w.vms[place] = v
}

// read makes a VM read the log; the answer arrives later.
func (w *freedWorld) read(v *freedVM) {
	asked, log := w.clock(v.drift), slices.Clone(w.log)
	w.mail = append(w.mail, func() {
		if v.dead || asked.Before(v.node.freedAsOf) {
			return
		}
		last := map[string]freedRecord{}
		for _, r := range log {
			if old := last[r.place]; r.incarnation > old.incarnation || r.incarnation == old.incarnation && r.freed {
				last[r.place] = r
			}
		}
		var freed []string
		for place, r := range last {
			if r.freed {
				freed = append(freed, place)
			}
		}
		v.node.setFreed(w.clock(v.drift), freed, asked)
	})
}

func (w *freedWorld) ask(o *freedOwner, lender *freedVM, share int) {
	a := o.shares.Ask(w.clock(o.drift), shareKey{endpointResource("e"), share}, 1)
	w.mail = append(w.mail, func() {
		if lender.dead {
			return
		}
		if loan, ok := lender.node.lend(w.clock(lender.drift), o.id, a); ok {
			w.mail = append(w.mail, func() { o.shares.Lent(w.clock(o.drift), loan) })
		}
	})
}

// check fails where two owners hold a share.
func (w *freedWorld) check() {
	for share := range Shares {
		var holders []string
		for _, o := range w.owners {
			if o.shares.Held(w.clock(o.drift), shareKey{endpointResource("e"), share}) > 0 {
				holders = append(holders, o.id.Place)
			}
		}
		if len(holders) > 1 {
			w.t.Fatalf("after %v: share %d is lent to %v", w.elapsed, share, holders)
		}
	}
}

// Guards against a share of a freed guardian that two VMs lend at a time: the one that acts for the guardian, another one that
// acts by a newer or older copy of the log, or the replacement.
func TestFreedShares(t *testing.T) {
	lent := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &freedWorld{t: t, vms: map[string]*freedVM{}}
		for i := range rapid.IntRange(2, 5).Draw(t, "places") {
			w.places = append(w.places, fmt.Sprint("a/", i))
		}
		for _, place := range w.places {
			w.start(place)
		}
		for i := range 3 {
			b, err := NewBorrower[shareKey](ShareTimers())
			if err != nil {
				t.Fatal(err)
			}
			w.owners = append(w.owners, &freedOwner{id: BorrowerID{fmt.Sprint("o", i), 1}, shares: b, drift: w.drift()})
		}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			place := rapid.SampledFrom(w.places).Draw(t, "place")
			v := w.vms[place]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				v.dead = true
			case 1:
				if r := (freedRecord{place, v.node.cfg.Incarnation, true}); v.dead && !slices.Contains(w.log, r) {
					w.log = append(w.log, r)
				}
			case 2:
				if v.dead {
					w.start(place)
				}
			case 3, 4, 5:
				for _, place := range w.places {
					if rapid.Bool().Draw(t, "reads") {
						w.read(w.vms[place])
					}
				}
			default:
				share := rapid.IntRange(0, Shares-1).Draw(t, "share")
				w.ask(rapid.SampledFrom(w.owners).Draw(t, "owner"), w.vms[rapid.SampledFrom(w.places).Draw(t, "lender")], share)
			}
			for range rapid.IntRange(0, 4).Draw(t, "deliveries") {
				if len(w.mail) > 0 {
					i := rapid.IntRange(0, len(w.mail)-1).Draw(t, "message")
					f := w.mail[i]
					w.mail = slices.Delete(w.mail, i, i+1)
					f()
				}
			}
			for range rapid.IntRange(0, 6).Draw(t, "ticks") {
				w.elapsed += 250 * time.Millisecond
				for _, v := range w.vms {
					if !v.dead {
						v.node.wakeLenders(w.clock(v.drift))
					}
				}
				w.check()
			}
			for _, v := range w.vms {
				for key := range v.node.acting {
					if v.node.acting[key] && v.node.lender.Lent(w.clock(v.drift), key) > 0 {
						lent++
					}
				}
			}
		}
	})
	if lent == 0 {
		t.Error("no share of a freed guardian was ever lent")
	}
}

// Guards against a share without a guardian, or with a freed one, while another place lives.
func TestActingGuardians(t *testing.T) {
	for _, c := range []struct {
		name        string
		order       []string
		freed, want []string
	}{
		{"none freed", []string{"a", "b", "c", "d"}, nil, []string{"a", "b", "c"}},
		{"spare places", []string{"a", "b", "c", "d", "e"}, []string{"a", "c"}, []string{"d", "b", "e"}},
		{"too few spare places", []string{"a", "b", "c", "d"}, []string{"a", "d"}, []string{"b", "b", "c"}},
		{"two places", []string{"a", "b"}, []string{"a"}, []string{"b", "b", "b"}},
		{"all freed", []string{"a", "b"}, []string{"a", "b"}, []string{"a", "b", "a"}},
	} {
		freed := map[string]bool{}
		for _, p := range c.freed {
			freed[p] = true
		}
		if diff := cmp.Diff(c.want, actingGuardians(c.order, freed)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
