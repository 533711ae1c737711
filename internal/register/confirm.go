package register

import (
	"slices"

	"fordseam/internal/base"
)

// confirmEpoch waits until a majority of the disks has confirmed, in a round that
// started after this call, that it promised no higher epoch. It precedes each
// answer to an operation that changed nothing, so that such an answer is never
// stale. Calls that arrive before a round starts share it.
func (srv *Server) confirmEpoch(ctx *base.Ctx, s *shard, epoch uint64) error {
	s.mu.Lock()
	if s.nextConfirm == nil {
		s.nextConfirm = &confirmRound{done: srv.clock.NewSignal()}
	}
	round := s.nextConfirm
	if !s.confirming {
		s.confirming = true
		srv.clock.Go(func() { srv.runConfirmRounds(s) })
	}
	s.mu.Unlock()
	if !round.done.Wait(ctx.Remaining()) || round.err != nil {
		return base.Busy(503, "no_majority", 1, "no majority of disks confirmed this core as leader of shard %d", s.num)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch {
		return base.Busy(503, "slot_not_ready", 1, "shard %d changed leaders", s.num)
	}
	return nil
}

// runConfirmRounds confirms the shard's epoch in rounds until no call waits for
// one.
func (srv *Server) runConfirmRounds(s *shard) {
	for {
		s.mu.Lock()
		round := s.nextConfirm
		s.nextConfirm = nil
		if round == nil {
			s.confirming = false
			s.mu.Unlock()
			return
		}
		epoch := s.epoch
		s.mu.Unlock()
		set := srv.knownSet()
		srv.counters.Add("register_confirms", 1)
		bounds := srv.bounds.Load()
		startedAt := srv.clock.Now()
		confirmed := base.CallQuorumHedged(srv.clock, srv.fastestFirst(voters(set)), majority(set), bounds.ConfirmHedgeDelay(), bounds.DiskTimeout(), func(ctx *base.Ctx, entry *DiskEntry) bool {
			sentAt := srv.clock.Now()
			ack, err := srv.diskClient(entry).Confirm(ctx, &ConfirmRequest{Claim: srv.claim(s, epoch, set, entry)})
			srv.recordLatency(entry, err == nil && srv.clock.Now()-sentAt < bounds.ConfirmHedgeDelay())
			if err == nil && ack.Why == "epoch" {
				srv.stepDown(s, epoch, ack.Epoch)
			}
			if err == nil {
				srv.resolveSetMismatch(entry, ack)
			}
			return err == nil && ack.Ok
		})
		if s.leads(epoch) {
			srv.recordQuorum(confirmed, startedAt)
		}
		if !confirmed {
			round.err = base.Busy(503, "no_majority", 1, "no majority of disks confirmed the epoch of shard %d", s.num)
		}
		round.done.Fire()
	}
}

// recordLatency records whether a disk answered a confirmation in time.
func (srv *Server) recordLatency(entry *DiskEntry, fast bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if fast {
		delete(srv.slowDisks, entry.Id)
	} else {
		srv.slowDisks[entry.Id] = srv.clock.Now()
	}
}

// fastestFirst sorts the disks of this core's zone first and those that were slow
// within the last recovery bound last.
func (srv *Server) fastestFirst(entries []*DiskEntry) []*DiskEntry {
	zone := srv.view.Self().Zone
	srv.mu.Lock()
	defer srv.mu.Unlock()
	rank := func(entry *DiskEntry) int {
		slowAt, slow := srv.slowDisks[entry.Id]
		switch {
		case slow && srv.clock.Now()-slowAt < srv.bounds.Load().Recovery:
			return 2
		case entry.Zone != zone:
			return 1
		}
		return 0
	}
	ordered := slices.Clone(entries)
	slices.SortStableFunc(ordered, func(a, b *DiskEntry) int { return rank(a) - rank(b) })
	return ordered
}
