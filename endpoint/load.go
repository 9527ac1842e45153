package endpoint

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an endpoint in messages between VMs: a hash of its ID.
type Key uint64

// KeyOf returns the key of an endpoint.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Work is what one request costs one endpoint.
type Work struct {
	Read    time.Duration // time that the endpoint needs to read its part of the prompt; 0 once it is read
	Since   time.Time     // when it was sent
	Context int           // tokens of memory that it takes there
	Writing bool          // whether its events come from there
	Pause   time.Duration // longest pause between events that its caller accepts, 0 for none
}

// Load is all that one VM runs on one endpoint. A later Load replaces it.
type Load struct {
	Endpoint Key
	Works    []Work
}

// load is what runs on one endpoint.
type load struct {
	busy    time.Duration // until all reads have ended
	queued  time.Duration // reads that enter the next pass
	pending time.Duration // reads that have not ended, whatever their progress
	running int
	context int
	pause   time.Duration // shortest pause that a caller of a stream there accepts, 0 for none
	strict  int           // streams with the shortest pause
}

const (
	// overdueGrace is how long a read may exceed its predicted end before that counts against the endpoint.
	overdueGrace = 300 * time.Millisecond
	// readStart is the usual time from the send of a prompt to the pass that reads it.
	readStart = 20 * time.Millisecond
)

// add counts a request's work, apart from its read.
func (l *load) add(w *Work) {
	l.context += w.Context
	if !w.Writing {
		return
	}
	l.running++
	// A prompt that is being read writes from the next pass on, so its pause counts too.
	if w.Pause <= 0 {
		return
	}
	switch {
	case l.pause == 0 || w.Pause < l.pause:
		l.pause, l.strict = w.Pause, 1
	case w.Pause == l.pause:
		l.strict++
	}
}

// read predicts when the reads end. The endpoint performs them in passes: what has arrived when a pass begins is read in it, and
// a pass that includes writers takes that long for their events too. The end of a part that another engine reads for a request is
// not told by anybody, so the prediction stands for it. A read whose first event is overdue counts on.
func (l *load) read(reads []*Work, now time.Time, pass time.Duration) {
	slices.SortFunc(reads, func(a, b *Work) int { return a.Since.Compare(b.Since) })
	var end time.Time
	for len(reads) > 0 {
		begin := reads[0].Since.Add(readStart)
		if end.After(begin) {
			begin = end
		}
		end = begin.Add(pass)
		n := 0
		for ; n < len(reads) && !reads[n].Since.Add(readStart).After(begin); n++ {
			end = end.Add(reads[n].Read)
		}
		for _, w := range reads[:n] {
			l.pending += w.Read
			if begin.After(now) {
				l.queued += w.Read
			}
			if late := now.Sub(end) - overdueGrace; late > 0 && w.Writing {
				l.busy += late
			}
		}
		reads = reads[n:]
	}
	if left := end.Sub(now); left > 0 {
		l.busy += left
	}
}

// peerLoad is what a peer reported of one endpoint.
type peerLoad struct {
	works []Work
	at    time.Time // when the report came
}

// peerLoadLife is how long a report counts. Peers repeat theirs several times within it, so that only the load of a VM that
// is gone or cut off expires.
const peerLoadLife = 1200 * time.Millisecond

// load returns the sum of this VM's work and of what peers reported. The engine is nil for a plain service.
func (m *member) load(now time.Time, e *Engine) load {
	var l load
	writers := 0
	var buffer [16]*Work
	reads := buffer[:0]
	take := func(w *Work) {
		l.add(w)
		if w.Read > 0 {
			reads = append(reads, w)
		} else if w.Writing {
			writers++
		}
	}
	for _, w := range m.own {
		take(w)
	}
	for vm, p := range m.others {
		if now.Sub(p.at) > peerLoadLife {
			delete(m.others, vm)
			continue
		}
		for i := range p.works {
			take(&p.works[i])
		}
	}
	pass := time.Duration(0)
	if e != nil && writers > 0 {
		pass = e.PassTime(writers, l.context)
	}
	l.read(reads, now, pass)
	return l
}

// TakeLoads returns this VM's load on each endpoint where it changed since the last call.
func (f *Fleet) TakeLoads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make([]Load, 0, len(f.changed))
	for key := range f.changed {
		if m := f.byKey[key]; m != nil {
			loads = append(loads, m.ownLoad())
		}
		delete(f.changed, key)
	}
	return loads
}

// Loads returns this VM's load on every endpoint where it runs something.
func (f *Fleet) Loads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []Load
	for _, m := range f.byKey {
		if len(m.own) > 0 {
			loads = append(loads, m.ownLoad())
		}
	}
	return loads
}

func (m *member) ownLoad() Load {
	l := Load{Endpoint: m.key, Works: make([]Work, 0, len(m.own))}
	for _, w := range m.own {
		l.Works = append(l.Works, *w)
	}
	return l
}

// MergeLoads takes over what a peer runs on the endpoints that loads names. Reports of endpoints that this VM has not heard
// of are dropped; the peer repeats them.
func (f *Fleet) MergeLoads(now time.Time, vm string, loads []Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range loads {
		m := f.byKey[loads[i].Endpoint]
		if m == nil {
			continue
		}
		if len(loads[i].Works) == 0 {
			delete(m.others, vm)
			continue
		}
		m.others[vm] = peerLoad{works: loads[i].Works, at: now}
	}
	f.wakeLocked()
}
