// Package toolcall keeps outside effects from happening twice. A call with
// an Idempotency-Key is claimed on a majority before it goes out, under the
// name of the leg that will carry it. Once a byte may have left there is no
// other leg: the recorded answer is given again, or "may have run" when it
// never came. A leg that provably did not leave may go to another worker
// under the same claim, or gives the claim back; what was given back by one
// leg can be claimed by another, never by a late copy of the same.
package toolcall

import (
	"encoding/json"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/register"
)

type state string

const (
	claimed  state = "claimed"
	answered state = "answered"
	released state = "released"
)

// Response is what a worker gave.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

type claimRecord struct {
	State    state     `json:"state"`
	Digest   string    `json:"digest"`
	Attempt  string    `json:"leg"`
	Response *Response `json:"answer,omitempty"`
	At       int64     `json:"at"`
}

// Claim asks for the right to carry a call out once.
type Claim struct {
	Program string `json:"program"`
	Key     string `json:"key"`
	Digest  string `json:"digest"`
	Attempt string `json:"leg"`
}

// Outcome of a claim: go ahead, the recorded answer, or another leg has it.
type Outcome struct {
	Proceed  bool      `json:"go"`
	Response *Response `json:"answer,omitempty"`
}

type finishArgs struct {
	Claim
	Response *Response `json:"answer,omitempty"`
}

func claimKey(program, callKey string) string { return "claim/" + program + "/" + callKey }

func loadClaim(tx *register.Tx, claim *Claim) *claimRecord {
	raw := tx.Get(claimKey(claim.Program, claim.Key))
	if raw == nil {
		return nil
	}
	var record claimRecord
	_ = json.Unmarshal(raw, &record)
	return &record
}

func (r *claimRecord) store(tx *register.Tx, claim *Claim) {
	r.At = tx.Now
	tx.Put(claimKey(claim.Program, claim.Key), base.Encode(r))
}

// RegisterHandlers adds the claims' ops to a core.
func RegisterHandlers(owner *register.Owner) {
	owner.Handle("toolcall.claim", handleClaim)
	owner.Handle("toolcall.finish", func(tx *register.Tx, raw []byte) (any, error) {
		var args finishArgs
		_ = json.Unmarshal(raw, &args)
		stored := loadClaim(tx, &args.Claim)
		if stored == nil || stored.Attempt != args.Attempt || stored.State != claimed {
			return struct{}{}, nil
		}
		stored.State = released
		if args.Response != nil {
			stored.State, stored.Response = answered, args.Response
		}
		stored.store(tx, &args.Claim)
		return struct{}{}, nil
	})
	owner.Sweep(func(tx *register.Tx) {
		tx.Walk("claim/", "", func(storedKey string, value []byte) bool {
			var stored claimRecord
			if json.Unmarshal(value, &stored) == nil && tx.Now-stored.At > tx.Bounds.Retain.Milliseconds()*5/4 {
				tx.Gone(storedKey)
			}
			return true
		})
	})
}

func handleClaim(tx *register.Tx, raw []byte) (any, error) {
	var request Claim
	_ = json.Unmarshal(raw, &request)
	stored := loadClaim(tx, &request)
	if stored != nil && stored.Digest != request.Digest {
		return nil, base.Decline(409, "key_reused", "this Idempotency-Key was used with another call")
	}
	if stored != nil && stored.State == answered {
		return Outcome{Response: stored.Response}, nil
	}
	if stored != nil && stored.State == claimed {
		return Outcome{Proceed: stored.Attempt == request.Attempt}, nil
	}
	if stored != nil && stored.Attempt == request.Attempt {
		return nil, base.Decline(409, "leg_over", "this leg was given up")
	}
	program := budget.Load(tx, request.Program)
	if program == nil {
		return nil, budget.UnknownProgram()
	}
	if err := budget.CheckActive(tx, program, false); err != nil {
		return nil, err
	}
	added := &claimRecord{State: claimed, Digest: request.Digest, Attempt: request.Attempt}
	added.store(tx, &request)
	return Outcome{Proceed: true}, nil
}

// Client claims and finishes calls.
type Client struct{ Register *register.Client }

func (c *Client) Claim(ctx *base.Ctx, claim Claim) (*Outcome, error) {
	var outcome Outcome
	return &outcome, c.Register.Change(ctx, budget.RegisterGroup(claim.Program), "toolcall.claim", claim, &outcome)
}

// Finish records the answer, or gives the claim back when there is none.
func (c *Client) Finish(ctx *base.Ctx, claim Claim, response *Response) error {
	return c.Register.Change(ctx, budget.RegisterGroup(claim.Program), "toolcall.finish", finishArgs{claim, response}, nil)
}
