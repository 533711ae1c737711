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

// daysCommand writes days of faults and planned work, drawn from a seed.
func daysCommand() *cli.Command {
	return &cli.Command{
		Name: "days", Usage: "write days of faults and planned work, drawn from a seed, as TOML files for the bench",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "theme", Value: chaosday.ThemeMixed, Usage: "`THEME`: " + strings.Join(chaosday.Themes(), ", ")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of all draws"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "`COUNT` of days; 0: for mixed, as many as hold every kind once"},
			&cli.IntFlag{Name: "events", Value: chaosday.DefaultEvents, Usage: "`COUNT` of events of a mixed day"},
			&cli.StringFlag{Name: "out", Value: "target/days", Usage: "`FOLDER` for the files"},
			&cli.StringFlag{Name: "kinds", Usage: "`FILE` with the bench's list of the kinds that the site takes; without it all kinds"},
			&cli.StringFlag{Name: "model-service", Usage: "`NAME` of the service of model workers"},
			&cli.StringFlag{Name: "tool-service", Usage: "`NAME` of the service of plain workers"},
			&cli.StringFlag{Name: "class", Usage: "`NAME` of a kind of requests, for bursts; without it all"},
			&cli.IntFlag{Name: "tolerate", Value: 1, Usage: "`COUNT` of machines that may be lost at once"},
			&cli.FloatFlag{Name: "catch-up", Value: 4, Usage: "`SECONDS` for which a machine counts as lost after its return"},
		},
		Action: writeDays,
	}
}

func writeDays(_ context.Context, command *cli.Command) error {
	theme := command.String("theme")
	if !slices.Contains(chaosday.Themes(), theme) {
		return cli.Exit("theme: must be one of "+strings.Join(chaosday.Themes(), ", "), node.ExitUsage)
	}
	site := &chaosday.Site{
		ModelService: command.String("model-service"), ToolService: command.String("tool-service"),
		RequestClass: command.String("class"), FaultTolerance: command.Int("tolerate"), CatchUpSeconds: command.Float("catch-up"),
		EventsPerDay: command.Int("events"),
	}
	if path := command.String("kinds"); path != "" {
		list, err := os.ReadFile(path)
		if err != nil {
			return cli.Exit("kinds: "+err.Error(), node.ExitUsage)
		}
		site.Kinds = chaosday.ParseKinds(string(list))
		if unknown := chaosday.UnknownKinds(site.Kinds); len(unknown) > 0 {
			fmt.Fprintln(os.Stderr, "kinds that no day will hold:", strings.Join(unknown, ", "))
		}
	}
	count := command.Int("count")
	if count == 0 && theme == chaosday.ThemeMixed {
		count = chaosday.DaysForFullCoverage(site)
	}
	if count < 1 {
		return cli.Exit("count: must be 1 or more", node.ExitUsage)
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
