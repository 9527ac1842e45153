package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case "parts".
const (
	crashingPart = "0badbad0"              // ID of the part that crashes workers
	crashDown    = 2500 * time.Millisecond // until a worker that crashed is back
	crashedFirst = 5                       // crashes from which the rule counts
	mostCrashing = 3                       // requests with the part that may still reach workers
	prefillTime  = 30 * time.Millisecond   // until a worker begins to answer a request with the part
	soundPerS    = 20
	fewestSound  = 20 // sound requests before and after
)

// prompts are the prompts of a case.
type prompts struct {
	parts      int // of one prompt; the last one is its own
	shared     int // the first parts, which all prompts share; the others belong to a session
	crashingAt int // position of the part that crashes workers
	sessions   int // number of sessions

	every time.Duration // time between two groups of prompts with the part that crashes workers
	group int           // prompts in a group
	gap   time.Duration // time between the prompts of a group
}

// prefix returns the Prompt-Prefix of a prompt. A prompt with the part that crashes workers belongs to the session of a sound one.
func (p *prompts) prefix(number, session int, crashing bool) string {
	list := make([]string, p.parts)
	for i := range list {
		switch {
		case crashing && i == p.crashingAt:
			list[i] = crashingPart + ":10"
		case i < p.shared:
			list[i] = fmt.Sprintf("5c1e%04x:10", i)
		case i < p.parts-1:
			list[i] = fmt.Sprintf("%04x%04x:10", session%p.sessions, i)
		default:
			list[i] = fmt.Sprintf("f%07x:10", number)
		}
	}
	return strings.Join(list, ",")
}

// Rules that a case judges.
type partsRule int

const (
	rulePassedOn partsRule = iota // BUDGET: requests with the part that still reach workers
	ruleSound                     // LOST: sound requests that don't begin any more
)

// playManySessions judges LOST with the prompts of very many sessions. They have 150 parts, which are 1.8 KiB of a header of at most 16 KiB.
func playManySessions(folder string, trouble bool) (int, error) {
	return playParts(folder, trouble, &prompts{parts: 150, shared: 20, crashingAt: 75, sessions: 1 << 16, every: 1500 * time.Millisecond, group: 1}, ruleSound)
}

// playGroups judges BUDGET with prompts of four parts, of which four with the part that crashes workers come at almost the same time.
func playGroups(folder string, trouble bool) (int, error) {
	return playParts(folder, trouble, &prompts{parts: 4, shared: 1, crashingAt: 2, sessions: 10, every: 4 * time.Second, group: 4, gap: 40 * time.Millisecond}, rulePassedOn)
}

// playParts sends prompts, some of which have a part that crashes each worker that begins to answer it.
func playParts(folder string, trouble bool, p *prompts, rule partsRule) (int, error) {
	b, err := newBed(folder, 3, configuration("weaver-model", questionRoute(), engineOfSite()))
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return failed, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	var reached []time.Time // arrivals of requests with the part
	sent := map[int]time.Time{}
	began := map[int]bool{} // sound requests that began to run, by number
	var background sync.WaitGroup
	handle := func(wk *worker, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		if strings.Contains(r.Header.Get("Prompt-Prefix"), crashingPart) {
			mu.Lock()
			reached = append(reached, time.Now())
			mu.Unlock()
			b.logf("a request with the crashing part reaches worker %s: %s", wk.id, id)
			if trouble {
				run := wk.run()
				time.Sleep(prefillTime)
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
				return
			}
		}
		if _, number, ok := strings.Cut(id, "."); ok && !strings.Contains(r.Header.Get("Prompt-Prefix"), crashingPart) {
			n, _ := strconv.ParseInt(number, 16, 64) // IDs are the requester's own
			mu.Lock()
			began[int(n)] = true
			mu.Unlock()
		}
		writeStream(wk, w, r, eventsInQ, eventPause)
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
	send := func(session int, crashing bool) {
		n := int(number.Add(1))
		if !crashing {
			mu.Lock()
			sent[n] = time.Now()
			mu.Unlock()
		}
		q.send(n, call{vm: b.vms[n%len(b.vms)], method: http.MethodPost, path: "/question/2f", body: "How long may a tower visit take?", limit: 10 * time.Second,
			header: map[string]string{"Model": "m", "Token-Counts": "2000,204", "Prompt-Prefix": p.prefix(n, session, crashing)}})
	}
	end := time.Now().Add(30 * time.Second)
	var groups sync.WaitGroup
	groups.Go(func() {
		time.Sleep(2 * time.Second)
		for next := time.Now(); next.Before(end); next = next.Add(p.every) {
			time.Sleep(time.Until(next))
			for range p.group {
				send(int(number.Load()), true)
				time.Sleep(p.gap)
			}
		}
	})
	pace(soundPerS, end, func(int) { send(int(number.Load())+1, false) })
	groups.Wait()
	q.wg.Wait()
	background.Wait()
	b.logf("answers by status: %v", q.statuses)
	mu.Lock()
	defer mu.Unlock()
	if len(reached) == 0 {
		return failed, fmt.Errorf("no request with the part reached a worker")
	}
	late, from := 0, time.Time{}
	if len(crashes) > 0 {
		from = crashes[min(crashedFirst, len(crashes))-1]
	}
	for _, at := range reached {
		if len(crashes) >= crashedFirst && at.After(from.Add(stability)) {
			late++
		}
	}
	b.logf("crashes: %d; requests with the part that reached workers later than 3 s after the fifth crash: %d of at most %d", len(crashes), late, mostCrashing)
	var before, after, beganBefore, beganAfter float64
	for n, at := range sent {
		switch {
		case at.Before(reached[0]):
			before++
			if began[n] {
				beganBefore++
			}
		case len(crashes) == 0 || at.After(from.Add(2*stability)):
			after++
			if began[n] {
				beganAfter++
			}
		}
	}
	b.logf("sound requests that began: %g of %g before the first request with the part, %g of %g from 6 s after the fifth crash", beganBefore, before, beganAfter, after)
	if before < fewestSound || after < fewestSound {
		return failed, fmt.Errorf("too few sound requests to judge")
	}
	code := held
	if rule == rulePassedOn && late > mostCrashing || rule == ruleSound && beganAfter/after < beganBefore/before/2 {
		code = broken
	}
	b.logf("%s broken: %t", map[partsRule]string{rulePassedOn: "BUDGET", ruleSound: "LOST"}[rule], code == broken)
	return code, nil
}
