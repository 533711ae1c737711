// The hollow subcommand: what a large fleet costs at rest, measured.
package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"fordseam/internal/fleet"
	"fordseam/internal/node"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"
)

func hollowCommand() *cli.Command {
	return &cli.Command{
		Name: "hollow", Usage: "run many gateways that serve nobody, forty to a process, beside real cores and storage machines, and measure what they use at rest",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "nodes", Value: 50, Usage: "`COUNT` of hollow gateways"},
			&cli.IntFlag{Name: "cores", Value: 4, Usage: "`COUNT` of cores"},
			&cli.IntFlag{Name: "storage", Value: 3, Usage: "`COUNT` of storage machines"},
			&cli.DurationFlag{Name: "settle", Value: 15 * time.Second, Usage: "`TIME` before anything is measured"},
			&cli.DurationFlag{Name: "span", Value: 20 * time.Second, Usage: "`TIME` that is measured"},
			&cli.StringFlag{Name: "part", Hidden: true},
			&cli.StringFlag{Name: "folder", Value: "fleet-data", Usage: "`FOLDER` for data and logs; emptied first"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Int("nodes") < 1 || command.Int("nodes") > 600 || command.Int("cores") < 2 || command.Int("storage") < 3 {
				return cli.Exit("there must be 1 to 600 hollow nodes, 2 cores or more and 3 storage machines or more", node.ExitUsage)
			}
			log.SetLevel(log.FatalLevel)
			if written := command.String("part"); written != "" {
				var part fleet.HollowPart
				if err := json.Unmarshal([]byte(written), &part); err != nil {
					return cli.Exit("part: "+err.Error(), node.ExitUsage)
				}
				return part.Run(os.Stdout)
			}
			folder := command.String("folder")
			if err := fleet.EmptyFolder(folder); err != nil {
				return cli.Exit("folder: "+err.Error(), node.ExitUsage)
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			shape := fleet.Shapes["kiondo"]
			shape.Edges, shape.Cores, shape.Storage = 0, command.Int("cores"), command.Int("storage")
			f, err := fleet.New(shape, folder, filepath.Dir(self), rand.IntN(40000))
			if err != nil {
				return err
			}
			defer f.Stop()
			return f.Hollow(os.Stdout, command.Int("nodes"), command.Duration("settle"), command.Duration("span"))
		},
	}
}
