package entry

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// quotaWorld is a model of two data centres. Each has three guardians, two VMs that both believe to own a customer, and two VMs
// that ask the owners in both data centres for parts.
type quotaWorld struct {
	t         *rapid.T
	now       time.Time
	guardians map[string][]*Lender[shareKey]
	owners    []*quotas // two of each data centre
	ids       []BorrowerID
	vms       []*quotas // two of each data centre
	vmIDs     []BorrowerID
	cut       bool // no message passes between the data centres
	mail      []func()
}

const quotaTotal = 100

var (
	modelQuota       = quotaKey{"team", quotaConcurrent}
	modelDataCentres = []string{"jm-a", "jm-b"}
)

// newQuotas returns the quotas of a VM that starts in the data centre of the i-th owner or VM.
func (w *quotaWorld) newQuotas(i int) *quotas {
	q, err := newQuotas(w.now, modelDataCentres[i/2])
	if err != nil {
		w.t.Fatal(err)
	}
	q.dataCentres, q.full = modelDataCentres, map[string]Quota{modelQuota.Customer: {Concurrent: quotaTotal}}
	for name, full := range q.full {
		q.contracts[name] = fixedPart(name, full, q.dataCentre, q.dataCentres)
	}
	q.places, q.placed = 2, true
	return q
}

func (w *quotaWorld) restart(i int) {
	w.owners[i] = w.newQuotas(i)
	w.ids[i] = BorrowerID{fmt.Sprint("owner", i), w.ids[i].Incarnation + 1}
}

func (w *quotaWorld) restartVM(i int) {
	w.vms[i] = w.newQuotas(i)
	w.vmIDs[i] = BorrowerID{fmt.Sprint("vm", i), w.vmIDs[i].Incarnation + 1}
}

// borrow sends an owner's requests for the shares of the customer.
func (w *quotaWorld) borrow(i int) {
	q, who := w.owners[i], w.ids[i]
	for share, g := range w.guardians[q.dataCentre] {
		ask := q.shares.Ask(w.now, shareKey{customerResource(modelQuota.Customer), share}, 1)
		w.mail = append(w.mail, func() {
			if loan, ok := g.Lend(w.now, who, ask); ok {
				w.mail = append(w.mail, func() { q.shares.Lent(w.now, loan) })
			}
		})
	}
}

func (w *quotaWorld) giveBack(i int) {
	for share, g := range w.guardians[w.owners[i].dataCentre] {
		key := shareKey{customerResource(modelQuota.Customer), share}
		if sequence, ok := w.owners[i].shares.Release(key); ok {
			who := w.ids[i]
			w.mail = append(w.mail, func() { g.Return(w.now, who, key, sequence) })
		}
	}
}

// ask sends a VM's requests for its parts to one of the owners of each data centre.
func (w *quotaWorld) ask(vm, owner int, need Need) {
	v, who := w.vms[vm], w.vmIDs[vm]
	all := v.asks(w.now, modelQuota.Customer, need, true)
	for d, dataCentre := range modelDataCentres {
		remote := dataCentre != v.dataCentre
		for _, a := range all[dataCentre] {
			w.mail = append(w.mail, func() {
				loan, ok := w.owners[2*d+owner%2].lend(w.now, who, remote, a)
				if ok && !(remote && w.cut) {
					w.mail = append(w.mail, func() {
						if !remote || !w.cut {
							v.lent(w.now, dataCentre, loan)
						}
					})
				}
			})
		}
	}
}

func (w *quotaWorld) drain(from int) {
	for len(w.mail) > from {
		f := w.mail[from]
		w.mail = slices.Delete(w.mail, from, from+1)
		f()
	}
}

func (w *quotaWorld) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(min(d, 250*time.Millisecond))
		for _, guardians := range w.guardians {
			for _, g := range guardians {
				g.Wake(w.now)
			}
		}
		for _, q := range w.owners {
			q.lender.Wake(w.now)
		}
	}
}

// inUse returns the units that the VMs may use together.
func (w *quotaWorld) inUse(vms ...*quotas) int {
	sum := 0
	for _, q := range vms {
		sum += q.held(w.now, modelQuota)
	}
	return sum
}

// Guards against parts of VMs in all data centres that together exceed the contract, with two owners in each, lost, late and
// doubled messages, partitions, restarts and changing demand.
func TestPartsNeverExceedQuota(t *testing.T) {
	full, changed, remote := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &quotaWorld{t: t, now: time.Unix(0, 0), guardians: map[string][]*Lender[shareKey]{},
			owners: make([]*quotas, 4), ids: make([]BorrowerID, 4), vms: make([]*quotas, 4), vmIDs: make([]BorrowerID, 4)}
		for i := range 2 * Shares {
			g, err := NewLender[shareKey](ShareTimers(), w.now)
			if err != nil {
				t.Fatal(err)
			}
			g.SetTotal(w.now, shareKey{customerResource(modelQuota.Customer), i / 2}, 1, 0)
			w.guardians[modelDataCentres[i%2]] = append(w.guardians[modelDataCentres[i%2]], g)
		}
		for i := range w.owners {
			w.restart(i)
			w.restartVM(i)
		}
		index, pick, units := rapid.IntRange(0, 3), rapid.IntRange(0, 1), rapid.SampledFrom([]int{0, 0, 10, 30, quotaTotal, 2 * quotaTotal})
		need := func(t *rapid.T) Need {
			return Need{Concurrent: units.Draw(t, "demand"), Running: units.Draw(t, "running") / 4}
		}
		used := map[int]bool{}
		check := func(t *rapid.T) int {
			n := w.inUse(w.vms...)
			if n > quotaTotal {
				t.Fatalf("VMs use %d units of %d", n, quotaTotal)
			}
			if w.inUse(w.vms[:2]...) > quotaTotal/2+quotaTotal/10 {
				remote++
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"":          func(t *rapid.T) { check(t) },
			"advance":   func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
			"borrow":    func(t *rapid.T) { w.borrow(index.Draw(t, "owner")) },
			"ask":       func(t *rapid.T) { w.ask(index.Draw(t, "vm"), pick.Draw(t, "owner"), need(t)) },
			"partition": func(t *rapid.T) { w.cut = !w.cut },
			"deliver": func(t *rapid.T) {
				if len(w.mail) == 0 {
					t.Skip("no message")
				}
				i, fate := rapid.IntRange(0, len(w.mail)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "fate")
				f := w.mail[i]
				if fate != 1 {
					w.mail = slices.Delete(w.mail, i, i+1)
				}
				if fate != 0 {
					f()
				}
			},
			"serve": func(t *rapid.T) { // one owner in each data centre borrows until its shares are usable, and the VMs ask it
				p := pick.Draw(t, "owner")
				w.cut = false
				for range 10 {
					from := len(w.mail)
					w.borrow(p)
					w.borrow(2 + p)
					w.drain(from)
					for v := range w.vms {
						w.ask(v, p, need(t))
						for range len(w.mail) - from {
							w.mail[from]()
							w.mail = slices.Delete(w.mail, from, from+1)
						}
						if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
							w.mail = w.mail[:from] // a VM that is to shrink does not hear of it
						}
						w.drain(from)
					}
					if check(t) > 9*quotaTotal/10 {
						full++
						used[p] = true
					}
					w.advance(700 * time.Millisecond)
				}
			},
			"change": func(t *rapid.T) { // the owner changes right after it lent
				i := index.Draw(t, "owner")
				from := len(w.mail)
				w.ask(index.Draw(t, "vm"), i, need(t))
				w.drain(from)
				w.giveBack(i)
				w.borrow(i ^ 1)
				w.drain(from)
			},
			"restartOwner": func(t *rapid.T) { w.restart(index.Draw(t, "owner")) },
			"restartVM": func(t *rapid.T) { // a paused VM that runs on is the worse case, so the old one is not cleared before its lease ends
				i := index.Draw(t, "vm")
				if v := w.vms[i]; w.inUse(v) == v.own(v.contracts[modelQuota.Customer].Concurrent) {
					w.restartVM(i)
				}
			},
		})
		if len(used) > 1 {
			changed++
		}
	})
	t.Logf("fully lent %d times, by two owners in %d runs, more than its own part in one data centre %d times", full, changed, remote)
	if full == 0 || changed == 0 || remote == 0 {
		t.Error("the model never reaches what it is to check")
	}
}

// Guards against data centres' parts that do not add up to the quota, and against an owner that gives a VM more than its
// fair part or leaves units unused.
func TestParts(t *testing.T) {
	dataCentres := []string{"jm-a", "jm-b", "jm-c"}
	q := Quota{TokensPerSecond: 1000, Burst: 5, Concurrent: 1}
	var sum Quota
	for _, d := range dataCentres {
		p := fixedPart("team", q, d, dataCentres)
		sum = Quota{sum.TokensPerSecond + p.TokensPerSecond, sum.Burst + p.Burst, sum.Concurrent + p.Concurrent}
	}
	if diff := cmp.Diff(q, sum); diff != "" {
		t.Error(diff)
	}
	now := time.Unix(0, 0)
	for _, tt := range []struct {
		name          string
		at            time.Duration
		total         int
		demands, want []int
		remote        int // the last ones are in other data centres
	}{
		{"alone", 0, 100, []int{0}, []int{100}, 0},
		{"all fit", 0, 100, []int{10, 30}, []int{40, 60}, 0},
		{"fair", 0, 100, []int{10, 80, 90}, []int{10, 45, 45}, 0},
		{"indivisible", 0, 2, []int{1, 1, 1}, []int{0, 1, 1}, 0},
		{"indivisible, next turn", demandTurn, 2, []int{1, 1, 1}, []int{1, 1, 0}, 0},
		{"one unit where it is needed", 0, 1, []int{0, 1, 0}, []int{0, 1, 0}, 0},
		{"nothing usable", 0, 0, []int{5, 5}, []int{0, 0}, 0},
		{"other data centre", 0, 100, []int{20, 50}, []int{50, 50}, 1},
		{"other data centre has to wait", 0, 100, []int{80, 100, 90}, []int{50, 50, 0}, 1},
		{"only other data centres", 0, 100, []int{20, 90}, []int{20, 80}, 2},
	} {
		d := demands{}
		now := now.Add(tt.at)
		for i, units := range tt.demands {
			d[BorrowerID{fmt.Sprint(i), 1}] = demandSeen{units, now, tt.remote > 0 && i >= len(tt.demands)-tt.remote}
		}
		var got []int
		for i := range tt.demands {
			got = append(got, d.target(now, tt.total, BorrowerID{fmt.Sprint(i), 1}))
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: %s", tt.name, diff)
		}
	}
}

// Guards against VMs that get no part or not their fair part, and against customers without any part while the owner changes.
func TestQuotaBetweenVMs(t *testing.T) { bubble(t, testQuotaBetweenVMs) }

func testQuotaBetweenVMs(t *testing.T) {
	f := newFleet(t, "jm-a/1", "jm-a/2")
	for i := range f.places {
		n := f.start(i, nil, WithFirstStart(), WithDemand(func(string) Need { return Need{TokensPerSecond: 600, Concurrent: 4} }))
		n.SetQuotas(map[string]Quota{"team": {TokensPerSecond: 900, Burst: 1800, Concurrent: 6}})
	}
	eventually(t, "both VMs have their fair part", func() bool {
		a, okA := f.nodes[0].Part("team")
		b, okB := f.nodes[1].Part("team")
		want := Part{TokensPerSecond: 450, Burst: 900, Concurrent: 3}
		a.Expires, b.Expires = time.Time{}, time.Time{}
		return okA && okB && a == want && b == want
	})
	if p, ok := f.nodes[0].Part("nobody"); ok {
		t.Errorf("part of an unknown customer: %+v", p)
	}
	owner, other := f.nodes[0], f.nodes[1]
	if rank(customerResource("team"), []string{"jm-a/1", "jm-a/2"})[0] == other.cfg.Place {
		owner, other = other, owner
	}
	owner.Close()
	time.Sleep(PartTimers().LenderLease)
	p, ok := other.Part("team")
	p.Expires = time.Time{}
	if want := (Part{TokensPerSecond: 112, Burst: 224, Concurrent: 1}); !ok || p != want {
		t.Errorf("part after the owner's end is %+v, want the reserve %+v", p, want)
	}
}

// Guards against a customer with fewer places than VMs whose place stays on a VM that does not need it.
func TestSmallQuotaMoves(t *testing.T) { bubble(t, testSmallQuotaMoves) }

func testSmallQuotaMoves(t *testing.T) {
	f := newFleet(t, "jm-a/1", "jm-a/2")
	var busy atomic.Int32 // index of the VM that has requests
	for i := range f.places {
		n := f.start(i, nil, WithFirstStart(), WithDemand(func(string) Need {
			if int(busy.Load()) == i {
				return Need{TokensPerSecond: 10, Concurrent: 1}
			}
			return Need{}
		}))
		n.SetQuotas(map[string]Quota{"team": {TokensPerSecond: 900, Burst: 1800, Concurrent: 1}})
	}
	for _, i := range []int{0, 1, 0} {
		busy.Store(int32(i))
		since := time.Now()
		eventually(t, fmt.Sprintf("VM %d has the place", i+1), func() bool {
			f.nodes[1-i].Part("team") // a VM that still shows interest and needs nothing
			p, ok := f.nodes[i].Part("team")
			return ok && p.Concurrent == 1 && p.TokensPerSecond > 0
		})
		t.Logf("VM %d has the place after %v", i+1, time.Since(since))
	}
}

// Guards against a customer that gets no more than one data centre's part while the others are idle, and against a data centre
// that is cut off and loses its own part or does not get a lent one back.
func TestQuotaBetweenDataCentres(t *testing.T) { bubble(t, testQuotaBetweenDataCentres) }

func testQuotaBetweenDataCentres(t *testing.T) {
	f := newFleet(t, "jm-a/1", "jm-a/2", "jm-b/1", "jm-b/2")
	var needs [4]atomic.Int32 // tokens a second by VM
	for i := range f.places {
		n := f.start(i, nil, WithFirstStart(), WithDemand(func(string) Need { return Need{TokensPerSecond: int(needs[i].Load())} }))
		n.SetQuotas(map[string]Quota{"team": {TokensPerSecond: 1600, Burst: 3200, Concurrent: 6}})
	}
	rates := func(vms ...int) int {
		sum := 0
		for _, i := range vms {
			p, _ := f.nodes[i].Part("team")
			sum += p.TokensPerSecond
		}
		return sum
	}
	needs[0].Store(2000)
	// Each of four places has a reserve of 100, and the VM in jm-a/2 shows no interest.
	eventually(t, "one VM has the whole contract but for the other places' reserves", func() bool { return rates(0) == 1300 })
	needs[2].Store(2000)
	eventually(t, "jm-b has its part again", func() bool { return rates(2) == 700 && rates(0) == 700 })
	needs[2].Store(0)
	eventually(t, "jm-b lends again", func() bool { return rates(0) > 1200 })
	f.setOff("jm-b/1", true)
	f.setOff("jm-b/2", true)
	eventually(t, "jm-a is back at its own part", func() bool { return rates(0) == 700 })
	f.setOff("jm-b/1", false)
	f.setOff("jm-b/2", false)
	eventually(t, "jm-b lends after the partition", func() bool { return rates(0) > 1200 })
}
