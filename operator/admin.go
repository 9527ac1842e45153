package operator

import (
	"context"

	"goldcrestpath/platform"
)

// Admin is what the operators' API needs of a VM. The VM's store offers the first five methods.
type Admin interface {
	// Publish returns the new revision. The error is a *platform.ConflictError where base is not the current revision.
	Publish(ctx context.Context, document string, base uint64, content []byte) (uint64, error)
	// Document returns the newest revision that the VM knows.
	Document(document string) (platform.Document, bool)
	// Documents returns the newest revisions by name.
	Documents() []platform.Document
	// History returns the revisions that the VM has read, oldest first.
	History(document string) []platform.Document
	// SetDrain changes a drain register.
	SetDrain(ctx context.Context, target string, drained bool) (platform.Drain, error)
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
	Counters     map[string]int64  `json:"counters"` // of refusals and retries by reason
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
	Running        int    `json:"running"`
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
func NewDrainStatus(d platform.Drain) DrainStatus { return DrainStatus(d) }
