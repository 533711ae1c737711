package ledger

import (
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Client writes to and reads from a program's replicas on behalf of a gateway. It
// normally asks just a write quorum, stores of its own zone first. The remaining
// replicas are asked at once when one fails or declines, and after the hedge delay
// when one is slow. A store that was slow or unreachable is asked last for a while.
type Client struct {
	clock          base.Clock
	httpClient     base.HTTPClient
	knownSet       func() *register.DiskSet
	zone           string
	faultTolerance int
	bounds         *base.AtomicPointer[base.Bounds]
	counters       *base.Counters
	alive          func(addr string) bool

	mu           sync.Mutex
	learnedSet   *register.DiskSet
	suspectUntil map[string]time.Duration
}

// NewClient returns a client that calls set for the newest disk set that this node
// knows of, and alive to skip nodes that membership considers dead. alive may
// be nil.
func NewClient(clock base.Clock, httpClient base.HTTPClient, set func() *register.DiskSet, zone string, faultTolerance int, bounds *base.AtomicPointer[base.Bounds], counters *base.Counters, alive func(addr string) bool) *Client {
	if alive == nil {
		alive = func(string) bool { return true }
	}
	return &Client{clock: clock, httpClient: httpClient, knownSet: set, zone: zone, faultTolerance: max(1, faultTolerance), bounds: bounds, counters: counters, alive: alive,
		suspectUntil: map[string]time.Duration{}}
}

// newestSet returns the newest of the set that this node knows of and the sets
// that stores replied with.
func (c *Client) newestSet() *register.DiskSet {
	current := c.knownSet()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.learnedSet.GetStamp() > current.GetStamp() {
		return c.learnedSet
	}
	return current
}

// learnSet remembers a newer set that a store replied with.
func (c *Client) learnSet(set *register.DiskSet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if set.GetStamp() > c.learnedSet.GetStamp() {
		c.learnedSet = set
	}
}

// markSuspect has a store asked last for half the suspicion time.
func (c *Client) markSuspect(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspectUntil[addr] = c.clock.Now() + c.bounds.Load().SuspectTimeout()/2
}

// isSuspect reports whether a store is to be asked last.
func (c *Client) isSuspect(addr string) bool {
	c.mu.Lock()
	until, ok := c.suspectUntil[addr]
	if ok && until <= c.clock.Now() {
		delete(c.suspectUntil, addr)
		ok = false
	}
	c.mu.Unlock()
	return ok || !c.alive(addr)
}

// orderByPreference sorts entries: this zone's first, suspects last.
func (c *Client) orderByPreference(entries []*register.DiskEntry) []*register.DiskEntry {
	rank := func(entry *register.DiskEntry) int {
		switch {
		case c.isSuspect(entry.Addr):
			return 2
		case entry.Zone != c.zone:
			return 1
		}
		return 0
	}
	ranks := map[string]int{}
	for _, entry := range entries {
		ranks[entry.Id] = rank(entry)
	}
	ordered := slices.Clone(entries)
	slices.SortStableFunc(ordered, func(a, b *register.DiskEntry) int { return ranks[a.Id] - ranks[b.Id] })
	return ordered
}

func (c *Client) storeClient(entry *register.DiskEntry) Ledger {
	return NewLedgerProtobufClient("http://"+entry.Addr, c.httpClient)
}

// replicas returns a program's replicas in the newest set, in the order in which
// they are asked, and the size of a quorum.
func (c *Client) replicas(program string) (set *register.DiskSet, replicas []*register.DiskEntry, quorum int) {
	set = c.newestSet()
	if len(set.GetDisks()) == 0 {
		return nil, nil, 0
	}
	_, quorum = quorumSize(len(set.Disks), c.faultTolerance)
	return set, c.orderByPreference(placeReplicas(set, program, c.faultTolerance)), quorum
}
