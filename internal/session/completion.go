// The call to a model worker: its request, and its answer read event by event.

package session

import (
	"encoding/json"
	"io"
	"strings"

	"fordseam/internal/base"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prompt is the chain so far and the turn's own messages.
func (h *held) prompt(op *operation) ([]json.RawMessage, *base.Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if previous := op.visit.Previous; previous != "" && previous != h.record.LastTurn {
		if h.whole(previous) != nil {
			return nil, base.Decline(409, "previous_turn_not_latest", "the chain has gone on past that Previous-Turn")
		}
		return nil, base.Decline(404, "previous_turn_unknown", "that Previous-Turn was not answered whole in this session")
	}
	chain := []json.RawMessage{}
	add := func(raw json.RawMessage) {
		var list []json.RawMessage
		if json.Unmarshal(raw, &list) == nil {
			chain = append(chain, list...)
		}
	}
	for place := range h.turns {
		add(h.turns[place].Messages)
		chain = append(chain, base.Encode(message{"assistant", strings.Join(h.turns[place].Pieces, "")}))
	}
	add(op.visit.Messages)
	return chain, nil
}

type completionRequest struct {
	Model         string            `json:"model"`
	Messages      []json.RawMessage `json:"messages"`
	MaxTokens     int64             `json:"max_tokens"`
	Stream        bool              `json:"stream"`
	StreamOptions map[string]bool   `json:"stream_options"`
}

type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func modelRequest(made *plan, granted int64) *base.BackRequest {
	return &base.BackRequest{Method: "POST", Path: "/v1/chat/completions", Header: map[string]string{"Content-Type": "application/json"},
		Body: base.Encode(completionRequest{Model: made.route.Model, Messages: made.chain, MaxTokens: granted, Stream: true,
			StreamOptions: map[string]bool{"include_usage": true}})}
}

type received struct {
	pieces []string
	finish string
	tokens int64
}

// receive passes a worker's chunks on as pieces. An answer that lacks its
// finish reason or end mark, is malformed, stalls or overruns what was
// granted is never a success.
func (k *Manager) receive(ctx *base.Ctx, op *operation, reply base.BackReply, granted int64) (*received, *base.Verdict) {
	got := &received{}
	stall := k.bounds.Load().Recover * 5 / 2
	for {
		line, err := reply.Line(min(ctx.Left(), stall))
		if err != nil {
			word := "the worker's answer was cut short"
			if err != io.EOF && !op.cancelled.Fired() {
				word = "the worker's answer stopped coming"
			}
			return nil, base.Unsure(502, "worker_cut", "%s", word)
		}
		data, ok := strings.CutPrefix(strings.TrimRight(string(line), "\r\n"), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			if got.finish == "" {
				return nil, base.Unsure(502, "worker_cut", "the worker ended without a finish reason")
			}
			return got, nil
		}
		var chunk completionChunk
		if json.Unmarshal([]byte(data), &chunk) != nil {
			return nil, base.Unsure(502, "worker_malformed", "the worker's answer could not be read")
		}
		if chunk.Usage != nil {
			got.tokens = max(got.tokens, chunk.Usage.CompletionTokens)
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content != "" {
				if got.finish != "" || int64(len(got.pieces)) >= granted {
					return nil, base.Unsure(502, "worker_overran", "the worker put out more than it was granted")
				}
				got.pieces = append(got.pieces, choice.Delta.Content)
				got.tokens = max(got.tokens, int64(len(got.pieces)))
				op.stream.put([]byte(choice.Delta.Content), false)
			}
			if choice.FinishReason != "" {
				got.finish = choice.FinishReason
			}
		}
	}
}
