// An order that was taken is found again however many came since, what is kept
// is bounded, and what is no longer kept is never refused.
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

// memory is a store without a transaction: every change counts at once.
type memory map[string][]byte

func (m memory) Get(key string) []byte        { return m[key] }
func (m memory) Put(key string, value []byte) { m[key] = value }
func (m memory) Delete(key string)            { delete(m, key) }
func (m memory) Walk(prefix, after string, visit func(key string, value []byte) bool) {
	for _, key := range base.SortedKeys(m) {
		if strings.HasPrefix(key, prefix) && key > after && !visit(key, m[key]) {
			return
		}
	}
}

// historyBytes is what the history takes, keys included.
func (m memory) historyBytes() int {
	sum := 0
	m.Walk(historyPrefix, "", func(key string, value []byte) bool {
		sum += len(key) + len(value)
		return true
	})
	return sum
}

func documentFor(version uint64) []byte {
	return fmt.Appendf(nil, `{"generation": %d, "operator": "first"}`, version)
}

// orderFor is an order as ChangeOf makes it, but not packed: packing would take
// most of these tests' time.
func orderFor(t *testing.T, former, version uint64, written []byte) *Change {
	t.Helper()
	canonical, err := Canonicalize(written)
	if err != nil {
		t.Fatal(err)
	}
	digest := digestOf(canonical)
	return &Change{Format: changeFormat, Base: former, Version: version, Digest: hex.EncodeToString(digest[:])}
}

// packedOrderFor is the same with its document.
func packedOrderFor(t *testing.T, former, version uint64, written []byte) *Change {
	t.Helper()
	made, err := NewChange(former, &Table{Version: version}, written)
	if err != nil {
		t.Fatal(err)
	}
	return &made
}

func ask(t *testing.T, from store, asked *Change) error {
	t.Helper()
	digest, err := parseDigest(asked.Digest)
	if err != nil {
		t.Fatal(err)
	}
	_, err = decide(from, asked, digest)
	return err
}

// versionOf is the version of the change with a number; versions climb in
// uneven steps.
func versionOf(number int) uint64 {
	if number == 0 {
		return 0
	}
	return uint64(5*number + number%3)
}

func takeMany(t *testing.T, into memory, from, to int) {
	t.Helper()
	for number := from; number <= to; number++ {
		version := versionOf(number)
		if err := ask(t, into, orderFor(t, versionOf(number-1), version, documentFor(version))); err != nil {
			t.Fatalf("change %d: %v", number, err)
		}
	}
}

func repeat(t *testing.T, from memory, number int) error {
	t.Helper()
	version := versionOf(number)
	return ask(t, from, orderFor(t, versionOf(number-1), version, documentFor(version)))
}

func TestARepeatIsAcknowledgedHoweverManyVersionsCameSince(t *testing.T) {
	is := is.New(t)
	held := memory{}
	for _, since := range []int{1, 64, 65, 500, 3000} {
		takeMany(t, held, heldOrders(held)+1, since+1)
		for number := 1; number <= since+1; number++ {
			is.NoErr(repeat(t, held, number)) // taken, and acknowledged again
		}
		now, err := load(held)
		is.NoErr(err)
		is.Equal(now.Version, versionOf(since+1)) // a repeat changes nothing that is in force
		is.True(held[repeatKey] != nil)           // but its answer rests on an entry
		delete(held, repeatKey)
	}
}

// heldOrders counts the orders that a store holds.
func heldOrders(held memory) (count int) {
	held.Walk(historyPrefix, "", func(_ string, value []byte) bool {
		count += (len(value) - blockHeaderSize) / orderSize
		return true
	})
	return count
}

func TestWhatWasNeverTakenIsRefusedHoweverOld(t *testing.T) {
	is := is.New(t)
	held := memory{}
	takeMany(t, held, 1, 300)
	for number := 1; number < 300; number++ {
		version, former := versionOf(number), versionOf(number-1)
		for _, asked := range []*Change{
			orderFor(t, former, version, []byte(`{"operator":"second"}`)),   // another document
			orderFor(t, former, version+1, []byte(`{"operator":"second"}`)), // a number that was passed over, or another's
			orderFor(t, former+1, version, documentFor(version)),            // the same on another version
			orderFor(t, versionOf(299), versionOf(300)+7, documentFor(901)), // on what is no longer in force
		} {
			verdict := base.FromWire(ask(t, held, asked))
			is.True(verdict != nil)
			is.Equal(verdict.Status, 412)
			is.Equal(verdict.Ran, base.NotRun)
			is.Equal(verdict.Stamp, versionOf(300))
		}
	}
	verdict := base.FromWire(ask(t, held, orderFor(t, versionOf(300), versionOf(300), documentFor(versionOf(300)))))
	is.Equal(verdict.Status, 400) // not above what it builds on
	is.Equal(verdict.Field, "version")
}

func TestTheHistoryIsBoundedAndWhatItForgotIsLeftOpen(t *testing.T) {
	is := is.New(t)
	held := memory{}
	const changes = blockOrders*blockLimit + 500
	takeMany(t, held, 1, changes)
	is.True(heldOrders(held) <= blockOrders*blockLimit)
	is.True(heldOrders(held) > blockOrders*(blockLimit-1))
	is.True(held.historyBytes() < 450_000)
	is.True(len(held[FeedKey]) < 300) // what every node is told does not grow
	first := changes - heldOrders(held) + 1
	is.NoErr(repeat(t, held, first))
	for _, number := range []int{1, 65, first - 1} {
		verdict := base.FromWire(repeat(t, held, number))
		is.True(verdict != nil)
		is.Equal(verdict.Ran, base.MayHaveRun)
		is.True(verdict.Status >= 500 && verdict.RetryAfter > 0)
	}
}

func TestADocumentOfTheFirstFormatIsCarriedOver(t *testing.T) {
	is := is.New(t)
	former := Document{Version: 64, Compressed: pack(documentFor(64))}
	for version := uint64(1); version <= 64; version++ {
		former.Accepted = append(former.Accepted, AcceptedVersion{version, base.Digest(documentFor(version))})
	}
	held := memory{FeedKey: base.Encode(former)}
	is.True(!strings.Contains(string(held[FeedKey]), "format"))
	check := func() {
		for version := uint64(1); version <= 64; version++ {
			is.NoErr(ask(t, held, packedOrderFor(t, version-1, version, documentFor(version))))
			other := base.FromWire(ask(t, held, packedOrderFor(t, version-1, version, []byte(`{}`))))
			is.True(other.Status >= 500) // a digest of what was written proves nothing of what was not
		}
	}
	check()
	is.NoErr(ask(t, held, packedOrderFor(t, 64, 70, documentFor(70))))
	now, err := load(held)
	is.NoErr(err)
	is.Equal(now.Format, documentFormat)
	is.Equal(len(now.Accepted), 0)
	check()
	is.NoErr(ask(t, held, packedOrderFor(t, 64, 70, documentFor(70))))
	shown, err := read(held)
	is.NoErr(err)
	is.Equal(shown.Accepted[len(shown.Accepted)-1].Version, uint64(70))

	// A core of the former release took two more in between.
	now.Format, now.Version, now.Compressed = 0, 75, pack(documentFor(75))
	now.Accepted = []AcceptedVersion{{72, base.Digest(documentFor(72))}, {75, base.Digest(documentFor(75))}}
	held[FeedKey] = base.Encode(now)
	is.NoErr(ask(t, held, packedOrderFor(t, 70, 72, documentFor(72))))
	is.NoErr(ask(t, held, packedOrderFor(t, 75, 80, documentFor(80))))
	for _, step := range [][2]uint64{{64, 70}, {70, 72}, {72, 75}, {75, 80}} {
		is.NoErr(ask(t, held, packedOrderFor(t, step[0], step[1], documentFor(step[1]))))
	}
	check()
}

func TestAnUnknownFormatIsNeverTakenForNothing(t *testing.T) {
	is := is.New(t)
	for name, held := range map[string]memory{
		"document":          {FeedKey: []byte(`{"format":3,"version":9}`)},
		"damaged document":  {FeedKey: []byte(`{"version":`)},
		"block":             {FeedKey: base.Encode(Document{Format: 2, Version: 9}), historyPrefix + "0000000000000000": slices.Concat([]byte{9}, make([]byte, 32))},
		"block cut short":   {FeedKey: base.Encode(Document{Format: 2, Version: 9}), historyPrefix + "0000000000000000": slices.Concat([]byte{blockFormat}, make([]byte, 20))},
		"list of the first": {FeedKey: base.Encode(Document{Version: 9}), legacyKey: []byte(`{`)},
	} {
		verdict := base.FromWire(ask(t, held, orderFor(t, 0, 1, documentFor(1))))
		if verdict == nil || verdict.Code != "unknown_format" || verdict.Status != 503 {
			t.Errorf("%s: %v", name, verdict)
		}
	}
	_, _, err := decodeChange(base.Encode(Change{Base: 1, Version: 2, Digest: base.Digest(nil)}))
	is.Equal(base.FromWire(err).Code, "unknown_format") // a change from a node of the former release
	is.Equal(DocumentFromFeed(map[string][]byte{FeedKey: []byte(`{"format":3,"version":9}`)}), nil)
}

func TestOnlyADecidedRefusalReachesTheOperatorAsOne(t *testing.T) {
	is := is.New(t)
	for _, row := range []struct {
		given  *base.Verdict
		status int
		ran    base.Ran
	}{
		{base.Decline(412, codeStaleVersion, "x"), 412, base.NotRun},
		{base.DeclineField("version", "x"), 400, base.NotRun},
		{base.Decline(400, "unknown_op", "x"), 503, base.NotRun},
		{base.Decline(409, "whatever", "x"), 503, base.NotRun},
		{base.Busy(429, "overloaded", 1, "x"), 503, base.NotRun},
		{base.Busy(503, "no_majority", 1, "x"), 503, base.NotRun},
		{base.Unsure(503, "outcome_unknown", "x"), 504, base.MayHaveRun},
		{base.Unsure(412, codeStaleVersion, "x"), 504, base.MayHaveRun},
	} {
		verdict := base.FromWire(putOutcome(row.given))
		is.Equal(verdict.Status, row.status)
		is.Equal(verdict.Ran, row.ran)
		is.True(verdict.Status < 500 || verdict.RetryAfter > 0)
	}
	is.Equal(base.FromWire(readOutcome(base.Decline(400, "unknown_op", "x"))).Status, 503)
}
