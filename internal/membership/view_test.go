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

// Machines of different clusters may get each other's former addresses. A node
// that knows its cluster must drop messages of another one.
func TestClustersStayApart(t *testing.T) {
	for _, row := range []struct {
		name, own, sender string
		isReply           bool
		accepted          bool
		ownAfter          string
	}{
		{"same cluster", "a", "a", false, true, "a"},
		{"from a node without a cluster yet", "a", "", false, true, "a"},
		{"message from another cluster", "a", "b", false, false, "a"},
		{"reply from another cluster", "a", "b", true, false, "a"},
		{"message to a node without a cluster yet", "", "b", false, true, "b"},
		{"reply to a node without a cluster yet", "", "b", true, true, "b"},
		{"neither has a cluster yet", "", "", false, true, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			bounds := &base.AtomicPointer[base.Bounds]{}
			bounds.Store(base.DefaultBounds())
			v := NewView(base.NewRealClock(), nil, bounds, base.NewCounters(), &Member{Id: "me", Addr: "me:1", Role: RoleGateway}, nil, nil)
			v.SetCluster(row.own)
			message := &ShuffleMessage{Cluster: row.sender, Members: []*Member{{Id: "other", Addr: "other:1", Role: RoleCore, Incarnation: 1}}}
			if row.isReply {
				v.merge(message, "other:1")
			} else {
				reply, err := v.Shuffle(context.Background(), message)
				is.NoErr(err)
				is.Equal(reply.Cluster, row.own)
			}
			_, alive := v.Find("other")
			is.Equal(alive, row.accepted)
			is.Equal(v.buildMessage("", false, nil).Cluster, row.ownAfter)
		})
	}
}

// TestSnapshotReflectsEachChange: readers see every change at once, and a
// shared suspicion that is not refuted takes effect with time, without another
// event.
func TestSnapshotReflectsEachChange(t *testing.T) {
	is := is.New(t)
	v := newViewWithMembers(40)
	id := "10.0.0.5:1/one"
	count := func() int { return len(v.Live(RoleGateway)) }
	total := count()
	v.suspectLocally(id)
	_, alive := v.Find(id)
	is.Equal(alive, false)
	is.Equal(count(), total-1)
	is.Equal(len(v.Known(RoleGateway)), total)
	v.clearLocalSuspicion(id)
	is.Equal(count(), total)
	v.mu.Lock()
	v.recordSharedSuspicion(v.known[id], 1)
	v.mu.Unlock()
	is.Equal(count(), total)
	v.clock.Sleep(v.suspicionTimeout() + v.suspicionTimeout()/10)
	is.Equal(count(), total-1)
	v.mu.Lock()
	v.markGone(id, 1)
	v.mu.Unlock()
	is.Equal(len(v.Known(RoleGateway)), total-1)
	v.setUnwell("busy")
	is.Equal(v.Self().Unwell, "busy")
}

func newView(t *testing.T, zone string) *View {
	t.Helper()
	bounds := &base.AtomicPointer[base.Bounds]{}
	bounds.Store(base.DefaultBounds())
	return NewView(base.NewRealClock(), nil, bounds, base.NewCounters(), &Member{Id: "me:1/a", Addr: "me:1", Role: RoleGateway, Zone: zone}, nil, nil)
}

func shuffle(t *testing.T, v *View, members ...*Member) *ShuffleMessage {
	t.Helper()
	reply, err := v.Shuffle(context.Background(), &ShuffleMessage{Members: members})
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// A node gets a new id when it restarts. Its first message must end the
// previous id at its address, here and at others, and a late message of the
// previous id must not bring that back.
func TestRestartEndsPreviousID(t *testing.T) {
	is := is.New(t)
	v := newView(t, "z")
	previous := func() *Member { return &Member{Id: "other:1/a", Role: RoleCore, Incarnation: 3} }
	shuffle(t, v, previous())
	shuffle(t, v, &Member{Id: "other:1/b", Role: RoleCore, Incarnation: 1})
	_, alive := v.Find("other:1/a")
	is.True(!alive)
	_, alive = v.Find("other:1/b")
	is.True(alive)
	shuffle(t, v, previous())
	_, alive = v.Find("other:1/a")
	is.True(!alive)
	_, alive = v.Find("other:1/b")
	is.True(alive)

	other := newView(t, "z")
	shuffle(t, other, previous())
	reply := shuffle(t, v, &Member{Id: "third:1/a", Role: RoleGateway, Incarnation: 1})
	other.merge(reply, "")
	_, alive = other.Find("other:1/a")
	is.True(!alive)
	_, alive = other.Find("other:1/b")
	is.True(alive)
}

// Only a higher incarnation refutes a suspicion, and the suspected member is
// notified of it so that it can do so.
func TestSuspicionIsRefuted(t *testing.T) {
	is := is.New(t)
	v := newView(t, "z")
	shuffle(t, v, &Member{Id: "other:1/a", Role: RoleGateway, Incarnation: 1}, &Member{Id: "me:1/a", Incarnation: 1, State: State_SUSPECTED})
	is.Equal(v.Self().Incarnation, uint64(2))
	v.suspectLocally("other:1/a")
	_, alive := v.Find("other:1/a")
	is.True(!alive)
	v.mu.Lock()
	v.recordSharedSuspicion(v.known["other:1/a"], 1)
	v.mu.Unlock()
	reply := shuffle(t, v, &Member{Id: "other:1/a", Incarnation: 1})
	is.Equal(reply.Members[1].Id, "other:1/a")
	is.Equal(reply.Members[1].State, State_SUSPECTED)
	shuffle(t, v, &Member{Id: "other:1/a", Role: RoleGateway, Incarnation: 2})
	_, alive = v.Find("other:1/a")
	is.True(alive)
}

// An update is passed on a bounded number of times, and a message without any
// is small.
func TestUpdatesAreSentBoundedTimes(t *testing.T) {
	is := is.New(t)
	v := newView(t, "z")
	shuffle(t, v, &Member{Id: "other:1/a", Role: RoleGateway, Incarnation: 1})
	sent := 0
	for range 100 {
		for _, member := range v.buildMessage("", false, nil).Members {
			if member.Id == "other:1/a" {
				sent++
			}
		}
	}
	is.True(sent > 0)
	is.True(sent <= v.maxSends())
	v.known["other:1/a"].knownSelfIncarnation = 1
	is.True(proto.Size(v.buildMessage("other:1/a", false, nil)) < 40)
}

// Two of three partners are in the node's own zone, and every member is picked
// some time.
func TestPartnersAreMostlyInSameZone(t *testing.T) {
	is := is.New(t)
	v := newView(t, "z0")
	for i := range 12 {
		addr := fmt.Sprintf("other-%d:1", i)
		shuffle(t, v, &Member{Id: addr + "/a", Addr: addr, Role: RoleGateway, Zone: fmt.Sprint("z", i%3), Incarnation: 1})
	}
	sameZone, picked := 0, map[string]bool{}
	for range 300 {
		partner, _, _ := v.pickPartner()
		member, _ := v.Find(partner)
		picked[partner] = true
		if member.Zone == "z0" {
			sameZone++
		}
	}
	is.Equal(sameZone, 200)
	is.Equal(len(picked), 12)
}

// Whether a member answered this node is this node's own finding: word from
// others that the member is alive clears the suspicion, but not this.
func TestUnansweredIsThisNodesOwnFinding(t *testing.T) {
	is := is.New(t)
	bounds := &base.AtomicPointer[base.Bounds]{}
	bounds.Store(base.DefaultBounds())
	v := NewView(base.NewRealClock(), nil, bounds, base.NewCounters(), &Member{Id: "me:1/a", Addr: "me:1", Role: RoleCore}, nil, nil)
	const id = "other:1/a"
	_, err := v.Shuffle(context.Background(), &ShuffleMessage{Members: []*Member{{Id: id, Addr: "other:1", Role: RoleCore, Incarnation: 1}}})
	is.NoErr(err)
	is.True(!v.Unanswered(id, time.Hour))
	v.recordAnswer(id, false)
	v.suspectLocally(id)
	v.clearLocalSuspicion(id)
	_, alive := v.Find(id)
	is.True(alive)
	is.True(v.Unanswered(id, time.Hour))
	is.True(!v.Unanswered(id, -1)) // it was found longer ago than that
	v.recordAnswer(id, true)
	is.True(!v.Unanswered(id, time.Hour))
	is.True(!v.Unanswered("nobody", time.Hour))
}
