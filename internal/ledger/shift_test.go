// Changes of the disk set at the worst moment: stores that cannot hear others
// out, and writers that go by the former set.
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

func (f *fleet) cut(a, b *simulate.Host) {
	f.net.Cut(a.Name, b.Name)
	f.net.Cut(b.Name, a.Name)
}

// TestTwoLostDecline loses one machine more than is tolerated: what is left
// has not seen what the lost ones held, and declines rather than guess.
func TestTwoLostDecline(t *testing.T) {
	play(t, 1, 3, 1, func(f *fleet) {
		a, b, c := f.stores[0], f.stores[1], f.stores[2]
		h := f.world.NewHost("edge-old", "zone-2")
		old := f.line(f.clientOn(h), "p")
		old.turn()
		other := f.world.NewHost("edge-new", "zone-0")
		f.cut(other, c.host)
		f.cut(c.host, a.host) // a and b have what c has not
		f.cut(c.host, b.host)
		begun, err := f.clientOn(other).TakeOver(f.ctx(), "p", old.session, "gw-2", "run-2", old.epoch, retain)
		f.is.NoErr(err)
		f.is.True(begun.Granted)
		next := &line{f: f, c: f.clientOn(other), program: "p", session: old.session, owner: "gw-2", run: "run-2", epoch: begun.Epoch, most: 10, budget: 1 << 40}
		f.is.NoErr(next.finish("held by two"))
		gone := b.id
		f.wipe(b)
		f.start(b)
		f.net.Heal()
		for _, m := range []*machine{b, c} {
			f.cut(a.host, m.host)
		}
		f.cut(a.host, h)
		f.replace(gone, b)
		f.sleep(5 * time.Second)
		f.is.Equal(b.state().Whole, uint64(0))
		_, err = old.begin("stale")
		f.is.True(base.IsCode(err, "ledger_unreachable"))
		f.is.True(old.finish("stale") != nil)
		_, err = old.c.Chain(f.ctx(), "p", "held by two")
		f.is.True(base.IsCode(err, "ledger_unreachable"))
		f.net.Heal()
		f.is.True(f.settled(old.c))
		stale, err := old.begin("later")
		f.is.NoErr(err)
		f.is.True(!stale.Granted)
		f.is.Equal(stale.Run, "run-2")
		_, err = old.c.Chain(f.ctx(), "p", "held by two")
		f.is.NoErr(err)
	})
}

// TestTheFormerSetIsGivenUp has a store come to be whole while a writer that
// goes by the former set still reaches a quorum of it.
func TestTheFormerSetIsGivenUp(t *testing.T) {
	tried := 0
	for seed := uint64(1); seed <= 12; seed++ {
		play(t, seed, 4, 1, func(f *fleet) {
			former := f.set
			byID := map[string]*machine{}
			for _, m := range f.stores {
				byID[m.id] = m
			}
			program := fmt.Sprintf("p%d", seed)
			order := base.Rendezvous(program, base.SortedKeys(byID))
			a, b, c, d := byID[order[0]], byID[order[1]], byID[order[2]], byID[order[3]]
			writer := f.world.NewHost("edge-former", a.host.Zone)
			f.cut(writer, b.host)
			for _, m := range []*machine{a, b, d} {
				f.cut(c.host, m.host)
			}
			f.set = &register.DiskSet{Stamp: 2, Cluster: "c", Disks: []*register.DiskEntry{a.entry(), b.entry(), d.entry()}}
			d.set = f.set
			d.store.NotifySetChange()
			f.sleep(3 * time.Second)
			f.is.Equal(d.state().Whole, uint64(2))
			client := ledger.NewClient(writer.Clock(), f.net.Wire(writer), func() *register.DiskSet { return former }, writer.Zone, 1, f.bounds, base.NewCounters(), nil)
			l := f.line(client, program)
			begun, err := l.begin("late")
			f.is.NoErr(err)
			f.is.True(begun.Granted)
			f.is.NoErr(l.finish("late"))
			reader := f.world.NewHost("edge-present", "zone-1")
			f.cut(reader, a.host)
			l.found(f.clientOn(reader), program)
			tried++
		})
	}
	if tried != 12 {
		t.Fatal("not all were tried")
	}
}
