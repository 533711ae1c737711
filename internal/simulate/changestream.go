package simulate

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/node"
	"fordseam/internal/register"
	"fordseam/internal/route"
	"fordseam/platform"
)

// ChangeStreamPlan describes a fleet and a stream of configuration changes. Members are
// killed, wiped, cut off and slowed meanwhile; each one that returns must be current within
// a bound, however many changes it missed.
type ChangeStreamPlan struct {
	Name                                     string
	Gateways, Cores, Storage, FaultTolerance int
	// Routes is the number of routes in each configuration. Padding bytes that cannot be
	// compressed are added to its compressed form.
	Routes, Padding int
	// Changes is the number of changes, Interval the time between two of them.
	Changes  int
	Interval time.Duration
	// NoFaults disables all faults. LongAbsence takes one member of each role down from the
	// first change to the last, instead of the other faults.
	NoFaults, LongAbsence bool
	// BytesPerSecond is the bandwidth for each message between machines; 0 is unlimited.
	BytesPerSecond int64
	// SampleAt lists the numbers of changes after which a sample is taken.
	SampleAt []int
	// CatchUpBound is the time within which a returning member must be current.
	CatchUpBound time.Duration
	// Prepare, set by tests only, disables a mechanism of the fleet.
	Prepare func(f *Fleet)
}

// ChangeStreamSizes lists the sizes of the known deployments as gateways/cores/storage
// machines.
var ChangeStreamSizes = []string{"6/4/4", "9/4/4", "64/5/9", "55/8/9"}

// NewChangeStreamPlan returns a plan for a configuration with 1,000 routes at a size given
// as gateways/cores/storage machines.
func NewChangeStreamPlan(size string, changes int) (ChangeStreamPlan, error) {
	plan := ChangeStreamPlan{Name: size, Routes: 1000, Changes: changes, Interval: 100 * time.Millisecond, SampleAt: []int{100, 1000, 3000}, CatchUpBound: 4100 * time.Millisecond}
	var counts [3]int
	for i, part := range strings.SplitN(size, "/", 3) {
		count, err := strconv.Atoi(part)
		if err != nil || count < 1 {
			return plan, fmt.Errorf("size %q: must be GATEWAYS/CORES/STORAGE, each a number from 1", size)
		}
		counts[i] = count
	}
	plan.Gateways, plan.Cores, plan.Storage, plan.FaultTolerance = counts[0], counts[1], counts[2], 1
	if plan.Storage >= 9 {
		plan.FaultTolerance = 2
	}
	return plan, nil
}

// MemberRecovery is the return of one member to the newest configuration.
type MemberRecovery struct {
	Role          string
	Fault         string
	MissedChanges int
	CatchUpTime   time.Duration
}

// ChangeStreamSample describes the fleet after a number of changes.
type ChangeStreamSample struct {
	Changes int
	// Recoveries are those since the previous sample.
	Recoveries []MemberRecovery
	// BytesPerChange is the mean traffic between machines for each change since the previous
	// sample.
	BytesPerChange int
	// MaxDiskBytes is the size of the files on the fullest disk. MaxMemoryBytes is the most
	// memory that the cores' register servers used for content and changes. FeedKeys is the
	// number of keys in the feed.
	MaxDiskBytes, MaxMemoryBytes, FeedKeys int
}

// ChangeStreamReport is the result of a change stream.
type ChangeStreamReport struct {
	Plan         ChangeStreamPlan
	Seed         uint64
	Samples      []ChangeStreamSample
	RefusedCount int
	UnclearCount int
	Breaches     []string
}

// changeStream is the state of a running change stream.
type changeStream struct {
	plan           ChangeStreamPlan
	fleet          *Fleet
	report         *ChangeStreamReport
	rng            *rand.Rand
	documentSuffix []byte
	ackedVersion   uint64 // newest acknowledged version
	changeNumber   int
	recoveries     []MemberRecovery
	bytesSent      int
	sampledAt      int
	done           bool
	activeFaults   int // members that are down or catching up
	maxMemory      int // most memory used by register servers since the last sample
}

// changeStreamPoll is the interval at which the ends of faults are polled.
const changeStreamPoll = 5 * time.Millisecond

// RunChangeStream runs a plan with a seed.
func RunChangeStream(seed uint64, plan ChangeStreamPlan) *ChangeStreamReport {
	shape := Shape{Name: plan.Name, Group: "g", Zones: 4, Gateways: plan.Gateways, Cores: plan.Cores, Storage: plan.Storage,
		FaultTolerance: plan.FaultTolerance, Bootstrap: true, WorkerCapacity: 1, PiecesPerTurn: 1, Settings: DefaultSettings}
	f := buildFleet(seed, shape)
	defer f.World.Close()
	r := &changeStream{plan: plan, fleet: f, rng: rand.New(rand.NewPCG(seed, 0xc4a9)), report: &ChangeStreamReport{Plan: plan, Seed: seed}}
	r.documentSuffix = r.buildDocumentSuffix()
	f.Net.BytesPerSecond = plan.BytesPerSecond
	f.configure = func(_ *Machine, env *node.Env, config *node.Config) {
		config.Bounds = base.DefaultBounds()
		env.Names = &platform.Names
	}
	f.onBuilt = func(m *Machine) {
		if m.gateway != nil {
			m.gateway.ParseRoutes = parseVersionOnly
		}
	}
	if plan.Prepare != nil {
		plan.Prepare(f)
	}
	for _, m := range f.All() {
		f.Start(m)
	}
	f.CallerHost.Go(r.run)
	if !f.World.Run(time.Hour+time.Duration(plan.Changes)*20*plan.Interval, func() bool { return r.done }) {
		r.addBreach("the run did not finish")
	}
	r.report.Breaches = append(r.report.Breaches, f.Tally.Breaches...)
	return r.report
}

// documentPrefix precedes the version in a document.
const documentPrefix = `{"generation":`

// buildDocumentSuffix returns the part of a configuration that follows its version. The
// padding is random, so that it cannot be compressed below the planned size.
func (r *changeStream) buildDocumentSuffix() []byte {
	var out bytes.Buffer
	out.WriteString(`,"routes":[`)
	for i := range r.plan.Routes {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"name":"r-%d","host":"host%d.example","prefix":"/p-%x/","timeout_ms":%d,"service":"app"}`,
			i, i%7, r.rng.Uint64(), 1000+i%9*100)
	}
	out.WriteString(`],"padding":"`)
	for written := 0; written < r.plan.Padding; written += 8 {
		fmt.Fprintf(&out, "%016x", r.rng.Uint64())
	}
	out.WriteString(`"}`)
	return out.Bytes()
}

// parseVersionOnly reads the version at the head of a document. The gateways of this
// scenario serve no requests and need no routes.
func parseVersionOnly(document []byte) (*route.Table, error) {
	rest := bytes.TrimPrefix(document, []byte(documentPrefix))
	digits, _, _ := bytes.Cut(rest, []byte(","))
	version, err := strconv.ParseUint(string(digits), 10, 64)
	return &route.Table{Version: version}, err
}

func (r *changeStream) addBreach(format string, args ...any) {
	r.report.Breaches = append(r.report.Breaches, fmt.Sprintf(format, args...))
}

func (r *changeStream) clock() base.Clock { return r.fleet.CallerHost.Clock() }

// run waits for the fleet to form, sends the changes under faults and checks that every
// member is current in the end.
func (r *changeStream) run() {
	defer func() { r.done = true }()
	f := r.fleet
	if f.waitUntil(time.Minute, func() bool { return r.submit() && f.diskSetComplete() }) >= time.Minute {
		r.addBreach("the fleet did not form")
		return
	}
	stopped := false
	f.CallerHost.Go(func() { r.checkReads(&stopped) })
	switch {
	case r.plan.LongAbsence:
		for _, list := range [][]*Machine{f.Storage, f.Cores, f.Gateways} {
			r.activeFaults++
			f.CallerHost.Go(func() { r.longAbsence(list[r.rng.IntN(len(list))], &stopped) })
		}
	case !r.plan.NoFaults:
		f.CallerHost.Go(func() { r.injectFaults(&stopped) })
	}
	for r.changeNumber = 1; r.changeNumber <= r.plan.Changes; r.changeNumber++ {
		if !r.submitUntilAcked() {
			r.addBreach("change %d was not acknowledged within a minute", r.changeNumber)
			break
		}
		r.sampleMemory()
		if slices.Contains(r.plan.SampleAt, r.changeNumber) && r.changeNumber < r.plan.Changes {
			r.takeSample()
		}
		r.clock().Sleep(r.plan.Interval)
	}
	stopped = true
	f.waitUntil(2*time.Minute, func() bool { return r.activeFaults == 0 })
	r.takeSample()
	if took := f.waitUntil(time.Minute, func() bool {
		return f.diskSetComplete() && r.allCurrent()
	}); took >= time.Minute {
		r.addBreach("the fleet is not complete and current a minute after the last fault")
	}
}

// submitUntilAcked submits one change until it is acknowledged, for at most a minute.
func (r *changeStream) submitUntilAcked() bool {
	for end := r.fleet.World.Now() + time.Minute; r.fleet.World.Now() < end; r.clock().Sleep(50 * time.Millisecond) {
		if r.submit() {
			return true
		}
	}
	return false
}

// submit sends the successor of the newest configuration to a random live core and reports
// whether it was acknowledged.
func (r *changeStream) submit() bool {
	m := r.anyCore()
	if m == nil {
		return false
	}
	document := append([]byte(fmt.Sprintf("%s%d", documentPrefix, r.ackedVersion+1)), r.documentSuffix...)
	change, malformed := route.NewChange(r.ackedVersion, &route.Table{Version: r.ackedVersion + 1}, document)
	if malformed != nil {
		r.addBreach("change %d is malformed: %v", r.changeNumber, malformed)
		return false
	}
	err, answered := r.callCore(m, func(ctx *base.Ctx, core *node.Core) error {
		return route.SubmitChange(ctx, core.Register, change)
	})
	switch requestErr := base.ToRequestError(err); {
	case answered && err == nil:
		r.ackedVersion++
		return true
	case answered && requestErr.Execution == base.NotRun && requestErr.Status != 503:
		r.report.RefusedCount++
		r.addBreach("change %d on top of %d was refused: %v", r.changeNumber, r.ackedVersion, err)
	default:
		r.report.UnclearCount++
	}
	return false
}

// callCore runs step on a core's host and waits for its result.
func (r *changeStream) callCore(m *Machine, step func(ctx *base.Ctx, core *node.Core) error) (err error, answered bool) {
	notifier, core := base.NewNotifier(r.clock()), m.core
	m.Host.Go(func() {
		err = step(base.NewCtx(m.Host.Clock(), core.OperatorTimeout()), core)
		answered = true
		notifier.Notify()
	})
	for end := r.fleet.World.Now() + 3*time.Second; !answered && r.fleet.World.Now() < end; {
		notifier.Next().Wait(20 * time.Millisecond)
	}
	return err, answered
}

// anyCore returns a random live core, or nil.
func (r *changeStream) anyCore() *Machine {
	up := base.Filter(r.fleet.Cores, func(m *Machine) bool { return m.Host.alive && !m.Host.frozen && m.core != nil })
	if len(up) == 0 {
		return nil
	}
	return up[r.rng.IntN(len(up))]
}

// checkReads reads the configuration from random cores. A read must return every version
// that was acknowledged before it was sent.
func (r *changeStream) checkReads(stopped *bool) {
	for !*stopped {
		r.clock().Sleep(200 * time.Millisecond)
		m, ackedBefore := r.anyCore(), r.ackedVersion
		if m == nil {
			continue
		}
		var document *route.Document
		err, answered := r.callCore(m, func(ctx *base.Ctx, core *node.Core) (err error) {
			document, err = route.ReadDocument(ctx, core.Register)
			return err
		})
		if answered && err == nil && document.Version < ackedBefore {
			r.addBreach("%s returned version %d after %d had been acknowledged", m.Host.Name, document.Version, ackedBefore)
		}
	}
}

// injectFaults takes members of one role after another down, as many storage machines at a
// time as the fleet tolerates, and waits for their return before the next round.
func (r *changeStream) injectFaults(stopped *bool) {
	f := r.fleet
	for round := 0; !*stopped; round++ {
		lists := [][]*Machine{f.Storage, f.Cores, f.Gateways}
		list := lists[round%len(lists)]
		count := 1
		if round%len(lists) == 0 {
			count = f.Shape.FaultTolerance
		}
		for offset := range count {
			m := list[(r.rng.IntN(len(list)/count))*count+offset]
			if leader := r.feedLeader(); leader != nil && list[0].Role == "core" && r.rng.IntN(2) == 0 {
				m = leader
			}
			r.activeFaults++
			f.CallerHost.Go(func() {
				r.injectFault(m, r.rng.IntN(5))
				r.activeFaults--
			})
		}
		for r.activeFaults > 0 {
			r.clock().Sleep(changeStreamPoll)
		}
		r.clock().Sleep(f.World.Between(0, time.Second))
	}
}

// feedLeader returns the core that leads the feed's shard, or nil.
func (r *changeStream) feedLeader() *Machine {
	for _, m := range r.fleet.Cores {
		if m.Host.alive && !m.Host.frozen && m.core != nil && m.core.RegisterServer.LeadsFeed() {
			return m
		}
	}
	return nil
}

// changeStreamFaults are the faults that injectFault injects.
var changeStreamFaults = []string{"killed", "wiped", "without power", "cut off", "slowed"}

// injectFault takes one member down for a while and measures its return.
func (r *changeStream) injectFault(m *Machine, kind int) {
	f, ackedBefore := r.fleet, r.ackedVersion
	span := f.World.Between(100*time.Millisecond, 6*time.Second)
	switch changeStreamFaults[kind] {
	case "killed":
		f.Kill(m)
		r.clock().Sleep(span)
		f.Start(m)
	case "wiped":
		f.PowerLoss(m)
		m.Disk.Wipe()
		r.clock().Sleep(span)
		f.Start(m)
	case "without power":
		f.PowerLoss(m)
		r.clock().Sleep(span)
		f.Start(m)
	case "cut off":
		f.Net.Isolate(map[string]bool{m.Host.Name: true})
		r.clock().Sleep(span)
		f.Net.Heal()
	case "slowed":
		minSync, maxSync := m.Disk.MinSyncTime, m.Disk.MaxSyncTime
		m.Host.ExtraDelay, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = 100*time.Millisecond, 20*time.Millisecond, 150*time.Millisecond
		r.clock().Sleep(span)
		m.Host.ExtraDelay, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = 0, minSync, maxSync
	}
	r.measureRecovery(m, changeStreamFaults[kind], ackedBefore)
}

// longAbsence keeps a member down until the last change was made.
func (r *changeStream) longAbsence(m *Machine, stopped *bool) {
	ackedBefore := r.ackedVersion
	r.fleet.PowerLoss(m)
	for !*stopped {
		r.clock().Sleep(changeStreamPoll)
	}
	r.fleet.Start(m)
	r.measureRecovery(m, "away", ackedBefore)
	r.activeFaults--
}

// measureRecovery measures how long a returned member takes to be current.
func (r *changeStream) measureRecovery(m *Machine, fault string, ackedBefore uint64) {
	f, recovery := r.fleet, MemberRecovery{Role: m.Role, Fault: fault, MissedChanges: int(r.ackedVersion - ackedBefore)}
	version, revision := r.ackedVersion, r.newestRevision()
	recovery.CatchUpTime = f.waitUntil(r.plan.CatchUpBound, func() bool { return r.isCurrent(m, version, revision) })
	r.recoveries = append(r.recoveries, recovery)
	if recovery.CatchUpTime >= r.plan.CatchUpBound {
		r.addBreach("%s (%s) is not current %v after its return; it missed %d changes", m.Host.Name, recovery.Fault, recovery.CatchUpTime, recovery.MissedChanges)
		f.waitUntil(time.Minute, func() bool { return r.isCurrent(m, version, revision) })
	}
}

// newestRevision returns the newest revision of the feed that any member has applied.
func (r *changeStream) newestRevision() (newest uint64) {
	for _, m := range r.fleet.All() {
		if follower := m.feedFollower(); follower != nil {
			newest = max(newest, follower.Snapshot().Revision)
		}
	}
	return newest
}

// isCurrent reports whether a gateway or core serves at least a version, or a storage
// machine has a vote and holds the feed up to a revision.
func (r *changeStream) isCurrent(m *Machine, version, revision uint64) bool {
	if m.Role != "storage" {
		follower := m.feedFollower()
		return follower != nil && follower.HasLease() && follower.Snapshot().Revision >= revision && configVersion(follower.Snapshot().Values) >= version
	}
	if m.storage == nil || m.storage.Store.Ready() != nil || m.storage.Store.AppliedSeq(0) < revision {
		return false
	}
	id := m.storage.Store.ID()
	return slices.ContainsFunc(r.fleet.diskSet().GetDisks(), func(entry *register.DiskEntry) bool { return entry.Id == id && !entry.Learner })
}

// allCurrent reports whether every member is current.
func (r *changeStream) allCurrent() bool {
	version, revision := r.ackedVersion, r.newestRevision()
	return !slices.ContainsFunc(r.fleet.All(), func(m *Machine) bool { return !r.isCurrent(m, version, revision) })
}

// configVersion returns the version of the configuration in a feed's values, 0 if there is
// none.
func configVersion(values map[string][]byte) uint64 {
	if document := route.DocumentFromFeed(values); document != nil {
		return document.Version
	}
	return 0
}

// sampleMemory records the memory that the register servers use.
func (r *changeStream) sampleMemory() {
	total := 0
	for _, m := range r.fleet.Cores {
		if m.Host.alive && m.core != nil {
			total += m.core.RegisterServer.MemoryBytes()
		}
	}
	r.maxMemory = max(r.maxMemory, total)
}

// takeSample adds a sample to the report.
func (r *changeStream) takeSample() {
	f := r.fleet
	sample := ChangeStreamSample{Changes: min(r.changeNumber, r.plan.Changes), Recoveries: r.recoveries}
	sent := 0
	for _, traffic := range f.Net.TrafficByPath {
		sent += traffic.Bytes
	}
	sample.BytesPerChange = (sent - r.bytesSent) / max(1, r.changeNumber-r.sampledAt)
	r.bytesSent, r.sampledAt, r.recoveries = sent, r.changeNumber, nil
	for _, m := range f.Storage {
		sample.MaxDiskBytes = max(sample.MaxDiskBytes, m.Disk.TotalBytes())
	}
	sample.MaxMemoryBytes, r.maxMemory = r.maxMemory, 0
	for _, m := range f.Gateways {
		if follower := m.feedFollower(); follower != nil {
			sample.FeedKeys = max(sample.FeedKeys, len(follower.Snapshot().Values))
		}
	}
	r.report.Samples = append(r.report.Samples, sample)
}

// Write writes the report as a table.
func (r *ChangeStreamReport) Write(out io.Writer) {
	fmt.Fprintf(out, "%s, %d routes, %d bytes of padding, seed %d: %d submissions without a definite answer, %d refused\n",
		r.Plan.Name, r.Plan.Routes, r.Plan.Padding, r.Seed, r.UnclearCount, r.RefusedCount)
	for _, sample := range r.Samples {
		fmt.Fprintf(out, "  %5d changes: %8d bytes sent per change, %9d bytes on the fullest disk, %9d bytes in register memory, %d feed keys\n",
			sample.Changes, sample.BytesPerChange, sample.MaxDiskBytes, sample.MaxMemoryBytes, sample.FeedKeys)
		for _, role := range []string{"storage", "core", "edge"} {
			times, missed := []time.Duration{}, 0
			for _, recovery := range sample.Recoveries {
				if recovery.Role == role {
					times, missed = append(times, recovery.CatchUpTime), max(missed, recovery.MissedChanges)
				}
			}
			if len(times) > 0 {
				slices.Sort(times)
				fmt.Fprintf(out, "    %-8s %3d recoveries, current after %v (median), %v (longest); up to %d changes missed\n",
					role, len(times), times[len(times)/2], times[len(times)-1], missed)
			}
		}
	}
	for _, breach := range r.Breaches {
		fmt.Fprintf(out, "  %s\n", breach)
	}
}
