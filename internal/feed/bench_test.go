// Taking one change of the feed, by the number of keys.
package feed

import (
	"fmt"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

func BenchmarkTakeOneChange(b *testing.B) {
	for _, keys := range []int{72, 650, 2600} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			bounds := &base.Table[base.Bounds]{}
			bounds.Swap(base.DefaultBounds())
			f := NewFollower(base.NewRealClock(), nil, nil, nil, bounds, base.NewCounters(), func(*Snapshot) {})
			first := &FollowReply{Place: 1, Frame: true}
			for place := range keys {
				first.Puts = append(first.Puts, &register.Put{Key: fmt.Sprintf("feed/roster/instance-%05d", place), Value: make([]byte, 70)})
			}
			f.take(first, 0)
			place := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				place++
				f.take(&FollowReply{Place: place, Puts: first.Puts[:1]}, 0)
			}
		})
	}
}
