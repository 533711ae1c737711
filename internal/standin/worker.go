// Package standin holds test doubles of the systems around the fleet, for tests,
// the simulator and the fleet command: model and application workers that record
// what they ran, and callers that hold conversations and check the responses.
// They are independent of the transport: the simulator calls them in virtual
// time, the fleet command serves them over HTTP.
package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
)

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Fault is what a worker does wrong in one response.
type Fault string

const (
	NoFault               Fault = ""
	FaultCut              Fault = "cut"       // end the stream in the middle
	FaultMalformed        Fault = "malformed" // send an event in the middle that cannot be decoded
	FaultHang             Fault = "hang"      // send nothing more for an hour in the middle
	FaultNoFinishReason   Fault = "no_finish" // leave out the event with the finish reason
	FaultUnavailable      Fault = "refuse"    // status 503, without running the request
	FaultTooManyRequests  Fault = "busy"      // status 429, without running the request
	FaultInternalError    Fault = "fail"      // status 500, after the request was counted as run
	FaultIgnoreTokenLimit Fault = "overrun"   // produce more tokens than max_tokens
	FaultNoResponse       Fault = "silent"    // run the request, but send no response
)

// Model is a test double of a model server. Its answer depends on the prompt alone,
// so that a caller can check that it got the answer to its own prompt, and all of
// it.
type Model struct {
	ID              string
	Clock           base.Clock
	PiecesPerAnswer int
	PieceInterval   time.Duration
	// PrefillPerMessage is the time that each message not in the cache takes before
	// the first piece. Capacity is how many answers run at full speed at a time; more
	// than that slow all of them down. 0 is no limit.
	PrefillPerMessage time.Duration
	Capacity          int
	// CachedPrefixes is how many prompt prefixes, of all sessions, are cached; the
	// least recently used is evicted first. 0 is no limit.
	CachedPrefixes int
	// NextFault, if set, is called for each request and returns the fault to inject.
	NextFault func() Fault
	// CloseConnections makes each response announce that its connection is closed.
	CloseConnections bool
	// OnRun, if set, is called at the start of each run.
	OnRun func(worker string, at time.Duration)

	mu             sync.Mutex
	activeAnswers  int
	runs           map[string]int   // by "program|turn"
	tokens         map[string]int64 // by program
	prefixLastUsed map[string]int   // value of useCounter at the latest use, by digest
	useCounter     int
	lastRunTime    time.Duration
	prefixHits     int
	runCount       int
	// promptMessages counts the messages of all prompts, cachedMessages those of them
	// that were found in the cache.
	promptMessages, cachedMessages int
}

// ExpectedAnswer returns the pieces that a correct model answers to the messages.
func ExpectedAnswer(messages []Message, pieces int) []string {
	answer := []string{fmt.Sprintf("%d messages %s", len(messages), base.Digest(base.MustMarshal(messages)))}
	for piece := 2; piece <= pieces; piece++ {
		answer = append(answer, fmt.Sprintf(" piece %d", piece))
	}
	return answer
}

// TurnTag returns the mark that a turn's last message carries, from which workers
// record which turn they ran.
func TurnTag(program, turn string) string { return "[" + program + "|" + turn + "]" }

// parseTurnTag returns the program and turn of the mark in a message.
func parseTurnTag(content string) (program, turn string) {
	_, rest, _ := strings.Cut(content, "[")
	rest, _, _ = strings.Cut(rest, "]")
	program, turn, _ = strings.Cut(rest, "|")
	return program, turn
}

// Serve serves a streaming completion. emit sends an event and fails if the client
// has disconnected. A return without writeStatus or without a "[DONE]" event means
// that the connection breaks.
func (m *Model) Serve(body []byte, writeStatus func(status int), emit func(line string) error) {
	var request struct {
		Messages  []Message `json:"messages"`
		MaxTokens int64     `json:"max_tokens"`
	}
	fault := NoFault
	if m.NextFault != nil {
		fault = m.NextFault()
	}
	if json.Unmarshal(body, &request) != nil || len(request.Messages) == 0 {
		writeStatus(400)
		return
	}
	switch fault {
	case FaultUnavailable:
		writeStatus(503)
		return
	case FaultTooManyRequests:
		writeStatus(429)
		return
	}
	lastMessage := request.Messages[len(request.Messages)-1]
	program, turn := parseTurnTag(lastMessage.Content)
	cached := m.startRun(program, turn, request.Messages)
	defer m.endRun()
	if fault == FaultInternalError {
		writeStatus(500)
		return
	}
	if fault == FaultNoResponse {
		m.Clock.Sleep(time.Hour)
		return
	}
	writeStatus(200)
	m.Clock.Sleep(m.PrefillPerMessage * time.Duration(len(request.Messages)-cached))
	answer := ExpectedAnswer(request.Messages, m.PiecesPerAnswer)
	finish := "stop"
	if int64(len(answer)) > request.MaxTokens && fault != FaultIgnoreTokenLimit {
		answer, finish = answer[:request.MaxTokens], "length"
	}
	for index, piece := range answer {
		m.Clock.Sleep(m.currentInterval())
		if index == len(answer)/2 {
			switch fault {
			case FaultCut:
				return
			case FaultMalformed:
				_ = emit("data: {\"choices\":[{]}\n\n")
				return
			case FaultHang:
				m.Clock.Sleep(time.Hour)
				return
			}
		}
		m.addTokens(program, 1)
		chunk := map[string]any{"choices": []any{map[string]any{"delta": map[string]string{"content": piece}}}}
		if emit("data: "+string(base.MustMarshal(chunk))+"\n\n") != nil {
			return
		}
	}
	if fault != FaultNoFinishReason {
		finalChunk := map[string]any{"choices": []any{map[string]any{"delta": map[string]string{}, "finish_reason": finish}},
			"usage": map[string]int{"completion_tokens": len(answer)}}
		if emit("data: "+string(base.MustMarshal(finalChunk))+"\n\n") != nil {
			return
		}
	}
	_ = emit("data: [DONE]\n\n")
}

// startRun records a run and returns how many of the leading messages were cached.
func (m *Model) startRun(program, turn string, messages []Message) (cached int) {
	if m.OnRun != nil {
		m.OnRun(m.ID, m.Clock.Now())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs == nil {
		m.runs, m.tokens, m.prefixLastUsed = map[string]int{}, map[string]int64{}, map[string]int{}
	}
	m.runCount++
	m.activeAnswers++
	m.lastRunTime = m.Clock.Now()
	m.runs[program+"|"+turn]++
	// The longest cached prefix counts, whichever session it came from.
	for length := 1; length <= len(messages); length++ {
		prefix := base.Digest(base.MustMarshal(messages[:length]))
		if _, ok := m.prefixLastUsed[prefix]; ok && cached == length-1 {
			cached = length
		}
		m.useCounter++
		m.prefixLastUsed[prefix] = m.useCounter
	}
	m.promptMessages, m.cachedMessages = m.promptMessages+len(messages), m.cachedMessages+cached
	if len(messages) > 2 && cached >= len(messages)-2 {
		m.prefixHits++
	}
	for m.CachedPrefixes > 0 && len(m.prefixLastUsed) > m.CachedPrefixes {
		oldest := ""
		for prefix, at := range m.prefixLastUsed {
			if oldest == "" || at < m.prefixLastUsed[oldest] {
				oldest = prefix
			}
		}
		delete(m.prefixLastUsed, oldest)
	}
	return cached
}

// CacheUse returns the number of prompt messages, and how many of them were cached.
func (m *Model) CacheUse() (promptMessages, cachedMessages int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.promptMessages, m.cachedMessages
}

// endRun records that an answer is no longer in progress.
func (m *Model) endRun() {
	m.mu.Lock()
	m.activeAnswers--
	m.mu.Unlock()
}

// ActiveAnswers returns the number of answers in progress.
func (m *Model) ActiveAnswers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.activeAnswers
}

// currentInterval returns the time to the next piece at the present load.
func (m *Model) currentInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Capacity == 0 || m.activeAnswers <= m.Capacity {
		return m.PieceInterval
	}
	return m.PieceInterval * time.Duration(m.activeAnswers) / time.Duration(m.Capacity)
}

// addTokens adds to the tokens that were produced for a program.
func (m *Model) addTokens(program string, tokens int64) {
	m.mu.Lock()
	m.tokens[program] += tokens
	m.mu.Unlock()
}

// Stats returns the runs by turn, the tokens produced by program, the total number
// of runs, and how many runs continued a conversation whose history was cached.
func (m *Model) Stats() (runs map[string]int, tokens map[string]int64, runCount, prefixHits int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	runs, tokens = map[string]int{}, map[string]int64{}
	for key, n := range m.runs {
		runs[key] = n
	}
	for key, n := range m.tokens {
		tokens[key] = n
	}
	return runs, tokens, m.runCount, m.prefixHits
}

// LastRunTime returns when the latest run started.
func (m *Model) LastRunTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastRunTime
}

// Tool is a test double of an application worker. It counts its runs by key.
type Tool struct {
	ID        string
	Clock     base.Clock
	Delay     time.Duration                         // duration of each run
	NextFault func() Fault                          // as in Model
	OnRun     func(worker string, at time.Duration) // as in Model

	mu        sync.Mutex
	runsByKey map[string]int
}

// Serve runs a call. answered is false if no response is sent.
func (t *Tool) Serve(key string, _ []byte) (status int, body []byte, answered bool) {
	fault := NoFault
	if t.NextFault != nil {
		fault = t.NextFault()
	}
	if fault == FaultUnavailable {
		return 503, []byte(`{"error":"leaving"}`), true
	}
	if t.OnRun != nil {
		t.OnRun(t.ID, t.Clock.Now())
	}
	t.mu.Lock()
	if t.runsByKey == nil {
		t.runsByKey = map[string]int{}
	}
	t.runsByKey[key]++
	t.mu.Unlock()
	t.Clock.Sleep(t.Delay)
	switch fault {
	case FaultNoResponse, FaultCut:
		return 0, nil, false
	case FaultInternalError:
		return 500, []byte(`{"error":"failed"}`), true
	}
	return 200, base.MustMarshal(map[string]string{"done": key}), true
}

// RunsByKey returns the number of runs by key.
func (t *Tool) RunsByKey() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := map[string]int{}
	for key, n := range t.runsByKey {
		runs[key] = n
	}
	return runs
}
