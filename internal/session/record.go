package session

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/register"
	"fordseam/internal/settings"
)

// Phase is the lifecycle phase of a Run.
type Phase string

// Phases of a Run. A Run only moves to a later phase.
const (
	Pending    Phase = "Pending"
	Scheduled  Phase = "Scheduled"
	Running    Phase = "Running"
	Ready      Phase = "Ready"
	Finalizing Phase = "Finalizing"
	Succeeded  Phase = "Succeeded"
	Failed     Phase = "Failed"
	Cancelled  Phase = "Cancelled"
)

var phaseRanks = map[Phase]int{Pending: 0, Scheduled: 1, Running: 2, Ready: 3, Finalizing: 4, Succeeded: 5, Failed: 5, Cancelled: 5}

// Terminal reports whether the Run has ended; such a phase never changes.
func (p Phase) Terminal() bool { return phaseRanks[p] == 5 }

// CanBecome reports whether a Run may go from p to next: only to a later phase.
func (p Phase) CanBecome(next Phase) bool { return phaseRanks[next] > phaseRanks[p] }

// OperationState is the state of a turn on the session's owner.
type OperationState string

// States of a turn.
const (
	OpQueued    OperationState = "Queued"
	OpRunning   OperationState = "Running"
	OpSucceeded OperationState = "Succeeded"
	OpFailed    OperationState = "Failed"
	OpCancelled OperationState = "Cancelled"
	OpTimedOut  OperationState = "TimedOut"
)

var operationTransitions = map[OperationState][]OperationState{
	OpQueued:  {OpRunning, OpCancelled, OpTimedOut, OpFailed},
	OpRunning: {OpSucceeded, OpFailed, OpCancelled, OpTimedOut},
}

// CanBecome reports whether a turn may go from s to next.
func (s OperationState) CanBecome(next OperationState) bool {
	for _, allowed := range operationTransitions[s] {
		if allowed == next {
			return true
		}
	}
	return false
}

// Record is the durable part of a session: its assignment, limits and position.
// Times are in milliseconds of the register shard's clock.
type Record struct {
	ID                  string             `json:"id"`
	Program             string             `json:"program"`
	ProgramSecretDigest string             `json:"program_secret"`
	SecretDigest        string             `json:"secret"`
	Group               string             `json:"group"`
	Site                string             `json:"site"`
	Route               string             `json:"route"`
	Urgency             string             `json:"urgency"`
	Run                 string             `json:"run"`
	Epoch               uint64             `json:"epoch"`
	Owner               string             `json:"owner"`
	Standby             string             `json:"understudy"`
	Phase               Phase              `json:"phase"`
	Termination         budget.Termination `json:"termination"`
	Reason              string             `json:"why"`
	QueueSize           int                `json:"queue_size"`
	TimeoutMs           int64              `json:"timeout_ms"`
	LeaseMs             int64              `json:"lease_ms"`
	TurnCount           uint64             `json:"turns"`
	LastTurn            string             `json:"last_turn"`
	LastAttempt         string             `json:"last_leg"`
	LastTurnAt          int64              `json:"last_at"`
	CreatedAt           int64              `json:"created"`
	EndedAt             int64              `json:"ended_at"`
	// HighestAttempt is the highest number that an attempt of this session was
	// reserved under.
	HighestAttempt uint64 `json:"legs"`
	// UncertainTurns are the ids of turns with an attempt whose outcome is unknown.
	UncertainTurns []string `json:"unsure,omitempty"`
	// Version rises with each change, so that the newer of two replies that
	// overtook each other is known.
	Version uint64 `json:"version"`
}

// Authorizes reports whether a credential, given as its digest, grants access to
// the session: the session's own or that of its program.
func (r *Record) Authorizes(bearer string) bool {
	return bearer == r.SecretDigest || bearer == r.ProgramSecretDigest
}

func (r *Record) assignment() *Assignment {
	return &Assignment{Run: r.Run, Owner: r.Owner, Epoch: r.Epoch}
}

// Turn is one completely answered turn of a session's chain. Digest is of the request
// that it answered, and Attempt the id of the attempt that succeeded.
type Turn struct {
	ID           string          `json:"id"`
	Number       uint64          `json:"num"`
	Previous     string          `json:"previous"`
	Digest       string          `json:"digest"`
	Messages     json.RawMessage `json:"messages"`
	Pieces       []string        `json:"pieces"`
	Attempt      string          `json:"leg"`
	FinishReason string          `json:"finish"`
	OutputTokens int64           `json:"tokens"`
	Worker       string          `json:"worker"`
	FinishedAt   int64           `json:"at"`
}

func recordKey(id string) string { return "session/" + id }

func turnKey(id string, number uint64) string { return fmt.Sprintf("turn/%s/%016x", id, number) }

func loadRecord(tx *register.Tx, id string) *Record {
	raw := tx.Get(recordKey(id))
	if raw == nil {
		return nil
	}
	var record Record
	if json.Unmarshal(raw, &record) != nil {
		return nil
	}
	return &record
}

func (r *Record) store(tx *register.Tx) {
	r.Version++
	tx.Put(recordKey(r.ID), base.MustMarshal(r))
}

// refusalKey is the register key that records the refusal of a turn.
func refusalKey(session, turn string) string { return "refused/" + session + "/" + turn }

// RefusalRetention returns how long a refused Turn-Id stays refused.
func RefusalRetention(bounds *base.Bounds) time.Duration { return 10 * bounds.Recovery }

// turnOfAttempt returns the turn id in an attempt id, RUN/TURN/NUMBER.
func turnOfAttempt(attempt string) string {
	_, rest, _ := strings.Cut(attempt, "/")
	turn, _, _ := strings.Cut(rest, "/")
	return turn
}

// uncertainTurnLimit bounds Record.UncertainTurns; the oldest are dropped.
const uncertainTurnLimit = 64

// forfeitReservations counts the reservations of a Run's unfinished attempts as
// spent and marks their turns as uncertain: they may have run, whatever a later Run
// does with them.
func (r *Record) forfeitReservations(tx *register.Tx, program *budget.Program) {
	for _, attempt := range budget.Forfeit(tx, program, r.Run+"/") {
		r.markUncertain(attempt)
	}
}

// isUncertain reports whether a turn had an attempt whose outcome is unknown, so
// that it may have run.
func (r *Record) isUncertain(turn string) bool { return slices.Contains(r.UncertainTurns, turn) }

// markUncertain records that the outcome of an attempt is unknown.
func (r *Record) markUncertain(attempt string) {
	if turn := turnOfAttempt(attempt); turn != "" && !r.isUncertain(turn) {
		r.UncertainTurns = append(r.UncertainTurns, turn)
		r.UncertainTurns = r.UncertainTurns[max(0, len(r.UncertainTurns)-uncertainTurnLimit):]
	}
}

func unknownSession() *base.RequestError {
	return base.Decline(404, "unknown_session", "the session does not exist")
}

func staleAssignment() *base.RequestError {
	return base.Decline(409, "stale_assignment", "the session is assigned to another Run")
}

// EffectiveLimits returns the queue size and the operation timeout in milliseconds
// of a session: what the caller asked for, at most what the route allows, which is
// the minimum of the route's, the site's and the global setting. Zero asks for the
// route's own.
func EffectiveLimits(route *settings.Route, requestedQueueSize int, requestedTimeout time.Duration) (int, int64) {
	queueSize, turnTimeout := route.QueueSize, route.OperationTimeout
	if requestedQueueSize > 0 {
		queueSize = min(queueSize, requestedQueueSize)
	}
	if requestedTimeout > 0 {
		turnTimeout = min(turnTimeout, requestedTimeout)
	}
	return queueSize, turnTimeout.Milliseconds()
}
