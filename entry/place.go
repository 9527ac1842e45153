package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Place is a VM's slot in the fleet document. A replacement VM takes over the place of the VM that it replaces.
type Place struct {
	Name       string // such as jm-a/1
	DataCentre string
	Address    string // peer address, IP and port
}

// rank orders place names by rendezvous hashing for key, best first. Every VM computes the same order from the same names,
// and the loss of one name moves only the keys for which it was first.
func rank(key string, names []string) []string {
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

// Shares is the number of shares that the capacity of a resource is split into.
const Shares = 3

// Guardians returns the place that lends each share of a resource. They are the first three places by rendezvous hash; of
// two places the first lends two shares, and a single place lends all three. It returns nil without places.
func Guardians(resource string, places []string) []string {
	return guardians(rank(resource, places))
}

func guardians(order []string) []string {
	if len(order) == 0 {
		return nil
	}
	out := make([]string, Shares)
	for i := range out {
		out[i] = order[i%len(order)]
	}
	return out
}
