package forward

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
)

// maxRejected is how many times a request may be rejected without running and still be sent to another endpoint.
const maxRejected = 3

// sendError is the failure of an attempt that got no complete answer.
type sendError struct {
	verdict customer.Verdict
	err     error
}

// Error implements error.
func (e *sendError) Error() string { return e.err.Error() }

// send sends the request to the first endpoint of the selection and returns the head of the answer with its body open. Cancelling
// ctx closes the connection.
func (q *request) send(ctx context.Context, sel *endpoint.Selection, lastEvent string, res *reservation) (AnswerHead, *http.Response, *sendError) {
	now := time.Now()
	attempt := Attempt{
		Endpoint: sel.First(), Customer: q.customerName(), TimeLeft: q.remaining(now), LastEventID: lastEvent, Helpers: sel.Helpers(),
		Priority: q.engineLevel(),
	}
	if res != nil {
		attempt.ReservationID = res.id
	}
	var wrote, reused atomic.Bool
	var remote atomic.Pointer[net.Addr]
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }, GotConn: func(info httptrace.GotConnInfo) {
		wrote.Store(true)
		reused.Store(info.Reused)
		address := info.Conn.RemoteAddr()
		remote.Store(&address)
	}}
	header := q.call.Header.Clone()
	q.h.codec.EncodeAttempt(header, q.call, &attempt)
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // keeps the transport from adding a default
	}
	newRequest := func() *http.Request {
		req := &http.Request{
			Method: q.call.Method, URL: requestURL(attempt.Endpoint.Address, q.call.RequestTarget), Host: q.call.Host, Header: header,
			Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(q.call.Body)), Body: http.NoBody,
		}
		if len(q.call.Body) > 0 {
			req.Body = readCloser{bytes.NewReader(q.call.Body)}
		}
		return req.WithContext(httptrace.WithClientTrace(ctx, trace))
	}
	sel.CountSent(now, len(q.call.Body))
	resp, relayed, err := q.roundTrip(attempt.Endpoint, newRequest, wrote.Load)
	q.relayed = relayed
	if relayed {
		q.h.relayedSends.Inc(1)
	} else if wrote.Load() && !reused.Load() {
		q.h.fleet.RecordConnected(attempt.Endpoint.ID)
	}
	if err != nil {
		verdict := customer.NotRun
		if wrote.Load() {
			verdict = customer.MayHaveRun
		} else {
			q.h.notOpened(dialFault(err)).Inc(1)
		}
		return AnswerHead{}, nil, &sendError{verdict: verdict, err: err}
	}
	head := q.h.codec.DecodeHead(q.call, resp)
	if head.Anonymous && head.NotRun && !reused.Load() {
		// A refusal may name no attempt. On a connection that served another request, it may be a late copy of that one's refusal.
		head.MatchesAttempt = true
	}
	q.h.RecordNotice(attempt.Endpoint.ID, head.Notice)
	if relayed && head.Notice.Pause > 0 {
		q.h.relays.ReportPause(*remote.Load(), attempt.Endpoint.ID, head.Notice.Pause)
	}
	return head, resp, nil
}

// dialFault returns why a connection was not opened, for counters.
func dialFault(err error) string {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	}
	return "other"
}

// RecordNotice passes on what an endpoint's answer says of the endpoint itself.
func (h *Handler) RecordNotice(id string, n endpoint.Notice) {
	if n == (endpoint.Notice{}) {
		return
	}
	fields := log.Fields{"endpoint": id, "leaving": n.Leaving, "pauseMs": n.Pause.Milliseconds()}
	if n.Invalid != "" {
		h.logger.WithFields(fields).WithField("value", n.Invalid).Warn("forward: an endpoint asks for a pause that is out of range")
	}
	if h.fleet.RecordNotice(time.Now(), id, n) {
		h.logger.WithFields(fields).Info("forward: an endpoint is leaving or asks for a pause")
	}
}

// readCloser is a request body. It leaves http.Request.GetBody unset, so the transport never repeats a request by itself.
type readCloser struct{ *bytes.Reader }

// Close implements io.Closer.
func (readCloser) Close() error { return nil }

// requestURL returns a URL for the address that the transport writes as exactly the given request target.
func requestURL(address, requestTarget string) *url.URL {
	path, query, hasQuery := strings.Cut(requestTarget, "?")
	u := &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if strings.HasPrefix(path, "//") {
		// An opaque part that begins with two slashes would be taken for a host. RawPath is written as it is only if it is an encoding of
		// Path; checkTarget refuses the requests for which it is not.
		u.Opaque, u.RawPath = "", path
		u.Path, _ = url.PathUnescape(path)
	}
	return u
}

// checkTarget returns an error for a request target that the transport cannot write unchanged: one that begins with two slashes and has
// a character in its path that has to be escaped.
func checkTarget(target string) error {
	if requestURL("", target).RequestURI() != target {
		return &BadRequestError{Status: http.StatusBadRequest, Message: "the path begins with two slashes and is not escaped correctly"}
	}
	return nil
}

// mayRetry reports whether the request may be sent to another endpoint after a failure, and charges the retry to the budget. A
// retry is exempt if it has been charged already, or if the previous attempt opened no connection, because no endpoint received
// that attempt.
func (q *request) mayRetry(ctx context.Context, reason string) bool {
	if ctx.Err() != nil || reason == string(customer.ReasonNotReady) {
		return false // with this VM's memory short, another endpoint's answer does not fit either
	}
	if q.mayHaveRun && !q.route.Kind.Repeatable() || q.sends >= q.route.MaxAttempts || q.rejected > maxRejected {
		return false
	}
	exempt := q.notReached || q.retryCharged.Swap(false)
	if !exempt && q.exceedsShare(time.Now()) {
		q.log().WithFields(log.Fields{"reason": reason, "customer": q.customerName()}).Info("forward: no retry, the customer exceeds its share")
		q.h.retried("shareExceeded").Inc(1)
		return false
	}
	if !exempt && !q.trySpend() {
		q.log().WithField("reason", reason).Info("forward: no retry, the budget is used up")
		q.h.retried("budgetUsedUp").Inc(1)
		return false
	}
	q.h.retried(reason).Inc(1)
	return true
}

// countSend records an attempt by its verdict and by its outcome for the endpoint.
func (q *request) countSend(id string, v customer.Verdict, o endpoint.Outcome) {
	q.tried = append(q.tried, id)
	q.notReached = o == endpoint.Unreachable || o == endpoint.ConnectionRefused
	if v == customer.NotRun {
		q.rejected++
		return
	}
	q.sends++
	q.mayHaveRun = true
}

// mayWait reports whether a request that may wait for that time does so after a refusal.
func mayWait(refusal *customer.Refusal, left time.Duration) bool {
	switch refusal.Reason() {
	case customer.ReasonMemory, customer.ReasonDeadline, customer.ReasonQuarantined, customer.ReasonShareExceeded:
		return false
	}
	return left > 0 && (refusal.Reason() != customer.ReasonPaused || refusal.RetryAfter() < left)
}

// selectWithin calls try until it selects endpoints, until it returns a refusal that waiting cannot change, until limit has
// passed since the request's arrival, or until a stopping VM cannot answer in time. It calls try again when endpoints may have become
// available.
func (q *request) selectWithin(ctx context.Context, limit time.Duration, try func(now time.Time) (*endpoint.Selection, *customer.Refusal)) (*endpoint.Selection, *customer.Refusal) {
	var timer *time.Timer
	stopping := q.h.stop.begun
	for {
		changed := q.h.fleet.CapacityChanged()
		now := time.Now()
		if refusal := q.checkStop(now, 0); refusal != nil {
			return nil, refusal
		}
		sel, refusal := try(now)
		if refusal == nil {
			return sel, nil
		}
		left := limit - now.Sub(q.call.ArrivedAt)
		if !mayWait(refusal, left) {
			return nil, refusal
		}
		if timer == nil {
			timer = time.NewTimer(min(left, recheckInterval))
			defer timer.Stop()
		} else {
			timer.Reset(min(left, recheckInterval))
		}
		select {
		case <-ctx.Done():
			return nil, refusal
		case <-stopping:
			stopping = nil // closed for good
		case <-changed:
		case <-timer.C:
		}
	}
}

// recheckInterval is the longest time between two tries of a selection. It bounds the wait for an endpoint whose backoff ends,
// because the end of a backoff causes no notification.
const recheckInterval = 50 * time.Millisecond
