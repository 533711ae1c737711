package chaosday

import "slices"

// Themes of days that press one duty.
const (
	ThemeMixed          = "mixed"   // every kind on every class of machines, several at once
	ThemeIsolation      = "cutoff"  // a counted machine cut off for about twenty seconds
	ThemeConflicts      = "races"   // colliding changes whose acknowledgements are lost
	ThemeRepeatedLoss   = "second"  // another loss as soon as the last has caught up
	ThemeChangeStream   = "changes" // hundreds of changes with restarts
	ThemeResponseFaults = "answers" // answers that come twice, late or never, with resets
)

// Themes returns all themes.
func Themes() []string {
	return []string{ThemeMixed, ThemeIsolation, ThemeConflicts, ThemeRepeatedLoss, ThemeChangeStream, ThemeResponseFaults}
}

// Generate draws count days of a theme, or nothing where the theme is not known.
func Generate(theme string, site *Site, seed uint64, count int) []Day {
	scenes := map[string]func(*generator) []Event{
		ThemeIsolation: (*generator).isolation, ThemeConflicts: (*generator).conflicts, ThemeRepeatedLoss: (*generator).repeatedLoss,
		ThemeChangeStream: (*generator).changeStream, ThemeResponseFaults: (*generator).responseFaults,
	}
	if theme == ThemeMixed {
		return mixedDays(site, seed, count)
	}
	scene, ok := scenes[theme]
	if !ok {
		return nil
	}
	days := make([]Day, 0, count)
	for number := range count {
		d := newGenerator(site, seed, uint64(slices.Index(Themes(), theme))<<32|uint64(number))
		events := slices.DeleteFunc(scene(d), func(e Event) bool { return !site.supports(e.Kind) })
		days = append(days, d.newDay(theme, seed, number, events))
	}
	return days
}

// isolation cuts a counted machine off, or freezes it, for 18 to 22 s while changes
// go on and clocks step.
func (d *generator) isolation() []Event {
	on := d.choose(Core, Core, Store)
	from := d.uniform(3, 6)
	length := d.uniform(18, 22)
	cut := Event{Kind: "core_cut", At: from, MachineClass: on, Count: 1, Duration: length, Variant: d.choose(isolationVariants...)}
	if d.random.IntN(5) == 0 {
		cut.Kind = "node_freeze"
		cut.Variant = d.choose("", "leader race hard", "reader")
	}
	events := []Event{
		cut,
		{Kind: "clock_step", At: from + 2, Share: 0.3, Strength: d.chooseNumber(2000, 60000), Duration: d.uniform(6, 10), Variant: d.choose("ahead", "back")},
		{Kind: "ack_lost", At: from + 1, Strength: 0.6, Duration: d.uniform(8, 14)},
		{Kind: "config_race", At: from + 0.5, Planned: true, Count: 4, Interval: d.uniform(1, 2)},
		{Kind: "bad_config", At: from + 10, Planned: true, Count: 2, Interval: 1, Variant: d.choose("stale_match", "old_version", "same_version")},
		{Kind: "config_change", At: from + length - 1, Planned: true, Variant: d.choose(configChangeVariants...)},
		{Kind: "release", At: from + 3, Planned: true, Share: 0.3, Strength: 1, Interval: 1},
	}
	if d.random.IntN(2) == 0 {
		events = append(events, Event{Kind: "node_kill", At: from + d.uniform(4, 12), MachineClass: Front, Share: 0.16, Duration: 2, Variant: d.choose("", "power")})
	}
	if d.site.FaultTolerance > 1 {
		events = append(events, Event{Kind: "node_kill", At: from + d.uniform(5, 12), MachineClass: Core, Count: 1, Duration: 3, Variant: "leader race hard"})
	}
	return events
}

func (d *generator) chooseNumber(numbers ...float64) float64 {
	return numbers[d.random.IntN(len(numbers))]
}

// conflicts sends pairs of changes on one version without pause, loses most of their
// acknowledgements, and kills or wipes the machine that acknowledged.
func (d *generator) conflicts() []Event {
	events := []Event{
		{Kind: "ack_lost", At: 1, Strength: d.uniform(0.6, 0.85), Duration: 28},
		{Kind: "config_race", At: 2, Planned: true, Count: 30, Interval: d.uniform(0.6, 0.9)},
		{Kind: "config_race", At: 2.2, Planned: true, Count: 20, Interval: d.uniform(0.8, 1.2)},
		{Kind: "bad_config", At: 8, Planned: true, Count: 6, Interval: 1.5, Variant: d.choose("same_version", "stale_match", "old_version")},
	}
	at := d.uniform(3, 5)
	for at < 24 {
		events = append(events, Event{
			Kind:         d.choose("after_ack_kill", "after_ack_kill", "after_ack_wipe", "node_kill", "core_cut"),
			MachineClass: d.choose(Core, Core, Store), At: at, Count: 1, Duration: d.uniform(1, 2.5),
			Variant: d.choose("", "timed", "leader race hard"),
		})
		at = d.uniform(at+4, at+8)
	}
	return events
}

// repeatedLoss loses a storage machine one way, the next right after the first has
// caught up, and so on, with cores lost meanwhile.
func (d *generator) repeatedLoss() []Event {
	losses := []Event{
		{Kind: "after_ack_wipe", MachineClass: Store, Count: 1, Duration: 1},
		{Kind: "after_ack_wipe", MachineClass: Store, Count: 1, Duration: 1.5, Variant: "taken"},
		{Kind: "replace_core", MachineClass: Store, Strength: 1},
		{Kind: "replace_core", MachineClass: Store, Strength: 1, Variant: "planned", Planned: true},
		{Kind: "retire", Duration: 7, Planned: true},
		{Kind: "retire", Duration: 7, Variant: "wipe", Planned: true},
		{Kind: "core_cut", MachineClass: Store, Count: 1, Duration: 2},
		{Kind: "node_kill", MachineClass: Store, Count: 1, Duration: 1.5, Variant: "power"},
	}
	d.random.Shuffle(len(losses), func(i, j int) { losses[i], losses[j] = losses[j], losses[i] })
	events := []Event{
		{Kind: "config_change", At: 2, Planned: true, Variant: "timeout"},
		{Kind: "config_race", At: 9, Planned: true, Count: 4, Interval: 2},
	}
	at := d.uniform(3, 5)
	for _, loss := range losses {
		if at > latestStart+2 {
			break
		}
		loss.At = at
		events = append(events, loss)
		at = d.uniform(at+loss.Duration+d.site.CatchUpSeconds, at+loss.Duration+d.site.CatchUpSeconds+1)
	}
	return append(events,
		Event{Kind: "after_ack_wipe", MachineClass: Core, At: d.uniform(8, 12), Count: 1, Duration: 1},
		Event{Kind: "replace_core", MachineClass: Core, At: d.uniform(18, 22), Strength: 1},
	)
}

// Changes of a day of many changes, when they begin and the seconds between two.
const (
	changeCount    = 240
	firstChangeAt  = 1.5
	changeInterval = 0.11
)

// changeStream sends hundreds of changes while members of every class are restarted.
func (d *generator) changeStream() []Event {
	var events []Event
	for i := range changeCount {
		at := firstChangeAt + float64(i)*changeInterval
		events = append(events, Event{Kind: "config_change", At: at, Planned: true, Variant: d.choose(configChangeVariants...)})
	}
	return append(events,
		Event{Kind: "roll_term", At: d.uniform(3, 5), Planned: true, MachineClass: Front, Share: 0.5, Strength: 1, Interval: 1.2},
		Event{Kind: "node_kill", At: d.uniform(5, 8), MachineClass: Core, Count: 1, Duration: 3, Variant: "leader meet drain"},
		Event{Kind: "node_kill", At: d.uniform(8, 11), MachineClass: Store, Count: 1, Duration: 3, Variant: "power"},
		Event{Kind: "herd_kill", At: d.uniform(12, 14), MachineClass: Core, Share: 0.6, Duration: 1},
		Event{Kind: "node_freeze", At: d.uniform(18, 20), MachineClass: Core, Count: 1, Duration: 3, Variant: "leader"},
		Event{Kind: "after_ack_wipe", At: d.uniform(24, 26), MachineClass: d.choose(Core, Store), Count: 1, Duration: 1},
		Event{Kind: "add_nodes", At: d.uniform(14, 20), Planned: true, MachineClass: d.choose(Front, Core, Store), Count: 1},
	)
}

// responseFaults loses, doubles, delays and cuts answers of workers, and resets
// connections, while gateways are stopped in turn.
func (d *generator) responseFaults() []Event {
	return []Event{
		{Kind: "answer_lost", At: 2, Service: d.site.ToolService, Share: 0.6, Strength: d.uniform(0.03, 0.07), Duration: 26},
		{Kind: "answer_lost", At: d.uniform(6, 10), Variant: "reset", Share: 0.5, Strength: d.uniform(0.03, 0.06), Duration: 8},
		{Kind: "garble", At: d.uniform(3, 6), Variant: "extra late", Share: 0.6, Strength: 0.03, Duration: 20},
		{Kind: "garble", At: d.uniform(12, 16), Variant: "extra", Share: 0.5, Strength: 0.03, Duration: 6},
		{Kind: "srv_grey", At: d.uniform(8, 14), Variant: d.choose("mute", "reset", "hang"), Share: 0.15, Strength: 0.4, Duration: 6},
		{Kind: "reset_conns", At: d.uniform(4, 20), Share: 0.5, Strength: 0.6},
		{Kind: "reset_conns", At: d.uniform(10, 24), MachineClass: Core, Share: 0.5, Strength: 0.6},
		{Kind: "idle_race", At: d.uniform(4, 12), Share: 0.5, Strength: 300, Duration: 10},
		{Kind: "replace_with_reuse", At: d.uniform(10, 18), Share: 0.15, Variant: d.choose("", "drain", "dark")},
		{Kind: "roll_term", At: d.uniform(5, 10), Planned: true, Variant: "busy", Share: 0.5, Strength: 1, Interval: 1.2},
		{Kind: "config_change", At: d.uniform(3, 20), Planned: true, Variant: "timeout"},
		{Kind: "node_kill", At: d.uniform(14, 24), Share: 0.16, Duration: 2, Variant: d.choose("", "power")},
	}
}
