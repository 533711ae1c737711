package chaosday

import (
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/matryer/is"
)

// file is the form of a day as the bench reads it.
type file struct {
	Day []struct {
		Name    string  `toml:"name"`
		Seed    uint64  `toml:"seed"`
		Plan    []entry `toml:"plan"`
		Faults  []entry `toml:"faults"`
		Closing struct {
			Kind string  `toml:"kind"`
			How  string  `toml:"how"`
			Down float64 `toml:"down_s"`
		} `toml:"closing"`
	} `toml:"day"`
}

type entry struct {
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

// Every theme's days are valid TOML without unknown keys, with times and shares
// in range, and hold what was drawn.
func TestDaysAreValid(t *testing.T) {
	for _, theme := range Themes() {
		for seed := range uint64(20) {
			is := is.New(t)
			days := Generate(theme, exampleSite(), seed, 3)
			is.Equal(len(days), 3)
			for i := range days {
				var read file
				meta, err := toml.Decode(string(days[i].TOML()), &read)
				is.NoErr(err)
				is.Equal(len(meta.Undecoded()), 0)
				is.Equal(len(read.Day), 1)
				day := read.Day[0]
				is.Equal(day.Name, days[i].Name)
				is.Equal(day.Seed, days[i].Seed)
				is.True(day.Closing.Kind != "" && day.Closing.Down > 0)
				is.Equal(len(day.Plan)+len(day.Faults), len(days[i].Events))
				is.True(len(day.Faults) > 0)
				for _, e := range append(day.Plan, day.Faults...) {
					is.True(e.At > 0 && e.At <= 34)
					is.True(e.Share >= 0 && e.Share <= 1)
					is.True(e.On == "" || slices.Contains(allClasses, e.On))
					is.True(slices.Contains(KnownKinds(), e.Kind))
				}
			}
		}
	}
}

// The same seed gives the same bytes, another seed gives others.
func TestDaysFollowTheSeed(t *testing.T) {
	is := is.New(t)
	text := func(theme string, seed uint64) string {
		var all strings.Builder
		for _, day := range Generate(theme, exampleSite(), seed, 4) {
			all.Write(day.TOML())
		}
		return all.String()
	}
	for _, theme := range Themes() {
		is.Equal(text(theme, 7), text(theme, 7))
		is.True(text(theme, 7) != text(theme, 8))
	}
}

// As many mixed days as DaysForAll says hold every kind on every class of
// machines in every variant, and no day has one thing twice.
func TestMixedDaysCoverEverything(t *testing.T) {
	is := is.New(t)
	type variant struct{ kind, on, how string }
	seen := map[variant]bool{}
	site := exampleSite()
	for _, day := range Generate(ThemeMixed, site, 3, DaysForFullCoverage(site)+1) {
		is.Equal(len(day.Events), DefaultEvents)
		for _, e := range day.Events {
			seen[variant{e.Kind, e.MachineClass, e.Variant}] = true
		}
	}
	for i := range catalogue {
		for _, on := range orEmptyString(catalogue[i].machineClasses) {
			for _, how := range orEmptyString(catalogue[i].variants) {
				if !seen[variant{catalogue[i].kind, on, how}] {
					t.Errorf("%s on %q, %q: on no day", catalogue[i].kind, on, how)
				}
			}
		}
	}
}

// A site may ask for more events a day.
func TestEventsPerDay(t *testing.T) {
	is := is.New(t)
	site := exampleSite()
	site.EventsPerDay = 30
	for _, day := range Generate(ThemeMixed, site, 2, 12) {
		is.Equal(len(day.Events), 30)
	}
}

// Only kinds that the site takes are drawn, and those that the catalogue lacks
// are named.
func TestKindsOfASite(t *testing.T) {
	is := is.New(t)
	site := exampleSite()
	site.Kinds = ParseKinds("Each entry has 'at' (seconds).\n\nburst: x times the traffic\nnode_kill: share (.1): SIGKILL\nnew_kind: something\n\nthese may come too:\n")
	is.Equal(site.Kinds, []string{"burst", "node_kill", "new_kind"})
	is.Equal(UnknownKinds(site.Kinds), []string{"new_kind"})
	for _, theme := range Themes() {
		for _, day := range Generate(theme, site, 1, 5) {
			for _, e := range day.Events {
				is.True(e.Kind == "burst" || e.Kind == "node_kill")
			}
		}
	}
	is.Equal(Generate("no such theme", site, 1, 5), nil)
}
