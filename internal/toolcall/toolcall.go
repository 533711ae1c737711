// Package toolcall keeps the external effects of a tool call from happening twice.
//
// A call with an Idempotency-Key is claimed on a majority of disks before it is sent,
// with the id of the attempt that will send it. Once a byte of it may have been sent
// there is no other attempt: a repeated call gets the recorded response, or "may have
// run" when there was none. An attempt that provably sent nothing may use another
// worker under the same claim, or release the claim. A released claim can be taken by
// another attempt, but never by a late copy of the one that released it.
package toolcall

import (
	"encoding/json"

	"fordseam/internal/base"
	"fordseam/internal/budget"
	"fordseam/internal/register"
)

// state is the state of a claim.
type state string

const (
	claimed  state = "claimed"  // an attempt may have sent the call
	answered state = "answered" // the response is recorded
	released state = "released" // the attempt sent nothing and gave the claim back
)

// Response is a worker's response to a call.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// claimRecord is the stored state of a claim; At is when it last changed.
type claimRecord struct {
	State    state     `json:"state"`
	Digest   string    `json:"digest"`
	Attempt  string    `json:"leg"`
	Response *Response `json:"answer,omitempty"`
	At       int64     `json:"at"`
}

// Claim requests the right to send a call. Digest is of the call's route and body.
type Claim struct {
	Program string `json:"program"`
	Key     string `json:"key"`
	Digest  string `json:"digest"`
	Attempt string `json:"leg"`
}

// Outcome is the result of a claim: the attempt may proceed, or there is a recorded
// response, or, when neither is set, another attempt has the claim.
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
	tx.Put(claimKey(claim.Program, claim.Key), base.MustMarshal(r))
}

// RegisterHandlers adds the operations on claims to a core's register, and the periodic
// deletion of old claims.
func RegisterHandlers(server *register.Server) {
	server.Handle("toolcall.claim", handleClaim)
	server.Handle("toolcall.finish", func(tx *register.Tx, raw []byte) (any, error) {
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
	server.AddSweep(func(tx *register.Tx) {
		tx.Walk("claim/", "", func(storedKey string, value []byte) bool {
			var stored claimRecord
			if json.Unmarshal(value, &stored) == nil && tx.Now-stored.At > tx.Bounds.Retention.Milliseconds()*5/4 {
				tx.Delete(storedKey)
			}
			return true
		})
	})
}

// handleClaim grants a claim unless another attempt has it or the call was answered. It
// may be repeated by the attempt that has it.
func handleClaim(tx *register.Tx, raw []byte) (any, error) {
	var request Claim
	_ = json.Unmarshal(raw, &request)
	stored := loadClaim(tx, &request)
	if stored != nil && stored.Digest != request.Digest {
		return nil, base.Decline(409, "key_reused", "this Idempotency-Key was already used with a different call")
	}
	if stored != nil && stored.State == answered {
		return Outcome{Response: stored.Response}, nil
	}
	if stored != nil && stored.State == claimed {
		return Outcome{Proceed: stored.Attempt == request.Attempt}, nil
	}
	if stored != nil && stored.Attempt == request.Attempt {
		return nil, base.Decline(409, "leg_over", "the attempt released its claim; this request is a late copy")
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

// Client calls the operations on claims.
type Client struct{ Register *register.Client }

// Claim requests the claim.
func (c *Client) Claim(ctx *base.Ctx, claim Claim) (*Outcome, error) {
	var outcome Outcome
	return &outcome, c.Register.Change(ctx, budget.RegisterGroup(claim.Program), "toolcall.claim", claim, &outcome)
}

// Finish records the response, or releases the claim when response is nil.
func (c *Client) Finish(ctx *base.Ctx, claim Claim, response *Response) error {
	return c.Register.Change(ctx, budget.RegisterGroup(claim.Program), "toolcall.finish", finishArgs{claim, response}, nil)
}
