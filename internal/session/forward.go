package session

import (
	"context"
	"encoding/json"

	"fordseam/internal/base"
)

// forward sends the request to the session's owner once, marked so that the owner
// does not forward it again.
func (m *Manager) forward(ctx *base.Ctx, record *Record, req *Request) (*Reply, error) {
	member, alive := m.view.Find(record.Owner)
	if member == nil || !alive {
		return nil, base.Busy(503, "unreachable", 1, "the session's owner is not known to be alive")
	}
	m.counters.Add("visits_forwarded", 1)
	timeout := m.bounds.Load().CoreCallTimeout() / 2
	reply, err := NewOwnerProtobufClient("http://"+member.Addr, m.httpClient).Forward(ctx.WithTimeout(timeout), &ForwardRequest{
		Visit: req.ID, From: m.nodeID(), Forwarded: true, Assignment: record.assignment(), Request: base.MustMarshal(req)})
	if err != nil {
		requestErr := base.ToRequestError(err)
		if requestErr.Code == "unreachable" || requestErr.Code == "owner_lost" {
			m.view.Suspect(record.Owner)
		}
		return nil, requestErr
	}
	if reply.Stream != "" {
		return &Reply{Status: 200, Stream: &Reader{manager: m, turn: req.Turn, attempt: reply.Leg, position: reply.Place,
			remote: &remoteStream{id: reply.Stream, run: record.Run, owner: record.Owner}}}, nil
	}
	return &Reply{Status: 200, Body: json.RawMessage(reply.Reply)}, nil
}

// Forward serves a request that another gateway forwarded to this node as the
// session's owner. It never forwards the request again.
func (m *Manager) Forward(rawCtx context.Context, msg *ForwardRequest) (*ForwardReply, error) {
	ctx := base.CtxFromContext(rawCtx, m.clock)
	var req Request
	if err := json.Unmarshal(msg.Request, &req); err != nil || !msg.Forwarded {
		return nil, base.ToTwirpError(base.Decline(400, "bad_request", "not a valid forwarded request"))
	}
	if msg.Assignment.GetOwner() != m.nodeID() {
		// The caller means an earlier process at this address.
		return nil, base.ToTwirpError(base.Busy(503, "owner_lost", 1, "the owner was an earlier process at this address"))
	}
	record := &Record{ID: req.Session, Program: req.Program, Run: msg.Assignment.Run, Epoch: msg.Assignment.Epoch, Owner: m.nodeID()}
	var reply *Reply
	err := m.follower.WaitForLease(ctx)
	if err == nil {
		reply, err = m.serve(ctx, record, &req)
	}
	if err != nil {
		// The forwarding node reports "not run" to its client, so a late copy must not run.
		if requestErr := base.ToRequestError(err); requestErr.Execution == base.NotRun && requestErr.Code != "stale_assignment" && requestErr.Code != "handing_over" {
			err = m.recordDecline(&req, requestErr)
		}
		return nil, base.ToTwirpError(err)
	}
	if reply.Stream != nil {
		stream := reply.Stream.local
		streamID := msg.Assignment.Run + "/" + req.Turn
		m.mu.Lock()
		m.forwardedStreams[streamID] = stream
		m.mu.Unlock()
		return &ForwardReply{Stream: streamID, Leg: stream.attemptID(), Place: reply.Stream.position}, nil
	}
	return &ForwardReply{Reply: base.MustMarshal(reply.Body)}, nil
}

// withdraw asks an owner whose reply was lost to fence the request. The request
// counts as not run only if the owner confirms that it will never run.
func (m *Manager) withdraw(record *Record, req *Request, requestErr *base.RequestError) error {
	uncertain := base.Indeterminate(504, "owner_silent", "the session's owner did not answer in time")
	member, _ := m.view.Find(record.Owner)
	if member == nil {
		return uncertain
	}
	ctx := base.NewCtx(m.clock, m.bounds.Load().CoreCallTimeout()/2)
	reply, err := NewOwnerProtobufClient("http://"+member.Addr, m.httpClient).Withdraw(ctx, &WithdrawRequest{Visit: req.ID, Session: req.Session, Turn: req.Turn, Run: record.Run})
	if err != nil || !reply.Fenced {
		return uncertain
	}
	return base.Busy(503, "owner_silent", 1, "the session's owner did not answer in time and withdrew the request: %s", requestErr.Message)
}

// Withdraw fences a request that was not accepted: later copies of it are declined,
// and so is its turn in whichever request it comes.
func (m *Manager) Withdraw(_ context.Context, request *WithdrawRequest) (*WithdrawReply, error) {
	m.mu.Lock()
	s := m.owned[request.Session]
	fenced := s != nil && s.isCurrentRun(request.Run) && m.fence(s, request)
	m.mu.Unlock()
	if !fenced || request.Turn == "" {
		return &WithdrawReply{Fenced: fenced}, nil
	}
	refusal := m.recordRefusal(s, request.Turn, base.Decline(503, "withdrawn", "the request was withdrawn"))
	if refusal.Execution != base.NotRun {
		s.forgetRefusal(request.Turn)
	}
	return &WithdrawReply{Fenced: refusal.Execution == base.NotRun}, nil
}

// fence makes this node decline a request and its turn from now on, and reports
// whether it could: not when the request was accepted or may have run. The caller
// holds m.mu.
func (m *Manager) fence(s *ownedSession, request *WithdrawRequest) bool {
	withdrawn := &requestOutcome{requestErr: base.Decline(503, "withdrawn", "the request was withdrawn"), recordedAt: m.clock.Now()}
	if outcome := m.outcomes[request.Visit]; outcome != nil && (outcome.requestErr == nil || outcome.requestErr.Execution != base.NotRun) {
		return false
	}
	if request.Turn != "" && !s.refuseUnknown(request.Turn, withdrawn) {
		return false
	}
	if m.outcomes[request.Visit] == nil {
		m.outcomes[request.Visit] = withdrawn
	}
	return true
}

// beginRequest marks a request as seen. A copy of one that was declined gets the
// same error again.
func (m *Manager) beginRequest(req *Request) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if outcome := m.outcomes[req.ID]; outcome != nil && outcome.requestErr != nil {
		return outcome.requestErr
	}
	m.outcomes[req.ID] = &requestOutcome{recordedAt: m.clock.Now()}
	return nil
}

// markAccepted marks a request whose turn is in the queue.
func (m *Manager) markAccepted(req *Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[req.ID] = &requestOutcome{recordedAt: m.clock.Now(), accepted: true}
}

// recordDecline stores the error that a request was declined with and returns it.
// When a copy of the request was accepted before, the error says instead that it
// may have run.
func (m *Manager) recordDecline(req *Request, requestErr *base.RequestError) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if outcome := m.outcomes[req.ID]; outcome != nil && outcome.accepted {
		return base.Indeterminate(requestErr.Status, requestErr.Code, "%s", requestErr.Message)
	}
	m.outcomes[req.ID] = &requestOutcome{requestErr: requestErr, recordedAt: m.clock.Now()}
	return requestErr
}
