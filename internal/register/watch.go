package register

import (
	"time"

	"fordseam/internal/base"
)

// Watch returns to a follower of the feed what was committed after a revision: the
// changes if they are still retained, else the whole content (full). If the
// follower has nothing to learn it waits up to maxWait for a change. The epoch is
// confirmed last, so that the result is no older than the call. If another core
// leads the feed's shard, only hint is set.
func (srv *Server) Watch(ctx *base.Ctx, since uint64, hasSnapshot bool, maxWait time.Duration) (revision uint64, full bool, puts []*Put, hint string, err error) {
	s := srv.shards[0]
	if hint, err = srv.ensureLeading(ctx, s); hint != "" || err != nil {
		return 0, false, nil, hint, err
	}
	// Waits end at common ticks, so that one confirmation of the epoch serves all
	// followers that waited.
	deadline := srv.clock.Now() + maxWait
	if maxWait > 0 {
		deadline = (srv.clock.Now() + maxWait*5/4) / maxWait * maxWait
	}
	for {
		changed := s.changed.Next()
		s.mu.Lock()
		unchanged := s.phase == phaseLeading && hasSnapshot && s.committed == since
		s.mu.Unlock()
		if !unchanged || !changed.Wait(max(0, deadline-srv.clock.Now())) {
			break
		}
	}
	s.mu.Lock()
	if s.phase != phaseLeading {
		s.mu.Unlock()
		return 0, false, nil, "", base.Busy(503, "slot_not_ready", 1, "this core does not lead the feed's shard any more")
	}
	epoch, targetSeq := s.epoch, s.lastSeq
	firstSeq := s.firstSeq()
	full = !hasSnapshot || since+1 < firstSeq || since > targetSeq
	if full {
		s.kv.Each(func(key, value any) { puts = append(puts, &Put{Key: key.(string), Value: value.([]byte)}) })
	} else {
		for _, entry := range s.entries[since+1-firstSeq:] {
			puts = append(puts, entry.Puts...)
		}
	}
	s.mu.Unlock()
	if err = srv.waitCommitted(ctx, s, epoch, targetSeq); err != nil {
		return 0, false, nil, "", err
	}
	return targetSeq, full, puts, "", srv.confirmEpoch(ctx, s, epoch)
}

// FeedEpoch returns the epoch under which this core leads the feed's shard, 0 if it
// does not.
func (srv *Server) FeedEpoch() uint64 {
	s := srv.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != phaseLeading {
		return 0
	}
	return s.epoch
}

// LeadsFeed reports whether this core leads the feed's shard.
func (srv *Server) LeadsFeed() bool {
	s := srv.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase == phaseLeading
}
