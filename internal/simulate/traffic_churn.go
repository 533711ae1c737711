package simulate

import (
	"fmt"
	"io"
	"slices"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
	parties "fordseam/internal/standin/platform"
	"fordseam/platform"
)

const (
	// churnCores is the number of cores at any size, and churnStorage the share of
	// storage machines. The deployments grow in this way.
	churnCores   = 4
	churnStorage = 0.3
	// churnInterval is the time between two replacements per thousand workers.
	churnInterval = time.Second
	// listRateShare is the share of the platform's rate limit at which the list is read.
	listRateShare = 0.8
	// churnWarmUp is how long a fleet runs before it is measured.
	churnWarmUp = 10 * time.Second
)

// ChurnShape returns a deployment with a number of machines and ten workers per machine.
func ChurnShape(machines int) TierShape {
	site := parties.Deployments()["ljubljana"]
	site.Name = fmt.Sprintf("churn-%d", machines)
	site.Cores = churnCores
	site.Storage = max(4, int(churnStorage*float64(machines)))
	site.Edges = machines - site.Cores - site.Storage
	site.Services[0].Workers = machines * 5
	site.Services[1].Workers = machines * 5
	return TierShape{Name: site.Name, Site: site, FaultTolerance: 1}
}

// ChurnRun is a fleet whose workers are replaced continuously while the operator
// changes the configuration. The workers are only entries in the platform's list;
// nobody calls them.
type ChurnRun struct {
	*Tier
	stopped bool
}

// NewChurnRun forms a fleet, begins to replace its workers and lets it run for
// churnWarmUp.
func NewChurnRun(seed uint64, machines int) (*ChurnRun, error) {
	run := &ChurnRun{Tier: NewTier(seed, ChurnShape(machines), limitListRate)}
	formed, done := false, false
	run.CallerHost.Go(func() {
		formed = run.applyFirstConfig()
		done = true
	})
	if !run.World.Run(run.World.Now()+2*time.Minute, func() bool { return done }) || !formed {
		run.World.Close()
		return nil, fmt.Errorf("a fleet of %d machines did not form within 2 minutes", machines)
	}
	run.CallerHost.Go(run.replaceWorkers)
	run.World.Run(run.World.Now()+churnWarmUp, nil)
	return run, nil
}

// limitListRate makes cores read the list more slowly than the platform's rate limit.
func limitListRate(t *Tier) {
	configured := t.Fleet.onBuilt
	t.Fleet.onBuilt = func(m *Machine) {
		configured(m)
		if m.core == nil {
			return
		}
		read := t.listReader(m)
		m.core.Lister = platform.NewLister(func(token string, limit time.Duration) (int, []byte, error) {
			m.Host.Clock().Sleep(time.Duration(float64(time.Second) / (listRateShare * t.Site.ListCallsPerSecond)))
			return read(token, limit)
		})
	}
}

// replaceWorkers replaces one worker after another, as the release of a new version
// does.
func (c *ChurnRun) replaceWorkers() {
	interval := churnInterval * 1000 / time.Duration(len(c.workers))
	for index := 0; !c.stopped; index++ {
		c.CallerHost.Clock().Sleep(interval)
		leaving := c.workers[index]
		c.CallerHost.Go(func() { c.replaceWorker(leaving) })
	}
}

func (c *ChurnRun) replaceWorker(leaving *tierWorker) {
	c.startWorker(leaving.Spec, leaving.Zone, "")
	draining := c.instanceEntry(leaving, parties.StateDraining)
	c.instances.ScheduleChange(leaving.ID, &draining, 0)
	c.CallerHost.Clock().Sleep(c.Site.Bounds.Drain)
	c.instances.ScheduleChange(leaving.ID, nil, 0)
	leaving.terminate(c.Tier)
}

// AppliedChange holds the times of one change of the configuration.
type AppliedChange struct {
	// AckTime is how long the operator waited for the acknowledgement.
	// PropagationTime is how long after it the last gateway applied the change.
	AckTime, PropagationTime time.Duration
}

// ApplyChange changes the configuration and waits until all live gateways have applied
// it. The limit holds for the acknowledgement and again for the propagation.
func (c *ChurnRun) ApplyChange(limit time.Duration) (AppliedChange, error) {
	var order *parties.Order
	startedAt, ackedAt := c.World.Now(), time.Duration(0)
	c.CallerHost.Go(func() {
		order = c.changeConfig()
		ackedAt = c.World.Now()
	})
	c.World.Run(startedAt+limit, func() bool { return ackedAt > 0 })
	if order == nil || !order.Acked() {
		return AppliedChange{}, fmt.Errorf("the configuration change was not acknowledged within %v", limit)
	}
	version := order.Config.Generation
	for c.gatewaysBehind(version) > 0 {
		if c.World.Now() > ackedAt+limit {
			return AppliedChange{}, fmt.Errorf("%d gateways have not applied version %d after %v", c.gatewaysBehind(version), version, limit)
		}
		c.World.Run(c.World.Now()+20*time.Millisecond, nil)
	}
	return AppliedChange{AckTime: ackedAt - startedAt, PropagationTime: c.World.Now() - ackedAt}, nil
}

// gatewaysBehind counts the live gateways whose configuration is older than a version.
func (c *ChurnRun) gatewaysBehind(version uint64) int {
	return len(base.Filter(c.Gateways, func(m *Machine) bool {
		if !m.Host.alive || m.gateway == nil {
			return false
		}
		table := m.gateway.Routes.Load()
		return table == nil || table.Version < version
	}))
}

// MeasureChanges counts the traffic over a span in which the configuration changes
// once per period, and returns the times of the changes.
func (c *ChurnRun) MeasureChanges(span, period time.Duration) (changes []AppliedChange, err error) {
	c.Net.TrafficByPath, c.Net.TrafficByHost = map[string]*PathTraffic{}, map[string]*HostTraffic{}
	for end := c.World.Now() + span; c.World.Now() < end; {
		next := c.World.Now() + period
		change, err := c.ApplyChange(30 * time.Second)
		if err != nil {
			return changes, err
		}
		changes = append(changes, change)
		c.World.Run(next, nil)
	}
	return changes, nil
}

// BusiestBytesPerSecond returns the traffic of a role's busiest machine over a span.
func (c *ChurnRun) BusiestBytesPerSecond(role string, span time.Duration) float64 {
	machines := map[string][]*Machine{membership.RoleGateway: c.Gateways, membership.RoleCore: c.Cores, membership.RoleStorage: c.Storage}[role]
	return c.Net.trafficOf(role, machines, span).maxBytes
}

// WriteChurnTraffic measures a fleet under churn and writes its traffic and how long
// changes of the configuration took to reach all gateways.
func WriteChurnTraffic(out io.Writer, seed uint64, machines int, span time.Duration) error {
	run, err := NewChurnRun(seed, machines)
	if err != nil {
		return err
	}
	defer run.World.Close()
	startedAt := run.World.Now()
	changes, err := run.MeasureChanges(span, 2*time.Second)
	if err != nil {
		return err
	}
	span = run.World.Now() - startedAt
	fmt.Fprintf(out, "%d nodes: %d gateways, %d cores, %d storage machines, %d workers under churn, %v\n", machines, len(run.Gateways), len(run.Cores), len(run.Storage), len(run.workersByAddress), span)
	run.Net.writeTraffic(out, run.Fleet, span)
	slices.SortFunc(changes, func(a, b AppliedChange) int { return int(a.PropagationTime - b.PropagationTime) })
	median, longest := changes[len(changes)/2], changes[len(changes)-1]
	fmt.Fprintf(out, "  %d configuration changes, applied by all gateways after a median of %v and at most %v\n", len(changes), median.PropagationTime, longest.PropagationTime)
	return nil
}
