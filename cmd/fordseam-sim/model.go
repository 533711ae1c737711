// The model subcommand: the control protocol checked by explicit states.
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

const everyWorld = "all"

func modelCommand() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "check the control protocol by explicit states, in bounded worlds",
		Description: "A violation of an invariant prints its shortest trace. Exit code 1 where there is one.\n" +
			"A state takes about 100 bytes of memory.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "world", Value: everyWorld, Usage: "`NAME` of the world, or " + everyWorld},
			&cli.IntFlag{Name: "states", Value: 5_000_000, Usage: "stop after so many `STATES` of a world, 0 for no limit"},
			&cli.IntFlag{Name: "depth", Usage: "stop at `STEPS` from the start, 0 for no limit"},
			&cli.DurationFlag{Name: "time", Value: 5 * time.Minute, Usage: "stop after a `TIME` in a world, 0 for no limit"},
			&cli.BoolFlag{Name: "list", Usage: "list the worlds"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Bool("list") {
				return listWorlds(os.Stdout)
			}
			limits := model.Limits{States: command.Int("states"), Depth: command.Int("depth"), Time: command.Duration("time")}
			return checkWorlds(os.Stdout, base.NewRealClock(), command.String("world"), limits)
		},
	}
}

func listWorlds(out io.Writer) error {
	for _, world := range model.Systems() {
		if _, err := fmt.Fprintln(out, world.Name); err != nil {
			return err
		}
	}
	return nil
}

// checkWorlds searches the named world, or every one, and prints what it found.
func checkWorlds(out io.Writer, clock base.Clock, name string, limits model.Limits) error {
	found, broken := false, false
	for _, world := range model.Systems() {
		if name != everyWorld && name != world.Name {
			continue
		}
		found = true
		result := world.Check(clock, limits)
		broken = broken || result.Violation != ""
		if err := printResult(out, world.Name, result); err != nil {
			return err
		}
	}
	switch {
	case !found:
		return cli.Exit(fmt.Sprintf("world: there is none named %q; --list shows them", name), node.ExitUsage)
	case broken:
		return cli.Exit("an invariant is violated", 1)
	}
	return nil
}

func printResult(out io.Writer, name string, result model.Result) error {
	extent := "stopped at a limit"
	if result.Complete {
		extent = "visited whole"
	}
	if result.Violation != "" {
		extent = "violated: " + result.Violation
	}
	if _, err := fmt.Fprintf(out, "%-20s %10d states  depth %3d  %8.1f s  %s\n", name, result.States, result.Depth, result.Time.Seconds(), extent); err != nil {
		return err
	}
	for place, step := range result.Trace {
		if _, err := fmt.Fprintf(out, "  %2d. %s\n", place+1, step); err != nil {
			return err
		}
	}
	return nil
}
