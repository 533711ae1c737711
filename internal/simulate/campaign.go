// A campaign runs scenarios over many seeds and sizes, across processors. Each
// run stands by itself, so the report is the same however many run at once.

package simulate

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// Played is a scenario of any kind that a campaign can run at a size.
type Played interface {
	Named() string
	Play(seed uint64, shape string) *Outcome
}

// Named is the scenario's name.
func (s *Scenario) Named() string { return s.Name }

// Play runs it at one of the Shapes.
func (s *Scenario) Play(seed uint64, shape string) *Outcome { return s.Run(seed, Shapes[shape]()) }

// Named is the day's name.
func (d *TierDay) Named() string { return d.Name }

// Play runs it at one of the TierShapes.
func (d *TierDay) Play(seed uint64, shape string) *Outcome { return d.Run(seed, TierShapes[shape]()) }

// Campaign is what to run.
type Campaign struct {
	Scenarios  []Played
	Shapes     []string
	First      uint64
	Seeds      int
	Processors int
}

// Tested is what came of one scenario at one size, over all seeds.
type Tested struct {
	Scenario  string     `json:"scenario"`
	Shape     string     `json:"shape"`
	Runs      int        `json:"runs"`
	Turns     int        `json:"turns_whole"`
	P99Ms     float64    `json:"p99_turn_ms"`
	LongestMs float64    `json:"longest_turn_ms"`
	Failing   []*Outcome `json:"failing"`
}

// Run does all runs; told is called for each as it ends, one at a time.
func (c *Campaign) Run(told func(*Outcome)) []*Tested {
	type job struct {
		row      *Tested
		scenario Played
		seed     uint64
	}
	rows, jobs := []*Tested{}, []job{}
	for _, shape := range c.Shapes {
		for _, scenario := range c.Scenarios {
			row := &Tested{Scenario: scenario.Named(), Shape: shape}
			rows = append(rows, row)
			for seed := c.First; seed < c.First+uint64(c.Seeds); seed++ {
				jobs = append(jobs, job{row, scenario, seed})
			}
		}
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	turns := map[*Tested][]time.Duration{}
	for range max(1, c.Processors) {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				mu.Lock()
				if len(jobs) == 0 {
					mu.Unlock()
					return
				}
				next := jobs[0]
				jobs = jobs[1:]
				mu.Unlock()
				outcome := next.scenario.Play(next.seed, next.row.Shape)
				mu.Lock()
				next.row.Runs++
				next.row.Turns += outcome.Counts["turns_whole"]
				turns[next.row] = append(turns[next.row], outcome.Turns...)
				if len(outcome.Breaches) > 0 {
					next.row.Failing = append(next.row.Failing, outcome)
				}
				told(outcome)
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	for _, row := range rows {
		slices.SortFunc(row.Failing, func(a, b *Outcome) int { return int(a.Seed) - int(b.Seed) })
		if took := turns[row]; len(took) > 0 {
			slices.Sort(took)
			row.P99Ms, row.LongestMs = took[len(took)*99/100].Seconds()*1000, took[len(took)-1].Seconds()*1000
		}
	}
	return rows
}

// Replay is the command that plays a run again.
func (o *Outcome) Replay() string {
	command := "campaign"
	if o.Tier {
		command = "tier"
	}
	return fmt.Sprintf("fordseam-sim %s --shape %s --scenario %q --seed %d --seeds 1", command, o.Shape, o.Scenario, o.Seed)
}

// WriteCampaign shows a campaign's rows, and tells how many runs failed.
func WriteCampaign(out io.Writer, rows []*Tested) (failed int) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SHAPE\tSCENARIO\tRUNS\tFAILING\tTURNS WHOLE\tP99 TURN MS\tLONGEST MS")
	for _, row := range rows {
		failed += len(row.Failing)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.0f\t%.0f\n", row.Shape, row.Scenario, row.Runs, len(row.Failing), row.Turns, row.P99Ms, row.LongestMs)
	}
	_ = w.Flush()
	for _, row := range rows {
		for _, outcome := range row.Failing {
			fmt.Fprintf(out, "FAILING: %s\n", outcome.Replay())
			for _, breach := range outcome.Breaches {
				fmt.Fprintf(out, "  %s\n", breach)
			}
		}
	}
	return failed
}
