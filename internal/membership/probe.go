package membership

import (
	"context"
	"sync"
	"time"

	"fordseam/internal/base"
)

// Unanswered reports whether a member left this node's own last message
// unanswered, and that was found no longer than within ago. The member may be
// alive and answer others.
func (v *View) Unanswered(id string, within time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.known[id]
	return ok && p.unanswered && v.clock.Now()-p.unansweredAt <= within
}

// recordAnswer records whether a member answered this node's own message.
func (v *View) recordAnswer(id string, answered bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p, ok := v.known[id]; ok {
		p.unanswered, p.unansweredAt = !answered, v.clock.Now()
	}
}

// Probe probes a member that another node found unresponsive, and suspects it
// if the probe has no outcome after two heartbeat intervals. Word from other
// nodes that the member is alive clears that suspicion. The returned signal
// fires at the end of the probe; it is nil if the member is unknown or the view
// is closed.
func (v *View) Probe(id string) base.Signal {
	done, started := v.probe(id)
	if started {
		v.clock.Go(func() {
			if !done.Wait(2 * v.bounds.Load().HeartbeatInterval()) {
				v.suspectLocally(id)
			}
		})
	}
	return done
}

// probe starts a probe of a member unless one is under way, and returns the
// signal that fires at its end. started reports whether this call began the
// probe. See verify for what a probe does.
func (v *View) probe(id string) (done base.Signal, started bool) {
	v.mu.Lock()
	p, ok := v.known[id]
	if !ok || v.closed {
		v.mu.Unlock()
		return nil, false
	}
	if p.probeDone != nil {
		defer v.mu.Unlock()
		return p.probeDone, false
	}
	done = v.clock.NewSignal()
	p.probeDone = done
	member := cloneMember(p.member)
	v.mu.Unlock()
	v.clock.Go(func() {
		v.verify(member)
		v.mu.Lock()
		p.probeDone = nil
		v.mu.Unlock()
		done.Fire()
	})
	return done, true
}

// verify sends a member a message and waits a heartbeat interval for the reply
// before it asks other nodes to probe the member. A reply that comes meanwhile
// still counts, so that a slow node is not taken for a lost one.
func (v *View) verify(member *Member) {
	beat, began := v.bounds.Load().HeartbeatInterval(), v.clock.Now()
	exchangeDone, replied := v.clock.NewSignal(), v.clock.NewSignal()
	v.clock.Go(func() {
		defer exchangeDone.Fire()
		id, err := v.exchange(member.Addr, beat*15/4, false)
		if err != nil {
			return
		}
		replied.Fire()
		if id == member.Id {
			v.clearLocalSuspicion(id)
		}
	})
	exchangeDone.Wait(beat)
	if replied.Fired() || v.clock.Now()-began > 3*beat {
		return // it is alive, or this process was suspended and cannot tell
	}
	v.recordAnswer(member.Id, false)
	alive, unresponsive := v.probeIndirectly(member)
	switch {
	case replied.Fired() || v.clock.Now()-began > 6*beat:
	case alive:
		v.clearLocalSuspicion(member.Id)
	case unresponsive:
		v.shareSuspicion(member)
	default:
		v.suspectLocally(member.Id)
	}
}

// probeIndirectly has a few other nodes probe a member, including one of its
// own zone if there is one. alive means that one of them got a reply,
// unresponsive that one of them reported none.
func (v *View) probeIndirectly(member *Member) (alive, unresponsive bool) {
	v.mu.Lock()
	sameZone, others := []string{}, []string{}
	for _, id := range base.SortedKeys(v.known) {
		p := v.known[id]
		switch {
		case id == member.Id || !v.isAlive(p):
		case p.member.Zone == member.Zone:
			sameZone = append(sameZone, p.member.Addr)
		default:
			others = append(others, p.member.Addr)
		}
	}
	v.shuffle(sameZone)
	v.shuffle(others)
	helpers := append(sameZone[:min(1, len(sameZone))], others...)
	if len(helpers) < indirectProbers && len(sameZone) > 1 {
		helpers = append(helpers, sameZone[1:]...)
	}
	v.mu.Unlock()
	var mu sync.Mutex
	negatives := 0
	alive = base.CallQuorum(v.clock, helpers[:min(indirectProbers, len(helpers))], 1, v.bounds.Load().HeartbeatInterval()*11/4, func(ctx *base.Ctx, addr string) bool {
		reply, err := NewMembershipProtobufClient("http://"+addr, v.httpClient).PingReq(ctx, &PingRequest{Addr: member.Addr, Id: member.Id})
		mu.Lock()
		defer mu.Unlock()
		if err == nil && !reply.Alive {
			negatives++
		}
		return err == nil && reply.Alive
	})
	mu.Lock()
	defer mu.Unlock()
	return alive, negatives > 0
}

// PingReq probes a member on behalf of another node.
func (v *View) PingReq(_ context.Context, request *PingRequest) (*PingReply, error) {
	id, err := v.exchange(request.Addr, v.bounds.Load().HeartbeatInterval()*9/4, false)
	return &PingReply{Alive: err == nil && id == request.Id}, nil
}

// clearLocalSuspicion ends this node's own suspicion of a member.
func (v *View) clearLocalSuspicion(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p, ok := v.known[id]; ok {
		p.localSuspicion = 0
		v.invalidateSnapshot()
	}
}

// shareSuspicion suspects a member and announces it. If the member is in
// another zone, it also probes others there, because the whole zone may be cut
// off.
func (v *View) shareSuspicion(member *Member) {
	v.suspectLocally(member.Id)
	v.mu.Lock()
	p, ok := v.known[member.Id]
	if !ok || p.member.Incarnation > member.Incarnation {
		v.mu.Unlock()
		return
	}
	newlySuspected := p.sharedSuspicion < member.Incarnation
	v.recordSharedSuspicion(p, member.Incarnation)
	v.enqueueUpdate(&Member{Id: member.Id, Incarnation: member.Incarnation, State: State_SUSPECTED}, true)
	sameZone := []string{}
	for _, id := range base.SortedKeys(v.known) {
		if other := v.known[id]; newlySuspected && member.Zone != v.self.Zone && other.member.Zone == member.Zone && v.isAlive(other) {
			sameZone = append(sameZone, id)
		}
	}
	v.shuffle(sameZone)
	v.mu.Unlock()
	for _, id := range sameZone[:min(indirectProbers, len(sameZone))] {
		v.probe(id)
	}
}

// recordSharedSuspicion marks a member as suspected by announcement. The caller
// holds the lock.
func (v *View) recordSharedSuspicion(p *peer, incarnation uint64) {
	if p.sharedSuspicion >= incarnation {
		return
	}
	if v.isAlive(p) {
		v.counters.Add("members_suspected", 1)
	}
	p.sharedSuspicion, p.sharedSuspicionAt, p.suspectedAt = incarnation, v.clock.Now(), v.clock.Now()
	v.invalidateSnapshot()
}

// Suspect marks a member as suspected by this node and probes it. A sign of
// life, to this node or another, ends the suspicion.
func (v *View) Suspect(id string) {
	if v.suspectLocally(id) {
		v.probe(id)
	}
}

// suspectLocally marks a member as suspected by this node only, and reports
// whether that is new.
func (v *View) suspectLocally(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.known[id]
	if !ok || p.localSuspicion >= p.member.Incarnation {
		return false
	}
	if v.isAlive(p) {
		v.counters.Add("members_suspected", 1)
		p.suspectedAt = v.clock.Now()
	}
	p.localSuspicion = p.member.Incarnation
	v.invalidateSnapshot()
	return true
}

// SuspectAddr calls Suspect for the member at an address.
func (v *View) SuspectAddr(addr string) {
	if id := v.idAtAddr(addr); id != "" {
		v.Suspect(id)
	}
}

// suspectLocallyAtAddr suspects the member at an address that refuses
// connections.
func (v *View) suspectLocallyAtAddr(addr string) {
	if id := v.idAtAddr(addr); id != "" {
		v.suspectLocally(id)
	}
}
