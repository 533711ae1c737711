// A campaign runs scenarios over many seeds and sizes, across processors. Each
// result stands by itself, so the report is the same however many run at once.

package simulate

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// Runnable is a scenario of any kind that a campaign can run at a size.
type Runnable interface {
	Title() string
	RunShape(seed uint64, shape string) *Outcome
}

// Title is the scenario's name.
func (s *Scenario) Title() string { return s.Name }

// RunShape runs the scenario at one of the Shapes.
func (s *Scenario) RunShape(seed uint64, shape string) *Outcome { return s.Run(seed, Shapes[shape]()) }

// Title is the day's name.
func (d *TierScenario) Title() string { return d.Name }

// RunShape runs the scenario at one of the TierShapes.
func (d *TierScenario) RunShape(seed uint64, shape string) *Outcome {
	return d.Run(seed, TierShapes[shape]())
}

// Campaign is what to run.
type Campaign struct {
	Scenarios   []Runnable
	Shapes      []string
	FirstSeed   uint64
	SeedCount   int
	Parallelism int
}

// CampaignResult is what came of one scenario at one size, over all seeds.
type CampaignResult struct {
	Scenario       string     `json:"scenario"`
	Shape          string     `json:"shape"`
	Runs           int        `json:"runs"`
	CompletedTurns int        `json:"turns_whole"`
	P99Ms          float64    `json:"p99_turn_ms"`
	LongestMs      float64    `json:"longest_turn_ms"`
	FailedRuns     []*Outcome `json:"failing"`
}

// Run does all runs; told is called for each as it ends, one at a time.
func (c *Campaign) Run(onOutcome func(*Outcome)) []*CampaignResult {
	type job struct {
		row      *CampaignResult
		scenario Runnable
		seed     uint64
	}
	results, jobs := []*CampaignResult{}, []job{}
	for _, shape := range c.Shapes {
		for _, scenario := range c.Scenarios {
			result := &CampaignResult{Scenario: scenario.Title(), Shape: shape}
			results = append(results, result)
			for seed := c.FirstSeed; seed < c.FirstSeed+uint64(c.SeedCount); seed++ {
				jobs = append(jobs, job{result, scenario, seed})
			}
		}
	}
	var mu sync.Mutex
	var workers sync.WaitGroup
	turns := map[*CampaignResult][]time.Duration{}
	for range max(1, c.Parallelism) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for {
				mu.Lock()
				if len(jobs) == 0 {
					mu.Unlock()
					return
				}
				next := jobs[0]
				jobs = jobs[1:]
				mu.Unlock()
				outcome := next.scenario.RunShape(next.seed, next.row.Shape)
				mu.Lock()
				next.row.Runs++
				next.row.CompletedTurns += outcome.Counts["turns_whole"]
				turns[next.row] = append(turns[next.row], outcome.TurnTimes...)
				if len(outcome.Breaches) > 0 {
					next.row.FailedRuns = append(next.row.FailedRuns, outcome)
				}
				onOutcome(outcome)
				mu.Unlock()
			}
		}()
	}
	workers.Wait()
	for _, result := range results {
		slices.SortFunc(result.FailedRuns, func(a, b *Outcome) int { return int(a.Seed) - int(b.Seed) })
		if times := turns[result]; len(times) > 0 {
			slices.Sort(times)
			result.P99Ms, result.LongestMs = times[len(times)*99/100].Seconds()*1000, times[len(times)-1].Seconds()*1000
		}
	}
	return results
}

// ReplayCommand is the command that plays a run again.
func (o *Outcome) ReplayCommand() string {
	command := "campaign"
	if o.Tier {
		command = "tier"
	}
	return fmt.Sprintf("fordseam-sim %s --shape %s --scenario %q --seed %d --seeds 1", command, o.Shape, o.Scenario, o.Seed)
}

// WriteCampaign shows a campaign's rows, and tells how many runs failed.
func WriteCampaign(out io.Writer, rows []*CampaignResult) (failed int) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SHAPE\tSCENARIO\tRUNS\tFAILING\tTURNS WHOLE\tP99 TURN MS\tLONGEST MS")
	for _, row := range rows {
		failed += len(row.FailedRuns)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.0f\t%.0f\n", row.Shape, row.Scenario, row.Runs, len(row.FailedRuns), row.CompletedTurns, row.P99Ms, row.LongestMs)
	}
	_ = w.Flush()
	for _, row := range rows {
		for _, outcome := range row.FailedRuns {
			fmt.Fprintf(out, "FAILING: %s\n", outcome.ReplayCommand())
			for _, breach := range outcome.Breaches {
				fmt.Fprintf(out, "  %s\n", breach)
			}
		}
	}
	return failed
}
