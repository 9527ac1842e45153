package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"goldcrestpath/customer"
)

// Figures of the demo, chosen so that it ends within a minute: at this time scale a prompt of 1,000,000 tokens is prefilled
// in about nine seconds.
const (
	demoTimeScale    = 8
	demoEngines      = 3
	demoLength       = 18 * time.Second
	demoLoad         = 0.4
	demoVeryLong     = 25 * time.Second // deadline
	demoBookings     = 5                // a second
	demoDoubledShare = 0.3
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "runs three data centres in this process, takes one out and back, and checks the invariants",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.StringFlag{Name: "out", Usage: "directory for the JSON report and SVG plots"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	w := cmd.Root().Writer
	cfg := newLabConfig(policies[0])
	cfg.timeScale, cfg.enginesPerSite = demoTimeScale, demoEngines
	cfg.deadlines[customer.VeryLong] = demoVeryLong
	l, err := startLab(ctx, cfg)
	if err != nil {
		return err
	}
	defer l.close()
	load := l.load(demoLoad, demoLength, cmd.Uint64("seed"))
	load.BookingRate, load.DoubledShare = demoBookings, demoDoubledShare
	dc, from, to := cfg.dataCentres[0], demoLength/3, 2*demoLength/3
	fmt.Fprintf(w, "%d data centres, %d entry VMs, %d engines, %d customers; %.1f prompts/s of 1,000 to 1,000,000 tokens for %v\n",
		len(cfg.dataCentres), len(l.places), len(l.allEngines()), len(cfg.customers), load.Rate, demoLength)
	fmt.Fprintf(w, "%s is drained after %v and returned after %v\n\n", dc, from, to)

	var check drainCheck
	first, last := check.events(l, dc, from+drainWithin, to)
	events := []event{{from, l.setDrained(dc, true)}, first, last, {to, l.setDrained(dc, false)}}
	r, err := l.run(ctx, "demo", load, os.Stderr, events...)
	if err != nil {
		return err
	}
	r.violate(check.begun(), 0, "invariant 4: %d requests began in the drained data centre")
	r.summary.Write(w)
	fmt.Fprintf(w, "in time before, during and after the drain: %s, %s, %s\n", percent(r.share(0, from, nil)),
		percent(r.share(from, to, nil)), percent(r.share(to, demoLength, nil)))
	fmt.Fprintf(w, "requests begun in the drained data centre later than %v after the drain: %d\n", drainWithin, check.begun())
	c := r.engines
	fmt.Fprintf(w, "engines: %d overcommits, %d leaks, %d cold falls, %d repeated request IDs, %d of %d prompt tokens from cache\n",
		c.Overcommits, c.Leaks, c.ColdFalls, c.Duplicates, c.CachedTokens, c.CachedTokens+c.PrefillTokens)
	if err := writeReport(cmd.String("out"), r.summary); err != nil {
		return err
	}
	return violated(len(r.summary.Violations))
}
