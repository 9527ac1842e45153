package main

import (
	"sync"
	"time"
)

const (
	coldPerSecond = 26.0
	callsPerVM    = 40 // calls per second
)

// runEvacuate empties a zone and takes it back. Its worker is cold at the end and says so in its next status report. The rule FAILBACK is
// broken if the worker gets more requests in one second than the bound while it is cold.
func runEvacuate(l *lab, trouble bool) (bool, error) {
	var workers []*worker
	for i, zone := range zones {
		w, err := l.newWorker([]string{"i-a1", "i-b2", "i-c3"}[i], "desk", zone, false)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	err := l.publish([]route{
		{name: "lookup", kind: "safe", service: "desk", timeout: 1200 * time.Millisecond, target: 150 * time.Millisecond, attempts: 2},
	}, []map[string]any{{"name": "desk", "healthPath": "/health", "connectionLimit": 314, "coldStartS": 3.0, "coldPerS": coldPerSecond}})
	if err != nil {
		return false, err
	}
	if err := l.startVMs(6); err != nil {
		return false, err
	}
	cold := workers[1]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, v := range l.vms {
		wg.Go(func() {
			ticker := time.NewTicker(time.Second / callsPerVM)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				wg.Go(func() {
					v.send(call{id: newID(), method: "GET", path: "/lookup/2f", timeLimit: 2500 * time.Millisecond})
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		l.store.Put("keyed.op", "evacuate/"+cold.zone, []byte("{}"))
		l.note("evacuate %s", cold.zone)
	}
	time.Sleep(6 * time.Second)
	var coldFrom, coldTo time.Time
	if trouble {
		<-cold.reported // the next status report is due after a heartbeat
		cold.mu.Lock()
		coldFrom = time.Now()
		coldTo = coldFrom.Add(3 * time.Second)
		cold.coldUntil = coldTo
		cold.mu.Unlock()
		l.store.Put("keyed.op", "evacuate/"+cold.zone, nil)
		l.note("%s is taken back; %s is cold for 3 s", cold.zone, cold.id)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	bound := int(coldPerSecond*coldFactor + coldSlack)
	most := 0
	var window []time.Time
	counts := map[int]int{}
	for _, a := range cold.seen() {
		if a.at.Before(coldFrom) || a.at.After(coldTo) || !trouble {
			continue
		}
		counts[int(a.at.Sub(coldFrom)/(100*time.Millisecond))]++
		window = append(window, a.at)
		for a.at.Sub(window[0]) >= time.Second {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	for i := range 30 {
		l.note("cold worker %s, %4d ms after the return: %d requests in 100 ms", cold.id, i*100, counts[i])
	}
	l.note("most requests to the cold worker in one second: %d, bound %d", most, bound)
	return most > bound, nil
}
