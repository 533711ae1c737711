// Many changes: a fleet takes one configuration after another while members are
// killed, wiped, cut off and slowed, and each one that comes back must be
// current within a bound, however many changes it missed. What it took, and
// what the fleet holds in memory and on its disks, is told by the number of
// changes.

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

// ChangeStreamPlan is a fleet and the stream of changes that it takes.
type ChangeStreamPlan struct {
	Name                                     string
	Gateways, Cores, Storage, FaultTolerance int
	// Routes are in each configuration, whose packed form grows by Padding bytes
	// that cannot be compressed.
	Routes, Padding int
	// Changes come Every so often.
	Changes  int
	Interval time.Duration
	// NoFaults leaves the troubles out. Away has one member of each kind gone from
	// the first changes until the last, in place of the other troubles.
	NoFaults, LongAbsence bool
	// BytesPerSecond bounds each message between machines, unless 0.
	BytesPerSecond int64
	// SampleAt are the numbers of changes at which figures are taken.
	SampleAt []int
	// CatchUpBound is how long a member that came back may take to be current.
	CatchUpBound time.Duration
	// Meddle, set by tests only, takes a mechanism away.
	Prepare func(f *Fleet)
}

// ChangeStreamSizes are the sizes of the known sites.
var ChangeStreamSizes = []string{"6/4/4", "9/4/4", "64/5/9", "55/8/9"}

// NewChangeStreamPlan is a stream of changes of a configuration with 1,000 routes at
// one of the known sizes, given as gateways, cores and storage machines.
func NewChangeStreamPlan(size string, changes int) (ChangeStreamPlan, error) {
	plan := ChangeStreamPlan{Name: size, Routes: 1000, Changes: changes, Interval: 100 * time.Millisecond, SampleAt: []int{100, 1000, 3000}, CatchUpBound: 4100 * time.Millisecond}
	var counts [3]int
	for place, text := range strings.SplitN(size, "/", 3) {
		count, err := strconv.Atoi(text)
		if err != nil || count < 1 {
			return plan, fmt.Errorf("size %q: must be gateways/cores/storage machines", size)
		}
		counts[place] = count
	}
	plan.Gateways, plan.Cores, plan.Storage, plan.FaultTolerance = counts[0], counts[1], counts[2], 1
	if plan.Storage >= 9 {
		plan.FaultTolerance = 2
	}
	return plan, nil
}

// MemberRecovery is one member's way back to the newest configuration.
type MemberRecovery struct {
	Role          string
	Fault         string
	MissedChanges int
	CatchUpTime   time.Duration
}

// ChangeStreamSample are what a fleet holds after some number of changes.
type ChangeStreamSample struct {
	Changes int
	// Recoveries since the figures before.
	Recoveries []MemberRecovery
	// BytesPerChange a change between machines, since the figures before.
	BytesPerChange int
	// MaxDiskBytes are the fullest disk's files, KeptBytes the most that the owners
	// kept in memory of content and changes, Keys those of the feed.
	MaxDiskBytes, MaxMemoryBytes, FeedKeys int
}

// ChangeStreamReport is what came of a run.
type ChangeStreamReport struct {
	Plan         ChangeStreamPlan
	Seed         uint64
	Samples      []ChangeStreamSample
	RefusedCount int
	UnclearCount int
	Breaches     []string
}

// changesRun is one run under way.
type changesRun struct {
	plan    ChangeStreamPlan
	fleet   *Fleet
	report  *ChangeStreamReport
	rng     *rand.Rand
	tail    []byte
	version uint64 // acknowledged
	changes int
	returns []MemberRecovery
	sent    int
	sentAt  int
	over    bool
	busy    int // troubles under way
	kept    int // the most that owners kept in memory since the last figures
}

const changesTick = 5 * time.Millisecond

// RunChangeStream plays a plan with a seed.
func RunChangeStream(seed uint64, plan ChangeStreamPlan) *ChangeStreamReport {
	shape := Shape{Name: plan.Name, Group: "g", Zones: 4, Edges: plan.Gateways, Cores: plan.Cores, Storage: plan.Storage,
		Tolerate: plan.FaultTolerance, Found: true, Capacity: 1, Pieces: 1, Settings: DefaultSettings}
	f := layFleet(seed, shape)
	defer f.World.Close()
	r := &changesRun{plan: plan, fleet: f, rng: rand.New(rand.NewPCG(seed, 0xc4a9)), report: &ChangeStreamReport{Plan: plan, Seed: seed}}
	r.tail = r.documentTail()
	f.Net.BytesPerSecond = plan.BytesPerSecond
	f.equip = func(_ *Machine, env *node.Env, place *node.Config) {
		place.Bounds = base.DefaultBounds()
		env.Names = &platform.Names
	}
	f.begins = func(m *Machine) {
		if m.gateway != nil {
			m.gateway.ParseRoutes = versionOnly
		}
	}
	if plan.Prepare != nil {
		plan.Prepare(f)
	}
	for _, m := range f.All() {
		f.Start(m)
	}
	f.CallerHost.Go(r.play)
	if !f.World.Run(time.Hour+time.Duration(plan.Changes)*20*plan.Interval, func() bool { return r.over }) {
		r.breach("the run did not come to its end")
	}
	r.report.Breaches = append(r.report.Breaches, f.Tally.Breaches...)
	return r.report
}

// documentHead is what stands before the version in a document.
const documentHead = `{"generation":`

// documentTail is the part of a configuration that follows its version. The
// padding does not compress below the bytes that the plan asks for.
func (r *changesRun) documentTail() []byte {
	var out bytes.Buffer
	out.WriteString(`,"routes":[`)
	for place := range r.plan.Routes {
		if place > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"name":"r-%d","host":"host%d.example","prefix":"/p-%x/","timeout_ms":%d,"service":"app"}`,
			place, place%7, r.rng.Uint64(), 1000+place%9*100)
	}
	out.WriteString(`],"padding":"`)
	for written := 0; written < r.plan.Padding; written += 8 {
		fmt.Fprintf(&out, "%016x", r.rng.Uint64())
	}
	out.WriteString(`"}`)
	return out.Bytes()
}

// versionOnly reads the version that stands at a document's head; gateways of
// this scenario need no more.
func versionOnly(document []byte) (*route.Table, error) {
	rest := bytes.TrimPrefix(document, []byte(documentHead))
	digits, _, _ := bytes.Cut(rest, []byte(","))
	version, err := strconv.ParseUint(string(digits), 10, 64)
	return &route.Table{Version: version}, err
}

func (r *changesRun) breach(format string, args ...any) {
	r.report.Breaches = append(r.report.Breaches, fmt.Sprintf(format, args...))
}

func (r *changesRun) clock() base.Clock { return r.fleet.CallerHost.Clock() }

func (r *changesRun) play() {
	defer func() { r.over = true }()
	f := r.fleet
	if f.until(time.Minute, func() bool { return r.put() && f.whole() }) >= time.Minute {
		r.breach("the fleet did not form")
		return
	}
	ended := false
	f.CallerHost.Go(func() { r.readBack(&ended) })
	switch {
	case r.plan.LongAbsence:
		for _, list := range [][]*Machine{f.Storage, f.Cores, f.Gateways} {
			r.busy++
			f.CallerHost.Go(func() { r.away(list[r.rng.IntN(len(list))], &ended) })
		}
	case !r.plan.NoFaults:
		f.CallerHost.Go(func() { r.troubles(&ended) })
	}
	for r.changes = 1; r.changes <= r.plan.Changes; r.changes++ {
		if !r.insist() {
			r.breach("change %d was not acknowledged in a minute", r.changes)
			break
		}
		r.weigh()
		if slices.Contains(r.plan.SampleAt, r.changes) && r.changes < r.plan.Changes {
			r.figure()
		}
		r.clock().Sleep(r.plan.Interval)
	}
	ended = true
	f.until(2*time.Minute, func() bool { return r.busy == 0 })
	r.figure()
	if took := f.until(time.Minute, func() bool {
		return f.whole() && r.allCurrent()
	}); took >= time.Minute {
		r.breach("the fleet is not whole and current a minute after the last trouble")
	}
}

// insist sends one change until it is acknowledged.
func (r *changesRun) insist() bool {
	for end := r.fleet.World.Now() + time.Minute; r.fleet.World.Now() < end; r.clock().Sleep(50 * time.Millisecond) {
		if r.put() {
			return true
		}
	}
	return false
}

// put sends the change that follows the newest one to any core that is up.
func (r *changesRun) put() bool {
	m := r.anyCore()
	if m == nil {
		return false
	}
	document := append([]byte(fmt.Sprintf("%s%d", documentHead, r.version+1)), r.tail...)
	change, malformed := route.NewChange(r.version, &route.Table{Version: r.version + 1}, document)
	if malformed != nil {
		r.breach("change %d is malformed: %v", r.changes, malformed)
		return false
	}
	err, answered := r.ask(m, func(ctx *base.Ctx, core *node.Core) error {
		return route.SubmitChange(ctx, core.Register, change)
	})
	switch verdict := base.ToRequestError(err); {
	case answered && err == nil:
		r.version++
		return true
	case answered && verdict.Execution == base.NotRun && verdict.Status != 503:
		r.report.RefusedCount++
		r.breach("change %d on top of %d was refused: %v", r.changes, r.version, err)
	default:
		r.report.UnclearCount++
	}
	return false
}

// ask runs a step on a core's machine and waits for its answer.
func (r *changesRun) ask(m *Machine, step func(ctx *base.Ctx, core *node.Core) error) (err error, answered bool) {
	bell, core := base.NewNotifier(r.clock()), m.core
	m.Host.Go(func() {
		err = step(base.NewCtx(m.Host.Clock(), core.OperatorTimeout()), core)
		answered = true
		bell.Notify()
	})
	for end := r.fleet.World.Now() + 3*time.Second; !answered && r.fleet.World.Now() < end; {
		bell.Next().Wait(20 * time.Millisecond)
	}
	return err, answered
}

func (r *changesRun) anyCore() *Machine {
	up := base.Filter(r.fleet.Cores, func(m *Machine) bool { return m.Host.alive && !m.Host.frozen && m.core != nil })
	if len(up) == 0 {
		return nil
	}
	return up[r.rng.IntN(len(up))]
}

// readBack asks one core after another for the configuration: what was
// acknowledged before the question must be in the answer.
func (r *changesRun) readBack(ended *bool) {
	for !*ended {
		r.clock().Sleep(200 * time.Millisecond)
		m, before := r.anyCore(), r.version
		if m == nil {
			continue
		}
		var found *route.Document
		err, answered := r.ask(m, func(ctx *base.Ctx, core *node.Core) (err error) {
			found, err = route.ReadDocument(ctx, core.Register)
			return err
		})
		if answered && err == nil && found.Version < before {
			r.breach("%s gave version %d after %d had been acknowledged", m.Host.Name, found.Version, before)
		}
	}
}

// troubles bring members down one after another. As many disks as may be lost
// are down at once, and the next only once they are back.
func (r *changesRun) troubles(ended *bool) {
	f := r.fleet
	for round := 0; !*ended; round++ {
		lists := [][]*Machine{f.Storage, f.Cores, f.Gateways}
		list := lists[round%len(lists)]
		count := 1
		if round%len(lists) == 0 {
			count = f.Shape.Tolerate
		}
		for place := range count {
			m := list[(r.rng.IntN(len(list)/count))*count+place]
			if owner := r.feedOwner(); owner != nil && list[0].Role == "core" && r.rng.IntN(2) == 0 {
				m = owner
			}
			r.busy++
			f.CallerHost.Go(func() {
				r.trouble(m, r.rng.IntN(5))
				r.busy--
			})
		}
		for r.busy > 0 {
			r.clock().Sleep(changesTick)
		}
		r.clock().Sleep(f.World.Between(0, time.Second))
	}
}

// feedOwner is the core that owns the feed's slot.
func (r *changesRun) feedOwner() *Machine {
	for _, m := range r.fleet.Cores {
		if m.Host.alive && !m.Host.frozen && m.core != nil && m.core.RegisterServer.LeadsFeed() {
			return m
		}
	}
	return nil
}

var changesTroubles = []string{"killed", "wiped", "without power", "cut off", "slowed"}

// trouble brings one member down for a while and times its return.
func (r *changesRun) trouble(m *Machine, kind int) {
	f, before := r.fleet, r.version
	span := f.World.Between(100*time.Millisecond, 6*time.Second)
	switch changesTroubles[kind] {
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
		quick, slow := m.Disk.MinSyncTime, m.Disk.MaxSyncTime
		m.Host.Lag, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = 100*time.Millisecond, 20*time.Millisecond, 150*time.Millisecond
		r.clock().Sleep(span)
		m.Host.Lag, m.Disk.MinSyncTime, m.Disk.MaxSyncTime = 0, quick, slow
	}
	r.back(m, changesTroubles[kind], before)
}

// away keeps a member down until the last change was made.
func (r *changesRun) away(m *Machine, ended *bool) {
	before := r.version
	r.fleet.PowerLoss(m)
	for !*ended {
		r.clock().Sleep(changesTick)
	}
	r.fleet.Start(m)
	r.back(m, "away", before)
	r.busy--
}

// back times how long a member that is up again takes to be current.
func (r *changesRun) back(m *Machine, kind string, before uint64) {
	f, back := r.fleet, MemberRecovery{Role: m.Role, Fault: kind, MissedChanges: int(r.version - before)}
	version, place := r.version, r.place()
	back.CatchUpTime = f.until(r.plan.CatchUpBound, func() bool { return r.current(m, version, place) })
	r.returns = append(r.returns, back)
	if back.CatchUpTime >= r.plan.CatchUpBound {
		r.breach("%s, %s, is not current after %v; it missed %d changes", m.Host.Name, back.Fault, back.CatchUpTime, back.MissedChanges)
		f.until(time.Minute, func() bool { return r.current(m, version, place) })
	}
}

// place is the newest place of the feed that any member has shown.
func (r *changesRun) place() (newest uint64) {
	for _, m := range r.fleet.All() {
		if follower := m.feedFollower(); follower != nil {
			newest = max(newest, follower.Snapshot().Revision)
		}
	}
	return newest
}

// current tells whether a member serves a version or a later one; a storage
// machine has a vote and holds the feed up to a place.
func (r *changesRun) current(m *Machine, version, place uint64) bool {
	if m.Role != "storage" {
		follower := m.feedFollower()
		return follower != nil && follower.HasLease() && follower.Snapshot().Revision >= place && versionOf(follower.Snapshot().Values) >= version
	}
	if m.storage == nil || m.storage.Store.Ready() != nil || m.storage.Store.AppliedSeq(0) < place {
		return false
	}
	id := m.storage.Store.ID()
	return slices.ContainsFunc(r.fleet.set().GetDisks(), func(entry *register.DiskEntry) bool { return entry.Id == id && !entry.Learner })
}

func (r *changesRun) allCurrent() bool {
	version, place := r.version, r.place()
	return !slices.ContainsFunc(r.fleet.All(), func(m *Machine) bool { return !r.current(m, version, place) })
}

func versionOf(values map[string][]byte) uint64 {
	if found := route.DocumentFromFeed(values); found != nil {
		return found.Version
	}
	return 0
}

// weigh looks at what the owners keep in memory.
func (r *changesRun) weigh() {
	sum := 0
	for _, m := range r.fleet.Cores {
		if m.Host.alive && m.core != nil {
			sum += m.core.RegisterServer.MemoryBytes()
		}
	}
	r.kept = max(r.kept, sum)
}

// figure takes figures.
func (r *changesRun) figure() {
	f := r.fleet
	now := ChangeStreamSample{Changes: min(r.changes, r.plan.Changes), Recoveries: r.returns}
	sent := 0
	for _, talk := range f.Net.TrafficByPath {
		sent += talk.Bytes
	}
	now.BytesPerChange = (sent - r.sent) / max(1, r.changes-r.sentAt)
	r.sent, r.sentAt, r.returns = sent, r.changes, nil
	for _, m := range f.Storage {
		now.MaxDiskBytes = max(now.MaxDiskBytes, m.Disk.TotalBytes())
	}
	now.MaxMemoryBytes, r.kept = r.kept, 0
	for _, m := range f.Gateways {
		if follower := m.feedFollower(); follower != nil {
			now.FeedKeys = max(now.FeedKeys, len(follower.Snapshot().Values))
		}
	}
	r.report.Samples = append(r.report.Samples, now)
}

// Write prints the report as a table.
func (p *ChangeStreamReport) Write(out io.Writer) {
	fmt.Fprintf(out, "%s, %d routes, %d bytes of padding, seed %d: %d sent again without a clear answer, %d refused\n",
		p.Plan.Name, p.Plan.Routes, p.Plan.Padding, p.Seed, p.UnclearCount, p.RefusedCount)
	for _, now := range p.Samples {
		fmt.Fprintf(out, "  %5d changes: %8d bytes sent a change, %9d on the fullest disk, %9d kept by owners, %d keys\n",
			now.Changes, now.BytesPerChange, now.MaxDiskBytes, now.MaxMemoryBytes, now.FeedKeys)
		for _, role := range []string{"storage", "core", "edge"} {
			times, missed := []time.Duration{}, 0
			for _, one := range now.Recoveries {
				if one.Role == role {
					times, missed = append(times, one.CatchUpTime), max(missed, one.MissedChanges)
				}
			}
			if len(times) > 0 {
				slices.Sort(times)
				fmt.Fprintf(out, "    %-8s %3d returns, current after %v (middle), %v (longest); up to %d changes missed\n",
					role, len(times), times[len(times)/2], times[len(times)-1], missed)
			}
		}
	}
	for _, breach := range p.Breaches {
		fmt.Fprintf(out, "  %s\n", breach)
	}
}
