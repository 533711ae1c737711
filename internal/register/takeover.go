// Taking over a slot: promises by a majority of the disks under a higher
// epoch, the newest content among them, and its installation before serving.

package register

import (
	"encoding/binary"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"

	"github.com/emirpasic/gods/maps/treemap"
)

func (o *Server) preferred(s *slot) string {
	order := ownersFor(o.view, s.num)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// probedAhead is how many cores that go before this one in a slot's order are
// looked after at once when this one is asked.
const probedAhead = 3

// ahead names the core that should take a slot before this one: the first in
// the slot's order that answers this core, whatever others find. What a silent
// one owns is taken from it by a higher epoch.
func (o *Server) ahead(s *slot) string {
	for _, id := range ownersFor(o.view, s.num) {
		switch {
		case id == o.view.SelfID():
			return ""
		case !o.unheard(id):
			return id
		}
	}
	return o.preferred(s)
}

// unheard tells that a core has lately given this one no answer.
func (o *Server) unheard(core string) bool {
	return o.view.Unanswered(core, 2*o.bounds.Load().Beat())
}

// lookAhead probes the cores that go before this one in a slot's order, since
// whoever asks here may have found them silent, and what this core found of them
// may be old. It waits until the first has answered, or has had a heartbeat
// interval to do so.
func (o *Server) lookAhead(ctx *base.Ctx, s *slot) {
	var first base.Signal
	for place, id := range ownersFor(o.view, s.num) {
		if id == o.view.SelfID() || place >= probedAhead {
			break
		}
		if probe := o.view.Probe(id); place == 0 && !o.unheard(id) {
			first = probe
		}
	}
	if first != nil {
		first.Wait(min(ctx.Left()/2, o.bounds.Load().Beat()*11/10))
	}
}

func (o *Server) start(s *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != idle || o.isClosed() {
		return
	}
	s.phase = taking
	o.clock.Go(func() {
		err := o.take(s)
		if base.IsCode(err, "older_epoch") {
			err = o.take(s) // the disks told which epoch they are at
		}
		if err != nil {
			o.counters.Add("slot_takes_failed", 1)
			o.pauseTaking(err)
			s.mu.Lock()
			s.phase = idle
			s.mu.Unlock()
			s.bell.Ring()
		}
	})
}

// pauseTaking waits before a shard is taken again. Without a disk set only news
// of storage machines can help.
func (o *Server) pauseTaking(failed error) {
	pause := o.bounds.Load().Beat() / 4
	if base.IsCode(failed, "no_disks") {
		o.view.NextChange().Wait(pause)
		return
	}
	o.clock.Sleep(pause + time.Duration(o.clock.Int64N(int64(pause))))
}

func (o *Server) take(s *slot) error {
	set := o.LookupDiskSet()
	if set == nil {
		return base.Busy(503, "no_disks", 1, "no disk set is known")
	}
	s.mu.Lock()
	s.highest++
	epoch := s.highest
	s.mu.Unlock()
	began := o.clock.Now()
	var promises promises
	var mu sync.Mutex
	taken := false // a disk has promised this epoch or a higher one to another core
	promised := base.Ask(o.clock, voters(set), majority(set), o.bounds.Load().DiskLimit(), func(ctx *base.Ctx, entry *DiskEntry) bool {
		reply, err := o.promise(ctx, entry, &PromiseRequest{Claim: o.claim(s, epoch, set, entry)})
		if err != nil {
			return false
		}
		if !reply.Ack.Ok {
			o.agreeOnSet(entry, reply.Ack)
			s.mu.Lock()
			s.highest = max(s.highest, reply.Ack.Epoch)
			s.mu.Unlock()
			mu.Lock()
			taken = taken || reply.Ack.Epoch >= epoch
			mu.Unlock()
			return false
		}
		promises.add(entry, reply)
		return true
	})
	if !promised {
		mu.Lock()
		learnt := taken
		mu.Unlock()
		if learnt {
			return base.Busy(503, "older_epoch", 1, "the disks have promised a higher epoch")
		}
		o.noteQuorum(false, began)
		return base.Busy(503, "no_majority", 1, "no majority of disks")
	}
	o.noteQuorum(true, began)
	content, age, holders := promises.newest()
	puts, err := o.readContent(s, epoch, set, content, holders)
	if err != nil {
		return err
	}
	held := treemap.NewWithStringComparator()
	for _, put := range puts {
		held.Put(put.Key, put.Value)
	}
	s.mu.Lock()
	s.epoch, s.held, s.tail, s.commit, s.based, s.buffer = epoch, held, content.Seq, 0, false, nil
	s.time, s.timeFrom = 0, o.clock.Now()
	if raw, ok := held.Get(TimeKey); ok {
		kept, _ := binary.Varint(raw.([]byte))
		s.time = kept + age // no disk has held it for longer than it is old
	}
	s.progress, s.transfers = map[string]*consensus.Progress{}, map[string]*transfer{}
	s.mu.Unlock()
	o.refit(s)
	end, partsTaken := o.clock.Now()+o.bounds.Load().Call(), 0
	for {
		next := s.bell.Next()
		s.mu.Lock()
		if s.partsTaken != partsTaken {
			end, partsTaken = o.clock.Now()+o.bounds.Load().Call(), s.partsTaken
		}
		if s.epoch != epoch {
			s.mu.Unlock()
			return base.Busy(503, "fenced", 1, "another core took the slot")
		}
		if s.based {
			s.phase = serving
			s.mu.Unlock()
			s.bell.Ring()
			o.counters.Add("slots_taken", 1)
			return nil
		}
		s.mu.Unlock()
		if !next.Wait(max(0, end-o.clock.Now())) {
			//NOSTEP
			return base.Busy(503, "no_majority", 1, "no majority of disks")
		}
	}
}

// promise asks a disk again while it cannot be reached: after an outage disks
// come back one by one, and the last that a majority needs is not to be missed.
func (o *Server) promise(ctx *base.Ctx, entry *DiskEntry, request *PromiseRequest) (*PromiseReply, error) {
	for {
		reply, err := o.disk(entry).Promise(ctx, request)
		pause := o.bounds.Load().Beat() / 12
		if err == nil || !base.WasNotSent(err) || ctx.Left() < pause || o.isClosed() {
			return reply, err
		}
		o.clock.Sleep(pause/2 + time.Duration(o.clock.Int64N(int64(pause))))
	}
}

func (o *Server) stepDown(s *slot, epoch, higher uint64) {
	s.mu.Lock()
	s.highest = max(s.highest, higher)
	if s.epoch == epoch {
		if s.phase == serving {
			s.phase = idle
			o.counters.Add("slots_lost", 1)
		}
		s.epoch, s.held, s.buffer, s.progress, s.transfers = 0, nil, nil, nil, nil
	}
	s.mu.Unlock()
	s.bell.Ring()
}
