package session

import (
	"encoding/json"

	"fordseam/internal/base"
	"fordseam/internal/budget"
)

// Status is a session as clients see it.
type Status struct {
	Session     string             `json:"session"`
	Program     string             `json:"program"`
	Route       string             `json:"route"`
	Run         string             `json:"run"`
	Epoch       uint64             `json:"epoch"`
	Owner       string             `json:"owner"`
	Standby     string             `json:"understudy,omitempty"`
	Phase       Phase              `json:"phase"`
	Termination budget.Termination `json:"termination,omitempty"`
	Reason      string             `json:"reason,omitempty"`
	QueueSize   int                `json:"queue_size"`
	TimeoutS    float64            `json:"operation_timeout_s"`
	LeaseS      float64            `json:"lease_s,omitempty"`
	Queued      int                `json:"queued"`
	Running     string             `json:"running_turn,omitempty"`
	TurnCount   uint64             `json:"turns"`
	LastTurn    string             `json:"last_turn,omitempty"`
}

// StatusOf returns the status that a record alone shows, without the queue.
func StatusOf(r *Record) Status {
	return Status{Session: r.ID, Program: r.Program, Route: r.Route, Run: r.Run, Epoch: r.Epoch, Owner: r.Owner, Standby: r.Standby,
		Phase: r.Phase, Termination: r.Termination, Reason: r.Reason, QueueSize: r.QueueSize, TimeoutS: float64(r.TimeoutMs) / 1000,
		LeaseS: float64(r.LeaseMs) / 1000, TurnCount: r.TurnCount, LastTurn: r.LastTurn}
}

// status returns the status from memory, so that it does not wait in the queue.
func (s *ownedSession) status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := StatusOf(s.record)
	status.Queued = len(s.queue)
	if s.running != nil {
		status.Running = s.running.id
	}
	return status
}

// TurnView is a turn as clients see it, in a listing or on its own.
type TurnView struct {
	Turn         string             `json:"turn"`
	Number       uint64             `json:"num,omitempty"`
	Previous     string             `json:"previous_turn,omitempty"`
	State        OperationState     `json:"state"`
	Messages     any                `json:"messages,omitempty"`
	Answer       string             `json:"answer,omitempty"`
	FinishReason string             `json:"finish_reason,omitempty"`
	OutputTokens int64              `json:"output_tokens,omitempty"`
	Error        *base.RequestError `json:"error,omitempty"`
}

// TurnStateOf returns the state of the turn in the body of a read's reply, or "". The
// body is JSON when the reply came from another node.
func TurnStateOf(body any) OperationState {
	switch reply := body.(type) {
	case TurnView:
		return reply.State
	case json.RawMessage:
		var view TurnView
		_ = json.Unmarshal(reply, &view)
		return view.State
	}
	return ""
}

// TurnPage is one page of a listing; Next is empty on the last.
type TurnPage struct {
	Turns []TurnView `json:"turns"`
	Next  uint64     `json:"next"`
}

// newTurnView returns the view of a turn of the chain, with its messages and answer if
// full is set.
func newTurnView(turn *Turn, full bool) TurnView {
	view := TurnView{Turn: turn.ID, Number: turn.Number, Previous: turn.Previous, State: OpSucceeded, FinishReason: turn.FinishReason, OutputTokens: turn.OutputTokens}
	if full {
		view.Messages = turn.Messages
		for _, piece := range turn.Pieces {
			view.Answer += piece
		}
	}
	return view
}

// listTurns returns the page of the chain after turn number req.After.
func (s *ownedSession) listTurns(req *Request) TurnPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := TurnPage{Turns: []TurnView{}}
	for i := range s.turns {
		turn := &s.turns[i]
		if turn.Number <= req.After {
			continue
		}
		if len(page.Turns) == req.Limit {
			page.Next = page.Turns[len(page.Turns)-1].Number
			return page
		}
		page.Turns = append(page.Turns, newTurnView(turn, false))
	}
	return page
}

// readTurn returns a turn of the chain, or the state of one that was accepted.
func (s *ownedSession) readTurn(req *Request) (*Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if turn := s.completedTurn(req.Turn); turn != nil {
		return &Reply{Status: 200, Body: newTurnView(turn, true)}, nil
	}
	if op := s.operations[req.Turn]; op != nil {
		return &Reply{Status: 200, Body: TurnView{Turn: op.id, State: op.state, Error: op.requestErr}}, nil
	}
	return nil, base.Decline(404, "unknown_turn", "turn %q does not exist in this session", req.Turn)
}
