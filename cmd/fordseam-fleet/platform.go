// The platform subcommand: the fleet as the platform runs it, with the
// platform's stand-ins round it, checked against the platform's rules.
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

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", DisableSliceFlagSeparator: true, Usage: "run a fleet as the platform does, with its workers, list, operators and programs, and name the rules broken",
		Description: "A trouble is KIND[:CLASS]@SECONDS[+FOR][,wipe][,count=N][,share=N][,gap=SECONDS], SECONDS after traffic began.\n" +
			"Kinds: " + strings.Join(fleet.PlatformEventKinds, ", ") + ".\nThe exit code is 1 when a rule was broken.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Value: "small", Usage: "`SITE`: kiondo, ljubljana or small"},
			&cli.StringFlag{Name: "folder", Value: "fleet-data", Usage: "`FOLDER` for settings, data and logs; emptied first"},
			&cli.StringFlag{Name: "root", Value: ".", Usage: "`FOLDER` that programs start in"},
			&cli.StringFlag{Name: "edge", Value: "target/fordseam-gateway platform", Usage: "`COMMAND` of an edge machine"},
			&cli.StringFlag{Name: "core", Value: "target/fordseam-controller core", Usage: "`COMMAND` of a core machine"},
			&cli.StringFlag{Name: "storage", Value: "target/fordseam-controller storage", Usage: "`COMMAND` of a storage machine"},
			&cli.DurationFlag{Name: "traffic", Value: 20 * time.Second, Usage: "how long programs begin"},
			&cli.FloatFlag{Name: "rate", Value: 1, Usage: "`TIMES` the site's usual rate"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of names, programs and troubles' places"},
			&cli.StringSliceFlag{Name: "trouble", Usage: "a `TROUBLE` at its time; may be given several times"},
			&cli.StringFlag{Name: "closing", Usage: "closing `FAULT`: kill_all, or wipe (one disk is lost too)"},
			&cli.StringFlag{Name: "record", Usage: "write everything that was seen to a `FILE`, as JSON"},
			&cli.DurationFlag{Name: "formation", Value: 30 * time.Second, Usage: "how long the fleet may take until it serves"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	plan := &fleet.PlatformPlan{Site: platform.Sites()[command.String("site")], TrafficDuration: command.Duration("traffic"), RateFactor: command.Float("rate"),
		Seed: command.Uint64("seed"), RecordFile: command.String("record"), ClosingFault: command.String("closing"), SetUpTimeout: command.Duration("formation"),
		Commands: map[string]string{platform.ClassEdge: command.String("edge"), platform.ClassCore: command.String("core"), platform.ClassStorage: command.String("storage")}}
	if plan.Site == nil {
		return cli.Exit("site: must be one of "+strings.Join(base.SortedKeys(platform.Sites()), ", "), node.ExitUsage)
	}
	if plan.ClosingFault != "" && plan.ClosingFault != "kill_all" && plan.ClosingFault != "wipe" {
		return cli.Exit("closing: must be kill_all or wipe", node.ExitUsage)
	}
	for _, written := range command.StringSlice("trouble") {
		trouble, err := fleet.ParsePlatformEvent(written)
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
	if err := fleet.PrepareFolder(plan.Dir); err != nil {
		return cli.Exit("folder: "+err.Error(), node.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	breaches, err := fleet.RunPlatform(ctx, plan, os.Stdout)
	if err != nil {
		return err
	}
	if len(breaches) > 0 {
		return cli.Exit(fmt.Sprintf("%d rules broken", len(breaches)), 1)
	}
	return nil
}
