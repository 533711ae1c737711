package register

import (
	"fmt"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

// NoQuorum is what a core reports in its membership entry while it does not reach
// a majority of the disks. Other cores are then preferred as leaders, because
// such a core may be alive in every view and still be unable to lead a shard. The
// report only influences which core takes over a shard; epochs alone decide whether it
// may.
const NoQuorum = "no_quorum"

// quorumContact records whether this core's requests reach a majority of the
// disks.
type quorumContact struct {
	mu sync.Mutex
	// everReached reports whether this process has reached a majority once.
	everReached  bool
	failing      bool
	failingSince time.Duration
	// probing reports whether probeQuorum is running.
	probing bool
}

// recordQuorum records whether a round of requests, or a change that waited, that
// began at startedAt reached a majority of the disks.
func (srv *Server) recordQuorum(reached bool, startedAt time.Duration) {
	contact := &srv.quorum
	wasWithout := srv.WithoutQuorum()
	contact.mu.Lock()
	switch {
	case reached:
		contact.everReached, contact.failing = true, false
	case !contact.failing:
		contact.failing, contact.failingSince = true, startedAt
	}
	contact.mu.Unlock()
	if srv.WithoutQuorum() != wasWithout {
		srv.view.RefreshHealth()
	}
	if !reached {
		srv.probeQuorum()
	}
}

// WithoutQuorum reports whether this core's rounds have reached no majority for a
// heartbeat interval, which is longer than a message to a disk takes in a bad
// case. A core that has never reached one has most likely just started together
// with the disks, and is given the time after which a silent node is suspected.
func (srv *Server) WithoutQuorum() bool {
	contact := &srv.quorum
	contact.mu.Lock()
	defer contact.mu.Unlock()
	bounds := srv.bounds.Load()
	grace := bounds.HeartbeatInterval()
	if !contact.everReached {
		grace = bounds.SuspectTimeout()
	}
	return contact.failing && srv.clock.Now()-contact.failingSince >= grace
}

// probeQuorum asks the disks for their state after a round that reached no
// majority. That round may just have been short of time, and while this core
// reports NoQuorum it gets no requests, so no other round would end the report.
func (srv *Server) probeQuorum() {
	contact := &srv.quorum
	set := srv.knownSet()
	contact.mu.Lock()
	starts := set != nil && contact.failing && !contact.probing
	contact.probing = contact.probing || starts
	contact.mu.Unlock()
	if !starts {
		return
	}
	srv.clock.Go(func() {
		reached := base.CallQuorum(srv.clock, voters(set), majority(set), srv.bounds.Load().DiskTimeout(), func(ctx *base.Ctx, entry *DiskEntry) bool {
			state, err := srv.diskClient(entry).Describe(ctx, describeRequest(set))
			return err == nil && state.Id == entry.Id
		})
		if reached {
			srv.recordQuorum(true, srv.clock.Now())
		}
		contact.mu.Lock()
		contact.probing = false
		contact.mu.Unlock()
	})
}

// leaderCandidates lists the live cores that may lead a shard in the order of
// their rendezvous hashes, the preferred one first. Cores that report NoQuorum are
// left out unless all do.
func leaderCandidates(view *membership.View, shardNum uint32) []string {
	alive := view.Available(membership.RoleCore)
	withQuorum := base.Filter(alive, func(m *membership.Member) bool { return m.Unwell != NoQuorum })
	if len(withQuorum) == 0 {
		withQuorum = alive
	}
	ids := base.Map(withQuorum, func(m *membership.Member) string { return m.Id })
	return base.RendezvousOrder(fmt.Sprint("slot/", shardNum), ids)
}
