package session

import (
	"encoding/json"
	"io"
	"strings"

	"fordseam/internal/base"
	"fordseam/internal/memory"
)

// chatMessage is a message of the chat completions API.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prompt returns the messages of the chain so far and those of the turn itself.
func (s *ownedSession) prompt(op *operation) ([]json.RawMessage, *base.RequestError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous := op.request.Previous; previous != "" && previous != s.record.LastTurn {
		if s.completedTurn(previous) != nil {
			return nil, base.Decline(409, "previous_turn_not_latest", "Previous-Turn %q is not the latest turn of the session", previous)
		}
		return nil, base.Decline(404, "previous_turn_unknown", "Previous-Turn %q is not a completed turn of this session", previous)
	}
	messages := []json.RawMessage{}
	add := func(raw json.RawMessage) {
		var list []json.RawMessage
		if json.Unmarshal(raw, &list) == nil {
			messages = append(messages, list...)
		}
	}
	for i := range s.turns {
		add(s.turns[i].Messages)
		messages = append(messages, base.MustMarshal(chatMessage{"assistant", strings.Join(s.turns[i].Pieces, "")}))
	}
	add(op.request.Messages)
	return messages, nil
}

// completionRequest is the body of a streamed chat completions request.
type completionRequest struct {
	Model         string            `json:"model"`
	Messages      []json.RawMessage `json:"messages"`
	MaxTokens     int64             `json:"max_tokens"`
	Stream        bool              `json:"stream"`
	StreamOptions map[string]bool   `json:"stream_options"`
}

// completionChunk is one event of the streamed response.
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

func newCompletionRequest(plan *turnPlan, granted int64) *base.BackendRequest {
	return &base.BackendRequest{Method: "POST", Path: "/v1/chat/completions", Header: map[string]string{"Content-Type": "application/json"},
		Body: base.MustMarshal(completionRequest{Model: plan.route.Model, Messages: plan.messages, MaxTokens: granted, Stream: true,
			StreamOptions: map[string]bool{"include_usage": true}})}
}

// modelOutput is a worker's complete answer.
type modelOutput struct {
	pieces       []string
	finishReason string
	tokens       int64
}

// receive passes a worker's chunks on as pieces of the stream. An answer that lacks
// its finish reason or end marker, is malformed, stalls or exceeds its bounds is never a
// success.
func (m *Manager) receive(ctx *base.Ctx, op *operation, reply base.BackendReply, bounds *answerBounds) (*modelOutput, *base.RequestError) {
	output := &modelOutput{}
	stallLimit := m.bounds.Load().Recovery * 5 / 2
	stallsAt := m.clock.Now() + stallLimit
	for {
		line, err := reply.ReadLine(min(ctx.Remaining(), stallsAt-m.clock.Now()))
		if err != nil {
			return nil, readError(err, op)
		}
		data, ok := strings.CutPrefix(strings.TrimRight(string(line), "\r\n"), "data:")
		data = strings.TrimSpace(data)
		if ok && data == "[DONE]" {
			if output.finishReason == "" {
				return nil, base.Indeterminate(502, "worker_cut", "the worker ended its stream without a finish reason")
			}
			return output, nil
		}
		progressed := false
		if ok {
			var requestErr *base.RequestError
			if progressed, requestErr = output.addChunk([]byte(data), op, bounds); requestErr != nil {
				return nil, requestErr
			}
		}
		if progressed {
			stallsAt = m.clock.Now() + stallLimit
		}
		if requestErr := bounds.addLine(len(line), progressed); requestErr != nil {
			return nil, requestErr
		}
	}
}

// readError returns the request error for a stream that could not be read.
func readError(err error, op *operation) *base.RequestError {
	switch {
	case memory.IsShortage(err):
		return memory.AnswerError()
	case err != io.EOF && !op.cancelled.Fired():
		return base.Indeterminate(502, "worker_cut", "the worker's stream stalled or failed")
	}
	return base.Indeterminate(502, "worker_cut", "the worker's stream ended before its end marker")
}

// addChunk adds a worker's chunk to the output and to the stream, and reports whether it brings
// the answer further.
func (o *modelOutput) addChunk(data []byte, op *operation, bounds *answerBounds) (progressed bool, requestErr *base.RequestError) {
	var chunk completionChunk
	if json.Unmarshal(data, &chunk) != nil {
		return false, base.Indeterminate(502, "worker_malformed", "the worker sent a chunk that is not valid JSON")
	}
	if chunk.Usage != nil {
		o.tokens = max(o.tokens, chunk.Usage.CompletionTokens)
	}
	for _, choice := range chunk.Choices {
		if content := choice.Delta.Content; content != "" {
			if o.finishReason != "" || int64(len(o.pieces)) >= bounds.granted {
				return false, base.Indeterminate(502, "worker_overran", "the worker sent output after its finish reason or beyond the %d tokens granted", bounds.granted)
			}
			if requestErr := bounds.addContent(len(content)); requestErr != nil {
				return false, requestErr
			}
			o.pieces = append(o.pieces, content)
			o.tokens = max(o.tokens, int64(len(o.pieces)))
			op.stream.add([]byte(content), false)
			progressed = true
		}
		if choice.FinishReason != "" {
			progressed = progressed || o.finishReason == ""
			o.finishReason = choice.FinishReason
		}
	}
	return progressed, nil
}
