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

// FeedKey is the key under which the feed distributes the configuration.
const FeedKey = "feed/routes"

const (
	// documentFormat is the format of a stored and distributed Document. The first
	// format has no number and includes the list of accepted versions.
	documentFormat = 2
	// changeFormat is the format of a Change sent between nodes. The first format
	// has no number, and its digest is of the document's source.
	changeFormat = 2

	// maxListedVersions is how many of the newest versions are listed to operators.
	maxListedVersions = 64

	// Operations of the register.
	operationRead   = "route.read"
	operationChange = "route.change"

	codeStaleVersion   = "stale_version"
	codeOutcomeUnknown = "unknown"
	codeBadRequest     = "bad_request"
	fieldVersion       = "version"
	// retryAfterSeconds is when an operator should retry a change whose outcome is
	// unknown.
	retryAfterSeconds = 1
)

// Document is a version of the configuration as it is stored in the register.
type Document struct {
	Format     int    `json:"format,omitempty"`
	Version    uint64 `json:"version"`
	Compressed []byte `json:"packed"`
	// Accepted lists the newest accepted versions in a result of ReadDocument. It is
	// stored with the document in the first format only.
	Accepted []AcceptedVersion `json:"taken,omitempty"`
}

// AcceptedVersion is a version that was put in force, and its document's digest.
type AcceptedVersion struct {
	Version uint64 `json:"v"`
	Digest  string `json:"d"`
}

// Source returns the document exactly as the operator submitted it.
func (d *Document) Source() ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader(d.Compressed)))
}

// DocumentFromFeed returns the configuration in the feed's values. It is nil if none
// is in force or its format is unknown to this release.
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
		return nil, unknownFormat("the route configuration")
	}
	return &document, nil
}

// Change is a request to replace the version Base of the configuration by the version
// Version. A change is identified by these two versions and by its document's
// canonical form: a change that was accepted is acknowledged again whenever it is
// submitted again, also if its document is formatted differently, while the same
// document and version on top of another base is a different change.
type Change struct {
	Format  int    `json:"format"`
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
	// Digest is the digest of the document's canonical form.
	Digest     string `json:"digest"`
	Compressed []byte `json:"packed"`
}

// NewChange returns the change to a document whose table was validated. It fails if
// the document has no canonical form.
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
	// Neither a valid level nor writes to a buffer fail.
	writer, _ := flate.NewWriter(&compressed, flate.BestCompression)
	_, _ = writer.Write(source)
	_ = writer.Close()
	return compressed.Bytes()
}

// RegisterOperations registers the operations on the configuration with a core's
// register.
func RegisterOperations(server *register.Server) {
	server.Handle(operationRead, func(tx *register.Tx, _ []byte) (any, error) { return readCurrent(tx) })
	server.Handle(operationChange, func(tx *register.Tx, args []byte) (any, error) {
		change, digest, err := decodeChange(args)
		if err != nil {
			return nil, err
		}
		return applyChange(tx, change, digest)
	})
}

// loadDocument returns the stored document; its version is 0 if there is none.
func loadDocument(kv kvStore) (*Document, error) {
	raw := kv.Get(FeedKey)
	if raw == nil {
		return &Document{}, nil
	}
	return decodeDocument(raw)
}

// readCurrent returns the stored document and lists the newest accepted versions.
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
		return nil, documentDigest{}, base.DeclineField("document", "is not a valid change: %v", err)
	}
	if change.Format != changeFormat {
		return nil, documentDigest{}, unknownFormat("the change")
	}
	digest, err := parseDigest(change.Digest)
	if err != nil {
		return nil, documentDigest{}, base.DeclineField("document", "has no valid digest: %v", err)
	}
	return &change, digest, nil
}

// applyChange accepts a change, acknowledges it again, or refuses it. The register
// returns the result only once a majority has confirmed the state it is based on.
func applyChange(tx kvStore, change *Change, digest documentDigest) (*AcceptedVersion, error) {
	current, err := loadDocument(tx)
	if err != nil {
		return nil, err
	}
	if change.Version <= change.Base {
		return nil, base.DeclineField(fieldVersion, "must be greater than %d, the version that it is based on", change.Base)
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
		return nil, outcomeUnknown("version %d is older than the retained history", change.Version)
	case status == acceptedDifferently:
		return nil, staleVersion(current, "another change was accepted as version %d", change.Version)
	case change.Base != current.Version:
		return nil, staleVersion(current, "version %d is in force, but the change is based on %d", current.Version, change.Base)
	}
	if err := saveLegacy(tx, current); err != nil {
		return nil, err
	}
	if err := appendEntry(tx, change.Base, historyEntry{change.Version, digest}); err != nil {
		return nil, err
	}
	tx.Put(FeedKey, base.MustMarshal(Document{Format: documentFormat, Version: change.Version, Compressed: change.Compressed}))
	return accepted, nil
}

// staleVersion is the error of a change that is refused for good.
func staleVersion(current *Document, format string, args ...any) error {
	requestErr := base.Decline(412, codeStaleVersion, format, args...)
	requestErr.CurrentVersion = current.Version
	return requestErr
}

// outcomeUnknown is the error of a change that may or may not have been accepted.
func outcomeUnknown(format string, args ...any) error {
	requestErr := base.Indeterminate(504, codeOutcomeUnknown, format, args...)
	requestErr.RetryAfter = retryAfterSeconds
	return requestErr
}

// SubmitChange submits a change. A refusal is final: the change was not accepted and
// never will be, and the error is a base.RequestError with a 4xx status. Any other error
// means either that it is unknown whether the change was accepted, or that it was
// not accepted this time.
func SubmitChange(ctx *base.Ctx, client *register.Client, change Change) error {
	err := client.Change(ctx, register.FeedGroup, operationChange, change, nil)
	if err == nil {
		return nil
	}
	return submitError(base.ToRequestError(err))
}

// submitError passes refusals of applyChange through and converts every other failure
// to a 5xx status.
func submitError(requestErr *base.RequestError) error {
	definitive := requestErr.Code == codeStaleVersion || requestErr.Code == codeBadRequest && requestErr.Field != ""
	switch {
	case requestErr.Execution != base.NotRun:
		return outcomeUnknown("the outcome is unknown; submit the same document again: %s", requestErr.Message)
	case definitive, requestErr.Status >= 500:
		return requestErr
	}
	return base.Busy(503, requestErr.Code, retryAfterSeconds, "%s", requestErr.Message)
}

// ReadDocument returns the configuration in force; its version is 0 if there is none.
func ReadDocument(ctx *base.Ctx, client *register.Client) (*Document, error) {
	var document Document
	err := client.Read(ctx, register.FeedGroup, operationRead, struct{}{}, &document)
	if err != nil {
		return nil, readError(base.ToRequestError(err))
	}
	return &document, nil
}

// readError converts a failed read to status 503 with a retry time; a read is never
// refused.
func readError(requestErr *base.RequestError) error {
	return base.Busy(503, requestErr.Code, max(requestErr.RetryAfter, retryAfterSeconds), "%s", requestErr.Message)
}
