package standin

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcrestpath/customer"
)

// Parameters of the latency histograms: the bounds of the recorded times in microseconds and the precision in significant digits.
const (
	minTimeMicros         = 1
	maxTimeMicros         = int64(10 * time.Minute / time.Microsecond)
	timeSignificantDigits = 3
)

// maxPrintedViolations bounds the number of violations in the printed summary; the JSON report has all of them.
const maxPrintedViolations = 10

// Summary is the evaluation of one load.
type Summary struct {
	Name         string          `json:"name"`
	Classes      []ClassSummary  `json:"classes"`
	Customers    []GroupCounts   `json:"customers"`
	Seconds      []GroupCounts   `json:"seconds"` // by intended send time
	Failures     []FailureCount  `json:"failures"`
	Bookings     BookingSummary  `json:"bookings"`
	MaxSendDelay float64         `json:"latestSendMillis"` // longest delay of a send after its intended time
	Violations   []string        `json:"violations"`
	Curves       []QuantileCurve `json:"-"`
}

// GroupCounts counts the prompts of one group and how many of them were answered.
type GroupCounts struct {
	Name     string `json:"name"`
	Sent     int    `json:"asked"`
	Answered int    `json:"answered"` // completely
	InTime   int    `json:"inTime"`   // completely and within the deadline
}

// Add counts one prompt.
func (c *GroupCounts) Add(o Outcome) {
	c.Sent++
	if o.Status == Answered {
		c.Answered++
	}
	if o.InTime() {
		c.InTime++
	}
}

// InTimeShare returns the fraction of the prompts that were answered completely and within the deadline.
func (c GroupCounts) InTimeShare() float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Sent)
}

// ClassSummary counts the prompts of one length class and holds quantiles of their TTFT in milliseconds.
type ClassSummary struct {
	GroupCounts
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// FailureCount counts the requests that failed with the same kind, status, reason and verdict.
type FailureCount struct {
	Kind    string `json:"kind"` // prompt or booking
	Status  string `json:"status"`
	Reason  string `json:"reason"`
	Verdict string `json:"verdict"`
	Count   int    `json:"count"`
}

// BookingSummary compares the bookings that clients sent with those that the service recorded.
type BookingSummary struct {
	Keys       int `json:"asked"`    // idempotency keys
	Sent       int `json:"sends"`    // including second sends
	Answered   int `json:"answered"` // keys with at least one success
	Recorded   int `json:"recorded"` // executed bookings
	Duplicates int `json:"doubles"`  // executed bookings beyond the first with the same key
}

// QuantileCurve is the TTFT distribution of one length class.
type QuantileCurve struct {
	Name      string
	Quantiles []float64 // 0 to 1
	Millis    []float64
}

// Summarize evaluates the outcomes of a load. The parameter records holds the executed bookings. If it is nil, they are unknown and
// the outcomes are not checked against them.
func Summarize(name string, outcomes []Outcome, records []BookingRecord) Summary {
	s := Summary{Name: name, Violations: []string{}}
	histograms := map[customer.Class]*hdrhistogram.Histogram{}
	classes := map[customer.Class]*ClassSummary{}
	for _, c := range customer.Classes() {
		histograms[c] = hdrhistogram.New(minTimeMicros, maxTimeMicros, timeSignificantDigits)
		classes[c] = &ClassSummary{GroupCounts: GroupCounts{Name: c.String()}}
	}
	customers, seconds := map[string]*GroupCounts{}, map[string]*GroupCounts{}
	failures := map[FailureCount]int{}
	for _, o := range outcomes {
		s.MaxSendDelay = max(s.MaxSendDelay, millis(o.SendDelay))
		kind := "prompt"
		if o.Request.Booking {
			kind = "booking"
		}
		if o.Status != Answered {
			failures[FailureCount{Kind: kind, Status: o.Status.String(), Reason: o.Reason, Verdict: o.Verdict}]++
		}
		s.checkOutcome(o)
		if o.Request.Booking {
			continue
		}
		class := o.Request.Class()
		classes[class].Add(o)
		groupOf(customers, o.Request.Customer.Name).Add(o)
		groupOf(seconds, fmt.Sprintf("%04d", int(o.Request.At.Seconds()))).Add(o)
		if o.TTFT > 0 {
			histograms[class].RecordValue(min(maxTimeMicros, max(minTimeMicros, o.TTFT.Microseconds())))
		}
	}
	for _, class := range customer.Classes() {
		c, h := classes[class], histograms[class]
		quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		c.P50, c.P90, c.P99, c.P999, c.Max = quantile(50), quantile(90), quantile(99), quantile(99.9), quantile(100)
		s.Classes = append(s.Classes, *c)
		s.Curves = append(s.Curves, quantileCurve(class.String(), h))
	}
	s.Customers, s.Seconds = sortedGroups(customers), sortedGroups(seconds)
	for f, n := range failures {
		f.Count = n
		s.Failures = append(s.Failures, f)
	}
	slices.SortFunc(s.Failures, func(a, b FailureCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind+a.Status+a.Reason, b.Kind+b.Status+b.Reason))
	})
	s.checkBookings(outcomes, records)
	return s
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// groupOf returns the counts of the named group, which it creates if necessary.
func groupOf(m map[string]*GroupCounts, name string) *GroupCounts {
	if m[name] == nil {
		m[name] = &GroupCounts{Name: name}
	}
	return m[name]
}

// sortedGroups returns the groups in the order of their names.
func sortedGroups(m map[string]*GroupCounts) []GroupCounts {
	all := []GroupCounts{}
	for _, counts := range m {
		all = append(all, *counts)
	}
	slices.SortFunc(all, func(a, b GroupCounts) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// quantileCurve samples the quantiles of h at distances that shrink towards the high quantiles.
func quantileCurve(name string, h *hdrhistogram.Histogram) QuantileCurve {
	c := QuantileCurve{Name: name}
	if h.TotalCount() == 0 {
		return c
	}
	for q := 0.0; q < 0.9995; q += max(0.0005, (1-q)/20) {
		c.Quantiles = append(c.Quantiles, q)
		c.Millis = append(c.Millis, float64(h.ValueAtQuantile(q*100))/1000)
	}
	return c
}

// checkOutcome records a violation if the outcome breaks an invariant; see section 2.2 of docs/design.md.
func (s *Summary) checkOutcome(o Outcome) {
	switch {
	case o.Status == WrongAnswer:
		s.Violations = append(s.Violations, fmt.Sprintf("invariant 5: request %s: %s", o.RequestID, o.Detail))
	case !o.Request.Booking && o.Total > o.Deadline+deadlineSlack:
		s.Violations = append(s.Violations, fmt.Sprintf("invariant 1: request %s of %d tokens %s after %v, its deadline is %v",
			o.RequestID, o.Request.Tokens, o.Status, o.Total.Round(time.Millisecond), o.Deadline))
	}
}

// checkBookings counts the bookings. It records a violation for each key whose booking was executed more than once, was executed
// although all sends were refused, or was not executed although a send was answered.
func (s *Summary) checkBookings(outcomes []Outcome, records []BookingRecord) {
	type keyCounts struct{ sends, answered, refused, ran int }
	keys := map[string]*keyCounts{}
	for _, o := range outcomes {
		if !o.Request.Booking {
			continue
		}
		k := keys[o.Request.Key]
		if k == nil {
			k = &keyCounts{}
			keys[o.Request.Key] = k
			s.Bookings.Keys++
		}
		s.Bookings.Sent++
		k.sends++
		switch o.Status {
		case Answered:
			k.answered++
		case Refused:
			k.refused++
		}
	}
	for _, r := range records {
		if k := keys[r.Key]; k != nil {
			k.ran++
			s.Bookings.Recorded++
		}
	}
	for key, k := range keys {
		if k.answered > 0 {
			s.Bookings.Answered++
		}
		s.Bookings.Duplicates += max(0, k.ran-1)
		switch {
		case records == nil:
		case k.ran > 1:
			s.Violations = append(s.Violations, fmt.Sprintf("invariant 7: booking %s ran %d times", key, k.ran))
		case k.ran > 0 && k.refused == k.sends:
			s.Violations = append(s.Violations, fmt.Sprintf("invariant 6: booking %s ran, but every send was answered notRun", key))
		case k.ran == 0 && k.answered > 0:
			s.Violations = append(s.Violations, fmt.Sprintf("invariant 5: booking %s was answered, but did not run", key))
		}
	}
}

// Write prints the summary as text tables.
func (s Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "%s\n", s.Name)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "prompt length\tasked\twhole\tin time\tTTFT p50 ms\tp90\tp99\tp99.9\tmax\t\n")
	for _, c := range s.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", c.Name, c.Sent, c.Answered, c.InTime, c.P50, c.P90,
			c.P99, c.P999, c.Max)
	}
	t.Flush()
	if len(s.Failures) > 0 {
		fmt.Fprint(t, "not answered\tresult\treason\tverdict\tcount\t\n")
		for _, f := range s.Failures {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t\n", f.Kind, f.Status, cmp.Or(f.Reason, "-"), cmp.Or(f.Verdict, "-"), f.Count)
		}
		t.Flush()
	}
	if b := s.Bookings; b.Keys > 0 {
		fmt.Fprintf(w, "bookings: %d asked in %d sends, %d answered, %d recorded, %d ran twice\n", b.Keys, b.Sent, b.Answered,
			b.Recorded, b.Duplicates)
	}
	for i, v := range s.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(w, "and %d further violations\n", len(s.Violations)-i)
			break
		}
		fmt.Fprintf(w, "VIOLATION %s\n", v)
	}
}
