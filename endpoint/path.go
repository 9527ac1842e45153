package endpoint

import (
	"time"
)

// A VM can lose its paths to endpoints that other VMs reach. It knows that when it cannot open a connection to an endpoint and another VM, on
// its behalf, can. Requests then go through other VMs until a connection of its own succeeds.

// pathsLostTogether is the number of endpoints of a service in a data centre that only other VMs reach, with no connection of this VM in
// between, from which the paths to all of them count as lost.
const pathsLostTogether = 2

// pathGroup is the endpoints of a service in a data centre, to which paths are usually lost together.
type pathGroup struct{ service, dataCentre string }

// lostPaths are the paths that a VM has lost. It is part of Fleet and guarded by its mutex.
type lostPaths struct {
	endpoints map[string]pathGroup // by address
	groups    map[pathGroup]bool
	failed    map[pathGroup]map[string]bool // addresses since the last connection of this VM to the group
	notOpened map[string]bool               // addresses of endpoints since the last connection of this VM to any
}

func newLostPaths() lostPaths {
	return lostPaths{endpoints: map[string]pathGroup{}, groups: map[pathGroup]bool{}, failed: map[pathGroup]map[string]bool{}, notOpened: map[string]bool{}}
}

// groupOf returns the group of an endpoint.
func groupOf(m *member) pathGroup { return pathGroup{m.entry.Service, m.entry.DataCentre} }

// PathLost reports whether requests to the endpoint should go through another VM.
func (f *Fleet) PathLost(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	return m != nil && f.pathLostLocked(m)
}

func (f *Fleet) pathLostLocked(m *member) bool {
	if f.paths.groups[groupOf(m)] {
		return true
	}
	_, lost := f.paths.endpoints[m.entry.Address]
	return lost
}

// PathInDoubt reports whether a connection to the endpoint that was not opened in time may be due to this VM's path: one to another endpoint of
// its data centre was not opened before, or a path to another one of its service there is lost. A single endpoint that does not answer has
// more likely failed.
func (f *Fleet) PathInDoubt(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil {
		return false
	}
	r := f.reachability[m.entry.DataCentre]
	return r != nil && r.failedConnections > 0 || len(f.paths.failed[groupOf(m)]) > 0
}

// RecordConnected records that this VM opened a connection to the endpoint.
func (f *Fleet) RecordConnected(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.paths.notOpened)
	m := f.members[id]
	if m == nil || len(f.paths.endpoints) == 0 {
		return
	}
	delete(f.paths.endpoints, m.entry.Address)
	delete(f.paths.groups, groupOf(m))
	delete(f.paths.failed, groupOf(m))
}

// RecordNotOpened records that this VM could not open a connection to the endpoint at an address. It reports whether this VM may be cut off: it could
// not for pathsLostTogether different endpoints, with no connection to any in between. Its failures then say nothing of the endpoints.
func (f *Fleet) RecordNotOpened(address string) (mayBeCutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.paths.notOpened) < pathsLostTogether {
		f.paths.notOpened[address] = true
	}
	return len(f.paths.notOpened) >= pathsLostTogether
}

// RecordRelayed records that this VM could not open a connection to the endpoint and that another VM could. first is set if the path was not
// known to be lost, and all if the paths to all endpoints of its service in its data centre count as lost from now on.
func (f *Fleet) RecordRelayed(id string) (first, all bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil {
		return false, false
	}
	g := groupOf(m)
	_, known := f.paths.endpoints[m.entry.Address]
	f.paths.endpoints[m.entry.Address] = g
	if f.paths.failed[g] == nil {
		f.paths.failed[g] = map[string]bool{}
	}
	f.paths.failed[g][m.entry.Address] = true
	if len(f.paths.failed[g]) < pathsLostTogether || f.paths.groups[g] {
		return !known, false
	}
	f.paths.groups[g] = true
	return !known, true
}

// RecordRelayProbe records that another VM reaches an endpoint in a data centre that counted as unreachable. Its endpoints are used again,
// through other VMs.
func (f *Fleet) RecordRelayProbe(id string) {
	f.RecordRelayed(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		delete(f.reachability, m.entry.DataCentre)
		f.notifyCapacityLocked()
	}
}

// lostPathTargetsLocked returns endpoints to probe: of each group one if all its paths count as lost, or else up to maxPathProbes.
func (f *Fleet) lostPathTargetsLocked() []Target {
	known := map[string]*member{}
	for _, m := range f.members {
		known[m.entry.Address] = m
	}
	count := map[pathGroup]int{}
	var targets []Target
	for address, g := range f.paths.endpoints {
		m := known[address]
		if m == nil || groupOf(m) != g {
			delete(f.paths.endpoints, address) // the endpoint is gone
			delete(f.paths.failed[g], address)
			continue
		}
		if count[g]++; count[g] == 1 || count[g] <= maxPathProbes && !f.paths.groups[g] {
			targets = append(targets, Target{ID: m.entry.ID, Address: address})
		}
	}
	for g := range f.paths.groups {
		if count[g] == 0 {
			delete(f.paths.groups, g)
			delete(f.paths.failed, g)
		}
	}
	return targets
}

// maxPathProbes limits the probes of a group at once.
const maxPathProbes = 4

// CutOff reports whether this VM reaches no endpoint in use itself, so that it can relay no connection.
func (f *Fleet) CutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	inUse := false
	for _, m := range f.members {
		if m.entry.Draining || f.drained[m.entry.DataCentre] {
			continue
		}
		inUse = true
		if r := f.reachability[m.entry.DataCentre]; (r == nil || r.usable()) && !f.pathLostLocked(m) {
			return false
		}
	}
	return inUse
}

// LostPaths returns the number of endpoints to which the paths of this VM count as lost.
func (f *Fleet) LostPaths() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.paths.endpoints) == 0 {
		return 0
	}
	n := 0
	for _, m := range f.members {
		if f.pathLostLocked(m) {
			n++
		}
	}
	return n
}

// RelayPathLost is the reason of RelayTarget if this VM has lost its own path to the endpoint, and so probably to others.
const RelayPathLost = "pathLost"

// RelayTarget returns the ID and the data centre of the endpoint at an address, and why this VM relays no connection there, or "". An endpoint
// that gets no request of this VM gets none through it either.
func (f *Fleet) RelayTarget(now time.Time, address string) (id, dataCentre, refusal string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.entry.Address != address {
			continue
		}
		switch {
		case m.entry.Draining:
			return m.entry.ID, m.entry.DataCentre, "draining"
		case m.leaving:
			return m.entry.ID, m.entry.DataCentre, "leaving"
		case f.drained[m.entry.DataCentre]:
			return m.entry.ID, m.entry.DataCentre, "dataCentreDrained"
		case now.Before(m.pausedUntil):
			return m.entry.ID, m.entry.DataCentre, "paused"
		case f.pathLostLocked(m):
			return m.entry.ID, m.entry.DataCentre, RelayPathLost
		}
		return m.entry.ID, m.entry.DataCentre, ""
	}
	return "", "", "unknown"
}
