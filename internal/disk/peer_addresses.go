package disk

import (
	"encoding/json"

	"fordseam/internal/base"

	"github.com/juju/errors"
)

const peerAddressesFileName = "neighbours"

// ReadPeerAddresses returns the addresses of the fleet's nodes as this storage
// machine last saved them. They are only hints for finding the fleet again, so a
// file that cannot be read counts as empty.
func ReadPeerAddresses(files Files) []string {
	data, err := files.Read(peerAddressesFileName)
	if err != nil {
		return nil
	}
	var addresses []string
	if decoded, _, err := decodeRecord(data); err == nil {
		_ = json.Unmarshal(decoded.payload, &addresses)
	}
	return addresses
}

// WritePeerAddresses saves the addresses of the fleet's nodes and syncs the file.
func WritePeerAddresses(files Files, addresses []string) error {
	if err := files.Replace(peerAddressesFileName, encodeRecord(0, 0, 0, base.MustMarshal(addresses))); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(files.Sync(peerAddressesFileName))
}
