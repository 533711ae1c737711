// Replication: one sender for each slot and disk brings the disk up to the
// owner's content and keeps it there.

package register

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
)

// refit starts a sender to each disk of the set that has none.
func (o *Server) refit(s *slot) {
	set := o.knownSet()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || s.progress == nil {
		return
	}
	for _, entry := range set.Disks {
		if s.progress[entry.Id] == nil {
			s.progress[entry.Id] = &consensus.Progress{}
			epoch := s.epoch
			o.clock.Go(func() { o.send(s, epoch, entry) })
		}
	}
}

// send keeps one disk up with one slot: its content first, then what follows.
func (o *Server) send(s *slot, epoch uint64, entry *DiskEntry) {
	for {
		next := s.bell.Next()
		s.mu.Lock()
		if s.epoch != epoch {
			s.mu.Unlock()
			return
		}
		set := o.knownSet()
		if !inSet(set, entry.Id) {
			delete(s.progress, entry.Id)
			delete(s.transfers, entry.Id)
			s.mu.Unlock()
			return
		}
		repair := s.based && s.needsFrame(entry.Id) && !s.progress[entry.Id].Unresponsive
		if repair {
			if turn := o.beginRepair(entry.Id); turn != nil {
				s.mu.Unlock()
				turn.Wait(o.bounds.Load().Beat() / 2)
				continue
			}
		}
		sent := s.outstanding(o.claim(s, epoch, set, entry), entry.Id)
		s.mu.Unlock()
		if sent == nil {
			next.Wait(-1)
			continue
		}
		ack, pause, err := o.carry(s, epoch, entry, sent, set.Stamp)
		if repair {
			if pause > 0 {
				o.clock.Sleep(pause)
			}
			o.endRepair(entry.Id)
		}
		if err != nil || !ack.Ok {
			if !o.mend(s, epoch, entry, ack) {
				return
			}
		}
	}
}

// carry delivers a message, notes what the disk has of it, and tells how long to
// wait after it if it is a repair's.
func (o *Server) carry(s *slot, epoch uint64, entry *DiskEntry, sent *delivery, setStamp uint64) (ack *Ack, pause time.Duration, err error) {
	if ack, err = o.deliver(entry, sent); err != nil || !ack.Ok {
		return ack, 0, err
	}
	s.mu.Lock()
	staged := s.stagedPart(entry.Id, sent, ack)
	pause = s.pauseAfter(entry.Id, sent)
	s.mu.Unlock()
	if staged {
		s.bell.Ring()
	} else {
		o.acknowledge(s, epoch, entry.Id, ack.Seq, setStamp)
	}
	return ack, pause, nil
}

// repairsAtOnce bounds the frames that one core sends to each disk that is
// behind while its slots are served without it, so that repair stays below the
// live traffic, and a disk that falls silent does not hold up another's. A take-over's own frames are not held back.
const repairsAtOnce = 2

// beginRepair takes a place, or gives what to wait for until one is free.
func (o *Server) beginRepair(disk string) base.Signal {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.repairs[disk] >= repairsAtOnce {
		o.counters.Add("repairs_paced", 1)
		return o.repaired
	}
	o.repairs[disk]++
	return nil
}

func (o *Server) endRepair(disk string) {
	o.mu.Lock()
	if o.repairs[disk]--; o.repairs[disk] == 0 {
		delete(o.repairs, disk)
	}
	freed := o.repaired
	o.repaired = o.clock.NewSignal()
	o.mu.Unlock()
	freed.Fire()
}

func (o *Server) deliver(entry *DiskEntry, sent *delivery) (*Ack, error) {
	ctx, disk := base.NewCtx(o.clock, o.bounds.Load().DiskLimit()), o.disk(entry)
	switch {
	case sent.install != nil:
		o.counters.Add("disk_installs_sent", 1)
		return disk.Install(ctx, sent.install)
	case sent.part != nil:
		o.counters.Add("disk_parts_sent", 1)
		return disk.InstallPart(ctx, sent.part)
	}
	o.counters.Add("disk_appends_sent", 1)
	return disk.Append(ctx, sent.appended)
}

// mend reacts to a disk that did not take what it was sent, and says whether
// to go on sending.
func (o *Server) mend(s *slot, epoch uint64, entry *DiskEntry, ack *Ack) bool {
	pause := o.bounds.Load().Beat() / 2
	if ack != nil {
		switch ack.Why {
		case "epoch":
			o.stepDown(s, epoch, ack.Epoch)
			return false
		case "set":
			if o.agreeOnSet(entry, ack) {
				return true
			}
		case "behind":
			s.mu.Lock()
			if mark := s.progress[entry.Id]; s.epoch == epoch && mark != nil {
				mark.Installed, mark.Unresponsive = false, false
			}
			s.mu.Unlock()
			return true
		}
	}
	s.mu.Lock()
	if mark := s.progress[entry.Id]; s.epoch == epoch && mark != nil {
		mark.Unresponsive = ack == nil
		if ack != nil && ack.Why == "damaged" {
			delete(s.transfers, entry.Id)
		}
	}
	s.mu.Unlock()
	o.clock.Sleep(pause + time.Duration(o.clock.Int64N(int64(pause))))
	return true
}
