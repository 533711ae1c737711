// Lines keep what must last in the ledger.

package node

import (
	"fordseam/internal/base"
	"fordseam/internal/ledger"
	"fordseam/internal/line"
)

type ledgerAdapter struct{ client *ledger.Client }

func (k ledgerAdapter) Begin(ctx *base.Ctx, claim *line.Claim) (*line.ClaimResult, error) {
	result, err := k.client.Begin(ctx, &ledger.BeginParams{Program: claim.Program, Session: claim.Session, Turn: claim.Turn, Previous: claim.Previous,
		Owner: claim.Owner, Run: claim.Run, Epoch: claim.Epoch, Confirmed: claim.Confirmed, Budgeted: claim.HasBudget, MaxTokens: claim.MaxTokens, Budget: claim.Budget, Retention: claim.Retain})
	if err != nil {
		return nil, err
	}
	return &line.ClaimResult{Assignment: &line.Assignment{Run: result.Run, Owner: result.Owner, Epoch: result.Epoch}, Granted: result.Granted}, nil
}

func (k ledgerAdapter) Finish(ctx *base.Ctx, completion *line.Completion) error {
	return k.client.Finish(ctx, &ledger.FinishParams{Program: completion.Program, Session: completion.Session, Turn: completion.Turn, Previous: completion.Previous, Owner: completion.Owner,
		Run: completion.Run, Epoch: completion.Epoch, Input: completion.Input, Output: completion.Output, Budgeted: completion.Budgeted, Tokens: completion.Tokens, Retention: completion.Retain})
}

func (k ledgerAdapter) Settle(ctx *base.Ctx, settlement *line.Settlement) error {
	return k.client.Settle(ctx, &ledger.SettleParams{Program: settlement.Program, Run: settlement.Run, Turn: settlement.Turn, Tokens: settlement.Tokens, Retention: settlement.Retain})
}

func (k ledgerAdapter) Chain(ctx *base.Ctx, program, turn string) ([]line.CompletedTurn, error) {
	turns, err := k.client.Chain(ctx, program, turn)
	if err != nil {
		return nil, err
	}
	return base.Map(turns, func(one *ledger.Turn) line.CompletedTurn {
		return line.CompletedTurn{Turn: one.Id, Previous: one.Previous, Input: one.Input, Output: one.Output}
	}), nil
}
