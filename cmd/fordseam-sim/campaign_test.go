package main

import (
	"context"
	"strings"
	"testing"

	"fordseam/internal/simulate"

	"github.com/matryer/is"
)

func TestReplayCommandRuns(t *testing.T) {
	is := is.New(t)
	replay := (&simulate.Outcome{Scenario: "answers garbled, cut, late and extra", Tier: true, Shape: "small", Seed: 1}).ReplayCommand()
	is.Equal(replay, `fordseam-sim tier --shape small --scenario "answers garbled, cut, late and extra" --seed 1 --seeds 1`)
	flags, rest, _ := strings.Cut(strings.TrimPrefix(replay, "fordseam-sim "), `"`)
	name, remaining, _ := strings.Cut(rest, `"`)
	args := append(append(strings.Fields(flags), name), strings.Fields(remaining)...)
	is.NoErr(tierCommand().Run(context.Background(), args))
}
