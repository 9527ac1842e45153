package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
)

// Limits of streams.
const (
	// firstEventSlack is added to the predicted time to the first event before the endpoint counts as silent.
	firstEventSlack = 700 * time.Millisecond
	// firstEventAims is how many times its aim the first event of a prompt may take before the endpoint counts as silent.
	firstEventAims = 1.25
	// silentPauses is how many times the pause that its route declares a stream may be silent. Callers give a stream up
	// after eight of them, and at the earliest after two seconds.
	silentPauses    = 4
	shortestSilence = 1100 * time.Millisecond
	longestEvent    = 1 << 20 // bytes
)

// stream performs a request whose answer is a series of events. What has been delivered stays valid when an endpoint
// fails: another one goes on after the last delivered event.
func (q *request) stream(ctx context.Context) {
	d := &delivery{q: q, last: q.call.LastEvent}
	var failure *customer.Refusal
	var answer *Head
	var answerBody []byte
	unreserved := 0
	for {
		p, refusal := q.placeStream(ctx)
		if refusal != nil {
			failure = refusal
			break
		}
		held, reserveErr := q.reserve(ctx, p)
		if reserveErr != nil {
			p.End(time.Now(), endpoint.Withdraw)
			failure = customer.Refuse(customer.ReasonMemory, "memory not reserved: "+reserveErr.Error(), customer.RetryAfter(retryRefused))
			if unreserved++; unreserved < maxReservations && q.sleep(ctx, retryRefused) {
				continue
			}
			break
		}
		head, body, err := q.run(ctx, p, d, held)
		if held != nil {
			held.release()
		}
		if err == nil && body == nil {
			q.h.answered.UpdateSince(q.call.Arrived)
			q.log().WithFields(log.Fields{
				"events": d.events, "firstMs": d.firstAt.Sub(q.call.Arrived).Milliseconds(), "longestPauseMs": d.pause.Milliseconds(),
			}).Info("forward: answered")
			return
		}
		reason := "endpointFailed"
		if err == nil {
			answer, answerBody = &head, body
			failure = customer.Fail(customer.ReasonEndpointFailed, "the endpoint failed")
			if head.Status < http.StatusInternalServerError {
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
	if d.begun {
		q.log().WithField("events", d.events).WithField("failure", failure.Message()).Info("forward: broken off")
		q.h.refused("brokenOff").Inc(1)
		panic(http.ErrAbortHandler) // the connection ends without the end mark, so that the answer does not look whole
	}
	if answer != nil {
		q.deliver(answer, answerBody)
		return
	}
	q.fail(ctx, failure)
}

// maxReservations bounds the tries to set memory aside for one request.
const maxReservations = 4

// sleep waits and reports whether the request still runs.
func (q *request) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// waitLimit is how long after its arrival a prompt waits for room. A stream that broke off waits as long again.
func (q *request) waitLimit() time.Duration {
	wait := max(time.Duration(waitAims*float64(q.route.Aim)), q.limit()/2)
	if q.sends > 0 {
		wait += time.Since(q.call.Arrived)
	}
	return wait
}

// returnedShare is the part of its route's timeout that a caller has left at most where it has been refused before.
const returnedShare = 0.85

// returned says whether the caller seems to have come back after a refusal.
func (q *request) returned() bool {
	return q.call.Patience > 0 && float64(q.call.Patience) < returnedShare*float64(q.route.Timeout)
}

// limit returns the time from the arrival to the deadline, 0 where there is none.
func (q *request) limit() time.Duration {
	if q.deadline.IsZero() {
		return 0
	}
	return q.deadline.Sub(q.call.Arrived)
}

// placeStream selects endpoints for a stream. A prompt that waits for engines takes its place in the order of all VMs.
func (q *request) placeStream(ctx context.Context) (*endpoint.Placement, *customer.Refusal) {
	s := q.table.Services()[q.service]
	if s == nil || s.Engine == nil {
		return q.place(ctx, q.waitLimit(), func(now time.Time) (*endpoint.Placement, *customer.Refusal) {
			return q.h.fleet.PlaceCall(now, q.service, q.tried)
		})
	}
	var waiter *endpoint.Waiter
	p, refusal := q.place(ctx, q.waitLimit(), func(now time.Time) (*endpoint.Placement, *customer.Refusal) {
		prompt := endpoint.Prompt{
			Tokens: q.call.PromptTokens, Output: q.call.OutputTokens, Aim: q.route.Aim, Waited: now.Sub(q.call.Arrived),
			Pause: q.route.Pause, Limit: q.limit(), Returned: q.returned(), Waiter: waiter,
		}
		p, refusal := q.h.fleet.PlaceGeneration(now, q.service, prompt, q.tried)
		if refusal != nil && refusal.Reason() == customer.ReasonQueueFull && waiter == nil {
			waiter = q.h.fleet.NewWaiter(now, q.service, prompt)
		}
		return p, refusal
	})
	if waiter != nil {
		waiter.Leave()
	}
	return p, refusal
}

// delivery is the part of a stream that the caller has.
type delivery struct {
	q       *request
	begun   bool
	last    string // ID of the last event
	events  int
	firstAt time.Time
	lastAt  time.Time
	pause   time.Duration // longest time between two events
}

// run performs one attempt of a stream. It returns a nil body where the stream ended whole, and a body where the endpoint
// answered with something else than a stream.
func (q *request) run(ctx context.Context, p *endpoint.Placement, d *delivery, held *reservation) (head Head, body []byte, failure *customer.Refusal) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sent := time.Now()
	silence := max(silentPauses*q.route.Pause, shortestSilence)
	// A long prompt that is sent again is read again for seconds, so it gets the time of its aim first.
	first := max(p.Expected()+firstEventSlack, shortestSilence, time.Duration(firstEventAims*float64(q.route.Aim)))
	watch := q.watch(p, first, silence, func() bool {
		// Without the budget for another send, a late event is worth more than none.
		if !q.h.budget.Spend(time.Now(), q.service) {
			return false
		}
		q.prepaid.Store(true)
		cancel(errSilent)
		return true
	})
	defer watch.stop()

	outcome := endpoint.Broken
	defer func() {
		p.End(time.Now(), outcome)
		q.logAttempt(p, head, failure, sent)
		verdict := customer.MayHaveRun
		if failure != nil {
			verdict = failure.Verdict()
		}
		q.count(p.First().ID, verdict, outcome)
	}()
	last := ""
	if d.begun {
		last = d.last
	}
	head, resp, sendErr := q.send(ctx, p, last, held)
	if sendErr == nil {
		defer resp.Body.Close()
	}
	if sendErr != nil || !head.Own || head.NotRun || head.Status != http.StatusOK || !head.Genuine {
		if sendErr == nil {
			var err error
			if body, err = io.ReadAll(io.LimitReader(resp.Body, longestEvent)); err != nil && !head.NotRun {
				sendErr = &sendError{verdict: customer.MayHaveRun, err: err}
			}
		}
		failure, outcome = q.judge(ctx, head, sendErr, false)
		if head.AtFault != "" {
			p.ReportRefusal(time.Now(), head.AtFault)
		}
		if failure == nil && body == nil {
			body = []byte{}
		}
		return head, body, failure
	}
	err := d.copy(head, resp.Body, p, watch.event)
	switch {
	case err == nil:
		outcome = endpoint.Good
		return head, nil, nil
	case context.Cause(ctx) == errSilent:
		return head, nil, customer.Fail(customer.ReasonEndpointFailed, "the endpoint was silent for too long")
	case ctx.Err() != nil:
		outcome = withdrawn(ctx)
		return head, nil, customer.Fail(customer.ReasonDeadline, "the time limit is over or the caller left")
	case errors.Is(err, errDeliver):
		outcome = endpoint.Withdraw
		return head, nil, customer.Fail(customer.ReasonCallerGone, err.Error())
	default:
		return head, nil, customer.Fail(customer.ReasonEndpointFailed, "the stream broke off: "+err.Error())
	}
}

// watch ends an attempt whose endpoint is silent for too long, while another endpoint could go on. On the last attempt the
// request waits up to its time limit: a late event is worth more than none.
type watch struct {
	mu      sync.Mutex
	timer   *time.Timer
	last    time.Time // of the last event or the send
	silence time.Duration
	stopped bool
}

func (q *request) watch(p *endpoint.Placement, first, silence time.Duration, end func() bool) *watch {
	w := &watch{last: time.Now(), silence: first}
	if q.sends+1 >= q.route.Attempts || !q.route.Kind.Repeatable() {
		return w
	}
	w.timer = time.AfterFunc(first, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		now := time.Now()
		// Reads that all VMs know of explain silence: streams pause while a prompt is read.
		left := w.last.Add(w.silence + p.Pending(now)).Sub(now)
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

// event notes progress. The timer looks at it when it fires.
func (w *watch) event() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = time.Now()
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// errDeliver is a failure to write to the caller.
var errDeliver = errors.New("the caller takes no answer")

// errSilent ends an attempt whose endpoint sends nothing for too long.
var errSilent = errors.New("the endpoint is silent")

// copy passes on whole events until the end of the stream. progress is called for each one.
func (d *delivery) copy(head Head, body io.Reader, p *endpoint.Placement, progress func()) error {
	r := bufio.NewReader(body)
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull && len(event) <= longestEvent:
			continue
		case err == io.EOF && len(event) == 0:
			if !d.begun {
				d.begin(head)
			}
			return nil
		case err == io.EOF:
			return errors.New("the stream ended within an event")
		case err != nil:
			return err
		case len(event) > longestEvent:
			return errors.New("an event is too long")
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue // an event ends with an empty line
		}
		progress()
		d.note(time.Now())
		p.Begun()
		if err := d.write(head, event); err != nil {
			return err
		}
		event = event[:0]
	}
}

// note measures the time to the first event and the pauses between events.
func (d *delivery) note(now time.Time) {
	if d.firstAt.IsZero() {
		d.firstAt = now
		d.q.h.first.Update(now.Sub(d.q.call.Arrived))
	} else {
		d.pause = max(d.pause, now.Sub(d.lastAt))
	}
	d.lastAt = now
}

func (d *delivery) begin(head Head) {
	header := d.q.w.Header()
	copyHeader(header, head.Header)
	d.q.w.WriteHeader(head.Status)
	d.begun = true
}

// write delivers one event, unless the caller has it.
func (d *delivery) write(head Head, event []byte) error {
	id := eventID(event)
	if id != "" && d.last != "" && !follows(id, d.last) {
		return nil
	}
	if !d.begun {
		d.begin(head)
	}
	if _, err := d.q.w.Write(event); err != nil {
		return errors.WithMessage(errDeliver, err.Error())
	}
	if err := http.NewResponseController(d.q.w).Flush(); err != nil {
		return errors.WithMessage(errDeliver, err.Error())
	}
	d.events++
	if id != "" {
		d.last = id
	}
	return nil
}

// eventID returns the ID in an event, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// follows says whether the event with ID a comes after the one with ID b. IDs that are no numbers are taken as they come.
func follows(a, b string) bool {
	x, err := strconv.ParseInt(a, 10, 64)
	y, err2 := strconv.ParseInt(b, 10, 64)
	return err != nil || err2 != nil || x > y
}
