package platform

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"

	"github.com/go-faster/jx"
)

// PageSize is the maximum number of instances on a page.
const PageSize = 50

// Instance is one worker on the list.
type Instance struct {
	ID, Service, Address, Zone, Generation, State string
	Capacity                                      int
	ColdLeft                                      time.Duration
	Model                                         string // for model workers
}

// Instances is the platform's list of workers. Each change becomes visible after Lag; the list
// is read in pages, at most CallsPerSecond of them a second (0 means no limit).
type Instances struct {
	Clock          base.Clock
	Recorder       *Recorder
	Lag            time.Duration
	CallsPerSecond float64

	mu         sync.Mutex
	pending    []pendingChange
	visible    map[string]Instance
	tokens     float64
	refilledAt time.Duration
	answered   int
	refused    int
	down       bool
}

// pendingChange is a change that isn't visible yet; next is nil for a removal.
type pendingChange struct {
	visibleAt time.Duration
	id        string
	next      *Instance
}

// ScheduleChange adds or replaces an instance, or removes it when next is nil; the change
// becomes visible when after and the lag have passed.
func (l *Instances) ScheduleChange(id string, next *Instance, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{l.Clock.Now() + after + l.Lag, id, next})
	slices.SortStableFunc(l.pending, func(a, b pendingChange) int { return cmp.Compare(a.visibleAt, b.visibleAt) })
}

// applyDue makes the changes visible that are due. The caller holds the lock.
func (l *Instances) applyDue() {
	if l.visible == nil {
		l.visible = map[string]Instance{}
	}
	for len(l.pending) > 0 && l.pending[0].visibleAt <= l.Clock.Now() {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.next != nil {
			l.visible[change.id] = *change.next
		} else {
			delete(l.visible, change.id)
		}
		if (change.next == nil || change.next.State == StateDraining) && l.Recorder != nil {
			l.Recorder.Update(func(r *Record) { r.Notices = append(r.Notices, Notice{change.id, change.visibleAt}) })
		}
	}
}

// ApplyDue makes the changes visible that are due, which otherwise happens at the next call.
func (l *Instances) ApplyDue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue()
}

// SetDown makes the list answer every call with a failure, or ends that.
func (l *Instances) SetDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
}

// CallCounts returns how many calls were answered, and how many were rejected over the rate.
func (l *Instances) CallCounts() (answered, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered, l.refused
}

// FetchPage answers one call: 200 with a page, 429 over the rate, 400 for a malformed token,
// 500 while the list is down. The result is limited to a zone unless it is empty.
func (l *Instances) FetchPage(zone, token string) (status int, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if l.CallsPerSecond > 0 {
		l.tokens = min(l.CallsPerSecond, l.tokens+(now-l.refilledAt).Seconds()*l.CallsPerSecond)
		if l.refilledAt == 0 && l.answered == 0 {
			l.tokens = l.CallsPerSecond
		}
		l.refilledAt = now
		if l.tokens < 1 {
			l.refused++
			return 429, []byte(`{"error":"too many calls"}`)
		}
		l.tokens--
	}
	l.answered++
	l.applyDue()
	if l.down {
		return 500, []byte(`{"error":"down"}`)
	}
	start := 0
	if token != "" {
		offset, found := strings.CutPrefix(token, "p-")
		parsed, err := strconv.Atoi(offset)
		if !found || err != nil || parsed < 0 {
			return 400, []byte(`{"error":"bad page_token"}`)
		}
		start = parsed
	}
	var instances []Instance
	for _, id := range base.SortedKeys(l.visible) {
		if instance := l.visible[id]; zone == "" || instance.Zone == zone {
			instances = append(instances, instance)
		}
	}
	start = min(start, len(instances))
	end := min(start+PageSize, len(instances))
	return 200, encodePage(instances[start:end], end, end < len(instances))
}

func encodePage(page []Instance, next int, more bool) []byte {
	e := &jx.Encoder{}
	e.Obj(func(e *jx.Encoder) {
		e.Field("instances", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, instance := range page {
					instance.encode(e)
				}
			})
		})
		e.Field("next_token", func(e *jx.Encoder) {
			if more {
				e.Str("p-" + strconv.Itoa(next))
			} else {
				e.Null()
			}
		})
	})
	return e.Bytes()
}

func (i *Instance) encode(e *jx.Encoder) {
	e.Obj(func(e *jx.Encoder) {
		text := func(name, value string) { e.Field(name, func(e *jx.Encoder) { e.Str(value) }) }
		text("backend", i.Service)
		text("address", i.Address)
		text("zone", i.Zone)
		text("generation", i.Generation)
		e.Field("capacity", func(e *jx.Encoder) { e.Int(i.Capacity) })
		text("state", i.State)
		e.Field("cold_left_ms", func(e *jx.Encoder) { e.Int64(i.ColdLeft.Milliseconds()) })
		if i.Model != "" {
			text("phase", "both")
			e.Field("model_list", func(e *jx.Encoder) {
				e.Arr(func(e *jx.Encoder) {
					e.Obj(func(e *jx.Encoder) {
						text("name", i.Model)
						e.Field("generation", func(e *jx.Encoder) { e.Int(1) })
						e.Field("loaded_adapters", func(e *jx.Encoder) { e.Arr(func(*jx.Encoder) {}) })
					})
				})
			})
		}
		text("id", i.ID)
	})
}
