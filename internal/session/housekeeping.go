// What the keeper does by itself: forgets what nobody asks for any more, hands
// over what is left when the node leaves, and ends with it.

package session

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
)

// SetTerminations takes in from the feed which programs were told to end.
func (m *Manager) SetTerminations(terminations map[string]budget.Termination) {
	m.mu.Lock()
	m.terminations = terminations
	affected := []*ownedSession{}
	for _, id := range base.SortedKeys(m.owned) {
		s := m.owned[id]
		if _, ok := terminations[s.program]; ok {
			affected = append(affected, s)
		}
	}
	m.mu.Unlock()
	for _, s := range affected {
		m.clock.Go(func() { m.terminateForProgram(s, terminations[s.program]) })
	}
}

// Run looks after leases, understudies and what has been kept long enough.
func (m *Manager) Run() {
	for {
		m.clock.Sleep(m.bounds.Load().Beat())
		m.mu.Lock()
		if m.closed {
			m.mu.Unlock()
			return
		}
		all := []*ownedSession{}
		for _, id := range base.SortedKeys(m.owned) {
			all = append(all, m.owned[id])
		}
		m.prune()
		m.mu.Unlock()
		for _, s := range all {
			m.maintain(s)
		}
	}
}

// prune forgets what no one can ask for any more; the caller holds the lock.
func (m *Manager) prune() {
	now, bounds := m.clock.Now(), m.bounds.Load()
	for id, outcome := range m.outcomes {
		if now-outcome.recordedAt > 10*bounds.Recover {
			delete(m.outcomes, id)
		}
	}
	for id, copied := range m.standbyCopies {
		if now-copied.updatedAt > bounds.Retain*5/4 {
			delete(m.standbyCopies, id)
		}
	}
	for id, stream := range m.forwardedStreams {
		if stream.ended() && now-stream.lastPulled() > 2*bounds.Recover {
			delete(m.forwardedStreams, id)
		}
	}
	for id, s := range m.owned {
		if s.canForget(now, bounds) {
			delete(m.owned, id)
		}
	}
}

// Close stops the keeper's own tasks.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
}

// closingShare is the part of a planned stop's time that is left for answering
// the requests whose turns did not end before it.
const drainReserveDivisor = 8

// Drain finishes what was accepted and hands each session to its standby; new
// turns wait for the hand-over and go on there. A turn may take longer than the
// stop: what is still carried near its end is answered as cut.
func (m *Manager) Drain(limit time.Duration) {
	limit -= limit / drainReserveDivisor
	m.clock.Go(func() {
		m.clock.Sleep(limit)
		m.stopping.Fire()
	})
	m.mu.Lock()
	m.draining = true
	all := []*ownedSession{}
	for _, id := range base.SortedKeys(m.owned) {
		all = append(all, m.owned[id])
	}
	m.mu.Unlock()
	base.AskAll(m.clock, all, limit, func(ctx *base.Ctx, s *ownedSession) { m.handOver(s, ctx.Until-m.bounds.Load().Call()) })
	m.waitForPulls()
}

// flush gives partners that carry streams to their callers a little time to
// pull the last pieces.
func (m *Manager) waitForPulls() {
	wait := m.bounds.Load().Pull()
	for end := m.clock.Now() + wait; m.clock.Now() < end; m.clock.Sleep(wait / 20) {
		unpulled := false
		m.mu.Lock()
		for _, id := range base.SortedKeys(m.forwardedStreams) {
			unpulled = unpulled || m.forwardedStreams[id].hasUnpulled(m.clock.Now()-2*wait)
		}
		m.mu.Unlock()
		if !unpulled {
			return
		}
	}
}

// Sizes counts what this node keeps of sessions: owned, understudied, and
// streams carried for other gateways.
func (m *Manager) Sizes() (owned, standbyCopies, forwardedStreams int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.owned), len(m.standbyCopies), len(m.forwardedStreams)
}
