package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"goldcrestpath/customer"
	"goldcrestpath/standin"
)

// policies lists the routing policies that every experiment compares: the default policy, then the two baselines.
var policies = []string{"affinity", "roundRobin", "leastOutstanding"}

// experiment compares the policies under one kind of load or fault.
type experiment struct {
	name    string
	usage   string
	columns []string
	run     func(ctx context.Context, t *trial) ([]string, error) // returns the cells for columns
}

// trial is the run of an experiment with one policy. It collects the summaries of its loads.
type trial struct {
	policy        string
	duration      time.Duration
	seed          uint64
	capacityShare float64 // offered load as a share of the fleet's capacity
	progress      io.Writer
	summaries     []standin.Summary
}

// veryLongAbove is the prompt length in tokens above which a prompt counts as very long. The TTFT target for short prompts limits how
// much very long prompts may slow them down.
const veryLongAbove = 100_000

var experiments = []experiment{
	{
		name: "shortSlowdown", usage: "TTFT of short prompts with and without prompts above 100,000 tokens, which are one in fifty",
		columns: []string{"p50 without", "p50 with", "p99 without", "p99 with", "ratio", "short in time", "long in time", "very long in time"},
		run:     runShortSlowdown,
	},
	{
		name: "drainReturn", usage: "service while a data centre is drained for the middle third of the load",
		columns: []string{"before", "drained", "returned", "begun while drained", "short p99", "refused", "failed"},
		run:     runDrainReturn,
	},
	{
		name: "coldReturn", usage: "service while all engines of a data centre crash after a third of the load and restart cold",
		columns: []string{"before", "after", "last third", "cold falls", "short p99", "refused", "failed"},
		run:     runColdReturn,
	},
	{
		name: "flood", usage: "service of the other customers while the largest one sends at ten times its usual rate for the middle third of the load",
		columns: []string{"others before", "others in flood", "others after", "flooder in flood", "others' short p99", "refused", "failed"},
		run:     runFlood,
	},
	{
		name: "partition", usage: "service while a data centre cannot reach the platform for the middle third of the load",
		columns: []string{"before", "partitioned", "after", "short p99", "refused", "failed", "bookings refused"},
		run:     runPartition,
	},
	{
		name: "bookings", usage: "bookings with idempotency keys, half of them sent twice, while answers are lost and the log is unavailable",
		columns: []string{"asked", "sends", "answered", "recorded", "ran twice", "not run", "may have run", "without answer"},
		run:     runBookings,
	},
}

func experimentCommand() *cli.Command {
	var names []string
	for _, e := range experiments {
		names = append(names, fmt.Sprintf("  %-14s %s", e.name, e.usage))
	}
	return &cli.Command{
		Name:        "experiment",
		Usage:       "compare the default routing policy with the two baselines",
		ArgsUsage:   "NAME",
		Description: strings.Join(names, "\n"),
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "seconds", Value: 60, Usage: "duration of each load in seconds"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random `SEED` of the arrivals"},
			&cli.FloatFlag{Name: "load", Value: 0.7, Usage: "offered load as a share of the engines' capacity"},
			&cli.StringSliceFlag{Name: "policy", Usage: "`POLICY` to run; may be repeated (default: all)"},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for the JSON report and SVG plots"},
		},
		Action: runExperiment,
	}
}

// runExperiment runs one experiment with each selected policy and prints a table of the results.
func runExperiment(ctx context.Context, cmd *cli.Command) error {
	index := slices.IndexFunc(experiments, func(e experiment) bool { return e.name == cmd.Args().First() })
	if index < 0 || cmd.Args().Len() != 1 {
		return errors.New("experiment takes one NAME; see goldlab experiment --help")
	}
	duration, err := loadDuration(cmd.Float("seconds"))
	if err != nil {
		return err
	}
	e, w := experiments[index], cmd.Root().Writer
	violations := 0
	var rows [][]string
	var summaries []standin.Summary
	selected := cmd.StringSlice("policy")
	if len(selected) == 0 {
		selected = policies
	}
	for _, policy := range selected {
		if !slices.Contains(policies, policy) {
			return errors.Errorf("policy %q is unknown; allowed are %s", policy, strings.Join(policies, ", "))
		}
		fmt.Fprintf(os.Stderr, "%s with %s\n", e.name, policy)
		t := &trial{policy: policy, duration: duration, seed: cmd.Uint64("seed"), capacityShare: cmd.Float("load"), progress: os.Stderr}
		row, err := e.run(ctx, t)
		if err != nil {
			return errors.Wrap(err, policy)
		}
		policyViolations := 0
		for _, s := range t.summaries {
			policyViolations += len(s.Violations)
		}
		if policy == policies[0] {
			violations = policyViolations
		}
		rows = append(rows, slices.Concat([]string{policy}, row, []string{fmt.Sprint(policyViolations)}))
		summaries = append(summaries, t.summaries...)
	}
	for _, s := range summaries {
		s.Write(w)
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "%s, %v at %.0f%% load, seed %d\n", e.name, duration, 100*cmd.Float("load"), cmd.Uint64("seed"))
	writeTable(w, slices.Concat([]string{"policy"}, e.columns, []string{"violations"}), rows)
	if err := writeReport(cmd.String("out"), summaries...); err != nil {
		return err
	}
	return violationError(violations)
}

// violationError returns an error if n is above 0. Experiments count only the violations of the default policy: the baselines
// send requests without grants, so their violations are part of the comparison.
func violationError(n int) error {
	if n > 0 {
		return errors.Errorf("%d violations of the invariants", n)
	}
	return nil
}

// writeTable writes the column headers and the rows as a right-aligned table.
func writeTable(w io.Writer, columns []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range append([][]string{columns}, rows...) {
		fmt.Fprintf(t, "%s\t\n", strings.Join(row, "\t"))
	}
	t.Flush()
}

// runInLab starts a lab, sends one load to it and records the summary. The function plan may change the load before it starts. It
// returns the events to run during the load.
func (t *trial) runInLab(ctx context.Context, name string, plan func(l *lab, cfg *standin.LoadConfig) []event) (*result, error) {
	l, err := startLab(ctx, newLabConfig(t.policy))
	if err != nil {
		return nil, err
	}
	defer l.close()
	cfg := l.loadConfig(t.capacityShare, t.duration, t.seed)
	events := plan(l, &cfg)
	r, err := l.run(ctx, t.policy+" "+name, cfg, t.progress, events...)
	if err == nil {
		t.summaries = append(t.summaries, r.summary)
	}
	return r, err
}

// middleThird returns the start and end of the middle third of the load.
func (t *trial) middleThird() (from, to time.Duration) { return t.duration / 3, 2 * t.duration / 3 }

// percent formats the share of prompts that were answered completely and in time.
func percent(counts standin.GroupCounts) string {
	if counts.Sent == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*counts.InTimeShare())
}

// milliseconds formats a time in milliseconds.
func milliseconds(v float64) string { return fmt.Sprintf("%.0f ms", v) }

// promptsWithStatus returns the number of prompts with the given status, without bookings.
func (r *result) promptsWithStatus(status standin.Status) int {
	n := 0
	for _, o := range r.outcomes {
		if !o.Request.Booking && o.Status == status {
			n++
		}
	}
	return n
}

// failureCells returns two table cells: the number of refused prompts and the number of prompts that failed otherwise.
func (r *result) failureCells() []string {
	return []string{fmt.Sprint(r.promptsWithStatus(standin.Refused)), fmt.Sprint(r.promptsWithStatus(standin.Failed) + r.promptsWithStatus(standin.Incomplete))}
}

// shortSummary returns the summary of the short prompts, which includes their TTFT.
func (r *result) shortSummary() standin.ClassSummary { return r.summary.Classes[customer.Short] }

// runShortSlowdown sends the same load without and with prompts above veryLongAbove, and compares the TTFT of short prompts.
func runShortSlowdown(ctx context.Context, t *trial) ([]string, error) {
	without, err := t.runInLab(ctx, "without very long", func(_ *lab, cfg *standin.LoadConfig) []event {
		cfg.MaxPromptTokens = veryLongAbove
		return nil
	})
	if err != nil {
		return nil, err
	}
	with, err := t.runInLab(ctx, "with very long", func(*lab, *standin.LoadConfig) []event { return nil })
	if err != nil {
		return nil, err
	}
	a, b := without.shortSummary(), with.shortSummary()
	ratio := "-"
	if a.P99 > 0 {
		ratio = fmt.Sprintf("%.2f", b.P99/a.P99)
	}
	return []string{
		milliseconds(a.P50), milliseconds(b.P50), milliseconds(a.P99), milliseconds(b.P99), ratio, percent(b.GroupCounts),
		percent(with.summary.Classes[customer.Long].GroupCounts), percent(with.summary.Classes[customer.VeryLong].GroupCounts),
	}, nil
}

// runDrainReturn drains a data centre for the middle third of the load and counts the requests that it still receives.
func runDrainReturn(ctx context.Context, t *trial) ([]string, error) {
	from, to := t.middleThird()
	var check drainCheck
	r, err := t.runInLab(ctx, "drain and return", func(l *lab, _ *standin.LoadConfig) []event {
		dc := l.cfg.dataCentres[0]
		first, last := check.sampleEvents(l, dc, from+maxDrainDelay, to)
		return []event{{from, l.drainAction(dc, true)}, first, last, {to, l.drainAction(dc, false)}}
	})
	if err != nil {
		return nil, err
	}
	return append([]string{
		percent(r.countPrompts(0, from, nil)), percent(r.countPrompts(from, to, nil)), percent(r.countPrompts(to, t.duration, nil)),
		fmt.Sprint(check.acceptedRequests()), milliseconds(r.shortSummary().P99),
	}, r.failureCells()...), nil
}

// runColdReturn crashes all engines of a data centre after a third of the load. They restart cold.
func runColdReturn(ctx context.Context, t *trial) ([]string, error) {
	from, to := t.middleThird()
	r, err := t.runInLab(ctx, "cold return", func(l *lab, _ *standin.LoadConfig) []event {
		return []event{{from, func(context.Context) error {
			for _, e := range l.engines[l.cfg.dataCentres[0]] {
				e.Crash()
			}
			return nil
		}}}
	})
	if err != nil {
		return nil, err
	}
	return append([]string{
		percent(r.countPrompts(0, from, nil)), percent(r.countPrompts(from, to, nil)), percent(r.countPrompts(to, t.duration, nil)),
		fmt.Sprint(r.engineCounters.ColdCrashes), milliseconds(r.shortSummary().P99),
	}, r.failureCells()...), nil
}

// floodFactor is the rate of the flooding customer as a multiple of its usual rate.
const floodFactor = 10

// runFlood multiplies the rate of one customer by floodFactor for the middle third of the load.
func runFlood(ctx context.Context, t *trial) ([]string, error) {
	from, to := t.middleThird()
	var flooder string
	r, err := t.runInLab(ctx, "flood", func(_ *lab, cfg *standin.LoadConfig) []event {
		flooder = cfg.Customers[0].Name
		cfg.Surge = standin.Surge{Customer: flooder, Factor: floodFactor, From: from, To: to}
		return nil
	})
	if err != nil {
		return nil, err
	}
	fromOthers := func(o standin.Outcome) bool { return o.Request.Customer.Name != flooder }
	fromFlooder := func(o standin.Outcome) bool { return !fromOthers(o) }
	otherOutcomes := slices.DeleteFunc(slices.Clone(r.outcomes), fromFlooder)
	p99 := standin.Summarize("", otherOutcomes, nil).Classes[customer.Short].P99
	return append([]string{
		percent(r.countPrompts(0, from, fromOthers)), percent(r.countPrompts(from, to, fromOthers)), percent(r.countPrompts(to, t.duration, fromOthers)),
		percent(r.countPrompts(from, to, fromFlooder)), milliseconds(p99),
	}, r.failureCells()...), nil
}

// runPartition disconnects a data centre from the platform for the middle third of the load.
func runPartition(ctx context.Context, t *trial) ([]string, error) {
	from, to := t.middleThird()
	r, err := t.runInLab(ctx, "partition", func(l *lab, _ *standin.LoadConfig) []event {
		dc := l.cfg.dataCentres[0]
		return []event{{from, l.partitionAction(dc, true)}, {to, l.partitionAction(dc, false)}}
	})
	if err != nil {
		return nil, err
	}
	refused := 0
	for _, f := range r.summary.Failures {
		if f.Kind == "booking" && f.Status == standin.Refused.String() {
			refused += f.Count
		}
	}
	return slices.Concat([]string{
		percent(r.countPrompts(0, from, nil)), percent(r.countPrompts(from, to, nil)), percent(r.countPrompts(to, t.duration, nil)),
		milliseconds(r.shortSummary().P99),
	}, r.failureCells(), []string{fmt.Sprint(refused)}), nil
}

// Load and faults of the bookings experiment.
const (
	bookingRate           = 20 // per second
	bookingDuplicateShare = 0.5
	lostAnswers           = 5 // number of answers that the log, and then the booking instance, drops
)

// runBookings sends bookings during a series of faults. The log drops answers, then a booking instance drops answers and refuses
// requests, then the log refuses requests and does not answer. Finally the booking instance is stopped and restarted.
func runBookings(ctx context.Context, t *trial) ([]string, error) {
	r, err := t.runInLab(ctx, "bookings", func(l *lab, cfg *standin.LoadConfig) []event {
		cfg.Rate, cfg.BookingRate, cfg.DuplicateShare = 1, bookingRate, bookingDuplicateShare
		services := l.bookings[l.cfg.dataCentres[0]]
		eighth := t.duration / 8
		at := func(n int, do func()) event {
			return event{time.Duration(n) * eighth, func(context.Context) error { do(); return nil }}
		}
		return []event{
			at(1, func() { l.log.DropResponses(lostAnswers) }),
			at(2, func() { services[0].DropResponses(lostAnswers) }),
			at(3, func() { services[0].SetRefusing(true) }),
			at(4, func() { services[0].SetRefusing(false); l.log.SetOutage(standin.OutageRefuse) }),
			at(5, func() { l.log.SetOutage(standin.OutageUnresponsive) }),
			at(6, func() { l.log.SetOutage(standin.OutageNone); services[0].Stop() }),
			{7 * eighth, func(context.Context) error { return services[0].Start() }},
		}
	})
	if err != nil {
		return nil, err
	}
	failuresByVerdict := map[string]int{}
	for _, f := range r.summary.Failures {
		if f.Kind == "booking" {
			failuresByVerdict[f.Verdict] += f.Count
		}
	}
	b := r.summary.Bookings
	var cells []string
	for _, n := range []int{
		b.Keys, b.Sent, b.Answered, b.Recorded, b.Duplicates, failuresByVerdict[customer.NotRun.String()],
		failuresByVerdict[customer.MayHaveRun.String()], failuresByVerdict[""],
	} {
		cells = append(cells, fmt.Sprint(n))
	}
	return cells, nil
}
