package standin

import (
	"time"

	"fordseam/internal/base"
)

// Time limits that the requirements set for the fleet.
const (
	MaxSettingsDelay = 2 * time.Second  // from the acceptance of settings until every node serves them
	MaxLeaveDelay    = 3 * time.Second  // from the notice that a worker leaves until it gets no new work
	MaxRecoveryTime  = 12 * time.Second // from a total outage until the fleet serves again
)

// acceptedChange is a change of settings that was acknowledged to an operator, and
// when; at is negative if that time is unknown.
type acceptedChange struct {
	change string
	at     time.Duration
}

// observations is what was seen of the fleet from outside, besides the callers'
// turns: changes of settings, the settings that nodes serve, and workers that
// leave. Each observation is checked as it is recorded, so that all runs check
// the same invariants.
type observations struct {
	accepted       map[uint64]acceptedChange // by settings stamp
	refusedChanges map[string]bool           // by change
	servedVersions map[string]uint64         // highest settings stamp served, by node
	leavingSince   map[string]time.Duration  // by worker
}

// newObservations returns empty observations.
func newObservations() observations {
	return observations{accepted: map[uint64]acceptedChange{}, refusedChanges: map[string]bool{}, servedVersions: map[string]uint64{}, leavingSince: map[string]time.Duration{}}
}

// RecordChangeAccepted records that a change of settings was acknowledged to an
// operator as the version (stamp) given. at is when, or negative if the response
// came too late to measure MaxSettingsDelay from it.
func (t *Tally) RecordChangeAccepted(change string, basedOn, version uint64, at time.Duration) {
	t.Count("settings_taken")
	t.mu.Lock()
	defer t.mu.Unlock()
	if other, ok := t.observations.accepted[version]; ok && other.change != change {
		t.breachLocked("stamp %d was given to change %s and to change %s", version, other.change, change)
	}
	if t.observations.refusedChanges[change] {
		t.breachLocked("change %s was refused and then accepted", change)
	}
	if version != basedOn+1 {
		t.breachLocked("change %s was based on stamp %d and accepted as stamp %d: a losing change was acknowledged", change, basedOn, version)
	}
	t.observations.accepted[version] = acceptedChange{change, at}
}

// RecordChangeRefused records that the refusal of a change of settings was
// reported to an operator.
func (t *Tally) RecordChangeRefused(change string) {
	t.Count("settings_refused")
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, version := range base.SortedKeys(t.observations.accepted) {
		if t.observations.accepted[version].change == change {
			t.breachLocked("change %s was accepted and then refused", change)
		}
	}
	t.observations.refusedChanges[change] = true
}

// RecordServedSettings records the settings that a node serves. requestedAt is a
// time before the node responded; change is the change that the settings contain
// the mark of, if any.
func (t *Tally) RecordServedSettings(node string, version uint64, change string, requestedAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version < t.observations.servedVersions[node] {
		t.breachLocked("%s went back from stamp %d to stamp %d", node, t.observations.servedVersions[node], version)
	}
	t.observations.servedVersions[node] = max(version, t.observations.servedVersions[node])
	if change != "" && t.observations.refusedChanges[change] {
		t.breachLocked("%s serves refused change %s", node, change)
	}
	if known, ok := t.observations.accepted[version]; ok && change != "" && known.change != change {
		t.breachLocked("%s serves change %s as stamp %d, which was given to change %s", node, change, version, known.change)
	}
	for _, acceptedVersion := range base.SortedKeys(t.observations.accepted) {
		if acceptedAt := t.observations.accepted[acceptedVersion].at; acceptedVersion > version && acceptedAt >= 0 && requestedAt > acceptedAt+MaxSettingsDelay {
			t.breachLocked("%s serves settings of stamp %d, but stamp %d was accepted %v before", node, version, acceptedVersion, requestedAt-acceptedAt)
		}
	}
}

// RecordStoredSettings records the settings in the control plane's store, read
// while no change is under way.
func (t *Tally) RecordStoredSettings(version uint64, change string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change != "" && t.observations.refusedChanges[change] {
		t.breachLocked("refused change %s is in force", change)
	}
	for _, acceptedVersion := range base.SortedKeys(t.observations.accepted) {
		if acceptedVersion > version {
			t.breachLocked("acknowledged settings are lost: stamp %d (change %s) was accepted, but stamp %d is stored", acceptedVersion, t.observations.accepted[acceptedVersion].change, version)
		}
	}
	if known, ok := t.observations.accepted[version]; ok && change != "" && known.change != change {
		t.breachLocked("change %s is stored as stamp %d, which was given to change %s", change, version, known.change)
	}
}

// RecordWorkerLeaving records that from the time given the fleet could know that a
// worker leaves. Later calls for the same worker have no effect until it returns.
func (t *Tally) RecordWorkerLeaving(worker string, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.observations.leavingSince[worker]; !ok {
		t.observations.leavingSince[worker] = at
	}
}

// RecordWorkerReturned records that a worker may get work again.
func (t *Tally) RecordWorkerReturned(worker string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.observations.leavingSince, worker)
}

// RecordWorkStarted records that a worker got new work.
func (t *Tally) RecordWorkStarted(worker string, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leavingAt, ok := t.observations.leavingSince[worker]; ok && at > leavingAt+MaxLeaveDelay {
		t.breachLocked("%s got new work %v after it was known to leave", worker, at-leavingAt)
	}
}

// RecordDroppedRequests records how many requests a node had read but did not
// answer when it was stopped as planned; any is a breach.
func (t *Tally) RecordDroppedRequests(node string, requests int) {
	if requests > 0 {
		t.Breach("%s dropped %d requests that it had read, in a planned stop", node, requests)
	}
}

// RecordRecovery records how long the fleet took to serve again after a total
// outage.
func (t *Tally) RecordRecovery(duration time.Duration) {
	if duration > MaxRecoveryTime {
		t.Breach("service was back %v after a total outage", duration)
	}
}
