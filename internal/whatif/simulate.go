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

// Scenario is the input of a simulation.
type Scenario struct {
	Deployment *Deployment
	Settings   []byte
	Load       *Load
	Script     []ScriptEvent
	Seed       uint64
}

// Phase is the result of one step of the load.
type Phase struct {
	FromSeconds      float64 `json:"from_s"`
	CallersPerSecond float64 `json:"callers_per_s"`
	CompletedTurns   int     `json:"turns_whole"`
	RefusedTurns     int     `json:"turns_refused"`
	InterruptedTurns int     `json:"turns_cut"`
	MedianTurnMs     float64 `json:"median_turn_ms"`
	P99TurnMs        float64 `json:"p99_turn_ms"`
	// RefusalMs has the median and the 99th percentile of the time to a refusal.
	RefusalMs [2]float64 `json:"refusal_ms"`
}

// Report is the result of a simulation.
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

// maxDrainTime is how long conversations may take to end after the last one has
// started.
const maxDrainTime = 2 * time.Minute

// Simulate runs a scenario. It measures the idle traffic of the fleet first, and then
// runs the load together with the script.
func Simulate(s *Scenario) (*Report, error) {
	parsed, problems := settings.Parse(s.Settings)
	if len(problems) > 0 {
		return nil, errors.New(settings.InvalidDocument(problems).Message)
	}
	deployment := s.Deployment
	for _, name := range []string{deployment.Route, deployment.ToolRoute} {
		if _, err := parsed.Route(deployment.Group, deployment.Site, name); err != nil {
			return nil, errors.Annotate(err, "the settings do not match the deployment")
		}
	}
	modelRoute, _ := parsed.Route(deployment.Group, deployment.Site, deployment.Route)
	toolRoute, _ := parsed.Route(deployment.Group, deployment.Site, deployment.ToolRoute)
	shape := simulate.Shape{Group: deployment.Group, Zones: deployment.Zones, Gateways: deployment.Gateways, Cores: deployment.Cores, Storage: deployment.Storage, ModelWorkers: deployment.ModelWorkers, ToolWorkers: deployment.ToolWorkers,
		WorkerCapacity: deployment.WorkerCapacity, PiecesPerTurn: deployment.AnswerTokens, PieceInterval: deployment.TokenInterval, PrefillTime: deployment.PrefillTime, CachedPrefixes: deployment.CachedPrefixes, Settings: string(s.Settings), ModelPool: modelRoute.Pool, ToolPool: toolRoute.Pool}
	fleet := simulate.NewFleet(s.Seed, shape)
	defer fleet.World.Close()
	ready := false
	fleet.CallerHost.Go(func() { fleet.SetUp(); ready = true })
	if !fleet.World.Run(time.Minute, func() bool { return ready }) {
		return nil, errors.New("the fleet was not set up within a minute")
	}
	messagesBeforeIdle := fleet.Net.MessageCount
	fleet.World.Run(fleet.World.Now()+10*time.Second, nil)
	idleRate := float64(fleet.Net.MessageCount-messagesBeforeIdle) / 10
	fleet.StartUsageReports(time.Second)
	start := fleet.World.Now()
	startedCallers, syncsBefore, messagesBefore := 0, fleet.SyncTotal(), fleet.Net.MessageCount
	report := &Report{Seed: s.Seed, IdleMessagesPerSecond: idleRate, Conversations: map[string]int{}, Refusals: map[string]int{}}
	eventTimes := map[string][]time.Duration{}
	fleet.Tally.OnCount = func(name string) { eventTimes[name] = append(eventTimes[name], fleet.World.Now()-start) }
	activeCallers, allStarted := 0, false
	fleet.CallerHost.Go(func() {
		for now := time.Duration(0); now < s.Load.Duration; now = fleet.World.Now() - start {
			rate := rateAt(s.Load.Steps, now)
			if rate <= 0 {
				fleet.CallerHost.Clock().Sleep(100 * time.Millisecond)
				continue
			}
			s.startCaller(fleet, startedCallers, &activeCallers)
			startedCallers++
			fleet.CallerHost.Clock().Sleep(time.Duration(float64(time.Second) / rate))
		}
		allStarted = true
	})
	fleet.CallerHost.Go(func() { s.runScript(fleet, start) })
	fleet.CallerHost.Go(func() { s.reapplySettings(fleet, report, start+s.Load.Duration/2) })
	fleet.World.Run(start+s.Load.Duration+maxDrainTime, func() bool { return allStarted && activeCallers == 0 })
	report.VirtualSeconds = (fleet.World.Now() - start).Seconds()
	report.collect(s, fleet, eventTimes, start, startedCallers-activeCallers)
	report.MessagesPerTurn = float64(fleet.Net.MessageCount-messagesBefore) / float64(max(1, fleet.Tally.Counts["turns_whole"]))
	report.DiskSyncsPerTurn = float64(fleet.SyncTotal()-syncsBefore) / float64(max(1, fleet.Tally.Counts["turns_whole"]))
	return report, nil
}

// rateAt returns the number of callers per second that the load curve has at a time.
func rateAt(steps []LoadStep, now time.Duration) float64 {
	rate := 0.0
	for _, step := range steps {
		if step.At <= now {
			rate = step.CallersPerSecond
		}
	}
	return rate
}

// startCaller starts a caller with randomly chosen properties, and counts it in
// activeCallers until its conversation has ended.
func (s *Scenario) startCaller(fleet *simulate.Fleet, number int, activeCallers *int) {
	world := fleet.World
	caller := &standin.Caller{Name: fmt.Sprintf("c%d", number), Clock: fleet.CallerHost.Clock(), Send: fleet.RequestSender(fleet.CallerHost), Gateways: len(fleet.Gateways), Gateway: int(world.Int64N(int64(len(fleet.Gateways)))),
		Group: s.Deployment.Group, Site: s.Deployment.Site, Route: s.Deployment.Route, ToolRoute: s.Deployment.ToolRoute, PiecesPerTurn: s.Deployment.AnswerTokens,
		TurnTimeout: s.Load.Patience, Tally: fleet.Tally}
	caller.IgnoreRetryAfter = world.Chance(s.Load.HastyShare)
	if s.Load.SystemPrompts > 1 {
		caller.SystemPrompt = fmt.Sprintf("You help callers with matter %d", world.Int64N(int64(s.Load.SystemPrompts)))
	}
	if world.Chance(s.Load.UrgentShare) {
		caller.Urgency = "urgent"
	}
	turnCount := s.Load.TurnCounts[0]
	if world.Chance(s.Load.LongConversationShare) {
		turnCount = s.Load.TurnCounts[1]
	}
	caller.AfterTurn = func(int) { caller.Clock.Sleep(world.Between(0, 2*s.Load.ThinkTime)) }
	*activeCallers++
	fleet.CallerHost.Go(func() {
		if caller.Start(s.Load.TokenBudget) {
			caller.RunConversation(turnCount, s.Load.ToolCalls)
		}
		*activeCallers--
	})
}

// reapplySettings applies the same settings again during the load, and measures how
// long it takes until all live gateways use the new version.
func (s *Scenario) reapplySettings(fleet *simulate.Fleet, report *Report, startAt time.Duration) {
	clock := fleet.CallerHost.Clock()
	clock.Sleep(startAt - fleet.World.Now())
	applied := false
	for attempt := 0; !applied && attempt < 100; attempt++ {
		status, _ := fleet.OperatorRequest(fleet.Cores[attempt%len(fleet.Cores)], "POST", "/v1/operator/settings/apply",
			map[string]any{"change": "again", "based_on": 1, "document": json.RawMessage(s.Settings)})
		if applied = status == 200; !applied {
			clock.Sleep(100 * time.Millisecond)
		}
	}
	appliedAt := fleet.World.Now()
	for _, gateway := range fleet.Gateways {
		for gateway.Serving() && gateway.Gateway().SettingsVersion() < 2 {
			clock.Sleep(time.Millisecond)
		}
	}
	report.SettingsPropagationMs = milliseconds(fleet.World.Now() - appliedAt)
}

// runScript runs the actions of the script at their times. Workers are hosts without
// a machine of the fleet, and support only some of the actions.
func (s *Scenario) runScript(fleet *simulate.Fleet, start time.Duration) {
	machines := map[string]*simulate.Machine{}
	for _, machine := range fleet.All() {
		machines[machine.Host.Name] = machine
	}
	for _, event := range s.Script {
		if wait := start + event.At - fleet.World.Now(); wait > 0 {
			fleet.CallerHost.Clock().Sleep(wait)
		}
		host, machine := fleet.World.Hosts[event.Machine], machines[event.Machine]
		switch event.Action {
		case "kill", "power":
			switch {
			case machine == nil:
				host.Kill()
			case event.Action == "kill":
				fleet.Kill(machine)
			default:
				fleet.PowerLoss(machine)
			}
		case "start":
			if machine == nil {
				host.Revive()
			} else {
				fleet.Start(machine)
			}
		case "freeze":
			host.Freeze()
		case "wake":
			host.Thaw()
		case "stop":
			if machine != nil {
				fleet.CallerHost.Go(func() { fleet.Stop(machine) })
			}
		case "wipe":
			if machine != nil {
				fleet.PowerLoss(machine)
				machine.Disk.Wipe()
			}
		case "stall", "unstall":
			if machine != nil {
				machine.Disk.SyncStalled = event.Action == "stall"
			}
		case "cut":
			fleet.Net.Isolate(map[string]bool{event.Machine: true})
		case "heal":
			fleet.Net.Heal()
		}
	}
}

// collect fills the report from what the callers, gateways and workers counted.
func (r *Report) collect(s *Scenario, fleet *simulate.Fleet, eventTimes map[string][]time.Duration, start time.Duration, endedConversations int) {
	counts := fleet.Tally.Counts
	r.Conversations = map[string]int{"whole": counts["conversations_whole"], "ended": endedConversations}
	for _, name := range base.SortedKeys(counts) {
		if code, ok := strings.CutPrefix(name, "told_"); ok {
			r.Refusals[code] += counts[name]
		}
		if code, ok := strings.CutPrefix(name, "final_refused_"); ok {
			r.Refusals[code] += counts[name]
		}
	}
	for index, step := range s.Load.Steps {
		end := time.Duration(1 << 62)
		if index+1 < len(s.Load.Steps) {
			end = s.Load.Steps[index+1].At
		}
		inPhase := func(at time.Duration) bool { return at >= step.At && at < end }
		phase := Phase{FromSeconds: step.At.Seconds(), CallersPerSecond: step.CallersPerSecond}
		durationsInPhase := func(turns []standin.TurnTime) []time.Duration {
			selected := base.Filter(turns, func(turn standin.TurnTime) bool { return inPhase(turn.Start - start) })
			return base.Map(selected, func(turn standin.TurnTime) time.Duration { return turn.Duration })
		}
		completed, refused := durationsInPhase(fleet.Tally.TurnTimes), durationsInPhase(fleet.Tally.RefusalTimes)
		phase.CompletedTurns, phase.RefusedTurns = len(completed), len(refused)
		phase.MedianTurnMs, phase.P99TurnMs = medianAndP99Ms(completed)
		phase.RefusalMs[0], phase.RefusalMs[1] = medianAndP99Ms(refused)
		phase.InterruptedTurns = len(base.Filter(eventTimes["turns_cut"], inPhase)) + len(base.Filter(eventTimes["turns_dropped"], inPhase))
		r.Phases = append(r.Phases, phase)
	}
	r.WaitingLegs, r.Takeovers = fleet.CounterTotal("legs_waited"), fleet.CounterTotal("runs_succeeded")
	if r.Takeovers > 0 {
		r.MeanTakeoverMs = float64(fleet.CounterTotal("takeover_ms")) / float64(r.Takeovers)
	}
	r.LongestTurnMs = milliseconds(fleet.Tally.SlowestTurn)
	runs, prefixHits, usedTokens, budgetTokens := 0, 0, int64(0), int64(0)
	promptMessages, cachedMessages := 0, 0
	for _, model := range fleet.Models {
		_, tokens, count, reused := model.Stats()
		runs, prefixHits = runs+count, prefixHits+reused
		messages, cached := model.CacheUse()
		promptMessages, cachedMessages = promptMessages+messages, cachedMessages+cached
		for _, n := range tokens {
			usedTokens += n
		}
	}
	for _, budget := range fleet.Tally.Budgets {
		budgetTokens += budget
	}
	if laterRuns := runs - counts["conversations_whole"]; laterRuns > 0 {
		r.PrefixReuse = float64(prefixHits) / float64(laterRuns)
	}
	if promptMessages > 0 {
		r.PromptCacheHitRate = float64(cachedMessages) / float64(promptMessages)
	}
	if budgetTokens > 0 {
		r.BudgetUse = float64(usedTokens) / float64(budgetTokens)
	}
	r.InvariantViolations = append([]string{}, fleet.CheckInvariants()...)
}

// medianAndP99Ms returns the median and the 99th percentile in milliseconds.
func medianAndP99Ms(durations []time.Duration) (median, p99 float64) {
	if len(durations) == 0 {
		return 0, 0
	}
	slices.Sort(durations)
	return milliseconds(durations[len(durations)/2]), milliseconds(durations[len(durations)*99/100])
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteComparison writes reports side by side as a table, followed by all invariant
// violations.
func WriteComparison(out io.Writer, names []string, reports []*Report) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	writeRow := func(name string, format func(*Report) string) {
		fmt.Fprintln(table, strings.Join(append([]string{name}, base.Map(reports, format)...), "\t"))
	}
	fmt.Fprintln(table, strings.Join(append([]string{""}, names...), "\t"))
	for index := range reports[0].Phases {
		phaseTitle := fmt.Sprintf("from %gs, %g callers/s:", reports[0].Phases[index].FromSeconds, reports[0].Phases[index].CallersPerSecond)
		writeRow(phaseTitle+" completed turns", func(r *Report) string { return fmt.Sprint(r.Phases[index].CompletedTurns) })
		writeRow("  refused / interrupted", func(r *Report) string {
			return fmt.Sprintf("%d / %d", r.Phases[index].RefusedTurns, r.Phases[index].InterruptedTurns)
		})
		writeRow("  refusal ms, median / p99", func(r *Report) string {
			return fmt.Sprintf("%.0f / %.0f", r.Phases[index].RefusalMs[0], r.Phases[index].RefusalMs[1])
		})
		writeRow("  turn ms, median / p99", func(r *Report) string {
			return fmt.Sprintf("%.0f / %.0f", r.Phases[index].MedianTurnMs, r.Phases[index].P99TurnMs)
		})
	}
	writeRow("conversations completed / ended", func(r *Report) string {
		return fmt.Sprintf("%d / %d", r.Conversations["whole"], r.Conversations["ended"])
	})
	codes := map[string]bool{}
	for _, r := range reports {
		for code := range r.Refusals {
			codes[code] = true
		}
	}
	for _, code := range base.SortedKeys(codes) {
		writeRow("refused with "+code, func(r *Report) string { return fmt.Sprint(r.Refusals[code]) })
	}
	writeRow("legs that waited for a worker", func(r *Report) string { return fmt.Sprint(r.WaitingLegs) })
	writeRow("takeovers / mean pause ms", func(r *Report) string { return fmt.Sprintf("%d / %.0f", r.Takeovers, r.MeanTakeoverMs) })
	writeRow("longest turn ms", func(r *Report) string { return fmt.Sprintf("%.0f", r.LongestTurnMs) })
	writeRow("prefix reuse", func(r *Report) string { return fmt.Sprintf("%.3f", r.PrefixReuse) })
	writeRow("prompt messages found in a cache", func(r *Report) string { return fmt.Sprintf("%.3f", r.PromptCacheHitRate) })
	writeRow("budget used", func(r *Report) string { return fmt.Sprintf("%.3f", r.BudgetUse) })
	writeRow("messages / disk syncs per turn", func(r *Report) string { return fmt.Sprintf("%.1f / %.1f", r.MessagesPerTurn, r.DiskSyncsPerTurn) })
	writeRow("idle messages/s, whole fleet", func(r *Report) string { return fmt.Sprintf("%.0f", r.IdleMessagesPerSecond) })
	writeRow("settings propagation to last gateway ms", func(r *Report) string { return fmt.Sprintf("%.0f", r.SettingsPropagationMs) })
	writeRow("invariant violations", func(r *Report) string { return fmt.Sprint(len(r.InvariantViolations)) })
	_ = table.Flush()
	for index, r := range reports {
		for _, violation := range r.InvariantViolations {
			fmt.Fprintf(out, "VIOLATION (%s): %s\n", names[index], violation)
		}
	}
}
