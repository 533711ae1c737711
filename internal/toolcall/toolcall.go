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

type record struct {
	State  state     `json:"state"`
	Digest string    `json:"digest"`
	Leg    string    `json:"leg"`
	Answer *Response `json:"answer,omitempty"`
	At     int64     `json:"at"`
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

type finish struct {
	Claim
	Answer *Response `json:"answer,omitempty"`
}

func key(program, callKey string) string { return "claim/" + program + "/" + callKey }

func load(tx *register.Tx, c *Claim) *record {
	raw := tx.Get(key(c.Program, c.Key))
	if raw == nil {
		return nil
	}
	var found record
	_ = json.Unmarshal(raw, &found)
	return &found
}

func (r *record) store(tx *register.Tx, c *Claim) {
	r.At = tx.Now
	tx.Put(key(c.Program, c.Key), base.Encode(r))
}

// RegisterHandlers adds the claims' ops to a core.
func RegisterHandlers(owner *register.Server) {
	owner.Handle("toolcall.claim", claim)
	owner.Handle("toolcall.finish", func(tx *register.Tx, args []byte) (any, error) {
		var asked finish
		_ = json.Unmarshal(args, &asked)
		found := load(tx, &asked.Claim)
		if found == nil || found.Leg != asked.Attempt || found.State != claimed {
			return struct{}{}, nil
		}
		found.State = released
		if asked.Answer != nil {
			found.State, found.Answer = answered, asked.Answer
		}
		found.store(tx, &asked.Claim)
		return struct{}{}, nil
	})
	owner.AddSweep(func(tx *register.Tx) {
		tx.Walk("claim/", "", func(storedKey string, value []byte) bool {
			var found record
			if json.Unmarshal(value, &found) == nil && tx.Now-found.At > tx.Bounds.Retain.Milliseconds()*5/4 {
				tx.Delete(storedKey)
			}
			return true
		})
	})
}

func claim(tx *register.Tx, args []byte) (any, error) {
	var asked Claim
	_ = json.Unmarshal(args, &asked)
	found := load(tx, &asked)
	if found != nil && found.Digest != asked.Digest {
		return nil, base.Decline(409, "key_reused", "this Idempotency-Key was used with another call")
	}
	if found != nil && found.State == answered {
		return Outcome{Response: found.Answer}, nil
	}
	if found != nil && found.State == claimed {
		return Outcome{Proceed: found.Leg == asked.Attempt}, nil
	}
	if found != nil && found.Leg == asked.Attempt {
		return nil, base.Decline(409, "leg_over", "this leg was given up")
	}
	program := budget.Load(tx, asked.Program)
	if program == nil {
		return nil, budget.UnknownProgram()
	}
	if err := budget.CheckActive(tx, program, false); err != nil {
		return nil, err
	}
	fresh := &record{State: claimed, Digest: asked.Digest, Leg: asked.Attempt}
	fresh.store(tx, &asked)
	return Outcome{Proceed: true}, nil
}

// Client claims and finishes calls.
type Client struct{ Register *register.Client }

func (c *Client) Claim(ctx *base.Ctx, asked Claim) (*Outcome, error) {
	var outcome Outcome
	return &outcome, c.Register.Change(ctx, budget.RegisterGroup(asked.Program), "toolcall.claim", asked, &outcome)
}

// Finish records the answer, or gives the claim back when there is none.
func (c *Client) Finish(ctx *base.Ctx, asked Claim, answer *Response) error {
	return c.Register.Change(ctx, budget.RegisterGroup(asked.Program), "toolcall.finish", finish{asked, answer}, nil)
}
