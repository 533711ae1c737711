package ledger_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/ledger"
	"fordseam/internal/register"
	"fordseam/internal/simulate"

	"github.com/matryer/is"
)

const retention = time.Minute

// machine is a simulated storage machine.
type machine struct {
	host       *simulate.Host
	files      *simulate.Disk
	counters   *base.Counters
	diskID     string
	set        *register.DiskSet
	store      *ledger.Store
	generation int
	running    bool
}

func (m *machine) entry() *register.DiskEntry {
	return &register.DiskEntry{Id: m.diskID, Addr: m.host.Name + ":1", Zone: m.host.Zone}
}

// fleet simulates storage machines and gateways in virtual time. Processes can be
// killed, and disks can lose unsynced writes or be wiped.
type fleet struct {
	is             *is.I
	t              *testing.T
	world          *simulate.World
	net            *simulate.Net
	bounds         *base.AtomicPointer[base.Bounds]
	faultTolerance int
	machines       []*machine
	set            *register.DiskSet
	testHost       *simulate.Host
	clientCount    int
	faults         []string
	cacheBytes     int // of payloads that a store keeps in memory; 0 means no bound
}

// runFleet builds a fleet and runs a test as a task on a host of its own.
func runFleet(t *testing.T, seed uint64, storeCount, faultTolerance int, test func(f *fleet)) {
	t.Helper()
	f := &fleet{is: is.New(t), t: t, world: simulate.NewWorld(seed), faultTolerance: faultTolerance, bounds: &base.AtomicPointer[base.Bounds]{}}
	if seed%2 == 1 {
		f.cacheBytes = 1 // stores read all payloads from their disks
	}
	f.net = simulate.NewNet(f.world)
	f.bounds.Store(base.DefaultBounds())
	f.testHost = f.world.NewHost("test", "zone-0")
	f.set = &register.DiskSet{Stamp: 1, Cluster: "c"}
	for i := 0; i < storeCount; i++ {
		f.set.Disks = append(f.set.Disks, f.addMachine().entry())
	}
	for _, m := range f.machines {
		m.set = f.set
		f.start(m)
	}
	done := false
	f.testHost.Go(func() {
		defer func() { done = true }()
		test(f)
	})
	ended := f.world.Run(time.Hour, func() bool { return done || t.Failed() })
	report := ""
	if t.Failed() {
		f.testHost.Go(func() { report = f.describe() })
		f.world.Run(f.world.Now()+time.Minute, func() bool { return report != "" })
	}
	f.world.Close()
	if t.Failed() {
		t.Fatalf("seed %d: %s", seed, report)
	}
	if !ended {
		t.Fatalf("seed %d: the test did not end", seed)
	}
}

// describe returns the state of all stores, for a failed test.
func (f *fleet) describe() string {
	report := fmt.Sprintf("after %v at %v, set %v", f.faults, f.world.Now(), f.set)
	for _, m := range f.machines {
		report += fmt.Sprintf("\n%s %s up %v", m.host.Name, m.diskID, m.running)
		if m.store != nil {
			state, _ := m.store.Describe(context.Background(), nil)
			report += fmt.Sprintf(" %v %v", state, m.counters.Snapshot())
		}
	}
	return report
}

// addMachine adds a storage machine with a blank disk. It is not started.
func (f *fleet) addMachine() *machine {
	i := len(f.machines)
	m := &machine{host: f.world.NewHost(fmt.Sprintf("store-%d", i), fmt.Sprintf("zone-%d", i%4)), diskID: fmt.Sprintf("d%d", i)}
	m.files = simulate.NewDisk(m.host)
	f.machines = append(f.machines, m)
	return m
}

func (f *fleet) start(m *machine) {
	m.host.Revive()
	m.running = true
	m.counters = base.NewCounters()
	m.host.Go(func() {
		opened, err := ledger.OpenStore(ledger.StoreConfig{Clock: m.host.Clock(), HTTPClient: f.net.HTTPClient(m.host), Files: m.files, Bounds: f.bounds,
			Counters: m.counters, FaultTolerance: f.faultTolerance, PayloadCacheBytes: f.cacheBytes, LocalDisk: func() (string, *register.DiskSet) { return m.diskID, m.set }})
		f.is.NoErr(err)
		m.store = opened
		server := ledger.NewLedgerServer(opened)
		mux := http.NewServeMux()
		mux.Handle(server.PathPrefix(), server)
		m.host.Serve(base.HandleMessages(m.host.Clock(), mux))
		opened.Run()
	})
}

func (f *fleet) kill(m *machine) {
	m.host.Kill()
	m.running, m.store = false, nil
}

func (f *fleet) powerOff(m *machine) {
	f.kill(m)
	m.files.LosePower()
}

// wipe stops a machine and replaces its disk by a blank one with a new id.
func (f *fleet) wipe(m *machine) {
	f.kill(m)
	m.files.Wipe()
	m.generation++
	m.diskID, m.set = fmt.Sprintf("%s-%d", strings.Split(m.diskID, "-")[0], m.generation), nil
}

// changeSet changes to a disk set of these machines and notifies their stores.
func (f *fleet) changeSet(members ...*machine) {
	next := &register.DiskSet{Stamp: f.set.Stamp + 1, Cluster: f.set.Cluster}
	for _, m := range members {
		next.Disks = append(next.Disks, m.entry())
	}
	f.set = next
	for _, m := range members {
		m.set = next
		if m.running && m.store != nil {
			m.store.NotifySetChange()
		}
	}
}

// replaceDisk removes a disk from the set and adds the disk of a machine.
func (f *fleet) replaceDisk(removed string, added *machine) {
	members := []*machine{}
	for _, entry := range f.set.Disks {
		for _, m := range f.machines {
			if m.diskID == entry.Id && entry.Id != removed {
				members = append(members, m)
			}
		}
	}
	f.changeSet(append(members, added)...)
}

func (f *fleet) newClient(zone int) *ledger.Client {
	f.clientCount++
	return f.newClientOn(f.world.NewHost(fmt.Sprintf("edge-%d", f.clientCount), fmt.Sprintf("zone-%d", zone)))
}

// newClientOn returns a client whose tasks run on a host.
func (f *fleet) newClientOn(host *simulate.Host) *ledger.Client {
	return ledger.NewClient(host.Clock(), f.net.HTTPClient(host), func() *register.DiskSet { return f.set }, host.Zone, f.faultTolerance, f.bounds, base.NewCounters(), nil)
}

func (f *fleet) ctx() *base.Ctx        { return base.NewCtx(f.testHost.Clock(), 4*time.Second) }
func (f *fleet) sleep(d time.Duration) { f.testHost.Clock().Sleep(d) }
func (f *fleet) now() time.Duration    { return f.testHost.Clock().Now() }
func (f *fleet) waitComplete(c *ledger.Client) bool {
	for end := f.now() + 20*time.Second; f.now() < end; f.sleep(20 * time.Millisecond) {
		if c.AllComplete(f.ctx()) {
			return true
		}
	}
	return false
}

// sessionWriter writes the turns of one session, as one gateway.
type sessionWriter struct {
	fleet     *fleet
	client    *ledger.Client
	program   string
	session   string
	owner     string
	run       string
	epoch     uint64
	turns     []string
	maxTokens int64
	budget    int64
	clock     base.Clock
}

func (f *fleet) newSession(client *ledger.Client, program string) *sessionWriter {
	return &sessionWriter{fleet: f, client: client, program: program, session: "s-" + program, owner: "gw-1", run: "run-" + program, maxTokens: 10, budget: 1 << 40}
}

func (s *sessionWriter) begin(turn string) (*ledger.BeginResult, error) {
	previous := ""
	if len(s.turns) > 0 {
		previous = s.turns[len(s.turns)-1]
	}
	begun, err := s.client.Begin(s.fleet.ctx(), &ledger.BeginParams{Program: s.program, Session: s.session, Turn: turn, Previous: previous, Owner: s.owner,
		Run: s.run, Epoch: s.epoch, Confirmed: s.epoch > 0, Budgeted: true, MaxTokens: s.maxTokens, Budget: s.budget, Retention: retention})
	if err == nil && begun.Granted {
		s.epoch = begun.Epoch
	}
	return begun, err
}

func (s *sessionWriter) finish(turn string) error {
	previous := ""
	if len(s.turns) > 0 {
		previous = s.turns[len(s.turns)-1]
	}
	err := s.client.Finish(s.fleet.ctx(), &ledger.FinishParams{Program: s.program, Session: s.session, Turn: turn, Previous: previous, Owner: s.owner, Run: s.run,
		Epoch: s.epoch, Input: []byte("in " + turn), Output: []byte("out " + turn), Budgeted: true, Tokens: s.maxTokens, Retention: retention})
	if err == nil {
		s.turns = append(s.turns, turn)
	}
	return err
}

// runTurn begins and finishes the next turn.
func (s *sessionWriter) runTurn() {
	s.fleet.t.Helper()
	id := fmt.Sprintf("%s.%d", s.program, len(s.turns))
	begun, err := s.begin(id)
	s.fleet.is.NoErr(err)
	s.fleet.is.True(begun.Granted)
	s.fleet.is.NoErr(s.finish(id))
}

// checkChain looks up the chain of the last turn and compares it with the turns
// written.
func (s *sessionWriter) checkChain(c *ledger.Client, hint string) {
	s.fleet.t.Helper()
	chain, err := c.Chain(s.fleet.ctx(), hint, s.turns[len(s.turns)-1])
	s.fleet.is.NoErr(err)
	s.fleet.is.Equal(len(chain), len(s.turns))
	for i, turn := range chain {
		s.fleet.is.Equal(turn.Id, s.turns[i])
		s.fleet.is.Equal(string(turn.Input), "in "+s.turns[i])
		s.fleet.is.Equal(string(turn.Output), "out "+s.turns[i])
	}
}

// newSessions creates a session in each of some programs and runs turns in it.
func (f *fleet) newSessions(c *ledger.Client, programs, turns int) []*sessionWriter {
	sessions := []*sessionWriter{}
	for i := 0; i < programs; i++ {
		s := f.newSession(c, fmt.Sprintf("p%d", i))
		for n := 0; n < turns; n++ {
			s.runTurn()
		}
		sessions = append(sessions, s)
	}
	return sessions
}

// checkUnknownTurn checks that a turn that never existed is reported as unknown.
func (f *fleet) checkUnknownTurn(c *ledger.Client) {
	f.t.Helper()
	_, err := c.Chain(f.ctx(), "p0", "never")
	f.is.True(base.IsCode(err, "unknown_turn"))
}

func TestTurnsAndLookups(t *testing.T) {
	runFleet(t, 1, 4, 1, func(f *fleet) {
		c := f.newClient(1)
		sessions := f.newSessions(c, 20, 4)
		messages := f.net.MessageCount
		sessions[3].runTurn()
		f.is.Equal(f.net.MessageCount-messages, 4) // Begin and Finish to two stores each
		messages = f.net.MessageCount
		sessions[3].checkChain(f.newClient(2), sessions[3].program)
		f.is.True(f.net.MessageCount-messages <= 4)
		for _, s := range sessions {
			s.checkChain(c, s.program)
			s.checkChain(c, "another")
		}
		f.checkUnknownTurn(c)
	})
}

// TestOneStoreDown checks that turns and lookups work with one store down, and that
// with two down a lookup fails instead of reporting a turn as unknown.
func TestOneStoreDown(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		runFleet(t, seed, 4, 1, func(f *fleet) {
			c := f.newClient(1)
			sessions := f.newSessions(c, 10, 2)
			f.kill(f.machines[seed%4])
			for _, s := range sessions {
				s.runTurn()
				s.checkChain(f.newClient(2), s.program)
			}
			f.checkUnknownTurn(c)
			f.kill(f.machines[(seed+1)%4])
			_, err := c.Chain(f.ctx(), "p0", "never")
			f.is.True(base.IsCode(err, "ledger_unreachable")) // the two stores that are down could hold it
		})
	}
}

// TestWipedStoreIsRefilledAndAnotherMayFail checks that a replaced disk gets its copies
// back, so that a second disk can be lost afterwards.
func TestWipedStoreIsRefilledAndAnotherMayFail(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		runFleet(t, seed, 4, 1, func(f *fleet) {
			c := f.newClient(1)
			sessions := f.newSessions(c, 30, 3)
			lost := f.machines[seed%4]
			removed := lost.diskID
			f.wipe(lost)
			f.start(lost)
			for _, s := range sessions[:5] {
				s.runTurn()
			}
			f.replaceDisk(removed, lost)
			f.is.True(f.waitComplete(c))
			for _, s := range sessions[5:10] {
				s.runTurn()
			}
			f.wipe(f.machines[(seed+1)%4])
			fresh := f.newClient(2)
			for _, s := range sessions {
				s.checkChain(fresh, s.program)
			}
			f.checkUnknownTurn(fresh)
			sessions[0].runTurn()
			sessions[0].checkChain(fresh, sessions[0].program)
		})
	}
}

// TestPowerLossEverywhereWithOneDiskWiped cuts the power of all machines during writes
// and wipes one disk: everything acknowledged must be found.
func TestPowerLossEverywhereWithOneDiskWiped(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		runFleet(t, seed, 4, 1, func(f *fleet) {
			c := f.newClient(1)
			sessions := f.newSessions(c, 20, 3)
			for i := 0; i < 6; i++ {
				f.writeUntilFailure(i) // interrupted at an arbitrary point
			}
			f.sleep(time.Duration(seed) * 700 * time.Microsecond)
			for _, m := range f.machines {
				f.powerOff(m)
			}
			wiped := f.machines[seed%4]
			removed := wiped.diskID
			f.wipe(wiped)
			for _, m := range f.machines {
				f.start(m)
			}
			f.sleep(100 * time.Millisecond)
			fresh := f.newClient(2)
			for _, s := range sessions {
				s.checkChain(fresh, s.program)
			}
			f.replaceDisk(removed, wiped)
			f.is.True(f.waitComplete(fresh))
			f.wipe(f.machines[(seed+2)%4])
			for _, s := range sessions {
				s.checkChain(fresh, s.program)
			}
			f.checkUnknownTurn(fresh)
		})
	}
}

// writeUntilFailure starts a task that writes turns from its own host until one
// fails.
func (f *fleet) writeUntilFailure(number int) {
	host := f.world.NewHost(fmt.Sprintf("busy-%d", number), fmt.Sprintf("zone-%d", number%4))
	s := f.newSession(f.newClientOn(host), fmt.Sprintf("busy%d", number))
	host.Go(func() {
		for n := 0; ; n++ {
			id := fmt.Sprintf("%s.%d", s.program, n)
			if begun, err := s.begin(id); err != nil || !begun.Granted || s.finish(id) != nil {
				return
			}
		}
	})
}

// TestStoreIsRetired checks that a retired disk may be removed once IsEmptied says so.
func TestStoreIsRetired(t *testing.T) {
	runFleet(t, 3, 5, 1, func(f *fleet) {
		c := f.newClient(1)
		sessions := f.newSessions(c, 40, 2)
		retired := f.machines[2]
		f.is.True(!c.IsEmptied(f.ctx(), retired.diskID))
		f.changeSet(f.machines[0], f.machines[1], f.machines[3], f.machines[4])
		for end := f.now() + 10*time.Second; !c.IsEmptied(f.ctx(), retired.diskID); f.sleep(20 * time.Millisecond) {
			f.is.True(f.now() < end)
		}
		f.kill(retired)
		f.wipe(f.machines[0])
		for _, s := range sessions {
			s.checkChain(f.newClient(3), s.program)
		}
	})
}

// TestConcurrentClaimsOfOneSession lets three gateways claim one session at the same
// time: exactly one may finish its turn.
func TestConcurrentClaimsOfOneSession(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		runFleet(t, seed, 4, 1, func(f *fleet) {
			if seed%3 == 0 {
				f.kill(f.machines[seed%4])
			}
			winners, ended := map[string]*ledger.BeginResult{}, 0
			for i := 0; i < 3; i++ {
				h := f.world.NewHost(fmt.Sprintf("edge-%d", i), fmt.Sprintf("zone-%d", i))
				c := f.newClientOn(h)
				h.Go(func() {
					defer func() { ended++ }()
					owner := fmt.Sprintf("gw-%d", i)
					begun, err := c.Begin(base.NewCtx(h.Clock(), 4*time.Second), &ledger.BeginParams{Program: "p", Session: "s", Turn: "t-" + owner, Owner: owner,
						Run: "run-" + owner, Budgeted: true, MaxTokens: 5, Budget: 1000, Retention: retention})
					f.is.NoErr(err)
					if begun.Granted {
						winners[owner] = begun
					}
				})
			}
			for ended < 3 {
				f.sleep(5 * time.Millisecond)
			}
			f.is.True(len(winners) >= 1)
			finished := 0
			for _, owner := range base.SortedKeys(winners) {
				c := f.newClient(0)
				err := c.Finish(f.ctx(), &ledger.FinishParams{Program: "p", Session: "s", Turn: "t-" + owner, Owner: owner, Run: "run-" + owner,
					Epoch: winners[owner].Epoch, Budgeted: true, Tokens: 5, Retention: retention})
				if err == nil {
					finished++
				} else {
					f.is.True(base.IsCode(err, "stale_assignment"))
				}
			}
			f.is.Equal(finished, 1)
		})
	}
}

// TestStaleOwnerIsFenced checks that after a takeover the former Run can neither begin
// nor finish a turn, also if a disk was replaced in between.
func TestStaleOwnerIsFenced(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		runFleet(t, seed, 4, 1, func(f *fleet) {
			former := f.newSession(f.newClient(1), "p")
			former.runTurn()
			_, err := former.begin("late")
			f.is.NoErr(err)
			if seed%2 == 0 {
				lost := f.machines[seed%4]
				removed := lost.diskID
				f.wipe(lost)
				f.start(lost)
				f.replaceDisk(removed, lost)
			}
			c := f.newClient(2)
			begun, err := c.TakeOver(f.ctx(), "p", former.session, "gw-2", "run-2", former.epoch, retention)
			f.is.NoErr(err)
			f.is.True(begun.Granted)
			f.is.Equal(begun.Epoch, former.epoch+1)
			again, err := f.newClient(3).TakeOver(f.ctx(), "p", former.session, "gw-3", "run-3", former.epoch, retention)
			f.is.NoErr(err)
			f.is.True(!again.Granted)
			f.is.Equal(again.Owner, "gw-2")
			f.is.True(base.IsCode(former.finish("late"), "stale_assignment"))
			stale, err := former.begin("later")
			f.is.NoErr(err)
			f.is.True(!stale.Granted)
			f.is.Equal(stale.Run, "run-2")
			next := &sessionWriter{fleet: f, client: c, program: "p", session: former.session, owner: "gw-2", run: "run-2", epoch: begun.Epoch, turns: former.turns, maxTokens: 10, budget: 1 << 40}
			next.runTurn()
			next.checkChain(f.newClient(3), "p")
			_, err = c.Chain(f.ctx(), "p", "late")
			f.is.True(base.IsCode(err, "unknown_turn"))
		})
	}
}
