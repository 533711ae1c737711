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
	// historyPrefix is the prefix of the keys of the history's blocks. The history
	// records which document was accepted as which version, so that a change that is
	// submitted again gets the same answer whatever was changed since. The prefix is
	// outside the feed's: only the leader needs the history, not every node.
	historyPrefix = "routes/history/"
	// repeatKey holds the version of the change that was last acknowledged again. It
	// is written so that the acknowledgement depends on a majority's confirmation of a
	// log entry: if that fails, the outcome is reported as unknown, which is right for
	// a change that was accepted. The failure of an operation that wrote nothing would
	// be reported as not run.
	repeatKey = "routes/repeated"
	// legacyKey holds the versions that documents of the first format listed.
	legacyKey = "routes/legacy"
	// maxLegacyVersions bounds that list; a document of the first format listed at
	// most 64 versions.
	maxLegacyVersions = 256

	// entriesPerBlock is the number of changes in a full block. The newest block is
	// written with each change: at most 1.5 kB.
	entriesPerBlock = 64
	// maxBlocks is the number of blocks retained: 16,320 to 16,384 changes, which is
	// five days of 3,000 changes each, in 0.4 MB.
	maxBlocks = 256

	// A block is encoded as its format, the version that it is based on, and for each
	// entry the version and the digest.
	blockFormat     = 1
	blockHeaderSize = 1 + 8
	entrySize       = 8 + digestSize
	// digestSize is the length of a truncated SHA-256 sum: 128 bits.
	digestSize = 16
)

// documentDigest identifies a document by its canonical form.
type documentDigest [digestSize]byte

// digestOf returns the digest of a canonical form.
func digestOf(canonical []byte) documentDigest {
	sum := sha256.Sum256(canonical)
	return documentDigest(sum[:digestSize])
}

// parseDigest parses a digest in hexadecimal.
func parseDigest(text string) (digest documentDigest, err error) {
	raw, err := hex.DecodeString(text)
	if err == nil && len(raw) != digestSize {
		err = fmt.Errorf("digest has %d bytes instead of %d", len(raw), digestSize)
	}
	copy(digest[:], raw)
	return digest, err
}

// historyEntry is an accepted change: its version and its document.
type historyEntry struct {
	version uint64
	digest  documentDigest
}

// block is a part of the history without gaps: its first entry is based on
// baseVersion, and each other entry on the one before it.
type block struct {
	baseVersion uint64
	entries     []historyEntry
}

// lastVersion returns the newest version that the block covers.
func (b *block) lastVersion() uint64 {
	if len(b.entries) == 0 {
		return b.baseVersion
	}
	return b.entries[len(b.entries)-1].version
}

// key returns the key under which the block is stored.
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
		return nil, unknownFormat("a block of the route history")
	}
	decoded := &block{baseVersion: binary.BigEndian.Uint64(raw[1:])}
	for rest := raw[blockHeaderSize:]; len(rest) > 0; rest = rest[entrySize:] {
		decoded.entries = append(decoded.entries, historyEntry{binary.BigEndian.Uint64(rest), documentDigest(rest[8:entrySize])})
	}
	return decoded, nil
}

// unknownFormat is the error for data in a format that this release does not know. It
// asks for a retry, since another core may run a release that does.
func unknownFormat(what string) error {
	return base.Busy(503, "unknown_format", 1, "%s has a format that this release cannot read", what)
}

// kvStore is the part of a register transaction that the history uses.
type kvStore interface {
	Get(key string) []byte
	Put(key string, value []byte)
	Delete(key string)
	Walk(prefix, after string, visit func(key string, value []byte) bool)
}

// changeStatus is what the history records about a change.
type changeStatus int

const (
	// neverAccepted: no change with that version was accepted.
	neverAccepted changeStatus = iota
	// acceptedUnchanged: exactly this change was accepted.
	acceptedUnchanged
	// acceptedDifferently: another document, or the same document on top of another
	// version, was accepted as that version.
	acceptedDifferently
	// notInHistory: the version is older than the retained history.
	notInHistory
)

// lookUpChange returns the status of a change. current is the document in force: no
// version above it was ever accepted.
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

// blockCovering returns the block that covers a version. It is nil if the version lies
// before the history or in a gap between blocks.
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

// lookUpLegacy looks for a change among the versions that documents of the first
// format listed. These do not record the version that each was based on, and their
// digests are of the document's source, so that a different digest does not prove a
// different document.
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
		return notInHistory, base.DeclineField("document", "cannot be decompressed: %v", err)
	}
	if versions[i].Digest == base.Digest(source) {
		return acceptedUnchanged, nil
	}
	return notInHistory, nil
}

// legacyVersions returns the versions that documents of the first format listed,
// including the document in force if it is of that format.
func legacyVersions(kv kvStore, current *Document) (versions []AcceptedVersion, err error) {
	if raw := kv.Get(legacyKey); raw != nil && json.Unmarshal(raw, &versions) != nil {
		return nil, unknownFormat("the list of versions in the first format")
	}
	versions = append(versions, current.Accepted...)
	return versions[max(0, len(versions)-maxLegacyVersions):], nil
}

// saveLegacy stores the versions that a document of the first format lists, before it
// is replaced by a document without a list.
func saveLegacy(kv kvStore, current *Document) error {
	if len(current.Accepted) == 0 {
		return nil
	}
	versions, err := legacyVersions(kv, current)
	if err == nil {
		kv.Put(legacyKey, base.MustMarshal(versions))
	}
	return err
}

// appendEntry appends an accepted change that is based on baseVersion, and deletes the
// oldest block if there are too many.
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

// recentVersions lists the newest versions of the history, oldest first.
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
