package endpoint

import (
	"slices"
	"strconv"
	"time"

	"goldcrestpath/customer"
)

// Cell names a group of VMs and engines. The VMs of a cell tell each other of their loads and use the engines of the cell. A small
// deployment is a single cell, Undivided. In a larger one, each data centre is a cell of its own, or several if it has many engines.
type Cell string

// Undivided is the only cell of a deployment that is not divided.
const Undivided Cell = ""

const (
	// maxCellEngines is how many engines of a data centre form one cell. A long prompt uses up to 17 engines, so a cell has to be
	// several times as large to place them well.
	maxCellEngines = 64
	// joinedFor is how long a VM stays in another cell after its last use of it.
	joinedFor = 5 * time.Second
	// joinDelay is the time from joining a cell to the arrival of its VMs' loads. No request is placed there before.
	joinDelay = 12 * time.Millisecond
	// summaryTTL is how long the summary of another cell counts.
	summaryTTL = 3 * time.Second
	// summaryValidFor is how long this VM uses its own summary of a cell before it computes a new one.
	summaryValidFor = 250 * time.Millisecond
)

// CellOf returns the cell of a VM or an endpoint, identified by key, in a data centre that is divided into the given number of
// cells. A data centre that is divided into twice as many cells splits each of them.
func CellOf(dataCentre string, parts int, key Key) Cell {
	if parts <= 1 {
		return Cell(dataCentre)
	}
	return Cell(dataCentre + "#" + strconv.Itoa(int(uint64(key)%uint64(parts))) + "/" + strconv.Itoa(parts))
}

// Summary is the state of a cell for one service, as one of its VMs sees it.
type Summary struct {
	Cell      Cell
	Service   Key
	Engines   int           // engines in use
	FreeSlots float64       // share of their batch slots that is free
	Wait      time.Duration // predicted wait for prefills
	recent    int           // prompts sent there within arrivalWindow; known of the home cell only
}

// receivedSummary is a summary with the time of its arrival.
type receivedSummary struct {
	Summary
	receivedAt time.Time
}

// summaryKey identifies the summaries of one cell.
type summaryKey struct {
	cell    Cell
	service Key
}

// cells is a fleet's knowledge of cells. It is part of Fleet and guarded by its mutex.
type cells struct {
	dataCentre string // of this VM
	vm         Key    // of this VM's name
	divided    bool   // whether the deployment is divided into cells
	home       Cell   // cell of this VM
	revision   uint64 // number of changes of the division
	joined     map[Cell]*joinedCell
	summaries  map[summaryKey]receivedSummary
	own        map[string]receivedSummary // this VM's summaries of its cell, by service
}

// joinedCell is another cell whose engines this VM uses.
type joinedCell struct {
	since, lastUse time.Time
}

// WithLocation sets the data centre and the name of this VM, which determine its cell.
func WithLocation(dataCentre, vm string) FleetOption {
	return func(f *Fleet) { f.cells.dataCentre, f.cells.vm = dataCentre, KeyOf(vm) }
}

// SetDivided sets whether the deployment is divided into cells.
func (f *Fleet) SetDivided(divided bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cells.divided == divided {
		return
	}
	f.cells.divided = divided
	f.assignCellsLocked("")
	f.notifyCapacityLocked()
}

// DivisionRevision returns the number of changes of the division so far.
func (f *Fleet) DivisionRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cells.revision
}

// Parts returns the number of cells of a data centre.
func (f *Fleet) Parts(dataCentre string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partsLocked(dataCentre)
}

// partsLocked returns the number of cells of a data centre, a power of two.
func (f *Fleet) partsLocked(dataCentre string) int {
	parts := 1
	for engines := f.enginesIn[dataCentre]; engines > parts*maxCellEngines; {
		parts *= 2
	}
	return parts
}

// Cells returns the cell of this VM and the cells that it has joined.
func (f *Fleet) Cells(now time.Time) (home Cell, joined []Cell) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaveUnusedLocked(now)
	for c := range f.cells.joined {
		joined = append(joined, c)
	}
	slices.Sort(joined)
	return f.cells.home, joined
}

// assignCellsLocked determines the cell of this VM and of the endpoints in a data centre, or of all endpoints if it is "".
func (f *Fleet) assignCellsLocked(dataCentre string) {
	f.cells.revision++
	f.cells.home = Undivided
	if f.cells.divided {
		f.cells.home = CellOf(f.cells.dataCentre, f.partsLocked(f.cells.dataCentre), f.cells.vm)
	}
	for _, m := range f.members {
		if dataCentre == "" || m.entry.DataCentre == dataCentre {
			f.assignCellLocked(m)
		}
	}
}

// assignCellLocked determines the cell of an endpoint.
func (f *Fleet) assignCellLocked(m *member) {
	m.cell = Undivided
	if f.cells.divided {
		m.cell = CellOf(m.entry.DataCentre, f.partsLocked(m.entry.DataCentre), m.key)
	}
}

// addEnginesLocked changes the number of engines in a data centre and divides it anew if necessary.
func (f *Fleet) addEnginesLocked(dataCentre string, n int) {
	parts := f.partsLocked(dataCentre)
	f.enginesIn[dataCentre] += n
	if f.partsLocked(dataCentre) != parts {
		f.assignCellsLocked(dataCentre)
	}
}

// isEngineLocked reports whether the endpoint belongs to a service with engines.
func (f *Fleet) isEngineLocked(m *member) bool {
	s := f.services[m.entry.Service]
	return s != nil && s.Engine != nil
}

// countEnginesLocked counts the engines of each data centre after the services changed.
func (f *Fleet) countEnginesLocked() {
	clear(f.enginesIn)
	for _, m := range f.members {
		if f.isEngineLocked(m) {
			f.enginesIn[m.entry.DataCentre]++
		}
	}
	f.assignCellsLocked("")
}

// queueKey identifies the order of the prompts that wait in a cell for the engines of a service.
func queueKey(service string, c Cell) Key {
	if c == Undivided {
		return KeyOf(service)
	}
	return KeyOf(service + "@" + string(c))
}

// waitingCellLocked returns the cell in which a prompt waits: the home cell, unless that has no engine in use.
func (f *Fleet) waitingCellLocked(now time.Time, service string) Cell {
	if !f.cells.divided || f.summaryLocked(now, service).Engines > 0 {
		return f.cells.home
	}
	if c, ok := f.otherCellLocked(now, service, Prompt{}, homeUnusable, func(Cell) bool { return false }); ok {
		return c
	}
	return f.cells.home
}

// leaveUnusedLocked leaves the cells that this VM has not used for joinedFor. It stays while it has requests there.
func (f *Fleet) leaveUnusedLocked(now time.Time) {
	for c, j := range f.cells.joined {
		if f.cells.divided && now.Sub(j.lastUse) <= joinedFor {
			continue
		}
		busy := false
		for _, m := range f.members {
			busy = busy || f.cells.divided && len(m.ownWork) > 0 && m.cell == c
		}
		if !busy {
			delete(f.cells.joined, c)
		}
	}
}

// joinLocked makes this VM take part in another cell and reports whether the loads of its VMs may be expected to have arrived.
func (f *Fleet) joinLocked(now time.Time, c Cell) bool {
	j := f.cells.joined[c]
	if j == nil {
		j = &joinedCell{since: now}
		f.cells.joined[c] = j
		f.signalStateChangedLocked()
	}
	j.lastUse = now
	return now.Sub(j.since) >= joinDelay
}

// MergeSummaries replaces the summaries of other cells with newer ones.
func (f *Fleet) MergeSummaries(now time.Time, summaries []Summary) {
	f.mu.Lock()
	defer f.mu.Unlock()
	home := f.cells.home
	for _, s := range summaries {
		if s.Cell != home {
			f.cells.summaries[summaryKey{s.Cell, s.Service}] = receivedSummary{Summary: s, receivedAt: now}
		}
	}
	for k, s := range f.cells.summaries {
		if now.Sub(s.receivedAt) > summaryTTL {
			delete(f.cells.summaries, k)
		}
	}
}

// Summaries returns the state of this VM's cell for each service with engines.
func (f *Fleet) Summaries(now time.Time) []Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cells.divided {
		return nil
	}
	var summaries []Summary
	for name, s := range f.services {
		if s.Engine != nil {
			summaries = append(summaries, f.summaryLocked(now, name))
		}
	}
	return summaries
}

// summaryLocked returns the state of this VM's cell for a service with engines.
func (f *Fleet) summaryLocked(now time.Time, service string) Summary {
	if r, ok := f.cells.own[service]; ok && now.Sub(r.receivedAt) < summaryValidFor && r.Cell == f.cells.home {
		return r.Summary
	}
	s := f.services[service]
	sum := Summary{Cell: f.cells.home, Service: KeyOf(service)}
	slots, free := 0, 0
	var backlog time.Duration
	for _, c := range f.candidatesLocked(now, s, sum.Cell, nil) {
		sum.Engines++
		slots += s.Engine.Slots
		free += max(s.Engine.Slots-c.load.running, 0)
		backlog += c.load.backlog
		sum.recent += c.load.recent
	}
	if sum.Engines > 0 {
		last := WaitingPrompt{Queue: queueKey(service, sum.Cell), StartBy: now.Add(-time.Hour)}
		sum.FreeSlots = float64(free) / float64(max(slots, 1))
		sum.Wait = (backlog + f.precedingPrefillLocked(&last, now, s)) / time.Duration(sum.Engines)
	}
	f.cells.own[service] = receivedSummary{Summary: sum, receivedAt: now}
	return sum
}

// homeState states why the home cell does not serve a prompt.
type homeState uint8

const (
	homeBusy     homeState = iota // the prompt would be late there or disturb streams
	homeFull                      // no engine has the free batch slots and memory
	homeUnusable                  // no engine may be used, whatever its load is
)

// leaveReason returns why a prompt leaves a home cell in that state.
func (s homeState) leaveReason() LeaveReason {
	switch s {
	case homeBusy:
		return LeaveBusy
	case homeFull:
		return LeaveFull
	default:
		return LeaveUnusable
	}
}

// homeStateOf returns the state of the home cell that refused a prompt.
func homeStateOf(r *customer.Refusal) homeState {
	switch {
	case noneUsable(r):
		return homeUnusable
	case r.Reason() == customer.ReasonQueueFull && r != errBusy && r != errWait:
		return homeFull
	default:
		return homeBusy
	}
}

// otherCellLocked returns the cell that should serve a prompt that its own cell cannot serve, or false if there is none. Only cells
// where the prompt is better off by the rules qualify. Those that this VM has joined come first, so that it learns the loads of few
// cells. Among the others, VMs choose differently, so that the work of a data centre without engines spreads over all others.
func (f *Fleet) otherCellLocked(now time.Time, service string, prompt Prompt, state homeState, exclude func(Cell) bool) (Cell, bool) {
	var best *receivedSummary
	home := f.summaryLocked(now, service)
	rules := f.leaveRulesLocked(f.services[service])
	better := func(a, b *receivedSummary) bool {
		x, y := rules.surplus(now, homeBusy, &home, a, prompt), rules.surplus(now, homeBusy, &home, b, prompt)
		if x > 0 != (y > 0) {
			return x > 0
		}
		if x, y := f.cells.joined[a.Cell] != nil, f.cells.joined[b.Cell] != nil; x != y {
			return x
		}
		if x <= 0 && !rules.weigh {
			return a.Wait < b.Wait
		}
		return rules.draw(f.cells.vm, a) < rules.draw(f.cells.vm, b)
	}
	old := 0
	for k, s := range f.cells.summaries {
		if k.service != KeyOf(service) || s.Engines == 0 || exclude(s.Cell) {
			continue
		}
		if now.Sub(s.receivedAt) > summaryTTL {
			old++
			continue
		}
		if rules.surplus(now, state, &home, &s, prompt) <= 0 {
			continue
		}
		if best == nil || better(&s, best) {
			best = &s
		}
	}
	f.oldSummaries = best == nil && old > 0
	if best == nil || !rules.leaves(rules.surplus(now, state, &home, best, prompt), &home, f.leaveDraw(now, prompt)) {
		return Undivided, false
	}
	return best.Cell, true
}

// rendezvous returns the weight of a cell for a VM in rendezvous hashing.
func rendezvous(vm Key, c Cell) uint64 {
	return uint64(KeyOf(strconv.FormatUint(uint64(vm), 36) + string(c)))
}

// noneUsable reports whether a selection was refused because no endpoint may be used, whatever its load is.
func noneUsable(r *customer.Refusal) bool {
	return r.Reason() == customer.ReasonNoEndpoint || r.Reason() == customer.ReasonPaused
}

// selectInOtherCell selects engines of another cell for a prompt that the home cell refused. It returns nil, nil if no other cell
// should be used, and errWait until the loads of a cell that this VM has just joined are known.
func (f *Fleet) selectInOtherCell(now time.Time, s *Service, prompt Prompt, exclude []string, refusal *customer.Refusal) (*Selection, *customer.Refusal) {
	if refusal.Reason() == customer.ReasonMemory {
		return nil, nil
	}
	if refusal == errWait {
		wait := f.newWaitingPromptLocked(now, s.Name, f.cells.home, prompt)
		if prompt.Waited < time.Duration(f.leaveRulesLocked(s).leaveAfter*float64(wait.StartWithin)) {
			return nil, nil
		}
	}
	state := homeStateOf(refusal)
	tried := map[Cell]bool{}
	for range 2 {
		c, ok := f.otherCellLocked(now, s.Name, prompt, state, func(c Cell) bool { return tried[c] })
		if !ok {
			return nil, nil
		}
		tried[c] = true
		if !f.joinLocked(now, c) {
			f.trace.addJoin(c)
			if refusal == errBusy {
				return nil, nil
			}
			return nil, errWait
		}
		sel, other := f.selectInCell(now, s, c, prompt, exclude, state == homeBusy)
		f.trace.addRefusal(other)
		if other == nil {
			sel.leaveReason = state.leaveReason()
			return sel, nil
		}
		if state == homeUnusable && !noneUsable(other) {
			return nil, other // the prompt waits there, or is refused there
		}
	}
	return nil, nil
}
