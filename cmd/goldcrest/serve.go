package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"goldcrestpath/customer"
	"goldcrestpath/gateway"
	"goldcrestpath/operator"
	"goldcrestpath/vm"
)

// entryVM is a running entry VM or gateway that can be stopped.
type entryVM interface {
	Shutdown(ctx context.Context) error
	Close()
}

// newVM starts an entry VM. Tests replace it.
var newVM = func(s *operator.Settings) (entryVM, error) {
	v, err := vm.New(s, vm.WithVersion(version()))
	if err != nil {
		return nil, err // returning v, a nil *vm.VM, would make the entryVM non-nil
	}
	return v, nil
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry VM until SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars(settingsEnvVar)},
			&cli.IntFlag{
				Name: "descriptors", Usage: "file descriptors that a gateway may have open, in place of the settings' `NUMBER`",
				Sources: cli.EnvVars(descriptorsEnvVar), Validator: checkDescriptors,
			},
			&cli.StringSliceFlag{
				Name: "contracts", Usage: "`NAMES` of the platform's contracts in force for a gateway, in place of those in the settings",
				Sources: cli.EnvVars(contractsEnvVar),
			},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := requireArgs(cmd); err != nil {
				return err
			}
			file := cmd.String("settings")
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
			forGateway, err := isGatewaySettings(file)
			if err != nil {
				return err
			}
			if forGateway {
				return serveGateway(ctx, file, gatewayOptions(cmd), signals, cmd.Root().Writer)
			}
			s, err := operator.LoadSettings(file)
			if err != nil {
				return err
			}
			setLogger(s, cmd.Root().ErrWriter)
			return serve(ctx, s, signals)
		},
	}
}

// serve starts an entry VM and runs it until a signal arrives or ctx ends.
func serve(ctx context.Context, s *operator.Settings, signals <-chan os.Signal) error {
	v, err := newVM(s)
	if err != nil {
		return err
	}
	return runUntilSignal(ctx, v, signals)
}

// runUntilSignal waits for a signal or the end of ctx and then shuts v down gracefully. A second signal closes v at once.
func runUntilSignal(ctx context.Context, v entryVM, signals <-chan os.Signal) error {
	select {
	case sig := <-signals:
		log.Infof("goldcrest: stopping on %v", sig)
	case <-ctx.Done():
	}
	stopped := make(chan error, 1)
	go func() { stopped <- v.Shutdown(context.WithoutCancel(ctx)) }()
	select {
	case err := <-stopped:
		v.Close()
		return errors.Wrap(err, "stop")
	case sig := <-signals:
		v.Close()
		return errors.Errorf("graceful stop aborted by a second signal, %v", sig)
	}
}

// Environment variables in place of the flags --settings, --descriptors and --contracts, which override them.
const (
	settingsEnvVar    = "GOLDCRESTPATH_SETTINGS"
	descriptorsEnvVar = "GOLDCREST_DESCRIPTORS"
	contractsEnvVar   = "GOLDCREST_CONTRACTS"
)

// checkDescriptors checks the value of --descriptors.
func checkDescriptors(n int) error {
	if n < operator.MinDescriptors || n > operator.MaxDescriptors {
		return errors.Errorf("%d is not a number from %d to %d", n, operator.MinDescriptors, operator.MaxDescriptors)
	}
	return nil
}

// gatewayOptions returns the settings of a gateway that the command line replaces.
func gatewayOptions(cmd *cli.Command) []operator.GatewayOption {
	var opts []operator.GatewayOption
	if cmd.IsSet("descriptors") {
		opts = append(opts, operator.WithDescriptors(cmd.Int("descriptors")))
	}
	if cmd.IsSet("contracts") {
		opts = append(opts, operator.WithContracts(cmd.StringSlice("contracts")))
	}
	return opts
}

// isGatewaySettings reports whether file contains the settings of a gateway: an entry VM that receives its routes and
// endpoints from the platform.
func isGatewaySettings(file string) (bool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return false, customer.Problems{{File: file, Allowed: "a readable file: " + err.Error()}}
	}
	kind, err := operator.DetectFileKind(file, data)
	return kind == operator.KindGateway, err
}

// serveGateway runs a gateway until a signal arrives or ctx ends. SIGHUP reloads its settings.
func serveGateway(ctx context.Context, file string, opts []operator.GatewayOption, signals <-chan os.Signal, w io.Writer) error {
	s, err := operator.LoadGatewaySettings(file, opts...)
	if err != nil {
		return err
	}
	g, err := gateway.New(s, version(), w)
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		for {
			select {
			case <-reload:
				g.Reload(operator.LoadGatewaySettings(file, opts...))
			case <-stopped:
				return
			}
		}
	}()
	return runUntilSignal(ctx, g, signals)
}

// setLogger configures the global logger from the settings and directs it to w.
func setLogger(s *operator.Settings, w io.Writer) {
	if s.LogFormat() == "json" {
		log.SetHandler(json.New(w))
	} else {
		log.SetHandler(text.New(w))
	}
	log.SetLevelFromString(s.LogLevel()) // cannot fail: the level was checked when the settings were loaded
}
