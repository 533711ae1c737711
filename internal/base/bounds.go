package base

import "time"

// Bounds are the few times that operators promise their users. Every other
// interval and timeout of the system is a fixed fraction of one of them, so
// that a changed bound changes everything that depends on it and the order
// between the derived times stays.
type Bounds struct {
	// SettingsApply limits how long nodes may serve under replaced settings.
	SettingsApply time.Duration
	// Drain limits how long a departing worker or node still gets requests.
	Drain time.Duration
	// Recovery limits how long service is interrupted after a failure.
	Recovery time.Duration
	// Retention is how long the results of finished requests are kept.
	Retention time.Duration
}

// DefaultBounds are used until settings arrive.
func DefaultBounds() *Bounds {
	return &Bounds{SettingsApply: 2 * time.Second, Drain: 3 * time.Second, Recovery: 12 * time.Second, Retention: 10 * time.Minute}
}

// Lease is how long a node may serve on one confirmation of its settings,
// counted from before the node asked for it. Together with LeaseWait and a
// clock drift of 5 % it ends within SettingsApply.
func (b *Bounds) Lease() time.Duration { return b.SettingsApply * 6 / 10 }

// LeaseWait is how long a request waits for the renewal of an expired lease
// before it is rejected.
func (b *Bounds) LeaseWait() time.Duration { return b.SettingsApply * 3 / 10 }

// FeedPollWait is how long the feed holds a follower's long poll while nothing
// changes.
func (b *Bounds) FeedPollWait() time.Duration { return b.SettingsApply / 6 }

// FollowTimeout limits one poll of the feed, its wait included. One lease has
// room for a reply, a lost attempt and another reply.
func (b *Bounds) FollowTimeout() time.Duration {
	return b.FeedPollWait()*5/4 + b.HeartbeatInterval()
}

// AccessPollWait replaces FeedPollWait while a change of the access rules is
// pending.
func (b *Bounds) AccessPollWait() time.Duration { return b.FeedPollWait() / 4 }

// AccessFreshness is the maximum age of a confirmation on which, while a change
// of the access rules is pending, the previous rules still decide for the
// requests that the change affects.
func (b *Bounds) AccessFreshness() time.Duration { return b.SettingsApply / 5 }

// HeartbeatInterval is the unit of the times of the membership protocol: nodes
// gossip every two of them.
func (b *Bounds) HeartbeatInterval() time.Duration { return b.Drain / 12 }

// ConfirmHedgeDelay is how long a leader waits for the disks that it asked
// first to confirm its epoch before it asks the others.
func (b *Bounds) ConfirmHedgeDelay() time.Duration { return b.DiskTimeout() / 16 }

// SuspectTimeout is roughly how long a silent node still counts as alive.
func (b *Bounds) SuspectTimeout() time.Duration { return b.Recovery / 5 }

// DiskTimeout limits one request to a disk.
func (b *Bounds) DiskTimeout() time.Duration { return b.Recovery / 12 }

// DiskHedgeDelay is how long to wait for a slow disk before another one is
// asked as well.
func (b *Bounds) DiskHedgeDelay() time.Duration { return b.Recovery / 150 }

// CoreHedgeDelay is how long to wait for a core before another one is asked as
// well.
func (b *Bounds) CoreHedgeDelay() time.Duration { return b.HeartbeatInterval() / 2 }

// CoreCallTimeout limits one request to a core, including the core's own wait
// for disks.
func (b *Bounds) CoreCallTimeout() time.Duration { return b.Recovery / 6 }

// PullWait is how long the owner of a stream holds a pull while there is no new
// piece.
func (b *Bounds) PullWait() time.Duration { return b.Recovery / 24 }

// SweepInterval is how often expired records are removed.
func (b *Bounds) SweepInterval() time.Duration {
	return max(b.Recovery/4, min(b.Retention/10, 30*time.Second))
}
