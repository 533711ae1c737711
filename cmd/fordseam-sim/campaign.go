// The campaign and tier subcommands: any number of seeds of any scenarios, at
// any of the known sizes, across processors.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"

	"fordseam/internal/base"
	"fordseam/internal/node"
	"fordseam/internal/simulate"

	"github.com/urfave/cli/v3"
)

func campaignCommand() *cli.Command {
	return seedsCommand("campaign", "run scenarios of failure over many seeds", base.Map(simulate.Scenarios, func(s *simulate.Scenario) simulate.Runnable { return s }), base.SortedKeys(simulate.Shapes))
}

func tierCommand() *cli.Command {
	return seedsCommand("tier", "run days of the platform's troubles over many seeds", base.Map(simulate.TierScenarios, func(d *simulate.TierScenario) simulate.Runnable { return d }), base.SortedKeys(simulate.TierShapes))
}

func seedsCommand(name, usage string, scenarios []simulate.Runnable, shapes []string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, DisableSliceFlagSeparator: true, // names have commas
		Description: "Prints each failing seed with the command that plays it again. Exit code 1 when a rule was broken.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "scenario", Usage: "`NAME` of a scenario; may be repeated; all unless given"},
			&cli.StringSliceFlag{Name: "shape", Usage: "`SHAPE`: " + strings.Join(shapes, ", ") + "; may be repeated; all unless given"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "how `MANY` seeds of each"},
			&cli.IntFlag{Name: "processors", Value: runtime.NumCPU(), Usage: "how `MANY` runs at once"},
			&cli.BoolFlag{Name: "list", Usage: "list the scenarios and end"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(_ context.Context, command *cli.Command) error { return campaign(command, scenarios, shapes) },
	}
}

func campaign(command *cli.Command, scenarios []simulate.Runnable, shapes []string) error {
	if command.Bool("list") {
		for _, one := range scenarios {
			fmt.Println(one.Title())
		}
		return nil
	}
	c := &simulate.Campaign{Scenarios: scenarios, Shapes: shapes, FirstSeed: command.Uint64("seed"),
		SeedCount: command.Int("seeds"), Parallelism: command.Int("processors")}
	usage := func(format string, args ...any) error { return cli.Exit(fmt.Sprintf(format, args...), node.ExitUsage) }
	if names := command.StringSlice("scenario"); len(names) > 0 {
		c.Scenarios = nil
		for _, name := range names {
			place := slices.IndexFunc(scenarios, func(one simulate.Runnable) bool { return one.Title() == name })
			if place < 0 {
				return usage("scenario: none is named %q; see --list", name)
			}
			c.Scenarios = append(c.Scenarios, scenarios[place])
		}
	}
	if names := command.StringSlice("shape"); len(names) > 0 {
		for _, name := range names {
			if !slices.Contains(c.Shapes, name) {
				return usage("shape: must be one of %s, is %q", strings.Join(c.Shapes, ", "), name)
			}
		}
		c.Shapes = names
	}
	switch {
	case command.Args().Len() > 0:
		return usage("%s takes no arguments, was given %q", command.Name, command.Args().First())
	case c.SeedCount < 1 || c.SeedCount > 1000000:
		return usage("seeds: must be between 1 and 1000000, is %d", c.SeedCount)
	case c.Parallelism < 1 || c.Parallelism > 1024:
		return usage("processors: must be between 1 and 1024, is %d", c.Parallelism)
	}
	rows := c.Run(func(outcome *simulate.Outcome) {
		if len(outcome.Breaches) > 0 {
			fmt.Fprintf(os.Stderr, "failing: %s\n", outcome.ReplayCommand())
		}
	})
	failed := 0
	if command.Bool("json") {
		fmt.Println(string(base.MustMarshal(rows)))
		for _, row := range rows {
			failed += len(row.FailedRuns)
		}
	} else {
		failed = simulate.WriteCampaign(os.Stdout, rows)
	}
	if failed > 0 {
		return cli.Exit(fmt.Sprintf("%d runs broke a rule", failed), node.ExitFailed)
	}
	return nil
}
