package chaosday

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// DefaultEvents is the number of events of a mixed day if Site.EventsPerDay is not
// set.
const DefaultEvents = 9

// The timing of a mixed day: its events start in clusters, so that several happen at
// once. Traffic of the bench's days lasts about 34 s. An event that starts by
// latestStart ends and is recovered from before the closing fault. Times are in
// seconds.
const (
	clustersPerDay     = 3
	earliestStart      = 2.0
	latestStart        = 24.0
	clusterSpread      = 0.8 // events of one cluster start within this time
	minClosingDowntime = 0.5
	maxClosingDowntime = 1.6
)

// generator generates the events of one site from a random source. The order of
// its random calls determines the days that a seed gives.
type generator struct {
	site   *Site
	random *rand.Rand
}

func newGenerator(site *Site, seed uint64, stream uint64) *generator {
	return &generator{site: site, random: rand.New(rand.NewPCG(seed, stream))}
}

// uniform draws a number between low and high, rounded to hundredths.
func (g *generator) uniform(low, high float64) float64 {
	return roundToHundredths(low + g.random.Float64()*(high-low))
}

func roundToHundredths(value float64) float64 { return math.Round(value*100) / 100 }

func (g *generator) uniformIn(r valueRange) float64 { return g.uniform(r.low, r.high) }

func (g *generator) choose(options ...string) string { return options[g.random.IntN(len(options))] }

// closingFault draws the fault at the end of a day.
func (g *generator) closingFault() ClosingFault {
	return ClosingFault{
		Kind:     g.choose("power_off_all", "wipe_after_ack", "kill_all"),
		Variant:  g.choose("", "all", "timed", "taken"),
		Downtime: g.uniform(minClosingDowntime, maxClosingDowntime),
	}
}

// instantiate draws the numbers of an event of the given class and variant.
func (g *generator) instantiate(template *eventTemplate, machineClass, variant string) Event {
	event := Event{
		Kind: template.kind, Planned: template.planned, MachineClass: machineClass, Variant: variant, Count: template.count,
		Share: g.uniformIn(template.share), Strength: g.uniformIn(template.strength), Duration: g.uniformIn(template.duration), Interval: g.uniformIn(template.interval),
	}
	if template.kind == "clock_step" {
		event.Strength = math.Round(event.Strength) // a clock step is a whole number of milliseconds
	}
	if template.perRequestClass {
		event.RequestClass = g.site.RequestClass
	}
	switch template.service {
	case modelService:
		event.Service = g.site.ModelService
	case toolService:
		event.Service = g.site.ToolService
	}
	return event
}

// allEvents draws one event for each combination of kind, class of machines and
// variant that the site supports, and shuffles them.
func (g *generator) allEvents() []Event {
	var events []Event
	for i := range catalogue {
		template := &catalogue[i]
		if !g.site.supports(template.kind) {
			continue
		}
		for _, machineClass := range orEmptyString(template.machineClasses) {
			for _, variant := range orEmptyString(template.variants) {
				events = append(events, g.instantiate(template, machineClass, variant))
			}
		}
	}
	g.random.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	return events
}

// orEmptyString returns the values, or a single empty string if there are none.
func orEmptyString(values []string) []string {
	if len(values) == 0 {
		return []string{""}
	}
	return values
}

// mixedDays generates count days that use every combination of kind, class of
// machines and variant in shuffled order, several at once. Once all are used, it
// starts again in a new order. It returns nil if the site supports no known kind.
func mixedDays(site *Site, seed uint64, count int) []Day {
	g := newGenerator(site, seed, 0)
	perDay := site.eventsPerDay()
	var queue []Event
	days := make([]Day, 0, count)
	for index := range count {
		if len(queue) < perDay {
			queue = append(queue, g.allEvents()...)
		}
		if len(queue) == 0 {
			return nil
		}
		size := min(perDay, len(queue))
		days = append(days, g.mixedDay(seed, index, slices.Clone(queue[:size])))
		queue = queue[size:]
	}
	return days
}

// DaysForFullCoverage returns how many mixed days it takes to use each combination of
// kind, class of machines and variant once.
func DaysForFullCoverage(site *Site) int {
	eventCount := len(newGenerator(site, 0, 0).allEvents())
	perDay := site.eventsPerDay()
	return (eventCount + perDay - 1) / perDay
}

// mixedDay spreads the events over the clusters of a day.
func (g *generator) mixedDay(seed uint64, index int, events []Event) Day {
	clusterTimes := make([]float64, clustersPerDay)
	for i := range clusterTimes {
		clusterTimes[i] = g.uniform(earliestStart, latestStart)
	}
	for i := range events {
		events[i].At = clusterTimes[i%clustersPerDay] + g.uniform(0, clusterSpread)
	}
	return g.newDay("mixed", seed, index, events)
}

// newDay sorts the events by time and adds a closing fault.
func (g *generator) newDay(theme string, seed uint64, index int, events []Event) Day {
	for i := range events {
		events[i].At = roundToHundredths(events[i].At)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return Day{
		Name:         fmt.Sprintf("%s-%d-%d", theme, seed, index),
		Seed:         1 + g.random.Uint64N(1<<30),
		Events:       events,
		ClosingFault: g.closingFault(),
	}
}
