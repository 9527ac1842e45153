package endpoint

import "time"

const (
	// maxPause bounds the time for which an endpoint can ask to get no requests, so that a faulty answer cannot exclude it for good.
	maxPause = 10 * time.Minute
	// leavingReportedFor is how long this VM repeats to its peers that an endpoint is leaving. The endpoint's entry usually shows it
	// after a few seconds.
	leavingReportedFor = 10 * time.Second
	// maxLeft is the number of runs of endpoints that left which a VM remembers. Entries of older ones are gone.
	maxLeft = 4096
)

// Notice is what an answer of an endpoint says about the endpoint itself.
type Notice struct {
	Leaving bool          // it is stopping and accepts no further requests
	Pause   time.Duration // time for which it asks this VM to send nothing, 0 if it does not
	Invalid string        // the value of a pause that could not be understood
}

// run identifies one run of an endpoint's process.
type run struct {
	key           Key
	startedMillis int64
}

// runOf returns the run that an entry describes.
func runOf(e *Entry) run {
	return run{key: KeyOf(e.ID + " " + e.Address), startedMillis: e.StartedMillis}
}

// Leaving is a peer's report of an endpoint that is leaving.
type Leaving struct {
	Endpoint      Key
	StartedMillis int64 // start of the run that leaves, as in Entry
}

// RecordNotice records what an endpoint said of itself and reports whether that is news. A run that leaves never gets a request again,
// whatever its entry says. A pause is never shortened.
func (f *Fleet) RecordNotice(now time.Time, id string, n Notice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	if m == nil {
		return false
	}
	news := false
	if until := now.Add(min(n.Pause, maxPause)); n.Pause > 0 && until.After(m.pausedUntil) {
		news = !now.Before(m.pausedUntil)
		m.pausedUntil = until
	}
	if n.Leaving && !m.leaving {
		news = true
		m.leavingSince = now
		f.setLeavingLocked(m)
		f.signalStateChangedLocked()
	}
	return news
}

// setLeavingLocked excludes a run of an endpoint for good.
func (f *Fleet) setLeavingLocked(m *member) {
	m.leaving = true
	if len(f.left) >= maxLeft {
		clear(f.left)
	}
	f.left[runOf(&m.entry)] = m.leavingSince
}

// Leaving returns the endpoints that told this VM within the last leavingReportedFor that they are leaving.
func (f *Fleet) Leaving(now time.Time) []Leaving {
	f.mu.Lock()
	defer f.mu.Unlock()
	var leaving []Leaving
	for key, m := range f.byKey {
		if m.leaving && now.Sub(m.leavingSince) < leavingReportedFor {
			leaving = append(leaving, Leaving{Endpoint: key, StartedMillis: m.entry.StartedMillis})
		}
	}
	return leaving
}

// MergeLeaving adds a peer's reports.
func (f *Fleet) MergeLeaving(leaving []Leaving) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range leaving {
		if m := f.byKey[l.Endpoint]; m != nil && m.entry.StartedMillis == l.StartedMillis && !m.leaving {
			f.setLeavingLocked(m)
		}
	}
}

// MergePauses adds the pauses that endpoints asked of this VM in answers to requests that it relayed for a peer. Until is the end of the pause.
func (f *Fleet) MergePauses(now time.Time, pauses []Suspect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range pauses {
		if m := f.byKey[p.Endpoint]; m != nil && p.Until.After(m.pausedUntil) && p.Until.Sub(now) <= maxPause {
			m.pausedUntil = p.Until
		}
	}
}

// pausedLocked returns the time until an endpoint of the service accepts requests again, if all those that are not leaving have asked
// for a pause.
func (f *Fleet) pausedLocked(now time.Time, service string) (wait time.Duration, ok bool) {
	for _, m := range f.pools[service] {
		if m.entry.Draining || m.leaving || f.drained[m.entry.DataCentre] {
			continue
		}
		left := m.pausedUntil.Sub(now)
		if left <= 0 {
			return 0, false
		}
		if !ok || left < wait {
			wait, ok = left, true
		}
	}
	return wait, ok
}
