// Command fordseam-gateway runs the data plane: a gateway accepts callers'
// requests, owns sessions and is the standby for sessions of other gateways.
package main

import (
	"context"
	"fmt"
	"os"

	"fordseam/internal/node"
	_ "fordseam/internal/signals/early"
	"fordseam/platform"

	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{
		Name: "fordseam-gateway", Version: node.Version,
		Usage:    "serve callers, own sessions, take over sessions of other gateways",
		Flags:    node.ConfigFlags(),
		Commands: []*cli.Command{platform.Command("platform", "edge", "serve on the users' platform; addresses and zone come from its settings file")},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() > 0 {
				return cli.Exit(fmt.Sprintf("unexpected argument %q", command.Args().First()), node.ExitUsage)
			}
			config, err := node.LoadConfig(command, node.Config{Role: "edge"}, "edge")
			if err != nil {
				return err
			}
			return node.RunDaemon(config)
		},
	}
	node.Main(command, os.Args)
}
