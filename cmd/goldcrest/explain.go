package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"goldcrestpath/forward"
	"goldcrestpath/gateway"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "print where a request would go now and why, without sending it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "vm", Usage: "`ADDRESS` of the VM's operators' listener, metricsListen in its settings", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request", Required: true},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request", Required: true},
			&cli.StringFlag{Name: "team", Usage: "`TEAM` that sends the request"},
			&cli.IntFlag{Name: "tokens", Usage: "prompt of `N` tokens instead of the service's usual one"},
			&cli.IntFlag{Name: "output", Usage: "answer of up to `N` tokens instead of the service's usual one"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := requireArgs(cmd); err != nil {
				return err
			}
			address := cmd.String("vm")
			if _, err := netip.ParseAddrPort(address); err != nil {
				return usageErrorf("--vm %q: allowed is an IP address and port", address)
			}
			x := forward.Question{Host: cmd.String("host"), Path: cmd.String("path"), Team: cmd.String("team")}
			if x.Host == "" {
				return usageErrorf("--host must not be empty")
			}
			if !strings.HasPrefix(x.Path, "/") {
				return usageErrorf("--path %q: allowed is a path that begins with a slash", x.Path)
			}
			for name, n := range map[string]*int{"tokens": &x.PromptTokens, "output": &x.OutputTokens} {
				if *n = cmd.Int(name); cmd.IsSet(name) && (*n < 1 || *n > gateway.MaxExplainedTokens) {
					return usageErrorf("--%s %d: allowed are whole numbers from 1 to %d", name, *n, gateway.MaxExplainedTokens)
				}
			}
			answer, err := gateway.FetchExplanation(ctx, address, x)
			if err != nil {
				return err
			}
			w := cmd.Root().Writer
			if !cmd.Bool("json") {
				return gateway.PrintExplanation(w, answer)
			}
			var indented bytes.Buffer
			if err := json.Indent(&indented, answer, "", "  "); err != nil {
				return errors.Wrap(err, "the answer is not an explanation")
			}
			_, err = indented.WriteTo(w)
			return err
		},
	}
}
