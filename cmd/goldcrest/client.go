package main

import (
	"context"
	"crypto/tls"
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"goldcrestpath/operator"
)

// clientFlags are the flags of every command that calls the operators' API.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: "operator", Usage: "`ADDRESS` of a VM's operators' API; status and --wait use all that are given, other commands the first that answers",
			Required: true, Sources: cli.EnvVars("GOLDCREST_OPERATOR"),
		},
		&cli.StringFlag{Name: "tokenFile", Usage: "`FILE` with the operators' token", Required: true, Sources: cli.EnvVars("GOLDCREST_TOKEN_FILE")},
		&cli.StringFlag{Name: "tlsAuthority", Usage: "use TLS and accept certificates of the authority in `FILE`", Sources: cli.EnvVars("GOLDCREST_TLS_AUTHORITY")},
	}, more...)
}

// vmClient is the client of one VM.
type vmClient struct {
	address string
	*operator.Client
}

func newClients(cmd *cli.Command) ([]vmClient, error) {
	token, err := os.ReadFile(cmd.String("tokenFile"))
	if err != nil {
		return nil, errors.Wrap(err, "read token")
	}
	var opts []operator.ClientOption
	if file := cmd.String("tlsAuthority"); file != "" {
		pool, err := operator.LoadAuthority(file)
		if err != nil {
			return nil, err
		}
		opts = append(opts, operator.WithTLS(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}))
	}
	var clients []vmClient
	for _, address := range cmd.StringSlice("operator") {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usagef("--operator %q: allowed is an IP address and port", address)
		}
		clients = append(clients, vmClient{address, operator.NewClient(address, strings.TrimSpace(string(token)), opts...)})
	}
	return clients, nil
}

// withClient calls f with the first VM that answers. A VM that cannot be asked is passed over, so that a change is never
// sent twice.
func withClient(ctx context.Context, cmd *cli.Command, f func(vmClient) error) error {
	clients, err := newClients(cmd)
	if err != nil {
		return err
	}
	for i, c := range clients {
		if i < len(clients)-1 {
			if _, err := c.Status(ctx); err != nil {
				continue
			}
		}
		return f(c)
	}
	return usagef("--operator needs an address")
}
