// The roster is the list of workers as the platform of a deployment keeps
// it. One duty holder asks for it; each worker is a key of the feed, so that
// a change costs what changed, and every gateway reads the same.

package relay

import (
	"encoding/json"
	"slices"
	"strings"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// RosterKeyPrefix is where the feed tells of workers.
const RosterKeyPrefix = "feed/roster/"

// Worker is one life of a worker, as the list has it.
type Worker struct {
	ID       string `json:"-"`
	Service  string `json:"s"`
	Addr     string `json:"a"`
	Zone     string `json:"z"`
	Capacity int    `json:"c"`
	Draining bool   `json:"d,omitempty"`
}

// DecodeRoster reads the feed's frame.
func DecodeRoster(values map[string][]byte) Workers {
	found, _ := (&RosterDecoder{}).Decode(values)
	return found
}

// RosterDecoder reads one frame after another, and only what changed between them.
type RosterDecoder struct {
	read map[string]entry
	list Workers
}

// entry is a worker's key as it was last read; ok tells that it could be.
type entry struct {
	raw    []byte
	worker Worker
	ok     bool
}

// Decode gives the workers by id, and tells whether they are others than last
// time. The list is never changed afterwards.
func (r *RosterDecoder) Decode(values map[string][]byte) (list Workers, changed bool) {
	if r.read == nil {
		r.read, r.list = map[string]entry{}, Workers{}
	}
	count, touched := 0, 0
	for key, raw := range values {
		id, ok := strings.CutPrefix(key, RosterKeyPrefix)
		if !ok {
			continue
		}
		count++
		before, known := r.read[id]
		if known && sameBytes(before.raw, raw) {
			continue
		}
		now := entry{raw: raw, worker: Worker{ID: id}}
		now.ok = json.Unmarshal(raw, &now.worker) == nil
		r.read[id] = now
		if now.ok != before.ok || now.ok && now.worker != before.worker {
			touched++
		}
	}
	if count < len(r.read) {
		for id, before := range r.read {
			if _, stays := values[RosterKeyPrefix+id]; !stays {
				delete(r.read, id)
				if before.ok {
					touched++
				}
			}
		}
	}
	if touched == 0 {
		return r.list, false
	}
	next := make(Workers, 0, len(r.read))
	for _, one := range r.list { // in order already
		if now, stays := r.read[one.ID]; stays && now.ok {
			next = append(next, now.worker)
		}
	}
	kept := len(next)
	if kept < len(r.read) {
		for id, now := range r.read {
			if _, ok := slices.BinarySearchFunc(next[:kept], id, byID); !ok && now.ok {
				next = append(next, now.worker)
			}
		}
		if len(next) > kept {
			slices.SortFunc(next, func(a, b Worker) int { return strings.Compare(a.ID, b.ID) })
		}
	}
	r.list = next
	return next, true
}

func byID(one Worker, id string) int { return strings.Compare(one.ID, id) }

// sameBytes looks at the bytes only where they are not the very same.
func sameBytes(a, b []byte) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || string(a) == string(b))
}

// RegisterHandlers adds the roster's ops to a core: to read it, and to change it, where
// keys that stay as they were are not written again.
func RegisterHandlers(server *register.Server) {
	server.Handle("roster.read", func(tx *register.Tx, _ []byte) (any, error) {
		found := map[string]Worker{}
		tx.Walk(RosterKeyPrefix, "", func(key string, value []byte) bool {
			var one Worker
			if json.Unmarshal(value, &one) == nil {
				found[strings.TrimPrefix(key, RosterKeyPrefix)] = one
			}
			return true
		})
		return found, nil
	})
	server.Handle("roster.amend", func(tx *register.Tx, args []byte) (any, error) {
		var change RosterChange
		if err := json.Unmarshal(args, &change); err != nil {
			return nil, base.DeclineField("roster", "%v", err)
		}
		for _, id := range change.Remove {
			if tx.Get(RosterKeyPrefix+id) != nil {
				tx.Delete(RosterKeyPrefix + id)
			}
		}
		for _, id := range base.SortedKeys(change.Put) {
			if raw := base.Encode(change.Put[id]); string(tx.Get(RosterKeyPrefix+id)) != string(raw) {
				tx.Put(RosterKeyPrefix+id, raw)
			}
		}
		return struct{}{}, nil
	})
}

// RosterChange is what becomes of some workers; the others stay as they are.
type RosterChange struct {
	Put    map[string]Worker `json:"put,omitempty"`
	Remove []string          `json:"gone,omitempty"`
}

// workers is how many it speaks of.
func (c *RosterChange) workers() int { return len(c.Put) + len(c.Remove) }

// ApplyRosterChange makes one change of the roster.
func ApplyRosterChange(ctx *base.Ctx, client *register.Client, change RosterChange) error {
	return client.Change(ctx, register.FeedGroup, "roster.amend", change, nil)
}
