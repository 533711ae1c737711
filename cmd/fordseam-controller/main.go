// fordseam-controller is the control plane: as core it owns keys, duties and
// the feed; as storage it keeps a disk. Its other subcommands are the
// operators' client.
package main

import (
	"context"
	"os"

	"fordseam/internal/node"
	"fordseam/platform"

	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{
		Name: "fordseam-controller", Version: node.Version,
		Usage: "run the control plane, and operate it",
		Description: "Exit codes: 0 done; 1 refused or failed; 2 wrong command line, settings file or document;\n" +
			"3 the outcome is not known and can be asked for by its change id.",
		Commands: append([]*cli.Command{runCommand(),
			platform.Command("core", "core", "run a core on the users' platform"),
			platform.Command("storage", "storage", "run a storage machine on the users' platform")}, clientCommands()...),
	}
	node.Main(command, os.Args)
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run a control-plane process",
		Flags: append(node.ConfigFlags(),
			&cli.StringFlag{Name: "role", Usage: "`ROLE`: core or storage"},
			&cli.StringFlag{Name: "data", Usage: "data `FOLDER` (storage only)"},
			&cli.Int64Flag{Name: "disk-limit-bytes", Usage: "most `BYTES` the data folder may hold (storage only; 0: no limit)"}),
		Action: func(_ context.Context, command *cli.Command) error {
			place, err := node.LoadConfig(command, node.Config{}, "core", "storage")
			if err != nil {
				return err
			}
			return node.RunDaemon(place)
		},
	}
}
