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

// clientFlags returns the flags of all commands that call the operator API, followed by extra.
func clientFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: "operator", Usage: "`ADDRESS` of a VM's operator API; status and --wait query all given VMs, other commands use the first one that answers",
			Required: true, Sources: cli.EnvVars("GOLDCREST_OPERATOR"),
		},
		&cli.StringFlag{Name: "tokenFile", Usage: "`FILE` that contains the operator token", Required: true, Sources: cli.EnvVars("GOLDCREST_TOKEN_FILE")},
		&cli.StringFlag{Name: "tlsAuthority", Usage: "use TLS and accept certificates issued by the certificate authority in `FILE`", Sources: cli.EnvVars("GOLDCREST_TLS_AUTHORITY")},
	}, extra...)
}

// vmClient is a client of the operator API of one VM.
type vmClient struct {
	address string
	*operator.Client
}

// newClients returns a client for each address given by --operator.
func newClients(cmd *cli.Command) ([]vmClient, error) {
	token, err := os.ReadFile(cmd.String("tokenFile"))
	if err != nil {
		return nil, errors.Wrap(err, "read token")
	}
	var opts []operator.ClientOption
	if file := cmd.String("tlsAuthority"); file != "" {
		pool, err := operator.LoadCertPool(file)
		if err != nil {
			return nil, err
		}
		opts = append(opts, operator.WithTLS(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}))
	}
	var clients []vmClient
	for _, address := range cmd.StringSlice("operator") {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usageErrorf("--operator %q: allowed is an IP address and port", address)
		}
		clients = append(clients, vmClient{address, operator.NewClient(address, strings.TrimSpace(string(token)), opts...)})
	}
	return clients, nil
}

// withClient calls f once, with the first VM that answers a status request, or with the last VM if no other one answers. It does not
// retry f on another VM, because a retry could apply a change twice.
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
	return usageErrorf("--operator needs an address")
}
