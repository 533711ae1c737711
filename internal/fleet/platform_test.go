// Whole runs on the platform: real processes under troubles, checked from the
// outside.
package fleet

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"
	"fordseam/internal/standin/platform/sockets"

	"github.com/matryer/is"
)

// memoryFolder is a folder in memory where there is one: what a busy disk's
// syncs cost is not tried here.
func memoryFolder(t *testing.T) string {
	folder, err := os.MkdirTemp("/dev/shm", "fordseam")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}

// runPlatform plays a run with given commands; the tests of any system can call it.
func runPlatform(t *testing.T, commands map[string]string, change func(plan *PlatformPlan)) (breaches []platform.Breach, report string) {
	is := is.New(t)
	root, err := os.Getwd()
	is.NoErr(err)
	plan := &PlatformPlan{Site: platform.Sites()["small"], WorkDir: root, Dir: memoryFolder(t), Commands: commands, TrafficDuration: 6 * time.Second, RateFactor: 1, Seed: 1, SetUpTimeout: time.Minute}
	if change != nil {
		change(plan)
	}
	var out bytes.Buffer
	breaches, err = RunPlatform(context.Background(), plan, &out)
	t.Log(out.String())
	is.NoErr(err)
	return breaches, out.String()
}

func stubCommands(sins string) map[string]string {
	commands := map[string]string{}
	for _, class := range []string{platform.ClassEdge, platform.ClassCore, platform.ClassStorage} {
		commands[class] = os.Args[0] + " stub " + class + " " + sins
	}
	return commands
}

func troubles(t *testing.T, written ...string) []PlatformEvent {
	return base.Map(written, func(one string) PlatformEvent {
		trouble, err := ParsePlatformEvent(one)
		is.New(t).NoErr(err)
		return trouble
	})
}

func TestASystemThatKeepsTheRulesBreaksNone(t *testing.T) {
	is := is.New(t)
	breaches, report := runPlatform(t, stubCommands(""), func(plan *PlatformPlan) {
		plan.TrafficDuration, plan.ClosingFault, plan.Site.Bounds.Recovery = 9*time.Second, "kill_all", 5*time.Second
		plan.Events = troubles(t, "config_change@0.5", "config_race@1,count=2,gap=0.3", "bad_config@2,gap=0.1", "release:app@0.5,gap=0.3", "answer_lost@2+3,share=0.1",
			"garble@3+2,share=0.1", "answer_lost:model@2+3,share=0.05", "roll_term@3,share=0.5,gap=0.3", "node_kill@6+0.5", "node_freeze:core@5+0.5", "settings_hup@4", "burst@4+2,share=1.5",
			"retire@7+1", "worker_crash:app@7", "worker_slow@4+1", "worker_grey@1+2", "worker_flap@2+3,gap=0.6", "worker_forget@1+5,gap=0.2", "list_down@5+1")
	})
	is.Equal(fmt.Sprint(breaches), "[]")
	is.True(strings.Contains(report, "programs in time"))
	is.True(strings.Contains(report, "no rule broken"))
}

func TestASystemThatBreaksTheRulesIsNamed(t *testing.T) {
	is := is.New(t)
	breaches, _ := runPlatform(t, stubCommands("sinful"), func(plan *PlatformPlan) {
		plan.RateFactor = 2
		for place := range plan.Site.Classes {
			plan.Site.Classes[place].Runaway = 0.3
		}
		plan.Events = troubles(t, "config_change@0.2", "release:app@0.2,gap=0.1,share=1", "bad_config@5,gap=0.1")
	})
	found := map[string]int{}
	for _, b := range breaches {
		found[b.Rule]++
	}
	for _, rule := range []string{"MIXED", "ORDER", "UNASKED", "TWICE", "REFUSED", "LOST", "BUDGET", "CONFIG", "DRAIN"} {
		if found[rule] == 0 {
			t.Errorf("%s was not found in %v", rule, found)
		}
	}
	is.True(len(breaches) > 0)
}

// Two troubles that meet on one machine leave it one process, and a run none.
func TestAMachineRunsOneProcess(t *testing.T) {
	is := is.New(t)
	w := newPlatformRun(&PlatformPlan{Site: platform.Sites()["small"], WorkDir: t.TempDir(), Dir: t.TempDir(), Seed: 1,
		Commands: map[string]string{platform.ClassStorage: os.Args[0] + " stub storage"}})
	w.listServer = &sockets.InstanceListServer{}
	m := w.addMachine(platform.ClassStorage, "zone-a", 1, true)
	is.NoErr(w.start(m))
	first := m.exited
	is.NoErr(w.start(m))
	is.True(m.exited == first && m.Running())
	is.NoErr(w.removeMachine(m))
	is.NoErr(w.start(m))
	is.True(!m.Running())
	_, ended := m.Wait(0)
	is.True(ended)
	w.listServer = nil
	w.stop()
}

func TestTroublesAreReadFromTheCommandLine(t *testing.T) {
	is := is.New(t)
	one, err := ParsePlatformEvent("node_kill:store@5.5+3,wipe,count=2")
	is.NoErr(err)
	is.Equal(one, PlatformEvent{Kind: "node_kill", Target: "store", At: 5500 * time.Millisecond, Duration: 3 * time.Second, Count: 2, Interval: time.Second, WipeDisk: true})
	is.Equal(one.classOr("edge"), platform.ClassStorage)
	for _, bad := range []string{"", "node_kill", "node_kill@x", "flood@3", "node_kill@3,wide", "node_kill@3+-1", "node_kill@3,count=0"} {
		_, err := ParsePlatformEvent(bad)
		is.True(err != nil)
	}
}

// builtCommands are the project's own daemons, under the race detector.
func builtCommands(t *testing.T) map[string]string {
	folder, err := built()
	is.New(t).NoErr(err)
	return map[string]string{platform.ClassEdge: folder + "/fordseam-gateway platform", platform.ClassCore: folder + "/fordseam-controller core",
		platform.ClassStorage: folder + "/fordseam-controller storage"}
}

func TestTheFleetOnThePlatformBreaksNoRule(t *testing.T) {
	for _, row := range []struct {
		name     string
		closing  string
		troubles []string
	}{
		{"planned work and workers in trouble", "", []string{"config_change@0.5", "config_race@1,count=2,gap=0.3", "bad_config@2,gap=0.1", "release:app@0.5,gap=0.3", "roll_term@2,gap=0.3",
			"settings_hup@5", "answer_lost@1+3,share=0.1", "garble@2+3,share=0.1", "answer_lost:model@2+2,share=0.05", "worker_forget@1+4,gap=0.2", "worker_crash:app@4"}},
		{"machines lost", "wipe", []string{"config_change@0.5", "node_kill@1+0.5", "node_freeze:core@2+2", "node_kill:storage@4.5+0.5,wipe", "after_ack_kill@8+0.5", "add_nodes@1"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			breaches, _ := runPlatform(t, builtCommands(t), func(plan *PlatformPlan) {
				plan.TrafficDuration, plan.ClosingFault, plan.Events = 10*time.Second, row.closing, troubles(t, row.troubles...)
			})
			is.New(t).Equal(fmt.Sprint(breaches), "[]")
		})
	}
}
