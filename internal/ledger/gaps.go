package ledger

import (
	"fmt"
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Gaps lists the disks of a set whose stores are incomplete or do not answer, with
// the reason. A store that uses an older set is sent the newer one.
func (c *Client) Gaps(ctx *base.Ctx, set *register.DiskSet) []register.DiskGap {
	var mu sync.Mutex
	reasons := map[string]string{}
	for _, entry := range set.GetDisks() {
		reasons[entry.Id] = "does not report its turn history"
	}
	base.CallAll(c.clock, set.GetDisks(), ctx.Remaining(), func(ctx *base.Ctx, entry *register.DiskEntry) {
		reason := c.gapReason(ctx, set, entry)
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

// gapReason returns why one store is not complete for a set, or "".
func (c *Client) gapReason(ctx *base.Ctx, set *register.DiskSet, entry *register.DiskEntry) string {
	state, err := c.storeClient(entry).Describe(ctx, &DescribeRequest{})
	switch {
	case err != nil:
		return "does not report its turn history"
	case state.Disk != entry.Id:
		return "is no longer the disk at its address"
	case state.Stamp < set.Stamp:
		if _, err := c.storeClient(entry).Learn(ctx, &LearnRequest{Set: set}); err != nil {
			return "does not report its turn history"
		}
		return fmt.Sprintf("still uses disk set %d, not %d", state.Stamp, set.Stamp)
	case state.Stamp > set.Stamp:
		return fmt.Sprintf("already uses disk set %d, not %d", state.Stamp, set.Stamp)
	case state.Whole < set.Stamp:
		return fmt.Sprintf("has complete turn history only up to disk set %d, not %d", state.Whole, set.Stamp)
	}
	return ""
}

// AllComplete reports whether every store of the newest set is complete.
func (c *Client) AllComplete(ctx *base.Ctx) bool {
	set := c.newestSet()
	return set != nil && len(c.Gaps(ctx.WithTimeout(c.bounds.Load().DiskTimeout()), set)) == 0
}

// IsEmptied reports whether a disk is out of the newest set and no longer needed,
// because all stores of the set are complete.
func (c *Client) IsEmptied(ctx *base.Ctx, disk string) bool {
	set := c.newestSet()
	return set != nil && findEntry(set, disk) == nil && c.AllComplete(ctx)
}
