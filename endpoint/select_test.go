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

// testEngine returns an engine that prefills a prompt of 5,000 tokens in about 30 ms and one of 150,000 in about 2.9 s.
func testEngine() *endpoint.Engine {
	return &endpoint.Engine{
		Slots: 16, KVTokens: 315_000, IterationTime: 850 * time.Microsecond, IterationPerSequence: 4 * time.Microsecond, IterationPerContext: 3 * time.Microsecond,
		PrefillRate: 177_000, PairTime: 184 * time.Microsecond, ChunkTokens: 2048, IterationsPerStep: 51,
	}
}

// newFleet returns a fleet of n model engines.
func newFleet(n int, opts ...endpoint.FleetOption) *endpoint.Fleet {
	f := endpoint.NewFleet(append([]endpoint.FleetOption{endpoint.WithRandom(func() float64 { return 0 })}, opts...)...)
	f.SetServices(map[string]*endpoint.Service{model: {Name: model, ColdRateLimit: 26, Engine: testEngine()}})
	for i := range n {
		f.SetEntry(start, engineEntry(i), 0)
	}
	return f
}

// engineEntry returns the entry of the i-th engine. The engines are spread over three data centres.
func engineEntry(i int) endpoint.Entry {
	return endpoint.Entry{
		ID: fmt.Sprintf("e%02d", i), Service: model, Address: fmt.Sprintf("10.0.0.%d:80", i+1), DataCentre: fmt.Sprintf("dc%d", i%3), Slots: 16,
	}
}

var (
	shortPrompt = endpoint.Prompt{Tokens: 5_000, MaxOutput: 1_600, TTFTTarget: 300 * time.Millisecond, GapLimit: 250 * time.Millisecond}
	longPrompt  = endpoint.Prompt{Tokens: 150_000, MaxOutput: 800, TTFTTarget: 3 * time.Second, GapLimit: time.Second, TimeLimit: 15 * time.Second}
)

// mustSelect selects engines for a prompt and fails the test if the prompt is refused.
func mustSelect(t *testing.T, f *endpoint.Fleet, now time.Time, p endpoint.Prompt, exclude ...string) *endpoint.Selection {
	t.Helper()
	selection, refusal := f.SelectForGeneration(now, model, p, exclude)
	if refusal != nil {
		t.Fatalf("SelectForGeneration: %v", refusal)
	}
	return selection
}

// selectedEngines returns the sorted IDs of all engines that prefill a segment of the prompt.
func selectedEngines(sel *endpoint.Selection) []string {
	ids := []string{sel.First().ID}
	for _, h := range sel.Helpers() {
		ids = append(ids, h.ID)
	}
	slices.Sort(ids)
	return ids
}

// TestShortPromptsShareEngines guards against a steady stream of short prompts spreading over all engines, so that every long
// prefill disturbs some of their streams.
func TestShortPromptsShareEngines(t *testing.T) {
	f := newFleet(21)
	used := map[string]int{}
	now := start
	for range 40 {
		sel := mustSelect(t, f, now, shortPrompt)
		used[sel.First().ID]++
		now = now.Add(100 * time.Millisecond)
		sel.PrefillDone()
	}
	if len(used) > 4 {
		t.Errorf("40 short streams run on %d engines; 16 fit on one", len(used))
	}
	for id, n := range used {
		if n >= 16 {
			t.Errorf("%s has %d streams; no slot is left for requests that another VM sends at the same moment", id, n)
		}
	}
}

// TestShortStreamsLeaveEnginesToALongPrompt guards against short streams that occupy more engines than their batch slots require, so that a
// burst of short prompts leaves too few engines without them and the longest prompts wait in vain.
func TestShortStreamsLeaveEnginesToALongPrompt(t *testing.T) {
	const slots, streams, engines = 16, 75, 22 // 75 streams fit on 5 engines with a slot to spare, which leaves 17
	f := newFleet(engines, endpoint.WithSpareSlots(1))
	now := start
	for range streams {
		mustSelect(t, f, now, shortPrompt).PrefillDone()
		now = now.Add(100 * time.Millisecond)
	}
	used := map[string]int{}
	for _, l := range f.Loads() {
		for i := range engines {
			if id := engineEntry(i).ID; endpoint.KeyOf(id) == l.Endpoint {
				used[id] = len(l.Requests)
			}
		}
	}
	if want := (streams + slots - 2) / (slots - 1); len(used) > want {
		t.Errorf("%d short streams run on %d engines, want at most %d: %v", streams, len(used), want, used)
	}
	sel := mustSelect(t, f, now, endpoint.Prompt{Tokens: 300_000, MaxOutput: 900, TTFTTarget: 4 * time.Second, GapLimit: time.Second})
	for _, id := range selectedEngines(sel) {
		if used[id] > 0 {
			t.Errorf("the long prompt is prefilled on %s, which generates short answers", id)
		}
	}
}

// TestSimultaneousShortPromptsSpread guards against many simultaneous short prompts in one step, whose prefills exceed the token
// gap that the callers accept.
func TestSimultaneousShortPromptsSpread(t *testing.T) {
	f := newFleet(21)
	used := map[string]int{}
	for range 30 {
		used[mustSelect(t, f, start, shortPrompt).First().ID]++
	}
	for id, n := range used {
		if prefill := time.Duration(n) * testEngine().PrefillTime(5_000); prefill > 200*time.Millisecond {
			t.Errorf("%s prefills for %v in one step", id, prefill)
		}
	}
}

// TestLongPromptAvoidsShortStreams guards against the prefill of a long prompt on engines that run streams of short prompts. These
// streams would pause for longer than their callers accept.
func TestLongPromptAvoidsShortStreams(t *testing.T) {
	f := newFleet(21)
	now := start
	short := map[string]bool{}
	for range 30 {
		sel := mustSelect(t, f, now, shortPrompt)
		short[sel.First().ID] = true
		now = now.Add(100 * time.Millisecond)
		sel.PrefillDone()
	}
	sel := mustSelect(t, f, now, longPrompt)
	for _, id := range selectedEngines(sel) {
		if short[id] {
			t.Errorf("the long prompt is prefilled on %s, which generates short answers", id)
		}
	}
	if sel.ExpectedTTFT() > longPrompt.TTFTTarget {
		t.Errorf("the first event is expected after %v", sel.ExpectedTTFT())
	}
}

// TestInfeasiblePromptIsRefusedAtOnce guards against queueing a long prompt that cannot meet its target because streams with short
// token gaps run on all engines, and against prefilling it where it pauses all these streams.
func TestInfeasiblePromptIsRefusedAtOnce(t *testing.T) {
	f := newFleet(4)
	now := start
	for range 36 {
		sel := mustSelect(t, f, now, shortPrompt)
		now = now.Add(100 * time.Millisecond)
		sel.PrefillDone()
	}
	_, refusal := f.SelectForGeneration(now, model, longPrompt, nil)
	if refusal == nil || refusal.Verdict() != customer.NotRun || refusal.Reason() != customer.ReasonDeadline {
		t.Fatalf("refusal = %v, want a refusal because the prompt cannot meet its target", refusal)
	}
	if got, most := refusal.RetryAfter(), longPrompt.TimeLimit/3; got <= 0 || got > most {
		t.Errorf("Retry-After is %v, want up to %v, because callers wait no longer", got, most)
	}
}

// TestShortPrefillNeedsMemoryOfSeveralEngines guards against a prompt that waits forever for a slot on one engine although it
// needs the memory of several. This happens with engines that have little memory and prefill fast.
func TestShortPrefillNeedsMemoryOfSeveralEngines(t *testing.T) {
	f := newFleet(4)
	e := testEngine()
	e.KVTokens = 4_000
	f.SetServices(map[string]*endpoint.Service{model: {Name: model, Engine: e}})
	sel := mustSelect(t, f, start, endpoint.Prompt{Tokens: 5_000, MaxOutput: 100, TTFTTarget: time.Second, GapLimit: time.Second, Waited: 400 * time.Millisecond, TimeLimit: 10 * time.Second})
	if len(sel.Helpers()) == 0 || sel.Helpers()[0].RemoteKVTokens == 0 {
		t.Errorf("helpers = %+v, want one that stores remote KV", sel.Helpers())
	}
}

// TestPromptExceedsMemoryOfItsEngines guards against a selection without engines. All engines together have enough memory for the
// prompt here, but the number of engines that may prefill one prompt is limited.
func TestPromptExceedsMemoryOfItsEngines(t *testing.T) {
	f := newFleet(20)
	for i := range 20 {
		var others []string
		for k := range 20 {
			if k != i {
				others = append(others, engineEntry(k).ID)
			}
		}
		sel := mustSelect(t, f, start, endpoint.Prompt{Tokens: 1_000, MaxOutput: 279_000, TTFTTarget: time.Second, GapLimit: time.Second}, others...)
		sel.PrefillDone()
	}
	huge := endpoint.Prompt{Tokens: 550_000, MaxOutput: 800, TTFTTarget: 3 * time.Second, GapLimit: time.Second, TimeLimit: 15 * time.Second, Waited: 14 * time.Second}
	if _, refusal := f.SelectForGeneration(start, model, huge, nil); refusal == nil || refusal.Verdict() != customer.NotRun {
		t.Errorf("refusal = %v, want one that says that the prompt did not run", refusal)
	}
}

// TestLargestShortPromptIsServed guards against refusing a short prompt on a busy fleet because its prefill is slightly longer
// than one step allows. Prompts of 23,840 tokens were refused 20 times in the run trouble-3 on the grown site.
func TestLargestShortPromptIsServed(t *testing.T) {
	f := newFleet(4)
	now := start
	for range 36 {
		sel := mustSelect(t, f, now, shortPrompt)
		now = now.Add(100 * time.Millisecond)
		sel.PrefillDone()
	}
	largest := shortPrompt
	largest.Tokens = 23_840
	largest.TimeLimit = 10 * time.Second
	mustSelect(t, f, now, largest)
}

// TestLongPromptsTakeTurns guards against two simultaneous long prompts on the same engines, where the second one would wait for
// an unknown time, and against a longer prompt that precedes a shorter one.
func TestLongPromptsTakeTurns(t *testing.T) {
	f := newFleet(8)
	mustSelect(t, f, start, longPrompt)
	now := start.Add(10 * time.Millisecond)
	longer := longPrompt
	longer.Tokens = 160_000
	second := mustWait(t, f, now, longPrompt)
	third := mustWait(t, f, now, longer)
	now = start.Add(600 * time.Millisecond)
	longer.Waited, longer.Waiter = now.Sub(start), third
	if _, refusal := f.SelectForGeneration(now, model, longer, nil); refusal == nil {
		t.Error("the longer prompt precedes the shorter one")
	}
	waited := longPrompt
	waited.Waited, waited.Waiter = now.Sub(start), second
	mustSelect(t, f, now, waited)
	second.Cancel()
	now = now.Add(600 * time.Millisecond)
	longer.Waited = now.Sub(start)
	mustSelect(t, f, now, longer)
}

// TestVeryLongPromptsAreNotStarved guards against very long prompts that are never prefilled because a steady load of shorter
// ones precedes them. Shortly before its latest start, a prompt precedes a shorter one that has just arrived.
func TestVeryLongPromptsAreNotStarved(t *testing.T) {
	f := newFleet(8)
	veryLong, shorter := longPrompt, longPrompt
	veryLong.Tokens = 190_000
	veryLong.Waiter = f.NewWaiter(start, model, veryLong)
	for _, c := range []struct {
		at    time.Duration
		first bool // the very long prompt precedes the shorter one
	}{{200 * time.Millisecond, false}, {1800 * time.Millisecond, true}} {
		now := start.Add(c.at)
		veryLong.Waited = c.at
		shorter.Waiter = f.NewWaiter(now, model, shorter)
		_, refusal := f.SelectForGeneration(now, model, veryLong, nil)
		if first := refusal == nil; first != c.first {
			t.Errorf("after %v: the very long prompt precedes the shorter one: %v, want %v", c.at, first, c.first)
		}
		shorter.Waiter.Cancel()
	}
}

// TestSoleWaitingPromptIsServed guards against a prompt that counts itself among the waiting prompts. Such a prompt would never
// get longer segments, although no other prompt needs the engines.
func TestSoleWaitingPromptIsServed(t *testing.T) {
	f := newFleet(8)
	mustSelect(t, f, start, longPrompt).PrefillDone()
	now := start.Add(10 * time.Millisecond)
	short := endpoint.Work{SentAt: start, Decoding: true, GapLimit: 250 * time.Millisecond}
	var loads []endpoint.Load
	for i := range 8 {
		loads = append(loads, endpoint.Load{Endpoint: endpoint.KeyOf(engineEntry(i).ID), Requests: []endpoint.Work{short}})
	}
	f.MergeLoads(now, "peer", loads)
	prompt := longPrompt
	prompt.Tokens = 100_000 // prefill takes 1.5 s
	prompt.Waiter = f.NewWaiter(now, model, prompt)
	for i := range 2 {
		loads[i].Requests = nil
	}
	now = start.Add(600 * time.Millisecond)
	f.MergeLoads(now, "peer", loads)
	prompt.Waited = now.Sub(start)
	sel := mustSelect(t, f, now, prompt)
	if diff := cmp.Diff([]string{"e00", "e01"}, selectedEngines(sel)); diff != "" {
		t.Errorf("engines (-want +got):\n%s", diff)
	}
}

// TestPromptNearItsLatestStartTakesFewerEngines guards against a prompt that waits beside free engines until its target is missed, because
// its segments on as few engines would be a little too long while other prompts wait.
func TestPromptNearItsLatestStartTakesFewerEngines(t *testing.T) {
	const engines, free = 20, 5
	f, peer := newFleet(engines), newFleet(engines)
	longer := longPrompt
	longer.Tokens = 300_000
	peer.NewWaiter(start, model, longer)
	waiting, _ := peer.TakeWaitingPrompts()
	update := func(now time.Time) {
		var loads []endpoint.Load
		for i := range engines - free {
			short := endpoint.Work{SentAt: start, Decoding: true, GapLimit: 250 * time.Millisecond}
			loads = append(loads, endpoint.Load{Endpoint: endpoint.KeyOf(engineEntry(i).ID), Requests: []endpoint.Work{short}})
		}
		f.MergeLoads(now, "peer", loads)
		f.MergeWaitingPrompts(now, "peer", waiting)
	}
	update(start)
	prompt := longPrompt
	prompt.Tokens = 170_000 // needs 7 engines for segments of 600 ms, and 17 without streams of short prompts for smaller ones
	prompt.Waiter = mustWait(t, f, start, prompt)
	now := start.Add(time.Second)
	update(now)
	prompt.Waited = now.Sub(start)
	if _, refusal := f.SelectForGeneration(now, model, prompt, nil); refusal == nil || refusal.Reason() != customer.ReasonQueueFull {
		t.Fatalf("refusal = %v, want the prompt to wait", refusal)
	}
	now = start.Add(2 * time.Second)
	update(now)
	prompt.Waited = now.Sub(start)
	sel := mustSelect(t, f, now, prompt)
	if diff := cmp.Diff([]string{"e15", "e16", "e17", "e18", "e19"}, selectedEngines(sel)); diff != "" {
		t.Errorf("engines (-want +got):\n%s", diff)
	}
	if got := prompt.Waited + sel.ExpectedTTFT(); got > prompt.TTFTTarget {
		t.Errorf("the first event is expected %v after the arrival", got)
	}
}

// mustWait fails the test unless the prompt is told to wait, and registers it as waiting.
func mustWait(t *testing.T, f *endpoint.Fleet, now time.Time, p endpoint.Prompt) *endpoint.Waiter {
	t.Helper()
	_, refusal := f.SelectForGeneration(now, model, p, nil)
	if refusal == nil || refusal.Reason() != customer.ReasonQueueFull {
		t.Fatalf("refusal = %v, want the prompt to wait", refusal)
	}
	return f.NewWaiter(now, model, p)
}

// TestWaitingPromptsOfPeers guards against VMs that order only their own waiting prompts. A peer's shorter prompt must precede a
// longer one of this VM.
func TestWaitingPromptsOfPeers(t *testing.T) {
	a, b := newFleet(8), newFleet(8)
	first := mustSelect(t, a, start, longPrompt)
	b.MergeLoads(start, "vm-a", a.TakeLoads())
	longer := longPrompt
	longer.Tokens = 160_000
	own := mustWait(t, b, start, longer)
	mustWait(t, a, start, longPrompt)
	prompts, changed := a.TakeWaitingPrompts()
	if !changed || len(prompts) != 1 {
		t.Fatalf("TakeWaitingPrompts = %v, %v", prompts, changed)
	}
	first.PrefillDone()
	now := start.Add(600 * time.Millisecond)
	b.MergeWaitingPrompts(now, "vm-a", prompts)
	longer.Waited, longer.Waiter = now.Sub(start), own
	if _, refusal := b.SelectForGeneration(now, model, longer, nil); refusal == nil {
		t.Error("the longer prompt precedes the peer's")
	}
	later := now.Add(1300 * time.Millisecond)
	longer.Waited = later.Sub(start)
	mustSelect(t, b, later, longer) // the peer is silent, so its waiting prompts have expired
}

// TestMemoryOfSeveralEngines guards against a selection without enough remote KV for a prompt larger than one engine's memory, which
// the first engine would refuse, and against memory that is counted twice.
func TestMemoryOfSeveralEngines(t *testing.T) {
	f := newFleet(17)
	huge := longPrompt
	huge.Tokens = 400_000
	sel := mustSelect(t, f, start, huge)
	remoteKV, previousStores := 0, true
	for _, h := range sel.Helpers() {
		if h.RemoteKVTokens > 0 && !previousStores {
			t.Error("a helper that stores remote KV comes after one that stores none")
		}
		previousStores = h.RemoteKVTokens > 0
		remoteKV += h.RemoteKVTokens
	}
	if needed := huge.Tokens + huge.MaxOutput - testEngine().KVTokens; remoteKV < needed {
		t.Errorf("other engines store %d tokens, at least %d are needed", remoteKV, needed)
	}
	sel.PrefillDone()
	loads := f.Loads()
	context := 0
	for _, l := range loads {
		for _, w := range l.Requests {
			context += w.KVTokens
		}
	}
	if diff := cmp.Diff(huge.Tokens+huge.MaxOutput, context); diff != "" {
		t.Error(diff)
	}
	sel.End(start, endpoint.Succeeded)
	if loads := f.Loads(); len(loads) > 0 {
		t.Errorf("loads after the end of the request: %v, want none", loads)
	}
}

// TestHelperSegmentEnds guards against a prefill that still counts after its end: no message reports that a helper has finished
// its segment.
func TestHelperSegmentEnds(t *testing.T) {
	f := newFleet(8)
	sel := mustSelect(t, f, start, longPrompt)
	if len(sel.Helpers()) == 0 {
		t.Fatal("the long prompt is not divided")
	}
	again := mustSelect(t, f, start.Add(1500*time.Millisecond), longPrompt)
	if again.BacklogAtSelection() > 0 {
		t.Errorf("%v of pending prefill on the first engine long after the segments ended", again.BacklogAtSelection())
	}
}

// TestStepsBetweenPrefills guards against engines that count as free during a series of long prefills. Each step with a prefill also
// generates tokens for every stream, and the backlog must include this time for each step.
func TestStepsBetweenPrefills(t *testing.T) {
	const streams, prefills, segment = 4, 6, 300 * time.Millisecond
	f := newFleet(1)
	var requests []endpoint.Work
	for range streams {
		requests = append(requests, endpoint.Work{SentAt: start, KVTokens: 50_000, Decoding: true, GapLimit: 600 * time.Millisecond})
	}
	step := testEngine().StepTime(streams, streams*50_000)
	for i := range prefills {
		requests = append(requests, endpoint.Work{SentAt: start.Add(time.Duration(i) * segment), Prefill: segment})
	}
	end := start.Add(prefills * (step + segment))
	now := start.Add(prefills * segment)
	f.MergeLoads(now, "peer", []endpoint.Load{{Endpoint: endpoint.KeyOf("e00"), Requests: requests}})
	got := mustSelect(t, f, now, shortPrompt).BacklogAtSelection()
	if d := got - end.Sub(now); d < -step/2 || d > step/2 {
		t.Errorf("the pending prefill is %v; the last prefill ends in %v", got, end.Sub(now))
	}
}

// TestPeerLoads guards against a selection that ignores the loads reported by peers, and against loads of a failed VM that never
// expire.
func TestPeerLoads(t *testing.T) {
	a, b := newFleet(2), newFleet(2)
	first := mustSelect(t, a, start, shortPrompt).First().ID
	for range 11 {
		mustSelect(t, a, start, shortPrompt, otherEngine(first)).PrefillDone()
	}
	b.MergeLoads(start, "vm-a", a.TakeLoads())
	if got := mustSelect(t, b, start, shortPrompt).First().ID; got == first {
		t.Errorf("vm-b sends to %s, which is full of vm-a's streams", got)
	}
	later := start.Add(3 * time.Second)
	if got := mustSelect(t, b, later, shortPrompt).First().ID; got != first {
		t.Errorf("vm-b avoids %s although vm-a has been silent for 3 s", first)
	}
}

// otherEngine returns the ID of the other engine in a fleet of two.
func otherEngine(id string) string {
	if id == "e00" {
		return "e01"
	}
	return "e00"
}

// TestUnusableEndpoints guards against requests to endpoints that are draining or removed, or whose data centre is drained.
func TestUnusableEndpoints(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *endpoint.Fleet)
	}{
		{"draining", func(f *endpoint.Fleet) { e := engineEntry(0); e.Draining = true; f.SetEntry(start, e, 0) }},
		{"removed", func(f *endpoint.Fleet) { f.Remove("e00", time.Time{}) }},
		{"data centre drained", func(f *endpoint.Fleet) { f.SetDrained(start, map[string]bool{"dc0": true}) }},
		{"draining and lapsed", func(f *endpoint.Fleet) {
			e := engineEntry(0)
			e.Draining = true
			f.SetEntry(start, e, 0)
			f.Remove("e00", start.Add(2200*time.Millisecond))
		}},
	} {
		f := newFleet(1)
		c.change(f)
		_, refusal := f.SelectForGeneration(start, model, shortPrompt, nil)
		if refusal == nil || refusal.Reason() != customer.ReasonNoEndpoint || refusal.RetryAfter() <= 0 {
			t.Errorf("%s: refusal = %v, want noEndpoint with a retry time", c.name, refusal)
		}
	}
}

// TestLapsedEntryGrace guards against losing all endpoints because their entries lapsed during an outage of the store.
func TestLapsedEntryGrace(t *testing.T) {
	f := newFleet(1)
	f.Remove("e00", start.Add(2200*time.Millisecond))
	mustSelect(t, f, start.Add(2*time.Second), shortPrompt)
	if _, refusal := f.SelectForGeneration(start.Add(3*time.Second), model, shortPrompt, nil); refusal == nil {
		t.Error("an entry that did not return is still used after 3 s")
	}
	f = newFleet(1)
	f.Remove("e00", start.Add(2200*time.Millisecond))
	f.SetEntry(start.Add(time.Second), engineEntry(0), 0)
	mustSelect(t, f, start.Add(time.Minute), shortPrompt)
}

// TestFailingEngineIsSkipped guards against selecting a failing endpoint again before its backoff has ended, and against more than one
// request as a probe after it.
func TestFailingEngineIsSkipped(t *testing.T) {
	f := newFleet(2)
	sel := mustSelect(t, f, start, shortPrompt)
	failing := sel.First().ID
	sel.End(start, endpoint.Broken)
	if got := mustSelect(t, f, start, shortPrompt).First().ID; got == failing {
		t.Errorf("%s is selected right after a broken answer", failing)
	}
	// After the backoff, a single request probes the endpoint.
	now := start.Add(time.Second)
	probe := mustSelect(t, f, now, shortPrompt, otherEngine(failing))
	if _, refusal := f.SelectForGeneration(now, model, shortPrompt, []string{otherEngine(failing)}); refusal == nil {
		t.Error("a second request goes to an endpoint that is being probed")
	}
	probe.End(now, endpoint.Succeeded)
	mustSelect(t, f, now, shortPrompt, otherEngine(failing))
}

// TestRefusingHelperIsSkipped guards against long prompts that are refused again and again during an outage of the store because
// one of their many helpers is stopping. In the run trouble-3 on bmhc-tentline-grown, no long prompt was prefilled for 4 s.
func TestRefusingHelperIsSkipped(t *testing.T) {
	a, b := newFleet(21), newFleet(21)
	sel := mustSelect(t, a, start, longPrompt)
	var stopping endpoint.Target
	for _, h := range sel.Helpers() {
		stopping = h
	}
	sel.ReportRefusal(start, stopping.Address)
	sel.End(start, endpoint.Refused)
	b.MergeSuspects(a.Suspects(start))
	for name, f := range map[string]*endpoint.Fleet{"the VM": a, "its peer": b} {
		if again := mustSelect(t, f, start.Add(200*time.Millisecond), longPrompt); slices.Contains(selectedEngines(again), stopping.ID) {
			t.Errorf("%s selects %s again", name, stopping.ID)
		}
	}
}

// TestUnreachableDataCentreIsSkipped guards against requests that try one endpoint after another in an unreachable data centre, and
// against callers' requests that serve as probes.
func TestUnreachableDataCentreIsSkipped(t *testing.T) {
	f := newFleet(21)
	var others []string // engines of the other data centres
	for i := range 21 {
		if e := engineEntry(i); e.DataCentre != "dc0" {
			others = append(others, e.ID)
		}
	}
	tried := 0
	for now := start; ; now = now.Add(10 * time.Millisecond) {
		sel, refusal := f.SelectForGeneration(now, model, shortPrompt, others)
		if refusal != nil {
			break
		}
		sel.End(now, endpoint.Unreachable)
		tried++
	}
	if tried > 3 {
		t.Errorf("%d of 7 engines were tried in the data centre that is unreachable", tried)
	}
	if _, refusal := f.SelectForGeneration(start.Add(time.Minute), model, shortPrompt, others); refusal == nil {
		t.Error("a caller's request is used to probe the data centre")
	}
	mustSelect(t, f, start, shortPrompt)
	if f.Isolated() {
		t.Error("isolated although two data centres are reachable")
	}
	probes := f.ProbeTargets()
	if len(probes) != 1 {
		t.Fatalf("ProbeTargets = %v, want one endpoint to probe", probes)
	}
	f.SetDrained(start, map[string]bool{"dc1": true, "dc2": true})
	if !f.Isolated() {
		t.Error("not isolated although the other data centres are drained")
	}
	f.MarkReachable(probes[0].ID)
	if f.Isolated() || len(f.ProbeTargets()) > 0 {
		t.Error("still unreachable after a probe succeeded")
	}
}

// TestCrashedEndpointsAreNoPartition guards against a data centre that counts as unreachable because endpoints there crashed
// (incident inc-8e93).
func TestCrashedEndpointsAreNoPartition(t *testing.T) {
	f := newFleet(21)
	for range 5 {
		mustSelect(t, f, start, shortPrompt).End(start, endpoint.ConnectionRefused)
	}
	if probes := f.ProbeTargets(); len(probes) > 0 {
		t.Errorf("ProbeTargets = %v after refused connections, want none", probes)
	}
}

// TestShortPromptWaitsForASlot guards against refusing short prompts at once, as if they could not meet their targets, while no
// engine has a free batch slot (incident inc-8e93, 24.5 s). Slots become free within milliseconds, so the prompts have to wait.
func TestShortPromptWaitsForASlot(t *testing.T) {
	f := newFleet(1)
	var last *endpoint.Selection
	for range 16 {
		last = mustSelect(t, f, start, shortPrompt)
		last.PrefillDone()
	}
	_, refusal := f.SelectForGeneration(start, model, shortPrompt, nil)
	if refusal == nil || refusal.Reason() != customer.ReasonQueueFull {
		t.Fatalf("refusal = %v, want the prompt to wait", refusal)
	}
	last.End(start, endpoint.Succeeded)
	mustSelect(t, f, start, shortPrompt)
}

// TestColdBoundHoldsForAllVMs guards against a cold endpoint that gets more requests from all VMs together than it tolerates.
func TestColdBoundHoldsForAllVMs(t *testing.T) {
	for _, n := range []int{1, 3, 9, 59} {
		total := 0
		for rank := range n {
			f := newFleet(0, endpoint.WithColdBound(1.5, 5))
			f.SetVMs(rank, n)
			e := engineEntry(0)
			e.ColdRemaining = time.Minute
			f.SetEntry(start, e, 0)
			for range 60 {
				sel, refusal := f.SelectForGeneration(start, model, shortPrompt, nil)
				if refusal != nil {
					break
				}
				sel.End(start, endpoint.Cancelled)
				total++
			}
		}
		if bound := int(26*1.5 + 5); total > bound || total == 0 {
			t.Errorf("%d VMs send %d requests in one second, the bound is %d", n, total, bound)
		}
	}
}

// TestReturnedDataCentreCountsAsCold guards against endpoints that get their full share at the moment their data centre returns to
// service: they may have become cold meanwhile, which their records show only later.
func TestReturnedDataCentreCountsAsCold(t *testing.T) {
	const vms = 9
	bound := int(26*1.5 + 5)
	sentBy := func(now time.Time, fleets []*endpoint.Fleet) int {
		total := 0
		for _, f := range fleets {
			for range 20 {
				sel, refusal := f.SelectForGeneration(now, model, shortPrompt, nil)
				if refusal != nil {
					break
				}
				sel.End(now, endpoint.Cancelled)
				total++
			}
		}
		return total
	}
	var fleets []*endpoint.Fleet
	for rank := range vms {
		f := newFleet(1, endpoint.WithColdBound(1.5, 5))
		f.SetVMs(rank, vms)
		f.SetDrained(start, map[string]bool{"dc0": true})
		f.SetDrained(start.Add(6*time.Second), nil)
		fleets = append(fleets, f)
	}
	now := start.Add(6 * time.Second)
	if total := sentBy(now, fleets); total > bound || total == 0 {
		t.Errorf("%d requests sent in the second after the return, the bound of a cold endpoint is %d", total, bound)
	}
	// A record that still says that the endpoint is warm may be older than its becoming cold.
	for _, f := range fleets {
		f.SetEntry(now.Add(100*time.Millisecond), engineEntry(0), 0)
	}
	if total := sentBy(now.Add(1100*time.Millisecond), fleets); total > bound {
		t.Errorf("%d requests sent 1.1 s after the return, the bound of a cold endpoint is %d", total, bound)
	}
	if total := sentBy(now.Add(4*time.Second), fleets); total <= bound {
		t.Errorf("%d requests sent 4 s after the return, though the endpoint is warm", total)
	}
}

// TestSelectForCall guards against calls that concentrate on one instance, or go to one that fails.
func TestSelectForCall(t *testing.T) {
	f := endpoint.NewFleet(endpoint.WithRandom(func() float64 { return 0 }))
	f.SetServices(map[string]*endpoint.Service{"desk": {Name: "desk"}})
	for i := range 3 {
		f.SetEntry(start, endpoint.Entry{ID: fmt.Sprint("d", i), Service: "desk", Address: "10.0.1.1:80", DataCentre: "dc0", Slots: 2}, 0)
	}
	used := map[string]int{}
	var all []*endpoint.Selection
	for range 6 {
		sel, refusal := f.SelectForCall(start, "desk", nil)
		if refusal != nil {
			t.Fatal(refusal)
		}
		used[sel.First().ID]++
		all = append(all, sel)
	}
	if diff := cmp.Diff(map[string]int{"d0": 2, "d1": 2, "d2": 2}, used); diff != "" {
		t.Error(diff)
	}
	for _, sel := range all {
		o := endpoint.Succeeded
		if sel.First().ID == "d0" {
			o = endpoint.Errored
		}
		sel.End(start, o)
	}
	for range 4 {
		sel, refusal := f.SelectForCall(start, "desk", nil)
		if refusal != nil {
			t.Fatal(refusal)
		}
		if sel.First().ID == "d0" {
			t.Error("a call goes to the instance that fails")
		}
	}
}

// TestRetryBudget guards against retries beyond the deployment's bound, summed over its VMs.
func TestRetryBudget(t *testing.T) {
	const vms, window = 9, 10 * time.Second
	total := 0
	for range vms {
		b := endpoint.NewRetryBudget(0.2, 100, window)
		b.SetVMs(vms)
		for range 10 {
			b.CountRequest(start, "desk")
		}
		for b.TrySpend(start, "desk") {
			total++
		}
		if !b.TrySpend(start.Add(window+time.Second), "desk") {
			t.Error("the budget does not recover after the window")
		}
	}
	if bound := 0.2*vms*10 + 100; float64(total) > bound || total == 0 {
		t.Errorf("%d retries in one window, the bound is %v", total, bound)
	}
}

// TestRetryBudgetOfRestartedVMs guards against retries beyond the deployment's bound after all VMs have lost power: they forget what they
// have used in the present window, and do not know at first how many they are.
func TestRetryBudgetOfRestartedVMs(t *testing.T) {
	const vms, window = 295, 10 * time.Second
	retries, requests := 0, 0
	load := func(b *endpoint.RetryBudget, now time.Time) {
		for range 10 {
			b.CountRequest(now, "desk")
			requests++
		}
		for b.TrySpend(now, "desk") {
			retries++
		}
	}
	restart := start.Add(4 * time.Second)
	for range vms {
		b := endpoint.NewRetryBudget(0.2, 660, window)
		b.SetVMs(vms)
		load(b, start)
		b = endpoint.NewRetryBudget(0.2, 660, window)
		b.Started()
		load(b, restart) // the other VMs are not known yet
		b.SetVMs(vms)
		load(b, restart.Add(window/2))
	}
	if bound := 0.2*float64(requests) + 660; float64(retries) > bound || retries == 0 {
		t.Errorf("%d retries in one window, the bound is %v", retries, bound)
	}
}

// BenchmarkSelectShort measures the selection for a short prompt while five streams run on each engine, and with a sixth of the engines
// slow by the reports of two VMs.
func BenchmarkSelectShort(b *testing.B) {
	setups := map[string]func(n int) *endpoint.Fleet{
		"":                         func(n int) *endpoint.Fleet { return newFleet(n) },
		" in weighed data centres": func(n int) *endpoint.Fleet { return newWeighedFleet(n, "dc0", 1, endpoint.WithPaces()) },
		", a sixth slow": func(n int) *endpoint.Fleet {
			f := newFleet(n, endpoint.WithPaces())
			var paces []endpoint.Pace
			for i := 0; i < n; i += 6 {
				paces = append(paces, endpoint.Pace{Endpoint: endpoint.KeyOf(engineEntry(i).ID), Pace: 4.7, SampledAt: start})
			}
			f.MergePaces(start, "vm", paces)
			f.MergePaces(start, "vm2", paces)
			return f
		},
	}
	for name, newFleetOf := range setups {
		for _, n := range []int{21, 70} {
			b.Run(fmt.Sprint(n, " engines", name), func(b *testing.B) {
				f := newFleetOf(n)
				f.MergeLoads(start, "vm", busyLoads(n))
				b.ReportAllocs()
				for b.Loop() {
					sel, refusal := f.SelectForGeneration(start, model, shortPrompt, nil)
					if refusal != nil {
						b.Fatal(refusal)
					}
					sel.End(start, endpoint.Succeeded)
				}
			})
		}
	}
}

// busyLoads returns loads with five streams on each of n engines.
func busyLoads(n int) []endpoint.Load {
	loads := make([]endpoint.Load, n)
	for i := range loads {
		loads[i].Endpoint = endpoint.KeyOf(engineEntry(i).ID)
		for range 5 {
			loads[i].Requests = append(loads[i].Requests, endpoint.Work{SentAt: start, KVTokens: 6000, Decoding: true, GapLimit: 250 * time.Millisecond})
		}
	}
	return loads
}
