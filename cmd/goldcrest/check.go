package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"goldcrestpath/customer"
	"goldcrestpath/operator"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings, fleet documents and contracts; the sections of a file determine its kind",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if !cmd.Args().Present() {
				return usageErrorf("check takes at least one file")
			}
			var allProblems customer.Problems
			for _, file := range cmd.Args().Slice() {
				kind, _, err := checkFile(file)
				var problems customer.Problems
				switch {
				case err == nil:
					fmt.Fprintf(cmd.Root().Writer, "%s: %s, no problems\n", file, kind)
				case errors.As(err, &problems):
					allProblems = append(allProblems, problems...)
				default:
					return err
				}
			}
			if len(allProblems) > 0 {
				return allProblems
			}
			return nil
		},
	}
}

// checkFile reads and validates a configuration file. It returns the content and the kind of file, which the sections determine.
func checkFile(file string) (operator.FileKind, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", nil, customer.Problems{{File: file, Allowed: "a readable file: " + err.Error()}}
	}
	kind, err := operator.CheckFile(file, data)
	return kind, data, err
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			fmt.Fprintln(cmd.Root().Writer, version())
			return nil
		},
	}
}

// version returns the module version, the VCS revision and the Go version of the build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "goldcrest (unknown)"
	}
	v := "goldcrest " + info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v + " " + info.GoVersion
}
