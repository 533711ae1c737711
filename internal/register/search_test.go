package register

import (
	"context"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"

	"github.com/matryer/is"
)

// leaderReadyLater simulates cores of which one leads the shard. It fails the
// first call for lack of a majority and answers the later ones; the other cores
// name it.
type leaderReadyLater struct {
	leader  string
	refused bool
}

func (c *leaderReadyLater) call(core string) coreReply {
	if core != c.leader {
		return coreReply{hint: c.leader}
	}
	if !c.refused {
		c.refused = true
		return coreReply{err: base.Busy(503, "no_majority", 1, "no majority of disks")}
	}
	return coreReply{result: []byte("done")}
}

// A search returns to a leader that failed one call and is ready since. The other
// cores only name it, and a failed core must not be avoided for good.
func TestASearchReturnsToAnOwnerThatRefusedOnce(t *testing.T) {
	is := is.New(t)
	srv := testServer()
	for _, id := range []string{"b:1/b", "c:1/c"} {
		_, err := srv.view.Shuffle(context.Background(), &membership.ShuffleMessage{Members: []*membership.Member{
			{Id: id, Addr: id[:3], Role: membership.RoleCore, Incarnation: 1}}})
		is.NoErr(err)
	}
	client := NewClient(srv.clock, nil, srv.view, srv.bounds)
	candidates := client.LeaderCandidates(1)
	cores := &leaderReadyLater{leader: candidates[0]}
	timeout := srv.bounds.Load().CoreCallTimeout()
	result, err := client.findLeader(base.NewCtx(srv.clock, timeout), 1, time.Second, neverHedge, func(_ *base.Ctx, addr string) coreReply {
		for _, member := range srv.view.Known(membership.RoleCore) {
			if member.Addr == addr {
				return cores.call(member.Id)
			}
		}
		return cores.call(candidates[len(candidates)-1])
	})
	is.NoErr(err) // the leader was called again after its failure
	is.Equal(string(result), "done")
}
