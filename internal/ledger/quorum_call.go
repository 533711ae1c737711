package ledger

import (
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// storeResponse is one store's reply. Its ack is nil if the store could not be
// reached.
type storeResponse[R any] struct {
	entry *register.DiskEntry
	reply R
	ack   *Ack
}

// quorumCall is one request to several stores, in the order given.
type quorumCall[R interface{ GetAck() *Ack }] struct {
	set      *register.DiskSet
	stores   []*register.DiskEntry
	required int
	// askAllOnMiss asks all remaining stores once one reply was not accepted.
	askAllOnMiss bool
	send         func(*base.Ctx, Ledger, *Target) (R, error)
	accepted     func(R) bool
	// decided, if not nil, reports that no further reply matters.
	decided func([]storeResponse[R]) bool
}

// callQuorum asks stores until enough replies are accepted, all have replied or the
// context is over. It asks one more store for each reply that is not accepted, and
// one more each time the hedge delay passes. setChanged means that a store replied
// with a newer set.
func callQuorum[R interface{ GetAck() *Ack }](c *Client, ctx *base.Ctx, call quorumCall[R]) (responses []storeResponse[R], setChanged bool) {
	var mu sync.Mutex
	replyNotifier := base.NewNotifier(c.clock)
	set, stores, contacted := call.set, call.stores, 0
	received := []storeResponse[R]{}
	outstanding := map[string]bool{}
	ask := func(entry *register.DiskEntry) {
		response := storeResponse[R]{entry: entry}
		for tries := 0; tries < 2; tries++ {
			reply, err := call.send(ctx.WithTimeout(c.bounds.Load().DiskTimeout()), c.storeClient(entry), &Target{Disk: entry.Id, Stamp: set.Stamp})
			if err != nil {
				c.counters.Add("ledger_unreached", 1)
				c.markSuspect(entry.Addr)
				break
			}
			response.reply, response.ack = reply, reply.GetAck()
			if response.ack.GetWhy() != "behind" {
				break
			}
			if _, err := c.storeClient(entry).Learn(ctx.WithTimeout(c.bounds.Load().DiskTimeout()), &LearnRequest{Set: set}); err != nil {
				break
			}
		}
		switch response.ack.GetWhy() {
		case "set":
			c.learnSet(response.ack.Set)
		case "blank", "broken", "full", "stalled":
			c.markSuspect(entry.Addr)
		}
		mu.Lock()
		received = append(received, response)
		delete(outstanding, entry.Addr)
		mu.Unlock()
		replyNotifier.Notify()
	}
	hedge := c.bounds.Load().DiskHedgeDelay()
	hedgeAt := c.clock.Now() + hedge
	for {
		nextReply := replyNotifier.Next()
		mu.Lock()
		responses = append([]storeResponse[R](nil), received...)
		responded, accepted := len(responses), 0
		for _, response := range responses {
			setChanged = setChanged || response.ack.GetWhy() == "set" && response.ack.Set.GetStamp() > set.Stamp
			if response.ack != nil && call.accepted(response.reply) {
				accepted++
			}
		}
		if setChanged || accepted >= call.required || responded == len(stores) || call.decided != nil && call.decided(responses) || ctx.Expired() {
			mu.Unlock()
			return responses, setChanged
		}
		wanted := call.required - accepted + responded
		if call.askAllOnMiss && responded > accepted {
			wanted = len(stores)
		}
		if now := c.clock.Now(); now >= hedgeAt {
			wanted, hedgeAt = max(wanted, contacted+1), now+hedge
			if contacted < len(stores) {
				c.counters.Add("ledger_hedged", 1)
			}
			for _, addr := range base.SortedKeys(outstanding) {
				defer c.markSuspect(addr)
			}
		}
		targets := stores[contacted:min(len(stores), max(contacted, wanted))]
		contacted += len(targets)
		for _, entry := range targets {
			outstanding[entry.Addr] = true
		}
		mu.Unlock()
		for _, entry := range targets {
			c.clock.Go(func() { ask(entry) })
		}
		wait := ctx.Remaining()
		if contacted < len(stores) {
			wait = min(wait, max(hedgeAt-c.clock.Now(), hedge/16))
		}
		nextReply.Wait(wait)
	}
}

// writeAccepted reports whether a store that is complete for the program has
// taken the write.
func writeAccepted(reply *WriteReply) bool { return reply.Ack.GetWhy() == "" && reply.Ack.GetWhole() }

// countAccepted counts the replies with which a write was accepted.
func countAccepted(responses []storeResponse[*WriteReply]) int {
	return len(base.Filter(responses, func(response storeResponse[*WriteReply]) bool {
		return response.ack != nil && writeAccepted(response.reply)
	}))
}

// allAnswered reports whether each of the given number of stores replied.
func allAnswered[R any](responses []storeResponse[R], stores int) bool {
	answered := base.Filter(responses, func(response storeResponse[R]) bool { return response.ack != nil })
	return len(answered) == stores
}
