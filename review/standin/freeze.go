package main

import (
	"sync"
	"syscall"
	"time"
)

// runFreeze freezes a VM for four seconds. After it is back, a worker leaves without a report of draining. The rule DRAIN is broken if
// the VM, once it is in touch again, sends the worker a request later than the drain delay after the store accepted its leaving.
func runFreeze(l *lab, trouble bool) (bool, error) {
	var workers []*worker
	for i, zone := range zones {
		w, err := l.newWorker([]string{"i-a1", "i-b2", "i-c3"}[i], "desk", zone, false)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	err := l.publish([]route{
		{name: "settle", kind: "unsafe", service: "desk", timeout: 1200 * time.Millisecond, target: 150 * time.Millisecond, attempts: 1},
	}, []map[string]any{{"name": "desk", "healthPath": "/health", "connectionLimit": 110, "coldStartS": 0.0, "coldPerS": 0.0}})
	if err != nil {
		return false, err
	}
	if err := l.startVMs(6); err != nil {
		return false, err
	}
	frozen, leaving := l.vms[4], workers[0]
	if trouble {
		if err := frozen.signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		if err := frozen.signal(syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	wokeAt := time.Now()
	time.Sleep(1500 * time.Millisecond)
	select {
	case <-l.reads: // a read of the entries has just ended; the next one shows the change
	case <-time.After(2 * time.Second):
	}
	leaving.leave()
	leftAt := time.Now()
	l.note("the store accepts that %s is gone, %v after the VM is back", leaving.id, leftAt.Sub(wokeAt))
	time.Sleep(time.Until(leftAt.Add(drainDelay + 250*time.Millisecond)))
	l.note("the VM is back for %v", time.Since(wokeAt))
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() {
			c := call{id: newID(), method: "POST", path: "/settle/2f", body: "booking", timeLimit: 2500 * time.Millisecond}
			a := frozen.send(c)
			l.note("booking %s: status %d, complete %v: %s", c.id, a.status, a.complete, a.body)
		})
	}
	wg.Wait()
	broken := false
	for _, a := range leaving.seen() {
		late := a.at.Sub(leftAt) - drainDelay
		l.note("%s got %s %v after its leaving was accepted", leaving.id, a.id, a.at.Sub(leftAt))
		broken = broken || late > 0 && a.at.Sub(wokeAt) > stabilityWindow
	}
	return broken, nil
}
