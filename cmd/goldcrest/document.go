package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"goldcrestpath/oplog"
)

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a document; if --base is not the current revision, print the current one and exit with code 3",
		ArgsUsage: "DOCUMENT FILE",
		Flags: clientFlags(&cli.Uint64Flag{
			Name: "base", Usage: "`REVISION` that the content is based on, 0 for a new document", Required: true,
		}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := requireArgs(cmd, "DOCUMENT", "FILE")
			if err != nil {
				return err
			}
			_, data, err := checkFile(args[1])
			if err != nil {
				return err
			}
			return withClient(ctx, cmd, func(c vmClient) error {
				revision, err := c.Publish(ctx, args[0], cmd.Uint64("base"), data)
				if err != nil {
					return err
				}
				fmt.Fprintln(cmd.Root().Writer, revision)
				return nil
			})
		},
	}
}

func showCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "print a document, or list all documents",
		ArgsUsage: "[DOCUMENT]",
		Flags:     clientFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			w := cmd.Root().Writer
			return withClient(ctx, cmd, func(c vmClient) error {
				if !cmd.Args().Present() {
					documents, err := c.Documents(ctx)
					if err != nil {
						return err
					}
					return printRevisions(w, documents)
				}
				args, err := requireArgs(cmd, "DOCUMENT")
				if err != nil {
					return err
				}
				d, err := c.Document(ctx, args[0])
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.Root().ErrWriter, "%s: revision %d\n", d.Name, d.Revision)
				_, err = w.Write(d.Content)
				return err
			})
		},
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "list the revisions of a document that a VM has read, or print one of them",
		ArgsUsage: "DOCUMENT",
		Flags:     clientFlags(&cli.Uint64Flag{Name: "revision", Usage: "print the content of this `REVISION`"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := requireArgs(cmd, "DOCUMENT")
			if err != nil {
				return err
			}
			return withClient(ctx, cmd, func(c vmClient) error {
				documents, err := c.History(ctx, args[0])
				if err != nil {
					return err
				}
				if !cmd.IsSet("revision") {
					return printRevisions(cmd.Root().Writer, documents)
				}
				for _, d := range documents {
					if d.Revision == cmd.Uint64("revision") {
						_, err := cmd.Root().Writer.Write(d.Content)
						return err
					}
				}
				return errors.Errorf("%s: revision %d is not in the history of this VM", args[0], cmd.Uint64("revision"))
			})
		},
	}
}

// printRevisions prints a table of documents with their revisions.
func printRevisions(w io.Writer, documents []oplog.Document) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DOCUMENT\tREVISION\tOFFSET\tTIME")
	for _, d := range documents {
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", d.Name, d.Revision, d.Offset, d.Time.UTC().Format(time.RFC3339))
	}
	return t.Flush()
}
