package node

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Version is the release of all programs.
const Version = "0.1.0"

// ExitUnknown is the exit code for an unknown outcome, which can be queried.
const ExitUnknown = 3

// Main runs a command line. The exit codes are the same for all programs: 0 for
// success, 1 for a failure, 2 for an invalid command line or settings, and 3 for
// an unknown outcome.
func Main(command *cli.Command, args []string) {
	onUsageError := func(_ context.Context, command *cli.Command, err error, _ bool) error {
		return cli.Exit(fmt.Sprintf("%v; see %s --help", err, command.FullName()), ExitUsage)
	}
	setUsageHandler(command, onUsageError)
	err := command.Run(context.Background(), args)
	flushLog()
	if err != nil {
		printError(command.Name, err)
		code := ExitFailed
		if exitCoder, ok := err.(cli.ExitCoder); ok {
			code = exitCoder.ExitCode()
		}
		os.Exit(code)
	}
}

// setUsageHandler sets the handler of usage errors on a command and all its
// subcommands, and leaves the exit to Main.
func setUsageHandler(command *cli.Command, onUsageError cli.OnUsageErrorFunc) {
	command.OnUsageError = onUsageError
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	for _, subcommand := range command.Commands {
		setUsageHandler(subcommand, onUsageError)
	}
}
