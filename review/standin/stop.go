package main

import (
	"sync"
	"syscall"
	"time"
)

const longPromptLimit = 15 * time.Second

// runStop stops one VM with SIGTERM while prompts wait there for a free engine. All batch slots are taken by streams that callers started
// through the other VMs. The rule LOST is broken if a prompt that was read gets no complete answer although no worker had it.
func runStop(l *lab, trouble bool) (bool, error) {
	var engines []*worker
	for i, zone := range zones {
		w, err := l.newWorker([]string{"i-a1", "i-b2", "i-c3"}[i], "model", zone, true)
		if err != nil {
			return false, err
		}
		engines = append(engines, w)
	}
	err := l.publish([]route{
		{name: "question", kind: "streaming", service: "model", timeout: 10 * time.Second, target: 300 * time.Millisecond, gapLimit: 250 * time.Millisecond, attempts: 2},
		{name: "ledger", kind: "streaming", service: "model", timeout: longPromptLimit, target: 3 * time.Second, gapLimit: time.Second, attempts: 2},
	}, []map[string]any{engineService("model")})
	if err != nil {
		return false, err
	}
	if err := l.startVMs(6); err != nil {
		return false, err
	}
	stopped, others := l.vms[0], l.vms[1:]
	var wg sync.WaitGroup
	for i := range len(engines) * engineSlots {
		wg.Go(func() {
			c := call{id: newID(), method: "POST", path: "/question/2f", body: "q", timeLimit: 10 * time.Second, header: map[string]string{
				"Model": "m", "Token-Counts": "4960,8000", "Prompt-Prefix": "aa:40," + newID() + ":4920"}}
			a := others[i%len(others)].send(c)
			l.note("stream %s: status %d, complete %v, %v, after %v", c.id, a.status, a.complete, a.err, a.endsAt.Sub(a.sentAt))
		})
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	termAt := time.Now()
	if trouble {
		if err := stopped.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	// The load balancer checks once a second and takes a VM out after two misses, so the VM still gets connections in the first second.
	var mu sync.Mutex
	answers := map[string]answer{}
	for range 4 {
		time.Sleep(200 * time.Millisecond)
		wg.Go(func() {
			c := call{id: newID(), method: "POST", path: "/ledger/2f", body: "ledger", timeLimit: longPromptLimit, header: map[string]string{
				"Model": "m", "Token-Counts": "154000,800", "Prompt-Prefix": "bb:40," + newID() + ":153960"}}
			sentAt := time.Since(termAt)
			a := stopped.send(c)
			l.note("prompt %s, sent %v after SIGTERM: status %d, complete %v, %v, after %v: %.80s", c.id, sentAt, a.status, a.complete, a.err, a.endsAt.Sub(a.sentAt), a.body)
			mu.Lock()
			defer mu.Unlock()
			answers[c.id] = a
		})
	}
	wg.Wait()
	atWorker := map[string]bool{}
	for _, w := range engines {
		for _, a := range w.seen() {
			atWorker[a.id] = true
		}
	}
	broken := false
	for id, a := range answers {
		waited := a.endsAt.Sub(a.sentAt)
		lost := !a.complete && !atWorker[id] && waited > lossSlack && waited < longPromptLimit && a.endsAt.Sub(termAt) < stopGrace+time.Second
		l.note("prompt %s: reached a worker %v, lost %v", id, atWorker[id], lost)
		broken = broken || lost
	}
	return broken, nil
}
