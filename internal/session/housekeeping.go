// What the keeper does by itself: forgets what nobody asks for any more, hands
// over what is left when the node leaves, and ends with it.

package session

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
)

// SetTerminations takes in from the feed which programs were told to end.
func (k *Manager) SetTerminations(ended map[string]budget.Termination) {
	k.mu.Lock()
	k.ended = ended
	touched := []*held{}
	for _, id := range base.SortedKeys(k.held) {
		found := k.held[id]
		if _, ok := ended[found.program]; ok {
			touched = append(touched, found)
		}
	}
	k.mu.Unlock()
	for _, h := range touched {
		k.clock.Go(func() { k.endBy(h, ended[h.program]) })
	}
}

// Run looks after leases, understudies and what has been kept long enough.
func (k *Manager) Run() {
	for {
		k.clock.Sleep(k.bounds.Load().Beat())
		k.mu.Lock()
		if k.closed {
			k.mu.Unlock()
			return
		}
		all := []*held{}
		for _, id := range base.SortedKeys(k.held) {
			all = append(all, k.held[id])
		}
		k.prune()
		k.mu.Unlock()
		for _, h := range all {
			k.tend(h)
		}
	}
}

// prune forgets what no one can ask for any more; the caller holds the lock.
func (k *Manager) prune() {
	now, bounds := k.clock.Now(), k.bounds.Load()
	for id, mark := range k.declined {
		if now-mark.at > 10*bounds.Recover {
			delete(k.declined, id)
		}
	}
	for id, copied := range k.copies {
		if now-copied.at > bounds.Retain*5/4 {
			delete(k.copies, id)
		}
	}
	for id, stream := range k.streams {
		if stream.over() && now-stream.lastPulled() > 2*bounds.Recover {
			delete(k.streams, id)
		}
	}
	for id, h := range k.held {
		if h.forgettable(now, bounds) {
			delete(k.held, id)
		}
	}
}

// Close stops the keeper's own tasks.
func (k *Manager) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
}

// closingShare is the part of a planned stop's time that is left for answering
// the requests whose turns did not end before it.
const closingShare = 8

// Drain finishes what was accepted and hands each session to its standby; new
// turns wait for the hand-over and go on there. A turn may take longer than the
// stop: what is still carried near its end is answered as cut.
func (k *Manager) Drain(limit time.Duration) {
	limit -= limit / closingShare
	k.clock.Go(func() {
		k.clock.Sleep(limit)
		k.stopping.Fire()
	})
	k.mu.Lock()
	k.draining = true
	all := []*held{}
	for _, id := range base.SortedKeys(k.held) {
		all = append(all, k.held[id])
	}
	k.mu.Unlock()
	base.AskAll(k.clock, all, limit, func(ctx *base.Ctx, h *held) { k.handOver(h, ctx.Until-k.bounds.Load().Call()) })
	k.flush()
}

// flush gives partners that carry streams to their callers a little time to
// pull the last pieces.
func (k *Manager) flush() {
	hold := k.bounds.Load().Pull()
	for end := k.clock.Now() + hold; k.clock.Now() < end; k.clock.Sleep(hold / 20) {
		owed := false
		k.mu.Lock()
		for _, id := range base.SortedKeys(k.streams) {
			owed = owed || k.streams[id].owed(k.clock.Now()-2*hold)
		}
		k.mu.Unlock()
		if !owed {
			return
		}
	}
}

// Sizes counts what this node keeps of sessions: owned, understudied, and
// streams carried for other gateways.
func (k *Manager) Sizes() (owned, copies, streams int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.held), len(k.copies), len(k.streams)
}
