// Running a question and reporting what came of it.

package whatif

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/settings"
	"fordseam/internal/simulate"
	"fordseam/internal/standin"

	"github.com/juju/errors"
)

// Scenario is all that goes in.
type Scenario struct {
	Deployment *Deployment
	Settings   []byte
	Load       *Load
	Script     []ScriptEvent
	Seed       uint64
}

// Phase is what happened during one step of the load.
type Phase struct {
	FromSeconds      float64 `json:"from_s"`
	CallersPerSecond float64 `json:"callers_per_s"`
	CompletedTurns   int     `json:"turns_whole"`
	RefusedTurns     int     `json:"turns_refused"`
	InterruptedTurns int     `json:"turns_cut"`
	MedianTurnMs     float64 `json:"median_turn_ms"`
	P99TurnMs        float64 `json:"p99_turn_ms"`
	// RefusalMs is the time to a refusal, at the median and the 99th of 100.
	RefusalMs [2]float64 `json:"refusal_ms"`
}

// Report is all that comes out.
type Report struct {
	Seed                  uint64         `json:"seed"`
	VirtualSeconds        float64        `json:"virtual_s"`
	Phases                []Phase        `json:"phases"`
	Conversations         map[string]int `json:"conversations"`
	Refusals              map[string]int `json:"refusals"`
	WaitingLegs           int64          `json:"legs_waited"`
	Takeovers             int64          `json:"takeovers"`
	MeanTakeoverMs        float64        `json:"mean_takeover_ms"`
	LongestTurnMs         float64        `json:"longest_turn_ms"`
	PrefixReuse           float64        `json:"prefix_reuse"`
	PromptCacheHitRate    float64        `json:"prompt_messages_in_cache"`
	BudgetUse             float64        `json:"budget_use"`
	MessagesPerTurn       float64        `json:"messages_per_turn"`
	DiskSyncsPerTurn      float64        `json:"disk_syncs_per_turn"`
	IdleMessagesPerSecond float64        `json:"idle_messages_per_s"`
	SettingsPropagationMs float64        `json:"settings_to_last_gateway_ms"`
	InvariantViolations   []string       `json:"must_nevers_broken"`
}

const maxDrainTime = 2 * time.Minute

// Simulate runs a question.
func Simulate(q *Scenario) (*Report, error) {
	tree, faults := settings.Parse(q.Settings)
	if len(faults) > 0 {
		return nil, errors.New(settings.InvalidDocument(faults).Message)
	}
	d := q.Deployment
	for _, name := range []string{d.Route, d.ToolRoute} {
		if _, err := tree.Route(d.Group, d.Site, name); err != nil {
			return nil, errors.Annotate(err, "the settings do not fit the deployment")
		}
	}
	chat, _ := tree.Route(d.Group, d.Site, d.Route)
	tools, _ := tree.Route(d.Group, d.Site, d.ToolRoute)
	shape := simulate.Shape{Group: d.Group, Zones: d.Zones, Gateways: d.Gateways, Cores: d.Cores, Storage: d.Storage, ModelWorkers: d.Models, ToolWorkers: d.Tools,
		WorkerCapacity: d.Capacity, PiecesPerTurn: d.AnswerTokens, PieceInterval: d.TokenInterval, PrefillTime: d.PrefillTime, CachedPrefixes: d.CachePrefixes, Settings: string(q.Settings), ModelPool: chat.Pool, ToolPool: tools.Pool}
	f := simulate.NewFleet(q.Seed, shape)
	defer f.World.Close()
	formed := false
	f.CallerHost.Go(func() { f.SetUp(); formed = true })
	if !f.World.Run(time.Minute, func() bool { return formed }) {
		return nil, errors.New("the fleet did not form")
	}
	quiet := f.Net.MessageCount
	f.World.Run(f.World.Now()+10*time.Second, nil)
	idle := float64(f.Net.MessageCount-quiet) / 10
	f.StartUsageReports(time.Second)
	began := f.World.Now()
	started, syncs, messages := 0, f.SyncTotal(), f.Net.MessageCount
	r := &Report{Seed: q.Seed, IdleMessagesPerSecond: idle, Conversations: map[string]int{}, Refusals: map[string]int{}}
	moments := map[string][]time.Duration{}
	f.Tally.OnCount = func(name string) { moments[name] = append(moments[name], f.World.Now()-began) }
	left, over := 0, false
	f.CallerHost.Go(func() {
		for now := time.Duration(0); now < q.Load.Duration; now = f.World.Now() - began {
			rate := rateAt(q.Load.Steps, now)
			if rate <= 0 {
				f.CallerHost.Clock().Sleep(100 * time.Millisecond)
				continue
			}
			q.startCaller(f, started, &left)
			started++
			f.CallerHost.Clock().Sleep(time.Duration(float64(time.Second) / rate))
		}
		over = true
	})
	f.CallerHost.Go(func() { q.runScript(f, began) })
	f.CallerHost.Go(func() { q.reapplySettings(f, r, began+q.Load.Duration/2) })
	f.World.Run(began+q.Load.Duration+maxDrainTime, func() bool { return over && left == 0 })
	r.VirtualSeconds = (f.World.Now() - began).Seconds()
	r.collect(q, f, moments, began, started-left)
	r.MessagesPerTurn = float64(f.Net.MessageCount-messages) / float64(max(1, f.Tally.Counts["turns_whole"]))
	r.DiskSyncsPerTurn = float64(f.SyncTotal()-syncs) / float64(max(1, f.Tally.Counts["turns_whole"]))
	return r, nil
}

func rateAt(steps []LoadStep, now time.Duration) float64 {
	rate := 0.0
	for _, step := range steps {
		if step.At <= now {
			rate = step.CallersPerSecond
		}
	}
	return rate
}

func (q *Scenario) startCaller(f *simulate.Fleet, num int, left *int) {
	w := f.World
	c := &standin.Caller{Name: fmt.Sprintf("c%d", num), Clock: f.CallerHost.Clock(), Send: f.RequestSender(f.CallerHost), Gateways: len(f.Gateways), Gateway: int(w.Int64N(int64(len(f.Gateways)))),
		Group: q.Deployment.Group, Site: q.Deployment.Site, Route: q.Deployment.Route, ToolRoute: q.Deployment.ToolRoute, PiecesPerTurn: q.Deployment.AnswerTokens,
		TurnTimeout: q.Load.Patience, Tally: f.Tally}
	c.IgnoreRetryAfter = w.Chance(q.Load.HastyShare)
	if q.Load.SystemPrompts > 1 {
		c.SystemPrompt = fmt.Sprintf("You help callers with matter %d", w.Int64N(int64(q.Load.SystemPrompts)))
	}
	if w.Chance(q.Load.UrgentShare) {
		c.Urgency = "urgent"
	}
	turns := q.Load.TurnCounts[0]
	if w.Chance(q.Load.LongConversationShare) {
		turns = q.Load.TurnCounts[1]
	}
	c.AfterTurn = func(int) { c.Clock.Sleep(w.Between(0, 2*q.Load.ThinkTime)) }
	*left++
	f.CallerHost.Go(func() {
		if c.Start(q.Load.TokenBudget) {
			c.RunConversation(turns, q.Load.ToolCalls)
		}
		*left--
	})
}

// reapplySettings puts the same settings in force once more, in the middle of the
// load, and times how long until the last living gateway goes by them.
func (q *Scenario) reapplySettings(f *simulate.Fleet, r *Report, at time.Duration) {
	clock := f.CallerHost.Clock()
	clock.Sleep(at - f.World.Now())
	taken := false
	for tries := 0; !taken && tries < 100; tries++ {
		status, _ := f.OperatorRequest(f.Cores[tries%len(f.Cores)], "POST", "/v1/operator/settings/apply",
			map[string]any{"change": "again", "based_on": 1, "document": json.RawMessage(q.Settings)})
		if taken = status == 200; !taken {
			clock.Sleep(100 * time.Millisecond)
		}
	}
	told := f.World.Now()
	for _, m := range f.Gateways {
		for m.Serving() && m.Gateway().SettingsVersion() < 2 {
			clock.Sleep(time.Millisecond)
		}
	}
	r.SettingsPropagationMs = milliseconds(f.World.Now() - told)
}

// runScript does the script's deeds at their times.
func (q *Scenario) runScript(f *simulate.Fleet, began time.Duration) {
	machines := map[string]*simulate.Machine{}
	for _, m := range f.All() {
		machines[m.Host.Name] = m
	}
	for _, event := range q.Script {
		if wait := began + event.At - f.World.Now(); wait > 0 {
			f.CallerHost.Clock().Sleep(wait)
		}
		host, m := f.World.Hosts[event.Machine], machines[event.Machine]
		switch event.Action {
		case "kill", "power":
			switch {
			case m == nil:
				host.Kill()
			case event.Action == "kill":
				f.Kill(m)
			default:
				f.PowerLoss(m)
			}
		case "start":
			if m == nil {
				host.Revive()
			} else {
				f.Start(m)
			}
		case "freeze":
			host.Freeze()
		case "wake":
			host.Thaw()
		case "stop":
			if m != nil {
				f.CallerHost.Go(func() { f.Stop(m) })
			}
		case "wipe":
			if m != nil {
				f.PowerLoss(m)
				m.Disk.Wipe()
			}
		case "stall", "unstall":
			if m != nil {
				m.Disk.SyncStalled = event.Action == "stall"
			}
		case "cut":
			f.Net.Isolate(map[string]bool{event.Machine: true})
		case "heal":
			f.Net.Heal()
		}
	}
}

func (r *Report) collect(q *Scenario, f *simulate.Fleet, moments map[string][]time.Duration, began time.Duration, ended int) {
	counts := f.Tally.Counts
	r.Conversations = map[string]int{"whole": counts["conversations_whole"], "ended": ended}
	for _, name := range base.SortedKeys(counts) {
		if code, ok := strings.CutPrefix(name, "told_"); ok {
			r.Refusals[code] += counts[name]
		}
		if code, ok := strings.CutPrefix(name, "final_refused_"); ok {
			r.Refusals[code] += counts[name]
		}
	}
	for place, step := range q.Load.Steps {
		until := time.Duration(1 << 62)
		if place+1 < len(q.Load.Steps) {
			until = q.Load.Steps[place+1].At
		}
		within := func(at time.Duration) bool { return at >= step.At && at < until }
		phase := Phase{FromSeconds: step.At.Seconds(), CallersPerSecond: step.CallersPerSecond}
		during := func(list []standin.TurnTime) []time.Duration {
			inside := base.Filter(list, func(one standin.TurnTime) bool { return within(one.Start - began) })
			return base.Map(inside, func(one standin.TurnTime) time.Duration { return one.Duration })
		}
		took, refused := during(f.Tally.TurnTimes), during(f.Tally.RefusalTimes)
		phase.CompletedTurns, phase.RefusedTurns = len(took), len(refused)
		phase.MedianTurnMs, phase.P99TurnMs = medianAndP99(took)
		phase.RefusalMs[0], phase.RefusalMs[1] = medianAndP99(refused)
		phase.InterruptedTurns = len(base.Filter(moments["turns_cut"], within)) + len(base.Filter(moments["turns_dropped"], within))
		r.Phases = append(r.Phases, phase)
	}
	r.WaitingLegs, r.Takeovers = f.CounterTotal("legs_waited"), f.CounterTotal("runs_succeeded")
	if r.Takeovers > 0 {
		r.MeanTakeoverMs = float64(f.CounterTotal("takeover_ms")) / float64(r.Takeovers)
	}
	r.LongestTurnMs = milliseconds(f.Tally.SlowestTurn)
	runs, hits, put, allowed := 0, 0, int64(0), int64(0)
	asked, inCache := 0, 0
	for _, model := range f.Models {
		_, tokens, count, reused := model.Stats()
		runs, hits = runs+count, hits+reused
		more, found := model.CacheUse()
		asked, inCache = asked+more, inCache+found
		for _, n := range tokens {
			put += n
		}
	}
	for _, budget := range f.Tally.Budgets {
		allowed += budget
	}
	if later := runs - counts["conversations_whole"]; later > 0 {
		r.PrefixReuse = float64(hits) / float64(later)
	}
	if asked > 0 {
		r.PromptCacheHitRate = float64(inCache) / float64(asked)
	}
	if allowed > 0 {
		r.BudgetUse = float64(put) / float64(allowed)
	}
	r.InvariantViolations = append([]string{}, f.CheckInvariants()...)
}

// medianAndP99 gives the median and the 99th of 100, in milliseconds.
func medianAndP99(took []time.Duration) (median, p99 float64) {
	if len(took) == 0 {
		return 0, 0
	}
	slices.Sort(took)
	return milliseconds(took[len(took)/2]), milliseconds(took[len(took)*99/100])
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteComparison shows reports side by side.
func WriteComparison(out io.Writer, names []string, reports []*Report) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(name string, cell func(*Report) string) {
		fmt.Fprintln(w, strings.Join(append([]string{name}, base.Map(reports, cell)...), "\t"))
	}
	fmt.Fprintln(w, strings.Join(append([]string{""}, names...), "\t"))
	for place := range reports[0].Phases {
		title := fmt.Sprintf("from %gs, %g callers/s:", reports[0].Phases[place].FromSeconds, reports[0].Phases[place].CallersPerSecond)
		row(title+" turns whole", func(r *Report) string { return fmt.Sprint(r.Phases[place].CompletedTurns) })
		row("  refused / cut", func(r *Report) string {
			return fmt.Sprintf("%d / %d", r.Phases[place].RefusedTurns, r.Phases[place].InterruptedTurns)
		})
		row("  refusal ms, median / p99", func(r *Report) string {
			return fmt.Sprintf("%.0f / %.0f", r.Phases[place].RefusalMs[0], r.Phases[place].RefusalMs[1])
		})
		row("  turn ms, median / p99", func(r *Report) string {
			return fmt.Sprintf("%.0f / %.0f", r.Phases[place].MedianTurnMs, r.Phases[place].P99TurnMs)
		})
	}
	row("conversations whole / ended", func(r *Report) string {
		return fmt.Sprintf("%d / %d", r.Conversations["whole"], r.Conversations["ended"])
	})
	codes := map[string]bool{}
	for _, r := range reports {
		for code := range r.Refusals {
			codes[code] = true
		}
	}
	for _, code := range base.SortedKeys(codes) {
		row("told "+code, func(r *Report) string { return fmt.Sprint(r.Refusals[code]) })
	}
	row("legs that waited for a worker", func(r *Report) string { return fmt.Sprint(r.WaitingLegs) })
	row("successor Runs / mean pause ms", func(r *Report) string { return fmt.Sprintf("%d / %.0f", r.Takeovers, r.MeanTakeoverMs) })
	row("longest turn ms", func(r *Report) string { return fmt.Sprintf("%.0f", r.LongestTurnMs) })
	row("prefix reuse", func(r *Report) string { return fmt.Sprintf("%.3f", r.PrefixReuse) })
	row("prompt messages found in a cache", func(r *Report) string { return fmt.Sprintf("%.3f", r.PromptCacheHitRate) })
	row("budget used", func(r *Report) string { return fmt.Sprintf("%.3f", r.BudgetUse) })
	row("messages / disk syncs a turn", func(r *Report) string { return fmt.Sprintf("%.1f / %.1f", r.MessagesPerTurn, r.DiskSyncsPerTurn) })
	row("idle messages/s, whole fleet", func(r *Report) string { return fmt.Sprintf("%.0f", r.IdleMessagesPerSecond) })
	row("settings taken to last gateway ms", func(r *Report) string { return fmt.Sprintf("%.0f", r.SettingsPropagationMs) })
	row("must-nevers broken", func(r *Report) string { return fmt.Sprint(len(r.InvariantViolations)) })
	_ = w.Flush()
	for place, r := range reports {
		for _, breach := range r.InvariantViolations {
			fmt.Fprintf(out, "BROKEN (%s): %s\n", names[place], breach)
		}
	}
}
