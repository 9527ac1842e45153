package integration

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"goldcrestpath/standin"
)

// bookingDeadline is the deadline of calls in tests that wait for its end.
const bookingDeadline = 5 * time.Second

// checkBookings verifies that no key was booked twice, that every answered booking ran once, and that a key whose calls were all
// refused as notRun was never booked.
func (s *site) checkBookings(outcomes ...standin.Outcome) {
	s.t.Helper()
	if n := s.bookings.Doubles(); n != 0 {
		s.t.Errorf("%d bookings ran twice", n)
	}
	maybe := map[string]bool{}
	for _, o := range outcomes {
		if o.Status != standin.Refused {
			maybe[o.Arrival.Key] = true
		}
	}
	for _, o := range outcomes {
		n := s.bookings.Count(o.Arrival.Key)
		switch {
		case o.Arrival.Key == "":
		case o.Status == standin.Foreign:
			s.t.Errorf("booking %s got the answer of another: %s", o.Arrival.Key, o.Detail)
		case o.Status == standin.Answered && n != 1:
			s.t.Errorf("answered booking %s ran %d times", o.Arrival.Key, n)
		case !maybe[o.Arrival.Key] && n != 0:
			s.t.Errorf("booking %s was always refused as notRun (%s), but ran %d times", o.Arrival.Key, o.Reason, n)
		}
	}
}

// records returns the number of records in the log.
func (s *site) records() int { return len(s.log.Records()) }

// TestDoubledBookings guards against keyed calls that run twice when several VMs get them at the same time, also where the log's
// answers to claims are lost.
func TestDoubledBookings(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 2, vms: 2, engines: 1})
	const keys = 30
	sends := background(keys*len(s.vms), func(i int) standin.Outcome {
		time.Sleep(time.Duration(i/len(s.vms)) * 20 * time.Millisecond)
		if i%40 == 39 {
			s.log.LoseAnswers(2)
		}
		return s.vms[i%len(s.vms)].book(fmt.Sprintf("doubled%d", i/len(s.vms)), i/len(s.vms))
	})
	outcomes := sends()
	s.wantAnswered("doubled bookings", outcomes...)
	s.checkBookings(outcomes...)
	if n := len(s.bookings.All()); n != keys {
		t.Errorf("%d bookings ran, want %d", n, keys)
	}
}

// testKilledBooking kills a VM while one direction of its link to the booking service is held, and repeats the call elsewhere.
func testKilledBooking(t *testing.T, d direction, ran int) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 1, short: bookingDeadline})
	before := s.records()
	s.fronts["booking-a"].hold(d)
	first := background(1, func(int) standin.Outcome { return s.vms[0].book("killed", 1) })
	s.await("claim in the log", func() bool { return s.records() > before })
	s.await("booking", func() bool { return s.bookings.Count("killed") == ran })
	s.vms[0].kill()
	s.fronts["booking-a"].drop()
	s.fronts["booking-a"].heal()
	second := s.vms[1].book("killed", 1)
	if second.Status != standin.Failed || second.Verdict != "mayHaveRun" {
		t.Errorf("repeated booking: %v, reason %q, verdict %q; want failed with mayHaveRun", second.Status, second.Reason, second.Verdict)
	}
	if o := first()[0]; o.Status == standin.Answered {
		t.Errorf("booking through the killed VM was answered")
	}
	if n := s.bookings.Count("killed"); n != ran {
		t.Errorf("the booking ran %d times, want %d", n, ran)
	}
	s.checkBookings(second, s.vms[1].book("later", 2))
}

// TestVMKilledBeforeSend guards against a repeated call that runs because the VM with the claim died before the send: another VM
// cannot know that it was not sent.
func TestVMKilledBeforeSend(t *testing.T) { testKilledBooking(t, toNode, 0) }

// TestVMKilledBeforeOutcome guards against a repeated call that runs again because the VM with the claim died before it recorded
// the outcome.
func TestVMKilledBeforeOutcome(t *testing.T) { testKilledBooking(t, fromNode, 1) }

// TestVMPausedWithClaims guards against a VM that sends a claimed call after its deadline, when it was paused between claim and
// send, and against repeated calls that run meanwhile.
func TestVMPausedWithClaims(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 1, short: bookingDeadline})
	const keys = 40
	book := func(v *process) func(i int) standin.Outcome {
		return func(i int) standin.Outcome {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			return v.book(fmt.Sprintf("paused%d", i), i)
		}
	}
	before := s.records()
	first := background(keys, book(s.vms[0]))
	s.await("claims in the log", func() bool { return s.records() > before+keys/4 })
	s.vms[0].signal(syscall.SIGSTOP)
	second := background(keys, book(s.vms[1]))()
	time.Sleep(bookingDeadline)
	late := len(s.bookings.All())
	s.vms[0].signal(syscall.SIGCONT)
	outcomes := append(first(), second...)
	s.await("end of the resumed calls", func() bool { return s.vms[0].status().Running == 0 })
	if n := len(s.bookings.All()); n != late {
		t.Errorf("%d bookings ran after their deadline", n-late)
	}
	s.checkBookings(outcomes...)
}

// TestBookingsDuringLogOutage guards against keyed calls that run without a claim when the log is out, against calls without a key
// that are held up by it, and against keyed calls that stay refused after it.
func TestBookingsDuringLogOutage(t *testing.T) {
	s := newSite(t, siteConfig{dataCentres: 1, vms: 2, engines: 1, short: bookingDeadline})
	var outcomes []standin.Outcome
	for _, outage := range []standin.Outage{standin.OutageRefuse, standin.OutageSilent} {
		s.log.SetOutage(outage)
		for _, v := range s.vms {
			s.await("notice of the outage at "+v.place, func() bool { return !v.status().LogReachable })
		}
		keyed := background(10, func(i int) standin.Outcome { return s.vms[i%2].book(fmt.Sprintf("outage%d-%d", outage, i), i) })
		free := background(6, func(i int) standin.Outcome { return s.vms[i%2].book("", 100+i) })()
		s.wantAnswered("bookings without key", free...)
		for _, o := range keyed() {
			if o.Status != standin.Refused || o.Reason != "logUnavailable" {
				t.Errorf("keyed booking during the outage: %v, reason %q, verdict %q; want refused for logUnavailable", o.Status, o.Reason, o.Verdict)
			}
			outcomes = append(outcomes, o)
		}
		s.checkBookings(outcomes...)
		s.log.SetOutage(standin.OutageNone)
		for _, v := range s.vms {
			s.await("the log at "+v.place, func() bool { return v.status().LogReachable })
		}
	}
	again := background(10, func(i int) standin.Outcome {
		return s.vms[1-i%2].book(fmt.Sprintf("outage%d-%d", standin.OutageSilent, i), i)
	})()
	s.wantAnswered("bookings after the outage", again...)
	s.checkBookings(append(outcomes, again...)...)
}
