package operator

import (
	"context"
	"fmt"
	"slices"

	"goldcrestpath/oplog"
)

// Admin is what the operators' API needs of a VM. The VM's store offers the first five methods.
type Admin interface {
	// Publish returns the new revision. The error is a *oplog.ConflictError where base is not the current revision.
	Publish(ctx context.Context, document string, base uint64, content []byte) (uint64, error)
	// Document returns the newest revision that the VM knows.
	Document(document string) (oplog.Document, bool)
	// Documents returns the newest revisions by name.
	Documents() []oplog.Document
	// History returns the revisions that the VM has read, oldest first.
	History(document string) []oplog.Document
	// SetDrain changes a drain register.
	SetDrain(ctx context.Context, target string, drained bool) (oplog.Drain, error)
	// Status describes this VM and what it knows of others.
	Status(ctx context.Context) (Status, error)
}

// Status describes one VM and what it knows of others.
type Status struct {
	Place        string            `json:"place"`
	DataCentre   string            `json:"dataCentre"`
	Incarnation  uint64            `json:"incarnation"`
	Version      string            `json:"version"`
	Ready        bool              `json:"ready"`
	Stopping     bool              `json:"stopping"`
	Running      int               `json:"running"` // requests of callers in progress on this VM
	LogReachable bool              `json:"logReachable"`
	Offset       uint64            `json:"offset"`    // first log record that is not applied yet
	Revisions    map[string]uint64 `json:"revisions"` // by document
	Drains       []DrainStatus     `json:"drains"`
	Members      []MemberStatus    `json:"members"`
	Endpoints    []EndpointStatus  `json:"endpoints"`
	Sites        []SiteStatus      `json:"sites"`
	Counters     map[string]int64  `json:"counters"` // of refusals, retries and spills by reason, without those at 0
}

// DrainStatus is one drain register.
type DrainStatus struct {
	Target     string `json:"target"`
	Generation uint64 `json:"generation"`
	Drained    bool   `json:"drained"`
}

// MemberStatus is one VM of the same data centre.
type MemberStatus struct {
	Place       string `json:"place"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"` // alive, suspect, leaving or dead
}

// EndpointStatus is one endpoint of the same data centre. Loads are as last known to the VM.
type EndpointStatus struct {
	Name           string `json:"name"`
	Kind           string `json:"kind"`   // engine or service
	Serves         string `json:"serves"` // model or service
	Address        string `json:"address"`
	Owner          string `json:"owner"` // place, or "" where no VM owns it
	Drained        bool   `json:"drained"`
	Known          bool   `json:"known"` // the fields below are set
	Cold           bool   `json:"cold"`
	Running        int    `json:"running"` // requests; of a service, the calls of this VM only
	Queue          int    `json:"queue"`
	FreeTokens     int    `json:"freeTokens"`
	Capacity       int    `json:"capacity"` // usable KV-cache memory in tokens
	PrefillBacklog int    `json:"prefillBacklog"`
}

// SiteStatus is another data centre as last heard.
type SiteStatus struct {
	DataCentre string         `json:"dataCentre"`
	Reachable  bool           `json:"reachable"`
	Drained    bool           `json:"drained"`
	Spare      map[string]int `json:"spare"` // free KV-cache tokens by model
}

// NewDrainStatus returns a register as it stands in status output.
func NewDrainStatus(d oplog.Drain) DrainStatus { return DrainStatus(d) }

// Missing says what of a drain change is not done as far as this VM knows, or "" where all is done: the change is applied
// here, and after a drain no work is running at the target.
func (s *Status) Missing(d DrainStatus) string {
	i := slices.IndexFunc(s.Drains, func(have DrainStatus) bool { return have.Target == d.Target })
	if i < 0 || s.Drains[i].Generation < d.Generation {
		return s.Place + " has not applied the change"
	}
	if s.Drains[i] != d {
		return fmt.Sprintf("%s has a newer change, generation %d", s.Place, s.Drains[i].Generation)
	}
	if !d.Drained {
		return ""
	}
	if (d.Target == oplog.VMPrefix+s.Place || d.Target == oplog.DataCentrePrefix+s.DataCentre) && s.Running > 0 {
		return fmt.Sprintf("%s has %d requests running", s.Place, s.Running)
	}
	for _, e := range s.Endpoints {
		if d.Target == oplog.EndpointPrefix+e.Name && e.Running > 0 {
			return fmt.Sprintf("%s has %d requests running", e.Name, e.Running)
		}
	}
	return ""
}
