// The history of changes that were taken: which document came into force under
// which version, so that a change that is asked for again gets the answer that
// it got, whatever was changed since.

package route

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"fordseam/internal/base"
)

const (
	// historyPrefix is where the blocks are kept. It is outside the feed's
	// prefix: the history is the leader's and is not told to every node.
	historyPrefix = "routes/history/"
	// repeatKey holds the version of the newest order that was acknowledged again.
	// It is written so that the answer rests on a majority's acknowledgement of an
	// entry: where that fails the outcome is open, as it has to be for an order
	// that was taken, while an answer that changed nothing would be called not run.
	repeatKey = "routes/repeated"
	// legacyKey keeps what a document of the first format listed.
	legacyKey = "routes/legacy"
	// legacyLimit bounds that list; a document of the first format had 64 at most.
	legacyLimit = 256

	// blockOrders is how many changes a block holds. The newest block is written
	// with each change: at most 1.5 kB.
	blockOrders = 64
	// blockLimit is how many blocks are kept: 16,320 to 16,384 changes, which is
	// five days of 3,000 changes each, in 0.4 MB.
	blockLimit = 256

	blockFormat     = 1
	blockHeaderSize = 1 + 8
	orderSize       = 8 + digestSize
	// digestSize is how much of a SHA-256 sum is kept: 128 bits.
	digestSize = 16
)

// orderDigest identifies a document by its canonical form.
type orderDigest [digestSize]byte

// digestOf identifies a canonical form.
func digestOf(canonical []byte) orderDigest {
	sum := sha256.Sum256(canonical)
	return orderDigest(sum[:digestSize])
}

func parseDigest(text string) (digest orderDigest, err error) {
	raw, err := hex.DecodeString(text)
	if err == nil && len(raw) != digestSize {
		err = fmt.Errorf("%d bytes instead of %d", len(raw), digestSize)
	}
	copy(digest[:], raw)
	return digest, err
}

// order is a change that was taken: its version and its document.
type order struct {
	version uint64
	digest  orderDigest
}

// block is a stretch of the history without a gap: the first of its orders was
// based on the version before, and each other on the one that precedes it.
type block struct {
	before uint64
	orders []order
}

// last is the newest version that the block covers.
func (b *block) last() uint64 {
	if len(b.orders) == 0 {
		return b.before
	}
	return b.orders[len(b.orders)-1].version
}

func (b *block) key() string { return fmt.Sprintf("%s%016x", historyPrefix, b.before) }

func (b *block) encode() []byte {
	raw := make([]byte, 0, blockHeaderSize+orderSize*len(b.orders))
	raw = append(raw, blockFormat)
	raw = binary.BigEndian.AppendUint64(raw, b.before)
	for _, one := range b.orders {
		raw = binary.BigEndian.AppendUint64(raw, one.version)
		raw = append(raw, one.digest[:]...)
	}
	return raw
}

func decodeBlock(raw []byte) (*block, error) {
	if len(raw) < blockHeaderSize || raw[0] != blockFormat || (len(raw)-blockHeaderSize)%orderSize != 0 {
		return nil, unreadable("a block of the history of routes")
	}
	made := &block{before: binary.BigEndian.Uint64(raw[1:])}
	for rest := raw[blockHeaderSize:]; len(rest) > 0; rest = rest[orderSize:] {
		made.orders = append(made.orders, order{binary.BigEndian.Uint64(rest), orderDigest(rest[8:orderSize])})
	}
	return made, nil
}

// unreadable is the answer where what is kept is of a format that this release
// does not know; another core may know it.
func unreadable(what string) error {
	return base.Busy(503, "unknown_format", 1, "%s is not of a format that this release reads", what)
}

// store is the part of a transaction that the history is kept in.
type store interface {
	Get(key string) []byte
	Put(key string, value []byte)
	Delete(key string)
	Walk(prefix, after string, visit func(key string, value []byte) bool)
}

// finding is what the history says of an order.
type finding int

const (
	// neverTaken: no order with that version was taken.
	neverTaken finding = iota
	// takenAsAsked: this very order was taken.
	takenAsAsked
	// takenOtherwise: another document, or the same on top of another version,
	// was taken under that version.
	takenOtherwise
	// forgotten: the history does not reach back that far.
	forgotten
)

// find tells what became of an order; now is the document in force, and no
// version above it was ever taken.
func find(from store, now *Document, asked *Change, digest orderDigest) (finding, error) {
	if asked.Version > now.Version {
		return neverTaken, nil
	}
	covering, err := blockCovering(from, asked.Version)
	if err != nil {
		return forgotten, err
	}
	if covering == nil {
		return findLegacy(from, now, asked)
	}
	before := covering.before
	for _, one := range covering.orders {
		if one.version == asked.Version {
			if one.digest == digest && before == asked.Base {
				return takenAsAsked, nil
			}
			return takenOtherwise, nil
		}
		before = one.version
	}
	return neverTaken, nil
}

// blockCovering gives the block whose stretch a version lies in, nil when it
// lies before the history or in a gap.
func blockCovering(from store, version uint64) (found *block, err error) {
	var raw []byte
	from.Walk(historyPrefix, "", func(key string, value []byte) bool {
		if len(value) >= blockHeaderSize && binary.BigEndian.Uint64(value[1:]) >= version {
			return false
		}
		raw = value
		return true
	})
	if raw == nil {
		return nil, nil
	}
	found, err = decodeBlock(raw)
	if err != nil || version > found.last() {
		return nil, err
	}
	return found, nil
}

// findLegacy looks among the versions that documents of the first format
// listed. They say nothing of the version that each was based on, and their
// digests are of the document as it was written, so that one that differs
// proves nothing.
func findLegacy(from store, now *Document, asked *Change) (finding, error) {
	listed, err := legacyOrders(from, now)
	if err != nil {
		return forgotten, err
	}
	at := slices.IndexFunc(listed, func(one AcceptedVersion) bool { return one.Version == asked.Version })
	if at < 0 {
		return forgotten, nil
	}
	written, err := (&Document{Compressed: asked.Compressed}).Source()
	if err != nil {
		return forgotten, base.DeclineField("document", "cannot be unpacked: %v", err)
	}
	if listed[at].Digest == base.Digest(written) {
		return takenAsAsked, nil
	}
	return forgotten, nil
}

// legacyOrders are the orders that documents of the first format listed, the
// one in force included if it is of that format.
func legacyOrders(from store, now *Document) (listed []AcceptedVersion, err error) {
	if raw := from.Get(legacyKey); raw != nil && json.Unmarshal(raw, &listed) != nil {
		return nil, unreadable("the former list of versions")
	}
	listed = append(listed, now.Accepted...)
	return listed[max(0, len(listed)-legacyLimit):], nil
}

// keepLegacy carries over what a document of the first format lists, before it
// is replaced by one that lists nothing.
func keepLegacy(into store, now *Document) error {
	if len(now.Accepted) == 0 {
		return nil
	}
	listed, err := legacyOrders(into, now)
	if err == nil {
		into.Put(legacyKey, base.Encode(listed))
	}
	return err
}

// record adds an order that is taken on top of a version, and drops the oldest
// block when there are too many.
func record(into store, before uint64, taken order) error {
	var blocks [][]byte
	var keys []string
	into.Walk(historyPrefix, "", func(key string, value []byte) bool {
		keys, blocks = append(keys, key), append(blocks, value)
		return true
	})
	newest := &block{before: before}
	if len(blocks) > 0 {
		last, err := decodeBlock(blocks[len(blocks)-1])
		if err != nil {
			return err
		}
		if last.last() == before && len(last.orders) < blockOrders {
			newest = last
			keys = keys[:len(keys)-1]
		}
	}
	newest.orders = append(newest.orders, taken)
	into.Put(newest.key(), newest.encode())
	for len(keys) >= blockLimit {
		into.Delete(keys[0])
		into.Delete(legacyKey) // older than every block
		keys = keys[1:]
	}
	return nil
}

// recent lists the newest orders of the history, oldest first.
func recent(from store, most int) (listed []AcceptedVersion, err error) {
	from.Walk(historyPrefix, "", func(_ string, value []byte) bool {
		var one *block
		if one, err = decodeBlock(value); err != nil {
			return false
		}
		for _, order := range one.orders {
			listed = append(listed, AcceptedVersion{order.version, hex.EncodeToString(order.digest[:])})
		}
		listed = listed[max(0, len(listed)-most):]
		return true
	})
	return listed, err
}
