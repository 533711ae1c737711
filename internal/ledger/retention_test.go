package ledger_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/ledger"
)

func (m *machine) describe() *ledger.DescribeReply {
	state, _ := m.store.Describe(context.Background(), nil)
	return state
}

func (f *fleet) restart(m *machine) {
	f.kill(m)
	f.start(m)
	f.sleep(50 * time.Millisecond)
}

// TestExpiredTurnsAreRemoved checks that turns and programs are removed some time after
// their retention.
func TestExpiredTurnsAreRemoved(t *testing.T) {
	runFleet(t, 5, 4, 1, func(f *fleet) {
		c := f.newClient(1)
		f.newSessions(c, 20, 3)
		f.sleep(retention + 5*time.Second)
		retained := f.newSession(c, "kept")
		retained.runTurn()
		f.sleep(2*retention + time.Minute)
		for _, m := range f.machines {
			f.is.Equal(m.describe().Turns, int64(0))
			f.is.Equal(m.describe().Programs, int64(0))
		}
		_, err := c.Chain(f.ctx(), "kept", retained.turns[0])
		f.is.True(base.IsCode(err, "unknown_turn"))
	})
}

// TestChainIsRetainedWithItsLatestTurn checks that each turn extends the retention of
// its ancestors, also across restarts.
func TestChainIsRetainedWithItsLatestTurn(t *testing.T) {
	runFleet(t, 6, 4, 1, func(f *fleet) {
		c := f.newClient(1)
		s := f.newSession(c, "p")
		for turn := 0; turn < 8; turn++ {
			s.runTurn()
			f.sleep(retention * 9 / 10)
		}
		s.runTurn()
		f.sleep(retention * 9 / 10)
		s.checkChain(c, "p")
		for _, m := range f.machines {
			f.restart(m)
		}
		f.sleep(retention / 20)
		s.checkChain(c, "p")
	})
}

// TestDowntimeDoesNotCountTowardsRetention guards against turns that expire while all
// stores are down.
func TestDowntimeDoesNotCountTowardsRetention(t *testing.T) {
	runFleet(t, 7, 4, 1, func(f *fleet) {
		c := f.newClient(1)
		sessions := f.newSessions(c, 5, 3)
		for _, m := range f.machines {
			f.powerOff(m)
		}
		f.sleep(30 * time.Minute)
		for _, m := range f.machines {
			f.start(m)
		}
		f.sleep(retention)
		for _, s := range sessions {
			s.checkChain(c, s.program)
		}
	})
}

// TestChainContinuedByAnotherProgram checks that the stores of a program copy the turns
// of another program that it continues from, and retain them with its own.
func TestChainContinuedByAnotherProgram(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		runFleet(t, seed, 6, 1, func(f *fleet) {
			c := f.newClient(1)
			first := f.newSession(c, "first")
			for turn := 0; turn < 4; turn++ {
				first.runTurn()
			}
			next := f.newSession(c, "next")
			next.turns = append(next.turns, first.turns...)
			next.runTurn()
			next.checkChain(f.newClient(2), "next")
			f.sleep(3 * time.Second) // the stores copy the turns that the new program continues from
			for turn := 0; turn < 6; turn++ {
				f.sleep(retention * 9 / 10)
				next.runTurn() // the first program has expired long ago
			}
			lost := f.machines[seed%6]
			removed := lost.diskID
			f.wipe(lost)
			f.start(lost)
			f.replaceDisk(removed, lost)
			f.is.True(f.waitComplete(c))
			f.wipe(f.machines[(seed+1)%6])
			next.checkChain(f.newClient(3), "next")
		})
	}
}

// TestStoreWithDamagedLogIsIncomplete checks that a store whose log is damaged counts in
// no quorum until it has pulled from the others and rewritten its log.
func TestStoreWithDamagedLogIsIncomplete(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		runFleet(t, seed, 4, 1, func(f *fleet) {
			c := f.newClient(1)
			sessions := f.newSessions(c, 30, 3)
			m := f.machines[seed%4]
			f.kill(m)
			f.is.True(m.files.FlipBit("ledger-1", int(f.world.Int64N(int64(m.files.Size("ledger-1")-400)))))
			m.files.Corrupted = false
			for i := range f.machines {
				if f.machines[i] != m {
					f.net.CutLink(m.host.Name, f.machines[i].host.Name)
					f.net.CutLink(f.machines[i].host.Name, m.host.Name)
				}
			}
			f.start(m)
			f.sleep(time.Second)
			f.is.Equal(m.describe().Whole, uint64(0))
			for _, s := range sessions {
				s.checkChain(c, s.program)
			}
			f.checkUnknownTurn(c)
			f.net.Heal()
			f.is.True(f.waitComplete(c))
			f.restart(m)
			f.is.True(f.waitComplete(c)) // the damaged segment was rewritten
			f.is.Equal(m.counters.Snapshot()["ledger_damaged"], int64(0))
			f.wipe(f.machines[(seed+1)%4])
			for _, s := range sessions {
				s.checkChain(c, s.program)
			}
		})
	}
}

// TestLogSizeIsBounded writes many times what the log may hold, while some turns are
// retained throughout.
func TestLogSizeIsBounded(t *testing.T) {
	runFleet(t, 9, 3, 1, func(f *fleet) {
		c := f.newClient(1)
		retained := f.newSessions(c, 20, 3)
		body := []byte(strings.Repeat("b", 60000))
		s := f.newSession(c, "big")
		for turn := 0; turn < 1200; turn++ {
			id := fmt.Sprintf("big.%d", turn)
			begun, err := s.begin(id)
			f.is.NoErr(err)
			f.is.NoErr(c.Finish(f.ctx(), &ledger.FinishParams{Program: s.program, Session: s.session, Turn: id, Owner: s.owner, Run: s.run,
				Epoch: begun.Epoch, Output: body, Retention: time.Second}))
			f.sleep(120 * time.Millisecond)
			if turn%300 == 299 {
				for _, session := range retained {
					session.runTurn()
				}
			}
		}
		for _, m := range f.machines {
			f.is.True(m.describe().LogBytes < max(16<<20, 5*m.describe().Bytes/2))
			f.is.True(m.files.FreeBytes() > m.files.Capacity-m.describe().LogBytes-(2<<20))
			f.powerOff(m)
			f.start(m)
		}
		f.sleep(200 * time.Millisecond)
		for _, session := range retained {
			session.checkChain(c, session.program)
		}
		begun, err := s.begin("after")
		f.is.NoErr(err)
		f.is.True(begun.Granted)
	})
}

// TestFullDiskDeclinesWrites checks that a store on a full disk declines writes, the
// others take its place, and it recovers once space is free.
func TestFullDiskDeclinesWrites(t *testing.T) {
	runFleet(t, 10, 4, 1, func(f *fleet) {
		c := f.newClient(1)
		sessions := f.newSessions(c, 10, 2)
		full := f.machines[0]
		full.files.Capacity = full.files.Capacity - full.files.FreeBytes() + 1000
		for _, s := range sessions {
			s.runTurn()
			s.runTurn()
			s.checkChain(c, s.program)
		}
		f.is.True(full.store.Ready() != nil)
		full.files.Capacity = 64 << 20
		f.sleep(2 * time.Second)
		f.is.NoErr(full.store.Ready())
		f.kill(f.machines[1])
		for _, s := range sessions {
			s.runTurn()
			s.checkChain(c, s.program)
		}
	})
}
