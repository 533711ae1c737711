package chaosday

import (
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/matryer/is"
)

// dayFile is a day in the format that the bench reads.
type dayFile struct {
	Day []struct {
		Name    string     `toml:"name"`
		Seed    uint64     `toml:"seed"`
		Plan    []dayEvent `toml:"plan"`
		Faults  []dayEvent `toml:"faults"`
		Closing struct {
			Kind string  `toml:"kind"`
			How  string  `toml:"how"`
			Down float64 `toml:"down_s"`
		} `toml:"closing"`
	} `toml:"day"`
}

type dayEvent struct {
	At      float64 `toml:"at"`
	Kind    string  `toml:"kind"`
	On      string  `toml:"on"`
	Service string  `toml:"service"`
	Class   string  `toml:"class"`
	How     string  `toml:"how"`
	Count   int     `toml:"count"`
	Share   float64 `toml:"share"`
	X       float64 `toml:"x"`
	For     float64 `toml:"for_s"`
	Gap     float64 `toml:"gap_s"`
}

func exampleSite() *Site {
	return &Site{ModelService: "model", ToolService: "tool", RequestClass: "case", FaultTolerance: 2, CatchUpSeconds: 5}
}

// TestDaysAreValid checks that the days of all themes are valid TOML without unknown
// keys, with all generated events and with times and shares in range.
func TestDaysAreValid(t *testing.T) {
	for _, theme := range Themes() {
		for seed := range uint64(20) {
			is := is.New(t)
			days := Generate(theme, exampleSite(), seed, 3)
			is.Equal(len(days), 3)
			for i := range days {
				var parsed dayFile
				meta, err := toml.Decode(string(days[i].TOML()), &parsed)
				is.NoErr(err)
				is.Equal(len(meta.Undecoded()), 0)
				is.Equal(len(parsed.Day), 1)
				day := parsed.Day[0]
				is.Equal(day.Name, days[i].Name)
				is.Equal(day.Seed, days[i].Seed)
				is.True(day.Closing.Kind != "" && day.Closing.Down > 0)
				is.Equal(len(day.Plan)+len(day.Faults), len(days[i].Events))
				is.True(len(day.Faults) > 0)
				for _, event := range append(day.Plan, day.Faults...) {
					is.True(event.At > 0 && event.At <= 34)
					is.True(event.Share >= 0 && event.Share <= 1)
					is.True(event.On == "" || slices.Contains(allClasses, event.On))
					is.True(slices.Contains(KnownKinds(), event.Kind))
				}
			}
		}
	}
}

// TestDaysFollowTheSeed checks that the same seed gives the same bytes, and another
// seed gives others.
func TestDaysFollowTheSeed(t *testing.T) {
	is := is.New(t)
	generate := func(theme string, seed uint64) string {
		var output strings.Builder
		for _, day := range Generate(theme, exampleSite(), seed, 4) {
			output.Write(day.TOML())
		}
		return output.String()
	}
	for _, theme := range Themes() {
		is.Equal(generate(theme, 7), generate(theme, 7))
		is.True(generate(theme, 7) != generate(theme, 8))
	}
}

// TestMixedDaysCoverEverything checks that DaysForFullCoverage mixed days, and one
// more, include each combination of kind, class of machines and variant.
func TestMixedDaysCoverEverything(t *testing.T) {
	is := is.New(t)
	type variant struct{ kind, on, how string }
	seen := map[variant]bool{}
	site := exampleSite()
	for _, day := range Generate(ThemeMixed, site, 3, DaysForFullCoverage(site)+1) {
		is.Equal(len(day.Events), DefaultEvents)
		for _, event := range day.Events {
			seen[variant{event.Kind, event.MachineClass, event.Variant}] = true
		}
	}
	for i := range catalogue {
		for _, machineClass := range orEmptyString(catalogue[i].machineClasses) {
			for _, variantName := range orEmptyString(catalogue[i].variants) {
				if !seen[variant{catalogue[i].kind, machineClass, variantName}] {
					t.Errorf("%s on class %q, variant %q: not in any day", catalogue[i].kind, machineClass, variantName)
				}
			}
		}
	}
}

// TestEventsPerDay checks that Site.EventsPerDay sets the number of events.
func TestEventsPerDay(t *testing.T) {
	is := is.New(t)
	site := exampleSite()
	site.EventsPerDay = 30
	for _, day := range Generate(ThemeMixed, site, 2, 12) {
		is.Equal(len(day.Events), 30)
	}
}

// TestKindsOfASite checks that only kinds that the site supports are generated, and
// that kinds missing from the catalogue are reported.
func TestKindsOfASite(t *testing.T) {
	is := is.New(t)
	site := exampleSite()
	site.Kinds = ParseKinds("Each entry has 'at' (seconds).\n\nburst: x times the traffic\nnode_kill: share (.1): SIGKILL\nnew_kind: something\n\nthese may come too:\n")
	is.Equal(site.Kinds, []string{"burst", "node_kill", "new_kind"})
	is.Equal(UnknownKinds(site.Kinds), []string{"new_kind"})
	for _, theme := range Themes() {
		for _, day := range Generate(theme, site, 1, 5) {
			for _, event := range day.Events {
				is.True(event.Kind == "burst" || event.Kind == "node_kill")
			}
		}
	}
	is.Equal(Generate("no such theme", site, 1, 5), nil)
}
