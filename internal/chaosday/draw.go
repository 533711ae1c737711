package chaosday

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// DefaultEvents is how many events a mixed day has, unless the site says more.
const DefaultEvents = 9

// The shape of a mixed day. Traffic of the bench's days lasts some 34 s; what
// starts by lastMoment can end and be recovered from before the closing fault.
const (
	momentsPerDay = 3
	firstMoment   = 2.0
	lastMoment    = 24.0
	togetherSpan  = 0.8 // events of one moment begin within this many seconds
	closingLeast  = 0.5
	closingMost   = 1.6
)

// drawer draws events for one site.
type drawer struct {
	site   *Site
	random *rand.Rand
}

func newDrawer(site *Site, seed uint64, stream uint64) *drawer {
	return &drawer{site: site, random: rand.New(rand.NewPCG(seed, stream))}
}

// between draws from a range, to a hundredth.
func (d *drawer) between(least, most float64) float64 {
	return hundredths(least + d.random.Float64()*(most-least))
}

func hundredths(value float64) float64 { return math.Round(value*100) / 100 }

func (d *drawer) from(s span) float64 { return d.between(s.least, s.most) }

func (d *drawer) pick(words ...string) string { return words[d.random.IntN(len(words))] }

// closing draws the fault that ends a day.
func (d *drawer) closing() Closing {
	return Closing{
		Kind: d.pick("power_off_all", "wipe_after_ack", "kill_all"),
		How:  d.pick("", "all", "timed", "taken"),
		Down: d.between(closingLeast, closingMost),
	}
}

// fill draws an event of a template for a class of machines and a variant.
func (d *drawer) fill(t *template, on, how string) Event {
	event := Event{
		Kind: t.kind, Planned: t.planned, On: on, How: how, Count: t.count,
		Share: d.from(t.share), X: d.from(t.x), For: d.from(t.length), Gap: d.from(t.gap),
	}
	if t.kind == "clock_step" {
		event.X = math.Round(event.X) // whole milliseconds
	}
	if t.class {
		event.Class = d.site.Class
	}
	switch t.service {
	case modelService:
		event.Service = d.site.ModelService
	case toolService:
		event.Service = d.site.ToolService
	}
	return event
}

// variants draws one event for each kind, class of machines and variant that the
// site takes, shuffled.
func (d *drawer) variants() []Event {
	var events []Event
	for i := range catalogue {
		t := &catalogue[i]
		if !d.site.allows(t.kind) {
			continue
		}
		for _, on := range orNone(t.on) {
			for _, how := range orNone(t.how) {
				events = append(events, d.fill(t, on, how))
			}
		}
	}
	d.random.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	return events
}

func orNone(words []string) []string {
	if len(words) == 0 {
		return []string{""}
	}
	return words
}

// mixed draws count days that go through every kind, class of machines and
// variant in a shuffled order, several at once, and then through them again.
func mixed(site *Site, seed uint64, count int) []Day {
	d := newDrawer(site, seed, 0)
	perDay := site.eventsPerDay()
	var waiting []Event
	days := make([]Day, 0, count)
	for number := range count {
		if len(waiting) < perDay {
			waiting = append(waiting, d.variants()...)
		}
		if len(waiting) == 0 {
			return nil
		}
		taken := min(perDay, len(waiting))
		days = append(days, d.mixedDay(seed, number, slices.Clone(waiting[:taken])))
		waiting = waiting[taken:]
	}
	return days
}

// DaysForAll returns how many mixed days it takes to go through everything once.
func DaysForAll(site *Site) int {
	all := len(newDrawer(site, 0, 0).variants())
	perDay := site.eventsPerDay()
	return (all + perDay - 1) / perDay
}

func (d *drawer) mixedDay(seed uint64, number int, events []Event) Day {
	moments := make([]float64, momentsPerDay)
	for i := range moments {
		moments[i] = d.between(firstMoment, lastMoment)
	}
	for i := range events {
		events[i].At = moments[i%momentsPerDay] + d.between(0, togetherSpan)
	}
	return d.day("mixed", seed, number, events)
}

// day sorts the events by time and closes the day.
func (d *drawer) day(theme string, seed uint64, number int, events []Event) Day {
	for i := range events {
		events[i].At = hundredths(events[i].At)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return Day{
		Name:    fmt.Sprintf("%s-%d-%d", theme, seed, number),
		Seed:    1 + d.random.Uint64N(1<<30),
		Events:  events,
		Closing: d.closing(),
	}
}
