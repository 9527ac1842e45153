package peer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"goldcrestpath/endpoint"
)

// TestPlacementReports guards against placements that a peer decodes differently, and against numbers out of range that a damaged or
// foreign datagram brings into the shares.
func TestPlacementReports(t *testing.T) {
	class := endpoint.SizeClass{Service: endpoint.KeyOf("model"), Target: 4 * time.Second, Size: -3}
	valid := []endpoint.Placement{{Class: class, Placed: 2, Refused: -1}, {Class: class, Refused: 3}}
	if diff := cmp.Diff(valid, decodePlacements(encodePlacements(valid))); diff != "" {
		t.Errorf("reports after a message (-want +got):\n%s", diff)
	}
	for _, p := range []endpoint.Placement{{Class: class, Placed: -1}, {Class: class, Placed: 1 << 40}, {Class: class, Refused: -1 << 40}, {Class: class, Refused: 1 << 40}} {
		if got := decodePlacements(encodePlacements([]endpoint.Placement{p})); got != nil {
			t.Errorf("%+v was accepted as %+v", p, got)
		}
	}
}
