package membership

import (
	"context"
	"fmt"
	"testing"

	"fordseam/internal/base"
)

// newViewWithMembers returns a view of a fleet of the given size, with a core
// in every twenty nodes.
func newViewWithMembers(nodes int) *View {
	bounds := &base.AtomicPointer[base.Bounds]{}
	bounds.Store(base.DefaultBounds())
	v := NewView(base.NewRealClock(), nil, bounds, base.NewCounters(), &Member{Id: "10.0.0.1:1/me", Addr: "10.0.0.1:1", Role: RoleGateway, Zone: "a"}, nil, nil)
	message := &ShuffleMessage{}
	for i := 1; i < nodes; i++ {
		role := RoleGateway
		if i%20 == 0 {
			role = RoleCore
		}
		addr := fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+2)
		message.Members = append(message.Members, &Member{Id: addr + "/one", Addr: addr, Role: role, Zone: "a", Incarnation: 1})
	}
	_, _ = v.Shuffle(context.Background(), message)
	return v
}

// BenchmarkLive measures reading an unchanged view by its size.
func BenchmarkLive(b *testing.B) {
	for _, nodes := range []int{14, 40, 96} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			v := newViewWithMembers(nodes)
			b.ReportAllocs()
			for b.Loop() {
				_ = len(v.Live(RoleGateway))
			}
		})
	}
}

func BenchmarkFind(b *testing.B) {
	v := newViewWithMembers(96)
	b.ReportAllocs()
	for b.Loop() {
		v.Find("10.0.0.5:1/one")
	}
}

// BenchmarkLiveWhileSuspicionsChange rebuilds the snapshot for each read.
func BenchmarkLiveWhileSuspicionsChange(b *testing.B) {
	v := newViewWithMembers(96)
	b.ReportAllocs()
	for b.Loop() {
		v.toggleSuspicion("10.0.0.5:1/one")
		_ = len(v.Live(RoleGateway))
	}
}

// toggleSuspicion starts or ends this node's suspicion of a member.
func (v *View) toggleSuspicion(id string) {
	if !v.suspectLocally(id) {
		v.clearLocalSuspicion(id)
	}
}
