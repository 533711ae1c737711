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

// TestReadersSeeEachChange: what readers are shown follows every change at
// once, and a suspicion that nobody refutes counts by itself after a while.
func TestReadersSeeEachChange(t *testing.T) {
	is := is.New(t)
	v := viewOf(40)
	id := "10.0.0.5:1/one"
	count := func() int { return len(v.Present(RoleEdge)) }
	all := count()
	v.doubt(id)
	_, alive := v.Find(id)
	is.Equal(alive, false)
	is.Equal(count(), all-1)
	is.Equal(len(v.Known(RoleEdge)), all)
	v.trust(id)
	is.Equal(count(), all)
	v.mu.Lock()
	v.accuse(v.known[id], 1)
	v.mu.Unlock()
	is.Equal(count(), all)
	v.clock.Sleep(v.ripens() + v.ripens()/10)
	is.Equal(count(), all-1)
	v.mu.Lock()
	v.bury(id, 1)
	v.mu.Unlock()
	is.Equal(len(v.Known(RoleEdge)), all-1)
	v.mend("busy")
	is.Equal(v.Self().Unwell, "busy")
}
