// A scenario is one kind of failure done to a fleet again and again while
// callers converse, operators collide, the platform replaces workers and a
// runaway program spends its budget. Every run keeps the whole ledger and
// ends in the same checks; a seed replays exactly.

package simulate

import (
	"fmt"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin"
)

// Scenario is what is done to the fleet.
type Scenario struct {
	Name string
	Net  NetworkFaults
	// Fit changes the shape it runs on.
	AdjustShape func(shape *Shape)
	// Begin runs once, when all is set up; Do again and again.
	OnStart  func(f *Fleet)
	Interval time.Duration
	Inject   func(f *Fleet, round int)
	// Planned: nothing but planned stops and changes, so nothing may be cut.
	PlannedOnly bool
	// Limit bounds the run, scenarioLimit unless set.
	Timeout time.Duration
	// Span is how long callers begin conversations.
	LoadDuration time.Duration
	// Crowd is how many callers more arrive at once, most of them urgent.
	BurstCallers int
}

// Outcome is what came of one run.
type Outcome struct {
	Scenario  string          `json:"scenario"`
	Tier      bool            `json:"tier,omitempty"`
	Shape     string          `json:"shape"`
	Seed      uint64          `json:"seed"`
	VirtualS  float64         `json:"virtual_s"`
	Counts    map[string]int  `json:"counts"`
	TurnTimes []time.Duration `json:"-"`
	Breaches  []string        `json:"breaches"`
}

const (
	defaultLoadDuration = 16 * time.Second
	defaultTimeout      = 8 * time.Minute
)

// Run plays a scenario with a seed.
func (s *Scenario) Run(seed uint64, shape Shape) *Outcome { return s.RunWith(seed, shape, nil) }

// RunWith lets a test change the fleet before it forms.
func (s *Scenario) RunWith(seed uint64, shape Shape, prepare func(f *Fleet)) *Outcome {
	if s.AdjustShape != nil {
		s.AdjustShape(&shape)
	}
	f := NewFleet(seed, shape)
	defer f.World.Close()
	if prepare != nil {
		prepare(f)
	}
	formed := false
	f.CallerHost.Go(func() { f.SetUp(); formed = true })
	if !f.World.Run(time.Minute, func() bool { return formed }) {
		f.Tally.Breach("the fleet did not form")
		return s.outcome(f)
	}
	remaining, running := s.startClients(f)
	f.Net.Faults = s.Net
	f.pendingFaults = 0
	f.CallerHost.Go(func() {
		if s.OnStart != nil {
			s.OnStart(f)
		}
		for round := 0; s.Inject != nil && running(); round++ {
			s.Inject(f, round)
			f.CallerHost.Clock().Sleep(s.Interval)
		}
	})
	limit := defaultTimeout
	if s.Timeout > 0 {
		limit = s.Timeout
	}
	if !f.World.Run(f.World.Now()+limit, func() bool { return remaining() == 0 && f.pendingFaults == 0 }) {
		f.Tally.Breach("callers were left without an end after %v", limit)
	}
	s.checkRecovery(f)
	return s.outcome(f)
}

// people starts all who use the fleet: callers, a runaway with helpers,
// operators and the platform.
func (s *Scenario) startClients(f *Fleet) (left func() int, going func() bool) {
	span := s.LoadDuration
	if span == 0 {
		span = defaultLoadDuration
	}
	end := f.World.Now() + span
	going = func() bool { return f.World.Now() < end }
	count := 0
	enter := func(task func()) {
		count++
		f.CallerHost.Go(func() { task(); count-- })
	}
	for caller := range len(f.Gateways) * 2 {
		enter(func() {
			for round := 0; going(); round++ {
				turns := f.Shape.ConversationTurns[0]
				if (caller+round)%4 == 0 {
					turns = f.Shape.ConversationTurns[1]
				}
				c := f.caller(fmt.Sprintf("c%d-%d", caller, round), caller)
				c.AfterTurn = func(int) { c.Clock.Sleep(f.World.Between(0, 2*time.Second)) }
				if c.Start(int64(turns * f.Shape.PiecesPerTurn * 8)) {
					c.RunConversation(turns, true)
				}
			}
		})
	}
	runaway := f.caller("runaway", 1)
	enter(func() {
		if !runaway.Start(int64(f.Shape.PiecesPerTurn*12 + 3)) {
			return
		}
		for helper := range 3 {
			enter(func() {
				h := runaway.NewHelper(fmt.Sprint("h", helper))
				for round := 0; going() && h.Start(0) && h.RunTurn(1); round++ {
					h = runaway.NewHelper(fmt.Sprintf("h%d-%d", helper, round))
				}
			})
		}
	})
	for crowd := range s.BurstCallers {
		enter(func() {
			f.CallerHost.Clock().Sleep(span/4 + f.World.Between(0, 50*time.Millisecond))
			c := f.caller(fmt.Sprint("crowd", crowd), crowd)
			c.Urgency = map[bool]string{true: "urgent", false: "normal"}[crowd%4 > 0]
			if c.Start(int64(f.Shape.PiecesPerTurn * 24)) {
				c.RunConversation(2, false)
			}
		})
	}
	for _, operator := range []string{"one", "two"} {
		enter(func() { f.RunOperator(operator, going) })
	}
	enter(func() { f.RunPlatform(going) })
	f.StartUsageReports(time.Second)
	return func() int { return count }, going
}

func (f *Fleet) caller(name string, home int) *standin.Caller {
	return &standin.Caller{Name: name, Clock: f.CallerHost.Clock(), Send: f.RequestSender(f.CallerHost), Gateways: len(f.Gateways), Gateway: home,
		Group: f.Shape.Group, Site: "main", PiecesPerTurn: f.Shape.PiecesPerTurn, TurnTimeout: 90 * time.Second, Tally: f.Tally}
}

// aftermath ends all harm, and then the fleet must serve, with the settings
// that were acknowledged.
func (s *Scenario) checkRecovery(f *Fleet) {
	f.Net.Heal()
	f.Net.Faults = NetworkFaults{}
	for _, m := range f.All() {
		m.Host.ExtraDelay, m.Disk.SyncStalled = 0, false
		switch {
		case m.removed:
		case !m.Host.alive:
			f.Start(m)
		case m.Host.frozen:
			m.Host.Thaw()
		}
	}
	for _, one := range f.WorkerList.Workers {
		f.World.Hosts[one.ID].alive = true
	}
	done, whole := false, f.Tally.Counts["conversations_whole"]
	f.CallerHost.Go(func() {
		last := f.caller("last", 0)
		if last.Start(1000) {
			last.RunConversation(2, true)
		}
		f.CheckStoredSettings()
		done = true
	})
	if !f.World.Run(f.World.Now()+2*time.Minute, func() bool { return done }) || f.Tally.Counts["conversations_whole"] == whole {
		f.Tally.Breach("the fleet does not serve once the failures are over")
	}
	if s.PlannedOnly {
		for _, name := range []string{"turns_dropped", "turns_cut", "final_cut_cut", "cut_connections"} {
			if n := f.Tally.Counts[name]; n > 0 {
				f.Tally.Breach("planned stops and changes brought %d %s", n, name)
			}
		}
	}
}

func (s *Scenario) outcome(f *Fleet) *Outcome {
	return &Outcome{Scenario: s.Name, Shape: f.Shape.Name, Seed: f.World.Seed, VirtualS: f.World.Now().Seconds(), Counts: f.Tally.Counts,
		TurnTimes: base.Map(f.Tally.TurnTimes, func(one standin.TurnTime) time.Duration { return one.Duration }), Breaches: f.CheckInvariants()}
}
