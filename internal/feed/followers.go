package feed

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
)

// followerTable holds the followers that a node answers, by node id.
type followerTable struct {
	mu   sync.Mutex
	byID map[string]followerInfo
}

// followerInfo is what a follower's newest request reported about it.
type followerInfo struct {
	gateways int64 // those that follow through it, itself included
	zone     string
	core     bool
	lastSeen time.Duration
}

// atCapacity reports whether limit gateways follow this node already and from
// is not one of them.
func (t *followerTable) atCapacity(from string, limit int, now, ttl time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now, ttl)
	if _, known := t.byID[from]; known {
		return false
	}
	count := 0
	for _, info := range t.byID {
		if !info.core {
			count++
		}
	}
	return count >= limit
}

// record adds or renews a follower, and returns the sum of the gateways that
// follow through those seen within ttl.
func (t *followerTable) record(from string, info followerInfo, ttl time.Duration) (sum int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = map[string]followerInfo{}
	}
	if from != "" {
		t.byID[from] = info
	}
	t.expire(info.lastSeen, ttl)
	for _, follower := range t.byID {
		sum += follower.gateways
	}
	return sum
}

// expire drops the followers not seen within ttl. The caller holds the lock.
func (t *followerTable) expire(now, ttl time.Duration) {
	for id, info := range t.byID {
		if now-info.lastSeen > ttl {
			delete(t.byID, id)
		}
	}
}

// relayHints returns the addresses of some gateways that a follower may ask
// instead of this node: those with room first, then those of its zone. Ties are
// ordered by a hash that differs by follower, so that many that arrive at once
// spread out.
func (t *followerTable) relayHints(from, zone string) []string {
	type choice struct {
		id   string
		rank int
		hash uint64
	}
	t.mu.Lock()
	candidates := []choice{}
	for id, info := range t.byID {
		if info.core || id == from {
			continue
		}
		rank := 0
		if info.gateways > maxGatewayFollowers {
			rank += 2
		}
		if info.zone != zone {
			rank++
		}
		candidates = append(candidates, choice{id, rank, base.Hash64(from, id)})
	}
	t.mu.Unlock()
	slices.SortFunc(candidates, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.hash, b.hash))
	})
	return base.Map(candidates[:min(len(candidates), maxRelayHints)], func(info choice) string { return addressFromID(info.id) })
}

// addressFromID returns the listen address of a node, with which its id begins.
func addressFromID(id string) string {
	address, _, _ := strings.Cut(id, "/")
	return address
}
