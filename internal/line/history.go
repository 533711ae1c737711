// The history is a gateway's memory of whole turns, by turn id. It only
// saves asking the ledger: what is not here is recalled from there.

package line

import (
	"sync"
	"time"

	"fordseam/internal/base"
)

// historyMost bounds the bytes of turns kept in a gateway's memory.
const historyMost = 48 << 20

type remembered struct {
	CompletedTurn
	until time.Duration
}

type history struct {
	clock base.Clock
	mu    sync.Mutex
	turns map[string]*remembered
	size  int
}

func newHistory(clock base.Clock) *history {
	return &history{clock: clock, turns: map[string]*remembered{}}
}

func (h *history) keep(turn CompletedTurn, retain time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.turns[turn.Turn]; ok || h.size > historyMost {
		return
	}
	until := h.clock.Now() + retain
	h.size += len(turn.Input) + len(turn.Output)
	h.turns[turn.Turn] = &remembered{turn, until}
	// What came before is kept as long as what follows from it.
	for former := h.turns[turn.Previous]; former != nil && former.until < until; former = h.turns[former.Previous] {
		former.until = until
	}
}

// chain builds what came before, oldest first.
func (h *history) chain(turn string) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	line, size := []*remembered{}, 0
	for turn != "" {
		found := h.turns[turn]
		if found == nil || len(line) > 1<<12 {
			return nil, false
		}
		line = append(line, found)
		size += len(found.Input) + len(found.Output)
		turn = found.Previous
	}
	body := make([]byte, 0, size)
	for last := len(line) - 1; last >= 0; last-- {
		body = append(append(body, line[last].Input...), line[last].Output...)
	}
	return body, true
}

// joined builds the body of a chain that is given oldest first.
func joined(turns []CompletedTurn) []byte {
	body := []byte{}
	for _, one := range turns {
		body = append(append(body, one.Input...), one.Output...)
	}
	return body
}

// sweep forgets what no turn may name any more.
func (h *history) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, one := range h.turns {
		if one.until < h.clock.Now() {
			h.size -= len(one.Input) + len(one.Output)
			delete(h.turns, id)
		}
	}
}
