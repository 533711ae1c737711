package register

import (
	"context"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"

	"github.com/matryer/is"
)

// testServer returns the server of a core that knows no other member.
func testServer() *Server {
	clock, bounds := base.NewRealClock(), &base.AtomicPointer[base.Bounds]{}
	bounds.Store(base.DefaultBounds())
	counters := base.NewCounters()
	self := &membership.Member{Id: "a:1/a", Addr: "a:1", Role: membership.RoleCore}
	return NewServer(clock, nil, membership.NewView(clock, nil, bounds, counters, self, nil, nil), bounds, counters)
}

// A core reports that it has no quorum only after its requests have failed for a
// while, and stops at the first success.
func TestQuorumLossIsDelayedAndRecoveryImmediate(t *testing.T) {
	bounds := base.DefaultBounds()
	for _, row := range []struct {
		name          string
		everReached   bool
		failing       time.Duration
		withoutQuorum bool
	}{
		{"just lost", true, bounds.HeartbeatInterval() / 2, false},
		{"lost for a heartbeat interval", true, bounds.HeartbeatInterval() * 2, true},
		{"never reached, just started", false, bounds.HeartbeatInterval() * 2, false},
		{"never reached in the time that finds a silent node", false, bounds.SuspectTimeout() * 2, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			srv := testServer()
			if row.everReached {
				srv.recordQuorum(true, srv.clock.Now())
			}
			srv.recordQuorum(false, srv.clock.Now()-row.failing)
			srv.recordQuorum(false, srv.clock.Now()) // the time counts from the first failure
			is.Equal(srv.WithoutQuorum(), row.withoutQuorum)
			srv.recordQuorum(true, srv.clock.Now())
			is.True(!srv.WithoutQuorum())
		})
	}
}

// A core that reports NoQuorum is no candidate to lead a shard, unless all cores
// report it.
func TestCoresWithoutQuorumAreNotCandidates(t *testing.T) {
	is := is.New(t)
	srv := testServer()
	addCore := func(id, addr, unwell string, incarnation uint64) {
		_, err := srv.view.Shuffle(context.Background(), &membership.ShuffleMessage{Members: []*membership.Member{
			{Id: id, Addr: addr, Role: membership.RoleCore, Incarnation: incarnation, Unwell: unwell}}})
		is.NoErr(err)
	}
	addCore("b:1/b", "b:1", NoQuorum, 1)
	addCore("c:1/c", "c:1", "no_confirmed_state", 1)
	for shardNum := range uint32(ShardCount) {
		candidates := leaderCandidates(srv.view, shardNum)
		is.Equal(len(candidates), 2) // other reasons to be unwell don't matter
		for _, id := range candidates {
			is.True(id != "b:1/b")
		}
	}
	srv.view.UnwellReason = func() string { return NoQuorum }
	srv.view.RefreshHealth()
	addCore("c:1/c", "c:1", NoQuorum, 2)
	is.Equal(len(leaderCandidates(srv.view, 0)), 3)
}
