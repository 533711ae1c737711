package relay

import (
	"encoding/json"
	"slices"
	"strings"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// RosterKeyPrefix is followed by a worker's id in the keys of the roster, the copy
// in the feed of the platform's list of workers. There is one key per worker, so
// that a change costs no more than the workers that it concerns.
const RosterKeyPrefix = "feed/roster/"

// Worker is one incarnation of a worker as listed by the platform.
type Worker struct {
	ID       string `json:"-"`
	Service  string `json:"s"`
	Addr     string `json:"a"`
	Zone     string `json:"z"`
	Capacity int    `json:"c"`
	Draining bool   `json:"d,omitempty"`
}

// DecodeRoster decodes the roster from a feed snapshot's keys and values.
func DecodeRoster(values map[string][]byte) Workers {
	workers, _ := (&RosterDecoder{}).Decode(values)
	return workers
}

// RosterDecoder decodes the rosters of successive feed snapshots. It only decodes
// the entries that changed since the one before.
type RosterDecoder struct {
	entries map[string]rosterEntry
	list    Workers
}

// rosterEntry is a worker's entry as last read; valid is false if it could not be
// decoded.
type rosterEntry struct {
	raw    []byte
	worker Worker
	valid  bool
}

// Decode returns the workers ordered by id, and reports whether they differ from
// the previous call's. The returned list is never modified.
func (r *RosterDecoder) Decode(values map[string][]byte) (list Workers, changed bool) {
	if r.entries == nil {
		r.entries, r.list = map[string]rosterEntry{}, Workers{}
	}
	count, changes := 0, 0
	for key, raw := range values {
		id, ok := strings.CutPrefix(key, RosterKeyPrefix)
		if !ok {
			continue
		}
		count++
		previous, known := r.entries[id]
		if known && equalBytes(previous.raw, raw) {
			continue
		}
		current := rosterEntry{raw: raw, worker: Worker{ID: id}}
		current.valid = json.Unmarshal(raw, &current.worker) == nil
		r.entries[id] = current
		if current.valid != previous.valid || current.valid && current.worker != previous.worker {
			changes++
		}
	}
	if count < len(r.entries) {
		for id, previous := range r.entries {
			if _, present := values[RosterKeyPrefix+id]; !present {
				delete(r.entries, id)
				if previous.valid {
					changes++
				}
			}
		}
	}
	if changes == 0 {
		return r.list, false
	}
	next := make(Workers, 0, len(r.entries))
	for _, w := range r.list { // already in order
		if current, present := r.entries[w.ID]; present && current.valid {
			next = append(next, current.worker)
		}
	}
	retainedCount := len(next)
	if retainedCount < len(r.entries) {
		for id, current := range r.entries {
			if _, ok := slices.BinarySearchFunc(next[:retainedCount], id, compareID); !ok && current.valid {
				next = append(next, current.worker)
			}
		}
		if len(next) > retainedCount {
			slices.SortFunc(next, func(a, b Worker) int { return strings.Compare(a.ID, b.ID) })
		}
	}
	r.list = next
	return next, true
}

// compareID compares a worker's id, for a binary search.
func compareID(w Worker, id string) int { return strings.Compare(w.ID, id) }

// equalBytes compares the contents only if the slices do not share their bytes.
func equalBytes(a, b []byte) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || string(a) == string(b))
}

// RegisterHandlers registers the operations that read and change the roster. A
// change does not write keys whose values stay the same.
func RegisterHandlers(server *register.Server) {
	server.Handle("roster.read", func(tx *register.Tx, _ []byte) (any, error) {
		workers := map[string]Worker{}
		tx.Walk(RosterKeyPrefix, "", func(key string, value []byte) bool {
			var w Worker
			if json.Unmarshal(value, &w) == nil {
				workers[strings.TrimPrefix(key, RosterKeyPrefix)] = w
			}
			return true
		})
		return workers, nil
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
			if raw := base.MustMarshal(change.Put[id]); string(tx.Get(RosterKeyPrefix+id)) != string(raw) {
				tx.Put(RosterKeyPrefix+id, raw)
			}
		}
		return struct{}{}, nil
	})
}

// RosterChange adds, replaces and removes some workers of the roster.
type RosterChange struct {
	Put    map[string]Worker `json:"put,omitempty"`
	Remove []string          `json:"gone,omitempty"`
}

// size is the number of workers that the change concerns.
func (c *RosterChange) size() int { return len(c.Put) + len(c.Remove) }

// ApplyRosterChange applies one change to the roster in the feed.
func ApplyRosterChange(ctx *base.Ctx, client *register.Client, change RosterChange) error {
	return client.Change(ctx, register.FeedGroup, "roster.amend", change, nil)
}
