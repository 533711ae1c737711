// Bounds are the few times that operators promise their users; every
// interval inside the system is a ratio to one of them, so that changing a
// bound changes all that hangs on it and the order between them stays.

package base

import "time"

type Bounds struct {
	SettingsApply time.Duration
	Drain         time.Duration
	Recovery      time.Duration
	Retention     time.Duration
}

// DefaultBounds are used until settings arrive.
func DefaultBounds() *Bounds {
	return &Bounds{SettingsApply: 2 * time.Second, Drain: 3 * time.Second, Recovery: 12 * time.Second, Retention: 10 * time.Minute}
}

// Lease is how long a node may serve on one confirmation, counted from
// before it asked. With Hold and a clock drift of a twentieth it ends inside
// the settings bound.
func (b *Bounds) Lease() time.Duration { return b.SettingsApply * 6 / 10 }

// LeaseWait is how long a visit waits for a lapsed permit before it is declined.
func (b *Bounds) LeaseWait() time.Duration { return b.SettingsApply * 3 / 10 }

// FeedPollWait is how long the feed keeps a quiet follower waiting.
func (b *Bounds) FeedPollWait() time.Duration { return b.SettingsApply / 6 }

// FollowTimeout bounds one try at following the feed, its hold included: an answer, a
// try that is lost and another answer fit into one permit.
func (b *Bounds) FollowTimeout() time.Duration { return b.FeedPollWait()*5/4 + b.HeartbeatInterval() }

// AccessPollWait is that while a change of what teams may call is under way.
func (b *Bounds) AccessPollWait() time.Duration { return b.FeedPollWait() / 4 }

// AccessFreshness is how old a confirmation may be by which, under such a change,
// the former rules still decide for those whom it concerns.
func (b *Bounds) AccessFreshness() time.Duration { return b.SettingsApply / 5 }

// HeartbeatInterval is what the times between neighbours are counted in: they exchange every
// two beats.
func (b *Bounds) HeartbeatInterval() time.Duration { return b.Drain / 12 }

// ConfirmHedgeDelay is how long an owner waits for the disks that it asked first before
// it asks the others.
func (b *Bounds) ConfirmHedgeDelay() time.Duration { return b.DiskTimeout() / 16 }

// SuspectTimeout is about how long a silent node is still taken for alive.
func (b *Bounds) SuspectTimeout() time.Duration { return b.Recovery / 5 }

// DiskTimeout bounds one answer of a disk.
func (b *Bounds) DiskTimeout() time.Duration { return b.Recovery / 12 }

// DiskHedgeDelay is how long a slow disk is waited for before another is asked too.
func (b *Bounds) DiskHedgeDelay() time.Duration { return b.Recovery / 150 }

// CoreHedgeDelay is how long a core is waited for before another is asked as well.
func (b *Bounds) CoreHedgeDelay() time.Duration { return b.HeartbeatInterval() / 2 }

// CoreCallTimeout bounds one message to a core and back, its wait for disks included.
func (b *Bounds) CoreCallTimeout() time.Duration { return b.Recovery / 6 }

// PullWait is how long a stream's owner holds a pull that finds no piece.
func (b *Bounds) PullWait() time.Duration { return b.Recovery / 24 }

// SweepInterval is how often expired records are looked for.
func (b *Bounds) SweepInterval() time.Duration {
	return max(b.Recovery/4, min(b.Retention/10, 30*time.Second))
}
