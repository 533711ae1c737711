package node

import (
	"fordseam/internal/base"
	"fordseam/internal/ledger"
	"fordseam/internal/line"
)

// ledgerAdapter lets line store its claims and turns in the ledger.
type ledgerAdapter struct{ client *ledger.Client }

func (a ledgerAdapter) Begin(ctx *base.Ctx, claim *line.Claim) (*line.ClaimResult, error) {
	result, err := a.client.Begin(ctx, &ledger.BeginParams{Program: claim.Program, Session: claim.Session, Turn: claim.Turn, Previous: claim.Previous,
		Owner: claim.Owner, Run: claim.Run, Epoch: claim.Epoch, Confirmed: claim.Confirmed, Budgeted: claim.HasBudget, MaxTokens: claim.MaxTokens, Budget: claim.Budget, InputBytes: claim.InputBytes, Retention: claim.Retain})
	if err != nil {
		return nil, err
	}
	return &line.ClaimResult{Assignment: &line.Assignment{Run: result.Run, Owner: result.Owner, Epoch: result.Epoch}, Granted: result.Granted}, nil
}

func (a ledgerAdapter) Finish(ctx *base.Ctx, completion *line.Completion) error {
	return a.client.Finish(ctx, &ledger.FinishParams{Program: completion.Program, Session: completion.Session, Turn: completion.Turn, Previous: completion.Previous, Owner: completion.Owner,
		Run: completion.Run, Epoch: completion.Epoch, Input: completion.Input, Output: completion.Output, Budgeted: completion.Budgeted, Tokens: completion.Tokens, Retention: completion.Retain})
}

func (a ledgerAdapter) Settle(ctx *base.Ctx, settlement *line.Settlement) error {
	return a.client.Settle(ctx, &ledger.SettleParams{Program: settlement.Program, Run: settlement.Run, Turn: settlement.Turn, Tokens: settlement.Tokens, Retention: settlement.Retain})
}

func (a ledgerAdapter) Chain(ctx *base.Ctx, program, turn string, memory line.ChainMemory) ([]line.CompletedTurn, error) {
	turns, err := a.client.ChainWithin(ctx, program, turn, memory)
	if err != nil {
		return nil, err
	}
	return base.Map(turns, func(ancestor *ledger.Turn) line.CompletedTurn {
		return line.CompletedTurn{Turn: ancestor.Id, Previous: ancestor.Previous, Input: ancestor.Input, Output: ancestor.Output}
	}), nil
}
