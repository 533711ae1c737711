// The account command: where the worth of days of the users' bench went.

package main

import (
	"context"
	"fmt"
	"os"

	"fordseam/internal/account"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

func accountCommand() *cli.Command {
	return &cli.Command{Name: "account", Usage: "tell by cause what the days of a journal entry lost, as a table whose columns add up to the whole loss",
		ArgsUsage: "ENTRY.json...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plot", Usage: "draw it into `FILE` as well (.svg, .png or .pdf); one entry only"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			paths := command.Args().Slice()
			plot := command.String("plot")
			if len(paths) == 0 || plot != "" && len(paths) != 1 {
				return cli.Exit("name the journal's entries, and one only for a plot", 2)
			}
			for _, path := range paths {
				if err := showAccount(path, plot); err != nil {
					return cli.Exit(err.Error(), 1)
				}
			}
			return nil
		}}
}

// showAccount prints one entry's table, and draws it where a file is named.
func showAccount(path, plot string) error {
	entry, err := account.ReadEntry(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s, entry %s: %s\n\n", entry.Site, entry.ID, entry.Reason)
	for _, day := range entry.Days {
		if broken := day.Violations(); len(broken) > 0 {
			fmt.Printf("%s broke %v\n", day.Name, broken)
		}
	}
	if err := account.WriteTable(os.Stdout, entry.Days); err != nil {
		return errors.Annotate(err, "writing the table")
	}
	fmt.Println()
	if plot == "" {
		return nil
	}
	return errors.Annotatef(account.WritePlot(plot, entry.Site, entry.Days), "drawing %s", plot)
}
