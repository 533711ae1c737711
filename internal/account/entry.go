// Package account breaks down the score that a benchmark day lost by cause. It
// reads the entries that the users' bench writes into journal/ and reports, for
// each day, the loss in each component of the score and by each deduction. The
// losses of a day add up to its total loss.
package account

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"

	"github.com/juju/errors"
)

// JournalEntry holds the fields of a journal entry that the breakdown needs.
type JournalEntry struct {
	ID     string `json:"id"`
	Site   string `json:"site"`
	Reason string `json:"why"`
	Days   []Day  `json:"days"`
}

// Day is the result of one benchmark day. Score is its share of the maximum score.
type Day struct {
	Name            string           `json:"name"`
	Seed            uint64           `json:"seed"`
	Score           float64          `json:"G"`
	Components      []ScoreComponent `json:"parts"`
	Deductions      []Deduction      `json:"prices"`
	ViolationCounts map[string]int   `json:"rules"`
	Served          float64          `json:"served"`
}

// ScoreComponent is a weighted component of the score, with the share of it that
// was earned.
type ScoreComponent struct {
	Name   string
	Weight float64
	Earned float64
}

// UnmarshalJSON decodes a component from a list of name, weight and earned share.
func (p *ScoreComponent) UnmarshalJSON(raw []byte) error {
	return unmarshalTriple(raw, &p.Name, &p.Weight, &p.Earned)
}

// Deduction is the part of the score deducted for the use of a resource or for a
// kind of action: the amount used or done, and its cost.
type Deduction struct {
	Name   string
	Amount float64
	Cost   float64
}

// UnmarshalJSON decodes a deduction from a list of name, amount and cost.
func (p *Deduction) UnmarshalJSON(raw []byte) error {
	return unmarshalTriple(raw, &p.Name, &p.Amount, &p.Cost)
}

// unmarshalTriple decodes a JSON list of a name and two numbers.
func unmarshalTriple(raw []byte, name *string, first, second *float64) error {
	triple := []any{name, first, second}
	if err := json.Unmarshal(raw, &triple); err != nil {
		return errors.Annotate(err, "expected a list of a name and two numbers")
	}
	return nil
}

// ReadEntry reads a journal entry from a file. An entry without days is an error.
func ReadEntry(path string) (*JournalEntry, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	entry := &JournalEntry{}
	if err := json.Unmarshal(content, entry); err != nil {
		return nil, errors.Annotatef(err, "%s is not a valid journal entry", path)
	}
	if len(entry.Days) == 0 {
		return nil, errors.Errorf("%s contains no completed day", path)
	}
	return entry, nil
}

// Loss is the score that a day lost to one cause, as a share of the maximum score.
type Loss struct {
	Cause string
	Share float64
}

// roundingCause is the cause of the loss that remains unexplained because the
// figures in the journal are rounded.
const roundingCause = "rounding"

// Losses returns the losses of the day, largest first, with the rounding remainder
// last. They add up to 1 - Score.
func (d *Day) Losses() []Loss {
	losses := []Loss{}
	unexplained := 1 - d.Score
	add := func(cause string, share float64) {
		if share > 0 {
			losses = append(losses, Loss{cause, share})
			unexplained -= share
		}
	}
	for _, component := range d.Components {
		add(fmt.Sprintf("unearned score: %s", component.Name), component.Weight*(1-component.Earned))
	}
	for _, deduction := range d.Deductions {
		add("deduction: "+deduction.Name, deduction.Cost)
	}
	sort.SliceStable(losses, func(a, b int) bool { return losses[a].Share > losses[b].Share })
	return append(losses, Loss{roundingCause, unexplained})
}

// Violations returns the rules that the day violated with their counts, sorted by
// rule.
func (d *Day) Violations() (violations []string) {
	for rule, count := range d.ViolationCounts {
		if count > 0 {
			violations = append(violations, fmt.Sprintf("%s %d", rule, count))
		}
	}
	sort.Strings(violations)
	return violations
}
