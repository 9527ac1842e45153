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
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := wantArgs(cmd); err != nil {
				return err
			}
			s, err := operator.LoadSettings(cmd.String("settings"))
			if err != nil {
				return err
			}
			setLogger(s, cmd.Root().ErrWriter)
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
			return serve(ctx, s, signals)
		},
	}
}

// serve runs a VM until the first signal, which begins a graceful stop. The second one ends the stop at once.
func serve(ctx context.Context, s *operator.Settings, signals <-chan os.Signal) error {
	v, err := newVM(s)
	if err != nil {
		return err
	}
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

func setLogger(s *operator.Settings, w io.Writer) {
	if s.LogFormat() == "json" {
		log.SetHandler(json.New(w))
	} else {
		log.SetHandler(text.New(w))
	}
	log.SetLevelFromString(s.LogLevel()) // the settings allow only known levels
}
