// A change of the settings is taken or refused by the slot's owner, by
// compare-and-set on the stamp it was based on. Every change has an id. One
// whose outcome its sender does not know is asked for by that id: either it
// is found taken, or its id is first fenced on a majority and only then
// called refused, so that a late copy can never come into force.
package settings

import (
	"encoding/json"
	"strings"

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

// Serve adds the settings' ops to a core.
func Serve(owner *register.Owner) {
	owner.Handle("settings.apply", apply)
	owner.Handle("settings.outcome", outcome)
	owner.Handle("settings.get", func(tx *register.Tx, _ []byte) (any, error) { return current(tx), nil })
	owner.Sweep(func(tx *register.Tx) {
		tx.Walk(logPrefix, "", func(key string, value []byte) bool {
			var found logged
			if json.Unmarshal(value, &found) == nil && tx.Now-found.At > 4*tx.Bounds.Retain.Milliseconds() {
				tx.Gone(key)
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
	if _, faults := Read(asked.Document); len(faults) > 0 {
		return nil, FaultVerdict(faults)
	}
	next := Record{Stamp: now.Stamp + 1, Document: asked.Document}
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

// FaultVerdict lists every fault of a document in one verdict.
func FaultVerdict(faults []Fault) *base.Verdict {
	lines := base.Map(faults, func(f Fault) string { return f.Path + ": " + f.Message })
	return base.DeclineField(faults[0].Path, "%s", strings.Join(lines, "\n"))
}

// FromFrame reads the settings that a feed frame carries; nil when none
// were ever applied.
func FromFrame(values map[string][]byte) (uint64, *Tree) {
	raw, ok := values[Key]
	if !ok {
		return 0, nil
	}
	var record Record
	if json.Unmarshal(raw, &record) != nil {
		return 0, nil
	}
	tree, _ := Read(record.Document)
	return record.Stamp, tree
}
