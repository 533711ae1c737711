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
	clustersPerDay     = 3
	earliestStart      = 2.0
	latestStart        = 24.0
	clusterSpread      = 0.8 // events of one moment begin within this many seconds
	minClosingDowntime = 0.5
	maxClosingDowntime = 1.6
)

// generator draws events for one site.
type generator struct {
	site   *Site
	random *rand.Rand
}

func newGenerator(site *Site, seed uint64, stream uint64) *generator {
	return &generator{site: site, random: rand.New(rand.NewPCG(seed, stream))}
}

// uniform draws from a range, to a hundredth.
func (d *generator) uniform(least, most float64) float64 {
	return roundToHundredths(least + d.random.Float64()*(most-least))
}

func roundToHundredths(value float64) float64 { return math.Round(value*100) / 100 }

func (d *generator) uniformIn(s valueRange) float64 { return d.uniform(s.low, s.high) }

func (d *generator) choose(words ...string) string { return words[d.random.IntN(len(words))] }

// closingFault draws the fault that ends a day.
func (d *generator) closingFault() ClosingFault {
	return ClosingFault{
		Kind:     d.choose("power_off_all", "wipe_after_ack", "kill_all"),
		Variant:  d.choose("", "all", "timed", "taken"),
		Downtime: d.uniform(minClosingDowntime, maxClosingDowntime),
	}
}

// instantiate draws an event of a template for a class of machines and a variant.
func (d *generator) instantiate(t *eventTemplate, on, how string) Event {
	event := Event{
		Kind: t.kind, Planned: t.planned, MachineClass: on, Variant: how, Count: t.count,
		Share: d.uniformIn(t.share), Strength: d.uniformIn(t.strength), Duration: d.uniformIn(t.duration), Interval: d.uniformIn(t.interval),
	}
	if t.kind == "clock_step" {
		event.Strength = math.Round(event.Strength) // whole milliseconds
	}
	if t.perRequestClass {
		event.RequestClass = d.site.RequestClass
	}
	switch t.service {
	case modelService:
		event.Service = d.site.ModelService
	case toolService:
		event.Service = d.site.ToolService
	}
	return event
}

// allEvents draws one event for each kind, class of machines and variant that the
// site takes, shuffled.
func (d *generator) allEvents() []Event {
	var events []Event
	for i := range catalogue {
		t := &catalogue[i]
		if !d.site.supports(t.kind) {
			continue
		}
		for _, on := range orEmptyString(t.machineClasses) {
			for _, how := range orEmptyString(t.variants) {
				events = append(events, d.instantiate(t, on, how))
			}
		}
	}
	d.random.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	return events
}

func orEmptyString(words []string) []string {
	if len(words) == 0 {
		return []string{""}
	}
	return words
}

// mixedDays draws count days that go through every kind, class of machines and
// variant in a shuffled order, several at once, and then through them again.
func mixedDays(site *Site, seed uint64, count int) []Day {
	d := newGenerator(site, seed, 0)
	perDay := site.eventsPerDay()
	var waiting []Event
	days := make([]Day, 0, count)
	for number := range count {
		if len(waiting) < perDay {
			waiting = append(waiting, d.allEvents()...)
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

// DaysForFullCoverage returns how many mixed days it takes to go through everything once.
func DaysForFullCoverage(site *Site) int {
	all := len(newGenerator(site, 0, 0).allEvents())
	perDay := site.eventsPerDay()
	return (all + perDay - 1) / perDay
}

func (d *generator) mixedDay(seed uint64, number int, events []Event) Day {
	moments := make([]float64, clustersPerDay)
	for i := range moments {
		moments[i] = d.uniform(earliestStart, latestStart)
	}
	for i := range events {
		events[i].At = moments[i%clustersPerDay] + d.uniform(0, clusterSpread)
	}
	return d.newDay("mixed", seed, number, events)
}

// newDay sorts the events by time and closes the day.
func (d *generator) newDay(theme string, seed uint64, number int, events []Event) Day {
	for i := range events {
		events[i].At = roundToHundredths(events[i].At)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return Day{
		Name:         fmt.Sprintf("%s-%d-%d", theme, seed, number),
		Seed:         1 + d.random.Uint64N(1<<30),
		Events:       events,
		ClosingFault: d.closingFault(),
	}
}
