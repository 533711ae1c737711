package session

import (
	"strconv"
	"strings"
	"time"

	"fordseam/internal/base"
)

// submit accepts a turn, joins one that is under way, or replays one that was
// answered. A turn that names its previous turn after the Run has ended starts the
// session's next Run; stale_assignment then makes the caller try again there.
func (m *Manager) submit(ctx *base.Ctx, s *ownedSession, req *Request) (*Reply, error) {
	digest := base.Digest(append([]byte(req.Previous+"\n"+strconv.FormatInt(req.MaxTokens, 10)+"\n"), req.Messages...))
	reply, err := m.accept(s, req, digest)
	if requestErr, ok := err.(*base.RequestError); ok && requestErr.Code == "run_over" {
		if req.Previous == "" {
			return nil, requestErr
		}
		record := s.recordCopy()
		_, err := m.takeRun(ctx, &SucceedRequest{Session: record.ID, Program: record.Program, Assignment: record.assignment(), Why: "after_" + strings.ToLower(string(record.Phase))})
		if err != nil {
			return nil, err
		}
		return nil, staleAssignment()
	}
	return reply, err
}

// newReader returns a reader of a turn's stream, from the position that the client has
// reached when it read some of the same attempt before.
func (m *Manager) newReader(stream *Stream, req *Request) (*Reply, error) {
	reader := &Reader{manager: m, turn: req.Turn, local: stream}
	if req.LastAttempt != "" {
		if attempt := stream.attemptID(); attempt != req.LastAttempt {
			return nil, base.Indeterminate(409, "leg_changed", "the pieces received belong to another attempt of this turn; read the turn from the start")
		}
		reader.position = min(req.LastPiece, uint64(stream.pieceCount()))
		reader.delivered = reader.position
	}
	return &Reply{Status: 200, Stream: reader}, nil
}

// accept queues a turn, once per Turn-Id: the same id again joins the turn or
// replays its answer, or is refused as it was before. Turns of a session run one at
// a time, in the order accepted. A turn that failed and may have run can be
// accepted again.
func (m *Manager) accept(s *ownedSession, req *Request, digest string) (*Reply, error) {
	s.mu.Lock()
	if turn := s.completedTurn(req.Turn); turn != nil {
		run := s.record.Run
		s.mu.Unlock()
		if turn.Digest != digest {
			return nil, turnIDReused()
		}
		m.counters.Add("turns_replayed", 1)
		return m.newReader(replayStream(m.clock, turn, run), req)
	}
	if op := s.operations[req.Turn]; op != nil {
		retryable := (op.state == OpFailed || op.state == OpTimedOut) && op.requestErr.Execution == base.MayHaveRun
		if op.digest != digest {
			s.mu.Unlock()
			return nil, turnIDReused()
		}
		if !retryable {
			s.mu.Unlock()
			m.counters.Add("turns_joined", 1)
			return m.newReader(op.stream, req)
		}
	}
	if refusal := s.refusals[req.Turn]; refusal != nil {
		s.mu.Unlock()
		return nil, refusal.requestErr
	}
	if req.LastAttempt != "" {
		s.mu.Unlock()
		return nil, base.Indeterminate(409, "leg_changed", "the pieces received belong to an attempt of this turn that was lost; read the turn from the start")
	}
	if s.lost {
		s.mu.Unlock()
		return nil, staleAssignment()
	}
	if s.record.Phase.Terminal() {
		s.mu.Unlock()
		return nil, base.Decline(409, "run_over", "the session's Run has ended; send Previous-Turn to continue in a new Run")
	}
	s.mu.Unlock()
	if err := m.beginRequest(req); err != nil {
		return nil, err
	}
	s.mu.Lock()
	var requestErr *base.RequestError
	if s.record.Phase != Ready {
		requestErr = base.Decline(503, "session_draining", "the session is closing and accepts no new turns")
	} else if len(s.queue) >= s.record.QueueSize {
		requestErr = base.Busy(429, "queue_full", 1, "the session's queue of %d turns is full", s.record.QueueSize)
	}
	if requestErr != nil {
		if s.record.isUncertain(req.Turn) {
			requestErr = afterLostAttempt(requestErr)
		}
		s.refusals[req.Turn] = &requestOutcome{requestErr: requestErr, recordedAt: m.clock.Now()}
		s.mu.Unlock()
		m.counters.Add("turns_declined", 1)
		if requestErr.Execution == base.NotRun {
			if requestErr = m.recordRefusal(s, req.Turn, requestErr); requestErr.Execution != base.NotRun {
				s.forgetRefusal(req.Turn)
			}
		}
		return nil, m.recordDecline(req, requestErr)
	}
	op := &operation{id: req.Turn, digest: digest, request: req, state: OpQueued, stream: newStream(m.clock), cancelled: m.clock.NewSignal(),
		deadline: m.clock.Now() + time.Duration(s.record.TimeoutMs)*time.Millisecond}
	s.operations[req.Turn] = op
	s.queue = append(s.queue, op)
	startQueue := !s.working
	s.working = true
	s.mu.Unlock()
	m.markAccepted(req)
	m.counters.Add("turns_accepted", 1)
	if startQueue {
		m.clock.Go(func() { m.runQueue(s) })
	}
	return m.newReader(op.stream, req)
}

func turnIDReused() *base.RequestError {
	return base.Decline(409, "turn_id_reused", "this Turn-Id was already used with a different request body")
}

// runQueue runs the queued turns, one at a time, until the queue is empty or the Run
// is lost.
func (m *Manager) runQueue(s *ownedSession) {
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || s.lost {
			s.working, s.running = false, nil
			s.mu.Unlock()
			s.changed.Notify()
			_ = m.finalizeIfIdle(base.NewCtx(m.clock, m.bounds.Load().CoreCallTimeout()), s)
			return
		}
		op := s.queue[0]
		s.queue = s.queue[1:]
		op.state = OpRunning
		s.running = op
		s.mu.Unlock()
		state, requestErr := m.runTurn(s, op)
		if requestErr != nil {
			if requestErr.Code == "stale_assignment" {
				s.loseRun()
				continue
			}
			m.counters.Add("turns_"+strings.ToLower(string(state)), 1)
			m.endUnsuccessfully(s, op, state, requestErr)
		}
	}
}
