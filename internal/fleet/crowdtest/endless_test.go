package crowdtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"

	"github.com/valyala/fasthttp"
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

// TestEndlessRefusals guards against edges that read without end what follows the word that a
// request did not run.
func TestEndlessRefusals(t *testing.T) {
	const refused = 503
	f := startFleet(t)
	for _, form := range platform.EndlessForms {
		t.Run(string(form), func(t *testing.T) {
			f.SetEndlessWorkers(endlessShare, platform.FaultEndless(form, refused))
			f.callEndless(readAll)
			f.checkEndless(t)
		})
	}
}

// TestEndlessAnswersToForwardedTurns guards against owners of sessions, and edges that forward
// turns to them, that keep what a faulty worker sends.
func TestEndlessAnswersToForwardedTurns(t *testing.T) {
	f := startFleet(t)
	edges := f.Machines(platform.ClassEdge)
	callers := map[string]endlessCaller{"read": readAll, "not_read": readNothing}
	for _, status := range []int{200, 500} {
		for _, form := range platform.EndlessForms {
			for _, name := range base.SortedKeys(callers) {
				t.Run(fmt.Sprintf("%s_behind_%d_%s", form, status, name), func(t *testing.T) {
					f.SetEndlessWorkers(0)
					first := f.beginConversations(t, edges[0].Front)
					f.SetEndlessWorkers(endlessShare, platform.FaultEndless(form, status))
					f.continueEndless(edges[1].Front, first, callers[name])
					f.checkEndless(t)
				})
			}
		}
	}
}

// beginConversations has a turn answered in each of endlessCallers conversations, which the edge
// then owns, and returns their names.
func (f *testFleet) beginConversations(t *testing.T, front string) []turnNames {
	t.Helper()
	var begun []turnNames
	for range endlessCallers {
		for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); {
			names := turnNames{id: newID(), program: newID()}
			if status, err := f.sendTurn(front, retainedClass, fasthttp.MethodPost, []byte("hello"), names); err == nil && status == fasthttp.StatusOK {
				begun = append(begun, names)
				break
			}
		}
	}
	if len(begun) < endlessCallers {
		t.Fatalf("only %d of %d conversations began", len(begun), endlessCallers)
	}
	return begun
}

// continueEndless has each conversation go on at an edge, again and again for endlessTime.
func (f *testFleet) continueEndless(front string, conversations []turnNames, call endlessCaller) {
	var group sync.WaitGroup
	end := time.Now().Add(endlessTime)
	for _, first := range conversations {
		group.Add(1)
		go func() {
			defer group.Done()
			call(front, func() string { return f.turnHead(turnNames{id: newID(), program: first.program, previous: first.id}) }, end)
		}()
	}
	group.Wait()
}

// largestAnswerBytes is the largest body of an answer that is not a stream.
const largestAnswerBytes = 16 << 20

// TestLargestAnswerIsPassedOnWhole guards against bounds that a single legal answer meets, in calm.
func TestLargestAnswerIsPassedOnWhole(t *testing.T) {
	f := startFleet(t)
	f.SetAnswerBytes(largestAnswerBytes)
	for _, m := range f.Machines(platform.ClassEdge) {
		for _, class := range []string{repeatableClass, singleClass} {
			if size, err := f.answerSize(m.Front, f.clientHead(class)()); err != nil || size != largestAnswerBytes {
				t.Errorf("%s, %s: %d bytes, error %v", m.Name, class, size, err)
			}
		}
	}
	f.SetAnswerBytes(0)
	f.checkLimits()
}

// answerSize sends a request and returns the size of the body of its answer, if that is whole and
// a success.
func (f *testFleet) answerSize(front, head string) (int64, error) {
	conn, err := dialUntil(front, time.Now().Add(callTimeout))
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err = io.WriteString(conn, head+"Content-Length: 1\r\n\r\nx"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != fasthttp.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	return io.Copy(io.Discard, response.Body)
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
	f.checkOrdinaryCallers() // the list was read
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
	f.checkOrdinaryCallers() // the list was read
	for _, form := range platform.EndlessForms {
		t.Run(string(form), func(t *testing.T) {
			f.SetEndlessList(form)
			<-time.After(2 * endlessTime)
			f.checkEndless(t)
		})
	}
}
