// The addresses of the fleet as a storage machine last knew them. They are
// only a hint where to ask, so a file that cannot be read counts as empty.

package disk

import (
	"encoding/json"

	"fordseam/internal/base"

	"github.com/juju/errors"
)

const neighboursName = "neighbours"

// ReadPeerAddresses reads the addresses that were kept.
func ReadPeerAddresses(files Files) []string {
	data, err := files.Read(neighboursName)
	if err != nil {
		return nil
	}
	var kept []string
	if found, _, err := open(data); err == nil {
		_ = json.Unmarshal(found.payload, &kept)
	}
	return kept
}

// WritePeerAddresses writes them down.
func WritePeerAddresses(files Files, addresses []string) error {
	if err := files.Replace(neighboursName, seal(0, 0, 0, base.MustMarshal(addresses))); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(files.Sync(neighboursName))
}
