package endpoint

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the paces of engines. A pace is the factor by which an engine is slower than its configuration says; 1 is as
// configured.
const (
	// slowPace is the pace from which an engine counts as slow, and recoveredPace the one below which a slow engine counts as recovered.
	slowPace      = 1.5
	recoveredPace = 1.25
	// A VM that is short of processor time, or stopped for a moment, reads the events of several steps together: a long gap is
	// followed by one near 0. Delays of one period between reads lengthen at most one of two consecutive gaps to clearSlowPace or more,
	// and at most two of three to slowPace, so clearSamples gaps show a slow engine from clearSlowPace on and slowSamples below it. At
	// 2.5, engines that became 4.7 times slower were found after up to 760 ms instead of 590 ms in a simulation.
	clearSlowPace = 2.0
	clearSamples  = 2
	slowSamples   = 3
	// normalSamples is the number of consecutive steps below recoveredPace that show that an engine runs as configured.
	normalSamples = 2
	// lateDelivery is the share of a step below which a gap shows that the event before it was delayed on its way. The last event of a
	// stream is also early if its step was cut short. Such a gap is no sample, and neither are those before it.
	lateDelivery = 0.6
	// paceWindowGaps is the time for which samples are compared, as a multiple of the service's token gap limit: 0.75 s at 250 ms. An
	// engine whose steps exceed that limit gives three samples within it.
	paceWindowGaps = 3
	// paceReorder is how long after the step in which a prefill ended the report of its end may arrive from another VM.
	paceReorder = 50 * time.Millisecond
	// reportGrace is how long a prefill of a peer counts after its predicted end, in addition to its own length. Large prompts take
	// longer to send.
	reportGrace = 100 * time.Millisecond
	// ambiguousPrefill is the share of the predicted time of a step from which other prefills make the sample ambiguous: they may have
	// lengthened this step or another one.
	ambiguousPrefill = 0.2
	// probePaceAfter is the time without a sample after which a slow engine gets one short prompt at a time as a probe.
	probePaceAfter = 2 * time.Second
	// forgetPaceAfter is the time without a sample after which a slow engine counts as running as configured. No prompt needed it for
	// several probes, and its pace is found again within a few events.
	forgetPaceAfter = 3 * probePaceAfter
	// maxEnded is the number of ended prefills that are remembered for each engine. Those that end at almost the same time count as one.
	maxEnded = 40
	// maxReporters is the number of VMs that report an engine, enough for a median. The others would only add traffic.
	maxReporters = 3
	// maxPace bounds a pace, so that predicted times remain finite whatever a peer reports.
	maxPace = 100.0
	// maxPaces is the number of engines in a report to peers.
	maxPaces = 64
)

// Pace is the pace of an engine as one VM measured it.
type Pace struct {
	Endpoint  Key
	Pace      float64   // 1 if an engine that others report as slow runs as configured
	SampledAt time.Time // arrival of the newest event that showed it
}

// WithPaces enables learning the paces of engines and judging endpoints that appear and break repeatedly by the outcomes of their
// requests.
func WithPaces() FleetOption { return func(f *Fleet) { f.paces.enabled = true } }

// LearnsPaces reports whether the fleet learns the paces of engines.
func (f *Fleet) LearnsPaces() bool { return f.paces.enabled }

// paces is a fleet's state of the paces of engines. It is part of Fleet and guarded by its mutex, except enabled, which is constant.
type paces struct {
	enabled     bool
	changed     bool // a pace changed since TakePacesChanged
	counts      PaceCounts
	appearances map[string]*appearances // by endpoint ID
}

// PaceCounts are the numbers of selections that paces changed.
type PaceCounts struct {
	Avoided uint64 // selections in which slow engines were left out
	Probes  uint64 // requests sent to a slow engine as a probe
}

// enginePace is what a VM knows about the pace of one engine.
type enginePace struct {
	lows      [slowSamples]float64 // lower bounds of the pace from the newest steps, the newest last
	samples   int                  // number of valid elements of lows, which are the last ones
	normal    int                  // consecutive steps that ran as configured
	lastAt    time.Time            // time of the newest sample
	own       float64              // pace that this VM measured, 0 if unknown
	ownAt     time.Time            // time of the newest sample that showed own
	slowSince time.Time            // when the engine began to count as slow, zero if it does not
	peers     map[string]peerPace  // by VM name
	ended     []endedPrefill       // in order of time
}

// peerPace is a peer's report.
type peerPace struct {
	Pace
	receivedAt time.Time
}

// endedPrefill is a prefill that ended or was withdrawn, as of when this VM learned of it.
type endedPrefill struct {
	at      time.Time
	prefill time.Duration
}

// paceState returns the member's state of paces.
func (m *member) paceState() *enginePace {
	if m.pace == nil {
		m.pace = &enginePace{peers: map[string]peerPace{}}
	}
	return m.pace
}

// paceView is the combined view of an engine's pace.
type paceView struct {
	pace      float64 // 1 unless slow
	slow      bool
	sampledAt time.Time
	sources   int // VMs whose samples agree on the time window of the view, including this one
}

// paceOfLocked combines the paces that this VM and its peers measured for an engine. The newest evidence decides, together with
// the evidence that is at most one window older: the pace is their median.
func (f *Fleet) paceOfLocked(now time.Time, m *member) paceView {
	normal := paceView{pace: 1}
	p := m.pace
	if p == nil || p.own <= 1 && len(p.peers) == 0 {
		return normal
	}
	var buffer [16]Pace
	evidence := buffer[:0]
	if p.own > 0 {
		evidence = append(evidence, Pace{Pace: p.own, SampledAt: p.ownAt})
	}
	for vm, r := range p.peers {
		if now.Sub(r.receivedAt) > f.loadTTL() {
			delete(p.peers, vm)
			continue
		}
		evidence = append(evidence, r.Pace)
	}
	var newest time.Time
	slow := false
	for i := range evidence {
		slow = slow || evidence[i].Pace >= recoveredPace
		if evidence[i].SampledAt.After(newest) {
			newest = evidence[i].SampledAt
		}
	}
	if !slow || now.Sub(newest) > forgetPaceAfter {
		return normal
	}
	since := newest.Add(-paceWindow(f.services[m.entry.Service]))
	evidence = slices.DeleteFunc(evidence, func(e Pace) bool { return e.SampledAt.Before(since) })
	slices.SortFunc(evidence, func(a, b Pace) int {
		return cmp.Or(cmp.Compare(a.Pace, b.Pace), a.SampledAt.Compare(b.SampledAt))
	})
	median := evidence[len(evidence)/2]
	if len(evidence)%2 == 0 {
		if lower := evidence[len(evidence)/2-1]; lower.SampledAt.After(median.SampledAt) {
			median = lower
		}
	}
	if median.Pace < recoveredPace {
		return normal
	}
	return paceView{pace: median.Pace, slow: true, sampledAt: newest, sources: len(evidence)}
}

// paceWindow returns the time for which samples of the service's engines are compared.
func paceWindow(s *Service) time.Duration {
	if s == nil {
		return paceWindowGaps * defaultGap
	}
	return paceWindowGaps * serviceGapLimit(s)
}

// EventReceived records an event of the answer, whose arrival is a sample of the first engine's pace. Events that show no progress
// of the engine do not count.
func (s *Selection) EventReceived(now time.Time) {
	f := s.fleet
	if !f.paces.enabled {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := s.first
	service := f.services[m.entry.Service]
	w := m.ownWork[s.number]
	if service == nil || service.Engine == nil || w == nil {
		return
	}
	l := m.load(now, nil, f.loadTTL())
	step := service.Engine.StepTime(min(l.running, max(service.Engine.Slots, 1)), l.context)
	last, lastStep := s.lastEventAt, s.lastStep
	s.lastEventAt, s.lastStep = now, step
	if last.IsZero() {
		defer s.prefillsEndedLocked(now)
		// Requests with a long prompt take time to send, and those with helpers wait for the slowest one.
		if w.Prefill == 0 || w.Prefill > stepBudget(service) || len(s.helpers) > 0 || s.slowAtSelection {
			return
		}
		gap := now.Sub(w.SentAt)
		other := m.possiblePrefill(now, w.SentAt, step, w)
		if low := ratio(gap, s.expectedTTFT+other); low >= slowPace {
			f.recordSampleLocked(m, service, sample{at: now, gap: gap, low: low, high: low, certain: true})
		}
		return
	}
	gap := now.Sub(last)
	other := m.possiblePrefill(now, last, step, w)
	longest := max(step, lastStep)
	f.recordSampleLocked(m, service, sample{
		at: now, gap: gap, low: ratio(gap, longest+other), high: ratio(gap, min(step, lastStep)),
		certain: float64(other) < ambiguousPrefill*float64(longest),
	})
}

// ratio returns a/b, or 1 if b is not positive.
func ratio(a, b time.Duration) float64 {
	if b <= 0 {
		return 1
	}
	return float64(a) / float64(b)
}

// possiblePrefill returns the total time of the prefills that may have run between since and now, except that of the request skip.
// Peers report the end of a prefill late, so theirs count until well after their predicted end.
func (m *member) possiblePrefill(now, since time.Time, step time.Duration, skip *Work) time.Duration {
	sum := time.Duration(0)
	for _, w := range m.ownWork {
		if w != skip {
			sum += w.Prefill
		}
	}
	for _, p := range m.peerLoads {
		for i := range p.requests {
			if w := &p.requests[i]; w.Prefill > 0 && w.SentAt.Add(prefillDelay+step+2*w.Prefill+min(reportGrace+w.Prefill, overdueGrace)).After(since) {
				sum += w.Prefill
			}
		}
	}
	if m.pace != nil {
		for _, e := range m.pace.ended {
			if e.at.After(since.Add(-paceReorder)) && !e.at.After(now) {
				sum += e.prefill
			}
		}
	}
	return sum
}

// prefillEndedLocked records that a prefill ended or was withdrawn, so that the steps around that time are not taken for slow ones.
func (f *Fleet) prefillEndedLocked(now time.Time, m *member, prefill time.Duration) {
	if !f.paces.enabled || prefill <= 0 {
		return
	}
	p := m.paceState()
	p.ended = slices.DeleteFunc(p.ended, func(e endedPrefill) bool { return now.Sub(e.at) > probePaceAfter })
	if last := len(p.ended) - 1; last >= 0 && (len(p.ended) == maxEnded || now.Sub(p.ended[last].at) < paceReorder) {
		p.ended[last].at, p.ended[last].prefill = now, p.ended[last].prefill+prefill
		return
	}
	p.ended = append(p.ended, endedPrefill{at: now, prefill: prefill})
}

// prefillsEndedLocked records the end of the prefills of the selection that are not recorded as done.
func (s *Selection) prefillsEndedLocked(now time.Time) {
	for _, m := range append([]*member{s.first}, s.helpers...) {
		if w := m.ownWork[s.number]; w != nil {
			s.fleet.prefillEndedLocked(now, m, w.Prefill)
		}
	}
}

// pendingPrefill returns the total time of the prefills of the requests that are not recorded as done.
func pendingPrefill(requests []Work) time.Duration {
	sum := time.Duration(0)
	for i := range requests {
		sum += requests[i].Prefill
	}
	return sum
}

// sample is what one step shows of an engine's pace.
type sample struct {
	at        time.Time
	gap       time.Duration
	low, high float64 // bounds of the pace: all known prefills, or none of them, ran in this step
	certain   bool    // no prefill long enough to matter can have run in this step
}

// recordSampleLocked adds a sample of an engine's pace and decides whether the engine is slow.
func (f *Fleet) recordSampleLocked(m *member, service *Service, x sample) {
	p := m.paceState()
	if x.high < lateDelivery {
		p.samples, p.normal = 0, 0
		return
	}
	newest := len(p.lows) - 1
	if !p.lastAt.IsZero() && x.at.Sub(p.lastAt) < x.gap/2 {
		// Another stream of the same step. A delay on the way of one of them does not count.
		if p.samples > 0 {
			p.lows[newest] = min(p.lows[newest], x.low)
		}
		return
	}
	if x.at.Sub(p.lastAt) > x.gap+paceWindow(service) {
		p.samples, p.normal = 0, 0
	}
	switch {
	case x.low >= clearSlowPace || x.low >= slowPace && x.certain:
		p.normal = 0
	case x.high < recoveredPace:
		p.normal++
	case !x.certain:
		return
	default:
		p.normal = 0
	}
	p.lastAt = x.at
	copy(p.lows[:], p.lows[1:])
	p.lows[newest] = x.low
	p.samples = min(p.samples+1, len(p.lows))
	switch pace, ok := p.measured(); {
	case !ok:
	case pace < slowPace && p.own <= 1 && p.normal < normalSamples: // neither slow nor certainly as configured
	case pace >= slowPace && p.own <= 1 && f.runsLateLocked(m, service, x.at):
	default:
		f.setOwnPaceLocked(x.at, m, pace)
	}
}

// measured returns the pace that the newest samples show, 1 if the engine runs as configured. ok is false if they are too few.
func (p *enginePace) measured() (pace float64, ok bool) {
	if p.normal >= normalSamples {
		return 1, true
	}
	if p.samples >= clearSamples {
		if least := slices.Min(p.lows[slowSamples-clearSamples:]); least >= clearSlowPace {
			return min(least, maxPace), true
		}
	}
	if p.samples < slowSamples {
		return 0, false
	}
	return min(max(slices.Min(p.lows[:]), recoveredPace), maxPace), p.normal == 0
}

// runsLateLocked reports whether this VM itself rather than the engine is slow: most of the engines with recent samples, at least three,
// look slow to this VM, not counting those that peers report as slow too.
func (f *Fleet) runsLateLocked(m *member, service *Service, now time.Time) bool {
	sampled, slow := 0, 0
	for _, o := range f.pools[service.Name] {
		p := o.pace
		if p == nil || p.samples == 0 || now.Sub(p.lastAt) > paceWindow(service) {
			continue
		}
		late := p.lows[len(p.lows)-1] >= slowPace
		if o != m && late && len(p.peers) > 0 && f.paceOfLocked(now, o).slow {
			continue
		}
		sampled++
		if late {
			slow++
		}
	}
	return sampled >= 3 && 2*slow > sampled
}

// setOwnPaceLocked records the pace that this VM measured. If that changes the view of the engine, peers learn of it at once.
func (f *Fleet) setOwnPaceLocked(now time.Time, m *member, pace float64) {
	p := m.pace
	if pace <= 1 && p.own <= 1 && len(p.peers) == 0 {
		p.own, p.ownAt = pace, now
		return
	}
	before := f.paceOfLocked(now, m).slow
	p.own, p.ownAt = pace, now
	if after := f.viewChangedLocked(now, m); after != before {
		f.paces.changed = true
		f.signalStateChangedLocked()
	}
}

// viewChangedLocked notes when an engine begins or ceases to count as slow and reports whether it does.
func (f *Fleet) viewChangedLocked(now time.Time, m *member) bool {
	p := m.pace
	slow := f.paceOfLocked(now, m).slow
	switch {
	case slow && p.slowSince.IsZero():
		p.slowSince = now
	case !slow && !p.slowSince.IsZero():
		p.slowSince = time.Time{}
		if p.own > 1 {
			p.own, p.samples = 0, 0 // superseded by a peer's newer samples
		}
		f.notifyCapacityLocked()
	}
	return slow
}

// Paces returns the engines that count as slow by this VM's own samples, and those that peers report as slow although this VM's newer
// samples show that they run as configured. It returns at most maxPaces engines, the newest samples first, and none that enough peers
// report.
func (f *Fleet) Paces(now time.Time) []Pace {
	f.mu.Lock()
	defer f.mu.Unlock()
	var paces []Pace
	if !f.paces.enabled {
		return nil
	}
	for key, m := range f.byKey {
		p := m.pace
		if p == nil || p.own == 0 || now.Sub(p.ownAt) > forgetPaceAfter {
			continue
		}
		slow := f.paceOfLocked(now, m).slow
		if (p.own > 1 && slow || p.own <= 1 && !slow && len(p.peers) > 0) && f.othersReport(now, p) < maxReporters {
			paces = append(paces, Pace{Endpoint: key, Pace: p.own, SampledAt: p.ownAt})
		}
	}
	slices.SortFunc(paces, func(a, b Pace) int {
		return cmp.Or(b.SampledAt.Compare(a.SampledAt), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return paces[:min(len(paces), maxPaces)]
}

// othersReport returns the number of peers with smaller keys that report the same as this VM about an engine by recent samples. If
// they stop, this VM's next heartbeat takes the place of theirs.
func (f *Fleet) othersReport(now time.Time, p *enginePace) int {
	n := 0
	for vm, r := range p.peers {
		if (r.Pace.Pace > 1) == (p.own > 1) && now.Sub(r.SampledAt) < probePaceAfter && KeyOf(vm) < f.cells.vm {
			n++
		}
	}
	return n
}

// TakePacesChanged reports whether the result of Paces has changed since the last call in a way that peers should learn of at once.
func (f *Fleet) TakePacesChanged() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.paces.changed
	f.paces.changed = false
	return changed
}

// MergePaces replaces the paces that a peer reported.
func (f *Fleet) MergePaces(now time.Time, vm string, paces []Pace) {
	if !f.paces.enabled {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	reported := map[Key]bool{}
	for _, r := range paces[:min(len(paces), maxPaces)] {
		m := f.byKey[r.Endpoint]
		if m == nil || !f.isEngineLocked(m) || r.Pace < 1 {
			continue
		}
		reported[r.Endpoint] = true
		r.Pace = min(r.Pace, maxPace)
		m.paceState().peers[vm] = peerPace{Pace: r, receivedAt: now}
		f.viewChangedLocked(now, m)
	}
	for key, m := range f.byKey {
		if m.pace == nil || reported[key] {
			continue
		}
		if _, ok := m.pace.peers[vm]; ok {
			delete(m.pace.peers, vm)
			f.viewChangedLocked(now, m)
		}
	}
}

// applyPaceLocked multiplies the timing model of the candidate by its pace. A slow engine that is due for a probe keeps the
// configured times.
func (f *Fleet) applyPaceLocked(now time.Time, c *candidate) {
	view := f.paceOfLocked(now, c.member)
	if !view.slow {
		return
	}
	c.slow = true
	if now.Sub(view.sampledAt) >= probePaceAfter && !c.member.sentSince(view.sampledAt) {
		c.probe = true
		return
	}
	c.pace = view.pace
	c.stepTime, c.load.backlog, c.load.queuedPrefill = c.paced(c.stepTime), c.paced(c.load.backlog), c.paced(c.load.queuedPrefill)
}

// sentSince reports whether a request that was sent to the endpoint after t is still in progress.
func (m *member) sentSince(t time.Time) bool {
	for _, w := range m.ownWork {
		if w.SentAt.After(t) {
			return true
		}
	}
	for _, p := range m.peerLoads {
		if slices.ContainsFunc(p.requests, func(w Work) bool { return w.SentAt.After(t) }) {
			return true
		}
	}
	return false
}

// paced returns how long the engine takes for what takes d by its configuration.
func (c *candidate) paced(d time.Duration) time.Duration { return time.Duration(c.pace * float64(d)) }

// meets reports whether the engine serves a short prompt within its target and without a longer token gap than the callers there accept.
func (c *candidate) meets(prompt Prompt, prefill time.Duration) bool {
	limit := prompt.GapLimit
	if l := c.load.gapLimit; l > 0 && (l < limit || limit == 0) {
		limit = l
	}
	if limit > 0 && c.stepTime+c.load.queuedPrefill+c.paced(prefill) > limit-gapMargin {
		return false
	}
	return prompt.TTFTTarget == 0 || prompt.Waited+c.expectedTTFT(prefill) <= prompt.TTFTTarget
}

// withoutSlowLocked removes the slow engines that should not prefill the prompt from the candidates, unless no other engines can take
// it. The segments of a joint prefill are as slow as the slowest one, so a slow engine takes none. It takes a short prompt if it meets
// the prompt's target. If one is due for a probe and free, it is the only candidate for a short prompt.
func (f *Fleet) withoutSlowLocked(candidates []candidate, prompt Prompt, prefill time.Duration, neededTokens int, short bool) []candidate {
	avoided, freeTokens, hasSlot, canTake := 0, 0, false, false
	for i := range candidates {
		c := &candidates[i]
		takes := c.hasSlot && c.freeTokens >= neededTokens
		if c.slow {
			if short && c.probe && takes && c.load.backlog == 0 && c.nonDisruptive(prefill) {
				return candidates[i : i+1]
			}
			if c.avoided = !short || !c.meets(prompt, prefill); c.avoided {
				avoided++
				continue
			}
		}
		canTake = canTake || takes
		hasSlot = hasSlot || c.hasSlot
		freeTokens += usableTokens(c.freeTokens)
	}
	if !short {
		canTake = canTake || hasSlot && freeTokens >= neededTokens // as fits
	}
	if avoided == 0 || !canTake {
		return candidates
	}
	f.paces.counts.Avoided++
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.avoided })
}

// SlowEngine describes an engine that counts as slow, for operators.
type SlowEngine struct {
	ID      string
	Pace    float64
	Since   time.Time
	Sampled time.Time // arrival of the newest event that shows it
	Sources int       // VMs whose samples show it
	Own     bool      // whether this VM's own samples do
}

// SlowEngines returns the engines that count as slow, in order of their IDs, and the numbers of selections that paces changed.
func (f *Fleet) SlowEngines(now time.Time) ([]SlowEngine, PaceCounts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var slow []SlowEngine
	for _, m := range f.members {
		if m.pace == nil {
			continue
		}
		if !f.viewChangedLocked(now, m) {
			continue
		}
		view := f.paceOfLocked(now, m)
		slow = append(slow, SlowEngine{
			ID: m.entry.ID, Pace: view.pace, Since: m.pace.slowSince, Sampled: view.sampledAt, Sources: view.sources, Own: m.pace.own > 1,
		})
	}
	slices.SortFunc(slow, func(a, b SlowEngine) int { return cmp.Compare(a.ID, b.ID) })
	return slow, f.paces.counts
}
