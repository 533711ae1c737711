package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/ledger"
	"fordseam/internal/register"
	"fordseam/internal/simulate"
)

// partition cuts the network between two hosts in both directions.
func (f *fleet) partition(a, b *simulate.Host) {
	f.net.CutLink(a.Name, b.Name)
	f.net.CutLink(b.Name, a.Name)
}

// TestStoresDeclineAfterTooManyLosses loses one machine more than is tolerated: the
// remaining stores may lack what the lost ones held, and must decline requests
// instead of answering without it.
func TestStoresDeclineAfterTooManyLosses(t *testing.T) {
	runFleet(t, 1, 3, 1, func(f *fleet) {
		a, b, c := f.machines[0], f.machines[1], f.machines[2]
		host := f.world.NewHost("edge-old", "zone-2")
		former := f.newSession(f.newClientOn(host), "p")
		former.runTurn()
		newHost := f.world.NewHost("edge-new", "zone-0")
		f.partition(newHost, c.host)
		f.partition(c.host, a.host) // only a and b get the takeover and its turn
		f.partition(c.host, b.host)
		begun, err := f.newClientOn(newHost).TakeOver(f.ctx(), "p", former.session, "gw-2", "run-2", former.epoch, retention)
		f.is.NoErr(err)
		f.is.True(begun.Granted)
		next := &sessionWriter{fleet: f, client: f.newClientOn(newHost), program: "p", session: former.session, owner: "gw-2", run: "run-2", epoch: begun.Epoch, maxTokens: 10, budget: 1 << 40}
		f.is.NoErr(next.finish("held by two"))
		removed := b.diskID
		f.wipe(b)
		f.start(b)
		f.net.Heal()
		for _, m := range []*machine{b, c} {
			f.partition(a.host, m.host)
		}
		f.partition(a.host, host)
		f.replaceDisk(removed, b)
		f.sleep(5 * time.Second)
		f.is.Equal(b.describe().Whole, uint64(0))
		_, err = former.begin("stale")
		f.is.True(base.IsCode(err, "ledger_unreachable"))
		f.is.True(former.finish("stale") != nil)
		_, err = former.client.Chain(f.ctx(), "p", "held by two")
		f.is.True(base.IsCode(err, "ledger_unreachable"))
		f.net.Heal()
		f.is.True(f.waitComplete(former.client))
		stale, err := former.begin("later")
		f.is.NoErr(err)
		f.is.True(!stale.Granted)
		f.is.Equal(stale.Run, "run-2")
		_, err = former.client.Chain(f.ctx(), "p", "held by two")
		f.is.NoErr(err)
	})
}

// TestFormerSetAcceptsNoMoreWrites lets a store become complete for a new set while a
// writer that uses the former set can still reach a quorum of that set: a turn that
// it gets acknowledged must be found under the new set.
func TestFormerSetAcceptsNoMoreWrites(t *testing.T) {
	seedsRun := 0
	for seed := uint64(1); seed <= 12; seed++ {
		runFleet(t, seed, 4, 1, func(f *fleet) {
			former := f.set
			byID := map[string]*machine{}
			for _, m := range f.machines {
				byID[m.diskID] = m
			}
			program := fmt.Sprintf("p%d", seed)
			order := base.RendezvousOrder(program, base.SortedKeys(byID))
			a, b, c, d := byID[order[0]], byID[order[1]], byID[order[2]], byID[order[3]]
			writer := f.world.NewHost("edge-former", a.host.Zone)
			f.partition(writer, b.host)
			for _, m := range []*machine{a, b, d} {
				f.partition(c.host, m.host)
			}
			f.set = &register.DiskSet{Stamp: 2, Cluster: "c", Disks: []*register.DiskEntry{a.entry(), b.entry(), d.entry()}}
			d.set = f.set
			d.store.NotifySetChange()
			f.sleep(3 * time.Second)
			f.is.Equal(d.describe().Whole, uint64(2))
			client := ledger.NewClient(writer.Clock(), f.net.HTTPClient(writer), func() *register.DiskSet { return former }, writer.Zone, 1, f.bounds, base.NewCounters(), nil)
			s := f.newSession(client, program)
			begun, err := s.begin("late")
			f.is.NoErr(err)
			f.is.True(begun.Granted)
			f.is.NoErr(s.finish("late"))
			reader := f.world.NewHost("edge-present", "zone-1")
			f.partition(reader, a.host)
			s.checkChain(f.newClientOn(reader), program)
			seedsRun++
		})
	}
	if seedsRun != 12 {
		t.Fatal("not all seeds ran")
	}
}
