// Deciding changes: the operation runs on the owner's content, its entry is
// replicated, and the answer waits for a majority.

package register

import (
	"context"
	"encoding/binary"

	"fordseam/internal/base"
)

// Change answers the asker of an op, or names the core to ask instead.
func (o *Server) Change(plain context.Context, request *ChangeRequest) (*ChangeReply, error) {
	ctx := base.CtxOf(plain, o.clock)
	op, ok := o.ops[request.Op]
	if !ok {
		return nil, base.ToWire(base.Decline(400, "unknown_op", "unknown op %q", request.Op))
	}
	s := o.slots[ShardOf(request.Group)]
	hint, err := o.await(ctx, s)
	if hint != "" || err != nil {
		return &ChangeReply{Owner: hint}, base.ToWire(err)
	}
	result, err := o.decide(ctx, s, request.Group, func(tx *Tx) (any, error) { return op(tx, request.Args) })
	if err != nil {
		return nil, base.ToWire(err)
	}
	return &ChangeReply{Result: base.Encode(result)}, nil
}

// await gets this core to serve the slot, or names who should.
func (o *Server) await(ctx *base.Ctx, s *slot) (hint string, err error) {
	for {
		next := s.bell.Next()
		s.mu.Lock()
		serves := s.phase == serving
		s.mu.Unlock()
		if serves {
			return "", nil
		}
		if o.preferred(s) != o.view.SelfID() {
			o.lookAhead(ctx, s)
			if other := o.ahead(s); other != "" {
				return other, nil
			}
		}
		o.start(s)
		if !next.Wait(ctx.Left() / 2) {
			if o.knownSet() == nil { // such a core cannot find that it lacks a majority
				return "", base.Busy(503, "no_majority", 1, "no disks are known here")
			}
			return "", base.Busy(503, "slot_not_ready", 1, "no majority of disks has answered yet")
		}
	}
}

func (o *Server) decide(ctx *base.Ctx, s *slot, group string, decide func(tx *Tx) (any, error)) (any, error) {
	return o.decideSaid(ctx, s, group, decide, true)
}

// decideUnsaid is a change of the owner's own: where nothing changes, nobody is
// told so, and the epoch need not be confirmed.
func (o *Server) decideUnsaid(ctx *base.Ctx, s *slot, decide func(tx *Tx) (any, error)) (any, error) {
	return o.decideSaid(ctx, s, "", decide, false)
}

func (o *Server) decideSaid(ctx *base.Ctx, s *slot, group string, decide func(tx *Tx) (any, error), said bool) (any, error) {
	s.mu.Lock()
	if s.phase != serving {
		s.mu.Unlock()
		return nil, base.Busy(503, "slot_not_ready", 1, "the slot is changing hands")
	}
	if s.crowded() {
		s.mu.Unlock()
		return nil, base.Busy(503, "slot_not_ready", 1, "too many changes wait for a majority of the disks")
	}
	epoch := s.epoch
	tx := &Tx{Now: s.now(o.clock), Bounds: o.bounds.Load(), Group: group, Epoch: epoch, held: s.held}
	result, declined := decide(tx)
	changed := declined == nil && len(tx.puts) > 0
	if changed {
		tx.Put(TimeKey, binary.AppendVarint(nil, tx.Now))
		s.tail++
		s.buffer = append(s.buffer, &Entry{Seq: s.tail, Puts: tx.puts})
		for _, put := range tx.puts {
			if put.Gone {
				s.held.Remove(put.Key)
			} else {
				s.held.Put(put.Key, put.Value)
			}
		}
	}
	target := s.tail
	s.mu.Unlock()
	if changed {
		o.counters.Add("register_changes", 1)
		s.bell.Ring()
	}
	if err := o.settled(ctx, s, epoch, target); err != nil {
		return nil, err
	}
	if !changed && said {
		if err := o.confirm(ctx, s, epoch); err != nil {
			return nil, err
		}
	}
	return result, declined
}

// settled waits until a majority has the slot up to target.
func (o *Server) settled(ctx *base.Ctx, s *slot, epoch, target uint64) error {
	began := o.clock.Now()
	for {
		next := s.bell.Next()
		s.mu.Lock()
		mine, done := s.epoch == epoch, s.commit >= target
		s.mu.Unlock()
		switch {
		case !mine:
			return base.Unsure(503, "slot_moved", "the slot changed hands before a majority had the change")
		case done:
			return nil
		}
		if !next.Wait(ctx.Left()) {
			o.noteQuorum(false, began)
			return base.Unsure(503, "no_majority", "a majority of disks has not confirmed the change")
		}
	}
}
