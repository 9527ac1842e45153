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

// entryVM is what serve needs of a VM.
type entryVM interface {
	Shutdown(ctx context.Context) error
	Close()
}

// newVM starts the VM. Tests replace it.
var newVM = func(s *operator.Settings) (entryVM, error) {
	v, err := vm.New(s, vm.WithVersion(version()))
	if err != nil {
		return nil, err // a nil *vm.VM would not be a nil entryVM
	}
	return v, nil
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry VM until SIGTERM",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars(settingsVariable),
		}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := wantArgs(cmd); err != nil {
				return err
			}
			file := cmd.String("settings")
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
			gatewayFile, err := isGateway(file)
			if err != nil {
				return err
			}
			if gatewayFile {
				return serveGateway(ctx, file, signals, cmd.Root().Writer)
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

// serve starts a VM and runs it.
func serve(ctx context.Context, s *operator.Settings, signals <-chan os.Signal) error {
	v, err := newVM(s)
	if err != nil {
		return err
	}
	return await(ctx, v, signals)
}

// await runs a VM until the first signal, which begins a graceful stop. The second one ends the stop at once.
func await(ctx context.Context, v entryVM, signals <-chan os.Signal) error {
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
		return errors.Errorf("stopped at once on a second signal, %v", sig)
	}
}

// settingsVariable names the settings file where the command line does not.
const settingsVariable = "GOLDCRESTPATH_SETTINGS"

// isGateway says whether a settings file is that of a VM whose platform tells routes and endpoints.
func isGateway(file string) (bool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return false, customer.Problems{{File: file, Allowed: "a readable file: " + err.Error()}}
	}
	kind, err := operator.KindOf(file, data)
	return kind == operator.KindGateway, err
}

// serveGateway runs a gateway. SIGHUP reads its settings again.
func serveGateway(ctx context.Context, file string, signals <-chan os.Signal, w io.Writer) error {
	s, err := operator.LoadGatewaySettings(file)
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
				g.Reload(operator.LoadGatewaySettings(file))
			case <-stopped:
				return
			}
		}
	}()
	return await(ctx, g, signals)
}

func setLogger(s *operator.Settings, w io.Writer) {
	if s.LogFormat() == "json" {
		log.SetHandler(json.New(w))
	} else {
		log.SetHandler(text.New(w))
	}
	log.SetLevelFromString(s.LogLevel()) // the settings allow only known levels
}
