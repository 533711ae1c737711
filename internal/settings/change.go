package settings

import (
	"bytes"
	"encoding/json"
	"strings"

	"fordseam/internal/access"
	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Key is the feed key that holds the settings.
const Key = "feed/settings"

// changeKeyPrefix is the prefix of the register keys that hold the outcome of
// each change, by its id.
const changeKeyPrefix = "settings-change/"

// Record is a version of the settings as it is stored and distributed.
// Operators know the version as the stamp.
type Record struct {
	Version  uint64          `json:"stamp"`
	Document json.RawMessage `json:"document"`
	// Access is the digest of the document's access rules; "" if it sets no teams.
	Access string `json:"access,omitempty"`
}

// Change is a request to replace the settings of version BasedOn. Every change
// has an id that its sender chose, by which it can ask for an outcome that it
// does not know.
type Change struct {
	ID       string          `json:"change"`
	BasedOn  uint64          `json:"based_on"`
	Document json.RawMessage `json:"document"`
}

// Outcome is "taken" or "refused". Version is the version that the change
// created, or the current one when it was refused.
type Outcome struct {
	Outcome string `json:"outcome"`
	Version uint64 `json:"stamp"`
}

// loggedOutcome is the stored outcome of a change, with its time in
// milliseconds.
type loggedOutcome struct {
	Outcome Outcome `json:"outcome"`
	At      int64   `json:"at"`
}

// currentRecord returns the current settings; version 0 if there are none.
func currentRecord(tx *register.Tx) Record {
	var record Record
	if raw := tx.Get(Key); raw != nil {
		_ = json.Unmarshal(raw, &record)
	}
	return record
}

// findOutcome returns the stored outcome of a change, or nil.
func findOutcome(tx *register.Tx, id string) *loggedOutcome {
	raw := tx.Get(changeKeyPrefix + id)
	if raw == nil {
		return nil
	}
	var logged loggedOutcome
	_ = json.Unmarshal(raw, &logged)
	return &logged
}

// RegisterHandlers adds the operations on settings to a core. Stored outcomes
// expire after four times the retention bound.
func RegisterHandlers(server *register.Server) {
	server.Handle("settings.apply", applyChange)
	server.Handle("settings.outcome", changeOutcome)
	server.Handle("settings.get", func(tx *register.Tx, _ []byte) (any, error) { return currentRecord(tx), nil })
	server.AddSweep(func(tx *register.Tx) {
		tx.Walk(changeKeyPrefix, "", func(key string, value []byte) bool {
			var logged loggedOutcome
			if json.Unmarshal(value, &logged) == nil && tx.Now-logged.At > 4*tx.Bounds.Retention.Milliseconds() {
				tx.Delete(key)
			}
			return true
		})
	})
}

// applyChange replaces the settings if they are still those that the change was
// based on. A change that was applied before gets the same answer again.
func applyChange(tx *register.Tx, args []byte) (any, error) {
	var request Change
	if err := json.Unmarshal(args, &request); err != nil {
		return nil, base.DeclineField("change", "not a valid change: %v", err)
	}
	current := currentRecord(tx)
	if logged := findOutcome(tx, request.ID); logged != nil {
		if logged.Outcome.Outcome == "taken" {
			return logged.Outcome, nil
		}
		requestErr := base.Decline(409, "change_refused", "change %q was refused and can no longer be applied", request.ID)
		requestErr.CurrentVersion = current.Version
		return nil, requestErr
	}
	if request.BasedOn != current.Version {
		requestErr := base.Decline(409, "stale_stamp", "the change is based on stamp %d, but the settings are at stamp %d", request.BasedOn, current.Version)
		requestErr.CurrentVersion = current.Version
		return nil, requestErr
	}
	tree, violations := Parse(request.Document)
	if len(violations) > 0 {
		return nil, InvalidDocument(violations)
	}
	next := Record{Version: current.Version + 1, Document: request.Document, Access: tree.Access().Digest()}
	if err := access.BeginChange(tx, current.Version, next.Version, current.Document, current.Access, next.Access); err != nil {
		return nil, err
	}
	accepted := Outcome{Outcome: "taken", Version: next.Version}
	tx.Put(Key, base.MustMarshal(next))
	tx.Put(changeKeyPrefix+request.ID, base.MustMarshal(loggedOutcome{accepted, tx.Now}))
	return accepted, nil
}

// changeOutcome returns the outcome of a change. If there is none, it stores
// that the change is refused, so that a late copy of it is never applied.
func changeOutcome(tx *register.Tx, args []byte) (any, error) {
	var request Change
	if err := json.Unmarshal(args, &request); err != nil || request.ID == "" {
		return nil, base.DeclineField("change", "must be the id of a change")
	}
	if logged := findOutcome(tx, request.ID); logged != nil {
		return logged.Outcome, nil
	}
	refused := Outcome{Outcome: "refused", Version: currentRecord(tx).Version}
	tx.Put(changeKeyPrefix+request.ID, base.MustMarshal(loggedOutcome{refused, tx.Now}))
	return refused, nil
}

// InvalidDocument returns an error that lists every violation in a document.
func InvalidDocument(violations []Violation) *base.RequestError {
	lines := base.Map(violations, func(violation Violation) string { return violation.Path + ": " + violation.Message })
	return base.DeclineField(violations[0].Path, "%s", strings.Join(lines, "\n"))
}

// FeedCache keeps the settings that a node parsed last, so that a document is
// not parsed again at every change of the feed. It is not safe for concurrent
// use.
type FeedCache struct {
	rawSettings, rawPending []byte
	record                  Record
	tree                    *Tree
	inForce                 access.VersionedTable
	next                    *access.VersionedTable
}

// Update reads the settings in a feed snapshot. The tree is nil if none were
// ever applied, or if this node cannot parse them. changed reports whether the
// tree is a new one.
func (c *FeedCache) Update(values map[string][]byte) (version uint64, tree *Tree, changed bool) {
	rawSettings, rawPending := values[Key], values[access.PendingKey]
	if c.tree != nil && bytes.Equal(rawSettings, c.rawSettings) && bytes.Equal(rawPending, c.rawPending) {
		return c.record.Version, c.tree, false
	}
	if c.tree == nil || !bytes.Equal(rawSettings, c.rawSettings) {
		var record Record
		if rawSettings == nil || json.Unmarshal(rawSettings, &record) != nil {
			return 0, nil, false
		}
		parsed, _ := Parse(record.Document)
		c.record, c.tree, changed = record, parsed, parsed != nil
		c.rawSettings = rawSettings
	}
	if c.tree == nil {
		return c.record.Version, nil, false
	}
	c.rawPending = rawPending
	newest := access.VersionedTable{Version: c.record.Version, Table: c.tree.Access()}
	pending := access.PendingFromFeed(values)
	switch {
	case pending == nil && c.next != nil && c.next.Table.Digest() == newest.Table.Digest():
		newest.Table = c.next.Table
		c.inForce, c.next = newest, nil
	case pending == nil:
		c.inForce, c.next = newest, nil
	case c.next == nil || c.inForce.Version != pending.InForce:
		previous, _ := Parse(pending.Document())
		c.inForce, c.next = access.VersionedTable{Version: pending.InForce, Table: previous.Access()}, &newest
	default:
		c.next = &newest
	}
	return c.record.Version, c.tree, changed
}

// AccessTables returns the access rules in force and, while a change of them is
// pending, the next ones.
func (c *FeedCache) AccessTables() (inForce access.VersionedTable, next *access.VersionedTable) {
	return c.inForce, c.next
}

// FromFeed parses the settings in a feed snapshot and returns their version.
// The tree is nil if none were ever applied.
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
	return record.Version, tree
}

// HasTeams reports whether the settings in a feed snapshot set teams.
func HasTeams(values map[string][]byte) bool {
	var record struct {
		Access string `json:"access"`
	}
	_ = json.Unmarshal(values[Key], &record)
	return record.Access != ""
}

// VersionFromFeed returns the version of the settings in a feed snapshot.
func VersionFromFeed(values map[string][]byte) uint64 {
	var record struct {
		Version uint64 `json:"stamp"`
	}
	_ = json.Unmarshal(values[Key], &record)
	return record.Version
}
