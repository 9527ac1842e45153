package oplog

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// VMState is a VM's state in the VM list.
type VMState string

// States in the VM list. A VM that was removed is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// ListedVM is one entry of the VM list.
type ListedVM struct {
	Name     string  `json:"place"`
	Instance string  `json:"instance"` // changes when another VM replaces this one under the same VM name
	Address  string  `json:"address"`
	State    VMState `json:"state"`
}

// VMListing is one response of the VM list. It may lag behind the actual state by up to Age, so it is only a hint.
type VMListing struct {
	VMs []ListedVM
	Age time.Duration
}

// VMList is a client of the platform's VM list.
type VMList struct{ http *httpClient }

// NewVMList returns a client of the VM list at an IP address and port.
func NewVMList(address string, opts ...HTTPOption) *VMList {
	return &VMList{http: newHTTPClient(address, opts)}
}

// wireVMList is the JSON form of a response of the VM list.
type wireVMList struct {
	VMs       []ListedVM `json:"vms"`
	AgeMillis int64      `json:"ageMillis"`
}

// Get requests the VM list.
func (l *VMList) Get(ctx context.Context) (VMListing, error) {
	var out wireVMList
	if err := l.http.call(ctx, fasthttp.MethodGet, "/vms", 0, nil, &out); err != nil {
		return VMListing{}, errors.Wrap(err, "read VM list")
	}
	return VMListing{VMs: out.VMs, Age: time.Duration(out.AgeMillis) * time.Millisecond}, nil
}
