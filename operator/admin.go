package operator

import (
	"context"
	"fmt"
	"slices"

	"goldcrestpath/oplog"
)

// Admin gives the operators' API access to a VM. All methods except Status act on the VM's store.
type Admin interface {
	// Publish publishes content as a new revision of the document and returns that revision. The error is a
	// *oplog.ConflictError if base is not the current revision.
	Publish(ctx context.Context, document string, base uint64, content []byte) (uint64, error)
	// Document returns the newest revision of the document that the VM knows.
	Document(document string) (oplog.Document, bool)
	// Documents returns the newest revision of each document, ordered by name.
	Documents() []oplog.Document
	// History returns the revisions of the document that the VM has read, oldest first.
	History(document string) []oplog.Document
	// SetDrain sets or clears the drain of a data centre, a VM or an endpoint.
	SetDrain(ctx context.Context, target string, drained bool) (oplog.Drain, error)
	// Status returns the state of this VM and its view of other VMs, endpoints and data centres.
	Status(ctx context.Context) (Status, error)
}

// Status is the state of one VM and its view of the other VMs, the endpoints and the data centres.
type Status struct {
	VMName       string             `json:"place"`
	DataCentre   string             `json:"dataCentre"`
	Incarnation  uint64             `json:"incarnation"`
	Version      string             `json:"version"`
	Ready        bool               `json:"ready"`
	Stopping     bool               `json:"stopping"`
	Running      int                `json:"running"` // callers' requests in progress on this VM
	LogReachable bool               `json:"logReachable"`
	Offset       uint64             `json:"offset"`    // offset of the first log record that is not applied yet
	Revisions    map[string]uint64  `json:"revisions"` // by document name
	Drains       []DrainStatus      `json:"drains"`
	Members      []MemberStatus     `json:"members"`
	Endpoints    []EndpointStatus   `json:"endpoints"`
	DataCentres  []DataCentreStatus `json:"sites"`
	Counters     map[string]int64   `json:"counters"` // refusals, retries and spillovers by reason; zero counters are omitted
}

// DrainStatus is the drain state of one target: a data centre, a VM or an endpoint.
type DrainStatus struct {
	Target     string `json:"target"`
	Generation uint64 `json:"generation"`
	Drained    bool   `json:"drained"`
}

// MemberStatus is the state of one VM in the same data centre.
type MemberStatus struct {
	VMName      string `json:"place"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"` // alive, suspect, leaving or dead
}

// EndpointStatus is the state of one endpoint in the same data centre. Load figures are the last that the VM received.
type EndpointStatus struct {
	Name           string `json:"name"`
	Kind           string `json:"kind"`   // engine or service
	Serves         string `json:"serves"` // name of the model or service
	Address        string `json:"address"`
	Owner          string `json:"owner"` // name of the owning VM, or "" if no VM owns the endpoint
	Drained        bool   `json:"drained"`
	Known          bool   `json:"known"` // whether the fields below are set
	Cold           bool   `json:"cold"`
	Running        int    `json:"running"`        // requests in progress; for a service, only those of this VM
	Queue          int    `json:"queue"`          // requests that wait for the engine; 0 for a service
	FreeTokens     int    `json:"freeTokens"`     // tokens of Capacity that are not reserved
	Capacity       int    `json:"capacity"`       // usable KV-cache memory in tokens
	PendingPrefill int    `json:"prefillBacklog"` // prompt tokens still to prefill
}

// DataCentreStatus is the state of another data centre according to its last report.
type DataCentreStatus struct {
	DataCentre string         `json:"dataCentre"`
	Reachable  bool           `json:"reachable"`
	Drained    bool           `json:"drained"`
	FreeTokens map[string]int `json:"spare"` // free KV-cache tokens by model
}

// NewDrainStatus converts a drain register to its form in status output.
func NewDrainStatus(d oplog.Drain) DrainStatus { return DrainStatus(d) }

// DrainPendingReason returns why the drain change d is not complete according to this VM, or "" if it is complete. A change is
// complete when this VM has applied it and, if d drains the target, no requests are running there.
func (s *Status) DrainPendingReason(d DrainStatus) string {
	i := slices.IndexFunc(s.Drains, func(current DrainStatus) bool { return current.Target == d.Target })
	if i < 0 || s.Drains[i].Generation < d.Generation {
		return s.VMName + " has not applied the change"
	}
	if s.Drains[i] != d {
		return fmt.Sprintf("%s has a newer change, generation %d", s.VMName, s.Drains[i].Generation)
	}
	if !d.Drained {
		return ""
	}
	if (d.Target == oplog.VMPrefix+s.VMName || d.Target == oplog.DataCentrePrefix+s.DataCentre) && s.Running > 0 {
		return fmt.Sprintf("%s has %d requests running", s.VMName, s.Running)
	}
	for _, e := range s.Endpoints {
		if d.Target == oplog.EndpointPrefix+e.Name && e.Running > 0 {
			return fmt.Sprintf("%s has %d requests running", e.Name, e.Running)
		}
	}
	return ""
}
