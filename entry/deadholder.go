package entry

import (
	"context"
	"time"

	"goldcrestpath/engine"
)

type cancellation struct {
	running bool
	next    time.Time
}

// deadHolder says whether a run of a VM is believed to be over.
func (n *Node) deadHolder(h BorrowerID) bool {
	m, ok := n.members.Get(h.Place)
	return !ok || m.state == StateDead || m.incarnation > h.Incarnation
}

// goneHolder says whether a run of a VM is certainly over, because another one took its place or the place was removed.
func (n *Node) goneHolder(h BorrowerID) bool {
	m, ok := n.members.Get(h.Place)
	return !ok || m.incarnation > h.Incarnation
}

// cancelDead cancels the streams of holders that are gone and then frees their grants. A holder can still send what it was
// granted, so the cancellation waits for the end of its last grant's lifetime. A holder that only seems dead may be partitioned
// from this VM and serve its callers, so its streams are left alone.
func (n *Node) cancelDead(now time.Time, o *owned) {
	last := map[BorrowerID]time.Time{}
	for _, r := range o.records {
		h := BorrowerID{r.demand.Holder, r.incarnation}
		if r.granted && n.deadHolder(h) && !r.issued.Before(last[h]) {
			last[h] = r.issued
		}
	}
	for _, s := range o.streams { // grants that a former owner gave
		if m, ok := n.members.Get(s.Holder); ok && m.state == StateDead && m.incarnation > 0 {
			h := BorrowerID{s.Holder, m.incarnation}
			if _, ok := last[h]; !ok {
				last[h] = m.since
			}
		}
	}
	for h := range o.cancels {
		if _, ok := last[h]; !ok && !o.cancels[h].running {
			delete(o.cancels, h)
		}
	}
	for h, issued := range last {
		c := o.cancels[h]
		if c == nil {
			c = &cancellation{}
			o.cancels[h] = c
		}
		if c.running || now.Before(c.next) || now.Before(issued.Add(engine.GrantLifetime)) {
			continue
		}
		if !n.goneHolder(h) {
			n.freeUnlisted(now, o, h, issued, c)
			continue
		}
		c.next = now.Add(cancelRetry)
		spec := o.spec
		c.running = n.background(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			var err error
			if n.opts.endpoints != nil {
				err = n.opts.endpoints.CancelHolder(ctx, spec, h.Place, h.Incarnation)
			}
			n.post(func() {
				c.running = false
				if err != nil {
					n.log.WithError(err).WithField("endpoint", o.spec.Name).WithField("holder", h.Place).Warn("entry: streams of a dead VM not cancelled yet")
					return
				}
				n.freeHolder(time.Now(), o, h, now)
			})
		})
	}
}

// unreadWait is the time from a holder's last grant until a report that was asked for later lists only streams that somebody reads:
// the grant's lifetime, the time for which an engine keeps a stream without a connection (2 s), and the report's lag.
const unreadWait = engine.GrantLifetime + 2*time.Second + engine.MaxReportAge

// freeUnlisted frees the grants of a holder that seems dead as far as the endpoint no longer lists their streams. Listed streams
// are read by a holder that lives. Reservations of a group have no reader; they are cancelled where the holder has no stream here.
func (n *Node) freeUnlisted(now time.Time, o *owned, h BorrowerID, issued time.Time, c *cancellation) {
	if m, ok := n.members.Get(h.Place); ok && m.since.After(issued) {
		issued = m.since
	}
	if !o.ready || o.observed.Before(issued.Add(unreadWait)) {
		return
	}
	listed := map[string]bool{}
	var reservations []string
	for _, s := range o.streams {
		if s.Holder != h.Place {
			continue
		}
		listed[s.ID] = true
		if s.Reservation {
			reservations = append(reservations, s.ID)
		}
	}
	for id, r := range o.records {
		if r.granted && r.demand.Holder == h.Place && r.incarnation == h.Incarnation && !listed[id] {
			n.free(now, o.spec.Name, id, h.Place, nil)
		}
	}
	if n.opts.endpoints == nil || len(reservations) == 0 || len(reservations) < len(listed) {
		return
	}
	c.next = now.Add(cancelRetry)
	spec := o.spec
	c.running = n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		for _, id := range reservations {
			if err := n.opts.endpoints.Cancel(ctx, spec, id); err != nil {
				n.log.WithError(err).WithField("endpoint", spec.Name).WithField("holder", h.Place).Warn("entry: reservation of a dead VM not cancelled yet")
			}
		}
		n.post(func() { c.running = false })
	})
}

// freeHolder frees the grants that a dead run of a VM got before began.
func (n *Node) freeHolder(now time.Time, o *owned, h BorrowerID, began time.Time) {
	kept := false
	var ids []string
	for id, r := range o.records {
		switch {
		case r.demand.Holder != h.Place:
		case r.incarnation <= h.Incarnation && r.issued.Before(began):
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
		o.ledger.ReleaseHolder(now, h.Place)
	}
}
