package standin

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
)

// Tally collects what callers and operators of one run saw: counts of outcomes,
// durations of turns, and breaches of the invariants that the fleet guarantees.
type Tally struct {
	mu           sync.Mutex
	Counts       map[string]int
	Breaches     []string
	RefusedTurns map[string]string // error code by "program|turn"
	Budgets      map[string]int64  // tokens, by root program
	SlowestTurn  time.Duration     // of the completed turns
	ToolKeys     map[string]bool   // "program/key" of each tool call made
	TurnTimes    []TurnTime        // of the completed turns
	RefusalTimes []TurnTime        // of the refused turns
	// OnCount, if set, is called with the name of each count as it is raised.
	OnCount      func(name string)
	observations observations
}

// TurnTime is when a turn was started and how long it took to be completed or
// refused.
type TurnTime struct{ Start, Duration time.Duration }

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{Counts: map[string]int{}, RefusedTurns: map[string]string{}, Budgets: map[string]int64{}, ToolKeys: map[string]bool{}, observations: newObservations()}
}

// Count adds 1 to the count of the given name.
func (t *Tally) Count(name string) {
	t.mu.Lock()
	t.Counts[name]++
	t.mu.Unlock()
	if t.OnCount != nil {
		t.OnCount(name)
	}
}

// Breach records that an invariant does not hold.
func (t *Tally) Breach(format string, args ...any) {
	t.mu.Lock()
	t.breachLocked(format, args...)
	t.mu.Unlock()
}

const maxBreaches = 100 // further ones are dropped

// breachLocked records a breach unless the same text is recorded already. The
// caller holds t.mu.
func (t *Tally) breachLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(t.Breaches) < maxBreaches && !slices.Contains(t.Breaches, text) {
		t.Breaches = append(t.Breaches, text)
	}
}

// RecordRefusedTurn records that a turn was reported as not run: it must never run.
func (t *Tally) RecordRefusedTurn(program, turn, code string) {
	t.mu.Lock()
	t.RefusedTurns[program+"|"+turn] = code
	t.mu.Unlock()
}

// CheckWorkers compares the workers' own records with what callers were told. No
// tool call may run twice, no refused turn may run, and the tokens of a program
// with its helpers may exceed its budget by those of one turn at most.
func (t *Tally) CheckWorkers(models []*Model, tools []*Tool, turnTokens int64) {
	runsPerKey, tokensPerProgram, runsPerTurn := map[string]int{}, map[string]int64{}, map[string]int{}
	for _, tool := range tools {
		for key, runs := range tool.RunsByKey() {
			runsPerKey[key] += runs
		}
	}
	for _, key := range base.SortedKeys(runsPerKey) {
		if runsPerKey[key] > 1 {
			t.Breach("tool call %s ran %d times", key, runsPerKey[key])
		}
	}
	for _, model := range models {
		runs, tokens, _, _ := model.Stats()
		for turn, n := range runs {
			runsPerTurn[turn] += n
		}
		for program, n := range tokens {
			root, _, _ := strings.Cut(program, ".")
			tokensPerProgram[root] += n
		}
	}
	t.mu.Lock()
	refused, budgets := t.RefusedTurns, t.Budgets
	t.mu.Unlock()
	for _, turn := range base.SortedKeys(refused) {
		if runsPerTurn[turn] > 0 {
			t.Breach("turn %s was refused (%s) and ran %d times", turn, refused[turn], runsPerTurn[turn])
		}
	}
	for _, program := range base.SortedKeys(budgets) {
		if tokensPerProgram[program] > budgets[program]+turnTokens {
			t.Breach("program %s produced %d tokens of a budget of %d", program, tokensPerProgram[program], budgets[program])
		}
	}
}
