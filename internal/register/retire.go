// A machine is retired by its name. The wish is kept in the feed, so whoever
// owns slot 0 carries it out, and mending does not take the machine back. It is
// complete once the machine's disk is out of the set, every slot is whole
// without it, and whatever else keeps data there says that it holds none; then
// the machine may be taken away together with its disk.

package register

import (
	"encoding/json"

	"fordseam/internal/base"
)

// RetirementPrefix is where the feed tells of machines being retired.
const RetirementPrefix = FeedGroup + "/retiring/"

// Retirement is the record of one machine's retirement.
type Retirement struct {
	Node string `json:"node"`
	// Disk is what the machine held when it was asked for, if anything.
	Disk     string `json:"disk,omitempty"`
	Complete bool   `json:"complete"`
}

// State is the word for how far it has come.
func (r *Retirement) State() string {
	if r.Complete {
		return "complete"
	}
	return "active"
}

func loadRetiring(raw []byte) *Retirement {
	var found Retirement
	if raw == nil || json.Unmarshal(raw, &found) != nil {
		return nil
	}
	return &found
}

// RetireNode has a machine emptied. It may be asked again at any time.
func RetireNode(ctx *base.Ctx, client *Client, node string) (*Retirement, error) {
	var found Retirement
	return &found, client.Change(ctx, FeedGroup, "retiring.begin", Retirement{Node: node}, &found)
}

// GetRetirement tells how far a machine's retirement has come.
func GetRetirement(ctx *base.Ctx, client *Client, node string) (*Retirement, error) {
	var found Retirement
	return &found, client.Read(ctx, FeedGroup, "retiring.get", Retirement{Node: node}, &found)
}

func (o *Server) handleRetiring() {
	handle := func(name string, op func(tx *Tx, asked, now *Retirement) (any, error)) {
		o.Handle(name, func(tx *Tx, args []byte) (any, error) {
			var asked Retirement
			if json.Unmarshal(args, &asked) != nil || asked.Node == "" {
				return nil, base.DeclineField("node", "must be a machine's name")
			}
			return op(tx, &asked, loadRetiring(tx.Get(RetirementPrefix+asked.Node)))
		})
	}
	unknown := func(node string) error {
		return base.Decline(404, "unknown_node", "no storage machine is called %q", node)
	}
	handle("retiring.get", func(_ *Tx, asked, now *Retirement) (any, error) {
		if now == nil {
			return nil, unknown(asked.Node)
		}
		return now, nil
	})
	handle("retiring.begin", func(tx *Tx, asked, now *Retirement) (any, error) {
		if now != nil {
			return now, nil
		}
		if o.mending == nil {
			return nil, base.Decline(409, "not_mending", "machines are retired by name only where the disk set mends itself; retire the disk")
		}
		disks := loadDisks(tx.Get(DiskSetKey))
		if disks == nil {
			return nil, base.Busy(503, "slot_not_ready", 1, "the disk set is not recorded yet")
		}
		id, known := o.mending.diskOf(asked.Node)
		leaving := map[string]bool{asked.Node: true}
		tx.Walk(RetirementPrefix, "", func(_ string, value []byte) bool {
			if other := loadRetiring(value); other != nil {
				leaving[other.Node] = true
			}
			return true
		})
		set := disks.Current
		if disks.Next != nil {
			set = disks.Next
		}
		left := 0
		for _, entry := range set.Disks {
			if entry.Node == asked.Node {
				id, known = entry.Id, true
			}
			if !entry.Learner && !leaving[entry.Node] {
				left++
			}
		}
		if !known {
			return nil, unknown(asked.Node)
		}
		if need := o.mending.least(); left < need {
			return nil, base.Decline(409, "too_few_disks", "%d disks would remain; at least %d must", left, need)
		}
		begun := &Retirement{Node: asked.Node, Disk: id}
		tx.Put(RetirementPrefix+asked.Node, base.Encode(begun))
		return begun, nil
	})
	handle("retiring.conclude", func(tx *Tx, _, now *Retirement) (any, error) {
		if now != nil && !now.Complete {
			now.Complete = true
			tx.Put(RetirementPrefix+now.Node, base.Encode(now))
		}
		return now, nil
	})
}
