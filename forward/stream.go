package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
	"goldcrestpath/operator"
)

// Limits of streams.
const (
	// firstEventSlack is the time after the predicted TTFT at which the endpoint counts as silent.
	firstEventSlack = 700 * time.Millisecond
	// firstEventTargets is the multiple of the TTFT target for which an endpoint may be silent before the first event, even if the
	// predicted TTFT is shorter.
	firstEventTargets = 1.25
	// silentGaps is the multiple of the route's token gap limit for which a stream may be silent. Callers abandon a stream after
	// eight times the limit, and not before two seconds.
	silentGaps    = 4
	minSilence    = 1100 * time.Millisecond // lower bound of the silence that is tolerated
	maxEventBytes = 1 << 20                 // a longer event ends the attempt
	writeDelay    = 100 * time.Millisecond  // time to deliver an event from which it does not count as silence of the endpoint
)

// stream performs a request whose answer is a stream of events. If an endpoint fails, another one continues after the last
// delivered event, and the events delivered so far remain valid.
func (q *request) stream(ctx context.Context) {
	d := &delivery{q: q, lastID: q.call.LastEventID}
	defer d.abort()
	var failure *customer.Refusal
	var answer *AnswerHead
	var answerBody []byte
	reserveFailures := 0
	for {
		sel, refusal := q.selectForStream(ctx)
		if refusal != nil {
			failure = refusal
			break
		}
		if refusal := q.checkStop(time.Now(), sel.ExpectedTTFT()); refusal != nil {
			sel.End(time.Now(), endpoint.Cancelled)
			failure = refusal
			break
		}
		if refusal := q.checkParts(); refusal != nil {
			sel.End(time.Now(), endpoint.Cancelled)
			failure = refusal
			break
		}
		res, reserveErr := q.reserve(ctx, sel)
		if reserveErr != nil {
			sel.End(time.Now(), endpoint.Cancelled)
			failure = customer.Refuse(customer.ReasonMemory, "memory not reserved: "+reserveErr.Error(), customer.RetryAfter(retryRefused))
			if reserveFailures++; reserveFailures < maxReserveAttempts && q.sleep(ctx, retryRefused) {
				continue
			}
			break
		}
		// The parts are checked again, because a reservation takes time.
		if refusal := q.checkParts(); refusal != nil {
			if res != nil {
				res.release()
			}
			sel.End(time.Now(), endpoint.Cancelled)
			failure = refusal
			break
		}
		head, body, err := q.runAttempt(ctx, sel, d, res)
		if res != nil {
			res.release()
		}
		if err == nil && body == nil {
			if !d.finish() {
				panic(http.ErrAbortHandler)
			}
			q.h.answered.UpdateSince(q.call.ArrivedAt)
			q.log().WithFields(log.Fields{
				"events": d.events, "firstMs": d.firstAt.Sub(q.call.ArrivedAt).Milliseconds(), "longestPauseMs": d.longestGap.Milliseconds(),
			}).Info("forward: answered")
			return
		}
		reason := "endpointFailed"
		if err == nil {
			answer, answerBody = &head, body
			failure = customer.Fail(customer.ReasonEndpointFailed, "the endpoint failed")
			if head.Status < http.StatusInternalServerError && !q.started {
				break
			}
		} else {
			failure = err
			reason = string(err.Reason())
		}
		if failure.Reason() == customer.ReasonCallerGone || !q.mayRetry(ctx, reason) {
			break
		}
	}
	if q.started {
		d.abort()
		q.log().WithField("events", d.events).WithField("failure", failure.Message()).Info("forward: broken off")
		q.h.refused("brokenOff").Inc(1)
		panic(http.ErrAbortHandler) // closes the connection without the end of the body, so that the answer does not look complete
	}
	if answer != nil {
		q.deliver(answer, answerBody)
		return
	}
	q.fail(ctx, failure)
}

// maxReserveAttempts is how often one request may try to reserve memory, with a new selection of engines each time.
const maxReserveAttempts = 4

// sleep waits for d. It returns false if the request ends first.
func (q *request) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// waitLimit returns how long after its arrival a prompt may wait for engines. After an attempt that may have run, the
// full wait begins again.
func (q *request) waitLimit() time.Duration {
	wait := max(time.Duration(waitTargets*float64(q.route.TTFTTarget)), q.timeLimit()/2)
	if q.sends > 0 {
		wait += time.Since(q.call.ArrivedAt)
	}
	return wait
}

// retriedShare is the share of the route's timeout below which a caller's remaining time indicates an earlier refusal.
const retriedShare = 0.85

// callerRetried reports whether the caller seems to have sent the request before and been refused.
func (q *request) callerRetried() bool {
	return q.call.TimeLeft > 0 && float64(q.call.TimeLeft) < retriedShare*float64(q.route.Timeout)
}

// timeLimit returns the time from the request's arrival to its deadline, or 0 if there is none.
func (q *request) timeLimit() time.Duration {
	if q.deadline.IsZero() {
		return 0
	}
	return q.deadline.Sub(q.call.ArrivedAt)
}

// prompt describes the request for the selection of engines. waiter is its registration as waiting, nil before it waits.
func (q *request) prompt(now time.Time, waiter *endpoint.Waiter) endpoint.Prompt {
	return endpoint.Prompt{
		Tokens: q.call.PromptTokens, MaxOutput: q.call.OutputTokens, TTFTTarget: q.route.TTFTTarget, Waited: now.Sub(q.call.ArrivedAt),
		GapLimit: q.route.GapLimit, TimeLimit: q.timeLimit(), Retried: q.callerRetried(), Interrupted: q.sends > 0, Waiter: waiter,
		Rank: q.rank(), Customer: q.sharer(),
	}
}

// selectForStream selects endpoints for a stream. A prompt that waits for engines joins the order of waiting prompts of all VMs.
func (q *request) selectForStream(ctx context.Context) (*endpoint.Selection, *customer.Refusal) {
	if refusal := q.checkParts(); refusal != nil {
		return nil, refusal
	}
	s := q.table.Services()[q.service]
	if s == nil || s.Engine == nil {
		return q.selectWithin(ctx, q.waitLimit(), func(now time.Time) (*endpoint.Selection, *customer.Refusal) {
			return q.selectForCall(now)
		})
	}
	var waiter *endpoint.Waiter
	sel, refusal := q.selectWithin(ctx, q.waitLimit(), func(now time.Time) (*endpoint.Selection, *customer.Refusal) {
		if refusal := q.checkParts(); refusal != nil {
			return nil, refusal // quarantined while it waited
		}
		prompt := q.prompt(now, waiter)
		sel, refusal := q.h.fleet.SelectForGeneration(now, q.service, prompt, q.tried)
		if refusal != nil && refusal.Reason() == customer.ReasonQueueFull && waiter == nil {
			waiter = q.h.fleet.NewWaiter(now, q.service, prompt)
		}
		return sel, refusal
	})
	if waiter != nil {
		waiter.Cancel()
		q.logWait(waiter, sel != nil)
	}
	if len(q.tried) == 0 {
		now := time.Now()
		q.h.fleet.RecordPlacement(now, q.service, q.prompt(now, nil), refusal)
	}
	return sel, refusal
}

// logWait logs the wait of a prompt for engines and what its tries found.
func (q *request) logWait(waiter *endpoint.Waiter, selected bool) {
	tries := waiter.Tries()
	q.log().WithFields(log.Fields{
		"selected": selected, "callerRetried": q.callerRetried(), "prefillMs": waiter.Prefill.Milliseconds(), "startWithinMs": waiter.StartWithin.Milliseconds(),
		"preceded": tries.Preceded, "fewFree": tries.FewFree, "late": tries.Late, "mostFree": tries.MostFree, "mostOther": tries.MostOther,
	}).Info("forward: the prompt waited for engines")
}

// delivery tracks the part of a stream that has been delivered to the caller.
type delivery struct {
	q          *request
	lastID     string        // ID of the last event that the caller received
	queue      *eventQueue   // events on their way to the caller, nil before the first one
	events     int           // events delivered
	firstAt    time.Time     // arrival of the first event from an endpoint
	lastAt     time.Time     // arrival of the last event from an endpoint
	longestGap time.Duration // longest time between two events
}

// runAttempt performs one attempt of a stream. The body is nil if the stream was delivered to its end, and non-nil if the
// endpoint answered with something other than a stream.
func (q *request) runAttempt(ctx context.Context, sel *endpoint.Selection, d *delivery, res *reservation) (head AnswerHead, body []byte, failure *customer.Refusal) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sent := time.Now()
	silence := max(silentGaps*q.route.GapLimit, minSilence)
	// Retrying a long prompt repeats seconds of prefill, so the first event may take at least firstEventTargets times the target.
	first := max(sel.ExpectedTTFT()+firstEventSlack, minSilence, time.Duration(firstEventTargets*float64(q.route.TTFTTarget)))
	watchdog := q.startWatchdog(sel, first, silence, func() bool {
		// If the budget does not allow a retry, a late event is better than none.
		if q.exceedsShare(time.Now()) || !q.trySpend() {
			return false
		}
		q.retryCharged.Store(true)
		cancel(errSilent)
		return true
	})
	defer watchdog.stop()

	progress := &promptProgress{q: q}
	use := q.beginUse(sent, sel)
	outcome := endpoint.Broken
	defer func() {
		use.end(time.Now(), failure != nil && failure.Verdict() == customer.NotRun)
		sel.End(time.Now(), outcome)
		q.logAttempt(sel, head, failure, sent)
		verdict := customer.MayHaveRun
		if failure != nil {
			verdict = failure.Verdict()
		}
		q.countSend(sel.First().ID, verdict, outcome)
	}()
	last := ""
	if q.started {
		last = d.lastID
	}
	head, resp, sendErr := q.send(ctx, sel, last, res)
	if sendErr == nil {
		defer resp.Body.Close()
	}
	if sendErr != nil || !head.MatchesAttempt || head.NotRun || head.Status != http.StatusOK || !head.Authentic {
		if sendErr == nil && head.MatchesAttempt {
			b := q.newBuffer()
			if err := b.readFrom(resp.Body, maxEventBytes); err != nil && !head.NotRun {
				sendErr = &sendError{verdict: customer.MayHaveRun, err: err}
			}
			body = b.data
		}
		failure, outcome = q.classify(ctx, head, sendErr, len(body) > maxEventBytes)
		if sendErr != nil && outcome == endpoint.Broken && ctx.Err() == nil {
			progress.brokeOff(sel.First())
		}
		if head.FaultyEndpoint != "" {
			sel.ReportRefusal(time.Now(), head.FaultyEndpoint)
		}
		if failure == nil && body == nil {
			body = []byte{}
		}
		return head, body, failure
	}
	progress.began()
	err := d.copyEvents(head, resp, sel, func() {
		watchdog.progress()
		progress.goesOn(false)
		use.event(time.Now())
	})
	switch {
	case err == nil:
		progress.goesOn(true)
		outcome = endpoint.Succeeded
		return head, nil, nil
	case errors.Is(err, errMemory):
		outcome = endpoint.Cancelled
		return head, nil, customer.Fail(customer.ReasonNotReady, err.Error())
	case errors.Is(err, errDeliver):
		outcome = endpoint.Cancelled
		return head, nil, customer.Fail(customer.ReasonCallerGone, err.Error())
	case context.Cause(ctx) == errSilent:
		return head, nil, customer.Fail(customer.ReasonEndpointFailed, "the endpoint was silent for too long")
	case ctx.Err() != nil:
		outcome = contextOutcome(ctx)
		return head, nil, customer.Fail(customer.ReasonDeadline, "the time limit has expired or the caller disconnected")
	default:
		progress.brokeOff(sel.First())
		return head, nil, customer.Fail(customer.ReasonEndpointFailed, "the stream broke off: "+err.Error())
	}
}

// silenceWatchdog ends an attempt whose endpoint is silent for too long, provided that another endpoint could continue the stream.
// The last attempt may last until the request's time limit, because a late event is better than none.
type silenceWatchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	last    time.Time     // time of the last event or, before the first one, of the send
	silence time.Duration // silence after which the attempt ends
	stopped bool
}

// startWatchdog returns a watchdog that allows the duration first until the first event, and the duration silence after each event.
// It then calls end, which ends the attempt or returns false if the attempt should continue.
func (q *request) startWatchdog(sel *endpoint.Selection, first, silence time.Duration, end func() bool) *silenceWatchdog {
	w := &silenceWatchdog{last: time.Now(), silence: first}
	if q.sends+1 >= q.route.MaxAttempts || !q.route.Kind.Repeatable() {
		return w
	}
	w.timer = time.AfterFunc(first, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		now := time.Now()
		// Pending prefills extend the time allowed, because streams pause during a prefill.
		left := w.last.Add(w.silence + sel.PendingPrefill(now)).Sub(now)
		switch {
		case w.stopped:
		case left > 0:
			w.timer.Reset(max(left, time.Millisecond))
		case !end():
			w.timer.Reset(silence)
		}
		w.silence = silence
	})
	return w
}

// progress records an event. The timer checks the time of the last event when it fires.
func (w *silenceWatchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = time.Now()
}

// stop ends the watchdog.
func (w *silenceWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// errDeliver is the error for a failed write to the caller.
var errDeliver = errors.New("writing to the caller failed")

// errSilent is the cause with which the silence watchdog cancels an attempt.
var errSilent = errors.New("the endpoint is silent")

// copyEvents delivers complete events until the end of the stream and calls progress for each of them. The first event shows that
// the prefill is done. A resumed stream may have no event left, but only if its end is marked.
func (d *delivery) copyEvents(head AnswerHead, resp *http.Response, sel *endpoint.Selection, progress func()) error {
	r := bufio.NewReader(resp.Body)
	endIsMarked := !endsWithConnection(resp)
	mayBeEmpty := (d.lastID != "" || d.events > 0) && endIsMarked
	buf := buffer{m: d.q.h.memory}
	defer buf.free()
	for {
		line, err := r.ReadSlice('\n')
		if err := buf.write(line); err != nil {
			return err
		}
		event := buf.data
		switch {
		case err == bufio.ErrBufferFull && len(event) <= maxEventBytes:
			continue
		case err == io.EOF && len(event) == 0 && !mayBeEmpty:
			return errors.New("the stream ended before its first event")
		case err == io.EOF && len(event) == 0:
			if !d.q.started {
				d.writeHead(head)
			}
			return nil
		case err == io.EOF:
			return errors.New("the stream ended within an event")
		case err != nil:
			return err
		case len(event) > maxEventBytes:
			return errors.New("an event is too long")
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue // a blank line ends an event
		}
		if err := d.checkEvent(event); err != nil {
			return err
		}
		now := time.Now()
		mayBeEmpty = mayBeEmpty || endIsMarked || hasField(event)
		if hasField(event) {
			progress()
			d.recordEvent(now)
			sel.EventReceived(now)
			sel.PrefillDone()
		}
		if err := d.writeEvent(head, event); err != nil {
			return err
		}
		if time.Since(now) > writeDelay {
			progress() // the wait for the caller is no silence of the endpoint
		}
		buf.data = buf.data[:0]
	}
}

// hasField reports whether an event has a field. Blank lines and comments, which an endpoint can send while it generates nothing, are
// delivered as part of the answer, but show no progress.
func hasField(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// checkEvent returns an error if the lines of an event are not fields of an event, as when an endpoint writes an error into a stream
// that has begun. Events of a resumable stream have IDs, so one without an ID does not belong to a stream that has had some.
func (d *delivery) checkEvent(event []byte) error {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, hasValue := bytes.Cut(line, []byte(":"))
		switch {
		case len(name) == 0: // a blank line or a comment
		case hasValue && len(bytes.Trim(name, fieldNameCharacters)) == 0:
		case !hasValue && slices.Contains(standardFields, string(name)):
		default:
			return errors.New("bytes in the stream are no event")
		}
	}
	if d.q.route.Kind == operator.ResumableStream && d.lastID != "" && hasField(event) && eventID(event) == "" {
		return errors.New("an event of the stream has no ID")
	}
	return nil
}

// standardFields are the fields of an event that may have no value. fieldNameCharacters may occur in the names of fields.
var standardFields = []string{"id", "data", "event", "retry"}

const fieldNameCharacters = "abcdefghijklmnopqrstuvwxyz-"

// recordEvent measures the time to the first event and the gaps between events.
func (d *delivery) recordEvent(now time.Time) {
	if d.firstAt.IsZero() {
		d.firstAt = now
		d.q.h.firstEvent.Update(now.Sub(d.q.call.ArrivedAt))
	} else {
		d.longestGap = max(d.longestGap, now.Sub(d.lastAt))
	}
	d.lastAt = now
}

// writeHead sends the head of the answer to the caller.
func (d *delivery) writeHead(head AnswerHead) {
	header := d.q.w.Header()
	copyHeader(header, head.Header)
	d.q.w.WriteHeader(head.Status)
	d.q.started = true
}

// writeEvent delivers one event unless the caller already has it.
func (d *delivery) writeEvent(head AnswerHead, event []byte) error {
	id := eventID(event)
	if id != "" && d.lastID != "" && !follows(id, d.lastID) {
		return nil
	}
	if !d.q.started {
		d.writeHead(head)
	}
	if d.queue == nil {
		d.queue = d.q.newEventQueue()
	}
	if err := d.queue.put(event); err != nil {
		if err == errUnread {
			d.q.h.RecordCut(Cut{Reason: "unreadStream", Address: d.q.client, Bytes: maxQueuedBytes, Stalled: fullTime})
		}
		return errors.WithMessage(errDeliver, err.Error())
	}
	d.events++
	if id != "" {
		d.lastID = id
	}
	return nil
}

// eventID returns the ID of an event, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// follows reports whether the event with ID a comes after the event with ID b. It returns true if one of the IDs is not a number.
func follows(a, b string) bool {
	x, err := strconv.ParseInt(a, 10, 64)
	y, err2 := strconv.ParseInt(b, 10, 64)
	return err != nil || err2 != nil || x > y
}
