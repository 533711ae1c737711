// Hollow nodes: many gateways to a process whose membership, feed and other
// duties are real and which serve nobody, beside real processes of cores and
// storage machines. It measures what a node and a core spend at rest on a fleet
// of that size: processor time, memory and messages.

package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/node"
	"fordseam/internal/relay"

	"github.com/juju/errors"
)

// ticksPerSecond is the kernel's unit of processor time in /proc.
const ticksPerSecond = 100

// spent is what a process has used so far.
type spent struct {
	processor time.Duration
	memory    int64
	messages  int64
}

// Spent reads a running process's use.
func (p *Process) spent() spent {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	now := spent{messages: p.Counters()["messages_sent"]}
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		_, rest, _ := strings.Cut(string(stat), ") ")
		if fields := strings.Fields(rest); len(fields) > 21 {
			user, _ := strconv.ParseInt(fields[11], 10, 64)
			system, _ := strconv.ParseInt(fields[12], 10, 64)
			pages, _ := strconv.ParseInt(fields[21], 10, 64)
			now.processor = time.Duration(user+system) * time.Second / ticksPerSecond
			now.memory = pages * int64(os.Getpagesize())
		}
	}
	return now
}

func ownTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func ownMemory() int64 {
	runtime.GC()
	raw, _ := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// Hollow runs a fleet of so many hollow gateways and reports its use at rest.
func (f *Fleet) Hollow(out io.Writer, hollow int, settle, span time.Duration) error {
	for _, p := range append(append([]*Process{}, f.Storage...), f.Cores...) {
		if err := f.Start(p); err != nil {
			return err
		}
	}
	clock := base.NewRealClock()
	addrs := base.Map(f.Storage, func(p *Process) string { return p.Addr })
	if err := retry(clock, 30*time.Second, func() error {
		return Send("POST", f.Cores[0].Public, "/v1/operator/init", map[string]any{"disks": addrs}, nil)
	}); err != nil {
		return err
	}
	if err := retry(clock, 30*time.Second, func() error {
		return Send("POST", f.Cores[0].Public, "/v1/operator/settings/apply",
			map[string]any{"change": "first", "based_on": 0, "document": json.RawMessage(f.Shape.Settings())}, nil)
	}); err != nil {
		return err
	}
	var parts []*Process
	defer func() {
		for _, p := range parts {
			p.Kill()
		}
	}()
	for first := 0; first < hollow; first += hollowMost {
		part := &HollowPart{Addrs: []string{}, Zones: f.Shape.Zones, Seeds: strings.Split(f.seeds(), ","), Settle: settle + hollowApart*time.Duration((hollow-first-1)/hollowMost), Span: span}
		for place := first; place < min(hollow, first+hollowMost); place++ {
			addr, err := freeAddr(f.hollowHost(place))
			if err != nil {
				return errors.Trace(err)
			}
			part.Addrs = append(part.Addrs, addr)
		}
		p := &Process{Name: fmt.Sprintf("hollow-%d", first/hollowMost+1)}
		command := exec.Command(filepath.Join(f.Binaries, "fordseam-fleet"), "hollow", "--part", string(base.Encode(part)))
		if err := p.launch(command, filepath.Join(f.Folder, p.Name+".log")); err != nil {
			return err
		}
		if parts = append(parts, p); first+hollowMost < hollow {
			clock.Sleep(hollowApart)
		}
	}
	clock.Sleep(settle + time.Second)
	real := append(append([]*Process{}, f.Cores...), f.Storage...)
	before := map[string]spent{}
	for _, p := range real {
		before[p.Name] = p.spent()
	}
	began := clock.Now()
	clock.Sleep(span)
	took := (clock.Now() - began).Seconds()
	after := map[string]spent{}
	for _, p := range real {
		after[p.Name] = p.spent()
	}
	var sum HollowUse
	for _, p := range parts {
		code, ended := p.Wait(settle + span)
		raw, err := os.ReadFile(filepath.Join(f.Folder, p.Name+".log"))
		var use HollowUse
		if !ended || code != 0 || err != nil || json.Unmarshal(raw, &use) != nil {
			return errors.Errorf("%s ended with code %d: %s", p.Name, code, raw)
		}
		sum.Ready, sum.Processor, sum.Memory, sum.Messages = sum.Ready+use.Ready, sum.Processor+use.Processor, sum.Memory+use.Memory, sum.Messages+use.Messages
	}
	count := float64(max(1, hollow))
	fmt.Fprintf(out, "%d nodes: %d hollow gateways (%d ready), %d cores, %d storage machines, %.0f s at rest\n", hollow+len(real), hollow, sum.Ready, len(f.Cores), len(f.Storage), took)
	fmt.Fprintf(out, "  a hollow gateway: %.2f%% of a core, %.2f MB, %.1f messages sent a second\n", 100*sum.Processor.Seconds()/span.Seconds()/count, float64(sum.Memory)/count/1e6, float64(sum.Messages)/span.Seconds()/count)
	for _, p := range real {
		now, was := after[p.Name], before[p.Name]
		fmt.Fprintf(out, "  %-10s %.2f%% of a core, %3d MB, %.1f messages sent a second\n", p.Name, 100*(now.processor-was.processor).Seconds()/took, now.memory>>20, float64(now.messages-was.messages)/took)
	}
	return nil
}

// hollowMost is how many hollow gateways share a process, whose descriptors
// are bounded.
const hollowMost = 40

// hollowApart is the time between two such processes' starts: what a machine
// does when hundreds join at once says little of a fleet at rest.
const hollowApart = 2 * time.Second

// hollowHost is a loopback address of a hollow gateway.
func (f *Fleet) hollowHost(place int) string {
	return fmt.Sprintf("127.%d.%d.%d", 220+place/200, 1+f.network%250, 1+place%200)
}

// HollowPart is one process's share of the hollow gateways.
type HollowPart struct {
	Addrs        []string
	Zones        []string
	Seeds        []string
	Settle, Span time.Duration
}

// HollowUse is what a part came to over its span; memory is what its gateways
// added to the process's.
type HollowUse struct {
	Ready     int
	Processor time.Duration
	Memory    int64
	Messages  int64
}

// Run starts a part's gateways and writes their use at rest.
func (h *HollowPart) Run(out io.Writer) error {
	clock := base.NewRealClock()
	memory := ownMemory()
	var all []*node.Running
	for place, addr := range h.Addrs {
		one, err := node.Open(&node.Place{Role: "edge", Addr: addr, Public: addr, Zone: h.Zones[place%len(h.Zones)], Seeds: h.Seeds}, &relay.Names{})
		if err != nil {
			return errors.Trace(err)
		}
		all = append(all, one)
		one.Start()
	}
	clock.Sleep(h.Settle)
	use := HollowUse{Memory: ownMemory() - memory}
	sent := func() (sum int64) {
		for _, one := range all {
			sum += one.Env.Counters.Frame()["messages_sent"]
		}
		return sum
	}
	used, messages := ownTime(), sent()
	clock.Sleep(h.Span)
	use.Processor, use.Messages = ownTime()-used, sent()-messages
	for _, one := range all {
		if one.Process.Ready() == nil {
			use.Ready++
		}
	}
	clock.Sleep(3 * time.Second) // until the others have measured too
	_, err := out.Write(base.Encode(use))
	return errors.Trace(err)
}
