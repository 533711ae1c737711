package main

import (
	"context"
	"fmt"
	"os"

	"fordseam/internal/account"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// accountCommand returns the command that shows, by cause, the score that days of
// the users' bench lost.
func accountCommand() *cli.Command {
	return &cli.Command{Name: "account", Usage: "show by cause what the days of a journal entry lost, as a table whose columns add up to the total loss",
		ArgsUsage: "ENTRY.json...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plot", Usage: "also plot it to `FILE` (.svg, .png or .pdf); one entry only"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			paths := command.Args().Slice()
			plot := command.String("plot")
			if len(paths) == 0 || plot != "" && len(paths) != 1 {
				return cli.Exit("one or more journal entries are required, and exactly one with --plot", 2)
			}
			for _, path := range paths {
				if err := printAccount(path, plot); err != nil {
					return cli.Exit(err.Error(), 1)
				}
			}
			return nil
		}}
}

// printAccount prints the table of a journal entry, and plots it if a file is
// given.
func printAccount(path, plot string) error {
	entry, err := account.ReadEntry(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s, entry %s: %s\n\n", entry.Site, entry.ID, entry.Reason)
	for _, day := range entry.Days {
		if broken := day.Violations(); len(broken) > 0 {
			fmt.Printf("%s violated %v\n", day.Name, broken)
		}
	}
	if err := account.WriteTable(os.Stdout, entry.Days); err != nil {
		return errors.Annotate(err, "writing the table")
	}
	fmt.Println()
	if plot == "" {
		return nil
	}
	return errors.Annotatef(account.WritePlot(plot, entry.Site, entry.Days), "plotting %s", plot)
}
