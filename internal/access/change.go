// A change of the rules comes into force in two steps, both of them changes of
// the feed's slot. With the tree that brings new rules, the feed also tells of a
// change under way: which rules still decide. Once no node may decide that has
// not learnt the new ones, the mark of the change is taken away, and that place
// in the feed is where they are in force.

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

// PendingKey is where the feed tells of a change under way.
const PendingKey = "feed/access"

// Pending is a change under way: the rules of stamp Force decide until those
// of stamp Target are in force.
type Pending struct {
	InForce            uint64 `json:"force"`
	Target             uint64 `json:"target"`
	CompressedDocument []byte `json:"packed,omitempty"`
	// PermitMs is the longest permit by the bounds at the change's beginning.
	LeaseMs int64 `json:"permit_ms"`
}

// Document is the tree whose rules still decide; nil where there was none.
func (p *Pending) Document() []byte {
	if len(p.CompressedDocument) == 0 {
		return nil
	}
	written, _ := io.ReadAll(flate.NewReader(bytes.NewReader(p.CompressedDocument)))
	return written
}

// permit is the longest that any node may hold; bounds may change with a tree.
func (p *Pending) permit(bounds *base.Bounds) time.Duration {
	return max(bounds.Permit(), time.Duration(p.LeaseMs)*time.Millisecond)
}

// PendingFromFeed reads the feed's frame; nil when no change is under way.
func PendingFromFeed(values map[string][]byte) *Pending { return readPending(values[PendingKey]) }

func readPending(raw []byte) *Pending {
	if raw == nil {
		return nil
	}
	var found Pending
	if json.Unmarshal(raw, &found) != nil {
		return nil
	}
	return &found
}

// BeginChange is the first step, made in one change with the new tree. While another
// change is under way the rules must stay as they are.
func BeginChange(tx *register.Tx, force, target uint64, was []byte, before, after string) error {
	if before == after {
		return nil
	}
	if now := readPending(tx.Get(PendingKey)); now != nil {
		v := base.Busy(409, "access_changing", 1, "settings %d change what teams may call and are not in force yet", now.Target)
		v.Stamp = force
		return v
	}
	pending := Pending{InForce: force, Target: target, LeaseMs: tx.Bounds.Permit().Milliseconds()}
	if before != "" {
		var packed bytes.Buffer
		writer, _ := flate.NewWriter(&packed, flate.BestSpeed)
		_, _ = writer.Write(was)
		_ = writer.Close()
		pending.CompressedDocument = packed.Bytes()
	}
	tx.Put(PendingKey, base.Encode(pending))
	return nil
}

// settling asks for the second step. Waited tells that every permit has lapsed
// that was given before the asker saw the change.
type settling struct {
	Target uint64 `json:"target"`
	Waited bool   `json:"waited"`
}

// RegisterHandlers adds the second step's op to a core. learnt tells whether every node
// that may decide holds the settings of a stamp, as the slot's owner knows from
// their questions; holders lists them.
func RegisterHandlers(owner *register.Server, learnt func(epoch, stamp uint64, permit time.Duration) bool, holders func() any) {
	owner.Handle("access.settle", func(tx *register.Tx, args []byte) (any, error) {
		var asked settling
		if err := json.Unmarshal(args, &asked); err != nil {
			return nil, base.DeclineField("target", "%v", err)
		}
		now := readPending(tx.Get(PendingKey))
		settled := now == nil || now.Target != asked.Target
		if !settled && (asked.Waited || learnt(tx.Epoch, asked.Target, now.permit(tx.Bounds))) {
			tx.Delete(PendingKey)
			settled = true
		}
		return settled, nil
	})
	owner.Handle("access.read", func(tx *register.Tx, _ []byte) (any, error) { return readPending(tx.Get(PendingKey)), nil })
	owner.Handle("access.holders", func(*register.Tx, []byte) (any, error) { return holders(), nil })
}

// ReadPending asks for the change under way; nil when there is none.
func ReadPending(ctx *base.Ctx, client *register.Client) (*Pending, error) {
	var found *Pending
	err := client.Change(ctx, register.FeedGroup, "access.read", struct{}{}, &found)
	return found, err
}
