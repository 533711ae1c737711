package ledger

import (
	"fordseam/internal/base"
)

// claimRound is the result of sending a claim once to a program's replicas.
type claimRound struct {
	granted    bool
	setChanged bool
	turnOver   bool
	// rival is the strongest assignment that conflicts with the claim. It has won
	// if a quorum holds it, or if its owner has confirmed that a quorum did.
	rival    *Assignment
	rivalWon bool
	// incomplete means that not all replicas answered.
	incomplete bool
	// spends are the program's other reservations and spends, by turn and Run.
	spends map[string]*Spend
	// identical means that all granting replicas reported the same spends.
	identical bool
}

// runClaimRound sends the claim and the turn's reservation to the program's
// replicas; known are spends that the replicas may have missed.
func (c *Client) runClaimRound(ctx *base.Ctx, params *BeginParams, epoch uint64, known []*Spend) claimRound {
	set, replicas, quorum := c.replicas(params.Program)
	if set == nil {
		return claimRound{}
	}
	claim := &Assignment{Session: params.Session, Owner: params.Owner, Run: params.Run, Epoch: epoch, Confirmed: params.Confirmed}
	granted := func(reply *BeginReply) bool { return reply.Ack.GetWhy() == "" && reply.Ack.GetWhole() }
	strongestRival := func(responses []storeResponse[*BeginReply]) (rival *Assignment, won bool) {
		votes := map[[2]string]int{}
		refusals := 0
		for _, response := range responses {
			if response.ack.GetWhy() == "held" {
				holder := response.reply.Holder
				refusals++
				votes[[2]string{holder.Owner, holder.Run}]++
				if stronger(holder, rival) {
					rival = holder
				}
			}
		}
		if rival == nil || rival.Run == "" {
			return rival, false
		}
		won = votes[[2]string{rival.Owner, rival.Run}] >= quorum || rival.Epoch > epoch && refusals > len(replicas)-quorum
		return rival, won || rival.Confirmed && !params.Confirmed
	}
	responses, setChanged := callQuorum(c, ctx, quorumCall[*BeginReply]{set: set, stores: replicas, required: quorum, accepted: granted,
		send: func(ctx *base.Ctx, store Ledger, target *Target) (*BeginReply, error) {
			return store.Begin(ctx, &BeginRequest{Target: target, Program: params.Program, Claim: claim, Turn: params.Turn, Previous: params.Previous, InputBytes: int64(params.InputBytes),
				Budgeted: params.Budgeted, Most: params.MaxTokens, KeepMs: params.Retention.Milliseconds(), Known: known})
		},
		decided: func(responses []storeResponse[*BeginReply]) bool {
			_, won := strongestRival(responses)
			return won
		}})
	round := claimRound{setChanged: setChanged, spends: map[string]*Spend{}, identical: true, incomplete: len(responses) < len(replicas)}
	grants := 0
	var first []*Spend
	for _, response := range responses {
		switch {
		case response.ack == nil:
			round.incomplete = true
		case granted(response.reply):
			if grants++; grants == 1 {
				first = response.reply.Others
			}
			round.identical = round.identical && sameSpends(first, response.reply.Others)
			for _, other := range response.reply.Others {
				round.addSpend(other)
			}
		case response.reply.Over:
			round.turnOver = true
		}
	}
	round.rival, round.rivalWon = strongestRival(responses)
	round.granted = grants >= quorum && !setChanged
	return round
}

// stronger reports whether a takes precedence over b: a higher epoch, then a
// confirmed one, then the Run that is first by name.
func stronger(a, b *Assignment) bool {
	switch {
	case b == nil || a.Epoch != b.Epoch:
		return b == nil || a.Epoch > b.Epoch
	case a.Confirmed != b.Confirmed:
		return a.Confirmed
	}
	return b.Run == "" || a.Run != "" && a.Run < b.Run
}

// addSpend keeps the settled one of two accounts of a spend, otherwise the larger
// amount.
func (r *claimRound) addSpend(s *Spend) {
	key := s.Turn + "/" + s.Run
	known, ok := r.spends[key]
	if !ok || s.Settled && !known.Settled || s.Settled == known.Settled && s.Tokens > known.Tokens {
		r.spends[key] = s
	}
}

// knownSpends returns the spends in a fixed order.
func (r *claimRound) knownSpends() []*Spend {
	return base.Map(base.SortedKeys(r.spends), func(key string) *Spend { return r.spends[key] })
}

// merge adds the spends that an earlier round saw.
func (r *claimRound) merge(former claimRound) {
	for _, s := range former.spends {
		r.addSpend(s)
	}
}

// sums returns the settled and the reserved tokens.
func (r *claimRound) totals() (settled, reserved int64) {
	for _, s := range r.spends {
		if s.Settled {
			settled += s.Tokens
		} else {
			reserved += s.Tokens
		}
	}
	return settled, reserved
}

// sameSpends reports whether both list the same turns and Runs, whatever their
// amounts.
func sameSpends(a, b []*Spend) bool {
	if len(a) != len(b) {
		return false
	}
	known := map[[2]string]bool{}
	for _, s := range a {
		known[[2]string{s.Turn, s.Run}] = true
	}
	for _, s := range b {
		if !known[[2]string{s.Turn, s.Run}] {
			return false
		}
	}
	return true
}

// claimSession repeats claim rounds until a quorum has granted the claim or it has
// lost to a rival, which the result then has. If the replicas are split between
// claims at one epoch, the claim whose Run is first by name retries at a higher
// epoch.
func (c *Client) claimSession(ctx *base.Ctx, params *BeginParams, epoch *uint64, known []*Spend) (claimRound, error) {
	attempt := c.newAttempt(ctx)
	ctx = attempt.ctx
	everyStoreAnswered := false
	for retries := 0; !attempt.ended(everyStoreAnswered); retries++ {
		round := c.runClaimRound(ctx, params, *epoch, known)
		rival := round.rival
		everyStoreAnswered = rival == nil && !round.incomplete && !round.setChanged
		switch {
		case round.setChanged:
		case round.granted:
			round.rival = nil
			return round, nil
		case round.turnOver:
			return round, base.Decline(409, "turn_over", "turn %q is already over; this request is a late duplicate", params.Turn)
		case round.rivalWon:
			return round, nil
		case rival == nil || round.incomplete && retries < 3 || params.Confirmed && rival.Epoch > *epoch:
			c.backOff(ctx)
		case rival.Run == "" || rival.Epoch == *epoch && params.Run < rival.Run:
			c.counters.Add("ledger_claims_split", 1)
			*epoch = rival.Epoch + 1
		default:
			return round, nil
		}
	}
	return claimRound{}, c.unreachableError("the program's state")
}

// reservedBefore sums the reservations whose key sorts before one. When
// concurrent reservations exceed the remaining budget, those that sort last are
// refused at once.
func (r *claimRound) reservedBefore(limit string) int64 {
	sum := int64(0)
	for key, s := range r.spends {
		if !s.Settled && key < limit {
			sum += s.Tokens
		}
	}
	return sum
}
