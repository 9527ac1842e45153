// Command goldcrest runs an entry VM and provides the operators' command line.
//
// Exit codes:
//
//	0  done
//	1  failure: a server did not answer or refused the request, or the time limit was exceeded
//	2  usage error
//	3  conflict: the base revision of a publication is not the current revision, which is printed
//	4  invalid file: each problem is printed with the file, section, key, value and the allowed values
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"goldcrestpath/customer"
	"goldcrestpath/oplog"
)

// Exit codes; see the package comment.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitProblems = 4
)

// usageError reports an invalid command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func usageErrorf(format string, args ...any) error {
	return &usageError{errors.Errorf(format, args...)}
}

func main() {
	os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr))
}

// run executes a command line and returns the exit code. It writes results to stdout and errors to stderr.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := newCommand(stdout, stderr).Run(ctx, args)
	if err == nil {
		return exitDone
	}
	var (
		usage    *usageError
		conflict *oplog.ConflictError
		problems customer.Problems
	)
	switch {
	case errors.As(err, &problems):
		fmt.Fprintln(stderr, problems.Error())
		return exitProblems
	case errors.As(err, &conflict):
		fmt.Fprintf(stderr, "goldcrest: %v\n", err)
		fmt.Fprintln(stdout, conflict.Current)
		return exitConflict
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "goldcrest: %v\n", err)
		return exitUsage
	}
	fmt.Fprintf(stderr, "goldcrest: %v\n", err)
	return exitFailed
}

// newCommand returns the root command with all subcommands.
func newCommand(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:           "goldcrest",
		Usage:          "run an entry VM or operate a deployment",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(), checkCommand(), publishCommand(), showCommand(), historyCommand(),
			drainCommand("drain", "take a target out of service; running work finishes", true),
			drainCommand("return", "put a target back into service", false),
			statusCommand(), explainCommand(), versionCommand(),
		},
	}
	root.Action = func(_ context.Context, cmd *cli.Command) error {
		if cmd.Args().Present() {
			return usageErrorf("command %q is unknown; see goldcrest --help", cmd.Args().First())
		}
		return cli.ShowRootCommandHelp(cmd)
	}
	for _, cmd := range append(root.Commands, root) {
		cmd.HideHelpCommand = true
		cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return &usageError{err} }
	}
	return root
}

// requireArgs returns the arguments of cmd, or a usage error if there is not exactly one for each name.
func requireArgs(cmd *cli.Command, names ...string) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) != len(names) {
		return nil, usageErrorf("%s takes %d arguments %v, not %d", cmd.Name, len(names), names, len(args))
	}
	return args, nil
}
