package endpoint

import "time"

// coldWindow is the time over which the requests to a cold endpoint are counted.
const coldWindow = time.Second

// coldMargin is the part of the bound that the VMs use together. The rest covers VMs that join and count differently, and
// requests that are delayed on the way and arrive in a later second.
const coldMargin = 0.6

// allowance bounds what this VM sends to one cold endpoint in any second. The bound of the endpoint holds for all VMs
// together, so it is divided among them without any message: each VM has a fixed whole part of it.
type allowance struct {
	sent []time.Time // sends of the last window, oldest first
}

// coldPart returns how many requests a second the VM with the given rank of n may send.
func coldPart(perSecond float64, rank, n int, key Key) int {
	if n < 1 {
		n, rank = 1, 0
	}
	total := int(perSecond * coldMargin)
	part := total / n
	// The remainder goes to different VMs at different endpoints.
	if (rank+int(uint64(key)%uint64(n)))%n < total%n {
		part++
	}
	return part
}

func (a *allowance) room(now time.Time, part int) bool {
	keep := a.sent[:0]
	for _, at := range a.sent {
		if now.Sub(at) < coldWindow {
			keep = append(keep, at)
		}
	}
	a.sent = keep
	return len(a.sent) < part
}

func (a *allowance) take(now time.Time) { a.sent = append(a.sent, now) }
