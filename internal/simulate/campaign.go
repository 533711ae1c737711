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

// Title returns the scenario's name.
func (s *Scenario) Title() string { return s.Name }

// RunShape runs the scenario at the size of the named entry of Shapes.
func (s *Scenario) RunShape(seed uint64, shape string) *Outcome { return s.Run(seed, Shapes[shape]()) }

// Title returns the name of the day.
func (d *TierScenario) Title() string { return d.Name }

// RunShape runs the day at the size of the named entry of TierShapes.
func (d *TierScenario) RunShape(seed uint64, shape string) *Outcome {
	return d.Run(seed, TierShapes[shape]())
}

// Campaign runs scenarios over many seeds and sizes in parallel. Runs are independent of
// each other, so the results do not depend on the parallelism.
type Campaign struct {
	Scenarios   []Runnable
	Shapes      []string
	FirstSeed   uint64
	SeedCount   int
	Parallelism int
}

// CampaignResult is the result of one scenario at one size over all seeds.
type CampaignResult struct {
	Scenario       string     `json:"scenario"`
	Shape          string     `json:"shape"`
	Runs           int        `json:"runs"`
	CompletedTurns int        `json:"turns_whole"`
	P99Ms          float64    `json:"p99_turn_ms"`
	LongestMs      float64    `json:"longest_turn_ms"`
	FailedRuns     []*Outcome `json:"failing"`
}

// Run executes all runs and returns their results by size and scenario. It calls onOutcome
// after each run, one call at a time.
func (c *Campaign) Run(onOutcome func(*Outcome)) []*CampaignResult {
	type job struct {
		result   *CampaignResult
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
				outcome := next.scenario.RunShape(next.seed, next.result.Shape)
				mu.Lock()
				next.result.Runs++
				next.result.CompletedTurns += outcome.Counts["turns_whole"]
				turns[next.result] = append(turns[next.result], outcome.TurnTimes...)
				if len(outcome.Breaches) > 0 {
					next.result.FailedRuns = append(next.result.FailedRuns, outcome)
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

// ReplayCommand returns the command line that repeats the run.
func (o *Outcome) ReplayCommand() string {
	command := "campaign"
	if o.Tier {
		command = "tier"
	}
	return fmt.Sprintf("fordseam-sim %s --shape %s --scenario %q --seed %d --seeds 1", command, o.Shape, o.Scenario, o.Seed)
}

// WriteCampaign writes a campaign's results as a table and returns the number of failed
// runs.
func WriteCampaign(out io.Writer, results []*CampaignResult) (failed int) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SHAPE\tSCENARIO\tRUNS\tFAILING\tTURNS WHOLE\tP99 TURN MS\tLONGEST MS")
	for _, result := range results {
		failed += len(result.FailedRuns)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.0f\t%.0f\n", result.Shape, result.Scenario, result.Runs, len(result.FailedRuns), result.CompletedTurns, result.P99Ms, result.LongestMs)
	}
	_ = w.Flush()
	for _, result := range results {
		for _, outcome := range result.FailedRuns {
			fmt.Fprintf(out, "FAILING: %s\n", outcome.ReplayCommand())
			for _, breach := range outcome.Breaches {
				fmt.Fprintf(out, "  %s\n", breach)
			}
		}
	}
	return failed
}
