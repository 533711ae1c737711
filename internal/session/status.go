// What the owner shows of a session: its status, its turns and their answers, out
// of memory and without queueing.

package session

import (
	"encoding/json"

	"fordseam/internal/base"
	"fordseam/internal/budget"
)

// Status is what callers see of a session.
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

// StatusOf shows a record.
func StatusOf(r *Record) Status {
	return Status{Session: r.ID, Program: r.Program, Route: r.Route, Run: r.Run, Epoch: r.Epoch, Owner: r.Owner, Standby: r.Standby,
		Phase: r.Phase, Termination: r.Termination, Reason: r.Reason, QueueSize: r.QueueSize, TimeoutS: float64(r.TimeoutMs) / 1000,
		LeaseS: float64(r.LeaseMs) / 1000, TurnCount: r.TurnCount, LastTurn: r.LastTurn}
}

func (h *held) status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	shown := StatusOf(h.record)
	shown.Queued = len(h.queue)
	if h.running != nil {
		shown.Running = h.running.id
	}
	return shown
}

// TurnView is a turn in a listing.
type TurnView struct {
	Turn         string         `json:"turn"`
	Number       uint64         `json:"num,omitempty"`
	Previous     string         `json:"previous_turn,omitempty"`
	State        OperationState `json:"state"`
	Messages     any            `json:"messages,omitempty"`
	Answer       string         `json:"answer,omitempty"`
	FinishReason string         `json:"finish_reason,omitempty"`
	OutputTokens int64          `json:"output_tokens,omitempty"`
	Error        *base.Verdict  `json:"error,omitempty"`
}

// TurnStateOf is the state of the turn that a read's reply shows.
func TurnStateOf(body any) OperationState {
	switch shown := body.(type) {
	case TurnView:
		return shown.State
	case json.RawMessage:
		var read TurnView
		_ = json.Unmarshal(shown, &read)
		return read.State
	}
	return ""
}

// TurnPage is one page of a listing; Next is empty on the last.
type TurnPage struct {
	Turns []TurnView `json:"turns"`
	Next  uint64     `json:"next"`
}

func viewTurn(turn *Turn, whole bool) TurnView {
	shown := TurnView{Turn: turn.ID, Number: turn.Number, Previous: turn.Previous, State: OpSucceeded, FinishReason: turn.FinishReason, OutputTokens: turn.OutputTokens}
	if whole {
		shown.Messages = turn.Messages
		for _, piece := range turn.Pieces {
			shown.Answer += piece
		}
	}
	return shown
}

func (h *held) list(v *Request) TurnPage {
	h.mu.Lock()
	defer h.mu.Unlock()
	page := TurnPage{Turns: []TurnView{}}
	for place := range h.turns {
		turn := &h.turns[place]
		if turn.Number <= v.After {
			continue
		}
		if len(page.Turns) == v.Limit {
			page.Next = page.Turns[len(page.Turns)-1].Number
			return page
		}
		page.Turns = append(page.Turns, viewTurn(turn, false))
	}
	return page
}

func (h *held) read(v *Request) (*Reply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if turn := h.whole(v.Turn); turn != nil {
		return &Reply{Status: 200, Body: viewTurn(turn, true)}, nil
	}
	if op := h.ops[v.Turn]; op != nil {
		return &Reply{Status: 200, Body: TurnView{Turn: op.id, State: op.state, Error: op.verdict}}, nil
	}
	return nil, base.Decline(404, "unknown_turn", "there is no such turn")
}
