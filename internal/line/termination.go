package line

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/session"
)

func (m *Manager) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

func (m *Manager) remove(s *ownedSession) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owned[s.key] == s {
		delete(m.owned, s.key)
	}
}

// Run drops sessions that have been idle for twice the recovery bound, as their lease
// is over: a later turn starts the next Run. It also removes expired turns from the
// history. It returns once the membership view is closed.
func (m *Manager) Run() {
	for !m.View.Closed() {
		m.Clock.Sleep(m.Bounds.Load().Recovery / 6)
		m.history.removeExpired()
		m.dropIdle(m.Clock.Now() - m.Bounds.Load().Recovery*2)
	}
}

// dropIdle drops the sessions that have not been used since a time. The ledger still
// assigns them to this node, which takes one up again when a turn for it is forwarded.
func (m *Manager) dropIdle(idleSince time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range base.SortedKeys(m.owned) {
		s := m.owned[id]
		s.mu.Lock()
		if s.running == nil && s.lastUsed < idleSince {
			s.phase = session.Failed
			delete(m.owned, id)
		}
		s.mu.Unlock()
	}
	if len(m.remoteOwners) > 1<<14 {
		clear(m.remoteOwners)
	}
}

// Drain closes all sessions on this node: accepted turns finish and new ones are
// declined here. It returns when no turn is running, the gateways that forwarded
// turns have received their ends and the ledger has all settlements, or after limit.
func (m *Manager) Drain(limit time.Duration) {
	m.mu.Lock()
	m.draining = true
	all := []*ownedSession{}
	for _, id := range base.SortedKeys(m.owned) {
		all = append(all, m.owned[id])
	}
	m.mu.Unlock()
	for _, s := range all {
		m.terminate(s, budget.Drain)
	}
	end := m.Clock.Now() + limit
	for m.BusySessions()+m.undeliveredStreams()+int(m.pendingSettlements.Load()) > 0 && m.Clock.Now() < end {
		m.Clock.Sleep(m.Bounds.Load().Recovery / 120)
	}
}

// BusySessions returns the number of sessions with a running turn.
func (m *Manager) BusySessions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, s := range m.owned {
		s.mu.Lock()
		if s.running != nil {
			count++
		}
		s.mu.Unlock()
	}
	return count
}

// Terminate ends a session's Run on this node, and returns false when this node does
// not own the session. A termination only escalates.
func (m *Manager) Terminate(program, sessionID string, mode budget.Termination) bool {
	m.mu.Lock()
	s := m.owned[program+" "+sessionID]
	m.mu.Unlock()
	if s == nil {
		return false
	}
	m.terminate(s, mode)
	return true
}

func (m *Manager) terminate(s *ownedSession, mode budget.Termination) {
	s.mu.Lock()
	s.termination = s.termination.Escalate(mode)
	if s.phase.CanBecome(session.Finalizing) {
		s.phase = session.Finalizing
	}
	running, dropped := s.running, []*operation(nil)
	if s.termination == budget.Immediate {
		dropped, s.queue = s.queue, nil
	}
	s.mu.Unlock()
	if s.termination != budget.Immediate {
		return
	}
	for _, op := range dropped {
		op.stream.fail(m.retryElsewhere("session_terminating", "the session was terminated before the turn ran"))
	}
	if running != nil {
		running.cancel()
	}
}

// Status is a session as clients see it. Reading it never waits in the queue.
type Status struct {
	Session     string             `json:"session"`
	Program     string             `json:"program"`
	Run         string             `json:"run"`
	Epoch       uint64             `json:"epoch"`
	Phase       session.Phase      `json:"phase"`
	Termination budget.Termination `json:"termination,omitempty"`
	Waiting     int                `json:"waiting"`
	Running     string             `json:"running,omitempty"`
}

// List returns the status of up to limit sessions that this node owns.
func (m *Manager) List(limit int) []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	statuses := []Status{}
	for _, id := range base.SortedKeys(m.owned) {
		if len(statuses) == limit {
			break
		}
		s := m.owned[id]
		s.mu.Lock()
		status := Status{Session: s.session, Program: s.program, Phase: s.phase, Termination: s.termination, Waiting: len(s.queue)}
		if s.assignment != nil {
			status.Run, status.Epoch = s.assignment.Run, s.assignment.Epoch
		}
		if s.running != nil {
			status.Running = s.running.call.ID
		}
		s.mu.Unlock()
		statuses = append(statuses, status)
	}
	return statuses
}
