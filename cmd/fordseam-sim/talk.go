// The talk subcommand: what a fleet at rest says, by size.
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

func talkCommand() *cli.Command {
	return &cli.Command{
		Name: "talk", Usage: "count the calls and bytes of a fleet at rest, by kind and for the busiest machine of each role",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "nodes", Value: []int{14, 78, 200}, Usage: "`SIZES` of the fleet"},
			&cli.IntFlag{Name: "cores", Value: 10, Usage: "`MOST` cores; there are 4 and one for each 30 nodes"},
			&cli.DurationFlag{Name: "span", Value: 30 * time.Second, Usage: "`TIME` that is counted"},
			&cli.BoolFlag{Name: "churn", Usage: "instead of rest, ten workers a node that come and go and a configuration that changes, with 4 cores and three storage machines in ten"},
			&cli.IntFlag{Name: "settings-bound", Value: 2, Usage: "`SECONDS` within which settings are in force"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of all chance"},
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
					return cli.Exit("nodes: must leave a gateway beside cores and storage machines", node.ExitUsage)
				}
				if err := simulate.WriteIdleTraffic(os.Stdout, command.Uint64("seed"), shape, command.Duration("span")); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
