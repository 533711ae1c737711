package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fordseam/internal/base"
	parties "fordseam/internal/standin/platform"
)

// tierConfig is the newest acknowledged configuration as the operators know it, and the
// routes that it added and removed.
type tierConfig struct {
	operator      *parties.Operator
	newestAcked   *parties.Order
	addedRoutes   []parties.Route
	removedRoutes []parties.Route
	changing      bool // a change is in progress
}

// recordAcked makes an acknowledged order the newest.
func (c *tierConfig) recordAcked(order *parties.Order) {
	if c.newestAcked != nil {
		c.addedRoutes, c.removedRoutes = nil, nil
		for _, r := range order.Config.Routes {
			if previous := c.newestAcked.Config.Match(r.Host, r.Prefix); previous == nil || previous.Prefix != r.Prefix {
				c.addedRoutes = append(c.addedRoutes, r)
			}
		}
		for _, r := range c.newestAcked.Config.Routes {
			if order.Config.Match(r.Host, r.Prefix) == nil {
				c.removedRoutes = append(c.removedRoutes, r)
			}
		}
	}
	c.newestAcked = order
}

func (t *Tier) newOperator(name string) *parties.Operator {
	return &parties.Operator{Name: name, Clock: t.CallerHost.Clock(), Recorder: t.recorder, Call: t.callControl, Rng: rand.New(rand.NewPCG(t.World.Seed, base.Hash64(name))),
		Control: func() []string {
			return base.Map(base.Filter(t.Cores, func(m *Machine) bool { return !m.removed }), func(m *Machine) string { return m.Host.Name })
		}}
}

// exclusively runs a step once no other change of the configuration is in progress.
func (t *Tier) exclusively(step func()) {
	for t.config.changing {
		t.CallerHost.Clock().Sleep(20 * time.Millisecond)
	}
	t.config.changing = true
	step()
	t.config.changing = false
}

// changeConfig sends a valid configuration that is based on the newest.
func (t *Tier) changeConfig() (order *parties.Order) { return t.putConfig(t.drafts.NextValid) }

// changeServices sends a configuration that moves routes between services.
func (t *Tier) changeServices() (order *parties.Order) { return t.putConfig(t.drafts.NextServices) }

// putConfig sends a configuration that is drawn on top of the newest acknowledged one.
func (t *Tier) putConfig(draw func(newest *parties.Config) *parties.Config) (order *parties.Order) {
	t.exclusively(func() {
		newest := t.config.newestAcked.Config
		next := draw(newest)
		order = t.config.operator.PutConfig(newest.Generation, next, next.Encode(), "", 30*time.Second)
		if order.Acked() {
			t.config.recordAcked(order)
		}
	})
	return order
}

// raceConfigs has two operators send configurations that are based on the same version
// at the same time.
func (t *Tier) raceConfigs() {
	t.exclusively(func() {
		newest := t.config.newestAcked.Config
		drafts := []*parties.Config{t.drafts.NextValid(newest), t.drafts.NextValid(newest)}
		if drafts[0].Generation == drafts[1].Generation {
			drafts[1].Generation++
		}
		orders := make([]*parties.Order, len(drafts))
		t.runParallel(len(drafts), func(index int) {
			operator := t.newOperator(fmt.Sprintf("racer-%d-%d", index, drafts[index].Generation))
			orders[index] = operator.PutConfig(newest.Generation, drafts[index], drafts[index].Encode(), "", 30*time.Second)
		})
		for _, order := range orders {
			if order.Acked() {
				t.config.recordAcked(order)
			}
		}
	})
}

// sendInvalidConfigs sends one invalid configuration of each kind.
func (t *Tier) sendInvalidConfigs(interval time.Duration) {
	for _, kind := range parties.InvalidKinds {
		t.exclusively(func() {
			newest := t.config.newestAcked.Config
			config, raw, reason := t.drafts.Invalid(newest, kind)
			if order := t.config.operator.PutConfig(newest.Generation, config, raw, reason, 10*time.Second); order.Acked() && config != nil {
				t.config.recordAcked(order)
			}
		})
		t.CallerHost.Clock().Sleep(interval)
	}
}

// runParallel runs steps in parallel and waits for all.
func (t *Tier) runParallel(count int, step func(index int)) {
	remaining := count
	changed := base.NewNotifier(t.CallerHost.Clock())
	for index := range count {
		t.CallerHost.Go(func() {
			step(index)
			remaining--
			changed.Notify()
		})
	}
	for remaining > 0 {
		changed.Next().Wait(-1)
	}
}
