// The changes subcommand: how soon members are current again, and what a fleet
// holds, after hundreds and thousands of configurations.

package main

import (
	"context"
	"os"
	"time"

	"fordseam/internal/node"
	"fordseam/internal/simulate"

	"github.com/urfave/cli/v3"
)

func changesCommand() *cli.Command {
	return &cli.Command{
		Name: "changes", Usage: "send one configuration after another to fleets whose members fail, and show how soon they are current again",
		Description: "Exit code 1 when a member was late, or an old configuration was given out.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "size", Value: simulate.ChangeStreamSizes, Usage: "`GATEWAYS/CORES/STORAGE`; may be repeated"},
			&cli.IntFlag{Name: "changes", Value: 3000, Usage: "how `MANY` changes"},
			&cli.IntFlag{Name: "routes", Value: 1000, Usage: "how `MANY` routes a configuration has"},
			&cli.IntFlag{Name: "padding", Usage: "`BYTES` beside the routes that cannot be compressed"},
			&cli.Int64Flag{Name: "bytes-per-second", Usage: "how fast a message's `BYTES` go; at once unless given"},
			&cli.BoolFlag{Name: "away", Usage: "have one member of each kind gone from the first change to the last, in place of the other troubles"},
			&cli.DurationFlag{Name: "every", Value: 100 * time.Millisecond, Usage: "`TIME` between changes"},
			&cli.DurationFlag{Name: "bound", Value: 4100 * time.Millisecond, Usage: "`TIME` within which a member must be current"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how `MANY` seeds"},
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
