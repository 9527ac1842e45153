package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case "pause".
const (
	pauseFor  = 10 * time.Second // Retry-After of the worker that is full
	fullFor   = 600 * time.Millisecond
	cutAfter  = 200 * time.Millisecond
	cutFor    = 5 * time.Second // for_s of srv_cut, by default
	ruleGrace = 500 * time.Millisecond
	mostEarly = 2 // requests of one machine that may come too early
)

// playPause lets one of five workers ask every VM for a pause of ten seconds, and then cuts that worker off from the store for five.
// The platform removes its entry after three intervals of silence, and the worker writes it again once it reaches the store.
func playPause(folder string, trouble bool) (int, error) {
	b, err := newBed(folder, 3, configuration("tent-desk", lookupRoute(), nil))
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return failed, err
	}
	var mu sync.Mutex
	var full string                    // the worker whose queue is full
	pausedAt := map[string]time.Time{} // when it first answered a VM 503 with Retry-After
	early := map[string]int{}          // requests of a VM that reached it within the pause
	handle := func(wk *worker, w http.ResponseWriter, r *http.Request) {
		from, now := vmOf(r.Header.Get("Attempt-Id")), time.Now()
		mu.Lock()
		at, asked := pausedAt[from]
		isFull := wk.id == full
		if isFull && !asked {
			pausedAt[from] = now
		}
		tooEarly := asked && strings.HasSuffix(wk.id, "0") && now.Sub(at) >= ruleGrace && now.Sub(at) < pauseFor
		if tooEarly {
			early[from]++
		}
		mu.Unlock()
		if isFull {
			w.Header().Set("Not-Executed", "1")
			w.Header().Set("Retry-After", fmt.Sprint(int(pauseFor.Seconds())))
			w.WriteHeader(http.StatusServiceUnavailable)
			b.logf("worker %s turns %s away: 503, Retry-After %v", wk.id, r.Header.Get("Attempt-Id"), pauseFor)
			return
		}
		note := ""
		if tooEarly {
			note = fmt.Sprintf(", %.1f s after it asked this machine for a pause of %v", now.Sub(at).Seconds(), pauseFor)
		}
		b.logf("worker %s runs %s%s", wk.id, r.Header.Get("Attempt-Id"), note)
		time.Sleep(30 * time.Millisecond)
		w.Header().Set("Response-Seal", "seal."+wk.id)
		_, _ = w.Write([]byte("booked"))
	}
	zones := []string{"portland", "st-thomas", "kingston", "portland", "st-thomas"}
	var first *worker
	for i, zone := range zones {
		wk, err := b.addWorker(fmt.Sprint("i-desk", i), "tent-desk", zone, 6, handle)
		if err != nil {
			return failed, err
		}
		if i == 0 {
			first = wk
		}
	}
	if err := b.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(stability)
	q := newRequester(b)
	go func() {
		time.Sleep(time.Second)
		mu.Lock()
		full = first.id
		mu.Unlock()
		b.logf("the queue of %s is full", first.id)
		time.Sleep(cutAfter)
		if trouble {
			first.setCut(true)
			b.logf("%s is cut off from the store", first.id)
		}
		time.Sleep(fullFor - cutAfter)
		mu.Lock()
		full = ""
		mu.Unlock()
		b.logf("the queue of %s has room again", first.id)
		time.Sleep(cutFor - (fullFor - cutAfter))
		first.setCut(false)
		b.logf("%s reaches the store", first.id)
	}()
	pace(60, time.Now().Add(13*time.Second), func(i int) {
		q.send(i, call{vm: b.vms[i%len(b.vms)], method: http.MethodGet, path: "/lookup/2f", limit: 2500 * time.Millisecond})
	})
	q.wg.Wait()
	b.logf("answers by status: %v", q.statuses)
	mu.Lock()
	defer mu.Unlock()
	if len(pausedAt) == 0 {
		return failed, fmt.Errorf("the worker asked no VM for a pause")
	}
	code := held
	for _, v := range b.vms {
		b.logf("%s: asked for a pause: %t; requests that reached %s within the pause, from 0.5 s on: %d", v.name, !pausedAt[v.name].IsZero(), first.id, early[v.name])
		if early[v.name] > mostEarly {
			code = broken
		}
	}
	b.logf("BUDGET broken: %t", code == broken)
	return code, nil
}
