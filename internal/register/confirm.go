// Confirming an epoch: before an answer that changed nothing, a majority of
// the disks says that no higher epoch was promised.

package register

import (
	"slices"

	"fordseam/internal/base"
)

// confirm proves that the epoch still stood after the asker asked. All who
// ask before a round starts share it.
func (o *Server) confirm(ctx *base.Ctx, s *slot, epoch uint64) error {
	s.mu.Lock()
	if s.nextRound == nil {
		s.nextRound = &round{done: o.clock.NewSignal()}
	}
	joined := s.nextRound
	if !s.roundsBusy {
		s.roundsBusy = true
		o.clock.Go(func() { o.rounds(s) })
	}
	s.mu.Unlock()
	if !joined.done.Wait(ctx.Left()) || joined.err != nil {
		return base.Busy(503, "no_majority", 1, "no majority of disks confirms this owner")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch {
		return base.Busy(503, "slot_not_ready", 1, "the slot changed hands")
	}
	return nil
}

func (o *Server) rounds(s *slot) {
	for {
		s.mu.Lock()
		current := s.nextRound
		s.nextRound = nil
		if current == nil {
			s.roundsBusy = false
			s.mu.Unlock()
			return
		}
		epoch := s.epoch
		s.mu.Unlock()
		set := o.knownSet()
		o.counters.Add("register_confirms", 1)
		bounds := o.bounds.Load()
		asked := o.clock.Now()
		confirmed := base.AskFew(o.clock, o.promptFirst(voters(set)), majority(set), bounds.Confirm(), bounds.DiskLimit(), func(ctx *base.Ctx, entry *DiskEntry) bool {
			began := o.clock.Now()
			ack, err := o.disk(entry).Confirm(ctx, &ConfirmRequest{Claim: o.claim(s, epoch, set, entry)})
			o.timed(entry, err == nil && o.clock.Now()-began < bounds.Confirm())
			if err == nil && ack.Why == "epoch" {
				o.stepDown(s, epoch, ack.Epoch)
			}
			if err == nil {
				o.agreeOnSet(entry, ack)
			}
			return err == nil && ack.Ok
		})
		if s.owns(epoch) {
			o.noteQuorum(confirmed, asked)
		}
		if !confirmed {
			current.err = base.Busy(503, "no_majority", 1, "no majority of disks")
		}
		current.done.Fire()
	}
}

// timed notes whether a disk was prompt; promptFirst puts those that were not
// last, and among the others those of this core's zone first.
func (o *Server) timed(entry *DiskEntry, prompt bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if prompt {
		delete(o.slow, entry.Id)
	} else {
		o.slow[entry.Id] = o.clock.Now()
	}
}

func (o *Server) promptFirst(entries []*DiskEntry) []*DiskEntry {
	zone := o.view.Self().Zone
	o.mu.Lock()
	defer o.mu.Unlock()
	rank := func(entry *DiskEntry) int {
		at, slow := o.slow[entry.Id]
		switch {
		case slow && o.clock.Now()-at < o.bounds.Load().Recover:
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
