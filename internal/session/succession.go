// The next Run after an owner is lost or leaves: taken by epoch by the standby or,
// failing it, by the node that noticed; and the standby's copy of the chain.

package session

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

type standbyCopy struct {
	turns []Turn
	at    time.Duration
}

// pickStandby prefers another zone.
func (k *Manager) pickStandby(session, not string) string {
	self := k.view.Self()
	near, far := []string{}, []string{}
	for _, member := range k.view.Available(membership.RoleGateway) {
		switch {
		case member.Id == self.Id || member.Id == not:
		case member.Zone != self.Zone:
			far = append(far, member.Id)
		default:
			near = append(near, member.Id)
		}
	}
	if order := append(base.Rendezvous(session, far), base.Rendezvous(session, near)...); len(order) > 0 {
		return order[0]
	}
	return ""
}

// takeOver has the next Run taken, by the understudy if it lives.
func (k *Manager) takeOver(ctx *base.Ctx, v *Request, record *Record) error {
	current, err := k.resolve(ctx, v, true)
	if err != nil {
		return err
	}
	if current.Run != record.Run {
		return nil
	}
	k.counters.Add("takeovers_asked", 1)
	request := &SucceedRequest{Session: current.ID, Program: current.Program, Assignment: current.assignment(), Why: "owner_lost"}
	if member, alive := k.view.Find(current.Standby); alive && member.Id != k.me() && !member.Leaving {
		reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Succeed(ctx.Within(k.bounds.Load().Call()), request)
		if err == nil {
			var next Record
			if json.Unmarshal(reply.Record, &next) == nil {
				k.remember(&next)
				return nil
			}
		}
	}
	_, err = k.succeedHere(ctx, request)
	return err
}

// Succeed makes this node the owner of a session's next Run.
func (k *Manager) Succeed(plain context.Context, request *SucceedRequest) (*SucceedReply, error) {
	record, err := k.succeedHere(base.CtxOf(plain, k.clock), request)
	if err != nil {
		return nil, base.ToWire(err)
	}
	return &SucceedReply{Record: base.Encode(record)}, nil
}

func (k *Manager) succeedHere(ctx *base.Ctx, request *SucceedRequest) (*Record, error) {
	if k.isDraining() {
		return nil, base.Busy(503, "draining", 1, "this node is leaving")
	}
	began := k.clock.Now()
	answer, err := k.change(ctx, request.Program, "session.succeed", ask{Session: request.Session, Run: request.Assignment.Run,
		NewRun: base.NewID(k.clock, "run-"), Owner: k.me(), Understudy: k.pickStandby(request.Session, request.Assignment.Owner), Why: request.Why})
	if err != nil {
		return nil, err
	}
	k.remember(answer.Record)
	if answer.Record.Owner == k.me() {
		if _, err := k.adopt(ctx, answer.Record); err != nil {
			return nil, err
		}
		k.counters.Add("runs_succeeded", 1)
		k.counters.Add("takeover_ms", (k.clock.Now() - began).Milliseconds())
	}
	return answer.Record, nil
}

// adopt brings the chain of a Run this node owns into memory, from its copy
// as understudy when that is whole, else from the register.
func (k *Manager) adopt(ctx *base.Ctx, record *Record) (*held, error) {
	k.mu.Lock()
	if found := k.held[record.ID]; found != nil && found.isRun(record.Run) {
		k.mu.Unlock()
		return found, nil
	}
	var turns []Turn
	if copied := k.copies[record.ID]; copied != nil && uint64(len(copied.turns)) >= record.TurnCount {
		if whole := copied.turns[:record.TurnCount]; record.TurnCount == 0 || whole[record.TurnCount-1].ID == record.LastTurn {
			turns = slices.Clone(whole)
		}
	}
	k.mu.Unlock()
	if uint64(len(turns)) < record.TurnCount {
		k.counters.Add("chains_read_from_register", 1)
		read, err := k.readChain(ctx, record)
		if err != nil {
			return nil, err
		}
		turns = read
	}
	return k.install(record, turns), nil
}

func (k *Manager) readChain(ctx *base.Ctx, record *Record) ([]Turn, error) {
	turns := []Turn{}
	for uint64(len(turns)) < record.TurnCount {
		answer, err := k.change(ctx, record.Program, "session.turns", ask{Session: record.ID, After: uint64(len(turns)), Limit: 64})
		if err != nil {
			return nil, err
		}
		if len(answer.Turns) == 0 {
			return nil, base.Decline(410, "history_gone", "the session's history is no longer kept")
		}
		turns = append(turns, answer.Turns...)
	}
	return turns[:record.TurnCount], nil
}

// Offer takes a turn of a chain this node understudies.
func (k *Manager) Offer(_ context.Context, request *OfferRequest) (*OfferReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	copied := k.copies[request.Session]
	if copied == nil {
		copied = &standbyCopy{}
		k.copies[request.Session] = copied
	}
	copied.at = k.clock.Now()
	var turn Turn
	if len(request.Turn) > 0 && json.Unmarshal(request.Turn, &turn) == nil && request.Turns >= 1 {
		if uint64(len(copied.turns)) >= request.Turns-1 {
			copied.turns = append(copied.turns[:request.Turns-1:request.Turns-1], turn)
		}
	}
	return &OfferReply{Turns: uint64(len(copied.turns))}, nil
}

func (k *Manager) handOver(h *held, end time.Duration) {
	defer h.handed.Fire()
	for {
		next := h.bell.Next()
		if h.quiet() {
			break
		}
		if !next.Wait(max(0, end-k.clock.Now())) {
			break
		}
	}
	record := h.snapshot()
	if record.Phase.Terminal() {
		return
	}
	request := &SucceedRequest{Session: record.ID, Program: record.Program, Assignment: record.assignment(), Why: "owner_leaving"}
	tried := map[string]bool{k.me(): true}
	for _, id := range []string{record.Standby, k.pickStandby(record.ID, record.Standby)} {
		member, alive := k.view.Find(id)
		if !alive || member.Leaving || tried[id] {
			continue
		}
		tried[id] = true
		ctx := base.NewCtx(k.clock, k.bounds.Load().Call())
		reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Succeed(ctx, request)
		if err == nil {
			var next Record
			if json.Unmarshal(reply.Record, &next) == nil {
				k.remember(&next)
			}
			h.lose()
			k.counters.Add("sessions_handed_over", 1)
			return
		}
	}
}
