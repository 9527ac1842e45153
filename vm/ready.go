package vm

import "time"

// ownerWait bounds how long a new VM waits for a usable endpoint before it becomes ready without one. It covers
// the duration of a share lease, the delay of reports and the lifetime of a grant, after which an owner can grant
// again. A VM whose engines are all down still serves plain services and forwards completions.
const ownerWait = 10 * time.Second

// Ready implements caller.Router. A VM becomes ready once it has a fleet document and either knows a usable
// endpoint or has waited for ownerWait. It stops being ready when it is drained or stopping, or when another VM has
// registered under its name.
func (v *VM) Ready() bool {
	w := v.view()
	if w.fleet == nil || v.stopping.Load() || w.snapshot.Drained(targetVM(v.name)) || v.node.Superseded() {
		return false
	}
	if v.wasReady.Load() {
		return true
	}
	if !v.hasUsableEndpoint(w) && time.Since(v.started) < ownerWait {
		return false
	}
	v.wasReady.Store(true)
	return true
}

// hasUsableEndpoint reports whether an engine in this data centre has free tokens according to its owner. It also
// returns true if the data centre has no engines.
func (v *VM) hasUsableEndpoint(w *view) bool {
	if len(w.engines) == 0 {
		return true
	}
	for _, specs := range w.engines {
		for _, s := range specs {
			if l, ok := v.node.Load(s.Name); ok && l.FreeTokens > 0 {
				return true
			}
		}
	}
	return false
}
