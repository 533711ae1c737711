// Package account tells where a day's worth went: it reads the entries that the
// users' bench writes into journal/ and draws, for each day, what each part of
// the score and each price cost. The rows of a day add up to all that it lost.
package account

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"

	"github.com/juju/errors"
)

// JournalEntry is what is read of one entry of the journal.
type JournalEntry struct {
	ID     string `json:"id"`
	Site   string `json:"site"`
	Reason string `json:"why"`
	Days   []Day  `json:"days"`
}

// Day is one day that was played.
type Day struct {
	Name            string           `json:"name"`
	Seed            uint64           `json:"seed"`
	Score           float64          `json:"G"`
	Components      []ScoreComponent `json:"parts"`
	Deductions      []Deduction      `json:"prices"`
	ViolationCounts map[string]int   `json:"rules"`
	Served          float64          `json:"served"`
}

// ScoreComponent is a share of the score: its weight, and how much of it was earned.
type ScoreComponent struct {
	Name   string
	Weight float64
	Earned float64
}

// UnmarshalJSON reads a part from its list.
func (p *ScoreComponent) UnmarshalJSON(raw []byte) error {
	return unmarshalTriple(raw, &p.Name, &p.Weight, &p.Earned)
}

// Deduction is what was taken off for one thing that was used or done.
type Deduction struct {
	Name   string
	Amount float64
	Cost   float64
}

// UnmarshalJSON reads a price from its list.
func (p *Deduction) UnmarshalJSON(raw []byte) error {
	return unmarshalTriple(raw, &p.Name, &p.Amount, &p.Cost)
}

// unmarshalTriple reads a list of a name and two numbers.
func unmarshalTriple(raw []byte, name *string, first, second *float64) error {
	triple := []any{name, first, second}
	if err := json.Unmarshal(raw, &triple); err != nil {
		return errors.Annotate(err, "a name and two numbers were expected")
	}
	return nil
}

// ReadEntry reads one entry of the journal.
func ReadEntry(path string) (*JournalEntry, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	entry := &JournalEntry{}
	if err := json.Unmarshal(raw, entry); err != nil {
		return nil, errors.Annotatef(err, "%s is no entry of the journal", path)
	}
	if len(entry.Days) == 0 {
		return nil, errors.Errorf("%s holds no day that was played to its end", path)
	}
	return entry, nil
}

// Loss is worth that a day lost to one cause, as a share of all that was owed.
type Loss struct {
	Cause string
	Share float64
}

// roundingCause is the row for what the rounded rows above it do not explain.
const roundingCause = "rounding"

// Losses are a day's, the largest first; they add up to what it lacks of 1.
func (d *Day) Losses() []Loss {
	losses := []Loss{}
	rest := 1 - d.Score
	add := func(cause string, share float64) {
		if share > 0 {
			losses = append(losses, Loss{cause, share})
			rest -= share
		}
	}
	for _, part := range d.Components {
		add(fmt.Sprintf("worth not earned: %s", part.Name), part.Weight*(1-part.Earned))
	}
	for _, price := range d.Deductions {
		add("price: "+price.Name, price.Cost)
	}
	sort.SliceStable(losses, func(a, b int) bool { return losses[a].Share > losses[b].Share })
	return append(losses, Loss{roundingCause, rest})
}

// Violations are the rules that the day broke, in order.
func (d *Day) Violations() (rules []string) {
	for rule, count := range d.ViolationCounts {
		if count > 0 {
			rules = append(rules, fmt.Sprintf("%s %d", rule, count))
		}
	}
	sort.Strings(rules)
	return rules
}
