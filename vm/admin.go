package vm

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"goldcrestpath/operator"
	"goldcrestpath/oplog"
)

var _ operator.Admin = admin{}

// admin implements the operators' API. The embedded store provides the methods for publishing documents and
// setting drains.
type admin struct {
	*oplog.Store
	v *VM
}

// Document implements operator.Admin.
func (a admin) Document(name string) (oplog.Document, bool) { return a.Snapshot().Document(name) }

// Documents implements operator.Admin.
func (a admin) Documents() []oplog.Document { return a.Snapshot().Documents() }

// Status implements operator.Admin.
func (a admin) Status(context.Context) (operator.Status, error) {
	v := a.v
	w := v.view()
	s := operator.Status{
		VMName:       v.name,
		DataCentre:   v.dataCentre,
		Incarnation:  v.incarnation,
		Version:      v.version,
		Ready:        v.Ready(),
		Stopping:     v.stopping.Load(),
		Running:      int(v.running.Load() + v.forwarded.Load()),
		LogReachable: v.store.LogReachable(),
		Offset:       w.snapshot.Offset(),
		Revisions:    make(map[string]uint64),
		Counters:     v.counters.values(),
	}
	for _, d := range w.snapshot.Documents() {
		s.Revisions[d.Name] = d.Revision
	}
	for _, d := range w.snapshot.Drains() {
		s.Drains = append(s.Drains, operator.NewDrainStatus(d))
	}
	for _, m := range v.node.Members() {
		s.Members = append(s.Members, operator.MemberStatus{
			VMName: m.VM().Name, Address: m.VM().Address, Incarnation: m.Incarnation(), State: m.State().String(),
		})
	}
	for _, dc := range v.node.DataCentres() {
		s.DataCentres = append(s.DataCentres, operator.DataCentreStatus{
			DataCentre: dc.DataCentre, Reachable: dc.Reachable, Drained: dc.Drained, FreeTokens: dc.FreeTokens,
		})
	}
	s.Endpoints = v.endpointStatus(w)
	return s, nil
}

// endpointStatus returns the status of the endpoints in this data centre, sorted by name.
func (v *VM) endpointStatus(w *view) []operator.EndpointStatus {
	var all []operator.EndpointStatus
	for _, specs := range w.engines {
		for _, spec := range specs {
			e := operator.EndpointStatus{
				Name: spec.Name, Kind: "engine", Serves: spec.Model, Address: spec.Address,
				Drained: w.snapshot.Drained(targetEndpoint(spec.Name)),
			}
			e.Owner, _ = v.node.Owner(spec.Name)
			if l, ok := v.node.Load(spec.Name); ok {
				e.Known, e.Cold, e.Running, e.Queue = true, l.Cold, l.Running, l.QueuedRequests
				e.FreeTokens, e.Capacity, e.PendingPrefill = l.FreeTokens, l.Capacity, l.PrefillBacklog
			}
			all = append(all, e)
		}
	}
	for _, specs := range w.services {
		for _, spec := range specs {
			all = append(all, operator.EndpointStatus{
				Name: spec.Name, Kind: "service", Serves: spec.Service, Address: spec.Address,
				Drained: w.snapshot.Drained(targetEndpoint(spec.Name)), Known: true, Running: v.serviceSelector.Running(spec.Name),
			})
		}
	}
	slices.SortFunc(all, func(a, b operator.EndpointStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// values returns the nonzero counters of refusals, retries and spillover. The counters of package caller also
// count requests that were refused before they reached the VM, such as those with an unknown API key.
func (c *counters) values() map[string]int64 {
	values := make(map[string]int64)
	c.registry.Each(func(name string, m any) {
		if n, ok := m.(metrics.Counter); ok && n.Count() > 0 && isReasonCounter(name) {
			values[name] = n.Count()
		}
	})
	return values
}

func isReasonCounter(name string) bool {
	for _, prefix := range []string{"caller.refused.", "refusal.", "retry.", "spill."} {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// startOperator opens the listener of the operators' API if the settings configure one.
func (v *VM) startOperator() error {
	if v.settings.OperatorListen() == "" {
		return nil
	}
	token, err := v.settings.Token()
	if err != nil {
		return err
	}
	cfg, err := v.settings.OperatorTLS()
	if err != nil {
		return err
	}
	ln, err := listen(v.settings.OperatorListen(), cfg)
	if err != nil {
		return errors.Wrap(err, "start operators' listener")
	}
	v.operatorListen = ln
	v.operators = operator.NewServer(admin{v.store, v}, v.registry, operator.WithToken(token), operator.WithLogger(v.logger))
	v.wg.Add(1)
	go func() {
		defer v.wg.Done()
		if err := v.operators.Serve(ln); err != nil && v.ctx.Err() == nil {
			v.logger.WithError(err).Error("vm: operators' listener failed")
		}
	}()
	return nil
}
