package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"syscall"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"

	"github.com/valyala/fasthttp"
)

// laneRandom returns a random source that follows from the seed and a name.
func (run *platformRun) laneRandom(name string) *rand.Rand {
	return rand.New(rand.NewPCG(run.plan.Seed, base.Hash64(name)))
}

// addBreach records a violation that the harness itself observed.
func (run *platformRun) addBreach(rule, format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.observedBreaches = append(run.observedBreaches, platform.Breach{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// checkAfterSeries checks what must hold once all machines are back: a change is
// acknowledged in time, and also while any one storage machine is stopped.
func (run *platformRun) checkAfterSeries(ctx context.Context) {
	bounds := run.plan.Site.Bounds
	if order := run.changeConfig(); !order.Acked() || order.Ended-order.Sent > run.ackLimit(order) {
		run.addBreach("CONFIG", "after the series, a change was not acknowledged within %v: status %d after %v", run.ackLimit(order), order.Status, (order.Ended - order.Sent).Round(time.Millisecond))
	}
	for _, m := range run.machinesOf(platform.ClassStorage) {
		end := run.recordTrouble("node_freeze", m, nil)
		m.Signal(syscall.SIGSTOP)
		order := run.changeConfig()
		m.Signal(syscall.SIGCONT)
		end()
		// The pages stretch a bound by Stretch while the core is not settled.
		if limit := run.ackLimit(order) + bounds.Stretch; !order.Acked() || order.Ended-order.Sent > limit {
			run.addBreach("CONFIG", "after the series, with %s stopped, a change was not acknowledged within %v: status %d after %v", m.Name, limit, order.Status, (order.Ended - order.Sent).Round(time.Millisecond))
		}
		if !run.sleepUnlessDone(ctx, bounds.CatchUp) {
			return
		}
	}
}

// ackTimePerRoute is added to the bound of an acknowledgement for each route.
const ackTimePerRoute = 3 * time.Millisecond

// ackLimit returns how long the acknowledgement of a configuration may take.
func (run *platformRun) ackLimit(order *platform.Order) time.Duration {
	return run.plan.Site.Bounds.Ack + time.Duration(len(order.Config.Routes))*ackTimePerRoute
}

// resources are what a process uses, by the names of its counters.
type resources struct {
	goroutines, descriptors, residentBytes int64
}

// Slack of the resources of a process after a series against those of its class before it.
const (
	// goroutineSlack covers the connections of clients and nodes that are open just then.
	goroutineSlack = 400
	// descriptorSlack covers the connections to workers and of clients that are open just
	// then: clients keep up to ten connections in each zone.
	descriptorSlack = 400
	// residentSlack covers what the caches of turns may hold.
	residentSlack = 96 << 20
)

// resourcesOf reads what a process uses; ok is false if it does not answer.
func (run *platformRun) resourcesOf(m *machine) (used resources, ok bool) {
	status, body, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s/counters", run.addrOf(m, run.ports.internalPorts[0])), time.Second)
	if err != nil || status != fasthttp.StatusOK {
		return resources{}, false
	}
	counters := decodeCounters(body)
	return resources{counters["goroutines"], counters["open_descriptors"], counters["resident_bytes"]}, true
}

// resourcesByClass returns the most that a process of each class uses.
func (run *platformRun) resourcesByClass() map[string]resources {
	byClass := map[string]resources{}
	for _, m := range run.machinesOf("") {
		if used, ok := run.resourcesOf(m); ok {
			most := byClass[m.class]
			byClass[m.class] = resources{max(most.goroutines, used.goroutines), max(most.descriptors, used.descriptors), max(most.residentBytes, used.residentBytes)}
		}
	}
	return byClass
}

// checkResources compares what each process uses with what its class used before the
// series. Programs that did not tell it before are left out.
func (run *platformRun) checkResources(before map[string]resources) {
	for _, m := range run.machinesOf("") {
		if _, told := before[m.class]; !told {
			continue
		}
		used, ok := run.resourcesOf(m)
		if !ok {
			run.addBreach("RESOURCES", "%s does not tell what it uses", m.Name)
			continue
		}
		for _, row := range []struct {
			name                string
			used, before, slack int64
		}{
			{"goroutines", used.goroutines, before[m.class].goroutines, goroutineSlack},
			{"open descriptors", used.descriptors, before[m.class].descriptors, descriptorSlack},
			{"bytes of memory", used.residentBytes, before[m.class].residentBytes, residentSlack},
		} {
			if row.used > row.before+row.slack {
				run.addBreach("RESOURCES", "%s uses %d %s after the series, its class at most %d before", m.Name, row.used, row.name, row.before)
			}
		}
	}
}

// crashExcerpt is how many bytes of a log are shown of a panic or a data race.
const crashExcerpt = 4000

// crashPattern matches what a process writes when it panics or has a data race.
var crashPattern = regexp.MustCompile(`(?m)^(panic: |fatal error: |WARNING: DATA RACE).*$`)

// checkLogs looks for panics and data races in the logs of all machines, removed ones too.
func (run *platformRun) checkLogs() {
	run.mu.Lock()
	machines := append([]*machine(nil), run.machines...)
	run.mu.Unlock()
	for _, m := range machines {
		content, err := os.ReadFile(run.logPath(m))
		if err != nil {
			continue
		}
		if found := crashPattern.FindIndex(content); found != nil {
			run.addBreach("FAULT", "%s wrote:\n%s", m.Name, content[found[0]:min(len(content), found[0]+crashExcerpt)])
		}
	}
}
