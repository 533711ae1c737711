// The register's operations on sessions, each decided by the leader of the
// session's shard on the record as it stands.

package session

import (
	"encoding/json"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/register"
)

// ask is the one message of all session ops.
type changeArgs struct {
	Session       string             `json:"session"`
	Run           string             `json:"run"`
	Record        *Record            `json:"record,omitempty"`
	Attempt       string             `json:"leg,omitempty"`
	AttemptNumber uint64             `json:"leg_num,omitempty"`
	Tokens        int64              `json:"tokens,omitempty"`
	Turn          *Turn              `json:"turn,omitempty"`
	Phase         Phase              `json:"phase,omitempty"`
	Termination   budget.Termination `json:"termination,omitempty"`
	Reason        string             `json:"why,omitempty"`
	RefusedTurn   string             `json:"refused,omitempty"`
	Owner         string             `json:"owner,omitempty"`
	Standby       string             `json:"understudy,omitempty"`
	NewRun        string             `json:"new_run,omitempty"`
	After         uint64             `json:"after,omitempty"`
	Limit         int                `json:"limit,omitempty"`
}

type changeResult struct {
	Record        *Record `json:"record,omitempty"`
	GrantedTokens int64   `json:"granted,omitempty"`
	Turns         []Turn  `json:"turns,omitempty"`
	Refused       bool    `json:"refused,omitempty"`
}

// RegisterHandlers adds the sessions' ops to a core.
func RegisterHandlers(owner *register.Owner) {
	handle := func(name string, op func(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error)) {
		owner.Handle(name, func(tx *register.Tx, raw []byte) (any, error) {
			var args changeArgs
			if err := json.Unmarshal(raw, &args); err != nil {
				return nil, base.DeclineField("session", "%v", err)
			}
			record := loadRecord(tx, args.Session)
			if record == nil && args.Record == nil {
				return nil, unknownSession()
			}
			source := args.Record
			if record != nil {
				source = record
			}
			program := budget.Load(tx, source.Program)
			if program == nil {
				return nil, budget.UnknownProgram()
			}
			return op(tx, &args, record, program)
		})
	}
	handle("session.get", func(_ *register.Tx, _ *changeArgs, record *Record, _ *budget.Program) (any, error) {
		return changeResult{Record: record}, nil
	})
	handle("session.acquire", acquire)
	handle("session.reserve", reserve)
	handle("session.refuse", refuse)
	handle("session.settle", settle)
	handle("session.finish", finish)
	handle("session.move", move)
	handle("session.succeed", succeed)
	handle("session.turns", func(tx *register.Tx, args *changeArgs, record *Record, _ *budget.Program) (any, error) {
		found := []Turn{}
		tx.Walk("turn/"+record.ID+"/", turnKey(record.ID, args.After), func(_ string, value []byte) bool {
			var turn Turn
			if json.Unmarshal(value, &turn) == nil {
				found = append(found, turn)
			}
			return len(found) < args.Limit
		})
		return changeResult{Record: record, Turns: found}, nil
	})
	owner.Sweep(deleteExpired)
}

func acquire(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if record != nil {
		if record.Run == args.Record.Run {
			return changeResult{Record: record}, nil
		}
		return nil, base.Decline(409, "session_exists", "the session exists")
	}
	if err := budget.CheckActive(tx, program, false); err != nil {
		return nil, err
	}
	created := *args.Record
	created.CreatedAt = tx.Now
	created.store(tx)
	return changeResult{Record: &created}, nil
}

func reserve(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if record.Run != args.Run || record.Phase.Terminal() {
		return nil, staleAssignment()
	}
	if record.Termination == budget.Immediate {
		return nil, base.Decline(503, "session_terminating", "the session is ending")
	}
	if tx.Get(refusalKey(record.ID, turnOfAttempt(args.Attempt))) != nil {
		return nil, base.Decline(409, "turn_refused", "this Turn-Id was refused before and stays so; send a new one")
	}
	reserved := budget.IsReserved(tx, program, args.Attempt)
	if args.AttemptNumber < record.HighestAttempt || (args.AttemptNumber == record.HighestAttempt && !reserved) {
		return nil, base.Decline(409, "leg_over", "the leg is over; this is a late copy")
	}
	granted, err := budget.Reserve(tx, program, args.Attempt, args.Tokens)
	if err != nil {
		return nil, err
	}
	if !reserved {
		record.HighestAttempt = args.AttemptNumber
		record.store(tx)
	}
	return changeResult{Record: record, GrantedTokens: granted}, nil
}

// refuse keeps a turn from ever having a leg, under this Run or a later one.
// It is too late for one that has had any.
func refuse(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if record.Run != args.Run {
		return nil, staleAssignment()
	}
	if record.isUncertain(args.RefusedTurn) || record.LastTurn == args.RefusedTurn || budget.HasReservations(tx, program, record.Run+"/"+args.RefusedTurn+"/") {
		return changeResult{Record: record}, nil
	}
	tx.Put(refusalKey(record.ID, args.RefusedTurn), base.Encode(tx.Now))
	return changeResult{Record: record, Refused: true}, nil
}

// settle ends a leg that brought no whole answer. Below zero the end is not
// known: the tokens count as spent and the turn as one that may have run.
// What comes after, a finish of the same leg included, is too late.
func settle(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if budget.Settle(tx, program, args.Attempt, args.Tokens) && args.Tokens < 0 {
		record.markUncertain(args.Attempt)
		record.store(tx)
	}
	return changeResult{Record: record}, nil
}

func finish(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if record.LastAttempt == args.Attempt {
		return changeResult{Record: record}, nil
	}
	if record.Run != args.Run || record.Phase.Terminal() {
		return nil, staleAssignment()
	}
	if !budget.Settle(tx, program, args.Attempt, args.Tokens) {
		return nil, base.Decline(409, "leg_over", "the leg was given up; this is a late copy")
	}
	turn := *args.Turn
	turn.Number, turn.FinishedAt = record.TurnCount+1, tx.Now
	record.TurnCount, record.LastTurn, record.LastAttempt, record.LastTurnAt = turn.Number, turn.ID, args.Attempt, turn.FinishedAt
	tx.Put(turnKey(record.ID, turn.Number), base.Encode(turn))
	record.store(tx)
	return changeResult{Record: record}, nil
}

func move(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if record.Run != args.Run {
		return nil, staleAssignment()
	}
	changed := false
	if args.Phase != "" && record.Phase.CanBecome(args.Phase) {
		record.Phase, record.Reason, changed = args.Phase, args.Reason, true
		if record.Phase.Terminal() {
			record.EndedAt = tx.Now
			record.forfeitReservations(tx, program)
		}
	}
	if escalated := record.Termination.Escalate(args.Termination); escalated != record.Termination {
		record.Termination, changed = escalated, true
	}
	if args.Standby != "" && args.Standby != record.Standby {
		record.Standby, changed = args.Standby, true
	}
	if changed {
		record.store(tx)
	}
	return changeResult{Record: record}, nil
}

// succeed ends a Run and gives the session the next one. Whoever loses the
// race is told which Run won.
func succeed(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if record.Run != args.Run {
		return changeResult{Record: record}, nil
	}
	if err := budget.CheckActive(tx, program, true); err != nil {
		return nil, err
	}
	if record.Phase.Terminal() && tx.Now-max(record.LastTurnAt, record.EndedAt) > tx.Bounds.Retain.Milliseconds()*5/4 {
		return nil, base.Decline(410, "session_over", "the session ended and its history is no longer kept")
	}
	record.forfeitReservations(tx, program)
	record.Run, record.Owner, record.Standby = args.NewRun, args.Owner, args.Standby
	record.Epoch++
	record.Phase, record.Termination, record.Reason, record.EndedAt = Ready, "", args.Reason, 0
	record.store(tx)
	return changeResult{Record: record}, nil
}

// sweep forgets sessions that ended, with their turns, once no later turn
// may ask for them, and those whose program is forgotten.
func deleteExpired(tx *register.Tx) {
	tx.Walk("refused/", "", func(key string, value []byte) bool {
		var at int64
		if json.Unmarshal(value, &at) != nil || tx.Now-at > RefusalRetention(tx.Bounds).Milliseconds() {
			tx.Gone(key)
		}
		return true
	})
	tx.Walk("session/", "", func(key string, value []byte) bool {
		var record Record
		if json.Unmarshal(value, &record) != nil {
			return true
		}
		retention := tx.Bounds.Retain.Milliseconds() * 5 / 4
		expired := record.Phase.Terminal() && tx.Now-max(record.LastTurnAt, record.EndedAt) > retention
		if expired || budget.Load(tx, record.Program) == nil {
			tx.Walk("turn/"+record.ID+"/", "", func(turnKey string, _ []byte) bool {
				tx.Gone(turnKey)
				return true
			})
			tx.Gone(key)
		}
		return true
	})
}
