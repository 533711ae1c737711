// Clusters stay apart whose machines come to each other's addresses.
package membership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
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
			v := NewView(base.NewRealClock(), nil, bounds, base.NewCounters(), &Member{Id: "me", Addr: "me:1", Role: RoleGateway}, nil, nil)
			v.SetCluster(row.mine)
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
	count := func() int { return len(v.Live(RoleGateway)) }
	all := count()
	v.doubt(id)
	_, alive := v.Find(id)
	is.Equal(alive, false)
	is.Equal(count(), all-1)
	is.Equal(len(v.Known(RoleGateway)), all)
	v.trust(id)
	is.Equal(count(), all)
	v.mu.Lock()
	v.suspectPublicly(v.known[id], 1)
	v.mu.Unlock()
	is.Equal(count(), all)
	v.clock.Sleep(v.suspicionHolds() + v.suspicionHolds()/10)
	is.Equal(count(), all-1)
	v.mu.Lock()
	v.endLife(id, 1)
	v.mu.Unlock()
	is.Equal(len(v.Known(RoleGateway)), all-1)
	v.setUnwell("busy")
	is.Equal(v.Self().Unwell, "busy")
}

func newView(t *testing.T, zone string) *View {
	t.Helper()
	bounds := &base.Table[base.Bounds]{}
	bounds.Swap(base.DefaultBounds())
	return NewView(base.NewRealClock(), nil, bounds, base.NewCounters(), &Member{Id: "me:1/a", Addr: "me:1", Role: RoleGateway, Zone: zone}, nil, nil)
}

func said(t *testing.T, v *View, members ...*Member) *ShuffleMessage {
	t.Helper()
	reply, err := v.Shuffle(context.Background(), &ShuffleMessage{Members: members})
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// The word of whoever lives at an address ends the former life there, and a
// late message of that life brings it back nowhere.
func TestFormerLifeEndsAtOnce(t *testing.T) {
	is := is.New(t)
	v := newView(t, "z")
	former := func() *Member { return &Member{Id: "other:1/a", Role: RoleCore, Incarnation: 3} }
	said(t, v, former())
	said(t, v, &Member{Id: "other:1/b", Role: RoleCore, Incarnation: 1})
	_, alive := v.Find("other:1/a")
	is.True(!alive)
	_, alive = v.Find("other:1/b")
	is.True(alive)
	said(t, v, former())
	_, alive = v.Find("other:1/a")
	is.True(!alive)
	_, alive = v.Find("other:1/b")
	is.True(alive)

	third := newView(t, "z")
	said(t, third, former())
	reply := said(t, v, &Member{Id: "third:1/a", Role: RoleGateway, Incarnation: 1})
	third.merge(reply, "")
	_, alive = third.Find("other:1/a")
	is.True(!alive)
	_, alive = third.Find("other:1/b")
	is.True(alive)
}

// A suspicion is refuted by a higher incarnation only, and is told to the one
// it is about.
func TestSuspicionIsRefuted(t *testing.T) {
	is := is.New(t)
	v := newView(t, "z")
	said(t, v, &Member{Id: "other:1/a", Role: RoleGateway, Incarnation: 1}, &Member{Id: "me:1/a", Incarnation: 1, State: State_SUSPECTED})
	is.Equal(v.Self().Incarnation, uint64(2))
	v.doubt("other:1/a")
	_, alive := v.Find("other:1/a")
	is.True(!alive)
	v.mu.Lock()
	v.suspectPublicly(v.known["other:1/a"], 1)
	v.mu.Unlock()
	reply := said(t, v, &Member{Id: "other:1/a", Incarnation: 1})
	is.Equal(reply.Members[1].Id, "other:1/a")
	is.Equal(reply.Members[1].State, State_SUSPECTED)
	said(t, v, &Member{Id: "other:1/a", Role: RoleGateway, Incarnation: 2})
	_, alive = v.Find("other:1/a")
	is.True(alive)
}

// News is passed on a bounded number of times, and an idle message is small.
func TestNewsEnds(t *testing.T) {
	is := is.New(t)
	v := newView(t, "z")
	said(t, v, &Member{Id: "other:1/a", Role: RoleGateway, Incarnation: 1})
	told := 0
	for range 100 {
		for _, member := range v.message("", false, nil).Members {
			if member.Id == "other:1/a" {
				told++
			}
		}
	}
	is.True(told > 0)
	is.True(told <= v.times())
	v.known["other:1/a"].holds = 1
	is.True(proto.Size(v.message("other:1/a", false, nil)) < 40)
}

// Two of three partners are of the own zone, and all others are met too.
func TestPartnersAreMostlyNear(t *testing.T) {
	is := is.New(t)
	v := newView(t, "z0")
	for place := range 12 {
		addr := fmt.Sprintf("other-%d:1", place)
		said(t, v, &Member{Id: addr + "/a", Addr: addr, Role: RoleGateway, Zone: fmt.Sprint("z", place%3), Incarnation: 1})
	}
	near, met := 0, map[string]bool{}
	for range 300 {
		partner, _, _ := v.pickPartners()
		member, _ := v.Find(partner)
		met[partner] = true
		if member.Zone == "z0" {
			near++
		}
	}
	is.Equal(near, 200)
	is.Equal(len(met), 12)
}

// Whether a member answered this node is this node's own finding: the word of
// others that it lives takes back a doubt, not this.
func TestUnheardIsANodesOwnFinding(t *testing.T) {
	is := is.New(t)
	bounds := &base.Table[base.Bounds]{}
	bounds.Swap(base.DefaultBounds())
	v := NewView(base.NewRealClock(), nil, bounds, base.NewCounters(), &Member{Id: "me:1/a", Addr: "me:1", Role: RoleCore}, nil, nil)
	const id = "other:1/a"
	_, err := v.Shuffle(context.Background(), &ShuffleMessage{Members: []*Member{{Id: id, Addr: "other:1", Role: RoleCore, Incarnation: 1}}})
	is.NoErr(err)
	is.True(!v.Unanswered(id, time.Hour))
	v.hear(id, false)
	v.doubt(id)
	v.trust(id)
	_, alive := v.Find(id)
	is.True(alive)
	is.True(v.Unanswered(id, time.Hour))
	is.True(!v.Unanswered(id, -1)) // found longer ago than that
	v.hear(id, true)
	is.True(!v.Unanswered(id, time.Hour))
	is.True(!v.Unanswered("nobody", time.Hour))
}
