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

// May reports whether a Run may go from one phase to another: only onward.
func (p Phase) May(next Phase) bool { return phaseRanks[next] > phaseRanks[p] }

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

// May reports whether a turn may go from one state to another.
func (s OperationState) May(next OperationState) bool {
	for _, allowed := range operationSteps[s] {
		if allowed == next {
			return true
		}
	}
	return false
}

// Record is a session's durable part.
type Record struct {
	ID            string             `json:"id"`
	Program       string             `json:"program"`
	ProgramSecret string             `json:"program_secret"`
	Secret        string             `json:"secret"`
	Group         string             `json:"group"`
	Site          string             `json:"site"`
	Route         string             `json:"route"`
	Urgency       string             `json:"urgency"`
	Run           string             `json:"run"`
	Epoch         uint64             `json:"epoch"`
	Owner         string             `json:"owner"`
	Understudy    string             `json:"understudy"`
	Phase         Phase              `json:"phase"`
	Termination   budget.Termination `json:"termination"`
	Why           string             `json:"why"`
	QueueSize     int                `json:"queue_size"`
	TimeoutMs     int64              `json:"timeout_ms"`
	LeaseMs       int64              `json:"lease_ms"`
	Turns         uint64             `json:"turns"`
	LastTurn      string             `json:"last_turn"`
	LastLeg       string             `json:"last_leg"`
	LastAt        int64              `json:"last_at"`
	Created       int64              `json:"created"`
	EndedAt       int64              `json:"ended_at"`
	// Legs is the highest number a leg of this session was reserved under.
	Legs uint64 `json:"legs"`
	// Unsure are turns that had a leg whose end is not known.
	Unsure []string `json:"unsure,omitempty"`
	// Version rises with each change, so that answers that cross are told apart.
	Version uint64 `json:"version"`
}

// Opens tells whether a credential's digest opens the session.
func (r *Record) Opens(bearer string) bool { return bearer == r.Secret || bearer == r.ProgramSecret }

func (r *Record) assignment() *Assignment {
	return &Assignment{Run: r.Run, Owner: r.Owner, Epoch: r.Epoch}
}

// Turn is one turn answered whole.
type Turn struct {
	ID       string          `json:"id"`
	Num      uint64          `json:"num"`
	Previous string          `json:"previous"`
	Digest   string          `json:"digest"`
	Messages json.RawMessage `json:"messages"`
	Pieces   []string        `json:"pieces"`
	Leg      string          `json:"leg"`
	Finish   string          `json:"finish"`
	Tokens   int64           `json:"tokens"`
	Worker   string          `json:"worker"`
	At       int64           `json:"at"`
}

func recordKey(id string) string           { return "session/" + id }
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

// RefusedSpan is how long a refused Turn-Id stays refused.
func RefusedSpan(bounds *base.Bounds) time.Duration { return 10 * bounds.Recover }

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
func (r *Record) unsure(turn string) bool { return slices.Contains(r.Unsure, turn) }

func (r *Record) doubt(leg string) {
	if turn := turnOf(leg); turn != "" && !r.unsure(turn) {
		r.Unsure = append(r.Unsure, turn)
		r.Unsure = r.Unsure[max(0, len(r.Unsure)-unsureLimit):]
	}
}

func unknownSession() *base.Verdict {
	return base.Decline(404, "unknown_session", "there is no such session")
}

func staleRun() *base.Verdict {
	return base.Decline(409, "stale_assignment", "the session is assigned to another Run")
}

// ask is the one message of all session ops.
type ask struct {
	Session     string             `json:"session"`
	Run         string             `json:"run"`
	Record      *Record            `json:"record,omitempty"`
	Leg         string             `json:"leg,omitempty"`
	LegNum      uint64             `json:"leg_num,omitempty"`
	Tokens      int64              `json:"tokens,omitempty"`
	Turn        *Turn              `json:"turn,omitempty"`
	Phase       Phase              `json:"phase,omitempty"`
	Termination budget.Termination `json:"termination,omitempty"`
	Why         string             `json:"why,omitempty"`
	Refused     string             `json:"refused,omitempty"`
	Owner       string             `json:"owner,omitempty"`
	Understudy  string             `json:"understudy,omitempty"`
	NewRun      string             `json:"new_run,omitempty"`
	After       uint64             `json:"after,omitempty"`
	Limit       int                `json:"limit,omitempty"`
}

type told struct {
	Record  *Record `json:"record,omitempty"`
	Granted int64   `json:"granted,omitempty"`
	Turns   []Turn  `json:"turns,omitempty"`
	Refused bool    `json:"refused,omitempty"`
}

// Serve adds the sessions' ops to a core.
func Serve(owner *register.Owner) {
	handle := func(name string, op func(tx *register.Tx, asked *ask, record *Record, program *budget.Program) (any, error)) {
		owner.Handle(name, func(tx *register.Tx, args []byte) (any, error) {
			var asked ask
			if err := json.Unmarshal(args, &asked); err != nil {
				return nil, base.DeclineField("session", "%v", err)
			}
			record := load(tx, asked.Session)
			if record == nil && asked.Record == nil {
				return nil, unknownSession()
			}
			named := asked.Record
			if record != nil {
				named = record
			}
			program := budget.Load(tx, named.Program)
			if program == nil {
				return nil, budget.Unknown()
			}
			return op(tx, &asked, record, program)
		})
	}
	handle("session.get", func(_ *register.Tx, _ *ask, record *Record, _ *budget.Program) (any, error) {
		return told{Record: record}, nil
	})
	handle("session.acquire", acquire)
	handle("session.reserve", reserve)
	handle("session.refuse", refuse)
	handle("session.settle", settle)
	handle("session.finish", finish)
	handle("session.move", move)
	handle("session.succeed", succeed)
	handle("session.turns", func(tx *register.Tx, asked *ask, record *Record, _ *budget.Program) (any, error) {
		found := []Turn{}
		tx.Walk("turn/"+record.ID+"/", turnKey(record.ID, asked.After), func(_ string, value []byte) bool {
			var turn Turn
			if json.Unmarshal(value, &turn) == nil {
				found = append(found, turn)
			}
			return len(found) < asked.Limit
		})
		return told{Record: record, Turns: found}, nil
	})
	owner.Sweep(sweep)
}

func acquire(tx *register.Tx, asked *ask, record *Record, program *budget.Program) (any, error) {
	if record != nil {
		if record.Run == asked.Record.Run {
			return told{Record: record}, nil
		}
		return nil, base.Decline(409, "session_exists", "the session exists")
	}
	if err := budget.Active(tx, program, false); err != nil {
		return nil, err
	}
	fresh := *asked.Record
	fresh.Created = tx.Now
	fresh.store(tx)
	return told{Record: &fresh}, nil
}

func reserve(tx *register.Tx, asked *ask, record *Record, program *budget.Program) (any, error) {
	if record.Run != asked.Run || record.Phase.Terminal() {
		return nil, staleRun()
	}
	if record.Termination == budget.Immediate {
		return nil, base.Decline(503, "session_terminating", "the session is ending")
	}
	if tx.Get(refusedKey(record.ID, turnOf(asked.Leg))) != nil {
		return nil, base.Decline(409, "turn_refused", "this Turn-Id was refused before and stays so; send a new one")
	}
	open := budget.Reserved(tx, program, asked.Leg)
	if asked.LegNum < record.Legs || (asked.LegNum == record.Legs && !open) {
		return nil, base.Decline(409, "leg_over", "the leg is over; this is a late copy")
	}
	granted, err := budget.Reserve(tx, program, asked.Leg, asked.Tokens)
	if err != nil {
		return nil, err
	}
	if !open {
		record.Legs = asked.LegNum
		record.store(tx)
	}
	return told{Record: record, Granted: granted}, nil
}

// refuse keeps a turn from ever having a leg, under this Run or a later one.
// It is too late for one that has had any.
func refuse(tx *register.Tx, asked *ask, record *Record, program *budget.Program) (any, error) {
	if record.Run != asked.Run {
		return nil, staleRun()
	}
	if record.unsure(asked.Refused) || record.LastTurn == asked.Refused || budget.ReservedUnder(tx, program, record.Run+"/"+asked.Refused+"/") {
		return told{Record: record}, nil
	}
	tx.Put(refusedKey(record.ID, asked.Refused), base.Encode(tx.Now))
	return told{Record: record, Refused: true}, nil
}

// settle ends a leg that brought no whole answer. Below zero the end is not
// known: the tokens count as spent and the turn as one that may have run.
// What comes after, a finish of the same leg included, is too late.
func settle(tx *register.Tx, asked *ask, record *Record, program *budget.Program) (any, error) {
	if budget.Settle(tx, program, asked.Leg, asked.Tokens) && asked.Tokens < 0 {
		record.doubt(asked.Leg)
		record.store(tx)
	}
	return told{Record: record}, nil
}

func finish(tx *register.Tx, asked *ask, record *Record, program *budget.Program) (any, error) {
	if record.LastLeg == asked.Leg {
		return told{Record: record}, nil
	}
	if record.Run != asked.Run || record.Phase.Terminal() {
		return nil, staleRun()
	}
	if !budget.Settle(tx, program, asked.Leg, asked.Tokens) {
		return nil, base.Decline(409, "leg_over", "the leg was given up; this is a late copy")
	}
	turn := *asked.Turn
	turn.Num, turn.At = record.Turns+1, tx.Now
	record.Turns, record.LastTurn, record.LastLeg, record.LastAt = turn.Num, turn.ID, asked.Leg, turn.At
	tx.Put(turnKey(record.ID, turn.Num), base.Encode(turn))
	record.store(tx)
	return told{Record: record}, nil
}

func move(tx *register.Tx, asked *ask, record *Record, program *budget.Program) (any, error) {
	if record.Run != asked.Run {
		return nil, staleRun()
	}
	changed := false
	if asked.Phase != "" && record.Phase.May(asked.Phase) {
		record.Phase, record.Why, changed = asked.Phase, asked.Why, true
		if record.Phase.Terminal() {
			record.EndedAt = tx.Now
			record.forfeit(tx, program)
		}
	}
	if after := record.Termination.Escalate(asked.Termination); after != record.Termination {
		record.Termination, changed = after, true
	}
	if asked.Understudy != "" && asked.Understudy != record.Understudy {
		record.Understudy, changed = asked.Understudy, true
	}
	if changed {
		record.store(tx)
	}
	return told{Record: record}, nil
}

// succeed ends a Run and gives the session the next one. Whoever loses the
// race is told which Run won.
func succeed(tx *register.Tx, asked *ask, record *Record, program *budget.Program) (any, error) {
	if record.Run != asked.Run {
		return told{Record: record}, nil
	}
	if err := budget.Active(tx, program, true); err != nil {
		return nil, err
	}
	if record.Phase.Terminal() && tx.Now-max(record.LastAt, record.EndedAt) > tx.Bounds.Retain.Milliseconds()*5/4 {
		return nil, base.Decline(410, "session_over", "the session ended and its history is no longer kept")
	}
	record.forfeit(tx, program)
	record.Run, record.Owner, record.Understudy = asked.NewRun, asked.Owner, asked.Understudy
	record.Epoch++
	record.Phase, record.Termination, record.Why, record.EndedAt = Ready, "", asked.Why, 0
	record.store(tx)
	return told{Record: record}, nil
}

// sweep forgets sessions that ended, with their turns, once no later turn
// may ask for them, and those whose program is forgotten.
func sweep(tx *register.Tx) {
	tx.Walk("refused/", "", func(key string, value []byte) bool {
		var at int64
		if json.Unmarshal(value, &at) != nil || tx.Now-at > RefusedSpan(tx.Bounds).Milliseconds() {
			tx.Gone(key)
		}
		return true
	})
	tx.Walk("session/", "", func(key string, value []byte) bool {
		var record Record
		if json.Unmarshal(value, &record) != nil {
			return true
		}
		kept := tx.Bounds.Retain.Milliseconds() * 5 / 4
		over := record.Phase.Terminal() && tx.Now-max(record.LastAt, record.EndedAt) > kept
		if over || budget.Load(tx, record.Program) == nil {
			tx.Walk("turn/"+record.ID+"/", "", func(turnKey string, _ []byte) bool {
				tx.Gone(turnKey)
				return true
			})
			tx.Gone(key)
		}
		return true
	})
}

// Limits bound what a caller asked for by what the route allows, which is
// itself the least of route, site and the whole tree.
func Limits(route *settings.Route, queue int, timeout time.Duration) (int, int64) {
	size, limit := route.QueueSize, route.OperationTimeout
	if queue > 0 {
		size = min(size, queue)
	}
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	return size, limit.Milliseconds()
}
