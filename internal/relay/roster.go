// The roster is the list of workers as the platform of a deployment keeps
// it. One duty holder asks for it; each worker is a key of the feed, so that
// a change costs what changed, and every gateway reads the same.
package relay

import (
	"encoding/json"
	"strings"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// RosterPrefix is where the feed tells of workers.
const RosterPrefix = "feed/roster/"

// Worker is one life of a worker, as the list has it.
type Worker struct {
	ID       string `json:"-"`
	Service  string `json:"s"`
	Addr     string `json:"a"`
	Zone     string `json:"z"`
	Capacity int    `json:"c"`
	Draining bool   `json:"d,omitempty"`
}

// RosterOf reads the feed's frame.
func RosterOf(values map[string][]byte) Workers {
	found := Workers{}
	for _, key := range base.SortedKeys(values) {
		if id, ok := strings.CutPrefix(key, RosterPrefix); ok {
			one := Worker{ID: id}
			if json.Unmarshal(values[key], &one) == nil {
				found = append(found, one)
			}
		}
	}
	return found
}

// Serve adds the roster's op to a core: it puts what changed and takes out
// what is gone.
func Serve(owner *register.Owner) {
	owner.Handle("roster.read", func(tx *register.Tx, _ []byte) (any, error) {
		found := map[string]Worker{}
		tx.Walk(RosterPrefix, "", func(key string, value []byte) bool {
			var one Worker
			if json.Unmarshal(value, &one) == nil {
				found[strings.TrimPrefix(key, RosterPrefix)] = one
			}
			return true
		})
		return found, nil
	})
	owner.Handle("roster.replace", func(tx *register.Tx, args []byte) (any, error) {
		var next map[string]Worker
		if err := json.Unmarshal(args, &next); err != nil {
			return nil, base.DeclineField("roster", "%v", err)
		}
		tx.Walk(RosterPrefix, "", func(key string, _ []byte) bool {
			if _, stays := next[strings.TrimPrefix(key, RosterPrefix)]; !stays {
				tx.Gone(key)
			}
			return true
		})
		for _, id := range base.SortedKeys(next) {
			if raw := base.Encode(next[id]); string(tx.Get(RosterPrefix+id)) != string(raw) {
				tx.Put(RosterPrefix+id, raw)
			}
		}
		return struct{}{}, nil
	})
}

// Replace makes a list the roster.
func Replace(ctx *base.Ctx, client *register.Client, list []Worker) error {
	next := map[string]Worker{}
	for _, one := range list {
		next[one.ID] = one
	}
	return client.Change(ctx, register.FeedGroup, "roster.replace", next, nil)
}
