// The feed: followers of slot 0 are given what was committed after the
// revision they have.

package register

import (
	"time"

	"fordseam/internal/base"
)

// Watch gives a follower of the feed what is committed after a place: the
// changes if they are still at hand, else the whole frame. It waits up to
// hold for news if the follower has begun, and confirms its epoch last, so that the answer is as fresh
// as the moment it was asked for.
func (o *Server) Watch(ctx *base.Ctx, place uint64, begun bool, hold time.Duration) (now uint64, frame bool, puts []*Put, hint string, err error) {
	s := o.slots[0]
	if hint, err = o.await(ctx, s); hint != "" || err != nil {
		return 0, false, nil, hint, err
	}
	// Quiet followers are answered at common ticks, so that one confirmation
	// serves them all.
	end := o.clock.Now() + hold
	if hold > 0 {
		end = (o.clock.Now() + hold*5/4) / hold * hold
	}
	for {
		next := s.bell.Next()
		s.mu.Lock()
		quiet := s.phase == serving && begun && s.commit == place
		s.mu.Unlock()
		if !quiet || !next.Wait(max(0, end-o.clock.Now())) {
			break
		}
	}
	s.mu.Lock()
	if s.phase != serving {
		s.mu.Unlock()
		return 0, false, nil, "", base.Busy(503, "slot_not_ready", 1, "the feed is changing hands")
	}
	epoch, target := s.epoch, s.tail
	first := s.first()
	frame = !begun || place+1 < first || place > target
	if frame {
		s.held.Each(func(key, value any) { puts = append(puts, &Put{Key: key.(string), Value: value.([]byte)}) })
	} else {
		for _, entry := range s.buffer[place+1-first:] {
			puts = append(puts, entry.Puts...)
		}
	}
	s.mu.Unlock()
	if err = o.settled(ctx, s, epoch, target); err != nil {
		return 0, false, nil, "", err
	}
	return target, frame, puts, "", o.confirm(ctx, s, epoch)
}

// FeedEpoch is the epoch under which this core owns the feed's slot, 0 when it
// does not.
func (o *Server) FeedEpoch() uint64 {
	s := o.slots[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != serving {
		return 0
	}
	return s.epoch
}

// LeadsFeed tells whether this core owns the feed's slot.
func (o *Server) LeadsFeed() bool {
	s := o.slots[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase == serving
}
