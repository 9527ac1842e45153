package engine_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func spec() engine.Spec {
	return engine.Spec{Name: "e1", Model: "small", KVTokens: 100_000, MaxSequences: 16, PrefillRate: 10_000, DecodeRate: 100, MaxColdSequences: 2}
}

// newWarmLedger returns a ledger whose endpoint counts as warm, because it reports that all its batch slots are in use.
func newWarmLedger(s engine.Spec, opts ...engine.LedgerOption) *engine.Ledger {
	l := engine.NewLedger(s, start, opts...)
	l.SetShares(start, 3, 3)
	l.ObserveReport(start, engine.Report{Instance: 1, Sequence: 1, Running: s.MaxSequences})
	return l
}

func grantRequest(id string, prompt int) engine.GrantRequest {
	return engine.GrantRequest{ID: id, Holder: "a/1", Customer: "c", PromptTokens: prompt, MaxTokens: 100, StartWithin: time.Minute}
}

// describeDecision returns "granted", "queued" or the reason of a refusal. A refusal whose verdict is not notRun is described by
// its verdict instead.
func describeDecision(d engine.Decision) string {
	switch d := d.(type) {
	case engine.Granted:
		return "granted"
	case engine.Queued:
		return "queued"
	case engine.Refused:
		if d.Refusal.Verdict() != customer.NotRun {
			return "refused with verdict " + d.Refusal.Verdict().String()
		}
		return string(d.Refusal.Reason())
	}
	return "none"
}

// TestLedgerReasons guards against wrong decisions and against refusals with the wrong reason, which would mislead the caller.
func TestLedgerReasons(t *testing.T) {
	cold := func() *engine.Ledger {
		l := engine.NewLedger(spec(), start)
		l.SetShares(start, 3, 3)
		l.ObserveReport(start, engine.Report{Instance: 1, Sequence: 1})
		return l
	}
	withMaxWait := func(d engine.GrantRequest) engine.GrantRequest { d.MaxWait = time.Minute; return d }
	for _, c := range []struct {
		name    string
		ledger  func() *engine.Ledger // nil means a warm one with all shares
		prior   []engine.GrantRequest
		request engine.GrantRequest
		want    string
	}{
		{name: "no report", ledger: func() *engine.Ledger { l := engine.NewLedger(spec(), start); l.SetShares(start, 3, 3); return l }, request: grantRequest("x", 100), want: "share"},
		{name: "no report for 10 s", ledger: func() *engine.Ledger {
			l := engine.NewLedger(spec(), start)
			l.SetShares(start, 3, 3)
			l.ObserveReport(start, engine.Report{Instance: 1, Age: 10 * time.Second})
			return l
		}, request: grantRequest("x", 100), want: "noEndpoint"},
		{name: "another model than configured", ledger: func() *engine.Ledger {
			l := newWarmLedger(spec())
			l.ObserveReport(start, engine.Report{Instance: 1, Sequence: 2, Model: "other"})
			return l
		}, request: withMaxWait(grantRequest("x", 100)), want: "noEndpoint"},
		{name: "the configured model again", ledger: func() *engine.Ledger {
			l := newWarmLedger(spec())
			l.ObserveReport(start, engine.Report{Instance: 1, Sequence: 2, Model: "other"})
			l.ObserveReport(start, engine.Report{Instance: 1, Sequence: 3, Model: "small"})
			return l
		}, request: grantRequest("x", 100), want: "granted"},
		{name: "no share", ledger: func() *engine.Ledger { l := newWarmLedger(spec()); l.SetShares(start, 0, 3); return l }, request: grantRequest("x", 100), want: "share"},
		{name: "half of the memory with one share", ledger: func() *engine.Ledger { l := newWarmLedger(spec()); l.SetShares(start, 1, 3); return l }, request: grantRequest("x", 50_000), want: "share"},
		{name: "most of the memory with two shares", ledger: func() *engine.Ledger { l := newWarmLedger(spec()); l.SetShares(start, 2, 3); return l }, request: grantRequest("x", 60_000), want: "granted"},
		{name: "cold with one share", ledger: func() *engine.Ledger { l := cold(); l.SetShares(start, 1, 3); return l }, request: grantRequest("x", 100), want: "share"},
		{name: "above the memory", request: grantRequest("x", 100_000), want: "memory"},
		{name: "cold allowance used up", ledger: cold, prior: []engine.GrantRequest{grantRequest("a", 10), grantRequest("b", 10)}, request: grantRequest("x", 10), want: "cold"},
		{name: "cold allowance used up by prefill", ledger: cold, prior: []engine.GrantRequest{grantRequest("a", 40_000)}, request: grantRequest("x", 10), want: "cold"},
		{name: "cold and waiting", ledger: cold, prior: []engine.GrantRequest{grantRequest("a", 10), grantRequest("b", 10)}, request: withMaxWait(grantRequest("x", 10)), want: "queued"},
		{name: "no free capacity", prior: []engine.GrantRequest{grantRequest("a", 90_000)}, request: grantRequest("x", 15_000), want: "queueFull"},
		{name: "no free capacity and waiting", prior: []engine.GrantRequest{grantRequest("a", 90_000)}, request: withMaxWait(grantRequest("x", 15_000)), want: "queued"},
		{name: "full queue", ledger: func() *engine.Ledger { return newWarmLedger(spec(), engine.WithMaxQueue(1)) },
			prior: []engine.GrantRequest{grantRequest("a", 90_000), withMaxWait(grantRequest("b", 15_000))}, request: withMaxWait(grantRequest("x", 15_000)), want: "queueFull"},
		{name: "prefill backlog above the slack", prior: []engine.GrantRequest{grantRequest("a", 15_000), grantRequest("b", 15_000)},
			request: engine.GrantRequest{ID: "x", PromptTokens: 10, StartWithin: time.Second}, want: "deadline"},
		{name: "short prompt ahead of a long prefill", prior: []engine.GrantRequest{grantRequest("a", 60_000)},
			request: engine.GrantRequest{ID: "x", PromptTokens: 10, StartWithin: time.Second}, want: "granted"},
		{name: "queue longer than the slack", prior: []engine.GrantRequest{grantRequest("a", 90_000)},
			request: engine.GrantRequest{ID: "x", PromptTokens: 15_000, StartWithin: time.Second, MaxWait: time.Second}, want: "deadline"},
		{name: "repeated request", prior: []engine.GrantRequest{grantRequest("x", 90_000)}, request: grantRequest("x", 90_000), want: "granted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newWarmLedger(spec())
			if c.ledger != nil {
				l = c.ledger()
			}
			for _, req := range c.prior {
				l.RequestGrant(start, req)
			}
			if diff := cmp.Diff(c.want, describeDecision(l.RequestGrant(start, c.request))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLedgerLongAndShort guards against prefilling a second very long prompt on an endpoint, and against long prompts that use
// the headroom reserved for short ones.
func TestLedgerLongAndShort(t *testing.T) {
	s := spec()
	s.KVTokens = 1_000_000
	l := newWarmLedger(s, engine.WithLongPrefillLimits(50_000, 1))
	var got []string
	for i, prompt := range []int{200_000, 200_000, 40_000, 40_000, 1_000} {
		req := grantRequest(fmt.Sprint(i), prompt)
		req.StartWithin = time.Hour
		got = append(got, describeDecision(l.RequestGrant(start, req)))
	}
	if diff := cmp.Diff([]string{"granted", "queueFull", "granted", "queueFull", "granted"}, got); diff != "" {
		t.Error(diff)
	}
	l = newWarmLedger(s, engine.WithLongPrefillLimits(1_000_000, 10))
	got = nil
	for i, prompt := range []int{500_000, 390_000, 50_000, 10_000} {
		req := grantRequest(fmt.Sprint(i), prompt)
		req.StartWithin = time.Hour
		got = append(got, describeDecision(l.RequestGrant(start, req)))
	}
	if diff := cmp.Diff([]string{"granted", "granted", "queueFull", "granted"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestLedgerColdStart guards against an endpoint that keeps a raised allowance after a failure, a late first token or a restart.
func TestLedgerColdStart(t *testing.T) {
	finish := func(l *engine.Ledger, id string, r engine.Result) {
		l.RequestGrant(at(time.Second), grantRequest(id, 10))
		l.Release(at(time.Second), id, r)
	}
	ok := engine.Result{TTFT: time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(l *engine.Ledger)
		want   int
	}{
		{"new", func(l *engine.Ledger) {}, 2},
		{"grows with completed requests", func(l *engine.Ledger) { finish(l, "a", ok); finish(l, "b", ok) }, 4},
		{"does not grow with cancelled requests", func(l *engine.Ledger) { finish(l, "a", engine.Result{}) }, 2},
		{"reset after a failure", func(l *engine.Ledger) { finish(l, "a", ok); finish(l, "b", engine.Result{Failed: true}) }, 2},
		{"reset after a late first token", func(l *engine.Ledger) { finish(l, "a", ok); finish(l, "b", engine.Result{TTFT: time.Minute}) }, 2},
		{"reset by a report of a cold state", func(l *engine.Ledger) {
			finish(l, "a", ok)
			l.ObserveReport(at(time.Second), engine.Report{Instance: 1, Sequence: 2, Cold: true})
			finish(l, "b", ok)
		}, 2},
		{"reset after a restart", func(l *engine.Ledger) {
			finish(l, "a", ok)
			l.ObserveReport(at(time.Second), engine.Report{Instance: 2, Sequence: 1, Running: 16})
		}, 2},
	} {
		l := engine.NewLedger(spec(), start)
		l.SetShares(start, 3, 3)
		l.ObserveReport(start, engine.Report{Instance: 1, Sequence: 1})
		c.change(l)
		if got := l.Load().ColdAllowance; got != c.want {
			t.Errorf("%s: allowance %d, want %d", c.name, got, c.want)
		}
	}
}

// TestLedgerPreviousLoad guards against a warm endpoint that counts as cold after a change of owner, and against a cold one that
// counts as warm.
func TestLedgerPreviousLoad(t *testing.T) {
	for _, c := range []struct {
		name   string
		last   engine.Load
		report engine.Report
		want   int
	}{
		{"nothing known", engine.Load{}, engine.Report{Instance: 1, Sequence: 1}, 2},
		{"warm", engine.Load{Instance: 1}, engine.Report{Instance: 1, Sequence: 1}, 16},
		{"cold according to the previous owner", engine.Load{Instance: 1, Cold: true}, engine.Report{Instance: 1, Sequence: 1}, 2},
		{"restarted since", engine.Load{Instance: 1}, engine.Report{Instance: 2, Sequence: 1}, 2},
		{"cold according to its report", engine.Load{Instance: 1}, engine.Report{Instance: 1, Sequence: 1, Cold: true}, 2},
	} {
		l := engine.NewLedger(spec(), start)
		l.SetPreviousLoad(c.last)
		l.SetShares(start, 3, 3)
		l.ObserveReport(start, c.report)
		if got := l.Load().ColdAllowance; got != c.want {
			t.Errorf("%s: allowance %d, want %d", c.name, got, c.want)
		}
	}
}

// TestLedgerFairness guards against a customer whose many requests take the queue and the capacity away from a small customer.
func TestLedgerFairness(t *testing.T) {
	l := newWarmLedger(spec(), engine.WithMaxQueue(20))
	requestGrant := func(name string, i int) engine.Decision {
		req := grantRequest(fmt.Sprint(name, i), 10_000)
		req.Customer, req.Weight, req.MaxWait = name, 1, 10*time.Minute
		req.StartWithin = 10*time.Minute - time.Duration(i)*time.Second // the flooding customer's requests have to start earlier, and would go first without fair sharing
		if name == "small" {
			req.StartWithin = 10 * time.Minute
		}
		return l.RequestGrant(start, req)
	}
	var running []string
	for i := range 40 {
		if d, ok := requestGrant("flood", i).(engine.Granted); ok {
			running = append(running, d.ID())
		}
	}
	for i := range 10 {
		if got := describeDecision(requestGrant("small", i)); got != "queued" {
			t.Fatalf("request %d of the small customer: %s", i, got)
		}
	}
	granted := map[string]int{}
	var order []string
	for round := 0; len(running) > 0 && round < 18; round++ {
		now := at(time.Duration(round) * time.Second)
		l.ObserveReport(now, engine.Report{Instance: 1, Sequence: uint64(round + 2)})
		l.Release(now, running[0], engine.Result{})
		running = running[1:]
		for _, d := range l.ProcessQueue(now) {
			if g, ok := d.(engine.Granted); ok {
				granted[g.Grant.Request.Customer]++
				order = append(order, g.Grant.Request.Customer)
				running = append(running, g.ID())
			}
		}
	}
	if diff := cmp.Diff([]string{"small", "small", "small", "small"}, order[:4]); diff != "" {
		t.Error("the first grants while the small customer is within its fair share:", diff)
	}
	// With equal weights each customer gets half of the 18 grants, give or take one.
	if granted["small"] < 8 || granted["flood"] < 8 {
		t.Errorf("granted while both customers have queued requests: %v", granted)
	}
}

// TestLedgerFloodOfShortRequests guards against fair sharing that considers only memory. A flood of short requests would then
// occupy the batch slots and still precede a small customer's longer requests.
func TestLedgerFloodOfShortRequests(t *testing.T) {
	for _, c := range []struct {
		name                 string
		flood, small         int // prompt tokens
		floodWeight          int
		wantSmall, wantFlood int // of the first ten grants after the flood
	}{
		{"flood uses slots, small customer uses memory", 100, 5_000, 1, 8, 2},
		{"requests of equal size", 5_000, 5_000, 1, 8, 2},
		{"flood has a higher weight", 100, 5_000, 3, 4, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newWarmLedger(spec())
			now := start
			requestGrant := func(name string, i, tokens, weight int) engine.Decision {
				req := grantRequest(fmt.Sprint(name, i), tokens)
				req.Customer, req.Weight, req.StartWithin, req.MaxWait = name, weight, 10*time.Minute, 10*time.Minute
				return l.RequestGrant(now, req)
			}
			var running []string
			for i := range 40 {
				if d, ok := requestGrant("flood", i, c.flood, c.floodWeight).(engine.Granted); ok {
					running = append(running, d.ID())
				}
			}
			for i := range 10 {
				requestGrant("small", i, c.small, 1)
			}
			granted := map[string]int{}
			for n := 0; n < 10; {
				now = now.Add(time.Second)
				l.ObserveReport(now, engine.Report{Instance: 1, Sequence: uint64(now.Unix())})
				l.Release(now, running[0], engine.Result{})
				running = running[1:]
				for _, d := range l.ProcessQueue(now) {
					if g, ok := d.(engine.Granted); ok && n < 10 {
						n++
						granted[g.Grant.Request.Customer]++
						running = append(running, g.ID())
					}
				}
			}
			if granted["small"] != c.wantSmall || granted["flood"] != c.wantFlood {
				t.Errorf("granted %v, want small %d and flood %d", granted, c.wantSmall, c.wantFlood)
			}
		})
	}
}

// TestLedgerProcessQueue guards against requests that stay queued although they cannot start in time, and against the loss of a
// queued request.
func TestLedgerProcessQueue(t *testing.T) {
	l := newWarmLedger(spec())
	l.RequestGrant(start, grantRequest("a", 90_000))
	for id, startWithin := range map[string]time.Duration{"urgent": 12 * time.Second, "patient": time.Minute} {
		req := grantRequest(id, 12_000)
		req.StartWithin, req.MaxWait = startWithin, startWithin
		l.RequestGrant(start, req)
	}
	outcomes := func(now time.Duration) map[string]string {
		l.ObserveReport(at(now), engine.Report{Instance: 1, Sequence: uint64(now), Streams: []engine.StreamReport{{ID: "a", Tokens: 90_100}}, PrefillBacklog: 90_000})
		out := map[string]string{}
		for _, d := range l.ProcessQueue(at(now)) {
			out[d.ID()] = describeDecision(d)
		}
		return out
	}
	if diff := cmp.Diff(map[string]string{}, outcomes(time.Second)); diff != "" {
		t.Error("after 1 s, while the prefill is behind the prediction:", diff)
	}
	if diff := cmp.Diff(map[string]string{"urgent": "deadline"}, outcomes(5*time.Second)); diff != "" {
		t.Error("after 5 s:", diff)
	}
	l.Release(at(6*time.Second), "a", engine.Result{TTFT: time.Second})
	if diff := cmp.Diff(map[string]string{"patient": "granted"}, outcomes(6*time.Second)); diff != "" {
		t.Error("after the release:", diff)
	}
}

// TestLedgerFailedWorkStaysReserved guards against memory that counts as free while the endpoint may still have a failed stream.
// This must hold after a report from before the failure, a report of a restart before the failure, and a repeated release.
func TestLedgerFailedWorkStaysReserved(t *testing.T) {
	listed := []engine.StreamReport{{ID: "a", Tokens: 50_100}}
	failed := engine.Result{Failed: true}
	for _, c := range []struct {
		name string
		then func(l *engine.Ledger)
		want int
	}{
		{"no report", func(l *engine.Ledger) {}, 49_900},
		{"report from before", func(l *engine.Ledger) {
			l.ObserveReport(at(1500*time.Millisecond), engine.Report{Instance: 1, Sequence: 2, Age: time.Second})
		}, 49_900},
		{"restart before the failure", func(l *engine.Ledger) {
			l.ObserveReport(at(1500*time.Millisecond), engine.Report{Instance: 2, Age: time.Second})
		}, 49_900},
		{"report lists it", func(l *engine.Ledger) {
			l.Release(at(1500*time.Millisecond), "a", failed)
			l.ObserveReport(at(1500*time.Millisecond), engine.Report{Instance: 1, Sequence: 2, Streams: listed})
		}, 49_900},
		{"report without it", func(l *engine.Ledger) {
			l.ObserveReport(at(1500*time.Millisecond), engine.Report{Instance: 1, Sequence: 2})
		}, 100_000},
		{"engine no longer keeps the stream", func(l *engine.Ledger) { l.ProcessQueue(at(4 * time.Second)) }, 100_000},
	} {
		l := newWarmLedger(spec())
		l.RequestGrant(start, grantRequest("a", 50_000))
		l.Release(at(time.Second), "a", failed)
		c.then(l)
		if got := l.Load().FreeTokens; got != c.want {
			t.Errorf("%s: %d tokens free, want %d", c.name, got, c.want)
		}
	}
}

// engineModel is the true state of an engine. The ledger under test only learns about it from reports.
type engineModel struct {
	ledger          *engine.Ledger
	now             time.Time
	usableShares    int
	ids             []string // IDs of all grant requests so far
	grants          map[string]engine.Grant
	grantedAt       map[string]time.Time
	sent            map[string]bool
	streams         map[string]int       // on the engine
	lostSince       map[string]time.Time // streams whose connection failed; the engine keeps them for 2 s
	foreign         map[string]int       // tokens of streams under grants of other owners
	reportedForeign map[string]int       // foreign streams in the report that was last applied
	sample          engine.Report
	sampledAt       time.Time
}

// committed returns the tokens and the number of sequences that are on the engine or may still be sent to it under a grant.
func (m *engineModel) committed() (tokens, n int) {
	for _, used := range m.streams {
		tokens += used
		n++
	}
	for id, g := range m.grants {
		if _, ok := m.streams[id]; !ok && !m.sent[id] && m.now.Sub(m.grantedAt[id]) < engine.GrantLifetime {
			tokens += g.Request.Tokens()
			n++
		}
	}
	return tokens, n
}

// recordGrant adds a new grant and fails the test if it exceeds the usable shares or the cold-start allowance.
func (m *engineModel) recordGrant(t *rapid.T, g engine.Grant, before engine.Load) {
	m.grants[g.ID], m.grantedAt[g.ID] = g, m.now
	tokens, n := m.committed()
	for _, used := range m.reportedForeign {
		tokens += used
		n++
	}
	if limit := spec().KVTokens * m.usableShares / 3; tokens > limit {
		t.Fatalf("grant %s brings the usage to %d tokens of %d", g.ID, tokens, limit)
	}
	if before.Cold && n > before.ColdAllowance {
		t.Fatalf("grant %s brings the usage to %d sequences with a cold-start allowance of %d", g.ID, n, before.ColdAllowance)
	}
}

// takeSample stores a report of the engine's current state, for later delivery.
func (m *engineModel) takeSample() {
	m.sampledAt = m.now
	m.sample.Sequence++
	m.sample.Streams, m.sample.PrefillBacklog = nil, 0
	for id, used := range m.streams {
		m.sample.Streams = append(m.sample.Streams, engine.StreamReport{ID: id, Tokens: used})
	}
	for id, used := range m.foreign {
		m.sample.Streams = append(m.sample.Streams, engine.StreamReport{ID: id, Tokens: used, Holder: "other"})
	}
}

// deliverReport applies the stored report to the ledger. A report that is missing or too old is replaced first.
func (m *engineModel) deliverReport() {
	if m.sample.Sequence == 0 || m.now.Sub(m.sampledAt) > engine.MaxReportAge {
		m.takeSample()
	}
	r := m.sample
	r.Age = m.now.Sub(m.sampledAt)
	m.ledger.ObserveReport(m.now, r)
	m.reportedForeign = map[string]int{}
	for _, st := range r.Streams {
		if st.Holder == "other" {
			m.reportedForeign[st.ID] = st.Tokens
		}
	}
}

// TestLedgerNeverExceedsCapacity guards against grants beyond the usable shares or the cold-start allowance, and against memory
// that is released twice or never, across restarts, failures, repeated releases and delayed reports.
func TestLedgerNeverExceedsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &engineModel{
			ledger: engine.NewLedger(spec(), start), now: start, grants: map[string]engine.Grant{}, grantedAt: map[string]time.Time{},
			sent: map[string]bool{}, streams: map[string]int{}, lostSince: map[string]time.Time{}, foreign: map[string]int{},
		}
		m.sample.Instance = 1
		pick := func(t *rapid.T, ids []string) string {
			if len(ids) == 0 {
				t.Skip("nothing to pick")
			}
			slices.Sort(ids)
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		end := func(id string, r engine.Result) {
			m.ledger.Release(m.now, id, r)
			delete(m.grants, id)
		}
		shares := func(t *rapid.T) {
			m.usableShares = rapid.IntRange(0, 3).Draw(t, "usable")
			m.ledger.SetShares(m.now, m.usableShares, 3)
		}
		shares(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				req := grantRequest(fmt.Sprint("g", len(m.ids)), rapid.SampledFrom([]int{100, 5_000, 30_000, 70_000}).Draw(t, "prompt"))
				req.MaxWait = time.Duration(rapid.IntRange(0, 1).Draw(t, "wait")) * time.Minute
				m.ids = append(m.ids, req.ID)
				before := m.ledger.Load()
				if g, ok := m.ledger.RequestGrant(m.now, req).(engine.Granted); ok {
					m.recordGrant(t, g.Grant, before)
				}
			},
			"next": func(t *rapid.T) {
				before := m.ledger.Load()
				for _, d := range m.ledger.ProcessQueue(m.now) {
					if g, ok := d.(engine.Granted); ok {
						m.recordGrant(t, g.Grant, before)
					}
				}
			},
			"send": func(t *rapid.T) {
				id := pick(t, slices.Collect(maps.Keys(m.grants)))
				if !m.sent[id] && m.now.Sub(m.grantedAt[id]) < engine.GrantLifetime {
					m.sent[id] = true
					m.streams[id] = m.grants[id].Request.Tokens()
				}
			},
			"complete": func(t *rapid.T) {
				id := pick(t, slices.Collect(maps.Keys(m.streams)))
				delete(m.streams, id)
				end(id, engine.Result{TTFT: time.Millisecond})
			},
			"fail": func(t *rapid.T) {
				id := pick(t, slices.Collect(maps.Keys(m.streams)))
				if _, ok := m.grants[id]; ok {
					m.lostSince[id] = m.now
					end(id, engine.Result{Failed: true})
				}
			},
			"withdraw": func(t *rapid.T) {
				id := pick(t, slices.Clone(m.ids))
				if !m.sent[id] {
					m.ledger.Withdraw(m.now, id)
					delete(m.grants, id)
				}
			},
			"releaseAgain": func(t *rapid.T) {
				id := pick(t, slices.Clone(m.ids))
				if _, ok := m.grants[id]; !ok {
					m.ledger.SetShares(m.now, m.usableShares, 3)
					if before := m.ledger.Load(); before.QueuedRequests == 0 {
						m.ledger.Release(m.now, id, engine.Result{Failed: true})
						if diff := cmp.Diff(before, m.ledger.Load()); diff != "" {
							t.Fatal("a second release changed the ledger:", diff)
						}
					}
				}
			},
			"other": func(t *rapid.T) {
				if id := fmt.Sprint("o", rapid.IntRange(0, 2).Draw(t, "other")); m.foreign[id] > 0 {
					delete(m.foreign, id)
				} else {
					m.foreign[id] = rapid.IntRange(1, 40_000).Draw(t, "tokens")
				}
			},
			"restart": func(t *rapid.T) {
				clear(m.streams)
				clear(m.foreign)
				m.sample.Instance++
				m.takeSample()
			},
			"sample": func(t *rapid.T) { m.takeSample() },
			"report": func(t *rapid.T) { m.deliverReport() },
			"shares": shares,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for id, since := range m.lostSince {
					if m.now.Sub(since) >= 2*time.Second {
						delete(m.streams, id)
						delete(m.lostSince, id)
					}
				}
				if tokens, _ := m.committed(); tokens > spec().KVTokens {
					t.Fatalf("%d tokens are committed to the engine, which has memory for %d", tokens, spec().KVTokens)
				}
			},
		})
		for _, id := range m.ids {
			m.ledger.Withdraw(m.now, id)
		}
		clear(m.streams)
		clear(m.foreign)
		m.now = m.now.Add(5 * time.Second)
		m.takeSample()
		m.deliverReport()
		m.ledger.SetShares(m.now, 3, 3)
		if l := m.ledger.Load(); l.FreeTokens != spec().KVTokens || l.Running != 0 || l.QueuedRequests != 0 || l.PrefillBacklog != 0 {
			t.Fatalf("the ledger is not empty after all work has ended: %+v", l)
		}
	})
}
