package endpoint

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart identifies a part of a prompt, which other prompts may share. It is a hash, because the parts are the callers' data.
type PromptPart uint64

// PromptPartOf returns the hash of a part's ID.
func PromptPartOf(id string) PromptPart { return PromptPart(xxhash.Sum64String(id)) }

// Limits on the evidence that leads to a quarantine.
const (
	// minEnds is the number of times that engines have to end under prompts with the same part, and with no other part as often. An end
	// that a quarantined part in the same prompt explains counts half.
	minEnds = 3
	// minUnexplainedEnds is how many of these ends no quarantined part explains.
	minUnexplainedEnds = 2
	// decisiveEnds is the number of ends after which all parts that were present at each of them are quarantined, even if nothing
	// distinguishes them.
	decisiveEnds = 6
	// settleTime is how long an end is not counted, so that the reports of all VMs are weighed together.
	settleTime = 150 * time.Millisecond
	// simultaneous is the time within which the ends of several engines count as one. They then have a common cause, such as the loss
	// of a rack, and a frequent part is in use on many of them.
	simultaneous = 150 * time.Millisecond
	// reportDelay is how much later than the first one a VM may notice the end of the same engine.
	reportDelay = 2 * time.Second
	// evidenceTTL is how long the end of an engine counts.
	evidenceTTL = 5 * time.Minute
	// maxSuspects, maxSound and maxQuarantined limit the memory for evidence and decisions. The oldest are dropped.
	maxSuspects    = 512
	maxSound       = 4096
	maxQuarantined = 256
	// statesPerHeartbeat is the number of states in one heartbeat, which are chosen at random if there are more.
	statesPerHeartbeat = 32
	// repeatReports is how often a report is sent to peers, because a datagram may be lost.
	repeatReports = 5
)

// trialDelays are the times from the quarantine, or from the previous trial, to the next one; the last one repeats. Each trial of a part
// that crashes engines costs one more engine, so they soon become rare.
var trialDelays = []time.Duration{6 * time.Second, 10 * time.Minute, time.Hour}

// secondTrialDelay is the time from the first to the second trial of a part that was sound at some time. It may have been blamed wrongly, and
// the engine of its first trial may have ended for another reason.
const secondTrialDelay = 12 * time.Second

// SuspectPrompt is a prompt that an engine had begun to answer, or was about to, when the engine's process ended.
type SuspectPrompt struct {
	ID       uint64 // distinguishes reports
	Endpoint Key
	EndedAt  time.Time
	Began    bool // the engine had begun to answer the prompt
	Parts    []PromptPart
}

// SoundPart states that an engine began at a time to answer a prompt with the part and went on.
type SoundPart struct {
	Part PromptPart
	At   time.Time
}

// QuarantinedPart is the state of a part that is, or was, in quarantine.
type QuarantinedPart struct {
	Part      PromptPart
	Revision  int       // increases with each change of the state
	Trials    int       // prompts that were let through since the quarantine began
	ChangedAt time.Time // when this VM learned of the state
	WasSound  bool      // the part was known to be sound at some time before
	Released  bool      // a prompt with the part was answered
	Stored    bool      // the platform's store has the state
}

// nextTrial returns when a prompt with the part may be let through.
func (p *QuarantinedPart) nextTrial() time.Time {
	n := p.Trials
	if p.WasSound && n > 0 {
		if n == 1 {
			return p.ChangedAt.Add(secondTrialDelay)
		}
		n--
	}
	return p.ChangedAt.Add(trialDelays[min(n, len(trialDelays)-1)])
}

// QuarantineReports are the reports that VMs exchange.
type QuarantineReports struct {
	Suspects    []SuspectPrompt
	Sound       []SoundPart
	Quarantined []QuarantinedPart
}

// Empty reports whether there is nothing to report.
func (r *QuarantineReports) Empty() bool {
	return len(r.Suspects) == 0 && len(r.Sound) == 0 && len(r.Quarantined) == 0
}

// Quarantine finds the parts of prompts under which engines end and keeps prompts with these parts from all engines.
//
// When an engine ends, the cause may be any part of the prompts that it had just begun to answer or was about to, or none. Whether the
// answer had begun tells nothing: an engine can end before the whole head of the answer is out, while other answers go on. VMs report these
// prompts to each other. A part is quarantined once it was present at the ends of several engines, while no prompt with it was answered since
// the first of them. If several parts were, the one that was never known to be sound is, or else the one that was present on the most
// engines, or else the one with the fewest prompts, because a part that crashes engines often follows one that many sound prompts share.
// Other prompts on these engines are not blamed for these ends any more. From time to time a single prompt of the deployment with a
// quarantined part is let through; if it is answered, the part is released.
//
// It is safe for concurrent use.
type Quarantine struct {
	onChange func(p QuarantinedPart, ends int)
	changed  chan struct{} // holds a token after a change that peers should learn of

	mu          sync.Mutex
	suspects    []SuspectPrompt          // in order of EndedAt
	sound       map[PromptPart]time.Time // latest SoundPart of each part
	quarantined map[PromptPart]QuarantinedPart
	fresh       map[PromptPart]bool // parts whose states changed since TakeReports
	unsent      []unsentReport      // reports that peers get with the next messages
	undecided   bool                // evidence or states changed since it was weighed
}

// unsentReport is a report of this VM that is still to be sent.
type unsentReport struct {
	suspect SuspectPrompt // used if sound has no time
	sound   SoundPart
	repeats int
}

// QuarantineOption configures a Quarantine.
type QuarantineOption func(*Quarantine)

// WithQuarantineFunc sets a function that is called after each change of a part's state that this VM decides or learns of. ends is
// the number of ends of engines that led to a quarantine, 0 for other changes and for those learned from others.
func WithQuarantineFunc(f func(p QuarantinedPart, ends int)) QuarantineOption {
	return func(q *Quarantine) { q.onChange = f }
}

// NewQuarantine returns a quarantine without parts.
func NewQuarantine(opts ...QuarantineOption) *Quarantine {
	q := &Quarantine{
		onChange: func(QuarantinedPart, int) {}, changed: make(chan struct{}, 1),
		sound: map[PromptPart]time.Time{}, quarantined: map[PromptPart]QuarantinedPart{}, fresh: map[PromptPart]bool{},
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Changed returns a channel that receives after this VM has something new to report to peers.
func (q *Quarantine) Changed() <-chan struct{} { return q.changed }

// Blocked returns those of the parts that are in quarantine. A prompt is let through as a trial only if it has a single one, so that its
// outcome tells something about that part.
func (q *Quarantine) Blocked(parts []PromptPart) []PromptPart {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.quarantined) == 0 {
		return nil
	}
	var blocked []PromptPart
	for _, part := range parts {
		if p, ok := q.quarantined[part]; ok && !p.Released && !slices.Contains(blocked, part) {
			blocked = append(blocked, part)
		}
	}
	return blocked
}

// State returns the state of a part. ok is false if the part is unknown.
func (q *Quarantine) State(part PromptPart) (state QuarantinedPart, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	state, ok = q.quarantined[part]
	return state, ok
}

// UntilTrial returns how long no prompt with the part is let through, and the part's state. ok is false if it is not in quarantine.
func (q *Quarantine) UntilTrial(now time.Time, part PromptPart) (wait time.Duration, state QuarantinedPart, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.quarantined[part]
	if !ok || p.Released {
		return 0, p, false
	}
	return p.nextTrial().Sub(now), p, true
}

// ReportEnd records a prompt of this VM at an engine that ended. s.ID is set here.
func (q *Quarantine) ReportEnd(s SuspectPrompt) {
	s.ID = rand.Uint64()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addSuspectLocked(s)
	q.unsent = append(q.unsent, unsentReport{suspect: s, repeats: repeatReports})
	q.signalLocked()
}

// Decide weighs the evidence and quarantines the parts for which there is enough. It is to be called a few times a second.
func (q *Quarantine) Decide(now time.Time) {
	q.mu.Lock()
	changes := q.decideLocked(now)
	q.mu.Unlock()
	q.notify(changes)
}

// ReportSound records that an engine began at a time to answer a prompt of this VM with these parts and went on. Peers learn of it only if
// that cancels evidence.
func (q *Quarantine) ReportSound(at time.Time, parts []PromptPart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range parts {
		suspected := q.suspectedLocked(part, at)
		if !q.addSoundLocked(SoundPart{Part: part, At: at}) || !suspected {
			continue
		}
		q.unsent = append(q.unsent, unsentReport{sound: SoundPart{Part: part, At: at}, repeats: repeatReports})
		q.signalLocked()
	}
}

// suspectedLocked reports whether there is evidence against the part from before the given time that is not cancelled.
func (q *Quarantine) suspectedLocked(part PromptPart, before time.Time) bool {
	return slices.ContainsFunc(q.suspects, func(s SuspectPrompt) bool {
		return s.EndedAt.After(q.sound[part]) && s.EndedAt.Before(before) && slices.Contains(s.Parts, part)
	})
}

// SetState records a new state of a part, unless a later one is known. It reports whether the state is new.
func (q *Quarantine) SetState(p QuarantinedPart) bool {
	q.mu.Lock()
	isNew := q.setStateLocked(p)
	q.mu.Unlock()
	if isNew {
		q.notify([]change{{part: p}})
	}
	return isNew
}

// MarkStored records that the platform's store has a state.
func (q *Quarantine) MarkStored(p QuarantinedPart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := q.quarantined[p.Part]; now.Revision == p.Revision {
		now.Stored = true
		q.quarantined[p.Part] = now
		q.fresh[p.Part] = true
		q.signalLocked()
	}
}

// TakeReports returns what peers should learn now. Heartbeats repeat reports and states, other messages contain only new ones.
func (q *Quarantine) TakeReports(heartbeat bool) QuarantineReports {
	q.mu.Lock()
	defer q.mu.Unlock()
	var r QuarantineReports
	kept := q.unsent[:0]
	for _, u := range q.unsent {
		if !heartbeat && u.repeats < repeatReports {
			kept = append(kept, u)
			continue
		}
		if u.sound.At.IsZero() {
			r.Suspects = append(r.Suspects, u.suspect)
		} else {
			r.Sound = append(r.Sound, u.sound)
		}
		if u.repeats--; u.repeats > 0 {
			kept = append(kept, u)
		}
	}
	q.unsent = kept
	for part, p := range q.quarantined {
		if q.fresh[part] || heartbeat && len(r.Quarantined) < statesPerHeartbeat {
			r.Quarantined = append(r.Quarantined, p)
		}
	}
	clear(q.fresh)
	return r
}

// Merge adds the reports of a peer.
func (q *Quarantine) Merge(r QuarantineReports) {
	if r.Empty() {
		return
	}
	q.mu.Lock()
	var changes []change
	for _, s := range r.Sound {
		q.addSoundLocked(s)
	}
	for _, p := range r.Quarantined {
		if q.setStateLocked(p) {
			changes = append(changes, change{part: p})
		}
	}
	for _, s := range r.Suspects {
		if q.addSuspectLocked(s) {
			q.repeatSoundLocked(s.Parts)
		}
	}
	q.mu.Unlock()
	q.notify(changes)
}

// repeatSoundLocked reports with the next heartbeat when parts were sound. Peers do not know, because it was not reported while the parts
// were not suspected.
func (q *Quarantine) repeatSoundLocked(parts []PromptPart) {
	for _, part := range parts {
		if at, ok := q.sound[part]; ok {
			q.unsent = append(q.unsent, unsentReport{sound: SoundPart{Part: part, At: at}, repeats: 1})
			q.signalLocked()
		}
	}
}

func (q *Quarantine) signalLocked() {
	if len(q.unsent) > 2*maxSuspects {
		q.unsent = slices.Delete(q.unsent, 0, len(q.unsent)-2*maxSuspects)
	}
	select {
	case q.changed <- struct{}{}:
	default: // one token is enough
	}
}

// addSuspectLocked adds a report unless it is known. It reports whether it is new.
func (q *Quarantine) addSuspectLocked(s SuspectPrompt) bool {
	if slices.ContainsFunc(q.suspects, func(o SuspectPrompt) bool { return o.ID == s.ID }) {
		return false
	}
	i, _ := slices.BinarySearchFunc(q.suspects, s, func(a, b SuspectPrompt) int { return a.EndedAt.Compare(b.EndedAt) })
	q.suspects = slices.Insert(q.suspects, i, s)
	q.undecided = true
	if len(q.suspects) > maxSuspects {
		q.suspects = slices.Delete(q.suspects, 0, len(q.suspects)-maxSuspects)
	}
	return true
}

// addSoundLocked records the latest time at which a part was sound. It reports whether the time is new.
func (q *Quarantine) addSoundLocked(s SoundPart) bool {
	if !s.At.After(q.sound[s.Part]) {
		return false
	}
	if len(q.sound) >= maxSound {
		for part := range q.sound {
			delete(q.sound, part)
			break
		}
	}
	q.sound[s.Part] = s.At
	return true
}

// setStateLocked records a state unless the same or a later revision is known. It reports whether the revision is new.
func (q *Quarantine) setStateLocked(p QuarantinedPart) bool {
	old, known := q.quarantined[p.Part]
	if known && old.Revision >= p.Revision {
		if old.Revision == p.Revision && p.Stored && !old.Stored {
			old.Stored = true
			q.quarantined[p.Part] = old
		}
		return false
	}
	if !known && len(q.quarantined) >= maxQuarantined {
		oldest := p.Part
		for part, o := range q.quarantined {
			if oldest == p.Part || o.ChangedAt.Before(q.quarantined[oldest].ChangedAt) {
				oldest = part
			}
		}
		delete(q.quarantined, oldest)
	}
	q.quarantined[p.Part] = p
	if p.Released {
		q.addSoundLocked(SoundPart{Part: p.Part, At: p.ChangedAt})
	}
	q.fresh[p.Part] = true
	q.undecided = true // ends that a part in quarantine explained may count again
	q.signalLocked()
	return true
}

// change is a change of a part's state, and the number of ends of engines that led to it.
type change struct {
	part QuarantinedPart
	ends int
}

func (q *Quarantine) notify(changes []change) {
	for _, c := range changes {
		q.onChange(c.part, c.ends)
	}
}

// decideLocked quarantines the parts for which there is enough evidence and returns the changes. After each one it weighs the evidence
// again.
func (q *Quarantine) decideLocked(now time.Time) []change {
	q.suspects = slices.DeleteFunc(q.suspects, func(s SuspectPrompt) bool { return now.Sub(s.EndedAt) > evidenceTTL })
	if !q.undecided {
		return nil
	}
	q.undecided = slices.ContainsFunc(q.suspects, func(s SuspectPrompt) bool { return now.Sub(s.EndedAt) <= settleTime })
	var changes []change
	for {
		leading := leadingParts(q.weighLocked(now))
		if len(leading) == 0 || leading[0].weight() < 2*minEnds || len(leading) > 1 && leading[0].weight() < 2*decisiveEnds {
			return changes
		}
		for _, e := range leading {
			p := QuarantinedPart{Part: e.part, Revision: q.quarantined[e.part].Revision + 1, ChangedAt: now, WasSound: e.sound}
			q.setStateLocked(p)
			changes = append(changes, change{part: p, ends: e.ends + e.explained})
		}
	}
}

// evidence is what speaks against a part.
type evidence struct {
	part      PromptPart
	ends      int  // ends of engines at which it was present and since which it was not sound
	explained int  // further ends, at which a quarantined part was present in the same prompt
	sound     bool // it was sound at some time
	engines   int  // engines that ended while it was present; several may end at the same time
	prompts   int  // prompts with it at these ends
}

// weight returns the strength of the evidence in halves of an end.
func (e *evidence) weight() int { return 2*e.ends + e.explained }

// leadingParts returns the parts with the most evidence. More than one is returned only if nothing distinguishes them.
func leadingParts(all []evidence) []evidence {
	all = slices.DeleteFunc(all, func(e evidence) bool { return e.ends < minUnexplainedEnds })
	slices.SortFunc(all, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), compareBool(a.sound, b.sound), cmp.Compare(b.engines, a.engines), cmp.Compare(a.prompts, b.prompts), cmp.Compare(a.part, b.part))
	})
	n := 0
	for n < len(all) && all[n].weight() == all[0].weight() && all[n].sound == all[0].sound && all[n].engines == all[0].engines && all[n].prompts == all[0].prompts {
		n++
	}
	return all[:n]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// end is the end of an engine, or of several at the same time, with the prompts that may be the cause.
type end struct {
	at        time.Time // first report
	endpoints []Key
	prompts   []SuspectPrompt
	explained bool // a prompt has a part that is in quarantine, so the other prompts are not blamed
}

// weighLocked returns the evidence against each part that is not in quarantine.
func (q *Quarantine) weighLocked(now time.Time) []evidence {
	byPart := map[PromptPart]*evidence{}
	for _, e := range q.endsLocked() {
		if now.Sub(e.at) < settleTime {
			continue
		}
		present := map[PromptPart]int{}
		type presence struct {
			part     PromptPart
			endpoint Key
		}
		engines := map[presence]bool{}
		for _, s := range e.prompts {
			if e.explained && !q.quarantinedLocked(s) {
				continue
			}
			for _, part := range s.Parts {
				if p, known := q.quarantined[part]; s.EndedAt.After(q.sound[part]) && (!known || p.Released) {
					present[part]++
					engines[presence{part, s.Endpoint}] = true
				}
			}
		}
		for part, prompts := range present {
			if byPart[part] == nil {
				byPart[part] = &evidence{part: part, sound: !q.sound[part].IsZero()}
			}
			if e.explained {
				byPart[part].explained++
			} else {
				byPart[part].ends++
			}
			byPart[part].prompts += prompts
		}
		for p := range engines {
			byPart[p.part].engines++
		}
	}
	all := make([]evidence, 0, len(byPart))
	for _, e := range byPart {
		all = append(all, *e)
	}
	return all
}

// quarantinedLocked reports whether the prompt has a part in quarantine.
func (q *Quarantine) quarantinedLocked(s SuspectPrompt) bool {
	return slices.ContainsFunc(s.Parts, func(part PromptPart) bool { p, known := q.quarantined[part]; return known && !p.Released })
}

// endsLocked groups the suspect prompts by the ends of engines.
func (q *Quarantine) endsLocked() []*end {
	var ends []*end
	for _, s := range q.suspects {
		var e *end
		for _, o := range slices.Backward(ends) {
			if since := s.EndedAt.Sub(o.at); since <= simultaneous || since <= reportDelay && slices.Contains(o.endpoints, s.Endpoint) {
				e = o
				break
			} else if since > reportDelay {
				break
			}
		}
		if e == nil {
			e = &end{at: s.EndedAt}
			ends = append(ends, e)
		}
		e.endpoints = append(e.endpoints, s.Endpoint)
		e.prompts = append(e.prompts, s)
		e.explained = e.explained || q.quarantinedLocked(s)
	}
	return ends
}
