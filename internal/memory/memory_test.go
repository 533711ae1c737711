package memory

import (
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fordseam/internal/base"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// machineBytes is the memory of the machine in these tests.
const machineBytes = 100 << 20

// stoppedClock is a clock whose time moves only when the test says so.
type stoppedClock struct {
	base.Clock
	now atomic.Int64
}

func (c *stoppedClock) Now() time.Duration { return time.Duration(c.now.Load()) }

func newTestBudget() (*Budget, *stoppedClock) {
	clock := &stoppedClock{Clock: base.NewRealClock()}
	clock.now.Store(int64(time.Hour))
	return NewBudget(clock, base.NewCounters(), machineBytes), clock
}

// Whatever leases do, the budget counts what they hold together, which stays within its shares.
func TestBudgetCountsWhatLeasesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, _ := newTestBudget()
		leases := []*Lease{}
		for range rapid.IntRange(1, 8).Draw(t, "leases") {
			leases = append(leases, b.NewLease(), b.NewAnswerLease())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			l := leases[rapid.IntRange(0, len(leases)-1).Draw(t, "lease")]
			bytes := rapid.IntRange(0, 20<<20).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				_ = l.Grow(bytes)
			case 1:
				_ = l.Admit(bytes, 0)
			case 2:
				l.Shrink(bytes)
			case 3:
				l.Release()
			}
			used, usedBy := int64(0), [useCount]int64{}
			for _, l := range leases {
				used += l.held
				usedBy[l.use] += l.held
			}
			if used != b.used || usedBy != b.usedBy {
				t.Fatalf("counted %d and %v, held are %d and %v", b.used, b.usedBy, used, usedBy)
			}
			if used > b.capacity {
				t.Fatalf("%d are held of %d", used, b.capacity)
			}
		}
	})
}

func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget()
	for b.NewLease().Admit(1<<20, 0) == nil {
	}
	for range 50 {
		is.NoErr(b.NewLease().Grow(SmallBytes))
	}
}

func TestWaitingRequestsLeaveRoomForAdmittedOnes(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget()
	for b.NewLease().Grow(1<<20) == nil {
	}
	is.NoErr(b.NewLease().Admit(int(b.largeShare-b.limits[useWaiting]), 0))
}

func TestAnswersLeaveRoomForAdmittedRequests(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget()
	for b.NewAnswerLease().Grow(1<<20) == nil {
	}
	is.NoErr(b.NewLease().Admit(int(b.largeShare-b.limits[useAnswer]), 0))
	is.NoErr(b.NewAnswerLease().Grow(SmallBytes))
}

func TestAnswerWaitsForMemory(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget()
	first := b.NewAnswerLease()
	is.NoErr(first.Grow(int(b.limits[useAnswer])))
	grown := make(chan error)
	go func() { grown <- b.NewAnswerLease().GrowWithin(1<<20, time.Minute) }()
	b.awaitWaiter()
	first.Release()
	is.NoErr(<-grown)
	is.Equal(b.NewAnswerLease().GrowWithin(int(b.limits[useAnswer]), 0), ErrShort)
}

func TestClosedLeaseHoldsNothing(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget()
	lease := b.NewAnswerLease()
	is.NoErr(lease.Grow(1 << 20))
	lease.Close()
	is.True(IsShortage(WaitingLease{lease, time.Minute}.Grow(1)))
	lease.Shrink(1 << 20)
	is.Equal(b.Used(), int64(0))
}

func TestStalledBodyIsDroppedForANewOne(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBudget()
	revoked := 0
	stalled, growing := b.NewLease(), b.NewLease()
	for _, l := range []*Lease{stalled, growing} {
		l.SetRevocable(func() { revoked++ })
		is.NoErr(l.Grow(int(b.limits[useWaiting] / 2)))
	}
	is.Equal(b.NewLease().Grow(1<<20), ErrShort) // none has stalled yet
	clock.now.Add(int64(2 * stallTime))
	growing.MarkProgress()
	is.NoErr(b.NewLease().Grow(1 << 20))
	is.Equal(revoked, 1)
	is.Equal(stalled.Grow(1), ErrRevoked)
	is.NoErr(growing.Grow(1))
}

// awaitWaiter returns once a request waits for memory.
func (b *Budget) awaitWaiter() {
	for {
		b.mu.Lock()
		waiting := b.waiters > 0
		b.mu.Unlock()
		if waiting {
			return
		}
	}
}

func TestAdmissionWaitsForMemory(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget()
	first := b.NewLease()
	is.NoErr(first.Admit(int(b.largeShare), 0))
	admitted := make(chan error)
	go func() { admitted <- b.NewLease().Admit(1<<20, time.Minute) }()
	b.awaitWaiter()
	first.Release()
	is.NoErr(<-admitted)
}

func TestOneRequestCollectsAtATime(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget()
	is.True(b.MustCollect(int(b.largeShare)))
	is.True(!b.MustCollect(SmallBytes))
	is.True(b.BeginCollecting(0))
	is.True(!b.BeginCollecting(0))
	next := make(chan bool)
	go func() { next <- b.BeginCollecting(time.Minute) }()
	b.EndCollecting()
	is.True(<-next)
}

func TestRequestThatNeverFitsIsTooLarge(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget()
	is.Equal(b.NewLease().Admit(machineBytes, time.Hour), ErrTooLarge)
	is.Equal(RequestError(ErrTooLarge).Status, 413)
	short := RequestError(ErrShort)
	is.Equal(short.Status, 503)
	is.Equal(short.Execution, base.NotRun)
	is.True(short.RetryAfterMs > 0)
}

// oneByteReader returns one byte at a time.
type oneByteReader struct{ io.Reader }

func (r oneByteReader) Read(buffer []byte) (int, error) {
	return r.Reader.Read(buffer[:min(1, len(buffer))])
}

func TestBodyIsCountedAsItArrives(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget()
	lease := b.NewLease()
	arrived, writer := io.Pipe()
	done := make(chan error)
	go func() {
		_, err := ReadBody(arrived, 16<<20, 16<<20, lease) // announced only
		done <- err
	}()
	_, err := writer.Write(make([]byte, 1000))
	is.NoErr(err)
	is.True(b.Used() <= 2*firstBufferBytes)
	_ = writer.CloseWithError(io.ErrUnexpectedEOF)
	is.True(errors.Is(<-done, io.ErrUnexpectedEOF))
	is.Equal(b.Used(), int64(0))
}

func TestBodiesAreReadWhole(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBudget()
	for _, size := range []int{0, 1, firstBufferBytes, firstBufferBytes + 1, 3 * firstBufferBytes} {
		text := strings.Repeat("b", size)
		for _, length := range []int{size, -1} {
			lease := b.NewLease()
			body, err := ReadBody(oneByteReader{strings.NewReader(text)}, length, 3*firstBufferBytes, lease)
			is.NoErr(err)
			is.Equal(string(body), text)
			is.True(b.Used() >= int64(size))
			lease.Release()
		}
	}
	for _, length := range []int{101, -1} {
		_, err := ReadBody(strings.NewReader(strings.Repeat("b", 101)), length, 100, b.NewLease())
		is.Equal(err, ErrBodyTooLarge)
	}
	_, err := ReadBody(strings.NewReader("short"), 6, 100, b.NewLease())
	is.Equal(err, io.ErrUnexpectedEOF)
	is.Equal(b.Used(), int64(0))
}
