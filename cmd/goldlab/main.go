// Command goldlab runs stand-ins of outside systems, loads, demos, experiments, measurements and soak tests for goldcrest.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "goldlab:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "goldlab",
		Usage: "run stand-ins, loads, demos, experiments, measurements and soak tests for goldcrest",
		Flags: []cli.Flag{&cli.StringFlag{Name: "logLevel", Value: "error", Usage: "log `LEVEL` of entry VMs in this process: debug, info, warn or error"}},
		Before: func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			level, err := log.ParseLevel(cmd.String("logLevel"))
			if err != nil {
				return ctx, errors.Wrap(err, "--logLevel")
			}
			log.SetLevel(level)
			return ctx, nil
		},
		Commands: []*cli.Command{standinsCommand(), loadCommand(), demoCommand(), experimentCommand(), slopesCommand(), soakCommand(), soakVMCommand()},
	}
}
