// Package budget keeps the output token budget, the deadline and the termination of
// programs in the register, once for the whole fleet.
//
// The record of a program is in the register shard of its root program, so that helper
// programs share the root's budget and deadline. Tokens are reserved on a majority of
// disks before an attempt is sent to a worker, with the reservation as the worker's own
// limit, and settled when the attempt's outcome is known. A reservation that is never
// settled stays counted against the budget. All operations may be repeated, and one
// that arrives late changes nothing that was settled.
package budget

import (
	"encoding/json"
	"strings"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Termination is how a program or session is requested to end. It only escalates: from
// none to Drain to Immediate.
type Termination string

// Drain finishes the accepted work and accepts no new work; Immediate also stops what
// is running.
const (
	Drain     Termination = "Drain"
	Immediate Termination = "Immediate"
)

var terminationRanks = map[Termination]int{"": 0, Drain: 1, Immediate: 2}

// Valid reports whether t is Drain or Immediate.
func (t Termination) Valid() bool { return terminationRanks[t] > 0 }

// Escalate returns the stronger of two terminations.
func (t Termination) Escalate(requested Termination) Termination {
	if terminationRanks[requested] > terminationRanks[t] {
		return requested
	}
	return t
}

// Program is the stored record of a program. The record of a root program also holds
// the budget, the reservations and the deadline for its helpers. Times are in
// milliseconds of the register shard's clock.
type Program struct {
	ID           string           `json:"id"`
	Root         string           `json:"root"`
	Group        string           `json:"group"`
	Site         string           `json:"site"`
	SecretDigest string           `json:"secret"`
	Budget       int64            `json:"budget"`
	Spent        int64            `json:"spent"`
	Reserved     map[string]int64 `json:"reserved"`
	// Deadline is a time of the shard's clock. DeadlineMs is the duration that was
	// requested, and RemainingMs what remains of it, which is set in replies only.
	Deadline    int64       `json:"deadline"`
	DeadlineMs  int64       `json:"deadline_ms,omitempty"`
	RemainingMs int64       `json:"left_ms,omitempty"`
	Urgency     string      `json:"urgency"`
	Termination Termination `json:"termination"`
	CreatedAt   int64       `json:"created"`
	UpdatedAt   int64       `json:"seen"`
}

// Outstanding returns the tokens that unfinished attempts may still put out.
func (p *Program) Outstanding() int64 {
	total := int64(0)
	for _, tokens := range p.Reserved {
		total += tokens
	}
	return total
}

// RegisterGroup returns the register group of a program: the name of its root program,
// with which the name of every helper begins.
func RegisterGroup(program string) string {
	root, _, _ := strings.Cut(program, ".")
	return root
}

func programKey(id string) string { return "program/" + id }

// Load reads a program's record inside a register change, or returns nil.
func Load(tx *register.Tx, id string) *Program {
	raw := tx.Get(programKey(id))
	if raw == nil {
		return nil
	}
	var program Program
	if json.Unmarshal(raw, &program) != nil {
		return nil
	}
	return &program
}

func (p *Program) store(tx *register.Tx) {
	p.UpdatedAt = tx.Now
	tx.Put(programKey(p.ID), base.MustMarshal(p))
}

// UnknownProgram returns the error for a program that does not exist.
func UnknownProgram() *base.RequestError {
	return base.Decline(404, "unknown_program", "the program does not exist")
}

// CheckActive declines when the program or its root accepts no new work. Work that was
// accepted before may continue while the program drains.
func CheckActive(tx *register.Tx, program *Program, accepted bool) error {
	root := program
	if program.Root != program.ID {
		if root = Load(tx, program.Root); root == nil {
			return UnknownProgram()
		}
	}
	if stopped := program.Termination.Escalate(root.Termination); stopped == Immediate || (stopped != "" && !accepted) {
		return base.Decline(503, "program_terminating", "the program is terminating (%s)", stopped)
	}
	if root.Deadline > 0 && tx.Now >= root.Deadline {
		return base.Decline(408, "past_deadline", "the program's deadline has passed")
	}
	return nil
}

// Reserve reserves tokens for an attempt and returns how many, at most what remains of
// the budget. Repeated for the same attempt it returns the first reservation.
func Reserve(tx *register.Tx, program *Program, attempt string, wanted int64) (int64, error) {
	if err := CheckActive(tx, program, true); err != nil {
		return 0, err
	}
	root := Load(tx, program.Root)
	if granted, ok := root.Reserved[attempt]; ok {
		return granted, nil
	}
	remaining := root.Budget - root.Spent - root.Outstanding()
	granted := min(wanted, remaining)
	if granted <= 0 {
		return 0, base.Decline(402, "over_budget", "the program's budget of %d output tokens is used up", root.Budget)
	}
	if root.Reserved == nil {
		root.Reserved = map[string]int64{}
	}
	root.Reserved[attempt] = granted
	root.store(tx)
	return granted, nil
}

// IsReserved reports whether an attempt has a reservation that is not settled.
func IsReserved(tx *register.Tx, program *Program, attempt string) bool {
	root := Load(tx, program.Root)
	if root == nil {
		return false
	}
	_, ok := root.Reserved[attempt]
	return ok
}

// HasReservations reports whether any attempt whose id has the prefix has a reservation
// that is not settled.
func HasReservations(tx *register.Tx, program *Program, prefix string) bool {
	if root := Load(tx, program.Root); root != nil {
		for attempt := range root.Reserved {
			if strings.HasPrefix(attempt, prefix) {
				return true
			}
		}
	}
	return false
}

// Settle ends a reservation with the number of tokens used. A negative number means
// that the outcome is unknown, and the whole reservation counts as spent. It returns
// false when there was no such reservation.
func Settle(tx *register.Tx, program *Program, attempt string, used int64) bool {
	root := Load(tx, program.Root)
	if root == nil {
		return false
	}
	granted, ok := root.Reserved[attempt]
	if !ok {
		return false
	}
	if used < 0 || used > granted {
		used = granted
	}
	delete(root.Reserved, attempt)
	root.Spent += used
	root.store(tx)
	return true
}

// Forfeit counts the reservations of all attempts whose ids have the prefix as spent in
// full, and returns those ids.
func Forfeit(tx *register.Tx, program *Program, prefix string) (attempts []string) {
	root := Load(tx, program.Root)
	if root == nil {
		return nil
	}
	for _, attempt := range base.SortedKeys(root.Reserved) {
		if strings.HasPrefix(attempt, prefix) {
			root.Spent += root.Reserved[attempt]
			delete(root.Reserved, attempt)
			attempts = append(attempts, attempt)
		}
	}
	if len(attempts) > 0 {
		root.store(tx)
	}
	return attempts
}

// TerminationPrefix is the prefix of the feed's keys for programs that are requested to
// end.
const TerminationPrefix = "feed/ended/"

// TerminationNotice is the feed's value for one such program.
type TerminationNotice struct {
	Mode Termination `json:"mode"`
	At   int64       `json:"at"`
}

// DecodeTermination returns the termination in the feed's value for a program.
func DecodeTermination(raw []byte) Termination {
	var notice TerminationNotice
	_ = json.Unmarshal(raw, &notice)
	return notice.Mode
}

type createArgs struct {
	Program Program `json:"program"`
}

type terminateArgs struct {
	Program string      `json:"program"`
	Mode    Termination `json:"mode"`
}

type getArgs struct {
	Program string `json:"program"`
}

// RegisterHandlers adds the operations on programs to a core's register, and the
// periodic deletion of old programs and notices.
func RegisterHandlers(server *register.Server) {
	server.Handle("budget.create", func(tx *register.Tx, raw []byte) (any, error) {
		var args createArgs
		if err := json.Unmarshal(raw, &args); err != nil {
			return nil, base.DeclineField("program", "%v", err)
		}
		program := args.Program
		if existing := Load(tx, program.ID); existing != nil {
			if existing.SecretDigest != program.SecretDigest {
				return nil, base.Decline(409, "program_exists", "program %q already exists", program.ID)
			}
			return existing, nil
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
	server.Handle("budget.get", func(tx *register.Tx, raw []byte) (any, error) {
		var args getArgs
		_ = json.Unmarshal(raw, &args)
		if found := Load(tx, args.Program); found != nil {
			if found.Deadline > 0 {
				found.RemainingMs = max(0, found.Deadline-tx.Now)
			}
			return found, nil
		}
		return nil, UnknownProgram()
	})
	server.Handle("budget.terminate", func(tx *register.Tx, raw []byte) (any, error) {
		var args terminateArgs
		_ = json.Unmarshal(raw, &args)
		found := Load(tx, args.Program)
		if found == nil {
			return nil, UnknownProgram()
		}
		if escalated := found.Termination.Escalate(args.Mode); escalated != found.Termination {
			found.Termination = escalated
			found.store(tx)
		}
		return found, nil
	})
	server.Handle("budget.ended", func(tx *register.Tx, raw []byte) (any, error) {
		var args terminateArgs
		_ = json.Unmarshal(raw, &args)
		var notice TerminationNotice
		if stored := tx.Get(TerminationPrefix + args.Program); stored != nil {
			_ = json.Unmarshal(stored, &notice)
		}
		if escalated := notice.Mode.Escalate(args.Mode); escalated != notice.Mode {
			tx.Put(TerminationPrefix+args.Program, base.MustMarshal(TerminationNotice{escalated, tx.Now}))
		}
		return struct{}{}, nil
	})
	server.AddSweep(func(tx *register.Tx) {
		tx.Walk(TerminationPrefix, "", func(storedKey string, value []byte) bool {
			var notice TerminationNotice
			if json.Unmarshal(value, &notice) == nil && tx.Now-notice.At > tx.Bounds.Retention.Milliseconds() {
				tx.Delete(storedKey)
			}
			return true
		})
	})
	server.AddSweep(func(tx *register.Tx) {
		now := tx.Now
		tx.Walk("program/", "", func(storedKey string, value []byte) bool {
			var found Program
			if json.Unmarshal(value, &found) == nil && now > max(found.Deadline, found.UpdatedAt)+4*tx.Bounds.Retention.Milliseconds() {
				tx.Delete(storedKey)
			}
			return true
		})
	})
}

// Client calls the operations on programs.
type Client struct{ Register *register.Client }

// Create stores a new program. It may be repeated with the same secret.
func (c *Client) Create(ctx *base.Ctx, program Program) (*Program, error) {
	var created Program
	return &created, c.Register.Change(ctx, RegisterGroup(program.ID), "budget.create", createArgs{program}, &created)
}

// Get returns a program's record with RemainingMs set.
func (c *Client) Get(ctx *base.Ctx, id string) (*Program, error) {
	var found Program
	return &found, c.Register.Change(ctx, RegisterGroup(id), "budget.get", getArgs{id}, &found)
}

// Terminate requests a program to end and publishes that in the feed.
func (c *Client) Terminate(ctx *base.Ctx, id string, mode Termination) (*Program, error) {
	var found Program
	if err := c.Register.Change(ctx, RegisterGroup(id), "budget.terminate", terminateArgs{id, mode}, &found); err != nil {
		return nil, err
	}
	return &found, c.Register.Change(ctx, register.FeedGroup, "budget.ended", terminateArgs{id, found.Termination}, nil)
}
