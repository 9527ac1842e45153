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

// closers is a list of cleanup functions. The method close calls them in reverse order.
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
		Usage: "run a log, a VM list, a weight store, engines and booking instances until interrupted",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "ip", Value: "127.0.0.1", Usage: "loopback address to listen on"},
			&cli.IntFlag{Name: "port", Usage: "first port; each further stand-in uses the next one; 0 selects free ports"},
			&cli.IntFlag{Name: "engines", Value: 3, Usage: "number of engines"},
			&cli.IntFlag{Name: "bookings", Value: 1, Usage: "number of booking instances, which share their records"},
			&cli.StringFlag{Name: "model", Value: "small", Usage: "model that the engines serve"},
			&cli.IntFlag{Name: "kvTokens", Value: 400_000, Usage: "KV cache size of an engine in tokens"},
			&cli.FloatFlag{Name: "timeScale", Value: 1, Usage: "speed of the engines as a multiple of the normal speed"},
			&cli.BoolFlag{Name: "cold", Usage: "start the engines cold"},
			&cli.FloatFlag{Name: "appendRate", Value: 300, Usage: "appends per second that the log accepts"},
			&cli.StringSliceFlag{Name: "vms", Value: []string{"jm-a/1=i-17", "jm-a/2=i-18"}, Usage: "NAME=INSTANCE of each live VM in the VM list"},
			&cli.DurationFlag{Name: "lag", Value: 5 * time.Second, Usage: "delay until the VM list shows a change"},
			&cli.FloatFlag{Name: "weightRate", Value: 1e9, Usage: "bytes per second that the weight store sends"},
		},
		Action: runStandins,
	}
}

// runStandins starts the stand-ins, prints the name and address of each one and waits until ctx ends.
func runStandins(ctx context.Context, cmd *cli.Command) error {
	var cleanup closers
	defer func() { cleanup.close() }()
	port := cmd.Int("port")
	address := func() string {
		a := fmt.Sprintf("%s:%d", cmd.String("ip"), port)
		if port > 0 {
			port++
		}
		return a
	}
	register := func(name string, s interface {
		Address() string
		Close()
	}) {
		cleanup.add(s.Close)
		fmt.Fprintf(cmd.Root().Writer, "%s %s\n", name, s.Address())
	}
	log, err := standin.NewLog(address(), standin.WithAppendRate(cmd.Float("appendRate")))
	if err != nil {
		return err
	}
	register("log", log)
	list, err := standin.NewVMList(address(), cmd.Duration("lag"))
	if err != nil {
		return err
	}
	var vms []standin.ListedVM
	for _, value := range cmd.StringSlice("vms") {
		name, instance, ok := strings.Cut(value, "=")
		if !ok {
			return errors.Errorf("--vms: %q is not NAME=INSTANCE", value)
		}
		vms = append(vms, standin.ListedVM{Name: name, Instance: instance, State: "live"})
	}
	list.Set(vms...)
	register("vmList", list)
	store, err := standin.NewWeightStore(address(), cmd.Float("weightRate"), time.Minute)
	if err != nil {
		return err
	}
	register("weightStore", store)
	for i := range cmd.Int("engines") {
		cfg := standin.DefaultEngineConfig(fmt.Sprintf("engine-%d", i+1), cmd.String("model"))
		cfg.KVTokens, cfg.TimeScale, cfg.StartCold, cfg.Seed = cmd.Int("kvTokens"), cmd.Float("timeScale"), cmd.Bool("cold"), uint64(i)
		e, err := standin.NewEngine(address(), cfg)
		if err != nil {
			return err
		}
		register(cfg.Name, e)
	}
	records := standin.NewBookingStore()
	for i := range cmd.Int("bookings") {
		b, err := standin.NewBookingService(address(), records)
		if err != nil {
			return err
		}
		register(fmt.Sprintf("booking-%d", i+1), b)
	}
	<-ctx.Done()
	return nil
}
