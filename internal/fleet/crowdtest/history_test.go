package crowdtest

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"fordseam/internal/standin/platform"

	"github.com/valyala/fasthttp"
)

const (
	// conversations is how many callers have a conversation of legal turns at once. Their turns
	// together are larger than the memory of a machine.
	conversations = 12
	// turnsPerConversation is how many turns of the largest legal size each of them sends.
	turnsPerConversation = 6
	// requestsInARow is how many requests each caller of a crowd sends one after another.
	requestsInARow = 6
)

// converse has callers send turns of the largest size, each after the answer to the one before
// it, or until three in a row were refused. front returns the edge for a turn.
func (f *testFleet) converse(front func(caller, turn int) string) {
	var group sync.WaitGroup
	answered := make([]int, conversations)
	for caller := range conversations {
		group.Add(1)
		go func() {
			defer group.Done()
			program, previous, refusals := newID(), "", 0
			for turn := 0; turn < turnsPerConversation && refusals < triesPerClient; {
				names := turnNames{id: newID(), program: program, previous: previous}
				status, err := f.sendTurn(front(caller, turn), retainedClass, fasthttp.MethodPost, payload, names)
				if status != fasthttp.StatusOK || err != nil {
					refusals++
					continue
				}
				previous, refusals = names.id, 0
				answered[caller]++
				turn++
			}
		}()
	}
	group.Wait()
	f.t.Logf("turns answered by caller: %v", answered)
}

// TestCrowdOfConversations guards against history that is kept in memory, at edges and at all
// copies in storage.
func TestCrowdOfConversations(t *testing.T) {
	f := startFleet(t)
	front := f.Machines(platform.ClassEdge)[0].Front
	f.converse(func(int, int) string { return front })
	f.checkOrdinaryCallers()
	f.checkLimits()
}

// TestCrowdOfForwardedTurns guards against an owner that keeps all turns which other edges
// forward to it.
func TestCrowdOfForwardedTurns(t *testing.T) {
	f := startFleet(t)
	edges := f.Machines(platform.ClassEdge)
	f.converse(func(_, turn int) string { return edges[min(turn, len(edges)-1)].Front })
	f.checkOrdinaryCallers()
	f.checkLimits()
}

// TestCrowdOfLegalRequests guards against an edge that holds all large requests at once.
func TestCrowdOfLegalRequests(t *testing.T) {
	f := startFleet(t)
	front := f.Machines(platform.ClassEdge)[0].Front
	var group sync.WaitGroup
	for range crowdSize {
		group.Add(1)
		go func() {
			defer group.Done()
			for range requestsInARow {
				_, _ = f.send(front, repeatableClass, fasthttp.MethodPost, payload, "")
			}
		}()
	}
	group.Wait()
	f.checkOrdinaryCallers()
	f.checkLimits()
}

const (
	// silentReaders is how many clients ask for a stream and never read it.
	silentReaders = 200
	// silentTime is how long they stay connected before the check.
	silentTime = 3 * time.Second
)

// TestCrowdThatNeverReads guards against answers that pile up for clients which do not read.
func TestCrowdThatNeverReads(t *testing.T) {
	f, clients := startFleet(t), &crowd{}
	defer clients.close()
	front, head := f.Machines(platform.ClassEdge)[0].Front, f.clientHead(retainedClass)
	for range silentReaders {
		conn, err := clients.connect(front)
		if err != nil {
			continue
		}
		for range requestsInARow {
			if _, err := io.WriteString(conn, head()+"Content-Length: 5\r\n\r\nhello"); err != nil {
				break
			}
		}
	}
	<-time.After(silentTime)
	f.checkOrdinaryCallers()
	f.checkLimits()
}

// endlessHeads is how many clients send the beginning of a request and nothing more: more than
// a machine has descriptors.
const endlessHeads = 4200

// longHead is a head that is nearly as long as heads may be.
var longHead = "POST / HTTP/1.1\r\nHost: crowd.example\r\nEndless: " + strings.Repeat("x", 60<<10)

// TestCrowdOfLongHeads guards against buffers for heads that nobody counts.
func TestCrowdOfLongHeads(t *testing.T) {
	f, clients := startFleet(t), &crowd{}
	defer clients.close()
	front := f.Machines(platform.ClassEdge)[0].Front
	for range endlessHeads {
		if conn, err := clients.connect(front); err == nil {
			_, _ = io.WriteString(conn, longHead)
		}
	}
	f.checkOrdinaryCallers()
	f.checkLimits()
}

// TestCrowdOfEndlessHeads guards against a port that takes nobody else while clients keep all
// connections that it can have.
func TestCrowdOfEndlessHeads(t *testing.T) {
	f, clients := startFleet(t), &crowd{}
	defer clients.close()
	front := f.Machines(platform.ClassEdge)[0].Front
	for range endlessHeads {
		if conn, err := clients.connect(front); err == nil {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: crowd.example\r\nEndless: ")
		}
	}
	f.checkOrdinaryCallers()
	f.checkLimits()
}
