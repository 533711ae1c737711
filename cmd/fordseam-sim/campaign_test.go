package main

import (
	"context"
	"strings"
	"testing"

	"fordseam/internal/simulate"

	"github.com/matryer/is"
)

func TestAPrintedCommandPlaysItsRunAgain(t *testing.T) {
	is := is.New(t)
	printed := (&simulate.Outcome{Scenario: "answers garbled, cut, late and extra", Tier: true, Shape: "small", Seed: 1}).ReplayCommand()
	is.Equal(printed, `fordseam-sim tier --shape small --scenario "answers garbled, cut, late and extra" --seed 1 --seeds 1`)
	head, rest, _ := strings.Cut(strings.TrimPrefix(printed, "fordseam-sim "), `"`)
	name, tail, _ := strings.Cut(rest, `"`)
	args := append(append(strings.Fields(head), name), strings.Fields(tail)...)
	is.NoErr(tierCommand().Run(context.Background(), args))
}
