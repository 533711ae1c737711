// Claims of sessions: one round over a program's replicas, and what it came to.

package ledger

import (
	"fordseam/internal/base"
)

// claimed is what one round of a claim came to.
type claimed struct {
	taken bool
	moved bool
	over  bool
	// best is the assignment that stands against the claim; it has won if a
	// quorum holds to it, or as good as won if its owner said that one did.
	best *Assignment
	won  bool
	// silent tells that not all replicas answered.
	silent bool
	spends map[string]*Spend
	alike  bool
}

func (c *Client) claim(ctx *base.Ctx, b *BeginParams, epoch uint64, known []*Spend) claimed {
	set, order, need := c.replicas(b.Program)
	if set == nil {
		return claimed{}
	}
	claim := &Assignment{Session: b.Session, Owner: b.Owner, Run: b.Run, Epoch: epoch, Confirmed: b.Confirmed}
	good := func(reply *BeginReply) bool { return reply.Ack.GetWhy() == "" && reply.Ack.GetWhole() }
	against := func(answers []answer[*BeginReply]) (best *Assignment, won bool) {
		votes := map[[2]string]int{}
		held := 0
		for _, one := range answers {
			if one.ack.GetWhy() == "held" {
				holder := one.reply.Holder
				held++
				votes[[2]string{holder.Owner, holder.Run}]++
				if better(holder, best) {
					best = holder
				}
			}
		}
		if best == nil || best.Run == "" {
			return best, false
		}
		won = votes[[2]string{best.Owner, best.Run}] >= need || best.Epoch > epoch && held > len(order)-need
		return best, won || best.Confirmed && !b.Confirmed
	}
	answers, moved := gather(c, ctx, round[*BeginReply]{set: set, order: order, enough: need, yes: good,
		call: func(ctx *base.Ctx, store Ledger, target *Target) (*BeginReply, error) {
			return store.Begin(ctx, &BeginRequest{Target: target, Program: b.Program, Claim: claim, Turn: b.Turn, Previous: b.Previous,
				Budgeted: b.Budgeted, Most: b.MaxTokens, KeepMs: b.Retention.Milliseconds(), Known: known})
		},
		over: func(answers []answer[*BeginReply]) bool {
			_, won := against(answers)
			return won
		}})
	came := claimed{moved: moved, spends: map[string]*Spend{}, alike: true, silent: len(answers) < len(order)}
	took := 0
	var first []*Spend
	for _, one := range answers {
		switch {
		case one.ack == nil:
			came.silent = true
		case good(one.reply):
			if took++; took == 1 {
				first = one.reply.Others
			}
			came.alike = came.alike && sameSpends(first, one.reply.Others)
			for _, held := range one.reply.Others {
				came.count(held)
			}
		case one.reply.Over:
			came.over = true
		}
	}
	came.best, came.won = against(answers)
	came.taken = took >= need && !moved
	return came
}

// better orders assignments that stand against each other.
func better(a, b *Assignment) bool {
	switch {
	case b == nil || a.Epoch != b.Epoch:
		return b == nil || a.Epoch > b.Epoch
	case a.Confirmed != b.Confirmed:
		return a.Confirmed
	}
	return b.Run == "" || a.Run != "" && a.Run < b.Run
}

func (r *claimed) count(held *Spend) {
	key := held.Turn + "/" + held.Run
	known, ok := r.spends[key]
	if !ok || held.Settled && !known.Settled || held.Settled == known.Settled && held.Tokens > known.Tokens {
		r.spends[key] = held
	}
}

func (r *claimed) known() []*Spend {
	return base.Map(base.SortedKeys(r.spends), func(key string) *Spend { return r.spends[key] })
}

// merge adds what an earlier round saw.
func (r *claimed) merge(former claimed) {
	for _, held := range former.spends {
		r.count(held)
	}
}

func (r *claimed) sums() (settled, open int64) {
	for _, held := range r.spends {
		if held.Settled {
			settled += held.Tokens
		} else {
			open += held.Tokens
		}
	}
	return settled, open
}

func sameSpends(a, b []*Spend) bool {
	if len(a) != len(b) {
		return false
	}
	known := map[[2]string]bool{}
	for _, held := range a {
		known[[2]string{held.Turn, held.Run}] = true
	}
	for _, held := range b {
		if !known[[2]string{held.Turn, held.Run}] {
			return false
		}
	}
	return true
}

// settleClaim asks until a quorum took the claim or it must give way. Where the
// replicas' votes are split between claims at one epoch, the one whose Run is
// first by name asks again at a higher one.
func (c *Client) settleClaim(ctx *base.Ctx, b *BeginParams, epoch *uint64, known []*Spend) (claimed, error) {
	try := c.confirming(ctx)
	ctx = try.ctx
	answered := false
	for tries := 0; !try.over(answered); tries++ {
		came := c.claim(ctx, b, *epoch, known)
		best := came.best
		answered = best == nil && !came.silent && !came.moved
		switch {
		case came.moved:
		case came.taken:
			came.best = nil
			return came, nil
		case came.over:
			return came, base.Decline(409, "turn_over", "the turn is over; this is a late copy")
		case came.won:
			return came, nil
		case best == nil || came.silent && tries < 3 || b.Confirmed && best.Epoch > *epoch:
			c.pause(ctx)
		case best.Run == "" || best.Epoch == *epoch && b.Run < best.Run:
			c.counters.Add("ledger_claims_split", 1)
			*epoch = best.Epoch + 1
		default:
			return came, nil
		}
	}
	return claimed{}, c.unreached("the program's state")
}

// ahead is what reservations came to that are before one by name. Where too
// many want what is left, those behind give way at once.
func (r *claimed) ahead(name string) int64 {
	sum := int64(0)
	for key, held := range r.spends {
		if !held.Settled && key < name {
			sum += held.Tokens
		}
	}
	return sum
}
