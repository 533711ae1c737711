// The state of one slot at its owner: content, committed number, the entries
// still kept, and how far each disk has acknowledged them.

package register

import (
	"sync"
	"time"

	"fordseam/internal/base"

	"github.com/emirpasic/gods/maps/treemap"
)

// SlotOf places a group. The feed has slot 0 to itself, so that the slot's
// numbers are the feed's places.
func SlotOf(group string) uint32 {
	if group == FeedGroup {
		return 0
	}
	return uint32(1 + base.Hash64("group", group)%(Slots-1))
}

// TimeKey is where a slot keeps the time of its newest change.
const TimeKey = "time"

// now is the slot's time; the caller holds the lock.
func (s *slot) now(clock base.Clock) int64 {
	return s.time + (clock.Now() - s.timeFrom).Milliseconds()
}

type phase int

const (
	idle phase = iota
	taking
	serving
)

// progress is what a disk has of a slot, and the disk set under which it
// last said so.
type progress struct {
	installed bool
	// mute disks gave no answer to the last message; they are sent a small one
	// next.
	mute  bool
	acked uint64
	stamp uint64
}

// has reports whether the disk is known to hold the slot up to a number.
func (p *progress) has(seq uint64) bool { return p != nil && p.installed && p.acked >= seq }

type slot struct {
	num  uint32
	bell *base.Bell

	mu         sync.Mutex
	phase      phase
	epoch      uint64
	highest    uint64
	held       *treemap.Map
	time       int64
	timeFrom   time.Duration
	tail       uint64
	commit     uint64
	based      bool
	buffer     []*Entry
	progress   map[string]*progress
	nextRound  *round
	roundsBusy bool
}

type round struct {
	done base.Signal
	err  error
}

// owns tells whether this core still keeps the slot under an epoch.
func (s *slot) owns(epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch == epoch
}

// first is the number that the buffer begins with; the caller holds the lock.
func (s *slot) first() uint64 { return s.tail + 1 - uint64(len(s.buffer)) }

// needsFrame tells that a disk cannot go on from the buffer; the caller holds
// the lock.
func (s *slot) needsFrame(diskID string) bool {
	mark := s.progress[diskID]
	return !mark.installed || mark.acked+1 < s.first()
}

// outstanding builds what a disk lacks; the caller holds the lock.
func (s *slot) outstanding(claim *Claim, diskID string) (*InstallRequest, *AppendRequest) {
	mark := s.progress[diskID]
	if mark.mute {
		return nil, &AppendRequest{Claim: claim}
	}
	if s.needsFrame(diskID) {
		mark.installed = false
		install := &InstallRequest{Claim: claim, Seq: s.tail}
		s.held.Each(func(key, value any) {
			install.Puts = append(install.Puts, &Put{Key: key.(string), Value: value.([]byte)})
		})
		return install, nil
	}
	if mark.acked >= s.tail {
		if mark.stamp != claim.SetStamp {
			return nil, &AppendRequest{Claim: claim}
		}
		return nil, nil
	}
	entries := append([]*Entry(nil), s.buffer[mark.acked+1-s.first():]...)
	return nil, &AppendRequest{Claim: claim, Entries: entries}
}

// recount finds what a majority has; the caller holds the lock.
func (s *slot) recount(set *DiskSet) {
	reached := func(seq uint64) bool {
		count := 0
		for _, entry := range voters(set) {
			if s.progress[entry.Id].has(seq) {
				count++
			}
		}
		return count >= majority(set)
	}
	for _, entry := range voters(set) {
		if mark := s.progress[entry.Id]; mark.has(s.commit) && reached(mark.acked) {
			s.commit, s.based = mark.acked, true
		}
	}
	s.trim()
}
