package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"goldcrestpath/standin"
)

// closers are closed in reverse order.
type closers []func()

func (c *closers) add(f func()) { *c = append(*c, f) }

func (c closers) close() {
	for i := len(c) - 1; i >= 0; i-- {
		c[i]()
	}
}

func standinsCommand() *cli.Command {
	return &cli.Command{
		Name:  "standins",
		Usage: "runs a log, a VM list, a weight store, engines and booking instances until it is stopped",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "ip", Value: "127.0.0.1", Usage: "loopback address to listen on"},
			&cli.IntFlag{Name: "port", Usage: "first port; each stand-in takes the next one; 0 selects free ports"},
			&cli.IntFlag{Name: "engines", Value: 3, Usage: "number of engines"},
			&cli.IntFlag{Name: "bookings", Value: 1, Usage: "number of booking instances, which share their records"},
			&cli.StringFlag{Name: "model", Value: "small", Usage: "model that the engines serve"},
			&cli.IntFlag{Name: "kvTokens", Value: 400_000, Usage: "KV-cache memory of an engine in tokens"},
			&cli.FloatFlag{Name: "timeScale", Value: 1, Usage: "10 makes the engines ten times as fast"},
			&cli.BoolFlag{Name: "cold", Usage: "start the engines cold"},
			&cli.FloatFlag{Name: "appendRate", Value: 300, Usage: "appends a second of the log"},
			&cli.StringSliceFlag{Name: "vms", Value: []string{"jm-a/1=i-17", "jm-a/2=i-18"}, Usage: "PLACE=INSTANCE of each live VM in the VM list"},
			&cli.DurationFlag{Name: "lag", Value: 5 * time.Second, Usage: "lag of the VM list"},
			&cli.FloatFlag{Name: "weightRate", Value: 1e9, Usage: "bytes a second of the weight store"},
		},
		Action: runStandins,
	}
}

func runStandins(ctx context.Context, cmd *cli.Command) error {
	var open closers
	defer func() { open.close() }()
	port := cmd.Int("port")
	address := func() string {
		a := fmt.Sprintf("%s:%d", cmd.String("ip"), port)
		if port > 0 {
			port++
		}
		return a
	}
	started := func(name string, s interface {
		Address() string
		Close()
	}) {
		open.add(s.Close)
		fmt.Fprintf(cmd.Root().Writer, "%s %s\n", name, s.Address())
	}
	log, err := standin.NewLog(address(), standin.AppendRate(cmd.Float("appendRate")))
	if err != nil {
		return err
	}
	started("log", log)
	list, err := standin.NewVMList(address(), cmd.Duration("lag"))
	if err != nil {
		return err
	}
	var vms []standin.ListedVM
	for _, entry := range cmd.StringSlice("vms") {
		place, instance, ok := strings.Cut(entry, "=")
		if !ok {
			return errors.Errorf("vms: %q is not PLACE=INSTANCE", entry)
		}
		vms = append(vms, standin.ListedVM{Place: place, Instance: instance, State: "live"})
	}
	list.Set(vms...)
	started("vmList", list)
	store, err := standin.NewWeightStore(address(), cmd.Float("weightRate"), time.Minute)
	if err != nil {
		return err
	}
	started("weightStore", store)
	for i := range cmd.Int("engines") {
		cfg := standin.DefaultEngineConfig(fmt.Sprintf("engine-%d", i+1), cmd.String("model"))
		cfg.KVTokens, cfg.TimeScale, cfg.StartCold, cfg.Seed = cmd.Int("kvTokens"), cmd.Float("timeScale"), cmd.Bool("cold"), uint64(i)
		e, err := standin.NewEngine(address(), cfg)
		if err != nil {
			return err
		}
		started(cfg.Name, e)
	}
	records := standin.NewBookings()
	for i := range cmd.Int("bookings") {
		b, err := standin.NewBooking(address(), records)
		if err != nil {
			return err
		}
		started(fmt.Sprintf("booking-%d", i+1), b)
	}
	<-ctx.Done()
	return nil
}
