// Package worker tracks the back-end workers: the list that the platform
// maintains, notices of workers that are leaving, and their usage reports, and
// it picks a worker for each request.
//
// The list and the notices are control state and reach every node through the
// feed. Usage reports are soft state: they are gossiped in the membership
// protocol's shuffle messages, are trusted only while fresh, and are sent again
// by the workers after a loss.
package worker

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
	"fordseam/internal/register"
)

// Keys in the feed.
const (
	// ListKey holds the worker list.
	ListKey = "feed/workers"
	// LeavingKeyPrefix, followed by a worker's id, holds its leaving notice.
	LeavingKeyPrefix = "feed/leaving/"
)

// Worker is one back end as listed by the platform.
type Worker struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	Pool        string `json:"pool"`
	Zone        string `json:"zone"`
	Capacity    int    `json:"capacity"`
	Incarnation string `json:"incarnation,omitempty"`
}

// List is the platform's worker list. Its stamp increases with every change.
type List struct {
	Stamp   uint64   `json:"stamp"`
	Workers []Worker `json:"workers"`
}

// Patch is a change to a list: workers to add or replace, and ids to remove.
type Patch struct {
	Stamp  uint64   `json:"stamp"`
	Put    []Worker `json:"put"`
	Remove []string `json:"remove"`
}

// Notice reports that one incarnation of a worker is leaving or, with Leaving
// false, that it no longer is. Source is "report" for the worker's own report;
// At is when the control state accepted the notice, in milliseconds.
type Notice struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Source      string `json:"source"`
	Number      uint64 `json:"number"`
	At          int64  `json:"at"`
}

func loadList(tx *register.Tx) List {
	var list List
	if raw := tx.Get(ListKey); raw != nil {
		_ = json.Unmarshal(raw, &list)
	}
	return list
}

func (l *List) indexOf(id string) int {
	for i := range l.Workers {
		if l.Workers[i].ID == id {
			return i
		}
	}
	return -1
}

// storeList stores next and deletes the leaving notices of workers that next
// removes or lists with another address or incarnation.
func storeList(tx *register.Tx, current, next List) (any, error) {
	for _, old := range current.Workers {
		i := next.indexOf(old.ID)
		if i < 0 || next.Workers[i].Incarnation != old.Incarnation || next.Workers[i].Addr != old.Addr {
			if tx.Get(LeavingKeyPrefix+old.ID) != nil {
				tx.Delete(LeavingKeyPrefix + old.ID)
			}
		}
	}
	tx.Put(ListKey, base.MustMarshal(next))
	return next, nil
}

// checkStamp declines a change whose stamp is not newer than the current list's.
func checkStamp(current List, stamp uint64) error {
	if stamp <= current.Stamp {
		requestErr := base.Decline(409, "stale_stamp", "the list is at stamp %d, the request carries stamp %d", current.Stamp, stamp)
		requestErr.CurrentVersion = current.Stamp
		return requestErr
	}
	return nil
}

// RegisterHandlers registers the operations on the worker list with a core's
// register server.
func RegisterHandlers(server *register.Server) {
	server.Handle("worker.list", func(tx *register.Tx, _ []byte) (any, error) { return loadList(tx), nil })
	server.AddSweep(expireNotices)
	server.Handle("worker.replace", func(tx *register.Tx, args []byte) (any, error) {
		var next List
		_ = json.Unmarshal(args, &next)
		current := loadList(tx)
		if string(base.MustMarshal(current)) == string(base.MustMarshal(next)) {
			return current, nil
		}
		if err := checkStamp(current, next.Stamp); err != nil {
			return nil, err
		}
		return storeList(tx, current, next)
	})
	server.Handle("worker.patch", func(tx *register.Tx, args []byte) (any, error) {
		var patch Patch
		_ = json.Unmarshal(args, &patch)
		current := loadList(tx)
		if err := checkStamp(current, patch.Stamp); err != nil {
			return nil, err
		}
		next := List{Stamp: patch.Stamp}
		for _, listed := range current.Workers {
			removed := false
			for _, id := range patch.Remove {
				removed = removed || id == listed.ID
			}
			if !removed {
				next.Workers = append(next.Workers, listed)
			}
		}
		for _, listed := range patch.Put {
			if i := next.indexOf(listed.ID); i >= 0 {
				next.Workers[i] = listed
			} else {
				next.Workers = append(next.Workers, listed)
			}
		}
		return storeList(tx, current, next)
	})
	server.Handle("worker.notice", func(tx *register.Tx, args []byte) (any, error) {
		var notice, stored Notice
		_ = json.Unmarshal(args, &notice)
		raw := tx.Get(LeavingKeyPrefix + notice.Worker)
		if raw != nil {
			_ = json.Unmarshal(raw, &stored)
		}
		current := loadList(tx)
		switch {
		case current.indexOf(notice.Worker) < 0:
		case notice.Leaving && (raw == nil || stored.Incarnation != notice.Incarnation):
			notice.At = tx.Now
			tx.Put(LeavingKeyPrefix+notice.Worker, base.MustMarshal(notice))
		case !notice.Leaving && raw != nil && (stored.Incarnation != notice.Incarnation || stored.Source != "report"):
			tx.Delete(LeavingKeyPrefix + notice.Worker)
		}
		return notice, nil
	})
}

// expireNotices deletes notices that are older than NoticeTTL and do not come
// from the worker's own report. Such a notice was inferred from a refusal; the
// worker is tried again, and refuses again if it is still leaving.
func expireNotices(tx *register.Tx) {
	tx.Walk(LeavingKeyPrefix, "", func(key string, value []byte) bool {
		var notice Notice
		expired := json.Unmarshal(value, &notice) == nil && tx.Now-notice.At > NoticeTTL(tx.Bounds).Milliseconds()
		if expired && notice.Source != "report" {
			tx.Delete(key)
		}
		return true
	})
}

// Client reads and changes the worker list in the control state.
type Client struct{ Register *register.Client }

// Replace replaces the whole list and returns the list that is then in force.
func (c *Client) Replace(ctx *base.Ctx, list List) (*List, error) {
	var current List
	return &current, c.Register.Change(ctx, register.FeedGroup, "worker.replace", list, &current)
}

// Patch applies a change to the list and returns the result.
func (c *Client) Patch(ctx *base.Ctx, patch Patch) (*List, error) {
	var current List
	return &current, c.Register.Change(ctx, register.FeedGroup, "worker.patch", patch, &current)
}

// List returns the current list.
func (c *Client) List(ctx *base.Ctx) (*List, error) {
	var current List
	return &current, c.Register.Change(ctx, register.FeedGroup, "worker.list", struct{}{}, &current)
}

// SubmitNotice stores or withdraws a leaving notice.
func (c *Client) SubmitNotice(ctx *base.Ctx, notice Notice) error {
	return c.Register.Change(ctx, register.FeedGroup, "worker.notice", notice, nil)
}

// ValidateWorkers checks a list of workers and returns an error that names the
// first invalid field. field is the name of the list in the request.
func ValidateWorkers(field string, workers []Worker) error {
	seen := map[string]bool{}
	for i, w := range workers {
		switch {
		case w.ID == "" || strings.ContainsAny(w.ID, "/ "):
			return base.DeclineField(fieldPath(field, i, "id"), "must be a name without slash or space")
		case seen[w.ID]:
			return base.DeclineField(fieldPath(field, i, "id"), "%q is listed twice", w.ID)
		case w.Addr == "":
			return base.DeclineField(fieldPath(field, i, "addr"), "must be an IP address with a port")
		case w.Pool == "":
			return base.DeclineField(fieldPath(field, i, "pool"), "must name a pool")
		case w.Capacity < 1 || w.Capacity > 4096:
			return base.DeclineField(fieldPath(field, i, "capacity"), "must be between 1 and 4096")
		}
		seen[w.ID] = true
	}
	return nil
}

// fieldPath names a field of a list element, such as "workers[2].id".
func fieldPath(field string, index int, name string) string {
	return field + "[" + string(base.MustMarshal(index)) + "]." + name
}

// UsageReports holds the newest usage report of each worker that this node has
// received one for.
type UsageReports struct {
	clock   base.Clock
	bounds  *base.AtomicPointer[base.Bounds]
	mu      sync.Mutex
	entries map[string]*usageEntry
}

// usageEntry is a report, when it was received, and how often it was gossiped.
type usageEntry struct {
	usage      *membership.Usage
	receivedAt time.Duration
	timesSent  int
}

// NewUsageReports returns an empty set of reports.
func NewUsageReports(clock base.Clock, bounds *base.AtomicPointer[base.Bounds]) *UsageReports {
	return &UsageReports{clock: clock, bounds: bounds, entries: map[string]*usageEntry{}}
}

// Merge stores reports received by gossip. A report that is not newer than the
// stored one is dropped.
func (u *UsageReports) Merge(usages []*membership.Usage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, usage := range usages {
		if entry, ok := u.entries[usage.Worker]; !ok || usage.Number > entry.usage.Number {
			u.entries[usage.Worker] = &usageEntry{usage: usage, receivedAt: u.clock.Now()}
		}
	}
}

// Record stores a report received from the worker itself and reports whether it
// was newer than the stored one.
func (u *UsageReports) Record(usage *membership.Usage) bool {
	u.mu.Lock()
	entry, ok := u.entries[usage.Worker]
	isNew := !ok || usage.Number > entry.usage.Number
	u.mu.Unlock()
	u.Merge([]*membership.Usage{usage})
	return isNew
}

// isFresh reports whether a report is recent enough to be trusted.
func (u *UsageReports) isFresh(entry *usageEntry) bool {
	return u.clock.Now()-entry.receivedAt <= 2*u.bounds.Load().Drain
}

// Sample returns at most limit fresh reports that were returned fewer than
// maxSends times before, those returned least often first. It also deletes
// reports that have long expired.
func (u *UsageReports) Sample(limit, maxSends int) []*membership.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, entry := range u.entries {
		if u.clock.Now()-entry.receivedAt > 20*u.bounds.Load().Drain {
			delete(u.entries, id)
		}
	}
	ids := base.Filter(base.SortedKeys(u.entries), func(id string) bool { return u.pending(u.entries[id], maxSends) })
	slices.SortStableFunc(ids, func(x, y string) int { return u.entries[x].timesSent - u.entries[y].timesSent })
	return base.Map(ids[:min(limit, len(ids))], func(id string) *membership.Usage {
		entry := u.entries[id]
		entry.timesSent++
		return &membership.Usage{Worker: id, Incarnation: entry.usage.Incarnation,
			Number: entry.usage.Number, Load: entry.usage.Load, Leaving: entry.usage.Leaving}
	})
}

// pending reports whether Sample may still return the report.
func (u *UsageReports) pending(entry *usageEntry, maxSends int) bool {
	return u.isFresh(entry) && entry.timesSent < maxSends
}

// HasUnsent reports whether Sample would return any report.
func (u *UsageReports) HasUnsent(maxSends int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, entry := range u.entries {
		if u.pending(entry, maxSends) {
			return true
		}
	}
	return false
}

// Load returns a worker's last report, or zero values if there is no fresh one.
func (u *UsageReports) Load(id string) (load int64, incarnation string, leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	entry, ok := u.entries[id]
	if !ok || !u.isFresh(entry) {
		return 0, "", false
	}
	return entry.usage.Load, entry.usage.Incarnation, entry.usage.Leaving
}
