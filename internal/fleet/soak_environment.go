package fleet

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Troubles of what a process needs from its machine.
const (
	heldPortsTrouble      = "held_ports"
	fewDescriptorsTrouble = "few_descriptors"
)

// survivableTroubles are the kinds of trouble during which a process must not end by itself.
var survivableTroubles = map[string]bool{heldPortsTrouble: true, fewDescriptorsTrouble: true}

// restartWithHeldPorts stops the process of an edge machine as planned work, and starts it again
// while other sockets hold its ports for a time. It gets SIGHUP meanwhile.
func (run *platformRun) restartWithHeldPorts(m *machine, duration time.Duration) error {
	end := run.recordTrouble(heldPortsTrouble, m, func(trouble *platform.Trouble) { trouble.Term = true })
	defer end()
	run.stopGracefully(m)
	var holders []net.Listener
	for _, port := range []int{run.ports.internalPorts[0], run.ports.frontPort, run.ports.readinessPort} {
		// Another lane may have started the process, which then has its ports.
		if holder, err := net.Listen("tcp", run.addrOf(m, port)); err == nil {
			holders = append(holders, holder)
		}
	}
	err := run.start(m)
	run.clock.Sleep(duration / 2)
	m.Signal(syscall.SIGHUP)
	run.clock.Sleep(duration / 2)
	for _, holder := range holders {
		_ = holder.Close()
	}
	return err
}

// spareDescriptors is how many descriptors a limited process may still open.
const spareDescriptors = 4

// limitDescriptors leaves the process of a machine hardly any descriptors for a time.
func (run *platformRun) limitDescriptors(m *machine, duration time.Duration) error {
	end := run.recordTrouble(fewDescriptorsTrouble, m, nil)
	defer end()
	pid, exited := m.runningPID()
	if !m.Running() {
		return nil
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return nil // it has exited
	}
	var former unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &former); err != nil {
		return nil // it has exited
	}
	limited := unix.Rlimit{Cur: uint64(len(entries) + spareDescriptors), Max: former.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limited, nil); err != nil {
		return errors.Annotatef(err, "%s: limit descriptors", m.Name)
	}
	select {
	case <-exited:
		return nil
	case <-time.After(duration):
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &former, nil); err != nil && err != unix.ESRCH {
		return errors.Annotatef(err, "%s: restore the limit of descriptors", m.Name)
	}
	return nil
}
