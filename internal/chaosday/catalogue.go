package chaosday

import "strings"

// Classes of machines, as the bench names them: gateways, storage machines and core
// machines.
const (
	Front = "front"
	Store = "store"
	Core  = "core"
)

// valueRange is the range that a value is drawn from. The zero range stands for a
// value that is not set.
type valueRange struct{ low, high float64 }

// eventTemplate describes a kind of event with the classes of machines and the
// variants that it can have. One event is generated for each combination of class
// and variant, with its numbers drawn from the ranges.
type eventTemplate struct {
	kind            string
	planned         bool
	machineClasses  []string // no class is set if empty
	variants        []string // no variant is set if empty
	service         serviceKind
	perRequestClass bool // affects Site.RequestClass only
	count           int
	share           valueRange
	strength        valueRange
	duration        valueRange
	interval        valueRange
}

// serviceKind selects the service whose workers an event affects.
type serviceKind int

const (
	anyService serviceKind = iota
	modelService
	toolService
)

// Classes of machines and variants that several templates have in common. Stateful
// machines are those that count against Site.FaultTolerance. Their variants also
// select a machine by its current function, such as the leader, or send it a change
// of the configuration when it returns.
var (
	allClasses             = []string{Front, Store, Core}
	statefulClasses        = []string{Store, Core}
	coreKillVariants       = []string{"", "power", "leader race drain hard", "leader meet drain", "reader", "seed race drain hard", "power race drain hard"}
	isolationVariants      = []string{"", "one_way", "both", "seeds", "reset", "refuse", "leader", "leader one_way race", "leader refuse race drain hard", "reader", "seed"}
	killAfterAckVariants   = []string{"", "kill", "timed", "taken"}
	wipeAfterAckVariants   = []string{"", "timed", "taken"}
	partialFailureVariants = []string{"errors", "shed", "busy", "hang", "reset", "mute"}
	invalidConfigVariants  = []string{"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key"}
	configChangeVariants   = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}
)

// Durations and shares that many kinds have in common. They are short and small
// enough for a day of half a minute to include the recovery.
var (
	shortOutage = valueRange{1, 3.5}
	longOutage  = valueRange{4, 7}
	smallShare  = valueRange{0.1, 0.2}
	largeShare  = valueRange{0.3, 0.6}
)

// catalogue has the templates of all kinds of events that the bench supports.
var catalogue = []eventTemplate{
	{kind: "config_change", planned: true, variants: configChangeVariants},
	{kind: "config_race", planned: true, count: 3, interval: valueRange{0.8, 1.5}},
	{kind: "bad_config", planned: true, variants: invalidConfigVariants, count: 2, interval: valueRange{0.8, 1.2}},
	{kind: "release", planned: true, share: largeShare, strength: valueRange{1, 3}, interval: valueRange{0.7, 1.2}},
	{kind: "retire", planned: true, variants: []string{"", "wipe"}, duration: valueRange{7, 10}},
	{kind: "roll_term", planned: true, variants: []string{"", "busy"}, machineClasses: allClasses, share: largeShare, strength: valueRange{1, 2}, interval: valueRange{0.8, 1.3}},
	{kind: "roll_term", planned: true, variants: []string{"remove"}, machineClasses: []string{Front}, share: smallShare, strength: valueRange{1, 1}, interval: valueRange{0.8, 1.3}},
	{kind: "add_nodes", planned: true, machineClasses: allClasses, count: 1},
	{kind: "replace_core", planned: true, machineClasses: statefulClasses, variants: []string{"planned"}, strength: valueRange{1, 2}},
	{kind: "scale_out", planned: true, share: valueRange{0.2, 0.4}, interval: valueRange{0.8, 1.2}},
	{kind: "scale_in", planned: true, variants: []string{"", "spot"}, share: smallShare, strength: valueRange{2, 2}},
	{kind: "hup", planned: true, machineClasses: allClasses, share: largeShare, interval: valueRange{0.8, 1.2}},
	{kind: "seed_turnover", planned: true},

	{kind: "burst", perRequestClass: true, strength: valueRange{1.5, 2.4}, duration: valueRange{3, 5}},
	{kind: "node_kill", machineClasses: []string{Front}, variants: []string{"", "power"}, share: smallShare, duration: shortOutage},
	{kind: "node_kill", machineClasses: []string{Store}, variants: []string{"", "power", "leader", "power race"}, count: 1, duration: shortOutage},
	{kind: "node_kill", machineClasses: []string{Core}, variants: coreKillVariants, count: 1, duration: shortOutage},
	{kind: "node_freeze", machineClasses: []string{Front}, share: smallShare, duration: shortOutage},
	{kind: "node_freeze", machineClasses: statefulClasses, variants: []string{"", "leader race", "reader"}, count: 1, duration: shortOutage},
	{kind: "node_slow", machineClasses: allClasses, count: 1, strength: valueRange{3, 8}, duration: longOutage},
	{kind: "node_cut", machineClasses: []string{Front}, variants: []string{"", "reset", "refuse"}, share: smallShare, duration: shortOutage},
	{kind: "node_cut", variants: []string{"servers"}, share: smallShare, duration: shortOutage},
	{kind: "herd_kill", machineClasses: []string{Front}, variants: []string{"", "power"}, share: valueRange{0.4, 0.6}, duration: valueRange{1, 2}},
	{kind: "herd_kill", machineClasses: []string{Core}, variants: []string{"", "race drain hard", "taken"}, share: valueRange{0.6, 0.6}, duration: valueRange{1, 2}},
	{kind: "replace_core", machineClasses: statefulClasses, strength: valueRange{1, 2}},
	{kind: "after_ack_kill", machineClasses: statefulClasses, variants: killAfterAckVariants, count: 1, duration: shortOutage},
	{kind: "after_ack_wipe", machineClasses: statefulClasses, variants: wipeAfterAckVariants, count: 1, duration: shortOutage},
	{kind: "core_cut", machineClasses: statefulClasses, variants: isolationVariants, count: 1, duration: longOutage},
	{kind: "disk_slow", machineClasses: statefulClasses, count: 1, strength: valueRange{20, 40}, duration: longOutage},
	{kind: "disk_full", machineClasses: statefulClasses, count: 1, duration: longOutage},
	{kind: "disk_stall", machineClasses: statefulClasses, count: 1, duration: shortOutage},
	{kind: "clock_step", variants: []string{"ahead", "back"}, share: largeShare, strength: valueRange{2000, 60000}, duration: longOutage},
	{kind: "reset_conns", machineClasses: allClasses, share: largeShare, strength: valueRange{0.3, 0.8}},
	{kind: "ack_lost", strength: valueRange{0.5, 0.8}, duration: valueRange{5, 12}},
	{kind: "answer_lost", service: toolService, share: largeShare, strength: valueRange{0.03, 0.07}, duration: longOutage},
	{kind: "answer_lost", variants: []string{"reset"}, share: largeShare, strength: valueRange{0.03, 0.07}, duration: longOutage},
	{kind: "garble", variants: []string{"", "extra", "extra late"}, share: largeShare, strength: valueRange{0.02, 0.04}, duration: longOutage},
	{kind: "idle_race", share: largeShare, strength: valueRange{200, 400}, duration: longOutage},
	{kind: "srv_crash", variants: []string{"", "dark", "gone", "across"}, share: smallShare, duration: longOutage},
	{kind: "srv_slow", service: toolService, share: valueRange{0.2, 0.4}, strength: valueRange{3, 6}, duration: longOutage},
	{kind: "srv_slow", service: modelService, share: smallShare, strength: valueRange{2, 4}, duration: longOutage},
	{kind: "srv_grey", variants: partialFailureVariants, share: smallShare, strength: valueRange{0.3, 0.5}, duration: longOutage},
	{kind: "srv_grey", variants: []string{"slow", "slow one_zone"}, share: smallShare, strength: valueRange{4, 8}, duration: longOutage},
	{kind: "srv_lying_health", variants: []string{"errors", "hang", "reset", "bad"}, share: smallShare, duration: longOutage},
	{kind: "srv_flap", share: smallShare, interval: valueRange{1, 1.5}, duration: longOutage},
	{kind: "replace_with_reuse", variants: []string{"", "drain", "dark"}, share: smallShare},
}

// KnownKinds returns each kind of the catalogue once, in the order of the catalogue.
func KnownKinds() []string {
	var kinds []string
	seen := map[string]bool{}
	for i := range catalogue {
		if !seen[catalogue[i].kind] {
			seen[catalogue[i].kind] = true
			kinds = append(kinds, catalogue[i].kind)
		}
	}
	return kinds
}

// ParseKinds parses the kinds that a site supports from the bench's list of kinds.
// It uses the lines of the form "kind: description" and ignores all others.
func ParseKinds(list string) []string {
	var kinds []string
	for line := range strings.Lines(list) {
		name, _, found := strings.Cut(line, ": ")
		if found && name != "" && strings.Trim(name, "abcdefghijklmnopqrstuvwxyz_") == "" {
			kinds = append(kinds, name)
		}
	}
	return kinds
}

// UnknownKinds returns the kinds that are not in the catalogue.
func UnknownKinds(kinds []string) []string {
	isKnown := map[string]bool{}
	for _, kind := range KnownKinds() {
		isKnown[kind] = true
	}
	var unknown []string
	for _, kind := range kinds {
		if !isKnown[kind] {
			unknown = append(unknown, kind)
		}
	}
	return unknown
}
