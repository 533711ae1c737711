package register

import (
	"encoding/binary"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"

	"github.com/emirpasic/gods/maps/treemap"
)

// preferredLeader returns the first candidate to lead a shard.
func (srv *Server) preferredLeader(s *shard) string {
	candidates := leaderCandidates(srv.view, s.num)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[0]
}

// maxProbedCores is how many of the candidates that rank before this core are
// probed at once.
const maxProbedCores = 3

// higherRanked returns the core that should lead a shard instead of this one: the
// first candidate that answers this core, whether it answers others or not. It
// returns "" if this core should, and the preferred leader if this core is no
// candidate and none of them answers it. A shard that a silent core leads is taken
// from it under a higher epoch.
func (srv *Server) higherRanked(s *shard) string {
	for _, id := range leaderCandidates(srv.view, s.num) {
		switch {
		case id == srv.view.SelfID():
			return ""
		case !srv.unresponsive(id):
			return id
		}
	}
	return srv.preferredLeader(s)
}

// unresponsive reports whether a core has not answered this one within the last two
// heartbeat intervals.
func (srv *Server) unresponsive(coreID string) bool {
	return srv.view.Unanswered(coreID, 2*srv.bounds.Load().HeartbeatInterval())
}

// probeHigherRanked probes the candidates that rank before this core, since a
// client that calls this core may have found them silent, and what this core
// knows of them may be old. It waits until the first one has answered, or has had
// a heartbeat interval to do so.
func (srv *Server) probeHigherRanked(ctx *base.Ctx, s *shard) {
	var first base.Signal
	for rank, id := range leaderCandidates(srv.view, s.num) {
		if id == srv.view.SelfID() || rank >= maxProbedCores {
			break
		}
		if probe := srv.view.Probe(id); rank == 0 && !srv.unresponsive(id) {
			first = probe
		}
	}
	if first != nil {
		first.Wait(min(ctx.Remaining()/2, srv.bounds.Load().HeartbeatInterval()*11/10))
	}
}

// startTakeover starts a task that takes a shard over, unless this core leads it,
// is taking it over already, or is closed. A takeover that fails because the disks
// have promised a higher epoch is repeated at once above that epoch.
func (srv *Server) startTakeover(s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != phaseIdle || srv.isClosed() {
		return
	}
	s.phase = phaseTakeover
	srv.clock.Go(func() {
		err := srv.takeOver(s)
		if base.IsCode(err, "older_epoch") {
			err = srv.takeOver(s) // the disks have reported their epoch
		}
		if err != nil {
			srv.counters.Add("slot_takes_failed", 1)
			srv.takeoverBackoff(err)
			s.mu.Lock()
			s.phase = phaseIdle
			s.mu.Unlock()
			s.changed.Notify()
		}
	})
}

// takeoverBackoff waits before a shard's takeover may be tried again. Without a
// disk set it waits for a change of the membership view, since only storage
// machines can tell the set.
func (srv *Server) takeoverBackoff(cause error) {
	pause := srv.bounds.Load().HeartbeatInterval() / 4
	if base.IsCode(cause, "no_disks") {
		srv.view.NextChange().Wait(pause)
		return
	}
	srv.clock.Sleep(pause + time.Duration(srv.clock.Int64N(int64(pause))))
}

// takeOver takes a shard over. A majority of the disks must promise a higher
// epoch; the newest content among theirs is read and sent to all disks under that
// epoch, and the core leads the shard once a majority has installed it. This may
// take one call's time, which begins anew whenever a disk accepts a part of a
// large snapshot.
func (srv *Server) takeOver(s *shard) error {
	set := srv.LookupDiskSet()
	if set == nil {
		return base.Busy(503, "no_disks", 1, "shard %d cannot be taken over: no disk set is known", s.num)
	}
	s.mu.Lock()
	s.highestEpoch++
	epoch := s.highestEpoch
	s.mu.Unlock()
	startedAt := srv.clock.Now()
	var promises promiseSet
	var mu sync.Mutex
	superseded := false // a disk has promised this epoch or a higher one to another core
	majorityPromised := base.CallQuorum(srv.clock, voters(set), majority(set), srv.bounds.Load().DiskTimeout(), func(ctx *base.Ctx, entry *DiskEntry) bool {
		reply, err := srv.requestPromise(ctx, entry, &PromiseRequest{Claim: srv.claim(s, epoch, set, entry)})
		if err != nil {
			return false
		}
		if !reply.Ack.Ok {
			srv.resolveSetMismatch(entry, reply.Ack)
			s.mu.Lock()
			s.highestEpoch = max(s.highestEpoch, reply.Ack.Epoch)
			s.mu.Unlock()
			mu.Lock()
			superseded = superseded || reply.Ack.Epoch >= epoch
			mu.Unlock()
			return false
		}
		promises.add(entry, reply)
		return true
	})
	if !majorityPromised {
		mu.Lock()
		retry := superseded
		mu.Unlock()
		if retry {
			return base.Busy(503, "older_epoch", 1, "the disks have promised a higher epoch of shard %d than %d", s.num, epoch)
		}
		srv.recordQuorum(false, startedAt)
		return base.Busy(503, "no_majority", 1, "no majority of disks promised epoch %d of shard %d", epoch, s.num)
	}
	srv.recordQuorum(true, startedAt)
	newest, ageMs, holders := promises.newest()
	puts, err := srv.readNewestContent(s, epoch, set, newest, holders)
	if err != nil {
		return err
	}
	kv := treemap.NewWithStringComparator()
	for _, put := range puts {
		kv.Put(put.Key, put.Value)
	}
	s.mu.Lock()
	s.epoch, s.kv, s.lastSeq, s.committed, s.majorityInstalled, s.entries = epoch, kv, newest.Seq, 0, false, nil
	s.timeMs, s.timeSetAt = 0, srv.clock.Now()
	if raw, ok := kv.Get(TimeKey); ok {
		storedMs, _ := binary.Varint(raw.([]byte))
		s.timeMs = storedMs + ageMs // time that passed since then; no disk has held the change for longer
	}
	s.progress, s.transfers = map[string]*consensus.Progress{}, map[string]*transfer{}
	s.mu.Unlock()
	srv.startSenders(s)
	deadline, partsAccepted := srv.clock.Now()+srv.bounds.Load().CoreCallTimeout(), 0
	for {
		changed := s.changed.Next()
		s.mu.Lock()
		if s.partsAccepted != partsAccepted {
			deadline, partsAccepted = srv.clock.Now()+srv.bounds.Load().CoreCallTimeout(), s.partsAccepted
		}
		if s.epoch != epoch {
			s.mu.Unlock()
			return base.Busy(503, "fenced", 1, "another core took shard %d over under a higher epoch", s.num)
		}
		if s.majorityInstalled {
			s.phase = phaseLeading
			s.mu.Unlock()
			s.changed.Notify()
			srv.counters.Add("slots_taken", 1)
			return nil
		}
		s.mu.Unlock()
		if !changed.Wait(max(0, deadline-srv.clock.Now())) {
			return base.Busy(503, "no_majority", 1, "no majority of disks installed shard %d under epoch %d in time", s.num, epoch)
		}
	}
}

// requestPromise requests a disk's promise and repeats the request while the disk
// cannot be reached. After an outage disks come back one by one, and the takeover
// must not miss the last one that a majority needs.
func (srv *Server) requestPromise(ctx *base.Ctx, entry *DiskEntry, request *PromiseRequest) (*PromiseReply, error) {
	for {
		reply, err := srv.diskClient(entry).Promise(ctx, request)
		pause := srv.bounds.Load().HeartbeatInterval() / 12
		if err == nil || !base.WasNotSent(err) || ctx.Remaining() < pause || srv.isClosed() {
			return reply, err
		}
		srv.clock.Sleep(pause/2 + time.Duration(srv.clock.Int64N(int64(pause))))
	}
}

// stepDown stops leading a shard under an epoch, because a higher one was promised.
func (srv *Server) stepDown(s *shard, epoch, higher uint64) {
	s.mu.Lock()
	s.highestEpoch = max(s.highestEpoch, higher)
	if s.epoch == epoch {
		if s.phase == phaseLeading {
			s.phase = phaseIdle
			srv.counters.Add("slots_lost", 1)
		}
		s.epoch, s.kv, s.entries, s.progress, s.transfers = 0, nil, nil, nil, nil
	}
	s.mu.Unlock()
	s.changed.Notify()
}
