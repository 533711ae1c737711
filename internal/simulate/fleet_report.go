package simulate

import (
	"fmt"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin"
)

// StartUsageReports makes each model worker report its load at an interval, to one gateway
// after another.
func (f *Fleet) StartUsageReports(interval time.Duration) {
	ask := f.RequestSender(f.CallerHost)
	for _, model := range f.Models {
		f.CallerHost.Go(func() {
			for gateway := int(f.World.Int64N(int64(len(f.Gateways)))); ; gateway++ {
				f.CallerHost.Clock().Sleep(interval)
				if f.World.Hosts[model.ID].alive {
					_, _ = ask(gateway, "POST", "/v1/platform/workers/"+model.ID+"/usage", nil, base.MustMarshal(f.usageReport(model.ID)))
				}
			}
		})
	}
}

// StartCallers starts callers and returns a function that returns how many have not
// finished.
func (f *Fleet) StartCallers(callers, turns int, tools bool, prepare func(*standin.Caller)) func() int {
	remaining := callers
	for caller := 0; caller < callers; caller++ {
		c := f.caller(fmt.Sprintf("c%d", caller), caller)
		if prepare != nil {
			prepare(c)
		}
		f.CallerHost.Go(func() {
			if c.Start(int64(turns * f.Shape.PiecesPerTurn * 8)) {
				c.RunConversation(turns, tools)
			}
			remaining--
		})
	}
	return func() int { return remaining }
}

// CounterTotal returns the sum of a counter over all machines.
func (f *Fleet) CounterTotal(name string) int64 {
	total := int64(0)
	for _, m := range f.All() {
		total += m.Counters.Snapshot()[name]
	}
	return total
}

// SyncTotal returns the number of syncs of all storage machines' disks.
func (f *Fleet) SyncTotal() int {
	total := 0
	for _, m := range f.Storage {
		total += m.Disk.SyncCount
	}
	return total
}

// CheckInvariants checks the callers' and workers' records and returns all breaches.
func (f *Fleet) CheckInvariants() []string {
	f.Tally.CheckWorkers(f.Models, f.Tools, int64(f.Shape.PiecesPerTurn))
	return f.Tally.Breaches
}
