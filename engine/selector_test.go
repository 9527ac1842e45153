package engine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/engine"
)

// newSpecs returns n endpoints of one model.
func newSpecs(n int) []engine.Spec {
	specs := make([]engine.Spec, n)
	for i := range specs {
		s := spec()
		s.Name = fmt.Sprintf("e%d", i)
		specs[i] = s
	}
	return specs
}

// idleLoad returns the load of a warm endpoint without work.
func idleLoad() engine.Load {
	return engine.Load{Instance: 1, Capacity: 100_000, FreeTokens: 100_000, FreeSlots: 16, PrefillRate: 10_000}
}

// newSelector returns a selector that has received an idle load from each endpoint.
func newSelector(policy engine.SelectionPolicy, specs []engine.Spec) *engine.Selector {
	selector := engine.NewSelector(policy)
	for _, s := range specs {
		selector.ObserveLoad(start, s.Name, idleLoad())
	}
	return selector
}

func request(prefix uint64, prompt int) *engine.Completion {
	return &engine.Completion{Model: "small", Prefix: prefix, PromptTokens: prompt, MaxTokens: 100}
}

func names(specs []engine.Spec) []string {
	var out []string
	for _, s := range specs {
		out = append(out, s.Name)
	}
	return out
}

// TestSelectorAffinity guards against prefixes whose endpoint changes when an unrelated endpoint is removed, and against an
// uneven distribution of prefixes over the endpoints.
func TestSelectorAffinity(t *testing.T) {
	const endpoints, prefixes = 20, 4000
	specs := newSpecs(endpoints)
	selector := newSelector(engine.PolicyAffinity, specs)
	first := map[string]int{}
	moved := 0
	for prefix := range uint64(prefixes) {
		before := selector.Candidates(start, request(prefix*0x9e3779b97f4a7c15, 100), specs)[0].Name
		first[before]++
		if after := selector.Candidates(start, request(prefix*0x9e3779b97f4a7c15, 100), specs[:endpoints-1])[0].Name; after != before && before != specs[endpoints-1].Name {
			moved++
		}
	}
	for _, s := range specs {
		// The mean is 200 and the standard deviation of a uniform hash is 14, so bounds of half and double the mean
		// leave a wide margin.
		if n := first[s.Name]; n < prefixes/endpoints/2 || n > 2*prefixes/endpoints {
			t.Errorf("%s is the first candidate for %d of %d prefixes", s.Name, n, prefixes)
		}
	}
	if moved > 0 {
		t.Errorf("%d prefixes moved although their endpoint stayed", moved)
	}
}

// TestSelectorAvoidsBusyEndpoints guards against sending short prompts to endpoints that would delay them.
func TestSelectorAvoidsBusyEndpoints(t *testing.T) {
	specs := newSpecs(10)
	specs[9].Model = "other"
	r := request(7, 100)
	for name, change := range map[string]func(l *engine.Load){
		"long prefill":   func(l *engine.Load) { l.LongPrefillBacklog = 50_000 },
		"load":           func(l *engine.Load) { l.Running = 10 },
		"no memory":      func(l *engine.Load) { l.FreeTokens = 50 },
		"no sequence":    func(l *engine.Load) { l.FreeSlots = 0 },
		"cold and full":  func(l *engine.Load) { l.Cold, l.FreeSlots = true, 0 },
		"long and short": func(l *engine.Load) { l.LongPrefillBacklog, l.Running = 50_000, 10 },
	} {
		selector := newSelector(engine.PolicyAffinity, specs)
		before := names(selector.Candidates(start, r, specs))
		l := idleLoad()
		change(&l)
		selector.ObserveLoad(start, before[0], l)
		if after := names(selector.Candidates(start, r, specs)); after[0] == before[0] {
			t.Errorf("%s: still first of %v", name, after)
		} else if diff := cmp.Diff(before[1:], after[:2]); diff != "" {
			t.Errorf("%s: the others changed their order: %s", name, diff)
		}
	}
	selector := newSelector(engine.PolicyAffinity, specs)
	before := names(selector.Candidates(start, r, specs))
	for range 3 {
		selector.RequestStarted(before[0])
	}
	if after := names(selector.Candidates(start, r, specs)); after[0] == before[0] {
		t.Errorf("requests since the last load: still first of %v", after)
	}
	late := start.Add(time.Minute)
	selector.ObserveLoad(late, specs[3].Name, idleLoad())
	if after := names(selector.Candidates(late, r, specs)); after[0] != specs[3].Name && len(after) != 3 {
		t.Errorf("with one recent load: %v", after)
	}
}

// TestSelectorLongPrompts guards against spreading long prompts over all endpoints, which would leave none free for short ones.
func TestSelectorLongPrompts(t *testing.T) {
	specs := newSpecs(10)
	selector := newSelector(engine.PolicyAffinity, specs)
	order := names(selector.Candidates(start, request(1, 50_000), specs))
	if diff := cmp.Diff(order, names(selector.Candidates(start, request(2, 60_000), specs))); diff != "" {
		t.Error("another prefix gives another order:", diff)
	}
	l := idleLoad()
	l.LongPrefillBacklog = 50_000
	selector.ObserveLoad(start, order[0], l)
	if diff := cmp.Diff(order[1:], names(selector.Candidates(start, request(1, 50_000), specs))[:2]); diff != "" {
		t.Error("with a long prompt on the first endpoint:", diff)
	}
	if got := selector.Candidates(start, request(1, 150_000), specs); len(got) != 0 {
		t.Errorf("a prompt beyond every endpoint's memory goes to %v", names(got))
	}
	specs = newSpecs(10)
	specs[6].Group, specs[4].Group = "g", "g"
	if diff := cmp.Diff([]string{"e4"}, names(selector.Candidates(start, request(1, 150_000), specs))); diff != "" {
		t.Error("a prompt for a group:", diff)
	}
}

// TestSelectorCacheEvents guards against a prefix index that lists prefixes which the endpoint no longer has in its cache.
func TestSelectorCacheEvents(t *testing.T) {
	stored := func(sequence, prefix uint64) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Stored: true, Prefix: prefix}
	}
	for _, c := range []struct {
		name     string
		events   []engine.CacheEvent
		want     []bool // prefixes 1, 2, 3
		wantNext uint64
	}{
		{"in order", []engine.CacheEvent{stored(5, 1), stored(6, 2)}, []bool{true, true, false}, 7},
		{"evicted", []engine.CacheEvent{stored(5, 1), stored(6, 2), {Sequence: 7, Prefix: 1}}, []bool{false, true, false}, 8},
		{"repeated", []engine.CacheEvent{stored(5, 1), {Sequence: 6, Prefix: 1}, stored(5, 1)}, []bool{false, false, false}, 7},
		{"gap", []engine.CacheEvent{stored(5, 1), stored(6, 2), stored(8, 3)}, []bool{false, false, true}, 9},
	} {
		ch := engine.NewSelector(engine.PolicyAffinity)
		ch.ObserveLoad(start, "e1", engine.Load{Instance: 1})
		ch.ObserveCacheEvents("e1", c.events)
		got := []bool{ch.HasPrefix("e1", 1), ch.HasPrefix("e1", 2), ch.HasPrefix("e1", 3)}
		if diff := cmp.Diff(c.want, got); diff != "" || ch.NextCacheEvent("e1") != c.wantNext {
			t.Errorf("%s: next %d, %s", c.name, ch.NextCacheEvent("e1"), diff)
		}
		ch.ObserveLoad(start, "e1", engine.Load{Instance: 2})
		if ch.HasPrefix("e1", 2) || ch.HasPrefix("e1", 3) || ch.NextCacheEvent("e1") != 0 {
			t.Errorf("%s: the index outlived the instance", c.name)
		}
	}
	specs := newSpecs(10)
	ch := newSelector(engine.PolicyAffinity, specs)
	second := ch.Candidates(start, request(7, 100), specs)[1].Name
	ch.ObserveCacheEvents(second, []engine.CacheEvent{stored(1, 7)})
	if got := ch.Candidates(start, request(7, 100), specs)[0].Name; got != second {
		t.Errorf("%s is first and %s has the prefix", got, second)
	}
}

// TestSelectorBaselines guards against baseline policies that do not select in round-robin or least-outstanding order.
func TestSelectorBaselines(t *testing.T) {
	specs := newSpecs(4)
	selector := newSelector(engine.PolicyRoundRobin, specs)
	seen := map[string]int{}
	for range 8 {
		seen[selector.Candidates(start, request(1, 100), specs)[0].Name]++
	}
	if diff := cmp.Diff(map[string]int{"e0": 2, "e1": 2, "e2": 2, "e3": 2}, seen); diff != "" {
		t.Error("round robin:", diff)
	}
	selector = newSelector(engine.PolicyLeastOutstanding, specs)
	for range 7 {
		selector.RequestStarted(selector.Candidates(start, request(1, 100), specs)[0].Name)
	}
	selector.RequestEnded("e1")
	selector.RequestEnded("e1")
	if got := selector.Candidates(start, request(1, 100), specs)[0].Name; got != "e1" {
		t.Errorf("least outstanding: %s first, want e1", got)
	}
}

// BenchmarkRoute measures the selection among 1,430 endpoints, which is the design target for one data centre, and the ledger's
// decision for a busy endpoint. The target for both together is under 20 microseconds.
func BenchmarkRoute(b *testing.B) {
	specs := newSpecs(1430)
	selector := newSelector(engine.PolicyAffinity, specs)
	s := spec()
	s.MaxSequences, s.KVTokens, s.PrefillRate = 64, 400_000, 1e9
	l := newWarmLedger(s)
	for i := range 40 {
		l.RequestGrant(start, grantRequest(fmt.Sprint("held", i), 1_000))
	}
	b.Run("Candidates", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			selector.Candidates(start, request(uint64(i)*0x9e3779b97f4a7c15, 1_000), specs)
		}
	})
	b.Run("CandidatesLong", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			selector.Candidates(start, request(1, 50_000), specs)
		}
	})
	b.Run("RequestGrant", func(b *testing.B) {
		b.ReportAllocs()
		req := grantRequest("x", 1_000)
		for b.Loop() {
			l.RequestGrant(start, req)
			l.Release(start, "x", engine.Result{TTFT: time.Microsecond})
			b.StopTimer()
			l.ObserveReport(start.Add(11*time.Second), engine.Report{Instance: 1, Sequence: 2, Age: 11 * time.Second})
			b.StartTimer()
		}
	})
	b.Run("ProcessFullQueue", func(b *testing.B) {
		b.ReportAllocs()
		full := newWarmLedger(s)
		for i := range 300 {
			req := grantRequest(fmt.Sprint("d", i), 5_000)
			req.Customer, req.MaxWait = fmt.Sprint("c", i%100), time.Minute
			full.RequestGrant(start, req)
		}
		for b.Loop() {
			full.ProcessQueue(start)
		}
	})
}
