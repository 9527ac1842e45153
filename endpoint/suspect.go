package endpoint

import "time"

// suspectFor is how long an engine that refused to help is passed over. Engines that leave do so within a few seconds.
const suspectFor = 2500 * time.Millisecond

// Suspect is an engine that refused to help.
type Suspect struct {
	Endpoint Key
	Until    time.Time
}

// Suspects returns the engines that refused a request of this VM a short time ago.
func (f *Fleet) Suspects(now time.Time) []Suspect {
	f.mu.Lock()
	defer f.mu.Unlock()
	var suspects []Suspect
	for key, m := range f.byKey {
		if m.reported && now.Before(m.suspect) {
			suspects = append(suspects, Suspect{Endpoint: key, Until: m.suspect})
		}
	}
	return suspects
}

// MergeSuspects takes over what a peer found.
func (f *Fleet) MergeSuspects(suspects []Suspect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range suspects {
		if m := f.byKey[s.Endpoint]; m != nil && s.Until.After(m.suspect) {
			m.suspect = s.Until
		}
	}
}
