package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	poisonPart     = "dead01"
	poisonEngines  = 10
	poisonInterval = 2500 * time.Millisecond
	soundPerSecond = 50
)

// runPoison sends sound prompts, and now and then one with a part that ends the process of each worker that is about to write its
// answer. The rule BUDGET is broken if more than three such requests reach workers later than the stability window after the fifth end.
func runPoison(l *lab, trouble bool) (bool, error) {
	var engines []*worker
	for i := range poisonEngines {
		w, err := l.newWorker(fmt.Sprintf("i-%02d", i), "model", zones[i%len(zones)], true)
		if err != nil {
			return false, err
		}
		if trouble {
			w.poison = poisonPart
		}
		engines = append(engines, w)
	}
	err := l.publish([]route{
		{name: "question", kind: "streaming", service: "model", timeout: 10 * time.Second, target: 300 * time.Millisecond, gapLimit: 250 * time.Millisecond, attempts: 2},
	}, []map[string]any{engineService("model")})
	if err != nil {
		return false, err
	}
	if err := l.startVMs(6); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	send := func(kind, parts string) {
		wg.Go(func() {
			c := call{id: newID(), method: "POST", path: "/question/2f", body: "q", timeLimit: 10 * time.Second, header: map[string]string{
				"Model": "m", "Token-Counts": "4960,1000", "Prompt-Prefix": parts + newID() + ":4900"}}
			a := l.vms[rand.IntN(len(l.vms))].send(c)
			mu.Lock()
			defer mu.Unlock()
			results[fmt.Sprintf("%s: status %d, complete %v", kind, a.status, a.complete)]++
			if kind == "poison" {
				l.note("prompt %s with the part: status %d, complete %v, after %v: %.120s", c.id, a.status, a.complete, a.endsAt.Sub(a.sentAt), strings.TrimSpace(a.body))
			}
		})
	}
	begin := time.Now()
	for next := begin.Add(3 * time.Second); time.Since(begin) < 50*time.Second; time.Sleep(time.Second / soundPerSecond) {
		send("sound", "aa:40,")
		if time.Now().After(next) {
			send("poison", "aa:40,"+poisonPart+":20,")
			next = next.Add(poisonInterval)
		}
	}
	wg.Wait()
	var ends []time.Time
	var reached []time.Time
	for _, w := range engines {
		w.mu.Lock()
		ends = append(ends, w.ends...)
		w.mu.Unlock()
		for _, a := range w.seen() {
			if strings.Contains(a.prefix, poisonPart+":") {
				reached = append(reached, a.at)
			}
		}
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return a.Compare(b) })
	slices.SortFunc(reached, func(a, b time.Time) int { return a.Compare(b) })
	for i, at := range ends {
		l.note("end %d of a worker at %.3f s", i+1, at.Sub(l.start).Seconds())
	}
	for kind, n := range results {
		l.note("%s: %d", kind, n)
	}
	if len(ends) < 5 {
		return false, nil
	}
	late := 0
	for _, at := range reached {
		if at.Sub(ends[4]) > stabilityWindow {
			late++
			l.note("a request with the part reached a worker %v after the fifth end", at.Sub(ends[4]))
		}
	}
	l.note("%d requests with the part reached workers later than %v after the fifth end; bound 3", late, stabilityWindow)
	return late > 3, nil
}
