package crowdtest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"fordseam/internal/standin/platform"

	"github.com/valyala/fasthttp"
)

const (
	// patience is how long a caller repeats a turn that was refused.
	patience = 40 * time.Second
	// retryPause is the time between two tries, as refusals advise.
	retryPause = 500 * time.Millisecond
)

// converseWithPatience has callers send turns of the largest size, each as often as patience
// allows. It returns the last answered turn of each conversation.
func (f *testFleet) converseWithPatience(front string) []turnNames {
	var group sync.WaitGroup
	last, answered := make([]turnNames, conversations), make([]int, conversations)
	deadline := time.Now().Add(patience)
	for caller := range conversations {
		group.Add(1)
		go func() {
			defer group.Done()
			program := newID()
			ticker := time.NewTicker(retryPause)
			defer ticker.Stop()
			for answered[caller] < turnsPerConversation && time.Now().Before(deadline) {
				names := turnNames{id: newID(), program: program, previous: last[caller].id}
				status, err := f.sendTurn(front, retainedClass, fasthttp.MethodPost, payload, names)
				if status == fasthttp.StatusOK && err == nil {
					last[caller] = names
					answered[caller]++
					continue
				}
				<-ticker.C
			}
		}()
	}
	group.Wait()
	f.t.Logf("turns answered by caller: %v", answered)
	return last
}

// TestStoredConversationsOutliveRestarts guards against storage that needs the memory for its
// history again when it starts, and against history that cannot be read back from the disk.
func TestStoredConversationsOutliveRestarts(t *testing.T) {
	f := startFleet(t)
	front := f.Machines(platform.ClassEdge)[0].Front
	last := f.converseWithPatience(front)
	for _, m := range f.Machines(platform.ClassStorage) {
		f.checkLimits()
		if err := f.Restart(m.Name); err != nil {
			t.Fatal(err)
		}
		f.checkOrdinaryCallers()
	}
	for caller, names := range last {
		if names.id == "" {
			continue // none of its turns was answered
		}
		f.mustAnswer(fmt.Sprintf("caller %d goes on", caller), func() (int, error) {
			return f.sendTurn(front, retainedClass, fasthttp.MethodPost, []byte("hello"), turnNames{id: newID(), program: names.program, previous: names.id})
		})
	}
	f.checkLimits()
}
