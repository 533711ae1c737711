package disk

import (
	"encoding/json"

	"fordseam/internal/base"
)

const peerAddressesFileName = "neighbours"

// ReadPeerAddresses returns the addresses of the fleet's nodes as this storage
// machine last saved them. They are only hints for finding the fleet again, so a
// file that cannot be read counts as empty.
func ReadPeerAddresses(files Files) []string {
	var addresses []string
	_ = json.Unmarshal(readSmallFile(files, peerAddressesFileName), &addresses)
	return addresses
}

// WritePeerAddresses saves the addresses of the fleet's nodes and syncs the file.
func WritePeerAddresses(files Files, addresses []string) error {
	return writeSmallFile(files, peerAddressesFileName, base.MustMarshal(addresses))
}
