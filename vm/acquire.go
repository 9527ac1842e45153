package vm

import (
	"context"
	"strconv"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// allocation is the set of engines on which one attempt runs, with one grant each: a single engine, or the
// members of a group with the lead first.
type allocation struct {
	members []engine.Member
	grants  []engine.Grant
}

// acquire gets the grants for attempt n. It first asks the owner of each candidate for a grant that starts
// immediately. If all refuse, it waits in the queue of the first candidate, which is the best one. With waitAny it
// waits even if the endpoints are cold or have no owner, otherwise only if they lack free capacity. The baseline
// policies send without grants.
func (d *dispatch) acquire(ctx context.Context, n int, candidates, specs []engine.Spec, waitAny bool) (allocation, error) {
	v, c, arrived := d.v, d.c, d.arrived
	if v.policy != engine.PolicyAffinity {
		return v.withoutGrants(c, n, candidates[0]), nil
	}
	var refusal *customer.Refusal
	for i, s := range candidates {
		alloc, err := v.acquireAt(ctx, c, grantID(c.ID, n, i), arrived, s, specs, false)
		if err == nil {
			return alloc, nil
		}
		refusal = betterRefusal(refusal, customer.AsRefusal(err))
	}
	if !waitable(refusal.Reason()) || (!waitAny && !atCapacity(refusal.Reason())) {
		return allocation{}, refusal
	}
	return v.acquireAt(ctx, c, grantID(c.ID, n, len(candidates)), arrived, candidates[0], specs, true)
}

// withoutGrants returns an allocation for a baseline policy, which sends requests regardless of the endpoint's
// load. Its grant comes from no owner and only carries the ID of the attempt.
func (v *VM) withoutGrants(c *engine.Completion, n int, s engine.Spec) allocation {
	g := engine.Grant{ID: attemptID(c.ID, n), Endpoint: s.Name, Holder: v.name, RequestedAt: time.Now()}
	return allocation{members: []engine.Member{{Spec: s, Tokens: c.Tokens()}}, grants: []engine.Grant{g}}
}

// acquireAt gets a grant from each member of the group that runs c under lead. If one is refused, it releases the
// others. The grants are requested in the fixed order of the group. The lead's grant has the given ID.
func (v *VM) acquireAt(ctx context.Context, c *engine.Completion, id string, arrived time.Time, lead engine.Spec, specs []engine.Spec,
	wait bool) (allocation, error) {
	members, ok := engine.PlanGroup(c, lead, specs)
	if !ok {
		return allocation{}, customer.Refuse(customer.ReasonMemory, "endpoint "+lead.Name+" leads no group with enough memory")
	}
	alloc := allocation{members: members}
	for i, m := range members {
		req := m.GrantRequest(v.grantRequest(c, lead, id, arrived))
		if i > 0 {
			req.ID = memberID(req.ID, i)
		}
		if req.StartWithin < 0 {
			v.release(alloc.grants, engine.Result{})
			return allocation{}, customer.Refuse(customer.ReasonDeadline, "endpoint "+lead.Name+" cannot meet the deadline")
		}
		if !wait {
			req.MaxWait = 0
		}
		g, err := v.node.Grant(ctx, m.Spec.Name, req)
		if err != nil {
			v.release(alloc.grants, engine.Result{})
			return allocation{}, err
		}
		alloc.grants = append(alloc.grants, g)
	}
	return alloc, nil
}

// release returns grants to their owners with the result of the attempt.
func (v *VM) release(grants []engine.Grant, r engine.Result) {
	if v.policy != engine.PolicyAffinity {
		return
	}
	for _, g := range grants {
		v.node.Release(g, r)
	}
}

// prefixTokens is the length of the prompt block that the prefix hash covers, in tokens of about 4 bytes.
const prefixTokens = 256

// attemptID returns the ID of one attempt at a request. An engine runs each ID at most once.
func attemptID(request string, attempt int) string { return request + "." + strconv.Itoa(attempt) }

// grantID returns the ID of the grants that an attempt requests in one round; acquire makes one round per
// candidate and one more that waits. Each round needs an ID of its own: a group whose members cannot all start
// releases the grants it already has, and an owner refuses the ID of a released grant.
func grantID(request string, attempt, round int) string {
	id := attemptID(request, attempt)
	if round > 0 {
		id += "-" + strconv.Itoa(round)
	}
	return id
}

// memberID returns the ID of the grant of a group member other than the lead, derived from the lead's grant ID.
func memberID(leadGrantID string, member int) string { return leadGrantID + "." + strconv.Itoa(member) }

// grantRequest returns the request for a grant of engine s to c, which is sent to the engine's owner.
func (v *VM) grantRequest(c *engine.Completion, s engine.Spec, id string, arrived time.Time) engine.GrantRequest {
	now := time.Now()
	cached := 0
	if v.engineSelector.HasPrefix(s.Name, c.Prefix) {
		cached = min(c.PromptTokens, prefixTokens)
	}
	startWithin := startLimit(c, s, cached, now.Sub(arrived), now)
	return engine.GrantRequest{
		ID:           id,
		Holder:       v.name,
		Customer:     c.Customer,
		PromptTokens: c.PromptTokens,
		CachedTokens: cached,
		MaxTokens:    c.MaxTokens,
		Priority:     c.Priority,
		Weight:       v.weight(c.Customer),
		StartWithin:  startWithin,
		MaxWait:      startWithin,
	}
}

// waitable reports whether waiting in an owner's queue can help after a refusal for this reason.
func waitable(r customer.Reason) bool {
	return atCapacity(r) || r == customer.ReasonCold || r == customer.ReasonShare || r == customer.ReasonNoOwner
}

// atCapacity reports whether a refusal for this reason means that running requests occupy the endpoint's capacity.
func atCapacity(r customer.Reason) bool {
	return r == customer.ReasonQueueFull || r == customer.ReasonMemory
}

// betterRefusal returns b if a is nil, or if waiting can help after b but not after a, and a otherwise.
func betterRefusal(a, b *customer.Refusal) *customer.Refusal {
	if a == nil || (waitable(b.Reason()) && !waitable(a.Reason())) {
		return b
	}
	return a
}
