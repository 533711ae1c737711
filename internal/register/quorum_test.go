// A core without a majority of the disks says so and is passed over, unless all
// cores are without one.
package register

import (
	"context"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"

	"github.com/matryer/is"
)

func testOwner() *Server {
	clock, bounds := base.NewRealClock(), &base.Table[base.Bounds]{}
	bounds.Swap(base.DefaultBounds())
	counters := base.NewCounters()
	self := &membership.Member{Id: "a:1/a", Addr: "a:1", Role: membership.RoleCore}
	return NewServer(clock, nil, membership.NewView(clock, nil, bounds, counters, self, nil, nil), bounds, counters)
}

func TestQuorumIsLostAfterAWhileAndFoundAtOnce(t *testing.T) {
	bounds := base.DefaultBounds()
	for _, row := range []struct {
		name    string
		had     bool
		failing time.Duration
		without bool
	}{
		{"just lost", true, bounds.Beat() / 2, false},
		{"lost for a heartbeat interval", true, bounds.Beat() * 2, true},
		{"never had, just started", false, bounds.Beat() * 2, false},
		{"never had in the time that finds a silent node", false, bounds.Suspect() * 2, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			o := testOwner()
			if row.had {
				o.noteQuorum(true, o.clock.Now())
			}
			o.noteQuorum(false, o.clock.Now()-row.failing)
			o.noteQuorum(false, o.clock.Now()) // the first failure counts
			is.Equal(o.WithoutQuorum(), row.without)
			o.noteQuorum(true, o.clock.Now())
			is.True(!o.WithoutQuorum())
		})
	}
}

func TestCoresWithoutQuorumArePassedOver(t *testing.T) {
	is := is.New(t)
	o := testOwner()
	hear := func(id, addr, unwell string, incarnation uint64) {
		_, err := o.view.Shuffle(context.Background(), &membership.ShuffleMessage{Members: []*membership.Member{
			{Id: id, Addr: addr, Role: membership.RoleCore, Incarnation: incarnation, Unwell: unwell}}})
		is.NoErr(err)
	}
	hear("b:1/b", "b:1", NoQuorum, 1)
	hear("c:1/c", "c:1", "no_confirmed_state", 1)
	for slot := range uint32(ShardCount) {
		order := ownersFor(o.view, slot)
		is.Equal(len(order), 2) // any other word keeps nobody out
		for _, id := range order {
			is.True(id != "b:1/b")
		}
	}
	o.view.UnwellReason = func() string { return NoQuorum }
	o.view.RefreshHealth()
	hear("c:1/c", "c:1", NoQuorum, 2)
	is.Equal(len(ownersFor(o.view, 0)), 3)
}
