package main

import (
	"context"
	"os"
	"time"

	"fordseam/internal/node"
	"fordseam/internal/simulate"

	"github.com/urfave/cli/v3"
)

// changesCommand returns the command that measures, over thousands of changes of
// the configuration, how soon members are up to date and how much a fleet stores.
func changesCommand() *cli.Command {
	return &cli.Command{
		Name: "changes", Usage: "apply one configuration after another to fleets whose members fail, and show how soon members are up to date again",
		Description: "Exit code 1 if a member was late or served an old configuration.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "size", Value: simulate.ChangeStreamSizes, Usage: "`GATEWAYS/CORES/STORAGE`; may be repeated"},
			&cli.IntFlag{Name: "changes", Value: 3000, Usage: "`NUMBER` of changes"},
			&cli.IntFlag{Name: "routes", Value: 1000, Usage: "`NUMBER` of routes in a configuration"},
			&cli.IntFlag{Name: "padding", Usage: "incompressible `BYTES` in a configuration besides the routes"},
			&cli.Int64Flag{Name: "bytes-per-second", Usage: "bandwidth of a message in `BYTES` per second; unlimited if not given"},
			&cli.BoolFlag{Name: "away", Usage: "instead of the other faults, keep one member of each kind away from the first change to the last"},
			&cli.DurationFlag{Name: "every", Value: 100 * time.Millisecond, Usage: "`TIME` between changes"},
			&cli.DurationFlag{Name: "bound", Value: 4100 * time.Millisecond, Usage: "`TIME` within which a member must be up to date"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`NUMBER` of seeds"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			failed := false
			for _, size := range command.StringSlice("size") {
				plan, err := simulate.NewChangeStreamPlan(size, command.Int("changes"))
				if err != nil {
					return cli.Exit(err.Error(), node.ExitUsage)
				}
				plan.Routes, plan.Padding, plan.Interval = command.Int("routes"), command.Int("padding"), command.Duration("every")
				plan.LongAbsence = command.Bool("away")
				plan.BytesPerSecond, plan.CatchUpBound = command.Int64("bytes-per-second"), command.Duration("bound")
				for seed := range uint64(command.Int("seeds")) {
					report := simulate.RunChangeStream(command.Uint64("seed")+seed, plan)
					report.Write(os.Stdout)
					failed = failed || len(report.Breaches) > 0
				}
			}
			if failed {
				return cli.Exit("", 1)
			}
			return nil
		},
	}
}
