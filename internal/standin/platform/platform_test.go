package platform

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

func TestShouldRetryByKind(t *testing.T) {
	is := is.New(t)
	answered := func(kind Kind, status int) *Try { return &Try{Kind: kind, Status: status, Complete: true} }
	retries := func(try *Try) bool {
		retry, _ := ShouldRetry(try, 1, time.Second)
		return retry
	}
	for _, status := range []int{429, 503, 408, 421} {
		for _, kind := range []Kind{Idempotent, NonIdempotent, Streaming} {
			is.True(retries(answered(kind, status)))
		}
	}
	for _, status := range []int{500, 502, 504} {
		is.True(retries(answered(Idempotent, status)))
		is.True(!retries(answered(NonIdempotent, status)))
		is.True(!retries(answered(Streaming, status)))
	}
	for _, status := range []int{200, 400, 401, 404, 413, 431} {
		is.True(!retries(answered(Idempotent, status)))
		is.True(!retries(answered(NonIdempotent, status)))
	}
	is.True(retries(&Try{Kind: Idempotent}))                           // a closed connection
	is.True(!retries(&Try{Kind: NonIdempotent}))                       // it may have run
	is.True(retries(&Try{Kind: NonIdempotent, Unread: true}))          // it was not read
	is.True(!retries(&Try{Kind: NonIdempotent, Status: 503}))          // truncated: no promise
	is.True(retries(&Try{Kind: Idempotent, Status: 200}))              // truncated
	is.True(!retries(&Try{Kind: Streaming, Status: 200, Program: ""})) // truncated stream
	is.True(!retries(&Try{Kind: Idempotent, Status: 402, Complete: true, Program: "p"}))
	retry, _ := ShouldRetry(answered(Idempotent, 503), 0, time.Second)
	is.True(!retry)
	retry, _ = ShouldRetry(answered(Idempotent, 503), 1, 0)
	is.True(!retry)
}

func TestRetryAfterIsCappedAtAThirdOfTheTimeLeft(t *testing.T) {
	is := is.New(t)
	try := &Try{Kind: Idempotent, Status: 503, Complete: true, RetryAfter: 300 * time.Millisecond}
	_, pause := ShouldRetry(try, 1, 3*time.Second)
	is.Equal(pause, 300*time.Millisecond)
	_, pause = ShouldRetry(try, 1, 600*time.Millisecond)
	is.Equal(pause, 200*time.Millisecond)
	is.Equal(StreamSilenceLimit(250*time.Millisecond, 400*time.Millisecond), 3200*time.Millisecond)
	is.Equal(StreamSilenceLimit(time.Second, 100*time.Millisecond), 4*time.Second)
	is.Equal(StreamSilenceLimit(0, 0), 2*time.Second)
}

func TestNextOrderStep(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{200, 400, 409, 412, 413, 422} {
		is.Equal(NextOrderStep(status, 1), OrderDone)
	}
	for _, status := range []int{0, 500, 503, 408, 429, 307} {
		is.Equal(NextOrderStep(status, 9), OrderRetry)
	}
	is.Equal(NextOrderStep(404, 2), OrderRetry)
	is.Equal(NextOrderStep(404, 3), OrderDone)
	is.True(OrderBackoff(1) < OrderBackoff(3))
	is.True(OrderBackoff(100) <= time.Second)
	is.True(OrderTimeout(1<<20) > OrderTimeout(10))
}

func TestConfigGenerator(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		deployment := Deployments()["small"]
		generator := &ConfigGenerator{Deployment: deployment, Names: deployment.DrawNames(rng), Rng: rng}
		c := generator.Initial()
		is.Equal(c.InvalidReason(0), "")
		for range 30 {
			next := generator.NextValid(c)
			is.Equal(next.InvalidReason(c.Generation), "")
			is.True(!SameDocument(next.Encode(), c.Encode()))
			is.Equal(GenerationOf(next.Encode()), next.Generation)
			for _, class := range deployment.Classes {
				route := next.Match(generator.Names.Hosts[class.Name], generator.Names.Prefixes[class.Name]+"x")
				is.True(route != nil && route.Allows(generator.Names.Services[class.Service])) // routes with traffic stay
			}
			c = next
		}
		for _, kind := range InvalidKinds {
			before := string(c.Encode())
			invalid, raw, fault := generator.Invalid(c, kind)
			is.Equal(fault, kind)
			is.Equal(string(c.Encode()), before)
			switch kind {
			case Unreadable:
				_, err := ParseJSON(raw)
				is.True(err != nil)
			case WrongType:
				is.True(invalid == nil)
			default:
				is.True(invalid.InvalidReason(c.Generation) != "")
				is.True(SameDocument(raw, invalid.Encode()))
			}
		}
	}
}

// Services are dropped, added again and swapped, and each change is valid.
func TestConfigGeneratorMovesServices(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 0))
	deployment := Deployments()["small"].WithAlternatives()
	generator := &ConfigGenerator{Deployment: deployment, Names: deployment.DrawNames(rng), Rng: rng}
	c := generator.Initial()
	is.Equal(len(c.Services), 4)
	dropped, added, moved := 0, 0, 0
	for range 200 {
		next := generator.NextServices(c)
		is.Equal(next.InvalidReason(c.Generation), "")
		for _, class := range deployment.Classes {
			host, target := generator.Names.Hosts[class.Name], generator.Names.Prefixes[class.Name]+"x"
			before, after := c.Match(host, target), next.Match(host, target)
			is.True(after.Allows(generator.Names.Services[class.Service]) || after.Allows(generator.Names.Services[class.Service+"-2"]))
			if before.Service != after.Service {
				moved++
			}
		}
		dropped += max(0, len(c.Services)-len(next.Services))
		added += max(0, len(next.Services)-len(c.Services))
		c = next
	}
	is.True(dropped > 20 && added > 20 && moved > 20)
}

// A resting program rests for less than the limit, and its turns come from several zones.
func TestRestingPrograms(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 0))
	deployment := Deployments()["kiondo"]
	generator := &ProgramGenerator{Deployment: deployment, Names: deployment.DrawNames(rng), Rng: rng}
	zones, unnamed := map[string]bool{}, 0
	for client := range 50 {
		plan := generator.Resting(&deployment.Classes[0], rng, client, time.Minute)
		is.Equal(len(plan.Rests), len(plan.Program.MainSession.Turns))
		for index, rest := range plan.Rests {
			is.True(rest < time.Minute)
			zones[plan.Zones[index]] = true
		}
		if plan.Program.MainSession.SessionID == "" {
			unnamed++
		}
	}
	is.Equal(len(zones), len(deployment.Zones))
	is.True(unnamed > 10 && unnamed < 40)
}

func TestLongestPrefixMatches(t *testing.T) {
	is := is.New(t)
	c := &Config{Routes: []Route{{Name: "a", Host: "h", Prefix: "/a/"}, {Name: "ab", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "o", Prefix: "/"}}}
	is.Equal(c.Match("h", "/a/x").Name, "a")
	is.Equal(c.Match("H", "/a/b/x?q=/z/").Name, "ab")
	is.True(c.Match("h", "/a") == nil)
	is.Equal(c.Match("o", "/a/b/").Name, "other")
}

// fakeClock is a clock that a test sets.
type fakeClock struct {
	base.Clock
	now time.Duration
}

func (c *fakeClock) Now() time.Duration { return c.now }

func parsePage(is *is.I, body []byte) (ids []string, next any) {
	page, err := ParseJSON(body)
	is.NoErr(err)
	for _, instance := range page.(map[string]any)["instances"].([]any) {
		ids = append(ids, instance.(map[string]any)["id"].(string))
	}
	return ids, page.(map[string]any)["next_token"]
}

func TestInstanceListIsPagedAndDelayed(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{Clock: base.NewRealClock(), now: time.Second}
	ledger := NewRecorder(DefaultBounds(), 2, 3)
	list := &Instances{Clock: clock, Recorder: ledger, Lag: 800 * time.Millisecond}
	for number := range 120 {
		list.ScheduleChange(fmt.Sprintf("i-%03d", number), &Instance{ID: fmt.Sprintf("i-%03d", number), Zone: fmt.Sprint("z", number%2), State: StateReady}, 0)
	}
	_, body := list.FetchPage("", "")
	ids, next := parsePage(is, body)
	is.Equal(len(ids), 0) // the lag hasn't passed
	is.Equal(next, nil)
	clock.now = 2 * time.Second
	var all []string
	for token, pages := "", 0; ; pages++ {
		is.True(pages < 3)
		status, body := list.FetchPage("", token)
		is.Equal(status, 200)
		ids, next := parsePage(is, body)
		all = append(all, ids...)
		if next == nil {
			break
		}
		is.Equal(len(ids), PageSize)
		token = next.(string)
	}
	is.Equal(len(all), 120)
	_, body = list.FetchPage("z1", "p-50")
	ids, next = parsePage(is, body)
	is.Equal(len(ids), 10)
	is.Equal(next, nil)
	status, _ := list.FetchPage("", "x")
	is.Equal(status, 400)
	list.SetDown(true)
	status, _ = list.FetchPage("", "")
	is.Equal(status, 500)
	list.SetDown(false)
	list.ScheduleChange("i-003", &Instance{ID: "i-003", State: StateDraining}, 0)
	list.ScheduleChange("i-004", nil, 3*time.Second)
	clock.now = 2700 * time.Millisecond
	list.ApplyDue()
	is.Equal(len(ledger.Snapshot().Notices), 0)
	clock.now = 2900 * time.Millisecond
	list.ApplyDue()
	is.Equal(ledger.Snapshot().Notices, []Notice{{"i-003", 2800 * time.Millisecond}}) // when the list showed it
	clock.now = 6 * time.Second
	list.ApplyDue()
	is.Equal(len(ledger.Snapshot().Notices), 2)
}

func TestInstanceListRateLimit(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{Clock: base.NewRealClock(), now: time.Second}
	list := &Instances{Clock: clock, CallsPerSecond: 10}
	answered := 0
	for range 15 {
		if status, _ := list.FetchPage("", ""); status == 200 {
			answered++
		} else {
			is.Equal(status, 429)
		}
	}
	is.Equal(answered, 10)
	clock.now += 500 * time.Millisecond
	for range 15 {
		if status, _ := list.FetchPage("", ""); status == 200 {
			answered++
		}
	}
	is.Equal(answered, 15)
}

func TestProgramPlansAreDeterministic(t *testing.T) {
	is := is.New(t)
	deployment := Deployments()["kiondo"]
	draw := func(seed uint64) (plans []*ProgramPlan) {
		g := &ProgramGenerator{Deployment: deployment, Names: deployment.DrawNames(rand.New(rand.NewPCG(seed, 0))), Rng: rand.New(rand.NewPCG(seed, 1))}
		for index := range 200 {
			plans = append(plans, g.Program(&deployment.Classes[index%2], deployment.Zones[0], index))
		}
		return plans
	}
	subagents, toolCalls, runaways := 0, 0, 0
	repeated := draw(7)
	for index, plan := range draw(7) {
		is.Equal(plan.Describe(), repeated[index].Describe())
		is.True(plan.TargetTime > plan.IdealTime)
		total := int64(0)
		var walk func(session *SessionPlan, tokens int, parts string)
		walk = func(session *SessionPlan, tokens int, parts string) {
			for _, turn := range session.Turns {
				is.True(turn.PromptTokens > tokens)                                    // the prompt includes all that came before
				is.True(strings.HasPrefix(turn.PromptParts, parts+",") || parts == "") // and so do its parts
				tokens, parts, total = turn.PromptTokens, turn.PromptParts, total+turn.MaxTokens
				toolCalls += len(turn.Tools)
				for _, subagent := range turn.Subagents {
					subagents++
					is.Equal(len(subagent.Turns), 2)
					walk(subagent, tokens, parts)
				}
			}
		}
		walk(plan.MainSession, 0, "")
		is.True(plan.Budget >= total) // enough for every turn once
		if plan.Runaway {
			runaways++
		}
	}
	is.True(subagents > 20 && toolCalls > 200 && runaways > 0)
	is.True(draw(8)[0].Describe() != repeated[0].Describe())
}

func TestEngineCachesPromptsAndPreempts(t *testing.T) {
	is := is.New(t)
	e := newEngine(&fakeClock{Clock: base.NewRealClock()}, ServiceSpec{Capacity: 4, Engine: &EngineSpec{StepTime: time.Millisecond, PromptTokensPerMs: 10, MaxPromptTokensPerStep: 100, CacheTokens: 300, TokensPerEvent: 2}}, 1)
	e.stepping = true // the test makes the steps itself
	step := func() (duration time.Duration) {
		duration, ok := e.beginStep()
		is.True(ok)
		e.finishStep()
		return duration
	}
	job := func(urgency, promptTokens, maxTokens int, parts ...promptPart) *job {
		j := &job{urgency: urgency, promptTokens: promptTokens, maxTokens: maxTokens, deadline: time.Hour, cancelled: base.NewRealClock().NewSignal(), parts: parts}
		is.True(e.submit(j, 10))
		return j
	}
	first := job(5, 100, 1, promptPart{"a", 60}, promptPart{"b", 40})
	is.Equal(step(), 11*time.Millisecond) // the whole prompt is processed
	is.Equal(first.state, jobComplete)
	second := job(5, 120, 1, promptPart{"a", 60}, promptPart{"b", 40}, promptPart{"c", 20})
	is.Equal(step(), 3*time.Millisecond) // only the new part is processed
	is.Equal(second.state, jobComplete)
	is.Equal([]int{e.promptTokens, e.cachedTokens}, []int{220, 100})
	third := job(5, 120, 1, promptPart{"x", 60}, promptPart{"b", 60})
	is.Equal(step(), 11*time.Millisecond) // a cached part counts only if all parts before it are cached
	step()
	is.Equal(third.state, jobComplete)
	is.True(!e.submit(&jobType{promptTokens: 290, maxTokens: 20}, 10)) // larger than the memory

	normal, urgent := job(5, 130, 30), job(1, 130, 30)
	for range 5 {
		step()
	}
	is.True(urgent.outputTokens > 0)
	is.Equal(len(e.running)+len(e.waiting), 2)
	for urgent.state == jobRunning {
		step()
	}
	is.True(normal.outputTokens < urgent.outputTokens) // the less urgent job was preempted
}

type jobType = job
