package vm

import (
	"sort"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/entry"
)

// spillTargets returns the other data centres that may take a completion which this one refused, best first. A data centre has to be
// reachable, in service, serve the model and report room, so that a lost data centre does not overload the next.
func spillTargets(r customer.Reason, w *view, sites []entry.Site, c *engine.Completion) []string {
	if !spillable(r) {
		return nil
	}
	var open []entry.Site
	for _, s := range sites {
		if s.Reachable && !w.drained(s.DataCentre) && s.Spare[c.Model] >= c.Tokens() && w.servesModel(s.DataCentre, c.Model) {
			open = append(open, s)
		}
	}
	sort.SliceStable(open, func(i, j int) bool { return open[i].Spare[c.Model] > open[j].Spare[c.Model] })
	names := make([]string, len(open))
	for i, s := range open {
		names[i] = s.DataCentre
	}
	return names
}

// spillable says whether another data centre may do better after a refusal for this reason.
func spillable(reason customer.Reason) bool {
	switch reason {
	case customer.ReasonDrained, customer.ReasonNoEndpoint, customer.ReasonNoOwner, customer.ReasonCold, customer.ReasonShare,
		customer.ReasonQueueFull, customer.ReasonDeadline, customer.ReasonEndpointRefused, customer.ReasonEndpointFailed:
		return true
	default:
		return false
	}
}
