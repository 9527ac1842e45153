package endpoint

import "time"

// coldWindow is the length of the sliding window over which requests to a cold endpoint are counted.
const coldWindow = time.Second

// coldShare is the share of a cold endpoint's rate limit that the VMs use together. The rest covers requests that
// are delayed in transit and arrive in a later window, and the moments after a VM joins, when the VMs disagree on their number.
const coldShare = 0.6

// returnCold is how long the endpoints of a data centre that returns to service count as cold: two intervals between the records of an
// endpoint, which are about 1.2 s apart, because the first one may have been written before the endpoint became cold.
const returnCold = 2500 * time.Millisecond

// coldLimiter limits the requests that this VM sends to one cold endpoint in any window of coldWindow. The endpoint's limit
// applies to all VMs together, so each VM gets a fixed integer quota and the VMs need not communicate.
type coldLimiter struct {
	sent []time.Time // send times within the last window, oldest first
}

// coldQuota returns how many requests per second the VM at position rank among vms VMs may send to the endpoint. It is 0 while their
// number is unknown.
func coldQuota(perSecond float64, rank, vms int, key Key) int {
	if vms < 1 {
		return 0
	}
	total := int(perSecond * coldShare)
	quota := total / vms
	// The key rotates the remainder, so that it goes to different VMs at different endpoints.
	if (rank+int(uint64(key)%uint64(vms)))%vms < total%vms {
		quota++
	}
	return quota
}

// allows reports whether a request may be sent now under the quota.
func (l *coldLimiter) allows(now time.Time, quota int) bool {
	recent := l.sent[:0]
	for _, at := range l.sent {
		if now.Sub(at) < coldWindow {
			recent = append(recent, at)
		}
	}
	l.sent = recent
	return len(l.sent) < quota
}

// record counts a request that is sent now.
func (l *coldLimiter) record(now time.Time) { l.sent = append(l.sent, now) }
