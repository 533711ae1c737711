package line

import (
	"sync"
	"time"

	"fordseam/internal/base"
)

const (
	// maxHistoryBytes bounds the bytes of turns in a gateway's history.
	maxHistoryBytes = 48 << 20
	// historyPercent is the share of the machine's memory that bounds it as well.
	historyPercent = 10
)

// historyLimit returns the bound on a history on a machine with so much memory, 0 if that is
// not known.
func historyLimit(machineBytes int64) int {
	if machineBytes <= 0 {
		return maxHistoryBytes
	}
	return int(min(maxHistoryBytes, machineBytes*historyPercent/100))
}

type historyEntry struct {
	CompletedTurn
	expiresAt time.Duration
}

func (e *historyEntry) size() int { return len(e.Input) + len(e.Output) }

// history is a gateway's cache of completed turns, by turn id. What it does not have is
// loaded from the ledger. The turns that were added first make room for new ones.
type history struct {
	clock base.Clock
	limit int // in bytes
	mu    sync.Mutex
	turns map[string]*historyEntry
	order []string // ids in the order added, with some that were removed
	size  int
}

func newHistory(clock base.Clock, limit int) *history {
	return &history{clock: clock, limit: limit, turns: map[string]*historyEntry{}}
}

func (h *history) add(turn CompletedTurn, retain time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	expiresAt := h.clock.Now() + retain
	entry := &historyEntry{turn, expiresAt}
	if _, ok := h.turns[turn.Turn]; ok || !h.makeRoom(entry.size()) {
		return
	}
	h.size += entry.size()
	h.turns[turn.Turn] = entry
	h.order = append(h.order, turn.Turn)
	// Ancestors are kept at least as long as their descendants.
	for ancestor := h.turns[turn.Previous]; ancestor != nil && ancestor.expiresAt < expiresAt; ancestor = h.turns[ancestor.Previous] {
		ancestor.expiresAt = expiresAt
	}
}

// makeRoom removes old turns until so many bytes fit, and reports whether they do.
func (h *history) makeRoom(size int) bool {
	if size > h.limit {
		return false
	}
	for h.size+size > h.limit && len(h.order) > 0 {
		h.remove(h.order[0])
		h.order = h.order[1:]
	}
	return h.size+size <= h.limit
}

func (h *history) remove(id string) {
	if entry := h.turns[id]; entry != nil {
		h.size -= entry.size()
		delete(h.turns, id)
	}
}

// ancestry returns a turn and its ancestors, the turn first, with the size of their inputs and
// outputs. It returns false when one is not in the history.
func (h *history) ancestry(turn string) (entries []*historyEntry, size int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for turn != "" {
		entry := h.turns[turn]
		if entry == nil || len(entries) > maxChainTurns {
			return nil, 0, false
		}
		entries = append(entries, entry)
		size += entry.size()
		turn = entry.Previous
	}
	return entries, size, true
}

// maxChainTurns bounds the turns of a conversation that are looked up in the history.
const maxChainTurns = 1 << 12

// joinEntries returns the inputs and outputs of turns that are given newest first, followed by
// the input of the next turn.
func joinEntries(entries []*historyEntry, size int, next []byte) []byte {
	body := make([]byte, 0, size+len(next))
	for i := len(entries) - 1; i >= 0; i-- {
		body = append(append(body, entries[i].Input...), entries[i].Output...)
	}
	return append(body, next...)
}

// joinTurns returns the inputs and outputs of turns that are given oldest first, followed by
// the input of the next turn.
func joinTurns(turns []CompletedTurn, next []byte) []byte {
	body := make([]byte, 0, totalSize(turns)+len(next))
	for _, turn := range turns {
		body = append(append(body, turn.Input...), turn.Output...)
	}
	return append(body, next...)
}

// totalSize returns the size of the inputs and outputs of turns.
func totalSize(turns []CompletedTurn) (size int) {
	for _, turn := range turns {
		size += len(turn.Input) + len(turn.Output)
	}
	return size
}

// removeExpired removes the turns that no later turn may refer to any more.
func (h *history) removeExpired() {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := make([]string, 0, len(h.turns))
	for _, id := range h.order {
		if entry := h.turns[id]; entry != nil && entry.expiresAt < h.clock.Now() {
			h.remove(id)
		} else if entry != nil {
			kept = append(kept, id)
		}
	}
	h.order = kept
}
