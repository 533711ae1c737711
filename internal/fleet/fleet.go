// Processes of a fleet: started with flags, their logs kept in files,
// signalled by the id they were started with.

package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"fordseam/internal/base"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Process is one machine of the fleet.
type Process struct {
	Name       string
	Role       string
	Zone       string
	Addr       string
	PublicAddr string
	DataDir    string

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	exitCode int
	// cpuTime is the processor time of ended lives, peak the most memory of any.
	cpuTime    time.Duration
	peakMemory int64
}

// Fleet is all of them.
type Fleet struct {
	Shape        Shape
	Dir          string
	BinDir       string
	Gateways     []*Process
	Cores        []*Process
	Storage      []*Process
	networkIndex int
	hostCount    int
}

// New lays a fleet out; nothing runs yet. The network number picks the
// loopback addresses, so that fleets do not meet.
func New(shape Shape, dir, binDir string, networkIndex int) (*Fleet, error) {
	f := &Fleet{Shape: shape, Dir: dir, BinDir: binDir, networkIndex: networkIndex}
	for index := 0; index < shape.Storage; index++ {
		if err := f.addProcess(&f.Storage, "storage", index); err != nil {
			return nil, err
		}
	}
	for index := 0; index < shape.Cores; index++ {
		if err := f.addProcess(&f.Cores, "core", index); err != nil {
			return nil, err
		}
	}
	for index := 0; index < shape.Gateways; index++ {
		if err := f.addProcess(&f.Gateways, "edge", index); err != nil {
			return nil, err
		}
	}
	return f, nil
}

const markerFile = ".fordseam-fleet"

// PrepareFolder gives an empty folder for a fleet. Only one that is empty or was
// a fleet's before is emptied.
func PrepareFolder(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil && !os.IsNotExist(err) {
		return errors.Trace(err)
	}
	if _, err := os.Stat(filepath.Join(dir, markerFile)); len(entries) > 0 && err != nil {
		return errors.Errorf("%s holds files that are not a fleet's; give an empty folder", dir)
	}
	if err := os.RemoveAll(dir); err != nil {
		return errors.Trace(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(filepath.Join(dir, markerFile), nil, 0o644))
}

// nextLoopbackAddr is a loopback address that no other machine has.
func (f *Fleet) nextLoopbackAddr() string {
	f.hostCount++
	return fmt.Sprintf("127.%d.%d.%d", 10+f.networkIndex/250%200, 1+f.networkIndex%250, f.hostCount)
}

func (f *Fleet) addProcess(processes *[]*Process, role string, index int) error {
	host := f.nextLoopbackAddr()
	process := &Process{Name: fmt.Sprintf("%s-%d", role, index+1), Role: role, Zone: f.Shape.Zones[index%len(f.Shape.Zones)]}
	var err error
	if process.Addr, err = freeAddr(host); err == nil {
		process.PublicAddr, err = freeAddr(host)
	}
	if role == "storage" {
		process.DataDir = filepath.Join(f.Dir, process.Name)
	}
	*processes = append(*processes, process)
	return errors.Trace(err)
}

// All lists every process, storage first.
func (f *Fleet) All() []*Process {
	return append(append(append([]*Process{}, f.Storage...), f.Cores...), f.Gateways...)
}

func (f *Fleet) seedAddrs() string {
	return strings.Join([]string{f.Cores[0].Addr, f.Cores[1].Addr, f.Storage[0].Addr}, ",")
}

// Start runs one process.
func (f *Fleet) Start(process *Process) error {
	args := []string{"--address", process.Addr, "--public-address", process.PublicAddr, "--zone", process.Zone}
	for _, seed := range strings.Split(f.seedAddrs(), ",") {
		args = append(args, "--seed", seed)
	}
	program := "fordseam-gateway"
	if process.Role != "edge" {
		program = "fordseam-controller"
		args = append([]string{"run", "--role", process.Role}, args...)
	}
	if process.DataDir != "" {
		args = append(args, "--data", process.DataDir)
	}
	return process.launch(exec.Command(filepath.Join(f.BinDir, program), args...), filepath.Join(f.Dir, process.Name+".log"))
}

// launch runs a command as the process, its log kept in a file.
func (p *Process) launch(command *exec.Cmd, logPath string) error {
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = logFile.Close()
		return errors.Trace(err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited = command, exited
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = logFile.Close()
		p.mu.Lock()
		p.exitCode = command.ProcessState.ExitCode()
		p.cpuTime += command.ProcessState.UserTime() + command.ProcessState.SystemTime()
		if resources, ok := command.ProcessState.SysUsage().(*syscall.Rusage); ok {
			p.peakMemory = max(p.peakMemory, resources.Maxrss<<10)
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process by its id.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// Wait gives the exit code once the process has ended; ok is false when it
// has not within limit.
func (p *Process) Wait(timeout time.Duration) (code int, ok bool) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return 0, true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-exited:
	case <-timer.C:
		// At a limit of none both may be there.
		select {
		case <-exited:
		default:
			return 0, false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitCode, true
}

// Running says that a life of the process has begun and not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends a process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(10 * time.Second)
}

// Stop kills all that still run.
func (f *Fleet) Stop() {
	for _, p := range f.All() {
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
}

// Ready asks a process whether it is ready.
func (p *Process) Ready() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+p.PublicAddr+"/readyz", time.Second)
	return err == nil && status == 200
}

// Counters reads a process's counters.
func (p *Process) Counters() map[string]int64 {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+p.PublicAddr+"/counters", time.Second)
	if err != nil {
		return nil
	}
	return decodeCounters(body)
}

// AwaitReady waits until all of a list are ready.
func AwaitReady(processes []*Process, timeout time.Duration) error {
	clock := base.NewRealClock()
	for _, process := range processes {
		for !process.Ready() {
			if exitCode, exited := process.Wait(0); exited {
				return errors.Errorf("%s ended with code %d", process.Name, exitCode)
			}
			if clock.Now() > timeout {
				return errors.Errorf("%s is not ready after %v", process.Name, timeout)
			}
			clock.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
