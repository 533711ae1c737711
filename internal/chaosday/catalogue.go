package chaosday

import "strings"

// Classes of machines, in the bench's words.
const (
	Front = "front"
	Store = "store"
	Core  = "core"
)

// span is a range that a value is drawn from; both ends zero: no value.
type span struct{ least, most float64 }

// template is one way in which a kind of trouble can fall on a class of
// machines. Drawing fills its ranges in.
type template struct {
	kind    string
	planned bool
	on      []string // one event is drawn for each class of machines
	how     []string // and for each variant
	service service
	class   bool // falls on one kind of requests
	count   int
	share   span
	x       span
	length  span
	gap     span
}

// service says whose workers a template falls on.
type service int

const (
	anyService service = iota
	modelService
	toolService
)

// Machines that share a variant: the counted ones may also be picked by what
// they do, and a change of configuration may be sent to them as they return.
var (
	everyClass    = []string{Front, Store, Core}
	countedClass  = []string{Store, Core}
	coreVariants  = []string{"", "power", "leader race drain hard", "leader meet drain", "reader", "seed race drain hard", "power race drain hard"}
	cutVariants   = []string{"", "one_way", "both", "seeds", "reset", "refuse", "leader", "leader one_way race", "leader refuse race drain hard", "reader", "seed"}
	ackVariants   = []string{"", "kill", "timed", "taken"}
	wipeVariants  = []string{"", "timed", "taken"}
	greyVariants  = []string{"errors", "shed", "busy", "hang", "reset", "mute"}
	badDocuments  = []string{"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key"}
	changeVariant = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}
)

// Lengths and shares that many kinds have in common. They stay within what a
// day of half a minute can hold beside its recovery.
var (
	shortOutage = span{1, 3.5}
	longOutage  = span{4, 7}
	fewMachines = span{0.1, 0.2}
	halfServers = span{0.3, 0.6}
)

// catalogue holds every kind that the bench knows.
var catalogue = []template{
	{kind: "config_change", planned: true, how: changeVariant},
	{kind: "config_race", planned: true, count: 3, gap: span{0.8, 1.5}},
	{kind: "bad_config", planned: true, how: badDocuments, count: 2, gap: span{0.8, 1.2}},
	{kind: "release", planned: true, share: halfServers, x: span{1, 3}, gap: span{0.7, 1.2}},
	{kind: "retire", planned: true, how: []string{"", "wipe"}, length: span{7, 10}},
	{kind: "roll_term", planned: true, how: []string{"", "busy"}, on: everyClass, share: halfServers, x: span{1, 2}, gap: span{0.8, 1.3}},
	{kind: "roll_term", planned: true, how: []string{"remove"}, on: []string{Front}, share: fewMachines, x: span{1, 1}, gap: span{0.8, 1.3}},
	{kind: "add_nodes", planned: true, on: everyClass, count: 1},
	{kind: "replace_core", planned: true, on: countedClass, how: []string{"planned"}, x: span{1, 2}},
	{kind: "scale_out", planned: true, share: span{0.2, 0.4}, gap: span{0.8, 1.2}},
	{kind: "scale_in", planned: true, how: []string{"", "spot"}, share: fewMachines, x: span{2, 2}},
	{kind: "hup", planned: true, on: everyClass, share: halfServers, gap: span{0.8, 1.2}},
	{kind: "seed_turnover", planned: true},

	{kind: "burst", class: true, x: span{1.5, 2.4}, length: span{3, 5}},
	{kind: "node_kill", on: []string{Front}, how: []string{"", "power"}, share: fewMachines, length: shortOutage},
	{kind: "node_kill", on: []string{Store}, how: []string{"", "power", "leader", "power race"}, count: 1, length: shortOutage},
	{kind: "node_kill", on: []string{Core}, how: coreVariants, count: 1, length: shortOutage},
	{kind: "node_freeze", on: []string{Front}, share: fewMachines, length: shortOutage},
	{kind: "node_freeze", on: countedClass, how: []string{"", "leader race", "reader"}, count: 1, length: shortOutage},
	{kind: "node_slow", on: everyClass, count: 1, x: span{3, 8}, length: longOutage},
	{kind: "node_cut", on: []string{Front}, how: []string{"", "reset", "refuse"}, share: fewMachines, length: shortOutage},
	{kind: "node_cut", how: []string{"servers"}, share: fewMachines, length: shortOutage},
	{kind: "herd_kill", on: []string{Front}, how: []string{"", "power"}, share: span{0.4, 0.6}, length: span{1, 2}},
	{kind: "herd_kill", on: []string{Core}, how: []string{"", "race drain hard", "taken"}, share: span{0.6, 0.6}, length: span{1, 2}},
	{kind: "replace_core", on: countedClass, x: span{1, 2}},
	{kind: "after_ack_kill", on: countedClass, how: ackVariants, count: 1, length: shortOutage},
	{kind: "after_ack_wipe", on: countedClass, how: wipeVariants, count: 1, length: shortOutage},
	{kind: "core_cut", on: countedClass, how: cutVariants, count: 1, length: longOutage},
	{kind: "disk_slow", on: countedClass, count: 1, x: span{20, 40}, length: longOutage},
	{kind: "disk_full", on: countedClass, count: 1, length: longOutage},
	{kind: "disk_stall", on: countedClass, count: 1, length: shortOutage},
	{kind: "clock_step", how: []string{"ahead", "back"}, share: halfServers, x: span{2000, 60000}, length: longOutage},
	{kind: "reset_conns", on: everyClass, share: halfServers, x: span{0.3, 0.8}},
	{kind: "ack_lost", x: span{0.5, 0.8}, length: span{5, 12}},
	{kind: "answer_lost", service: toolService, share: halfServers, x: span{0.03, 0.07}, length: longOutage},
	{kind: "answer_lost", how: []string{"reset"}, share: halfServers, x: span{0.03, 0.07}, length: longOutage},
	{kind: "garble", how: []string{"", "extra", "extra late"}, share: halfServers, x: span{0.02, 0.04}, length: longOutage},
	{kind: "idle_race", share: halfServers, x: span{200, 400}, length: longOutage},
	{kind: "srv_crash", how: []string{"", "dark", "gone", "across"}, share: fewMachines, length: longOutage},
	{kind: "srv_slow", service: toolService, share: span{0.2, 0.4}, x: span{3, 6}, length: longOutage},
	{kind: "srv_slow", service: modelService, share: fewMachines, x: span{2, 4}, length: longOutage},
	{kind: "srv_grey", how: greyVariants, share: fewMachines, x: span{0.3, 0.5}, length: longOutage},
	{kind: "srv_grey", how: []string{"slow", "slow one_zone"}, share: fewMachines, x: span{4, 8}, length: longOutage},
	{kind: "srv_lying_health", how: []string{"errors", "hang", "reset", "bad"}, share: fewMachines, length: longOutage},
	{kind: "srv_flap", share: fewMachines, gap: span{1, 1.5}, length: longOutage},
	{kind: "replace_with_reuse", how: []string{"", "drain", "dark"}, share: fewMachines},
}

// KnownKinds returns every kind of the catalogue once, in its order.
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

// ParseKinds reads the kinds that a site takes from the bench's list of them:
// the lines of the form "kind: what it does".
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

// UnknownKinds returns those kinds of a site that the catalogue lacks.
func UnknownKinds(kinds []string) []string {
	known := map[string]bool{}
	for _, kind := range KnownKinds() {
		known[kind] = true
	}
	var unknown []string
	for _, kind := range kinds {
		if !known[kind] {
			unknown = append(unknown, kind)
		}
	}
	return unknown
}
