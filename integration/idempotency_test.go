package integration

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"goldcrestpath/standin"
)

// bookingDeadline is the deadline of bookings in tests that wait until it has passed.
const bookingDeadline = 5 * time.Second

// checkBookings verifies that no key was booked twice, that every answered booking ran exactly once, and that a key whose calls were
// all refused with the verdict notRun was never booked.
func (s *site) checkBookings(outcomes ...standin.Outcome) {
	s.t.Helper()
	if n := s.bookingStore.Duplicates(); n != 0 {
		s.t.Errorf("%d bookings ran again with a key that was already booked", n)
	}
	mayHaveRun := map[string]bool{}
	for _, o := range outcomes {
		if o.Status != standin.Refused {
			mayHaveRun[o.Request.Key] = true
		}
	}
	for _, o := range outcomes {
		n := s.bookingStore.Count(o.Request.Key)
		switch {
		case o.Request.Key == "":
		case o.Status == standin.WrongAnswer:
			s.t.Errorf("booking %s got the answer of another: %s", o.Request.Key, o.Detail)
		case o.Status == standin.Answered && n != 1:
			s.t.Errorf("answered booking %s ran %d times", o.Request.Key, n)
		case !mayHaveRun[o.Request.Key] && n != 0:
			s.t.Errorf("booking %s was always refused with the verdict notRun (%s), but ran %d times", o.Request.Key, o.Reason, n)
		}
	}
}

// records returns the number of records in the log.
func (s *site) records() int { return len(s.log.Records()) }

// TestDuplicateBookings guards against calls with an idempotency key that run twice when several VMs receive them at the same time. The
// log appends some claims but drops the connection instead of answering.
func TestDuplicateBookings(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 2, vms: 2, engines: 1})
	const keys = 30
	answers := startCalls(keys*len(s.vms), func(i int) standin.Outcome {
		time.Sleep(time.Duration(i/len(s.vms)) * 20 * time.Millisecond)
		if i%40 == 39 {
			s.log.DropResponses(2)
		}
		return s.vms[i%len(s.vms)].book(fmt.Sprintf("doubled%d", i/len(s.vms)), i/len(s.vms))
	})
	outcomes := answers()
	s.wantAnswered("bookings sent to several VMs", outcomes...)
	s.checkBookings(outcomes...)
	if n := len(s.bookingStore.All()); n != keys {
		t.Errorf("%d bookings ran, want %d", n, keys)
	}
}

// testKilledBooking sends a booking to a VM while a partition holds back the data in direction d between the VM and the booking service.
// It kills the VM after the claim and sends the same booking to another VM. wantRuns is the number of times that the booking must run
// in total.
func testKilledBooking(t *testing.T, d direction, wantRuns int) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 1, shortDeadline: bookingDeadline})
	before := s.records()
	s.proxies["booking-a"].partition(d)
	firstAnswer := startCalls(1, func(int) standin.Outcome { return s.vms[0].book("killed", 1) })
	s.await("the claim in the log", func() bool { return s.records() > before })
	s.await("the expected number of bookings", func() bool { return s.bookingStore.Count("killed") == wantRuns })
	s.vms[0].kill()
	s.proxies["booking-a"].restart()
	s.proxies["booking-a"].heal()
	repeatedOutcome := s.vms[1].book("killed", 1)
	if repeatedOutcome.Status != standin.Failed || repeatedOutcome.Verdict != "mayHaveRun" {
		t.Errorf("repeated booking: %v, reason %q, verdict %q; want failed with mayHaveRun",
			repeatedOutcome.Status, repeatedOutcome.Reason, repeatedOutcome.Verdict)
	}
	if o := firstAnswer()[0]; o.Status == standin.Answered {
		t.Errorf("the booking sent to the killed VM was answered")
	}
	if n := s.bookingStore.Count("killed"); n != wantRuns {
		t.Errorf("the booking ran %d times, want %d", n, wantRuns)
	}
	s.checkBookings(repeatedOutcome, s.vms[1].book("later", 2))
}

// TestVMKilledBeforeSend guards against running a repeated call after the VM that claimed the call was killed before it sent the call.
// The other VM cannot know that the call was not sent.
func TestVMKilledBeforeSend(t *testing.T) { testKilledBooking(t, toServer, 0) }

// TestVMKilledBeforeOutcome guards against running a call a second time after the VM that claimed the call was killed before it recorded
// the outcome in the log.
func TestVMKilledBeforeOutcome(t *testing.T) { testKilledBooking(t, fromServer, 1) }

// TestVMPausedWithClaims guards against a VM that is paused after it claimed a call and sends the call after the deadline. It also
// guards against another VM that runs the same call during the pause.
func TestVMPausedWithClaims(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 1, shortDeadline: bookingDeadline})
	const keys = 40
	book := func(v *vmProcess) func(i int) standin.Outcome {
		return func(i int) standin.Outcome {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			return v.book(fmt.Sprintf("paused%d", i), i)
		}
	}
	before := s.records()
	firstAnswers := startCalls(keys, book(s.vms[0]))
	s.await("claims in the log", func() bool { return s.records() > before+keys/4 })
	s.vms[0].signal(syscall.SIGSTOP)
	repeatedOutcomes := startCalls(keys, book(s.vms[1]))()
	time.Sleep(bookingDeadline)
	ranBefore := len(s.bookingStore.All())
	s.vms[0].signal(syscall.SIGCONT)
	outcomes := append(firstAnswers(), repeatedOutcomes...)
	s.await("end of the resumed calls", func() bool { return s.vms[0].status().Running == 0 })
	if n := len(s.bookingStore.All()); n != ranBefore {
		t.Errorf("%d bookings ran after their deadline", n-ranBefore)
	}
	s.checkBookings(outcomes...)
}

// TestBookingsDuringLogOutage guards against calls with an idempotency key that run without a claim during an outage of the log,
// against calls without a key that the outage delays, and against calls with a key that are still refused after the outage.
func TestBookingsDuringLogOutage(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 1, shortDeadline: bookingDeadline})
	var outcomes []standin.Outcome
	for _, outage := range []standin.Outage{standin.OutageRefuse, standin.OutageUnresponsive} {
		s.log.SetOutage(outage)
		for _, v := range s.vms {
			s.await("detection of the log outage at "+v.name, func() bool { return !v.status().LogReachable })
		}
		keyedAnswers := startCalls(10, func(i int) standin.Outcome { return s.vms[i%2].book(fmt.Sprintf("outage%d-%d", outage, i), i) })
		unkeyedOutcomes := startCalls(6, func(i int) standin.Outcome { return s.vms[i%2].book("", 100+i) })()
		s.wantAnswered("bookings without a key", unkeyedOutcomes...)
		for _, o := range keyedAnswers() {
			if o.Status != standin.Refused || o.Reason != "logUnavailable" {
				t.Errorf("keyed booking during the outage: %v, reason %q, verdict %q; want refused with logUnavailable", o.Status, o.Reason, o.Verdict)
			}
			outcomes = append(outcomes, o)
		}
		s.checkBookings(outcomes...)
		s.log.SetOutage(standin.OutageNone)
		for _, v := range s.vms {
			s.await("connection to the log at "+v.name, func() bool { return v.status().LogReachable })
		}
	}
	repeatedOutcomes := startCalls(10, func(i int) standin.Outcome {
		return s.vms[1-i%2].book(fmt.Sprintf("outage%d-%d", standin.OutageUnresponsive, i), i)
	})()
	s.wantAnswered("bookings after the outage", repeatedOutcomes...)
	s.checkBookings(append(outcomes, repeatedOutcomes...)...)
}
