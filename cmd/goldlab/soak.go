package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"goldcrestpath/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run gateways under random faults and check what callers and endpoints receive; exit with code 1 if a guarantee is violated",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "path of the goldcrest `BINARY`, by default the gateway of this program, whose paths to endpoints are cut as well"},
			&cli.StringFlag{Name: "out", Value: "out/soak", Usage: "`DIRECTORY` for logs and timelines, one for each seed"},
			&cli.Uint64Flag{Name: "seed", Value: uint64(time.Now().UnixNano() % 1e9), Usage: "first `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds to run"},
			&cli.DurationFlag{Name: "duration", Value: 12 * time.Second, Usage: "time for which each seed injects faults"},
			&cli.IntFlag{Name: "vms", Value: 4},
			&cli.IntFlag{Name: "endpoints", Value: 6},
			&cli.IntFlag{Name: "clients", Value: 16},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			failed := 0
			program, cuts := cmd.String("program"), false
			if program == "" {
				var err error
				if program, err = os.Executable(); err != nil {
					return err
				}
				cuts = true
			}
			for i := range cmd.Int("seeds") {
				cfg := soak.Config{
					Program: program, Cuts: cuts, Seed: cmd.Uint64("seed") + uint64(i), Duration: cmd.Duration("duration"),
					VMs: cmd.Int("vms"), Endpoints: cmd.Int("endpoints"), Clients: cmd.Int("clients"),
				}
				cfg.Dir = filepath.Join(cmd.String("out"), fmt.Sprint(cfg.Seed))
				r, err := soak.Run(cfg)
				if err != nil {
					return errors.Wrapf(err, "seed %d", cfg.Seed)
				}
				fmt.Fprintf(cmd.Root().Writer, "seed %d: %v\n", cfg.Seed, r)
				if len(r.Violations) > 0 {
					failed++
				}
			}
			if failed > 0 {
				return errors.Errorf("%d seeds violated a guarantee; their logs are in %s", failed, cmd.String("out"))
			}
			return nil
		},
	}
}

// soakVMCommand returns the command that runs one VM of a soak run.
func soakVMCommand() *cli.Command {
	return &cli.Command{
		Name:   "soak-vm",
		Usage:  "run a gateway whose paths to endpoints are cut as a file states",
		Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
			&cli.StringFlag{Name: "paths", Usage: "`FILE` with hang, reset or refuse, or nothing", Required: true},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return soak.ServeVM(cmd.String("settings"), cmd.String("paths"), cmd.Root().Writer)
		},
	}
}
