// What a store keeps, for how long, and what it makes of a log that is
// damaged, long or without room.
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

func (m *machine) state() *ledger.DescribeReply {
	state, _ := m.store.Describe(context.Background(), nil)
	return state
}

func (f *fleet) restart(m *machine) {
	f.kill(m)
	f.start(m)
	f.sleep(50 * time.Millisecond)
}

func TestWhatIsOverIsForgotten(t *testing.T) {
	play(t, 5, 4, 1, func(f *fleet) {
		c := f.client(1)
		f.lines(c, 20, 3)
		f.sleep(retain + 5*time.Second)
		kept := f.line(c, "kept")
		kept.turn()
		f.sleep(2*retain + time.Minute)
		for _, m := range f.stores {
			f.is.Equal(m.state().Turns, int64(0))
			f.is.Equal(m.state().Programs, int64(0))
		}
		_, err := c.Chain(f.ctx(), "kept", kept.turns[0])
		f.is.True(base.IsCode(err, "unknown_turn"))
	})
}

func TestAChainIsKeptAsLongAsItsYoungestTurn(t *testing.T) {
	play(t, 6, 4, 1, func(f *fleet) {
		c := f.client(1)
		l := f.line(c, "p")
		for turn := 0; turn < 8; turn++ {
			l.turn()
			f.sleep(retain * 9 / 10)
		}
		l.turn()
		f.sleep(retain * 9 / 10)
		l.found(c, "p")
		for _, m := range f.stores {
			f.restart(m)
		}
		f.sleep(retain / 20)
		l.found(c, "p")
	})
}

func TestAPauseDoesNotCount(t *testing.T) {
	play(t, 7, 4, 1, func(f *fleet) {
		c := f.client(1)
		lines := f.lines(c, 5, 3)
		for _, m := range f.stores {
			f.powerOff(m)
		}
		f.sleep(30 * time.Minute)
		for _, m := range f.stores {
			f.start(m)
		}
		f.sleep(retain)
		for _, l := range lines {
			l.found(c, l.program)
		}
	})
}

func TestAnotherProgramGoesOn(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		play(t, seed, 6, 1, func(f *fleet) {
			c := f.client(1)
			first := f.line(c, "first")
			for turn := 0; turn < 4; turn++ {
				first.turn()
			}
			next := f.line(c, "next")
			next.turns = append(next.turns, first.turns...)
			next.turn()
			next.found(f.client(2), "next")
			f.sleep(3 * time.Second) // the stores copy what the new program goes on from
			for turn := 0; turn < 6; turn++ {
				f.sleep(retain * 9 / 10)
				next.turn() // the first program is long over
			}
			lost := f.stores[seed%6]
			gone := lost.id
			f.wipe(lost)
			f.start(lost)
			f.replace(gone, lost)
			f.is.True(f.settled(c))
			f.wipe(f.stores[(seed+1)%6])
			next.found(f.client(3), "next")
		})
	}
}

func TestADamagedLogIsNotWhole(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		play(t, seed, 4, 1, func(f *fleet) {
			c := f.client(1)
			lines := f.lines(c, 30, 3)
			m := f.stores[seed%4]
			f.kill(m)
			f.is.True(m.files.Rot("ledger-1", int(f.world.Int64N(int64(m.files.Size("ledger-1")-400)))))
			m.files.Rotten = false
			for place := range f.stores {
				if f.stores[place] != m {
					f.net.Cut(m.host.Name, f.stores[place].host.Name)
					f.net.Cut(f.stores[place].host.Name, m.host.Name)
				}
			}
			f.start(m)
			f.sleep(time.Second)
			f.is.Equal(m.state().Whole, uint64(0))
			for _, l := range lines {
				l.found(c, l.program)
			}
			f.absent(c)
			f.net.Heal()
			f.is.True(f.settled(c))
			f.restart(m)
			f.is.True(f.settled(c)) // the damaged file is gone
			f.is.Equal(m.count.Frame()["ledger_damaged"], int64(0))
			f.wipe(f.stores[(seed+1)%4])
			for _, l := range lines {
				l.found(c, l.program)
			}
		})
	}
}

// TestTheLogIsBounded writes many times what the log may hold, with some turns
// that are kept all along.
func TestTheLogIsBounded(t *testing.T) {
	play(t, 9, 3, 1, func(f *fleet) {
		c := f.client(1)
		kept := f.lines(c, 20, 3)
		body := []byte(strings.Repeat("b", 60000))
		l := f.line(c, "big")
		for turn := 0; turn < 1200; turn++ {
			id := fmt.Sprintf("big.%d", turn)
			begun, err := l.begin(id)
			f.is.NoErr(err)
			f.is.NoErr(c.Finish(f.ctx(), &ledger.FinishParams{Program: l.program, Session: l.session, Turn: id, Owner: l.owner, Run: l.run,
				Epoch: begun.Epoch, Output: body, Retention: time.Second}))
			f.sleep(120 * time.Millisecond)
			if turn%300 == 299 {
				for _, one := range kept {
					one.turn()
				}
			}
		}
		for _, m := range f.stores {
			f.is.True(m.state().LogBytes < max(16<<20, 5*m.state().Bytes/2))
			f.is.True(m.files.Free() > m.files.Limit-m.state().LogBytes-(2<<20))
			f.powerOff(m)
			f.start(m)
		}
		f.sleep(200 * time.Millisecond)
		for _, one := range kept {
			one.found(c, one.program)
		}
		begun, err := l.begin("after")
		f.is.NoErr(err)
		f.is.True(begun.Granted)
	})
}

func TestAFullDiskDeclines(t *testing.T) {
	play(t, 10, 4, 1, func(f *fleet) {
		c := f.client(1)
		lines := f.lines(c, 10, 2)
		full := f.stores[0]
		full.files.Limit = full.files.Limit - full.files.Free() + 1000
		for _, l := range lines {
			l.turn()
			l.turn()
			l.found(c, l.program)
		}
		f.is.True(full.store.Ready() != nil)
		full.files.Limit = 64 << 20
		f.sleep(2 * time.Second)
		f.is.NoErr(full.store.Ready())
		f.kill(f.stores[1])
		for _, l := range lines {
			l.turn()
			l.found(c, l.program)
		}
	})
}
