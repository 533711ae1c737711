// Package chaosday generates days of faults and planned work from a seed and
// writes them as TOML, in the format of the bench's custom days. The same seed,
// site and theme give the same bytes. Days use the bench's terms: front, store and
// core for the classes of machines, and server for a worker. Everything specific to
// a site, such as names of services and limits, is passed in as a Site.
package chaosday

import (
	"fmt"
	"strconv"
	"strings"
)

// Site describes the deployment that days are generated for.
type Site struct {
	ModelService   string   // service of model workers; the bench picks one if empty
	ToolService    string   // service of tool workers; the bench picks one if empty
	RequestClass   string   // class of requests in bursts; all classes if empty
	FaultTolerance int      // number of machines that may be lost at once
	CatchUpSeconds float64  // time after its return for which a machine still counts as lost
	Kinds          []string // kinds of events that the site supports; all known kinds if empty
	EventsPerDay   int      // events of a mixed day; DefaultEvents if 0
}

// eventsPerDay returns EventsPerDay or its default.
func (s *Site) eventsPerDay() int {
	if s.EventsPerDay > 0 {
		return s.EventsPerDay
	}
	return DefaultEvents
}

// supports reports whether the site supports a kind of event.
func (s *Site) supports(kind string) bool {
	if len(s.Kinds) == 0 {
		return true
	}
	for _, name := range s.Kinds {
		if name == kind {
			return true
		}
	}
	return false
}

// Event is a fault or planned operation of a day. Times are in seconds. Zero fields
// are omitted from the TOML, so that the bench's defaults apply.
type Event struct {
	Kind         string
	At           float64 // time since the start of traffic
	MachineClass string  // Front, Store or Core
	Service      string
	RequestClass string // class of requests that the event affects
	Variant      string // space-separated keywords of the bench
	Count        int
	Share        float64 // share of machines or workers, 0 to 1
	Strength     float64 // its meaning depends on the kind
	Duration     float64 // how long the event lasts
	Interval     float64 // time between the steps of an event with several
	Planned      bool    // planned operation, not a fault
}

// ClosingFault is the fault that ends a day.
type ClosingFault struct {
	Kind     string
	Variant  string
	Downtime float64 // seconds until the machines start again
}

// Day is a named list of events with a closing fault at the end.
type Day struct {
	Name         string
	Seed         uint64 // seed of the bench's own random choices
	Events       []Event
	ClosingFault ClosingFault
}

// TOML encodes the day as a [[day]] section of a site file.
func (d *Day) TOML() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = %q\nseed = %d\n", d.Name, d.Seed)
	if d.ClosingFault.Kind != "" {
		fmt.Fprintf(&b, "closing = { kind = %q, down_s = %s, how = %q }\n",
			d.ClosingFault.Kind, formatFloat(d.ClosingFault.Downtime), d.ClosingFault.Variant)
	}
	writeEvents(&b, "plan", d.Events, true)
	writeEvents(&b, "faults", d.Events, false)
	return []byte(b.String())
}

// writeEvents writes a section with the events that are planned, or those that are
// not.
func writeEvents(b *strings.Builder, section string, events []Event, planned bool) {
	fmt.Fprintf(b, "%s = [\n", section)
	for i := range events {
		if events[i].Planned == planned {
			fmt.Fprintf(b, "  { %s },\n", strings.Join(events[i].fields(), ", "))
		}
	}
	b.WriteString("]\n")
}

// fields returns the non-zero fields of the event as TOML pairs. The time and the
// kind are always included.
func (e *Event) fields() []string {
	fields := []string{"at = " + formatFloat(e.At), fmt.Sprintf("kind = %q", e.Kind)}
	for _, text := range []struct{ name, value string }{
		{"on", e.MachineClass}, {"service", e.Service}, {"class", e.RequestClass}, {"how", e.Variant},
	} {
		if text.value != "" {
			fields = append(fields, fmt.Sprintf("%s = %q", text.name, text.value))
		}
	}
	if e.Count != 0 {
		fields = append(fields, "count = "+strconv.Itoa(e.Count))
	}
	for _, number := range []struct {
		name  string
		value float64
	}{{"share", e.Share}, {"x", e.Strength}, {"for_s", e.Duration}, {"gap_s", e.Interval}} {
		if number.value != 0 {
			fields = append(fields, number.name+" = "+formatFloat(number.value))
		}
	}
	return fields
}

// formatFloat formats a TOML float, which needs at least one digit after the point.
func formatFloat(value float64) string {
	text := strconv.FormatFloat(value, 'f', -1, 64)
	if !strings.Contains(text, ".") {
		text += ".0"
	}
	return text
}
