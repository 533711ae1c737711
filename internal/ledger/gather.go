// One question to several stores: enough are asked for a quorum, others in the
// place of those that fail, decline or are slow.

package ledger

import (
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// answer is what one store said. A store that gave none has nil.
type answer[R any] struct {
	entry *register.DiskEntry
	reply R
	ack   *Ack
}

// round is one question to some stores, in their order.
type round[R interface{ GetAck() *Ack }] struct {
	set    *register.DiskSet
	order  []*register.DiskEntry
	enough int
	// wide asks all the others once one has not said yes.
	wide bool
	call func(*base.Ctx, Ledger, *Target) (R, error)
	yes  func(R) bool
	// over, where there is one, tells that no further answer matters.
	over func([]answer[R]) bool
}

// gather asks until enough say yes, all have answered or the time is over. It
// asks one more for each that does not say yes, and one more each time a while
// passes. moved tells that a newer set was learnt.
func gather[R interface{ GetAck() *Ack }](c *Client, ctx *base.Ctx, r round[R]) (taken []answer[R], moved bool) {
	var mu sync.Mutex
	bell := base.NewBell(c.clock)
	set, order, asked := r.set, r.order, 0
	answers := []answer[R]{}
	silent := map[string]bool{}
	ask := func(entry *register.DiskEntry) {
		one := answer[R]{entry: entry}
		for tries := 0; tries < 2; tries++ {
			reply, err := r.call(ctx.Within(c.bounds.Load().DiskLimit()), c.store(entry), &Target{Disk: entry.Id, Stamp: set.Stamp})
			if err != nil {
				c.counters.Add("ledger_unreached", 1)
				c.doubt(entry.Addr)
				break
			}
			one.reply, one.ack = reply, reply.GetAck()
			if one.ack.GetWhy() != "behind" {
				break
			}
			if _, err := c.store(entry).Learn(ctx.Within(c.bounds.Load().DiskLimit()), &LearnRequest{Set: set}); err != nil {
				break
			}
		}
		switch one.ack.GetWhy() {
		case "set":
			c.learn(one.ack.Set)
		case "blank", "broken", "full", "stalled":
			c.doubt(entry.Addr)
		}
		mu.Lock()
		answers = append(answers, one)
		delete(silent, entry.Addr)
		mu.Unlock()
		bell.Ring()
	}
	hedge := c.bounds.Load().Hedge()
	due := c.clock.Now() + hedge
	for {
		next := bell.Next()
		mu.Lock()
		taken = append([]answer[R](nil), answers...)
		said, good := len(taken), 0
		for _, one := range taken {
			moved = moved || one.ack.GetWhy() == "set" && one.ack.Set.GetStamp() > set.Stamp
			if one.ack != nil && r.yes(one.reply) {
				good++
			}
		}
		if moved || good >= r.enough || said == len(order) || r.over != nil && r.over(taken) || ctx.Over() {
			mu.Unlock()
			return taken, moved
		}
		want := r.enough - good + said
		if r.wide && said > good {
			want = len(order)
		}
		if now := c.clock.Now(); now >= due {
			want, due = max(want, asked+1), now+hedge
			if asked < len(order) {
				c.counters.Add("ledger_hedged", 1)
			}
			for _, addr := range base.SortedKeys(silent) {
				defer c.doubt(addr)
			}
		}
		chosen := order[asked:min(len(order), max(asked, want))]
		asked += len(chosen)
		for _, entry := range chosen {
			silent[entry.Addr] = true
		}
		mu.Unlock()
		for _, entry := range chosen {
			c.clock.Go(func() { ask(entry) })
		}
		wait := ctx.Left()
		if asked < len(order) {
			wait = min(wait, max(due-c.clock.Now(), hedge/16))
		}
		next.Wait(wait)
	}
}

func wholeYes(reply *WriteReply) bool { return reply.Ack.GetWhy() == "" && reply.Ack.GetWhole() }

func wholes(answers []answer[*WriteReply]) int {
	return len(base.Filter(answers, func(one answer[*WriteReply]) bool { return one.ack != nil && wholeYes(one.reply) }))
}

// allAnswered tells that each of a number of stores gave an answer.
func allAnswered[R any](answers []answer[R], stores int) bool {
	said := base.Filter(answers, func(one answer[R]) bool { return one.ack != nil })
	return len(said) == stores
}
