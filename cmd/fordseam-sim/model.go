package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/model"
	"fordseam/internal/node"

	"github.com/urfave/cli/v3"
)

// allSystems is the value of --world that selects every model.
const allSystems = "all"

// modelCommand returns the command that checks models of the control protocol by
// explicit-state search.
func modelCommand() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "check bounded models of the control protocol by explicit-state search",
		Description: "Prints a shortest trace if an invariant is violated, with exit code 1.\n" +
			"A state takes about 100 bytes of memory.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "world", Value: allSystems, Usage: "`NAME` of a model, or " + allSystems},
			&cli.IntFlag{Name: "states", Value: 5_000_000, Usage: "stop after this number of `STATES` of a model, 0 for no limit"},
			&cli.IntFlag{Name: "depth", Usage: "stop at this number of `STEPS` from the initial state, 0 for no limit"},
			&cli.DurationFlag{Name: "time", Value: 5 * time.Minute, Usage: "stop after this `TIME` for a model, 0 for no limit"},
			&cli.BoolFlag{Name: "list", Usage: "list the models and exit"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Bool("list") {
				return listSystems(os.Stdout)
			}
			limits := model.Limits{States: command.Int("states"), Depth: command.Int("depth"), Time: command.Duration("time")}
			return checkSystems(os.Stdout, base.NewRealClock(), command.String("world"), limits)
		},
	}
}

func listSystems(out io.Writer) error {
	for _, system := range model.Systems() {
		if _, err := fmt.Fprintln(out, system.Name); err != nil {
			return err
		}
	}
	return nil
}

// checkSystems searches the named system, or every one, and prints the results.
func checkSystems(out io.Writer, clock base.Clock, name string, limits model.Limits) error {
	matched, violated := false, false
	for _, system := range model.Systems() {
		if name != allSystems && name != system.Name {
			continue
		}
		matched = true
		result := system.Check(clock, limits)
		violated = violated || result.Violation != ""
		if err := printResult(out, system.Name, result); err != nil {
			return err
		}
	}
	switch {
	case !matched:
		return cli.Exit(fmt.Sprintf("world: no model is named %q; see --list", name), node.ExitUsage)
	case violated:
		return cli.Exit("an invariant is violated", 1)
	}
	return nil
}

func printResult(out io.Writer, name string, result model.Result) error {
	outcome := "stopped at a limit"
	if result.Complete {
		outcome = "complete"
	}
	if result.Violation != "" {
		outcome = "violated: " + result.Violation
	}
	if _, err := fmt.Fprintf(out, "%-20s %10d states  depth %3d  %8.1f s  %s\n", name, result.States, result.Depth, result.Time.Seconds(), outcome); err != nil {
		return err
	}
	for index, step := range result.Trace {
		if _, err := fmt.Fprintf(out, "  %2d. %s\n", index+1, step); err != nil {
			return err
		}
	}
	return nil
}
