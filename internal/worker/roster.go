package worker

import (
	"encoding/json"
	"strings"

	"fordseam/internal/base"
)

// Roster is a node's immutable copy of the worker list: workers by pool, and
// leaving notices by worker id. It is replaced as a whole on every change.
type Roster struct {
	Stamp   uint64
	Pools   map[string][]Worker
	Leaving map[string]Notice
}

// DecodeRoster builds the roster from a feed frame's keys and values.
func DecodeRoster(values map[string][]byte) *Roster {
	roster := &Roster{Pools: map[string][]Worker{}, Leaving: map[string]Notice{}}
	var list List
	if raw, ok := values[ListKey]; ok {
		_ = json.Unmarshal(raw, &list)
	}
	roster.Stamp = list.Stamp
	for _, w := range list.Workers {
		roster.Pools[w.Pool] = append(roster.Pools[w.Pool], w)
	}
	for _, key := range base.SortedKeys(values) {
		if id, ok := strings.CutPrefix(key, LeavingKeyPrefix); ok {
			var notice Notice
			_ = json.Unmarshal(values[key], &notice)
			roster.Leaving[id] = notice
		}
	}
	return roster
}
