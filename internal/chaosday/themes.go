package chaosday

import "slices"

// Themes of days. All but ThemeMixed concentrate on one property of the tier.
const (
	ThemeMixed          = "mixed"   // all kinds on all classes of machines, several at once
	ThemeIsolation      = "cutoff"  // a stateful machine isolated for about 20 s
	ThemeConflicts      = "races"   // conflicting changes whose acknowledgements are lost
	ThemeRepeatedLoss   = "second"  // another machine lost as soon as the last one has caught up
	ThemeChangeStream   = "changes" // hundreds of changes during restarts
	ThemeResponseFaults = "answers" // duplicate, late and missing responses, with connection resets
)

// Themes returns all themes.
func Themes() []string {
	return []string{ThemeMixed, ThemeIsolation, ThemeConflicts, ThemeRepeatedLoss, ThemeChangeStream, ThemeResponseFaults}
}

// Generate generates count days of a theme. It returns nil if the theme is unknown.
func Generate(theme string, site *Site, seed uint64, count int) []Day {
	themeEvents := map[string]func(*generator) []Event{
		ThemeIsolation: (*generator).isolation, ThemeConflicts: (*generator).conflicts, ThemeRepeatedLoss: (*generator).repeatedLoss,
		ThemeChangeStream: (*generator).changeStream, ThemeResponseFaults: (*generator).responseFaults,
	}
	if theme == ThemeMixed {
		return mixedDays(site, seed, count)
	}
	drawEvents, ok := themeEvents[theme]
	if !ok {
		return nil
	}
	days := make([]Day, 0, count)
	for index := range count {
		g := newGenerator(site, seed, uint64(slices.Index(Themes(), theme))<<32|uint64(index))
		events := slices.DeleteFunc(drawEvents(g), func(e Event) bool { return !site.supports(e.Kind) })
		days = append(days, g.newDay(theme, seed, index, events))
	}
	return days
}

// isolation isolates or freezes a stateful machine for 18 to 22 s while the
// configuration changes and clocks step.
func (g *generator) isolation() []Event {
	machineClass := g.choose(Core, Core, Store)
	start := g.uniform(3, 6)
	duration := g.uniform(18, 22)
	fault := Event{Kind: "core_cut", At: start, MachineClass: machineClass, Count: 1, Duration: duration, Variant: g.choose(isolationVariants...)}
	if g.random.IntN(5) == 0 {
		fault.Kind = "node_freeze"
		fault.Variant = g.choose("", "leader race hard", "reader")
	}
	events := []Event{
		fault,
		{Kind: "clock_step", At: start + 2, Share: 0.3, Strength: g.chooseNumber(2000, 60000), Duration: g.uniform(6, 10), Variant: g.choose("ahead", "back")},
		{Kind: "ack_lost", At: start + 1, Strength: 0.6, Duration: g.uniform(8, 14)},
		{Kind: "config_race", At: start + 0.5, Planned: true, Count: 4, Interval: g.uniform(1, 2)},
		{Kind: "bad_config", At: start + 10, Planned: true, Count: 2, Interval: 1, Variant: g.choose("stale_match", "old_version", "same_version")},
		{Kind: "config_change", At: start + duration - 1, Planned: true, Variant: g.choose(configChangeVariants...)},
		{Kind: "release", At: start + 3, Planned: true, Share: 0.3, Strength: 1, Interval: 1},
	}
	if g.random.IntN(2) == 0 {
		events = append(events, Event{Kind: "node_kill", At: start + g.uniform(4, 12), MachineClass: Front, Share: 0.16, Duration: 2, Variant: g.choose("", "power")})
	}
	if g.site.FaultTolerance > 1 {
		events = append(events, Event{Kind: "node_kill", At: start + g.uniform(5, 12), MachineClass: Core, Count: 1, Duration: 3, Variant: "leader race hard"})
	}
	return events
}

func (g *generator) chooseNumber(numbers ...float64) float64 {
	return numbers[g.random.IntN(len(numbers))]
}

// conflicts sends pairs of changes based on the same version without pause, loses
// most of their acknowledgements, and kills, wipes or isolates the machine that
// acknowledged, or another one.
func (g *generator) conflicts() []Event {
	events := []Event{
		{Kind: "ack_lost", At: 1, Strength: g.uniform(0.6, 0.85), Duration: 28},
		{Kind: "config_race", At: 2, Planned: true, Count: 30, Interval: g.uniform(0.6, 0.9)},
		{Kind: "config_race", At: 2.2, Planned: true, Count: 20, Interval: g.uniform(0.8, 1.2)},
		{Kind: "bad_config", At: 8, Planned: true, Count: 6, Interval: 1.5, Variant: g.choose("same_version", "stale_match", "old_version")},
	}
	at := g.uniform(3, 5)
	for at < 24 {
		events = append(events, Event{
			Kind:         g.choose("after_ack_kill", "after_ack_kill", "after_ack_wipe", "node_kill", "core_cut"),
			MachineClass: g.choose(Core, Core, Store), At: at, Count: 1, Duration: g.uniform(1, 2.5),
			Variant: g.choose("", "timed", "leader race hard"),
		})
		at = g.uniform(at+4, at+8)
	}
	return events
}

// repeatedLoss loses storage machines one after the other, in different ways, each
// as soon as the one before has caught up. Core machines are lost meanwhile.
func (g *generator) repeatedLoss() []Event {
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
	g.random.Shuffle(len(losses), func(i, j int) { losses[i], losses[j] = losses[j], losses[i] })
	events := []Event{
		{Kind: "config_change", At: 2, Planned: true, Variant: "timeout"},
		{Kind: "config_race", At: 9, Planned: true, Count: 4, Interval: 2},
	}
	at := g.uniform(3, 5)
	for _, loss := range losses {
		if at > latestStart+2 {
			break
		}
		loss.At = at
		events = append(events, loss)
		at = g.uniform(at+loss.Duration+g.site.CatchUpSeconds, at+loss.Duration+g.site.CatchUpSeconds+1)
	}
	return append(events,
		Event{Kind: "after_ack_wipe", MachineClass: Core, At: g.uniform(8, 12), Count: 1, Duration: 1},
		Event{Kind: "replace_core", MachineClass: Core, At: g.uniform(18, 22), Strength: 1},
	)
}

// The change stream: its number of changes, the time of the first one and the time
// between two, in seconds.
const (
	changeCount    = 240
	firstChangeAt  = 1.5
	changeInterval = 0.11
)

// changeStream sends hundreds of changes while machines of all classes restart.
func (g *generator) changeStream() []Event {
	var events []Event
	for i := range changeCount {
		at := firstChangeAt + float64(i)*changeInterval
		events = append(events, Event{Kind: "config_change", At: at, Planned: true, Variant: g.choose(configChangeVariants...)})
	}
	return append(events,
		Event{Kind: "roll_term", At: g.uniform(3, 5), Planned: true, MachineClass: Front, Share: 0.5, Strength: 1, Interval: 1.2},
		Event{Kind: "node_kill", At: g.uniform(5, 8), MachineClass: Core, Count: 1, Duration: 3, Variant: "leader meet drain"},
		Event{Kind: "node_kill", At: g.uniform(8, 11), MachineClass: Store, Count: 1, Duration: 3, Variant: "power"},
		Event{Kind: "herd_kill", At: g.uniform(12, 14), MachineClass: Core, Share: 0.6, Duration: 1},
		Event{Kind: "node_freeze", At: g.uniform(18, 20), MachineClass: Core, Count: 1, Duration: 3, Variant: "leader"},
		Event{Kind: "after_ack_wipe", At: g.uniform(24, 26), MachineClass: g.choose(Core, Store), Count: 1, Duration: 1},
		Event{Kind: "add_nodes", At: g.uniform(14, 20), Planned: true, MachineClass: g.choose(Front, Core, Store), Count: 1},
	)
}

// responseFaults loses, duplicates, delays and truncates responses of workers, and
// resets connections, while gateways are restarted one by one.
func (g *generator) responseFaults() []Event {
	return []Event{
		{Kind: "answer_lost", At: 2, Service: g.site.ToolService, Share: 0.6, Strength: g.uniform(0.03, 0.07), Duration: 26},
		{Kind: "answer_lost", At: g.uniform(6, 10), Variant: "reset", Share: 0.5, Strength: g.uniform(0.03, 0.06), Duration: 8},
		{Kind: "garble", At: g.uniform(3, 6), Variant: "extra late", Share: 0.6, Strength: 0.03, Duration: 20},
		{Kind: "garble", At: g.uniform(12, 16), Variant: "extra", Share: 0.5, Strength: 0.03, Duration: 6},
		{Kind: "srv_grey", At: g.uniform(8, 14), Variant: g.choose("mute", "reset", "hang"), Share: 0.15, Strength: 0.4, Duration: 6},
		{Kind: "reset_conns", At: g.uniform(4, 20), Share: 0.5, Strength: 0.6},
		{Kind: "reset_conns", At: g.uniform(10, 24), MachineClass: Core, Share: 0.5, Strength: 0.6},
		{Kind: "idle_race", At: g.uniform(4, 12), Share: 0.5, Strength: 300, Duration: 10},
		{Kind: "replace_with_reuse", At: g.uniform(10, 18), Share: 0.15, Variant: g.choose("", "drain", "dark")},
		{Kind: "roll_term", At: g.uniform(5, 10), Planned: true, Variant: "busy", Share: 0.5, Strength: 1, Interval: 1.2},
		{Kind: "config_change", At: g.uniform(3, 20), Planned: true, Variant: "timeout"},
		{Kind: "node_kill", At: g.uniform(14, 24), Share: 0.16, Duration: 2, Variant: g.choose("", "power")},
	}
}
