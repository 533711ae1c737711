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
	shownOrders = 64

	// operations of the control state
	operationRead   = "route.read"
	operationChange = "route.change"

	codeStaleVersion   = "stale_version"
	codeOutcomeUnknown = "unknown"
	codeBadRequest     = "bad_request"
	fieldVersion       = "version"
	// askAgainAfter is when the operator of an order without a clear answer is to
	// come again, in seconds.
	askAgainAfter = 1
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
	found, err := decodeDocument(raw)
	if err != nil {
		return nil
	}
	return found
}

func decodeDocument(raw []byte) (*Document, error) {
	var found Document
	if json.Unmarshal(raw, &found) != nil || found.Format > documentFormat {
		return nil, unreadable("the configuration of routes")
	}
	return &found, nil
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
func NewChange(former uint64, table *Table, written []byte) (Change, error) {
	canonical, err := Canonicalize(written)
	if err != nil {
		return Change{}, err
	}
	digest := digestOf(canonical)
	return Change{Format: changeFormat, Base: former, Version: table.Version, Digest: hex.EncodeToString(digest[:]), Compressed: pack(written)}, nil
}

func pack(written []byte) []byte {
	var packed bytes.Buffer
	// The level is valid, and writes to a buffer do not fail.
	writer, _ := flate.NewWriter(&packed, flate.BestCompression)
	_, _ = writer.Write(written)
	_ = writer.Close()
	return packed.Bytes()
}

// RegisterOperations adds the configuration's operations to a core.
func RegisterOperations(owner *register.Server) {
	owner.Handle(operationRead, func(tx *register.Tx, _ []byte) (any, error) { return read(tx) })
	owner.Handle(operationChange, func(tx *register.Tx, args []byte) (any, error) {
		asked, digest, err := decodeChange(args)
		if err != nil {
			return nil, err
		}
		return decide(tx, asked, digest)
	})
}

func load(from store) (*Document, error) {
	raw := from.Get(FeedKey)
	if raw == nil {
		return &Document{}, nil
	}
	return decodeDocument(raw)
}

func read(from store) (*Document, error) {
	now, err := load(from)
	if err != nil {
		return nil, err
	}
	listed, err := recent(from, shownOrders)
	if err != nil {
		return nil, err
	}
	now.Accepted = slices.Concat(now.Accepted, listed)
	now.Accepted = now.Accepted[max(0, len(now.Accepted)-shownOrders):]
	return now, nil
}

func decodeChange(args []byte) (*Change, orderDigest, error) {
	var asked Change
	if err := json.Unmarshal(args, &asked); err != nil {
		return nil, orderDigest{}, base.DeclineField("document", "not a change: %v", err)
	}
	if asked.Format != changeFormat {
		return nil, orderDigest{}, unreadable("the change")
	}
	digest, err := parseDigest(asked.Digest)
	if err != nil {
		return nil, orderDigest{}, base.DeclineField("document", "not a digest: %v", err)
	}
	return &asked, digest, nil
}

// decide takes an order, acknowledges it again, or refuses it. What it decides
// on is not told before a majority has confirmed it.
func decide(tx store, asked *Change, digest orderDigest) (*AcceptedVersion, error) {
	now, err := load(tx)
	if err != nil {
		return nil, err
	}
	if asked.Version <= asked.Base {
		return nil, base.DeclineField(fieldVersion, "must be above %d, which it builds on", asked.Base)
	}
	found, err := find(tx, now, asked, digest)
	if err != nil {
		return nil, err
	}
	taken := &AcceptedVersion{asked.Version, asked.Digest}
	switch {
	case found == takenAsAsked:
		tx.Put(repeatKey, binary.BigEndian.AppendUint64(nil, asked.Version))
		return taken, nil
	case found == forgotten:
		return nil, unknownOutcome("version %d is older than the history that is kept", asked.Version)
	case found == takenOtherwise:
		return nil, stale(now, "another change was taken under version %d", asked.Version)
	case asked.Base != now.Version:
		return nil, stale(now, "version %d is in force, the change builds on %d", now.Version, asked.Base)
	}
	if err := keepLegacy(tx, now); err != nil {
		return nil, err
	}
	if err := record(tx, asked.Base, order{asked.Version, digest}); err != nil {
		return nil, err
	}
	tx.Put(FeedKey, base.Encode(Document{Format: documentFormat, Version: asked.Version, Compressed: asked.Compressed}))
	return taken, nil
}

func stale(now *Document, format string, args ...any) error {
	verdict := base.Decline(412, codeStaleVersion, format, args...)
	verdict.Stamp = now.Version
	return verdict
}

func unknownOutcome(format string, args ...any) error {
	verdict := base.Unsure(504, codeOutcomeUnknown, format, args...)
	verdict.RetryAfter = askAgainAfter
	return verdict
}

// SubmitChange asks for a change. A change that is refused is refused for good: it was
// not taken and never will be. The error is then a base.Verdict with a status of
// the 4xx; any other error leaves open whether the change was taken, or says
// that it was not for now.
func SubmitChange(ctx *base.Ctx, client *register.Client, asked Change) error {
	err := client.Change(ctx, register.FeedGroup, operationChange, asked, nil)
	if err == nil {
		return nil
	}
	return putOutcome(base.FromWire(err))
}

// putOutcome lets a refusal pass only where it is one of decide's, and makes
// whatever else went wrong a status of the 5xx.
func putOutcome(verdict *base.Verdict) error {
	refused := verdict.Code == codeStaleVersion || verdict.Code == codeBadRequest && verdict.Field != ""
	switch {
	case verdict.Ran != base.NotRun:
		return unknownOutcome("the outcome is not known; ask again with the same document: %s", verdict.Message)
	case refused, verdict.Status >= 500:
		return verdict
	}
	return base.Busy(503, verdict.Code, askAgainAfter, "%s", verdict.Message)
}

// ReadDocument asks for what is in force; the version is 0 where nothing is.
func ReadDocument(ctx *base.Ctx, client *register.Client) (*Document, error) {
	var found Document
	err := client.Read(ctx, register.FeedGroup, operationRead, struct{}{}, &found)
	if err != nil {
		return nil, readOutcome(base.FromWire(err))
	}
	return &found, nil
}

// readOutcome is a status of the 5xx that says when to come again: a read has
// no refusals of its own.
func readOutcome(verdict *base.Verdict) error {
	return base.Busy(503, verdict.Code, max(verdict.RetryAfter, askAgainAfter), "%s", verdict.Message)
}
