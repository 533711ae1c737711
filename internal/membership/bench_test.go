// What a look at the view costs, by its size.
package membership

import (
	"context"
	"fmt"
	"testing"

	"fordseam/internal/base"
)

func viewOf(nodes int) *View {
	bounds := &base.Table[base.Bounds]{}
	bounds.Swap(base.DefaultBounds())
	v := NewView(base.NewRealClock(), nil, bounds, base.NewCounters(), &Member{Id: "10.0.0.1:1/me", Addr: "10.0.0.1:1", Role: RoleGateway, Zone: "a"}, nil, nil)
	message := &ShuffleMessage{}
	for place := 1; place < nodes; place++ {
		role := RoleGateway
		if place%20 == 0 {
			role = RoleCore
		}
		addr := fmt.Sprintf("10.0.%d.%d:1", place/250, place%250+2)
		message.Members = append(message.Members, &Member{Id: addr + "/one", Addr: addr, Role: role, Zone: "a", Incarnation: 1})
	}
	_, _ = v.Shuffle(context.Background(), message)
	return v
}

func BenchmarkPresent(b *testing.B) {
	for _, nodes := range []int{14, 40, 96} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			v := viewOf(nodes)
			b.ReportAllocs()
			for b.Loop() {
				_ = len(v.Live(RoleGateway))
			}
		})
	}
}

func BenchmarkFind(b *testing.B) {
	v := viewOf(96)
	b.ReportAllocs()
	for b.Loop() {
		v.Find("10.0.0.5:1/one")
	}
}

func BenchmarkPresentWhileViewsChange(b *testing.B) {
	v := viewOf(96)
	b.ReportAllocs()
	for b.Loop() {
		v.Suspected("10.0.0.5:1/one")
		_ = len(v.Live(RoleGateway))
	}
}

// Suspected flips this node's doubt of a member.
func (v *View) Suspected(id string) {
	if !v.doubt(id) {
		v.trust(id)
	}
}
