package peer

import (
	"time"

	"goldcrestpath/endpoint"
)

// placement is the wire form of endpoint.Placement.
type placement struct {
	_       struct{} `cbor:",toarray"`
	Service uint64
	Target  int64 // milliseconds
	Size    int
	Placed  int
	Refused int
}

func encodePlacements(list []endpoint.Placement) []placement {
	var out []placement
	for _, p := range list {
		out = append(out, placement{
			Service: uint64(p.Class.Service), Target: p.Class.Target.Milliseconds(), Size: p.Class.Size, Placed: p.Placed, Refused: p.Refused,
		})
	}
	return out
}

// maxPlacements limits the prompts of one class in a report. A VM places far fewer between two messages, so larger numbers are invalid.
const maxPlacements = 1000

// decodePlacements drops reports whose numbers are out of range.
func decodePlacements(list []placement) []endpoint.Placement {
	var out []endpoint.Placement
	for _, p := range list {
		if p.Placed < 0 || p.Placed > maxPlacements || p.Refused < -maxPlacements || p.Refused > maxPlacements {
			continue
		}
		class := endpoint.SizeClass{Service: endpoint.Key(p.Service), Target: time.Duration(p.Target) * time.Millisecond, Size: p.Size}
		out = append(out, endpoint.Placement{Class: class, Placed: p.Placed, Refused: p.Refused})
	}
	return out
}
