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
	arrived := time.Now()
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
	r := newRelay(sink)
	err := v.route(ctx, c, arrived, r)
	_, usage, _ := r.outcome()
	admission.End(time.Now(), usage.PromptTokens+usage.AnswerTokens)
	if err != nil {
		return v.refused(explain(ctx, err))
	}
	v.estimator.Observe(c.Model, len(c.Prompt), usage.PromptTokens)
	v.retries.Earn(time.Now(), c.Customer)
	return nil
}

// route serves a completion in this data centre, and in others where this one cannot take it. While no endpoint's owner can give a
// grant, for example during a change of owner, the request waits here as long as its first token can still be in time.
func (v *VM) route(ctx context.Context, c *engine.Completion, arrived time.Time, r *relay) error {
	for round := 1; ; round++ {
		refusal := v.routeOnce(ctx, v.view(), c, arrived, r)
		if refusal == nil {
			return nil
		}
		pause := v.backoff.Delay(min(round, maxAttempts))
		if refusal.Verdict() != customer.NotRun || !passing(refusal.Reason()) || !canWait(c, arrived, time.Now().Add(pause)) {
			return refusal
		}
		v.counters.retry(string(refusal.Reason()))
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

// routeOnce tries this data centre and then the others that report room.
func (v *VM) routeOnce(ctx context.Context, w *view, c *engine.Completion, arrived time.Time, r *relay) *customer.Refusal {
	var refusal *customer.Refusal
	if w.drained(v.dataCentre) {
		refusal = customer.Refuse(customer.ReasonDrained, "data centre "+v.dataCentre+" is drained")
	} else {
		err := v.attempts(ctx, w, c, arrived, r)
		if err == nil {
			return nil
		}
		refusal = customer.AsRefusal(err)
	}
	for _, dc := range spillTargets(refusal, w, v.node.Sites(), c) {
		if ctx.Err() != nil {
			break
		}
		sink, attempt, ok := r.begin()
		if !ok {
			break
		}
		v.counters.spill(string(refusal.Reason()))
		v.logger.WithField("requestID", c.ID).WithField("attempt", attempt).Debugf("vm: request forwarded to data centre %s", dc)
		err := v.node.Complete(ctx, dc, c, sink)
		if err == nil {
			return nil
		}
		refusal = customer.AsRefusal(err)
		if refusal.Verdict() != customer.NotRun {
			break
		}
	}
	return refusal
}

// attempts tries a completion on endpoints of this data centre until one answers it whole. A request that may have run is tried
// again only if it is idempotent.
func (v *VM) attempts(ctx context.Context, w *view, c *engine.Completion, arrived time.Time, r *relay) error {
	tried := make(map[string]bool)
	verdict := customer.NotRun
	for {
		sink, attempt, ok := r.begin()
		if !ok {
			return customer.Fail(customer.ReasonEndpointFailed, "the answer broke off after part of it was delivered")
		}
		err := v.attempt(ctx, w, c, attempt, arrived, tried, sink)
		if err == nil {
			return nil
		}
		refusal := customer.AsRefusal(err)
		if refusal.Verdict() == customer.MayHaveRun {
			verdict = customer.MayHaveRun
		}
		refusal = withVerdict(refusal, verdict)
		if !retryable(refusal) || (verdict == customer.MayHaveRun && !c.Idempotent) || attempt >= maxAttempts || ctx.Err() != nil {
			return refusal
		}
		if !v.retries.Spend(time.Now(), c.Customer) {
			v.counters.refusal(string(customer.ReasonRetryBudget))
			return refusal
		}
		v.counters.retry(string(refusal.Reason()))
		if !sleep(ctx, v.backoff.Delay(attempt)) {
			return refusal
		}
	}
}

// withVerdict returns the refusal with a verdict that covers earlier attempts as well.
func withVerdict(r *customer.Refusal, v customer.Verdict) *customer.Refusal {
	if r.Verdict() == v || v == customer.NotRun {
		return r
	}
	return customer.Fail(r.Reason(), r.Message(), customer.RetryAfter(r.RetryAfter()))
}

// retryable says whether another attempt in this data centre can help. Refusals by admission already weighed every candidate.
func retryable(r *customer.Refusal) bool {
	switch r.Reason() {
	case customer.ReasonEndpointFailed, customer.ReasonEndpointRefused, customer.ReasonGrantExpired:
		return true
	default:
		return false
	}
}

// attempt chooses an endpoint, gets a grant for it and sends the completion once.
func (v *VM) attempt(ctx context.Context, w *view, c *engine.Completion, n int, arrived time.Time, tried map[string]bool,
	sink engine.Sink) error {
	specs := w.usable(c.Model, tried)
	if len(specs) == 0 {
		return customer.Refuse(customer.ReasonNoEndpoint, "no endpoint of model "+c.Model+" is left to try")
	}
	candidates := v.chooser.Candidates(time.Now(), c, specs)
	if len(candidates) == 0 {
		return customer.Refuse(customer.ReasonMemory, "no endpoint or group of model "+c.Model+" has enough memory for the request")
	}
	p, err := v.acquire(ctx, c, n, arrived, candidates, specs)
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
