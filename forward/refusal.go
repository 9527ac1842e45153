package forward

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"goldcrestpath/customer"
)

// Retry times told to callers.
const (
	retryNotReady = 300 * time.Millisecond // a VM has its configuration soon after its start
	retryRefused  = 150 * time.Millisecond // endpoints that were full or leaving
)

// refusalBody is the body of the gateway's own answers.
type refusalBody struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// bad answers a request that is wrong in itself.
func (h *Handler) bad(w http.ResponseWriter, c *Call, err error) {
	var bad *BadCall
	if !errors.As(err, &bad) {
		bad = &BadCall{Status: http.StatusBadRequest, Message: err.Error()}
	}
	reason := customer.ReasonBadRequest
	switch bad.Status {
	case http.StatusUnauthorized:
		reason = customer.ReasonBadKey
	case http.StatusNotFound:
		reason = customer.ReasonUnknownService
	case http.StatusRequestEntityTooLarge:
		reason = customer.ReasonTooLarge
	}
	h.answer(w, c, bad.Status, customer.Refuse(reason, bad.Message))
}

// refuse answers a request that failed. A request that certainly did not run gets 503, which promises that; others get 502,
// or 504 after their time limit.
func (h *Handler) refuse(w http.ResponseWriter, c *Call, r *customer.Refusal) {
	status := http.StatusBadGateway
	switch {
	case r.Verdict() == customer.NotRun:
		status = http.StatusServiceUnavailable
	case r.Reason() == customer.ReasonDeadline:
		status = http.StatusGatewayTimeout
	}
	h.answer(w, c, status, r)
}

func (h *Handler) answer(w http.ResponseWriter, c *Call, status int, r *customer.Refusal) {
	h.refused(string(r.Reason())).Inc(1)
	fields := log.Fields{"status": status, "verdict": r.Verdict().String(), "reason": string(r.Reason())}
	if c != nil {
		fields["request"], fields["host"], fields["path"] = c.ID, c.Host, c.Path
		fields["promptTokens"] = c.PromptTokens
		fields["ageMs"] = time.Since(c.Arrived).Milliseconds()
	}
	h.logger.WithFields(fields).Info("forward: refused: " + r.Message())
	body, err := json.Marshal(refusalBody{Verdict: r.Verdict().String(), Reason: string(r.Reason()), Message: r.Message()})
	if err != nil {
		h.logger.WithError(err).Error("forward: a refusal cannot be encoded")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if wait := r.RetryAfter(); wait > 0 {
		header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	if r.Reason() == customer.ReasonNoEndpoint || r.Reason() == customer.ReasonNotReady {
		header.Set("Connection", "close") // another VM may have what this one lacks
	}
	h.codec.EncodeRefusal(header, c)
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that is gone needs no answer
}

// fail answers the caller after the last attempt, unless the caller has left.
func (q *request) fail(ctx context.Context, r *customer.Refusal) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		q.log().WithField("mayHaveRun", q.mayRun).Info("forward: the caller left")
		q.h.refused(string(customer.ReasonCallerGone)).Inc(1)
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		r = customer.Refuse(customer.ReasonDeadline, "the time limit is over")
	}
	if q.mayRun && r.Verdict() == customer.NotRun {
		r = customer.Fail(r.Reason(), r.Message())
	}
	q.h.refuse(q.w, q.call, r)
}
