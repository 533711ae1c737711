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

// concurrentPrograms is the number of programs whose turns run at the same time and
// share syncs.
const concurrentPrograms = 64

// BenchmarkStoreTurn measures what a turn costs a store by the number of turns that
// its program had before: processor time, bytes of Begin's replies, bytes in the log.
func BenchmarkStoreTurn(b *testing.B) {
	for _, depth := range []int{1, 20, 100, 200} {
		b.Run(fmt.Sprintf("after %d turns", depth), func(b *testing.B) {
			is := is.New(b)
			files, err := disk.OpenFolder(b.TempDir(), 4<<30)
			is.NoErr(err)
			bounds := &base.AtomicPointer[base.Bounds]{}
			bounds.Store(base.DefaultBounds())
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
			rounds, logBytesBefore := 0, int64(0)
			var stored int64
			for b.Loop() {
				b.StopTimer()
				rounds++
				forEach := func(do func(program string)) {
					var wait sync.WaitGroup
					for i := range concurrentPrograms {
						wait.Add(1)
						go func() {
							defer wait.Done()
							do(fmt.Sprintf("program-%04d-%04d", rounds, i))
						}()
					}
					wait.Wait()
				}
				forEach(func(program string) {
					for number := 1; number < depth; number++ {
						turn(program, number)
					}
				})
				replies = 0
				described, _ := store.Describe(ctx, nil)
				logBytesBefore = described.LogBytes
				before := processorTime()
				b.StartTimer()
				forEach(func(program string) {
					for number := depth; number < depth+turns; number++ {
						turn(program, number)
					}
				})
				b.StopTimer()
				used += processorTime() - before
				described, _ = store.Describe(ctx, nil)
				stored = described.LogBytes - logBytesBefore
				b.StartTimer()
			}
			count := float64(rounds * concurrentPrograms * turns)
			b.ReportMetric(float64(used.Microseconds())/count, "cpu-us/turn")
			b.ReportMetric(float64(replies)/float64(concurrentPrograms*turns), "begin-reply-bytes")
			b.ReportMetric(float64(stored)/float64(concurrentPrograms*turns), "log-bytes/turn")
			b.ReportMetric(0, "ns/op")
		})
	}
}
