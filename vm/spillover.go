package vm

import (
	"sort"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/entry"
)

// spilloverTargets returns the other data centres to which a completion refused here may be forwarded, the one
// with the most spare capacity first. A data centre qualifies only if it is reachable, is not drained, serves the
// model and reports enough free tokens for the completion. Otherwise the failure of one data centre could overload
// the next.
func spilloverTargets(r customer.Reason, w *view, dataCentres []entry.DataCentreState, c *engine.Completion) []string {
	if !canSpillOver(r) {
		return nil
	}
	var eligible []entry.DataCentreState
	for _, s := range dataCentres {
		if s.Reachable && !w.drained(s.DataCentre) && s.FreeTokens[c.Model] >= c.Tokens() && w.servesModel(s.DataCentre, c.Model) {
			eligible = append(eligible, s)
		}
	}
	sort.SliceStable(eligible, func(i, j int) bool { return eligible[i].FreeTokens[c.Model] > eligible[j].FreeTokens[c.Model] })
	names := make([]string, len(eligible))
	for i, s := range eligible {
		names[i] = s.DataCentre
	}
	return names
}

// canSpillOver reports whether another data centre may be able to serve a request that was refused for this
// reason.
func canSpillOver(reason customer.Reason) bool {
	switch reason {
	case customer.ReasonDrained, customer.ReasonNoEndpoint, customer.ReasonNoOwner, customer.ReasonCold, customer.ReasonShare,
		customer.ReasonQueueFull, customer.ReasonDeadline, customer.ReasonEndpointRefused, customer.ReasonEndpointFailed:
		return true
	default:
		return false
	}
}
