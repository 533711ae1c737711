// The ledger's own fleet in virtual time: storage machines whose processes
// die, whose disks lose power or are wiped, and gateways that write to them.
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

const retain = time.Minute

type machine struct {
	host  *simulate.Host
	files *simulate.Files
	count *base.Counters
	id    string
	set   *register.DiskSet
	store *ledger.Store
	life  int
	up    bool
}

func (m *machine) entry() *register.DiskEntry {
	return &register.DiskEntry{Id: m.id, Addr: m.host.Name + ":1", Zone: m.host.Zone}
}

type fleet struct {
	is       *is.I
	t        *testing.T
	world    *simulate.World
	net      *simulate.Net
	bounds   *base.Table[base.Bounds]
	tolerate int
	stores   []*machine
	set      *register.DiskSet
	test     *simulate.Host
	clients  int
	did      []string
}

// play builds a fleet and runs a test in it as a task.
func play(t *testing.T, seed uint64, stores, tolerate int, test func(f *fleet)) {
	t.Helper()
	f := &fleet{is: is.New(t), t: t, world: simulate.NewWorld(seed), tolerate: tolerate, bounds: &base.Table[base.Bounds]{}}
	f.net = simulate.NewNet(f.world)
	f.bounds.Swap(base.DefaultBounds())
	f.test = f.world.NewHost("test", "zone-0")
	f.set = &register.DiskSet{Stamp: 1, Cluster: "c"}
	for place := 0; place < stores; place++ {
		f.set.Disks = append(f.set.Disks, f.add().entry())
	}
	for _, m := range f.stores {
		m.set = f.set
		f.start(m)
	}
	done := false
	f.test.Go(func() {
		defer func() { done = true }()
		test(f)
	})
	ended := f.world.Run(time.Hour, func() bool { return done || t.Failed() })
	told := ""
	if t.Failed() {
		f.test.Go(func() { told = f.describe() })
		f.world.Run(f.world.Now()+time.Minute, func() bool { return told != "" })
	}
	f.world.Close()
	if t.Failed() {
		t.Fatalf("seed %d: %s", seed, told)
	}
	if !ended {
		t.Fatalf("seed %d: the test did not end", seed)
	}
}

// describe says how the stores stand.
func (f *fleet) describe() string {
	told := fmt.Sprintf("after %v at %v, set %v", f.did, f.world.Now(), f.set)
	for _, m := range f.stores {
		told += fmt.Sprintf("\n%s %s up %v", m.host.Name, m.id, m.up)
		if m.store != nil {
			state, _ := m.store.Describe(context.Background(), nil)
			told += fmt.Sprintf(" %v %v", state, m.count.Frame())
		}
	}
	return told
}

// add makes a storage machine with a blank disk that is not started.
func (f *fleet) add() *machine {
	place := len(f.stores)
	m := &machine{host: f.world.NewHost(fmt.Sprintf("store-%d", place), fmt.Sprintf("zone-%d", place%4)), id: fmt.Sprintf("d%d", place)}
	m.files = simulate.NewFiles(m.host)
	f.stores = append(f.stores, m)
	return m
}

func (f *fleet) start(m *machine) {
	m.host.Revive()
	m.up = true
	m.count = base.NewCounters()
	m.host.Go(func() {
		store, err := ledger.OpenStore(ledger.StoreConfig{Clock: m.host.Clock(), Wire: f.net.Wire(m.host), Files: m.files, Bounds: f.bounds,
			Counters: m.count, FaultTolerance: f.tolerate, LocalDisk: func() (string, *register.DiskSet) { return m.id, m.set }})
		f.is.NoErr(err)
		m.store = store
		server := ledger.NewLedgerServer(store)
		mux := http.NewServeMux()
		mux.Handle(server.PathPrefix(), server)
		m.host.Serve(base.Receive(m.host.Clock(), mux))
		store.Run()
	})
}

func (f *fleet) kill(m *machine) {
	m.host.Kill()
	m.up, m.store = false, nil
}

func (f *fleet) powerOff(m *machine) {
	f.kill(m)
	m.files.LosePower()
}

// wipe takes a machine's disk; it comes back blank.
func (f *fleet) wipe(m *machine) {
	f.kill(m)
	m.files.Wipe()
	m.life++
	m.id, m.set = fmt.Sprintf("%s-%d", strings.Split(m.id, "-")[0], m.life), nil
}

// change makes a new set out of machines, and tells some of it.
func (f *fleet) change(members ...*machine) {
	next := &register.DiskSet{Stamp: f.set.Stamp + 1, Cluster: f.set.Cluster}
	for _, m := range members {
		next.Disks = append(next.Disks, m.entry())
	}
	f.set = next
	for _, m := range members {
		m.set = next
		if m.up && m.store != nil {
			m.store.NotifySetChange()
		}
	}
}

// replace drops a disk of the set and takes in the one its machine has now.
func (f *fleet) replace(gone string, with *machine) {
	members := []*machine{}
	for _, entry := range f.set.Disks {
		for _, m := range f.stores {
			if m.id == entry.Id && entry.Id != gone {
				members = append(members, m)
			}
		}
	}
	f.change(append(members, with)...)
}

func (f *fleet) client(zone int) *ledger.Client {
	f.clients++
	return f.clientOn(f.world.NewHost(fmt.Sprintf("edge-%d", f.clients), fmt.Sprintf("zone-%d", zone)))
}

// clientOn makes a client whose tasks run on a host; the test calls it.
func (f *fleet) clientOn(h *simulate.Host) *ledger.Client {
	return ledger.NewClient(h.Clock(), f.net.Wire(h), func() *register.DiskSet { return f.set }, h.Zone, f.tolerate, f.bounds, base.NewCounters(), nil)
}

func (f *fleet) ctx() *base.Ctx        { return base.NewCtx(f.test.Clock(), 4*time.Second) }
func (f *fleet) sleep(d time.Duration) { f.test.Clock().Sleep(d) }
func (f *fleet) now() time.Duration    { return f.test.Clock().Now() }
func (f *fleet) settled(c *ledger.Client) bool {
	for end := f.now() + 20*time.Second; f.now() < end; f.sleep(20 * time.Millisecond) {
		if c.AllComplete(f.ctx()) {
			return true
		}
	}
	return false
}

// line is a session's line of turns that one gateway carries on.
type line struct {
	f       *fleet
	c       *ledger.Client
	program string
	session string
	owner   string
	run     string
	epoch   uint64
	turns   []string
	most    int64
	budget  int64
	clock   base.Clock
}

func (f *fleet) line(c *ledger.Client, program string) *line {
	return &line{f: f, c: c, program: program, session: "s-" + program, owner: "gw-1", run: "run-" + program, most: 10, budget: 1 << 40}
}

func (l *line) begin(turn string) (*ledger.BeginResult, error) {
	previous := ""
	if len(l.turns) > 0 {
		previous = l.turns[len(l.turns)-1]
	}
	begun, err := l.c.Begin(l.f.ctx(), &ledger.BeginParams{Program: l.program, Session: l.session, Turn: turn, Previous: previous, Owner: l.owner,
		Run: l.run, Epoch: l.epoch, Confirmed: l.epoch > 0, Budgeted: true, MaxTokens: l.most, Budget: l.budget, Retention: retain})
	if err == nil && begun.Granted {
		l.epoch = begun.Epoch
	}
	return begun, err
}

func (l *line) finish(turn string) error {
	previous := ""
	if len(l.turns) > 0 {
		previous = l.turns[len(l.turns)-1]
	}
	err := l.c.Finish(l.f.ctx(), &ledger.FinishParams{Program: l.program, Session: l.session, Turn: turn, Previous: previous, Owner: l.owner, Run: l.run,
		Epoch: l.epoch, Input: []byte("in " + turn), Output: []byte("out " + turn), Budgeted: true, Tokens: l.most, Retention: retain})
	if err == nil {
		l.turns = append(l.turns, turn)
	}
	return err
}

// turn takes one turn whole.
func (l *line) turn() {
	l.f.t.Helper()
	id := fmt.Sprintf("%s.%d", l.program, len(l.turns))
	begun, err := l.begin(id)
	l.f.is.NoErr(err)
	l.f.is.True(begun.Granted)
	l.f.is.NoErr(l.finish(id))
}

// found looks for the chain of the last turn by a client and checks it.
func (l *line) found(c *ledger.Client, hint string) {
	l.f.t.Helper()
	chain, err := c.Chain(l.f.ctx(), hint, l.turns[len(l.turns)-1])
	l.f.is.NoErr(err)
	l.f.is.Equal(len(chain), len(l.turns))
	for place, one := range chain {
		l.f.is.Equal(one.Id, l.turns[place])
		l.f.is.Equal(string(one.Input), "in "+l.turns[place])
		l.f.is.Equal(string(one.Output), "out "+l.turns[place])
	}
}

// lines makes some programs with some turns each.
func (f *fleet) lines(c *ledger.Client, programs, turns int) []*line {
	made := []*line{}
	for place := 0; place < programs; place++ {
		l := f.line(c, fmt.Sprintf("p%d", place))
		for one := 0; one < turns; one++ {
			l.turn()
		}
		made = append(made, l)
	}
	return made
}

func (f *fleet) absent(c *ledger.Client) {
	f.t.Helper()
	_, err := c.Chain(f.ctx(), "p0", "never")
	f.is.True(base.IsCode(err, "unknown_turn"))
}

func TestOrdinaryTurns(t *testing.T) {
	play(t, 1, 4, 1, func(f *fleet) {
		c := f.client(1)
		lines := f.lines(c, 20, 4)
		messages := f.net.Messages
		lines[3].turn()
		f.is.Equal(f.net.Messages-messages, 4) // two stores for each of two messages
		messages = f.net.Messages
		lines[3].found(f.client(2), lines[3].program)
		f.is.True(f.net.Messages-messages <= 4)
		for _, l := range lines {
			l.found(c, l.program)
			l.found(c, "another")
		}
		f.absent(c)
	})
}

func TestOneStoreDown(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		play(t, seed, 4, 1, func(f *fleet) {
			c := f.client(1)
			lines := f.lines(c, 10, 2)
			f.kill(f.stores[seed%4])
			for _, l := range lines {
				l.turn()
				l.found(f.client(2), l.program)
			}
			f.absent(c)
			f.kill(f.stores[(seed+1)%4])
			_, err := c.Chain(f.ctx(), "p0", "never")
			f.is.True(base.IsCode(err, "ledger_unreachable")) // two may hide it
		})
	}
}

func TestAWipedStoreIsFilledAndAnotherMayGo(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		play(t, seed, 4, 1, func(f *fleet) {
			c := f.client(1)
			lines := f.lines(c, 30, 3)
			lost := f.stores[seed%4]
			gone := lost.id
			f.wipe(lost)
			f.start(lost)
			for _, l := range lines[:5] {
				l.turn()
			}
			f.replace(gone, lost)
			f.is.True(f.settled(c))
			for _, l := range lines[5:10] {
				l.turn()
			}
			f.wipe(f.stores[(seed+1)%4])
			fresh := f.client(2)
			for _, l := range lines {
				l.found(fresh, l.program)
			}
			f.absent(fresh)
			lines[0].turn()
			lines[0].found(fresh, lines[0].program)
		})
	}
}

func TestPowerLossEverywhereWithOneDiskWiped(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		play(t, seed, 4, 1, func(f *fleet) {
			c := f.client(1)
			lines := f.lines(c, 20, 3)
			for place := 0; place < 6; place++ {
				f.clientTask(place) // cut in the middle of something
			}
			f.sleep(time.Duration(seed) * 700 * time.Microsecond)
			for _, m := range f.stores {
				f.powerOff(m)
			}
			wiped := f.stores[seed%4]
			gone := wiped.id
			f.wipe(wiped)
			for _, m := range f.stores {
				f.start(m)
			}
			f.sleep(100 * time.Millisecond)
			fresh := f.client(2)
			for _, l := range lines {
				l.found(fresh, l.program)
			}
			f.replace(gone, wiped)
			f.is.True(f.settled(fresh))
			f.wipe(f.stores[(seed+2)%4])
			for _, l := range lines {
				l.found(fresh, l.program)
			}
			f.absent(fresh)
		})
	}
}

// clientTask writes turns from a host of its own until something fails.
func (f *fleet) clientTask(place int) {
	h := f.world.NewHost(fmt.Sprintf("busy-%d", place), fmt.Sprintf("zone-%d", place%4))
	l := f.line(f.clientOn(h), fmt.Sprintf("busy%d", place))
	h.Go(func() {
		for one := 0; ; one++ {
			id := fmt.Sprintf("%s.%d", l.program, one)
			if begun, err := l.begin(id); err != nil || !begun.Granted || l.finish(id) != nil {
				return
			}
		}
	})
}

func TestAStoreIsRetired(t *testing.T) {
	play(t, 3, 5, 1, func(f *fleet) {
		c := f.client(1)
		lines := f.lines(c, 40, 2)
		retired := f.stores[2]
		f.is.True(!c.IsEmptied(f.ctx(), retired.id))
		f.change(f.stores[0], f.stores[1], f.stores[3], f.stores[4])
		for end := f.now() + 10*time.Second; !c.IsEmptied(f.ctx(), retired.id); f.sleep(20 * time.Millisecond) {
			f.is.True(f.now() < end)
		}
		f.kill(retired)
		f.wipe(f.stores[0])
		for _, l := range lines {
			l.found(f.client(3), l.program)
		}
	})
}

func TestTwoGatewaysClaimOneSession(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		play(t, seed, 4, 1, func(f *fleet) {
			if seed%3 == 0 {
				f.kill(f.stores[seed%4])
			}
			winners, over := map[string]*ledger.BeginResult{}, 0
			for place := 0; place < 3; place++ {
				h := f.world.NewHost(fmt.Sprintf("edge-%d", place), fmt.Sprintf("zone-%d", place))
				c := f.clientOn(h)
				h.Go(func() {
					defer func() { over++ }()
					owner := fmt.Sprintf("gw-%d", place)
					begun, err := c.Begin(base.NewCtx(h.Clock(), 4*time.Second), &ledger.BeginParams{Program: "p", Session: "s", Turn: "t-" + owner, Owner: owner,
						Run: "run-" + owner, Budgeted: true, MaxTokens: 5, Budget: 1000, Retention: retain})
					f.is.NoErr(err)
					if begun.Granted {
						winners[owner] = begun
					}
				})
			}
			for over < 3 {
				f.sleep(5 * time.Millisecond)
			}
			f.is.True(len(winners) >= 1)
			finished := 0
			for _, owner := range base.SortedKeys(winners) {
				c := f.client(0)
				err := c.Finish(f.ctx(), &ledger.FinishParams{Program: "p", Session: "s", Turn: "t-" + owner, Owner: owner, Run: "run-" + owner,
					Epoch: winners[owner].Epoch, Budgeted: true, Tokens: 5, Retention: retain})
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

func TestAStaleOwnerIsFenced(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		play(t, seed, 4, 1, func(f *fleet) {
			old := f.line(f.client(1), "p")
			old.turn()
			_, err := old.begin("late")
			f.is.NoErr(err)
			if seed%2 == 0 {
				lost := f.stores[seed%4]
				gone := lost.id
				f.wipe(lost)
				f.start(lost)
				f.replace(gone, lost)
			}
			c := f.client(2)
			begun, err := c.TakeOver(f.ctx(), "p", old.session, "gw-2", "run-2", old.epoch, retain)
			f.is.NoErr(err)
			f.is.True(begun.Granted)
			f.is.Equal(begun.Epoch, old.epoch+1)
			again, err := f.client(3).TakeOver(f.ctx(), "p", old.session, "gw-3", "run-3", old.epoch, retain)
			f.is.NoErr(err)
			f.is.True(!again.Granted)
			f.is.Equal(again.Owner, "gw-2")
			f.is.True(base.IsCode(old.finish("late"), "stale_assignment"))
			stale, err := old.begin("later")
			f.is.NoErr(err)
			f.is.True(!stale.Granted)
			f.is.Equal(stale.Run, "run-2")
			next := &line{f: f, c: c, program: "p", session: old.session, owner: "gw-2", run: "run-2", epoch: begun.Epoch, turns: old.turns, most: 10, budget: 1 << 40}
			next.turn()
			next.found(f.client(3), "p")
			_, err = c.Chain(f.ctx(), "p", "late")
			f.is.True(base.IsCode(err, "unknown_turn"))
		})
	}
}
