// Visits that the owner elsewhere serves: carried to it once, marked so that they
// go no further, and withdrawn where the outcome is unknown.

package session

import (
	"context"
	"encoding/json"

	"fordseam/internal/base"
)

// forward carries the visit to the owner once.
func (k *Manager) forward(ctx *base.Ctx, record *Record, v *Request) (*Reply, error) {
	member, alive := k.view.Find(record.Owner)
	if member == nil || !alive {
		return nil, base.Busy(503, "unreachable", 1, "the owner is not known to be alive")
	}
	k.counters.Add("visits_forwarded", 1)
	limit := k.bounds.Load().Call() / 2
	reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Forward(ctx.Within(limit), &ForwardRequest{
		Visit: v.ID, From: k.me(), Forwarded: true, Assignment: record.assignment(), Request: base.Encode(v)})
	if err != nil {
		verdict := base.FromWire(err)
		if verdict.Code == "unreachable" || verdict.Code == "owner_lost" {
			k.view.Suspect(record.Owner)
		}
		return nil, verdict
	}
	if reply.Stream != "" {
		return &Reply{Status: 200, Stream: &Reader{keeper: k, turn: v.Turn, leg: reply.Leg, place: reply.Place,
			remote: &remoteStream{stream: reply.Stream, run: record.Run, owner: record.Owner}}}, nil
	}
	return &Reply{Status: 200, Body: json.RawMessage(reply.Reply)}, nil
}

// Forward is the owner's side: it never carries a visit any further.
func (k *Manager) Forward(plain context.Context, request *ForwardRequest) (*ForwardReply, error) {
	ctx := base.CtxOf(plain, k.clock)
	var v Request
	if err := json.Unmarshal(request.Request, &v); err != nil || !request.Forwarded {
		return nil, base.ToWire(base.Decline(400, "bad_request", "not a forwarded visit"))
	}
	if request.Assignment.GetOwner() != k.me() {
		// The caller reached this address for a former life of the process.
		return nil, base.ToWire(base.Busy(503, "owner_lost", 1, "the owner's life at this address is over"))
	}
	record := &Record{ID: v.Session, Program: v.Program, Run: request.Assignment.Run, Epoch: request.Assignment.Epoch, Owner: k.me()}
	var reply *Reply
	err := k.follower.WaitForLease(ctx)
	if err == nil {
		reply, err = k.serve(ctx, record, &v)
	}
	if err != nil {
		// The forwarder will tell its caller so: a late copy must not run.
		if verdict := base.FromWire(err); verdict.Ran == base.NotRun && verdict.Code != "stale_assignment" && verdict.Code != "handing_over" {
			err = k.decline(&v, verdict)
		}
		return nil, base.ToWire(err)
	}
	if reply.Stream != nil {
		stream := reply.Stream.local
		id := request.Assignment.Run + "/" + v.Turn
		k.mu.Lock()
		k.streams[id] = stream
		k.mu.Unlock()
		return &ForwardReply{Stream: id, Leg: stream.legID(), Place: reply.Stream.place}, nil
	}
	return &ForwardReply{Reply: base.Encode(reply.Body)}, nil
}

// withdraw asks an owner whose reply was lost to fence the visit; only its
// word that the visit will never run makes it not run.
func (k *Manager) withdraw(record *Record, v *Request, verdict *base.Verdict) error {
	unsure := base.Unsure(504, "owner_silent", "the session's owner did not answer in time")
	member, _ := k.view.Find(record.Owner)
	if member == nil {
		return unsure
	}
	ctx := base.NewCtx(k.clock, k.bounds.Load().Call()/2)
	reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Withdraw(ctx, &WithdrawRequest{Visit: v.ID, Session: v.Session, Turn: v.Turn, Run: record.Run})
	if err != nil || !reply.Fenced {
		return unsure
	}
	return base.Busy(503, "owner_silent", 1, "the owner was slow and has put the request aside: %s", verdict.Message)
}

// Withdraw fences a visit that was not accepted: its copies are declined, and
// so is its turn, whichever request brings it.
func (k *Manager) Withdraw(_ context.Context, request *WithdrawRequest) (*WithdrawReply, error) {
	k.mu.Lock()
	h := k.held[request.Session]
	fenced := h != nil && h.isRun(request.Run) && k.fence(h, request)
	k.mu.Unlock()
	if !fenced || request.Turn == "" {
		return &WithdrawReply{Fenced: fenced}, nil
	}
	kept := k.refuseForGood(h, request.Turn, base.Decline(503, "withdrawn", "the request was withdrawn"))
	if kept.Ran != base.NotRun {
		h.forgetRefusal(request.Turn)
	}
	return &WithdrawReply{Fenced: kept.Ran == base.NotRun}, nil
}

// fence is the owner's own part of a withdrawal; the caller holds the lock.
func (k *Manager) fence(h *held, request *WithdrawRequest) bool {
	withdrawn := &declinedVisit{verdict: base.Decline(503, "withdrawn", "the request was withdrawn"), at: k.clock.Now()}
	if known := k.declined[request.Visit]; known != nil && (known.verdict == nil || known.verdict.Ran != base.NotRun) {
		return false
	}
	if request.Turn != "" && !h.refuseUnknown(request.Turn, withdrawn) {
		return false
	}
	if k.declined[request.Visit] == nil {
		k.declined[request.Visit] = withdrawn
	}
	return true
}

// admit marks a visit as seen, once. A copy of one that was declined is
// declined with the same words.
func (k *Manager) admit(v *Request) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.declined[v.ID]; known != nil && known.verdict != nil {
		return known.verdict
	}
	k.declined[v.ID] = &declinedVisit{at: k.clock.Now()}
	return nil
}

// accepted marks a visit whose turn is in the queue.
func (k *Manager) accepted(v *Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.declined[v.ID] = &declinedVisit{at: k.clock.Now(), accepted: true}
}

// decline keeps the words a visit was declined with, unless a copy of it was
// accepted before.
func (k *Manager) decline(v *Request, verdict *base.Verdict) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.declined[v.ID]; known != nil && known.accepted {
		return base.Unsure(verdict.Status, verdict.Code, "%s", verdict.Message)
	}
	k.declined[v.ID] = &declinedVisit{verdict: verdict, at: k.clock.Now()}
	return verdict
}
