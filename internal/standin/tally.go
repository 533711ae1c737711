// What callers saw, counted together: outcomes, breaches of the must-nevers, and
// times.

package standin

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
)

// Tally is what callers saw, and every breach they found.
type Tally struct {
	mu           sync.Mutex
	Counts       map[string]int
	Breaches     []string
	RefusedTurns map[string]string
	Budgets      map[string]int64
	SlowestTurn  time.Duration
	ToolKeys     map[string]bool
	TurnTimes    []TurnTime
	RefusalTimes []TurnTime
	// OnCount, when set, is told of each count as it happens.
	OnCount func(name string)
	ledger  ledger
}

// TurnTime is when a turn was begun and how long it took to be whole.
type TurnTime struct{ Start, Duration time.Duration }

func NewTally() *Tally {
	return &Tally{Counts: map[string]int{}, RefusedTurns: map[string]string{}, Budgets: map[string]int64{}, ToolKeys: map[string]bool{}, ledger: newLedger()}
}

// Count adds one to a named count.
func (t *Tally) Count(name string) {
	t.mu.Lock()
	t.Counts[name]++
	t.mu.Unlock()
	if t.OnCount != nil {
		t.OnCount(name)
	}
}

// Breach records that something happened which must never happen.
func (t *Tally) Breach(format string, args ...any) {
	t.mu.Lock()
	t.breach(format, args...)
	t.mu.Unlock()
}

const breachLimit = 100

// breach keeps a breach once; the caller holds the lock.
func (t *Tally) breach(format string, args ...any) {
	word := fmt.Sprintf(format, args...)
	if len(t.Breaches) < breachLimit && !slices.Contains(t.Breaches, word) {
		t.Breaches = append(t.Breaches, word)
	}
}

// RecordRefusedTurn notes that a program's turn was told as not run: it must never run.
func (t *Tally) RecordRefusedTurn(program, turn, code string) {
	t.mu.Lock()
	t.RefusedTurns[program+"|"+turn] = code
	t.mu.Unlock()
}

// CheckWorkers looks over the workers' own records.
func (t *Tally) CheckWorkers(models []*Model, tools []*Tool, oneTurn int64) {
	perKey, perProgram, turnRuns := map[string]int{}, map[string]int64{}, map[string]int{}
	for _, tool := range tools {
		for key, runs := range tool.RunsByKey() {
			perKey[key] += runs
		}
	}
	for _, key := range base.SortedKeys(perKey) {
		if perKey[key] > 1 {
			t.Breach("call %s ran %d times", key, perKey[key])
		}
	}
	for _, model := range models {
		runs, tokens, _, _ := model.Stats()
		for turn, n := range runs {
			turnRuns[turn] += n
		}
		for program, n := range tokens {
			root, _, _ := strings.Cut(program, ".")
			perProgram[root] += n
		}
	}
	t.mu.Lock()
	refused, budgets := t.RefusedTurns, t.Budgets
	t.mu.Unlock()
	for _, turn := range base.SortedKeys(refused) {
		if turnRuns[turn] > 0 {
			t.Breach("turn %s was refused (%s) and ran %d times", turn, refused[turn], turnRuns[turn])
		}
	}
	for _, program := range base.SortedKeys(budgets) {
		if perProgram[program] > budgets[program]+oneTurn {
			t.Breach("program %s put out %d of %d", program, perProgram[program], budgets[program])
		}
	}
}
