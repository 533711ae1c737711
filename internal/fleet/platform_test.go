package fleet

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/fleet/fleettest"
	"fordseam/internal/standin/platform"
	"fordseam/internal/standin/platform/sockets"

	"github.com/matryer/is"
)

// runPlatform runs a plan with the given commands, for tests of the stub and of the
// daemons. configure may change the plan.
func runPlatform(t *testing.T, commands map[string]string, configure func(plan *PlatformPlan)) (breaches []platform.Breach, report string) {
	is := is.New(t)
	workDir, err := os.Getwd()
	is.NoErr(err)
	plan := &PlatformPlan{Site: platform.Deployments()["small"], WorkDir: workDir, Dir: fleettest.TempDir(t, "/dev/shm"), Commands: commands, TrafficDuration: 6 * time.Second, RateFactor: 1, Seed: 1, SetUpTimeout: time.Minute}
	if configure != nil {
		configure(plan)
	}
	var out bytes.Buffer
	breaches, err = RunPlatform(context.Background(), plan, &out)
	t.Log(out.String())
	is.NoErr(err)
	return breaches, out.String()
}

// stubCommands returns the command lines that start the stub in the test binary.
func stubCommands(options string) map[string]string {
	commands := map[string]string{}
	for _, class := range []string{platform.ClassEdge, platform.ClassCore, platform.ClassStorage} {
		commands[class] = os.Args[0] + " stub " + class + " " + options
	}
	return commands
}

// parseEvents parses events in the form of the command line.
func parseEvents(t *testing.T, specs ...string) []PlatformEvent {
	return base.Map(specs, func(spec string) PlatformEvent {
		event, err := ParsePlatformEvent(spec)
		is.New(t).NoErr(err)
		return event
	})
}

// TestConformingStubViolatesNoRule checks that a run with all kinds of events reports no
// violation for a system that follows the rules.
func TestConformingStubViolatesNoRule(t *testing.T) {
	is := is.New(t)
	breaches, report := runPlatform(t, stubCommands(""), func(plan *PlatformPlan) {
		plan.TrafficDuration, plan.ClosingFault, plan.Site.Bounds.Recovery = 9*time.Second, "kill_all", 5*time.Second
		plan.Events = parseEvents(t, "config_change@0.5", "config_race@1,count=2,gap=0.3", "bad_config@2,gap=0.1", "release:app@0.5,gap=0.3", "answer_lost@2+3,share=0.1",
			"garble@3+2,share=0.1", "answer_lost:model@2+3,share=0.05", "roll_term@3,share=0.5,gap=0.3", "node_kill@6+0.5", "node_freeze:core@5+0.5", "settings_hup@4", "burst@4+2,share=1.5",
			"retire@7+1", "worker_crash:app@7", "worker_slow@4+1", "worker_grey@1+2", "worker_flap@2+3,gap=0.6", "worker_forget@1+5,gap=0.2", "list_down@5+1")
	})
	is.Equal(fmt.Sprint(breaches), "[]")
	is.True(strings.Contains(report, "programs in time"))
	is.True(strings.Contains(report, "no rule broken"))
}

// TestFaultyStubViolationsAreDetected checks that the violations of a faulty system are
// reported for each rule.
func TestFaultyStubViolationsAreDetected(t *testing.T) {
	is := is.New(t)
	breaches, _ := runPlatform(t, stubCommands("sinful"), func(plan *PlatformPlan) {
		plan.RateFactor = 2
		for index := range plan.Site.Classes {
			plan.Site.Classes[index].RunawayProbability = 0.3
		}
		plan.Events = parseEvents(t, "config_change@0.2", "release:app@0.2,gap=0.1,share=1", "bad_config@5,gap=0.1")
	})
	counts := map[string]int{}
	for _, breach := range breaches {
		counts[breach.Rule]++
	}
	for _, rule := range []string{"MIXED", "ORDER", "UNASKED", "TWICE", "REFUSED", "LOST", "BUDGET", "CONFIG", "DRAIN"} {
		if counts[rule] == 0 {
			t.Errorf("no violation of %s among %v", rule, counts)
		}
	}
	is.True(len(breaches) > 0)
}

// TestMachineRunsAtMostOneProcess checks that two events that affect the same machine do
// not start two processes, that a removed machine does not start again, and that no
// process outlives the run.
func TestMachineRunsAtMostOneProcess(t *testing.T) {
	is := is.New(t)
	run := newPlatformRun(&PlatformPlan{Site: platform.Deployments()["small"], WorkDir: t.TempDir(), Dir: t.TempDir(), Seed: 1,
		Commands: map[string]string{platform.ClassStorage: os.Args[0] + " stub storage"}})
	run.listServer = &sockets.InstanceListServer{}
	m := run.addMachine(platform.ClassStorage, "zone-a", 1, true)
	is.NoErr(run.start(m))
	first := m.exited
	is.NoErr(run.start(m))
	is.True(m.exited == first && m.Running())
	is.NoErr(run.removeMachine(m))
	is.NoErr(run.start(m))
	is.True(!m.Running())
	_, exited := m.Wait(0)
	is.True(exited)
	run.listServer = nil
	run.stop()
}

// TestSignalOfTheTerminalReachesNoMachine guards against a run that reports its own processes
// as ended by themselves when it is stopped with Ctrl-C.
func TestSignalOfTheTerminalReachesNoMachine(t *testing.T) {
	is := is.New(t)
	process := &Process{Name: "sleeper"}
	is.NoErr(process.launch(exec.Command("sleep", "60"), filepath.Join(t.TempDir(), "log")))
	defer process.Kill()
	group, err := syscall.Getpgid(process.command.Process.Pid)
	is.NoErr(err)
	is.True(group != syscall.Getpgrp())
}

// TestParsePlatformEvent checks a valid event, and that invalid ones are rejected.
func TestParsePlatformEvent(t *testing.T) {
	is := is.New(t)
	event, err := ParsePlatformEvent("node_kill:store@5.5+3,wipe,count=2")
	is.NoErr(err)
	is.Equal(event, PlatformEvent{Kind: "node_kill", Target: "store", At: 5500 * time.Millisecond, Duration: 3 * time.Second, Count: 2, Interval: time.Second, WipeDisk: true})
	is.Equal(event.targetOr("edge"), platform.ClassStorage)
	is.Equal(event.endlessFault(), platform.FaultEndless(platform.EndlessEvents, 200))
	event, err = ParsePlatformEvent("worker_endless@3+15,form=one_chunk,status=500")
	is.NoErr(err)
	is.Equal(event.endlessFault(), platform.FaultEndless(platform.EndlessChunk, 500))
	for _, spec := range []string{"", "node_kill", "node_kill@x", "flood@3", "node_kill@3,wide", "node_kill@3+-1", "node_kill@3,count=0", "worker_endless@3,form=short", "worker_endless@3,status=99"} {
		_, err := ParsePlatformEvent(spec)
		is.True(err != nil)
	}
}

// daemonCommands returns the command lines of the project's daemons, built with the race
// detector.
func daemonCommands(t *testing.T) map[string]string {
	binDir, err := fleettest.BuildDaemons()
	is.New(t).NoErr(err)
	return map[string]string{platform.ClassEdge: binDir + "/fordseam-gateway platform", platform.ClassCore: binDir + "/fordseam-controller core",
		platform.ClassStorage: binDir + "/fordseam-controller storage"}
}

// TestFleetOnPlatformViolatesNoRule checks that the daemons violate no rule of the
// platform under planned work, worker faults and lost machines.
func TestFleetOnPlatformViolatesNoRule(t *testing.T) {
	for _, row := range []struct {
		name         string
		closingFault string
		events       []string
	}{
		{"planned work and worker faults", "", []string{"config_change@0.5", "config_race@1,count=2,gap=0.3", "bad_config@2,gap=0.1", "release:app@0.5,gap=0.3", "roll_term@2,gap=0.3",
			"settings_hup@5", "answer_lost@1+3,share=0.1", "garble@2+3,share=0.1", "answer_lost:model@2+2,share=0.05", "worker_forget@1+4,gap=0.2", "worker_crash:app@4"}},
		{"machines lost", "wipe", []string{"config_change@0.5", "node_kill@1+0.5", "node_freeze:core@2+2", "node_kill:storage@4.5+0.5,wipe", "after_ack_kill@8+0.5", "add_nodes@1"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			breaches, _ := runPlatform(t, daemonCommands(t), func(plan *PlatformPlan) {
				plan.TrafficDuration, plan.ClosingFault, plan.Events = 10*time.Second, row.closingFault, parseEvents(t, row.events...)
			})
			is.New(t).Equal(fmt.Sprint(breaches), "[]")
		})
	}
}
