package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"fordseam/internal/chaosday"
	"fordseam/internal/node"

	"github.com/urfave/cli/v3"
)

// daysCommand returns the command that generates days of faults and planned work
// from a seed.
func daysCommand() *cli.Command {
	return &cli.Command{
		Name: "days", Usage: "generate days of faults and planned work from a seed, as TOML files for the bench",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "theme", Value: chaosday.ThemeMixed, Usage: "`THEME`: " + strings.Join(chaosday.Themes(), ", ")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of all random choices"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "`COUNT` of days; 0 with theme mixed: as many as it takes to have each kind once"},
			&cli.IntFlag{Name: "events", Value: chaosday.DefaultEvents, Usage: "`COUNT` of events in a mixed day"},
			&cli.StringFlag{Name: "out", Value: "target/days", Usage: "`FOLDER` for the files"},
			&cli.StringFlag{Name: "kinds", Usage: "`FILE` with the bench's list of the kinds that the site supports; all kinds if not given"},
			&cli.StringFlag{Name: "model-service", Usage: "`NAME` of the service of model workers"},
			&cli.StringFlag{Name: "tool-service", Usage: "`NAME` of the service of tool workers"},
			&cli.StringFlag{Name: "class", Usage: "`NAME` of the class of requests in bursts; all classes if not given"},
			&cli.IntFlag{Name: "tolerate", Value: 1, Usage: "`COUNT` of machines that may be lost at once"},
			&cli.FloatFlag{Name: "catch-up", Value: 4, Usage: "`SECONDS` for which a machine counts as lost after its return"},
		},
		Action: writeDays,
	}
}

func writeDays(_ context.Context, command *cli.Command) error {
	theme := command.String("theme")
	if !slices.Contains(chaosday.Themes(), theme) {
		return cli.Exit(fmt.Sprintf("theme: must be one of %s, is %q", strings.Join(chaosday.Themes(), ", "), theme), node.ExitUsage)
	}
	site := &chaosday.Site{
		ModelService: command.String("model-service"), ToolService: command.String("tool-service"),
		RequestClass: command.String("class"), FaultTolerance: command.Int("tolerate"), CatchUpSeconds: command.Float("catch-up"),
		EventsPerDay: command.Int("events"),
	}
	if path := command.String("kinds"); path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return cli.Exit("kinds: "+err.Error(), node.ExitUsage)
		}
		site.Kinds = chaosday.ParseKinds(string(content))
		if unknown := chaosday.UnknownKinds(site.Kinds); len(unknown) > 0 {
			fmt.Fprintln(os.Stderr, "ignored unknown kinds:", strings.Join(unknown, ", "))
		}
	}
	count := command.Int("count")
	if count == 0 && theme == chaosday.ThemeMixed {
		count = chaosday.DaysForFullCoverage(site)
	}
	if count < 1 {
		return cli.Exit(fmt.Sprintf("count: must be 1 or more, is %d", count), node.ExitUsage)
	}
	folder := command.String("out")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return cli.Exit("out: "+err.Error(), node.ExitUsage)
	}
	for _, day := range chaosday.Generate(theme, site, command.Uint64("seed"), count) {
		path := filepath.Join(folder, day.Name+".toml")
		if err := os.WriteFile(path, day.TOML(), 0o644); err != nil {
			return cli.Exit("out: "+err.Error(), node.ExitUsage)
		}
		fmt.Println(path)
	}
	return nil
}
