package simulate

import (
	"fmt"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin"
)

// Scenario repeats one kind of fault while callers hold conversations, two operators
// make conflicting changes, the platform replaces workers, and a runaway program
// exhausts its budget. Every run ends with the same checks, and a seed replays
// exactly.
type Scenario struct {
	Name string
	Net  NetworkFaults
	// AdjustShape, when set, changes the shape that the scenario runs on.
	AdjustShape func(shape *Shape)
	// OnStart runs once after setup; Inject runs every Interval while callers
	// begin conversations.
	OnStart  func(f *Fleet)
	Interval time.Duration
	Inject   func(f *Fleet, round int)
	// PlannedOnly scenarios have only planned stops and changes, so no turn and no
	// connection may be cut.
	PlannedOnly bool
	// Timeout bounds the run; defaultTimeout unless set.
	Timeout time.Duration
	// LoadDuration is how long callers begin conversations; defaultLoadDuration
	// unless set.
	LoadDuration time.Duration
	// BurstCallers is how many additional callers arrive at once, most of them urgent.
	BurstCallers int
}

// Outcome is the result of one run.
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

// Run runs the scenario with a seed.
func (s *Scenario) Run(seed uint64, shape Shape) *Outcome { return s.RunWith(seed, shape, nil) }

// RunWith is Run with a function that changes the fleet before the cluster forms.
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
		f.Tally.Breach("callers did not finish within %v", limit)
	}
	s.checkRecovery(f)
	return s.outcome(f)
}

// startClients starts everything that uses the fleet: callers, a runaway program with
// helpers, operators and the platform. It returns how many callers and operators have
// not finished, and whether new conversations still begin.
func (s *Scenario) startClients(f *Fleet) (remaining func() int, running func() bool) {
	duration := s.LoadDuration
	if duration == 0 {
		duration = defaultLoadDuration
	}
	end := f.World.Now() + duration
	running = func() bool { return f.World.Now() < end }
	count := 0
	start := func(task func()) {
		count++
		f.CallerHost.Go(func() { task(); count-- })
	}
	for caller := range len(f.Gateways) * 2 {
		start(func() {
			for round := 0; running(); round++ {
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
	start(func() {
		if !runaway.Start(int64(f.Shape.PiecesPerTurn*12 + 3)) {
			return
		}
		for helper := range 3 {
			start(func() {
				helperCaller := runaway.NewHelper(fmt.Sprint("h", helper))
				for round := 0; running() && helperCaller.Start(0) && helperCaller.RunTurn(1); round++ {
					helperCaller = runaway.NewHelper(fmt.Sprintf("h%d-%d", helper, round))
				}
			})
		}
	})
	for number := range s.BurstCallers {
		start(func() {
			f.CallerHost.Clock().Sleep(duration/4 + f.World.Between(0, 50*time.Millisecond))
			c := f.caller(fmt.Sprint("crowd", number), number)
			c.Urgency = map[bool]string{true: "urgent", false: "normal"}[number%4 > 0]
			if c.Start(int64(f.Shape.PiecesPerTurn * 24)) {
				c.RunConversation(2, false)
			}
		})
	}
	for _, operator := range []string{"one", "two"} {
		start(func() { f.RunOperator(operator, running) })
	}
	start(func() { f.RunPlatform(running) })
	f.StartUsageReports(time.Second)
	return func() int { return count }, running
}

func (f *Fleet) caller(name string, home int) *standin.Caller {
	return &standin.Caller{Name: name, Clock: f.CallerHost.Clock(), Send: f.RequestSender(f.CallerHost), Gateways: len(f.Gateways), Gateway: home,
		Group: f.Shape.Group, Site: "main", PiecesPerTurn: f.Shape.PiecesPerTurn, TurnTimeout: 90 * time.Second, Tally: f.Tally}
}

// checkRecovery ends all faults and checks that the fleet then serves, with the
// settings that were acknowledged.
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
	for _, listed := range f.WorkerList.Workers {
		f.World.Hosts[listed.ID].alive = true
	}
	done, completed := false, f.Tally.Counts["conversations_whole"]
	f.CallerHost.Go(func() {
		last := f.caller("last", 0)
		if last.Start(1000) {
			last.RunConversation(2, true)
		}
		f.CheckStoredSettings()
		done = true
	})
	if !f.World.Run(f.World.Now()+2*time.Minute, func() bool { return done }) || f.Tally.Counts["conversations_whole"] == completed {
		f.Tally.Breach("the fleet does not serve once the failures are over")
	}
	if s.PlannedOnly {
		for _, name := range []string{"turns_dropped", "turns_cut", "final_cut_cut", "cut_connections"} {
			if n := f.Tally.Counts[name]; n > 0 {
				f.Tally.Breach("planned stops and changes caused %d %s", n, name)
			}
		}
	}
}

func (s *Scenario) outcome(f *Fleet) *Outcome {
	return &Outcome{Scenario: s.Name, Shape: f.Shape.Name, Seed: f.World.Seed, VirtualS: f.World.Now().Seconds(), Counts: f.Tally.Counts,
		TurnTimes: base.Map(f.Tally.TurnTimes, func(turn standin.TurnTime) time.Duration { return turn.Duration }), Breaches: f.CheckInvariants()}
}
