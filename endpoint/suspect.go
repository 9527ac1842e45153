package endpoint

import "time"

// suspectDuration is how long an engine that refused to help is not selected. Engines that stop do so within a few seconds.
const suspectDuration = 2500 * time.Millisecond

// Suspect is an engine that refused to help with a prefill and is not selected for a while.
type Suspect struct {
	Endpoint Key
	Until    time.Time // end of the time for which it is not selected
}

// Suspects returns the engines whose refusals this VM recorded within the last suspectDuration.
func (f *Fleet) Suspects(now time.Time) []Suspect {
	f.mu.Lock()
	defer f.mu.Unlock()
	var suspects []Suspect
	for key, m := range f.byKey {
		if m.selfReported && now.Before(m.suspectUntil) {
			suspects = append(suspects, Suspect{Endpoint: key, Until: m.suspectUntil})
		}
	}
	return suspects
}

// MergeSuspects adds the suspects that a peer reported.
func (f *Fleet) MergeSuspects(suspects []Suspect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range suspects {
		if m := f.byKey[s.Endpoint]; m != nil && s.Until.After(m.suspectUntil) {
			m.suspectUntil = s.Until
		}
	}
}
