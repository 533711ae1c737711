package feed

import (
	"fmt"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// BenchmarkApplyOneChange measures applying one changed key, by the number of
// keys.
func BenchmarkApplyOneChange(b *testing.B) {
	for _, keys := range []int{72, 650, 2600} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			bounds := &base.AtomicPointer[base.Bounds]{}
			bounds.Store(base.DefaultBounds())
			f := NewFollower(base.NewRealClock(), nil, nil, nil, bounds, base.NewCounters(), func(*Snapshot) {})
			first := &FollowReply{Place: 1, Frame: true}
			for i := range keys {
				first.Puts = append(first.Puts, &register.Put{Key: fmt.Sprintf("feed/roster/instance-%05d", i), Value: make([]byte, 70)})
			}
			f.applyReply(first, 0)
			i := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				i++
				f.applyReply(&FollowReply{Place: i, Puts: first.Puts[:1]}, 0)
			}
		})
	}
}
