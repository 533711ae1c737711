// A change of the settings is taken or refused by the slot's owner, by
// compare-and-set on the stamp it was based on. Every change has an id. One
// whose outcome its sender does not know is asked for by that id: either it
// is found taken, or its id is first fenced on a majority and only then
// called refused, so that a late copy can never come into force.

package settings

import (
	"bytes"
	"encoding/json"
	"strings"

	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Key is where the feed carries the settings.
const Key = "feed/settings"

const logPrefix = "settings-change/"

// Record is what is stored and told.
type Record struct {
	Stamp    uint64          `json:"stamp"`
	Document json.RawMessage `json:"document"`
	// Access names what the document allows teams; empty where it sets none.
	Access string `json:"access,omitempty"`
}

// Change asks for new settings.
type Change struct {
	ID       string          `json:"change"`
	BasedOn  uint64          `json:"based_on"`
	Document json.RawMessage `json:"document"`
}

// Outcome is taken or refused, with the stamp that now stands.
type Outcome struct {
	Outcome string `json:"outcome"`
	Stamp   uint64 `json:"stamp"`
}

type logged struct {
	Outcome Outcome `json:"outcome"`
	At      int64   `json:"at"`
}

func current(tx *register.Tx) Record {
	var record Record
	if raw := tx.Get(Key); raw != nil {
		_ = json.Unmarshal(raw, &record)
	}
	return record
}

func known(tx *register.Tx, id string) *logged {
	raw := tx.Get(logPrefix + id)
	if raw == nil {
		return nil
	}
	var found logged
	_ = json.Unmarshal(raw, &found)
	return &found
}

// RegisterHandlers adds the settings' ops to a core.
func RegisterHandlers(owner *register.Server) {
	owner.Handle("settings.apply", apply)
	owner.Handle("settings.outcome", outcome)
	owner.Handle("settings.get", func(tx *register.Tx, _ []byte) (any, error) { return current(tx), nil })
	owner.AddSweep(func(tx *register.Tx) {
		tx.Walk(logPrefix, "", func(key string, value []byte) bool {
			var found logged
			if json.Unmarshal(value, &found) == nil && tx.Now-found.At > 4*tx.Bounds.Retain.Milliseconds() {
				tx.Delete(key)
			}
			return true
		})
	})
}

func apply(tx *register.Tx, args []byte) (any, error) {
	var asked Change
	if err := json.Unmarshal(args, &asked); err != nil {
		return nil, base.DeclineField("change", "not a change: %v", err)
	}
	now := current(tx)
	if found := known(tx, asked.ID); found != nil {
		if found.Outcome.Outcome == "taken" {
			return found.Outcome, nil
		}
		v := base.Decline(409, "change_refused", "this change was refused and stays so")
		v.Stamp = now.Stamp
		return nil, v
	}
	if asked.BasedOn != now.Stamp {
		v := base.Decline(409, "stale_stamp", "the change was based on stamp %d, the settings stand at %d", asked.BasedOn, now.Stamp)
		v.Stamp = now.Stamp
		return nil, v
	}
	tree, faults := Parse(asked.Document)
	if len(faults) > 0 {
		return nil, InvalidDocument(faults)
	}
	next := Record{Stamp: now.Stamp + 1, Document: asked.Document, Access: tree.Access().Digest()}
	if err := access.BeginChange(tx, now.Stamp, next.Stamp, now.Document, now.Access, next.Access); err != nil {
		return nil, err
	}
	taken := Outcome{Outcome: "taken", Stamp: next.Stamp}
	tx.Put(Key, base.Encode(next))
	tx.Put(logPrefix+asked.ID, base.Encode(logged{taken, tx.Now}))
	return taken, nil
}

func outcome(tx *register.Tx, args []byte) (any, error) {
	var asked Change
	if err := json.Unmarshal(args, &asked); err != nil || asked.ID == "" {
		return nil, base.DeclineField("change", "must name a change")
	}
	if found := known(tx, asked.ID); found != nil {
		return found.Outcome, nil
	}
	refused := Outcome{Outcome: "refused", Stamp: current(tx).Stamp}
	tx.Put(logPrefix+asked.ID, base.Encode(logged{refused, tx.Now}))
	return refused, nil
}

// InvalidDocument lists every fault of a document in one verdict.
func InvalidDocument(faults []Violation) *base.Verdict {
	lines := base.Map(faults, func(f Violation) string { return f.Path + ": " + f.Message })
	return base.DeclineField(faults[0].Path, "%s", strings.Join(lines, "\n"))
}

// FeedCache keeps what a node has read of the feed's settings, so that a document
// is read once and not at each change of the feed. One task at a time uses it.
type FeedCache struct {
	raw, under []byte
	record     Record
	tree       *Tree
	force      access.StampedTable
	next       *access.StampedTable
}

// Update reads a frame; the tree is nil when none was ever applied, or cannot
// be read here.
func (k *FeedCache) Update(values map[string][]byte) (stamp uint64, tree *Tree, fresh bool) {
	raw, under := values[Key], values[access.PendingKey]
	if k.tree != nil && bytes.Equal(raw, k.raw) && bytes.Equal(under, k.under) {
		return k.record.Stamp, k.tree, false
	}
	if k.tree == nil || !bytes.Equal(raw, k.raw) {
		var record Record
		if raw == nil || json.Unmarshal(raw, &record) != nil {
			return 0, nil, false
		}
		read, _ := Parse(record.Document)
		k.record, k.tree, fresh = record, read, read != nil
		k.raw = raw
	}
	if k.tree == nil {
		return k.record.Stamp, nil, false
	}
	k.under = under
	own := access.StampedTable{Stamp: k.record.Stamp, Table: k.tree.Access()}
	pending := access.PendingFromFeed(values)
	switch {
	case pending == nil && k.next != nil && k.next.Table.Digest() == own.Table.Digest():
		own.Table = k.next.Table
		k.force, k.next = own, nil
	case pending == nil:
		k.force, k.next = own, nil
	case k.next == nil || k.force.Stamp != pending.InForce:
		former, _ := Parse(pending.Document())
		k.force, k.next = access.StampedTable{Stamp: pending.InForce, Table: former.Access()}, &own
	default:
		k.next = &own
	}
	return k.record.Stamp, k.tree, fresh
}

// AccessTables gives the rules in force and, under a change, those that come next.
func (k *FeedCache) AccessTables() (force access.StampedTable, next *access.StampedTable) {
	return k.force, k.next
}

// FromFeed reads the settings that a feed frame carries; nil when none
// were ever applied.
func FromFeed(values map[string][]byte) (uint64, *Tree) {
	raw, ok := values[Key]
	if !ok {
		return 0, nil
	}
	var record Record
	if json.Unmarshal(raw, &record) != nil {
		return 0, nil
	}
	tree, _ := Parse(record.Document)
	return record.Stamp, tree
}

// HasTeams tells whether the settings that a frame carries set teams.
func HasTeams(values map[string][]byte) bool {
	var record struct {
		Access string `json:"access"`
	}
	_ = json.Unmarshal(values[Key], &record)
	return record.Access != ""
}

// StampFromFeed is the stamp of the settings that a feed frame carries.
func StampFromFeed(values map[string][]byte) uint64 {
	var record struct {
		Stamp uint64 `json:"stamp"`
	}
	_ = json.Unmarshal(values[Key], &record)
	return record.Stamp
}
