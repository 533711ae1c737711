package access

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// PendingKey is the feed key of the pending change.
const PendingKey = "feed/access"

// Pending is a change of the rules that has not taken effect: the rules of
// settings version InForce apply until those of version Target do.
type Pending struct {
	InForce            uint64 `json:"force"`
	Target             uint64 `json:"target"`
	CompressedDocument []byte `json:"packed,omitempty"`
	// LeaseMs is the length of a lease when the change began.
	LeaseMs int64 `json:"permit_ms"`
}

// Document returns the settings document whose rules still apply, or nil if
// there was none.
func (p *Pending) Document() []byte {
	if len(p.CompressedDocument) == 0 {
		return nil
	}
	document, _ := io.ReadAll(flate.NewReader(bytes.NewReader(p.CompressedDocument)))
	return document
}

// lease returns the longest lease that any node may have. The new settings may
// change the length of leases.
func (p *Pending) lease(bounds *base.Bounds) time.Duration {
	return max(bounds.Lease(), time.Duration(p.LeaseMs)*time.Millisecond)
}

// PendingFromFeed returns the pending change in a feed snapshot, or nil.
func PendingFromFeed(values map[string][]byte) *Pending { return decodePending(values[PendingKey]) }

func decodePending(raw []byte) *Pending {
	if raw == nil {
		return nil
	}
	var pending Pending
	if json.Unmarshal(raw, &pending) != nil {
		return nil
	}
	return &pending
}

// BeginChange is the first step of a change; it is committed together with the
// new settings. It fails while another change of the rules is pending.
func BeginChange(tx *register.Tx, inForce, target uint64, document []byte, oldDigest, newDigest string) error {
	if oldDigest == newDigest {
		return nil
	}
	if current := decodePending(tx.Get(PendingKey)); current != nil {
		requestErr := base.Busy(409, "access_changing", 1, "settings %d change what teams may call and have not taken effect yet", current.Target)
		requestErr.CurrentVersion = inForce
		return requestErr
	}
	pending := Pending{InForce: inForce, Target: target, LeaseMs: tx.Bounds.Lease().Milliseconds()}
	if oldDigest != "" {
		var compressed bytes.Buffer
		writer, _ := flate.NewWriter(&compressed, flate.BestSpeed)
		_, _ = writer.Write(document)
		_ = writer.Close()
		pending.CompressedDocument = compressed.Bytes()
	}
	tx.Put(PendingKey, base.MustMarshal(pending))
	return nil
}

// settleRequest asks for the second step. Waited means that every lease has
// expired that was granted before the sender saw the change.
type settleRequest struct {
	Target uint64 `json:"target"`
	Waited bool   `json:"waited"`
}

// RegisterHandlers adds the operations on the pending change to a core.
// allNodesHave reports whether every node that may authorize requests has the
// settings of a version, as the shard's leader knows from the followers'
// requests; holders lists what they have.
func RegisterHandlers(server *register.Server, allNodesHave func(epoch, version uint64, lease time.Duration) bool, holders func() any) {
	server.Handle("access.settle", func(tx *register.Tx, args []byte) (any, error) {
		var request settleRequest
		if err := json.Unmarshal(args, &request); err != nil {
			return nil, base.DeclineField("target", "%v", err)
		}
		pending := decodePending(tx.Get(PendingKey))
		settled := pending == nil || pending.Target != request.Target
		if !settled && (request.Waited || allNodesHave(tx.Epoch, request.Target, pending.lease(tx.Bounds))) {
			tx.Delete(PendingKey)
			settled = true
		}
		return settled, nil
	})
	server.Handle("access.read", func(tx *register.Tx, _ []byte) (any, error) { return decodePending(tx.Get(PendingKey)), nil })
	server.Handle("access.holders", func(*register.Tx, []byte) (any, error) { return holders(), nil })
}

// ReadPending asks the shard's leader for the pending change; nil if there is
// none.
func ReadPending(ctx *base.Ctx, client *register.Client) (*Pending, error) {
	var pending *Pending
	err := client.Change(ctx, register.FeedGroup, "access.read", struct{}{}, &pending)
	return pending, err
}
