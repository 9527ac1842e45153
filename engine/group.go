package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"goldcrestpath/customer"
)

// Pauses before a reservation is freed again. A reservation whose answer was lost may reach the engine after the first
// try, at the latest when its call has timed out.
var freePauses = []time.Duration{500 * time.Millisecond, callTimeout, 2 * callTimeout}

// Member is one engine of a group and the memory that a completion takes there.
type Member struct {
	Spec   Spec
	Tokens int
}

// Demand returns the part of d that concerns the member. Each member's owner is asked for it under the same ID.
func (m Member) Demand(d Demand) Demand {
	d.MaxTokens = min(d.MaxTokens, m.Tokens)
	d.PromptTokens = m.Tokens - d.MaxTokens
	d.CachedTokens = 0
	return d
}

// groupOf returns the members of s's group that serve the same model in the same data centre, in their fixed order. All
// VMs reserve in this order, so that of two prompts that compete for a group the one that is first at the first member
// gets it.
func groupOf(s Spec, specs []Spec) []Spec {
	var group []Spec
	for _, m := range specs {
		if s.Group != "" && m.Group == s.Group && m.Model == s.Model && m.DataCentre == s.DataCentre {
			group = append(group, m)
		}
	}
	slices.SortFunc(group, func(a, b Spec) int { return cmp.Compare(a.Name, b.Name) })
	return group
}

// leadsGroup says whether s is the first member of a group of several engines.
func leadsGroup(s Spec, specs []Spec) bool {
	group := groupOf(s, specs)
	return len(group) > 1 && group[0].Name == s.Name
}

// PlanGroup returns the members that hold r together, lead first, and how much memory each one gives. The memory is split
// in proportion to the members' sizes, so that none is filled while another has room. A completion that fits on lead alone
// needs no group and gets one member. ok is false where lead leads no group with enough memory.
func PlanGroup(r *Completion, lead Spec, specs []Spec) (members []Member, ok bool) {
	need := r.Tokens()
	if need <= lead.KVTokens {
		return []Member{{Spec: lead, Tokens: need}}, true
	}
	group := groupOf(lead, specs)
	if len(group) < 2 || group[0].Name != lead.Name {
		return nil, false
	}
	total := 0
	for _, s := range group {
		total += s.KVTokens
	}
	if need > total {
		return nil, false
	}
	rest := need
	for i, s := range group {
		// Rounding up keeps the last member's part within its size.
		part := min(rest, (need*s.KVTokens+total-1)/total)
		if i == len(group)-1 {
			part = rest
		}
		if rest -= part; part == 0 {
			break
		}
		members = append(members, Member{Spec: s, Tokens: part})
	}
	return members, true
}

// StreamGroup is Stream for a completion that members hold together. grants[i] is the grant for members[i]; all have the
// same ID. The further members' memory is reserved in order, all or nothing, before the completion is sent to the first
// one. It is freed on every exit.
func (c *Client) StreamGroup(ctx context.Context, members []Member, r *Completion, grants []Grant, attempt int, sink Sink) error {
	if len(members) == 0 || len(members) != len(grants) {
		return customer.Refuse(customer.ReasonInternal, "a group needs one grant for each member")
	}
	further := 0
	for i, m := range members[1:] {
		g := grants[i+1]
		err := c.valid(g)
		if err == nil {
			err = c.Reserve(ctx, m.Spec, g.ID, g.Holder, m.Tokens)
		}
		if err != nil {
			refusal := customer.AsRefusal(err)
			if refusal.Verdict() == customer.MayHaveRun {
				// Whether this member holds the memory is unknown. The completion itself was not sent.
				c.free(ctx, m.Spec, g.ID, true)
			}
			return customer.Refuse(refusal.Reason(), refusal.Message())
		}
		defer c.free(ctx, m.Spec, g.ID, false)
		further += m.Tokens
	}
	return c.stream(ctx, members[0].Spec, r, grants[0], attempt, further, sink)
}

// free frees a reservation. A failed try is repeated in the background a few times, and so is one for a reservation that
// may still be on its way.
func (c *Client) free(ctx context.Context, s Spec, id string, unknown bool) {
	ctx = context.WithoutCancel(ctx)
	if c.cancelAfter(ctx, s, id) == nil && !unknown {
		return
	}
	c.freeing.Go(func() {
		for _, pause := range freePauses {
			if !sleep(c.ctx, pause) {
				return
			}
			if c.cancelAfter(c.ctx, s, id) == nil && !unknown {
				return
			}
		}
	})
}

// Close ends the repeated tries to free reservations and waits for them. What is not freed then is freed by CancelHolder.
func (c *Client) Close() {
	c.stop()
	c.freeing.Wait()
}
