package caller

import (
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestpath/customer"
)

// statusClientClosedRequest is the status under which other HTTP servers log a request whose caller closed its
// connection. No caller receives it.
const statusClientClosedRequest = 499

// errCallerDisconnected is the cancellation cause of a request whose caller closed its connection.
var errCallerDisconnected = customer.Fail(customer.ReasonCallerGone, "the caller closed its connection")

// refusalPolicy determines how a refusal is reported to the caller.
type refusalPolicy struct {
	status     int           // HTTP status
	retryAfter time.Duration // for a refusal that sets none, if the request did not run; 0 if waiting does not help
}

// Default values of Retry-After for conditions that end by themselves. A queue advances within a second. A change of an
// endpoint's owner completes within the duration of a lease plus the delay until a new share is used. An outage lasts
// longer.
const (
	retryAfterQueue  = time.Second
	retryAfterOwner  = 3 * time.Second
	retryAfterOutage = 10 * time.Second
)

// refusalPolicies has an entry for every reason.
var refusalPolicies = map[customer.Reason]refusalPolicy{
	customer.ReasonBadRequest:         {fasthttp.StatusBadRequest, 0},
	customer.ReasonTooLarge:           {fasthttp.StatusRequestEntityTooLarge, 0},
	customer.ReasonBadKey:             {fasthttp.StatusUnauthorized, 0},
	customer.ReasonUnknownModel:       {fasthttp.StatusNotFound, 0},
	customer.ReasonUnknownService:     {fasthttp.StatusNotFound, 0},
	customer.ReasonPromptTooLong:      {fasthttp.StatusBadRequest, 0},
	customer.ReasonTokenRate:          {fasthttp.StatusTooManyRequests, retryAfterQueue},
	customer.ReasonConcurrency:        {fasthttp.StatusTooManyRequests, retryAfterQueue},
	customer.ReasonQueueFull:          {fasthttp.StatusServiceUnavailable, retryAfterQueue},
	customer.ReasonDeadline:           {fasthttp.StatusGatewayTimeout, retryAfterQueue},
	customer.ReasonCallerGone:         {statusClientClosedRequest, 0},
	customer.ReasonMemory:             {fasthttp.StatusBadRequest, 0},
	customer.ReasonNoEndpoint:         {fasthttp.StatusServiceUnavailable, retryAfterOutage},
	customer.ReasonNoOwner:            {fasthttp.StatusServiceUnavailable, retryAfterOwner},
	customer.ReasonCold:               {fasthttp.StatusServiceUnavailable, retryAfterQueue},
	customer.ReasonShare:              {fasthttp.StatusServiceUnavailable, retryAfterOwner},
	customer.ReasonDrained:            {fasthttp.StatusServiceUnavailable, retryAfterOutage},
	customer.ReasonGrantExpired:       {fasthttp.StatusServiceUnavailable, retryAfterQueue},
	customer.ReasonEndpointRefused:    {fasthttp.StatusServiceUnavailable, retryAfterQueue},
	customer.ReasonEndpointFailed:     {fasthttp.StatusBadGateway, retryAfterQueue},
	customer.ReasonRetryBudget:        {fasthttp.StatusServiceUnavailable, retryAfterQueue},
	customer.ReasonLogUnavailable:     {fasthttp.StatusServiceUnavailable, retryAfterOutage},
	customer.ReasonClaimed:            {fasthttp.StatusConflict, retryAfterQueue},
	customer.ReasonKeyReused:          {fasthttp.StatusUnprocessableEntity, 0},
	customer.ReasonForwardUnavailable: {fasthttp.StatusServiceUnavailable, retryAfterOwner},
	customer.ReasonNotReady:           {fasthttp.StatusServiceUnavailable, retryAfterOwner},
	customer.ReasonInternal:           {fasthttp.StatusInternalServerError, 0},
}

// refusalPolicyOf returns the policy for r. A reason that this package does not know is treated as internal.
func refusalPolicyOf(r customer.Reason) refusalPolicy {
	if policy, ok := refusalPolicies[r]; ok {
		return policy
	}
	return refusalPolicies[customer.ReasonInternal]
}

// errorBody is a failure in the OpenAI format with additional fields for the verdict, the reason, Retry-After and the
// request ID.
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
	RetryAfter int     `json:"retryAfter,omitempty"` // seconds; a stream that has started can no longer send the Retry-After header
	RequestID  string  `json:"requestId"`
}

func newErrorBody(status int, requestID string, r *customer.Refusal) errorBody {
	return errorBody{Error: errorFields{
		Message:    r.Message(),
		Type:       errorType(status),
		Code:       string(r.Reason()),
		Verdict:    r.Verdict().String(),
		Reason:     string(r.Reason()),
		RetryAfter: retryAfterSeconds(r),
		RequestID:  requestID,
	}}
}

// errorType returns the OpenAI error type for an HTTP status.
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
