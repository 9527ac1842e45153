package caller

import (
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestpath/customer"
)

// statusCallerGone is what logs of other servers show for a caller that closed its connection. No caller gets it.
const statusCallerGone = 499

// errCallerGone is the cause of the context of a request whose caller closed its connection.
var errCallerGone = customer.Fail(customer.ReasonCallerGone, "the caller closed its connection")

// treatment is how a reason is told to the caller.
type treatment struct {
	status     int
	retryAfter time.Duration // where the refusal has none and the request did not run; 0 where waiting does not help
}

// Waits for conditions that end by themselves: a queue moves within a second, an owner changes within a lease and the time
// until a new share is used, and an outage lasts longer.
const (
	waitQueue  = time.Second
	waitOwner  = 3 * time.Second
	waitOutage = 10 * time.Second
)

// treatments has every reason.
var treatments = map[customer.Reason]treatment{
	customer.ReasonBadRequest:         {fasthttp.StatusBadRequest, 0},
	customer.ReasonTooLarge:           {fasthttp.StatusRequestEntityTooLarge, 0},
	customer.ReasonBadKey:             {fasthttp.StatusUnauthorized, 0},
	customer.ReasonUnknownModel:       {fasthttp.StatusNotFound, 0},
	customer.ReasonUnknownService:     {fasthttp.StatusNotFound, 0},
	customer.ReasonPromptTooLong:      {fasthttp.StatusBadRequest, 0},
	customer.ReasonTokenRate:          {fasthttp.StatusTooManyRequests, waitQueue},
	customer.ReasonConcurrency:        {fasthttp.StatusTooManyRequests, waitQueue},
	customer.ReasonQueueFull:          {fasthttp.StatusServiceUnavailable, waitQueue},
	customer.ReasonDeadline:           {fasthttp.StatusGatewayTimeout, waitQueue},
	customer.ReasonCallerGone:         {statusCallerGone, 0},
	customer.ReasonMemory:             {fasthttp.StatusBadRequest, 0},
	customer.ReasonNoEndpoint:         {fasthttp.StatusServiceUnavailable, waitOutage},
	customer.ReasonNoOwner:            {fasthttp.StatusServiceUnavailable, waitOwner},
	customer.ReasonCold:               {fasthttp.StatusServiceUnavailable, waitQueue},
	customer.ReasonShare:              {fasthttp.StatusServiceUnavailable, waitOwner},
	customer.ReasonDrained:            {fasthttp.StatusServiceUnavailable, waitOutage},
	customer.ReasonGrantExpired:       {fasthttp.StatusServiceUnavailable, waitQueue},
	customer.ReasonEndpointRefused:    {fasthttp.StatusServiceUnavailable, waitQueue},
	customer.ReasonEndpointFailed:     {fasthttp.StatusBadGateway, waitQueue},
	customer.ReasonRetryBudget:        {fasthttp.StatusServiceUnavailable, waitQueue},
	customer.ReasonLogUnavailable:     {fasthttp.StatusServiceUnavailable, waitOutage},
	customer.ReasonClaimed:            {fasthttp.StatusConflict, waitQueue},
	customer.ReasonKeyReused:          {fasthttp.StatusUnprocessableEntity, 0},
	customer.ReasonForwardUnavailable: {fasthttp.StatusServiceUnavailable, waitOwner},
	customer.ReasonNotReady:           {fasthttp.StatusServiceUnavailable, waitOwner},
	customer.ReasonInternal:           {fasthttp.StatusInternalServerError, 0},
}

func treatmentOf(r customer.Reason) treatment {
	if t, ok := treatments[r]; ok {
		return t
	}
	return treatments[customer.ReasonInternal]
}

// errorBody is a failure in the OpenAI shape with the fields of this project.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Param      *string `json:"param"`
	Code       string  `json:"code"`
	Verdict    string  `json:"verdict"`
	Reason     string  `json:"reason"`
	RetryAfter int     `json:"retryAfter,omitempty"` // seconds, as in the header that a started stream can no longer send
	RequestID  string  `json:"requestId"`
}

func newErrorBody(status int, requestID string, r *customer.Refusal) errorBody {
	return errorBody{Error: errorFields{
		Message:    r.Message(),
		Type:       errorType(status),
		Code:       string(r.Reason()),
		Verdict:    r.Verdict().String(),
		Reason:     string(r.Reason()),
		RetryAfter: retryAfter(r),
		RequestID:  requestID,
	}}
}

func errorType(status int) string {
	switch {
	case status == fasthttp.StatusUnauthorized:
		return "authentication_error"
	case status == fasthttp.StatusTooManyRequests:
		return "rate_limit_error"
	case status < fasthttp.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
