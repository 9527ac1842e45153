package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"goldcrestpath/operator"
	"goldcrestpath/oplog"
)

const (
	// waitPoll is the time between two looks at the status.
	waitPoll = 500 * time.Millisecond
	// waitLimit is the default limit of --wait.
	waitLimit = 10 * time.Minute
)

func drainCommand(name, usage string, drained bool) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "TARGET (dataCentre/NAME, vm/PLACE or endpoint/NAME)",
		Flags: clientFlags(
			&cli.BoolFlag{Name: "wait", Usage: "wait until every VM given by --operator applies the change, and after a drain has no work running there"},
			&cli.DurationFlag{Name: "timeout", Usage: "give up --wait after `DURATION`", Value: waitLimit},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := wantArgs(cmd, "TARGET")
			if err != nil {
				return err
			}
			if !oplog.ValidTarget(args[0]) {
				return usagef("target %q: allowed are dataCentre/NAME, vm/PLACE and endpoint/NAME", args[0])
			}
			var d operator.DrainStatus
			err = withClient(ctx, cmd, func(c vmClient) error {
				d, err = c.SetDrain(ctx, args[0], drained)
				return err
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.Root().Writer, "%s: drained %v, generation %d\n", d.Target, d.Drained, d.Generation)
			if !cmd.Bool("wait") {
				return nil
			}
			clients, err := newClients(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
			defer cancel()
			return waitForDrain(ctx, clients, d)
		},
	}
}

// waitForDrain returns when no VM reports that the change is missing or that work is still running.
func waitForDrain(ctx context.Context, clients []vmClient, d operator.DrainStatus) error {
	ticker := time.NewTicker(waitPoll)
	defer ticker.Stop()
	for {
		missing := ""
		for _, c := range clients {
			if s, err := c.Status(ctx); err != nil {
				missing = fmt.Sprintf("%s does not answer: %v", c.address, err)
			} else if m := s.Missing(d); m != "" {
				missing = m
			}
		}
		if missing == "" {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Errorf("%s: gave up waiting: %s", d.Target, missing)
		}
	}
}
