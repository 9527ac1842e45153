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

// actingGuardians returns the guardians with another place for each that was freed: the next place in order that lends no
// share, or else the first one that was not freed.
func actingGuardians(order []string, freed map[string]bool) []string {
	out := guardians(order)
	var live, spare []string
	for _, place := range order {
		if freed[place] {
			continue
		}
		live = append(live, place)
		if !slices.Contains(out, place) {
			spare = append(spare, place)
		}
	}
	for i, place := range out {
		switch {
		case !freed[place]:
		case len(spare) > 0:
			out[i], spare = spare[0], spare[1:]
		case len(live) > 0:
			out[i] = live[0]
		}
	}
	return out
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
