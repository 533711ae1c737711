package line

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/memory"

	"github.com/matryer/is"
)

// machineBytes is the memory of a node's machine in these tests.
const machineBytes = 100 << 20

// limitMemory gives a node a budget.
func (c *testCluster) limitMemory(m *Manager) *memory.Budget {
	m.Memory = memory.NewBudget(c.clock, m.Counters, machineBytes)
	return m.Memory
}

// submitCounted submits a turn whose body counts to a budget, as a client's does, and returns
// its error.
func (c *testCluster) submitCounted(m *Manager, budget *memory.Budget, session, turn, previous string, body []byte) error {
	call := c.call(session, turn, previous)
	call.Body, call.Memory = body, budget.NewLease()
	if err := call.Memory.Grow(len(body)); err != nil {
		return err
	}
	stream, err := c.submit(m, base.NewCtx(c.clock, 10*time.Second), call)
	if err != nil {
		call.Memory.Release()
		return err
	}
	stream.OnEnd(call.Memory.Release)
	_, err = stream.Head(10*time.Second, c.clock)
	for ended := false; err == nil && !ended; {
		_, ended, _ = stream.PiecesFrom(1<<20, time.Second, c.clock)
	}
	return err
}

// awaitRelease waits until everything was given back to a budget, which may be just after the
// end of a stream.
func awaitRelease(budget *memory.Budget) {
	for budget.Used() > 0 {
		runtime.Gosched()
	}
}

// TestTurnWithoutMemoryIsDeclinedAsNotRun guards against turns that are run although there is
// no memory to store them.
func TestTurnWithoutMemoryIsDeclinedAsNotRun(t *testing.T) {
	c := newTestCluster(t)
	m := c.addNode("a")
	budget := c.limitMemory(m)
	body := bytes.Repeat([]byte("b"), 1<<20)
	c.is.NoErr(c.submitCounted(m, budget, "s1", "t1", "", body))
	c.is.NoErr(c.submitCounted(m, budget, "s1", "t2", "t1", body))
	c.is.Equal(len(c.workers.bodies["t2"]), 2<<20+len("xt1\nyt1\n"))
	awaitRelease(budget)

	taken := []*memory.Lease{}
	for lease := budget.NewLease(); lease.Admit(1<<20, 0) == nil; lease = budget.NewLease() {
		taken = append(taken, lease)
	}
	taken[0].Release()
	taken[1].Release()
	err := c.submitCounted(m, budget, "s1", "t3", "t2", body)
	requestErr := base.ToRequestError(err)
	c.is.Equal(requestErr.Code, "memory_short")
	c.is.Equal(requestErr.Execution, base.NotRun)
	c.is.Equal(c.workers.bodies["t3"], "")
	for _, lease := range taken {
		lease.Release()
	}
	awaitRelease(budget)
	c.is.NoErr(c.submitCounted(m, budget, "s1", "t4", "t2", body))
}

// TestForwardedTurnWithoutMemoryIsDeclinedAsNotRun guards against owners that keep all turns
// which other gateways forward to them.
func TestForwardedTurnWithoutMemoryIsDeclinedAsNotRun(t *testing.T) {
	c := newTestCluster(t)
	owner := c.addNode("a")
	budget := c.limitMemory(owner)
	other := c.addNode("b", "a")
	_, err := c.submitAndRead(owner, c.call("s1", "t1", ""))
	c.is.NoErr(err)
	assignment := c.ledger.sessions["ps1"]
	awaitRelease(budget)
	for lease := budget.NewLease(); lease.Admit(1<<20, 0) == nil; lease = budget.NewLease() {
	}
	for lease := budget.NewLease(); lease.Grow(memory.SmallBytes) == nil; lease = budget.NewLease() {
	}
	call := c.call("s1", "t2", "t1")
	ctx := base.NewCtx(c.clock, 10*time.Second)
	_, err = owner.Forward(ctx, &ForwardRequest{From: other.nodeID(), Forwarded: true, Assignment: assignment, Call: callToProto(call, ctx)})
	requestErr := base.ToRequestError(err)
	c.is.Equal(requestErr.Code, "memory_short")
	c.is.Equal(requestErr.Execution, base.NotRun)
	c.is.Equal(c.workers.bodies["t2"], "")
}

// TestOldTurnsMakeRoomInTheHistory guards against a history that a few large turns fill for as
// long as they are retained.
func TestOldTurnsMakeRoomInTheHistory(t *testing.T) {
	is := is.New(t)
	h := newHistory(base.NewRealClock(), 1000)
	for number := range 50 {
		h.add(CompletedTurn{Turn: fmt.Sprint(number), Input: make([]byte, 100)}, time.Minute)
		is.True(h.size <= 1000)
	}
	_, _, ok := h.ancestry("49")
	is.True(ok)
	_, _, ok = h.ancestry("0")
	is.True(!ok)
	h.add(CompletedTurn{Turn: "huge", Input: make([]byte, 1001)}, time.Minute)
	_, _, ok = h.ancestry("huge")
	is.True(!ok)
	_, _, ok = h.ancestry("49")
	is.True(ok)
}
