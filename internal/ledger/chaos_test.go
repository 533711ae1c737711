package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/ledger"
	"fordseam/internal/simulate"

	"github.com/matryer/is"
)

// seedCount returns the number of seeds that a randomised test runs: full, or about
// a fifth of it with -short.
func seedCount(full int) uint64 {
	if testing.Short() {
		return uint64(full/5 + 1)
	}
	return uint64(full)
}

// injectFault injects one random fault into the fleet and repairs it.
func (f *fleet) injectFault(c *ledger.Client) {
	world := f.world
	randomMember := func() *machine {
		for {
			m := f.machines[world.Int64N(int64(len(f.machines)))]
			if m.running && f.isMember(m) {
				return m
			}
		}
	}
	count := 1 + int(world.Int64N(int64(f.faultTolerance)))
	chosen := map[string]*machine{}
	for len(chosen) < count {
		m := randomMember()
		chosen[m.host.Name] = m
	}
	names := base.SortedKeys(chosen)
	forEach := func(do func(m *machine)) {
		for _, name := range names {
			do(chosen[name])
		}
	}
	pause := func() { f.sleep(world.Between(0, 1500*time.Millisecond)) }
	fault := []string{"kill", "power", "wipe", "freeze", "cut", "admit", "retire", "outage"}[world.Int64N(8)]
	f.faults = append(f.faults, fault)
	switch fault {
	case "kill":
		forEach(f.kill)
		pause()
		forEach(f.start)
	case "power":
		forEach(f.powerOff)
		pause()
		forEach(f.start)
	case "wipe":
		forEach(func(m *machine) {
			removed := m.diskID
			f.wipe(m)
			f.sleep(world.Between(0, 300*time.Millisecond))
			f.start(m)
			f.sleep(world.Between(0, 300*time.Millisecond))
			f.replaceDisk(removed, m)
		})
	case "freeze":
		forEach(func(m *machine) { m.host.Freeze() })
		pause()
		forEach(func(m *machine) { m.host.Thaw() })
	case "cut":
		isolated := map[string]bool{}
		forEach(func(m *machine) { isolated[m.host.Name] = true })
		f.net.Isolate(isolated)
		pause()
		f.net.Heal()
	case "admit":
		if len(f.set.Disks) > 2*f.faultTolerance+5 {
			break
		}
		m := f.addMachine()
		f.start(m)
		f.replaceDisk("", m)
	case "retire":
		if len(f.set.Disks) <= 2*f.faultTolerance+1 {
			break
		}
		m := chosen[names[0]]
		f.removeMachine(m)
		for end := f.now() + 20*time.Second; !c.IsEmptied(f.ctx(), m.diskID); f.sleep(20 * time.Millisecond) {
			if f.now() > end {
				f.t.Fatalf("disk %s was not emptied in time", m.diskID)
			}
		}
		f.kill(m)
	case "outage":
		for _, m := range f.machines {
			if m.running {
				f.powerOff(m)
			}
		}
		removed := map[string]string{}
		forEach(func(m *machine) {
			removed[m.host.Name] = m.diskID
			f.wipe(m)
		})
		for _, m := range f.machines {
			if f.isMember(m) || chosen[m.host.Name] == m {
				f.start(m)
			}
		}
		pause()
		forEach(func(m *machine) { f.replaceDisk(removed[m.host.Name], m) })
	}
}

// isMember reports whether the machine's disk is in the current set.
func (f *fleet) isMember(m *machine) bool {
	for _, entry := range f.set.Disks {
		if entry.Id == m.diskID {
			return true
		}
	}
	return false
}

// removeMachine changes to a disk set without a machine.
func (f *fleet) removeMachine(removed *machine) {
	members := []*machine{}
	for _, m := range f.machines {
		if m != removed && f.isMember(m) {
			members = append(members, m)
		}
	}
	f.changeSet(members...)
}

// sessionRunner runs the turns of one session on one gateway after another.
type sessionRunner struct {
	fleet        *fleet
	program      string
	session      string
	acknowledged []string
	epoch        uint64
	runs         int
	turns        int
	stopped      bool
	ended        bool
}

// run continues the session on a gateway until it is stopped. Now and then
// another gateway takes the session over.
func (r *sessionRunner) run(host *simulate.Host) {
	fleet := r.fleet
	client := fleet.newClientOn(host)
	clock := host.Clock()
	defer func() { r.ended = true }()
	for !r.stopped {
		r.runs++
		s := &sessionWriter{fleet: fleet, client: client, program: r.program, session: r.session, owner: host.Name, run: fmt.Sprintf("%s-run%03d", r.session, r.runs), clock: clock, maxTokens: 10, budget: 1 << 40}
		ctx := func() *base.Ctx { return base.NewCtx(clock, 3*time.Second) }
		if r.runs > 1 {
			begun, err := client.TakeOver(ctx(), r.program, r.session, s.owner, s.run, r.epoch, retention)
			if err != nil || !begun.Granted {
				if err == nil {
					r.epoch = max(r.epoch, begun.Epoch)
				}
				continue
			}
			s.epoch, r.epoch = begun.Epoch, begun.Epoch
		}
		for !r.stopped {
			r.turns++
			id := fmt.Sprintf("%s.%d", r.session, r.turns)
			previous := ""
			if len(r.acknowledged) > 0 {
				previous = r.acknowledged[len(r.acknowledged)-1]
			}
			begun, err := client.Begin(ctx(), &ledger.BeginParams{Program: r.program, Session: r.session, Turn: id, Previous: previous, Owner: s.owner, Run: s.run,
				Epoch: s.epoch, Confirmed: s.epoch > 0, Budgeted: true, MaxTokens: 10, Budget: 1 << 40, Retention: retention})
			if err != nil {
				continue
			}
			if !begun.Granted {
				r.epoch = max(r.epoch, begun.Epoch)
				break
			}
			s.epoch = begun.Epoch
			r.epoch = max(r.epoch, begun.Epoch)
			clock.Sleep(fleet.world.Between(0, 60*time.Millisecond))
			err = client.Finish(ctx(), &ledger.FinishParams{Program: r.program, Session: r.session, Turn: id, Previous: previous, Owner: s.owner, Run: s.run, Epoch: s.epoch,
				Input: []byte("in " + id), Output: []byte("out " + id), Budgeted: true, Tokens: 7, Retention: retention})
			if err == nil {
				r.acknowledged = append(r.acknowledged, id)
			}
			if base.IsCode(err, "stale_assignment") {
				break
			}
			if fleet.world.Chance(0.03) {
				r.takeOver(s, id)
				break
			}
		}
	}
}

// takeOver has another gateway take the session over, after which the former Run
// must neither begin nor finish a turn.
func (r *sessionRunner) takeOver(s *sessionWriter, last string) {
	fleet := r.fleet
	host := fleet.world.NewHost(fmt.Sprintf("other-%s-%d", r.session, r.runs), "zone-2")
	client := fleet.newClientOn(host)
	ended := false
	host.Go(func() {
		defer func() { ended = true }()
		r.runs++
		run := fmt.Sprintf("%s-run%03d", r.session, r.runs)
		begun, err := client.TakeOver(base.NewCtx(host.Clock(), 3*time.Second), r.program, r.session, host.Name, run, s.epoch, retention)
		if err != nil || !begun.Granted {
			return
		}
		r.epoch = max(r.epoch, begun.Epoch)
		if stale, err := s.client.Begin(base.NewCtx(host.Clock(), 3*time.Second), &ledger.BeginParams{Program: r.program, Session: r.session, Turn: last + "-stale", Owner: s.owner,
			Run: s.run, Epoch: s.epoch, Confirmed: true, Budgeted: true, MaxTokens: 10, Budget: 1 << 40, Retention: retention}); err == nil && stale.Granted {
			fleet.t.Errorf("seed %d: a stale Run of %s began a turn", fleet.world.Seed, r.session)
		}
		err = s.client.Finish(base.NewCtx(host.Clock(), 3*time.Second), &ledger.FinishParams{Program: r.program, Session: r.session, Turn: last + "-stale", Owner: s.owner, Run: s.run,
			Epoch: s.epoch, Budgeted: true, Retention: retention})
		if err == nil {
			fleet.t.Errorf("seed %d: a stale Run of %s finished a turn", fleet.world.Seed, r.session)
		}
	})
	for waits := 0; !ended && waits < 2000; waits++ {
		s.clock.Sleep(10 * time.Millisecond)
	}
}

// TestNothingAcknowledgedIsLost runs sessions under random faults, with at most the
// tolerated number of disks lost at once: every acknowledged turn must be found with
// its whole chain, and no stale Run may begin or finish a turn.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	sizes := []struct{ stores, tolerate int }{{4, 1}, {3, 1}, {7, 2}}
	for seed := uint64(1); seed <= seedCount(30); seed++ {
		size := sizes[seed%3]
		runFleet(t, seed, size.stores, size.tolerate, func(f *fleet) {
			f.net.Faults = simulate.NetworkFaults{LossRate: 0.002, DelayRate: 0.02, DuplicateRate: 0.02, MaxExtraDelay: 300 * time.Millisecond}
			runners := []*sessionRunner{}
			for i := 0; i < 6; i++ {
				runner := &sessionRunner{fleet: f, program: fmt.Sprintf("p%d", i/2), session: fmt.Sprintf("s%d", i)}
				runners = append(runners, runner)
				host := f.world.NewHost(fmt.Sprintf("edge-%d", i), fmt.Sprintf("zone-%d", i%4))
				host.Go(func() { runner.run(host) })
			}
			c := f.newClient(0)
			for i := 0; i < 5; i++ {
				f.injectFault(c)
				if !f.waitComplete(c) {
					t.Fatal("the stores did not become complete")
				}
			}
			answered := func() (total int) {
				for _, runner := range runners {
					total += len(runner.acknowledged)
				}
				return total
			}
			for end := f.now() + time.Minute; answered() <= 60 && f.now() < end; {
				f.sleep(100 * time.Millisecond)
			}
			for _, runner := range runners {
				runner.stopped = true
			}
			for _, runner := range runners {
				for !runner.ended {
					f.sleep(20 * time.Millisecond)
				}
			}
			for _, runner := range runners {
				for i := len(runner.acknowledged) - 1; i >= 0; i -= 1 + i/8 {
					chain, err := c.Chain(f.ctx(), runner.program, runner.acknowledged[i])
					if err != nil {
						t.Fatalf("%s: %v", runner.acknowledged[i], err)
					}
					if len(chain) != i+1 {
						t.Fatalf("the chain of %s has %d turns, not %d", runner.acknowledged[i], len(chain), i+1)
					}
					for j, turn := range chain {
						if turn.Id != runner.acknowledged[j] || string(turn.Output) != "out "+runner.acknowledged[j] {
							t.Fatalf("the chain of %s has wrong turns", runner.acknowledged[i])
						}
					}
				}
			}
			f.is.True(answered() > 60)
			f.checkUnknownTurn(c)
		})
	}
}

// budgetTally counts what the sessions of a program did with its budget.
type budgetTally struct {
	budget, maxTokens int64
	delivered         int64
	unsettled         int64
	granted           int
	refused           int
}

// TestBudgetIsNeverOverspent runs concurrent sessions of one program under random
// faults and delays: at most one turn's maximum above the budget may be delivered,
// and the budget must be usable while it lasts.
func TestBudgetIsNeverOverspent(t *testing.T) {
	refused := 0
	for seed := uint64(1); seed <= seedCount(40); seed++ {
		size := []struct{ stores, tolerate int }{{4, 1}, {3, 1}, {6, 2}}[seed%3]
		runFleet(t, seed, size.stores, size.tolerate, func(f *fleet) {
			f.net.MaxDelay = f.world.Between(time.Millisecond, 150*time.Millisecond)
			f.net.Faults = simulate.NetworkFaults{LossRate: 0.01, DelayRate: 0.1, DuplicateRate: 0.05, MaxExtraDelay: 400 * time.Millisecond}
			tally := &budgetTally{budget: f.world.Int64N(150) + 30, maxTokens: 10}
			ended := 0
			const gateways = 9
			for i := 0; i < gateways; i++ {
				host := f.world.NewHost(fmt.Sprintf("edge-%d", i), fmt.Sprintf("zone-%d", i%4))
				c := f.newClientOn(host)
				host.Go(func() {
					defer func() { ended++ }()
					epoch := uint64(0)
					for n := 0; n < 12; n++ {
						host.Clock().Sleep(f.world.Between(0, 120*time.Millisecond))
						turn, run, session := fmt.Sprintf("t%d.%d", i, n), fmt.Sprintf("run%d", i), fmt.Sprintf("s%d", i)
						ctx := func() *base.Ctx { return base.NewCtx(host.Clock(), 3*time.Second) }
						begun, err := c.Begin(ctx(), &ledger.BeginParams{Program: "p", Session: session, Turn: turn, Owner: host.Name, Run: run, Epoch: epoch,
							Confirmed: epoch > 0, Budgeted: true, MaxTokens: tally.maxTokens, Budget: tally.budget, Retention: retention})
						if err != nil {
							if base.IsCode(err, "over_budget") {
								tally.refused++
							}
							continue
						}
						f.is.True(begun.Granted)
						epoch = begun.Epoch
						tally.granted++
						tokens := f.world.Int64N(tally.maxTokens + 1)
						tally.delivered += tokens
						host.Clock().Sleep(f.world.Between(0, 50*time.Millisecond))
						switch f.world.Int64N(5) {
						case 0: // the owner is lost and never settles
							tally.unsettled += tally.maxTokens - tokens
						case 1:
							if c.Settle(ctx(), &ledger.SettleParams{Program: "p", Run: run, Turn: turn, Tokens: tokens, Retention: retention}) != nil {
								tally.unsettled += tally.maxTokens - tokens
							}
						default:
							if c.Finish(ctx(), &ledger.FinishParams{Program: "p", Session: session, Turn: turn, Owner: host.Name, Run: run, Epoch: epoch,
								Budgeted: true, Tokens: tokens, Retention: retention}) != nil {
								tally.unsettled += tally.maxTokens - tokens
							}
						}
						if tally.delivered > tally.budget+tally.maxTokens {
							f.t.Errorf("seed %d: %d tokens delivered of a budget of %d", seed, tally.delivered, tally.budget)
						}
					}
				})
			}
			c := f.newClient(0)
			for ended < gateways {
				if f.world.Chance(0.5) {
					f.injectFault(c)
				}
				f.sleep(200 * time.Millisecond)
				if !f.waitComplete(c) {
					t.Fatal("the stores did not become complete")
				}
			}
			refused += tally.refused
			f.net.Faults = simulate.NetworkFaults{}
			f.sleep(5 * time.Second)
			_, err := c.Begin(f.ctx(), &ledger.BeginParams{Program: "p", Session: "last", Turn: "last", Owner: "gw", Run: "run", Budgeted: true, MaxTokens: tally.maxTokens, Budget: tally.budget, Retention: retention})
			if tally.delivered+tally.unsettled+tally.maxTokens <= tally.budget {
				f.is.NoErr(err)
			}
			if tally.delivered >= tally.budget {
				f.is.True(base.IsCode(err, "over_budget"))
			}
		})
	}
	is.New(t).True(refused > 0)
}
