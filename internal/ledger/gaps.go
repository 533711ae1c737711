// What stores lack of the turn history, for whoever changes the disk set.

package ledger

import (
	"fmt"
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Gaps lists the disks of a set whose stores lack something or do not answer,
// with the reason; a store that goes by an older set is told the newer one.
func (c *Client) Gaps(ctx *base.Ctx, set *register.DiskSet) []register.DiskGap {
	var mu sync.Mutex
	reasons := map[string]string{}
	for _, entry := range set.GetDisks() {
		reasons[entry.Id] = "does not answer for its turn history"
	}
	base.AskAll(c.clock, set.GetDisks(), ctx.Left(), func(ctx *base.Ctx, entry *register.DiskEntry) {
		reason := c.gap(ctx, set, entry)
		mu.Lock()
		defer mu.Unlock()
		reasons[entry.Id] = reason
	})
	mu.Lock()
	defer mu.Unlock()
	gaps := []register.DiskGap{}
	for _, disk := range base.SortedKeys(reasons) {
		if reasons[disk] != "" {
			gaps = append(gaps, register.DiskGap{Disk: disk, Reason: reasons[disk]})
		}
	}
	return gaps
}

// gap says what one store lacks under a set; nothing where it is whole.
func (c *Client) gap(ctx *base.Ctx, set *register.DiskSet, entry *register.DiskEntry) string {
	state, err := c.store(entry).Describe(ctx, &DescribeRequest{})
	switch {
	case err != nil:
		return "does not answer for its turn history"
	case state.Disk != entry.Id:
		return "is another one now"
	case state.Stamp < set.Stamp:
		if _, err := c.store(entry).Learn(ctx, &LearnRequest{Set: set}); err != nil {
			return "does not answer for its turn history"
		}
		return fmt.Sprintf("goes by set %d of %d", state.Stamp, set.Stamp)
	case state.Stamp > set.Stamp:
		return fmt.Sprintf("goes by set %d already", state.Stamp)
	case state.Whole < set.Stamp:
		return fmt.Sprintf("has its turn history whole up to set %d of %d", state.Whole, set.Stamp)
	}
	return ""
}

// AllComplete tells whether every store of the newest set lacks nothing.
func (c *Client) AllComplete(ctx *base.Ctx) bool {
	set := c.newest()
	return set != nil && len(c.Gaps(ctx.Within(c.bounds.Load().DiskLimit()), set)) == 0
}

// IsEmptied tells whether a disk is out of the set and nothing rests on it.
func (c *Client) IsEmptied(ctx *base.Ctx, disk string) bool {
	set := c.newest()
	return set != nil && entryIn(set, disk) == nil && c.AllComplete(ctx)
}
