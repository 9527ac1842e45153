package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"goldcrestpath/customer"
)

// Parameters of the demo. With them it ends within a minute: at this time scale the prefill of a prompt of 1,000,000 tokens takes
// about nine seconds.
const (
	demoTimeScale            = 8
	demoEnginesPerDataCentre = 3
	demoDuration             = 18 * time.Second
	demoCapacityShare        = 0.4              // offered load as a share of the engines' capacity
	demoVeryLongDeadline     = 25 * time.Second // deadline for very long prompts
	demoBookingRate          = 5                // per second
	demoDuplicateShare       = 0.3
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run three data centres in this process, drain one and return it to service, and check the invariants",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random `SEED` of the arrivals"},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for the JSON report and SVG plots"},
		},
		Action: runDemo,
	}
}

// runDemo sends a load to a lab, drains the first data centre for the middle third of the load and checks the invariants.
func runDemo(ctx context.Context, cmd *cli.Command) error {
	w := cmd.Root().Writer
	cfg := newLabConfig(policies[0])
	cfg.timeScale, cfg.enginesPerDataCentre = demoTimeScale, demoEnginesPerDataCentre
	cfg.deadlines[customer.VeryLong] = demoVeryLongDeadline
	l, err := startLab(ctx, cfg)
	if err != nil {
		return err
	}
	defer l.close()
	load := l.loadConfig(demoCapacityShare, demoDuration, cmd.Uint64("seed"))
	load.BookingRate, load.DuplicateShare = demoBookingRate, demoDuplicateShare
	dc, from, to := cfg.dataCentres[0], demoDuration/3, 2*demoDuration/3
	fmt.Fprintf(w, "%d data centres, %d entry VMs, %d engines, %d customers; %.1f prompts/s of 1,000 to 1,000,000 tokens for %v\n",
		len(cfg.dataCentres), len(l.vms), len(l.allEngines()), len(cfg.customers), load.Rate, demoDuration)
	fmt.Fprintf(w, "%s is drained after %v and returned to service after %v\n\n", dc, from, to)

	var check drainCheck
	first, last := check.sampleEvents(l, dc, from+maxDrainDelay, to)
	events := []event{{from, l.drainAction(dc, true)}, first, last, {to, l.drainAction(dc, false)}}
	r, err := l.run(ctx, "demo", load, os.Stderr, events...)
	if err != nil {
		return err
	}
	r.checkAtMost(check.acceptedRequests(), 0, "invariant 4: %d requests started in the drained data centre")
	r.summary.Write(w)
	fmt.Fprintf(w, "in time before, during and after the drain: %s, %s, %s\n", percent(r.countPrompts(0, from, nil)),
		percent(r.countPrompts(from, to, nil)), percent(r.countPrompts(to, demoDuration, nil)))
	fmt.Fprintf(w, "requests started in the drained data centre more than %v after the drain: %d\n", maxDrainDelay, check.acceptedRequests())
	c := r.engineCounters
	fmt.Fprintf(w, "engines: %d overcommits, %d leaks, %d crashes of cold engines, %d repeated request IDs, %d of %d prompt tokens from cache\n",
		c.Overcommits, c.Leaks, c.ColdCrashes, c.Duplicates, c.CachedTokens, c.CachedTokens+c.PrefillTokens)
	if err := writeReport(cmd.String("out"), r.summary); err != nil {
		return err
	}
	return violationError(len(r.summary.Violations))
}
