// Bounds are the few times that operators promise their users; every
// interval inside the system is a ratio to one of them, so that changing a
// bound changes all that hangs on it and the order between them stays.

package base

import "time"

type Bounds struct {
	Settings time.Duration
	Leave    time.Duration
	Recover  time.Duration
	Retain   time.Duration
}

// DefaultBounds are used until settings arrive.
func DefaultBounds() *Bounds {
	return &Bounds{Settings: 2 * time.Second, Leave: 3 * time.Second, Recover: 12 * time.Second, Retain: 10 * time.Minute}
}

// Permit is how long a node may serve on one confirmation, counted from
// before it asked. With Hold and a clock drift of a twentieth it ends inside
// the settings bound.
func (b *Bounds) Permit() time.Duration { return b.Settings * 6 / 10 }

// Hold is how long a visit waits for a lapsed permit before it is declined.
func (b *Bounds) Hold() time.Duration { return b.Settings * 3 / 10 }

// FeedHold is how long the feed keeps a quiet follower waiting.
func (b *Bounds) FeedHold() time.Duration { return b.Settings / 6 }

// Follow bounds one try at following the feed, its hold included: an answer, a
// try that is lost and another answer fit into one permit.
func (b *Bounds) Follow() time.Duration { return b.FeedHold()*5/4 + b.Beat() }

// AccessHold is that while a change of what teams may call is under way.
func (b *Bounds) AccessHold() time.Duration { return b.FeedHold() / 4 }

// AccessFresh is how old a confirmation may be by which, under such a change,
// the former rules still decide for those whom it concerns.
func (b *Bounds) AccessFresh() time.Duration { return b.Settings / 5 }

// Beat is what the times between neighbours are counted in: they exchange every
// two beats.
func (b *Bounds) Beat() time.Duration { return b.Leave / 12 }

// Confirm is how long an owner waits for the disks that it asked first before
// it asks the others.
func (b *Bounds) Confirm() time.Duration { return b.DiskLimit() / 16 }

// Suspect is about how long a silent node is still taken for alive.
func (b *Bounds) Suspect() time.Duration { return b.Recover / 5 }

// DiskLimit bounds one answer of a disk.
func (b *Bounds) DiskLimit() time.Duration { return b.Recover / 12 }

// Hedge is how long a slow disk is waited for before another is asked too.
func (b *Bounds) Hedge() time.Duration { return b.Recover / 150 }

// AnotherCore is how long a core is waited for before another is asked as well.
func (b *Bounds) AnotherCore() time.Duration { return b.Beat() / 2 }

// Call bounds one message to a core and back, its wait for disks included.
func (b *Bounds) Call() time.Duration { return b.Recover / 6 }

// Pull is how long a stream's owner holds a pull that finds no piece.
func (b *Bounds) Pull() time.Duration { return b.Recover / 24 }

// Sweep is how often expired records are looked for.
func (b *Bounds) Sweep() time.Duration { return max(b.Recover/4, min(b.Retain/10, 30*time.Second)) }
