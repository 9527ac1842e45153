package endpoint_test

import (
	"slices"
	"time"

	"goldcrestpath/endpoint"
)

// stepModel extends a burst: engines run each step, and streams get an event at its end. VMs learn of loads and paces at once. The parts of
// engines that customers occupy are not simulated together with steps.
type stepModel struct {
	// slowness returns the factor by which an engine is slower than configured.
	slowness func(engine int, at time.Duration) float64
	// arrival returns when a VM reads an event that an engine wrote at the given time, nil if at once.
	arrival func(vm int, written time.Duration) time.Duration
	// observe is called after each tick.
	observe func(at time.Duration, vms []*endpoint.Fleet)
}

// steppedPrompt is the state of a prompt whose steps are simulated.
type steppedPrompt struct {
	left            int       // steps until its end
	firstAt, lastAt time.Time // events as written by the engine
	longestGap      time.Duration
	unreadEvents    []time.Time // times at which the VM reads them
	engines         []string    // selected engines
	written         bool
}

// steppedEngine is the state of an engine whose steps are simulated.
type steppedEngine struct {
	number  int
	running bool // a step is in progress
	streams []*burstPrompt
}

// steppedLength is how long prompts arrive if each step is simulated.
const steppedLength = 13 * time.Second

// heartbeat is the time between complete reports of the simulated VMs.
const heartbeat = 300 * time.Millisecond

// good reports whether the caller got its first event and all others in time.
func (p *burstPrompt) good() bool {
	return !p.refused && !p.stepped.firstAt.IsZero() && p.stepped.firstAt.Sub(p.createdAt) <= p.kind.target && p.stepped.longestGap <= p.kind.gapLimit
}

// runSteps simulates the prompts.
func (s *simulation) runSteps(prompts []*burstPrompt) {
	open := slices.Clone(prompts)
	slices.SortStableFunc(open, func(a, b *burstPrompt) int { return a.createdAt.Compare(b.createdAt) })
	for now := start; len(open) > 0; now = now.Add(burstTick) {
		if s.change != nil {
			for _, f := range s.fleets {
				s.change(now.Sub(start), f)
			}
		}
		for _, e := range s.order {
			s.step(e, now)
		}
		open = slices.DeleteFunc(open, func(p *burstPrompt) bool { return s.read(p, now) })
		for _, p := range open {
			if p.createdAt.After(now) {
				break
			}
			if p.selection == nil && !now.Before(p.tryAt) {
				if s.try(p, now); p.selection != nil {
					p.stepped.engines = selectedEngines(p.selection)
					p.stepped.left = (p.kind.output + s.engine.IterationsPerStep - 1) / s.engine.IterationsPerStep
				}
			}
		}
		open = slices.DeleteFunc(open, func(p *burstPrompt) bool { return p.refused })
		s.exchangePaces(now)
		if s.steps.observe != nil {
			s.steps.observe(now.Sub(start), s.fleets)
		}
	}
}

// step ends the step of an engine and begins the next one.
func (s *simulation) step(e *burstEngine, now time.Time) {
	if e.stepped.running && now.Before(e.stepEnd) {
		return
	}
	began := now
	if e.stepped.running {
		began = e.stepEnd
		e.stepped.streams = slices.DeleteFunc(e.stepped.streams, func(p *burstPrompt) bool {
			p.write(s, e.stepEnd)
			p.stepped.left--
			p.stepped.written = p.stepped.left == 0
			return p.stepped.written
		})
		for _, segment := range e.step {
			if p := segment.prompt; !p.refused {
				if p.unread--; p.unread == 0 {
					first := s.engines[p.selection.First().ID]
					first.stepped.streams = append(first.stepped.streams, p)
				}
			}
		}
	}
	e.step, e.queue = e.queue, nil
	e.stepped.running = len(e.step)+len(e.stepped.streams) > 0
	if !e.stepped.running {
		return
	}
	context := 0
	for _, p := range e.stepped.streams {
		context += p.tokens
		for _, h := range p.selection.Helpers() {
			context -= h.RemoteKVTokens
		}
	}
	d := s.engine.StepTime(len(e.stepped.streams), context)
	for _, segment := range e.step {
		d += segment.prefill
	}
	e.stepEnd = began
	for d > 0 {
		slowness := s.steps.slowness(e.stepped.number, e.stepEnd.Sub(start))
		part := min(d, time.Duration(float64(burstTick)/slowness))
		d -= part
		e.stepEnd = e.stepEnd.Add(time.Duration(slowness * float64(part)))
	}
}

// write records an event that the engine wrote.
func (p *burstPrompt) write(s *simulation, at time.Time) {
	if x := &p.stepped; x.firstAt.IsZero() {
		x.firstAt = at
	} else {
		x.longestGap = max(x.longestGap, at.Sub(x.lastAt))
	}
	p.stepped.lastAt = at
	if s.steps.arrival != nil {
		at = start.Add(s.steps.arrival(p.vm, at.Sub(start)))
	}
	p.stepped.unreadEvents = append(p.stepped.unreadEvents, at)
}

// read passes the events that have arrived to the selection and reports whether the stream has ended.
func (s *simulation) read(p *burstPrompt, now time.Time) bool {
	x := &p.stepped
	for len(x.unreadEvents) > 0 && !x.unreadEvents[0].After(now) {
		p.selection.EventReceived(x.unreadEvents[0])
		p.selection.PrefillDone()
		x.unreadEvents = x.unreadEvents[1:]
	}
	if !x.written || len(x.unreadEvents) > 0 {
		return false
	}
	p.endsAt = now
	p.selection.End(now, endpoint.Succeeded)
	return true
}

// exchangePaces sends the changes of loads and paces of each VM to the others, where they arrive at once.
func (s *simulation) exchangePaces(now time.Time) {
	beat := now.Sub(start)%heartbeat == 0
	for i, from := range s.fleets {
		urgent := false
		select {
		case <-from.StateChanged():
			urgent = true
		default:
		}
		if !urgent && !beat {
			continue
		}
		loads, paces, changed := from.TakeLoads(), []endpoint.Pace(nil), from.TakePacesChanged()
		if beat {
			loads = append(loads, from.Loads()...)
		}
		if changed || beat {
			paces = from.Paces(now)
		}
		name := vmName(i)
		for k, to := range s.fleets {
			if k == i {
				continue
			}
			to.MergeLoads(now, name, loads)
			if changed || beat {
				to.MergePaces(now, name, paces)
			}
		}
	}
}
