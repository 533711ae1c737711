// A configuration is one document under one version. It is put in force by
// compare-and-set in the control state, told to every node by the feed, and
// read back as it was written.
//
// An order, that is a request for a change, is identified by three things: the
// version that it builds on, the version that it brings, and its document's
// canonical form (see Canonicalize). An order that was taken is acknowledged again
// whenever it is asked for again, also when its document is spelled otherwise.
// The same document under the same version on top of another version is another
// order, and is decided as such.

package route

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// FeedKey is where the feed tells of the configuration.
const FeedKey = "feed/routes"

const (
	// documentFormat is the format of a Document as it is kept and told. The
	// first format has no number and lists the versions taken.
	documentFormat = 2
	// changeFormat is the format of a Change between nodes. The first has no
	// number, and its digest is of the document as it was written.
	changeFormat = 2

	// shownOrders is how many of the newest versions operators are shown.
	maxListedVersions = 64

	// operations of the control state
	operationRead   = "route.read"
	operationChange = "route.change"

	codeStaleVersion   = "stale_version"
	codeOutcomeUnknown = "unknown"
	codeBadRequest     = "bad_request"
	fieldVersion       = "version"
	// askAgainAfter is when the operator of an order without a clear answer is to
	// come again, in seconds.
	retryAfterSeconds = 1
)

// Document is what the control state keeps of the configuration.
type Document struct {
	Format     int    `json:"format,omitempty"`
	Version    uint64 `json:"version"`
	Compressed []byte `json:"packed"`
	// Accepted lists the newest versions that came into force in an answer to ReadDocument;
	// it is kept with the document in the first format only.
	Accepted []AcceptedVersion `json:"taken,omitempty"`
}

// AcceptedVersion is a version that came into force, and its document's digest.
type AcceptedVersion struct {
	Version uint64 `json:"v"`
	Digest  string `json:"d"`
}

// Source gives the document as its operator wrote it.
func (d *Document) Source() ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader(d.Compressed)))
}

// DocumentFromFeed reads the feed's frame; nil when no configuration is in force, or
// it is of a format that this release does not read.
func DocumentFromFeed(values map[string][]byte) *Document {
	raw, ok := values[FeedKey]
	if !ok {
		return nil
	}
	document, err := decodeDocument(raw)
	if err != nil {
		return nil
	}
	return document
}

func decodeDocument(raw []byte) (*Document, error) {
	var document Document
	if json.Unmarshal(raw, &document) != nil || document.Format > documentFormat {
		return nil, unknownFormat("the configuration of routes")
	}
	return &document, nil
}

// Change asks for a version in the place of another.
type Change struct {
	Format  int    `json:"format"`
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
	// Digest is of the document's canonical form.
	Digest     string `json:"digest"`
	Compressed []byte `json:"packed"`
}

// NewChange packs a document whose table was checked. It fails as Canonicalize does.
func NewChange(baseVersion uint64, table *Table, source []byte) (Change, error) {
	canonical, err := Canonicalize(source)
	if err != nil {
		return Change{}, err
	}
	digest := digestOf(canonical)
	return Change{Format: changeFormat, Base: baseVersion, Version: table.Version, Digest: hex.EncodeToString(digest[:]), Compressed: compress(source)}, nil
}

func compress(source []byte) []byte {
	var compressed bytes.Buffer
	// The level is valid, and writes to a buffer do not fail.
	writer, _ := flate.NewWriter(&compressed, flate.BestCompression)
	_, _ = writer.Write(source)
	_ = writer.Close()
	return compressed.Bytes()
}

// RegisterOperations adds the configuration's operations to a core.
func RegisterOperations(owner *register.Server) {
	owner.Handle(operationRead, func(tx *register.Tx, _ []byte) (any, error) { return readCurrent(tx) })
	owner.Handle(operationChange, func(tx *register.Tx, args []byte) (any, error) {
		change, digest, err := decodeChange(args)
		if err != nil {
			return nil, err
		}
		return applyChange(tx, change, digest)
	})
}

func loadDocument(kv kvStore) (*Document, error) {
	raw := kv.Get(FeedKey)
	if raw == nil {
		return &Document{}, nil
	}
	return decodeDocument(raw)
}

func readCurrent(kv kvStore) (*Document, error) {
	current, err := loadDocument(kv)
	if err != nil {
		return nil, err
	}
	versions, err := recentVersions(kv, maxListedVersions)
	if err != nil {
		return nil, err
	}
	current.Accepted = slices.Concat(current.Accepted, versions)
	current.Accepted = current.Accepted[max(0, len(current.Accepted)-maxListedVersions):]
	return current, nil
}

func decodeChange(args []byte) (*Change, documentDigest, error) {
	var change Change
	if err := json.Unmarshal(args, &change); err != nil {
		return nil, documentDigest{}, base.DeclineField("document", "not a change: %v", err)
	}
	if change.Format != changeFormat {
		return nil, documentDigest{}, unknownFormat("the change")
	}
	digest, err := parseDigest(change.Digest)
	if err != nil {
		return nil, documentDigest{}, base.DeclineField("document", "not a digest: %v", err)
	}
	return &change, digest, nil
}

// decide takes an order, acknowledges it again, or refuses it. What it decides
// on is not told before a majority has confirmed it.
func applyChange(tx kvStore, change *Change, digest documentDigest) (*AcceptedVersion, error) {
	current, err := loadDocument(tx)
	if err != nil {
		return nil, err
	}
	if change.Version <= change.Base {
		return nil, base.DeclineField(fieldVersion, "must be above %d, which it builds on", change.Base)
	}
	status, err := lookUpChange(tx, current, change, digest)
	if err != nil {
		return nil, err
	}
	accepted := &AcceptedVersion{change.Version, change.Digest}
	switch {
	case status == acceptedUnchanged:
		tx.Put(repeatKey, binary.BigEndian.AppendUint64(nil, change.Version))
		return accepted, nil
	case status == notInHistory:
		return nil, outcomeUnknown("version %d is older than the history that is kept", change.Version)
	case status == acceptedDifferently:
		return nil, staleVersion(current, "another change was taken under version %d", change.Version)
	case change.Base != current.Version:
		return nil, staleVersion(current, "version %d is in force, the change builds on %d", current.Version, change.Base)
	}
	if err := saveLegacy(tx, current); err != nil {
		return nil, err
	}
	if err := appendEntry(tx, change.Base, historyEntry{change.Version, digest}); err != nil {
		return nil, err
	}
	tx.Put(FeedKey, base.Encode(Document{Format: documentFormat, Version: change.Version, Compressed: change.Compressed}))
	return accepted, nil
}

func staleVersion(current *Document, format string, args ...any) error {
	verdict := base.Decline(412, codeStaleVersion, format, args...)
	verdict.Stamp = current.Version
	return verdict
}

func outcomeUnknown(format string, args ...any) error {
	verdict := base.Unsure(504, codeOutcomeUnknown, format, args...)
	verdict.RetryAfter = retryAfterSeconds
	return verdict
}

// SubmitChange asks for a change. A change that is refused is refused for good: it was
// not taken and never will be. The error is then a base.Verdict with a status of
// the 4xx; any other error leaves open whether the change was taken, or says
// that it was not for now.
func SubmitChange(ctx *base.Ctx, client *register.Client, change Change) error {
	err := client.Change(ctx, register.FeedGroup, operationChange, change, nil)
	if err == nil {
		return nil
	}
	return submitError(base.FromWire(err))
}

// putOutcome lets a refusal pass only where it is one of decide's, and makes
// whatever else went wrong a status of the 5xx.
func submitError(verdict *base.Verdict) error {
	definitive := verdict.Code == codeStaleVersion || verdict.Code == codeBadRequest && verdict.Field != ""
	switch {
	case verdict.Ran != base.NotRun:
		return outcomeUnknown("the outcome is not known; ask again with the same document: %s", verdict.Message)
	case definitive, verdict.Status >= 500:
		return verdict
	}
	return base.Busy(503, verdict.Code, retryAfterSeconds, "%s", verdict.Message)
}

// ReadDocument asks for what is in force; the version is 0 where nothing is.
func ReadDocument(ctx *base.Ctx, client *register.Client) (*Document, error) {
	var document Document
	err := client.Read(ctx, register.FeedGroup, operationRead, struct{}{}, &document)
	if err != nil {
		return nil, readError(base.FromWire(err))
	}
	return &document, nil
}

// readOutcome is a status of the 5xx that says when to come again: a read has
// no refusals of its own.
func readError(verdict *base.Verdict) error {
	return base.Busy(503, verdict.Code, max(verdict.RetryAfter, retryAfterSeconds), "%s", verdict.Message)
}
