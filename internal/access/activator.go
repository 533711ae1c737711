package access

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/register"
)

// Activator completes pending changes on the core that leads the feed's shard.
// It does not depend on the core that began a change: it is always enough to
// wait for the length of a lease after it first saw the change, because every
// answer of the feed since then includes the change. It need not wait if all
// nodes that have asked lately have acknowledged the new settings.
type Activator struct {
	Clock        base.Clock
	Bounds       *base.AtomicPointer[base.Bounds]
	Counters     *base.Counters
	Register     *register.Client
	Follower     *feed.Follower
	FeedEpoch    func() uint64 // under which this core leads the feed's shard, or 0
	AllNodesHave func(epoch, version uint64, lease time.Duration) bool

	target         uint64
	leasesExpireAt time.Duration
}

// Run completes changes until the follower is closed.
func (a *Activator) Run() {
	for !a.Follower.Closed() {
		next := a.Follower.NextConfirmation()
		pending := PendingFromFeed(a.Follower.Snapshot().Values)
		if pending == nil || a.FeedEpoch() == 0 {
			next.Wait(a.Bounds.Load().HeartbeatInterval())
			if pending == nil {
				a.target = 0
			}
			continue
		}
		a.advance(pending)
	}
}

// advance waits a while for a change, or asks for its second step.
func (a *Activator) advance(pending *Pending) {
	bounds := a.Bounds.Load()
	if a.target != pending.Target {
		a.target, a.leasesExpireAt = pending.Target, a.Clock.Now()+pending.lease(bounds)
	}
	leasesExpired := a.Clock.Now() >= a.leasesExpireAt
	if !leasesExpired && !a.AllNodesHave(a.FeedEpoch(), pending.Target, pending.lease(bounds)) {
		a.Clock.Sleep(min(bounds.AccessPollWait()/2, max(1, a.leasesExpireAt-a.Clock.Now())))
		return
	}
	var settled bool
	err := a.Register.Change(base.NewCtx(a.Clock, bounds.CoreCallTimeout()), register.FeedGroup, "access.settle", settleRequest{pending.Target, leasesExpired}, &settled)
	if err != nil || !settled {
		a.Clock.Sleep(bounds.AccessPollWait() / 2)
		return
	}
	a.Counters.Add("access_changes_settled", 1)
	// The change is removed from the feed; wait until the follower sees that.
	for deadline := a.Clock.Now() + bounds.HeartbeatInterval(); a.Clock.Now() < deadline; {
		next := a.Follower.NextConfirmation()
		if current := PendingFromFeed(a.Follower.Snapshot().Values); current == nil || current.Target != pending.Target {
			return
		}
		next.Wait(max(0, deadline-a.Clock.Now()))
	}
}
