package entry

import (
	"context"
	"time"

	"goldcrestpath/engine"
)

// cancellation is the state of cancelling the streams of one failed holder.
type cancellation struct {
	inProgress  bool
	nextAttempt time.Time
}

// holderFailed reports whether a VM's process is believed to have ended.
func (n *Node) holderFailed(h LesseeID) bool {
	m, ok := n.members.Get(h.VMName)
	return !ok || m.state == StateDead || m.incarnation > h.Incarnation
}

// holderStopped reports whether a VM's process has certainly ended, because a newer process with the same VM name is known
// or the VM was removed from the fleet.
func (n *Node) holderStopped(h LesseeID) bool {
	m, ok := n.members.Get(h.VMName)
	return !ok || m.incarnation > h.Incarnation
}

// cancelFailedHolders cancels the streams of holders that have certainly stopped and then releases their grants. A
// request that the holder sent under its last grant can still be in transit, so the cancellation waits for the end of that
// grant's lifetime. A holder that is only believed to have failed may be partitioned from this VM while it still serves its
// callers, so its streams are not cancelled; see releaseUnlisted.
func (n *Node) cancelFailedHolders(now time.Time, o *ownedEndpoint) {
	lastIssued := map[LesseeID]time.Time{}
	for _, r := range o.records {
		h := LesseeID{r.request.Holder, r.incarnation}
		if r.granted && n.holderFailed(h) && !r.issuedAt.Before(lastIssued[h]) {
			lastIssued[h] = r.issuedAt
		}
	}
	for _, s := range o.streams { // streams under grants of a former owner
		if m, ok := n.members.Get(s.Holder); ok && m.state == StateDead && m.incarnation > 0 {
			h := LesseeID{s.Holder, m.incarnation}
			if _, ok := lastIssued[h]; !ok {
				lastIssued[h] = m.since
			}
		}
	}
	for h := range o.cancellations {
		if _, ok := lastIssued[h]; !ok && !o.cancellations[h].inProgress {
			delete(o.cancellations, h)
		}
	}
	for h, issued := range lastIssued {
		c := o.cancellations[h]
		if c == nil {
			c = &cancellation{}
			o.cancellations[h] = c
		}
		if c.inProgress || now.Before(c.nextAttempt) || now.Before(issued.Add(engine.GrantLifetime)) {
			continue
		}
		if !n.holderStopped(h) {
			n.releaseUnlisted(now, o, h, issued, c)
			continue
		}
		c.nextAttempt = now.Add(cancelRetryInterval)
		spec := o.spec
		c.inProgress = n.background(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			var err error
			if n.opts.endpoints != nil {
				err = n.opts.endpoints.CancelHolder(ctx, spec, h.VMName, h.Incarnation)
			}
			n.post(func() {
				c.inProgress = false
				if err != nil {
					n.log.WithError(err).WithField("endpoint", o.spec.Name).WithField("holder", h.VMName).Warn("entry: streams of a stopped VM not cancelled, will retry")
					return
				}
				n.releaseHolder(time.Now(), o, h, now)
			})
		})
	}
}

// unlistedStreamWait is the time from a holder's last grant until a newly requested report lists only streams whose reader
// is connected. It is the sum of the grant's lifetime, the time for which an engine keeps a stream without a connection
// (2 s), and the report's lag.
const unlistedStreamWait = engine.GrantLifetime + 2*time.Second + engine.MaxReportAge

// releaseUnlisted releases those grants of a holder believed to have failed whose streams the endpoint no longer lists. A
// listed stream has a connected reader, so its holder is running. Group reservations have no reader; they are cancelled if
// the holder has nothing else on this endpoint.
func (n *Node) releaseUnlisted(now time.Time, o *ownedEndpoint, h LesseeID, issued time.Time, c *cancellation) {
	if m, ok := n.members.Get(h.VMName); ok && m.since.After(issued) {
		issued = m.since
	}
	if !o.hasReport || o.observedAt.Before(issued.Add(unlistedStreamWait)) {
		return
	}
	listedIDs := map[string]bool{}
	var reservations []string
	for _, s := range o.streams {
		if s.Holder != h.VMName {
			continue
		}
		listedIDs[s.ID] = true
		if s.Reservation {
			reservations = append(reservations, s.ID)
		}
	}
	for id, r := range o.records {
		if r.granted && r.request.Holder == h.VMName && r.incarnation == h.Incarnation && !listedIDs[id] {
			n.endRecord(now, o.spec.Name, id, h.VMName, nil)
		}
	}
	if n.opts.endpoints == nil || len(reservations) == 0 || len(reservations) < len(listedIDs) {
		return
	}
	c.nextAttempt = now.Add(cancelRetryInterval)
	spec := o.spec
	c.inProgress = n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		for _, id := range reservations {
			if err := n.opts.endpoints.Cancel(ctx, spec, id); err != nil {
				n.log.WithError(err).WithField("endpoint", spec.Name).WithField("holder", h.VMName).Warn("entry: reservation of a failed VM not cancelled, will retry")
			}
		}
		n.post(func() { c.inProgress = false })
	})
}

// releaseHolder releases the grants that were issued before cutoff to the given process of a VM, which has stopped, or to
// an earlier one. Newer grants with the same VM name are kept.
func (n *Node) releaseHolder(now time.Time, o *ownedEndpoint, h LesseeID, cutoff time.Time) {
	kept := false
	var ids []string
	for id, r := range o.records {
		switch {
		case r.request.Holder != h.VMName:
		case r.incarnation <= h.Incarnation && r.issuedAt.Before(cutoff):
			ids = append(ids, id)
		default:
			kept = true
		}
	}
	for _, id := range ids {
		delete(o.records, id)
		if kept {
			o.ledger.Withdraw(now, id)
		}
	}
	if !kept {
		o.ledger.ReleaseGrantsOf(now, h.VMName)
	}
}
