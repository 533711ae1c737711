// Command fordseam-sim simulates deployments in virtual time, with the code that
// the daemons run.
package main

import (
	"context"
	"fmt"
	"os"

	"fordseam/internal/base"
	"fordseam/internal/fleet"
	"fordseam/internal/node"
	"fordseam/internal/whatif"

	"github.com/urfave/cli/v3"
)

func main() {
	node.Main(&cli.Command{
		Name: "fordseam-sim", Version: node.Version,
		Usage: "simulate a deployment under a load and failures, in virtual time",
		Description: "Without files it simulates the Kiondo deployment under a low, a peak and a low load.\n" +
			"The same files and seed give the same output. Exit code 1 if an invariant was violated.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "deployment `FILE` (JSON)"},
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` (JSON), as it is applied to a fleet"},
			&cli.StringFlag{Name: "against", Usage: "second settings `FILE`, to compare side by side"},
			&cli.StringFlag{Name: "load", Usage: "load `FILE` (JSON)"},
			&cli.StringFlag{Name: "script", Usage: "script `FILE`, one JSON event per line"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of all random choices"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Commands: []*cli.Command{campaignCommand(), modelCommand(), accountCommand(), talkCommand(), tierCommand(), changesCommand()},
		Action:   run,
	}, os.Args)
}

func run(_ context.Context, command *cli.Command) error {
	question := &whatif.Scenario{Deployment: whatif.DefaultDeployment(), Load: whatif.DefaultLoad(), Settings: []byte(fleet.Shapes["kiondo"].Settings()), Seed: command.Uint64("seed")}
	documents := map[string][]byte{}
	for _, name := range []string{"deployment", "settings", "against", "load", "script"} {
		if path := command.String(name); path != "" {
			content, err := os.ReadFile(path)
			if err != nil {
				return cli.Exit(err.Error(), node.ExitUsage)
			}
			documents[name] = content
		}
	}
	var err error
	if document, ok := documents["deployment"]; ok {
		question.Deployment, err = whatif.ReadDeployment(command.String("deployment"), document)
	}
	if document, ok := documents["load"]; ok && err == nil {
		question.Load, err = whatif.ReadLoad(command.String("load"), document)
	}
	if document, ok := documents["script"]; ok && err == nil {
		question.Script, err = whatif.ReadScript(command.String("script"), document, question.Deployment.Machines())
	}
	if err != nil {
		return cli.Exit(err.Error(), node.ExitUsage)
	}
	if document, ok := documents["settings"]; ok {
		question.Settings = document
	}
	names, reports := []string{"settings"}, []*whatif.Report{}
	report, err := whatif.Simulate(question)
	if err != nil {
		return cli.Exit("settings: "+err.Error(), node.ExitUsage)
	}
	reports = append(reports, report)
	if document, ok := documents["against"]; ok {
		question.Settings = document
		if report, err = whatif.Simulate(question); err != nil {
			return cli.Exit("against: "+err.Error(), node.ExitUsage)
		}
		names, reports = append(names, "against"), append(reports, report)
	}
	if command.Bool("json") {
		fmt.Println(string(base.MustMarshal(reports)))
	} else {
		whatif.WriteComparison(os.Stdout, names, reports)
	}
	for _, report := range reports {
		if len(report.InvariantViolations) > 0 {
			return cli.Exit("invariants were violated", node.ExitFailed)
		}
	}
	return nil
}
