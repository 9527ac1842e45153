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

// Retry times sent to callers.
const (
	retryNotReady = 300 * time.Millisecond // a VM receives its configuration soon after its start
	retryRefused  = 150 * time.Millisecond // for endpoints that were full or stopping
)

// refusalBody is the body of the gateway's own answers to failed requests.
type refusalBody struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// refuseMemory returns the refusal of a request for which no memory is left.
func refuseMemory() *customer.Refusal {
	return customer.Refuse(customer.ReasonNotReady, errMemory.Error(), customer.RetryAfter(retryNotReady))
}

// refuseBad answers an invalid request. c is nil if the request could not be decoded.
func (h *Handler) refuseBad(w http.ResponseWriter, c *Call, err error) {
	var bad *BadRequestError
	if !errors.As(err, &bad) {
		bad = &BadRequestError{Status: http.StatusBadRequest, Message: err.Error()}
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
	h.writeRefusal(w, c, bad.Status, customer.Refuse(reason, bad.Message))
}

// refuse answers a request that failed. Status 503 tells the caller that the request certainly did not run. Other requests get 504
// after their time limit, or else 502.
func (h *Handler) refuse(w http.ResponseWriter, c *Call, r *customer.Refusal) {
	status := http.StatusBadGateway
	switch {
	case r.Verdict() == customer.NotRun:
		status = http.StatusServiceUnavailable
	case r.Reason() == customer.ReasonDeadline:
		status = http.StatusGatewayTimeout
	}
	h.writeRefusal(w, c, status, r)
}

// writeRefusal writes the refusal with the given HTTP status, and logs and counts it.
func (h *Handler) writeRefusal(w http.ResponseWriter, c *Call, status int, r *customer.Refusal) {
	h.refused(string(r.Reason())).Inc(1)
	fields := log.Fields{"status": status, "verdict": r.Verdict().String(), "reason": string(r.Reason())}
	if c != nil {
		fields["request"], fields["host"], fields["path"] = c.ID, c.Host, c.Path
		fields["promptTokens"] = c.PromptTokens
		fields["ageMs"] = time.Since(c.ArrivedAt).Milliseconds()
	}
	h.logger.WithFields(fields).Info("forward: refused: " + r.Message())
	body, err := json.Marshal(refusalBody{Verdict: r.Verdict().String(), Reason: string(r.Reason()), Message: r.Message()})
	if err != nil {
		h.logger.WithError(err).Error("forward: encoding a refusal failed")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if wait := r.RetryAfter(); wait > 0 {
		header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	if r.Reason() == customer.ReasonNoEndpoint || r.Reason() == customer.ReasonNotReady {
		header.Set("Connection", "close") // on a new connection, another VM may have an endpoint or a configuration
	}
	h.codec.EncodeRefusal(header, c)
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that disconnected needs no answer
}

// fail answers the caller after the last attempt failed. It aborts the connection if the caller has disconnected.
func (q *request) fail(ctx context.Context, r *customer.Refusal) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		q.log().WithField("mayHaveRun", q.mayHaveRun).Info("forward: the caller left")
		q.h.refused(string(customer.ReasonCallerGone)).Inc(1)
		panic(http.ErrAbortHandler)
	}
	switch {
	case errors.Is(context.Cause(ctx), errStopping):
		r = refuseStopping()
	case ctx.Err() != nil:
		r = customer.Refuse(customer.ReasonDeadline, "the time limit has expired")
	}
	if q.mayHaveRun && r.Verdict() == customer.NotRun {
		r = customer.Fail(r.Reason(), r.Message())
	}
	q.countRefusal(r)
	q.h.refuse(q.w, q.call, r)
}
