// Package budget counts what a program may put out, once for the whole
// fleet. The record of a program lives in the slot of its root program, so
// that helpers draw on the same count and deadline. Tokens are reserved on a
// majority before a leg goes out, and the worker's own limit is what was
// reserved; they are settled when the leg's end is known. What is never
// settled stays counted as spent. All ops may be repeated, and one that
// comes late changes nothing that was settled.
package budget

import (
	"encoding/json"
	"strings"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Termination only escalates: none, Drain, Immediate.
type Termination string

const (
	Drain     Termination = "Drain"
	Immediate Termination = "Immediate"
)

var ranks = map[Termination]int{"": 0, Drain: 1, Immediate: 2}

// Valid reports whether a word names a termination.
func (t Termination) Valid() bool { return ranks[t] > 0 }

// Escalate gives the stronger of two.
func (t Termination) Escalate(asked Termination) Termination {
	if ranks[asked] > ranks[t] {
		return asked
	}
	return t
}

// Program is what is kept of one. Root programs hold the count.
type Program struct {
	ID           string           `json:"id"`
	Root         string           `json:"root"`
	Group        string           `json:"group"`
	Site         string           `json:"site"`
	SecretDigest string           `json:"secret"`
	Budget       int64            `json:"budget"`
	Spent        int64            `json:"spent"`
	Reserved     map[string]int64 `json:"reserved"`
	// Deadline is in the slot's time; DeadlineMs is how long it was asked to be,
	// and LeftMs what is left of it, in answers only.
	Deadline    int64       `json:"deadline"`
	DeadlineMs  int64       `json:"deadline_ms,omitempty"`
	RemainingMs int64       `json:"left_ms,omitempty"`
	Urgency     string      `json:"urgency"`
	Termination Termination `json:"termination"`
	CreatedAt   int64       `json:"created"`
	UpdatedAt   int64       `json:"seen"`
}

// Outstanding is what legs under way may still put out.
func (p *Program) Outstanding() int64 {
	total := int64(0)
	for _, tokens := range p.Reserved {
		total += tokens
	}
	return total
}

// RegisterGroup is the register group of a program: its root's name, which every
// helper's name begins with.
func RegisterGroup(program string) string {
	root, _, _ := strings.Cut(program, ".")
	return root
}

func key(id string) string { return "program/" + id }

// Load reads a program in a change.
func Load(tx *register.Tx, id string) *Program {
	raw := tx.Get(key(id))
	if raw == nil {
		return nil
	}
	var found Program
	if json.Unmarshal(raw, &found) != nil {
		return nil
	}
	return &found
}

func (p *Program) store(tx *register.Tx) {
	p.UpdatedAt = tx.Now
	tx.Put(key(p.ID), base.Encode(p))
}

// UnknownProgram is the verdict for a program that is not there.
func UnknownProgram() *base.Verdict {
	return base.Decline(404, "unknown_program", "there is no such program")
}

// CheckActive declines when the program or its root takes no new work; work that
// was accepted before may still go on while the program drains.
func CheckActive(tx *register.Tx, program *Program, accepted bool) error {
	root := program
	if program.Root != program.ID {
		if root = Load(tx, program.Root); root == nil {
			return UnknownProgram()
		}
	}
	if stopped := program.Termination.Escalate(root.Termination); stopped == Immediate || (stopped != "" && !accepted) {
		return base.Decline(503, "program_terminating", "the program is ending (%s)", stopped)
	}
	if root.Deadline > 0 && tx.Now >= root.Deadline {
		return base.Decline(408, "past_deadline", "the program's deadline has passed")
	}
	return nil
}

// Reserve sets tokens aside for a leg and grants at most what is left.
func Reserve(tx *register.Tx, program *Program, leg string, wanted int64) (int64, error) {
	if err := CheckActive(tx, program, true); err != nil {
		return 0, err
	}
	root := Load(tx, program.Root)
	if granted, ok := root.Reserved[leg]; ok {
		return granted, nil
	}
	left := root.Budget - root.Spent - root.Outstanding()
	granted := min(wanted, left)
	if granted <= 0 {
		return 0, base.Decline(402, "over_budget", "the program's budget of %d output tokens is used up", root.Budget)
	}
	if root.Reserved == nil {
		root.Reserved = map[string]int64{}
	}
	root.Reserved[leg] = granted
	root.store(tx)
	return granted, nil
}

// IsReserved reports whether a leg's reservation stands.
func IsReserved(tx *register.Tx, program *Program, leg string) bool {
	root := Load(tx, program.Root)
	if root == nil {
		return false
	}
	_, ok := root.Reserved[leg]
	return ok
}

// HasReservations reports whether any reservation under a prefix stands.
func HasReservations(tx *register.Tx, program *Program, prefix string) bool {
	if root := Load(tx, program.Root); root != nil {
		for leg := range root.Reserved {
			if strings.HasPrefix(leg, prefix) {
				return true
			}
		}
	}
	return false
}

// Settle ends a reservation with what was put out; below zero means that
// the end is unknown and the whole of it counts as spent. It tells whether
// the reservation still stood.
func Settle(tx *register.Tx, program *Program, leg string, used int64) bool {
	root := Load(tx, program.Root)
	if root == nil {
		return false
	}
	granted, ok := root.Reserved[leg]
	if !ok {
		return false
	}
	if used < 0 || used > granted {
		used = granted
	}
	delete(root.Reserved, leg)
	root.Spent += used
	root.store(tx)
	return true
}

// Forfeit counts every reservation under a prefix as spent in full, and
// lists them.
func Forfeit(tx *register.Tx, program *Program, prefix string) (legs []string) {
	root := Load(tx, program.Root)
	if root == nil {
		return nil
	}
	for _, leg := range base.SortedKeys(root.Reserved) {
		if strings.HasPrefix(leg, prefix) {
			root.Spent += root.Reserved[leg]
			delete(root.Reserved, leg)
			legs = append(legs, leg)
		}
	}
	if len(legs) > 0 {
		root.store(tx)
	}
	return legs
}

// TerminationPrefix is where the feed tells of programs that were told to end.
const TerminationPrefix = "feed/ended/"

// TerminationNotice is what the feed tells of one.
type TerminationNotice struct {
	Mode Termination `json:"mode"`
	At   int64       `json:"at"`
}

// DecodeTermination reads what the feed tells of one program.
func DecodeTermination(raw []byte) Termination {
	var told TerminationNotice
	_ = json.Unmarshal(raw, &told)
	return told.Mode
}

type create struct {
	Program Program `json:"program"`
}

type terminate struct {
	Program string      `json:"program"`
	Mode    Termination `json:"mode"`
}

type named struct {
	Program string `json:"program"`
}

// RegisterHandlers adds the programs' ops to a core.
func RegisterHandlers(owner *register.Server) {
	owner.Handle("budget.create", func(tx *register.Tx, args []byte) (any, error) {
		var asked create
		if err := json.Unmarshal(args, &asked); err != nil {
			return nil, base.DeclineField("program", "%v", err)
		}
		program := asked.Program
		if held := Load(tx, program.ID); held != nil {
			if held.SecretDigest != program.SecretDigest {
				return nil, base.Decline(409, "program_exists", "a program of that name exists")
			}
			return held, nil
		}
		if program.Root != program.ID {
			root := Load(tx, program.Root)
			if root == nil {
				return nil, UnknownProgram()
			}
			if err := CheckActive(tx, root, false); err != nil {
				return nil, err
			}
			program.Group, program.Site = root.Group, root.Site
		}
		program.CreatedAt = tx.Now
		if program.DeadlineMs > 0 {
			program.Deadline = tx.Now + program.DeadlineMs
		}
		program.store(tx)
		program.RemainingMs = program.DeadlineMs
		return program, nil
	})
	owner.Handle("budget.get", func(tx *register.Tx, args []byte) (any, error) {
		var asked named
		_ = json.Unmarshal(args, &asked)
		if found := Load(tx, asked.Program); found != nil {
			if found.Deadline > 0 {
				found.RemainingMs = max(0, found.Deadline-tx.Now)
			}
			return found, nil
		}
		return nil, UnknownProgram()
	})
	owner.Handle("budget.terminate", func(tx *register.Tx, args []byte) (any, error) {
		var asked terminate
		_ = json.Unmarshal(args, &asked)
		found := Load(tx, asked.Program)
		if found == nil {
			return nil, UnknownProgram()
		}
		if after := found.Termination.Escalate(asked.Mode); after != found.Termination {
			found.Termination = after
			found.store(tx)
		}
		return found, nil
	})
	owner.Handle("budget.ended", func(tx *register.Tx, args []byte) (any, error) {
		var asked terminate
		_ = json.Unmarshal(args, &asked)
		var told TerminationNotice
		if raw := tx.Get(TerminationPrefix + asked.Program); raw != nil {
			_ = json.Unmarshal(raw, &told)
		}
		if after := told.Mode.Escalate(asked.Mode); after != told.Mode {
			tx.Put(TerminationPrefix+asked.Program, base.Encode(TerminationNotice{after, tx.Now}))
		}
		return struct{}{}, nil
	})
	owner.AddSweep(func(tx *register.Tx) {
		tx.Walk(TerminationPrefix, "", func(storedKey string, value []byte) bool {
			var told TerminationNotice
			if json.Unmarshal(value, &told) == nil && tx.Now-told.At > tx.Bounds.Retain.Milliseconds() {
				tx.Delete(storedKey)
			}
			return true
		})
	})
	owner.AddSweep(func(tx *register.Tx) {
		now := tx.Now
		tx.Walk("program/", "", func(storedKey string, value []byte) bool {
			var found Program
			if json.Unmarshal(value, &found) == nil && now > max(found.Deadline, found.UpdatedAt)+4*tx.Bounds.Retain.Milliseconds() {
				tx.Delete(storedKey)
			}
			return true
		})
	})
}

// Client asks for programs.
type Client struct{ Register *register.Client }

func (c *Client) Create(ctx *base.Ctx, program Program) (*Program, error) {
	var made Program
	return &made, c.Register.Change(ctx, RegisterGroup(program.ID), "budget.create", create{program}, &made)
}

func (c *Client) Get(ctx *base.Ctx, id string) (*Program, error) {
	var found Program
	return &found, c.Register.Change(ctx, RegisterGroup(id), "budget.get", named{id}, &found)
}

func (c *Client) Terminate(ctx *base.Ctx, id string, mode Termination) (*Program, error) {
	var found Program
	if err := c.Register.Change(ctx, RegisterGroup(id), "budget.terminate", terminate{id, mode}, &found); err != nil {
		return nil, err
	}
	return &found, c.Register.Change(ctx, register.FeedGroup, "budget.ended", terminate{id, found.Termination}, nil)
}
