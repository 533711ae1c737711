package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"fordseam/internal/node"
	"fordseam/internal/simulate"

	"github.com/urfave/cli/v3"
)

// talkCommand returns the command that measures the background traffic of idle
// fleets of several sizes.
func talkCommand() *cli.Command {
	return &cli.Command{
		Name: "talk", Usage: "count the calls and bytes of an idle fleet, by kind and for the busiest machine of each role",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "nodes", Value: []int{14, 78, 200}, Usage: "`SIZES` of the fleets, in nodes"},
			&cli.IntFlag{Name: "cores", Value: 10, Usage: "largest `NUMBER` of cores; there are 4 and one more for each 30 nodes"},
			&cli.DurationFlag{Name: "span", Value: 30 * time.Second, Usage: "length of `TIME` to count"},
			&cli.BoolFlag{Name: "churn", Usage: "instead of an idle fleet, ten workers per node that come and go and a configuration that changes, with 4 cores and three storage machines in ten"},
			&cli.IntFlag{Name: "settings-bound", Value: 2, Usage: "`SECONDS` within which new settings must be in force"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of all random choices"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			for _, nodes := range command.IntSlice("nodes") {
				if command.Bool("churn") {
					if err := simulate.WriteChurnTraffic(os.Stdout, command.Uint64("seed"), nodes, command.Duration("span")); err != nil {
						return err
					}
					continue
				}
				shape := simulate.ShapeOfSize(nodes, command.Int("cores"))
				shape.Settings = fmt.Sprintf(`{"bounds":{"settings_bound_s":%d},%s`, command.Int("settings-bound"), shape.Settings[1:])
				if shape.Gateways < 1 {
					return cli.Exit(fmt.Sprintf("nodes: %d are too few to have a gateway besides cores and storage machines", nodes), node.ExitUsage)
				}
				if err := simulate.WriteIdleTraffic(os.Stdout, command.Uint64("seed"), shape, command.Duration("span")); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
