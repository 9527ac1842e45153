package vm

import (
	"context"
	"strconv"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// placement is where one attempt runs: one engine, or the members of a group with the lead first. Each member has its grant.
type placement struct {
	members []engine.Member
	grants  []engine.Grant
}

// acquire gets the grants for one attempt. It asks each candidate's owner for an immediate start and then waits in the queue of the
// best one. Without patience it waits only for room, not for cold endpoints or owners. The baseline policies send without grants.
func (d *delivery) acquire(ctx context.Context, n int, candidates, specs []engine.Spec, patient bool) (placement, error) {
	v, c, arrived := d.v, d.c, d.arrived
	if v.policy != engine.PolicyAffinity {
		return v.ungranted(c, n, candidates[0]), nil
	}
	var refusal *customer.Refusal
	for i, s := range candidates {
		p, err := v.acquireAt(ctx, c, roundID(c.ID, n, i), arrived, s, specs, false)
		if err == nil {
			return p, nil
		}
		refusal = betterRefusal(refusal, customer.AsRefusal(err))
	}
	if !waitable(refusal.Reason()) || (!patient && !full(refusal.Reason())) {
		return placement{}, refusal
	}
	return v.acquireAt(ctx, c, roundID(c.ID, n, len(candidates)), arrived, candidates[0], specs, true)
}

// ungranted returns a placement for a baseline policy, which sends whatever the endpoint's load is.
func (v *VM) ungranted(c *engine.Completion, n int, s engine.Spec) placement {
	g := engine.Grant{ID: attemptID(c.ID, n), Endpoint: s.Name, Holder: v.place, Asked: time.Now()}
	return placement{members: []engine.Member{{Spec: s, Tokens: c.Tokens()}}, grants: []engine.Grant{g}}
}

// acquireAt gets the grants of the members that hold c under lead, all or none, in the group's fixed order. The lead's grant has
// the given ID.
func (v *VM) acquireAt(ctx context.Context, c *engine.Completion, id string, arrived time.Time, lead engine.Spec, specs []engine.Spec,
	wait bool) (placement, error) {
	members, ok := engine.PlanGroup(c, lead, specs)
	if !ok {
		return placement{}, customer.Refuse(customer.ReasonMemory, "endpoint "+lead.Name+" leads no group with enough memory")
	}
	p := placement{members: members}
	for i, m := range members {
		d := m.Demand(v.demand(c, lead, id, arrived))
		if i > 0 {
			d.ID = memberID(d.ID, i)
		}
		if d.Slack < 0 {
			v.release(p.grants, engine.Result{})
			return placement{}, customer.Refuse(customer.ReasonDeadline, "endpoint "+lead.Name+" cannot meet the deadline")
		}
		if !wait {
			d.MaxWait = 0
		}
		g, err := v.node.Grant(ctx, m.Spec.Name, d)
		if err != nil {
			v.release(p.grants, engine.Result{})
			return placement{}, err
		}
		p.grants = append(p.grants, g)
	}
	return p, nil
}

// release gives grants back to their owners with the result of the attempt.
func (v *VM) release(grants []engine.Grant, r engine.Result) {
	if v.policy != engine.PolicyAffinity {
		return
	}
	for _, g := range grants {
		v.node.Release(g, r)
	}
}

// prefixTokens is the length of the block that the prefix hash covers, in tokens of about 4 bytes.
const prefixTokens = 256

// attemptID returns the ID of one attempt at a request. An engine runs each ID once.
func attemptID(request string, attempt int) string { return request + "." + strconv.Itoa(attempt) }

// roundID returns the ID of the grants that one attempt asks for in one round. A group whose members cannot all start frees the grants
// that it already has, and an owner refuses an ID that was freed, so that each round has its own.
func roundID(request string, attempt, round int) string {
	id := attemptID(request, attempt)
	if round > 0 {
		id += "-" + strconv.Itoa(round)
	}
	return id
}

// memberID returns the ID of the reservation of a group's further member.
func memberID(attempt string, member int) string { return attempt + "." + strconv.Itoa(member) }

func (v *VM) demand(c *engine.Completion, s engine.Spec, id string, arrived time.Time) engine.Demand {
	now := time.Now()
	cached := 0
	if v.chooser.Cached(s.Name, c.Prefix) {
		cached = min(c.PromptTokens, prefixTokens)
	}
	slack := startSlack(c, s, cached, now.Sub(arrived), now)
	return engine.Demand{
		ID:           id,
		Holder:       v.place,
		Customer:     c.Customer,
		PromptTokens: c.PromptTokens,
		CachedTokens: cached,
		MaxTokens:    c.MaxTokens,
		Priority:     c.Priority,
		Weight:       v.weight(c.Customer),
		Slack:        slack,
		MaxWait:      slack,
	}
}

// waitable says whether waiting in an owner's queue can help after a refusal for this reason.
func waitable(r customer.Reason) bool {
	return full(r) || r == customer.ReasonCold || r == customer.ReasonShare || r == customer.ReasonNoOwner
}

// full says whether a refusal for this reason means that running work takes the room.
func full(r customer.Reason) bool { return r == customer.ReasonQueueFull || r == customer.ReasonMemory }

// betterRefusal returns the refusal that tells more: one that waiting may resolve goes before the others.
func betterRefusal(a, b *customer.Refusal) *customer.Refusal {
	if a == nil || (waitable(b.Reason()) && !waitable(a.Reason())) {
		return b
	}
	return a
}
