package ledger

import (
	"context"

	"fordseam/internal/base"
	"fordseam/internal/memory"
)

// Begin applies a claim on a session, reserves the turn's tokens and returns the
// program's other reservations and spends. A claim that is not granted reserves
// nothing.
func (s *Store) Begin(_ context.Context, request *BeginRequest) (*BeginReply, error) {
	if request.Claim.GetRun() == "" || request.Claim.Epoch == 0 || request.Program == "" {
		return nil, base.ToTwirpError(base.DeclineField("claim", "a claim must name a program, a run and an epoch"))
	}
	s.mu.Lock()
	ack := s.checkTarget(request.Target)
	if ack.Why != "" {
		s.mu.Unlock()
		return &BeginReply{Ack: ack}, nil
	}
	ack.Whole = s.completeFor(request.Program)
	claim := assignmentFromProto(request.Claim)
	if existing, ok := s.programs[request.Program]; ok {
		current := existing.assignment(claim.session)
		if _, ok := current.applyClaim(claim); !ok {
			return &BeginReply{Holder: current.toProto(), Ack: s.unlockAndSync(s.decline(ack, "held"))}, nil
		}
		if known, ok := existing.findSpend(request.Turn, claim.run); ok && known.settled || existing.findTurn(request.Turn) != nil {
			ack.Why = "over"
			return &BeginReply{Over: true, Ack: s.unlockAndSync(ack)}, nil
		}
	}
	if reason := s.declineNewTurn(int(request.InputBytes)); reason != "" {
		s.mu.Unlock()
		return &BeginReply{Ack: &Ack{Why: reason}}, nil
	}
	p := s.getOrCreateProgram(request.Program)
	next, _ := p.assignment(claim.session).applyClaim(claim)
	record := &Record{Program: p.id}
	if p.setAssignment(next) {
		record.Sessions = []*Assignment{next.toProto()}
	}
	reply := &BeginReply{Holder: next.toProto()}
	if request.Budgeted && request.Turn != "" {
		if p.addSpend(spend{turn: request.Turn, run: claim.run, tokens: request.Most}) {
			record.Spends = []*Spend{{Turn: request.Turn, Run: claim.run, Tokens: request.Most}}
			s.heldBytes += spendOverhead
		}
		spendCount := len(p.spends)
		for _, known := range request.Known {
			if p.addSpend(spend{known.Turn, known.Run, known.Tokens, known.Settled}) {
				record.Spends = append(record.Spends, known)
			}
		}
		s.heldBytes += spendOverhead * (len(p.spends) - spendCount)
		for _, reserved := range p.spends {
			if reserved.turn != request.Turn || reserved.run != claim.run {
				reply.Others = append(reply.Others, &Spend{Turn: reserved.turn, Run: reserved.run, Tokens: reserved.tokens, Settled: reserved.settled})
			}
		}
	}
	p.retainUntil = max(p.retainUntil, s.retainUntil(request.KeepMs))
	if parent := p.findTurn(request.Previous); parent != nil && parent.retainUntil < p.retainUntil {
		parent.retainUntil = p.retainUntil
		s.extendAncestors(parent)
	}
	if record.Sessions != nil || record.Spends != nil {
		s.markChanged(p)
		record.UntilMs = p.retainUntil
		s.appendRecord(record, p, nil)
	}
	reply.Ack = s.unlockAndSync(ack)
	return reply, nil
}

// decline sets the reason for which a request is declined.
func (s *Store) decline(ack *Ack, reason string) *Ack {
	ack.Why = reason
	return ack
}

// Finish stores a completely answered turn and settles its tokens, unless the
// session has been taken over from its Run.
func (s *Store) Finish(_ context.Context, request *FinishRequest) (*WriteReply, error) {
	if request.Claim.GetRun() == "" || request.Claim.Epoch == 0 || request.Program == "" || request.Turn == "" {
		return nil, base.ToTwirpError(base.DeclineField("claim", "a turn must name its program, run and epoch"))
	}
	s.mu.Lock()
	ack := s.checkTarget(request.Target)
	if ack.Why != "" {
		s.mu.Unlock()
		return &WriteReply{Ack: ack}, nil
	}
	ack.Whole = s.completeFor(request.Program)
	claim := assignmentFromProto(request.Claim)
	if existing, ok := s.programs[request.Program]; ok {
		current := existing.assignment(claim.session)
		if _, ok := current.applyClaim(claim); !ok {
			return &WriteReply{Holder: current.toProto(), Ack: s.unlockAndSync(s.decline(ack, "held"))}, nil
		}
		if existing.findTurn(request.Turn) != nil {
			return &WriteReply{Ack: s.unlockAndSync(ack)}, nil
		}
	}
	if reason := s.declineReason(); reason != "" {
		s.mu.Unlock()
		return &WriteReply{Ack: &Ack{Why: reason}}, nil
	}
	p := s.getOrCreateProgram(request.Program)
	retainUntil := s.retainUntil(request.KeepMs)
	p.retainUntil = max(p.retainUntil, retainUntil)
	record := &Record{Program: p.id, UntilMs: p.retainUntil}
	next, _ := p.assignment(claim.session).applyClaim(claim)
	if p.setAssignment(next) {
		record.Sessions = []*Assignment{next.toProto()}
	}
	if request.Budgeted {
		spendCount := len(p.spends)
		if p.addSpend(spend{turn: request.Turn, run: claim.run, tokens: request.Tokens, settled: true}) {
			settled, _ := p.findSpend(request.Turn, claim.run)
			record.Spends = []*Spend{{Turn: settled.turn, Run: settled.run, Tokens: settled.tokens, Settled: true}}
		}
		s.heldBytes += spendOverhead * (len(p.spends) - spendCount)
	}
	message := &Turn{Session: claim.session, Id: request.Turn, Previous: request.Previous, Input: request.Input, Output: request.Output, UntilMs: retainUntil}
	added, _ := s.addTurn(p, message)
	record.Turns = []*Turn{message}
	s.markChanged(p)
	s.appendRecord(record, p, []*turn{added})
	s.counters.Add("ledger_turns", 1)
	return &WriteReply{Ack: s.unlockAndSync(ack)}, nil
}

// Settle replaces a turn's reservation by the tokens that it used. It is for
// turns that were not answered completely.
func (s *Store) Settle(_ context.Context, request *SettleRequest) (*WriteReply, error) {
	s.mu.Lock()
	ack := s.checkTarget(request.Target)
	if ack.Why != "" || request.Program == "" || request.Turn == "" {
		s.mu.Unlock()
		return &WriteReply{Ack: ack}, nil
	}
	ack.Whole = s.completeFor(request.Program)
	p := s.getOrCreateProgram(request.Program)
	spendCount := len(p.spends)
	if p.addSpend(spend{turn: request.Turn, run: request.Run, tokens: request.Tokens, settled: true}) {
		settled, _ := p.findSpend(request.Turn, request.Run)
		p.retainUntil = max(p.retainUntil, s.retainUntil(request.KeepMs))
		s.markChanged(p)
		s.appendRecord(&Record{Program: p.id, UntilMs: p.retainUntil, Spends: []*Spend{{Turn: settled.turn, Run: settled.run, Tokens: settled.tokens, Settled: true}}}, p, nil)
	}
	s.heldBytes += spendOverhead * (len(p.spends) - spendCount)
	return &WriteReply{Ack: s.unlockAndSync(ack)}, nil
}

// maxChainBytes bounds the inputs and outputs in one reply to Chain; the turn
// that exceeds it is the last one included.
const maxChainBytes = 1 << 20

// replyCopies is how often the payloads of a reply are in memory until it is sent.
const replyCopies = 3

// Chain returns a turn and its ancestors, oldest first, as far as they are held.
// Ack.Whole reports whether this store is complete; only then is an empty reply
// evidence that there is no such turn.
func (s *Store) Chain(ctx context.Context, request *ChainRequest) (*ChainReply, error) {
	s.mu.Lock()
	ack := s.checkTarget(request.Target)
	if ack.Why != "" {
		s.mu.Unlock()
		return &ChainReply{Ack: ack}, nil
	}
	ack.Whole = s.completeStamp == s.currentSet().Stamp
	chain := s.localChain(request.Turn)
	s.mu.Unlock()
	if request.MaxBytes > 0 && len(chain) > 0 {
		fitting := newestWithin(chain, int(request.MaxBytes))
		if len(fitting) == 0 {
			return &ChainReply{Ack: ack, NextBytes: int64(payloadSize(chain[len(chain)-1:]))}, nil
		}
		chain = fitting
	}
	if memory.LeaseFrom(ctx).Grow(replyCopies*payloadSize(chain)) != nil {
		return &ChainReply{Ack: &Ack{Why: "stalled"}}, nil
	}
	turns, ok := s.loadTurns(chain)
	if !ok || len(turns) < len(chain) {
		return &ChainReply{Ack: &Ack{Why: "stalled"}}, nil
	}
	return &ChainReply{Ack: ack, Turns: turns}, nil
}

// newestWithin returns the end of a chain whose payloads together have at most maxBytes.
func newestWithin(chain []selectedTurn, maxBytes int) []selectedTurn {
	size := 0
	for index := len(chain) - 1; index >= 0; index-- {
		if size += chain[index].turn.size; size > maxBytes {
			return chain[index+1:]
		}
	}
	return chain
}

// longestRetained returns the copy of a turn with the longest retention, or nil.
func (s *Store) longestRetained(id string) *turn {
	longest := s.turns[id]
	if longest == nil {
		return nil
	}
	for other := longest.nextCopy; other != nil; other = other.nextCopy {
		if other.retainUntil > longest.retainUntil {
			longest = other
		}
	}
	return longest
}

// Learn adopts a newer disk set.
func (s *Store) Learn(_ context.Context, request *LearnRequest) (*Ack, error) {
	s.mu.Lock()
	s.refreshIdentity()
	s.adoptSet(request.Set)
	if s.diskID == "" {
		s.mu.Unlock()
		return &Ack{Why: "blank"}, nil
	}
	return s.unlockAndSync(&Ack{}), nil
}

// Describe returns the store's identity, its size and the stamp of the set that
// it is complete for.
func (s *Store) Describe(context.Context, *DescribeRequest) (*DescribeReply, error) {
	s.mu.Lock()
	s.refreshIdentity()
	reply := &DescribeReply{Disk: s.diskID, Stamp: s.currentSet().GetStamp(), Whole: s.completeStamp, Programs: int64(len(s.programs)), Turns: int64(len(s.turns)),
		Bytes: int64(s.heldBytes), LogBytes: int64(s.logBytes)}
	if ack := s.unlockAndSync(&Ack{}); ack.Why != "" {
		reply.Whole = 0 // the stamp is not on the disk yet
	}
	return reply, nil
}
