package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/fleet"
	"fordseam/internal/node"
	"fordseam/internal/standin/platform"

	"github.com/urfave/cli/v3"
)

// platformCommand returns the command that runs a fleet as the users' platform
// does, with a simulated platform around it, and checks it against the platform's
// rules.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", DisableSliceFlagSeparator: true, Usage: "run a fleet as the platform does, with simulated workers, worker list, operators and programs, and report violated rules",
		Description: "A trouble is a fault or planned operation, KIND[:CLASS]@SECONDS[+FOR][,wipe][,count=N][,share=N][,gap=SECONDS][,form=FORM][,status=N], SECONDS after the start of traffic.\n" +
			"Kinds: " + strings.Join(fleet.PlatformEventKinds, ", ") + ".\nThe exit code is 1 if a rule was violated.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Value: "small", Usage: "`SITE`: kiondo, ljubljana or small"},
			&cli.StringFlag{Name: "folder", Value: "fleet-data", Usage: "`FOLDER` for settings, data and logs; its content is deleted first"},
			&cli.StringFlag{Name: "root", Value: ".", Usage: "working `FOLDER` of the machines' commands"},
			&cli.StringFlag{Name: "edge", Value: "target/fordseam-gateway platform", Usage: "`COMMAND` that starts an edge machine"},
			&cli.StringFlag{Name: "core", Value: "target/fordseam-controller core", Usage: "`COMMAND` that starts a core machine"},
			&cli.StringFlag{Name: "storage", Value: "target/fordseam-controller storage", Usage: "`COMMAND` that starts a storage machine"},
			&cli.DurationFlag{Name: "traffic", Value: 20 * time.Second, Usage: "for how long new programs start"},
			&cli.FloatFlag{Name: "rate", Value: 1, Usage: "rate of programs, as a `MULTIPLE` of the site's usual rate"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of names, of programs and of the machines that troubles hit"},
			&cli.StringSliceFlag{Name: "trouble", Usage: "a `TROUBLE` to run; may be repeated"},
			&cli.StringFlag{Name: "closing", Usage: "`FAULT` at the end: kill_all, or wipe (kill all, with one disk lost)"},
			&cli.StringFlag{Name: "record", Usage: "write all observations to a `FILE`, as JSON"},
			&cli.DurationFlag{Name: "formation", Value: 30 * time.Second, Usage: "time within which the fleet must serve"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	plan := &fleet.PlatformPlan{Site: platform.Deployments()[command.String("site")], TrafficDuration: command.Duration("traffic"), RateFactor: command.Float("rate"),
		Seed: command.Uint64("seed"), RecordFile: command.String("record"), ClosingFault: command.String("closing"), SetUpTimeout: command.Duration("formation"),
		Commands: map[string]string{platform.ClassEdge: command.String("edge"), platform.ClassCore: command.String("core"), platform.ClassStorage: command.String("storage")}}
	if plan.Site == nil {
		return cli.Exit("site: must be one of "+strings.Join(base.SortedKeys(platform.Deployments()), ", "), node.ExitUsage)
	}
	if plan.ClosingFault != "" && plan.ClosingFault != "kill_all" && plan.ClosingFault != "wipe" {
		return cli.Exit(fmt.Sprintf("closing: must be kill_all or wipe, is %q", plan.ClosingFault), node.ExitUsage)
	}
	for _, spec := range command.StringSlice("trouble") {
		trouble, err := fleet.ParsePlatformEvent(spec)
		if err != nil {
			return cli.Exit(err.Error(), node.ExitUsage)
		}
		plan.Events = append(plan.Events, trouble)
	}
	var err error
	if plan.WorkDir, err = filepath.Abs(command.String("root")); err != nil {
		return err
	}
	if plan.Dir, err = filepath.Abs(command.String("folder")); err != nil {
		return err
	}
	if err := fleet.PrepareDir(plan.Dir); err != nil {
		return cli.Exit("folder: "+err.Error(), node.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	breaches, err := fleet.RunPlatform(ctx, plan, os.Stdout)
	if err != nil {
		return err
	}
	if len(breaches) > 0 {
		return cli.Exit(fmt.Sprintf("%d rules violated", len(breaches)), 1)
	}
	return nil
}
