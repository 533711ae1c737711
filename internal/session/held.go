// A held session is the owner's memory of one Run: the queue that it alone
// has, the operation states, the chain, and the streams. One mutation runs
// at a time, in the order accepted, each within its own deadline; reads,
// lists and status look at the memory and never stand in the queue.

package session

import (
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
)

type operation struct {
	id        string
	digest    string
	visit     *Request
	state     OperationState
	stream    *Stream
	until     time.Duration
	cancelled base.Signal
	abort     func()
	verdict   *base.Verdict
	ended     time.Duration
}

type held struct {
	program string
	bell    *base.Bell
	handed  base.Signal
	clock   base.Clock

	mu       sync.Mutex
	record   *Record
	turns    []Turn
	ops      map[string]*operation
	queue    []*operation
	running  *operation
	busy     bool
	gone     bool
	unsure   string
	attempts uint64
	lapses   uint64
	lastSeen time.Duration
	offered  map[string]uint64
	refused  map[string]*declinedVisit
	tending  bool
	worker   string
}

func newHeld(clock base.Clock, record *Record, turns []Turn, lapses uint64) *held {
	return &held{program: record.Program, bell: base.NewBell(clock), handed: clock.NewSignal(), clock: clock, record: record,
		turns: turns, ops: map[string]*operation{}, lapses: lapses, attempts: record.HighestAttempt, lastSeen: clock.Now(), offered: map[string]uint64{},
		refused: map[string]*declinedVisit{}}
}

func (h *held) isRun(run string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record.Run == run && !h.gone
}

func (h *held) snapshot() *Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	copied := *h.record
	return &copied
}

// take brings in the register's word on this Run; answers may cross, and the
// older of two changes nothing.
func (h *held) take(record *Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.record.Run == record.Run && record.Version > h.record.Version {
		h.record = record
	}
}

// mayHaveRun tells of a turn that had a leg under way when an earlier Run of
// the session was lost.
func (h *held) mayHaveRun(turn string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record.unsure(turn)
}

// whole finds a turn of the chain; the caller holds the lock.
func (h *held) whole(turn string) *Turn {
	for place := range h.turns {
		if h.turns[place].ID == turn {
			return &h.turns[place]
		}
	}
	return nil
}

// refuseUnknown keeps a turn that this owner knows nothing of from ever being
// accepted; false when it is known.
func (h *held) refuseUnknown(turn string, verdict *declinedVisit) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ops[turn] != nil || h.whole(turn) != nil || h.record.unsure(turn) {
		return false
	}
	if known := h.refused[turn]; known != nil {
		return known.verdict.Ran == base.NotRun
	}
	h.refused[turn] = verdict
	return true
}

// forgetRefusal lets a turn be asked again whose refusal could not be kept.
func (h *held) forgetRefusal(turn string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.refused, turn)
}

func (h *held) quiet() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.busy && len(h.queue) == 0
}

func (h *held) forgettable(now time.Duration, bounds *base.Bounds) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	over := h.gone || h.record.Phase.Terminal()
	return over && !h.busy && now-h.lastSeen > 2*bounds.Recover
}

// lose gives the Run up: what was accepted and gave no piece yet can be
// found anew with the next owner, the rest is cut.
func (h *held) lose() {
	h.mu.Lock()
	h.gone = true
	h.queue = nil
	lost := []*operation{}
	for _, id := range base.SortedKeys(h.ops) {
		if op := h.ops[id]; op.state == OpQueued || op.state == OpRunning {
			lost = append(lost, op)
		}
	}
	h.mu.Unlock()
	for _, op := range lost {
		op.stream.moveAway(op.id)
	}
	h.handed.Fire()
	h.bell.Ring()
}

// serve answers a visit on the owner.
func (k *Manager) serve(ctx *base.Ctx, record *Record, v *Request) (*Reply, error) {
	k.mu.Lock()
	h := k.held[record.ID]
	draining := k.draining
	k.mu.Unlock()
	if h == nil || !h.isRun(record.Run) {
		adopted, err := k.recall(ctx, record, v)
		if err != nil {
			return nil, err
		}
		h = adopted
	}
	if err := k.revalidate(ctx, h); err != nil {
		return nil, err
	}
	if draining && v.Kind == KindSubmitTurn {
		if !h.handed.Wait(ctx.Left()) {
			return nil, base.Busy(503, "handing_over", 1, "the session is being handed over")
		}
		return nil, staleRun()
	}
	h.mu.Lock()
	allowed := h.record.Authorizes(v.Bearer)
	if allowed {
		h.lastSeen = k.clock.Now()
	}
	h.mu.Unlock()
	if !allowed {
		return nil, base.Decline(403, "forbidden", "the credentials do not open this session")
	}
	switch v.Kind {
	case KindStatus, KindRenewLease:
		return &Reply{Status: 200, Body: h.status()}, nil
	case KindListTurns:
		return &Reply{Status: 200, Body: h.list(v)}, nil
	case KindReadTurn:
		return h.read(v)
	case KindCancelTurn:
		return k.cancel(h, v)
	case KindClose:
		return k.end(ctx, h, budget.Drain)
	case KindTerminate:
		return k.end(ctx, h, budget.Immediate)
	case KindSubmitTurn:
		return k.submit(ctx, h, v)
	}
	return nil, base.Decline(400, "bad_request", "unknown kind of visit")
}

// recall finds a Run that the register says is this node's but that is not
// in memory: one it took without learning so, or one that ended and was
// forgotten. Only this life of the node can be named as owner.
func (k *Manager) recall(ctx *base.Ctx, record *Record, v *Request) (*held, error) {
	answer, err := k.change(ctx, v.Program, "session.get", ask{Session: record.ID})
	if err != nil {
		return nil, err
	}
	if answer.Record.Run != record.Run || answer.Record.Owner != k.me() || answer.Record.Program != v.Program {
		k.remember(answer.Record)
		return nil, staleRun()
	}
	return k.adopt(ctx, answer.Record)
}

// revalidate asks the register whether the Run still stands, after this
// node went without a permit or a change of its own ended unknown.
func (k *Manager) revalidate(ctx *base.Ctx, h *held) error {
	lapses := k.follower.LeaseExpirations()
	h.mu.Lock()
	unsureLeg := h.unsure
	sure := h.lapses == lapses && unsureLeg == ""
	id, run, known := h.record.ID, h.record.Run, uint64(len(h.turns))
	h.mu.Unlock()
	if sure {
		return nil
	}
	// A leg whose end was not learnt is given up first: from then on either
	// its turn is in the chain or a late copy can no longer put it there.
	asked, op := ask{Session: id}, "session.get"
	if unsureLeg != "" {
		asked.Leg, asked.Tokens, op = unsureLeg, -1, "session.settle"
	}
	answer, err := k.change(ctx, h.program, op, asked)
	if err != nil {
		return err
	}
	if answer.Record.Run != run {
		k.remember(answer.Record)
		h.lose()
		return staleRun()
	}
	var turns []Turn
	if answer.Record.TurnCount != known {
		if turns, err = k.readChain(ctx, answer.Record); err != nil {
			return err
		}
	}
	h.mu.Lock()
	h.lapses, h.unsure = lapses, ""
	if answer.Record.Version > h.record.Version {
		h.record = answer.Record
	}
	if turns != nil && uint64(len(h.turns)) == known {
		h.turns = turns
	}
	h.mu.Unlock()
	return nil
}

// catchUp brings the understudy up to the chain, nominating another when it
// is gone; a new one counts only once it has the whole chain.
func (k *Manager) catchUp(ctx *base.Ctx, h *held) {
	record := h.snapshot()
	chosen := record.Standby
	if member, alive := k.view.Find(chosen); !alive || member.Leaving {
		chosen = k.pickStandby(record.ID, chosen)
	}
	member, alive := k.view.Find(chosen)
	if !alive {
		return
	}
	for !ctx.Over() {
		h.mu.Lock()
		have, total := h.offered[chosen], uint64(len(h.turns))
		var turn []byte
		if have < total {
			turn = base.Encode(h.turns[have])
		}
		h.mu.Unlock()
		if have >= total {
			break
		}
		reply, err := NewOwnerProtobufClient("http://"+member.Addr, k.wire).Offer(ctx, &OfferRequest{Session: record.ID,
			Assignment: record.assignment(), Turns: have + 1, Turn: turn})
		if err != nil {
			return
		}
		h.mu.Lock()
		h.offered[chosen] = min(reply.Turns, have+1)
		h.mu.Unlock()
	}
	if chosen != record.Standby && !ctx.Over() {
		answer, err := k.change(ctx, record.Program, "session.move", ask{Session: record.ID, Run: record.Run, Understudy: chosen})
		if err == nil {
			h.take(answer.Record)
			k.remember(answer.Record)
			k.counters.Add("understudies_replaced", 1)
		}
	}
}
