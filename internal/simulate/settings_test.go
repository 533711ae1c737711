// Settings under failure: operators collide while machines fail; what was
// taken is in force within its bound, no node slides back, and no losing or
// refused change is ever shown.
package simulate

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/settings"

	"github.com/matryer/is"
)

// ledger is what operators were told and what gateways showed.
type ledger struct {
	f       *Fleet
	taken   map[uint64]string
	refused map[string]bool
	takenAt map[uint64]time.Duration
	unknown map[string]bool
	shown   map[string]uint64
	counts  map[string]int
}

func newLedger(f *Fleet) *ledger {
	return &ledger{f: f, taken: map[uint64]string{}, refused: map[string]bool{}, takenAt: map[uint64]time.Duration{},
		unknown: map[string]bool{}, shown: map[string]uint64{}, counts: map[string]int{}}
}

// document marks each change by the model's name.
func document(change string) json.RawMessage {
	return json.RawMessage(strings.Replace(DefaultSettings, `"model":"stand-in"`, `"model":"`+change+`"`, 1))
}

// operator applies changes one after another, each based on the stamp it
// last saw, and resolves unknown outcomes by change id.
func (l *ledger) operator(name string, rounds int, done func()) {
	clock := l.f.Callers.Clock()
	stamp := uint64(1)
	for round := 0; round < rounds; round++ {
		change := fmt.Sprintf("%s-%d", name, round)
		body := map[string]any{"change": change, "based_on": stamp, "document": document(change)}
		status, answer := l.f.Operate(l.f.pick(l.f.Cores), "POST", "/v1/operator/settings/apply", body)
		stamp = max(stamp, l.resolve(change, status, answer))
		clock.Sleep(l.f.World.Between(100*time.Millisecond, 700*time.Millisecond))
	}
	done()
}

func (l *ledger) resolve(change string, status int, answer []byte) uint64 {
	var told struct {
		Outcome string       `json:"outcome"`
		Stamp   uint64       `json:"stamp"`
		Error   base.Verdict `json:"error"`
	}
	for tries := 0; ; tries++ {
		_ = json.Unmarshal(answer, &told)
		switch {
		case status == 200 && told.Outcome == "taken":
			l.counts["taken"]++
			if other, ok := l.taken[told.Stamp]; ok && other != change {
				l.f.Tally.Breach("stamp %d was given to %s and to %s", told.Stamp, other, change)
			}
			l.taken[told.Stamp] = change
			if tries == 0 {
				l.takenAt[told.Stamp] = l.f.World.Now()
			}
			return told.Stamp
		case status == 200:
			l.counts["refused by id"]++
			l.refused[change] = true
			return told.Stamp
		case status == 409:
			l.counts["refused"]++
			l.refused[change] = true
			return told.Error.Stamp
		}
		l.counts["unknown"]++
		if tries > 100 {
			return 0
		}
		l.f.Callers.Clock().Sleep(300 * time.Millisecond)
		status, answer = l.f.Operate(l.f.pick(l.f.Cores), "POST", "/v1/operator/settings/outcome", map[string]string{"change": change})
		told.Outcome = ""
	}
}

// watch looks at every gateway that serves.
func (l *ledger) watch(going func() bool) {
	for going() {
		now := l.f.World.Now()
		for _, m := range l.f.Edges {
			if !m.Serving() {
				continue
			}
			stamp := m.gateway.Stamp()
			if stamp < l.shown[m.Host.Name] {
				l.f.Tally.Breach("%s slid back from stamp %d to %d", m.Host.Name, l.shown[m.Host.Name], stamp)
			}
			l.shown[m.Host.Name] = stamp
			for taken, at := range l.takenAt {
				if taken > stamp && now > at+2*time.Second {
					l.f.Tally.Breach("%s serves by stamp %d, %d was taken %v ago", m.Host.Name, stamp, taken, now-at)
				}
			}
			var record settings.Record
			_ = json.Unmarshal(m.gateway.Follower.Frame().Values[settings.Key], &record)
			for change := range l.refused {
				if strings.Contains(string(record.Document), `"`+change+`"`) {
					l.f.Tally.Breach("%s shows refused change %s", m.Host.Name, change)
				}
			}
		}
		l.f.Callers.Clock().Sleep(40 * time.Millisecond)
	}
}

func TestSettingsCollideUnderFailure(t *testing.T) {
	for _, name := range []string{"edges killed", "edges frozen and woken", "cores killed", "cores frozen and woken", "disks lose power",
		"disks frozen and woken", "messages lost, late and twice", "a machine cut off", "one-way loss"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bring(t, *seeds, SmallShape(), func(t *testing.T, f *Fleet) {
				is := is.New(t)
				formed(t, f)
				l := newLedger(f)
				left := 2
				for _, operator := range []string{"one", "two"} {
					f.Callers.Go(func() { l.operator(operator, 12, func() { left-- }) })
				}
				f.harm(name, func() bool { return left > 0 })
				f.Callers.Go(func() { l.watch(func() bool { return left > 0 }) })
				is.True(f.World.Run(f.World.Now()+10*time.Minute, func() bool { return left == 0 }))
				t.Logf("%v", l.counts)
				is.True(l.counts["taken"] > 0)
				is.True(l.counts["refused"]+l.counts["refused by id"] > 0)
				is.Equal(l.counts["taken"]+l.counts["refused"]+l.counts["refused by id"], 24)
			})
		})
	}
}

func TestInvalidSettingsAreNeverStored(t *testing.T) {
	bring(t, 1, SmallShape(), func(t *testing.T, f *Fleet) {
		is := is.New(t)
		formed(t, f)
		done := false
		f.Callers.Go(func() {
			defer func() { done = true }()
			status, answer := f.Operate(f.Cores[0], "POST", "/v1/operator/settings/apply",
				map[string]any{"change": "bad", "based_on": 1, "document": json.RawMessage(`{"queue_size":0}`)})
			is.Equal(status, 400)
			is.True(strings.Contains(string(answer), "$.queue_size"))
			status, answer = f.Operate(f.Cores[1], "GET", "/v1/operator/settings", nil)
			is.Equal(status, 200)
			is.True(strings.Contains(string(answer), `"stamp":1`))
			// A change refused by id is fenced: its late copy is refused too.
			status, answer = f.Operate(f.Cores[0], "POST", "/v1/operator/settings/outcome", map[string]string{"change": "late"})
			is.Equal(status, 200)
			is.True(strings.Contains(string(answer), `"refused"`))
			status, _ = f.Operate(f.Cores[1], "POST", "/v1/operator/settings/apply",
				map[string]any{"change": "late", "based_on": 1, "document": document("late")})
			is.Equal(status, 409)
		})
		is.True(f.World.Run(f.World.Now()+30*time.Second, func() bool { return done }))
	})
}

// A gateway that cannot confirm its settings holds visits briefly and then
// declines them as not run, inside the bound.
func TestAGatewayCutOffStopsServing(t *testing.T) {
	bring(t, 2, SmallShape(), func(t *testing.T, f *Fleet) {
		is := is.New(t)
		formed(t, f)
		f.Net.CutOff(map[string]bool{f.Edges[0].Host.Name: true})
		cutAt := f.World.Now()
		declinedAt := time.Duration(0)
		f.Callers.Go(func() {
			ask := f.Asker(f.Callers)
			for declinedAt == 0 {
				answer, err := ask(0, "GET", "/v1/platform/workers", nil, nil)
				is.NoErr(err)
				if strings.Contains(string(answer.Body), "no_confirmed_settings") {
					is.Equal(answer.Status, 503)
					is.True(strings.Contains(string(answer.Body), `"not_run"`))
					is.True(answer.Header["Retry-After"] != "")
					declinedAt = f.World.Now()
				}
			}
		})
		is.True(f.World.Run(cutAt+30*time.Second, func() bool { return declinedAt > 0 }))
		is.True(!f.Edges[0].gateway.Follower.Permitted())
		f.Net.Heal()
		is.True(f.World.Run(f.World.Now()+5*time.Second, func() bool { return f.Edges[0].gateway.Follower.Permitted() }))
	})
}
