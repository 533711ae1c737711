// How sessions end and the owner leaves: termination that only escalates, draining,
// and the list of what is held.

package line

import (
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/session"
)

func (k *Manager) isDraining() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.draining
}

func (k *Manager) drop(h *held) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held[h.line] == h {
		delete(k.held, h.line)
	}
}

// Run lets go of sessions that have been quiet for a while: their lease is
// over, and a later turn gets the next Run.
func (k *Manager) Run() {
	for !k.View.Closed() {
		k.Clock.Sleep(k.Bounds.Load().Recover / 6)
		quiet := k.Clock.Now() - k.Bounds.Load().Recover*2
		k.history.sweep()
		k.mu.Lock()
		for _, id := range base.SortedKeys(k.held) {
			h := k.held[id]
			h.mu.Lock()
			if h.running == nil && h.used < quiet {
				h.phase = session.Failed
				delete(k.held, id)
			}
			h.mu.Unlock()
		}
		if len(k.elsewhere) > 1<<14 {
			clear(k.elsewhere)
		}
		k.mu.Unlock()
	}
}

// Drain ends all lines here: accepted turns finish, new ones go elsewhere. It is
// over when whoever forwarded a turn has its end too, and the ledger has heard what
// was spent.
func (k *Manager) Drain(limit time.Duration) {
	k.mu.Lock()
	k.draining = true
	all := []*held{}
	for _, id := range base.SortedKeys(k.held) {
		all = append(all, k.held[id])
	}
	k.mu.Unlock()
	for _, h := range all {
		k.terminate(h, budget.Drain)
	}
	end := k.Clock.Now() + limit
	for k.BusySessions()+k.owing()+int(k.settling.Load()) > 0 && k.Clock.Now() < end {
		k.Clock.Sleep(k.Bounds.Load().Recover / 120)
	}
}

// BusySessions counts the sessions with a turn under way.
func (k *Manager) BusySessions() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	count := 0
	for _, h := range k.held {
		h.mu.Lock()
		if h.running != nil {
			count++
		}
		h.mu.Unlock()
	}
	return count
}

// Terminate ends a session's Run here; it only escalates.
func (k *Manager) Terminate(program, id string, mode budget.Termination) bool {
	k.mu.Lock()
	found := k.held[program+" "+id]
	k.mu.Unlock()
	if found == nil {
		return false
	}
	k.terminate(found, mode)
	return true
}

func (k *Manager) terminate(h *held, mode budget.Termination) {
	h.mu.Lock()
	h.termination = h.termination.Escalate(mode)
	if h.phase.CanBecome(session.Finalizing) {
		h.phase = session.Finalizing
	}
	running, waiting := h.running, []*operation(nil)
	if h.termination == budget.Immediate {
		waiting, h.queue = h.queue, nil
	}
	h.mu.Unlock()
	if h.termination != budget.Immediate {
		return
	}
	for _, op := range waiting {
		op.stream.fail(k.elsewhereNow("session_terminating", "the session is ending; the turn has not run"))
	}
	if running != nil {
		running.cancel()
	}
}

// Status is what a read of a session shows; it never waits in the queue.
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

// List shows the sessions this node owns.
func (k *Manager) List(limit int) []Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	found := []Status{}
	for _, id := range base.SortedKeys(k.held) {
		if len(found) == limit {
			break
		}
		h := k.held[id]
		h.mu.Lock()
		one := Status{Session: h.session, Program: h.program, Phase: h.phase, Termination: h.termination, Waiting: len(h.queue)}
		if h.assignment != nil {
			one.Run, one.Epoch = h.assignment.Run, h.assignment.Epoch
		}
		if h.running != nil {
			one.Running = h.running.call.ID
		}
		h.mu.Unlock()
		found = append(found, one)
	}
	return found
}
