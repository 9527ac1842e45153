// Command goldlab runs stand-ins, loads, demos and experiments for goldcrest.
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
	if err := app().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "goldlab:", err)
		os.Exit(1)
	}
}

func app() *cli.Command {
	return &cli.Command{
		Name:  "goldlab",
		Usage: "runs stand-ins, loads, demos and experiments for goldcrest",
		Flags: []cli.Flag{&cli.StringFlag{Name: "logLevel", Value: "error", Usage: "debug, info, warn or error; of entry VMs in this process"}},
		Before: func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			level, err := log.ParseLevel(cmd.String("logLevel"))
			if err != nil {
				return ctx, errors.Wrap(err, "--logLevel")
			}
			log.SetLevel(level)
			return ctx, nil
		},
		Commands: []*cli.Command{standinsCommand(), loadCommand(), demoCommand(), experimentCommand(), slopesCommand(), soakCommand()},
	}
}
