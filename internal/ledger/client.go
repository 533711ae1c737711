// The client writes to a program's replicas and reads from them. In the
// ordinary case it asks just as many as make a write last, its own zone's
// first; the others are turned to at once when one fails or declines, and
// after a short while when one is slow. A store that was slow or could not be
// reached is asked last for a moment.

package ledger

import (
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Client is a gateway's way to the ledger.
type Client struct {
	clock    base.Clock
	wire     base.Wire
	set      func() *register.DiskSet
	zone     string
	tolerate int
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	alive    func(addr string) bool

	mu      sync.Mutex
	newer   *register.DiskSet
	doubted map[string]time.Duration
}

// NewClient uses set for the newest disk set this node was told of; alive may
// be nil.
func NewClient(clock base.Clock, wire base.Wire, set func() *register.DiskSet, zone string, tolerate int, bounds *base.Table[base.Bounds], counters *base.Counters, alive func(addr string) bool) *Client {
	if alive == nil {
		alive = func(string) bool { return true }
	}
	return &Client{clock: clock, wire: wire, set: set, zone: zone, tolerate: max(1, tolerate), bounds: bounds, counters: counters, alive: alive,
		doubted: map[string]time.Duration{}}
}

func (c *Client) newest() *register.DiskSet {
	told := c.set()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newer.GetStamp() > told.GetStamp() {
		return c.newer
	}
	return told
}

func (c *Client) learn(set *register.DiskSet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if set.GetStamp() > c.newer.GetStamp() {
		c.newer = set
	}
}

func (c *Client) doubt(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubted[addr] = c.clock.Now() + c.bounds.Load().Suspect()/2
}

func (c *Client) doubts(addr string) bool {
	c.mu.Lock()
	until, ok := c.doubted[addr]
	if ok && until <= c.clock.Now() {
		delete(c.doubted, addr)
		ok = false
	}
	c.mu.Unlock()
	return ok || !c.alive(addr)
}

// prefer puts those in doubt last and this zone's first.
func (c *Client) prefer(entries []*register.DiskEntry) []*register.DiskEntry {
	rank := func(entry *register.DiskEntry) int {
		switch {
		case c.doubts(entry.Addr):
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

func (c *Client) store(entry *register.DiskEntry) Ledger {
	return NewLedgerProtobufClient("http://"+entry.Addr, c.wire)
}

// replicas are a program's in the newest set, in the order of asking.
func (c *Client) replicas(program string) (set *register.DiskSet, order []*register.DiskEntry, need int) {
	set = c.newest()
	if len(set.GetDisks()) == 0 {
		return nil, nil, 0
	}
	_, need = quorum(len(set.Disks), c.tolerate)
	return set, c.prefer(place(set, program, c.tolerate)), need
}
