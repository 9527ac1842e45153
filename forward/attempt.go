package forward

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
)

// maxRejected bounds the sends of one request that endpoints rejected without running it.
const maxRejected = 3

// sendError is a send without an answer.
type sendError struct {
	verdict customer.Verdict
	err     error
}

// Error implements error.
func (e *sendError) Error() string { return e.err.Error() }

// send performs one attempt and returns the head of the answer with its body open. The end of ctx closes the connection.
func (q *request) send(ctx context.Context, p *endpoint.Placement, lastEvent string, held *reservation) (Head, *http.Response, *sendError) {
	now := time.Now()
	attempt := Attempt{
		Endpoint: p.First(), Customer: q.customerName(), Remaining: q.remaining(now), LastEvent: lastEvent, Helpers: p.Helpers(),
		Priority: -1,
	}
	if held != nil {
		attempt.Ticket = held.id
	}
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }, GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	header := q.call.Header.Clone()
	q.h.codec.EncodeAttempt(header, q.call, &attempt)
	req := &http.Request{
		Method: q.call.Method, URL: target(attempt.Endpoint.Address, q.call.Target), Host: q.call.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(q.call.Body)), Body: http.NoBody,
	}
	if len(q.call.Body) > 0 {
		req.Body = readCloser{bytes.NewReader(q.call.Body)}
	}
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // keeps the transport from adding its own
	}
	transport := q.h.kept
	if !q.route.Kind.Repeatable() {
		transport = q.h.fresh // a kept connection can end while the request is written, which leaves open whether it ran
	}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		verdict := customer.NotRun
		if wrote.Load() {
			verdict = customer.MayHaveRun
		}
		return Head{}, nil, &sendError{verdict: verdict, err: err}
	}
	return q.h.codec.DecodeHead(q.call, resp), resp, nil
}

// readCloser is a request body. Without a way to get it again, the transport never repeats a request on its own.
type readCloser struct{ *bytes.Reader }

// Close implements io.Closer.
func (readCloser) Close() error { return nil }

// target returns the URL of a request target at an address, which the transport writes as it is.
func target(address, raw string) *url.URL {
	path, query, hasQuery := strings.Cut(raw, "?")
	u := &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if strings.HasPrefix(path, "//") {
		u.Opaque, u.Path, u.RawPath = "", path, path // an opaque part with two slashes would be taken for a host
	}
	return u
}

// mayRetry says whether the request may be sent to a further endpoint after a failure, and takes the send from the budget.
// Where no connection could be opened, nothing arrived that the budget would count.
func (q *request) mayRetry(ctx context.Context, reason string) bool {
	if ctx.Err() != nil {
		return false
	}
	if q.mayRun && !q.route.Kind.Repeatable() || q.sends >= q.route.Attempts || q.rejected > maxRejected {
		return false
	}
	free := q.unreached || q.prepaid.Swap(false)
	if !free && !q.h.budget.Spend(time.Now(), q.service) {
		q.log().WithField("reason", reason).Info("forward: no retry, the budget is used up")
		q.h.retried("budgetUsedUp").Inc(1)
		return false
	}
	q.h.retried(reason).Inc(1)
	return true
}

// count records a send by its verdict and by what it showed of the endpoint.
func (q *request) count(id string, v customer.Verdict, o endpoint.Outcome) {
	q.tried = append(q.tried, id)
	q.unreached = o == endpoint.Unreachable || o == endpoint.Absent
	if v == customer.NotRun {
		q.rejected++
		return
	}
	q.sends++
	q.mayRun = true
}

// place selects endpoints and waits for room, up to a limit.
func (q *request) place(ctx context.Context, limit time.Duration, pick func(now time.Time) (*endpoint.Placement, *customer.Refusal)) (*endpoint.Placement, *customer.Refusal) {
	var timer *time.Timer
	for {
		changed := q.h.fleet.Changed()
		now := time.Now()
		p, refusal := pick(now)
		if refusal == nil || refusal.Reason() == customer.ReasonMemory || refusal.Reason() == customer.ReasonDeadline {
			return p, refusal
		}
		left := limit - now.Sub(q.call.Arrived)
		if left <= 0 {
			return nil, refusal
		}
		if timer == nil {
			timer = time.NewTimer(min(left, recheck))
			defer timer.Stop()
		} else {
			timer.Reset(min(left, recheck))
		}
		select {
		case <-ctx.Done():
			return nil, refusal
		case <-changed:
		case <-timer.C:
		}
	}
}

// recheck is the longest time between two looks for room: pauses of endpoints end without an event.
const recheck = 50 * time.Millisecond
