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

// campaignCommand returns the command that runs the failure scenarios of simulated
// fleets.
func campaignCommand() *cli.Command {
	return seedsCommand("campaign", "run failure scenarios over many seeds", base.Map(simulate.Scenarios, func(s *simulate.Scenario) simulate.Runnable { return s }), base.SortedKeys(simulate.Shapes))
}

// tierCommand returns the command that runs simulated fleets on the users' platform
// through its faults and planned operations.
func tierCommand() *cli.Command {
	return seedsCommand("tier", "run days of faults of the users' platform over many seeds", base.Map(simulate.TierScenarios, func(d *simulate.TierScenario) simulate.Runnable { return d }), base.SortedKeys(simulate.TierShapes))
}

// seedsCommand returns a command that runs scenarios at each of the selected
// shapes with many seeds, in parallel.
func seedsCommand(name, usage string, scenarios []simulate.Runnable, shapes []string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, DisableSliceFlagSeparator: true, // names have commas
		Description: "Prints the command that repeats the run of each failing seed. Exit code 1 if a rule was violated.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "scenario", Usage: "`NAME` of a scenario; may be repeated; all if not given"},
			&cli.StringSliceFlag{Name: "shape", Usage: "`SHAPE`: " + strings.Join(shapes, ", ") + "; may be repeated; all if not given"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "`NUMBER` of seeds for each scenario and shape"},
			&cli.IntFlag{Name: "processors", Value: runtime.NumCPU(), Usage: "`NUMBER` of concurrent runs"},
			&cli.BoolFlag{Name: "list", Usage: "list the scenarios and exit"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(_ context.Context, command *cli.Command) error { return runCampaign(command, scenarios, shapes) },
	}
}

func runCampaign(command *cli.Command, scenarios []simulate.Runnable, shapes []string) error {
	if command.Bool("list") {
		for _, scenario := range scenarios {
			fmt.Println(scenario.Title())
		}
		return nil
	}
	c := &simulate.Campaign{Scenarios: scenarios, Shapes: shapes, FirstSeed: command.Uint64("seed"),
		SeedCount: command.Int("seeds"), Parallelism: command.Int("processors")}
	usageError := func(format string, args ...any) error { return cli.Exit(fmt.Sprintf(format, args...), node.ExitUsage) }
	if names := command.StringSlice("scenario"); len(names) > 0 {
		c.Scenarios = nil
		for _, name := range names {
			index := slices.IndexFunc(scenarios, func(scenario simulate.Runnable) bool { return scenario.Title() == name })
			if index < 0 {
				return usageError("scenario: no scenario is named %q; see --list", name)
			}
			c.Scenarios = append(c.Scenarios, scenarios[index])
		}
	}
	if names := command.StringSlice("shape"); len(names) > 0 {
		for _, name := range names {
			if !slices.Contains(c.Shapes, name) {
				return usageError("shape: must be one of %s, is %q", strings.Join(c.Shapes, ", "), name)
			}
		}
		c.Shapes = names
	}
	switch {
	case command.Args().Len() > 0:
		return usageError("%s takes no arguments, got %q", command.Name, command.Args().First())
	case c.SeedCount < 1 || c.SeedCount > 1000000:
		return usageError("seeds: must be between 1 and 1000000, is %d", c.SeedCount)
	case c.Parallelism < 1 || c.Parallelism > 1024:
		return usageError("processors: must be between 1 and 1024, is %d", c.Parallelism)
	}
	rows := c.Run(func(outcome *simulate.Outcome) {
		if len(outcome.Breaches) > 0 {
			fmt.Fprintf(os.Stderr, "failing: %s\n", outcome.ReplayCommand())
		}
	})
	failedRuns := 0
	if command.Bool("json") {
		fmt.Println(string(base.MustMarshal(rows)))
		for _, row := range rows {
			failedRuns += len(row.FailedRuns)
		}
	} else {
		failedRuns = simulate.WriteCampaign(os.Stdout, rows)
	}
	if failedRuns > 0 {
		return cli.Exit(fmt.Sprintf("%d runs violated a rule", failedRuns), node.ExitFailed)
	}
	return nil
}
