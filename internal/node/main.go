// Main runs a command line with the exit codes all programs share: 0 for
// success, 1 for failure, 2 for a command line or settings that are wrong,
// and 3 for an outcome that is not known.

package node

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Version is the release all programs are of.
const Version = "0.1.0"

// ExitUnknown is for an outcome that is not known and can be asked for.
const ExitUnknown = 3

// Main runs a command and exits.
func Main(command *cli.Command, args []string) {
	onUsageError := func(_ context.Context, command *cli.Command, err error, _ bool) error {
		return cli.Exit(fmt.Sprintf("%v; see %s --help", err, command.FullName()), ExitUsage)
	}
	setUsageHandler(command, onUsageError)
	if err := command.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, command.Name+":", err)
		code := ExitFailed
		if exitCoder, ok := err.(cli.ExitCoder); ok {
			code = exitCoder.ExitCode()
		}
		os.Exit(code)
	}
}

func setUsageHandler(command *cli.Command, onUsageError cli.OnUsageErrorFunc) {
	command.OnUsageError = onUsageError
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	for _, subcommand := range command.Commands {
		setUsageHandler(subcommand, onUsageError)
	}
}
