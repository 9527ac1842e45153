package engine

import (
	"fmt"
	"time"

	"goldcrestpath/customer"
)

// Defaults of the ledger's options and further bounds.
const (
	defaultQueue       = 128     // demands; more would wait for longer than their slack
	defaultLongBacklog = 100_000 // tokens; one prompt of class Long at its upper bound
	defaultVeryLong    = 1       // a second one would only be prefilled after the first
	defaultHeadroom    = 0.1     // part of memory and sequences that long prompts leave to short ones
	coldPrefill        = 16_000  // prefill tokens for each sequence of a cold allowance; the bound of class Medium
	maxReportSilence   = 5 * time.Second
	endedFor           = 10 * time.Second // longer than any message about a grant is on its way
	drainFor           = 3 * time.Second  // an engine's hold for resumption, 2 s, and MaxReportAge
	firstAnswerPart    = 0.5              // part of MaxTokens that answers use, until some have ended
	answerPartStep     = 1.0 / 16
)

// Ledger keeps what one endpoint has promised. It is not safe for concurrent use.
//
// A grant is given only while own grants and all work that the endpoint reports from others stay within the usable shares
// of memory and sequences. What a grant holds is freed exactly once: by Release, Withdraw or ReleaseHolder, or by a report
// with a new instance number. After a failure it stays reserved until a report shows the endpoint without the stream.
type Ledger struct {
	spec        Spec
	owner       string
	maxQueue    int
	longBacklog int
	maxVeryLong int
	headroom    float64

	now           time.Time
	usable, total int
	held          map[string]*reservation
	heldTokens    int
	accounts      map[string]*account
	weights       int                  // sum over accounts
	dominants     float64              // sum over accounts, as of the last refresh
	ended         map[string]time.Time // IDs that were freed, so that late messages and reports do not revive them
	draining      map[string]drain     // failed work that the endpoint may still hold
	foreign       map[string]StreamReport
	foreignTokens int

	reported            bool
	otherModel          string // that the endpoint serves in place of the configured one, or ""
	instance, sequence  uint64
	retired             uint64    // the instance before the last restart
	sampled             time.Time // time that the last report describes
	capacity, sequences int
	otherPrefillEnd     time.Time // end of the reported prefill backlog that held does not explain

	queue   []*waiting
	arrived uint64
	pending []Decision

	allow      allowance
	answerPart float64
	inherited  Load // of the last owner
}

// reservation is what a grant holds.
type reservation struct {
	demand     Demand
	lane       lane
	tokens     int // the larger of the demand and the report
	granted    time.Time
	prefillEnd time.Time
	firstToken time.Duration // predicted; 0 for grants of an earlier owner
	listed     bool          // a report of this instance listed the stream
	unproven   bool          // was granted around a restart and may have gone with the old instance
}

// drain is failed work.
type drain struct {
	tokens int
	since  time.Time
}

// LedgerOption sets an optional property of a Ledger.
type LedgerOption func(*Ledger)

// WithOwner sets the place that grants name as their owner.
func WithOwner(place string) LedgerOption { return func(l *Ledger) { l.owner = place } }

// WithQueue bounds the number of queued demands.
func WithQueue(n int) LedgerOption { return func(l *Ledger) { l.maxQueue = n } }

// WithLongBacklog bounds the prefill backlog of prompts of class Long, in tokens, and the number of prompts of class
// VeryLong that are prefilled at a time.
func WithLongBacklog(tokens, veryLong int) LedgerOption {
	return func(l *Ledger) { l.longBacklog, l.maxVeryLong = tokens, veryLong }
}

// WithHeadroom sets the part of memory and sequences that long prompts leave to short ones.
func WithHeadroom(part float64) LedgerOption { return func(l *Ledger) { l.headroom = part } }

// NewLedger returns the ledger of an endpoint of which no share is usable yet. It refuses every demand until a report and a
// share have arrived, and counts the endpoint as cold.
func NewLedger(spec Spec, now time.Time, opts ...LedgerOption) *Ledger {
	l := &Ledger{
		spec: spec, maxQueue: defaultQueue, longBacklog: defaultLongBacklog, maxVeryLong: defaultVeryLong,
		headroom: defaultHeadroom, now: now, held: make(map[string]*reservation), accounts: make(map[string]*account),
		ended: make(map[string]time.Time), draining: make(map[string]drain), foreign: make(map[string]StreamReport),
		capacity: spec.KVTokens, sequences: spec.Sequences, allow: newAllowance(spec), answerPart: firstAnswerPart,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetShares sets how many of the endpoint's shares are lent to the owner. Grants beyond a smaller share stay counted.
func (l *Ledger) SetShares(now time.Time, usable, total int) {
	l.now = now
	l.usable, l.total = usable, total
}

// usableTokens returns the part of the memory that the shares cover.
func (l *Ledger) usableTokens() int { return l.part(l.capacity) }

// slots returns the part of the sequences that the shares cover.
func (l *Ledger) slots() int { return l.part(l.sequences) }

func (l *Ledger) part(n int) int {
	if l.total <= 0 || l.usable <= 0 || l.otherModel != "" {
		return 0
	}
	return n * min(l.usable, l.total) / l.total
}

func (l *Ledger) usedTokens() int {
	n := l.heldTokens + l.foreignTokens
	for _, d := range l.draining {
		n += d.tokens
	}
	return n
}

func (l *Ledger) usedSlots() int { return len(l.held) + len(l.foreign) + len(l.draining) }

// Ask decides on a demand. A repeated demand gets the same grant again; the ID of freed work gets none.
func (l *Ledger) Ask(now time.Time, d Demand) Decision {
	l.now = now
	l.expire()
	if r, ok := l.held[d.ID]; ok {
		return l.granted(r)
	}
	if _, ok := l.ended[d.ID]; ok {
		return refuse(d, customer.ReasonGrantExpired, "the grant was already freed")
	}
	l.refresh()
	if i := l.queuedAt(d.ID); i >= 0 {
		return Queued{Demand: d, Start: l.predict(l.queue[i])}
	}
	reason, final, text := l.obstacle(d)
	if final {
		return refuse(d, reason, text)
	}
	if wait := l.laneEnd(laneOf(d)).Sub(now); wait > d.Slack {
		return refuse(d, customer.ReasonDeadline, fmt.Sprintf("the prefill backlog takes %v and the request has to start within %v", wait, d.Slack))
	}
	w := &waiting{demand: d, startBy: now.Add(d.Slack), leaveBy: now.Add(d.MaxWait), number: l.arrived, reason: reason, over: l.overShare(d.Customer)}
	if reason == "" && !l.behind(w) {
		return l.grant(d)
	}
	if reason == "" {
		w.reason, text = customer.ReasonQueueFull, "earlier requests wait for room"
	}
	if d.MaxWait <= 0 {
		return refuse(d, w.reason, text)
	}
	start := l.predict(w)
	if start.After(w.startBy) {
		return refuse(d, customer.ReasonDeadline, fmt.Sprintf("the request would start in %v and has to start within %v", start.Sub(now), d.Slack))
	}
	if !l.enqueue(w) {
		return refuse(d, customer.ReasonQueueFull, "the queue is full")
	}
	l.arrived++
	return Queued{Demand: d, Start: start}
}

// behind says whether a queued demand of w's lane comes before w.
func (l *Ledger) behind(w *waiting) bool {
	for _, q := range l.queue {
		if laneOf(q.demand) == laneOf(w.demand) && order(q, w) < 0 {
			return true
		}
	}
	return false
}

// predict returns when w starts behind the demands that come before it.
func (l *Ledger) predict(w *waiting) time.Time {
	f := l.forecast()
	for _, q := range l.queue {
		if q != w && order(q, w) < 0 {
			f.start(q.demand)
		}
	}
	return f.start(w.demand)
}

// obstacle returns why d cannot be granted now, or "". final means that waiting does not help.
func (l *Ledger) obstacle(d Demand) (reason customer.Reason, final bool, text string) {
	switch {
	case d.Tokens() > l.capacity:
		return customer.ReasonMemory, true, fmt.Sprintf("the request needs %d tokens of memory and %s has %d", d.Tokens(), l.spec.Name, l.capacity)
	case !l.reported:
		return customer.ReasonShare, true, l.spec.Name + " has not reported to its owner yet"
	case l.now.Sub(l.sampled) > maxReportSilence:
		return customer.ReasonNoEndpoint, true, fmt.Sprintf("%s has not reported for %v", l.spec.Name, l.now.Sub(l.sampled))
	case l.otherModel != "":
		return customer.ReasonNoEndpoint, true, fmt.Sprintf("%s serves model %s in place of %s", l.spec.Name, l.otherModel, l.spec.Model)
	case l.slots() == 0:
		return customer.ReasonShare, true, "the owner holds no share of " + l.spec.Name
	case d.Tokens() > l.usableTokens():
		// This also makes a prompt of more than half of the memory wait for a majority of the shares.
		return customer.ReasonShare, true, fmt.Sprintf("the request needs %d tokens of memory and the shares of the owner cover %d", d.Tokens(), l.usableTokens())
	case l.allow.cold && 2*l.usable <= l.total:
		return customer.ReasonShare, true, "a cold endpoint's work needs a majority of its shares"
	case l.allow.cold && !l.coldRoom(d):
		return customer.ReasonCold, false, fmt.Sprintf("%s is cold and its allowance of %d sequences is used up", l.spec.Name, l.allow.limit)
	case !l.room(d):
		return customer.ReasonQueueFull, false, l.spec.Name + " has no room"
	}
	return "", false, ""
}

// coldRoom says whether the cold-start allowance has room for d. A prompt above the prefill bound runs alone, because a
// fleet that is cold as a whole would otherwise never serve it.
func (l *Ledger) coldRoom(d Demand) bool {
	if l.usedSlots() >= l.allow.limit {
		return false
	}
	backlog := 0
	for _, r := range l.held {
		backlog += l.remaining(r, l.now)
	}
	return l.usedSlots() == 0 || backlog+prefillTokens(d) <= l.allow.limit*coldPrefill
}

// room says whether memory, sequences and the bounds between short and long prompts admit d.
func (l *Ledger) room(d Demand) bool {
	tokens, slots := l.usableTokens(), l.slots()
	if l.usedTokens()+d.Tokens() > tokens || l.usedSlots() >= slots {
		return false
	}
	var held [numLanes]struct{ tokens, slots int }
	for _, r := range l.held {
		held[r.lane].tokens += r.tokens
		held[r.lane].slots++
	}
	spare := int(l.headroom * float64(tokens))
	spareSlots := max(int(l.headroom*float64(slots)), min(1, slots-1))
	if laneOf(d) == longLane {
		if h := held[longLane]; h.slots > 0 && (h.tokens+d.Tokens() > tokens-spare || h.slots+1 > slots-spareSlots) {
			return false
		}
		backlog, veryLong := l.longPrefill()
		if customer.ClassOf(d.PromptTokens) == customer.VeryLong {
			return veryLong < l.maxVeryLong
		}
		return backlog == 0 || backlog+prefillTokens(d) <= l.longBacklog
	}
	next := l.nextLong()
	if next == nil {
		return true
	}
	// A long prompt waits. Short ones leave it what long ones do not hold, down to their headroom, so that it gets in.
	short, long := held[shortLane], held[longLane]
	return short.tokens+d.Tokens() <= max(spare, tokens-long.tokens-l.foreignTokens-next.demand.Tokens()) &&
		short.slots+1 <= max(spareSlots, slots-long.slots-len(l.foreign)-1)
}

// nextLong returns the first queued demand of the long lane.
func (l *Ledger) nextLong() *waiting {
	var next *waiting
	for _, w := range l.queue {
		if laneOf(w.demand) == longLane && (next == nil || order(w, next) < 0) {
			next = w
		}
	}
	return next
}

func (l *Ledger) grant(d Demand) Granted {
	r := &reservation{demand: d, lane: laneOf(d), tokens: d.Tokens(), granted: l.now}
	l.schedulePrefill(r)
	l.hold(r)
	return l.granted(r)
}

func (l *Ledger) granted(r *reservation) Granted {
	d := r.demand
	return Granted{
		Grant:      Grant{ID: d.ID, Endpoint: l.spec.Name, Holder: d.Holder, Owner: l.owner, Demand: d},
		FirstToken: r.prefillEnd, End: l.end(r.prefillEnd, d),
	}
}

func (l *Ledger) hold(r *reservation) {
	l.held[r.demand.ID] = r
	l.heldTokens += r.tokens
	a := l.account(r.demand)
	a.held++
	a.tokens += r.tokens
}

// free ends a reservation.
func (l *Ledger) free(r *reservation) {
	id := r.demand.ID
	delete(l.held, id)
	l.markEnded(id)
	l.heldTokens -= r.tokens
	a := l.accounts[r.demand.Customer]
	a.held--
	a.tokens -= r.tokens
	l.tidy(r.demand.Customer)
}

// markEnded keeps the time of the first end, which decides which reports still describe the work as running.
func (l *Ledger) markEnded(id string) {
	if _, ok := l.ended[id]; !ok {
		l.ended[id] = l.now
	}
}

// Withdraw removes a queued demand or an unused grant. A demand that arrives after its withdrawal gets no grant.
func (l *Ledger) Withdraw(now time.Time, id string) {
	l.now = now
	l.markEnded(id)
	if i := l.queuedAt(id); i >= 0 {
		l.dequeue(i)
	} else if r, ok := l.held[id]; ok {
		l.free(r)
	}
}

// Register counts a grant in use, which an earlier owner gave. It is counted even beyond the usable shares.
func (l *Ledger) Register(now time.Time, g Grant) {
	l.now = now
	if _, ok := l.ended[g.ID]; ok {
		return
	}
	if _, ok := l.held[g.ID]; ok {
		return
	}
	if i := l.queuedAt(g.ID); i >= 0 {
		l.dequeue(i)
	}
	d := g.Demand
	d.ID, d.Holder = g.ID, g.Holder
	r := &reservation{demand: d, lane: laneOf(d), tokens: d.Tokens(), granted: now}
	if st, ok := l.foreign[g.ID]; ok {
		r.listed = true
		r.tokens = max(r.tokens, st.Tokens)
		l.dropForeign(g.ID)
	}
	l.schedulePrefill(r)
	r.firstToken = 0
	l.hold(r)
}

// Release frees what a grant holds. A second call does nothing.
func (l *Ledger) Release(now time.Time, id string, r Result) {
	l.now = now
	res, ok := l.held[id]
	if !ok {
		if i := l.queuedAt(id); i >= 0 {
			l.dequeue(i)
		}
		l.markEnded(id)
		return
	}
	l.free(res)
	switch {
	case r.Failed:
		l.allow.reset()
		l.draining[id] = drain{tokens: res.tokens, since: now}
	case late(r.FirstToken, res.firstToken):
		l.allow.reset()
	case r.FirstToken > 0:
		l.allow.grow()
	}
	if m := res.demand.MaxTokens; r.Usage.AnswerTokens > 0 && m > 0 {
		used := min(float64(r.Usage.AnswerTokens)/float64(m), 1)
		l.answerPart += (used - l.answerPart) * answerPartStep
	}
}

// ReleaseHolder frees all grants and queued demands of a holder after its streams were cancelled.
func (l *Ledger) ReleaseHolder(now time.Time, holder string) {
	l.now = now
	for _, r := range l.held {
		if r.demand.Holder == holder {
			l.free(r)
		}
	}
	for i := len(l.queue) - 1; i >= 0; i-- {
		if l.queue[i].demand.Holder == holder {
			l.dequeue(i)
		}
	}
	for id, st := range l.foreign {
		if st.Holder == holder {
			l.dropForeign(id)
			l.markEnded(id)
		}
	}
}

func (l *Ledger) dropForeign(id string) {
	l.foreignTokens -= l.foreign[id].Tokens
	delete(l.foreign, id)
}

// expire frees failed work that the endpoint has cancelled by itself, without which an endpoint whose reports are missing
// would lose the memory, and forgets IDs that no message or report can name any more.
func (l *Ledger) expire() {
	for id, d := range l.draining {
		if l.now.Sub(d.since) >= drainFor {
			delete(l.draining, id)
		}
	}
	for id, at := range l.ended {
		if l.now.Sub(at) >= endedFor {
			delete(l.ended, id)
		}
	}
}

// Load returns a summary for endpoint selection.
func (l *Ledger) Load() Load {
	tokens, slots := l.usableTokens(), l.slots()
	if l.allow.cold {
		slots = min(slots, l.allow.limit)
	}
	out := Load{
		Instance: l.instance, Capacity: tokens, FreeTokens: max(tokens-l.usedTokens(), 0), FreeSequences: max(slots-l.usedSlots(), 0),
		Running: l.usedSlots(), Queue: len(l.queue), PrefillRate: l.spec.PrefillRate, Cold: l.allow.cold, Allowance: l.allow.limit,
	}
	if rest := l.otherPrefillEnd.Sub(l.now); rest > 0 {
		out.PrefillBacklog = int(rest.Seconds() * l.spec.PrefillRate)
	}
	for _, r := range l.held {
		left := l.remaining(r, l.now)
		out.PrefillBacklog += left
		if r.lane == longLane {
			out.LongBacklog += left
			out.LongPrompts++
		}
	}
	for _, w := range l.queue {
		out.QueuedTokens += w.demand.PromptTokens
		if laneOf(w.demand) == longLane {
			out.LongPrompts++
		}
	}
	return out
}

func refuse(d Demand, reason customer.Reason, text string) Refused {
	return Refused{Demand: d, Refusal: customer.Refuse(reason, text)}
}
