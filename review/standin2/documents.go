package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case "documents".
const (
	ownKey       = "key-of-the-caller" // of the caller whose documents have the part
	ownPerS      = 10                  // sound requests a second of that caller
	othersPerS   = 10                  // requests a second of all others
	askEvery     = 1500 * time.Millisecond
	oldSession   = 4 * time.Second  // of sound requests, before the new documents
	onlyCrashing = 10 * time.Second // after that, the caller also asks without the part
	documentsEnd = 36 * time.Second
)

// playDocuments lets a caller ask about three new documents, one of which crashes workers, and then about the two sound ones as well.
func playDocuments(folder string, trouble bool) (int, error) {
	cfg := configuration("weaver-model", questionRoute(), engineOfSite())
	cfg["tenants"] = append(cfg["tenants"].([]any), map[string]any{"name": "caller", "apiKeys": []string{ownKey}})
	b, err := newBed(folder, 3, cfg)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return failed, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	began := map[string]bool{} // sound requests of the caller that began to run, by Attempt-Id
	var background sync.WaitGroup
	handle := func(wk *worker, w http.ResponseWriter, r *http.Request) {
		id, run := r.Header.Get("Attempt-Id"), wk.run()
		time.Sleep(prefillTime)
		if !strings.Contains(r.Header.Get("Prompt-Prefix"), crashingPart) || !trouble {
			mu.Lock()
			began[id] = true
			mu.Unlock()
			writeStream(wk, w, r, eventsInQ, eventPause)
			return
		}
		at := time.Now()
		if !wk.crash(run) {
			return // it crashed under another request
		}
		b.logf("worker %s crashes as it begins to answer %s", wk.id, id)
		mu.Lock()
		crashes = append(crashes, at)
		mu.Unlock()
		background.Go(func() {
			time.Sleep(crashDown)
			if err := wk.boot(0); err != nil {
				b.logf("worker %s is not back: %v", wk.id, err)
			}
		})
		<-r.Context().Done()
	}
	zones := []string{"portland", "st-thomas", "kingston"}
	for i := range 9 {
		if _, err := b.addWorker(fmt.Sprint("i-weaver", i), "weaver-model", zones[i%3], 16, handle); err != nil {
			return failed, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(stability)
	q := newRequester(b)
	var number atomic.Int64
	type sentRequest struct {
		id string
		at time.Time
	}
	var sound []sentRequest
	send := func(key, kind, parts string) {
		n := int(number.Add(1))
		v := b.vms[n%len(b.vms)]
		id := fmt.Sprintf("%s.%06x", v.name, n)
		if kind == "sound" {
			mu.Lock()
			sound = append(sound, sentRequest{id, time.Now()})
			mu.Unlock()
		}
		b.logf("%s request %s: %s", kind, id, parts)
		q.send(n, call{vm: v, method: http.MethodPost, path: "/question/2f", body: "What do the papers say?", limit: 10 * time.Second, header: map[string]string{
			"Authorization": "Bearer " + key, "Model": "m", "Token-Counts": "2000,204", "Prompt-Prefix": fmt.Sprintf("%s,f%07x:200", parts, n),
		}})
	}
	start := time.Now()
	end := start.Add(documentsEnd)
	newDocuments := start.Add(oldSession)
	var senders sync.WaitGroup
	senders.Go(func() {
		pace(othersPerS, end, func(i int) { send(key, "other", fmt.Sprintf("0000aa%02x:40", i%20)) })
	})
	senders.Go(func() {
		for next := newDocuments; next.Before(end); next = next.Add(askEvery) {
			time.Sleep(time.Until(next))
			send(ownKey, "crashing", "5c1e0001:40,d0c00001:700,d0c00002:700,"+crashingPart+":360")
		}
	})
	pace(ownPerS, newDocuments, func(int) { send(ownKey, "sound", "5c1e0001:40,d0c00003:700,d0c00004:700") })
	time.Sleep(onlyCrashing)
	pace(ownPerS, end, func(int) { send(ownKey, "sound", "5c1e0001:40,d0c00001:700,d0c00002:700") })
	senders.Wait()
	q.wg.Wait()
	background.Wait()
	b.logf("answers by status: %v", q.statuses)
	mu.Lock()
	defer mu.Unlock()
	from := newDocuments
	if len(crashes) > 0 {
		from = crashes[min(crashedFirst, len(crashes))-1].Add(2 * stability)
	}
	var before, after, beganBefore, beganAfter float64
	for _, s := range sound {
		switch {
		case s.at.Before(newDocuments):
			before++
			if began[s.id] {
				beganBefore++
			}
		case s.at.After(from):
			after++
			if began[s.id] {
				beganAfter++
			}
		}
	}
	b.logf("crashes: %d; sound requests of the caller that began: %g of %g before the first crash, %g of %g from 6 s after the fifth", len(crashes), beganBefore, before, beganAfter, after)
	if before < fewestSound || after < fewestSound {
		return failed, fmt.Errorf("too few sound requests to judge")
	}
	code := held
	if beganAfter/after < beganBefore/before/2 {
		code = broken
	}
	b.logf("LOST broken: %t", code == broken)
	return code, nil
}
