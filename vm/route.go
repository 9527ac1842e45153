package vm

import (
	"context"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// maxAttempts bounds the number of attempts at one completion in one data centre.
const maxAttempts = 4

// Complete serves a caller's completion. It admits the request under the customer's contract and serves it in
// this data centre or forwards it to another one that reports spare capacity.
func (v *VM) Complete(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
	v.running.Add(1)
	defer v.running.Add(-1)
	d := v.newDispatch(c, sink)
	w := v.view()
	contract, ok := w.contracts[c.Customer]
	if !ok {
		return v.refused(customer.Refuse(customer.ReasonBadKey, "customer "+c.Customer+" has no contract"))
	}
	if !contract.AllowsModel(c.Model) || !w.hasModel(c.Model) {
		return v.refused(customer.Refuse(customer.ReasonUnknownModel, "model "+c.Model+" is not available under contract "+c.Customer))
	}
	admission, refusal := v.admit(ctx, contract, c.PromptTokens, c.MaxTokens, c.TTFTTarget)
	if refusal != nil {
		return v.refused(refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	refusal = d.route(ctx)
	usage := d.relay.reportedUsage()
	admission.End(time.Now(), usage.PromptTokens+usage.AnswerTokens)
	if refusal != nil {
		return v.refused(explain(ctx, refusal))
	}
	v.estimator.Observe(c.Model, len(c.Prompt), usage.PromptTokens)
	v.retries.Earn(time.Now(), c.Customer)
	return nil
}

// dispatch is the state of one completion while this VM routes it.
type dispatch struct {
	v       *VM
	c       *engine.Completion
	relay   *relay
	arrived time.Time
	verdict customer.Verdict // MayHaveRun once any attempt may have run
	retries int              // attempts in this data centre after a failure at an endpoint
}

func (v *VM) newDispatch(c *engine.Completion, sink engine.Sink) *dispatch {
	return &dispatch{v: v, c: c, relay: newRelay(sink), arrived: time.Now(), verdict: customer.NotRun}
}

// route serves the completion in this data centre, or in another one if this data centre cannot serve it. It
// repeats rounds with a backoff as long as the refusal is transient, nothing has run, and the TTFT target and the
// deadline can still be met.
func (d *dispatch) route(ctx context.Context) *customer.Refusal {
	for round := 1; ; round++ {
		refusal := d.round(ctx, d.v.view())
		if refusal == nil {
			return nil
		}
		pause := d.v.backoff.Delay(min(round, maxAttempts))
		if refusal.Verdict() != customer.NotRun || !transient(refusal.Reason()) || !canStartAt(d.c, d.arrived, time.Now().Add(pause)) {
			return refusal
		}
		d.v.counters.retry(string(refusal.Reason()))
		if !sleep(ctx, pause) {
			return refusal
		}
	}
}

// transient reports whether a refusal for this reason is due to a change of the endpoint's owner. The change
// completes by itself, even if no running request ends.
func transient(reason customer.Reason) bool {
	return reason == customer.ReasonNoOwner || reason == customer.ReasonShare
}

// canStartAt reports whether a completion that starts at t can still meet its TTFT target and its deadline.
func canStartAt(c *engine.Completion, arrived, t time.Time) bool {
	return t.Before(c.Deadline) && (c.TTFTTarget <= 0 || t.Before(arrived.Add(c.TTFTTarget)))
}

// round tries the data centres once. It first tries this one without waiting for cold endpoints or owners, then the
// others that report spare capacity, and finally this one again with waiting.
func (d *dispatch) round(ctx context.Context, w *view) *customer.Refusal {
	if w.drained(d.v.dataCentre) {
		return d.spillOver(ctx, w, customer.Refuse(customer.ReasonDrained, "data centre "+d.v.dataCentre+" is drained"))
	}
	refusal := d.tryLocal(ctx, w, false)
	if refusal == nil || !canSpillOver(refusal.Reason()) {
		return refusal
	}
	refusal = d.spillOver(ctx, w, refusal)
	if refusal == nil || !waitable(refusal.Reason()) || !d.repeatable() || ctx.Err() != nil {
		return refusal
	}
	return d.tryLocal(ctx, w, true)
}

// repeatable reports whether the completion may be sent again after the attempts so far.
func (d *dispatch) repeatable() bool { return d.verdict == customer.NotRun || d.c.Idempotent }

// recordFailure adds the verdict of a failed attempt to the verdict over all attempts. It returns the failure as a
// refusal with the latter.
func (d *dispatch) recordFailure(err error) *customer.Refusal {
	refusal := customer.AsRefusal(err)
	if refusal.Verdict() == customer.MayHaveRun {
		d.verdict = customer.MayHaveRun
	}
	return withVerdict(refusal, d.verdict)
}

// spillOver forwards a completion that this data centre refused to other data centres. It returns nil if one of
// them served it, and the last refusal otherwise.
func (d *dispatch) spillOver(ctx context.Context, w *view, refusal *customer.Refusal) *customer.Refusal {
	if !d.repeatable() {
		return refusal
	}
	for _, dc := range spilloverTargets(refusal.Reason(), w, d.v.node.DataCentres(), d.c) {
		if ctx.Err() != nil || !d.repeatable() || !d.spendRetry(refusal) {
			break
		}
		sink, attempt, ok := d.relay.begin()
		if !ok {
			break
		}
		d.v.counters.spillover(string(refusal.Reason()))
		forwarded := *d.c
		forwarded.ID = attemptID(d.c.ID, attempt)
		err := d.v.node.Complete(ctx, dc, &forwarded, sink)
		if err == nil {
			return nil
		}
		refusal = d.recordFailure(err)
	}
	return refusal
}

// spendRetry reports whether the retry budget permits another attempt. If the refusal is a failure at an endpoint,
// it takes one retry from the budget. Retrying a request that no endpoint has received needs no budget.
func (d *dispatch) spendRetry(refusal *customer.Refusal) bool {
	if !retryable(refusal) {
		return true
	}
	if d.v.retries.Spend(time.Now(), d.c.Customer) {
		return true
	}
	d.v.counters.refusal(string(customer.ReasonRetryBudget))
	return false
}

// tryLocal tries the completion on endpoints of this data centre until one answers it completely. A request
// that may have run is retried only if it is idempotent. With waitAny it also waits for endpoints that are cold or
// have no owner.
func (d *dispatch) tryLocal(ctx context.Context, w *view, waitAny bool) *customer.Refusal {
	tried := make(map[string]bool)
	var last *customer.Refusal // failure of the previous attempt
	for {
		sink, attempt, ok := d.relay.begin()
		if !ok {
			message := "the answer was interrupted after part of it was delivered"
			if last != nil {
				message += ": " + last.Message()
			}
			return customer.Fail(customer.ReasonEndpointFailed, message)
		}
		err := d.attempt(ctx, w, attempt, tried, waitAny, sink)
		if err == nil {
			return nil
		}
		refusal := d.recordFailure(err)
		last = refusal
		if !retryable(refusal) || !d.repeatable() || d.retries+1 >= maxAttempts || ctx.Err() != nil || !d.spendRetry(refusal) {
			return refusal
		}
		d.v.counters.retry(string(refusal.Reason()))
		if !sleep(ctx, d.v.backoff.Delay(d.retries)) {
			return refusal
		}
		d.retries++
	}
}

// withVerdict returns r with verdict v, the verdict over all attempts, if an attempt may have run.
func withVerdict(r *customer.Refusal, v customer.Verdict) *customer.Refusal {
	if r.Verdict() == v || v == customer.NotRun {
		return r
	}
	return customer.Fail(r.Reason(), r.Message(), customer.RetryAfter(r.RetryAfter()))
}

// retryable reports whether r is a failure at an endpoint after which another attempt can help. It is false for
// other refusals, such as refused grants, because acquire has already tried every candidate.
func retryable(r *customer.Refusal) bool {
	switch r.Reason() {
	case customer.ReasonEndpointFailed, customer.ReasonEndpointRefused, customer.ReasonGrantExpired:
		return true
	default:
		return false
	}
}

// attempt selects an endpoint or a group that is not in tried, gets the grants and sends the completion once. An
// endpoint at fault is added to tried.
func (d *dispatch) attempt(ctx context.Context, w *view, n int, tried map[string]bool, waitAny bool, sink engine.Sink) error {
	v, c := d.v, d.c
	specs := w.enginesOf(c.Model, tried)
	if len(specs) == 0 {
		return customer.Refuse(customer.ReasonNoEndpoint, "no endpoint of model "+c.Model+" is left to try")
	}
	candidates := v.engineSelector.Candidates(time.Now(), c, specs)
	if len(candidates) == 0 {
		return customer.Refuse(customer.ReasonMemory, "no endpoint or group of model "+c.Model+" has enough memory for the request")
	}
	alloc, err := d.acquire(ctx, n, candidates, specs, waitAny)
	if err != nil {
		return err
	}
	lead := alloc.members[0].Spec.Name
	v.engineSelector.RequestStarted(lead)
	v.observer.markUsed(alloc.members[0].Spec)
	defer v.engineSelector.RequestEnded(lead)
	recorder := &firstTokenRecorder{sink: sink}
	sent := time.Now()
	err = v.engines.StreamGroup(ctx, alloc.members, c, alloc.grants, n, recorder)
	failed := err != nil && endpointFault(err)
	result := engine.Result{Usage: recorder.usage, Failed: failed}
	if !recorder.first.IsZero() {
		result.TTFT = recorder.first.Sub(sent)
	}
	v.release(alloc.grants, result)
	if failed {
		tried[lead] = true
	}
	return err
}

// endpointFault reports whether an error is the fault of the endpoint rather than of the request or the caller.
func endpointFault(err error) bool {
	switch customer.AsRefusal(err).Reason() {
	case customer.ReasonEndpointFailed, customer.ReasonEndpointRefused:
		return true
	default:
		return false
	}
}

// firstTokenRecorder records the arrival time of the first text and the usage reported with the end mark.
type firstTokenRecorder struct {
	sink  engine.Sink
	first time.Time
	usage engine.Usage
}

// Chunk implements engine.Sink.
func (r *firstTokenRecorder) Chunk(c engine.Chunk) error {
	if r.first.IsZero() && c.Text != "" {
		r.first = time.Now()
	}
	if c.End {
		r.usage = c.Usage
	}
	return r.sink.Chunk(c)
}

// explain returns err as a refusal. If ctx has ended, the refusal names the cause: the deadline or the caller's
// disconnect.
func explain(ctx context.Context, err error) *customer.Refusal {
	refusal := customer.AsRefusal(err)
	switch {
	case ctx.Err() == nil || refusal.Reason() == customer.ReasonDeadline || refusal.Reason() == customer.ReasonCallerGone:
		return refusal
	case ctx.Err() == context.DeadlineExceeded:
		return withReason(refusal, customer.ReasonDeadline, "the deadline has passed")
	default:
		return withReason(refusal, customer.ReasonCallerGone, "the caller has closed its connection")
	}
}

// withReason returns a refusal with another reason and message, but with the same verdict as r.
func withReason(r *customer.Refusal, reason customer.Reason, message string) *customer.Refusal {
	if r.Verdict() == customer.NotRun {
		return customer.Refuse(reason, message)
	}
	return customer.Fail(reason, message)
}

// refused counts a refusal and returns it as an error.
func (v *VM) refused(r *customer.Refusal) error {
	v.counters.refusal(string(r.Reason()))
	return r
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
