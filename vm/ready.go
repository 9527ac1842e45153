package vm

import "time"

// ownerWait bounds how long a new VM waits for an owner of an endpoint before it turns ready without one. It covers a share lease, the
// report's lag and a grant's lifetime. A VM whose engines are all down still serves plain services and forwards completions.
const ownerWait = 10 * time.Second

// Ready implements caller.Router. A VM is ready once it has a fleet document and knows an owner of an endpoint that it can send to,
// and until it is drained, stops or another VM
// has taken its place.
func (v *VM) Ready() bool {
	w := v.view()
	if w.fleet == nil || v.stopping.Load() || w.snapshot.Drained(targetVM(v.place)) || v.node.Superseded() {
		return false
	}
	if v.served.Load() {
		return true
	}
	if !v.hasOwner(w) && time.Since(v.started) < ownerWait {
		return false
	}
	v.served.Store(true)
	return true
}

// hasOwner says whether an endpoint of this data centre has an owner, or the data centre has no engines.
func (v *VM) hasOwner(w *view) bool {
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
