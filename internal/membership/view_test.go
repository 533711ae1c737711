// Clusters stay apart whose machines come to each other's addresses.
package membership

import (
	"context"
	"testing"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

func TestClustersStayApart(t *testing.T) {
	for _, row := range []struct {
		name, mine, theirs string
		asked              bool
		known              bool
		after              string
	}{
		{"of one cluster", "a", "a", false, true, "a"},
		{"a new machine that knows none", "a", "", false, true, "a"},
		{"another cluster comes", "a", "b", false, false, "a"},
		{"another cluster answers", "a", "b", true, false, "a"},
		{"a cluster comes to one that knows none", "", "b", false, true, "b"},
		{"a cluster answers one that knows none", "", "b", true, true, "b"},
		{"before there is a cluster", "", "", false, true, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			bounds := &base.Table[base.Bounds]{}
			bounds.Swap(base.DefaultBounds())
			v := NewView(base.NewRealClock(), nil, bounds, base.NewCounters(), &Member{Id: "me", Addr: "me:1", Role: RoleEdge}, nil, nil)
			v.Pin(row.mine)
			message := &ShuffleMessage{Cluster: row.theirs, Members: []*Member{{Id: "other", Addr: "other:1", Role: RoleCore, Incarnation: 1}}}
			if row.asked {
				v.merge(message, "other:1")
			} else {
				reply, err := v.Shuffle(context.Background(), message)
				is.NoErr(err)
				is.Equal(reply.Cluster, row.mine)
			}
			_, alive := v.Find("other")
			is.Equal(alive, row.known)
			is.Equal(v.message("", false, nil).Cluster, row.after)
		})
	}
}
