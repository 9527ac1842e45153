package entry

import (
	"time"

	"github.com/pkg/errors"
)

// Timers are the times of a lease protocol. A lease is safe when both inequalities hold:
//
//	LenderLease  >= BorrowerLease + ClockDrift
//	NewShareWait >= ReportLag + GrantLifetime
//
// The borrower measures its lease from before it asked and the lender from when it answered, so the borrower's lease ends
// first. Whatever the borrower permits at the last moment of its lease is used at the latest GrantLifetime later and is
// visible ReportLag after that. Until then the next borrower leaves the share unused.
type Timers struct {
	LenderLease   time.Duration // the lender lends to nobody else for this long after it answered
	BorrowerLease time.Duration // the borrower uses a lease for this long after it asked
	ClockDrift    time.Duration // largest difference of two clocks over one lease
	GrantLifetime time.Duration // what a borrower permits is used within this time
	ReportLag     time.Duration // what was used is visible after this time
	NewShareWait  time.Duration // a new lease stays unused for this long
	PauseLimit    time.Duration // a lender that did not run for this long counts as paused
}

// ShareTimers returns the timers of share leases of endpoints.
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

// PartTimers returns the timers of the leases by which a customer's owner gives parts of the customer's limits to VMs. A
// part is used while its lease lasts and nothing outlives it, so a new part needs no wait.
func PartTimers() Timers {
	return Timers{
		LenderLease:   4 * time.Second,
		BorrowerLease: 3800 * time.Millisecond,
		ClockDrift:    200 * time.Millisecond,
		PauseLimit:    2 * time.Second,
	}
}

// QuotaTimers returns the timers of share leases of customers' limits. The parts that an owner gave to VMs outlive its share
// lease by at most one part lease, so a new owner waits that long.
func QuotaTimers() Timers {
	t := ShareTimers()
	t.GrantLifetime = PartTimers().LenderLease
	t.ReportLag = 0
	t.NewShareWait = t.GrantLifetime + t.ClockDrift
	return t
}

// Check returns an error unless the inequalities hold.
func (t Timers) Check() error {
	switch {
	case t.BorrowerLease <= 0 || t.ClockDrift < 0 || t.GrantLifetime < 0 || t.ReportLag < 0 || t.PauseLimit <= 0:
		return errors.Errorf("timers %+v: a time is negative or missing", t)
	case t.LenderLease < t.BorrowerLease+t.ClockDrift:
		return errors.Errorf("lender's lease %v is shorter than the borrower's lease %v and clock drift %v", t.LenderLease, t.BorrowerLease, t.ClockDrift)
	case t.NewShareWait < t.ReportLag+t.GrantLifetime:
		return errors.Errorf("wait for a new share %v is shorter than report lag %v and grant lifetime %v", t.NewShareWait, t.ReportLag, t.GrantLifetime)
	}
	return nil
}
