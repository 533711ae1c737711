// What gateways may ask of a store. Every message names the disk it is meant
// for and the disk set its sender goes by, and may come twice. An answer that
// changed nothing still waits for what it rests on to be synced.

package ledger

import (
	"context"

	"fordseam/internal/base"
)

// Begin takes a claim on a session and reserves a turn's tokens, and tells
// what else the program has reserved and spent. A claim that must give way
// reserves nothing.
func (s *Store) Begin(_ context.Context, request *BeginRequest) (*BeginReply, error) {
	if request.Claim.GetRun() == "" || request.Claim.Epoch == 0 || request.Program == "" {
		return nil, base.ToWire(base.DeclineField("claim", "a claim must name a program, a run and an epoch"))
	}
	s.mu.Lock()
	ack := s.judge(request.Target)
	if ack.Why != "" {
		s.mu.Unlock()
		return &BeginReply{Ack: ack}, nil
	}
	ack.Whole = s.wholeFor(request.Program)
	claim := assignmentOf(request.Claim)
	if held, ok := s.programs[request.Program]; ok {
		now := held.session(claim.session)
		if _, ok := now.take(claim); !ok {
			return &BeginReply{Holder: now.message(), Ack: s.finish(s.declined(ack, "held"))}, nil
		}
		if known, ok := held.spent(request.Turn, claim.run); ok && known.settled || held.turn(request.Turn) != nil {
			ack.Why = "over"
			return &BeginReply{Over: true, Ack: s.finish(ack)}, nil
		}
	}
	if why := s.room(); why != "" {
		s.mu.Unlock()
		return &BeginReply{Ack: &Ack{Why: why}}, nil
	}
	p := s.programOf(request.Program)
	after, _ := p.session(claim.session).take(claim)
	record := &Record{Program: p.id}
	if p.assign(after) {
		record.Sessions = []*Assignment{after.message()}
	}
	reply := &BeginReply{Holder: after.message()}
	if request.Budgeted && request.Turn != "" {
		if p.count(spend{turn: request.Turn, run: claim.run, tokens: request.Most}) {
			record.Spends = []*Spend{{Turn: request.Turn, Run: claim.run, Tokens: request.Most}}
			s.bytes += spendWeight
		}
		before := len(p.spends)
		for _, known := range request.Known {
			if p.count(spend{known.Turn, known.Run, known.Tokens, known.Settled}) {
				record.Spends = append(record.Spends, known)
			}
		}
		s.bytes += spendWeight * (len(p.spends) - before)
		for _, held := range p.spends {
			if held.turn != request.Turn || held.run != claim.run {
				reply.Others = append(reply.Others, &Spend{Turn: held.turn, Run: held.run, Tokens: held.tokens, Settled: held.settled})
			}
		}
	}
	p.until = max(p.until, s.until(request.KeepMs))
	if before := p.turn(request.Previous); before != nil && before.until < p.until {
		before.until = p.until
		s.prolong(before)
	}
	if record.Sessions != nil || record.Spends != nil {
		s.changed(p)
		record.UntilMs = p.until
		s.write(record, p, nil)
	}
	reply.Ack = s.finish(ack)
	return reply, nil
}

func (s *Store) declined(ack *Ack, why string) *Ack {
	ack.Why = why
	return ack
}

// Finish keeps a turn that was answered whole, and settles its tokens, unless
// its Run was succeeded.
func (s *Store) Finish(_ context.Context, request *FinishRequest) (*WriteReply, error) {
	if request.Claim.GetRun() == "" || request.Claim.Epoch == 0 || request.Program == "" || request.Turn == "" {
		return nil, base.ToWire(base.DeclineField("claim", "a turn must name its program, run and epoch"))
	}
	s.mu.Lock()
	ack := s.judge(request.Target)
	if ack.Why != "" {
		s.mu.Unlock()
		return &WriteReply{Ack: ack}, nil
	}
	ack.Whole = s.wholeFor(request.Program)
	claim := assignmentOf(request.Claim)
	if held, ok := s.programs[request.Program]; ok {
		now := held.session(claim.session)
		if _, ok := now.take(claim); !ok {
			return &WriteReply{Holder: now.message(), Ack: s.finish(s.declined(ack, "held"))}, nil
		}
		if held.turn(request.Turn) != nil {
			return &WriteReply{Ack: s.finish(ack)}, nil
		}
	}
	if why := s.room(); why != "" {
		s.mu.Unlock()
		return &WriteReply{Ack: &Ack{Why: why}}, nil
	}
	p := s.programOf(request.Program)
	until := s.until(request.KeepMs)
	p.until = max(p.until, until)
	record := &Record{Program: p.id, UntilMs: p.until}
	after, _ := p.session(claim.session).take(claim)
	if p.assign(after) {
		record.Sessions = []*Assignment{after.message()}
	}
	if request.Budgeted {
		before := len(p.spends)
		if p.count(spend{turn: request.Turn, run: claim.run, tokens: request.Tokens, settled: true}) {
			known, _ := p.spent(request.Turn, claim.run)
			record.Spends = []*Spend{{Turn: known.turn, Run: known.run, Tokens: known.tokens, Settled: true}}
		}
		s.bytes += spendWeight * (len(p.spends) - before)
	}
	message := &Turn{Session: claim.session, Id: request.Turn, Previous: request.Previous, Input: request.Input, Output: request.Output, UntilMs: until}
	held, _ := s.keep(p, message)
	record.Turns = []*Turn{message}
	s.changed(p)
	s.write(record, p, []*turn{held})
	s.counters.Add("ledger_turns", 1)
	return &WriteReply{Ack: s.finish(ack)}, nil
}

// Settle says what a turn came to that was not answered whole.
func (s *Store) Settle(_ context.Context, request *SettleRequest) (*WriteReply, error) {
	s.mu.Lock()
	ack := s.judge(request.Target)
	if ack.Why != "" || request.Program == "" || request.Turn == "" {
		s.mu.Unlock()
		return &WriteReply{Ack: ack}, nil
	}
	ack.Whole = s.wholeFor(request.Program)
	p := s.programOf(request.Program)
	before := len(p.spends)
	if p.count(spend{turn: request.Turn, run: request.Run, tokens: request.Tokens, settled: true}) {
		known, _ := p.spent(request.Turn, request.Run)
		p.until = max(p.until, s.until(request.KeepMs))
		s.changed(p)
		s.write(&Record{Program: p.id, UntilMs: p.until, Spends: []*Spend{{Turn: known.turn, Run: known.run, Tokens: known.tokens, Settled: true}}}, p, nil)
	}
	s.bytes += spendWeight * (len(p.spends) - before)
	return &WriteReply{Ack: s.finish(ack)}, nil
}

const chainLimit = 3 << 20

// Chain gives a turn and those before it, oldest first, as far as they are
// here; without one, whole tells that this store lacks nothing.
func (s *Store) Chain(_ context.Context, request *ChainRequest) (*ChainReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ack := s.judge(request.Target)
	if ack.Why != "" {
		return &ChainReply{Ack: ack}, nil
	}
	ack.Whole = s.whole == s.set().Stamp
	return &ChainReply{Ack: ack, Turns: s.chain(request.Turn)}, nil
}

// longest is the copy of a turn that is kept the longest.
func (s *Store) longest(id string) *turn {
	found := s.turns[id]
	if found == nil {
		return nil
	}
	for other := found.also; other != nil; other = other.also {
		if other.until > found.until {
			found = other
		}
	}
	return found
}

// Learn takes a newer set from whoever knows it.
func (s *Store) Learn(_ context.Context, request *LearnRequest) (*Ack, error) {
	s.mu.Lock()
	s.identify()
	s.adopt(request.Set)
	if s.id == "" {
		s.mu.Unlock()
		return &Ack{Why: "blank"}, nil
	}
	return s.finish(&Ack{}), nil
}

// Describe tells what the store is and whether it lacks anything.
func (s *Store) Describe(context.Context, *DescribeRequest) (*DescribeReply, error) {
	s.mu.Lock()
	s.identify()
	reply := &DescribeReply{Disk: s.id, Stamp: s.set().GetStamp(), Whole: s.whole, Programs: int64(len(s.programs)), Turns: int64(len(s.turns)),
		Bytes: int64(s.bytes), LogBytes: int64(s.logBytes)}
	if ack := s.finish(&Ack{}); ack.Why != "" {
		reply.Whole = 0 // it is not on the disk yet
	}
	return reply, nil
}
