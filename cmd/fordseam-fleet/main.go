// Command fordseam-fleet runs a whole fleet on one machine, with simulated workers
// and callers, and reports what these observed.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/fleet"
	"fordseam/internal/node"
	"fordseam/internal/standin"

	"github.com/urfave/cli/v3"
)

func main() {
	commonFlags := func() []cli.Flag {
		return []cli.Flag{
			&cli.StringFlag{Name: "shape", Value: "kiondo", Usage: "`SHAPE`: kiondo, ljubljana or small"},
			&cli.StringFlag{Name: "folder", Value: "fleet-data", Usage: "`FOLDER` for data and logs; its content is deleted first"},
			&cli.IntFlag{Name: "pieces", Value: 8, Usage: "number of `PIECES` in a model's answer"},
			&cli.DurationFlag{Name: "gap", Value: 10 * time.Millisecond, Usage: "`TIME` between pieces"},
		}
	}
	command := &cli.Command{
		Name: "fordseam-fleet", Version: node.Version,
		Usage: "run a whole fleet on this machine's loopback addresses",
		Commands: []*cli.Command{
			{Name: "up", Usage: "start a fleet and run it until interrupted", Flags: commonFlags(), Action: up},
			{Name: "run", Usage: "start a fleet, run conversations, optionally kill machines, and report", Action: run,
				Flags: append(commonFlags(),
					&cli.IntFlag{Name: "callers", Value: 24, Usage: "number of concurrent `CALLERS`"},
					&cli.IntFlag{Name: "conversations", Value: 4, Usage: "number of `CONVERSATIONS` of each caller"},
					&cli.StringSliceFlag{Name: "kill", Usage: "kill a machine and restart it 5 s later, as `NAME@SECONDS`, such as edge-2@3"},
					&cli.BoolFlag{Name: "json", Usage: "print JSON"})},
			{Name: "chaos", Usage: "start a fleet and run a scripted chaos scenario under load", Action: chaos,
				Flags: append(commonFlags(),
					&cli.IntFlag{Name: "callers", Value: 24, Usage: "number of concurrent `CALLERS`"},
					&cli.BoolFlag{Name: "json", Usage: "print JSON"})},
			platformCommand(),
			soakCommand(),
			daysCommand(),
		},
	}
	node.Main(command, os.Args)
}

// startFleet starts the machines and the simulated workers, and forms the cluster.
func startFleet(command *cli.Command) (*fleet.Fleet, *fleet.Workers, error) {
	shape, ok := fleet.Shapes[command.String("shape")]
	if !ok {
		return nil, nil, cli.Exit("shape: must be kiondo, ljubljana or small", node.ExitUsage)
	}
	folder := command.String("folder")
	if err := fleet.PrepareDir(folder); err != nil {
		return nil, nil, cli.Exit("folder: "+err.Error(), node.ExitUsage)
	}
	executable, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	f, err := fleet.New(shape, folder, filepath.Dir(executable), rand.IntN(50000))
	if err != nil {
		return nil, nil, err
	}
	parties, err := f.StartWorkers(command.Int("pieces"), command.Duration("gap"))
	if err != nil {
		return nil, nil, err
	}
	if err := f.SetUp(parties, 30*time.Second); err != nil {
		f.Stop()
		return nil, nil, err
	}
	return f, parties, nil
}

func up(_ context.Context, command *cli.Command) error {
	f, _, err := startFleet(command)
	if err != nil {
		return err
	}
	defer f.Stop()
	for _, process := range f.All() {
		fmt.Printf("%-10s zone %-8s  internal %-22s  public %s\n", process.Name, process.Zone, process.Addr, process.PublicAddr)
	}
	fmt.Println("fleet is running; press Ctrl-C to stop")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return nil
}

// runAndReport starts a fleet, exercises it and reports what the workers and
// callers observed. exercise returns the counters from before the load, or nil if
// they cannot be compared with those after it.
func runAndReport(command *cli.Command, exercise func(f *fleet.Fleet, parties *fleet.Workers, tally *standin.Tally) (before map[string]int64, err error)) error {
	f, parties, err := startFleet(command)
	if err != nil {
		return err
	}
	defer f.Stop()
	defer parties.Stop()
	tally, clock := standin.NewTally(), base.NewRealClock()
	before, err := exercise(f, parties, tally)
	if err != nil {
		return err
	}
	elapsed := clock.Now()
	tally.CheckWorkers(parties.Models, parties.Tools, int64(command.Int("pieces")))
	return f.WriteReport(os.Stdout, tally, parties, before, elapsed, command.Bool("json"))
}

func run(_ context.Context, command *cli.Command) error {
	return runAndReport(command, func(f *fleet.Fleet, _ *fleet.Workers, tally *standin.Tally) (map[string]int64, error) {
		for _, plan := range command.StringSlice("kill") {
			if err := scheduleKill(f, plan); err != nil {
				return nil, err
			}
		}
		before, conversations := f.CounterTotals(), command.Int("conversations")
		f.RunCallers(tally, command.Int("callers"), command.Int("pieces"), 0, func(round int) bool { return round < conversations })
		return before, nil
	})
}

func chaos(_ context.Context, command *cli.Command) error {
	return runAndReport(command, func(f *fleet.Fleet, parties *fleet.Workers, tally *standin.Tally) (map[string]int64, error) {
		return nil, f.RunChaos(parties, tally, command.Int("callers"), command.Int("pieces"), os.Stderr)
	})
}

// scheduleKill kills the machine in a plan NAME@SECONDS after that time, and
// restarts it 5 s later.
func scheduleKill(f *fleet.Fleet, plan string) error {
	var name string
	var seconds float64
	for index := len(plan) - 1; index > 0; index-- {
		if plan[index] == '@' {
			name = plan[:index]
			if _, err := fmt.Sscanf(plan[index+1:], "%f", &seconds); err != nil {
				name = ""
			}
			break
		}
	}
	for _, process := range f.All() {
		if process.Name == name {
			time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() {
				process.Kill()
				time.AfterFunc(5*time.Second, func() { _ = f.Start(process) })
			})
			return nil
		}
	}
	return cli.Exit(fmt.Sprintf("kill: must be NAME@SECONDS with the name of a machine, is %q", plan), node.ExitUsage)
}
