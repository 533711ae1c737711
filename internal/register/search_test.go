// A search for the owner of a slot ends at a core that refused once and is ready
// since.
package register

import (
	"context"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"

	"github.com/matryer/is"
)

// ownerReadyLater is two cores: the owner has no majority at the first call and
// answers from then on; the other one names the owner.
type ownerReadyLater struct {
	owner   string
	refused bool
}

func (c *ownerReadyLater) call(core string) answer {
	if core != c.owner {
		return answer{hint: c.owner}
	}
	if !c.refused {
		c.refused = true
		return answer{err: base.Busy(503, "no_majority", 1, "no majority of disks")}
	}
	return answer{result: []byte("done")}
}

func TestASearchReturnsToAnOwnerThatRefusedOnce(t *testing.T) {
	is := is.New(t)
	o := testOwner()
	for _, id := range []string{"b:1/b", "c:1/c"} {
		_, err := o.view.Shuffle(context.Background(), &membership.ShuffleMessage{Members: []*membership.Member{
			{Id: id, Addr: id[:3], Role: membership.RoleCore, Incarnation: 1}}})
		is.NoErr(err)
	}
	client := NewClient(o.clock, nil, o.view, o.bounds)
	order := client.LeaderCandidates(1)
	cores := &ownerReadyLater{owner: order[0]}
	limit := o.bounds.Load().Call()
	got, err := client.search(base.NewCtx(o.clock, limit), 1, time.Second, forEver, func(_ *base.Ctx, addr string) answer {
		for _, member := range o.view.Known(membership.RoleCore) {
			if member.Addr == addr {
				return cores.call(member.Id)
			}
		}
		return cores.call(order[len(order)-1])
	})
	is.NoErr(err) // it was asked again, though the others name it and it had refused
	is.Equal(string(got), "done")
}
