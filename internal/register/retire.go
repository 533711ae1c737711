package register

import (
	"encoding/json"

	"fordseam/internal/base"
)

// RetirementPrefix is the prefix of the feed's keys of retirements.
const RetirementPrefix = FeedGroup + "/retiring/"

// Retirement is the stored record of a machine's retirement. It is kept in the
// feed's shard, so that each leader of that shard carries it on, and
// reconciliation does not admit the machine again. It is complete once the
// machine's disk is out of the disk set, a majority of the set holds every shard
// without it, and no other data is left on the disk; then the machine may be
// removed together with its disk.
type Retirement struct {
	Node string `json:"node"`
	// Disk is the machine's disk when the retirement began, if it had one.
	Disk     string `json:"disk,omitempty"`
	Complete bool   `json:"complete"`
}

// State returns the state that operators are shown.
func (r *Retirement) State() string {
	if r.Complete {
		return "complete"
	}
	return "active"
}

func decodeRetirement(raw []byte) *Retirement {
	var retirement Retirement
	if raw == nil || json.Unmarshal(raw, &retirement) != nil {
		return nil
	}
	return &retirement
}

// RetireNode begins the retirement of a machine. It may be repeated at any time.
func RetireNode(ctx *base.Ctx, client *Client, node string) (*Retirement, error) {
	var retirement Retirement
	return &retirement, client.Change(ctx, FeedGroup, "retiring.begin", Retirement{Node: node}, &retirement)
}

// GetRetirement returns the record of a machine's retirement.
func GetRetirement(ctx *base.Ctx, client *Client, node string) (*Retirement, error) {
	var retirement Retirement
	return &retirement, client.Read(ctx, FeedGroup, "retiring.get", Retirement{Node: node}, &retirement)
}

// registerRetirementOps registers the operations that read and change retirements.
func (srv *Server) registerRetirementOps() {
	handle := func(name string, op func(tx *Tx, request, existing *Retirement) (any, error)) {
		srv.Handle(name, func(tx *Tx, args []byte) (any, error) {
			var request Retirement
			if json.Unmarshal(args, &request) != nil || request.Node == "" {
				return nil, base.DeclineField("node", "must be the name of a storage machine")
			}
			return op(tx, &request, decodeRetirement(tx.Get(RetirementPrefix+request.Node)))
		})
	}
	unknownNode := func(node string) error {
		return base.Decline(404, "unknown_node", "no storage machine is named %q", node)
	}
	handle("retiring.get", func(_ *Tx, request, existing *Retirement) (any, error) {
		if existing == nil {
			return nil, unknownNode(request.Node)
		}
		return existing, nil
	})
	handle("retiring.begin", func(tx *Tx, request, existing *Retirement) (any, error) {
		if existing != nil {
			return existing, nil
		}
		if srv.reconciler == nil {
			return nil, base.Decline(409, "not_mending", "machine %q cannot be retired by name, because the disk set is not reconciled automatically; retire its disk instead", request.Node)
		}
		record := decodeDiskSetRecord(tx.Get(DiskSetKey))
		if record == nil {
			return nil, base.Busy(503, "slot_not_ready", 1, "the disk set has not been recorded yet")
		}
		diskID, known := srv.reconciler.diskOfNode(request.Node)
		retiring := map[string]bool{request.Node: true}
		tx.Walk(RetirementPrefix, "", func(_ string, value []byte) bool {
			if other := decodeRetirement(value); other != nil {
				retiring[other.Node] = true
			}
			return true
		})
		set := record.Current
		if record.Next != nil {
			set = record.Next
		}
		remaining := 0
		for _, entry := range set.Disks {
			if entry.Node == request.Node {
				diskID, known = entry.Id, true
			}
			if !entry.Learner && !retiring[entry.Node] {
				remaining++
			}
		}
		if !known {
			return nil, unknownNode(request.Node)
		}
		if required := srv.reconciler.requiredVoters(); remaining < required {
			return nil, base.Decline(409, "too_few_disks", "without machine %q only %d voting disks would remain; at least %d are required", request.Node, remaining, required)
		}
		retirement := &Retirement{Node: request.Node, Disk: diskID}
		tx.Put(RetirementPrefix+request.Node, base.MustMarshal(retirement))
		return retirement, nil
	})
	handle("retiring.conclude", func(tx *Tx, _, existing *Retirement) (any, error) {
		if existing != nil && !existing.Complete {
			existing.Complete = true
			tx.Put(RetirementPrefix+existing.Node, base.MustMarshal(existing))
		}
		return existing, nil
	})
}
