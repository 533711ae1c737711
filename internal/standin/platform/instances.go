// The platform's list of workers: it shows each change some time after it was
// made, in pages, and answers only so many calls a second.

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

// PageSize is how many instances a page holds.
const PageSize = 50

// Instance is one entry of the list.
type Instance struct {
	ID, Service, Address, Zone, Generation, State string
	Capacity                                      int
	ColdLeft                                      time.Duration
	Model                                         string // for model workers
}

// Instances is the list as it is shown.
type Instances struct {
	Clock          base.Clock
	Recorder       *Recorder
	Lag            time.Duration
	CallsPerSecond float64

	mu      sync.Mutex
	pending []pendingChange
	shown   map[string]Instance
	tokens  float64
	filled  time.Duration
	calls   int
	refused int
	down    bool
}

type pendingChange struct {
	at   time.Duration
	id   string
	next *Instance
}

// ScheduleChange puts an instance on the list, or takes it off when next is nil; it
// shows after the lag.
func (l *Instances) ScheduleChange(id string, next *Instance, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{l.Clock.Now() + after + l.Lag, id, next})
	slices.SortStableFunc(l.pending, func(a, b pendingChange) int { return cmp.Compare(a.at, b.at) })
}

// settle shows what is due; the caller holds the lock.
func (l *Instances) settle() {
	if l.shown == nil {
		l.shown = map[string]Instance{}
	}
	for len(l.pending) > 0 && l.pending[0].at <= l.Clock.Now() {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.next != nil {
			l.shown[change.id] = *change.next
		} else {
			delete(l.shown, change.id)
		}
		if (change.next == nil || change.next.State == StateDraining) && l.Recorder != nil {
			l.Recorder.Update(func(r *Record) { r.Notices = append(r.Notices, Notice{change.id, change.at}) })
		}
	}
}

// ApplyDue shows what is due, also when nobody asks.
func (l *Instances) ApplyDue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
}

// SetDown has the list answer nothing but failures, or end that.
func (l *Instances) SetDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
}

// CallCounts counts the calls answered, and those refused.
func (l *Instances) CallCounts() (answered, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls, l.refused
}

// FetchPage answers one call: 200 with a page, 429 over the rate, 400 for
// a bad token, 500 while it is down.
func (l *Instances) FetchPage(zone, token string) (status int, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if l.CallsPerSecond > 0 {
		l.tokens = min(l.CallsPerSecond, l.tokens+(now-l.filled).Seconds()*l.CallsPerSecond)
		if l.filled == 0 && l.calls == 0 {
			l.tokens = l.CallsPerSecond
		}
		l.filled = now
		if l.tokens < 1 {
			l.refused++
			return 429, []byte(`{"error":"too many calls"}`)
		}
		l.tokens--
	}
	l.calls++
	l.settle()
	if l.down {
		return 500, []byte(`{"error":"down"}`)
	}
	from := 0
	if token != "" {
		number, found := strings.CutPrefix(token, "p-")
		place, err := strconv.Atoi(number)
		if !found || err != nil || place < 0 {
			return 400, []byte(`{"error":"bad page_token"}`)
		}
		from = place
	}
	var list []Instance
	for _, id := range base.SortedKeys(l.shown) {
		if one := l.shown[id]; zone == "" || one.Zone == zone {
			list = append(list, one)
		}
	}
	from = min(from, len(list))
	next := min(from+PageSize, len(list))
	return 200, encodePage(list[from:next], next, next < len(list))
}

func encodePage(page []Instance, next int, more bool) []byte {
	e := &jx.Encoder{}
	e.Obj(func(e *jx.Encoder) {
		e.Field("instances", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, one := range page {
					one.encode(e)
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
