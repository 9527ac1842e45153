package endpoint

// callCandidate is an instance of a plain service that may be selected.
type callCandidate struct {
	member *member
	load   load
	score  float64 // share of its slots in use, with the penalty for failures; lower is better
	cost   float64 // score, plus the cost of leaving the data centre
}

// callChoice chooses the instance of a plain service for a call: the one with the lowest score, with a penalty for instances in other
// data centres. While the service is weighed, a call stays if an instance at home has a slot free beside one for a call that is on its
// way, and otherwise leaves with the probability that balances the load.
type callChoice struct {
	fleet *Fleet
	rules leaveRules
	best  callCandidate
	home  callCandidate // the best one in the data centre of this VM

	homeFull bool // an instance in the data centre of this VM has no room
}

// newCallChoice returns a choice without candidates.
func (f *Fleet) newCallChoice(s *Service) callChoice {
	return callChoice{fleet: f, rules: f.leaveRulesLocked(s)}
}

// add adds an instance with its load and score, and returns its cost.
func (c *callChoice) add(m *member, l load, score float64) float64 {
	n := callCandidate{member: m, load: l, score: score, cost: score}
	if to := m.entry.DataCentre; to != c.fleet.cells.dataCentre {
		n.cost += c.rules.callCost(to, m.entry.Slots)
	}
	if c.best.member == nil || n.cost < c.best.cost {
		c.best = n
	}
	if m.entry.DataCentre == c.fleet.cells.dataCentre && (c.home.member == nil || n.cost < c.home.cost) {
		c.home = n
	}
	return n.cost
}

// result returns the chosen instance, without a member if there is none, and why it is in another data centre.
func (c *callChoice) result() (callCandidate, LeaveReason) {
	f := c.fleet
	switch {
	case c.best.member == nil || c.best.member == c.home.member || !c.rules.weigh:
		return c.best, LeaveNone
	case c.home.member == nil && c.homeFull:
		return c.best, LeaveFull
	case c.home.member == nil:
		return c.best, LeaveUnusable
	}
	slots := max(c.home.member.entry.Slots, 1)
	if c.home.load.running+1 < slots && c.home.member.health.failureRate < failureWeight {
		return c.home, LeaveNone // it starts at once at home too
	}
	// Moving half of the difference balances the load. The calls that VMs send before they know of each other's share it.
	gain := (c.home.cost - c.best.cost) * float64(slots) / 2
	if f.random() >= leaveProbability(gain, c.home.load.recent) {
		return c.home, LeaveNone
	}
	return c.best, LeaveFaster
}
