// Probing: looking after members, by oneself and through others, and what this
// node suspects in consequence.

package membership

import (
	"context"
	"sync"
	"time"

	"fordseam/internal/base"
)

// Unanswered reports whether a member gave this node's own last question no answer,
// as was found within a span. It may live: others may hear it.
func (v *View) Unanswered(id string, within time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	held, ok := v.known[id]
	return ok && held.unheard && v.clock.Now()-held.unheardAt <= within
}

// hear notes whether a member answered this node's own question.
func (v *View) hear(id string, answered bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if held, ok := v.known[id]; ok {
		held.unheard, held.unheardAt = !answered, v.clock.Now()
	}
}

// Probe looks after a member that another node found silent, and doubts it
// when no sign of life comes in two beats, until others say that it lives. The
// signal fires at the end of the probe; nil where there is nobody to probe.
func (v *View) Probe(id string) base.Signal {
	over, fresh := v.probe(id)
	if fresh {
		v.clock.Go(func() {
			if !over.Wait(2 * v.bounds.Load().Beat()) {
				v.doubt(id)
			}
		})
	}
	return over
}

// probe asks a member for a sign of life; when none comes soon, others are
// asked to look, and it is suspected when they find it silent too. One probe
// at a time goes to each member. The signal fires once there is an outcome;
// fresh tells that this call began the probe.
func (v *View) probe(id string) (over base.Signal, fresh bool) {
	v.mu.Lock()
	held, ok := v.known[id]
	if !ok || v.closed {
		v.mu.Unlock()
		return nil, false
	}
	if held.probe != nil {
		defer v.mu.Unlock()
		return held.probe, false
	}
	over = v.clock.NewSignal()
	held.probe = over
	member := copyMember(held.member)
	v.mu.Unlock()
	v.clock.Go(func() {
		v.verify(member)
		v.mu.Lock()
		held.probe = nil
		v.mu.Unlock()
		over.Fire()
	})
	return over, true
}

// verify waits a beat for an answer before it asks others; an answer that comes
// while they look still counts, so that a slow node is not taken for a lost one.
func (v *View) verify(member *Member) {
	beat, began := v.bounds.Load().Beat(), v.clock.Now()
	answered, heard := v.clock.NewSignal(), v.clock.NewSignal()
	v.clock.Go(func() {
		defer answered.Fire()
		found, err := v.exchange(member.Addr, beat*15/4, false)
		if err != nil {
			return
		}
		heard.Fire()
		if found == member.Id {
			v.trust(found)
		}
	})
	answered.Wait(beat)
	if heard.Fired() || v.clock.Now()-began > 3*beat {
		return // it lives, or this node slept and is no judge
	}
	v.hear(member.Id, false)
	yes, no := v.askOthers(member)
	switch {
	case heard.Fired() || v.clock.Now()-began > 6*beat:
	case yes:
		v.trust(member.Id)
	case no:
		v.declareLost(member)
	default:
		v.doubt(member.Id)
	}
}

// askOthers has a few others look for a member, one of its own zone among them
// if there is one.
func (v *View) askOthers(member *Member) (yes, no bool) {
	v.mu.Lock()
	its, others := []string{}, []string{}
	for _, id := range base.SortedKeys(v.known) {
		held := v.known[id]
		switch {
		case id == member.Id || !v.alive(held):
		case held.member.Zone == member.Zone:
			its = append(its, held.member.Addr)
		default:
			others = append(others, held.member.Addr)
		}
	}
	v.mix(its)
	v.mix(others)
	asked := append(its[:min(1, len(its))], others...)
	if len(asked) < relays && len(its) > 1 {
		asked = append(asked, its[1:]...)
	}
	v.mu.Unlock()
	var mu sync.Mutex
	answers := 0
	yes = base.Ask(v.clock, asked[:min(relays, len(asked))], 1, v.bounds.Load().Beat()*11/4, func(ctx *base.Ctx, addr string) bool {
		reply, err := NewMembershipProtobufClient("http://"+addr, v.wire).PingReq(ctx, &PingRequest{Addr: member.Addr, Id: member.Id})
		mu.Lock()
		defer mu.Unlock()
		if err == nil && !reply.Alive {
			answers++
		}
		return err == nil && reply.Alive
	})
	mu.Lock()
	defer mu.Unlock()
	return yes, answers > 0
}

// PingReq looks for a member on behalf of another node.
func (v *View) PingReq(_ context.Context, request *PingRequest) (*PingReply, error) {
	found, err := v.exchange(request.Addr, v.bounds.Load().Beat()*9/4, false)
	return &PingReply{Alive: err == nil && found == request.Id}, nil
}

// trust takes a doubt of this node's own back.
func (v *View) trust(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if held, ok := v.known[id]; ok {
		held.doubted = 0
		v.changed()
	}
}

// declareLost takes a member for lost, tells all, and looks at others of its
// zone when that is not this node's own: a zone may have been cut off whole.
func (v *View) declareLost(member *Member) {
	v.doubt(member.Id)
	v.mu.Lock()
	held, ok := v.known[member.Id]
	if !ok || held.member.Incarnation > member.Incarnation {
		v.mu.Unlock()
		return
	}
	fresh := held.accused < member.Incarnation
	v.suspectPublicly(held, member.Incarnation)
	v.spread(&Member{Id: member.Id, Incarnation: member.Incarnation, State: State_SUSPECTED}, true)
	also := []string{}
	for _, id := range base.SortedKeys(v.known) {
		if other := v.known[id]; fresh && member.Zone != v.self.Zone && other.member.Zone == member.Zone && v.alive(other) {
			also = append(also, id)
		}
	}
	v.mix(also)
	v.mu.Unlock()
	for _, id := range also[:min(relays, len(also))] {
		v.probe(id)
	}
}

// suspectPublicly marks a suspicion that is public; the caller holds the lock.
func (v *View) suspectPublicly(held *neighbour, incarnation uint64) {
	if held.accused >= incarnation {
		return
	}
	if v.alive(held) {
		v.counters.Add("members_suspected", 1)
	}
	held.accused, held.accusedAt, held.lost = incarnation, v.clock.Now(), v.clock.Now()
	v.changed()
}

// Suspect doubts a member until it or another gives a sign of its life.
func (v *View) Suspect(id string) {
	if v.doubt(id) {
		v.probe(id)
	}
}

// doubt marks this node's own suspicion, and tells whether that is new.
func (v *View) doubt(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	held, ok := v.known[id]
	if !ok || held.doubted >= held.member.Incarnation {
		return false
	}
	if v.alive(held) {
		v.counters.Add("members_suspected", 1)
		held.lost = v.clock.Now()
	}
	held.doubted = held.member.Incarnation
	v.changed()
	return true
}

// SuspectAddr doubts whoever lives at an address.
func (v *View) SuspectAddr(addr string) {
	if id := v.at(addr); id != "" {
		v.Suspect(id)
	}
}

// doubtAt doubts whoever lives at an address that refuses connections.
func (v *View) doubtAt(addr string) {
	if id := v.at(addr); id != "" {
		v.doubt(id)
	}
}
