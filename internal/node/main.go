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
	usage := func(_ context.Context, command *cli.Command, err error, _ bool) error {
		return cli.Exit(fmt.Sprintf("%v; see %s --help", err, command.FullName()), ExitUsage)
	}
	setUsage(command, usage)
	if err := command.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, command.Name+":", err)
		code := ExitFailed
		if coded, ok := err.(cli.ExitCoder); ok {
			code = coded.ExitCode()
		}
		os.Exit(code)
	}
}

func setUsage(command *cli.Command, usage cli.OnUsageErrorFunc) {
	command.OnUsageError = usage
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	for _, sub := range command.Commands {
		setUsage(sub, usage)
	}
}
