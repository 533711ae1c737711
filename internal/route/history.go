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
	maxLegacyVersions = 256

	// blockOrders is how many changes a block holds. The newest block is written
	// with each change: at most 1.5 kB.
	entriesPerBlock = 64
	// blockLimit is how many blocks are kept: 16,320 to 16,384 changes, which is
	// five days of 3,000 changes each, in 0.4 MB.
	maxBlocks = 256

	blockFormat     = 1
	blockHeaderSize = 1 + 8
	entrySize       = 8 + digestSize
	// digestSize is how much of a SHA-256 sum is kept: 128 bits.
	digestSize = 16
)

// orderDigest identifies a document by its canonical form.
type documentDigest [digestSize]byte

// digestOf identifies a canonical form.
func digestOf(canonical []byte) documentDigest {
	sum := sha256.Sum256(canonical)
	return documentDigest(sum[:digestSize])
}

func parseDigest(text string) (digest documentDigest, err error) {
	raw, err := hex.DecodeString(text)
	if err == nil && len(raw) != digestSize {
		err = fmt.Errorf("%d bytes instead of %d", len(raw), digestSize)
	}
	copy(digest[:], raw)
	return digest, err
}

// order is a change that was taken: its version and its document.
type historyEntry struct {
	version uint64
	digest  documentDigest
}

// block is a stretch of the history without a gap: the first of its orders was
// based on the version before, and each other on the one that precedes it.
type block struct {
	baseVersion uint64
	entries     []historyEntry
}

// last is the newest version that the block covers.
func (b *block) lastVersion() uint64 {
	if len(b.entries) == 0 {
		return b.baseVersion
	}
	return b.entries[len(b.entries)-1].version
}

func (b *block) key() string { return fmt.Sprintf("%s%016x", historyPrefix, b.baseVersion) }

func (b *block) encode() []byte {
	raw := make([]byte, 0, blockHeaderSize+entrySize*len(b.entries))
	raw = append(raw, blockFormat)
	raw = binary.BigEndian.AppendUint64(raw, b.baseVersion)
	for _, entry := range b.entries {
		raw = binary.BigEndian.AppendUint64(raw, entry.version)
		raw = append(raw, entry.digest[:]...)
	}
	return raw
}

func decodeBlock(raw []byte) (*block, error) {
	if len(raw) < blockHeaderSize || raw[0] != blockFormat || (len(raw)-blockHeaderSize)%entrySize != 0 {
		return nil, unknownFormat("a block of the history of routes")
	}
	decoded := &block{baseVersion: binary.BigEndian.Uint64(raw[1:])}
	for rest := raw[blockHeaderSize:]; len(rest) > 0; rest = rest[entrySize:] {
		decoded.entries = append(decoded.entries, historyEntry{binary.BigEndian.Uint64(rest), documentDigest(rest[8:entrySize])})
	}
	return decoded, nil
}

// unreadable is the answer where what is kept is of a format that this release
// does not know; another core may know it.
func unknownFormat(what string) error {
	return base.Busy(503, "unknown_format", 1, "%s is not of a format that this release reads", what)
}

// store is the part of a transaction that the history is kept in.
type kvStore interface {
	Get(key string) []byte
	Put(key string, value []byte)
	Delete(key string)
	Walk(prefix, after string, visit func(key string, value []byte) bool)
}

// finding is what the history says of an order.
type changeStatus int

const (
	// neverTaken: no order with that version was taken.
	neverAccepted changeStatus = iota
	// takenAsAsked: this very order was taken.
	acceptedUnchanged
	// takenOtherwise: another document, or the same on top of another version,
	// was taken under that version.
	acceptedDifferently
	// forgotten: the history does not reach back that far.
	notInHistory
)

// find tells what became of an order; now is the document in force, and no
// version above it was ever taken.
func lookUpChange(kv kvStore, current *Document, change *Change, digest documentDigest) (changeStatus, error) {
	if change.Version > current.Version {
		return neverAccepted, nil
	}
	covering, err := blockCovering(kv, change.Version)
	if err != nil {
		return notInHistory, err
	}
	if covering == nil {
		return lookUpLegacy(kv, current, change)
	}
	predecessor := covering.baseVersion
	for _, entry := range covering.entries {
		if entry.version == change.Version {
			if entry.digest == digest && predecessor == change.Base {
				return acceptedUnchanged, nil
			}
			return acceptedDifferently, nil
		}
		predecessor = entry.version
	}
	return neverAccepted, nil
}

// blockCovering gives the block whose stretch a version lies in, nil when it
// lies before the history or in a gap.
func blockCovering(kv kvStore, version uint64) (found *block, err error) {
	var raw []byte
	kv.Walk(historyPrefix, "", func(key string, value []byte) bool {
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
	if err != nil || version > found.lastVersion() {
		return nil, err
	}
	return found, nil
}

// findLegacy looks among the versions that documents of the first format
// listed. They say nothing of the version that each was based on, and their
// digests are of the document as it was written, so that one that differs
// proves nothing.
func lookUpLegacy(kv kvStore, current *Document, change *Change) (changeStatus, error) {
	versions, err := legacyVersions(kv, current)
	if err != nil {
		return notInHistory, err
	}
	i := slices.IndexFunc(versions, func(accepted AcceptedVersion) bool { return accepted.Version == change.Version })
	if i < 0 {
		return notInHistory, nil
	}
	source, err := (&Document{Compressed: change.Compressed}).Source()
	if err != nil {
		return notInHistory, base.DeclineField("document", "cannot be unpacked: %v", err)
	}
	if versions[i].Digest == base.Digest(source) {
		return acceptedUnchanged, nil
	}
	return notInHistory, nil
}

// legacyOrders are the orders that documents of the first format listed, the
// one in force included if it is of that format.
func legacyVersions(kv kvStore, current *Document) (versions []AcceptedVersion, err error) {
	if raw := kv.Get(legacyKey); raw != nil && json.Unmarshal(raw, &versions) != nil {
		return nil, unknownFormat("the former list of versions")
	}
	versions = append(versions, current.Accepted...)
	return versions[max(0, len(versions)-maxLegacyVersions):], nil
}

// keepLegacy carries over what a document of the first format lists, before it
// is replaced by one that lists nothing.
func saveLegacy(kv kvStore, current *Document) error {
	if len(current.Accepted) == 0 {
		return nil
	}
	versions, err := legacyVersions(kv, current)
	if err == nil {
		kv.Put(legacyKey, base.Encode(versions))
	}
	return err
}

// record adds an order that is taken on top of a version, and drops the oldest
// block when there are too many.
func appendEntry(kv kvStore, baseVersion uint64, entry historyEntry) error {
	var blocks [][]byte
	var keys []string
	kv.Walk(historyPrefix, "", func(key string, value []byte) bool {
		keys, blocks = append(keys, key), append(blocks, value)
		return true
	})
	newest := &block{baseVersion: baseVersion}
	if len(blocks) > 0 {
		last, err := decodeBlock(blocks[len(blocks)-1])
		if err != nil {
			return err
		}
		if last.lastVersion() == baseVersion && len(last.entries) < entriesPerBlock {
			newest = last
			keys = keys[:len(keys)-1]
		}
	}
	newest.entries = append(newest.entries, entry)
	kv.Put(newest.key(), newest.encode())
	for len(keys) >= maxBlocks {
		kv.Delete(keys[0])
		kv.Delete(legacyKey) // older than every block
		keys = keys[1:]
	}
	return nil
}

// recent lists the newest orders of the history, oldest first.
func recentVersions(kv kvStore, limit int) (versions []AcceptedVersion, err error) {
	kv.Walk(historyPrefix, "", func(_ string, value []byte) bool {
		var decoded *block
		if decoded, err = decodeBlock(value); err != nil {
			return false
		}
		for _, entry := range decoded.entries {
			versions = append(versions, AcceptedVersion{entry.version, hex.EncodeToString(entry.digest[:])})
		}
		versions = versions[max(0, len(versions)-limit):]
		return true
	})
	return versions, err
}
