package endpoint

import (
	"slices"
	"time"
)

// Parameters of the judgement of endpoints that appear and break repeatedly.
const (
	// judgedAppearances is the number of newest appearances of an endpoint that count, and brokenAppearances how many of them have to
	// have broken requests within flapTime for the endpoint to be on probation.
	judgedAppearances = 3
	brokenAppearances = 2
	flapTime          = 10 * time.Second
	// probationSuccesses is the number of consecutive successful requests that end a probation.
	probationSuccesses = 3
	// maxAppearances is the number of endpoints whose appearances a VM remembers.
	maxAppearances = 1024
)

// appearances are the newest appearances of an endpoint: its entry appeared, or it succeeded again after broken requests. They
// outlast the member, because a new run of an endpoint is a new member.
type appearances struct {
	brokeAt   [judgedAppearances]time.Time // when each appearance broke a request, zero if it did not; the newest last
	probation bool                         // the endpoint gets one request at a time
	successes int                          // consecutive successful requests on probation
}

// begin records a new appearance.
func (a *appearances) begin() {
	copy(a.brokeAt[:], a.brokeAt[1:])
	a.brokeAt[judgedAppearances-1] = time.Time{}
}

// broke records a broken request of the present appearance.
func (a *appearances) broke(now time.Time) {
	a.successes = 0
	if newest := &a.brokeAt[judgedAppearances-1]; newest.IsZero() {
		*newest = now
	}
	n := 0
	for _, t := range a.brokeAt {
		if !t.IsZero() && now.Sub(t) <= flapTime {
			n++
		}
	}
	a.probation = a.probation || n >= brokenAppearances
}

// appearedLocked records that the entry of an endpoint appeared.
func (f *Fleet) appearedLocked(now time.Time, id string) {
	if a := f.paces.appearances[id]; a != nil {
		a.begin()
	}
}

// judgeLocked records an outcome for the appearances of an endpoint, before its health records it. An outcome that can be due to the
// network path does not count.
func (f *Fleet) judgeLocked(now time.Time, m *member, o Outcome) {
	if !f.paces.enabled {
		return
	}
	a := f.paces.appearances[m.entry.ID]
	switch o {
	case Broken, ConnectionRefused:
		if a == nil {
			a = &appearances{}
			f.rememberLocked(now, m.entry.ID, a)
		}
		a.broke(now)
	case Succeeded:
		if a == nil {
			return
		}
		if m.health.consecutiveBroken > 0 {
			a.begin()
		}
		if a.successes++; a.successes >= probationSuccesses {
			a.probation = false
		}
	case Errored:
		if a != nil {
			a.successes = 0
		}
	}
}

// rememberLocked adds the appearances of an endpoint. If there are too many, those that no longer matter are forgotten first.
func (f *Fleet) rememberLocked(now time.Time, id string, a *appearances) {
	if f.paces.appearances == nil {
		f.paces.appearances = map[string]*appearances{}
	}
	if len(f.paces.appearances) >= maxAppearances {
		for id, old := range f.paces.appearances {
			if !old.probation && now.Sub(slices.MaxFunc(old.brokeAt[:], time.Time.Compare)) > flapTime {
				delete(f.paces.appearances, id)
			}
		}
		if len(f.paces.appearances) >= maxAppearances {
			clear(f.paces.appearances)
		}
	}
	f.paces.appearances[id] = a
}

// onProbation reports whether the endpoint gets one request at a time. A probation ends flapTime after the last broken request at the
// latest, because a VM may see no success of an endpoint that only its peers use.
func (f *Fleet) onProbation(now time.Time, m *member) bool {
	a := f.paces.appearances[m.entry.ID]
	if a == nil || !a.probation {
		return false
	}
	if now.Sub(slices.MaxFunc(a.brokeAt[:], time.Time.Compare)) > flapTime {
		a.probation = false
	}
	return a.probation
}

// hasRequests reports whether a request of this VM or, by its newest report, of a peer is in progress at the endpoint.
func (m *member) hasRequests(now time.Time, ttl time.Duration) bool {
	if len(m.ownWork) > 0 {
		return true
	}
	for _, p := range m.peerLoads {
		if len(p.requests) > 0 && now.Sub(p.receivedAt) <= ttl {
			return true
		}
	}
	return false
}

// FlappingEndpoints returns the number of known endpoints that get one request at a time because they break requests repeatedly.
func (f *Fleet) FlappingEndpoints(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.members {
		if f.onProbation(now, m) {
			n++
		}
	}
	return n
}
