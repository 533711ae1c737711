// Package session keeps conversations. A session is one Run at a time, with
// one owner that alone holds its queue; the record here is its assignment
// and its durable part, and the ops are how an owner's word comes into
// force. Every op names the Run it speaks for, so an owner whose Run was
// succeeded can reserve, finish and move nothing any more. Where the paper
// ends a session with its owner, here the Run ends and its history stays: a
// later turn is given a successor Run with a new id and epoch.
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

// Phase of a Run.
type Phase string

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

// Terminal phases are never left.
func (p Phase) Terminal() bool { return phaseRanks[p] == 5 }

// CanBecome reports whether a Run may go from one phase to another: only onward.
func (p Phase) CanBecome(next Phase) bool { return phaseRanks[next] > phaseRanks[p] }

// OperationState is where a turn stands on its owner.
type OperationState string

const (
	OpQueued    OperationState = "Queued"
	OpRunning   OperationState = "Running"
	OpSucceeded OperationState = "Succeeded"
	OpFailed    OperationState = "Failed"
	OpCancelled OperationState = "Cancelled"
	OpTimedOut  OperationState = "TimedOut"
)

var operationSteps = map[OperationState][]OperationState{
	OpQueued:  {OpRunning, OpCancelled, OpTimedOut, OpFailed},
	OpRunning: {OpSucceeded, OpFailed, OpCancelled, OpTimedOut},
}

// CanBecome reports whether a turn may go from one state to another.
func (s OperationState) CanBecome(next OperationState) bool {
	for _, allowed := range operationSteps[s] {
		if allowed == next {
			return true
		}
	}
	return false
}

// Record is a session's durable part.
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
	// Legs is the highest number a leg of this session was reserved under.
	HighestAttempt uint64 `json:"legs"`
	// Unsure are turns that had a leg whose end is not known.
	UncertainTurns []string `json:"unsure,omitempty"`
	// Version rises with each change, so that answers that cross are told apart.
	Version uint64 `json:"version"`
}

// Authorizes tells whether a credential's digest opens the session.
func (r *Record) Authorizes(bearer string) bool {
	return bearer == r.SecretDigest || bearer == r.ProgramSecretDigest
}

func (r *Record) assignment() *Assignment {
	return &Assignment{Run: r.Run, Owner: r.Owner, Epoch: r.Epoch}
}

// Turn is one turn answered whole.
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

func turnKey(id string, num uint64) string { return fmt.Sprintf("turn/%s/%016x", id, num) }

func load(tx *register.Tx, id string) *Record {
	raw := tx.Get(recordKey(id))
	if raw == nil {
		return nil
	}
	var found Record
	if json.Unmarshal(raw, &found) != nil {
		return nil
	}
	return &found
}

func (r *Record) store(tx *register.Tx) {
	r.Version++
	tx.Put(recordKey(r.ID), base.Encode(r))
}

// refusedKey is where the control state keeps that a turn was refused.
func refusedKey(session, turn string) string { return "refused/" + session + "/" + turn }

// RefusalRetention is how long a refused Turn-Id stays refused.
func RefusalRetention(bounds *base.Bounds) time.Duration { return 10 * bounds.Recover }

// turnOf is the turn that a leg, RUN/TURN/NUMBER, is of.
func turnOf(leg string) string {
	_, rest, _ := strings.Cut(leg, "/")
	turn, _, _ := strings.Cut(rest, "/")
	return turn
}

const unsureLimit = 64

// forfeit counts a Run's unfinished legs as spent, and keeps which turns
// they were of: those may have run, whatever a later Run makes of them.
func (r *Record) forfeit(tx *register.Tx, program *budget.Program) {
	for _, leg := range budget.Forfeit(tx, program, r.Run+"/") {
		r.doubt(leg)
	}
}

// unsure tells of a turn that may have run by a leg whose end is not known.
func (r *Record) unsure(turn string) bool { return slices.Contains(r.UncertainTurns, turn) }

func (r *Record) doubt(leg string) {
	if turn := turnOf(leg); turn != "" && !r.unsure(turn) {
		r.UncertainTurns = append(r.UncertainTurns, turn)
		r.UncertainTurns = r.UncertainTurns[max(0, len(r.UncertainTurns)-unsureLimit):]
	}
}

func unknownSession() *base.Verdict {
	return base.Decline(404, "unknown_session", "there is no such session")
}

func staleRun() *base.Verdict {
	return base.Decline(409, "stale_assignment", "the session is assigned to another Run")
}

// EffectiveLimits bound what a caller asked for by what the route allows, which is
// itself the least of route, site and the whole tree.
func EffectiveLimits(route *settings.Route, queue int, timeout time.Duration) (int, int64) {
	size, limit := route.QueueSize, route.OperationTimeout
	if queue > 0 {
		size = min(size, queue)
	}
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	return size, limit.Milliseconds()
}
