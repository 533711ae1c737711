// Lines keep what must last in the ledger.

package node

import (
	"fordseam/internal/base"
	"fordseam/internal/ledger"
	"fordseam/internal/line"
)

type keeping struct{ client *ledger.Client }

func (k keeping) Begin(ctx *base.Ctx, claim *line.Claim) (*line.ClaimResult, error) {
	begun, err := k.client.Begin(ctx, &ledger.BeginParams{Program: claim.Program, Session: claim.Session, Turn: claim.Turn, Previous: claim.Previous,
		Owner: claim.Owner, Run: claim.Run, Epoch: claim.Epoch, Confirmed: claim.Confirmed, Budgeted: claim.HasBudget, MaxTokens: claim.MaxTokens, Budget: claim.Budget, Retention: claim.Retain})
	if err != nil {
		return nil, err
	}
	return &line.ClaimResult{Assignment: &line.Assignment{Run: begun.Run, Owner: begun.Owner, Epoch: begun.Epoch}, Granted: begun.Granted}, nil
}

func (k keeping) Finish(ctx *base.Ctx, ending *line.Completion) error {
	return k.client.Finish(ctx, &ledger.FinishParams{Program: ending.Program, Session: ending.Session, Turn: ending.Turn, Previous: ending.Previous, Owner: ending.Owner,
		Run: ending.Run, Epoch: ending.Epoch, Input: ending.Input, Output: ending.Output, Budgeted: ending.Budgeted, Tokens: ending.Tokens, Retention: ending.Retain})
}

func (k keeping) Settle(ctx *base.Ctx, settled *line.Settlement) error {
	return k.client.Settle(ctx, &ledger.SettleParams{Program: settled.Program, Run: settled.Run, Turn: settled.Turn, Tokens: settled.Tokens, Retention: settled.Retain})
}

func (k keeping) Chain(ctx *base.Ctx, program, turn string) ([]line.CompletedTurn, error) {
	turns, err := k.client.Chain(ctx, program, turn)
	if err != nil {
		return nil, err
	}
	return base.Map(turns, func(one *ledger.Turn) line.CompletedTurn {
		return line.CompletedTurn{Turn: one.Id, Previous: one.Previous, Input: one.Input, Output: one.Output}
	}), nil
}
