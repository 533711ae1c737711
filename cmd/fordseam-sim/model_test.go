package main

import (
	"strings"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/model"

	"github.com/matryer/is"
)

func TestModelPrintsSearchExtent(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(checkSystems(&out, base.NewRealClock(), "bootstrap", model.Limits{Depth: 4}))
	is.True(strings.Contains(out.String(), "depth   4"))
	is.True(strings.Contains(out.String(), "stopped at a limit"))
}

func TestModelRejectsUnknownName(t *testing.T) {
	err := checkSystems(&strings.Builder{}, base.NewRealClock(), "none", model.Limits{})
	is.New(t).True(err != nil)
}

func TestModelPrintsViolationTrace(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(printResult(&out, "world", model.Result{Violation: model.NoAcknowledgedLoss, Trace: []string{"first", "second"}}))
	is.True(strings.Contains(out.String(), "violated: "+model.NoAcknowledgedLoss))
	is.True(strings.Contains(out.String(), "   1. first\n   2. second\n"))
}
