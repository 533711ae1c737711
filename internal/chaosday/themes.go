package chaosday

import "slices"

// Themes of days that press one duty.
const (
	ThemeMixed   = "mixed"   // every kind on every class of machines, several at once
	ThemeCutOff  = "cutoff"  // a counted machine cut off for about twenty seconds
	ThemeRaces   = "races"   // colliding changes whose acknowledgements are lost
	ThemeSecond  = "second"  // another loss as soon as the last has caught up
	ThemeChanges = "changes" // hundreds of changes with restarts
	ThemeAnswers = "answers" // answers that come twice, late or never, with resets
)

// Themes returns all themes.
func Themes() []string {
	return []string{ThemeMixed, ThemeCutOff, ThemeRaces, ThemeSecond, ThemeChanges, ThemeAnswers}
}

// Draw draws count days of a theme, or nothing where the theme is not known.
func Draw(theme string, site *Site, seed uint64, count int) []Day {
	scenes := map[string]func(*drawer) []Event{
		ThemeCutOff: (*drawer).cutOff, ThemeRaces: (*drawer).races, ThemeSecond: (*drawer).secondLoss,
		ThemeChanges: (*drawer).changes, ThemeAnswers: (*drawer).answers,
	}
	if theme == ThemeMixed {
		return mixed(site, seed, count)
	}
	scene, ok := scenes[theme]
	if !ok {
		return nil
	}
	days := make([]Day, 0, count)
	for number := range count {
		d := newDrawer(site, seed, uint64(slices.Index(Themes(), theme))<<32|uint64(number))
		events := slices.DeleteFunc(scene(d), func(e Event) bool { return !site.allows(e.Kind) })
		days = append(days, d.day(theme, seed, number, events))
	}
	return days
}

// cutOff cuts a counted machine off, or freezes it, for 18 to 22 s while changes
// go on and clocks step.
func (d *drawer) cutOff() []Event {
	on := d.pick(Core, Core, Store)
	from := d.between(3, 6)
	length := d.between(18, 22)
	cut := Event{Kind: "core_cut", At: from, On: on, Count: 1, For: length, How: d.pick(cutVariants...)}
	if d.random.IntN(5) == 0 {
		cut.Kind = "node_freeze"
		cut.How = d.pick("", "leader race hard", "reader")
	}
	events := []Event{
		cut,
		{Kind: "clock_step", At: from + 2, Share: 0.3, X: d.pickNumber(2000, 60000), For: d.between(6, 10), How: d.pick("ahead", "back")},
		{Kind: "ack_lost", At: from + 1, X: 0.6, For: d.between(8, 14)},
		{Kind: "config_race", At: from + 0.5, Planned: true, Count: 4, Gap: d.between(1, 2)},
		{Kind: "bad_config", At: from + 10, Planned: true, Count: 2, Gap: 1, How: d.pick("stale_match", "old_version", "same_version")},
		{Kind: "config_change", At: from + length - 1, Planned: true, How: d.pick(changeVariant...)},
		{Kind: "release", At: from + 3, Planned: true, Share: 0.3, X: 1, Gap: 1},
	}
	if d.random.IntN(2) == 0 {
		events = append(events, Event{Kind: "node_kill", At: from + d.between(4, 12), On: Front, Share: 0.16, For: 2, How: d.pick("", "power")})
	}
	if d.site.Tolerate > 1 {
		events = append(events, Event{Kind: "node_kill", At: from + d.between(5, 12), On: Core, Count: 1, For: 3, How: "leader race hard"})
	}
	return events
}

func (d *drawer) pickNumber(numbers ...float64) float64 { return numbers[d.random.IntN(len(numbers))] }

// races sends pairs of changes on one version without pause, loses most of their
// acknowledgements, and kills or wipes the machine that acknowledged.
func (d *drawer) races() []Event {
	events := []Event{
		{Kind: "ack_lost", At: 1, X: d.between(0.6, 0.85), For: 28},
		{Kind: "config_race", At: 2, Planned: true, Count: 30, Gap: d.between(0.6, 0.9)},
		{Kind: "config_race", At: 2.2, Planned: true, Count: 20, Gap: d.between(0.8, 1.2)},
		{Kind: "bad_config", At: 8, Planned: true, Count: 6, Gap: 1.5, How: d.pick("same_version", "stale_match", "old_version")},
	}
	at := d.between(3, 5)
	for at < 24 {
		events = append(events, Event{
			Kind: d.pick("after_ack_kill", "after_ack_kill", "after_ack_wipe", "node_kill", "core_cut"),
			On:   d.pick(Core, Core, Store), At: at, Count: 1, For: d.between(1, 2.5),
			How: d.pick("", "timed", "leader race hard"),
		})
		at = d.between(at+4, at+8)
	}
	return events
}

// secondLoss loses a storage machine one way, the next right after the first has
// caught up, and so on, with cores lost meanwhile.
func (d *drawer) secondLoss() []Event {
	losses := []Event{
		{Kind: "after_ack_wipe", On: Store, Count: 1, For: 1},
		{Kind: "after_ack_wipe", On: Store, Count: 1, For: 1.5, How: "taken"},
		{Kind: "replace_core", On: Store, X: 1},
		{Kind: "replace_core", On: Store, X: 1, How: "planned", Planned: true},
		{Kind: "retire", For: 7, Planned: true},
		{Kind: "retire", For: 7, How: "wipe", Planned: true},
		{Kind: "core_cut", On: Store, Count: 1, For: 2},
		{Kind: "node_kill", On: Store, Count: 1, For: 1.5, How: "power"},
	}
	d.random.Shuffle(len(losses), func(i, j int) { losses[i], losses[j] = losses[j], losses[i] })
	events := []Event{
		{Kind: "config_change", At: 2, Planned: true, How: "timeout"},
		{Kind: "config_race", At: 9, Planned: true, Count: 4, Gap: 2},
	}
	at := d.between(3, 5)
	for _, loss := range losses {
		if at > lastMoment+2 {
			break
		}
		loss.At = at
		events = append(events, loss)
		at = d.between(at+loss.For+d.site.CatchUp, at+loss.For+d.site.CatchUp+1)
	}
	return append(events,
		Event{Kind: "after_ack_wipe", On: Core, At: d.between(8, 12), Count: 1, For: 1},
		Event{Kind: "replace_core", On: Core, At: d.between(18, 22), X: 1},
	)
}

// Changes of a day of many changes, when they begin and the seconds between two.
const (
	manyChanges   = 240
	firstChange   = 1.5
	changesPeriod = 0.11
)

// changes sends hundreds of changes while members of every class are restarted.
func (d *drawer) changes() []Event {
	var events []Event
	for i := range manyChanges {
		at := firstChange + float64(i)*changesPeriod
		events = append(events, Event{Kind: "config_change", At: at, Planned: true, How: d.pick(changeVariant...)})
	}
	return append(events,
		Event{Kind: "roll_term", At: d.between(3, 5), Planned: true, On: Front, Share: 0.5, X: 1, Gap: 1.2},
		Event{Kind: "node_kill", At: d.between(5, 8), On: Core, Count: 1, For: 3, How: "leader meet drain"},
		Event{Kind: "node_kill", At: d.between(8, 11), On: Store, Count: 1, For: 3, How: "power"},
		Event{Kind: "herd_kill", At: d.between(12, 14), On: Core, Share: 0.6, For: 1},
		Event{Kind: "node_freeze", At: d.between(18, 20), On: Core, Count: 1, For: 3, How: "leader"},
		Event{Kind: "after_ack_wipe", At: d.between(24, 26), On: d.pick(Core, Store), Count: 1, For: 1},
		Event{Kind: "add_nodes", At: d.between(14, 20), Planned: true, On: d.pick(Front, Core, Store), Count: 1},
	)
}

// answers loses, doubles, delays and cuts answers of workers, and resets
// connections, while gateways are stopped in turn.
func (d *drawer) answers() []Event {
	return []Event{
		{Kind: "answer_lost", At: 2, Service: d.site.ToolService, Share: 0.6, X: d.between(0.03, 0.07), For: 26},
		{Kind: "answer_lost", At: d.between(6, 10), How: "reset", Share: 0.5, X: d.between(0.03, 0.06), For: 8},
		{Kind: "garble", At: d.between(3, 6), How: "extra late", Share: 0.6, X: 0.03, For: 20},
		{Kind: "garble", At: d.between(12, 16), How: "extra", Share: 0.5, X: 0.03, For: 6},
		{Kind: "srv_grey", At: d.between(8, 14), How: d.pick("mute", "reset", "hang"), Share: 0.15, X: 0.4, For: 6},
		{Kind: "reset_conns", At: d.between(4, 20), Share: 0.5, X: 0.6},
		{Kind: "reset_conns", At: d.between(10, 24), On: Core, Share: 0.5, X: 0.6},
		{Kind: "idle_race", At: d.between(4, 12), Share: 0.5, X: 300, For: 10},
		{Kind: "replace_with_reuse", At: d.between(10, 18), Share: 0.15, How: d.pick("", "drain", "dark")},
		{Kind: "roll_term", At: d.between(5, 10), Planned: true, How: "busy", Share: 0.5, X: 1, Gap: 1.2},
		{Kind: "config_change", At: d.between(3, 20), Planned: true, How: "timeout"},
		{Kind: "node_kill", At: d.between(14, 24), Share: 0.16, For: 2, How: d.pick("", "power")},
	}
}
