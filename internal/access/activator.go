// The duty brings changes into force, on whichever core has the feed's slot.
// It needs no memory of the core that began a change: the time of a permit,
// counted from when this core first saw the change, always suffices, since
// every answer of the feed after that carries the change with it. Where all who
// asked lately have acknowledged the new settings it need not wait.

package access

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/feed"
	"fordseam/internal/register"
)

// Activator is a core's part.
type Activator struct {
	Clock        base.Clock
	Bounds       *base.Table[base.Bounds]
	Counters     *base.Counters
	Register     *register.Client
	Follower     *feed.Follower
	Epoch        func() uint64 // under which this core owns the feed's slot, or 0
	AllNodesHave func(epoch, stamp uint64, permit time.Duration) bool

	target uint64
	until  time.Duration
}

// Run goes on until the follower is closed.
func (d *Activator) Run() {
	for !d.Follower.Closed() {
		next := d.Follower.NextConfirmation()
		pending := PendingFromFeed(d.Follower.Snapshot().Values)
		if pending == nil || d.Epoch() == 0 {
			next.Wait(d.Bounds.Load().Beat())
			if pending == nil {
				d.target = 0
			}
			continue
		}
		d.step(pending)
	}
}

// step brings one change nearer.
func (d *Activator) step(pending *Pending) {
	bounds := d.Bounds.Load()
	if d.target != pending.Target {
		d.target, d.until = pending.Target, d.Clock.Now()+pending.permit(bounds)
	}
	waited := d.Clock.Now() >= d.until
	if !waited && !d.AllNodesHave(d.Epoch(), pending.Target, pending.permit(bounds)) {
		d.Clock.Sleep(min(bounds.AccessHold()/2, max(1, d.until-d.Clock.Now())))
		return
	}
	var settled bool
	err := d.Register.Change(base.NewCtx(d.Clock, bounds.Call()), register.FeedGroup, "access.settle", settling{pending.Target, waited}, &settled)
	if err != nil || !settled {
		d.Clock.Sleep(bounds.AccessHold() / 2)
		return
	}
	d.Counters.Add("access_changes_settled", 1)
	// The mark is gone where all can see it; this core's follower hears soon.
	for end := d.Clock.Now() + bounds.Beat(); d.Clock.Now() < end; {
		next := d.Follower.NextConfirmation()
		if now := PendingFromFeed(d.Follower.Snapshot().Values); now == nil || now.Target != pending.Target {
			return
		}
		next.Wait(max(0, end-d.Clock.Now()))
	}
}
