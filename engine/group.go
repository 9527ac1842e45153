package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"goldcrestpath/customer"
)

// releaseRetryDelays are the delays before the repeated attempts to release a reservation. If the call that makes a reservation
// got no response, it may reach the engine after the first attempt to release the reservation. It cannot do so after the call
// has timed out, so the last attempts come after callTimeout.
var releaseRetryDelays = []time.Duration{500 * time.Millisecond, callTimeout, 2 * callTimeout}

// Member is one engine of a group and the memory that a completion uses there, in tokens.
type Member struct {
	Spec   Spec
	Tokens int
}

// GrantRequest returns the grant request for the member's share of req, which is sent to the member's owner. It has the same ID for
// every member.
func (m Member) GrantRequest(req GrantRequest) GrantRequest {
	req.MaxTokens = min(req.MaxTokens, m.Tokens)
	req.PromptTokens = m.Tokens - req.MaxTokens
	req.CachedTokens = 0
	return req
}

// groupOf returns the members of s's group that serve the same model in the same data centre, ordered by name. All VMs
// reserve in this order. When two prompts compete for a group, the one that first reserves on the first member therefore gets
// the whole group.
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

// leadsGroup reports whether s is the first member of a group of several engines.
func leadsGroup(s Spec, specs []Spec) bool {
	group := groupOf(s, specs)
	return len(group) > 1 && group[0].Name == s.Name
}

// PlanGroup splits the memory for r over the members of lead's group and returns the members, lead first. The memory is split
// in proportion to the members' KV cache memory, so that no member is full while another has free memory. For a completion
// that fits on lead alone, it returns only lead. ok is false if lead is not the first member of a group with enough memory.
func PlanGroup(r *Completion, lead Spec, specs []Spec) (members []Member, ok bool) {
	required := r.Tokens()
	if required <= lead.KVTokens {
		return []Member{{Spec: lead, Tokens: required}}, true
	}
	group := groupOf(lead, specs)
	if len(group) < 2 || group[0].Name != lead.Name {
		return nil, false
	}
	total := 0
	for _, s := range group {
		total += s.KVTokens
	}
	if required > total {
		return nil, false
	}
	remaining := required
	for i, s := range group {
		// Rounding up keeps the last member's share, which is the remainder, within its memory.
		share := min(remaining, (required*s.KVTokens+total-1)/total)
		if i == len(group)-1 {
			share = remaining
		}
		if remaining -= share; share == 0 {
			break
		}
		members = append(members, Member{Spec: s, Tokens: share})
	}
	return members, true
}

// StreamGroup is like Stream for a completion whose memory is split over members. grants[i] is the grant for members[i]; all
// grants have the same ID. The memory of all members but the first is reserved in order before the completion is sent to the
// first member; if a reservation fails, nothing is sent. The reservations are released on every return.
func (c *Client) StreamGroup(ctx context.Context, members []Member, r *Completion, grants []Grant, attempt int, sink Sink) error {
	if len(members) == 0 || len(members) != len(grants) {
		return customer.Refuse(customer.ReasonInternal, "a group needs one grant for each member")
	}
	groupTokens := 0
	for i, m := range members[1:] {
		g := grants[i+1]
		err := c.checkGrant(g)
		if err == nil {
			err = c.Reserve(ctx, m.Spec, g.ID, g.Holder, m.Tokens)
		}
		if err != nil {
			refusal := customer.AsRefusal(err)
			if refusal.Verdict() == customer.MayHaveRun {
				// The member may have made the reservation. The completion itself was not sent, so the refusal that is returned
				// has the verdict notRun.
				c.releaseReservation(ctx, m.Spec, g.ID, true)
			}
			return customer.Refuse(refusal.Reason(), refusal.Message())
		}
		defer c.releaseReservation(ctx, m.Spec, g.ID, false)
		groupTokens += m.Tokens
	}
	return c.stream(ctx, members[0].Spec, r, grants[0], attempt, groupTokens, sink)
}

// releaseReservation releases a reservation on s. If that fails, it retries a few times in the background. uncertain means
// that the reservation may not have reached the engine yet; the release is then repeated even after a success.
func (c *Client) releaseReservation(ctx context.Context, s Spec, id string, uncertain bool) {
	ctx = context.WithoutCancel(ctx)
	if c.cancelDetached(ctx, s, id) == nil && !uncertain {
		return
	}
	c.releases.Go(func() {
		for _, pause := range releaseRetryDelays {
			if !sleep(c.ctx, pause) {
				return
			}
			if c.cancelDetached(c.ctx, s, id) == nil && !uncertain {
				return
			}
		}
	})
}

// Close stops the background attempts to release reservations and waits for their goroutines. Any reservations that remain
// are released by CancelHolder.
func (c *Client) Close() {
	c.stop()
	c.releases.Wait()
}
