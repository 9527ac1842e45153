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

// policies are compared in every experiment: the product's own and the two baselines.
var policies = []string{"affinity", "roundRobin", "leastOutstanding"}

// experiment is a comparison of the policies under one kind of load or fault.
type experiment struct {
	name    string
	usage   string
	columns []string
	run     func(ctx context.Context, t *trial) ([]string, error) // one row of the table, without the policy
}

// trial is the run of an experiment with one policy.
type trial struct {
	policy    string
	length    time.Duration
	seed      uint64
	part      float64 // of the fleet's capacity
	progress  io.Writer
	summaries []standin.Summary
}

// veryLongAbove is the prompt length that the target for short prompts speaks of.
const veryLongAbove = 100_000

var experiments = []experiment{
	{
		name: "shortSlowdown", usage: "p99 TTFT of short prompts with and without one prompt in fifty above 100,000 tokens",
		columns: []string{"p50 without", "p50 with", "p99 without", "p99 with", "ratio", "short in time", "long in time", "very long in time"},
		run:     runShortSlowdown,
	},
	{
		name: "drainReturn", usage: "service while a data centre is drained for the middle third",
		columns: []string{"before", "drained", "returned", "begun while drained", "short p99", "refused", "failed"},
		run:     runDrainReturn,
	},
	{
		name: "coldReturn", usage: "service while all engines of a data centre crash and return cold after a third",
		columns: []string{"before", "after", "last third", "cold falls", "short p99", "refused", "failed"},
		run:     runColdReturn,
	},
	{
		name: "flood", usage: "service of the others while the largest customer sends ten times as much in the middle third",
		columns: []string{"others before", "others in flood", "others after", "flooder in flood", "others' short p99", "refused", "failed"},
		run:     runFlood,
	},
	{
		name: "partition", usage: "service while a data centre cannot reach the platform for the middle third",
		columns: []string{"before", "partitioned", "after", "short p99", "refused", "failed", "bookings refused"},
		run:     runPartition,
	},
	{
		name: "bookings", usage: "keyed bookings, half of them sent twice, while answers are lost and the log is out",
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
		Usage:       "compares the routing policy with both baselines",
		ArgsUsage:   "NAME",
		Description: strings.Join(names, "\n"),
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "seconds", Value: 60, Usage: "length of each load"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.FloatFlag{Name: "load", Value: 0.7, Usage: "load as a part of the engines' capacity"},
			&cli.StringSliceFlag{Name: "policy", Usage: "policy to run; may be repeated (default: all)"},
			&cli.StringFlag{Name: "out", Usage: "directory for the JSON report and SVG plots"},
		},
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, cmd *cli.Command) error {
	chosen := slices.IndexFunc(experiments, func(e experiment) bool { return e.name == cmd.Args().First() })
	if chosen < 0 || cmd.Args().Len() != 1 {
		return errors.New("experiment takes one NAME; see goldlab experiment --help")
	}
	length, err := seconds(cmd.Float("seconds"))
	if err != nil {
		return err
	}
	e, w := experiments[chosen], cmd.Root().Writer
	violations := 0
	var rows [][]string
	var summaries []standin.Summary
	selected := cmd.StringSlice("policy")
	if len(selected) == 0 {
		selected = policies
	}
	for _, policy := range selected {
		if !slices.Contains(policies, policy) {
			return errors.Errorf("policy %q is none of %s", policy, strings.Join(policies, ", "))
		}
		fmt.Fprintf(os.Stderr, "%s with %s\n", e.name, policy)
		t := &trial{policy: policy, length: length, seed: cmd.Uint64("seed"), part: cmd.Float("load"), progress: os.Stderr}
		row, err := e.run(ctx, t)
		if err != nil {
			return errors.Wrap(err, policy)
		}
		broken := 0
		for _, s := range t.summaries {
			broken += len(s.Violations)
		}
		if policy == policies[0] {
			violations = broken
		}
		rows = append(rows, slices.Concat([]string{policy}, row, []string{fmt.Sprint(broken)}))
		summaries = append(summaries, t.summaries...)
	}
	for _, s := range summaries {
		s.Write(w)
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "%s, %v at %.0f%% load, seed %d\n", e.name, length, 100*cmd.Float("load"), cmd.Uint64("seed"))
	writeTable(w, slices.Concat([]string{"policy"}, e.columns, []string{"violations"}), rows)
	if err := writeReport(cmd.String("out"), summaries...); err != nil {
		return err
	}
	return violated(violations)
}

// violated returns an error where an invariant was broken. The baselines send without grants, so that their violations are
// part of the comparison and do not fail an experiment.
func violated(n int) error {
	if n > 0 {
		return errors.Errorf("%d violations of the invariants", n)
	}
	return nil
}

func writeTable(w io.Writer, columns []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range append([][]string{columns}, rows...) {
		fmt.Fprintf(t, "%s\t\n", strings.Join(row, "\t"))
	}
	t.Flush()
}

// runIn starts a lab, sends one load with the events that plan returns and keeps the summary.
func (t *trial) runIn(ctx context.Context, name string, plan func(l *lab, cfg *standin.LoadConfig) []event) (*result, error) {
	l, err := startLab(ctx, newLabConfig(t.policy))
	if err != nil {
		return nil, err
	}
	defer l.close()
	cfg := l.load(t.part, t.length, t.seed)
	events := plan(l, &cfg)
	r, err := l.run(ctx, t.policy+" "+name, cfg, t.progress, events...)
	if err == nil {
		t.summaries = append(t.summaries, r.summary)
	}
	return r, err
}

// thirds returns the bounds of the middle third of the load.
func (t *trial) thirds() (from, to time.Duration) { return t.length / 3, 2 * t.length / 3 }

func percent(s standin.ServiceShare) string {
	if s.Asked == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*s.Share())
}

func milliseconds(v float64) string { return fmt.Sprintf("%.0f ms", v) }

// count returns the number of prompts with a status.
func (r *result) count(status standin.Status) int {
	n := 0
	for _, o := range r.outcomes {
		if !o.Arrival.Booking && o.Status == status {
			n++
		}
	}
	return n
}

// losses returns the cells for refused prompts and for those that failed in any other way.
func (r *result) losses() []string {
	return []string{fmt.Sprint(r.count(standin.Refused)), fmt.Sprint(r.count(standin.Failed) + r.count(standin.Broken))}
}

// short returns the times to first token of short prompts.
func (r *result) short() standin.ClassSummary { return r.summary.Classes[customer.Short] }

func runShortSlowdown(ctx context.Context, t *trial) ([]string, error) {
	without, err := t.runIn(ctx, "without very long", func(_ *lab, cfg *standin.LoadConfig) []event {
		cfg.WithoutLonger = veryLongAbove
		return nil
	})
	if err != nil {
		return nil, err
	}
	with, err := t.runIn(ctx, "with very long", func(*lab, *standin.LoadConfig) []event { return nil })
	if err != nil {
		return nil, err
	}
	a, b := without.short(), with.short()
	ratio := "-"
	if a.P99 > 0 {
		ratio = fmt.Sprintf("%.2f", b.P99/a.P99)
	}
	return []string{
		milliseconds(a.P50), milliseconds(b.P50), milliseconds(a.P99), milliseconds(b.P99), ratio, percent(b.ServiceShare),
		percent(with.summary.Classes[customer.Long].ServiceShare), percent(with.summary.Classes[customer.VeryLong].ServiceShare),
	}, nil
}

func runDrainReturn(ctx context.Context, t *trial) ([]string, error) {
	from, to := t.thirds()
	var check drainCheck
	r, err := t.runIn(ctx, "drain and return", func(l *lab, _ *standin.LoadConfig) []event {
		dc := l.cfg.dataCentres[0]
		first, last := check.events(l, dc, from+drainWithin, to)
		return []event{{from, l.setDrained(dc, true)}, first, last, {to, l.setDrained(dc, false)}}
	})
	if err != nil {
		return nil, err
	}
	return append([]string{
		percent(r.share(0, from, nil)), percent(r.share(from, to, nil)), percent(r.share(to, t.length, nil)),
		fmt.Sprint(check.begun()), milliseconds(r.short().P99),
	}, r.losses()...), nil
}

func runColdReturn(ctx context.Context, t *trial) ([]string, error) {
	from, to := t.thirds()
	r, err := t.runIn(ctx, "cold return", func(l *lab, _ *standin.LoadConfig) []event {
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
		percent(r.share(0, from, nil)), percent(r.share(from, to, nil)), percent(r.share(to, t.length, nil)),
		fmt.Sprint(r.engines.ColdFalls), milliseconds(r.short().P99),
	}, r.losses()...), nil
}

// floodFactor is how many times its usual rate the flooding customer sends.
const floodFactor = 10

func runFlood(ctx context.Context, t *trial) ([]string, error) {
	from, to := t.thirds()
	var flooder string
	r, err := t.runIn(ctx, "flood", func(_ *lab, cfg *standin.LoadConfig) []event {
		flooder = cfg.Customers[0].Name
		cfg.Surge = standin.Surge{Customer: flooder, Factor: floodFactor, From: from, To: to}
		return nil
	})
	if err != nil {
		return nil, err
	}
	others := func(o standin.Outcome) bool { return o.Arrival.Customer.Name != flooder }
	own := func(o standin.Outcome) bool { return !others(o) }
	small := slices.DeleteFunc(slices.Clone(r.outcomes), own)
	p99 := standin.Summarize("", small, nil).Classes[customer.Short].P99
	return append([]string{
		percent(r.share(0, from, others)), percent(r.share(from, to, others)), percent(r.share(to, t.length, others)),
		percent(r.share(from, to, own)), milliseconds(p99),
	}, r.losses()...), nil
}

func runPartition(ctx context.Context, t *trial) ([]string, error) {
	from, to := t.thirds()
	r, err := t.runIn(ctx, "partition", func(l *lab, _ *standin.LoadConfig) []event {
		dc := l.cfg.dataCentres[0]
		return []event{{from, l.setPartitioned(dc, true)}, {to, l.setPartitioned(dc, false)}}
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
		percent(r.share(0, from, nil)), percent(r.share(from, to, nil)), percent(r.share(to, t.length, nil)),
		milliseconds(r.short().P99),
	}, r.losses(), []string{fmt.Sprint(refused)}), nil
}

// Rates and faults of the bookings experiment.
const (
	bookingsRate    = 20 // a second
	bookingsDoubled = 0.5
	bookingsLost    = 5 // answers lost by each stand-in at a time
)

func runBookings(ctx context.Context, t *trial) ([]string, error) {
	r, err := t.runIn(ctx, "bookings", func(l *lab, cfg *standin.LoadConfig) []event {
		cfg.Rate, cfg.BookingRate, cfg.DoubledShare = 1, bookingsRate, bookingsDoubled
		services := l.bookings[l.cfg.dataCentres[0]]
		eighth := t.length / 8
		at := func(n int, do func()) event {
			return event{time.Duration(n) * eighth, func(context.Context) error { do(); return nil }}
		}
		return []event{
			at(1, func() { l.log.LoseAnswers(bookingsLost) }),
			at(2, func() { services[0].LoseAnswers(bookingsLost) }),
			at(3, func() { services[0].SetRefuse(true) }),
			at(4, func() { services[0].SetRefuse(false); l.log.SetOutage(standin.OutageRefuse) }),
			at(5, func() { l.log.SetOutage(standin.OutageSilent) }),
			at(6, func() { l.log.SetOutage(standin.OutageNone); services[0].Stop() }),
			{7 * eighth, func(context.Context) error { return services[0].Start() }},
		}
	})
	if err != nil {
		return nil, err
	}
	verdicts := map[string]int{}
	for _, f := range r.summary.Failures {
		if f.Kind == "booking" {
			verdicts[f.Verdict] += f.Count
		}
	}
	b := r.summary.Bookings
	var cells []string
	for _, n := range []int{
		b.Asked, b.Sends, b.Answered, b.Recorded, b.Doubles, verdicts[customer.NotRun.String()],
		verdicts[customer.MayHaveRun.String()], verdicts[""],
	} {
		cells = append(cells, fmt.Sprint(n))
	}
	return cells, nil
}
