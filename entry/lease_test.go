package entry

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// leaseWorld is a model of three guardians, three owners and one endpoint. Messages are delivered in any order, late, twice
// or never; guardians lend to whoever asks, as if membership were arbitrary; processes pause, restart and have clocks that
// drift; the endpoint reports with a lag.
type leaseWorld struct {
	t         *rapid.T
	timers    Timers
	start     time.Time
	elapsed   time.Duration // true time
	guardians []*modelGuardian
	owners    []*modelOwner
	mail      []func()
	grants    []*modelGrant
	granted   map[int]int // grants by owner
}

type modelGuardian struct {
	lender *Lender[int]
	drift  float64
	paused bool
	mail   []func() // arrived in a pause
}

type modelOwner struct {
	id       BorrowerID
	borrower *Borrower[int]
	drift    float64
	observed time.Time
	own      map[*modelGrant]bool
	reported map[*modelGrant]bool
}

type modelGrant struct {
	asked     time.Duration // when the holder asked, true time
	lifetime  time.Duration // by the holder's clock
	sent, end time.Duration // true time, or never
}

const (
	modelPerShare = 2
	modelCapacity = Shares * modelPerShare
	never         = time.Duration(1 << 62)
)

func newLeaseWorld(t *rapid.T, timers Timers) *leaseWorld {
	w := &leaseWorld{t: t, timers: timers, start: time.Unix(0, 0), granted: map[int]int{}}
	drift := rapid.IntRange(-5, 5) // thousandths
	for i := range Shares {
		g := &modelGuardian{drift: float64(drift.Draw(t, "drift")) / 1000}
		w.guardians = append(w.guardians, g)
		w.restartGuardian(i)
		w.owners = append(w.owners, &modelOwner{drift: float64(drift.Draw(t, "drift")) / 1000})
		w.restartOwner(i)
	}
	return w
}

func (w *leaseWorld) clock(drift float64) time.Time {
	return w.start.Add(w.elapsed + time.Duration(float64(w.elapsed)*drift))
}

func (w *leaseWorld) restartGuardian(i int) {
	g := w.guardians[i]
	now := w.clock(g.drift)
	var err error
	if g.lender, err = NewLender[int](w.timers, now); err != nil {
		w.t.Fatal(err)
	}
	g.lender.SetTotal(now, i, 1, 0)
	g.paused, g.mail = false, nil
}

func (w *leaseWorld) restartOwner(i int) {
	o := w.owners[i]
	var err error
	if o.borrower, err = NewBorrower[int](w.timers); err != nil {
		w.t.Fatal(err)
	}
	o.id = BorrowerID{string(rune('a' + i)), o.id.Incarnation + 1}
	o.observed = time.Time{}
	o.own, o.reported = map[*modelGrant]bool{}, map[*modelGrant]bool{}
}

// ask sends requests for all shares, as the control goroutine does on each renewal.
func (w *leaseWorld) ask(i int) {
	o := w.owners[i]
	for share, g := range w.guardians {
		ask := o.borrower.Ask(w.clock(o.drift), share, 1)
		who, b := o.id, o.borrower
		w.mail = append(w.mail, func() {
			if loan, ok := g.lender.Lend(w.clock(g.drift), who, ask); ok {
				w.mail = append(w.mail, func() { b.Lent(w.clock(o.drift), loan) })
			}
		})
	}
}

func (w *leaseWorld) release(i int) {
	o := w.owners[i]
	for share, g := range w.guardians {
		if sequence, ok := o.borrower.Release(share); ok {
			who := o.id
			w.mail = append(w.mail, func() { g.lender.Return(w.clock(g.drift), who, share, sequence) })
		}
	}
}

// observe gives an owner a report of the endpoint as it was up to the report lag ago.
func (w *leaseWorld) observe(i int) {
	o := w.owners[i]
	o.observed = w.clock(o.drift)
	at := w.elapsed - time.Duration(rapid.Int64Range(0, int64(w.timers.ReportLag)).Draw(w.t, "lag"))
	o.reported = map[*modelGrant]bool{}
	for _, g := range w.grants {
		if g.sent <= at && at < g.end {
			o.reported[g] = true
		}
	}
}

// grant issues as many grants as the owner may: its own grants and all other work in the report stay within its shares.
func (w *leaseWorld) grant(i int) {
	o := w.owners[i]
	now := w.clock(o.drift)
	usable := 0
	for share := range Shares {
		usable += o.borrower.Usable(now, o.observed, share)
	}
	used := len(o.own)
	for g := range o.reported {
		if !o.own[g] {
			used++
		}
	}
	for ; used < usable*modelPerShare; used++ {
		g := &modelGrant{asked: w.elapsed, lifetime: w.timers.GrantLifetime, sent: never, end: never}
		o.own[g] = true
		w.grants = append(w.grants, g)
		w.granted[i]++
	}
}

// register gives an owner the grants that holders use.
func (w *leaseWorld) register(i int) {
	for _, g := range w.grants {
		if g.sent < never && g.end == never {
			w.owners[i].own[g] = true
		}
	}
}

func (w *leaseWorld) advance(d time.Duration) {
	const step = 250 * time.Millisecond
	for end := w.elapsed + d; w.elapsed < end; {
		w.elapsed = min(w.elapsed+step, end)
		for _, g := range w.guardians {
			if !g.paused {
				g.lender.Wake(w.clock(g.drift))
			}
		}
	}
}

// deliver delivers, repeats or loses one message.
func (w *leaseWorld) deliver(i int, lose, keep bool) {
	f := w.mail[i]
	if !keep {
		w.mail = slices.Delete(w.mail, i, i+1)
	}
	if !lose {
		f()
	}
}

func (w *leaseWorld) check() {
	running := 0
	for _, g := range w.grants {
		if g.sent <= w.elapsed && w.elapsed < g.end {
			running++
		}
	}
	if running > modelCapacity {
		w.t.Fatalf("%d grants run on a capacity of %d", running, modelCapacity)
	}
	for share := range Shares {
		holders := 0
		for _, o := range w.owners {
			holders += o.borrower.Held(w.clock(o.drift), share)
		}
		if holders > 1 {
			w.t.Fatalf("%d owners hold share %d", holders, share)
		}
	}
}

// Guards against two owners that together exceed an endpoint's capacity, whatever happens to messages, clocks and processes.
func TestSharesNeverExceedCapacity(t *testing.T) {
	granted, twoOwners := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld(t, ShareTimers())
		owner := rapid.IntRange(0, len(w.owners)-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.check() },
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"renew": func(t *rapid.T) { // a round that works, so that runs get far
				i := owner.Draw(t, "owner")
				from := len(w.mail)
				w.ask(i)
				for len(w.mail) > from {
					w.deliver(from, rapid.IntRange(0, 5).Draw(t, "fate") == 0, false)
				}
				w.observe(i)
				w.grant(i)
			},
			"handOver": func(t *rapid.T) { // an owner gives back what it may just have used, and another one borrows it
				from := len(w.mail)
				w.grant(owner.Draw(t, "from"))
				w.release(owner.Draw(t, "from"))
				i := owner.Draw(t, "to")
				w.ask(i)
				for len(w.mail) > from {
					w.deliver(from, false, false)
				}
				w.observe(i)
				w.grant(i)
			},
			"settle": func(t *rapid.T) { // an owner renews alone until its shares are usable
				i := owner.Draw(t, "owner")
				for range 9 {
					from := len(w.mail)
					w.ask(i)
					for len(w.mail) > from {
						w.deliver(from, false, false)
					}
					w.observe(i)
					w.grant(i)
					w.check()
					w.advance(time.Second)
				}
			},
			"ask":     func(t *rapid.T) { w.ask(owner.Draw(t, "owner")) },
			"release": func(t *rapid.T) { w.release(owner.Draw(t, "owner")) },
			"deliver": func(t *rapid.T) {
				if len(w.mail) == 0 {
					t.Skip("no message")
				}
				fate := rapid.IntRange(0, 9).Draw(t, "fate")
				w.deliver(rapid.IntRange(0, len(w.mail)-1).Draw(t, "message"), fate == 0, fate == 1)
			},
			"observe":  func(t *rapid.T) { w.observe(owner.Draw(t, "owner")) },
			"grant":    func(t *rapid.T) { w.grant(owner.Draw(t, "owner")) },
			"register": func(t *rapid.T) { w.register(owner.Draw(t, "owner")) },
			"send": func(t *rapid.T) {
				for _, g := range w.grants {
					if g.sent == never && w.elapsed-g.asked < g.lifetime && rapid.Bool().Draw(t, "send") {
						g.sent = w.elapsed
					}
				}
			},
			"end": func(t *rapid.T) {
				for _, g := range w.grants {
					over := g.sent < never || w.elapsed-g.asked >= g.lifetime
					if g.end < never || !over || rapid.IntRange(0, 3).Draw(t, "end") == 0 {
						continue
					}
					g.end = w.elapsed
					lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
					for _, o := range w.owners {
						if own := o.own; lost {
							w.mail = append(w.mail, func() { delete(own, g) })
						} else {
							delete(own, g)
						}
					}
				}
			},
			"restartOwner":    func(t *rapid.T) { w.restartOwner(owner.Draw(t, "owner")) },
			"restartGuardian": func(t *rapid.T) { w.restartGuardian(owner.Draw(t, "guardian")) },
			"pause":           func(t *rapid.T) { g := w.guardians[owner.Draw(t, "guardian")]; g.paused = !g.paused },
		})
		for _, grants := range w.granted {
			granted += grants
		}
		if len(w.granted) > 1 {
			twoOwners++
		}
	})
	if granted == 0 || twoOwners == 0 {
		t.Errorf("%d grants, %d runs with two owners: the model never reaches what it is to check", granted, twoOwners)
	}
	t.Logf("%d grants, %d runs in which more than one owner granted", granted, twoOwners)
}

// Guards against timers that let two owners use one share.
func TestTimersCheck(t *testing.T) {
	for _, timers := range []Timers{ShareTimers(), PartTimers(), QuotaTimers()} {
		if err := timers.Check(); err != nil {
			t.Error(err)
		}
	}
	for name, change := range map[string]func(*Timers){
		"lender's lease too short":   func(t *Timers) { t.LenderLease -= time.Millisecond },
		"wait for a share too short": func(t *Timers) { t.NewShareWait -= time.Millisecond },
		"no lease":                   func(t *Timers) { *t = Timers{} },
	} {
		timers := ShareTimers()
		change(&timers)
		if _, err := NewLender[string](timers, time.Unix(0, 0)); err == nil {
			t.Errorf("%s: lender accepted", name)
		}
		if _, err := NewBorrower[string](timers); err == nil {
			t.Errorf("%s: borrower accepted", name)
		}
	}
}

// Guards against guardians that are not the first places, and against shares without a guardian in small data centres.
func TestGuardians(t *testing.T) {
	places := []string{"a/1", "a/2", "a/3", "a/4", "a/5"}
	for n := range len(places) + 1 {
		order := rank("e1", places[:n])
		got := Guardians("e1", places[:n])
		if n == 0 {
			if got != nil {
				t.Errorf("guardians without places: %v", got)
			}
			continue
		}
		for i, g := range got {
			if g != order[i%n] {
				t.Errorf("%d places: share %d has guardian %s, want %s", n, i, g, order[i%n])
			}
		}
	}
}

// Guards against an answer that is used although a newer one was confirmed or the lease was given back: the lender no longer
// counts it.
func TestBorrowerIgnoresLateAnswers(t *testing.T) {
	now := time.Unix(0, 0)
	l, err := NewLender[string](PartTimers(), now, FirstStart())
	if err != nil {
		t.Fatal(err)
	}
	l.SetTotal(now, "r", 100, 0)
	b, err := NewBorrower[string](PartTimers())
	if err != nil {
		t.Fatal(err)
	}
	me, other := BorrowerID{"a", 1}, BorrowerID{"b", 1}
	lend := func(want int) Loan[string] {
		loan, ok := l.Lend(now, me, b.Ask(now, "r", want))
		if !ok {
			t.Fatalf("not lent %d", want)
		}
		return loan
	}
	late := lend(100)
	b.Lent(now, lend(40))
	if got := l.LentTo(now, "r", me); got != 100 {
		t.Errorf("the lender counts %d units before the smaller answer is confirmed, want 100", got)
	}
	b.Lent(now, lend(40))
	if loan, ok := l.Lend(now, other, Ask[string]{Key: "r", Sequence: 1, Want: 100}); !ok || loan.Units != 60 {
		t.Errorf("the other borrower gets %d units after the confirmation, want 60", loan.Units)
	}
	b.Lent(now, late)
	if got := b.Held(now, "r"); got != 40 {
		t.Errorf("%d units after a late answer, want 40", got)
	}
	late = lend(40)
	sequence, _ := b.Release("r")
	l.Return(now, me, "r", sequence)
	b.Lent(now, late)
	if got := b.Held(now, "r"); got != 0 || l.LentTo(now, "r", me) != 0 {
		t.Errorf("%d units after a return and a late answer", got)
	}
}
