package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/operator"
)

// lateBodyTimeout limits how long a caller may take to send the rest of a request's body after the handler's last answers are due.
const lateBodyTimeout = 100 * time.Millisecond

// errStopping is the cause with which requests are cancelled that are still in progress when their answers are due.
var errStopping = errors.New("the VM is stopping")

// stop is the state of a graceful stop.
type stop struct {
	begun    chan struct{} // closed when the stop begins, after answerBy was set
	answerBy time.Time
	due      context.Context // ends at answerBy
	end      context.CancelCauseFunc
}

func newStop() *stop {
	s := &stop{begun: make(chan struct{})}
	s.due, s.end = context.WithCancelCause(context.Background())
	return s
}

// Stop prepares the handler for the end of the process. Requests are still accepted, but one that is not expected to be answered by
// answerBy is refused instead of sent. Those that are in progress at answerBy get a final answer: a refusal if they certainly did not
// run, otherwise a failure. A stream that has begun is broken off. Stop must be called at most once.
func (h *Handler) Stop(answerBy time.Time) {
	h.stop.answerBy = answerBy
	close(h.stop.begun)
	time.AfterFunc(time.Until(answerBy), func() {
		if n := h.Running(); n > 0 {
			h.logger.WithField("running", n).Info("forward: stopping; requests in progress are cancelled")
		}
		h.stop.end(errStopping)
	})
}

// refuseStopping returns the refusal of a request that did not run.
func refuseStopping() *customer.Refusal {
	return customer.Refuse(customer.ReasonNotReady, errStopping.Error(), customer.RetryAfter(retryRefused))
}

// checkStop refuses the request if the VM is stopping and the answer is expected only after it is due. ttft is the predicted TTFT if it
// is known, otherwise 0. A stream that the caller has begun to receive continues as long as possible.
func (q *request) checkStop(now time.Time, ttft time.Duration) *customer.Refusal {
	select {
	case <-q.h.stop.begun:
	default:
		return nil
	}
	if q.started || !now.Add(q.answerTime(now, ttft)).After(q.h.stop.answerBy) {
		return nil
	}
	return refuseStopping()
}

// answerTime returns how long the answer may take if the request is sent now: for a request that must not be repeated, the time to its
// deadline; for others, a prediction.
func (q *request) answerTime(now time.Time, ttft time.Duration) time.Duration {
	longest := maxRequestTime
	if !q.deadline.IsZero() {
		longest = q.remaining(now)
	}
	switch q.route.Kind {
	case operator.Idempotent:
		return min(longest, q.attemptTime())
	case operator.ResumableStream:
		if s := q.table.Services()[q.service]; s != nil && s.Engine != nil {
			return min(longest, ttft+s.Engine.GenerationTime(q.call.OutputTokens))
		}
	}
	return longest
}

// limitBody makes the body of a request that is being received fail soon after the answers are due. The returned function ends that.
func (h *Handler) limitBody(b *bodyReader) (end func() bool) {
	return context.AfterFunc(h.stop.due, func() { b.cutAt(time.Now().Add(lateBodyTimeout)) })
}
