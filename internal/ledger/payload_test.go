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

// TestPayloadsAreReadFromTheLog guards against history that is lost once memory has no room for
// it: after it was written again, and after restarts.
func TestPayloadsAreReadFromTheLog(t *testing.T) {
	runFleet(t, 21, 3, 1, func(f *fleet) {
		c := f.newClient(1)
		sessions := f.newSessions(c, 10, 4)
		// Each round fills a part of the log, so that the oldest segments are rewritten.
		filler := f.newSession(c, "filler")
		for round := range 3 {
			for turn := range 500 {
				id := fmt.Sprintf("filler.%d.%d", round, turn)
				begun, err := filler.begin(id)
				f.is.NoErr(err)
				f.is.NoErr(c.Finish(f.ctx(), &ledger.FinishParams{Program: filler.program, Session: filler.session, Turn: id, Owner: filler.owner, Run: filler.run,
					Epoch: begun.Epoch, Output: []byte(strings.Repeat("f", 60000)), Retention: time.Second}))
				f.sleep(60 * time.Millisecond)
			}
			for _, s := range sessions {
				s.checkChain(c, s.program)
				s.runTurn()
			}
			for _, m := range f.machines {
				f.restart(m)
			}
			f.waitComplete(c)
		}
		read := int64(0)
		for _, m := range f.machines {
			read += m.counters.Snapshot()["ledger_payloads_read"]
		}
		f.is.True(read > 0)
	})
}

// TestCorruptTurnIsPulledAgain guards against a store that goes on counting as complete although
// its log has lost a turn.
func TestCorruptTurnIsPulledAgain(t *testing.T) {
	runFleet(t, 23, 3, 1, func(f *fleet) {
		c := f.newClient(1)
		s := f.newSession(c, "p")
		for range 5 {
			s.runTurn()
		}
		f.sleep(time.Second)
		holders := base.Filter(f.machines, func(m *machine) bool { return m.describe().Turns == 5 })
		f.is.True(len(holders) >= 2)
		damaged := holders[0]
		name := "ledger-1"
		content, _ := damaged.files.Read(name)
		f.is.True(damaged.files.FlipBit(name, strings.Index(string(content), "in p.2")))
		// Asked alone, the store must not pass the corrupt turn on.
		reply, err := damaged.store.Chain(context.Background(), &ledger.ChainRequest{Target: &ledger.Target{Disk: damaged.diskID, Stamp: f.set.Stamp}, Turn: "p.4"})
		f.is.NoErr(err)
		f.is.Equal(len(reply.Turns), 0)
		f.is.True(f.waitComplete(c))
		f.is.Equal(damaged.counters.Snapshot()["ledger_damaged"], int64(1))
		f.kill(holders[1])
		s.checkChain(c, s.program)
	})
}

// TestLargeTurnsLeaveRoomOnTheDisk guards against large turns that fill the disk, so that no turn
// of any caller can be stored.
func TestLargeTurnsLeaveRoomOnTheDisk(t *testing.T) {
	runFleet(t, 25, 3, 1, func(f *fleet) {
		c := f.newClient(1)
		for _, m := range f.machines {
			m.files.Capacity = 16 << 20
			f.restart(m)
		}
		f.sleep(time.Second)
		large, body, declined := f.newSession(c, "large"), make([]byte, 1<<20), false
		begunBefore, err := large.begin("before")
		f.is.NoErr(err)
		for turn := range 32 {
			id := fmt.Sprintf("large.%d", turn)
			begun, err := c.Begin(f.ctx(), &ledger.BeginParams{Program: large.program, Session: large.session, Turn: id, Owner: large.owner, Run: large.run, Epoch: begunBefore.Epoch, Confirmed: true,
				InputBytes: len(body), Retention: time.Minute})
			if declined = err != nil; declined {
				break
			}
			f.is.NoErr(c.Finish(f.ctx(), &ledger.FinishParams{Program: large.program, Session: large.session, Turn: id, Owner: large.owner, Run: large.run, Epoch: begun.Epoch, Input: body, Retention: time.Minute}))
		}
		f.is.True(declined) // before it was run
		f.is.NoErr(c.Finish(f.ctx(), &ledger.FinishParams{Program: large.program, Session: large.session, Turn: "before", Owner: large.owner, Run: large.run, Epoch: begunBefore.Epoch, Input: body, Retention: time.Minute}))
		small := f.newSession(c, "small")
		for range 10 {
			small.runTurn()
		}
		small.checkChain(c, small.program)
	})
}
