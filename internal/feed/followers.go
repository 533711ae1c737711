// The followers that a node answers, and those of them that can take more.

package feed

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
)

// followers are those that a node answers, by their ids.
type followers struct {
	mu  sync.Mutex
	all map[string]heard
}

// heard is what a follower's newest question told.
type heard struct {
	gateways int64 // that follow through it, itself included
	zone     string
	core     bool
	at       time.Duration
}

// full tells that a node has as many gateways as it takes, the asker not being
// one of them.
func (c *followers) full(from string, most int, now, span time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now, span)
	if _, known := c.all[from]; known {
		return false
	}
	count := 0
	for _, one := range c.all {
		if !one.core {
			count++
		}
	}
	return count >= most
}

// note takes an asker in, and gives the sum of those heard within a span.
func (c *followers) note(from string, asked heard, span time.Duration) (sum int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[string]heard{}
	}
	if from != "" {
		c.all[from] = asked
	}
	c.forget(asked.at, span)
	for _, one := range c.all {
		sum += one.gateways
	}
	return sum
}

// forget drops those not heard within a span; the caller holds the lock.
func (c *followers) forget(now, span time.Duration) {
	for id, one := range c.all {
		if now-one.at > span {
			delete(c.all, id)
		}
	}
}

// relays gives the addresses of some gateways for a follower to ask in place of
// this node: those with room before the others, those of its zone first, and
// else in an order of its own, so that many that come at once spread out.
func (c *followers) relays(from, zone string) []string {
	type choice struct {
		id   string
		rank int
		hash uint64
	}
	c.mu.Lock()
	choices := []choice{}
	for id, one := range c.all {
		if one.core || id == from {
			continue
		}
		rank := 0
		if one.gateways > relayFollowers {
			rank += 2
		}
		if one.zone != zone {
			rank++
		}
		choices = append(choices, choice{id, rank, base.Hash64(from, id)})
	}
	c.mu.Unlock()
	slices.SortFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.hash, b.hash))
	})
	return base.Map(choices[:min(len(choices), relaysTold)], func(one choice) string { return addressOf(one.id) })
}

// addressOf is where a node listens: its id begins with that.
func addressOf(id string) string {
	address, _, _ := strings.Cut(id, "/")
	return address
}
