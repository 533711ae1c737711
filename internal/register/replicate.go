package register

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
)

// startSenders starts a sender for each disk of the set that has none yet. There
// is one sender for each shard that this core leads and each disk.
func (srv *Server) startSenders(s *shard) {
	set := srv.knownSet()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || s.progress == nil {
		return
	}
	for _, entry := range set.Disks {
		if s.progress[entry.Id] == nil {
			s.progress[entry.Id] = &consensus.Progress{}
			epoch := s.epoch
			srv.clock.Go(func() { srv.replicate(s, epoch, entry) })
		}
	}
}

// replicate keeps one disk up to date with one shard while this core leads it and
// the disk is in the set: it sends a snapshot if the disk needs one, then the
// entries that follow.
func (srv *Server) replicate(s *shard, epoch uint64, entry *DiskEntry) {
	for {
		changed := s.changed.Next()
		s.mu.Lock()
		if s.epoch != epoch {
			s.mu.Unlock()
			return
		}
		set := srv.knownSet()
		if !inSet(set, entry.Id) {
			delete(s.progress, entry.Id)
			delete(s.transfers, entry.Id)
			s.mu.Unlock()
			return
		}
		repair := s.majorityInstalled && s.needsSnapshot(entry.Id) && !s.progress[entry.Id].Unresponsive
		if repair {
			if ended := srv.beginRepair(entry.Id); ended != nil {
				s.mu.Unlock()
				ended.Wait(srv.bounds.Load().HeartbeatInterval() / 2)
				continue
			}
		}
		message := s.nextMessage(srv.claim(s, epoch, set, entry), entry.Id)
		s.mu.Unlock()
		if message == nil {
			changed.Wait(-1)
			continue
		}
		ack, pause, err := srv.deliver(s, epoch, entry, message, set.Stamp)
		if repair {
			if pause > 0 {
				srv.clock.Sleep(pause)
			}
			srv.endRepair(entry.Id)
		}
		if err != nil || !ack.Ok {
			if !srv.handleRejection(s, epoch, entry, ack) {
				return
			}
		}
	}
}

// deliver sends a message and records what the disk acknowledged. pause is how
// long the sender of a repair waits afterwards to stay within the repair rate.
func (srv *Server) deliver(s *shard, epoch uint64, entry *DiskEntry, message *diskMessage, setStamp uint64) (ack *Ack, pause time.Duration, err error) {
	if ack, err = srv.callDisk(entry, message); err != nil || !ack.Ok {
		return ack, 0, err
	}
	s.mu.Lock()
	partial := s.recordStaged(entry.Id, message, ack)
	pause = s.repairDelay(entry.Id, message)
	s.mu.Unlock()
	if partial {
		s.changed.Notify()
	} else {
		srv.recordAck(s, epoch, entry.Id, ack.Seq, setStamp)
	}
	return ack, pause, nil
}

// maxRepairsPerDisk bounds the snapshots that one core sends at the same time to
// each disk that is behind while its shards are served without it. So repairs
// stay below the live traffic, and a disk that falls silent does not delay
// another one's repair. Snapshots that a takeover itself needs are not limited.
const maxRepairsPerDisk = 2

// beginRepair reserves one of the disk's repairs, or returns a signal to wait
// for if all are in use.
func (srv *Server) beginRepair(diskID string) base.Signal {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.repairs[diskID] >= maxRepairsPerDisk {
		srv.counters.Add("repairs_paced", 1)
		return srv.repairEnded
	}
	srv.repairs[diskID]++
	return nil
}

// endRepair releases a reservation of beginRepair.
func (srv *Server) endRepair(diskID string) {
	srv.mu.Lock()
	if srv.repairs[diskID]--; srv.repairs[diskID] == 0 {
		delete(srv.repairs, diskID)
	}
	ended := srv.repairEnded
	srv.repairEnded = srv.clock.NewSignal()
	srv.mu.Unlock()
	ended.Fire()
}

// callDisk sends a message to a disk and returns its answer.
func (srv *Server) callDisk(entry *DiskEntry, message *diskMessage) (*Ack, error) {
	ctx, disk := base.NewCtx(srv.clock, srv.bounds.Load().DiskTimeout()), srv.diskClient(entry)
	switch {
	case message.install != nil:
		srv.counters.Add("disk_installs_sent", 1)
		return disk.Install(ctx, message.install)
	case message.part != nil:
		srv.counters.Add("disk_parts_sent", 1)
		return disk.InstallPart(ctx, message.part)
	}
	srv.counters.Add("disk_appends_sent", 1)
	return disk.Append(ctx, message.appendEntries)
}

// handleRejection handles a disk's rejection of a message, or the lack of an
// answer if ack is nil. It reports whether the sender should go on.
func (srv *Server) handleRejection(s *shard, epoch uint64, entry *DiskEntry, ack *Ack) bool {
	pause := srv.bounds.Load().HeartbeatInterval() / 2
	if ack != nil {
		switch ack.Why {
		case "epoch":
			srv.stepDown(s, epoch, ack.Epoch)
			return false
		case "set":
			if srv.resolveSetMismatch(entry, ack) {
				return true
			}
		case "behind":
			s.mu.Lock()
			if progress := s.progress[entry.Id]; s.epoch == epoch && progress != nil {
				progress.Installed, progress.Unresponsive = false, false
			}
			s.mu.Unlock()
			return true
		}
	}
	s.mu.Lock()
	if progress := s.progress[entry.Id]; s.epoch == epoch && progress != nil {
		progress.Unresponsive = ack == nil
		if ack != nil && ack.Why == "damaged" {
			delete(s.transfers, entry.Id)
		}
	}
	s.mu.Unlock()
	srv.clock.Sleep(pause + time.Duration(srv.clock.Int64N(int64(pause))))
	return true
}
