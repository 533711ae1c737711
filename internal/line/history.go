// The history is a gateway's memory of whole turns, by turn id. It only
// saves asking the ledger: what is not here is recalled from there.

package line

import (
	"sync"
	"time"

	"fordseam/internal/base"
)

// historyMost bounds the bytes of turns kept in a gateway's memory.
const maxHistoryBytes = 48 << 20

type historyEntry struct {
	CompletedTurn
	expiresAt time.Duration
}

type history struct {
	clock base.Clock
	mu    sync.Mutex
	turns map[string]*historyEntry
	size  int
}

func newHistory(clock base.Clock) *history {
	return &history{clock: clock, turns: map[string]*historyEntry{}}
}

func (h *history) add(turn CompletedTurn, retain time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.turns[turn.Turn]; ok || h.size > maxHistoryBytes {
		return
	}
	expiresAt := h.clock.Now() + retain
	h.size += len(turn.Input) + len(turn.Output)
	h.turns[turn.Turn] = &historyEntry{turn, expiresAt}
	// What came before is kept as long as what follows from it.
	for ancestor := h.turns[turn.Previous]; ancestor != nil && ancestor.expiresAt < expiresAt; ancestor = h.turns[ancestor.Previous] {
		ancestor.expiresAt = expiresAt
	}
}

// chain builds what came before, oldest first.
func (h *history) chain(turn string) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entries, size := []*historyEntry{}, 0
	for turn != "" {
		entry := h.turns[turn]
		if entry == nil || len(entries) > 1<<12 {
			return nil, false
		}
		entries = append(entries, entry)
		size += len(entry.Input) + len(entry.Output)
		turn = entry.Previous
	}
	body := make([]byte, 0, size)
	for i := len(entries) - 1; i >= 0; i-- {
		body = append(append(body, entries[i].Input...), entries[i].Output...)
	}
	return body, true
}

// joined builds the body of a chain that is given oldest first.
func joinTurns(turns []CompletedTurn) []byte {
	body := []byte{}
	for _, turn := range turns {
		body = append(append(body, turn.Input...), turn.Output...)
	}
	return body
}

// sweep forgets what no turn may name any more.
func (h *history) removeExpired() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, entry := range h.turns {
		if entry.expiresAt < h.clock.Now() {
			h.size -= len(entry.Input) + len(entry.Output)
			delete(h.turns, id)
		}
	}
}
