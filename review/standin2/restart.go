package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"goldcrestpath/endpoint"
)

// Figures of the case "restart".
const (
	coldPerSecond = 26                     // coldPerS
	mostCold      = coldPerSecond*1.5 + 5  // coldPerS x coldOverloadFactor + coldSlack
	coldStart     = 3 * time.Second        // coldStartS
	questionsPerS = 102                    // the site's 60 requests a second, in a burst with x = 1.7
	killAfter     = 400 * time.Millisecond // from the first request at the cold engine
	restartAfter  = 200 * time.Millisecond
)

// playRestart adds an engine, which is cold, and kills all VMs while they use it. The platform starts them again.
func playRestart(folder string, trouble bool) (int, error) {
	b, err := newBed(folder, 3, configuration("weaver-model", questionRoute(), engineOfSite()))
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return failed, err
	}
	var mu sync.Mutex
	var cold []time.Time // arrivals at the engine while it was cold
	used := make(chan struct{})
	handle := func(wk *worker, w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		b.mu.Lock()
		isCold := now.Before(wk.coldUntil)
		b.mu.Unlock()
		if isCold {
			mu.Lock()
			if cold = append(cold, now); len(cold) == 1 {
				close(used)
			}
			mu.Unlock()
		}
		b.logf("worker %s (cold: %t) runs %s", wk.id, isCold, r.Header.Get("Attempt-Id"))
		writeStream(wk, w, r, eventsInQ, eventPause)
	}
	zones := []string{"portland", "st-thomas", "kingston"}
	first := endpoint.Key(^uint64(0))
	for i := range 6 {
		wk, err := b.addWorker(fmt.Sprint("i-weaver", i), "weaver-model", zones[i%3], 16, handle)
		if err != nil {
			return failed, err
		}
		first = min(first, endpoint.KeyOf(wk.id))
	}
	if err := b.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(stability)
	q := newRequester(b)
	var caseErr error
	var disruption sync.WaitGroup
	disruption.Go(func() {
		time.Sleep(2 * time.Second)
		id := "i-weaver-added"
		for n := 0; endpoint.KeyOf(id) >= first; n++ {
			id = fmt.Sprint("i-weaver-added", n) // an ID that comes first in the order of the engines
		}
		b.logf("%s is added, cold for %v", id, coldStart)
		if _, caseErr = b.addColdWorker(id, "weaver-model", zones[0], 16, coldStart, handle); caseErr != nil {
			return
		}
		select {
		case <-used:
		case <-time.After(coldStart):
			caseErr = fmt.Errorf("no request reached the cold engine")
			return
		}
		time.Sleep(killAfter)
		if !trouble {
			return
		}
		b.logf("all VMs are killed")
		for _, v := range b.vms {
			v.kill()
		}
		time.Sleep(restartAfter)
		for _, v := range b.vms {
			if caseErr = v.run(); caseErr != nil {
				return
			}
		}
		b.logf("all VMs are started again")
	})
	pace(questionsPerS, time.Now().Add(7*time.Second), func(i int) {
		q.send(i, call{vm: b.vms[i%len(b.vms)], method: http.MethodPost, path: "/question/2f", body: "How long may a tower visit take?", limit: 10 * time.Second,
			header: map[string]string{"Model": "m", "Token-Counts": "1000,204", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%08x:960", i)}})
	})
	disruption.Wait()
	q.wg.Wait()
	if caseErr != nil {
		return failed, caseErr
	}
	b.logf("answers by status: %v", q.statuses)
	mu.Lock()
	defer mu.Unlock()
	most, from := 0, 0
	for last := range cold {
		for cold[last].Sub(cold[from]) >= time.Second {
			from++
		}
		most = max(most, last-from+1)
	}
	b.logf("most requests to the cold engine in one second: %d of at most %g; %d while it was cold", most, float64(mostCold), len(cold))
	code := held
	if float64(most) > mostCold {
		code = broken
	}
	b.logf("FAILBACK broken: %t", code == broken)
	return code, nil
}
