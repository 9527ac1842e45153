// Command goldlab runs stand-ins, loads, demos and experiments for goldcrest.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

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
		Name:     "goldlab",
		Usage:    "runs stand-ins, loads, demos and experiments for goldcrest",
		Commands: []*cli.Command{standinsCommand(), loadCommand(), demoCommand(), experimentCommand()},
	}
}
