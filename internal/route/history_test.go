package route

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"fordseam/internal/base"

	"github.com/matryer/is"
)

// memoryStore is a kvStore without transactions: every write takes effect at once.
type memoryStore map[string][]byte

func (m memoryStore) Get(key string) []byte        { return m[key] }
func (m memoryStore) Put(key string, value []byte) { m[key] = value }
func (m memoryStore) Delete(key string)            { delete(m, key) }
func (m memoryStore) Walk(prefix, after string, visit func(key string, value []byte) bool) {
	for _, key := range base.SortedKeys(m) {
		if strings.HasPrefix(key, prefix) && key > after && !visit(key, m[key]) {
			return
		}
	}
}

// historySize returns the bytes that the history takes, including keys.
func (m memoryStore) historySize() int {
	sum := 0
	m.Walk(historyPrefix, "", func(key string, value []byte) bool {
		sum += len(key) + len(value)
		return true
	})
	return sum
}

// documentFor returns a configuration document for a version.
func documentFor(version uint64) []byte {
	return fmt.Appendf(nil, `{"generation": %d, "operator": "first"}`, version)
}

// changeFor returns a change as NewChange does but without the compressed document:
// compressing would take most of these tests' time.
func changeFor(t *testing.T, baseVersion, version uint64, source []byte) *Change {
	t.Helper()
	canonical, err := Canonicalize(source)
	if err != nil {
		t.Fatal(err)
	}
	digest := digestOf(canonical)
	return &Change{Format: changeFormat, Base: baseVersion, Version: version, Digest: hex.EncodeToString(digest[:])}
}

// changeWithDocument returns a change with its compressed document.
func changeWithDocument(t *testing.T, baseVersion, version uint64, source []byte) *Change {
	t.Helper()
	change, err := NewChange(baseVersion, &Table{Version: version}, source)
	if err != nil {
		t.Fatal(err)
	}
	return &change
}

// submit applies a change to the store.
func submit(t *testing.T, kv kvStore, change *Change) error {
	t.Helper()
	digest, err := parseDigest(change.Digest)
	if err != nil {
		t.Fatal(err)
	}
	_, err = applyChange(kv, change, digest)
	return err
}

// versionOf returns the version of the change with a number. Versions increase in
// uneven steps.
func versionOf(number int) uint64 {
	if number == 0 {
		return 0
	}
	return uint64(5*number + number%3)
}

// acceptRange submits the changes with the numbers first to last.
func acceptRange(t *testing.T, kv memoryStore, first, last int) {
	t.Helper()
	for number := first; number <= last; number++ {
		version := versionOf(number)
		if err := submit(t, kv, changeFor(t, versionOf(number-1), version, documentFor(version))); err != nil {
			t.Fatalf("change %d: %v", number, err)
		}
	}
}

// resubmit submits the change with a number again.
func resubmit(t *testing.T, kv memoryStore, number int) error {
	t.Helper()
	version := versionOf(number)
	return submit(t, kv, changeFor(t, versionOf(number-1), version, documentFor(version)))
}

// TestRepeatedChangeIsAcknowledgedAfterManyVersions guards against a client that retries
// an accepted change and is told that it was refused, because others came since.
func TestRepeatedChangeIsAcknowledgedAfterManyVersions(t *testing.T) {
	is := is.New(t)
	kv := memoryStore{}
	for _, since := range []int{1, 64, 65, 500, 3000} {
		acceptRange(t, kv, countEntries(kv)+1, since+1)
		for number := 1; number <= since+1; number++ {
			is.NoErr(resubmit(t, kv, number)) // accepted before, and acknowledged again
		}
		current, err := loadDocument(kv)
		is.NoErr(err)
		is.Equal(current.Version, versionOf(since+1)) // a repeated change does not alter what is in force
		is.True(kv[repeatKey] != nil)                 // but its acknowledgement depends on a log entry
		delete(kv, repeatKey)
	}
}

// countEntries counts the changes in the history.
func countEntries(kv memoryStore) (count int) {
	kv.Walk(historyPrefix, "", func(_ string, value []byte) bool {
		count += (len(value) - blockHeaderSize) / entrySize
		return true
	})
	return count
}

// TestChangeNeverAcceptedIsRefused checks that a change that resembles an accepted one is
// refused, however old its version is.
func TestChangeNeverAcceptedIsRefused(t *testing.T) {
	is := is.New(t)
	kv := memoryStore{}
	acceptRange(t, kv, 1, 300)
	for number := 1; number < 300; number++ {
		version, baseVersion := versionOf(number), versionOf(number-1)
		for _, change := range []*Change{
			changeFor(t, baseVersion, version, []byte(`{"operator":"second"}`)),   // another document
			changeFor(t, baseVersion, version+1, []byte(`{"operator":"second"}`)), // a version that was skipped, or that another change has
			changeFor(t, baseVersion+1, version, documentFor(version)),            // the same document on another base
			changeFor(t, versionOf(299), versionOf(300)+7, documentFor(901)),      // on a version that is no longer in force
		} {
			requestErr := base.ToRequestError(submit(t, kv, change))
			is.True(requestErr != nil)
			is.Equal(requestErr.Status, 412)
			is.Equal(requestErr.Execution, base.NotRun)
			is.Equal(requestErr.CurrentVersion, versionOf(300))
		}
	}
	requestErr := base.ToRequestError(submit(t, kv, changeFor(t, versionOf(300), versionOf(300), documentFor(versionOf(300)))))
	is.Equal(requestErr.Status, 400) // not greater than its base
	is.Equal(requestErr.Field, "version")
}

// TestHistoryIsBoundedAndExpiredChangesAreUnknown checks the size of the history, and that
// the outcome of a change older than the history is reported as unknown, never as refused.
func TestHistoryIsBoundedAndExpiredChangesAreUnknown(t *testing.T) {
	is := is.New(t)
	kv := memoryStore{}
	const changes = entriesPerBlock*maxBlocks + 500
	acceptRange(t, kv, 1, changes)
	is.True(countEntries(kv) <= entriesPerBlock*maxBlocks)
	is.True(countEntries(kv) > entriesPerBlock*(maxBlocks-1))
	is.True(kv.historySize() < 450_000)
	is.True(len(kv[FeedKey]) < 300) // the value sent to every node does not grow
	first := changes - countEntries(kv) + 1
	is.NoErr(resubmit(t, kv, first))
	for _, number := range []int{1, 65, first - 1} {
		requestErr := base.ToRequestError(resubmit(t, kv, number))
		is.True(requestErr != nil)
		is.Equal(requestErr.Execution, base.MayHaveRun)
		is.True(requestErr.Status >= 500 && requestErr.RetryAfter > 0)
	}
}

// TestFirstFormatDocumentIsMigrated checks that the versions listed by a document of the
// first format are still acknowledged after it was replaced, also if a core of the former
// release writes that format again.
func TestFirstFormatDocumentIsMigrated(t *testing.T) {
	is := is.New(t)
	legacy := Document{Version: 64, Compressed: compress(documentFor(64))}
	for version := uint64(1); version <= 64; version++ {
		legacy.Accepted = append(legacy.Accepted, AcceptedVersion{version, base.Digest(documentFor(version))})
	}
	kv := memoryStore{FeedKey: base.MustMarshal(legacy)}
	is.True(!strings.Contains(string(kv[FeedKey]), "format"))
	check := func() {
		for version := uint64(1); version <= 64; version++ {
			is.NoErr(submit(t, kv, changeWithDocument(t, version-1, version, documentFor(version))))
			other := base.ToRequestError(submit(t, kv, changeWithDocument(t, version-1, version, []byte(`{}`))))
			is.True(other.Status >= 500) // a different digest of a source does not prove a different document
		}
	}
	check()
	is.NoErr(submit(t, kv, changeWithDocument(t, 64, 70, documentFor(70))))
	current, err := loadDocument(kv)
	is.NoErr(err)
	is.Equal(current.Format, documentFormat)
	is.Equal(len(current.Accepted), 0)
	check()
	is.NoErr(submit(t, kv, changeWithDocument(t, 64, 70, documentFor(70))))
	shown, err := readCurrent(kv)
	is.NoErr(err)
	is.Equal(shown.Accepted[len(shown.Accepted)-1].Version, uint64(70))

	// Then a core of the former release accepts two more changes.
	current.Format, current.Version, current.Compressed = 0, 75, compress(documentFor(75))
	current.Accepted = []AcceptedVersion{{72, base.Digest(documentFor(72))}, {75, base.Digest(documentFor(75))}}
	kv[FeedKey] = base.MustMarshal(current)
	is.NoErr(submit(t, kv, changeWithDocument(t, 70, 72, documentFor(72))))
	is.NoErr(submit(t, kv, changeWithDocument(t, 75, 80, documentFor(80))))
	for _, step := range [][2]uint64{{64, 70}, {70, 72}, {72, 75}, {75, 80}} {
		is.NoErr(submit(t, kv, changeWithDocument(t, step[0], step[1], documentFor(step[1]))))
	}
	check()
}

// TestUnknownFormatIsNotTreatedAsMissing guards against an older release that takes data
// of a newer format for absent and overwrites it.
func TestUnknownFormatIsNotTreatedAsMissing(t *testing.T) {
	is := is.New(t)
	for name, kv := range map[string]memoryStore{
		"document":          {FeedKey: []byte(`{"format":3,"version":9}`)},
		"damaged document":  {FeedKey: []byte(`{"version":`)},
		"block":             {FeedKey: base.MustMarshal(Document{Format: 2, Version: 9}), historyPrefix + "0000000000000000": slices.Concat([]byte{9}, make([]byte, 32))},
		"block cut short":   {FeedKey: base.MustMarshal(Document{Format: 2, Version: 9}), historyPrefix + "0000000000000000": slices.Concat([]byte{blockFormat}, make([]byte, 20))},
		"list of the first": {FeedKey: base.MustMarshal(Document{Version: 9}), legacyKey: []byte(`{`)},
	} {
		requestErr := base.ToRequestError(submit(t, kv, changeFor(t, 0, 1, documentFor(1))))
		if requestErr == nil || requestErr.Code != "unknown_format" || requestErr.Status != 503 {
			t.Errorf("%s: %v", name, requestErr)
		}
	}
	_, _, err := decodeChange(base.MustMarshal(Change{Base: 1, Version: 2, Digest: base.Digest(nil)}))
	is.Equal(base.ToRequestError(err).Code, "unknown_format") // a change from a node of the former release
	is.Equal(DocumentFromFeed(map[string][]byte{FeedKey: []byte(`{"format":3,"version":9}`)}), nil)
}

// TestOnlyDefinitiveRefusalsAreReportedAsRefusals checks that a failure other than a
// refusal by applyChange never reaches the operator with a 4xx status.
func TestOnlyDefinitiveRefusalsAreReportedAsRefusals(t *testing.T) {
	is := is.New(t)
	for _, row := range []struct {
		given  *base.RequestError
		status int
		ran    base.Execution
	}{
		{base.Decline(412, codeStaleVersion, "x"), 412, base.NotRun},
		{base.DeclineField("version", "x"), 400, base.NotRun},
		{base.Decline(400, "unknown_op", "x"), 503, base.NotRun},
		{base.Decline(409, "whatever", "x"), 503, base.NotRun},
		{base.Busy(429, "overloaded", 1, "x"), 503, base.NotRun},
		{base.Busy(503, "no_majority", 1, "x"), 503, base.NotRun},
		{base.Indeterminate(503, "outcome_unknown", "x"), 504, base.MayHaveRun},
		{base.Indeterminate(412, codeStaleVersion, "x"), 504, base.MayHaveRun},
	} {
		requestErr := base.ToRequestError(submitError(row.given))
		is.Equal(requestErr.Status, row.status)
		is.Equal(requestErr.Execution, row.ran)
		is.True(requestErr.Status < 500 || requestErr.RetryAfter > 0)
	}
	is.Equal(base.ToRequestError(readError(base.Decline(400, "unknown_op", "x"))).Status, 503)
}
