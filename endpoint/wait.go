package endpoint

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Wait is a long prompt that waits for free engines.
type Wait struct {
	Service Key           // hash of the service's name
	Read    time.Duration // time that one engine needs to read it
	StartBy time.Time     // when it has to start to be in time
	Slack   time.Duration // time from its arrival to StartBy
	ID      uint64        // distinguishes prompts that are equal otherwise
}

// Waiter is a prompt of this VM that waits until Leave.
type Waiter struct {
	f *Fleet
	Wait
}

// before says whether w goes before o. Prompts that can still be in time go first. Among them, the shorter ones go first, because
// each of them holds the engines up for less time; the length counts for less as the latest start comes nearer, so that the
// longest prompts are not starved by a steady load of shorter ones. All VMs order what they know in the same way.
func (w *Wait) before(o *Wait, now time.Time) bool {
	late, otherLate := now.After(w.StartBy), now.After(o.StartBy)
	if late != otherLate {
		return otherLate
	}
	if c := cmp.Compare(w.rank(now), o.rank(now)); c != 0 {
		return c < 0
	}
	return w.ID < o.ID
}

// rank is the time to read the prompt, reduced by the part of its slack that is over.
func (w *Wait) rank(now time.Time) time.Duration {
	left := w.StartBy.Sub(now)
	if left <= 0 || w.Slack <= 0 {
		return w.Read
	}
	return time.Duration(float64(w.Read) * min(float64(left)/float64(w.Slack), 1))
}

// peerWaits is what a peer reported.
type peerWaits struct {
	waits []Wait
	at    time.Time
}

// NewWaiter enters a prompt into the order of those that wait.
func (f *Fleet) NewWaiter(now time.Time, service string, p Prompt) *Waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Waiter{f: f, Wait: f.waitLocked(now, service, p)}
	f.waiters[w] = true
	f.waitsChanged = true
	f.signalLocked()
	return w
}

// waitLocked describes the prompt to others.
func (f *Fleet) waitLocked(now time.Time, service string, p Prompt) Wait {
	w := Wait{Service: KeyOf(service), ID: rand.Uint64()}
	if s := f.services[service]; s != nil && s.Engine != nil {
		w.Read = s.Engine.ReadTime(p.Tokens)
	}
	engines := min(maxHelpers+1, max(len(f.pools[service]), 1))
	w.Slack = p.Aim - w.Read/time.Duration(engines) - startReserve
	w.StartBy = now.Add(w.Slack - p.Waited)
	return w
}

// startReserve is the time from the start of a long prompt to its first event beyond the reading itself: two passes and the
// ways between.
const startReserve = 150 * time.Millisecond

// Leave takes the prompt out of the order.
func (w *Waiter) Leave() {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if !w.f.waiters[w] {
		return
	}
	delete(w.f.waiters, w)
	w.f.waitsChanged = true
	w.f.signalLocked()
	w.f.wakeLocked()
}

// TakeWaits returns the prompts of this VM that wait, and whether that changed since the last call.
func (f *Fleet) TakeWaits() ([]Wait, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	waits := make([]Wait, 0, len(f.waiters))
	for w := range f.waiters {
		waits = append(waits, w.Wait)
	}
	changed := f.waitsChanged
	f.waitsChanged = false
	return waits, changed
}

// MergeWaits takes over the prompts that wait at a peer.
func (f *Fleet) MergeWaits(now time.Time, vm string, waits []Wait) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(waits) == 0 {
		delete(f.peerWaits, vm)
	} else {
		f.peerWaits[vm] = peerWaits{waits: waits, at: now}
	}
	f.wakeLocked()
}

// othersLocked calls f for each other prompt of the service that waits and goes before w, until f returns false.
func (f *Fleet) othersLocked(w *Wait, now time.Time, take func(o *Wait) bool) {
	ahead := func(o *Wait) bool { return o.Service == w.Service && o.ID != w.ID && o.before(w, now) }
	for o := range f.waiters {
		if ahead(&o.Wait) && !take(&o.Wait) {
			return
		}
	}
	for vm, p := range f.peerWaits {
		if now.Sub(p.at) > peerLoadLife {
			delete(f.peerWaits, vm)
			continue
		}
		for i := range p.waits {
			if ahead(&p.waits[i]) && !take(&p.waits[i]) {
				return
			}
		}
	}
}

// precededLocked says whether another prompt that waits goes before w.
func (f *Fleet) precededLocked(w *Wait, now time.Time) bool {
	preceded := false
	f.othersLocked(w, now, func(*Wait) bool { preceded = true; return false })
	return preceded
}

// othersWaitLocked says whether any other prompt of the service waits.
func (f *Fleet) othersWaitLocked(w *Wait) bool {
	other := func(o *Wait) bool { return o.Service == w.Service && o.ID != w.ID }
	for o := range f.waiters {
		if other(&o.Wait) {
			return true
		}
	}
	for _, p := range f.peerWaits {
		for i := range p.waits {
			if other(&p.waits[i]) {
				return true
			}
		}
	}
	return false
}

// aheadLocked returns the time that the prompts take which go before w.
func (f *Fleet) aheadLocked(w *Wait, now time.Time) time.Duration {
	var sum time.Duration
	f.othersLocked(w, now, func(o *Wait) bool { sum += o.Read; return true })
	return sum
}
