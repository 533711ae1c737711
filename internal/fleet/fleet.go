package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fordseam/internal/base"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Process is one machine of the fleet: a daemon that may be started several times,
// with its addresses, data directory and log file.
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
	// cpuTime is the total processor time of all ended runs of the process, and
	// peakMemory the largest memory use of any of them, in bytes.
	cpuTime    time.Duration
	peakMemory int64
}

// Fleet is a deployment whose machines are processes on loopback addresses.
type Fleet struct {
	Shape    Shape
	Dir      string
	BinDir   string
	Gateways []*Process
	Cores    []*Process
	Storage  []*Process
	// MemoryLimitBytes is the memory of each process; 0 leaves it to the process.
	MemoryLimitBytes int64
	networkIndex     int
	hostCount        int
}

// New allocates the names and addresses of a fleet; it starts nothing. networkIndex
// selects the loopback network, so that concurrent fleets do not share addresses.
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

// markerFile marks a directory as one that belongs to a fleet and may be emptied.
const markerFile = ".fordseam-fleet"

// PrepareDir creates an empty directory for a fleet. It deletes the content of an
// existing directory only if that belonged to a fleet before.
func PrepareDir(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil && !os.IsNotExist(err) {
		return errors.Trace(err)
	}
	if _, err := os.Stat(filepath.Join(dir, markerFile)); len(entries) > 0 && err != nil {
		return errors.Errorf("%s contains files that do not belong to a fleet; use an empty folder", dir)
	}
	if err := os.RemoveAll(dir); err != nil {
		return errors.Trace(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(filepath.Join(dir, markerFile), nil, 0o644))
}

// nextLoopbackAddr returns a loopback address that no other machine of the fleet has.
func (f *Fleet) nextLoopbackAddr() string {
	f.hostCount++
	return fmt.Sprintf("127.%d.%d.%d", 10+f.networkIndex/250%200, 1+f.networkIndex%250, f.hostCount)
}

// addProcess allocates the addresses of a machine and appends it to processes.
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

// All returns all processes: storage machines, cores and gateways, in this order.
func (f *Fleet) All() []*Process {
	return append(append(append([]*Process{}, f.Storage...), f.Cores...), f.Gateways...)
}

// seedAddrs returns the comma-separated addresses of two cores and a storage machine,
// through which processes join the fleet.
func (f *Fleet) seedAddrs() string {
	return strings.Join([]string{f.Cores[0].Addr, f.Cores[1].Addr, f.Storage[0].Addr}, ",")
}

// Start starts a process with the command line of its role.
func (f *Fleet) Start(process *Process) error {
	args := []string{"--address", process.Addr, "--public-address", process.PublicAddr, "--zone", process.Zone}
	if f.MemoryLimitBytes > 0 {
		args = append(args, "--memory-limit-bytes", strconv.FormatInt(f.MemoryLimitBytes, 10))
	}
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

// launch starts a command as the process and appends its output to the log file. The
// kernel kills it when this process ends.
func (p *Process) launch(command *exec.Cmd, logPath string) error {
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	command.Stdout, command.Stderr = logFile, logFile
	// A signal from the terminal is for this process alone, which then ends the others.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
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

// Signal sends a signal to the process by its process ID, if it was started.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// runningPID returns the ID of the process and the channel that is closed when it exits, or 0 if
// it was never started.
func (p *Process) runningPID() (pid int, exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0, nil
	}
	return p.command.Process.Pid, p.exited
}

// PID returns the process ID, and whether the process runs.
func (p *Process) PID() (pid int, running bool) {
	pid, _ = p.runningPID()
	return pid, p.Running()
}

// Wait waits until the process has exited and returns its exit code. ok is false if it
// has not exited within the timeout.
func (p *Process) Wait(timeout time.Duration) (exitCode int, ok bool) {
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
		// With a timeout of 0, the process may have exited although the timer won.
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

// Running reports whether the process was started and has not exited.
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

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(10 * time.Second)
}

// Stop kills all processes. It resumes frozen ones first.
func (f *Fleet) Stop() {
	for _, p := range f.All() {
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
}

// Ready reports whether the readiness check of the process succeeds.
func (p *Process) Ready() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+p.PublicAddr+"/readyz", time.Second)
	return err == nil && status == 200
}

// Counters returns the counters of the process, or nil if it does not respond.
func (p *Process) Counters() map[string]int64 {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+p.PublicAddr+"/counters", time.Second)
	if err != nil {
		return nil
	}
	return decodeCounters(body)
}

// WaitUntilReady waits until all processes are ready. It fails as soon as one of them
// has exited.
func WaitUntilReady(processes []*Process, timeout time.Duration) error {
	clock := base.NewRealClock()
	for _, process := range processes {
		for !process.Ready() {
			if exitCode, exited := process.Wait(0); exited {
				return errors.Errorf("%s exited with code %d", process.Name, exitCode)
			}
			if clock.Now() > timeout {
				return errors.Errorf("%s is not ready after %v", process.Name, timeout)
			}
			clock.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
