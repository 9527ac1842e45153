package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against an owner that never hears of the grants in use, against more messages a second than the bound, and against
// an owner with a reason to hear that waits for its turn.
func TestRenewals(t *testing.T) {
	for _, owners := range []int{1, maxRenewals, 314} {
		r, now := renewals{}, time.Unix(0, 0)
		incarnations := map[string]uint64{}
		for i := range owners {
			name := fmt.Sprint(i)
			incarnations[name] = 1
			r.add(now, name)
		}
		take := func() []string {
			now = now.Add(renewInterval)
			return r.take(now, "self", maxRenewals, func(owner string) uint64 { return incarnations[owner] })
		}
		turn := (owners + maxRenewals - 1) / maxRenewals
		heard := map[string]int{}
		for round := range 3 * turn {
			got := take()
			if len(got) > maxRenewals {
				t.Fatalf("%d owners: %d messages in a second", owners, len(got))
			}
			for _, o := range got {
				if last, ok := heard[o]; ok && round-last > turn {
					t.Errorf("%d owners: %s waited for %d rounds, want at most %d", owners, o, round-last, turn)
				}
				heard[o] = round
			}
		}
		if len(heard) != owners {
			t.Errorf("%d of %d owners heard in three turns", len(heard), owners)
		}
		r.hurry("0")
		incarnations[fmt.Sprint(owners-1)]++
		got := take()
		if !slices.Contains(got, "0") || !slices.Contains(got, fmt.Sprint(owners-1)) {
			t.Errorf("%d owners: of one with a lost message and one that restarted only %v hear", owners, got)
		}
		r.add(now, "self")
		if !slices.Contains(take(), "self") {
			t.Errorf("%d owners: the VM's own endpoints miss a renewal", owners)
		}
	}
}
