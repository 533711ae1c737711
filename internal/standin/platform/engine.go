// A model worker's engine: it reads prompts in pieces between the tokens of
// the requests that run, in steps that take longer as more run; parts of
// prompts are kept and not read again while every part before them is kept
// too; when memory runs out, the newest of the least urgent is put back.

package platform

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
)

type jobEnd int

const (
	jobRuns jobEnd = iota
	jobWhole
	jobGone
	jobExpired
)

type part struct {
	id     string
	tokens int
}

type job struct {
	urgency int
	order   int
	parts   []part
	prompt  int
	want    int
	until   time.Duration
	gone    base.Signal
	bell    *base.Notifier

	unread int // prompt tokens not read yet
	out    int
	ended  jobEnd
}

func jobOf(asked *Request, until time.Duration) *job {
	j := &job{urgency: 5, until: until, gone: asked.ClientClosed, prompt: 16, want: 2}
	if urgency, err := strconv.Atoi(asked.Header(HeaderUrgency)); err == nil {
		j.urgency = urgency
	}
	prompt, most, _ := strings.Cut(asked.Header(HeaderTokens), ",")
	if tokens, err := strconv.Atoi(strings.TrimSpace(prompt)); err == nil {
		j.prompt = tokens
	}
	if tokens, err := strconv.Atoi(strings.TrimSpace(most)); err == nil && tokens > 0 {
		j.want = tokens
	}
	for _, one := range strings.Split(asked.Header(HeaderPrompt), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(one), ":")
		if count, err := strconv.Atoi(tokens); ok && err == nil {
			j.parts = append(j.parts, part{id, count})
		}
	}
	return j
}

type engine struct {
	clock    base.Clock
	shape    EngineSpec
	capacity int
	speed    float64

	mu      sync.Mutex
	order   int
	active  bool
	waiting []*job
	running []*job
	kept    map[string]int // tokens by part
	used    map[string]int // when each part was last used
	steps   int
	asked   int // prompt tokens of all jobs let in
	found   int // and those of them that were kept
	shown   string
	shownAt time.Duration
}

func newEngine(clock base.Clock, shape ServiceSpec, speed float64) *engine {
	return &engine{clock: clock, shape: *shape.Engine, capacity: shape.Capacity, speed: speed, kept: map[string]int{}, used: map[string]int{}}
}

func (e *engine) load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.waiting)
}

// submit takes a job in, or turns it away when there is no room for it.
func (e *engine) submit(j *job, queue int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.prompt+j.want > e.shape.CacheTokens || len(e.waiting) >= queue {
		return false
	}
	e.order++
	j.order, j.bell = e.order, base.NewNotifier(e.clock)
	e.line(j)
	if !e.active {
		e.active = true
		e.clock.Go(e.loop)
	}
	return true
}

// line puts a job in the line by urgency, then age.
func (e *engine) line(j *job) {
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.order, b.order))
	})
}

func (e *engine) progress(j *job) (out int, ended jobEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.out, j.ended
}

func (e *engine) remove(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := func(one *job) bool { return one != j }
	e.waiting, e.running = base.Filter(e.waiting, other), base.Filter(e.running, other)
}

func (e *engine) loop() {
	for {
		span, ok := e.begin()
		if !ok {
			return
		}
		e.clock.Sleep(span)
		for _, j := range e.finish() {
			j.bell.Notify()
		}
	}
}

func (e *engine) memory() (tokens int) {
	for _, j := range e.running {
		tokens += j.prompt + j.out
	}
	return tokens
}

// begin admits what has room and tells how long the step takes.
func (e *engine) begin() (span time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.capacity && (len(e.running) == 0 || e.memory()+e.waiting[0].prompt+e.waiting[0].want <= e.shape.CacheTokens) {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cached(j)
		j.unread = max(0, j.prompt+j.out-cached)
		e.asked, e.found = e.asked+j.prompt, e.found+cached
		e.running = append(e.running, j)
	}
	if len(e.running) == 0 {
		e.active = false
		return 0, false
	}
	read := 0
	for _, j := range e.running {
		read += min(j.unread, e.shape.MaxPromptTokensPerStep-min(read, e.shape.MaxPromptTokensPerStep))
	}
	span = e.shape.StepTime + time.Duration(len(e.running))*e.shape.StepTimePerJob + time.Duration(float64(read)/e.shape.PromptTokensPerMs*float64(time.Millisecond))
	return time.Duration(float64(span) * e.speed), true
}

func (e *engine) cached(j *job) (tokens int) {
	for _, p := range j.parts {
		if _, ok := e.kept[p.id]; !ok {
			break
		}
		tokens += p.tokens
		e.used[p.id] = e.steps
	}
	return min(tokens, j.prompt-1)
}

// finish ends a step: prompts are read on, tokens come out, ended jobs go.
func (e *engine) finish() (rung []*job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps++
	now, read := e.clock.Now(), 0
	for _, j := range e.running {
		if j.unread > 0 {
			piece := min(j.unread, e.shape.MaxPromptTokensPerStep-min(read, e.shape.MaxPromptTokensPerStep))
			read, j.unread = read+piece, j.unread-piece
			if j.unread > 0 {
				continue
			}
		}
		j.out++
		if j.out >= j.want {
			j.ended = jobWhole
			e.keep(j)
		}
	}
	for e.memory() > e.shape.CacheTokens && len(e.running) > 1 {
		e.putBack()
	}
	for _, list := range [][]*job{e.running, e.waiting} {
		for _, j := range list {
			switch {
			case j.ended != jobRuns:
			case j.gone.Fired():
				j.ended = jobGone
			case now > j.until:
				j.ended = jobExpired
			}
			rung = append(rung, j)
		}
	}
	runs := func(j *job) bool { return j.ended == jobRuns }
	e.running, e.waiting = base.Filter(e.running, runs), base.Filter(e.waiting, runs)
	return rung
}

func (e *engine) putBack() {
	place := 0
	for at, j := range e.running {
		if cmp.Or(cmp.Compare(j.urgency, e.running[place].urgency), cmp.Compare(j.order, e.running[place].order)) > 0 {
			place = at
		}
	}
	j := e.running[place]
	e.running = slices.Delete(e.running, place, place+1)
	e.line(j)
}

// keep remembers a prompt's parts; those longest unused give way.
func (e *engine) keep(j *job) {
	total := e.memory()
	for _, tokens := range e.kept {
		total += tokens
	}
	for _, p := range j.parts {
		if _, ok := e.kept[p.id]; !ok {
			total += p.tokens
		}
		e.kept[p.id], e.used[p.id] = p.tokens, e.steps
	}
	for total > e.shape.CacheTokens && len(e.kept) > 0 {
		oldest := ""
		for _, id := range base.SortedKeys(e.kept) {
			if oldest == "" || e.used[id] < e.used[oldest] {
				oldest = id
			}
		}
		total -= e.kept[oldest]
		delete(e.kept, oldest)
		delete(e.used, oldest)
	}
}

// PromptTokens counts the prompt tokens of all that a model worker let in, and
// those of them that it did not have to read.
func (w *Worker) PromptTokens() (asked, found int) {
	if w.engine == nil {
		return 0, 0
	}
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	return w.engine.asked, w.engine.found
}

// report is the engine's state, as it stood a little before.
func (e *engine) report() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	fresh := fmt.Sprintf(`{"phase":"both","model_list":[{"name":"m","generation":1,"loaded_adapters":[]}],"busy":false,"call_seq":0,"pending":%d,"active":%d,"cache_used":%d,"cache_total":%d,"handles":0}`,
		len(e.waiting), len(e.running), e.memory(), e.shape.CacheTokens)
	if e.shown == "" || now-e.shownAt >= e.shape.ReportLag {
		shown := e.shown
		e.shown, e.shownAt = fresh, now
		if shown != "" {
			return shown
		}
	}
	return e.shown
}
