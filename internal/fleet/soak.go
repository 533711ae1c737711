package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/soak"
	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
)

const (
	// crowdInterval is how many seeds there are for each that runs as many processes as the
	// machine bears.
	crowdInterval = 10
	// maxProcesses bounds the processes of all fleets that run at the same time.
	maxProcesses = 300
	// processMemory is the memory that a process of the fleet is expected to need, with the
	// share of the stand-ins that serve it.
	processMemory = 64 << 20
)

// SoakPlan configures a soak: a run on the simulated platform for each of several seeds,
// with a schedule drawn from the seed.
type SoakPlan struct {
	SiteName string
	Site     *platform.Deployment
	// FirstSeed and LastSeed are the first and the last seed.
	FirstSeed, LastSeed uint64
	Traffic             time.Duration
	RateFactor          float64
	// Dir has a directory for each seed under way, and keeps those with findings.
	Dir, WorkDir string
	Commands     map[string]string
	// Jobs is how many seeds run at the same time. Crowds run alone.
	Jobs int
	// Crowds lets every tenth seed run as many processes as the machine bears.
	Crowds bool
	// StopAtFinding ends the soak at the first finding.
	StopAtFinding bool
	// Record has a record of each seed, if it is set.
	Record string
	// Repeat is the command that plays one seed again, up to the seed.
	Repeat string
}

// SoakRecord is what is written about a seed.
type SoakRecord struct {
	Seed     uint64
	Command  string
	Schedule string
	Seconds  float64
	Breaches []string
	Error    string `json:",omitempty"`
}

// soakRun is a soak under way.
type soakRun struct {
	plan      *SoakPlan
	out       io.Writer
	startedAt time.Time
	stop      context.CancelFunc
	mu        sync.Mutex
	done      int
	records   []SoakRecord
}

// RunSoak runs a soak, prints a line for each seed and each finding to out, and returns the
// records of all seeds that were run. It stops at the end of the context.
func RunSoak(ctx context.Context, plan *SoakPlan, out io.Writer) ([]SoakRecord, error) {
	crowdSize, err := plan.checkMachine()
	if err != nil {
		return nil, err
	}
	if plan.Crowds {
		_, _ = fmt.Fprintf(out, "crowds: %d processes every %d seeds\n", crowdSize, crowdInterval)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &soakRun{plan: plan, out: out, startedAt: time.Now(), stop: cancel}
	seeds := make(chan uint64)
	var crowd sync.RWMutex // held for writing by a crowd, which runs alone
	var group sync.WaitGroup
	for range plan.Jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range seeds {
				if plan.Crowds && seed%crowdInterval == 0 {
					crowd.Lock()
					run.runSeed(ctx, seed, crowdSize)
					crowd.Unlock()
					continue
				}
				crowd.RLock()
				run.runSeed(ctx, seed, 0)
				crowd.RUnlock()
			}
		}()
	}
	for seed := plan.FirstSeed; seed <= plan.LastSeed && ctx.Err() == nil; seed++ {
		select {
		case seeds <- seed:
		case <-ctx.Done():
		}
	}
	close(seeds)
	group.Wait()
	return run.records, nil
}

// checkMachine checks that the machine has the memory for all fleets that run at the same
// time, and returns how many processes a crowd has.
func (plan *SoakPlan) checkMachine() (crowdSize int, err error) {
	memory, err := totalMemory()
	if err != nil {
		return 0, err
	}
	crowdSize = min(maxProcesses, int(memory/2/processMemory))
	processes := (plan.Site.Edges + plan.Site.Cores + plan.Site.Storage) * plan.Jobs
	if processes > crowdSize {
		return 0, errors.Errorf("%d seeds at a time need %d processes, but this machine bears %d: half of its memory, %d MB each, %d at most", plan.Jobs, processes, crowdSize, processMemory>>20, maxProcesses)
	}
	return crowdSize, nil
}

// totalMemory returns the memory of this machine in bytes.
func totalMemory() (bytes uint64, err error) {
	content, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, errors.Annotate(err, "cannot tell how much memory this machine has")
	}
	var kilobytes uint64
	if _, err := fmt.Sscanf(string(content), "MemTotal: %d kB", &kilobytes); err != nil {
		return 0, errors.Annotate(err, "cannot tell how much memory this machine has")
	}
	return kilobytes << 10, nil
}

// Schedule draws the schedule of a seed, for a number of edge machines.
func (plan *SoakPlan) Schedule(seed uint64, edges int) *soak.Schedule {
	site := plan.Site
	return soak.Draw(&soak.Shape{Zones: site.Zones, Edges: edges, Cores: site.Cores, Storage: site.Storage, MinStorage: 2*platformFaultTolerance + 1, CatchUp: site.Bounds.CatchUp,
		Traffic: plan.Traffic, Services: base.Map(site.Services, func(s platform.ServiceSpec) string { return s.Name })}, seed)
}

// platformPlan returns the plan of a seed's run. With a crowd, edge machines are added until
// the fleet has that many processes.
func (plan *SoakPlan) platformPlan(seed uint64, crowdSize int) *PlatformPlan {
	site := *plan.Site.WithAlternatives()
	site.Edges = max(site.Edges, crowdSize-site.Cores-site.Storage)
	for index := range site.Classes {
		if class := &site.Classes[index]; class.RunawayProbability > 0 {
			class.RunawayProbability = runawayProbability
		}
	}
	schedule := plan.Schedule(seed, site.Edges)
	site.Cores, site.Storage = schedule.Cores, schedule.Storage
	return &PlatformPlan{Site: &site, WorkDir: plan.WorkDir, Dir: filepath.Join(plan.Dir, fmt.Sprint("seed-", seed)), Commands: plan.Commands, TrafficDuration: plan.Traffic, RateFactor: plan.RateFactor, Seed: seed,
		Schedule: schedule, ClosingFault: string(schedule.Closing), SetUpTimeout: time.Minute, HardClients: true}
}

// runawayProbability is how many programs of a soak spend their whole budget.
const runawayProbability = 0.15

// runSeed runs one seed. Its directory is deleted unless there is a finding.
func (s *soakRun) runSeed(ctx context.Context, seed uint64, crowdSize int) {
	if ctx.Err() != nil {
		return
	}
	plan := s.plan.platformPlan(seed, crowdSize)
	record := SoakRecord{Seed: seed, Command: fmt.Sprintf("%s --seeds %d-%d", s.plan.Repeat, seed, seed), Schedule: plan.Schedule.String()}
	startedAt := time.Now()
	var report, log bytes.Buffer
	plan.Log, plan.RecordFile = &log, filepath.Join(plan.Dir, "record.json")
	err := PrepareDir(plan.Dir)
	if err == nil {
		var breaches []platform.Breach
		breaches, err = RunPlatform(ctx, plan, &report)
		record.Breaches = base.Map(breaches, platform.Breach.String)
	}
	switch {
	case err != nil:
		record.Error = err.Error()
	case ctx.Err() != nil:
		record.Error = "interrupted"
	}
	record.Seconds = time.Since(startedAt).Seconds()
	_ = os.WriteFile(filepath.Join(plan.Dir, "report.txt"), append(append([]byte(record.Schedule), log.Bytes()...), report.Bytes()...), 0o644)
	if err == nil && len(record.Breaches) == 0 && ctx.Err() == nil {
		_ = os.RemoveAll(plan.Dir)
	}
	s.finish(record, plan.Dir)
}

// finish keeps the record of a seed and prints its findings and the progress.
func (s *soakRun) finish(record SoakRecord, dir string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done++
	s.records = append(s.records, record)
	if s.plan.Record != "" {
		if err := os.WriteFile(s.plan.Record, append(base.MustMarshal(s.records), '\n'), 0o644); err != nil {
			_, _ = fmt.Fprintf(s.out, "record: %v\n", err)
		}
	}
	for _, breach := range record.Breaches {
		_, _ = fmt.Fprintf(s.out, "seed %d: %s\n", record.Seed, breach)
	}
	if record.Error != "" {
		_, _ = fmt.Fprintf(s.out, "seed %d: could not run to its end: %s\n", record.Seed, strings.SplitN(record.Error, "\n", 2)[0])
	}
	if s.plan.StopAtFinding && len(record.Breaches) > 0 {
		s.stop()
	}
	if len(record.Breaches) > 0 || record.Error != "" {
		_, _ = fmt.Fprintf(s.out, "seed %d: after %.0f s; kept in %s; again: %s\n", record.Seed, record.Seconds, dir, record.Command)
	}
	total := int(s.plan.LastSeed - s.plan.FirstSeed + 1)
	found := len(base.Filter(s.records, func(r SoakRecord) bool { return len(r.Breaches) > 0 || r.Error != "" }))
	remaining := time.Since(s.startedAt) / time.Duration(s.done) * time.Duration(total-s.done)
	_, _ = fmt.Fprintf(s.out, "%d of %d seeds done, %d with findings, about %v left\n", s.done, total, found, remaining.Round(time.Second))
}
