package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"goldcrestpath/operator"
)

// statusResult is the status of one VM, or the error of the status request.
type statusResult struct {
	Operator string           `json:"operator"`
	Error    string           `json:"error,omitempty"`
	Status   *operator.Status `json:"status,omitempty"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the status of the VMs given by --operator; exit with code 1 if none answers",
		Flags: clientFlags(&cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := requireArgs(cmd); err != nil {
				return err
			}
			clients, err := newClients(cmd)
			if err != nil {
				return err
			}
			results := make([]statusResult, len(clients))
			var group errgroup.Group
			for i, c := range clients {
				group.Go(func() error {
					results[i].Operator = c.address
					s, err := c.Status(ctx)
					if err != nil {
						results[i].Error = err.Error()
						return nil
					}
					results[i].Status = &s
					return nil
				})
			}
			group.Wait()
			w := cmd.Root().Writer
			if cmd.Bool("json") {
				encoder := json.NewEncoder(w)
				encoder.SetIndent("", "  ")
				err = encoder.Encode(results)
			} else {
				err = printStatus(w, results)
			}
			if err == nil && !slices.ContainsFunc(results, func(r statusResult) bool { return r.Status != nil }) {
				err = errors.New("none of the VMs answered")
			}
			return err
		},
	}
}

// printStatus prints a table of the VMs, followed by a table for each section of their status that has rows.
func printStatus(w io.Writer, results []statusResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tDATA CENTRE\tREADY\tLOG\tOFFSET\tRUNNING\tOPERATOR")
	for _, r := range results {
		if r.Status == nil {
			fmt.Fprintf(t, "-\t-\t-\t-\t-\t-\t%s: %s\n", r.Operator, r.Error)
			continue
		}
		s := r.Status
		fmt.Fprintf(t, "%s\t%s\t%v\t%v\t%d\t%d\t%s\n", s.VMName, s.DataCentre, s.Ready, s.LogReachable, s.Offset, s.Running, r.Operator)
	}
	printTable(t, results, "DOCUMENT\tREVISION", func(s *operator.Status, addRow func(string, ...any)) {
		for _, name := range slices.Sorted(maps.Keys(s.Revisions)) {
			addRow("%s\t%d", name, s.Revisions[name])
		}
	})
	printTable(t, results, "TARGET\tDRAINED\tGENERATION", func(s *operator.Status, addRow func(string, ...any)) {
		for _, d := range s.Drains {
			addRow("%s\t%v\t%d", d.Target, d.Drained, d.Generation)
		}
	})
	printTable(t, results, "MEMBER\tSTATE\tINCARNATION\tADDRESS", func(s *operator.Status, addRow func(string, ...any)) {
		for _, m := range s.Members {
			addRow("%s\t%s\t%d\t%s", m.VMName, m.State, m.Incarnation, m.Address)
		}
	})
	printTable(t, results, "ENDPOINT\tSERVES\tOWNER\tDRAINED\tCOLD\tRUNNING\tQUEUE\tFREE TOKENS\tCAPACITY", func(s *operator.Status, addRow func(string, ...any)) {
		for _, e := range s.Endpoints {
			addRow("%s\t%s\t%s\t%v\t%v\t%d\t%d\t%d\t%d", e.Name, e.Serves, e.Owner, e.Drained, e.Cold, e.Running, e.Queue, e.FreeTokens, e.Capacity)
		}
	})
	printTable(t, results, "SITE\tREACHABLE\tDRAINED", func(s *operator.Status, addRow func(string, ...any)) {
		for _, site := range s.DataCentres {
			addRow("%s\t%v\t%v", site.DataCentre, site.Reachable, site.Drained)
		}
	})
	printTable(t, results, "COUNTER\tCOUNT", func(s *operator.Status, addRow func(string, ...any)) {
		for _, name := range slices.Sorted(maps.Keys(s.Counters)) {
			addRow("%s\t%d", name, s.Counters[name])
		}
	})
	return t.Flush()
}

// printTable prints the header and the rows that addRows adds for each VM. It prints nothing if there are no rows.
func printTable(t io.Writer, results []statusResult, header string, addRows func(*operator.Status, func(string, ...any))) {
	printed := false
	for _, r := range results {
		if r.Status == nil {
			continue
		}
		addRows(r.Status, func(format string, args ...any) {
			if !printed {
				fmt.Fprintf(t, "\nVM\t%s\n", header)
				printed = true
			}
			fmt.Fprintf(t, "%s\t%s\n", r.Status.VMName, fmt.Sprintf(format, args...))
		})
	}
}
