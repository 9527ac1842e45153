package vm

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/oplog"
	"goldcrestpath/service"
)

// headerReplayed marks a response that was recorded for an earlier request with the same idempotency key.
const headerReplayed = "Goldcrest-Replayed"

// Call serves a call of a plain service. A call that is not idempotent runs at most once. With an idempotency
// key, this holds for all calls with the key on all VMs and in all data centres.
func (v *VM) Call(ctx context.Context, r *service.Request) (*service.Response, error) {
	v.running.Add(1)
	defer v.running.Add(-1)
	w := v.view()
	contract, ok := w.contracts[r.Customer]
	if !ok {
		return nil, v.refused(customer.Refuse(customer.ReasonBadKey, "customer "+r.Customer+" has no contract"))
	}
	spec, known := w.service(r.Service)
	if !known || !contract.AllowsService(r.Service) {
		return nil, v.refused(customer.Refuse(customer.ReasonUnknownService, "service "+r.Service+" is not available under contract "+r.Customer))
	}
	admission, refusal := v.admit(ctx, contract, 0, 0, time.Until(r.Deadline))
	if refusal != nil {
		return nil, v.refused(refusal)
	}
	defer func() { admission.End(time.Now(), 0) }()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()

	var resp *service.Response
	var err error
	if r.IdempotencyKey != "" && !service.MayRetry(spec, r) {
		resp, err = v.callOnce(ctx, w, r)
	} else {
		resp, err = v.callAnyDataCentre(ctx, w, r)
	}
	if err != nil {
		return nil, v.refused(explain(ctx, err))
	}
	return resp, nil
}

// callOnce sends a call with an idempotency key if its claim on the key is the first one in the log. Other
// calls with the same key get the response that is recorded for the first one.
func (v *VM) callOnce(ctx context.Context, w *view, r *service.Request) (*service.Response, error) {
	key := claimKey(r)
	result, err := v.store.Claim(ctx, oplog.Claim{Key: key, Digest: callDigest(r), Holder: v.name})
	if err != nil {
		return nil, err
	}
	switch result := result.(type) {
	case oplog.ClaimWon:
		return v.callClaimed(ctx, w, r, key)
	case oplog.ClaimDone:
		return replay(result.Outcome), nil
	case oplog.ClaimMismatch:
		return nil, customer.Refuse(customer.ReasonKeyReused, "the idempotency key was used with a different request")
	default:
		return v.awaitOutcome(ctx, key)
	}
}

// callClaimed sends the call that won the claim and records its outcome. If the call certainly did not run, it
// releases the key, so that the call can be repeated.
func (v *VM) callClaimed(ctx context.Context, w *view, r *service.Request, key string) (*service.Response, error) {
	resp, err := v.callAnyDataCentre(ctx, w, r)
	if err != nil {
		if customer.AsRefusal(err).Verdict() == customer.NotRun {
			v.background(func(ctx context.Context) { v.warn("release idempotency key", v.store.Release(ctx, key)) })
		}
		return nil, err
	}
	v.recordOutcome(key, outcomeOf(resp))
	return resp, nil
}

// outcomeTimeout bounds how long recording an outcome may take once the response is known.
const outcomeTimeout = 30 * time.Second

// recordOutcome writes an outcome to the log in the background, so that a slow log does not delay the response.
// If the write fails, later calls with the key are told that the first one may have run.
func (v *VM) recordOutcome(key string, o oplog.Outcome) {
	v.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
		defer cancel()
		if err := v.store.Complete(ctx, key, o); err != nil {
			v.counters.add("outcome.unrecorded")
			v.logger.WithError(err).Warn("call: outcome was not recorded")
		}
	})
}

// awaitOutcome waits until the outcome of the call that won the claim on the key is recorded.
func (v *VM) awaitOutcome(ctx context.Context, key string) (*service.Response, error) {
	o, ok := v.store.AwaitOutcome(ctx, key)
	if !ok {
		return nil, customer.Fail(customer.ReasonClaimed, "another request holds this idempotency key and has no known outcome")
	}
	return replay(o), nil
}

// callAnyDataCentre calls an instance of the service in this data centre, or in another one if that fails and
// the call has not run.
func (v *VM) callAnyDataCentre(ctx context.Context, w *view, r *service.Request) (*service.Response, error) {
	var refusal *customer.Refusal
	if w.drained(v.dataCentre) {
		refusal = customer.Refuse(customer.ReasonDrained, "data centre "+v.dataCentre+" is drained")
	} else {
		resp, err := v.callLocal(ctx, w, r)
		if err == nil {
			return resp, nil
		}
		refusal = customer.AsRefusal(err)
	}
	for _, dc := range v.node.DataCentres() {
		if refusal.Verdict() != customer.NotRun || ctx.Err() != nil {
			break
		}
		if !dc.Reachable || w.drained(dc.DataCentre) || !w.offersService(dc.DataCentre, r.Service) {
			continue
		}
		v.counters.spillover(string(refusal.Reason()))
		resp, err := v.node.Call(ctx, dc.DataCentre, r)
		if err == nil {
			return resp, nil
		}
		refusal = customer.AsRefusal(err)
	}
	return nil, refusal
}

// callLocal calls instances of the service in this data centre. A call that may have run is retried only if it
// is idempotent.
func (v *VM) callLocal(ctx context.Context, w *view, r *service.Request) (*service.Response, error) {
	tried := make(map[string]bool)
	verdict := customer.NotRun
	refusal := customer.Refuse(customer.ReasonNoEndpoint, "no instance of service "+r.Service+" is free")
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		specs := w.instancesOf(r.Service, tried)
		if len(specs) == 0 {
			break
		}
		selection, full := v.serviceSelector.Select(time.Now(), specs)
		if full != nil {
			refusal = withVerdict(full, verdict)
			break
		}
		spec := selection.Spec
		resp, err := v.services.Do(ctx, spec, r)
		selection.End(time.Now(), err != nil && endpointFault(err))
		if err == nil {
			return resp, nil
		}
		refusal = customer.AsRefusal(err)
		if refusal.Verdict() == customer.MayHaveRun {
			verdict = customer.MayHaveRun
		}
		refusal = withVerdict(refusal, verdict)
		tried[spec.Name] = true
		if !retryable(refusal) || (verdict == customer.MayHaveRun && !service.MayRetry(spec, r)) || ctx.Err() != nil {
			break
		}
		if !v.retries.Spend(time.Now(), r.Customer) {
			v.counters.refusal(string(customer.ReasonRetryBudget))
			break
		}
		v.counters.retry(string(refusal.Reason()))
	}
	return nil, refusal
}

// claimKey returns the key under which the claim is stored in the log. It includes the customer and the
// service, so that equal idempotency keys of different customers or services do not collide.
func claimKey(r *service.Request) string {
	return strings.Join([]string{r.Customer, r.Service, r.IdempotencyKey}, "/")
}

// callDigest returns a hash of the call, which distinguishes calls that use the same idempotency key for
// different contents.
func callDigest(r *service.Request) string {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// outcomeOf returns the outcome to record for a response.
func outcomeOf(resp *service.Response) oplog.Outcome {
	o := oplog.Outcome{Status: resp.Status, Body: resp.Body}
	for _, h := range resp.Headers {
		o.Headers = append(o.Headers, oplog.Header{Name: h.Name, Value: h.Value})
	}
	return o
}

// replay returns the response for a recorded outcome, marked with headerReplayed.
func replay(o oplog.Outcome) *service.Response {
	resp := &service.Response{Status: o.Status, Body: o.Body}
	for _, h := range o.Headers {
		resp.Headers = append(resp.Headers, service.Header{Name: h.Name, Value: h.Value})
	}
	resp.Headers = append(resp.Headers, service.Header{Name: headerReplayed, Value: "true"})
	return resp
}
