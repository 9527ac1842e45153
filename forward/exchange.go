package forward

import (
	"context"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
)

// Limits of requests whose answer is a single body. waitTargets applies to streams as well.
const (
	// maxAnswerBytes limits an answer, which is delivered completely or not at all; a longer one counts as failed. Several have to fit into
	// the memory of a small VM.
	maxAnswerBytes = 8 << 20
	// attemptTargets is the multiple of the route's TTFT target after which an attempt ends if another endpoint can be tried.
	attemptTargets = 3
	// minAttemptTime is the least time that an attempt gets.
	minAttemptTime = 250 * time.Millisecond
	// waitTargets is the multiple of the route's TTFT target for which a request waits for a free endpoint. A request that waits
	// longer is late in any case, and its caller can send it again later instead.
	waitTargets = 1.0
)

// exchangeWaitLimit returns how long after its arrival a request whose answer is a single body may wait for an endpoint.
func (q *request) exchangeWaitLimit() time.Duration {
	return time.Duration(waitTargets * float64(q.route.TTFTTarget))
}

// exchange performs a request whose answer is a single body.
func (q *request) exchange(ctx context.Context) {
	var errorHead *AnswerHead
	var errorBody []byte
	var failure *customer.Refusal
	for {
		sel, refusal := q.selectWithin(ctx, q.exchangeWaitLimit(), func(now time.Time) (*endpoint.Selection, *customer.Refusal) {
			if refusal := q.checkParts(); refusal != nil {
				return nil, refusal
			}
			return q.selectForCall(now)
		})
		if refusal != nil {
			failure = refusal
			break
		}
		head, body, err := q.attempt(ctx, sel)
		if err == nil && head.Status < http.StatusInternalServerError {
			q.deliver(&head, body)
			return
		}
		reason := "endpointFailed"
		if err == nil {
			errorHead, errorBody = &head, body
			failure = customer.Fail(customer.ReasonEndpointFailed, "the endpoint failed")
		} else {
			failure = err
			reason = string(err.Reason())
		}
		if !q.mayRetry(ctx, reason) {
			break
		}
	}
	if errorHead != nil {
		q.deliver(errorHead, errorBody) // the endpoint's own error response says more than one from the gateway
		return
	}
	q.fail(ctx, failure)
}

// attempt sends the request once and reads the complete answer. An error response of the endpoint counts as an answer.
func (q *request) attempt(ctx context.Context, sel *endpoint.Selection) (AnswerHead, []byte, *customer.Refusal) {
	attemptCtx, cancel := q.attemptContext(ctx)
	defer cancel()
	sent := time.Now()
	use := q.beginUse(sent, sel)
	head, resp, sendErr := q.send(attemptCtx, sel, "", nil)
	progress := &promptProgress{q: q}
	var body []byte
	if sendErr == nil {
		progress.began()
		var err error
		if head.MatchesAttempt {
			b := q.newBuffer()
			err = b.readFrom(resp.Body, maxAnswerBytes)
			body = b.data
			if err == nil && len(body) == 0 && head.Status < 300 && endsWithConnection(resp) {
				err = errNoBody
			}
		}
		resp.Body.Close() // closes the connection if the body was not read
		if err != nil {
			sendErr = &sendError{verdict: customer.MayHaveRun, err: err}
			if head.MatchesAttempt && head.NotRun {
				sendErr.verdict = customer.NotRun
			}
		}
	}
	refusal, outcome := q.classify(ctx, head, sendErr, len(body) > maxAnswerBytes)
	switch {
	case sendErr == nil && head.Status < 300:
		progress.goesOn(true)
	case sendErr != nil && outcome == endpoint.Broken && attemptCtx.Err() == nil:
		progress.brokeOff(sel.First())
	}
	use.end(time.Now(), refusal != nil && refusal.Verdict() == customer.NotRun)
	sel.End(time.Now(), outcome)
	q.logAttempt(sel, head, refusal, sent)
	verdict := customer.MayHaveRun
	if refusal != nil {
		verdict = refusal.Verdict()
	}
	q.countSend(sel.First().ID, verdict, outcome)
	return head, body, refusal
}

// errNoBody is the error for an answer whose connection ended right behind its head.
var errNoBody = errors.New("the connection ended before the body of the answer")

// endsWithConnection reports whether only the end of the connection marks the end of the answer's body. If nothing was received before that,
// the endpoint may have stopped before it wrote the body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

// attemptContext limits the time of an attempt if the request can be sent to another endpoint after it.
func (q *request) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !q.route.Kind.Repeatable() || q.sends+1 >= q.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, q.attemptTime())
}

// attemptTime returns how long an attempt may take if the request can be sent to another endpoint after it.
func (q *request) attemptTime() time.Duration {
	return max(attemptTargets*q.route.TTFTTarget, minAttemptTime)
}

// classify returns the failure of an attempt, or nil if the answer may be delivered, and the outcome of the attempt for the
// endpoint.
func (q *request) classify(ctx context.Context, head AnswerHead, sendErr *sendError, tooLong bool) (*customer.Refusal, endpoint.Outcome) {
	switch {
	case sendErr != nil && errors.Is(sendErr.err, errMemory):
		// This VM's memory is short, which says nothing about the endpoint.
		return newRefusal(sendErr.verdict, customer.ReasonNotReady, sendErr.Error()), endpoint.Cancelled
	case sendErr != nil && context.Cause(ctx) == errSilent:
		return newRefusal(sendErr.verdict, customer.ReasonEndpointFailed, errSilent.Error()), endpoint.Broken
	case sendErr != nil && ctx.Err() != nil:
		return newRefusal(sendErr.verdict, customer.ReasonDeadline, "the time limit has expired"), contextOutcome(ctx)
	case sendErr != nil && errors.Is(sendErr.err, syscall.ECONNREFUSED):
		return newRefusal(customer.NotRun, customer.ReasonEndpointFailed, "no connection: "+sendErr.Error()), endpoint.ConnectionRefused
	case sendErr != nil && sendErr.verdict == customer.NotRun:
		return newRefusal(customer.NotRun, customer.ReasonEndpointFailed, "no connection: "+sendErr.Error()), endpoint.Unreachable
	case sendErr != nil:
		return newRefusal(sendErr.verdict, customer.ReasonEndpointFailed, "no complete answer: "+sendErr.Error()), endpoint.Broken
	case !head.MatchesAttempt:
		return customer.Fail(customer.ReasonEndpointFailed, "the answer belongs to another request"), endpoint.Broken
	case head.NotRun:
		return customer.Refuse(customer.ReasonEndpointRefused, "the endpoint refused the request", customer.RetryAfter(retryRefused)), endpoint.Refused
	case tooLong:
		return customer.Fail(customer.ReasonEndpointFailed, "the answer is too long"), endpoint.Errored
	case head.Status < 300 && !head.Authentic:
		return customer.Fail(customer.ReasonEndpointFailed, "the answer is not a genuine answer of the endpoint"), endpoint.Broken
	case head.Status >= 500:
		return nil, endpoint.Errored
	default:
		return nil, endpoint.Succeeded
	}
}

// contextOutcome returns the outcome of an attempt that ended with the request's context. Silence until the time limit counts
// against the endpoint; a caller that disconnected does not.
func contextOutcome(ctx context.Context) endpoint.Outcome {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return endpoint.Broken
	}
	return endpoint.Cancelled
}

// newRefusal returns a refusal with the given verdict.
func newRefusal(v customer.Verdict, reason customer.Reason, message string) *customer.Refusal {
	if v == customer.NotRun {
		return customer.Refuse(reason, message, customer.RetryAfter(retryRefused))
	}
	return customer.Fail(reason, message)
}

// deliver sends a complete answer to the caller.
func (q *request) deliver(head *AnswerHead, body []byte) {
	header := q.w.Header()
	copyHeader(header, head.Header)
	if q.call.Method != http.MethodHead && head.Status != http.StatusNoContent && head.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.w.WriteHeader(head.Status)
	_, _ = q.w.Write(body) // a caller that disconnected needs no answer
	q.h.answered.UpdateSince(q.call.ArrivedAt)
	q.log().WithField("status", head.Status).Info("forward: answered")
}

// copyHeader copies headers and keeps the HTTP server from detecting a content type if the endpoint sent none.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if len(from["Content-Type"]) == 0 {
		to["Content-Type"] = nil
	}
}

// logAttempt logs the selection for an attempt, the loads that it was based on, and the result of the attempt.
func (q *request) logAttempt(sel *endpoint.Selection, head AnswerHead, refusal *customer.Refusal, sent time.Time) {
	first := sel.First()
	fields := log.Fields{
		"endpoint": first.ID, "address": first.Address, "status": head.Status, "tookMs": time.Since(sent).Milliseconds(),
		"running": sel.RunningAtSelection(), "unreadMs": sel.BacklogAtSelection().Milliseconds(), "expectedMs": sel.ExpectedTTFT().Milliseconds(),
	}
	if helpers := sel.Helpers(); len(helpers) > 0 {
		ids := make([]string, len(helpers))
		for i, t := range helpers {
			ids[i] = t.ID
		}
		fields["helpers"] = ids
	}
	if reason := sel.LeaveReason(); reason != endpoint.LeaveNone {
		fields["leaves"] = reason
	}
	if q.relayed {
		fields["relayed"] = true
	}
	if refusal != nil {
		fields["verdict"], fields["failure"] = refusal.Verdict().String(), refusal.Message()
	}
	if head.FaultyEndpoint != "" {
		fields["atFault"] = head.FaultyEndpoint
	}
	q.log().WithFields(fields).Info("forward: sent")
}
