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
	// drainPollInterval is the time between the status requests of --wait.
	drainPollInterval = 500 * time.Millisecond
	// defaultWaitTimeout is the default of --timeout.
	defaultWaitTimeout = 10 * time.Minute
)

// drainCommand returns the command drain, or the command return if drained is false.
func drainCommand(name, usage string, drained bool) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "TARGET (dataCentre/NAME, vm/NAME or endpoint/NAME)",
		Flags: clientFlags(
			&cli.BoolFlag{Name: "wait", Usage: "wait until every VM given by --operator has applied the change and, for a drain, reports no running work on the target"},
			&cli.DurationFlag{Name: "timeout", Usage: "stop waiting after `DURATION`", Value: defaultWaitTimeout},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := requireArgs(cmd, "TARGET")
			if err != nil {
				return err
			}
			if !oplog.ValidDrainTarget(args[0]) {
				return usageErrorf("target %q: allowed are dataCentre/NAME, vm/NAME and endpoint/NAME", args[0])
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

// waitForDrain polls all VMs until each one has applied d and, if d drains the target, reports no running work on it.
func waitForDrain(ctx context.Context, clients []vmClient, d operator.DrainStatus) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		pendingReason := ""
		for _, c := range clients {
			if s, err := c.Status(ctx); err != nil {
				pendingReason = fmt.Sprintf("%s does not answer: %v", c.address, err)
			} else if reason := s.DrainPendingReason(d); reason != "" {
				pendingReason = reason
			}
		}
		if pendingReason == "" {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Errorf("%s: stopped waiting: %s", d.Target, pendingReason)
		}
	}
}
