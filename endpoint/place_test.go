package endpoint_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
)

const model = "model"

var start = time.Unix(1_700_000_000, 0)

// testEngine reads a prompt of 5,000 tokens in about 30 ms and one of 150,000 in about 2.9 s.
func testEngine() *endpoint.Engine {
	return &endpoint.Engine{
		Slots: 16, Memory: 315_000, Step: 850 * time.Microsecond, StepPerSequence: 4 * time.Microsecond, StepPerContext: 3 * time.Microsecond,
		ReadRate: 177_000, PairTime: 184 * time.Microsecond, Chunk: 2048, Stride: 51,
	}
}

// newFleet returns a fleet of n model engines.
func newFleet(n int, opts ...endpoint.FleetOption) *endpoint.Fleet {
	f := endpoint.NewFleet(append([]endpoint.FleetOption{endpoint.WithRandom(func() float64 { return 0 })}, opts...)...)
	f.SetServices(map[string]*endpoint.Service{model: {Name: model, ColdPerSecond: 26, Engine: testEngine()}})
	for i := range n {
		f.Put(start, engineEntry(i), 0)
	}
	return f
}

func engineEntry(i int) endpoint.Entry {
	return endpoint.Entry{
		ID: fmt.Sprintf("e%02d", i), Service: model, Address: fmt.Sprintf("10.0.0.%d:80", i+1), DataCentre: fmt.Sprintf("dc%d", i%3), Slots: 16,
	}
}

var (
	shortPrompt = endpoint.Prompt{Tokens: 5_000, Output: 1_600, Aim: 300 * time.Millisecond, Pause: 250 * time.Millisecond}
	longPrompt  = endpoint.Prompt{Tokens: 150_000, Output: 800, Aim: 3 * time.Second, Pause: time.Second, Limit: 15 * time.Second}
)

func place(t *testing.T, f *endpoint.Fleet, now time.Time, p endpoint.Prompt, exclude ...string) *endpoint.Placement {
	t.Helper()
	placement, refusal := f.PlaceGeneration(now, model, p, exclude)
	if refusal != nil {
		t.Fatalf("PlaceGeneration: %v", refusal)
	}
	return placement
}

// engines returns the sorted IDs of all engines that read for the placement.
func engines(p *endpoint.Placement) []string {
	ids := []string{p.First().ID}
	for _, h := range p.Helpers() {
		ids = append(ids, h.ID)
	}
	slices.Sort(ids)
	return ids
}

// Pattern: a steady stream of short prompts. Guards against short prompts that spread over all engines, so that each long
// read disturbs some of their streams.
func TestShortPromptsGather(t *testing.T) {
	f := newFleet(21)
	used := map[string]int{}
	now := start
	for range 40 {
		p := place(t, f, now, shortPrompt)
		used[p.First().ID]++
		now = now.Add(100 * time.Millisecond)
		p.Begun()
	}
	if len(used) > 4 {
		t.Errorf("40 short streams run on %d engines; 16 fit on one", len(used))
	}
	for id, n := range used {
		if n >= 16 {
			t.Errorf("%s has %d streams; no place is left for what another VM sends at the same moment", id, n)
		}
	}
}

// Pattern: many short prompts at one moment. Guards against a pass that holds more reads than the callers' pause allows.
func TestShortPromptsAtOnceSpread(t *testing.T) {
	f := newFleet(21)
	used := map[string]int{}
	for range 30 {
		used[place(t, f, start, shortPrompt).First().ID]++
	}
	for id, n := range used {
		if read := time.Duration(n) * testEngine().ReadTime(5_000); read > 200*time.Millisecond {
			t.Errorf("%s reads for %v in one pass", id, read)
		}
	}
}

// Pattern: long prompts beside short streams. Guards against a long read on an engine whose streams it would pause for
// longer than their callers accept.
func TestLongPromptAvoidsShortStreams(t *testing.T) {
	f := newFleet(21)
	now := start
	short := map[string]bool{}
	for range 30 {
		p := place(t, f, now, shortPrompt)
		short[p.First().ID] = true
		now = now.Add(100 * time.Millisecond)
		p.Begun()
	}
	p := place(t, f, now, longPrompt)
	for _, id := range engines(p) {
		if short[id] {
			t.Errorf("the long prompt is read on %s, which writes short answers", id)
		}
	}
	if p.Expected() > longPrompt.Aim {
		t.Errorf("the first event is expected after %v", p.Expected())
	}
}

// Pattern: a long prompt while short streams fill the fleet. Guards against holding a request that cannot be in time, and
// against reading it where it pauses all short streams.
func TestHopelessPromptIsRefusedAtOnce(t *testing.T) {
	f := newFleet(4)
	now := start
	for range 36 {
		p := place(t, f, now, shortPrompt)
		now = now.Add(100 * time.Millisecond)
		p.Begun()
	}
	_, refusal := f.PlaceGeneration(now, model, longPrompt, nil)
	if refusal == nil || refusal.Verdict() != customer.NotRun || refusal.Reason() != customer.ReasonDeadline {
		t.Fatalf("refusal = %v, want a refusal that the prompt cannot be in time", refusal)
	}
	if got, most := refusal.RetryAfter(), longPrompt.Limit/3; got <= 0 || got > most {
		t.Errorf("Retry-After is %v, want up to %v, for which callers wait", got, most)
	}
}

// Pattern: engines with little memory that read fast. Guards against a prompt of several engines' memory that waits for a place
// on one engine, which never comes.
func TestShortReadOfSeveralEnginesMemory(t *testing.T) {
	f := newFleet(4)
	e := testEngine()
	e.Memory = 4_000
	f.SetServices(map[string]*endpoint.Service{model: {Name: model, Engine: e}})
	p := place(t, f, start, endpoint.Prompt{Tokens: 5_000, Output: 100, Aim: time.Second, Pause: time.Second, Waited: 400 * time.Millisecond, Limit: 10 * time.Second})
	if len(p.Helpers()) == 0 || p.Helpers()[0].Memory == 0 {
		t.Errorf("helpers = %+v, want one that stores a part", p.Helpers())
	}
}

// Guards against a placement without engines: all engines together have the memory, but not as many as may read one prompt.
func TestPromptBeyondTheMemoryOfItsEngines(t *testing.T) {
	f := newFleet(20)
	for i := range 20 {
		var others []string
		for k := range 20 {
			if k != i {
				others = append(others, engineEntry(k).ID)
			}
		}
		p := place(t, f, start, endpoint.Prompt{Tokens: 1_000, Output: 279_000, Aim: time.Second, Pause: time.Second}, others...)
		p.Begun()
	}
	huge := endpoint.Prompt{Tokens: 550_000, Output: 800, Aim: 3 * time.Second, Pause: time.Second, Limit: 15 * time.Second, Waited: 14 * time.Second}
	if _, refusal := f.PlaceGeneration(start, model, huge, nil); refusal == nil || refusal.Verdict() != customer.NotRun {
		t.Errorf("refusal = %v, want one that says that the prompt did not run", refusal)
	}
}

// Pattern: the largest of the short prompts on a busy fleet. Guards against refusing a prompt that is a little longer than one
// pass may read (23,840 tokens on the grown site, refused 20 times in trouble-3).
func TestLargestShortPromptIsServed(t *testing.T) {
	f := newFleet(4)
	now := start
	for range 36 {
		p := place(t, f, now, shortPrompt)
		now = now.Add(100 * time.Millisecond)
		p.Begun()
	}
	largest := shortPrompt
	largest.Tokens = 23_840
	largest.Limit = 10 * time.Second
	place(t, f, now, largest)
}

// Pattern: two long prompts at one moment. Guards against reads that meet on the same engines, where the second one waits
// for an unknown time, and against a longer prompt that goes before a shorter one.
func TestLongPromptsTakeTurns(t *testing.T) {
	f := newFleet(8)
	place(t, f, start, longPrompt)
	now := start.Add(10 * time.Millisecond)
	longer := longPrompt
	longer.Tokens = 160_000
	second := placeLater(t, f, now, longPrompt)
	third := placeLater(t, f, now, longer)
	now = start.Add(600 * time.Millisecond)
	longer.Waited, longer.Waiter = now.Sub(start), third
	if _, refusal := f.PlaceGeneration(now, model, longer, nil); refusal == nil {
		t.Error("the longer prompt goes first")
	}
	waited := longPrompt
	waited.Waited, waited.Waiter = now.Sub(start), second
	place(t, f, now, waited)
	second.Leave()
	now = now.Add(600 * time.Millisecond)
	longer.Waited = now.Sub(start)
	place(t, f, now, longer)
}

// Pattern: a steady load of long prompts with a few very long ones. Guards against very long prompts that are never read because
// shorter ones go first: shortly before its latest start, a prompt goes before a shorter one that has just come.
func TestVeryLongPromptsAreNotStarved(t *testing.T) {
	f := newFleet(8)
	veryLong, shorter := longPrompt, longPrompt
	veryLong.Tokens = 190_000
	veryLong.Waiter = f.NewWaiter(start, model, veryLong)
	for _, c := range []struct {
		at    time.Duration
		first bool // the very long prompt goes first
	}{{200 * time.Millisecond, false}, {1800 * time.Millisecond, true}} {
		now := start.Add(c.at)
		veryLong.Waited = c.at
		shorter.Waiter = f.NewWaiter(now, model, shorter)
		_, refusal := f.PlaceGeneration(now, model, veryLong, nil)
		if first := refusal == nil; first != c.first {
			t.Errorf("after %v: the very long prompt goes first: %v, want %v", c.at, first, c.first)
		}
		shorter.Waiter.Leave()
	}
}

// Pattern: one long prompt that waits while short streams take most engines. Guards against a prompt that counts itself among
// those that wait: it is then never read in longer parts, although nothing else needs the engines.
func TestWaitingPromptAloneIsRead(t *testing.T) {
	f := newFleet(8)
	place(t, f, start, longPrompt).Begun()
	now := start.Add(10 * time.Millisecond)
	short := endpoint.Work{Since: start, Writing: true, Pause: 250 * time.Millisecond}
	var loads []endpoint.Load
	for i := range 8 {
		loads = append(loads, endpoint.Load{Endpoint: endpoint.KeyOf(engineEntry(i).ID), Works: []endpoint.Work{short}})
	}
	f.MergeLoads(now, "peer", loads)
	prompt := longPrompt
	prompt.Tokens = 100_000 // reads for 1.5 s
	prompt.Waiter = f.NewWaiter(now, model, prompt)
	for i := range 2 {
		loads[i].Works = nil
	}
	now = start.Add(600 * time.Millisecond)
	f.MergeLoads(now, "peer", loads)
	prompt.Waited = now.Sub(start)
	p := place(t, f, now, prompt)
	if diff := cmp.Diff([]string{"e00", "e01"}, engines(p)); diff != "" {
		t.Errorf("engines (-want +got):\n%s", diff)
	}
}

// placeLater expects that the prompt waits, and enters it into the order.
func placeLater(t *testing.T, f *endpoint.Fleet, now time.Time, p endpoint.Prompt) *endpoint.Waiter {
	t.Helper()
	_, refusal := f.PlaceGeneration(now, model, p, nil)
	if refusal == nil || refusal.Reason() != customer.ReasonQueueFull {
		t.Fatalf("refusal = %v, want the prompt to wait", refusal)
	}
	return f.NewWaiter(now, model, p)
}

// Guards against VMs that each send their own longest waiting prompt first: a peer's shorter one goes before.
func TestWaitingPromptsOfPeers(t *testing.T) {
	a, b := newFleet(8), newFleet(8)
	first := place(t, a, start, longPrompt)
	b.MergeLoads(start, "vm-a", a.TakeLoads())
	longer := longPrompt
	longer.Tokens = 160_000
	own := placeLater(t, b, start, longer)
	placeLater(t, a, start, longPrompt)
	waits, changed := a.TakeWaits()
	if !changed || len(waits) != 1 {
		t.Fatalf("TakeWaits = %v, %v", waits, changed)
	}
	first.Begun()
	now := start.Add(600 * time.Millisecond)
	b.MergeWaits(now, "vm-a", waits)
	longer.Waited, longer.Waiter = now.Sub(start), own
	if _, refusal := b.PlaceGeneration(now, model, longer, nil); refusal == nil {
		t.Error("the longer prompt goes before the peer's")
	}
	later := now.Add(1300 * time.Millisecond)
	longer.Waited = later.Sub(start)
	place(t, b, later, longer) // the peer is silent, so its prompts no longer count
}

// Pattern: a prompt beyond one engine's memory. Guards against a request that an engine refuses for want of memory, and
// against memory that is counted twice.
func TestMemoryOfSeveralEngines(t *testing.T) {
	f := newFleet(17)
	huge := longPrompt
	huge.Tokens = 400_000
	p := place(t, f, start, huge)
	stored, ticketed := 0, true
	for _, h := range p.Helpers() {
		if h.Memory > 0 && !ticketed {
			t.Error("an engine that stores a part stands behind one that stores none")
		}
		ticketed = h.Memory > 0
		stored += h.Memory
	}
	if least := huge.Tokens + huge.Output - testEngine().Memory; stored < least {
		t.Errorf("other engines store %d tokens, at least %d are needed", stored, least)
	}
	p.Begun()
	loads := f.Loads()
	context := 0
	for _, l := range loads {
		for _, w := range l.Works {
			context += w.Context
		}
	}
	if diff := cmp.Diff(huge.Tokens+huge.Output, context); diff != "" {
		t.Error(diff)
	}
	p.End(start, endpoint.Good)
	if loads := f.Loads(); len(loads) > 0 {
		t.Errorf("after the end %v is left", loads)
	}
}

// Guards against a read that counts against an engine after it must have ended: nobody tells when a helper's part is done.
func TestHelpersPartEnds(t *testing.T) {
	f := newFleet(8)
	p := place(t, f, start, longPrompt)
	if len(p.Helpers()) == 0 {
		t.Fatal("the long prompt is not divided")
	}
	again := place(t, f, start.Add(1500*time.Millisecond), longPrompt)
	if again.Unread() > 0 {
		t.Errorf("%v unread on the first engine long after the parts ended", again.Unread())
	}
}

// Pattern: long prompts that follow each other on engines that also write. Guards against engines that count as free while they
// still read: each pass with a read also writes an event of every stream, and the differences add up over a chain of reads.
func TestPassesBetweenReads(t *testing.T) {
	const streams, reads, part = 4, 6, 300 * time.Millisecond
	f := newFleet(1)
	var works []endpoint.Work
	for range streams {
		works = append(works, endpoint.Work{Since: start, Context: 50_000, Writing: true, Pause: 600 * time.Millisecond})
	}
	pass := testEngine().PassTime(streams, streams*50_000)
	for i := range reads {
		works = append(works, endpoint.Work{Since: start.Add(time.Duration(i) * part), Read: part})
	}
	end := start.Add(reads * (pass + part))
	now := start.Add(reads * part)
	f.MergeLoads(now, "peer", []endpoint.Load{{Endpoint: endpoint.KeyOf("e00"), Works: works}})
	got := place(t, f, now, shortPrompt).Unread()
	if d := got - end.Sub(now); d < -pass/2 || d > pass/2 {
		t.Errorf("the engine counts as reading for %v more; its last read ends in %v", got, end.Sub(now))
	}
}

// Guards against a VM that stays blind to what its peers send, and against loads of a VM that is gone.
func TestPeerLoads(t *testing.T) {
	a, b := newFleet(2), newFleet(2)
	first := place(t, a, start, shortPrompt).First().ID
	for range 11 {
		place(t, a, start, shortPrompt, other(first)).Begun()
	}
	b.MergeLoads(start, "vm-a", a.TakeLoads())
	if got := place(t, b, start, shortPrompt).First().ID; got == first {
		t.Errorf("vm-b sends to %s, which is full of vm-a's streams", got)
	}
	later := start.Add(3 * time.Second)
	if got := place(t, b, later, shortPrompt).First().ID; got != first {
		t.Errorf("vm-b avoids %s although vm-a has been silent for 3 s", first)
	}
}

func other(id string) string {
	if id == "e00" {
		return "e01"
	}
	return "e00"
}

// Guards against requests to endpoints that leave, are taken out, or run under another start.
func TestUnusableEndpoints(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *endpoint.Fleet)
	}{
		{"draining", func(f *endpoint.Fleet) { e := engineEntry(0); e.Draining = true; f.Put(start, e, 0) }},
		{"removed", func(f *endpoint.Fleet) { f.Remove(start, "e00", false) }},
		{"data centre drained", func(f *endpoint.Fleet) { f.SetDrained(map[string]bool{"dc0": true}) }},
		{"draining and lapsed", func(f *endpoint.Fleet) {
			e := engineEntry(0)
			e.Draining = true
			f.Put(start, e, 0)
			f.Remove(start, "e00", true)
		}},
	} {
		f := newFleet(1)
		c.change(f)
		_, refusal := f.PlaceGeneration(start, model, shortPrompt, nil)
		if refusal == nil || refusal.Reason() != customer.ReasonNoEndpoint || refusal.RetryAfter() <= 0 {
			t.Errorf("%s: refusal = %v, want noEndpoint with a time to come back", c.name, refusal)
		}
	}
}

// Guards against losing all endpoints because their entries lapsed while the store was away.
func TestLapsedEntryStaysForAWhile(t *testing.T) {
	f := newFleet(1)
	f.Remove(start, "e00", true)
	place(t, f, start.Add(2*time.Second), shortPrompt)
	if _, refusal := f.PlaceGeneration(start.Add(3*time.Second), model, shortPrompt, nil); refusal == nil {
		t.Error("an entry that did not return is still used after 3 s")
	}
	f = newFleet(1)
	f.Remove(start, "e00", true)
	f.Put(start.Add(time.Second), engineEntry(0), 0)
	place(t, f, start.Add(time.Minute), shortPrompt)
}

// Guards against an endpoint that fails and is chosen again and again.
func TestFailingEngineIsPassedOver(t *testing.T) {
	f := newFleet(2)
	p := place(t, f, start, shortPrompt)
	bad := p.First().ID
	p.End(start, endpoint.Broken)
	if got := place(t, f, start, shortPrompt).First().ID; got == bad {
		t.Errorf("%s is chosen right after it broke", bad)
	}
	// After the pause a single request finds out whether it works again.
	now := start.Add(time.Second)
	probe := place(t, f, now, shortPrompt, other(bad))
	if _, refusal := f.PlaceGeneration(now, model, shortPrompt, []string{other(bad)}); refusal == nil {
		t.Error("a second request goes to an endpoint that is being probed")
	}
	probe.End(now, endpoint.Good)
	place(t, f, now, shortPrompt, other(bad))
}

// Pattern: engines leave while the store is out. Guards against long prompts that are refused again and again because one of
// their many helpers leaves (bmhc-tentline-grown, trouble-3: no long prompt was read for 4 s).
func TestRefusingHelperIsPassedOver(t *testing.T) {
	a, b := newFleet(21), newFleet(21)
	p := place(t, a, start, longPrompt)
	var leaving endpoint.Target
	for _, h := range p.Helpers() {
		leaving = h
	}
	p.ReportRefusal(start, leaving.Address)
	p.End(start, endpoint.Refused)
	b.MergeSuspects(a.Suspects(start))
	for name, f := range map[string]*endpoint.Fleet{"the VM": a, "its peer": b} {
		if again := place(t, f, start.Add(200*time.Millisecond), longPrompt); slices.Contains(engines(again), leaving.ID) {
			t.Errorf("%s asks %s again", name, leaving.ID)
		}
	}
}

// Pattern: a data centre is cut off. Guards against requests that try one of its endpoints after the other.
func TestUnreachableDataCentreIsPassedOver(t *testing.T) {
	f := newFleet(21)
	var others []string // engines of the other data centres
	for i := range 21 {
		if e := engineEntry(i); e.DataCentre != "dc0" {
			others = append(others, e.ID)
		}
	}
	tried := 0
	for now := start; ; now = now.Add(10 * time.Millisecond) {
		p, refusal := f.PlaceGeneration(now, model, shortPrompt, others)
		if refusal != nil {
			break
		}
		p.End(now, endpoint.Unreachable)
		tried++
	}
	if tried > 3 {
		t.Errorf("%d of 7 engines were tried in the data centre that is cut off", tried)
	}
	if _, refusal := f.PlaceGeneration(start.Add(time.Minute), model, shortPrompt, others); refusal == nil {
		t.Error("a caller's request finds out whether the data centre can be reached again")
	}
	place(t, f, start, shortPrompt)
	if f.Isolated() {
		t.Error("isolated although two data centres can be reached")
	}
	probes := f.Unreachable()
	if len(probes) != 1 {
		t.Fatalf("Unreachable = %v, want one endpoint to probe", probes)
	}
	f.SetDrained(map[string]bool{"dc1": true, "dc2": true})
	if !f.Isolated() {
		t.Error("not isolated although the other data centres are drained")
	}
	f.Reached(probes[0].ID)
	if f.Isolated() || len(f.Unreachable()) > 0 {
		t.Error("still cut off after a probe succeeded")
	}
}

// Guards against taking a data centre for cut off because endpoints there crashed (incident inc-8e93).
func TestCrashedEndpointsAreNoPartition(t *testing.T) {
	f := newFleet(21)
	for range 5 {
		place(t, f, start, shortPrompt).End(start, endpoint.Absent)
	}
	if probes := f.Unreachable(); len(probes) > 0 {
		t.Errorf("Unreachable = %v after connections that were refused", probes)
	}
}

// Pattern: short prompts while no engine has a free place. Guards against refusing them at once as if their aim were lost
// (incident inc-8e93, 24.5 s): places become free within milliseconds.
func TestShortPromptWaitsForAPlace(t *testing.T) {
	f := newFleet(1)
	var last *endpoint.Placement
	for range 16 {
		last = place(t, f, start, shortPrompt)
		last.Begun()
	}
	_, refusal := f.PlaceGeneration(start, model, shortPrompt, nil)
	if refusal == nil || refusal.Reason() != customer.ReasonQueueFull {
		t.Fatalf("refusal = %v, want the prompt to wait", refusal)
	}
	last.End(start, endpoint.Good)
	place(t, f, start, shortPrompt)
}

// Guards against a cold endpoint that gets more than it bears from all VMs together.
func TestColdBoundHoldsForAllVMs(t *testing.T) {
	for _, n := range []int{1, 3, 9, 59} {
		total := 0
		for rank := range n {
			f := newFleet(0, endpoint.WithColdBound(1.5, 5))
			f.SetVMs(rank, n)
			e := engineEntry(0)
			e.ColdRemaining = time.Minute
			f.Put(start, e, 0)
			for range 60 {
				p, refusal := f.PlaceGeneration(start, model, shortPrompt, nil)
				if refusal != nil {
					break
				}
				p.End(start, endpoint.Withdraw)
				total++
			}
		}
		if bound := int(26*1.5 + 5); total > bound || total == 0 {
			t.Errorf("%d VMs send %d requests in one second, the bound is %d", n, total, bound)
		}
	}
}

// Guards against calls that gather on one instance, or on one that fails.
func TestPlaceCall(t *testing.T) {
	f := endpoint.NewFleet(endpoint.WithRandom(func() float64 { return 0 }))
	f.SetServices(map[string]*endpoint.Service{"desk": {Name: "desk"}})
	for i := range 3 {
		f.Put(start, endpoint.Entry{ID: fmt.Sprint("d", i), Service: "desk", Address: "10.0.1.1:80", DataCentre: "dc0", Slots: 2}, 0)
	}
	used := map[string]int{}
	var all []*endpoint.Placement
	for range 6 {
		p, refusal := f.PlaceCall(start, "desk", nil)
		if refusal != nil {
			t.Fatal(refusal)
		}
		used[p.First().ID]++
		all = append(all, p)
	}
	if diff := cmp.Diff(map[string]int{"d0": 2, "d1": 2, "d2": 2}, used); diff != "" {
		t.Error(diff)
	}
	for _, p := range all {
		o := endpoint.Good
		if p.First().ID == "d0" {
			o = endpoint.Errored
		}
		p.End(start, o)
	}
	for range 4 {
		p, refusal := f.PlaceCall(start, "desk", nil)
		if refusal != nil {
			t.Fatal(refusal)
		}
		if p.First().ID == "d0" {
			t.Error("a call goes to the instance that fails")
		}
	}
}

// Guards against retries beyond the deployment's bound, summed over its VMs.
func TestRetryBudget(t *testing.T) {
	const vms, window = 9, 10 * time.Second
	total := 0
	for range vms {
		b := endpoint.NewRetryBudget(0.2, 100, window)
		b.SetVMs(vms)
		for range 10 {
			b.Request(start, "desk")
		}
		for b.Spend(start, "desk") {
			total++
		}
		if !b.Spend(start.Add(window+time.Second), "desk") {
			t.Error("the budget does not recover after the window")
		}
	}
	if bound := 0.2*vms*10 + 100; float64(total) > bound || total == 0 {
		t.Errorf("%d retries in one window, the bound is %v", total, bound)
	}
}

func BenchmarkPlaceShort(b *testing.B) {
	for _, n := range []int{21, 70} {
		b.Run(fmt.Sprint(n, " engines"), func(b *testing.B) {
			f := newFleet(n)
			f.MergeLoads(start, "vm", busyLoads(n))
			b.ReportAllocs()
			for b.Loop() {
				p, refusal := f.PlaceGeneration(start, model, shortPrompt, nil)
				if refusal != nil {
					b.Fatal(refusal)
				}
				p.End(start, endpoint.Good)
			}
		})
	}
}

func busyLoads(n int) []endpoint.Load {
	loads := make([]endpoint.Load, n)
	for i := range loads {
		loads[i].Endpoint = endpoint.KeyOf(engineEntry(i).ID)
		for range 5 {
			loads[i].Works = append(loads[i].Works, endpoint.Work{Since: start, Context: 6000, Writing: true, Pause: 250 * time.Millisecond})
		}
	}
	return loads
}
