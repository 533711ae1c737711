// Package standin holds the fleet's other parties for tests, the simulator
// and the fleet tool: model and application workers that keep their own
// records, and callers that hold conversations and check what they are told.
// They know no transport; the simulator calls them in virtual time and the
// fleet tool puts HTTP round them.
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

// Fault is what a worker does wrong in one answer.
type Fault string

const (
	NoFault          Fault = ""
	Truncate         Fault = "cut"
	Malformed        Fault = "malformed"
	Hang             Fault = "hang"
	NoFinishReason   Fault = "no_finish"
	Unavailable      Fault = "refuse"
	TooManyRequests  Fault = "busy"
	InternalError    Fault = "fail"
	IgnoreTokenLimit Fault = "overrun"
	NoResponse       Fault = "silent"
)

// Model stands in for a model server. Its answer is a function of the prompt
// alone, so that a caller can tell whether an answer is its own and whole.
type Model struct {
	ID              string
	Clock           base.Clock
	PiecesPerAnswer int
	PieceInterval   time.Duration
	// PrefillPerMessage is what each message not in the cache costs before the first
	// piece; Capacity is how many answers run at full speed, more slow down.
	PrefillPerMessage time.Duration
	Capacity          int
	// CachedPrefixes is how many prefixes are kept, of whichever session, the longest
	// unused going first; 0 keeps all.
	CachedPrefixes int
	NextFault      func() Fault
	// CloseConnections says on each answer that the connection will not be kept.
	CloseConnections bool
	// OnRun, when set, is told of each run as it begins.
	OnRun func(worker string, at time.Duration)

	mu     sync.Mutex
	busy   int
	runs   map[string]int
	tokens map[string]int64
	prefix map[string]int
	used   int
	latest time.Duration
	hits   int
	count  int
	// asked and found count prompt messages, and those found in the cache.
	asked, found int
}

// ExpectedAnswer is the answer a right model gives to a chain.
func ExpectedAnswer(chain []Message, pieces int) []string {
	answer := []string{fmt.Sprintf("%d messages %s", len(chain), base.Digest(base.MustMarshal(chain)))}
	for piece := 2; piece <= pieces; piece++ {
		answer = append(answer, fmt.Sprintf(" piece %d", piece))
	}
	return answer
}

// TurnTag marks a turn's last message so that workers' records name the turn.
func TurnTag(program, turn string) string { return "[" + program + "|" + turn + "]" }

func tagIn(content string) (program, turn string) {
	_, rest, _ := strings.Cut(content, "[")
	rest, _, _ = strings.Cut(rest, "]")
	program, turn, _ = strings.Cut(rest, "|")
	return program, turn
}

// Serve answers one streaming completion; emit sends a line and fails when
// the asker is gone.
func (m *Model) Serve(body []byte, begin func(status int), emit func(line string) error) {
	var request struct {
		Messages  []Message `json:"messages"`
		MaxTokens int64     `json:"max_tokens"`
	}
	trouble := NoFault
	if m.NextFault != nil {
		trouble = m.NextFault()
	}
	if json.Unmarshal(body, &request) != nil || len(request.Messages) == 0 {
		begin(400)
		return
	}
	switch trouble {
	case Unavailable:
		begin(503)
		return
	case TooManyRequests:
		begin(429)
		return
	}
	last := request.Messages[len(request.Messages)-1]
	program, turn := tagIn(last.Content)
	cached := m.note(program, turn, request.Messages)
	defer m.leave()
	if trouble == InternalError {
		begin(500)
		return
	}
	if trouble == NoResponse {
		m.Clock.Sleep(time.Hour)
		return
	}
	begin(200)
	m.Clock.Sleep(m.PrefillPerMessage * time.Duration(len(request.Messages)-cached))
	answer := ExpectedAnswer(request.Messages, m.PiecesPerAnswer)
	finish := "stop"
	if int64(len(answer)) > request.MaxTokens && trouble != IgnoreTokenLimit {
		answer, finish = answer[:request.MaxTokens], "length"
	}
	for place, piece := range answer {
		m.Clock.Sleep(m.pace())
		if place == len(answer)/2 {
			switch trouble {
			case Truncate:
				return
			case Malformed:
				_ = emit("data: {\"choices\":[{]}\n\n")
				return
			case Hang:
				m.Clock.Sleep(time.Hour)
				return
			}
		}
		m.put(program, 1)
		chunk := map[string]any{"choices": []any{map[string]any{"delta": map[string]string{"content": piece}}}}
		if emit("data: "+string(base.MustMarshal(chunk))+"\n\n") != nil {
			return
		}
	}
	if trouble != NoFinishReason {
		end := map[string]any{"choices": []any{map[string]any{"delta": map[string]string{}, "finish_reason": finish}},
			"usage": map[string]int{"completion_tokens": len(answer)}}
		if emit("data: "+string(base.MustMarshal(end))+"\n\n") != nil {
			return
		}
	}
	_ = emit("data: [DONE]\n\n")
}

// note records a run and tells how much of the chain was cached here.
func (m *Model) note(program, turn string, chain []Message) (cached int) {
	if m.OnRun != nil {
		m.OnRun(m.ID, m.Clock.Now())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs == nil {
		m.runs, m.tokens, m.prefix = map[string]int{}, map[string]int64{}, map[string]int{}
	}
	m.count++
	m.busy++
	m.latest = m.Clock.Now()
	m.runs[program+"|"+turn]++
	// The longest prefix in the cache counts, whichever session brought it.
	for upto := 1; upto <= len(chain); upto++ {
		prefix := base.Digest(base.MustMarshal(chain[:upto]))
		if _, ok := m.prefix[prefix]; ok && cached == upto-1 {
			cached = upto
		}
		m.used++
		m.prefix[prefix] = m.used
	}
	m.asked, m.found = m.asked+len(chain), m.found+cached
	if len(chain) > 2 && cached >= len(chain)-2 {
		m.hits++
	}
	for m.CachedPrefixes > 0 && len(m.prefix) > m.CachedPrefixes {
		oldest := ""
		for prefix, at := range m.prefix {
			if oldest == "" || at < m.prefix[oldest] {
				oldest = prefix
			}
		}
		delete(m.prefix, oldest)
	}
	return cached
}

// CacheUse counts prompt messages, and those that were found in the cache.
func (m *Model) CacheUse() (asked, found int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asked, m.found
}

func (m *Model) leave() {
	m.mu.Lock()
	m.busy--
	m.mu.Unlock()
}

// ActiveAnswers is how many answers are under way.
func (m *Model) ActiveAnswers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.busy
}

// pace is the gap to the next piece at the present load.
func (m *Model) pace() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Capacity == 0 || m.busy <= m.Capacity {
		return m.PieceInterval
	}
	return m.PieceInterval * time.Duration(m.busy) / time.Duration(m.Capacity)
}

func (m *Model) put(program string, tokens int64) {
	m.mu.Lock()
	m.tokens[program] += tokens
	m.mu.Unlock()
}

// Stats is what a model worker has seen.
func (m *Model) Stats() (runs map[string]int, tokens map[string]int64, count, prefixHits int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	runs, tokens = map[string]int{}, map[string]int64{}
	for key, n := range m.runs {
		runs[key] = n
	}
	for key, n := range m.tokens {
		tokens[key] = n
	}
	return runs, tokens, m.count, m.hits
}

// LastRunTime is when this worker was last given work.
func (m *Model) LastRunTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest
}

// Tool stands in for an application worker and counts runs per key.
type Tool struct {
	ID        string
	Clock     base.Clock
	Delay     time.Duration
	NextFault func() Fault
	OnRun     func(worker string, at time.Duration)

	mu   sync.Mutex
	runs map[string]int
}

// Serve carries one call out; answered is false when no answer is sent.
func (t *Tool) Serve(key string, _ []byte) (status int, body []byte, answered bool) {
	trouble := NoFault
	if t.NextFault != nil {
		trouble = t.NextFault()
	}
	if trouble == Unavailable {
		return 503, []byte(`{"error":"leaving"}`), true
	}
	if t.OnRun != nil {
		t.OnRun(t.ID, t.Clock.Now())
	}
	t.mu.Lock()
	if t.runs == nil {
		t.runs = map[string]int{}
	}
	t.runs[key]++
	t.mu.Unlock()
	t.Clock.Sleep(t.Delay)
	switch trouble {
	case NoResponse, Truncate:
		return 0, nil, false
	case InternalError:
		return 500, []byte(`{"error":"failed"}`), true
	}
	return 200, base.MustMarshal(map[string]string{"done": key}), true
}

// RunsByKey counts what was carried out, by key.
func (t *Tool) RunsByKey() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := map[string]int{}
	for key, n := range t.runs {
		runs[key] = n
	}
	return runs
}
