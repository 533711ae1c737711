package crowdtest

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"fordseam/internal/standin/platform"
)

const (
	// endlessCallers is how many clients call workers that answer without end, each again and
	// again for endlessTime.
	endlessCallers = 24
	endlessTime    = 2 * time.Second
	// endlessAnswerBytes is the most that may be taken of one answer: the largest answer that is
	// passed on, and the buffers of the sockets between.
	endlessAnswerBytes = 32 << 20
)

// endlessCaller calls again and again until the end, and reads all that comes.
type endlessCaller func(address string, head func() string, end time.Time)

// readAll reads each answer to its end.
func readAll(address string, head func() string, end time.Time) {
	for time.Now().Before(end) {
		if conn, err := dialUntil(address, end); err == nil {
			if _, err = io.WriteString(conn, head()+"Content-Length: 1\r\nConnection: close\r\n\r\nx"); err == nil {
				_, _ = io.Copy(io.Discard, conn)
			}
			_ = conn.Close()
		}
	}
}

// readNothing sends one request and reads nothing of the answer.
func readNothing(address string, head func() string, end time.Time) {
	conn, err := dialUntil(address, end)
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err = io.WriteString(conn, head()+"Content-Length: 1\r\n\r\nx"); err == nil {
		<-time.After(time.Until(end))
	}
}

// dialUntil opens a connection that ends at a time.
func dialUntil(address string, end time.Time) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Until(end))
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(end)
}

// callEndless has endlessCallers clients at each edge call routes of all kinds.
func (f *testFleet) callEndless(call endlessCaller) {
	var group sync.WaitGroup
	end := time.Now().Add(endlessTime)
	for _, m := range f.Machines(platform.ClassEdge) {
		for index := range endlessCallers {
			class := []string{retainedClass, repeatableClass, singleClass}[index%3]
			group.Add(1)
			go func() {
				defer group.Done()
				call(m.Front, f.clientHead(class), end)
			}()
		}
	}
	group.Wait()
}

// checkEndless checks the limits of the processes and of each answer, and that ordinary callers
// are served while the workers stay faulty. It resets the peaks; after a failure it restarts the
// processes, so that the next check finds them as new.
func (f *testFleet) checkEndless(t *testing.T) {
	t.Helper()
	outer := f.t
	f.t = t
	defer func() { f.t = outer }()
	f.checkOrdinaryCallers()
	f.checkLimits()
	if _, most := f.EndlessAnswers(); most > endlessAnswerBytes {
		t.Errorf("%d MB were taken of one answer, more than %d", most>>20, endlessAnswerBytes>>20)
	}
	f.ForgetEndlessAnswers()
	for _, m := range f.Machines("") {
		if t.Failed() {
			if err := f.Restart(m.Name); err != nil {
				t.Fatal(err)
			}
		} else if err := resetPeakMemory(m.PID); err != nil {
			t.Fatal(err)
		}
	}
}

// resetPeakMemory makes the peak resident memory of a process start anew.
func resetPeakMemory(pid int) error {
	const resetPeak = "5"
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte(resetPeak), 0)
}

// endlessShare is the share of the workers of each service that answer without end.
const endlessShare = 0.5

// TestEndlessAnswersOfWorkers guards against edges that keep, or read without end, what a faulty
// worker sends.
func TestEndlessAnswersOfWorkers(t *testing.T) {
	f := startFleet(t)
	for _, status := range []int{200, 500} {
		for _, form := range platform.EndlessForms {
			t.Run(fmt.Sprintf("%s_behind_%d", form, status), func(t *testing.T) {
				f.SetEndlessWorkers(endlessShare, platform.FaultEndless(form, status))
				f.callEndless(readAll)
				f.checkEndless(t)
			})
		}
	}
}

// TestEndlessAnswersToSlowCallers guards against edges that keep what a worker sends faster than
// its caller reads.
func TestEndlessAnswersToSlowCallers(t *testing.T) {
	f := startFleet(t)
	for _, status := range []int{200, 500} {
		for _, form := range []platform.EndlessForm{platform.EndlessChunk, platform.EndlessEvents, platform.EndlessLargeEvents} {
			t.Run(fmt.Sprintf("%s_behind_%d", form, status), func(t *testing.T) {
				f.SetEndlessWorkers(endlessShare, platform.FaultEndless(form, status))
				f.callEndless(readNothing)
				f.checkEndless(t)
			})
		}
	}
}

// allEndlessFaults are all forms of endless answers behind 200 and 500.
func allEndlessFaults() (faults []platform.Fault) {
	for _, form := range platform.EndlessForms {
		faults = append(faults, platform.FaultEndless(form, 200), platform.FaultEndless(form, 500))
	}
	return faults
}

// TestEndlessAnswersThroughRestarts guards against the same when all forms come at once, to callers
// that read and to callers that do not, while the list of workers does it too, and machines of all
// classes restart.
func TestEndlessAnswersThroughRestarts(t *testing.T) {
	f := startFleet(t)
	f.SetEndlessWorkers(endlessShare, allEndlessFaults()...)
	for round, class := range []string{platform.ClassEdge, platform.ClassCore, platform.ClassStorage, platform.ClassEdge} {
		f.SetEndlessList(platform.EndlessForms[round*3])
		restarted := make(chan error)
		go func() { restarted <- f.Restart(f.Machines(class)[0].Name) }()
		f.callEndless(readAll)
		f.callEndless(readNothing)
		if err := <-restarted; err != nil {
			t.Fatal(err)
		}
		f.checkEndless(t)
	}
}

// TestEndlessListOfWorkers guards against cores that keep, or read without end, what the list of
// workers answers.
func TestEndlessListOfWorkers(t *testing.T) {
	f := startFleet(t)
	for _, form := range platform.EndlessForms {
		t.Run(string(form), func(t *testing.T) {
			f.SetEndlessList(form)
			<-time.After(2 * endlessTime)
			f.checkEndless(t)
		})
	}
}
