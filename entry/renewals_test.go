package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against an owner that never receives a renewal, against more renewals per second than the limit, and against an
// owner that has to wait for its turn although its renewal is urgent or it restarted.
func TestRenewals(t *testing.T) {
	for _, owners := range []int{1, maxRoutineRenewals, 314} {
		r, now := renewals{}, time.Unix(0, 0)
		incarnations := map[string]uint64{}
		for i := range owners {
			name := fmt.Sprint(i)
			incarnations[name] = 1
			r.add(now, name)
		}
		take := func() []string {
			now = now.Add(renewInterval)
			return r.takeDue(now, "self", maxRoutineRenewals, func(owner string) uint64 { return incarnations[owner] })
		}
		cycle := (owners + maxRoutineRenewals - 1) / maxRoutineRenewals
		lastRound := map[string]int{}
		for round := range 3 * cycle {
			got := take()
			if len(got) > maxRoutineRenewals {
				t.Fatalf("%d owners: %d messages in a second", owners, len(got))
			}
			for _, o := range got {
				if last, ok := lastRound[o]; ok && round-last > cycle {
					t.Errorf("%d owners: %s waited for %d rounds, want at most %d", owners, o, round-last, cycle)
				}
				lastRound[o] = round
			}
		}
		if len(lastRound) != owners {
			t.Errorf("%d of %d owners received a renewal in three cycles", len(lastRound), owners)
		}
		r.markUrgent("0")
		incarnations[fmt.Sprint(owners-1)]++
		got := take()
		if !slices.Contains(got, "0") || !slices.Contains(got, fmt.Sprint(owners-1)) {
			t.Errorf("%d owners: of one with a lost message and one that restarted, only %v receive a renewal", owners, got)
		}
		r.add(now, "self")
		if !slices.Contains(take(), "self") {
			t.Errorf("%d owners: the VM's own endpoints receive no renewal", owners)
		}
	}
}
