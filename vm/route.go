package vm

import (
	"context"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// maxAttempts bounds the attempts at one completion in one data centre.
const maxAttempts = 4

// Complete serves a caller's completion: it admits the request under the customer's contract, serves it in this data centre, or
// forwards it to another one that reports room.
func (v *VM) Complete(ctx context.Context, c *engine.Completion, sink engine.Sink) error {
	v.running.Add(1)
	defer v.running.Add(-1)
	d := v.newDelivery(c, sink)
	w := v.view()
	contract, ok := w.contracts[c.Customer]
	if !ok {
		return v.refused(customer.Refuse(customer.ReasonBadKey, "customer "+c.Customer+" has no contract"))
	}
	if !contract.AllowsModel(c.Model) || !w.hasModel(c.Model) {
		return v.refused(customer.Refuse(customer.ReasonUnknownModel, "model "+c.Model+" is not available under contract "+c.Customer))
	}
	admission, refusal := v.admit(ctx, contract, c.PromptTokens, c.MaxTokens, c.FirstToken)
	if refusal != nil {
		return v.refused(refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	refusal = d.route(ctx)
	usage := d.relay.reported()
	admission.End(time.Now(), usage.PromptTokens+usage.AnswerTokens)
	if refusal != nil {
		return v.refused(explain(ctx, refusal))
	}
	v.estimator.Observe(c.Model, len(c.Prompt), usage.PromptTokens)
	v.retries.Earn(time.Now(), c.Customer)
	return nil
}

// delivery is one completion on its way through this VM.
type delivery struct {
	v       *VM
	c       *engine.Completion
	relay   *relay
	arrived time.Time
	verdict customer.Verdict // covers all attempts so far
	retries int              // further attempts after one that failed at an endpoint
}

func (v *VM) newDelivery(c *engine.Completion, sink engine.Sink) *delivery {
	return &delivery{v: v, c: c, relay: newRelay(sink), arrived: time.Now(), verdict: customer.NotRun}
}

// route serves the completion in this data centre, and in others where this one cannot take it. While no endpoint's owner can give a
// grant, for example during a change of owner, the request waits here as long as its first token can still be in time.
func (d *delivery) route(ctx context.Context) *customer.Refusal {
	for round := 1; ; round++ {
		refusal := d.round(ctx, d.v.view())
		if refusal == nil {
			return nil
		}
		pause := d.v.backoff.Delay(min(round, maxAttempts))
		if refusal.Verdict() != customer.NotRun || !passing(refusal.Reason()) || !canWait(d.c, d.arrived, time.Now().Add(pause)) {
			return refusal
		}
		d.v.counters.retry(string(refusal.Reason()))
		if !sleep(ctx, pause) {
			return refusal
		}
	}
}

// passing says whether a refusal for this reason can pass without any work ending: it belongs to a change of owner.
func passing(reason customer.Reason) bool {
	return reason == customer.ReasonNoOwner || reason == customer.ReasonShare
}

// canWait says whether a completion that starts at t can still have its first token in time.
func canWait(c *engine.Completion, arrived, t time.Time) bool {
	return t.Before(c.Deadline) && (c.FirstToken <= 0 || t.Before(arrived.Add(c.FirstToken)))
}

// round tries this data centre without waiting for cold endpoints or owners, then the other data centres that report room, and
// then waits here.
func (d *delivery) round(ctx context.Context, w *view) *customer.Refusal {
	if w.drained(d.v.dataCentre) {
		return d.spill(ctx, w, customer.Refuse(customer.ReasonDrained, "data centre "+d.v.dataCentre+" is drained"))
	}
	refusal := d.local(ctx, w, false)
	if refusal == nil || !spillable(refusal.Reason()) {
		return refusal
	}
	refusal = d.spill(ctx, w, refusal)
	if refusal == nil || !waitable(refusal.Reason()) || !d.repeatable() || ctx.Err() != nil {
		return refusal
	}
	return d.local(ctx, w, true)
}

// repeatable says whether the completion may be sent once more after what happened so far.
func (d *delivery) repeatable() bool { return d.verdict == customer.NotRun || d.c.Idempotent }

// note adds the outcome of an attempt to the verdict and returns the refusal with the verdict over all attempts.
func (d *delivery) note(err error) *customer.Refusal {
	refusal := customer.AsRefusal(err)
	if refusal.Verdict() == customer.MayHaveRun {
		d.verdict = customer.MayHaveRun
	}
	return withVerdict(refusal, d.verdict)
}

// spill forwards a completion that this data centre refused. It returns the last refusal.
func (d *delivery) spill(ctx context.Context, w *view, refusal *customer.Refusal) *customer.Refusal {
	if !d.repeatable() {
		return refusal
	}
	for _, dc := range spillTargets(refusal.Reason(), w, d.v.node.Sites(), d.c) {
		if ctx.Err() != nil || !d.repeatable() || !d.spend(refusal) {
			break
		}
		sink, attempt, ok := d.relay.begin()
		if !ok {
			break
		}
		d.v.counters.spill(string(refusal.Reason()))
		forwarded := *d.c
		forwarded.ID = attemptID(d.c.ID, attempt)
		err := d.v.node.Complete(ctx, dc, &forwarded, sink)
		if err == nil {
			return nil
		}
		refusal = d.note(err)
	}
	return refusal
}

// spend takes a retry from the budget where the refusal is a failure at an endpoint. A request that no endpoint saw costs nothing.
func (d *delivery) spend(refusal *customer.Refusal) bool {
	if !retryable(refusal) {
		return true
	}
	if d.v.retries.Spend(time.Now(), d.c.Customer) {
		return true
	}
	d.v.counters.refusal(string(customer.ReasonRetryBudget))
	return false
}

// local tries the completion on endpoints of this data centre until one answers it whole. A request that may have run is tried again
// only if it is idempotent. With patience it also waits for cold endpoints and for owners.
func (d *delivery) local(ctx context.Context, w *view, patient bool) *customer.Refusal {
	tried := make(map[string]bool)
	for {
		sink, attempt, ok := d.relay.begin()
		if !ok {
			return customer.Fail(customer.ReasonEndpointFailed, "the answer broke off after part of it was delivered")
		}
		err := d.attempt(ctx, w, attempt, tried, patient, sink)
		if err == nil {
			return nil
		}
		refusal := d.note(err)
		if !retryable(refusal) || !d.repeatable() || d.retries+1 >= maxAttempts || ctx.Err() != nil || !d.spend(refusal) {
			return refusal
		}
		d.v.counters.retry(string(refusal.Reason()))
		if !sleep(ctx, d.v.backoff.Delay(d.retries)) {
			return refusal
		}
		d.retries++
	}
}

// withVerdict returns the refusal with a verdict that covers earlier attempts as well.
func withVerdict(r *customer.Refusal, v customer.Verdict) *customer.Refusal {
	if r.Verdict() == v || v == customer.NotRun {
		return r
	}
	return customer.Fail(r.Reason(), r.Message(), customer.RetryAfter(r.RetryAfter()))
}

// retryable says whether another attempt can help after a failure at an endpoint. Refusals by admission already weighed every
// candidate.
func retryable(r *customer.Refusal) bool {
	switch r.Reason() {
	case customer.ReasonEndpointFailed, customer.ReasonEndpointRefused, customer.ReasonGrantExpired:
		return true
	default:
		return false
	}
}

// attempt chooses an endpoint, gets a grant for it and sends the completion once.
func (d *delivery) attempt(ctx context.Context, w *view, n int, tried map[string]bool, patient bool, sink engine.Sink) error {
	v, c := d.v, d.c
	specs := w.usable(c.Model, tried)
	if len(specs) == 0 {
		return customer.Refuse(customer.ReasonNoEndpoint, "no endpoint of model "+c.Model+" is left to try")
	}
	candidates := v.chooser.Candidates(time.Now(), c, specs)
	if len(candidates) == 0 {
		return customer.Refuse(customer.ReasonMemory, "no endpoint or group of model "+c.Model+" has enough memory for the request")
	}
	p, err := d.acquire(ctx, n, candidates, specs, patient)
	if err != nil {
		return err
	}
	lead := p.members[0].Spec.Name
	v.chooser.Began(lead)
	v.observer.use(p.members[0].Spec)
	defer v.chooser.Ended(lead)
	watch := &firstTokenSink{sink: sink}
	sent := time.Now()
	err = v.engines.StreamGroup(ctx, p.members, c, p.grants, n, watch)
	failed := err != nil && endpointFault(err)
	result := engine.Result{Usage: watch.usage, Failed: failed}
	if !watch.first.IsZero() {
		result.FirstToken = watch.first.Sub(sent)
	}
	v.release(p.grants, result)
	if failed {
		tried[lead] = true
	}
	return err
}

// endpointFault says whether an error speaks against the endpoint rather than against the request or its caller.
func endpointFault(err error) bool {
	switch customer.AsRefusal(err).Reason() {
	case customer.ReasonEndpointFailed, customer.ReasonEndpointRefused:
		return true
	default:
		return false
	}
}

// firstTokenSink notes when the first text arrived and the usage that the end mark reported.
type firstTokenSink struct {
	sink  engine.Sink
	first time.Time
	usage engine.Usage
}

// Chunk implements engine.Sink.
func (s *firstTokenSink) Chunk(c engine.Chunk) error {
	if s.first.IsZero() && c.Text != "" {
		s.first = time.Now()
	}
	if c.End {
		s.usage = c.Usage
	}
	return s.sink.Chunk(c)
}

// explain gives an error the reason of the context's end, where the context ended.
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

func withReason(r *customer.Refusal, reason customer.Reason, message string) *customer.Refusal {
	if r.Verdict() == customer.NotRun {
		return customer.Refuse(reason, message)
	}
	return customer.Fail(reason, message)
}

// refused counts a refusal and returns it.
func (v *VM) refused(r *customer.Refusal) error {
	v.counters.refusal(string(r.Reason()))
	return r
}

// sleep waits for d or the end of ctx and says whether d passed.
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
