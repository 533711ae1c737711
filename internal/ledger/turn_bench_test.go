// What a turn costs a store, by how many turns its program had before:
// processor time, bytes of the replies, and bytes in the log.
package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/disk"
	"fordseam/internal/ledger"
	"fordseam/internal/register"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

const together = 64 // programs whose turns share syncs

func BenchmarkTurnAtAStore(b *testing.B) {
	for _, depth := range []int{1, 20, 100, 200} {
		b.Run(fmt.Sprintf("after %d turns", depth), func(b *testing.B) {
			is := is.New(b)
			files, err := disk.OpenFolder(b.TempDir(), 4<<30)
			is.NoErr(err)
			bounds := &base.Table[base.Bounds]{}
			bounds.Swap(base.DefaultBounds())
			set := &register.DiskSet{Stamp: 1, Cluster: "c", Disks: []*register.DiskEntry{{Id: "d0", Addr: "a:1"}, {Id: "d1", Addr: "b:1"}, {Id: "d2", Addr: "c:1"}}}
			store, err := ledger.OpenStore(ledger.StoreConfig{Clock: base.NewRealClock(), Files: files, Bounds: bounds, Counters: base.NewCounters(), FaultTolerance: 1,
				LocalDisk: func() (string, *register.DiskSet) { return "d0", set }})
			is.NoErr(err)
			defer store.Close()
			ctx := context.Background()
			target := &ledger.Target{Disk: "d0", Stamp: 1}
			var mu sync.Mutex
			replies := 0
			begin := func(program string, number int) *ledger.Assignment {
				claim := &ledger.Assignment{Session: "s", Owner: "10.0.0.1:7000/0123456789abcdef", Run: "run-" + program, Epoch: 1, Confirmed: number > 1}
				reply, err := store.Begin(ctx, &ledger.BeginRequest{Target: target, Program: program, Claim: claim, Turn: fmt.Sprintf("%s-turn-%04d", program, number),
					Previous: fmt.Sprintf("%s-turn-%04d", program, number-1), Budgeted: true, Most: 500, KeepMs: 600000})
				if err != nil || reply.Ack.Why != "" {
					b.Error(err, reply)
				}
				mu.Lock()
				replies += proto.Size(reply)
				mu.Unlock()
				return claim
			}
			turn := func(program string, number int) {
				claim := begin(program, number)
				reply, err := store.Finish(ctx, &ledger.FinishRequest{Target: target, Program: program, Claim: claim, Turn: fmt.Sprintf("%s-turn-%04d", program, number),
					Previous: fmt.Sprintf("%s-turn-%04d", program, number-1), Input: make([]byte, 4096), Output: make([]byte, 2048), Budgeted: true, Tokens: 300, KeepMs: 600000})
				if err != nil || reply.Ack.Why != "" {
					b.Error(err, reply)
				}
			}
			const turns = 4
			var used time.Duration
			rounds, former := 0, int64(0)
			var stored int64
			for b.Loop() {
				b.StopTimer()
				rounds++
				all := func(do func(program string)) {
					var wait sync.WaitGroup
					for place := range together {
						wait.Add(1)
						go func() {
							defer wait.Done()
							do(fmt.Sprintf("program-%04d-%04d", rounds, place))
						}()
					}
					wait.Wait()
				}
				all(func(program string) {
					for number := 1; number < depth; number++ {
						turn(program, number)
					}
				})
				replies = 0
				described, _ := store.Describe(ctx, nil)
				former = described.LogBytes
				before := processorTime()
				b.StartTimer()
				all(func(program string) {
					for number := depth; number < depth+turns; number++ {
						turn(program, number)
					}
				})
				b.StopTimer()
				used += processorTime() - before
				described, _ = store.Describe(ctx, nil)
				stored = described.LogBytes - former
				b.StartTimer()
			}
			count := float64(rounds * together * turns)
			b.ReportMetric(float64(used.Microseconds())/count, "cpu-us/turn")
			b.ReportMetric(float64(replies)/float64(together*turns), "begin-reply-bytes")
			b.ReportMetric(float64(stored)/float64(together*turns), "log-bytes/turn")
			b.ReportMetric(0, "ns/op")
		})
	}
}
