package main

import "time"

// runPath sends a request whose path begins with two slashes and has an escaped character. The rule UNASKED is broken if the worker runs
// it with another path.
func runPath(l *lab, trouble bool) (bool, error) {
	w, err := l.newWorker("i-a1", "desk", zones[0], false)
	if err != nil {
		return false, err
	}
	err = l.publish([]route{
		{kind: "unsafe", service: "desk", timeout: 1200 * time.Millisecond, target: 150 * time.Millisecond, attempts: 1},
	}, []map[string]any{{"name": "desk", "healthPath": "/health", "connectionLimit": 110, "coldStartS": 0.0, "coldPerS": 0.0}})
	if err != nil {
		return false, err
	}
	if err := l.startVMs(3); err != nil {
		return false, err
	}
	path := "/files/tower%20visit"
	if trouble {
		path = "//files/tower%20visit"
	}
	a := l.vms[0].send(call{id: newID(), method: "POST", path: path, body: "booking", timeLimit: 2500 * time.Millisecond})
	l.note("the caller sent %s: status %d, complete %v", path, a.status, a.complete)
	broken := false
	for _, got := range w.seen() {
		l.note("the worker ran %s", got.target)
		broken = broken || got.target != path
	}
	return broken, nil
}
