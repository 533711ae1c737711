// The workers as the roster gives them, by pool.

package worker

import (
	"encoding/json"
	"strings"

	"fordseam/internal/base"
)

// Roster is what a node holds of the platform's list, swapped whole.
type Roster struct {
	Stamp   uint64
	Pools   map[string][]Worker
	Leaving map[string]Notice
}

// DecodeRoster reads the feed's frame.
func DecodeRoster(values map[string][]byte) *Roster {
	roster := &Roster{Pools: map[string][]Worker{}, Leaving: map[string]Notice{}}
	var list List
	if raw, ok := values[ListKey]; ok {
		_ = json.Unmarshal(raw, &list)
	}
	roster.Stamp = list.Stamp
	for _, one := range list.Workers {
		roster.Pools[one.Pool] = append(roster.Pools[one.Pool], one)
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
