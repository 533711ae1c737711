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

// Trouble is what a worker does wrong in one answer.
type Trouble string

const (
	Fine      Trouble = ""
	Cut       Trouble = "cut"
	Malformed Trouble = "malformed"
	Hang      Trouble = "hang"
	NoFinish  Trouble = "no_finish"
	Refuse    Trouble = "refuse"
	Busy      Trouble = "busy"
	Fail      Trouble = "fail"
	Overrun   Trouble = "overrun"
	Silent    Trouble = "silent"
)

// Model stands in for a model server. Its answer is a function of the prompt
// alone, so that a caller can tell whether an answer is its own and whole.
type Model struct {
	ID     string
	Clock  base.Clock
	Pieces int
	Gap    time.Duration
	// Prefill is what each message not in the cache costs before the first
	// piece; Capacity is how many answers run at full speed, more slow down.
	Prefill  time.Duration
	Capacity int
	// Cache is how many prefixes are kept, of whichever session, the longest
	// unused going first; 0 keeps all.
	Cache int
	Next  func() Trouble
	// Closing says on each answer that the connection will not be kept.
	Closing bool
	// Given, when set, is told of each run as it begins.
	Given func(worker string, at time.Duration)

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

// Expected is the answer a right model gives to a chain.
func Expected(chain []Message, pieces int) []string {
	answer := []string{fmt.Sprintf("%d messages %s", len(chain), base.Digest(base.MustMarshal(chain)))}
	for piece := 2; piece <= pieces; piece++ {
		answer = append(answer, fmt.Sprintf(" piece %d", piece))
	}
	return answer
}

// Tag marks a turn's last message so that workers' records name the turn.
func Tag(program, turn string) string { return "[" + program + "|" + turn + "]" }

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
	trouble := Fine
	if m.Next != nil {
		trouble = m.Next()
	}
	if json.Unmarshal(body, &request) != nil || len(request.Messages) == 0 {
		begin(400)
		return
	}
	switch trouble {
	case Refuse:
		begin(503)
		return
	case Busy:
		begin(429)
		return
	}
	last := request.Messages[len(request.Messages)-1]
	program, turn := tagIn(last.Content)
	cached := m.note(program, turn, request.Messages)
	defer m.leave()
	if trouble == Fail {
		begin(500)
		return
	}
	if trouble == Silent {
		m.Clock.Sleep(time.Hour)
		return
	}
	begin(200)
	m.Clock.Sleep(m.Prefill * time.Duration(len(request.Messages)-cached))
	answer := Expected(request.Messages, m.Pieces)
	finish := "stop"
	if int64(len(answer)) > request.MaxTokens && trouble != Overrun {
		answer, finish = answer[:request.MaxTokens], "length"
	}
	for place, piece := range answer {
		m.Clock.Sleep(m.pace())
		if place == len(answer)/2 {
			switch trouble {
			case Cut:
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
	if trouble != NoFinish {
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
	if m.Given != nil {
		m.Given(m.ID, m.Clock.Now())
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
	for m.Cache > 0 && len(m.prefix) > m.Cache {
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

// Reuse counts prompt messages, and those that were found in the cache.
func (m *Model) Reuse() (asked, found int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asked, m.found
}

func (m *Model) leave() {
	m.mu.Lock()
	m.busy--
	m.mu.Unlock()
}

// Busy is how many answers are under way.
func (m *Model) Busy() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.busy
}

// pace is the gap to the next piece at the present load.
func (m *Model) pace() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Capacity == 0 || m.busy <= m.Capacity {
		return m.Gap
	}
	return m.Gap * time.Duration(m.busy) / time.Duration(m.Capacity)
}

func (m *Model) put(program string, tokens int64) {
	m.mu.Lock()
	m.tokens[program] += tokens
	m.mu.Unlock()
}

// Record is what a model worker has seen.
func (m *Model) Record() (runs map[string]int, tokens map[string]int64, count, prefixHits int) {
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

// Latest is when this worker was last given work.
func (m *Model) Latest() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest
}

// Tool stands in for an application worker and counts runs per key.
type Tool struct {
	ID    string
	Clock base.Clock
	Pause time.Duration
	Next  func() Trouble
	Given func(worker string, at time.Duration)

	mu   sync.Mutex
	runs map[string]int
}

// Serve carries one call out; answered is false when no answer is sent.
func (t *Tool) Serve(key string, _ []byte) (status int, body []byte, answered bool) {
	trouble := Fine
	if t.Next != nil {
		trouble = t.Next()
	}
	if trouble == Refuse {
		return 503, []byte(`{"error":"leaving"}`), true
	}
	if t.Given != nil {
		t.Given(t.ID, t.Clock.Now())
	}
	t.mu.Lock()
	if t.runs == nil {
		t.runs = map[string]int{}
	}
	t.runs[key]++
	t.mu.Unlock()
	t.Clock.Sleep(t.Pause)
	switch trouble {
	case Silent, Cut:
		return 0, nil, false
	case Fail:
		return 500, []byte(`{"error":"failed"}`), true
	}
	return 200, base.MustMarshal(map[string]string{"done": key}), true
}

// Runs counts what was carried out, by key.
func (t *Tool) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := map[string]int{}
	for key, n := range t.runs {
		runs[key] = n
	}
	return runs
}
