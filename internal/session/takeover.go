package session

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

// standbyCopy is the copy of a chain on the session's standby.
type standbyCopy struct {
	turns     []Turn
	updatedAt time.Duration
}

// pickStandby returns a live gateway for a session's standby, preferably in another
// zone, or "".
func (m *Manager) pickStandby(session, excluded string) string {
	self := m.view.Self()
	sameZone, otherZones := []string{}, []string{}
	for _, member := range m.view.Available(membership.RoleGateway) {
		switch {
		case member.Id == self.Id || member.Id == excluded:
		case member.Zone != self.Zone:
			otherZones = append(otherZones, member.Id)
		default:
			sameZone = append(sameZone, member.Id)
		}
	}
	if candidates := append(base.RendezvousOrder(session, otherZones), base.RendezvousOrder(session, sameZone)...); len(candidates) > 0 {
		return candidates[0]
	}
	return ""
}

// takeOver has the next Run of a session taken after its owner was lost: by the
// standby if it is alive, or else by this node. It does nothing when the session has
// a later Run already.
func (m *Manager) takeOver(ctx *base.Ctx, req *Request, record *Record) error {
	current, err := m.lookupRecord(ctx, req, true)
	if err != nil {
		return err
	}
	if current.Run != record.Run {
		return nil
	}
	m.counters.Add("takeovers_asked", 1)
	request := &SucceedRequest{Session: current.ID, Program: current.Program, Assignment: current.assignment(), Why: "owner_lost"}
	if member, alive := m.view.Find(current.Standby); alive && member.Id != m.nodeID() && !member.Leaving {
		reply, err := NewOwnerProtobufClient("http://"+member.Addr, m.httpClient).Succeed(ctx.WithTimeout(m.bounds.Load().CoreCallTimeout()), request)
		if err == nil {
			var next Record
			if json.Unmarshal(reply.Record, &next) == nil {
				m.cacheRecord(&next)
				return nil
			}
		}
	}
	_, err = m.takeRun(ctx, request)
	return err
}

// Succeed makes this node the owner of a session's next Run, as another node asks.
func (m *Manager) Succeed(rawCtx context.Context, request *SucceedRequest) (*SucceedReply, error) {
	record, err := m.takeRun(base.CtxFromContext(rawCtx, m.clock), request)
	if err != nil {
		return nil, base.ToTwirpError(err)
	}
	return &SucceedReply{Record: base.MustMarshal(record)}, nil
}

// takeRun takes the next Run of a session for this node and returns the record of the
// Run that the session has then.
func (m *Manager) takeRun(ctx *base.Ctx, request *SucceedRequest) (*Record, error) {
	if m.isDraining() {
		return nil, base.Busy(503, "draining", 1, "this node is draining and takes over no sessions")
	}
	began := m.clock.Now()
	result, err := m.changeRegister(ctx, request.Program, "session.succeed", changeArgs{Session: request.Session, Run: request.Assignment.Run,
		NewRun: base.NewID(m.clock, "run-"), Owner: m.nodeID(), Standby: m.pickStandby(request.Session, request.Assignment.Owner), Reason: request.Why})
	if err != nil {
		return nil, err
	}
	m.cacheRecord(result.Record)
	if result.Record.Owner == m.nodeID() {
		if _, err := m.loadRun(ctx, result.Record); err != nil {
			return nil, err
		}
		m.counters.Add("runs_succeeded", 1)
		m.counters.Add("takeover_ms", (m.clock.Now() - began).Milliseconds())
	}
	return result.Record, nil
}

// loadRun loads the chain of a Run that this node owns into memory: from its standby
// copy when that is complete, or else from the register.
func (m *Manager) loadRun(ctx *base.Ctx, record *Record) (*ownedSession, error) {
	m.mu.Lock()
	if existing := m.owned[record.ID]; existing != nil && existing.isCurrentRun(record.Run) {
		m.mu.Unlock()
		return existing, nil
	}
	var turns []Turn
	if standby := m.standbyCopies[record.ID]; standby != nil && uint64(len(standby.turns)) >= record.TurnCount {
		if completed := standby.turns[:record.TurnCount]; record.TurnCount == 0 || completed[record.TurnCount-1].ID == record.LastTurn {
			turns = slices.Clone(completed)
		}
	}
	m.mu.Unlock()
	if uint64(len(turns)) < record.TurnCount {
		m.counters.Add("chains_read_from_register", 1)
		read, err := m.readChain(ctx, record)
		if err != nil {
			return nil, err
		}
		turns = read
	}
	return m.addOwned(record, turns), nil
}

// readChain reads the turns of a session from the register.
func (m *Manager) readChain(ctx *base.Ctx, record *Record) ([]Turn, error) {
	turns := []Turn{}
	for uint64(len(turns)) < record.TurnCount {
		result, err := m.changeRegister(ctx, record.Program, "session.turns", changeArgs{Session: record.ID, After: uint64(len(turns)), Limit: 64})
		if err != nil {
			return nil, err
		}
		if len(result.Turns) == 0 {
			return nil, base.Decline(410, "history_gone", "the session's history is no longer retained")
		}
		turns = append(turns, result.Turns...)
	}
	return turns[:record.TurnCount], nil
}

// Offer stores a turn of a session that this node is the standby for, and answers how
// many turns of the chain it has. A turn after a gap is not stored.
func (m *Manager) Offer(_ context.Context, request *OfferRequest) (*OfferReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	standby := m.standbyCopies[request.Session]
	if standby == nil {
		standby = &standbyCopy{}
		m.standbyCopies[request.Session] = standby
	}
	standby.updatedAt = m.clock.Now()
	var turn Turn
	if len(request.Turn) > 0 && json.Unmarshal(request.Turn, &turn) == nil && request.Turns >= 1 {
		if uint64(len(standby.turns)) >= request.Turns-1 {
			standby.turns = append(standby.turns[:request.Turns-1:request.Turns-1], turn)
		}
	}
	return &OfferReply{Turns: uint64(len(standby.turns))}, nil
}

// handOver waits until a session is idle, or until deadline, and has its standby or
// another gateway take the next Run.
func (m *Manager) handOver(s *ownedSession, deadline time.Duration) {
	defer s.handedOver.Fire()
	for {
		next := s.changed.Next()
		if s.idle() {
			break
		}
		if !next.Wait(max(0, deadline-m.clock.Now())) {
			break
		}
	}
	record := s.recordCopy()
	if record.Phase.Terminal() {
		return
	}
	request := &SucceedRequest{Session: record.ID, Program: record.Program, Assignment: record.assignment(), Why: "owner_leaving"}
	tried := map[string]bool{m.nodeID(): true}
	for _, id := range []string{record.Standby, m.pickStandby(record.ID, record.Standby)} {
		member, alive := m.view.Find(id)
		if !alive || member.Leaving || tried[id] {
			continue
		}
		tried[id] = true
		ctx := base.NewCtx(m.clock, m.bounds.Load().CoreCallTimeout())
		reply, err := NewOwnerProtobufClient("http://"+member.Addr, m.httpClient).Succeed(ctx, request)
		if err == nil {
			var next Record
			if json.Unmarshal(reply.Record, &next) == nil {
				m.cacheRecord(&next)
			}
			s.loseRun()
			m.counters.Add("sessions_handed_over", 1)
			return
		}
	}
}
