// Package environmenttest runs single daemons as real processes while something that they
// need from their machine fails for a moment. It is a test binary of its own, so that it does
// not share the machine with tests of fleets.
package environmenttest

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fordseam/internal/fleet/fleettest"
	"fordseam/internal/standin/platform"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// startTimeout is how long a daemon, built with the race detector, may take to serve or to
// stop on a busy machine.
const startTimeout = 30 * time.Second

// pollInterval is the time between two looks at a process.
const pollInterval = 10 * time.Millisecond

// daemon is one process, alone on its own loopback address.
type daemon struct {
	t        *testing.T
	command  *exec.Cmd
	settings *platform.Settings
	logPath  string
	exited   chan struct{}
}

// classes are the machine classes, each with a role of its own.
var classes = []string{platform.ClassEdge, platform.ClassCore, platform.ClassStorage}

// nextHost numbers the loopback addresses of this test binary.
var nextHost atomic.Int64

// newDaemon prepares a daemon of a class without starting it.
func newDaemon(t *testing.T, class string) *daemon {
	t.Helper()
	programs, err := fleettest.BuildDaemons()
	if err != nil {
		t.Fatal(err)
	}
	ip := fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()/250%100, 1+os.Getpid()%250, nextHost.Add(1))
	site, dir := platform.Deployments()["small"], fleettest.TempDir(t, "/dev/shm")
	served := map[string]string{platform.ClassEdge: platform.ClassEdge, platform.ClassCore: "control", platform.ClassStorage: platform.ClassStorage}[class]
	d := &daemon{t: t, logPath: filepath.Join(dir, "log"), settings: &platform.Settings{Node: class + "-1", Role: "my-" + class, Class: class, Serves: served, IP: ip, Zone: "zone-a",
		Region: "region", Zones: []string{"zone-a"}, Front: ip + ":8149", Readiness: ip + ":8141", Control: ip + ":8144", Ports: [2]int{7380, 7395}, Seeds: []string{ip + ":8144"},
		Bootstrap: true, LossCounted: class != platform.ClassEdge, FaultTolerance: 1, Bounds: site.Bounds, ListAddress: ip + ":9999", ListCallsPerSecond: site.ListCallsPerSecond}}
	if class != platform.ClassEdge {
		d.settings.DataDir = filepath.Join(dir, "data")
		if err := os.Mkdir(d.settings.DataDir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	settingsPath := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(settingsPath, []byte(d.settings.YAML()), 0o644); err != nil {
		t.Fatal(err)
	}
	commandLine := map[string][]string{platform.ClassEdge: {"fordseam-gateway", "platform"}, platform.ClassCore: {"fordseam-controller", "core"}, platform.ClassStorage: {"fordseam-controller", "storage"}}[class]
	d.command = exec.Command(filepath.Join(programs, commandLine[0]), commandLine[1])
	d.command.Dir = dir
	d.command.Env = []string{platform.SettingsVariable + "=" + settingsPath}
	return d
}

// start starts the daemon, which writes its log to a file, or to output if that is not nil.
func (d *daemon) start(output *os.File) {
	d.t.Helper()
	if output == nil {
		file, err := os.Create(d.logPath)
		if err != nil {
			d.t.Fatal(err)
		}
		defer file.Close()
		output = file
	}
	d.command.Stdout, d.command.Stderr = output, output
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	exited := make(chan struct{})
	d.exited = exited
	go func() {
		_ = d.command.Wait()
		close(exited)
	}()
	d.t.Cleanup(func() {
		d.signal(syscall.SIGKILL)
		<-exited
	})
}

func (d *daemon) signal(signal syscall.Signal) { _ = d.command.Process.Signal(signal) }

// log returns what the daemon has written to its log file.
func (d *daemon) log() string {
	content, _ := os.ReadFile(d.logPath)
	return string(content)
}

// waitUntil waits until the condition is true, and fails the test if the daemon ends before
// or if it takes too long.
func (d *daemon) waitUntil(what string, condition func() bool) {
	d.t.Helper()
	deadline := time.After(startTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-d.exited:
			d.t.Fatalf("%s: ended (%v) before %s\n%s", d.settings.Node, d.command.ProcessState, what, d.log())
		case <-deadline:
			d.t.Fatalf("%s: not %s within %v\n%s", d.settings.Node, what, startTimeout, d.log())
		case <-ticker.C:
		}
	}
}

// addresses returns the addresses on which the daemon listens.
func (d *daemon) addresses() []string {
	internal := fmt.Sprintf("%s:%d", d.settings.IP, d.settings.Ports[0])
	switch d.settings.Class {
	case platform.ClassEdge:
		return []string{internal, d.settings.Front, d.settings.Readiness}
	case platform.ClassCore:
		return []string{fmt.Sprintf("%s:%d", d.settings.IP, d.settings.Ports[0]+1), d.settings.Control}
	}
	return []string{internal}
}

// answers reports whether a new connection to the address gets an answer in HTTP.
func answers(address string) bool {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/counters")
	request.SetConnectionClose()
	return client.DoTimeout(request, response, 2*time.Second) == nil
}

// serves reports whether all addresses of the daemon answer.
func (d *daemon) serves() bool {
	return !slices.ContainsFunc(d.addresses(), func(address string) bool { return !answers(address) })
}

// stop stops the daemon with SIGTERM and checks that it exits with 0.
func (d *daemon) stop() {
	d.t.Helper()
	d.signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(startTimeout):
		d.t.Fatalf("%s: has not stopped\n%s", d.settings.Node, d.log())
	}
	if code := d.command.ProcessState.ExitCode(); code != 0 {
		d.t.Fatalf("%s: stopped with %v\n%s", d.settings.Node, d.command.ProcessState, d.log())
	}
}

// eachClass runs a test for a daemon of each class, beside other tests: most of the time is
// spent waiting for daemons to drain.
func eachClass(t *testing.T, test func(t *testing.T, class string)) {
	t.Parallel()
	for _, class := range classes {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			test(t, class)
		})
	}
}

// TestProcessOutlivesTheReaderOfItsLog guards against processes that end by SIGPIPE.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	eachClass(t, func(t *testing.T, class string) {
		reader, writer, err := os.Pipe()
		is.New(t).NoErr(err)
		is.New(t).NoErr(reader.Close())
		d := newDaemon(t, class)
		d.start(writer)
		is.New(t).NoErr(writer.Close())
		d.waitUntil("serving", d.serves)
		d.stop()
	})
}

// TestProcessServesWhileNobodyReadsItsLog guards against processes that block on a full pipe.
func TestProcessServesWhileNobodyReadsItsLog(t *testing.T) {
	eachClass(t, func(t *testing.T, class string) {
		reader, writer, err := os.Pipe()
		is.New(t).NoErr(err)
		defer reader.Close()
		fillPipe(t, writer)
		d := newDaemon(t, class)
		d.start(writer)
		is.New(t).NoErr(writer.Close())
		d.waitUntil("serving", d.serves)
		d.stop()
	})
}

// fillPipe writes to a pipe until it takes nothing more, and leaves it in blocking mode.
func fillPipe(t *testing.T, writer *os.File) {
	t.Helper()
	is := is.New(t)
	fd := int(writer.Fd()) // sets blocking mode
	is.NoErr(unix.SetNonblock(fd, true))
	block := make([]byte, 4096)
	for {
		if _, err := unix.Write(fd, block); err != nil {
			is.Equal(err, unix.EAGAIN)
			break
		}
	}
	is.NoErr(unix.SetNonblock(fd, false))
}

// startsUntilSignal is how many starts of a daemon are interrupted by a signal.
const startsUntilSignal = 5

// TestHangupDuringStartIsIgnored guards against processes that SIGHUP ends before main runs.
func TestHangupDuringStartIsIgnored(t *testing.T) {
	eachClass(t, func(t *testing.T, class string) {
		for range startsUntilSignal {
			d := newDaemon(t, class)
			d.start(nil)
			d.waitUntil("running threads", func() bool { return d.threadCount() > 1 })
			d.signal(syscall.SIGHUP)
			d.waitUntil("serving", d.serves)
			d.stop()
		}
	})
}

// threadCount returns how many threads the process has. The second one starts before any
// package of the program is initialised.
func (d *daemon) threadCount() int {
	tasks, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", d.command.Process.Pid))
	return len(tasks)
}

// TestProcessWaitsForAHeldPort guards against processes that end because another socket holds
// one of their ports for a moment.
func TestProcessWaitsForAHeldPort(t *testing.T) {
	eachClass(t, func(t *testing.T, class string) {
		for index := range newDaemon(t, class).addresses() {
			d := newDaemon(t, class)
			holder, err := net.Listen("tcp", d.addresses()[index])
			is.New(t).NoErr(err)
			d.start(nil)
			d.waitUntil("waiting for its port", func() bool { return strings.Contains(d.log(), "address already in use") })
			is.New(t).NoErr(holder.Close())
			d.waitUntil("serving", d.serves)
			d.stop()
		}
	})
}

// TestProcessThatWaitsForItsPortStops guards against a wait that SIGTERM does not end.
func TestProcessThatWaitsForItsPortStops(t *testing.T) {
	eachClass(t, func(t *testing.T, class string) {
		for index := range newDaemon(t, class).addresses() {
			d := newDaemon(t, class)
			holder, err := net.Listen("tcp", d.addresses()[index])
			is.New(t).NoErr(err)
			defer holder.Close()
			d.start(nil)
			d.waitUntil("waiting for its port", func() bool { return strings.Contains(d.log(), "address already in use") })
			d.stop()
		}
	})
}

// spareDescriptors is how many descriptors a process may still open when its limit is lowered.
const spareDescriptors = 8

// TestProcessServesAgainAfterDescriptorsRanOut guards against listeners that end for good with
// the first connection for which no descriptor is left.
func TestProcessServesAgainAfterDescriptorsRanOut(t *testing.T) {
	eachClass(t, func(t *testing.T, class string) {
		for index := range newDaemon(t, class).addresses() {
			is := is.New(t)
			d := newDaemon(t, class)
			d.start(nil)
			d.waitUntil("serving", d.serves)
			pid := d.command.Process.Pid
			var former unix.Rlimit
			is.NoErr(unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &former))
			limit := d.descriptorCount() + spareDescriptors
			is.NoErr(unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(limit), Max: former.Max}, nil))
			var conns []net.Conn
			for range 4 * spareDescriptors {
				conn, err := net.Dial("tcp", d.addresses()[index])
				is.NoErr(err)
				conns = append(conns, conn)
			}
			d.waitUntil("out of descriptors", func() bool { return d.descriptorCount() >= limit })
			for _, conn := range conns {
				is.NoErr(conn.Close())
			}
			d.waitUntil("serving", d.serves)
			d.stop()
		}
	})
}

// descriptorCount returns how many descriptors the process has open.
func (d *daemon) descriptorCount() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
	return len(entries)
}
