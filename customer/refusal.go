package customer

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Verdict states whether a failed request may have run on an endpoint.
type Verdict uint8

const (
	// NotRun means that the request certainly did not run: it was never sent, or the endpoint refused it before running it.
	NotRun Verdict = iota + 1
	// MayHaveRun means that at least one byte of the request may have reached an endpoint.
	MayHaveRun
)

// String returns the name of the verdict in responses and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "notRun"
	case MayHaveRun:
		return "mayHaveRun"
	default:
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
}

// Reason states why a request was refused or failed. Each reason has its own counter.
type Reason string

// Reasons for refusals and failures.
const (
	ReasonBadRequest         Reason = "badRequest"         // malformed or incomplete request
	ReasonTooLarge           Reason = "tooLarge"           // body above the configured limit
	ReasonBadKey             Reason = "badKey"             // API key missing or unknown
	ReasonUnknownModel       Reason = "unknownModel"       // model missing from the configuration or the contract
	ReasonUnknownService     Reason = "unknownService"     // service missing from the configuration or the contract
	ReasonPromptTooLong      Reason = "promptTooLong"      // prompt above the contract's longest prompt, or whole request above its burst
	ReasonTokenRate          Reason = "tokenRate"          // above the contract's tokens per second
	ReasonConcurrency        Reason = "concurrency"        // above the contract's concurrent requests
	ReasonQueueFull          Reason = "queueFull"          // no free capacity on the endpoint, or its queue is full
	ReasonDeadline           Reason = "deadline"           // the request is predicted to start too late, or did not end in time
	ReasonCallerGone         Reason = "callerGone"         // the caller closed its connection
	ReasonMemory             Reason = "memory"             // needs more KV cache memory than the endpoint or any group has
	ReasonNoEndpoint         Reason = "noEndpoint"         // no usable endpoint serves the model or service
	ReasonPaused             Reason = "paused"             // every endpoint has asked for a pause
	ReasonNoOwner            Reason = "noOwner"            // no VM holds enough shares of the endpoint
	ReasonCold               Reason = "cold"               // the endpoint's cold-start allowance is used up
	ReasonShare              Reason = "share"              // the endpoint's shares that are leased to its owner do not cover the request
	ReasonShareExceeded      Reason = "shareExceeded"      // capacity is scarce and the customer uses more than its fair share of it
	ReasonDrained            Reason = "drained"            // the data centre, VM or endpoint is drained
	ReasonGrantExpired       Reason = "grantExpired"       // the grant expired before the request was sent
	ReasonEndpointRefused    Reason = "endpointRefused"    // the endpoint refused the request before running it
	ReasonEndpointFailed     Reason = "endpointFailed"     // the endpoint failed or the connection was lost
	ReasonRetryBudget        Reason = "retryBudget"        // a retry was possible, but the retry budget is used up
	ReasonLogUnavailable     Reason = "logUnavailable"     // the platform's log cannot be reached
	ReasonClaimed            Reason = "claimed"            // another request holds the idempotency key, and its outcome is unknown
	ReasonKeyReused          Reason = "keyReused"          // the idempotency key was used with a different request
	ReasonForwardUnavailable Reason = "forwardUnavailable" // no VM of another data centre can take the request
	ReasonNotReady           Reason = "notReady"           // the VM has no configuration yet or is stopping
	ReasonQuarantined        Reason = "quarantined"        // engines ended under prompts that shared a part with this one
	ReasonInternal           Reason = "internal"           // a bug in this program
)

// Refusal is the error of a request that was refused or failed.
type Refusal struct {
	verdict    Verdict
	reason     Reason
	message    string
	retryAfter time.Duration
}

// RefusalOption sets an optional field of a Refusal.
type RefusalOption func(*Refusal)

// RetryAfter sets how long the caller should wait before it retries.
func RetryAfter(d time.Duration) RefusalOption {
	return func(r *Refusal) { r.retryAfter = d }
}

// Refuse returns a refusal of a request that certainly did not run.
func Refuse(reason Reason, message string, opts ...RefusalOption) *Refusal {
	return newRefusal(NotRun, reason, message, opts)
}

// Fail returns the failure of a request that may have run.
func Fail(reason Reason, message string, opts ...RefusalOption) *Refusal {
	return newRefusal(MayHaveRun, reason, message, opts)
}

func newRefusal(v Verdict, reason Reason, message string, opts []RefusalOption) *Refusal {
	r := &Refusal{verdict: v, reason: reason, message: message}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Verdict returns whether the request may have run.
func (r *Refusal) Verdict() Verdict { return r.verdict }

// Reason returns the reason under which the refusal is counted.
func (r *Refusal) Reason() Reason { return r.reason }

// Message returns the explanation for the caller.
func (r *Refusal) Message() string { return r.message }

// RetryAfter returns how long the caller should wait before it retries, or 0 if waiting does not help.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.reason, r.verdict, r.message)
}

// AsRefusal returns the refusal in err's chain. Any other error becomes an internal failure with the verdict MayHaveRun,
// because nothing proves that the request did not run.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Fail(ReasonInternal, err.Error())
}
