// The ledger is the outside record of one run beyond the callers' own: what
// operators were told of their changes, what gateways showed, which workers
// were known to leave and who was given work, what planned stops dropped, and
// how long the fleet took to be back. Each fact is judged as it comes in, so
// every run that keeps a ledger watches the same must-nevers.

package standin

import (
	"time"

	"fordseam/internal/base"
)

// The brief's bounds.
const (
	MaxSettingsDelay = 2 * time.Second
	MaxLeaveDelay    = 3 * time.Second
	MaxRecoveryTime  = 12 * time.Second
)

type taking struct {
	change string
	at     time.Duration
}

type ledger struct {
	taken   map[uint64]taking
	refused map[string]bool
	shown   map[string]uint64
	left    map[string]time.Duration
}

func newLedger() ledger {
	return ledger{taken: map[uint64]taking{}, refused: map[string]bool{}, shown: map[string]uint64{}, left: map[string]time.Duration{}}
}

// RecordChangeAccepted notes that an operator was told that a change was taken; at is when,
// or below zero when the answer came too late to time the bound by.
func (t *Tally) RecordChangeAccepted(change string, basedOn, stamp uint64, at time.Duration) {
	t.Count("settings_taken")
	t.mu.Lock()
	defer t.mu.Unlock()
	if other, ok := t.ledger.taken[stamp]; ok && other.change != change {
		t.breach("stamp %d was given to %s and to %s", stamp, other.change, change)
	}
	if t.ledger.refused[change] {
		t.breach("change %s was refused and then taken", change)
	}
	if stamp != basedOn+1 {
		t.breach("change %s was based on stamp %d and taken as %d: a losing change was acknowledged", change, basedOn, stamp)
	}
	t.ledger.taken[stamp] = taking{change, at}
}

// RecordChangeRefused notes that an operator was told that a change was refused.
func (t *Tally) RecordChangeRefused(change string) {
	t.Count("settings_refused")
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, stamp := range base.SortedKeys(t.ledger.taken) {
		if t.ledger.taken[stamp].change == change {
			t.breach("change %s was taken and then refused", change)
		}
	}
	t.ledger.refused[change] = true
}

// RecordServedSettings notes what a node that serves goes by. Asked is a moment before the
// node answered; change is the change whose mark the settings bear, if any.
func (t *Tally) RecordServedSettings(node string, stamp uint64, change string, asked time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stamp < t.ledger.shown[node] {
		t.breach("%s slid back from stamp %d to %d", node, t.ledger.shown[node], stamp)
	}
	t.ledger.shown[node] = max(stamp, t.ledger.shown[node])
	if change != "" && t.ledger.refused[change] {
		t.breach("%s shows refused change %s", node, change)
	}
	if known, ok := t.ledger.taken[stamp]; ok && change != "" && known.change != change {
		t.breach("%s shows change %s as stamp %d, which is %s", node, change, stamp, known.change)
	}
	for _, newer := range base.SortedKeys(t.ledger.taken) {
		if at := t.ledger.taken[newer].at; newer > stamp && at >= 0 && asked > at+MaxSettingsDelay {
			t.breach("%s serves by stamp %d, %d was taken %v before", node, stamp, newer, asked-at)
		}
	}
}

// RecordStoredSettings notes what the control state holds at a quiet moment.
func (t *Tally) RecordStoredSettings(stamp uint64, change string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change != "" && t.ledger.refused[change] {
		t.breach("refused change %s is in force", change)
	}
	for _, taken := range base.SortedKeys(t.ledger.taken) {
		if taken > stamp {
			t.breach("acknowledged settings are lost: stamp %d (%s) was taken, %d stands", taken, t.ledger.taken[taken].change, stamp)
		}
	}
	if known, ok := t.ledger.taken[stamp]; ok && change != "" && known.change != change {
		t.breach("change %s stands as stamp %d, which is %s", change, stamp, known.change)
	}
}

// RecordWorkerLeaving notes that the fleet could know from a moment on that a worker
// leaves; Returns that it may be given work again.
func (t *Tally) RecordWorkerLeaving(worker string, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.ledger.left[worker]; !ok {
		t.ledger.left[worker] = at
	}
}

func (t *Tally) RecordWorkerReturned(worker string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ledger.left, worker)
}

// RecordWorkStarted notes that a worker was given new work.
func (t *Tally) RecordWorkStarted(worker string, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if left, ok := t.ledger.left[worker]; ok && at > left+MaxLeaveDelay {
		t.breach("%s got new work %v after it was known to leave", worker, at-left)
	}
}

// RecordDroppedRequests notes requests that a node had read and did not answer in a stop
// that was planned.
func (t *Tally) RecordDroppedRequests(node string, requests int) {
	if requests > 0 {
		t.Breach("%s dropped %d requests that it had read, in a planned stop", node, requests)
	}
}

// RecordRecovery notes how long the fleet took to serve after a total outage.
func (t *Tally) RecordRecovery(took time.Duration) {
	if took > MaxRecoveryTime {
		t.Breach("service was back %v after a total outage", took)
	}
}
