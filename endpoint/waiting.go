package endpoint

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// WaitingPrompt is a long prompt that waits for free engines.
type WaitingPrompt struct {
	Queue       Key           // identifies the prompts that wait for the same engines: those of a service in a cell
	Prefill     time.Duration // time that one engine needs to prefill the prompt
	StartBy     time.Time     // latest start that meets the prompt's TTFT target
	StartWithin time.Duration // time from the prompt's arrival to StartBy
	ID          uint64        // distinguishes prompts that are otherwise equal
	Rank        Rank          // urgency, UnknownRank if the peer did not report it
	Exceeds     bool          // its customer exceeded its share when the prompt began to wait
	Lags        bool          // prompts of its size are placed too rarely, and an earlier place in the order helps it
}

// Waiter is a waiting prompt of this VM. It counts as waiting until Cancel is called.
type Waiter struct {
	fleet *Fleet
	WaitingPrompt
	tries Tries
}

// Tries counts the tries of a waiting prompt to get engines by why they failed.
type Tries struct {
	Preceded  int // other prompts preceded it
	FewFree   int // too few engines were free
	Late      int // its latest start had passed
	MostFree  int // most engines that were free at one of the FewFree tries
	MostOther int // most engines without work at such a try whose streams accept only shorter gaps, or that are slow or failing
}

// Tries returns the tries so far.
func (w *Waiter) Tries() Tries {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.tries
}

// recordFewFree records a try that found too few free engines for a prefill in segments of that length.
func (w *Waiter) recordFewFree(candidates []candidate, segment time.Duration) {
	if w == nil {
		return
	}
	free, other := 0, 0
	for i := range candidates {
		switch c := &candidates[i]; {
		case c.free(segment):
			free++
		case c.load.backlog <= maxFreeBacklog:
			other++
		}
	}
	w.tries.FewFree++
	w.tries.MostFree, w.tries.MostOther = max(w.tries.MostFree, free), max(w.tries.MostOther, other)
}

// precedes reports whether w comes before o in the order of waiting prompts for the engines of s. Prompts that can still meet their
// targets come first. If the service is prioritised, the more urgent of two prompts comes first then. Of equally urgent ones, those of
// customers that exceed their shares come last. Among the rest, shorter ones come first, because each occupies the engines for less time.
// The length counts for less as the latest start approaches and while prompts of that size are placed too rarely, so that a steady load of
// shorter prompts does not starve longer ones.
// All VMs apply the same order to the prompts that they know.
func (w *WaitingPrompt) precedes(o *WaitingPrompt, now time.Time, s *Service) bool {
	late, otherLate := now.After(w.StartBy), now.After(o.StartBy)
	if late != otherLate {
		return otherLate
	}
	if s != nil && s.Prioritised {
		if c := w.effectiveRank(now, s).Compare(o.effectiveRank(now, s)); c != 0 {
			return c < 0
		}
	}
	if w.Exceeds != o.Exceeds {
		return o.Exceeds
	}
	if c := cmp.Compare(w.priority(now), o.priority(now)); c != 0 {
		return c < 0
	}
	return w.ID < o.ID
}

// laggingWeight is the weight of the prefill time in the order of waiting prompts whose size lags. With a much lower one, prompts that need many
// engines stand first for longer than the engines that they wait for are worth.
const laggingWeight = 0.25

// priority returns the prefill time of the prompt, reduced by the elapsed fraction of StartWithin and, if its size lags, by laggingWeight.
// Lower values come first.
func (w *WaitingPrompt) priority(now time.Time) time.Duration {
	prefill := float64(w.Prefill)
	if w.Lags {
		prefill *= laggingWeight
	}
	if remaining := w.StartBy.Sub(now); remaining > 0 && w.StartWithin > 0 {
		prefill *= min(float64(remaining)/float64(w.StartWithin), 1)
	}
	return time.Duration(prefill)
}

// peerWaitingPrompts holds the waiting prompts that a peer reported.
type peerWaitingPrompts struct {
	prompts    []WaitingPrompt
	receivedAt time.Time
}

// NewWaiter registers a prompt of this VM as waiting.
func (f *Fleet) NewWaiter(now time.Time, service string, p Prompt) *Waiter {
	p.exceeds = f.exceedsShare(now, service, p.Customer)
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Waiter{fleet: f, WaitingPrompt: f.newWaitingPromptLocked(now, service, f.waitingCellLocked(now, service), p)}
	f.waiters[w] = true
	f.waitingPromptsChanged = true
	f.signalStateChangedLocked()
	return w
}

// newWaitingPromptLocked derives the attributes by which a prompt is ordered among those that wait in a cell.
func (f *Fleet) newWaitingPromptLocked(now time.Time, service string, c Cell, p Prompt) WaitingPrompt {
	w := WaitingPrompt{Queue: queueKey(service, c), ID: rand.Uint64(), Rank: p.Rank, Exceeds: p.exceeds}
	if s := f.services[service]; s != nil && s.Engine != nil {
		w.Prefill = s.Engine.PrefillTime(p.Tokens)
		w.Lags = f.gainsPlaceLocked(now, s, p, w.Prefill)
	}
	engines := min(maxHelpers+1, max(len(f.pools[service]), 1))
	w.StartWithin = p.TTFTTarget - w.Prefill/time.Duration(engines) - startOverhead
	w.StartBy = now.Add(w.StartWithin - p.Waited)
	return w
}

// startOverhead is the time from the start of a long prompt to its first event minus the prefill time. It covers two steps and the
// network latency.
const startOverhead = 150 * time.Millisecond

// Cancel removes the prompt from the waiting prompts. Further calls do nothing.
func (w *Waiter) Cancel() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !w.fleet.waiters[w] {
		return
	}
	delete(w.fleet.waiters, w)
	w.fleet.waitingPromptsChanged = true
	w.fleet.signalStateChangedLocked()
	w.fleet.notifyCapacityLocked()
}

// TakeWaitingPrompts returns the waiting prompts of this VM, and whether they changed since the last call.
func (f *Fleet) TakeWaitingPrompts() ([]WaitingPrompt, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	prompts := make([]WaitingPrompt, 0, len(f.waiters))
	for w := range f.waiters {
		prompts = append(prompts, w.WaitingPrompt)
	}
	changed := f.waitingPromptsChanged
	f.waitingPromptsChanged = false
	return prompts, changed
}

// MergeWaitingPrompts replaces the waiting prompts of a peer.
func (f *Fleet) MergeWaitingPrompts(now time.Time, vm string, prompts []WaitingPrompt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastHeard = now
	if len(prompts) == 0 {
		delete(f.peerWaitingPrompts, vm)
	} else {
		f.peerWaitingPrompts[vm] = peerWaitingPrompts{prompts: prompts, receivedAt: now}
	}
	f.notifyCapacityLocked()
}

// eachPrecedingLocked calls visit for each waiting prompt of the queue that precedes w, until visit returns false. s is the service whose
// engines the queue waits for.
func (f *Fleet) eachPrecedingLocked(w *WaitingPrompt, now time.Time, s *Service, visit func(o *WaitingPrompt) bool) {
	precedes := func(o *WaitingPrompt) bool { return o.Queue == w.Queue && o.ID != w.ID && o.precedes(w, now, s) }
	for o := range f.waiters {
		if precedes(&o.WaitingPrompt) && !visit(&o.WaitingPrompt) {
			return
		}
	}
	for vm, p := range f.peerWaitingPrompts {
		if now.Sub(p.receivedAt) > f.loadTTL() {
			delete(f.peerWaitingPrompts, vm)
			continue
		}
		for i := range p.prompts {
			if precedes(&p.prompts[i]) && !visit(&p.prompts[i]) {
				return
			}
		}
	}
}

// hasPrecedingLocked reports whether another waiting prompt precedes w.
func (f *Fleet) hasPrecedingLocked(w *WaitingPrompt, now time.Time, s *Service) bool {
	preceded := false
	f.eachPrecedingLocked(w, now, s, func(*WaitingPrompt) bool { preceded = true; return false })
	return preceded
}

// anyOtherWaitingLocked reports whether any other prompt of the queue waits.
func (f *Fleet) anyOtherWaitingLocked(w *WaitingPrompt) bool {
	isOther := func(o *WaitingPrompt) bool { return o.Queue == w.Queue && o.ID != w.ID }
	for o := range f.waiters {
		if isOther(&o.WaitingPrompt) {
			return true
		}
	}
	for _, p := range f.peerWaitingPrompts {
		for i := range p.prompts {
			if isOther(&p.prompts[i]) {
				return true
			}
		}
	}
	return false
}

// precedingPrefillLocked returns the total prefill time of the prompts that precede w.
func (f *Fleet) precedingPrefillLocked(w *WaitingPrompt, now time.Time, s *Service) time.Duration {
	var sum time.Duration
	f.eachPrecedingLocked(w, now, s, func(o *WaitingPrompt) bool { sum += o.Prefill; return true })
	return sum
}
