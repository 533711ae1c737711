// A configuration is one document under one version. It is put in force by
// compare-and-set in the control state, told to every node by the feed, and
// read back as it was written. The newest versions' digests are kept, so that
// the same document asked for again gets the same answer.
package route

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// DocumentKey is where the feed tells of the configuration.
const DocumentKey = "feed/routes"

const takenLimit = 64

// Document is what the control state keeps of the configuration.
type Document struct {
	Version uint64  `json:"version"`
	Packed  []byte  `json:"packed"`
	Taken   []Taken `json:"taken"`
}

// Taken is a version that came into force, and its document's digest.
type Taken struct {
	Version uint64 `json:"v"`
	Digest  string `json:"d"`
}

// Written gives the document as its operator wrote it.
func (d *Document) Written() ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader(d.Packed)))
}

// DocumentOf reads the feed's frame; nil when no configuration is in force.
func DocumentOf(values map[string][]byte) *Document {
	raw, ok := values[DocumentKey]
	if !ok {
		return nil
	}
	var found Document
	if json.Unmarshal(raw, &found) != nil {
		return nil
	}
	return &found
}

// Change asks for a version in the place of another.
type Change struct {
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Packed  []byte `json:"packed"`
}

// ChangeOf packs a document that was checked.
func ChangeOf(former uint64, table *Table, written []byte) Change {
	var packed bytes.Buffer
	writer, _ := flate.NewWriter(&packed, flate.BestCompression)
	_, _ = writer.Write(written)
	_ = writer.Close()
	return Change{Base: former, Version: table.Version, Digest: base.Digest(written), Packed: packed.Bytes()}
}

// Serve adds the configuration's ops to a core.
func Serve(owner *register.Owner) {
	load := func(tx *register.Tx) *Document {
		found := &Document{}
		if raw := tx.Get(DocumentKey); raw != nil {
			_ = json.Unmarshal(raw, found)
		}
		return found
	}
	owner.Handle("route.read", func(tx *register.Tx, _ []byte) (any, error) { return load(tx), nil })
	owner.Handle("route.change", func(tx *register.Tx, args []byte) (any, error) {
		var asked Change
		if err := json.Unmarshal(args, &asked); err != nil {
			return nil, base.DeclineField("document", "%v", err)
		}
		now := load(tx)
		for _, taken := range now.Taken {
			if taken.Version == asked.Version && taken.Digest == asked.Digest {
				return taken, nil
			}
		}
		if asked.Base != now.Version {
			v := base.Decline(412, "stale_version", "version %d is in force, the change builds on %d", now.Version, asked.Base)
			v.Stamp = now.Version
			return nil, v
		}
		if asked.Version <= now.Version {
			return nil, base.DeclineField("version", "must be above %d, which is in force", now.Version)
		}
		taken := Taken{asked.Version, asked.Digest}
		now.Version, now.Packed = asked.Version, asked.Packed
		now.Taken = append(now.Taken, taken)
		now.Taken = now.Taken[max(0, len(now.Taken)-takenLimit):]
		tx.Put(DocumentKey, base.Encode(now))
		return taken, nil
	})
}

// Put asks for a change; Read asks for what is in force.
func Put(ctx *base.Ctx, client *register.Client, asked Change) error {
	return client.Change(ctx, register.FeedGroup, "route.change", asked, nil)
}

func Read(ctx *base.Ctx, client *register.Client) (*Document, error) {
	var found Document
	return &found, client.Read(ctx, register.FeedGroup, "route.read", struct{}{}, &found)
}
