package register

import (
	"context"
	"encoding/binary"

	"fordseam/internal/base"
)

// Change executes an operation on a group's shard, or names the core to call
// instead.
func (srv *Server) Change(parent context.Context, request *ChangeRequest) (*ChangeReply, error) {
	ctx := base.CtxFromContext(parent, srv.clock)
	op, ok := srv.ops[request.Op]
	if !ok {
		return nil, base.ToTwirpError(base.Decline(400, "unknown_op", "unknown operation %q", request.Op))
	}
	s := srv.shards[ShardOf(request.Group)]
	hint, err := srv.ensureLeading(ctx, s)
	if hint != "" || err != nil {
		return &ChangeReply{Owner: hint}, base.ToTwirpError(err)
	}
	result, err := srv.apply(ctx, s, request.Group, func(tx *Tx) (any, error) { return op(tx, request.Args) })
	if err != nil {
		return nil, base.ToTwirpError(err)
	}
	return &ChangeReply{Result: base.MustMarshal(result)}, nil
}

// ensureLeading returns once this core leads the shard, taking it over if it is
// this core's turn, or returns the core that should lead it.
func (srv *Server) ensureLeading(ctx *base.Ctx, s *shard) (hint string, err error) {
	for {
		changed := s.changed.Next()
		s.mu.Lock()
		leads := s.phase == phaseLeading
		s.mu.Unlock()
		if leads {
			return "", nil
		}
		if srv.preferredLeader(s) != srv.view.SelfID() {
			srv.probeHigherRanked(ctx, s)
			if candidate := srv.higherRanked(s); candidate != "" {
				return candidate, nil
			}
		}
		srv.startTakeover(s)
		if !changed.Wait(ctx.Remaining() / 2) {
			if srv.knownSet() == nil { // without a disk set this core cannot find out by itself that it lacks a majority
				return "", base.Busy(503, "no_majority", 1, "this core knows no disk set")
			}
			return "", base.Busy(503, "slot_not_ready", 1, "shard %d has no leader yet: the takeover by this core has not finished", s.num)
		}
	}
}

// apply executes an operation on a shard that this core leads. An unchanged
// shard's epoch is confirmed before the result is returned.
func (srv *Server) apply(ctx *base.Ctx, s *shard, group string, operation func(tx *Tx) (any, error)) (any, error) {
	return srv.applyOperation(ctx, s, group, operation, true)
}

// applyInternal executes an operation of the leader itself. If it changes
// nothing, the epoch is not confirmed, because no caller relies on the result.
func (srv *Server) applyInternal(ctx *base.Ctx, s *shard, operation func(tx *Tx) (any, error)) (any, error) {
	return srv.applyOperation(ctx, s, "", operation, false)
}

// applyOperation runs an operation on the leader's copy of the shard, appends
// its puts as an entry for replication, and returns the result once a majority
// of the disks has every entry up to it.
func (srv *Server) applyOperation(ctx *base.Ctx, s *shard, group string, operation func(tx *Tx) (any, error), confirmUnchanged bool) (any, error) {
	s.mu.Lock()
	if s.phase != phaseLeading {
		s.mu.Unlock()
		return nil, base.Busy(503, "slot_not_ready", 1, "this core does not lead shard %d", s.num)
	}
	if s.backlogFull() {
		s.mu.Unlock()
		return nil, base.Busy(503, "slot_not_ready", 1, "too many changes of shard %d wait for a majority of the disks", s.num)
	}
	epoch := s.epoch
	tx := &Tx{Now: s.nowMs(srv.clock), Bounds: srv.bounds.Load(), Group: group, Epoch: epoch, kv: s.kv}
	result, opErr := operation(tx)
	changed := opErr == nil && len(tx.puts) > 0
	if changed {
		tx.Put(TimeKey, binary.AppendVarint(nil, tx.Now))
		s.lastSeq++
		s.entries = append(s.entries, &Entry{Seq: s.lastSeq, Puts: tx.puts})
		for _, put := range tx.puts {
			if put.Gone {
				s.kv.Remove(put.Key)
			} else {
				s.kv.Put(put.Key, put.Value)
			}
		}
	}
	targetSeq := s.lastSeq
	s.mu.Unlock()
	if changed {
		srv.counters.Add("register_changes", 1)
		s.changed.Notify()
	}
	if err := srv.waitCommitted(ctx, s, epoch, targetSeq); err != nil {
		return nil, err
	}
	if !changed && confirmUnchanged {
		if err := srv.confirmEpoch(ctx, s, epoch); err != nil {
			return nil, err
		}
	}
	return result, opErr
}

// waitCommitted waits until a majority of the disks has the shard up to targetSeq.
func (srv *Server) waitCommitted(ctx *base.Ctx, s *shard, epoch, targetSeq uint64) error {
	startedAt := srv.clock.Now()
	for {
		changed := s.changed.Next()
		s.mu.Lock()
		leads, committed := s.epoch == epoch, s.committed >= targetSeq
		s.mu.Unlock()
		switch {
		case !leads:
			return base.Indeterminate(503, "slot_moved", "shard %d changed leaders before a majority of the disks had change %d", s.num, targetSeq)
		case committed:
			return nil
		}
		if !changed.Wait(ctx.Remaining()) {
			srv.recordQuorum(false, startedAt)
			return base.Indeterminate(503, "no_majority", "a majority of the disks has not confirmed change %d of shard %d in time", targetSeq, s.num)
		}
	}
}
