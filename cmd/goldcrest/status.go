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

// vmAnswer is one VM's status, or why there is none.
type vmAnswer struct {
	Operator string           `json:"operator"`
	Error    string           `json:"error,omitempty"`
	Status   *operator.Status `json:"status,omitempty"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the status of the VMs given by --operator; exits 1 when none answers",
		Flags: clientFlags(&cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := wantArgs(cmd); err != nil {
				return err
			}
			clients, err := newClients(cmd)
			if err != nil {
				return err
			}
			answers := make([]vmAnswer, len(clients))
			var group errgroup.Group
			for i, c := range clients {
				group.Go(func() error {
					answers[i].Operator = c.address
					s, err := c.Status(ctx)
					if err != nil {
						answers[i].Error = err.Error()
						return nil
					}
					answers[i].Status = &s
					return nil
				})
			}
			group.Wait()
			w := cmd.Root().Writer
			if cmd.Bool("json") {
				encoder := json.NewEncoder(w)
				encoder.SetIndent("", "  ")
				err = encoder.Encode(answers)
			} else {
				err = printStatus(w, answers)
			}
			if err == nil && !slices.ContainsFunc(answers, func(a vmAnswer) bool { return a.Status != nil }) {
				err = errors.New("no VM answers")
			}
			return err
		},
	}
}

// printStatus prints one table of VMs and one for each part of their view that has entries.
func printStatus(w io.Writer, answers []vmAnswer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tDATA CENTRE\tREADY\tLOG\tOFFSET\tRUNNING\tOPERATOR")
	for _, a := range answers {
		if a.Status == nil {
			fmt.Fprintf(t, "-\t-\t-\t-\t-\t-\t%s: %s\n", a.Operator, a.Error)
			continue
		}
		s := a.Status
		fmt.Fprintf(t, "%s\t%s\t%v\t%v\t%d\t%d\t%s\n", s.Place, s.DataCentre, s.Ready, s.LogReachable, s.Offset, s.Running, a.Operator)
	}
	table(t, answers, "DOCUMENT\tREVISION", func(s *operator.Status, row func(string, ...any)) {
		for _, name := range slices.Sorted(maps.Keys(s.Revisions)) {
			row("%s\t%d", name, s.Revisions[name])
		}
	})
	table(t, answers, "TARGET\tDRAINED\tGENERATION", func(s *operator.Status, row func(string, ...any)) {
		for _, d := range s.Drains {
			row("%s\t%v\t%d", d.Target, d.Drained, d.Generation)
		}
	})
	table(t, answers, "MEMBER\tSTATE\tINCARNATION\tADDRESS", func(s *operator.Status, row func(string, ...any)) {
		for _, m := range s.Members {
			row("%s\t%s\t%d\t%s", m.Place, m.State, m.Incarnation, m.Address)
		}
	})
	table(t, answers, "ENDPOINT\tSERVES\tOWNER\tDRAINED\tCOLD\tRUNNING\tQUEUE\tFREE TOKENS\tCAPACITY", func(s *operator.Status, row func(string, ...any)) {
		for _, e := range s.Endpoints {
			row("%s\t%s\t%s\t%v\t%v\t%d\t%d\t%d\t%d", e.Name, e.Serves, e.Owner, e.Drained, e.Cold, e.Running, e.Queue, e.FreeTokens, e.Capacity)
		}
	})
	table(t, answers, "SITE\tREACHABLE\tDRAINED", func(s *operator.Status, row func(string, ...any)) {
		for _, site := range s.Sites {
			row("%s\t%v\t%v", site.DataCentre, site.Reachable, site.Drained)
		}
	})
	table(t, answers, "COUNTER\tCOUNT", func(s *operator.Status, row func(string, ...any)) {
		for _, name := range slices.Sorted(maps.Keys(s.Counters)) {
			row("%s\t%d", name, s.Counters[name])
		}
	})
	return t.Flush()
}

// table prints the rows of all VMs below a header, or nothing where there are none.
func table(t io.Writer, answers []vmAnswer, header string, rows func(*operator.Status, func(string, ...any))) {
	printed := false
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		rows(a.Status, func(format string, args ...any) {
			if !printed {
				fmt.Fprintf(t, "\nVM\t%s\n", header)
				printed = true
			}
			fmt.Fprintf(t, "%s\t%s\n", a.Status.Place, fmt.Sprintf(format, args...))
		})
	}
}
