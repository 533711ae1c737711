package session

import (
	"encoding/json"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/register"
)

// changeArgs are the arguments of every session operation of the register; each uses
// some of the fields.
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

// changeResult is the result of every session operation.
type changeResult struct {
	Record        *Record `json:"record,omitempty"`
	GrantedTokens int64   `json:"granted,omitempty"`
	Turns         []Turn  `json:"turns,omitempty"`
	Refused       bool    `json:"refused,omitempty"`
}

// RegisterHandlers adds the session operations to a core's register. The leader of
// the session's shard decides each on the current record.
func RegisterHandlers(server *register.Server) {
	handle := func(name string, op func(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error)) {
		server.Handle(name, func(tx *register.Tx, raw []byte) (any, error) {
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
	server.AddSweep(deleteExpired)
}

// acquire creates a session. It may be repeated by the same Run.
func acquire(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if record != nil {
		if record.Run == args.Record.Run {
			return changeResult{Record: record}, nil
		}
		return nil, base.Decline(409, "session_exists", "session %q already exists", record.ID)
	}
	if err := budget.CheckActive(tx, program, false); err != nil {
		return nil, err
	}
	created := *args.Record
	created.CreatedAt = tx.Now
	created.store(tx)
	return changeResult{Record: &created}, nil
}

// reserve reserves tokens for an attempt. Attempt numbers only rise, so that a late
// copy of an earlier attempt's request reserves nothing.
func reserve(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if record.Run != args.Run || record.Phase.Terminal() {
		return nil, staleAssignment()
	}
	if record.Termination == budget.Immediate {
		return nil, base.Decline(503, "session_terminating", "the session is being terminated")
	}
	if tx.Get(refusalKey(record.ID, turnOfAttempt(args.Attempt))) != nil {
		return nil, base.Decline(409, "turn_refused", "this Turn-Id was refused earlier and stays refused; send a new one")
	}
	reserved := budget.IsReserved(tx, program, args.Attempt)
	if args.AttemptNumber < record.HighestAttempt || (args.AttemptNumber == record.HighestAttempt && !reserved) {
		return nil, base.Decline(409, "leg_over", "the attempt has already ended; this request is a late copy")
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

// refuse records that a turn must not get an attempt, under this Run or a later one.
// It is too late for a turn that has had an attempt; Refused is then not set.
func refuse(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if record.Run != args.Run {
		return nil, staleAssignment()
	}
	if record.isUncertain(args.RefusedTurn) || record.LastTurn == args.RefusedTurn || budget.HasReservations(tx, program, record.Run+"/"+args.RefusedTurn+"/") {
		return changeResult{Record: record}, nil
	}
	tx.Put(refusalKey(record.ID, args.RefusedTurn), base.MustMarshal(tx.Now))
	return changeResult{Record: record, Refused: true}, nil
}

// settle ends an attempt without a complete answer. Negative tokens mean that the
// outcome is unknown: the whole reservation counts as spent and the turn may have
// run. A later change of the same attempt, finish included, comes too late.
func settle(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if budget.Settle(tx, program, args.Attempt, args.Tokens) && args.Tokens < 0 {
		record.markUncertain(args.Attempt)
		record.store(tx)
	}
	return changeResult{Record: record}, nil
}

// finish ends an attempt with its complete answer: it settles the reservation and adds
// the turn to the chain. It may be repeated.
func finish(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if record.LastAttempt == args.Attempt {
		return changeResult{Record: record}, nil
	}
	if record.Run != args.Run || record.Phase.Terminal() {
		return nil, staleAssignment()
	}
	if !budget.Settle(tx, program, args.Attempt, args.Tokens) {
		return nil, base.Decline(409, "leg_over", "the attempt was given up; this request is a late copy")
	}
	turn := *args.Turn
	turn.Number, turn.FinishedAt = record.TurnCount+1, tx.Now
	record.TurnCount, record.LastTurn, record.LastAttempt, record.LastTurnAt = turn.Number, turn.ID, args.Attempt, turn.FinishedAt
	tx.Put(turnKey(record.ID, turn.Number), base.MustMarshal(turn))
	record.store(tx)
	return changeResult{Record: record}, nil
}

// move changes the Run's phase, its termination or the standby.
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

// succeed ends a Run and starts the session's next one. A caller that lost the race
// receives the record of the Run that won.
func succeed(tx *register.Tx, args *changeArgs, record *Record, program *budget.Program) (any, error) {
	if record.Run != args.Run {
		return changeResult{Record: record}, nil
	}
	if err := budget.CheckActive(tx, program, true); err != nil {
		return nil, err
	}
	if record.Phase.Terminal() && tx.Now-max(record.LastTurnAt, record.EndedAt) > tx.Bounds.Retention.Milliseconds()*5/4 {
		return nil, base.Decline(410, "session_over", "the session has ended and its history is no longer retained")
	}
	record.forfeitReservations(tx, program)
	record.Run, record.Owner, record.Standby = args.NewRun, args.Owner, args.Standby
	record.Epoch++
	record.Phase, record.Termination, record.Reason, record.EndedAt = Ready, "", args.Reason, 0
	record.store(tx)
	return changeResult{Record: record}, nil
}

// deleteExpired deletes old refusals, sessions that ended so long ago that no later
// turn may refer to them, and sessions whose program is deleted, with their turns.
func deleteExpired(tx *register.Tx) {
	tx.Walk("refused/", "", func(key string, value []byte) bool {
		var at int64
		if json.Unmarshal(value, &at) != nil || tx.Now-at > RefusalRetention(tx.Bounds).Milliseconds() {
			tx.Delete(key)
		}
		return true
	})
	tx.Walk("session/", "", func(key string, value []byte) bool {
		var record Record
		if json.Unmarshal(value, &record) != nil {
			return true
		}
		retention := tx.Bounds.Retention.Milliseconds() * 5 / 4
		expired := record.Phase.Terminal() && tx.Now-max(record.LastTurnAt, record.EndedAt) > retention
		if expired || budget.Load(tx, record.Program) == nil {
			tx.Walk("turn/"+record.ID+"/", "", func(turnKey string, _ []byte) bool {
				tx.Delete(turnKey)
				return true
			})
			tx.Delete(key)
		}
		return true
	})
}
