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

// jobState says whether a job runs or waits (jobRunning), or how it ended.
type jobState int

const (
	jobRunning jobState = iota
	jobComplete
	jobCancelled
	jobExpired
)

// promptPart is a part of a prompt that the engine can cache; prompts share it by its id.
type promptPart struct {
	id     string
	tokens int
}

// job is one request on the engine.
type job struct {
	urgency      int
	sequence     int
	parts        []promptPart
	promptTokens int
	maxTokens    int
	deadline     time.Duration
	cancelled    base.Signal
	notifier     *base.Notifier

	promptTokensLeft int // prompt tokens not processed yet
	outputTokens     int
	state            jobState
}

// newJob reads a request's urgency, token counts and prompt parts from its headers; without
// them it has urgency 5, 16 prompt tokens and 2 output tokens.
func newJob(request *Request, deadline time.Duration) *job {
	j := &job{urgency: 5, deadline: deadline, cancelled: request.ClientClosed, promptTokens: 16, maxTokens: 2}
	if urgency, err := strconv.Atoi(request.Header(HeaderUrgency)); err == nil {
		j.urgency = urgency
	}
	prompt, output, _ := strings.Cut(request.Header(HeaderTokens), ",")
	if tokens, err := strconv.Atoi(strings.TrimSpace(prompt)); err == nil {
		j.promptTokens = tokens
	}
	if tokens, err := strconv.Atoi(strings.TrimSpace(output)); err == nil && tokens > 0 {
		j.maxTokens = tokens
	}
	for _, entry := range strings.Split(request.Header(HeaderPrompt), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(entry), ":")
		if count, err := strconv.Atoi(tokens); ok && err == nil {
			j.parts = append(j.parts, promptPart{id, count})
		}
	}
	return j
}

// engine simulates a model worker's inference engine. It processes prompts in chunks between
// the output tokens of the running jobs, in steps that take longer as more jobs run. Cached
// parts of a prompt are not processed again, as long as every part before them is cached too.
// When memory runs out, the newest of the least urgent jobs is preempted.
type engine struct {
	clock    base.Clock
	spec     EngineSpec
	capacity int
	slowdown float64

	mu           sync.Mutex
	lastSequence int
	stepping     bool
	waiting      []*job
	running      []*job
	cachedParts  map[string]int // tokens by part id
	lastUsedStep map[string]int // step in which each part was last used
	steps        int
	promptTokens int // prompt tokens of all admitted jobs
	cachedTokens int // how many of promptTokens were cached
	lastReport   string
	lastReportAt time.Duration
}

func newEngine(clock base.Clock, spec ServiceSpec, slowdown float64) *engine {
	return &engine{clock: clock, spec: *spec.Engine, capacity: spec.Capacity, slowdown: slowdown, cachedParts: map[string]int{}, lastUsedStep: map[string]int{}}
}

// load returns the numbers of running and waiting jobs.
func (e *engine) load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.waiting)
}

// submit queues a job and starts the engine's loop if needed. It returns false when the queue
// is full or the job is larger than the memory.
func (e *engine) submit(j *job, queueSize int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.promptTokens+j.maxTokens > e.spec.CacheTokens || len(e.waiting) >= queueSize {
		return false
	}
	e.lastSequence++
	j.sequence, j.notifier = e.lastSequence, base.NewNotifier(e.clock)
	e.enqueue(j)
	if !e.stepping {
		e.stepping = true
		e.clock.Go(e.run)
	}
	return true
}

// enqueue adds a job to the queue, which is ordered by urgency, then age. The caller holds
// the lock.
func (e *engine) enqueue(j *job) {
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.sequence, b.sequence))
	})
}

// progress returns a job's output tokens so far and its state.
func (e *engine) progress(j *job) (outputTokens int, state jobState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.outputTokens, j.state
}

// remove takes a job off the engine.
func (e *engine) remove(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := func(candidate *job) bool { return candidate != j }
	e.waiting, e.running = base.Filter(e.waiting, other), base.Filter(e.running, other)
}

// run makes steps until no job is left.
func (e *engine) run() {
	for {
		stepTime, ok := e.beginStep()
		if !ok {
			return
		}
		e.clock.Sleep(stepTime)
		for _, j := range e.finishStep() {
			j.notifier.Notify()
		}
	}
}

// memoryTokens returns how many tokens of the running jobs are in memory. The caller holds the
// lock.
func (e *engine) memoryTokens() (tokens int) {
	for _, j := range e.running {
		tokens += j.promptTokens + j.outputTokens
	}
	return tokens
}

// beginStep admits waiting jobs while there is room and returns how long the step takes; ok is
// false when there is no job to run.
func (e *engine) beginStep() (stepTime time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.capacity && (len(e.running) == 0 || e.memoryTokens()+e.waiting[0].promptTokens+e.waiting[0].maxTokens <= e.spec.CacheTokens) {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cachedPrefix(j)
		j.promptTokensLeft = max(0, j.promptTokens+j.outputTokens-cached)
		e.promptTokens, e.cachedTokens = e.promptTokens+j.promptTokens, e.cachedTokens+cached
		e.running = append(e.running, j)
	}
	if len(e.running) == 0 {
		e.stepping = false
		return 0, false
	}
	promptTokensRead := 0
	for _, j := range e.running {
		promptTokensRead += min(j.promptTokensLeft, e.spec.MaxPromptTokensPerStep-min(promptTokensRead, e.spec.MaxPromptTokensPerStep))
	}
	stepTime = e.spec.StepTime + time.Duration(len(e.running))*e.spec.StepTimePerJob + time.Duration(float64(promptTokensRead)/e.spec.PromptTokensPerMs*float64(time.Millisecond))
	return time.Duration(float64(stepTime) * e.slowdown), true
}

// cachedPrefix returns how many of a job's prompt tokens are cached, up to the first part that
// is not; at least one token is left to process. The caller holds the lock.
func (e *engine) cachedPrefix(j *job) (tokens int) {
	for _, p := range j.parts {
		if _, ok := e.cachedParts[p.id]; !ok {
			break
		}
		tokens += p.tokens
		e.lastUsedStep[p.id] = e.steps
	}
	return min(tokens, j.promptTokens-1)
}

// finishStep applies a step: it advances prompts, adds output tokens, preempts jobs while
// memory is short, and removes jobs that ended. It returns the jobs whose waiters are to be
// notified.
func (e *engine) finishStep() (changed []*job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps++
	now, promptTokensRead := e.clock.Now(), 0
	for _, j := range e.running {
		if j.promptTokensLeft > 0 {
			chunk := min(j.promptTokensLeft, e.spec.MaxPromptTokensPerStep-min(promptTokensRead, e.spec.MaxPromptTokensPerStep))
			promptTokensRead, j.promptTokensLeft = promptTokensRead+chunk, j.promptTokensLeft-chunk
			if j.promptTokensLeft > 0 {
				continue
			}
		}
		j.outputTokens++
		if j.outputTokens >= j.maxTokens {
			j.state = jobComplete
			e.cachePrompt(j)
		}
	}
	for e.memoryTokens() > e.spec.CacheTokens && len(e.running) > 1 {
		e.preempt()
	}
	for _, list := range [][]*job{e.running, e.waiting} {
		for _, j := range list {
			switch {
			case j.state != jobRunning:
			case j.cancelled.Fired():
				j.state = jobCancelled
			case now > j.deadline:
				j.state = jobExpired
			}
			changed = append(changed, j)
		}
	}
	runs := func(j *job) bool { return j.state == jobRunning }
	e.running, e.waiting = base.Filter(e.running, runs), base.Filter(e.waiting, runs)
	return changed
}

// preempt puts the newest of the least urgent running jobs back into the queue. The caller
// holds the lock.
func (e *engine) preempt() {
	victim := 0
	for index, j := range e.running {
		if cmp.Or(cmp.Compare(j.urgency, e.running[victim].urgency), cmp.Compare(j.sequence, e.running[victim].sequence)) > 0 {
			victim = index
		}
	}
	j := e.running[victim]
	e.running = slices.Delete(e.running, victim, victim+1)
	e.enqueue(j)
}

// cachePrompt caches a prompt's parts and evicts the least recently used ones while memory is
// short. The caller holds the lock.
func (e *engine) cachePrompt(j *job) {
	total := e.memoryTokens()
	for _, tokens := range e.cachedParts {
		total += tokens
	}
	for _, p := range j.parts {
		if _, ok := e.cachedParts[p.id]; !ok {
			total += p.tokens
		}
		e.cachedParts[p.id], e.lastUsedStep[p.id] = p.tokens, e.steps
	}
	for total > e.spec.CacheTokens && len(e.cachedParts) > 0 {
		oldest := ""
		for _, id := range base.SortedKeys(e.cachedParts) {
			if oldest == "" || e.lastUsedStep[id] < e.lastUsedStep[oldest] {
				oldest = id
			}
		}
		total -= e.cachedParts[oldest]
		delete(e.cachedParts, oldest)
		delete(e.lastUsedStep, oldest)
	}
}

// PromptTokens returns the prompt tokens of all jobs that a model worker admitted, and how many
// of them were cached.
func (w *Worker) PromptTokens() (total, cached int) {
	if w.engine == nil {
		return 0, 0
	}
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	return w.engine.promptTokens, w.engine.cachedTokens
}

// report returns the engine's state as JSON. It is outdated by the report lag, as real engines
// publish it only now and then.
func (e *engine) report() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	current := fmt.Sprintf(`{"phase":"both","model_list":[{"name":"m","generation":1,"loaded_adapters":[]}],"busy":false,"call_seq":0,"pending":%d,"active":%d,"cache_used":%d,"cache_total":%d,"handles":0}`,
		len(e.waiting), len(e.running), e.memoryTokens(), e.spec.CacheTokens)
	if e.lastReport == "" || now-e.lastReportAt >= e.spec.ReportLag {
		previous := e.lastReport
		e.lastReport, e.lastReportAt = current, now
		if previous != "" {
			return previous
		}
	}
	return e.lastReport
}
