package endpoint

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an endpoint or a service in messages between VMs. It is a hash of the ID or name.
type Key uint64

// KeyOf returns the key of an endpoint ID or a service name.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Work is the load that one request puts on one endpoint.
type Work struct {
	Prefill  time.Duration // time that the endpoint needs to prefill its segment; 0 once that is done
	SentAt   time.Time     // when it was sent
	KVTokens int           // KV cache tokens that the request occupies there
	Decoding bool          // whether the endpoint generates the answer
	GapLimit time.Duration // longest token gap that the caller accepts, 0 for no limit
}

// Load is the complete load of one VM on one endpoint. A later Load replaces it.
type Load struct {
	Endpoint Key
	Requests []Work
}

// load is the total load on one endpoint.
type load struct {
	backlog        time.Duration // time until all prefills have ended
	queuedPrefill  time.Duration // total time of the prefills that enter the next step
	pendingPrefill time.Duration // total time of the prefills not recorded as done, whatever their progress
	running        int           // requests that hold a batch slot
	context        int           // KV cache tokens in use
	gapLimit       time.Duration // longest token gap that the callers of all streams there accept, 0 for no limit
	recent         int           // requests in batch slots that were sent within arrivalWindow
	strictStreams  int           // streams whose callers accept no longer gap than gapLimit
	arrivals       int           // urgent requests sent within arrivalWindow; counted by urgentLoad only
	arrivedTokens  int           // KV cache tokens of these
}

const (
	// overdueGrace is how long a prefill may exceed its predicted end before the excess counts as backlog.
	overdueGrace = 300 * time.Millisecond
	// prefillDelay is the usual time from sending a prompt to the step that prefills it.
	prefillDelay = 20 * time.Millisecond
)

// add adds the work of a request, except its prefill.
func (l *load) add(w *Work) {
	l.context += w.KVTokens
	if !w.Decoding {
		return
	}
	l.running++
	// A prompt in prefill generates tokens from the next step on, so its token gap counts already.
	if w.GapLimit <= 0 {
		return
	}
	switch {
	case l.gapLimit == 0 || w.GapLimit < l.gapLimit:
		l.gapLimit, l.strictStreams = w.GapLimit, 1
	case w.GapLimit == l.gapLimit:
		l.strictStreams++
	}
}

// addPrefills predicts when the prefills end and adds them to the load. An engine runs them in steps: each step prefills the
// segments that have arrived when it begins. decodeTime is the time that generating tokens adds to each of these steps. No endpoint
// reports the end of a segment on a helper engine, so a helper's segment counts until its predicted end. A prefill at the first
// engine of a prompt counts longer: once its first event is overdue by more than overdueGrace, the excess adds to the backlog.
func (l *load) addPrefills(prefills []*Work, now time.Time, decodeTime time.Duration) {
	slices.SortFunc(prefills, func(a, b *Work) int { return a.SentAt.Compare(b.SentAt) })
	var end time.Time
	for len(prefills) > 0 {
		begin := prefills[0].SentAt.Add(prefillDelay)
		if end.After(begin) {
			begin = end
		}
		end = begin.Add(decodeTime)
		n := 0
		for ; n < len(prefills) && !prefills[n].SentAt.Add(prefillDelay).After(begin); n++ {
			end = end.Add(prefills[n].Prefill)
		}
		for _, w := range prefills[:n] {
			l.pendingPrefill += w.Prefill
			if begin.After(now) {
				l.queuedPrefill += w.Prefill
			}
			if late := now.Sub(end) - overdueGrace; late > 0 && w.Decoding {
				l.backlog += late
			}
		}
		prefills = prefills[n:]
	}
	if left := end.Sub(now); left > 0 {
		l.backlog += left
	}
}

// peerLoad is the load that a peer reported on one endpoint.
type peerLoad struct {
	requests   []Work
	receivedAt time.Time
}

// peerLoadTTL is how long a peer's report counts. Peers repeat their reports several times within this time, so a report expires
// only if its VM stopped or became unreachable.
const peerLoadTTL = 1200 * time.Millisecond

// maxReportsPerRound is how many peers get the same heartbeat. In larger cells, heartbeats go to a part of the peers in turn.
const maxReportsPerRound = 32

// ReportRounds returns the number of parts into which a cell of that many VMs is divided for heartbeats. A peer's reports count for
// as many times peerLoadTTL.
func ReportRounds(vms int) int { return max((vms+maxReportsPerRound-2)/maxReportsPerRound, 1) }

// load returns the load on the endpoint from this VM and from peers whose reports are not older than ttl. e is nil for a plain
// service.
func (m *member) load(now time.Time, e *Engine, ttl time.Duration) load {
	return m.urgentLoad(now, e, ttl, 0)
}

// urgentLoad returns the load and counts the arrivals of urgent requests, whose token gap limit is at most urgentGap.
func (m *member) urgentLoad(now time.Time, e *Engine, ttl, urgentGap time.Duration) load {
	var l load
	decoding := 0
	var buffer [16]*Work
	prefills := buffer[:0]
	count := func(w *Work) {
		l.add(w)
		if w.Decoding && now.Sub(w.SentAt) < arrivalWindow {
			l.recent++
		}
		if w.Decoding && w.GapLimit > 0 && w.GapLimit <= urgentGap && now.Sub(w.SentAt) <= arrivalWindow {
			l.arrivals++
			l.arrivedTokens += w.KVTokens
		}
		if w.Prefill > 0 {
			prefills = append(prefills, w)
		} else if w.Decoding {
			decoding++
		}
	}
	for _, w := range m.ownWork {
		count(w)
	}
	for vm, p := range m.peerLoads {
		if now.Sub(p.receivedAt) > ttl {
			delete(m.peerLoads, vm)
			continue
		}
		for i := range p.requests {
			count(&p.requests[i])
		}
	}
	decodeTime := time.Duration(0)
	if e != nil && decoding > 0 {
		decodeTime = e.StepTime(decoding, l.context)
	}
	l.addPrefills(prefills, now, decodeTime)
	return l
}

// TakeLoads returns this VM's load on each endpoint where it changed since the last call.
func (f *Fleet) TakeLoads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make([]Load, 0, len(f.changedLoads))
	for key := range f.changedLoads {
		if m := f.byKey[key]; m != nil {
			loads = append(loads, m.ownLoad())
		}
		delete(f.changedLoads, key)
	}
	return loads
}

// Loads returns this VM's load on every endpoint where it has requests.
func (f *Fleet) Loads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []Load
	for _, m := range f.byKey {
		if len(m.ownWork) > 0 {
			loads = append(loads, m.ownLoad())
		}
	}
	return loads
}

// ownLoad returns this VM's load on the endpoint.
func (m *member) ownLoad() Load {
	l := Load{Endpoint: m.key, Requests: make([]Work, 0, len(m.ownWork))}
	for _, w := range m.ownWork {
		l.Requests = append(l.Requests, *w)
	}
	return l
}

// MergeLoads replaces the loads that a peer has on the endpoints named in loads. Reports about endpoints that are not known to
// this VM yet are dropped; the peer repeats them.
func (f *Fleet) MergeLoads(now time.Time, vm string, loads []Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastHeard = now
	for i := range loads {
		if f.weighDataCentres {
			f.observeAgeLocked(now, vm, loads[i].Requests)
		}
		m := f.byKey[loads[i].Endpoint]
		if m == nil {
			continue
		}
		f.prefillEndedLocked(now, m, pendingPrefill(m.peerLoads[vm].requests)-pendingPrefill(loads[i].Requests))
		if len(loads[i].Requests) == 0 {
			delete(m.peerLoads, vm)
			continue
		}
		m.peerLoads[vm] = peerLoad{requests: loads[i].Requests, receivedAt: now}
	}
	f.notifyCapacityLocked()
}
