package session

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
)

// SetTerminations takes from the feed the terminations requested of programs and
// ends their sessions on this node.
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

// Run maintains leases and standbys and deletes expired state until Close.
func (m *Manager) Run() {
	for {
		m.clock.Sleep(m.bounds.Load().HeartbeatInterval())
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

// prune deletes state that no request can refer to any more. The caller holds m.mu.
func (m *Manager) prune() {
	now, bounds := m.clock.Now(), m.bounds.Load()
	for id, outcome := range m.outcomes {
		if now-outcome.recordedAt > 10*bounds.Recovery {
			delete(m.outcomes, id)
		}
	}
	for id, standby := range m.standbyCopies {
		if now-standby.updatedAt > bounds.Retention*5/4 {
			delete(m.standbyCopies, id)
		}
	}
	for id, stream := range m.forwardedStreams {
		if stream.ended() && now-stream.lastPulled() > 2*bounds.Recovery {
			delete(m.forwardedStreams, id)
		}
	}
	for id, s := range m.owned {
		if s.canForget(now, bounds) {
			delete(m.owned, id)
		}
	}
}

// Close makes Run return.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
}

// drainReserveDivisor reserves an eighth of the time for a drain for answering the
// requests whose turns have not ended by then.
const drainReserveDivisor = 8

// Drain finishes the accepted turns and hands each session over to its standby. New
// turns wait for the handover and continue there. A turn may take longer than limit:
// streams that are open near its end are answered as cut.
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
	base.CallAll(m.clock, all, limit, func(ctx *base.Ctx, s *ownedSession) { m.handOver(s, ctx.ExpiresAt-m.bounds.Load().CoreCallTimeout()) })
	m.waitForPulls()
}

// waitForPulls gives other gateways up to one pull interval to pull the last pieces
// of forwarded streams.
func (m *Manager) waitForPulls() {
	wait := m.bounds.Load().PullWait()
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

// Sizes returns the number of sessions owned here, of standby copies, and of streams
// kept for other gateways.
func (m *Manager) Sizes() (owned, standbyCopies, forwardedStreams int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.owned), len(m.standbyCopies), len(m.forwardedStreams)
}
