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

// RetiringPrefix is where the feed tells of machines being retired.
const RetiringPrefix = FeedGroup + "/retiring/"

// Retiring is the record of one machine's retirement.
type Retiring struct {
	Node string `json:"node"`
	// Disk is what the machine held when it was asked for, if anything.
	Disk     string `json:"disk,omitempty"`
	Complete bool   `json:"complete"`
}

// State is the word for how far it has come.
func (r *Retiring) State() string {
	if r.Complete {
		return "complete"
	}
	return "active"
}

func loadRetiring(raw []byte) *Retiring {
	var found Retiring
	if raw == nil || json.Unmarshal(raw, &found) != nil {
		return nil
	}
	return &found
}

// RetireNode has a machine emptied. It may be asked again at any time.
func RetireNode(ctx *base.Ctx, client *Client, node string) (*Retiring, error) {
	var found Retiring
	return &found, client.Change(ctx, FeedGroup, "retiring.begin", Retiring{Node: node}, &found)
}

// RetireState tells how far a machine's retirement has come.
func RetireState(ctx *base.Ctx, client *Client, node string) (*Retiring, error) {
	var found Retiring
	return &found, client.Read(ctx, FeedGroup, "retiring.get", Retiring{Node: node}, &found)
}

func (o *Owner) handleRetiring() {
	handle := func(name string, op func(tx *Tx, asked, now *Retiring) (any, error)) {
		o.Handle(name, func(tx *Tx, args []byte) (any, error) {
			var asked Retiring
			if json.Unmarshal(args, &asked) != nil || asked.Node == "" {
				return nil, base.DeclineField("node", "must be a machine's name")
			}
			return op(tx, &asked, loadRetiring(tx.Get(RetiringPrefix+asked.Node)))
		})
	}
	unknown := func(node string) error {
		return base.Decline(404, "unknown_node", "no storage machine is called %q", node)
	}
	handle("retiring.get", func(_ *Tx, asked, now *Retiring) (any, error) {
		if now == nil {
			return nil, unknown(asked.Node)
		}
		return now, nil
	})
	handle("retiring.begin", func(tx *Tx, asked, now *Retiring) (any, error) {
		if now != nil {
			return now, nil
		}
		if o.mending == nil {
			return nil, base.Decline(409, "not_mending", "machines are retired by name only where the disk set mends itself; retire the disk")
		}
		disks := loadDisks(tx.Get(DisksKey))
		if disks == nil {
			return nil, base.Busy(503, "slot_not_ready", 1, "the disk set is not recorded yet")
		}
		id, known := o.mending.diskOf(asked.Node)
		leaving := map[string]bool{asked.Node: true}
		tx.Walk(RetiringPrefix, "", func(_ string, value []byte) bool {
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
		begun := &Retiring{Node: asked.Node, Disk: id}
		tx.Put(RetiringPrefix+asked.Node, base.Encode(begun))
		return begun, nil
	})
	handle("retiring.conclude", func(tx *Tx, _, now *Retiring) (any, error) {
		if now != nil && !now.Complete {
			now.Complete = true
			tx.Put(RetiringPrefix+now.Node, base.Encode(now))
		}
		return now, nil
	})
}
