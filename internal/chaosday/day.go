// Package chaosday draws days of faults and planned work from a seed and writes
// them as TOML, in the form in which the bench takes a day of one's own. The
// same seed, site and theme give the same bytes. A day's vocabulary is the
// bench's: front, store and core for the classes of machines, server for a
// worker. What differs from site to site (names of services, limits) comes in
// by Site; the package knows no site.
package chaosday

import (
	"fmt"
	"strconv"
	"strings"
)

// Site is what a day has to know of the deployment that it is for.
type Site struct {
	ModelService   string   // the service of model workers; empty: the bench picks one
	ToolService    string   // the service of plain workers; empty: the bench picks one
	RequestClass   string   // a kind of request for bursts; empty: all kinds
	FaultTolerance int      // machines that may be lost at once
	CatchUpSeconds float64  // seconds for which a machine counts as lost after its return
	Kinds          []string // kinds that the site takes; empty: all that are known
	EventsPerDay   int      // events of a mixed day; 0: DefaultEvents
}

func (s *Site) eventsPerDay() int {
	if s.EventsPerDay > 0 {
		return s.EventsPerDay
	}
	return DefaultEvents
}

// supports tells whether the site takes a kind.
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

// Event is one entry of a day. Times are in seconds; fields that are zero are
// left out, so that the bench's defaults hold.
type Event struct {
	Kind         string
	At           float64 // from the start of traffic
	MachineClass string  // class of machines
	Service      string
	RequestClass string // kind of requests
	Variant      string // variant, words of the bench apart by spaces
	Count        int
	Share        float64 // 0 to 1
	Strength     float64 // strength; the kind says of what
	Duration     float64 // how long
	Interval     float64 // between steps
	Planned      bool    // planned work, not a fault
}

// ClosingFault is the fault that ends a day.
type ClosingFault struct {
	Kind     string
	Variant  string
	Downtime float64 // seconds without power or process
}

// Day is a named list of events with a closing fault.
type Day struct {
	Name         string
	Seed         uint64 // of the bench's own draws
	Events       []Event
	ClosingFault ClosingFault
}

// TOML writes the day as a [[day]] of a site file.
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

func writeEvents(b *strings.Builder, section string, events []Event, planned bool) {
	fmt.Fprintf(b, "%s = [\n", section)
	for i := range events {
		if events[i].Planned == planned {
			fmt.Fprintf(b, "  { %s },\n", strings.Join(events[i].fields(), ", "))
		}
	}
	b.WriteString("]\n")
}

// fields returns the event's fields as TOML pairs, those that are zero left out.
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

// formatFloat writes a TOML float: at least one digit after the point.
func formatFloat(value float64) string {
	text := strconv.FormatFloat(value, 'f', -1, 64)
	if !strings.Contains(text, ".") {
		text += ".0"
	}
	return text
}
