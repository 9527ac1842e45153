package endpoint

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// LeaveReason states why a request leaves the data centre of its VM.
type LeaveReason string

// Reasons for leaving.
const (
	LeaveNone     LeaveReason = ""
	LeaveFaster   LeaveReason = "faster"   // the answer is predicted to begin earlier elsewhere
	LeaveBusy     LeaveReason = "busy"     // at home, the prompt would be late or disturb streams
	LeaveFull     LeaveReason = "full"     // no endpoint at home has a free slot and the memory
	LeaveUnusable LeaveReason = "unusable" // no endpoint at home may be used, whatever its load is
	LeaveOrder    LeaveReason = "order"    // the common order of engines, which does not regard data centres
)

// sendingFor is how long a VM counts as sending work away after the last request that left for a reason other than LeaveOrder.
const sendingFor = 2 * time.Second

// departureKey identifies the counters of requests that left a data centre.
type departureKey struct {
	from, to string
	reason   LeaveReason
}

// Departures counts the requests that this VM sent from its data centre to another one for a reason.
type Departures struct {
	From, To string // data centres
	Reason   LeaveReason
	Requests int64
	Bytes    int64 // of their bodies
}

// LeaveReason returns why the first endpoint is in another data centre than this VM, LeaveNone if it is not or only because of the
// common order of engines.
func (s *Selection) LeaveReason() LeaveReason { return s.leaveReason }

// CountSent records that the request was sent to its first endpoint with a body of that many bytes.
func (s *Selection) CountSent(now time.Time, bytes int) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &s.first.entry
	if !f.weighDataCentres || e.DataCentre == f.cells.dataCentre {
		return
	}
	reason := cmp.Or(s.leaveReason, LeaveOrder)
	k := departureKey{f.cells.dataCentre, e.DataCentre, reason}
	d := f.departures[k]
	if d == nil {
		d = &Departures{From: k.from, To: k.to, Reason: k.reason}
		f.departures[k] = d
	}
	d.Requests++
	d.Bytes += int64(bytes)
	if reason == LeaveOrder {
		return
	}
	if !now.Before(f.sendingUntil) {
		f.leaveReasons = nil
	}
	f.sendingUntil = now.Add(sendingFor)
	if !slices.Contains(f.leaveReasons, reason) {
		f.leaveReasons = append(f.leaveReasons, reason)
	}
}

// Departures returns the counters of the requests that left the data centre of this VM, in a fixed order.
func (f *Fleet) Departures() []Departures {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Departures, 0, len(f.departures))
	for _, d := range f.departures {
		all = append(all, *d)
	}
	slices.SortFunc(all, func(a, b Departures) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

// PlacementState is what operators see of the placement.
type PlacementState struct {
	SendsAway  bool // requests left the data centre within the last 2 s because that was better than staying
	NoViews    bool // no load of a peer, or in a divided deployment no summary of another cell, is recent enough
	HomeInUse  int  // slots in use at the usable endpoints of the data centre of this VM
	HomeSlots  int  // slots of these endpoints
	OtherInUse int  // the same for the other data centres
	OtherSlots int
	Reasons    []LeaveReason // of the requests that left since SendsAway was last false, without LeaveOrder
}

// PlacementState returns the present state of the placement.
func (f *Fleet) PlacementState(now time.Time) PlacementState {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := PlacementState{SendsAway: now.Before(f.sendingUntil), NoViews: f.blindLocked(now) || f.cells.divided && f.oldSummaries, Reasons: slices.Clone(f.leaveReasons)}
	for _, m := range f.members {
		if m.entry.Draining || m.leaving || f.drained[m.entry.DataCentre] {
			continue
		}
		running, slots := m.load(now, nil, f.loadTTL()).running, m.entry.Slots
		if m.entry.DataCentre == f.cells.dataCentre {
			p.HomeInUse, p.HomeSlots = p.HomeInUse+running, p.HomeSlots+slots
		} else {
			p.OtherInUse, p.OtherSlots = p.OtherInUse+running, p.OtherSlots+slots
		}
	}
	return p
}

// dataCentre returns the data centre of a cell of a divided deployment.
func (c Cell) dataCentre() string {
	dataCentre, _, _ := strings.Cut(string(c), "#")
	return dataCentre
}
