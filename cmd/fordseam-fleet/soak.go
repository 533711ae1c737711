package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/fleet"
	"fordseam/internal/node"
	"fordseam/internal/standin/platform"

	"github.com/urfave/cli/v3"
)

// soakCommand returns the command that plays drawn schedules of overlapping faults, planned
// work and changes on fleets of real processes.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "play drawn series of overlapping faults, planned work and changes on fleets of real processes",
		Description: "Each seed draws a schedule and a fleet's traffic. Machines that count as lost are lost one after the other, as closely as the fault budget allows; all else overlaps.\n" +
			"At the end of a series, all machines back, it checks that a change is acknowledged, also with any one storage machine stopped, that kept programs go on and that no process leaks.\n" +
			"All rules of the platform are checked on every request. The exit code is 1 if a seed has a finding.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Value: "kiondo", Usage: "`SITE`: kiondo, ljubljana or small"},
			&cli.StringFlag{Name: "seeds", Value: "1-1", Usage: "first and last seed, as `FROM-TO`"},
			&cli.DurationFlag{Name: "traffic", Value: 40 * time.Second, Usage: "about how long a series goes on"},
			&cli.FloatFlag{Name: "rate", Value: 0.25, Usage: "rate of programs, as a `MULTIPLE` of the site's usual rate"},
			&cli.IntFlag{Name: "edges", Usage: "`COUNT` of edge machines; the site's if not given"},
			&cli.IntFlag{Name: "cores", Usage: "`COUNT` of core machines; the site's if not given"},
			&cli.IntFlag{Name: "storage", Usage: "`COUNT` of storage machines; the site's if not given"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "`COUNT` of seeds at the same time"},
			&cli.BoolFlag{Name: "crowds", Usage: "let every tenth seed run as many processes as the machine bears"},
			&cli.BoolFlag{Name: "stop-at-finding", Usage: "end at the first finding"},
			&cli.StringFlag{Name: "programs", Value: "target", Usage: "`FOLDER` with fordseam-gateway and fordseam-controller"},
			&cli.StringFlag{Name: "folder", Value: "fleet-data", Usage: "`FOLDER` for settings, data and logs; its content is deleted first, and the folders of seeds with findings are kept"},
			&cli.StringFlag{Name: "record", Usage: "write schedules, findings and times to a `FILE`, as JSON"},
			&cli.BoolFlag{Name: "dry-run", Usage: "print the schedules and play nothing"},
		},
		Action: runSoak,
	}
}

// parseSeeds parses a range of seeds.
func parseSeeds(text string) (first, last uint64, err error) {
	from, to, hasRange := strings.Cut(text, "-")
	if !hasRange {
		to = from
	}
	first, firstErr := strconv.ParseUint(from, 10, 64)
	last, lastErr := strconv.ParseUint(to, 10, 64)
	if firstErr != nil || lastErr != nil || last < first {
		return 0, 0, cli.Exit(fmt.Sprintf("seeds: must be FROM-TO with two numbers in ascending order, is %q", text), node.ExitUsage)
	}
	return first, last, nil
}

// soakSite returns the site of the flags, with their numbers of machines.
func soakSite(command *cli.Command) (*platform.Deployment, error) {
	site := platform.Deployments()[command.String("site")]
	if site == nil {
		return nil, cli.Exit("site: must be one of "+strings.Join(base.SortedKeys(platform.Deployments()), ", "), node.ExitUsage)
	}
	for _, machines := range []struct {
		flag  string
		count *int
		least int
	}{{"edges", &site.Edges, 1}, {"cores", &site.Cores, 1}, {"storage", &site.Storage, 3}} {
		if command.IsSet(machines.flag) {
			*machines.count = command.Int(machines.flag)
		}
		if *machines.count < machines.least {
			return nil, cli.Exit(fmt.Sprintf("%s: must be %d or more, is %d", machines.flag, machines.least, *machines.count), node.ExitUsage)
		}
	}
	return site, nil
}

// soakPlan returns the plan of the flags.
func soakPlan(command *cli.Command) (*fleet.SoakPlan, error) {
	site, err := soakSite(command)
	if err != nil {
		return nil, err
	}
	plan := &fleet.SoakPlan{SiteName: command.String("site"), Site: site, Traffic: command.Duration("traffic"), RateFactor: command.Float("rate"), Jobs: command.Int("jobs"),
		Crowds: command.Bool("crowds"), StopAtFinding: command.Bool("stop-at-finding"), Record: command.String("record")}
	if plan.FirstSeed, plan.LastSeed, err = parseSeeds(command.String("seeds")); err != nil {
		return nil, err
	}
	if plan.Traffic <= 0 || plan.RateFactor <= 0 || plan.Jobs < 1 {
		return nil, cli.Exit("traffic, rate and jobs must be above 0", node.ExitUsage)
	}
	programs, err := filepath.Abs(command.String("programs"))
	if err != nil {
		return nil, err
	}
	gateway, controller := filepath.Join(programs, "fordseam-gateway"), filepath.Join(programs, "fordseam-controller")
	for _, path := range []string{gateway, controller} {
		if _, err := os.Stat(path); err != nil {
			return nil, cli.Exit(fmt.Sprintf("programs: %v", err), node.ExitUsage)
		}
	}
	plan.Commands = map[string]string{platform.ClassEdge: gateway + " platform", platform.ClassCore: controller + " core", platform.ClassStorage: controller + " storage"}
	if plan.WorkDir, err = filepath.Abs("."); err != nil {
		return nil, err
	}
	if plan.Dir, err = filepath.Abs(command.String("folder")); err != nil {
		return nil, err
	}
	plan.Repeat = fmt.Sprintf("fordseam-fleet soak --site %s --traffic %v --rate %v --edges %d --cores %d --storage %d --crowds=%v", plan.SiteName, plan.Traffic, plan.RateFactor, site.Edges, site.Cores, site.Storage, plan.Crowds)
	return plan, nil
}

func runSoak(ctx context.Context, command *cli.Command) error {
	plan, err := soakPlan(command)
	if err != nil {
		return err
	}
	if command.Bool("dry-run") {
		for seed := plan.FirstSeed; seed <= plan.LastSeed; seed++ {
			fmt.Print(plan.Schedule(seed, plan.Site.Edges))
		}
		return nil
	}
	if err := fleet.PrepareDir(plan.Dir); err != nil {
		return cli.Exit("folder: "+err.Error(), node.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	records, err := fleet.RunSoak(ctx, plan, os.Stdout)
	if err != nil {
		return err
	}
	findings := 0
	for _, record := range records {
		if len(record.Breaches) > 0 || record.Error != "" {
			findings++
		}
	}
	if findings > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d seeds have findings", findings, len(records)), 1)
	}
	return nil
}
