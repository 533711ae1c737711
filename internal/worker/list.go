// Package worker knows the back ends: the list the platform keeps, the
// notices of those that are leaving, and their usage reports. The list and
// the notices are control state and reach every node by the feed; usage is
// soft, rides on shuffles, is believed only while fresh and is told anew by
// the workers after a loss.
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

const (
	ListKey          = "feed/workers"
	LeavingKeyPrefix = "feed/leaving/"
)

// Worker is one back end as the platform lists it.
type Worker struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	Pool        string `json:"pool"`
	Zone        string `json:"zone"`
	Capacity    int    `json:"capacity"`
	Incarnation string `json:"incarnation,omitempty"`
}

// List is the platform's stamped list.
type List struct {
	Stamp   uint64   `json:"stamp"`
	Workers []Worker `json:"workers"`
}

// Patch changes a list: workers put in or changed, and ids taken out.
type Patch struct {
	Stamp  uint64   `json:"stamp"`
	Put    []Worker `json:"put"`
	Remove []string `json:"remove"`
}

// Notice says that one life of a worker is leaving.
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

func (l *List) find(id string) int {
	for place := range l.Workers {
		if l.Workers[place].ID == id {
			return place
		}
	}
	return -1
}

func storeList(tx *register.Tx, former, next List) (any, error) {
	for _, was := range former.Workers {
		place := next.find(was.ID)
		if place < 0 || next.Workers[place].Incarnation != was.Incarnation || next.Workers[place].Addr != was.Addr {
			if tx.Get(LeavingKeyPrefix+was.ID) != nil {
				tx.Delete(LeavingKeyPrefix + was.ID)
			}
		}
	}
	tx.Put(ListKey, base.Encode(next))
	return next, nil
}

func checkStamp(now List, stamp uint64) error {
	if stamp <= now.Stamp {
		v := base.Decline(409, "stale_stamp", "the list stands at stamp %d, this one carries %d", now.Stamp, stamp)
		v.Stamp = now.Stamp
		return v
	}
	return nil
}

// Serve adds the workers' ops to a core.
func Serve(owner *register.Server) {
	owner.Handle("worker.list", func(tx *register.Tx, _ []byte) (any, error) { return loadList(tx), nil })
	owner.AddSweep(sweep)
	owner.Handle("worker.replace", func(tx *register.Tx, args []byte) (any, error) {
		var next List
		_ = json.Unmarshal(args, &next)
		now := loadList(tx)
		if string(base.Encode(now)) == string(base.Encode(next)) {
			return now, nil
		}
		if err := checkStamp(now, next.Stamp); err != nil {
			return nil, err
		}
		return storeList(tx, now, next)
	})
	owner.Handle("worker.patch", func(tx *register.Tx, args []byte) (any, error) {
		var patch Patch
		_ = json.Unmarshal(args, &patch)
		now := loadList(tx)
		if err := checkStamp(now, patch.Stamp); err != nil {
			return nil, err
		}
		next := List{Stamp: patch.Stamp}
		for _, one := range now.Workers {
			removed := false
			for _, id := range patch.Remove {
				removed = removed || id == one.ID
			}
			if !removed {
				next.Workers = append(next.Workers, one)
			}
		}
		for _, one := range patch.Put {
			if place := next.find(one.ID); place >= 0 {
				next.Workers[place] = one
			} else {
				next.Workers = append(next.Workers, one)
			}
		}
		return storeList(tx, now, next)
	})
	owner.Handle("worker.notice", func(tx *register.Tx, args []byte) (any, error) {
		var notice, held Notice
		_ = json.Unmarshal(args, &notice)
		raw := tx.Get(LeavingKeyPrefix + notice.Worker)
		if raw != nil {
			_ = json.Unmarshal(raw, &held)
		}
		now := loadList(tx)
		switch {
		case now.find(notice.Worker) < 0:
		case notice.Leaving && (raw == nil || held.Incarnation != notice.Incarnation):
			notice.At = tx.Now
			tx.Put(LeavingKeyPrefix+notice.Worker, base.Encode(notice))
		case !notice.Leaving && raw != nil && (held.Incarnation != notice.Incarnation || held.Source != "report"):
			tx.Delete(LeavingKeyPrefix + notice.Worker)
		}
		return notice, nil
	})
}

// sweep forgets refusals that nothing else has borne out: the worker is
// tried again, and refuses again if it is still leaving.
func sweep(tx *register.Tx) {
	tx.Walk(LeavingKeyPrefix, "", func(key string, value []byte) bool {
		var notice Notice
		old := json.Unmarshal(value, &notice) == nil && tx.Now-notice.At > NoticeTTL(tx.Bounds).Milliseconds()
		if old && notice.Source != "report" {
			tx.Delete(key)
		}
		return true
	})
}

// Client asks for changes of the list.
type Client struct{ Register *register.Client }

func (c *Client) Replace(ctx *base.Ctx, list List) (*List, error) {
	var now List
	return &now, c.Register.Change(ctx, register.FeedGroup, "worker.replace", list, &now)
}

func (c *Client) Patch(ctx *base.Ctx, patch Patch) (*List, error) {
	var now List
	return &now, c.Register.Change(ctx, register.FeedGroup, "worker.patch", patch, &now)
}

func (c *Client) List(ctx *base.Ctx) (*List, error) {
	var now List
	return &now, c.Register.Change(ctx, register.FeedGroup, "worker.list", struct{}{}, &now)
}

func (c *Client) SubmitNotice(ctx *base.Ctx, notice Notice) error {
	return c.Register.Change(ctx, register.FeedGroup, "worker.notice", notice, nil)
}

// ValidateWorkers declines a list with faults and names the first field.
func ValidateWorkers(field string, workers []Worker) error {
	ids := map[string]bool{}
	for place, one := range workers {
		switch {
		case one.ID == "" || strings.ContainsAny(one.ID, "/ "):
			return base.DeclineField(path(field, place, "id"), "must be a name without slash or space")
		case ids[one.ID]:
			return base.DeclineField(path(field, place, "id"), "%q is listed twice", one.ID)
		case one.Addr == "":
			return base.DeclineField(path(field, place, "addr"), "must be an address by number, with a port")
		case one.Pool == "":
			return base.DeclineField(path(field, place, "pool"), "must name a pool")
		case one.Capacity < 1 || one.Capacity > 4096:
			return base.DeclineField(path(field, place, "capacity"), "must be between 1 and 4096")
		}
		ids[one.ID] = true
	}
	return nil
}

func path(field string, place int, name string) string {
	return field + "[" + string(base.Encode(place)) + "]." + name
}

// UsageReports holds the newest usage report of each worker this node has heard of.
type UsageReports struct {
	clock  base.Clock
	bounds *base.Table[base.Bounds]
	mu     sync.Mutex
	newest map[string]*heardUsage
}

type heardUsage struct {
	usage *membership.Usage
	at    time.Duration
	given int
}

func NewUsageReports(clock base.Clock, bounds *base.Table[base.Bounds]) *UsageReports {
	return &UsageReports{clock: clock, bounds: bounds, newest: map[string]*heardUsage{}}
}

// Merge takes reports in; older ones than the one held are dropped.
func (b *UsageReports) Merge(usages []*membership.Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, usage := range usages {
		if held, ok := b.newest[usage.Worker]; !ok || usage.Number > held.usage.Number {
			b.newest[usage.Worker] = &heardUsage{usage: usage, at: b.clock.Now()}
		}
	}
}

// Record takes one report from a worker itself, and says whether it was news.
func (b *UsageReports) Record(usage *membership.Usage) bool {
	b.mu.Lock()
	held, ok := b.newest[usage.Worker]
	fresh := !ok || usage.Number > held.usage.Number
	b.mu.Unlock()
	b.Merge([]*membership.Usage{usage})
	return fresh
}

func (b *UsageReports) fresh(held *heardUsage) bool {
	return b.clock.Now()-held.at <= 2*b.bounds.Load().Leave
}

// Sample gives fresh reports that were given fewer than times before, the least
// given first.
func (b *UsageReports) Sample(limit, times int) []*membership.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, held := range b.newest {
		if b.clock.Now()-held.at > 20*b.bounds.Load().Leave {
			delete(b.newest, id)
		}
	}
	ids := base.Filter(base.SortedKeys(b.newest), func(id string) bool { return b.unsaid(b.newest[id], times) })
	slices.SortStableFunc(ids, func(x, y string) int { return b.newest[x].given - b.newest[y].given })
	return base.Map(ids[:min(limit, len(ids))], func(id string) *membership.Usage {
		held := b.newest[id]
		held.given++
		return &membership.Usage{Worker: id, Incarnation: held.usage.Incarnation,
			Number: held.usage.Number, Load: held.usage.Load, Leaving: held.usage.Leaving}
	})
}

func (b *UsageReports) unsaid(held *heardUsage, times int) bool {
	return b.fresh(held) && held.given < times
}

// HasUnsent tells whether Sample would give any.
func (b *UsageReports) HasUnsent(times int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, held := range b.newest {
		if b.unsaid(held, times) {
			return true
		}
	}
	return false
}

// Load gives a worker's reported load while it is fresh.
func (b *UsageReports) Load(id string) (load int64, incarnation string, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, ok := b.newest[id]
	if !ok || !b.fresh(held) {
		return 0, "", false
	}
	return held.usage.Load, held.usage.Incarnation, held.usage.Leaving
}
