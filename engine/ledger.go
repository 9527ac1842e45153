package engine

import (
	"fmt"
	"time"

	"goldcrestpath/customer"
)

// Defaults of the ledger's options, and other limits.
const (
	defaultMaxQueue        = 128              // grant requests; in a longer queue the last ones would wait longer than they may
	defaultMaxLongPrefill  = 100_000          // pending prefill tokens of class Long; as many as one prompt at the class's upper bound
	defaultMaxVeryLong     = 1                // a second prompt would not be prefilled before the first one is done
	defaultHeadroom        = 0.1              // fraction of memory and batch slots that long prompts leave to short ones
	coldPrefillPerSequence = 16_000           // pending prefill tokens per sequence of the cold-start allowance; upper bound of class Medium
	reportTimeout          = 5 * time.Second  // without a report for this long, an endpoint gets no grants
	endedRetention         = 10 * time.Second // longer than any message about a grant can be in flight
	failedStreamTimeout    = 3 * time.Second  // the 2 s for which an engine keeps a broken stream, plus MaxReportAge
	initialAnswerRatio     = 0.5              // initial estimate of the fraction of MaxTokens that answers use
	answerRatioWeight      = 1.0 / 16         // weight of one answer in the moving average of that fraction
)

// Ledger records the grants for one endpoint and decides on new ones. It is not safe for concurrent use.
//
// A grant is issued only while the ledger's grants, together with all other streams that the endpoint reports, stay within the
// usable shares of memory and batch slots. The reservation of a grant is released exactly once: by Release, Withdraw or
// ReleaseGrantsOf, or by a report with a new instance number. After a failure the memory and the slot stay in use until a
// report no longer lists the stream, or until failedStreamTimeout has passed.
type Ledger struct {
	spec           Spec
	owner          string
	maxQueue       int
	maxLongPrefill int
	maxVeryLong    int
	headroom       float64

	now                       time.Time
	usableShares, totalShares int
	reservations              map[string]*reservation
	reservedTokens            int
	accounts                  map[string]*account
	weightSum                 int                     // sum over accounts
	dominantShareSum          float64                 // sum over accounts, as of the last refreshFairShares
	endedAt                   map[string]time.Time    // when grants ended, by ID, so that delayed messages and reports do not revive them
	failedStreams             map[string]failedStream // failed streams that the endpoint may still have
	foreignStreams            map[string]StreamReport // reported streams without a grant of this ledger
	foreignTokens             int                     // sum over foreign

	hasReport              bool
	otherModel             string // model that the endpoint serves instead of the configured one, or ""
	instance, sequence     uint64
	previousInstance       uint64    // instance before the last restart
	sampledAt              time.Time // time of the state that the last report describes
	capacity, sequences    int       // total memory in tokens and total batch slots, whatever the shares
	unattributedPrefillEnd time.Time // predicted end of the part of the reported prefill backlog that no reservation accounts for

	queue            []*queuedRequest
	arrivals         uint64     // number of requests queued so far
	pendingDecisions []Decision // for the next call of ProcessQueue

	allowance    allowance
	answerRatio  float64 // moving average of the fraction of MaxTokens that answers use
	previousLoad Load    // the endpoint's load as the previous owner knew it
}

// reservation is the memory, batch slot and predicted prefill of one grant.
type reservation struct {
	request           GrantRequest
	lane              lane
	tokens            int // the larger of the requested and the reported memory
	granted           time.Time
	prefillEnd        time.Time
	firstToken        time.Duration // predicted TTFT; 0 for grants of an earlier owner
	listed            bool          // a report of the current instance listed the stream
	instanceUncertain bool          // granted around a restart, so the old instance may have received the request
}

// failedStream is the memory that a failed stream may still use on the endpoint.
type failedStream struct {
	tokens   int
	failedAt time.Time
}

// LedgerOption sets an optional property of a Ledger.
type LedgerOption func(*Ledger)

// WithOwner sets the name of the owner VM, which the ledger records in its grants.
func WithOwner(vmName string) LedgerOption { return func(l *Ledger) { l.owner = vmName } }

// WithMaxQueue sets the maximum number of queued requests.
func WithMaxQueue(n int) LedgerOption { return func(l *Ledger) { l.maxQueue = n } }

// WithLongPrefillLimits limits the pending prefill of prompts of class Long, in tokens, and the number of prompts of class VeryLong
// that are prefilled at the same time.
func WithLongPrefillLimits(tokens, veryLong int) LedgerOption {
	return func(l *Ledger) { l.maxLongPrefill, l.maxVeryLong = tokens, veryLong }
}

// WithHeadroom sets the fraction of memory and batch slots that long prompts leave to short ones.
func WithHeadroom(fraction float64) LedgerOption { return func(l *Ledger) { l.headroom = fraction } }

// NewLedger returns a ledger for an endpoint of which the owner has no share yet. It refuses every request until it has
// received a report and a share. At first it treats the endpoint as cold.
func NewLedger(spec Spec, now time.Time, opts ...LedgerOption) *Ledger {
	l := &Ledger{
		spec: spec, maxQueue: defaultMaxQueue, maxLongPrefill: defaultMaxLongPrefill, maxVeryLong: defaultMaxVeryLong,
		headroom: defaultHeadroom, now: now, reservations: make(map[string]*reservation), accounts: make(map[string]*account),
		endedAt: make(map[string]time.Time), failedStreams: make(map[string]failedStream), foreignStreams: make(map[string]StreamReport),
		capacity: spec.KVTokens, sequences: spec.MaxSequences, allowance: newAllowance(spec), answerRatio: initialAnswerRatio,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetShares sets how many of the endpoint's shares are leased to the owner. Existing grants stay counted, even if they exceed
// the new shares.
func (l *Ledger) SetShares(now time.Time, usable, total int) {
	l.now = now
	l.usableShares, l.totalShares = usable, total
}

// usableTokens returns the memory that the owner's shares cover, in tokens.
func (l *Ledger) usableTokens() int { return l.shareOf(l.capacity) }

// usableSlots returns the number of batch slots that the owner's shares cover.
func (l *Ledger) usableSlots() int { return l.shareOf(l.sequences) }

// shareOf returns the owner's share of n, rounded down. It is 0 while the endpoint serves another model.
func (l *Ledger) shareOf(n int) int {
	if l.totalShares <= 0 || l.usableShares <= 0 || l.otherModel != "" {
		return 0
	}
	return n * min(l.usableShares, l.totalShares) / l.totalShares
}

// usedTokens returns the memory of reservations, foreign streams and failed streams.
func (l *Ledger) usedTokens() int {
	n := l.reservedTokens + l.foreignTokens
	for _, failed := range l.failedStreams {
		n += failed.tokens
	}
	return n
}

// usedSlots returns the batch slots of reservations, foreign streams and failed streams.
func (l *Ledger) usedSlots() int {
	return len(l.reservations) + len(l.foreignStreams) + len(l.failedStreams)
}

// RequestGrant decides on a grant request. A repeated request gets the same grant again. A request with the ID of a released
// grant is refused.
func (l *Ledger) RequestGrant(now time.Time, req GrantRequest) Decision {
	l.now = now
	l.expire()
	if r, ok := l.reservations[req.ID]; ok {
		return l.grantDecision(r)
	}
	if _, ok := l.endedAt[req.ID]; ok {
		return refuse(req, customer.ReasonGrantExpired, "the grant was already released")
	}
	l.refreshFairShares()
	if i := l.queueIndex(req.ID); i >= 0 {
		return Queued{Request: req, PredictedStart: l.predictStart(l.queue[i])}
	}
	reason, final, text := l.admissionObstacle(req)
	if final {
		return refuse(req, reason, text)
	}
	if wait := l.laneFreeAt(laneOf(req)).Sub(now); wait > req.StartWithin {
		return refuse(req, customer.ReasonDeadline, fmt.Sprintf("the prefill backlog takes %v and the request has to start within %v", wait, req.StartWithin))
	}
	queued := &queuedRequest{request: req, startBy: now.Add(req.StartWithin), waitUntil: now.Add(req.MaxWait), arrival: l.arrivals, reason: reason, overFairShare: l.exceedsFairShare(req.Customer)}
	if reason == "" && !l.mustQueueBehind(queued) {
		return l.grant(req)
	}
	if reason == "" {
		queued.reason, text = customer.ReasonQueueFull, "earlier requests are waiting for capacity"
	}
	if req.MaxWait <= 0 {
		return refuse(req, queued.reason, text)
	}
	start := l.predictStart(queued)
	if start.After(queued.startBy) {
		return refuse(req, customer.ReasonDeadline, fmt.Sprintf("the request would start in %v and has to start within %v", start.Sub(now), req.StartWithin))
	}
	if !l.enqueue(queued) {
		return refuse(req, customer.ReasonQueueFull, "the queue is full")
	}
	l.arrivals++
	return Queued{Request: req, PredictedStart: start}
}

// mustQueueBehind reports whether a request in the queue has the same lane as queued and precedes it.
func (l *Ledger) mustQueueBehind(queued *queuedRequest) bool {
	for _, q := range l.queue {
		if laneOf(q.request) == laneOf(queued.request) && compareQueued(q, queued) < 0 {
			return true
		}
	}
	return false
}

// predictStart returns when queued is predicted to start, after all requests in the queue that precede it.
func (l *Ledger) predictStart(queued *queuedRequest) time.Time {
	f := l.forecast()
	for _, q := range l.queue {
		if q != queued && compareQueued(q, queued) < 0 {
			f.allocate(q.request)
		}
	}
	return f.allocate(queued.request)
}

// admissionObstacle returns the reason why req cannot be granted now, or "" if it can. final means that waiting in the queue
// would not help.
func (l *Ledger) admissionObstacle(req GrantRequest) (reason customer.Reason, final bool, text string) {
	switch {
	case req.Tokens() > l.capacity:
		return customer.ReasonMemory, true, fmt.Sprintf("the request needs %d tokens of memory and %s has %d", req.Tokens(), l.spec.Name, l.capacity)
	case !l.hasReport:
		return customer.ReasonShare, true, l.spec.Name + " has not reported to its owner yet"
	case l.now.Sub(l.sampledAt) > reportTimeout:
		return customer.ReasonNoEndpoint, true, fmt.Sprintf("%s has not reported for %v", l.spec.Name, l.now.Sub(l.sampledAt))
	case l.otherModel != "":
		return customer.ReasonNoEndpoint, true, fmt.Sprintf("%s serves model %s instead of %s", l.spec.Name, l.otherModel, l.spec.Model)
	case l.usableSlots() == 0:
		return customer.ReasonShare, true, "the owner holds no share of " + l.spec.Name
	case req.Tokens() > l.usableTokens():
		// So a request that needs more than half of the memory is admitted only if the owner has a majority of the shares.
		return customer.ReasonShare, true, fmt.Sprintf("the request needs %d tokens of memory and the shares of the owner cover %d", req.Tokens(), l.usableTokens())
	case l.allowance.cold && 2*l.usableShares <= l.totalShares:
		return customer.ReasonShare, true, "a cold endpoint accepts work only from an owner with a majority of its shares"
	case l.allowance.cold && !l.hasColdCapacity(req):
		return customer.ReasonCold, false, fmt.Sprintf("%s is cold and its allowance of %d sequences is used up", l.spec.Name, l.allowance.limit)
	case !l.hasCapacity(req):
		return customer.ReasonQueueFull, false, l.spec.Name + " has no free capacity"
	}
	return "", false, ""
}

// hasColdCapacity reports whether the cold-start allowance admits req. A prompt above the limit for pending prefill is admitted
// if nothing else runs on the endpoint. Otherwise it would never be served while all endpoints are cold.
func (l *Ledger) hasColdCapacity(req GrantRequest) bool {
	if l.usedSlots() >= l.allowance.limit {
		return false
	}
	backlog := 0
	for _, r := range l.reservations {
		backlog += l.remainingPrefill(r, l.now)
	}
	return l.usedSlots() == 0 || backlog+prefillTokens(req) <= l.allowance.limit*coldPrefillPerSequence
}

// hasCapacity reports whether the endpoint has enough free memory and a free batch slot for req, and whether req is within the
// limits that keep short and long prompts from crowding each other out.
func (l *Ledger) hasCapacity(req GrantRequest) bool {
	tokens, slots := l.usableTokens(), l.usableSlots()
	if l.usedTokens()+req.Tokens() > tokens || l.usedSlots() >= slots {
		return false
	}
	var usage [numLanes]struct{ tokens, slots int }
	for _, r := range l.reservations {
		usage[r.lane].tokens += r.tokens
		usage[r.lane].slots++
	}
	headroomTokens := int(l.headroom * float64(tokens))
	headroomSlots := max(int(l.headroom*float64(slots)), min(1, slots-1))
	if laneOf(req) == longLane {
		if h := usage[longLane]; h.slots > 0 && (h.tokens+req.Tokens() > tokens-headroomTokens || h.slots+1 > slots-headroomSlots) {
			return false
		}
		backlog, veryLong := l.longPrefillBacklog()
		if customer.ClassOf(req.PromptTokens) == customer.VeryLong {
			return veryLong < l.maxVeryLong
		}
		return backlog == 0 || backlog+prefillTokens(req) <= l.maxLongPrefill
	}
	nextLong := l.firstQueuedLong()
	if nextLong == nil {
		return true
	}
	// A long prompt is queued. Short prompts may use their headroom or, if that is more, what the long prompts in progress, the
	// foreign streams and the queued prompt leave, so that the queued prompt can be admitted.
	short, long := usage[shortLane], usage[longLane]
	return short.tokens+req.Tokens() <= max(headroomTokens, tokens-long.tokens-l.foreignTokens-nextLong.request.Tokens()) &&
		short.slots+1 <= max(headroomSlots, slots-long.slots-len(l.foreignStreams)-1)
}

// firstQueuedLong returns the first queued request of the long lane, or nil if there is none.
func (l *Ledger) firstQueuedLong() *queuedRequest {
	var first *queuedRequest
	for _, queued := range l.queue {
		if laneOf(queued.request) == longLane && (first == nil || compareQueued(queued, first) < 0) {
			first = queued
		}
	}
	return first
}

// grant reserves memory and a batch slot for req.
func (l *Ledger) grant(req GrantRequest) Granted {
	r := &reservation{request: req, lane: laneOf(req), tokens: req.Tokens(), granted: l.now}
	l.schedulePrefill(r)
	l.addReservation(r)
	return l.grantDecision(r)
}

// grantDecision returns the decision for an existing reservation.
func (l *Ledger) grantDecision(r *reservation) Granted {
	req := r.request
	return Granted{
		Grant:      Grant{ID: req.ID, Endpoint: l.spec.Name, Holder: req.Holder, Owner: l.owner, Request: req},
		PrefillEnd: r.prefillEnd, PredictedEnd: l.predictEnd(r.prefillEnd, req),
	}
}

// addReservation adds r to the ledger and to its customer's account.
func (l *Ledger) addReservation(r *reservation) {
	l.reservations[r.request.ID] = r
	l.reservedTokens += r.tokens
	a := l.account(r.request)
	a.grants++
	a.tokens += r.tokens
}

// removeReservation removes r from the ledger and from its customer's account, and records its ID as ended.
func (l *Ledger) removeReservation(r *reservation) {
	id := r.request.ID
	delete(l.reservations, id)
	l.markEnded(id)
	l.reservedTokens -= r.tokens
	a := l.accounts[r.request.Customer]
	a.grants--
	a.tokens -= r.tokens
	l.removeIdleAccount(r.request.Customer)
}

// markEnded records the time at which a grant ended. The first time is kept, because matchStreams ignores the stream in reports
// that were sampled before it.
func (l *Ledger) markEnded(id string) {
	if _, ok := l.endedAt[id]; !ok {
		l.endedAt[id] = l.now
	}
}

// Withdraw removes a queued request or an unused grant. A request that arrives after its withdrawal is refused.
func (l *Ledger) Withdraw(now time.Time, id string) {
	l.now = now
	l.markEnded(id)
	if i := l.queueIndex(id); i >= 0 {
		l.dequeue(i)
	} else if r, ok := l.reservations[id]; ok {
		l.removeReservation(r)
	}
}

// AdoptGrant adds a grant that an earlier owner issued and that is in use. It is counted even if it exceeds the usable shares.
func (l *Ledger) AdoptGrant(now time.Time, g Grant) {
	l.now = now
	if _, ok := l.endedAt[g.ID]; ok {
		return
	}
	if _, ok := l.reservations[g.ID]; ok {
		return
	}
	if i := l.queueIndex(g.ID); i >= 0 {
		l.dequeue(i)
	}
	req := g.Request
	req.ID, req.Holder = g.ID, g.Holder
	r := &reservation{request: req, lane: laneOf(req), tokens: req.Tokens(), granted: now}
	if st, ok := l.foreignStreams[g.ID]; ok {
		r.listed = true
		r.tokens = max(r.tokens, st.Tokens)
		l.removeForeign(g.ID)
	}
	l.schedulePrefill(r)
	r.firstToken = 0
	l.addReservation(r)
}

// Release ends a grant and releases its reservation. A second call does nothing. A failed stream stays counted for a while,
// because the endpoint may still have it.
func (l *Ledger) Release(now time.Time, id string, r Result) {
	l.now = now
	res, ok := l.reservations[id]
	if !ok {
		if i := l.queueIndex(id); i >= 0 {
			l.dequeue(i)
		}
		l.markEnded(id)
		return
	}
	l.removeReservation(res)
	switch {
	case r.Failed:
		l.allowance.reset()
		l.failedStreams[id] = failedStream{tokens: res.tokens, failedAt: now}
	case indicatesCold(r.TTFT, res.firstToken):
		l.allowance.reset()
	case r.TTFT > 0:
		l.allowance.grow()
	}
	if m := res.request.MaxTokens; r.Usage.AnswerTokens > 0 && m > 0 {
		used := min(float64(r.Usage.AnswerTokens)/float64(m), 1)
		l.answerRatio += (used - l.answerRatio) * answerRatioWeight
	}
}

// ReleaseGrantsOf releases all grants and removes all queued requests of a holder. It is called after the holder's streams were
// cancelled on the endpoint.
func (l *Ledger) ReleaseGrantsOf(now time.Time, holder string) {
	l.now = now
	for _, r := range l.reservations {
		if r.request.Holder == holder {
			l.removeReservation(r)
		}
	}
	for i := len(l.queue) - 1; i >= 0; i-- {
		if l.queue[i].request.Holder == holder {
			l.dequeue(i)
		}
	}
	for id, st := range l.foreignStreams {
		if st.Holder == holder {
			l.removeForeign(id)
			l.markEnded(id)
		}
	}
}

// removeForeign removes a foreign stream.
func (l *Ledger) removeForeign(id string) {
	l.foreignTokens -= l.foreignStreams[id].Tokens
	delete(l.foreignStreams, id)
}

// expire drops failed streams that the endpoint must have cancelled by now. Without it, they would count as used memory forever
// on an endpoint whose reports are missing. It also drops the IDs of ended grants that no message or report can name any more.
func (l *Ledger) expire() {
	for id, failed := range l.failedStreams {
		if l.now.Sub(failed.failedAt) >= failedStreamTimeout {
			delete(l.failedStreams, id)
		}
	}
	for id, at := range l.endedAt {
		if l.now.Sub(at) >= endedRetention {
			delete(l.endedAt, id)
		}
	}
}

// Load returns a summary for endpoint selection.
func (l *Ledger) Load() Load {
	tokens, slots := l.usableTokens(), l.usableSlots()
	if l.allowance.cold {
		slots = min(slots, l.allowance.limit)
	}
	load := Load{
		Instance: l.instance, Capacity: tokens, FreeTokens: max(tokens-l.usedTokens(), 0), FreeSlots: max(slots-l.usedSlots(), 0),
		Running: l.usedSlots(), QueuedRequests: len(l.queue), PrefillRate: l.spec.PrefillRate, Cold: l.allowance.cold, ColdAllowance: l.allowance.limit,
	}
	if rest := l.unattributedPrefillEnd.Sub(l.now); rest > 0 {
		load.PrefillBacklog = int(rest.Seconds() * l.spec.PrefillRate)
	}
	for _, r := range l.reservations {
		left := l.remainingPrefill(r, l.now)
		load.PrefillBacklog += left
		if r.lane == longLane {
			load.LongPrefillBacklog += left
			load.LongPrompts++
		}
	}
	for _, queued := range l.queue {
		load.QueuedTokens += queued.request.PromptTokens
		if laneOf(queued.request) == longLane {
			load.LongPrompts++
		}
	}
	return load
}

// refuse returns a refusal of d.
func refuse(d GrantRequest, reason customer.Reason, text string) Refused {
	return Refused{Request: d, Refusal: customer.Refuse(reason, text)}
}
