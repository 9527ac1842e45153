package vm

import (
	"strings"

	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/oplog"
)

// targetDataCentre, targetVM and targetEndpoint return the names of drain targets.
func targetDataCentre(name string) string { return oplog.DataCentrePrefix + name }
func targetVM(name string) string         { return oplog.VMPrefix + name }
func targetEndpoint(name string) string   { return oplog.EndpointPrefix + name }

func isContract(document string) bool { return strings.HasPrefix(document, oplog.ContractPrefix) }

// watchConfiguration applies each change of the store's snapshot until Close.
func (v *VM) watchConfiguration() {
	for {
		select {
		case <-v.store.Changed():
			v.applyConfiguration()
		case <-v.ctx.Done():
			return
		}
	}
}

// applyConfiguration derives a view from the latest snapshot and passes the fleet and the customers' quotas to
// the node.
func (v *VM) applyConfiguration() {
	w, err := newView(v.dataCentre, v.store.Snapshot(), v.view())
	if err != nil {
		v.logger.WithError(err).Error("configuration: some documents are invalid; their last valid content remains in use")
	}
	v.current.Store(w)
	v.checkSuperseded(w.snapshot)
	if w.fleet == nil {
		return
	}
	v.node.SetFleet(w.fleet.VMs(), w.fleet.Engines(), w.snapshot.Drained)
	v.node.SetQuotas(quotas(w.contracts))
	v.fleetApplied.Store(w.fleetRevision)
}

// asProblems returns the problems wrapped in err, or a single problem with the text of err.
func asProblems(file string, err error) customer.Problems {
	var p customer.Problems
	if errors.As(err, &p) {
		return p
	}
	return customer.Problems{{File: file, Allowed: err.Error()}}
}
