package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VM is the identity of a VM in the fleet document. A replacement VM has the name of the VM that it replaces.
type VM struct {
	Name       string // such as jm-a/1
	DataCentre string
	Address    string // peer address, IP and port
}

// rendezvousOrder orders VM names by rendezvous hashing for key, highest score first. Every VM computes the same order
// from the same names, and removing a name moves only the keys for which it was first.
func rendezvousOrder(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	var buf []byte
	for i, name := range names {
		buf = append(append(append(buf[:0], key...), 0), name...)
		all[i] = scored{name, xxhash.Sum64(buf)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.name
	}
	return out
}

// SharesPerResource is the number of shares that the capacity of a resource is split into.
const SharesPerResource = 3

// Lessors returns the lessor of each share of a resource. The lessors are the first three VM names in rendezvous
// order; of two VMs the first is the lessor of two shares, and a single VM is the lessor of all three. It returns nil
// without VMs.
func Lessors(resource string, names []string) []string {
	return assignedLessors(rendezvousOrder(resource, names))
}

// actingLessors returns the VM that leases out each share. That is the assigned lessor or, if it was released, the next
// VM in order that is assigned no share, or otherwise the first VM that was not released.
func actingLessors(order []string, released map[string]bool) []string {
	out := assignedLessors(order)
	var notReleased, spare []string
	for _, name := range order {
		if released[name] {
			continue
		}
		notReleased = append(notReleased, name)
		if !slices.Contains(out, name) {
			spare = append(spare, name)
		}
	}
	for i, name := range out {
		switch {
		case !released[name]:
		case len(spare) > 0:
			out[i], spare = spare[0], spare[1:]
		case len(notReleased) > 0:
			out[i] = notReleased[0]
		}
	}
	return out
}

// assignedLessors returns the lessor of each share, whether it was released or not.
func assignedLessors(order []string) []string {
	if len(order) == 0 {
		return nil
	}
	out := make([]string, SharesPerResource)
	for i := range out {
		out[i] = order[i%len(order)]
	}
	return out
}
