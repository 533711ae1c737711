// Package crowdtest sends crowds of misbehaving clients to a small fleet of real processes, and
// checks what does not depend on the speed of the machine: that processes live, that their
// memory and descriptors stay within the limits that they were given, and that ordinary
// requests are answered while the crowd stays connected. Its daemons are built without the race
// detector, and its tests must not run beside others.
package crowdtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"fordseam/internal/fleet"
	"fordseam/internal/fleet/fleettest"
	"fordseam/internal/standin/platform"

	"github.com/valyala/fasthttp"
)

const (
	// memoryMB is the memory of each machine: that of the smallest machine that pages describe.
	memoryMB = 160
	// bodyLimit is the largest body that the configuration in force allows, in bytes.
	bodyLimit = 4 << 20
	// setUpTimeout bounds the start of a fleet.
	setUpTimeout = time.Minute
	// answerTimeout bounds the time in which ordinary callers, who retry, must be answered.
	answerTimeout = 30 * time.Second
)

// Classes of requests of the stand-in deployment, by the kind of their routes.
const (
	repeatableClass = "receipt"
	singleClass     = "posting"
	retainedClass   = "lookup"
)

// testFleet is a small fleet under test.
type testFleet struct {
	*fleet.PlatformFleet
	t *testing.T
}

// startFleet starts a fleet whose machines have memoryMB each.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	programs, err := fleettest.BuildPlainDaemons()
	if err != nil {
		t.Fatal(err)
	}
	started, err := fleet.StartPlatformFleet(&fleet.PlatformPlan{Site: platform.Deployments()["small"], Seed: 1, SetUpTimeout: setUpTimeout, MemoryMB: memoryMB,
		Dir: fleettest.TempDir(t, "/dev/shm"), WorkDir: t.TempDir(), Log: &strings.Builder{},
		Commands: map[string]string{platform.ClassEdge: programs + "/fordseam-gateway platform", platform.ClassCore: programs + "/fordseam-controller core", platform.ClassStorage: programs + "/fordseam-controller storage"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Stop)
	return &testFleet{PlatformFleet: started, t: t}
}

// checkLimits fails the test if a process has ended by itself, or has used more memory or
// descriptors than its machine has.
func (f *testFleet) checkLimits() {
	f.t.Helper()
	for _, exit := range f.UnexpectedExits() {
		f.t.Error(exit)
	}
	for _, m := range f.Machines("") {
		peak, err := peakMemory(m.PID)
		if err != nil {
			f.t.Errorf("%s: %v", m.Name, err)
			continue
		}
		f.t.Logf("%s: peak of %d MB", m.Name, peak/1e6)
		if peak > memoryMB*1e6 {
			f.t.Errorf("%s: used %d MB, its machine has %d MB", m.Name, peak/1e6, memoryMB)
		}
		if open := openDescriptors(m.PID); open > platform.MaxDescriptors(m.Class) {
			f.t.Errorf("%s: has %d open descriptors, more than %d", m.Name, open, platform.MaxDescriptors(m.Class))
		}
	}
}

// peakMemory returns the peak resident memory of a process in bytes.
func peakMemory(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no peak of memory", pid)
}

// openDescriptors returns how many descriptors a process has open.
func openDescriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// checkOrdinaryCallers fails the test unless each edge answers an ordinary request and an
// ordinary turn of a new conversation, and each core tells the configuration.
func (f *testFleet) checkOrdinaryCallers() {
	f.t.Helper()
	for _, m := range f.Machines(platform.ClassEdge) {
		f.mustAnswer(m.Name+", a repeatable request", func() (int, error) { return f.send(m.Front, repeatableClass, fasthttp.MethodGet, nil, "") })
		f.mustAnswer(m.Name+", a turn", func() (int, error) { return f.send(m.Front, retainedClass, fasthttp.MethodPost, []byte("hello"), "") })
		f.mustAnswer(m.Name+", a probe", func() (int, error) { return get(m.Readiness, platform.PathReadiness) })
	}
	for _, m := range f.Machines(platform.ClassCore) {
		f.mustAnswer(m.Name+", the configuration", func() (int, error) { return get(m.Control, platform.PathConfig) })
	}
}

// mustAnswer retries a call until its status is 200, and fails the test if it never is.
func (f *testFleet) mustAnswer(what string, call func() (int, error)) {
	f.t.Helper()
	const pause = 200 * time.Millisecond
	var status int
	var err error
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); <-ticker.C {
		if status, err = call(); err == nil && status == fasthttp.StatusOK {
			return
		}
	}
	f.t.Errorf("%s: not answered, at last with status %d, error %v", what, status, err)
}

// get sends a GET request on a connection of its own.
func get(address, path string) (int, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + path)
	return do(request)
}

// callTimeout bounds one call of an ordinary caller.
const callTimeout = 10 * time.Second

// do sends a request on a connection of its own and returns the status once the whole answer
// was read.
func do(request *fasthttp.Request) (int, error) {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxResponseBodySize: bodyLimit}
	defer client.CloseIdleConnections()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetConnectionClose()
	err := client.DoTimeout(request, response, callTimeout)
	return response.StatusCode(), err
}

// send sends a request of a class to an edge's public port. previous is the turn that it
// continues, if any; a turn without one begins a program of its own.
func (f *testFleet) send(front, class, method string, body []byte, previous string) (int, error) {
	return f.sendTurn(front, class, method, body, turnNames{id: newID(), program: newID(), previous: previous})
}

// turnNames are the names in the headers of a request.
type turnNames struct{ id, program, previous string }

// sendTurn is send for a turn of a given program.
func (f *testFleet) sendTurn(front, class, method string, body []byte, names turnNames) (int, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	f.setHeader(&request.Header, front, class, method, names)
	request.SetRequestURI("http://" + front + f.Route(class).Prefix + "x")
	request.Header.SetHost(f.Route(class).Host)
	request.UseHostHeader = true
	request.SetBody(body)
	return do(request)
}

// setHeader sets the header of a request of a class.
func (f *testFleet) setHeader(header *fasthttp.RequestHeader, front, class, method string, names turnNames) {
	header.SetMethod(method)
	for _, field := range f.headerFields(class, names) {
		header.Set(field[0], field[1])
	}
}

// headerFields returns the header fields of a request of a class, without those that concern
// its body.
func (f *testFleet) headerFields(class string, names turnNames) [][2]string {
	fields := [][2]string{{platform.HeaderID, names.id}, {platform.HeaderDeadline, "6000"}}
	if class != retainedClass {
		return fields
	}
	fields = append(fields, [][2]string{{platform.HeaderProgram, names.program}, {platform.HeaderSession, names.program}, {platform.HeaderModel, f.Model()}, {platform.HeaderTokens, "40,20"},
		{platform.HeaderPrompt, names.program + ":40"}, {platform.HeaderBudget, "100000"}}...)
	if names.previous != "" {
		fields = append(fields, [2]string{platform.HeaderPrevious, names.previous})
	}
	return fields
}
