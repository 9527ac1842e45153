package endpoint_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
)

// maxReaders is how many engines accept parts of one prompt: the first one and 16 helpers.
const maxReaders = 17

// drawEngine returns an engine of any plausible speed and size.
func drawEngine(t *rapid.T) *endpoint.Engine {
	return &endpoint.Engine{
		Slots:           rapid.IntRange(1, 16).Draw(t, "slots"),
		Memory:          rapid.IntRange(5_000, 500_000).Draw(t, "memory"),
		Step:            time.Duration(rapid.IntRange(200, 5_000).Draw(t, "stepMicros")) * time.Microsecond,
		StepPerSequence: time.Duration(rapid.IntRange(0, 50).Draw(t, "sequenceMicros")) * time.Microsecond,
		StepPerContext:  time.Duration(rapid.IntRange(0, 10).Draw(t, "contextMicros")) * time.Microsecond,
		ReadRate:        float64(rapid.IntRange(20_000, 400_000).Draw(t, "readRate")),
		PairTime:        time.Duration(rapid.IntRange(0, 1_000).Draw(t, "pairMicros")) * time.Microsecond,
		Chunk:           rapid.IntRange(512, 8_192).Draw(t, "chunk"),
		Stride:          rapid.IntRange(1, 100).Draw(t, "stride"),
	}
}

func drawPrompt(t *rapid.T) endpoint.Prompt {
	millis := func(most int, name string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	p := endpoint.Prompt{
		Tokens: rapid.IntRange(1, 1_500_000).Draw(t, "tokens"), Output: rapid.IntRange(0, 4_000).Draw(t, "output"),
		Aim: millis(5_000, "aim"), Pause: millis(2_000, "pause"), Limit: 15 * time.Second,
		Returned: rapid.Bool().Draw(t, "returned"),
	}
	p.Waited = min(millis(15_000, "waited"), p.Limit)
	return p
}

// running is a placement that a random site has not ended.
type running struct {
	*endpoint.Placement
	memory map[string]int // tokens by engine
}

// Pattern: any load on any site. Guards against placements that an engine refuses or that break a bound, on sites unlike the known
// ones: an engine twice or too many of them, one that leaves or is drained, more memory or requests than it has, and refusals
// that are not final or name no time to come back.
func TestRandomSites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEngine(t)
		f := endpoint.NewFleet(endpoint.WithRandom(func() float64 { return 0 }))
		f.SetServices(map[string]*endpoint.Service{model: {Name: model, Engine: e}})
		closed := map[string]bool{} // engines that get nothing
		for i := range rapid.IntRange(0, 40).Draw(t, "engines") {
			entry := engineEntry(i)
			entry.Slots, entry.Draining = e.Slots, rapid.IntRange(0, 9).Draw(t, "draining") == 0
			closed[entry.ID] = entry.Draining || entry.DataCentre == "dc2"
			f.Put(start, entry, 0)
		}
		f.SetDrained(map[string]bool{"dc2": true})
		var active []running
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "prompts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			if len(active) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(active)-1).Draw(t, "which")
				active[i].Begun()
				if rapid.Bool().Draw(t, "whole") {
					active[i].End(now, endpoint.Good)
					active = slices.Delete(active, i, i+1)
				}
			}
			prompt := drawPrompt(t)
			p, refusal := f.PlaceGeneration(now, model, prompt, nil)
			if refusal != nil {
				if refusal.Verdict() != customer.NotRun || refusal.RetryAfter() < 0 {
					t.Fatalf("refusal %v, retry after %v", refusal, refusal.RetryAfter())
				}
				continue
			}
			r := running{Placement: p, memory: map[string]int{}}
			first := prompt.Tokens + prompt.Output
			for _, h := range p.Helpers() {
				r.memory[h.ID] = h.Memory
				first -= h.Memory
			}
			r.memory[p.First().ID] = first
			if n := len(p.Helpers()) + 1; len(r.memory) != n || n > maxReaders {
				t.Fatalf("%d engines read, %d different ones", n, len(r.memory))
			}
			active = append(active, r)
			checkSite(t, e, closed, active)
		}
	})
}

// checkSite compares what runs on each engine with what it has.
func checkSite(t *rapid.T, e *endpoint.Engine, closed map[string]bool, active []running) {
	memory, requests := map[string]int{}, map[string]int{}
	for _, r := range active {
		requests[r.First().ID]++
		for id, tokens := range r.memory {
			memory[id] += tokens
		}
	}
	last := active[len(active)-1]
	for id := range last.memory {
		if closed[id] {
			t.Fatalf("%s is drained or leaves and gets a part", id)
		}
		if memory[id] > e.Memory || requests[id] > e.Slots {
			t.Fatalf("%s holds %d tokens of %d and runs %d requests of %d", id, memory[id], e.Memory, requests[id], e.Slots)
		}
	}
}
