package session

import (
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"

	"github.com/matryer/is"
)

// endlessReply is a worker's stream that repeats lines without end.
type endlessReply struct {
	base.BackendReply
	cycle []string
	lines int
}

func (r *endlessReply) ReadLine(time.Duration) ([]byte, error) {
	r.lines++
	return []byte(r.cycle[(r.lines-1)%len(r.cycle)]), nil
}

// TestEndlessAnswersOfModelsAreCut guards against workers that send what brings an answer no
// further, or more than was asked for.
func TestEndlessAnswersOfModelsAreCut(t *testing.T) {
	chunk := func(content string) string {
		return `data: {"choices":[{"delta":{"content":"` + content + `"}}]}` + "\n"
	}
	tests := []struct {
		name  string
		cycle []string
		code  string
	}{
		{"comments", []string{": nothing\n", "\n"}, "worker_malformed"},
		{"blank lines", []string{"\n"}, "worker_malformed"},
		{"chunks without content", []string{"data: {\"choices\":[]}\n", "\n"}, "worker_malformed"},
		{"finish reasons", []string{"data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n"}, "worker_malformed"},
		{"usage", []string{"data: {\"usage\":{\"completion_tokens\":1}}\n"}, "worker_malformed"},
		{"more than granted", []string{chunk("x")}, "worker_overran"},
		{"huge pieces", []string{chunk(strings.Repeat("x", 1<<20))}, "worker_overran"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock, bounds := base.NewRealClock(), &base.AtomicPointer[base.Bounds]{}
			bounds.Store(base.DefaultBounds())
			m := &Manager{clock: clock, bounds: bounds, counters: base.NewCounters()}
			op := &operation{stream: newStream(clock), cancelled: clock.NewSignal()}
			op.stream.begin("attempt")
			_, requestErr := m.receive(base.NewCtx(clock, time.Minute), op, &endlessReply{cycle: test.cycle}, newAnswerBounds(1000, nil))
			is.True(requestErr != nil)
			is.Equal(requestErr.Code, test.code)
		})
	}
}

// TestAnswersOfModelsCountToTheMemory guards against output that is held beside the budget.
func TestAnswersOfModelsCountToTheMemory(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(base.NewRealClock(), base.NewCounters(), 64<<20)
	lease := budget.NewAnswerLease()
	bounds := newAnswerBounds(1000, lease)
	is.True(bounds.addContent(1<<20) == nil)
	is.True(budget.Used() >= contentCopies<<20)
	lease.Close()
	is.Equal(budget.Used(), int64(0))
}

// TestPiecesArePulledInParts guards against messages between nodes that carry a whole answer.
func TestPiecesArePulledInParts(t *testing.T) {
	is := is.New(t)
	clock := base.NewRealClock()
	stream := newStream(clock)
	stream.begin("attempt")
	for _, size := range []int{10, maxPulledBytes, 2 * maxPulledBytes, 10, 10} {
		stream.add(make([]byte, size), false)
	}
	lengths := []int{}
	for position := uint64(0); position < 5; {
		pieces := stream.piecesAfter(position, 0, clock.Now)
		lengths = append(lengths, len(pieces))
		position = pieces[len(pieces)-1].Place
	}
	is.Equal(lengths, []int{1, 1, 1, 2})
}
