package entry

import (
	"time"

	"github.com/pkg/errors"
)

// Timers holds the durations of a lease protocol. A lease is safe if both inequalities hold:
//
//	LenderLease  >= BorrowerLease + ClockDrift
//	NewShareWait >= ReportLag + GrantLifetime
//
// The lessee measures its lease from before it sent the request, and the lessor from when it answered, so the lessee's
// lease ends first. Work that the lessee permits at the last moment of its lease is started at most GrantLifetime later
// and is visible in reports ReportLag after that. Until then the next lessee leaves the share unused.
type Timers struct {
	LenderLease   time.Duration // the lessor leases the units to nobody else for this long after its answer
	BorrowerLease time.Duration // the lessee uses a lease for this long after its request
	ClockDrift    time.Duration // largest difference between two clocks over one lease
	GrantLifetime time.Duration // work that a lessee permits is started within this time
	ReportLag     time.Duration // work that was started is visible in reports after this time
	NewShareWait  time.Duration // the lessee leaves the units of a new lease unused for this long
	PauseLimit    time.Duration // a lessor that did not run for longer than this counts as paused
}

// ShareTimers returns the timers of leases on endpoints' shares.
func ShareTimers() Timers {
	return Timers{
		LenderLease:   4 * time.Second,
		BorrowerLease: 3800 * time.Millisecond,
		ClockDrift:    200 * time.Millisecond, // 5% of a lease; quartz clocks differ by less than 0.1%
		GrantLifetime: 2 * time.Second,
		ReportLag:     time.Second,
		NewShareWait:  3 * time.Second,
		PauseLimit:    2 * time.Second,
	}
}

// QuotaShareTimers returns the timers of the leases by which a customer's owner distributes the customer's limits among VMs.
// A VM uses its quota share only while the lease lasts, and nothing that the share permits outlives the lease, so a new lease
// needs no wait.
func QuotaShareTimers() Timers {
	return Timers{
		LenderLease:   4 * time.Second,
		BorrowerLease: 3800 * time.Millisecond,
		ClockDrift:    200 * time.Millisecond,
		PauseLimit:    2 * time.Second,
	}
}

// CustomerLeaseTimers returns the timers of the leases that a customer's owner holds on the customer's shares. The quota
// shares that the owner leased to VMs outlive its own leases by at most one lease period, so a new owner waits that long.
func CustomerLeaseTimers() Timers {
	t := ShareTimers()
	t.GrantLifetime = QuotaShareTimers().LenderLease
	t.ReportLag = 0
	t.NewShareWait = t.GrantLifetime + t.ClockDrift
	return t
}

// Check returns an error unless both inequalities hold and all durations are valid.
func (t Timers) Check() error {
	switch {
	case t.BorrowerLease <= 0 || t.ClockDrift < 0 || t.GrantLifetime < 0 || t.ReportLag < 0 || t.PauseLimit <= 0:
		return errors.Errorf("timers %+v: a duration is negative or missing", t)
	case t.LenderLease < t.BorrowerLease+t.ClockDrift:
		return errors.Errorf("lessor's lease %v is shorter than the sum of lessee's lease %v and clock drift %v", t.LenderLease, t.BorrowerLease, t.ClockDrift)
	case t.NewShareWait < t.ReportLag+t.GrantLifetime:
		return errors.Errorf("wait for new shares %v is shorter than the sum of report lag %v and grant lifetime %v", t.NewShareWait, t.ReportLag, t.GrantLifetime)
	}
	return nil
}
