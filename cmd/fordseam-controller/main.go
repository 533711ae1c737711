// Command fordseam-controller runs the control plane, and is the operators'
// client. A core leads shards of the register, runs background tasks and serves
// the feed; a storage machine keeps a disk.
package main

import (
	"context"
	"os"

	"fordseam/internal/node"
	"fordseam/internal/signals"
	_ "fordseam/internal/signals/early"
	"fordseam/platform"

	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{
		Name: "fordseam-controller", Version: node.Version,
		Usage: "run the control plane and operate it",
		Description: "Exit codes: 0 success; 1 refused or failed; 2 invalid command line, settings file or document;\n" +
			"3 the outcome is unknown: ask for it by the id of the change.",
		Commands: append([]*cli.Command{runCommand(),
			platform.Command("core", "core", "run a core on the users' platform"),
			platform.Command("storage", "storage", "run a storage machine on the users' platform")}, releasingSignals(clientCommands())...),
	}
	node.Main(command, os.Args)
}

// releasingSignals returns commands that are no daemons, so that a signal ends them.
func releasingSignals(commands []*cli.Command) []*cli.Command {
	for _, command := range commands {
		command.Before = func(ctx context.Context, _ *cli.Command) (context.Context, error) {
			signals.Release()
			return ctx, nil
		}
	}
	return commands
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run a control-plane process",
		Flags: append(node.ConfigFlags(),
			&cli.StringFlag{Name: "role", Usage: "`ROLE`: core or storage"},
			&cli.StringFlag{Name: "data", Usage: "data `FOLDER`; a core keeps its votes on the first disk set there"},
			&cli.Int64Flag{Name: "disk-limit-bytes", Usage: "largest size of the data folder in `BYTES` (storage only; 0: no limit)"}),
		Action: func(_ context.Context, command *cli.Command) error {
			config, err := node.LoadConfig(command, node.Config{}, "core", "storage")
			if err != nil {
				return err
			}
			return node.RunDaemon(config)
		},
	}
}
