package line

import (
	"sync"
	"time"

	"fordseam/internal/base"
)

// maxHistoryBytes bounds the bytes of turns in a gateway's history; a full history
// accepts no more turns until some expire.
const maxHistoryBytes = 48 << 20

type historyEntry struct {
	CompletedTurn
	expiresAt time.Duration
}

// history is a gateway's cache of completed turns, by turn id. What it does not have is
// loaded from the ledger.
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
	// Ancestors are kept at least as long as their descendants.
	for ancestor := h.turns[turn.Previous]; ancestor != nil && ancestor.expiresAt < expiresAt; ancestor = h.turns[ancestor.Previous] {
		ancestor.expiresAt = expiresAt
	}
}

// chain returns the inputs and outputs of a turn and its ancestors, oldest first. It
// returns false when one is not in the history.
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

// joinTurns returns the inputs and outputs of turns that are given oldest first.
func joinTurns(turns []CompletedTurn) []byte {
	body := []byte{}
	for _, turn := range turns {
		body = append(append(body, turn.Input...), turn.Output...)
	}
	return body
}

// removeExpired removes the turns that no later turn may refer to any more.
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
