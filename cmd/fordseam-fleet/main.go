// fordseam-fleet runs a whole fleet on one machine, with stand-in workers
// and callers, and reports what they saw.
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
	shared := func() []cli.Flag {
		return []cli.Flag{
			&cli.StringFlag{Name: "shape", Value: "kiondo", Usage: "`SHAPE`: kiondo, ljubljana or small"},
			&cli.StringFlag{Name: "folder", Value: "fleet-data", Usage: "`FOLDER` for data and logs; emptied first"},
			&cli.IntFlag{Name: "pieces", Value: 8, Usage: "`PIECES` in a model's answer"},
			&cli.DurationFlag{Name: "gap", Value: 10 * time.Millisecond, Usage: "`TIME` between pieces"},
		}
	}
	command := &cli.Command{
		Name: "fordseam-fleet", Version: node.Version,
		Usage: "run a whole fleet on this machine's loopback addresses",
		Commands: []*cli.Command{
			{Name: "up", Usage: "start a fleet and keep it until interrupted", Flags: shared(), Action: up},
			{Name: "run", Usage: "start a fleet, let callers converse, kill a machine now and then, report", Action: run,
				Flags: append(shared(),
					&cli.IntFlag{Name: "callers", Value: 24, Usage: "`CALLERS` at once"},
					&cli.IntFlag{Name: "conversations", Value: 4, Usage: "`CONVERSATIONS` each"},
					&cli.StringSliceFlag{Name: "kill", Usage: "kill and later restart a machine, as `NAME@SECONDS`, such as edge-2@3"},
					&cli.BoolFlag{Name: "json", Usage: "print JSON"})},
			{Name: "chaos", Usage: "start a fleet and put it through a scripted chaos scenario under load", Action: chaos,
				Flags: append(shared(),
					&cli.IntFlag{Name: "callers", Value: 24, Usage: "`CALLERS` at once"},
					&cli.BoolFlag{Name: "json", Usage: "print JSON"})},
			platformCommand(),
			daysCommand(),
		},
	}
	node.Main(command, os.Args)
}

func start(command *cli.Command) (*fleet.Fleet, *fleet.Workers, error) {
	shape, ok := fleet.Shapes[command.String("shape")]
	if !ok {
		return nil, nil, cli.Exit("shape: must be kiondo, ljubljana or small", node.ExitUsage)
	}
	folder := command.String("folder")
	if err := fleet.PrepareFolder(folder); err != nil {
		return nil, nil, cli.Exit("folder: "+err.Error(), node.ExitUsage)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	f, err := fleet.New(shape, folder, filepath.Dir(self), rand.IntN(50000))
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
	f, _, err := start(command)
	if err != nil {
		return err
	}
	defer f.Stop()
	for _, p := range f.All() {
		fmt.Printf("%-10s zone %-8s  partners %-22s  public %s\n", p.Name, p.Zone, p.Addr, p.PublicAddr)
	}
	fmt.Println("running; interrupt to stop")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return nil
}

// observed starts a fleet, puts it through something, and reports what the
// parties saw; through gives the counts from before, if they can be compared.
func observed(command *cli.Command, through func(f *fleet.Fleet, parties *fleet.Workers, tally *standin.Tally) (before map[string]int64, err error)) error {
	f, parties, err := start(command)
	if err != nil {
		return err
	}
	defer f.Stop()
	defer parties.Stop()
	tally, clock := standin.NewTally(), base.NewRealClock()
	before, err := through(f, parties, tally)
	if err != nil {
		return err
	}
	took := clock.Now()
	tally.Check(parties.Models, parties.Tools, int64(command.Int("pieces")))
	return f.WriteReport(os.Stdout, tally, parties, before, took, command.Bool("json"))
}

func run(_ context.Context, command *cli.Command) error {
	return observed(command, func(f *fleet.Fleet, _ *fleet.Workers, tally *standin.Tally) (map[string]int64, error) {
		for _, plan := range command.StringSlice("kill") {
			if err := killLater(f, plan); err != nil {
				return nil, err
			}
		}
		before, conversations := f.CounterTotals(), command.Int("conversations")
		f.RunCallers(tally, command.Int("callers"), command.Int("pieces"), 0, func(round int) bool { return round < conversations })
		return before, nil
	})
}

func chaos(_ context.Context, command *cli.Command) error {
	return observed(command, func(f *fleet.Fleet, parties *fleet.Workers, tally *standin.Tally) (map[string]int64, error) {
		return nil, f.RunChaos(parties, tally, command.Int("callers"), command.Int("pieces"), os.Stderr)
	})
}

func killLater(f *fleet.Fleet, plan string) error {
	var name string
	var seconds float64
	for place := len(plan) - 1; place > 0; place-- {
		if plan[place] == '@' {
			name = plan[:place]
			if _, err := fmt.Sscanf(plan[place+1:], "%f", &seconds); err != nil {
				name = ""
			}
			break
		}
	}
	for _, p := range f.All() {
		if p.Name == name {
			time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() {
				p.Kill()
				time.AfterFunc(5*time.Second, func() { _ = f.Start(p) })
			})
			return nil
		}
	}
	return cli.Exit(fmt.Sprintf("kill: %q must be NAME@SECONDS with a machine's name", plan), node.ExitUsage)
}
