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

// RegisterHandlers adds the sessions' ops to a core.
func RegisterHandlers(owner *register.Server) {
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
				return nil, budget.UnknownProgram()
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
	owner.AddSweep(sweep)
}

func acquire(tx *register.Tx, asked *ask, record *Record, program *budget.Program) (any, error) {
	if record != nil {
		if record.Run == asked.Record.Run {
			return told{Record: record}, nil
		}
		return nil, base.Decline(409, "session_exists", "the session exists")
	}
	if err := budget.CheckActive(tx, program, false); err != nil {
		return nil, err
	}
	fresh := *asked.Record
	fresh.CreatedAt = tx.Now
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
	open := budget.IsReserved(tx, program, asked.Leg)
	if asked.LegNum < record.HighestAttempt || (asked.LegNum == record.HighestAttempt && !open) {
		return nil, base.Decline(409, "leg_over", "the leg is over; this is a late copy")
	}
	granted, err := budget.Reserve(tx, program, asked.Leg, asked.Tokens)
	if err != nil {
		return nil, err
	}
	if !open {
		record.HighestAttempt = asked.LegNum
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
	if record.unsure(asked.Refused) || record.LastTurn == asked.Refused || budget.HasReservations(tx, program, record.Run+"/"+asked.Refused+"/") {
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
	if record.LastAttempt == asked.Leg {
		return told{Record: record}, nil
	}
	if record.Run != asked.Run || record.Phase.Terminal() {
		return nil, staleRun()
	}
	if !budget.Settle(tx, program, asked.Leg, asked.Tokens) {
		return nil, base.Decline(409, "leg_over", "the leg was given up; this is a late copy")
	}
	turn := *asked.Turn
	turn.Number, turn.FinishedAt = record.TurnCount+1, tx.Now
	record.TurnCount, record.LastTurn, record.LastAttempt, record.LastTurnAt = turn.Number, turn.ID, asked.Leg, turn.FinishedAt
	tx.Put(turnKey(record.ID, turn.Number), base.Encode(turn))
	record.store(tx)
	return told{Record: record}, nil
}

func move(tx *register.Tx, asked *ask, record *Record, program *budget.Program) (any, error) {
	if record.Run != asked.Run {
		return nil, staleRun()
	}
	changed := false
	if asked.Phase != "" && record.Phase.CanBecome(asked.Phase) {
		record.Phase, record.Reason, changed = asked.Phase, asked.Why, true
		if record.Phase.Terminal() {
			record.EndedAt = tx.Now
			record.forfeit(tx, program)
		}
	}
	if after := record.Termination.Escalate(asked.Termination); after != record.Termination {
		record.Termination, changed = after, true
	}
	if asked.Understudy != "" && asked.Understudy != record.Standby {
		record.Standby, changed = asked.Understudy, true
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
	if err := budget.CheckActive(tx, program, true); err != nil {
		return nil, err
	}
	if record.Phase.Terminal() && tx.Now-max(record.LastTurnAt, record.EndedAt) > tx.Bounds.Retain.Milliseconds()*5/4 {
		return nil, base.Decline(410, "session_over", "the session ended and its history is no longer kept")
	}
	record.forfeit(tx, program)
	record.Run, record.Owner, record.Standby = asked.NewRun, asked.Owner, asked.Understudy
	record.Epoch++
	record.Phase, record.Termination, record.Reason, record.EndedAt = Ready, "", asked.Why, 0
	record.store(tx)
	return told{Record: record}, nil
}

// sweep forgets sessions that ended, with their turns, once no later turn
// may ask for them, and those whose program is forgotten.
func sweep(tx *register.Tx) {
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
		kept := tx.Bounds.Retain.Milliseconds() * 5 / 4
		over := record.Phase.Terminal() && tx.Now-max(record.LastTurnAt, record.EndedAt) > kept
		if over || budget.Load(tx, record.Program) == nil {
			tx.Walk("turn/"+record.ID+"/", "", func(turnKey string, _ []byte) bool {
				tx.Delete(turnKey)
				return true
			})
			tx.Delete(key)
		}
		return true
	})
}
